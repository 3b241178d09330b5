// The decisions of garnettide: requests and their repeats, concurrency limits, admission, and all constants.
// subset.go has the subset of upstreams, bands.go the saturation bands, slowstart.go slow start, discovery.go
// the calls of discovery and its lists, state.go quotas, budgets and changed settings. The interface is in
// api.go, the check of settings in settings.go; docs/incidents tells why much of it is as it is.

package garnettide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Constants. Those without a unit are ratios.
const (
	bandWindow                = 8           // N: readings in an upstream's moving window
	bandHalfWidth             = 2.0         // α: half the band gap in standard deviations, as usual for these bands
	bandPeriod                = time.Second // the band gap is integrated over it, then shares move
	minBandArea               = 0.4         // areas below it are noise: a deviation of a tenth of full use
	saturatedAreaRatio        = 1.25        // saturated: an area over this multiple of the fleet's median
	fullUtil                  = 0.8         // mean use over which more attempts out bring no more
	minExcessUtil             = 0.5         // use below it never counts as excess level
	minCutFactor              = 0.8         // the deepest cut in one period: reports lag, so steps are small
	shareRestoreFactor        = 1.04        // shares come back more slowly than they go
	minShareFactor            = 0.1         // a share is never cut below this part of its start
	maxLagRounds              = 1.0         // turns missed beyond this many rounds are forgotten
	smoothing                 = 0.1         // weight of a new sample in running means
	balancersPerUpstream      = 4.0         // balancers that share an upstream, where there are enough
	minSubsetSize             = 2           // upstreams that a balancer uses at least
	initialFleetLimit         = 3.0         // attempts out at one upstream, over all balancers, at first
	maxFleetLimit             = 6.0         // at most, over all balancers: a backlog beyond it makes a server choke
	periodSmoothing           = 0.3         // weight of a period's part of the traffic in the mean of it
	minFleetLimit             = 0.25        // over all balancers: with pauses, so that a crowded server can rest
	limitCutFactor            = 0.8         // on a crowded answer; twice on a full queue or a time-out
	limitGrowth               = 0.02        // on an answer while turns are short, times the square of its spare aims
	lowLatencyRatio           = 1.5         // latency for the work, in multiples of its least: no queue
	highLatencyRatio          = 1.6         // over this multiple: the upstream is crowded or sick
	highLatencyTargetShare    = 0.5         // and it takes this part of the aim: far under it crowding hurts nobody
	baselineDrift             = 0.005       // how fast the least latency is unlearnt
	responseTimeoutDevs       = 5.0         // deviations over its usual latency before an upstream is silent
	minOvertakes              = 2           // answers to later attempts after which one that is overdue is lost
	lateAnswerAllowance       = 2.0         // patience that is added while what is overdue is answered after all
	coldBudgetShare           = 0.6         // part of the cold budget that is used
	coldBudgetMaxUse          = 0.9         // and its use at most: half of that at once, and all in OverloadWindow
	latencyMargin             = 2.33        // latencies to the aim left to the cheapest class, less its late worth
	quotaDevs                 = 2.0         // deviations of a second's requests by chance that a quota lets pass
	budgetTolerance           = 16          // a budget that differs by one in this many is a client's later try
	maxBudgetVotes            = 64          // tries of other budgets that it takes to unlearn the usual one, at most
	ticksPerTarget            = 16          // housekeeping runs this often in the shortest aim
	backoffGrowth             = 2           // trials, failed connects and discovery calls are spaced by this growth
	removalsPerTick           = 256         // names that are forgotten in a tick, a change
	logInterval               = 5 * time.Second
	discoveryCallTime         = 60 * time.Millisecond // of discovery, for a call
	firstCallShare            = 0.7                   // of the time for a call of each: not all are new at once
	maxNotifyDelay            = 6 * time.Second       // what a failed call missed counts as told by then
	minCallReserve            = time.Second           // of that, for the call that brings it; at least as long as
	maxCallReserve            = 2 * time.Second       // the failed one took, up to this: discovery fails it by then
	longPollThreshold         = 7 * time.Second / 2   // a call is given up by then: later ones waited for news
	rejectionLimit            = 2                     // requests in a row
	presumedDrainTime         = 2 * maxNotifyDelay
	tickToken, discoveryToken = 1, 2
)

