// When discovery is called, and what its lists change.

package garnettide

import (
	"math"
	"time"
)

// Members takes what discovery says of the upstreams.
func (b *Balancer) Members(now time.Duration, mode ListMode, list []Upstream) {
	b.listUnconfirmed = mode != ListFull && mode != ListDelta
	switch mode {
	case ListStale: // at once: what it misses counts as told before turns drawn over all instances would be over
		b.mayMissChanges, b.discoveryBackoff = true, 0
		b.callDiscovery(now)
		return
	case ListFailed: // ask again, later each time and never all instances at once
		b.discoveryBackoff = max(b.discoveryBackoff*backoffGrowth, b.config.Requirements.MaxDiscoveryInterval/32)
		if !b.mayMissChanges {
			b.discoveryBackoff = max(b.discoveryBackoff, b.callRoundTime())
		}
		b.discoveryBackoff = min(b.discoveryBackoff, b.config.Requirements.MaxDiscoveryInterval/2)
		earliest, latest := b.retryWindow(now)
		delay := earliest + time.Duration(b.staggerFraction()*float64(min(b.discoveryBackoff*3/2, latest)-earliest))
		b.host.SetTimer(delay, discoveryToken)
		b.log(now, "discovery", "discovery call failed: asking again in %v", delay)
		return
	}
	b.mayMissChanges, b.discoveryBackoff, b.discoveryCalledAt = false, 0, now // a watch goes on with the next call
	listed := make(map[UpstreamID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		b.applyEntry(entry.sanitized(), now)
	}
	for _, u := range b.upstreams {
		if mode != ListDelta && !listed[u.ID] {
			u.State = Removed
		}
	}
	b.selectSubset(now)
	b.dispatch(now)
}

// retryWindow is when to call discovery again after a call that has failed. It may be back, with news, since
// that call was made: the next one is in time for that. A call that has waited for its turn in vain shows
// that others were served then, and that soon nobody may wait any more: the next one begins sooner.
func (b *Balancer) retryWindow(now time.Duration) (earliest, latest time.Duration) {
	elapsed := now - b.discoveryCalledAt
	if elapsed > longPollThreshold { // it had waited for news
		elapsed = 0
	}
	latest = maxNotifyDelay - elapsed - max(minCallReserve, min(elapsed, maxCallReserve))
	earliest = min(b.discoveryBackoff, latest) / 2
	if elapsed > minCallReserve {
		earliest /= 2
	}
	return earliest, latest
}

// ask calls discovery.
func (b *Balancer) callDiscovery(now time.Duration) {
	b.discoveryCalledAt = now
	b.host.Watch(true)
}

// turnOf is this balancer's own part of a time in which all call discovery: all may have begun at once.
func (b *Balancer) staggerFraction() float64 {
	_, fraction := math.Modf(float64(b.config.Rank)*math.Phi + b.rng.Float64()/float64(b.config.Balancers))
	return fraction
}

// turnOfCalls is the time in which discovery, that serves calls in turn, can serve one of each balancer.
func (b *Balancer) callRoundTime() time.Duration {
	return min(time.Duration(b.config.Balancers)*discoveryCallTime, b.config.Requirements.MaxDiscoveryInterval/2)
}

// member applies one list entry.
func (b *Balancer) applyEntry(entry Upstream, now time.Duration) {
	u := b.byID[entry.ID]
	if u == nil && entry.State == Removed {
		return
	} else if u == nil {
		u = &upstream{weight: entry.Weight, shareFactor: 1, maxLimit: initialFleetLimit, backoff: b.tickInterval, coldLevelAt: now, lastAnswerAt: now,
			limitCutAt: now, pausedUntil: now, ringHash: hashID(uint64(entry.ID))}
		b.byID[entry.ID], b.upstreams = u, append(b.upstreams, u)
	}
	if entry.StartedAt > max(u.StartedAt, u.maintenanceEndedAt) { // new, or restarted under the same id
		u.unresponsive, u.pausedUntil = false, now
		if now-entry.StartedAt < b.config.Requirements.WarmupTime {
			b.markCold(u, entry.StartedAt)
			u.coldLevel, u.coldLevelAt = b.rng.Float64(), now // not what it got while warm; drawn, or all begin at once
		}
	}
	u.Upstream = entry
	if b.config.Weights == WeightLoadAdjusted { // late and the same for all: only its slow mean is safe to follow
		entry.Weight = u.weight + smoothing*(entry.Weight-u.weight)
	}
	u.weight = max(entry.Weight, math.SmallestNonzeroFloat32)
}

// countTurnedAway counts the requests in a row that u has turned away. Some while the list may be out
// of date tell that it drains: it is left out, and tried again after a while, as discovery may be down long.
func (b *Balancer) countRejections(u *upstream, status Status, now time.Duration) {
	switch status {
	case OK, Error:
		u.consecutiveRejections = 0
	case Rejected:
		u.consecutiveRejections++
		if b.listUnconfirmed && u.consecutiveRejections >= rejectionLimit {
			u.presumedDrainingUntil = now + presumedDrainTime
			b.selectSubset(now)
		}
	}
}

// presumedDraining tells that u is left out as one that drains, although the list does not say so.
func (b *Balancer) presumedDraining(u *upstream, now time.Duration) bool {
	return b.listUnconfirmed && now < u.presumedDrainingUntil
}
