package scale

import (
	"fmt"
	"time"

	"garnettide"
)

// This file measures what the decision module and the loading of configurations cost in one process, without sockets.
// The cost of the event loop that calls the module is not included; hollow balancers include it.

// Quantities that are fixed while another one varies. They are small, so that their cost is low.
const (
	fixedUpstreams = 300
	fixedClasses   = 3
	fixedTenants   = 3
)

const fleetRequestRate = 150000 // peak requests per second to the whole target fleet

// Sizes at which slopes are measured, up to those of the target fleet.
var (
	upstreamSizes  = doublingSizes(TargetUpstreams)
	classSizes     = doublingSizes(TargetClasses)
	tenantSizes    = doublingSizes(TargetTenants)
	sixteenthSizes = doublingSizes(16)
)

// doublingSizes returns five sizes up to largest, each about twice the one before.
func doublingSizes(largest int) []int {
	return []int{largest / 16, largest / 8, largest / 4, largest / 2, largest}
}

// inProcessRuns is how often a run measures all in-process slopes.
const inProcessRuns = 3

// InProcessSlopes measures all in-process slopes the given number of times and takes the lowest figure at
// each point, since other processes use the machine too. If progress is not nil, it is called with the name
// of each slope before it is measured. A slope that could not be measured has no points, and its Note holds
// the reason.
func InProcessSlopes(runs int, progress func(string)) []Slope {
	var slopes []Slope
	for run := range runs {
		for i, m := range inProcessMeasurements {
			if progress != nil {
				progress(fmt.Sprintf("run %d of %d: %s, over %s", run+1, runs, m.name, m.variable))
			}
			if s := m.slope(); run == 0 {
				slopes = append(slopes, s)
			} else {
				slopes[i] = slopes[i].lowest(s)
			}
		}
	}
	return slopes
}

// measurement describes an in-process slope. The function measure returns the figure for one size.
type measurement struct {
	name, unit, variable, note string
	sizes                      []int
	measure                    func(n int) (float64, error)
}

// slope measures all sizes and fits the slope. If one of them fails, the slope has no points.
func (m measurement) slope() Slope {
	var x, y []float64
	for _, n := range m.sizes {
		v, err := m.measure(n)
		if err != nil {
			return Slope{Name: m.name, Unit: m.unit, Variable: m.variable, Note: fmt.Sprintf("not run: at %d: %v", n, err)}
		}
		x, y = append(x, float64(n)), append(y, v)
	}
	s := NewSlope(m.name, m.unit, m.variable, x, y)
	s.Note = m.note
	return s
}

// Notes of slopes on how a point was measured.
const (
	lowestBatchNote = "processor time with what the collector takes; the cheapest of 5 batches"
	lowestHeapNote  = "live after a collection, the least of 3"
)

// inProcessMeasurements lists the in-process slopes in the order in which they are measured.
var inProcessMeasurements = []measurement{
	{"step: the module each second, at rest", "ms", "upstreams", lowestBatchNote, upstreamSizes,
		func(n int) (float64, error) { return stepCost(n, fixedTenants, false) }},
	{"step: the module each second, with an answer that reports its server's rate", "ms", "tenants", lowestBatchNote,
		tenantSizes, func(n int) (float64, error) { return stepCost(fixedUpstreams, n, true) }},
	{"tick: the module between steps, at rest", "ms", "upstreams", lowestBatchNote, upstreamSizes, tickCost},
	{"change: one upstream drains or is up again", "ms", "upstreams",
		lowestBatchNote + "; the module alone, not the loop", upstreamSizes, changeCost},
	{"whole list: applied by the module, nothing changed", "ms", "upstreams", lowestBatchNote, upstreamSizes,
		fullListCost},
	{"whole list: decoded", "ms", "upstreams",
		lowestBatchNote + "; entries of the client's shape, checked and sorted as it does", upstreamSizes, listDecodeCost},
	{"whole list: size", "KB", "upstreams", "as discovery would write it, not indented", upstreamSizes, listSizeKB},
	{"request: taken, sent and answered", "us", "upstreams", lowestBatchNote + "; the module alone", upstreamSizes,
		requestCost},
	{"New", "ms", "classes", lowestBatchNote, classSizes,
		func(n int) (float64, error) { return newBalancerCost(n, fixedTenants) }},
	{"New", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return newBalancerCost(fixedClasses, n) }},
	{"settings: LoadConfig", "ms", "classes", lowestBatchNote, classSizes,
		func(n int) (float64, error) { return loadConfigCost(n, fixedTenants, 0) }},
	{"settings: LoadConfig", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return loadConfigCost(fixedClasses, n, 0) }},
	{"settings: wire.DecodeSettings", "ms", "classes", lowestBatchNote, classSizes,
		func(n int) (float64, error) { return decodeSettingsCost(n, fixedTenants) }},
	{"settings: wire.DecodeSettings", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return decodeSettingsCost(fixedClasses, n) }},
	{"settings: size of the file", "KB", "classes", "compact", classSizes,
		func(n int) (float64, error) { return configSizeKB(n, fixedTenants, 0) }},
	{"settings: size of the file", "KB", "tenants", "compact", tenantSizes,
		func(n int) (float64, error) { return configSizeKB(fixedClasses, n, 0) }},
	{"settings: allocated by LoadConfig", "MB", "tenants", "what is allocated in all, freed meanwhile or not",
		tenantSizes, loadConfigAllocatedMB},
	{"memory: Balancer with its list", "MB", "upstreams", lowestHeapNote, upstreamSizes,
		func(n int) (float64, error) { return balancerHeapMB(n, fixedClasses, fixedTenants) }},
	{"memory: Balancer with its settings", "MB", "classes", lowestHeapNote, classSizes,
		func(n int) (float64, error) { return balancerHeapMB(fixedUpstreams, n, fixedTenants) }},
	{"memory: Balancer with its settings", "MB", "tenants", lowestHeapNote, tenantSizes,
		func(n int) (float64, error) { return balancerHeapMB(fixedUpstreams, fixedClasses, n) }},
	{"whole configuration: LoadConfig", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		func(n int) (float64, error) {
			return loadConfigCost(TargetClasses*n/16, TargetTenants*n/16, TargetUpstreams*n/16)
		}},
	{"whole configuration: size of the file", "KB", "sixteenths of the fleet ahead", "compact, with the list",
		sixteenthSizes,
		func(n int) (float64, error) {
			return configSizeKB(TargetClasses*n/16, TargetTenants*n/16, TargetUpstreams*n/16)
		}},
	{"whole configuration: New", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		func(n int) (float64, error) { return newBalancerCost(TargetClasses*n/16, TargetTenants*n/16) }},
	{"whole configuration: memory of the Balancer", "MB", "sixteenths of the fleet ahead", lowestHeapNote, sixteenthSizes,
		func(n int) (float64, error) {
			return balancerHeapMB(TargetUpstreams*n/16, TargetClasses*n/16, TargetTenants*n/16)
		}},
	{"reload: NewPlan, away from the loop", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		newPlanCost},
	{"reload: Plan.Since, away from the loop", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		planSinceCost},
	{"reload: Reconfigure, on the loop", "us", "sixteenths of the fleet ahead",
		lowestBatchNote + "; two of them, one class and one tenant changed to and fro", sixteenthSizes, reconfigureCost},
	{"reload: memory of the Balancer with the old plan and the new one", "MB", "sixteenths of the fleet ahead",
		lowestHeapNote, sixteenthSizes, twoPlansHeapMB},
	{"quota: taken for over it, requests through all of n balancers", "%", "balancers", quotaNote,
		[]int{1, 3, 14, 30, 135, 950}, func(n int) (float64, error) { return overQuotaPercent(n, n, quotaDuration) }},
	{"quota: taken for over it, requests through n of 950 balancers", "%", "balancers used", quotaNote,
		[]int{8, 30, 135, 950},
		func(n int) (float64, error) { return overQuotaPercent(TargetBalancers, n, quotaDuration) }},
}

