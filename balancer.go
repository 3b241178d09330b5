// The handling of requests and their outcomes, concurrency limits, maintenance and the periodic timer. The
// choice of an upstream, retries, the queue, slow start and what else the Balancer decides are in files of
// their own. docs/incidents tells why many of the rules are as they are.

package garnettide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Statistics. The weight of a sample in a running mean lies between 0 and 1.
const (
	smoothing       = 0.1   // weight of a sample
	periodSmoothing = 0.3   // weight of a sample that is taken once in a bandPeriod
	baselineDrift   = 0.005 // weight of a higher sample in a minimum; a lower one replaces it
)

// Concurrency limits, in attempts in flight at one upstream. Fleet limits are totals over all balancers.
const (
	initialFleetLimit      = 3.0
	minFleetLimit          = 0.25 // a limit below one means pauses, in which an overloaded upstream recovers
	maxFleetLimit          = 6.0  // a longer backlog overloads an upstream
	limitCutFactor         = 0.8  // on a slow answer; applied twice on a rejection or timeout
	limitGrowth            = 0.02 // on a fast answer, times the square of its headroom below the latency target
	lowLatencyRatio        = 1.5  // to the minimum latency: an answer below it saw no queue at the upstream
	highLatencyRatio       = 1.6  // to the baseline latency: above it the upstream is overloaded or faulty
	highLatencyTargetShare = 0.5  // share of the latency target below which latency harms nobody
	fullUtil               = 0.8  // mean utilisation from which more attempts in flight gain nothing
)

// Retries, queueing and the weighted round robin of the upstreams.
const (
	responseTimeoutDevs = 5.0  // mean deviations over the usual latency after which an answer is late
	minOvertakes        = 2    // later attempts that were answered first, for an attempt to count as lost
	lateAnswerAllowance = 2.0  // in response timeouts: extra wait for a late answer, times lateAnswerRatio
	latencyMargin       = 2.33 // mean latencies kept before the latency target by the class of least worth
	maxMissedTurns      = 1.0  // missed turns that an upstream may catch up on
	backoffGrowth       = 2    // factor between waits for trials, failed connections and discovery calls
)

// Timers.
const (
	ticksPerTarget            = 16   // ticks in the smallest latency target
	tickToken, discoveryToken = 1, 2 // tokens of Host.SetTimer
)

// New returns a Balancer, or an error that names an invalid setting and wraps ErrInvalidSettings.
func New(s Settings, seed uint64, now time.Duration, host Host) (*Balancer, error) {
	if host == nil {
		return nil, invalidSetting("Host is nil")
	}
	p, err := NewPlan(s, func() {})
	if err != nil {
		return nil, err
	}
	return NewWithPlan(p, seed, now, host), nil
}

// NewWithPlan returns a Balancer with the settings of a plan, which other Balancers may share.
func NewWithPlan(p *Plan, seed uint64, now time.Duration, host Host) *Balancer {
	b := &Balancer{host: host, rng: rand.New(rand.NewPCG(seed, 0)), classes: map[string]*classStatistics{},
		tenants: map[string]*tenant{}, requests: map[RequestID]*request{},
		byID: map[UpstreamID]*upstream{}, inMaintenance: map[UpstreamID]bool{},
		lastLogged:  map[string]time.Duration{},
		periodStart: now, lastQueuedAt: now, lateAnswerRatio: 1}
	b.applyPlan(p)
	b.selectSubset(now)
	b.latency = float64(p.minTarget) / 4 // starting value of the running mean
	host.SetTimer(b.tickInterval, tickToken)
	if b.config.PollDiscovery {
		// The first calls are staggered, as all balancers may start together, but still early enough to
		// learn of changes in time.
		host.SetTimer(time.Duration(b.staggerFraction()*firstCallShare*float64(b.callRoundTime())), discoveryToken)
	}
	return b
}

