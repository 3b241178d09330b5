// Saturation detection: Bollinger bands of each upstream's utilisation, and the cuts of shares that follow
// from them.

package garnettide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	bandPeriod         = time.Second // period over which band widths are integrated; shares change at its end
	bandWindow         = 8           // utilisation readings in the moving window of an upstream
	bandHalfWidth      = 2.0         // distance of a band from the mean, in standard deviations, as usual for these bands
	minExcessUtil      = 0.5         // mean utilisation that never counts as excess over the fleet
	minBandArea        = 0.4         // area up to which no upstream counts as saturated: a deviation of 0.1 is noise
	saturatedAreaRatio = 1.25        // to the median area: an upstream above it is saturated
	minCutFactor       = 0.8         // largest cut of a share in one period, as a factor: load reports lag behind
	shareRestoreFactor = 1.04        // growth of a cut share in one period, slower than a cut
	minShareFactor     = 0.1         // smallest share left after cuts, as a factor
)

// recordLoad adds a utilisation reading from a load report. Without a utilisation in the report it is
// derived from the requests in flight and waiting or, where upstreams send no reports, from latencyRatio,
// the latency of a successful attempt divided by the latency target. An unchanged report adds no reading.
func (b *Balancer) recordLoad(u *upstream, l Load, success bool, latencyRatio float64, now time.Duration) {
	util := l.Util
	switch {
	case l.Fields&HasUtil != 0:
	case l.Fields&(HasInflight|HasQueue) != 0:
		util = 1 - 1/(1+l.Inflight+l.Queue)
	case b.config.Reports == ReportNone && success:
		util = min(1, latencyRatio)
	}
	if (l.Fields != 0 && l == u.lastLoad) || (l.Fields == 0 && util == 0) {
		return
	}
	b.integrateBand(u, now)
	u.utilWindow[u.readings%bandWindow] = util
	u.lastLoad, u.readings = l, u.readings+1
	u.utilMean, u.utilDev = meanAndDeviation(u.utilWindow[:min(u.readings, bandWindow)])
}

// meanAndDeviation returns the mean and the population standard deviation of xs.
func meanAndDeviation(xs []float64) (mean, dev float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		dev += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(dev)
}

// integrateBand adds the band width, integrated over the time since the last call, to the band area. The
// excess of the mean over the fleet's median widens the band, as the utilisation of a saturated upstream
// hardly varies.
func (b *Balancer) integrateBand(u *upstream, now time.Duration) {
	width := 2 * bandHalfWidth * (u.utilDev + max(0, u.utilMean-max(minExcessUtil, b.medianUtil)))
	u.bandArea, u.integratedAt = u.bandArea+width*(now-u.integratedAt).Seconds()/bandPeriod.Seconds(), now
}

// quantile returns the value at 1/n of the sorted values of all upstreams of the subset that have readings
// (the median for n = 2), or 0 if there are none.
func (b *Balancer) quantile(n int, value func(*upstream) float64) float64 {
	values := make([]float64, 0, len(b.inUse)+1)
	for _, u := range b.inUse {
		if u.inSubset && u.readings > 0 {
			values = append(values, value(u))
		}
	}
	slices.Sort(values)
	return append(values, 0)[len(values)/n]
}

// endPeriod ends a bandPeriod: saturated upstreams lose a part of their share, and the others regain
// theirs. The threshold follows the fleet's median, so that a rise of load on all upstreams cuts no share.
// It also updates the statistics of the period, removes upstreams that are gone and selects the subset
// again.
func (b *Balancer) endPeriod(now time.Duration) {
	var totalWork, totalWeight float64
	for _, u := range b.inUse {
		b.integrateBand(u, now)
		if u.periodWork > 0 || u.workPeriods > 0 { // the mean counts one empty period before the first
			u.workPeriods++
			u.meanWork += max(smoothing, 1/(u.workPeriods+1)) * (u.periodWork - u.meanWork)
		}
		u.periodWork = 0
		if u.inSubset && !u.cold && !u.unresponsive && u.meanWork > 0 {
			totalWork, totalWeight = totalWork+u.meanWork/min(max(cmp.Or(u.utilMean, 1), minExcessUtil), 1),
				totalWeight+u.weight
		}
	}
	// Without a warm upstream the capacity stays as it was.
	b.capacityPerWeight = cmp.Or(totalWork/max(totalWeight, math.SmallestNonzeroFloat32), b.capacityPerWeight)
	threshold := max(minBandArea, saturatedAreaRatio*b.quantile(2, func(u *upstream) float64 { return u.bandArea }))
	for _, u := range b.inUse {
		if u.readings >= bandWindow/2 && u.bandArea > threshold {
			u.shareFactor = max(minShareFactor, u.shareFactor*max(minCutFactor, threshold/u.bandArea))
		} else {
			u.shareFactor = min(1, u.shareFactor*shareRestoreFactor)
		}
		u.limit = min(u.limit, b.initialLimit*maxFleetLimit/initialFleetLimit)
		// Without this bound a limit grew tenfold before a load report showed that the upstream was fully used.
		u.bandArea, u.maxLimit = 0, max(2*u.limit, initialFleetLimit)
	}
	updateMean(&b.sendRate, b.periodSends/bandPeriod.Seconds(), periodSmoothing)
	b.periodSends = 0
	b.updateTrafficShare(now)
	b.periodStart, b.medianUtil = now, b.quantile(2, func(u *upstream) float64 { return u.utilMean })
	b.minLatency = b.quantile(4, func(u *upstream) float64 { return u.minLatency })
	b.baselineLatency = b.quantile(4, func(u *upstream) float64 { return u.baselineLatency })
	b.upstreams = slices.DeleteFunc(b.upstreams, func(u *upstream) bool {
		removed := u.State == Removed && len(u.inFlight) == 0
		if removed {
			delete(b.byID, u.ID)
		}
		return removed
	})
	b.selectSubset(now)
}