// New returns a Balancer, or an error that names the setting that is wrong.
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

// NewWithPlan returns a Balancer that goes by a plan, which others may share.
func NewWithPlan(p *Plan, seed uint64, now time.Duration, host Host) *Balancer {
	b := &Balancer{host: host, rng: rand.New(rand.NewPCG(seed, 0)), classes: map[string]*classStatistics{},
		tenants: map[string]*tenant{}, requests: map[RequestID]*request{},
		byID: map[UpstreamID]*upstream{}, inMaintenance: map[UpstreamID]bool{}, lastLogged: map[string]time.Duration{},
		periodStart: now, lastQueuedAt: now, lateAnswerRatio: 1}
	b.applyPlan(p)
	b.selectSubset(now)
	b.latency = float64(p.minTarget) / 4 // until answers tell
	host.SetTimer(b.tickInterval, tickToken)
	if b.config.PollDiscovery { // not all balancers at once, also where a release has started them together;
		// yet soon: what changed while this one was down counts as told no later for that
		host.SetTimer(time.Duration(b.staggerFraction()*firstCallShare*float64(b.callRoundTime())), discoveryToken)
	}
	return b
}

// --- Request ledger ---

// maySend alone decides whether r may be sent (again), and whether u may take it.
func (b *Balancer) maySend(r *request, u *upstream, now time.Duration) bool {
	if r.done || r.bodyConsumed || now >= r.deadline || !b.available(u) ||
		len(r.attempts) >= b.config.Limits.MaxAttempts || (r.attemptsInFlight > 0 && (r.Streaming || !b.config.Limits.Hedging)) {
		return false
	}
	for _, a := range r.attempts {
		if !a.neverRan && (r.class.Idempotency == NonIdempotent || (r.class.Idempotency == IdempotentByKey &&
			(now-a.sentAt >= r.class.DedupWindow-b.tickInterval || (r.class.DedupScope == DedupZone && a.up.Zone != u.Zone) ||
				(r.class.DedupScope == DedupCell && a.up.Cell != u.Cell)))) {
			return false
		}
	}
	return true
}

