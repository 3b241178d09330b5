package scale

// Sizes of the target fleet that measurements are scaled to.
const (
	TargetBalancers = 950
	TargetUpstreams = 14000
	TargetClasses   = 17000
	TargetTenants   = 72000
)
