// When discovery is called, and what its lists change.

package garnettide

import (
	"math"
	"time"
)

// Members takes what discovery says of the upstreams.
func (b *Balancer) Members(now time.Duration, mode ListMode, list []Upstream) {
	b.listInDoubt = mode != ListFull && mode != ListDelta
	switch mode {
	case ListStale: // at once: what it misses counts as told before turns drawn over all instances would be over
		b.stale, b.watchWait = true, 0
		b.ask(now)
		return
	case ListFailed: // ask again, later each time and never all instances at once
		b.watchWait = max(b.watchWait*waitGrowth, b.s.Requirements.MaxDiscoveryInterval/32)
		if !b.stale {
			b.watchWait = max(b.watchWait, b.turnOfCalls())
		}
		b.watchWait = min(b.watchWait, b.s.Requirements.MaxDiscoveryInterval/2)
		least, most := b.retryWindow(now)
		wait := least + time.Duration(b.turnOf()*float64(min(b.watchWait*3/2, most)-least))
		b.host.SetTimer(wait, watchToken)
		b.log(now, "discovery", "discovery call failed: asking again in %v", wait)
		return
	}
	b.stale, b.watchWait, b.askedAt = false, 0, now // a watch goes on with the next call
	named := make(map[UpstreamID]bool, len(list))
	for _, e := range list {
		named[e.ID] = true
		b.member(e.sanitized(), now)
	}
	for _, u := range b.ups {
		if mode != ListDelta && !named[u.ID] {
			u.State = Removed
		}
	}
	b.gather(now)
	b.dispatch(now)
}

// retryWindow is when to call discovery again after a call that has failed. It may be back, with news, since
// that call was made: the next one is in time for that. A call that has waited for its turn in vain shows
// that others were served then, and that soon nobody may wait any more: the next one begins sooner.
func (b *Balancer) retryWindow(now time.Duration) (least, most time.Duration) {
	took := now - b.askedAt
	if took > callMost { // it had waited for news
		took = 0
	}
	most = toldWithin - took - max(callSpare, min(took, callWaitMost))
	least = min(b.watchWait, most) / 2
	if took > callSpare {
		least /= 2
	}
	return least, most
}

// ask calls discovery.
func (b *Balancer) ask(now time.Duration) {
	b.askedAt = now
	b.host.Watch(true)
}

// turnOf is this balancer's own part of a time in which all call discovery: all may have begun at once.
func (b *Balancer) turnOf() float64 {
	_, turn := math.Modf(float64(b.s.Rank)*math.Phi + b.rng.Float64()/float64(b.s.Balancers))
	return turn
}

// turnOfCalls is the time in which discovery, that serves calls in turn, can serve one of each balancer.
func (b *Balancer) turnOfCalls() time.Duration {
	return min(time.Duration(b.s.Balancers)*callTime, b.s.Requirements.MaxDiscoveryInterval/2)
}

// member applies one list entry.
func (b *Balancer) member(e Upstream, now time.Duration) {
	u := b.byID[e.ID]
	if u == nil && e.State == Removed {
		return
	} else if u == nil {
		u = &upstream{weight: e.Weight, factor: 1, most: boundStart, wait: b.tick, spentAt: now, answeredAt: now,
			cutAt: now, freeAt: now, place: mixed(uint64(e.ID))}
		b.byID[e.ID], b.ups = u, append(b.ups, u)
	}
	if e.StartedAt > max(u.StartedAt, u.backAt) { // new, or restarted under the same id
		u.silent, u.freeAt = false, now
		if now-e.StartedAt < b.s.Requirements.WarmupTime {
			b.chill(u, e.StartedAt)
			u.spent, u.spentAt = b.rng.Float64(), now // not what it got while warm; drawn, or all begin at once
		}
	}
	u.Upstream = e
	if b.s.Weights == WeightLoadAdjusted { // late and the same for all: only its slow mean is safe to follow
		e.Weight = u.weight + smoothing*(e.Weight-u.weight)
	}
	u.weight = max(e.Weight, math.SmallestNonzeroFloat32)
}

// countTurnedAway counts the requests in a row that u has turned away. Some while the list may be out
// of date tell that it drains: it is left out, and tried again after a while, as discovery may be down long.
func (b *Balancer) countTurnedAway(u *upstream, status Status, now time.Duration) {
	switch status {
	case OK, Error:
		u.turnedAway = 0
	case Rejected:
		u.turnedAway++
		if b.listInDoubt && u.turnedAway >= turnedAwayLimit {
			u.presumedUntil = now + presumedDrainTime
			b.gather(now)
		}
	}
}

// presumedDraining tells that u is left out as one that drains, although the list does not say so.
func (b *Balancer) presumedDraining(u *upstream, now time.Duration) bool {
	return b.listInDoubt && now < u.presumedUntil
}
