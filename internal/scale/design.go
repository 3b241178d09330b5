package scale

// Sizes of the target fleet that measurements are scaled to.
const (
	Balancers = 950
	Upstreams = 14000
	Classes   = 17000
	Tenants   = 72000
)