// mayRefuse alone decides whether the client may be told that a retry is harmless.
func (b *Balancer) mayRefuse(r *request) bool {
	return r.class.Idempotency == Idempotent ||
		(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupAll) ||
		!slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// Request takes a client's request.
func (b *Balancer) Request(now time.Duration, incoming Request) {
	if b.plan.classes[incoming.Class] == nil || !b.plan.acceptsTenant(incoming.Tenant) { // never sent, so a retry is harmless
		b.host.Refuse(incoming.ID, 0) // and it helps as little later
		return
	}
	c := b.class(incoming.Class, incoming.ClassSettings)
	r := &request{Request: incoming, class: c, workUnits: cmp.Or(c.latency/b.latency, 1), deadline: now + incoming.Budget,
		worth: c.Worth, bodyPending: incoming.Streaming}
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
	// A try of the usual budget may be a first one. Any other was given what is left of the deadline, a last one
	// more than usual, and so shows its age. Past the aim it would take the turns of those in time.
	// The more a class is worth, the sooner a small chance to be in time outweighs what a cheap one is sure of.
	margin := time.Duration((latencyMargin - c.LateWorth) * cmp.Or(c.latency, b.latency) * b.plan.worthRatio(c.Worth))
	if !c.isUsualBudget(incoming.Budget) && c.LatencyTarget-(c.Deadline-incoming.Budget) < margin {
		r.worth *= c.LateWorth
	}
	// Held for half of its time at most: refused then, the client's next try can still be in time, and is no
	// late one that takes turns. The held are looked at once a tick: without one in hand a short budget ran out.
	r.sendBy = now + (min(c.LatencyTarget, incoming.Budget)-max(margin, b.tickInterval))/2 - b.tickInterval
	b.requests[r.ID] = r
	if r.worth == 0 && now-b.lastQueuedAt < time.Duration(b.latency) { // turns are short
		b.endUnserved(r, now)
	} else {
		b.route(r, now)
	}
}

// place sends r if a turn allows it, holds it if one may come free in time, and otherwise ends it.
func (b *Balancer) route(r *request, now time.Duration) {
	switch u, permitted := b.pick(r, now); {
	case u != nil:
		b.send(r, u, now)
	case (permitted || len(r.attempts) == 0) && now < r.sendBy && !b.allInMaintenance(): // most worth first, then the newest
		r.queued, b.lastQueuedAt = true, now
		index, _ := slices.BinarySearchFunc(b.queued, r.worth, func(x *request, worth float64) int {
			return cmp.Compare(worth, x.worth)
		})
		b.queued = slices.Insert(b.queued, index, r)
	default:
		b.endUnserved(r, now)
	}
}

func (b *Balancer) send(req *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	if u.unresponsive {
		u.nextTrialAt = now + u.backoff
		u.backoff = min(u.backoff*backoffGrowth, max(u.backoff, b.config.Requirements.WarmupTime))
		if req.class.Idempotency != NonIdempotent { // a trial leaves time for another attempt
			timeout = b.responseTimeout(u, req.workUnits)
		}
	}
	a := &attempt{req: req, up: u, sentAt: now}
	req.attempts, req.attemptsInFlight, req.queued = append(req.attempts, a), req.attemptsInFlight+1, false
	u.inFlight, u.periodWork, u.coldLevel = append(u.inFlight, a), u.periodWork+req.workUnits, u.coldLevel+max(1, req.workUnits)
	u.coldLevelAt = now
	b.periodSends++
	b.host.Send(req.ID, u.ID, timeout, req.class.DedupWindow-b.tickInterval)
}

// giveUp gives the final answer to a request that is not served.
func (b *Balancer) endUnserved(r *request, now time.Duration) {
	if b.finish(r); b.mayRefuse(r) {
		b.host.Refuse(r.ID, b.retryAfter(now))
	} else {
		b.host.Fail(r.ID)
	}
}

// advice is when a client that is refused should come back: by then what is held has had its turns and some
// upstream may be asked.
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

// finish notes that r has its answer, its stream, or nobody who waits. What else is out is not cancelled: the
// upstream would work on all the same, and a place given up for it would be filled on top of that work.
func (b *Balancer) finish(r *request) {
	if t := r.tenant; t != nil && !r.done && !r.overQuota && len(r.attempts) == 0 {
		t.level = max(0, t.level-1) // it was given nothing: its next try is the same request
	}
	if r.done = true; r.attemptsInFlight == 0 {
		delete(b.requests, r.ID)
	}
}

// ClientGone drops a request whose client has left.
func (b *Balancer) ClientGone(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && !r.done {
		b.finish(r)
	}
}

// BodyComplete begins the time of an open request, and that of the attempt that its body went to.
func (b *Balancer) BodyComplete(now time.Duration, id RequestID) {
	if r := b.requests[id]; r != nil && r.bodyPending {
		r.bodyPending, r.deadline = false, now+r.Budget
		for _, a := range r.attempts {
			a.sentAt, a.overtakes = now, 0
		}
	}
}

// ResponseStarted takes an answer that has begun: all that it tells of its upstream is known, and its client
// has it.
func (b *Balancer) ResponseStarted(now time.Duration, o Outcome) {
	if r := b.requests[o.ID]; r != nil && !r.done && o.Attempt >= 0 && o.Attempt < len(r.attempts) {
		a := r.attempts[o.Attempt]
		b.recordOutcome(a, o.sanitized(), now)
		a.responseStarted = true
		b.finish(r)
		b.dispatch(now)
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].ended {
		return
	}
	a := r.attempts[o.Attempt]
	a.ended, a.neverRan = true, o.Status.NeverRan()
	r.attemptsInFlight, r.bodyConsumed = r.attemptsInFlight-1, r.bodyConsumed || o.BodyConsumed
	a.up.inFlight = slices.DeleteFunc(a.up.inFlight, func(x *attempt) bool { return x == a })
	for _, x := range a.up.inFlight {
		if x.sentAt < a.sentAt && o.Status == OK {
			x.overtakes++
		}
	}
	if !a.responseStarted && b.overdue(a, 1, now) && (o.Status == OK || o.Status == Timeout) { // lost, or only slow?
		b.lateAnswerRatio *= 1 - smoothing
		if o.Status == OK {
			b.lateAnswerRatio += smoothing
		}
	}
	if !a.responseStarted {
		b.recordOutcome(a, o.sanitized(), now)
	}
	switch {
	case r.done || o.RequestDone || o.Status == OK:
		b.finish(r)
	case r.attemptsInFlight == 0 && !r.queued: // else another copy may still answer, or a turn may come free
		b.route(r, now)
	}
	b.dispatch(now)
}

// --- Bands and shares ---

// learn draws from an outcome what it tells about its upstream.
func (b *Balancer) recordOutcome(a *attempt, o Outcome, now time.Duration) {
	u, req := a.up, a.req
	if o.Status == OK || o.Status == Error || o.Status == Rejected {
		b.markResponsive(u, now)
	}
	b.countRejections(u, o.Status, now)
	switch o.Status {
	case OK:
		weight := max(smoothing, 1-u.limit) // the rarer its answers, the more each one tells
		u.answers++
		updateMean(&u.latencyDev, math.Abs(float64(o.Latency)-u.latency), weight) // at first as large as the mean
		updateMean(&u.latency, float64(o.Latency), weight)
		updateMean(&u.workUnits, max(req.workUnits, 0.5), weight) // small ones have a fixed part too
		updateMean(&b.latency, float64(o.Latency), smoothing)
		updateMean(&req.class.latency, float64(o.Latency), smoothing)
		latencyPerUnit, target := u.latency/u.workUnits, float64(req.class.LatencyTarget)
		updateMean(&u.smoothedLatency, latencyPerUnit, smoothing)
		updateMean(&u.minLatency, latencyPerUnit, baselineDrift)
		updateMean(&u.baselineLatency, u.smoothedLatency, baselineDrift)
		u.minLatency, u.baselineLatency = min(u.minLatency, latencyPerUnit), min(u.baselineLatency, u.smoothedLatency)
		// One met crowded knows no better of itself. Cuts go by the least of a slow mean, since single answers
		// once counted as crowding. Growth goes by the least, or by readings where one answer outweighs the mean.
		minLatency, baselineLatency := min(u.minLatency, cmp.Or(b.minLatency, u.minLatency)), min(u.baselineLatency, cmp.Or(b.baselineLatency, u.baselineLatency))
		sparse := weight > 0.5 && u.readings > 0
		if latencyPerUnit > max(highLatencyRatio*baselineLatency, highLatencyTargetShare*target) && !(sparse && u.utilMean < fullUtil) {
			b.cutLimit(u, now, limitCutFactor)
		} else if u.limit < b.initialLimit { // it has had its rest
			u.limit = b.initialLimit
		} else if (sparse || latencyPerUnit < lowLatencyRatio*minLatency) && u.utilMean < fullUtil && now-b.lastQueuedAt < time.Duration(b.latency) {
			headroom := target/float64(o.Latency) - 1
			u.limit = max(u.limit, min(u.limit+min(1, limitGrowth*headroom*headroom), u.maxLimit, b.initialLimit*maxFleetLimit/initialFleetLimit))
		}
	case Rejected, Timeout:
		b.cutLimit(u, now, limitCutFactor*limitCutFactor)
	case ConnectFailed, Reset: // down, or its connection table is full: ask less often
		if !u.unresponsive { // else its trials are spaced already
			u.pausedUntil = now + u.backoff
			u.backoff = min(u.backoff*backoffGrowth, b.config.Requirements.WarmupTime)
		}
	}
	p := b.pause(u) // one left idle has an attempt in hand: requests come by chance
	u.pausedUntil = max(u.pausedUntil, min(now, max(u.pausedUntil, a.sentAt-p)+now-a.sentAt)+p)
	if b.config.Reports != ReportInProbes {
		b.recordLoad(u, o.Load, o.Status == OK, float64(o.Latency)/float64(req.class.LatencyTarget), now)
	}
}

// pause is the wait between attempts at u when its bound is under one.
func (b *Balancer) pause(u *upstream) time.Duration {
	return time.Duration(max(0, 1/u.limit-1) * cmp.Or(u.latency, b.latency))
}

// shrink lowers the bound, once for what was out together.
func (b *Balancer) cutLimit(u *upstream, now time.Duration, factor float64) {
	if now-u.limitCutAt >= time.Duration(u.latency) {
		u.limit, u.limitCutAt = max(b.initialLimit*minFleetLimit/initialFleetLimit, min(u.limit, float64(len(u.inFlight)+1))*factor), now
	}
}

// reckon sets what this balancer had answered in the period against what the upstreams report in all.
// What others leave idle, since they are down or have few clients, is this one's to use. Quotas are of the
// whole traffic, and the subset stands for as much of that as of the upstreams.
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
			ownAnswers, allAnswers = ownAnswers+u.answers, allAnswers+u.lastLoad.RequestRate*(now-b.periodStart).Seconds()
		}
		u.answers = 0
	}
	if allAnswers > 0 {
		weight := periodSmoothing
		if ownAnswers/allAnswers > b.trafficShare { // another balancer has gone: what it leaves idle is wanted now
			weight *= 2
		}
		updateMean(&b.trafficShare, min(ownAnswers/allAnswers, 1), weight)
		b.quotaShare = b.trafficShare * min(subsetSize/max(availableCount, 1), 1)
	}
}

