// Slow start: what a cold upstream may get.

package garnettide

import "time"

// ramp is the share of its capacity that u is sure to have.
func (b *Balancer) warmupFraction(u *upstream, now time.Duration) float64 {
	if u.cold && now-u.coldSince < b.config.Requirements.WarmupTime {
		initial := b.config.Requirements.ColdCapacity
		return initial + (1-initial)*max(0, float64(now-u.coldSince)/float64(b.config.Requirements.WarmupTime))
	}
	u.cold = false
	return 1
}

// chill treats u as freshly started: nothing learnt before holds.
func (b *Balancer) markCold(u *upstream, since time.Duration) {
	u.cold, u.coldSince, u.latency, u.latencyDev, u.workUnits, u.smoothedLatency = true, since, 0, 0, 0, 0
	u.readings, u.utilMean, u.utilDev, u.bandArea, u.limit, u.minLatency, u.baselineLatency = 0, 0, 0, 0, b.initialLimit, 0, 0
}

// coldRoom reports whether r fits this balancer's part of what a cold u may get over OverloadWindow, judged by what
// warm ones carry. Half of that is left for bursts unless u reports use to spare: it may be faster or warm
// sooner than is sure. No request counts less than the mean, as small ones have a fixed part too.
func (b *Balancer) fitsColdBudget(u *upstream, r *request, now time.Duration) bool {
	sharingRatio := max(1, coldBudgetMaxUse*u.sharingRatio)
	if b.capacityPerWeight == 0 { // no warm upstream to judge by: one at a time, and as long a rest between two
		return len(u.inFlight) == 0 && now-u.coldLevelAt >= 2*time.Duration(b.latency*sharingRatio)
	}
	rate := coldBudgetShare * b.config.Requirements.OverloadFactor * b.warmupFraction(u, now) * u.weight * b.capacityPerWeight / bandPeriod.Seconds()
	leakRate := rate / 2
	if u.readings > 0 && u.utilMean < fullUtil { // it reports that it is far from its limit
		leakRate = rate / sharingRatio
	}
	u.coldLevel, u.coldLevelAt = max(0, u.coldLevel-leakRate*(now-u.coldLevelAt).Seconds()), now
	budget := max(0, rate/2/sharingRatio*b.config.Requirements.OverloadWindow.Seconds()-max(1, r.workUnits))
	if u.coldLevel > budget {
		b.log(now, "cold", "upstream %d is cold: %.1f sent of late, over %.1f no more fits", u.ID, u.coldLevel, budget)
	}
	return u.coldLevel <= budget
}
