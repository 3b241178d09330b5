// Attempts whose answer is late: lost ones, unresponsive upstreams, and early retries.

package garnettide

import (
	"slices"
	"time"
)

// responseTimeout returns how long u may take for a request of workUnits before the answer counts as late.
// Its lower bound is a multiple of the mean latency of all upstreams, as one fast answer of u tells little.
func (b *Balancer) responseTimeout(u *upstream, workUnits float64) time.Duration {
	expected := max(u.latency+responseTimeoutDevs*u.latencyDev, (1+responseTimeoutDevs/2)*b.latency)
	return time.Duration(expected*max(1, workUnits)) + b.tickInterval
}

// checkResponsiveness looks for lost attempts at u: they free their slots, and their requests are retried. It
// marks u as unresponsive if it has answered nothing for longer than the response timeout: u then gets trial
// requests only, and the requests of its attempts are retried.
func (b *Balancer) checkResponsiveness(u *upstream, now time.Duration) {
	var oldest *attempt
	for _, a := range slices.Clone(u.inFlight) {
		if a.transferring() {
			continue
		} else if !a.lost && b.overdue(a, 1+lateAnswerAllowance*b.lateAnswerRatio, now) {
			a.lost = true
			b.log(now, "lost",
				"upstream %d: no answer for %v while %d later requests were answered: counting the attempt as lost",
				u.ID, now-a.sentAt, a.overtakes)
			b.retryEarly(a, now)
		} else if !a.lost && oldest == nil {
			oldest = a
		}
	}
	if u.unresponsive || oldest == nil {
		return
	}
	silentFor, timeout := now-max(oldest.sentAt, u.lastAnswerAt), b.responseTimeout(u, oldest.req.workUnits)
	if silentFor <= timeout {
		return
	}
	u.unresponsive, u.backoff, u.nextTrialAt = true, timeout, now+timeout
	b.log(now, "unresponsive", "upstream %d has not answered for %v: sending trial requests only",
		u.ID, silentFor)
	for _, a := range slices.Clone(u.inFlight) {
		b.retryEarly(a, now)
	}
}

// overdue reports whether a has been in flight for longer than factor times the response timeout, although
// its upstream has answered later attempts and is not fully used. At full utilisation a may just be slow.
func (b *Balancer) overdue(a *attempt, factor float64, now time.Duration) bool {
	return a.overtakes >= minOvertakes && a.up.utilMean < fullUtil &&
		float64(now-a.sentAt) > factor*float64(b.responseTimeout(a.up, a.req.workUnits))
}

// retryEarly starts another attempt of the request of a, without waiting for the outcome of a, if the request
// may be executed twice, is not streaming and has no other attempt in flight. If the settings allow only one
// attempt at a time, it cancels a instead if they permit that; the retry then follows the Outcome of a.
func (b *Balancer) retryEarly(a *attempt, now time.Duration) {
	if req := a.req; req.class.Idempotency == NonIdempotent || req.Streaming || req.done ||
		req.attemptsInFlight > 1 {
		return
	} else if target, _ := b.pick(req, now); target != nil {
		b.send(req, target, now) // hedged
	} else if !b.config.Limits.Hedging && b.config.Limits.Cancel {
		b.host.Cancel(req.ID, slices.Index(req.attempts, a))
	}
}

// markResponsive notes that u has answered.
func (b *Balancer) markResponsive(u *upstream, now time.Duration) {
	u.unresponsive, u.lastAnswerAt, u.backoff = false, now, b.tickInterval
}
