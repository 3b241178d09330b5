// Slow start: limits the work that is sent to a cold upstream.

package garnettide

import "time"

const (
	coldBudgetShare  = 0.6 // share of the load that would overload a cold upstream, up to which it is sent work
	coldBudgetMaxUse = 0.9 // largest share of their budgets that the balancers of a cold upstream use together
)

// warmupFraction returns the fraction of its full capacity that u is sure to have. It clears u.cold after
// the warm-up.
func (b *Balancer) warmupFraction(u *upstream, now time.Duration) float64 {
	if u.cold && now-u.coldSince < b.config.Requirements.WarmupTime {
		initial := b.config.Requirements.ColdCapacity
		return initial + (1-initial)*max(0, float64(now-u.coldSince)/float64(b.config.Requirements.WarmupTime))
	}
	u.cold = false
	return 1
}

// markCold marks u as cold since a time, and resets its statistics and its limit.
func (b *Balancer) markCold(u *upstream, since time.Duration) {
	u.cold, u.coldSince, u.latency, u.latencyDev, u.workUnits, u.smoothedLatency = true, since, 0, 0, 0, 0
	u.readings, u.utilMean, u.utilDev, u.bandArea, u.limit, u.minLatency, u.baselineLatency =
		0, 0, 0, 0, b.initialLimit, 0, 0
}

// fitsColdBudget reports whether r fits this balancer's budget for u, which is cold. The budget is a leaky
// bucket whose rate follows from the capacity of warm upstreams. Half of this balancer's part of the budget
// of an OverloadWindow may be sent as a burst; the bucket leaks at half of the rate or, if u reports
// that it is not fully used, at the whole rate divided by the sharing ratio. A request counts as at least
// one mean request, as small ones have a fixed cost too.
func (b *Balancer) fitsColdBudget(u *upstream, r *request, now time.Duration) bool {
	sharingRatio := max(1, coldBudgetMaxUse*u.sharingRatio)
	if b.capacityPerWeight == 0 { // no warm upstream to compare with: single requests with a pause between them
		return len(u.inFlight) == 0 && now-u.coldLevelAt >= 2*time.Duration(b.latency*sharingRatio)
	}
	rate := coldBudgetShare * b.config.Requirements.OverloadFactor * b.warmupFraction(u, now) * u.weight *
		b.capacityPerWeight / bandPeriod.Seconds() // work per second
	leakRate := rate / 2
	if u.readings > 0 && u.utilMean < fullUtil {
		leakRate = rate / sharingRatio
	}
	u.coldLevel, u.coldLevelAt = max(0, u.coldLevel-leakRate*(now-u.coldLevelAt).Seconds()), now
	budget := max(0, rate/2/sharingRatio*b.config.Requirements.OverloadWindow.Seconds()-max(1, r.workUnits))
	if u.coldLevel > budget {
		b.log(now, "cold", "upstream %d is cold: its recent work of %.1f is over the slow-start budget of %.1f",
			u.ID, u.coldLevel, budget)
	}
	return u.coldLevel <= budget
}
