// Subsetting: the choice of the upstreams that a balancer uses.

package garnettide

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	balancersPerUpstream = 4.0 // balancers that use each upstream, if there are that many
	minSubsetSize        = 2   // smallest number of upstreams that a balancer uses
)

// selectSubset chooses the upstreams that this balancer uses: a deterministic subset, which bounds the
// connections of each upstream and lets a balancer see enough of the load of its upstreams. All balancers
// have the same hash ring and take consecutive upstreams from an offset of their own; the golden ratio
// spreads the offsets evenly for any range of ranks. Cold and unresponsive upstreams stay in the subset,
// which is extended by as many others, up to twice its size. Upstreams presumed to drain are skipped, and
// replaced only where few are left, as the next on the ring may drain as well.
//
// It also sets the initial concurrency limit for the subset's size.
func (b *Balancer) selectSubset(now time.Duration) {
	ring := slices.DeleteFunc(slices.Clone(b.upstreams), func(u *upstream) bool { return !b.available(u) })
	slices.SortFunc(ring, func(x, y *upstream) int { return cmp.Compare(x.ringHash, y.ringHash) })
	allPresumed := !slices.ContainsFunc(ring, func(u *upstream) bool { return !b.presumedDraining(u, now) })
	ringSize, balancers := float64(len(ring)), float64(b.config.Balancers)
	target := max(1, min(ringSize, max(minSubsetSize,
		math.Ceil(ringSize*balancersPerUpstream/max(balancersPerUpstream, balancers-balancersPerUpstream)))))
	b.updateSharingRatios(ring, target, now)
	evenShare := max(ringSize, 1) / target / balancers
	b.initialLimit = initialFleetLimit * max(evenShare, min(b.trafficShare, 1))
	_, offset := math.Modf(float64(b.config.Rank) * math.Phi)
	usable, chosen, maxCandidates, minUsable := 0.0, map[*upstream]bool{}, int(2*target), min(target, minSubsetSize)
	for i := 0; i < len(ring) && len(chosen) < maxCandidates && usable < target; i++ {
		u := ring[(int(offset*ringSize)+i)%len(ring)]
		if b.presumedDraining(u, now) && !allPresumed {
			target = max(target-1, minUsable)
			continue
		}
		if chosen[u] = true; !u.cold && !u.unresponsive {
			usable++
		}
	}
	b.inUse = b.inUse[:0]
	for _, u := range b.upstreams {
		if chosen[u] && !u.inSubset { // random phases keep balancers from sending and probing at the same time
			phase := b.rng.Float64()
			u.limit, u.integratedAt, u.nextTurn = cmp.Or(u.limit, b.initialLimit), now, b.virtualTime+phase*target
			u.pausedUntil = max(u.pausedUntil, now+time.Duration(phase*float64(b.pause(u))))
			u.coldLevel, u.coldLevelAt = phase, now
			u.lastProbeAt = now - time.Duration(phase*float64(bandPeriod))
		}
		if u.inSubset = chosen[u]; u.inSubset || len(u.inFlight) > 0 {
			b.inUse = append(b.inUse, u)
		}
	}
}

// updateSharingRatios sets for each upstream the number of balancers that use it, relative to the usual
// number. Cold upstreams extend the subsets of many balancers, so that more balancers than usual share each
// of them. The ratios are 0 if no upstream is cold.
func (b *Balancer) updateSharingRatios(ring []*upstream, target float64, now time.Duration) {
	cold := false
	for _, u := range ring {
		u.sharingRatio = 0
		cold = b.warmupFraction(u, now) < 1 || cold
	}
	ringSize, balancers := float64(len(ring)), float64(b.config.Balancers)
	for rank := 0; cold && rank < b.config.Balancers; rank++ {
		_, offset := math.Modf(float64(rank) * math.Phi)
		usable := 0.0
		for i := 0; i < min(len(ring), int(2*target)) && usable < target; i++ {
			u := ring[(int(offset*ringSize)+i)%len(ring)]
			u.sharingRatio += ringSize / (target * balancers)
			if !u.cold {
				usable++
			}
		}
	}
}
