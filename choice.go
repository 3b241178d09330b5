// The choice of an upstream for an attempt: what the rules permit, and whose turn it is.

package garnettide

import (
	"math"
	"slices"
	"time"
)

// maySend reports whether the limits and the idempotency of the class permit an attempt of r at u. It is the
// only place where this is decided.
func (b *Balancer) maySend(r *request, u *upstream, now time.Duration) bool {
	if r.done || r.bodyConsumed || now >= r.deadline || !b.available(u) ||
		len(r.attempts) >= b.config.Limits.MaxAttempts ||
		(r.attemptsInFlight > 0 && (r.Streaming || !b.config.Limits.Hedging)) {
		return false
	}
	for _, a := range r.attempts {
		if !a.neverRan && (r.class.Idempotency == NonIdempotent || (r.class.Idempotency == IdempotentByKey &&
			(now-a.sentAt >= r.class.DedupWindow-b.tickInterval ||
				(r.class.DedupScope == DedupZone && a.up.Zone != u.Zone) ||
				(r.class.DedupScope == DedupCell && a.up.Cell != u.Cell)))) {
			return false
		}
	}
	return true
}

// eligible reports whether u may take r now: it is not paused, has a free slot and, if it is cold, has
// slow-start budget left. An unresponsive upstream may take r as a trial when its next trial is due.
func (b *Balancer) eligible(u *upstream, r *request, now time.Duration) bool {
	ok := now >= u.pausedUntil && float64(u.activeAttempts()) < max(1, math.Round(u.limit))
	if u.unresponsive { // requests of less idempotent classes are sent as trials only after a further wait
		ok = now >= u.nextTrialAt && !r.Streaming &&
			(r.class.Idempotency == b.mostIdempotent || now >= u.nextTrialAt+u.backoff)
	}
	return ok && (b.warmupFraction(u, now) == 1 || b.fitsColdBudget(u, r, now))
}

// pick returns the eligible upstream with the earliest next turn, or nil, and advances its next turn: a
// weighted round robin in virtual time. permitted tells whether maySend permits r at an upstream of the
// subset, eligible or not.
func (b *Balancer) pick(r *request, now time.Duration) (best *upstream, permitted bool) {
	var totalWeight float64
	connAvailable := !b.conns.full() && !b.isExcessTransfer(r)
	for _, u := range b.inUse {
		if !u.inSubset {
			continue
		}
		totalWeight += b.effectiveWeight(u, now)
		allowed := b.maySend(r, u, now)
		permitted = permitted || allowed
		if allowed && connAvailable && (best == nil || u.nextTurn < best.nextTurn) && b.eligible(u, r, now) {
			best = u
		}
	}
	if best != nil {
		b.virtualTime = max(b.virtualTime, best.nextTurn)
		interval := totalWeight / b.effectiveWeight(best, now)
		best.nextTurn = max(best.nextTurn, b.virtualTime-maxMissedTurns*interval) + interval
	}
	return best, permitted
}

// effectiveWeight returns the weight of u in the round robin, after cuts of its share and during slow start.
func (b *Balancer) effectiveWeight(u *upstream, now time.Duration) float64 {
	return u.weight * u.shareFactor * b.warmupFraction(u, now)
}

// available reports whether u is active and not in maintenance.
func (b *Balancer) available(u *upstream) bool { return u.State == Active && !b.inMaintenance[u.ID] }

// allInMaintenance reports whether all active upstreams are in maintenance, so that queueing is of no use.
func (b *Balancer) allInMaintenance() bool {
	return len(b.inMaintenance) > 0 && !slices.ContainsFunc(b.upstreams, b.available) &&
		slices.ContainsFunc(b.upstreams, func(u *upstream) bool { return u.State == Active })
}
