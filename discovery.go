// Discovery: when it is called, and how its lists are applied.

package garnettide

import (
	"math"
	"time"
)

// Timing of discovery calls, and detection of draining upstreams while the list is unconfirmed.
const (
	discoveryCallTime = 60 * time.Millisecond // time in which discovery serves one call
	firstCallShare    = 0.7                   // share of the call round of the first calls: not all balancers are new at once
	maxNotifyDelay    = 6 * time.Second       // time within which a balancer has to learn of a change in discovery
	minCallReserve    = time.Second           // smallest part of maxNotifyDelay that is reserved for the next call
	maxCallReserve    = 2 * time.Second       // largest part: discovery fails a call by then; between, as the failed call took
	longPollThreshold = 7 * time.Second / 2   // a failed call that took longer counts as served and waiting for changes

	rejectionLimit    = 2 // consecutive rejections after which an upstream is presumed to drain
	presumedDrainTime = 2 * maxNotifyDelay
)

// Members applies a list from discovery. With ListStale it calls discovery at once, with ListFailed after a
// wait.
func (b *Balancer) Members(now time.Duration, mode ListMode, list []Upstream) {
	b.listUnconfirmed = mode != ListFull && mode != ListDelta
	switch mode {
	case ListStale: // without a staggered wait, which could exceed maxNotifyDelay
		b.mayMissChanges, b.discoveryBackoff = true, 0
		b.callDiscovery(now)
		return
	case ListFailed: // exponential backoff, staggered over the balancers
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
	b.mayMissChanges, b.discoveryBackoff, b.discoveryCalledAt = false, 0, now // the watch has already made its next call
	listed := make(map[UpstreamID]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		b.applyEntry(entry.sanitised(), now)
	}
	if mode != ListCached {
		b.lastListAt = now
	}
	for _, u := range b.upstreams {
		if mode != ListDelta && !listed[u.ID] {
			u.State = Removed
		}
	}
	b.selectSubset(now)
	b.dispatch(now)
}

// retryWindow returns the earliest and latest delay of the next discovery call after a failed one.
// Discovery may have had changes since the failed call began, so the next call has to end within
// maxNotifyDelay of that. A call that took longer than minCallReserve may have waited behind others that
// were served meanwhile, so the next one may start sooner.
func (b *Balancer) retryWindow(now time.Duration) (earliest, latest time.Duration) {
	elapsed := now - b.discoveryCalledAt
	if elapsed > longPollThreshold {
		elapsed = 0
	}
	latest = maxNotifyDelay - elapsed - max(minCallReserve, min(elapsed, maxCallReserve))
	earliest = min(b.discoveryBackoff, latest) / 2
	if elapsed > minCallReserve {
		earliest /= 2
	}
	return earliest, latest
}

// callDiscovery starts a new watch of discovery, which passes its lists to Members.
func (b *Balancer) callDiscovery(now time.Duration) {
	b.discoveryCalledAt = now
	b.host.Watch(true)
}

// staggerFraction returns a number from 0 to 1 that spreads the calls of all balancers evenly over a
// period: the golden ratio times the balancer's rank, with jitter.
func (b *Balancer) staggerFraction() float64 {
	_, fraction := math.Modf(float64(b.config.Rank)*math.Phi + b.rng.Float64()/float64(b.config.Balancers))
	return fraction
}

// callRoundTime returns the time in which discovery, which serves calls one after another, can serve one
// call of each balancer, but at most half of the longest permitted interval between calls.
func (b *Balancer) callRoundTime() time.Duration {
	return min(time.Duration(b.config.Balancers)*discoveryCallTime, b.config.Requirements.MaxDiscoveryInterval/2)
}

// applyEntry applies one list entry, and adds an upstream for it if there is none.
func (b *Balancer) applyEntry(entry Upstream, now time.Duration) {
	u, known := b.byID[entry.ID]
	if !known && entry.State == Removed {
		return
	} else if !known {
		u = &upstream{weight: entry.Weight, shareFactor: 1, maxLimit: initialFleetLimit, backoff: b.tickInterval,
			coldLevelAt: now, lastAnswerAt: now,
			limitCutAt: now, pausedUntil: now, ringHash: hashID(uint64(entry.ID))}
		b.byID[entry.ID], b.upstreams = u, append(b.upstreams, u)
	}
	if entry.StartedAt > max(u.StartedAt, u.maintenanceEndedAt) { // new, or restarted under the same id
		u.unresponsive, u.pausedUntil = false, now
		if since := b.startedSince(entry, known, now); now-since < b.config.Requirements.WarmupTime {
			b.markCold(u, since)
			u.coldLevel, u.coldLevelAt = b.rng.Float64(), now // random, so that balancers do not all send at once
		}
	}
	u.Upstream = entry
	if b.config.Weights == WeightLoadAdjusted { // delayed and the same for all balancers: follow it slowly
		entry.Weight = u.weight + smoothing*(entry.Weight-u.weight)
	}
	u.weight = max(entry.Weight, math.SmallestNonzeroFloat32)
}

// startedSince returns the time from which the warm-up of an upstream counts whose entry tells a new start. That is its
// start, unless the owner's clock was set differently from discovery's: a start lies not in the future, and that of a
// known upstream not long before the last list, which did not have it yet. Then the warm-up counts from now on.
func (b *Balancer) startedSince(entry Upstream, known bool, now time.Duration) time.Duration {
	restarted := known && b.lastListAt > 0
	if entry.StartedAt > now || restarted && entry.StartedAt < b.lastListAt-maxNotifyDelay {
		return now
	}
	return entry.StartedAt
}

// countRejections counts consecutive rejections by u. If there are several while the list is unconfirmed, u
// is presumed to drain and left out for presumedDrainTime.
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

// presumedDraining reports whether u is left out because it seems to drain, although no list says so.
func (b *Balancer) presumedDraining(u *upstream, now time.Duration) bool {
	return b.listUnconfirmed && now < u.presumedDrainingUntil
}
