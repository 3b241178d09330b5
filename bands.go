// Saturation bands: utilisation readings, their band gap, and the shares that follow from it.

package garnettide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// read takes a load report as a reading of utilisation. Stand-ins: what is held or waits, and at sites
// without reports the latency as a part of the aim.
func (b *Balancer) recordLoad(u *upstream, l Load, ok bool, latencyRatio float64, now time.Duration) {
	util := l.Util
	switch {
	case l.Fields&HasUtil != 0:
	case l.Fields&(HasInflight|HasQueue) != 0:
		util = 1 - 1/(1+l.Inflight+l.Queue)
	case b.config.Reports == ReportNone && ok:
		util = min(1, latencyRatio)
	}
	if (l.Fields != 0 && l == u.lastLoad) || (l.Fields == 0 && util == 0) { // not refreshed: no new reading
		return
	}
	b.integrateBand(u, now)
	u.utilWindow[u.readings%bandWindow] = util
	u.lastLoad, u.readings = l, u.readings+1
	u.utilMean, u.utilDev = meanAndDeviation(u.utilWindow[:min(u.readings, bandWindow)])
}

// bands returns the moving average and the population standard deviation.
func meanAndDeviation(xs []float64) (mean, dev float64) {
	for _, x := range xs {
		mean += x / float64(len(xs))
	}
	for _, x := range xs {
		dev += (x - mean) * (x - mean) / float64(len(xs))
	}
	return mean, math.Sqrt(dev)
}

// integrate adds the band gap. A server pinned at full load reads flat, so its level over the fleet's counts.
func (b *Balancer) integrateBand(u *upstream, now time.Duration) {
	width := 2 * bandHalfWidth * (u.utilDev + max(0, u.utilMean-max(minExcessUtil, b.medianUtil)))
	u.bandArea, u.integratedAt = u.bandArea+width*(now-u.integratedAt).Seconds()/bandPeriod.Seconds(), now
}

// rank is the value over one in n of the upstreams that have readings: the median for n = 2.
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

// step closes the period: saturated upstreams lose share by degrees, the others regain it. The threshold
// follows the fleet's median, so a rise on all servers cuts nobody.
func (b *Balancer) endPeriod(now time.Duration) {
	var totalWork, totalWeight float64
	for _, u := range b.inUse {
		b.integrateBand(u, now)
		if u.periodWork > 0 || u.workPeriods > 0 { // a mean of the few there are, an empty one before them: care
			u.workPeriods++
			u.meanWork += max(smoothing, 1/(u.workPeriods+1)) * (u.periodWork - u.meanWork)
		}
		u.periodWork = 0
		if u.inSubset && !u.cold && !u.unresponsive && u.meanWork > 0 {
			totalWork, totalWeight = totalWork+u.meanWork/min(max(cmp.Or(u.utilMean, 1), minExcessUtil), 1), totalWeight+u.weight
		}
	}
	b.capacityPerWeight = cmp.Or(totalWork/max(totalWeight, math.SmallestNonzeroFloat32), b.capacityPerWeight) // with nobody to judge by, as before
	threshold := max(minBandArea, saturatedAreaRatio*b.quantile(2, func(u *upstream) float64 { return u.bandArea }))
	for _, u := range b.inUse {
		if u.readings >= bandWindow/2 && u.bandArea > threshold {
			u.shareFactor = max(minShareFactor, u.shareFactor*max(minCutFactor, threshold/u.bandArea))
		} else {
			u.shareFactor = min(1, u.shareFactor*shareRestoreFactor)
		}
		u.limit = min(u.limit, b.initialLimit*maxFleetLimit/initialFleetLimit)
		u.bandArea, u.maxLimit = 0, max(2*u.limit, initialFleetLimit) // or it grew tenfold before a reading told of full use
	}
	updateMean(&b.sendRate, b.periodSends/bandPeriod.Seconds(), periodSmoothing)
	b.periodSends = 0
	b.updateTrafficShare(now)
	b.periodStart, b.medianUtil = now, b.quantile(2, func(u *upstream) float64 { return u.utilMean })
	b.minLatency = b.quantile(4, func(u *upstream) float64 { return u.minLatency })
	b.baselineLatency = b.quantile(4, func(u *upstream) float64 { return u.baselineLatency })
	b.upstreams = slices.DeleteFunc(b.upstreams, func(u *upstream) bool { // forget what is gone and owes nothing
		removed := u.State == Removed && len(u.inFlight) == 0
		if removed {
			delete(b.byID, u.ID)
		}
		return removed
	})
	b.selectSubset(now)
}
