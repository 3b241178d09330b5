package scale

// Sizes of the target fleet, to which measurements are extrapolated.
const (
	TargetBalancers = 950
	TargetUpstreams = 14000
	TargetClasses   = 17000
	TargetTenants   = 72000
)
