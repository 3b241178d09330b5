package scale

// The fleet ahead, from the users' letter.
const (
	Balancers = 950
	Upstreams = 14000
	Classes   = 17000
	Tenants   = 72000
)