// Request accepts a client's request: it is sent, queued or answered at once.
func (b *Balancer) Request(now time.Duration, incoming Request) {
	if b.plan.classes[incoming.Class] == nil || !b.plan.acceptsTenant(incoming.Tenant) {
		b.host.Refuse(incoming.ID, 0) // no Retry-After: a later try would be refused as well
		return
	}
	c := b.class(incoming.Class, incoming.ClassSettings)
	r := &request{Request: incoming, class: c, workUnits: cmp.Or(c.latency/b.latency, 1),
		deadline: now + incoming.Budget,
		worth:    c.Worth, bodyPending: incoming.Streaming}
	if incoming.Cost > 0 {
		updateMean(&b.meanCost, float64(incoming.Cost), smoothing*smoothing)
		r.workUnits = max(float64(incoming.Cost)/b.meanCost, smoothing)
	}
	if !b.config.WorthByWork {
		r.worth /= r.workUnits
	}
	if r.overQuota = b.overQuota(r, now); r.overQuota {
		r.worth *= b.config.OverQuotaWorth
	}
	// A budget other than the usual one is the rest of the client's deadline, so it tells how old a retry
	// is. A retry that is unlikely to meet the latency target counts with its late worth only. The margin
	// is smaller for classes of more worth, as a small chance to answer one of their requests in time is
	// worth more than a cheap request.
	margin := time.Duration((latencyMargin - c.LateWorth) * cmp.Or(c.latency, b.latency) *
		b.plan.worthRatio(c.Worth))
	if !c.observeBudget(incoming.Budget) && c.LatencyTarget-(c.Deadline-incoming.Budget) < margin {
		r.worth *= c.LateWorth
	}
	// A request is queued for at most half of the time that the margin leaves, so that the client's next try
	// can still be in time. One tick is subtracted, as queued requests are checked once a tick.
	r.sendBy = now + (min(c.LatencyTarget, incoming.Budget)-max(margin, b.tickInterval))/2 - b.tickInterval
	b.requests[r.ID] = r
	if r.worth == 0 && now-b.lastQueuedAt < time.Duration(b.latency) { // a request was queued recently
		b.endUnserved(r, now)
	} else {
		b.route(r, now)
	}
}

// send starts an attempt of req at u.
func (b *Balancer) send(req *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // none: half-done work is worth more than work that is begun again
	if u.unresponsive {
		u.nextTrialAt = now + u.backoff
		u.backoff = min(u.backoff*backoffGrowth, max(u.backoff, b.config.Requirements.WarmupTime))
		if req.class.Idempotency != NonIdempotent { // leave time for another attempt if the trial fails
			timeout = b.responseTimeout(u, req.workUnits)
		}
	}
	a := &attempt{req: req, up: u, sentAt: now}
	b.conns.begin(a)
	req.attempts, req.attemptsInFlight, req.queued = append(req.attempts, a), req.attemptsInFlight+1, false
	u.inFlight, u.periodWork, u.coldLevel =
		append(u.inFlight, a), u.periodWork+req.workUnits, u.coldLevel+max(1, req.workUnits)
	u.coldLevelAt = now
	b.periodSends++
	b.host.Send(req.ID, u.ID, timeout, req.class.DedupWindow-b.tickInterval)
}

// finish marks r as done and forgets it once no attempt is in flight. A request that was never sent no longer
// counts against the quota: the client's next try is the same request. Attempts in flight are not cancelled:
// the upstreams would continue to work on them while their slots are filled with more work.
func (b *Balancer) finish(r *request) {
	if t := r.tenant; t != nil && !r.done && !r.overQuota && len(r.attempts) == 0 {
		t.level = max(0, t.level-1)
	}
	if r.done = true; r.attemptsInFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// ClientGone drops a request whose client has disconnected.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r)
	}
}

// BodyComplete notes that the body of a streaming request has arrived. The request's budget and the latency
// of its attempt count from now on.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && r.bodyPending {
		r.bodyPending, r.deadline = false, now+r.Budget
		for _, a := range r.attempts {
			a.sentAt, a.overtakes = now, 0
		}
	}
}

// ResponseStarted notes that a streamed answer has begun. It is the final answer of its request if it is
// admitted. The statistics of the upstream are updated now and not at the end of the attempt.
func (b *Balancer) ResponseStarted(now time.Duration, o Outcome, long bool) (admitted bool) {
	r := b.requests[o.ID]
	if r == nil || r.done || o.Attempt < 0 || o.Attempt >= len(r.attempts) {
		return false
	}
	a := r.attempts[o.Attempt]
	b.recordOutcome(a, o.sanitised(), now)
	a.responseStarted = true
	if admitted = !long || a.transfer || !b.conns.transfersFull(); !admitted {
		b.log(now, "transfers", "%d transfers in progress: refusing a long response", b.conns.transfers)
		b.endUnserved(r, now)
	} else if b.finish(r); long {
		b.conns.markTransfer(a)
	}
	b.dispatch(now)
	return admitted
}

