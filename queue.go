// Requests that wait for an upstream, and those that end without one.

package garnettide

import (
	"cmp"
	"slices"
	"time"
)

// route sends r if an upstream can take it, queues it if one may become free in time, and otherwise ends
// it.
func (b *Balancer) route(r *request, now time.Duration) {
	switch u, permitted := b.pick(r, now); {
	case u != nil:
		b.send(r, u, now)
	case b.isExcessTransfer(r):
		b.log(now, "transfers", "%d transfers in progress: refusing a streamed request", b.conns.transfers)
		b.endUnserved(r, now)
	case (permitted || len(r.attempts) == 0) && now < r.sendBy && !b.allInMaintenance():
		r.queued, b.lastQueuedAt = true, now
		index, _ := slices.BinarySearchFunc(b.queued, r.worth, func(x *request, worth float64) int {
			return cmp.Compare(worth, x.worth)
		})
		b.queued = slices.Insert(b.queued, index, r)
	default:
		b.endUnserved(r, now)
	}
}

// dispatch sends queued requests, those of most worth first, while upstreams can take them. It ends
// requests that have waited until sendBy, and those with more requests ahead than will be sent by then. Once
// no upstream can take a request that has not been sent before, the ones behind it are not tried.
func (b *Balancer) dispatch(now time.Duration) {
	kept, blocked, allInMaintenance := b.queued[:0], false, b.allInMaintenance()
	for _, r := range b.queued {
		if !r.done && b.isExcessTransfer(r) {
			b.endUnserved(r, now)
		} else if !r.done && (allInMaintenance || now >= r.sendBy) {
			b.log(now, "shed", "%d requests queued, no upstream free in time: shedding requests", len(b.queued))
			b.endUnserved(r, now)
		} else if !r.done && !blocked {
			if u, _ := b.pick(r, now); u != nil {
				b.send(r, u, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if ahead := float64(len(kept)); !r.done && b.sendRate > 0 && ahead > b.sendRate*(r.sendBy-now).Seconds() {
			b.log(now, "queue", "%.0f requests ahead in the queue, %.1f sent per second: shedding requests",
				ahead, b.sendRate)
			b.endUnserved(r, now)
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(b.queued[len(kept):])
	b.queued = kept
}

// endUnserved gives the final answer to a request that no upstream has answered.
func (b *Balancer) endUnserved(r *request, now time.Duration) {
	if b.finish(r); b.mayRefuse(r) {
		b.host.Refuse(r.ID, b.retryAfter(now))
	} else {
		b.host.Fail(r.ID)
	}
}

// mayRefuse reports whether the client may be told that a retry of r is safe: either no attempt can have been
// executed, or a repetition does no harm. It is the only place where this is decided.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Idempotency == Idempotent ||
		(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupAll) ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// retryAfter returns how long a refused client should wait: until the requests in the queue have been sent
// and an upstream is available. It is 0 if the settings allow no Retry-After.
func (b *Balancer) retryAfter(now time.Duration) time.Duration {
	if !b.config.Limits.RetryAfter {
		return 0
	}
	soonest, slots := b.config.Limits.MaxRetryAfter, 0.0
	for _, u := range b.inUse {
		if u.inSubset && b.available(u) {
			availableAt := u.pausedUntil
			if u.unresponsive {
				availableAt = u.nextTrialAt
			}
			soonest, slots = min(soonest, max(0, availableAt-now)), slots+max(1, u.limit)
		}
	}
	queueTime := time.Duration(b.latency * float64(len(b.queued)+1) / max(1, slots))
	return min(max(soonest, queueTime), b.config.Limits.MaxRetryAfter)
}