// stepCost measures the module's step, which runs once a second, in ms. If withReports is set, each step follows a
// response that reports the request rate of its upstream, so that the step also estimates the balancer's
// share of the traffic, which scales quotas.
func stepCost(upstreams, tenants int, withReports bool) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, tenants)
	if err != nil {
		return 0, err
	}
	now, id := time.Duration(0), garnettide.RequestID(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Second
		if withReports {
			id++
			b.Request(now, garnettide.Request{ID: id, Budget: time.Second, Class: className(0)})
			b.Outcome(now, garnettide.Outcome{ID: id, Upstream: h.upstream, Latency: 10 * time.Millisecond,
				Load: garnettide.Load{Fields: garnettide.HasUtil | garnettide.HasRequestRate, Util: 0.3, RequestRate: 10}})
		}
		b.Timer(now, h.tickToken)
	})), nil
}

// tickCost measures the module's check of its upstreams between steps, in ms. The check runs several times
// within a latency target.
func tickCost(upstreams int) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	b.Timer(time.Second, h.tickToken) // runs the step; the measured calls have the same time, so they run none
	return milliseconds(cpuPerCall(func() { b.Timer(time.Second, h.tickToken) })), nil
}

// changeCost measures the module's handling of one changed entry, in ms: an upstream drains, or is up again.
func changeCost(upstreams int) (float64, error) {
	b, _, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	entry, now := upstreamList(upstreams)[upstreams/2:upstreams/2+1], time.Duration(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Millisecond
		entry[0].State = garnettide.Draining - entry[0].State // alternates between Draining and the original state
		b.Members(now, garnettide.ListDelta, entry)
	})), nil
}

// fullListCost measures the module's handling of a full list without changes, such as after a failed watch, in ms.
func fullListCost(upstreams int) (float64, error) {
	b, _, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	list, now := upstreamList(upstreams), time.Duration(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Millisecond
		b.Members(now, garnettide.ListFull, list)
	})), nil
}

// requestCost measures the module's handling of a request that is accepted, sent at once and answered, in us.
// Requests come at the mean rate of one balancer.
func requestCost(upstreams int) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	now, id, interval := time.Duration(0), garnettide.RequestID(0), time.Second*TargetBalancers/fleetRequestRate
	perCall := cpuPerCall(func() {
		id++
		now += interval / 2
		b.Request(now, garnettide.Request{ID: id, Budget: time.Second, Class: className(0), Tenant: tenantName(0)})
		now += interval / 2
		if h.id == id {
			b.Outcome(now, garnettide.Outcome{ID: id, Upstream: h.upstream, Latency: interval / 2, Load: garnettide.Load{
				Fields: garnettide.HasUtil | garnettide.HasRequestRate, Util: 0.3 + float64(id%8)/100, RequestRate: 10}})
		}
	})
	if h.sent < int(id)*9/10 {
		return 0, fmt.Errorf("only %d of %d requests were sent at once", h.sent, id)
	}
	return milliseconds(perCall) * 1000, nil
}