// Outcome takes the result of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.neverRan = true, o.Status.NeverRan()
	b.conns.end(a)
	r.attemptsInFlight, r.bodyConsumed = r.attemptsInFlight-1, r.bodyConsumed || o.BodyConsumed
	a.up.inFlight = slices.DeleteFunc(a.up.inFlight, func(x *attempt) bool { return x == a })
	for _, x := range a.up.inFlight {
		if x.sentAt < a.sentAt && o.Status == OK {
			x.overtakes++
		}
	}
	if !a.responseStarted && b.overdue(a, 1, now) && (o.Status == OK || o.Status == Timeout) {
		b.lateAnswerRatio *= 1 - smoothing
		if o.Status == OK {
			b.lateAnswerRatio += smoothing
		}
	}
	if !a.responseStarted {
		b.recordOutcome(a, o.sanitised(), now)
	}
	switch {
	case r.done || o.RequestDone || o.Status == OK:
		b.finish(r)
	case r.attemptsInFlight == 0 && !r.queued: // no other attempt can answer
		b.route(r, now)
	}
	b.dispatch(now)
}

// recordOutcome updates the statistics and the concurrency limit of an upstream with the result of an
// attempt.
func (b *Balancer) recordOutcome(a *attempt, o Outcome, now time.Duration) {
	u, req := a.up, a.req
	if o.Status == OK || o.Status == Error || o.Status == Rejected {
		b.markResponsive(u, now)
	}
	b.countRejections(u, o.Status, now)
	switch o.Status {
	case OK:
		weight := max(smoothing, 1-u.limit) // larger where answers are rare
		u.answers++
		updateMean(&u.latencyDev, math.Abs(float64(o.Latency)-u.latency), weight) // at first the latency itself
		updateMean(&u.latency, float64(o.Latency), weight)
		updateMean(&u.workUnits, max(req.workUnits, 0.5), weight) // small requests have a fixed cost too
		updateMean(&b.latency, float64(o.Latency), smoothing)
		updateMean(&req.class.latency, float64(o.Latency), smoothing)
		latencyPerUnit, target := u.latency/u.workUnits, float64(req.class.LatencyTarget)
		updateMean(&u.smoothedLatency, latencyPerUnit, smoothing)
		updateMean(&u.minLatency, latencyPerUnit, baselineDrift)
		updateMean(&u.baselineLatency, u.smoothedLatency, baselineDrift)
		u.minLatency, u.baselineLatency =
			min(u.minLatency, latencyPerUnit), min(u.baselineLatency, u.smoothedLatency)
		// An upstream that has been overloaded since it was first used is compared with the fleet's values.
		// The limit is cut if the latency is high compared with the baseline of the smoothed latency, so that a
		// single fast answer does not make others look slow. It grows if the latency is close to the minimum
		// or, where answers are sparse, if the upstream reports that it is not fully used.
		minLatency, baselineLatency := min(u.minLatency, cmp.Or(b.minLatency, u.minLatency)),
			min(u.baselineLatency, cmp.Or(b.baselineLatency, u.baselineLatency))
		sparse := weight > 0.5 && u.readings > 0
		if latencyPerUnit > max(highLatencyRatio*baselineLatency, highLatencyTargetShare*target) &&
			!(sparse && u.utilMean < fullUtil) {
			b.cutLimit(u, now, limitCutFactor)
		} else if u.limit < b.initialLimit { // latency is normal again
			u.limit = b.initialLimit
		} else if (sparse || latencyPerUnit < lowLatencyRatio*minLatency) && u.utilMean < fullUtil &&
			now-b.lastQueuedAt < time.Duration(b.latency) { // only while requests are queued
			headroom := target/float64(o.Latency) - 1
			u.limit = max(u.limit, min(u.limit+min(1, limitGrowth*headroom*headroom), u.maxLimit,
				b.initialLimit*maxFleetLimit/initialFleetLimit))
		}
	case Rejected, Timeout:
		b.cutLimit(u, now, limitCutFactor*limitCutFactor)
	case ConnectFailed, Reset: // down or out of connections: send less often
		b.pauseAfterFailure(a, now)
	}
	p := b.pause(u) // arrivals are random: an upstream that was idle for long may take one without a pause
	u.pausedUntil = max(u.pausedUntil, min(now, max(u.pausedUntil, a.sentAt-p)+now-a.sentAt)+p)
	if b.config.Reports != ReportInProbes {
		b.recordLoad(u, o.Load, o.Status == OK, float64(o.Latency)/float64(req.class.LatencyTarget), now)
	}
}