// share is u's part of the traffic, not scaled.
func (b *Balancer) effectiveWeight(u *upstream, now time.Duration) float64 {
	return u.weight * u.shareFactor * b.warmupFraction(u, now)
}

// --- Maintenance ---

// SetMaintenance leaves an upstream out until it is called back, whatever lists say of it. Back from work on
// it, it is cold from now on, as far as anyone told, and its turn comes at once: what it once was tells
// nothing.
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

// open tells whether discovery and the operators let u be used.
func (b *Balancer) available(u *upstream) bool { return u.State == Active && !b.inMaintenance[u.ID] }

// barred tells whether operators have left out all that could be used: nothing comes free by waiting.
func (b *Balancer) allInMaintenance() bool {
	return len(b.inMaintenance) > 0 && !slices.ContainsFunc(b.upstreams, b.available) &&
		slices.ContainsFunc(b.upstreams, func(u *upstream) bool { return u.State == Active })
}

// --- Eligibility ---

// patience is how long u may owe every answer before it counts as silent.
func (b *Balancer) responseTimeout(u *upstream, workUnits float64) time.Duration {
	expected := max(u.latency+responseTimeoutDevs*u.latencyDev, (1+responseTimeoutDevs/2)*b.latency) // one lucky answer is no measure
	return time.Duration(expected*max(1, workUnits)) + b.tickInterval
}