// pauseAfterFailure pauses the upstream of an attempt whose connection has failed. Attempts that were in
// flight together pause it once.
func (b *Balancer) pauseAfterFailure(a *attempt, now time.Duration) {
	u := a.up
	if u.unresponsive || a.sentAt < u.failedAt { // nextTrialAt spaces the trials of unresponsive ones
		return
	}
	u.failedAt, u.pausedUntil = now, now+u.backoff
	u.backoff = min(u.backoff*backoffGrowth, b.config.Requirements.WarmupTime)
}

// pause returns the wait between attempts at u when its limit is below one.
func (b *Balancer) pause(u *upstream) time.Duration {
	return time.Duration(max(0, 1/u.limit-1) * cmp.Or(u.latency, b.latency))
}

// cutLimit multiplies the limit of u by factor, at most once in a mean latency, so that attempts that were in
// flight together cut it once.
func (b *Balancer) cutLimit(u *upstream, now time.Duration, factor float64) {
	if now-u.limitCutAt >= time.Duration(u.latency) {
		u.limit, u.limitCutAt = max(b.initialLimit*minFleetLimit/initialFleetLimit,
			min(u.limit, float64(len(u.inFlight)+1))*factor), now
	}
}

// updateTrafficShare compares the answers that this balancer got in the period with the request rates that
// the upstreams report, so that it can use what other balancers leave idle. The share of the whole traffic,
// for quotas, is scaled by the subset's part of the available upstreams.
func (b *Balancer) updateTrafficShare(now time.Duration) {
	var ownAnswers, allAnswers, subsetSize, availableCount float64
	for _, u := range b.upstreams {
		if b.available(u) {
			availableCount++
		}
	}
	for _, u := range b.inUse {
		if u.inSubset {
			subsetSize++
		}
		if u.inSubset && u.answers > 0 && u.lastLoad.RequestRate > 0 {
			ownAnswers, allAnswers = ownAnswers+u.answers,
				allAnswers+u.lastLoad.RequestRate*(now-b.periodStart).Seconds()
		}
		u.answers = 0
	}
	if allAnswers > 0 {
		weight := periodSmoothing
		if ownAnswers/allAnswers > b.trafficShare { // grow faster: another balancer may have stopped
			weight *= 2
		}
		updateMean(&b.trafficShare, min(ownAnswers/allAnswers, 1), weight)
		b.quotaShare = b.trafficShare * min(subsetSize/max(availableCount, 1), 1)
	}
}

// SetMaintenance takes an upstream out of service whatever discovery lists, or puts it back in service. An
// upstream that returns is cold, keeps no earlier statistics and may be used at once.
func (b *Balancer) SetMaintenance(now time.Duration, id UpstreamID, out bool) {
	if b.inMaintenance[id] == out {
		return
	}
	if b.inMaintenance[id] = out; !out {
		delete(b.inMaintenance, id)
	}
	u := b.byID[id]
	if u != nil && !out {
		b.markCold(u, now)
		u.unresponsive, u.backoff, u.maintenanceEndedAt, u.shareFactor = false, b.tickInterval, now, 1
	}
	if b.selectSubset(now); u != nil && !out {
		u.nextTurn, u.pausedUntil = b.virtualTime, now
	}
	b.dispatch(now)
}

// Probed records the load in a probe's result. It does not mark the upstream as responsive: a server that
// answers probes may still fail requests.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	if u := b.byID[p.Upstream]; u != nil && p.Status == OK {
		b.recordLoad(u, p.Load.sanitised(), false, 0, now)
	}
}

// Timer handles the expiry of a timer: the periodic tick or the next call of discovery. A tick ends a period
// that is over, looks for lost attempts, starts probes and sends queued requests.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token != tickToken { // an unknown token must not start a second series of ticks
		b.callDiscovery(now)
		return
	}
	b.host.SetTimer(b.tickInterval, tickToken)
	if now-b.periodStart >= bandPeriod {
		b.endPeriod(now)
	}
	b.forgetRemoved()
	probing := b.config.Reports == ReportInProbes && b.config.Limits.Probes
	for _, u := range b.inUse {
		b.checkResponsiveness(u, now)
		if probing && u.inSubset && now-u.lastProbeAt >= bandPeriod {
			u.lastProbeAt = now
			b.host.Probe(u.ID)
		}
	}
	b.dispatch(now)
}