// quiet looks for attempts that are lost, which free their place and start elsewhere. Then it looks whether
// u has fallen silent: attempts are out and nothing has come back for longer than its patience. Its turns are
// skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) checkResponsiveness(u *upstream, now time.Duration) {
	var oldest *attempt
	for _, a := range slices.Clone(u.inFlight) {
		if a.transferring() {
			continue
		} else if !a.lost && b.overdue(a, 1+lateAnswerAllowance*b.lateAnswerRatio, now) {
			a.lost = true
			b.log(now, "lost", "upstream %d owes an answer for %v and gave %d to later ones: starting elsewhere", u.ID,
				now-a.sentAt, a.overtakes)
			b.retryElsewhere(a, now)
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
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", u.ID, silentFor)
	for _, a := range slices.Clone(u.inFlight) {
		b.retryElsewhere(a, now)
	}
}

// overdue tells whether a is out for longer than its upstream's patience, times a factor, while that answers
// what was sent later and has use to spare. At full use it may as well be a long one in a crowd.
func (b *Balancer) overdue(a *attempt, factor float64, now time.Duration) bool {
	return a.overtakes >= minOvertakes && a.up.utilMean < fullUtil &&
		float64(now-a.sentAt) > factor*float64(b.responseTimeout(a.up, a.req.workUnits))
}

// rescue starts the request of a, whose answer does not come, elsewhere, if it may run twice and has no other
// copy out.
func (b *Balancer) retryElsewhere(a *attempt, now time.Duration) {
	if req := a.req; req.class.Idempotency == NonIdempotent || req.Streaming || req.done || req.attemptsInFlight > 1 {
		return
	} else if target, _ := b.pick(req, now); target != nil {
		b.send(req, target, now) // a second copy
	} else if !b.config.Limits.Hedging && b.config.Limits.Cancel {
		b.host.Cancel(req.ID, slices.Index(req.attempts, a))
	}
}

// answered notes a sign of life.
func (b *Balancer) markResponsive(u *upstream, now time.Duration) {
	u.unresponsive, u.lastAnswerAt, u.backoff = false, now, b.tickInterval
}

// eligible reports whether u may take r at this turn. The bound is a guard: shares decide below it.
func (b *Balancer) eligible(u *upstream, r *request, now time.Duration) bool {
	ok := now >= u.pausedUntil && float64(u.activeAttempts()) < max(1, math.Round(u.limit))
	if u.unresponsive { // the safest class goes first as a trial
		ok = now >= u.nextTrialAt && !r.Streaming && (r.class.Idempotency == b.mostIdempotent || now >= u.nextTrialAt+u.backoff)
	}
	return ok && (b.warmupFraction(u, now) == 1 || b.fitsColdBudget(u, r, now))
}

// --- The pick ---

// pick gives the turn to the upstream due first, an even interleave by shares; legal: any may ever take r.
func (b *Balancer) pick(r *request, now time.Duration) (best *upstream, permitted bool) {
	var totalWeight float64
	for _, u := range b.inUse {
		if !u.inSubset {
			continue
		}
		totalWeight += b.effectiveWeight(u, now)
		allowed := b.maySend(r, u, now)
		permitted = permitted || allowed
		if allowed && (best == nil || u.nextTurn < best.nextTurn) && b.eligible(u, r, now) {
			best = u
		}
	}
	if best != nil {
		b.virtualTime = max(b.virtualTime, best.nextTurn)
		interval := totalWeight / b.effectiveWeight(best, now)
		best.nextTurn = max(best.nextTurn, b.virtualTime-maxLagRounds*interval) + interval
	}
	return best, permitted
}

// --- Admission ---

// dispatch sends held requests while turns come free. It ends those that could not be answered in time, and
// those ahead of which more are held than turns will come: the next try of their clients stands first. A
// first try that fits nowhere shows that no later one fits.
func (b *Balancer) dispatch(now time.Duration) {
	kept, blocked, allInMaintenance := b.queued[:0], false, b.allInMaintenance()
	for _, r := range b.queued {
		if !r.done && (allInMaintenance || now >= r.sendBy) {
			b.log(now, "shed", "%d held, no turn free within the aim: refusing", len(b.queued))
			b.endUnserved(r, now)
		} else if !r.done && !blocked {
			if u, _ := b.pick(r, now); u != nil {
				b.send(r, u, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if ahead := float64(len(kept)); !r.done && b.sendRate > 0 && ahead > b.sendRate*(r.sendBy-now).Seconds() {
			b.log(now, "buried", "%.0f held ahead, %.1f sent a second: refusing", ahead, b.sendRate)
			b.endUnserved(r, now)
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(b.queued[len(kept):])
	b.queued = kept
}

// Probed takes a probe's result: a reading only, since a shallow probe proves no more than a process.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	if u := b.byID[p.Upstream]; u != nil && p.Status == OK {
		b.recordLoad(u, p.Load.sanitized(), false, 0, now)
	}
}

// --- Timers ---

// Timer takes a timer that the Balancer has set.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; a stray one must not start a second row of ticks
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
