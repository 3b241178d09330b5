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
	bandWindow            = 8           // N: readings in an upstream's moving window
	bandAlpha             = 2.0         // α: half the band gap in standard deviations, as usual for these bands
	bandPeriod            = time.Second // the band gap is integrated over it, then shares move
	areaFloor             = 0.4         // areas below it are noise: a deviation of a tenth of full use
	areaRatio             = 1.25        // saturated: an area over this multiple of the fleet's median
	fullUse               = 0.8         // mean use over which more attempts out bring no more
	levelFloor            = 0.5         // use below it never counts as excess level
	cutMost               = 0.8         // the deepest cut in one period: reports lag, so steps are small
	restoreStep           = 1.04        // shares come back more slowly than they go
	shareFloor            = 0.1         // a share is never cut below this part of its start
	debtRounds            = 1.0         // turns missed beyond this many rounds are forgotten
	smoothing             = 0.1         // weight of a new sample in running means
	sharers               = 4.0         // balancers that share an upstream, where there are enough
	subsetLeast           = 2           // upstreams that a balancer uses at least
	boundStart            = 3.0         // attempts out at one upstream, over all balancers, at first
	boundMost             = 6.0         // at most, over all balancers: a backlog beyond it makes a server choke
	partWeight            = 0.3         // weight of a period's part of the traffic in the mean of it
	boundLeast            = 0.25        // over all balancers: with pauses, so that a crowded server can rest
	boundCut              = 0.8         // on a crowded answer; twice on a full queue or a time-out
	boundGrowth           = 0.02        // on an answer while turns are short, times the square of its spare aims
	easy                  = 1.5         // latency for the work, in multiples of its least: no queue
	crowded               = 1.6         // over this multiple: the upstream is crowded or sick
	crowdedShare          = 0.5         // and it takes this part of the aim: far under it crowding hurts nobody
	leastDrift            = 0.005       // how fast the least latency is unlearnt
	patienceDevs          = 5.0         // deviations over its usual latency before an upstream is silent
	lostAfter             = 2           // answers to later attempts after which one that is overdue is lost
	lostDoubt             = 2.0         // patience that is added while what is overdue is answered after all
	tipMargin             = 0.6         // part of the cold budget that is used
	coldUse               = 0.9         // and its use at most: half of that at once, and all in OverloadWindow
	sendSpare             = 2.33        // latencies to the aim left to the cheapest class, less its late worth
	quotaChance           = 2.0         // deviations of a second's requests by chance that a quota lets pass
	budgetNoise           = 16          // a budget that differs by one in this many is a client's later try
	budgetVotes           = 64          // tries of other budgets that it takes to unlearn the usual one, at most
	ticksPerAim           = 16          // housekeeping runs this often in the shortest aim
	waitGrowth            = 2           // trials, failed connects and discovery calls are spaced by this growth
	forgetMost            = 256         // names that are forgotten in a tick, a change
	logEvery              = 5 * time.Second
	callTime              = 60 * time.Millisecond // of discovery, for a call
	firstCalls            = 0.7                   // of the time for a call of each: not all are new at once
	toldWithin            = 6 * time.Second       // what a failed call missed counts as told by then
	callSpare             = time.Second           // of that, for the call that brings it; at least as long as
	callWaitMost          = 2 * time.Second       // the failed one took, up to this: discovery fails it by then
	callMost              = 7 * time.Second / 2   // a call is given up by then: later ones waited for news
	turnedAwayLimit       = 2                     // requests in a row
	presumedDrainTime     = 2 * toldWithin
	tickToken, watchToken = 1, 2
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
		byID: map[UpstreamID]*upstream{}, off: map[UpstreamID]bool{}, logged: map[string]time.Duration{},
		stepAt: now, tightAt: now, doubt: 1}
	b.adopt(p)
	b.gather(now)
	b.lat = float64(p.minTarget) / 4 // until answers tell
	host.SetTimer(b.tick, tickToken)
	if b.s.PollDiscovery { // not all balancers at once, also where a release has started them together;
		// yet soon: what changed while this one was down counts as told no later for that
		host.SetTimer(time.Duration(b.turnOf()*firstCalls*float64(b.turnOfCalls())), watchToken)
	}
	return b
}

// --- Request ledger ---

// maySend alone decides whether r may be sent (again), and whether u may take it.
func (b *Balancer) maySend(r *request, u *upstream, now time.Duration) bool {
	if r.done || r.spent || now >= r.deadline || !b.open(u) ||
		len(r.attempts) >= b.s.Limits.MaxAttempts || (r.out > 0 && (r.Streaming || !b.s.Limits.Hedging)) {
		return false
	}
	for _, a := range r.attempts {
		if !a.neverRan && (r.class.Idempotency == NonIdempotent || (r.class.Idempotency == IdempotentByKey &&
			(now-a.sentAt >= r.class.DedupWindow-b.tick || (r.class.DedupScope == DedupZone && a.up.Zone != u.Zone) ||
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
func (b *Balancer) Request(now time.Duration, q Request) {
	if b.plan.classes[q.Class] == nil || !b.plan.knows(q.Tenant) { // never sent, so a retry is harmless
		b.host.Refuse(q.ID, 0) // and it helps as little later
		return
	}
	c := b.class(q.Class, q.ClassSettings)
	r := &request{Request: q, class: c, units: cmp.Or(c.lat/b.lat, 1), deadline: now + q.Budget,
		worth: c.Worth, coming: q.Streaming}
	if q.Cost > 0 {
		follow(&b.cost, float64(q.Cost), smoothing*smoothing)
		r.units = max(float64(q.Cost)/b.cost, smoothing)
	}
	if !b.s.WorthByWork {
		r.worth /= r.units
	}
	if r.over = b.over(r, now); r.over {
		r.worth *= b.s.OverQuotaWorth
	}
	// A try of the usual budget may be a first one. Any other was given what is left of the deadline, a last one
	// more than usual, and so shows its age. Past the aim it would take the turns of those in time.
	// The more a class is worth, the sooner a small chance to be in time outweighs what a cheap one is sure of.
	spare := time.Duration((sendSpare - c.LateWorth) * cmp.Or(c.lat, b.lat) * b.plan.stake(c.Worth))
	if !c.usual(q.Budget) && c.LatencyTarget-(c.Deadline-q.Budget) < spare {
		r.worth *= c.LateWorth
	}
	// Held for half of its time at most: refused then, the client's next try can still be in time, and is no
	// late one that takes turns. The held are looked at once a tick: without one in hand a short budget ran out.
	r.sendBy = now + (min(c.LatencyTarget, q.Budget)-max(spare, b.tick))/2 - b.tick
	b.requests[r.ID] = r
	if r.worth == 0 && now-b.tightAt < time.Duration(b.lat) { // turns are short
		b.giveUp(r, now)
	} else {
		b.place(r, now)
	}
}

// place sends r if a turn allows it, holds it if one may come free in time, and otherwise ends it.
func (b *Balancer) place(r *request, now time.Duration) {
	switch u, legal := b.pick(r, now); {
	case u != nil:
		b.send(r, u, now)
	case (legal || len(r.attempts) == 0) && now < r.sendBy && !b.barred(): // most worth first, then the newest
		r.held, b.tightAt = true, now
		at, _ := slices.BinarySearchFunc(b.held, r.worth, func(x *request, worth float64) int {
			return cmp.Compare(worth, x.worth)
		})
		b.held = slices.Insert(b.held, at, r)
	default:
		b.giveUp(r, now)
	}
}

func (b *Balancer) send(r *request, u *upstream, now time.Duration) {
	timeout := time.Duration(0) // until the client quits: work half done is worth more than work begun anew
	if u.silent {
		u.trialAt = now + u.wait
		u.wait = min(u.wait*waitGrowth, max(u.wait, b.s.Requirements.WarmupTime))
		if r.class.Idempotency != NonIdempotent { // a trial leaves time for another attempt
			timeout = b.patience(u, r.units)
		}
	}
	a := &attempt{r: r, up: u, sentAt: now}
	r.attempts, r.out, r.held = append(r.attempts, a), r.out+1, false
	u.outs, u.carried, u.spent = append(u.outs, a), u.carried+r.units, u.spent+max(1, r.units)
	u.spentAt = now
	b.sends++
	b.host.Send(r.ID, u.ID, timeout, r.class.DedupWindow-b.tick)
}

// giveUp gives the final answer to a request that is not served.
func (b *Balancer) giveUp(r *request, now time.Duration) {
	if b.finish(r); b.mayRefuse(r) {
		b.host.Refuse(r.ID, b.advice(now))
	} else {
		b.host.Fail(r.ID)
	}
}

// advice is when a client that is refused should come back: by then what is held has had its turns and some
// upstream may be asked.
func (b *Balancer) advice(now time.Duration) time.Duration {
	if !b.s.Limits.RetryAfter {
		return 0
	}
	soonest, room := b.s.Limits.MaxRetryAfter, 0.0
	for _, u := range b.near {
		if u.member && b.open(u) {
			at := u.freeAt
			if u.silent {
				at = u.trialAt
			}
			soonest, room = min(soonest, max(0, at-now)), room+max(1, u.bound)
		}
	}
	turns := time.Duration(b.lat * float64(len(b.held)+1) / max(1, room))
	return min(max(soonest, turns), b.s.Limits.MaxRetryAfter)
}

// finish notes that r has its answer, its stream, or nobody who waits. What else is out is not cancelled: the
// upstream would work on all the same, and a place given up for it would be filled on top of that work.
func (b *Balancer) finish(r *request) {
	if t := r.tenant; t != nil && !r.done && !r.over && len(r.attempts) == 0 {
		t.level = max(0, t.level-1) // it was given nothing: its next try is the same request
	}
	if r.done = true; r.out == 0 {
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
	if r := b.requests[id]; r != nil && r.coming {
		r.coming, r.deadline = false, now+r.Budget
		for _, a := range r.attempts {
			a.sentAt, a.passed = now, 0
		}
	}
}

// ResponseStarted takes an answer that has begun: all that it tells of its upstream is known, and its client
// has it.
func (b *Balancer) ResponseStarted(now time.Duration, o Outcome) {
	if r := b.requests[o.ID]; r != nil && !r.done && o.Attempt >= 0 && o.Attempt < len(r.attempts) {
		a := r.attempts[o.Attempt]
		b.learn(a, o.sanitized(), now)
		a.begun = true
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
	r.out, r.spent = r.out-1, r.spent || o.BodyConsumed
	a.up.outs = slices.DeleteFunc(a.up.outs, func(x *attempt) bool { return x == a })
	for _, x := range a.up.outs {
		if x.sentAt < a.sentAt && o.Status == OK {
			x.passed++
		}
	}
	if !a.begun && b.overdue(a, 1, now) && (o.Status == OK || o.Status == Timeout) { // lost, or only slow?
		b.doubt *= 1 - smoothing
		if o.Status == OK {
			b.doubt += smoothing
		}
	}
	if !a.begun {
		b.learn(a, o.sanitized(), now)
	}
	switch {
	case r.done || o.RequestDone || o.Status == OK:
		b.finish(r)
	case r.out == 0 && !r.held: // else another copy may still answer, or a turn may come free
		b.place(r, now)
	}
	b.dispatch(now)
}

// --- Bands and shares ---

// learn draws from an outcome what it tells about its upstream.
func (b *Balancer) learn(a *attempt, o Outcome, now time.Duration) {
	u, r := a.up, a.r
	if o.Status == OK || o.Status == Error || o.Status == Rejected {
		b.answered(u, now)
	}
	b.countTurnedAway(u, o.Status, now)
	switch o.Status {
	case OK:
		w := max(smoothing, 1-u.bound) // the rarer its answers, the more each one tells
		u.answers++
		follow(&u.latDev, math.Abs(float64(o.Latency)-u.lat), w) // at first as large as the mean
		follow(&u.lat, float64(o.Latency), w)
		follow(&u.units, max(r.units, 0.5), w) // small ones have a fixed part too
		follow(&b.lat, float64(o.Latency), smoothing)
		follow(&r.class.lat, float64(o.Latency), smoothing)
		per, aim := u.lat/u.units, float64(r.class.LatencyTarget)
		follow(&u.slow, per, smoothing)
		follow(&u.least, per, leastDrift)
		follow(&u.calm, u.slow, leastDrift)
		u.least, u.calm = min(u.least, per), min(u.calm, u.slow)
		// One met crowded knows no better of itself. Cuts go by the least of a slow mean, since single answers
		// once counted as crowding. Growth goes by the least, or by readings where one answer outweighs the mean.
		least, calm := min(u.least, cmp.Or(b.least, u.least)), min(u.calm, cmp.Or(b.calm, u.calm))
		thin := w > 0.5 && u.readings > 0
		if per > max(crowded*calm, crowdedShare*aim) && !(thin && u.mean < fullUse) {
			b.shrink(u, now, boundCut)
		} else if u.bound < b.start { // it has had its rest
			u.bound = b.start
		} else if (thin || per < easy*least) && u.mean < fullUse && now-b.tightAt < time.Duration(b.lat) {
			spare := aim/float64(o.Latency) - 1
			u.bound = max(u.bound, min(u.bound+min(1, boundGrowth*spare*spare), u.most, b.start*boundMost/boundStart))
		}
	case Rejected, Timeout:
		b.shrink(u, now, boundCut*boundCut)
	case ConnectFailed, Reset: // down, or its connection table is full: ask less often
		if !u.silent { // else its trials are spaced already
			u.freeAt = now + u.wait
			u.wait = min(u.wait*waitGrowth, b.s.Requirements.WarmupTime)
		}
	}
	p := b.pause(u) // one left idle has an attempt in hand: requests come by chance
	u.freeAt = max(u.freeAt, min(now, max(u.freeAt, a.sentAt-p)+now-a.sentAt)+p)
	if b.s.Reports != ReportInProbes {
		b.read(u, o.Load, o.Status == OK, float64(o.Latency)/float64(r.class.LatencyTarget), now)
	}
}

// pause is the wait between attempts at u when its bound is under one.
func (b *Balancer) pause(u *upstream) time.Duration {
	return time.Duration(max(0, 1/u.bound-1) * cmp.Or(u.lat, b.lat))
}

// shrink lowers the bound, once for what was out together.
func (b *Balancer) shrink(u *upstream, now time.Duration, by float64) {
	if now-u.cutAt >= time.Duration(u.lat) {
		u.bound, u.cutAt = max(b.start*boundLeast/boundStart, min(u.bound, float64(len(u.outs)+1))*by), now
	}
}

// reckon sets what this balancer had answered in the period against what the upstreams report in all.
// What others leave idle, since they are down or have few clients, is this one's to use. Quotas are of the
// whole traffic, and the subset stands for as much of that as of the upstreams.
func (b *Balancer) reckon(now time.Duration) {
	var own, all, mine, ring float64
	for _, u := range b.ups {
		if b.open(u) {
			ring++
		}
	}
	for _, u := range b.near {
		if u.member {
			mine++
		}
		if u.member && u.answers > 0 && u.last.RequestRate > 0 {
			own, all = own+u.answers, all+u.last.RequestRate*(now-b.stepAt).Seconds()
		}
		u.answers = 0
	}
	if all > 0 {
		weight := partWeight
		if own/all > b.part { // another balancer has gone: what it leaves idle is wanted now
			weight *= 2
		}
		follow(&b.part, min(own/all, 1), weight)
		b.quotaPart = b.part * min(mine/max(ring, 1), 1)
	}
}

// share is u's part of the traffic, not scaled.
func (b *Balancer) share(u *upstream, now time.Duration) float64 {
	return u.weight * u.factor * b.ramp(u, now)
}

// --- Maintenance ---

// SetMaintenance leaves an upstream out until it is called back, whatever lists say of it. Back from work on
// it, it is cold from now on, as far as anyone told, and its turn comes at once: what it once was tells
// nothing.
func (b *Balancer) SetMaintenance(now time.Duration, id UpstreamID, out bool) {
	if b.off[id] == out {
		return
	}
	if b.off[id] = out; !out {
		delete(b.off, id)
	}
	u := b.byID[id]
	if u != nil && !out {
		b.chill(u, now)
		u.silent, u.wait, u.backAt, u.factor = false, b.tick, now, 1
	}
	if b.gather(now); u != nil && !out {
		u.due, u.freeAt = b.turn, now
	}
	b.dispatch(now)
}

// open tells whether discovery and the operators let u be used.
func (b *Balancer) open(u *upstream) bool { return u.State == Active && !b.off[u.ID] }

// barred tells whether operators have left out all that could be used: nothing comes free by waiting.
func (b *Balancer) barred() bool {
	return len(b.off) > 0 && !slices.ContainsFunc(b.ups, b.open) &&
		slices.ContainsFunc(b.ups, func(u *upstream) bool { return u.State == Active })
}

// --- Eligibility ---

// patience is how long u may owe every answer before it counts as silent.
func (b *Balancer) patience(u *upstream, units float64) time.Duration {
	usual := max(u.lat+patienceDevs*u.latDev, (1+patienceDevs/2)*b.lat) // one lucky answer is no measure
	return time.Duration(usual*max(1, units)) + b.tick
}

// quiet looks for attempts that are lost, which free their place and start elsewhere. Then it looks whether
// u has fallen silent: attempts are out and nothing has come back for longer than its patience. Its turns are
// skipped, it gets one trial at a time, and what may run twice starts elsewhere.
func (b *Balancer) quiet(u *upstream, now time.Duration) {
	var first *attempt
	for _, a := range slices.Clone(u.outs) {
		if a.idle() {
			continue
		} else if !a.lost && b.overdue(a, 1+lostDoubt*b.doubt, now) {
			a.lost = true
			b.log(now, "lost", "upstream %d owes an answer for %v and gave %d to later ones: starting elsewhere", u.ID,
				now-a.sentAt, a.passed)
			b.rescue(a, now)
		} else if !a.lost && first == nil {
			first = a
		}
	}
	if u.silent || first == nil {
		return
	}
	since, p := now-max(first.sentAt, u.answeredAt), b.patience(u, first.r.units)
	if since <= p {
		return
	}
	u.silent, u.wait, u.trialAt = true, p, now+p
	b.log(now, "silent", "upstream %d owes every answer for %v: turns skipped, trials only", u.ID, since)
	for _, a := range slices.Clone(u.outs) {
		b.rescue(a, now)
	}
}

// overdue tells whether a is out for longer than its upstream's patience, times a factor, while that answers
// what was sent later and has use to spare. At full use it may as well be a long one in a crowd.
func (b *Balancer) overdue(a *attempt, times float64, now time.Duration) bool {
	return a.passed >= lostAfter && a.up.mean < fullUse &&
		float64(now-a.sentAt) > times*float64(b.patience(a.up, a.r.units))
}

// rescue starts the request of a, whose answer does not come, elsewhere, if it may run twice and has no other
// copy out.
func (b *Balancer) rescue(a *attempt, now time.Duration) {
	if r := a.r; r.class.Idempotency == NonIdempotent || r.Streaming || r.done || r.out > 1 {
		return
	} else if v, _ := b.pick(r, now); v != nil {
		b.send(r, v, now) // a second copy
	} else if !b.s.Limits.Hedging && b.s.Limits.Cancel {
		b.host.Cancel(r.ID, slices.Index(r.attempts, a))
	}
}

// answered notes a sign of life.
func (b *Balancer) answered(u *upstream, now time.Duration) {
	u.silent, u.answeredAt, u.wait = false, now, b.tick
}

// eligible reports whether u may take r at this turn. The bound is a guard: shares decide below it.
func (b *Balancer) eligible(u *upstream, r *request, now time.Duration) bool {
	ok := now >= u.freeAt && float64(u.places()) < max(1, math.Round(u.bound))
	if u.silent { // the safest class goes first as a trial
		ok = now >= u.trialAt && !r.Streaming && (r.class.Idempotency == b.safest || now >= u.trialAt+u.wait)
	}
	return ok && (b.ramp(u, now) == 1 || b.coldRoom(u, r, now))
}

// --- The pick ---

// pick gives the turn to the upstream due first, an even interleave by shares; legal: any may ever take r.
func (b *Balancer) pick(r *request, now time.Duration) (best *upstream, legal bool) {
	var total float64
	for _, u := range b.near {
		if !u.member {
			continue
		}
		total += b.share(u, now)
		may := b.maySend(r, u, now)
		legal = legal || may
		if may && (best == nil || u.due < best.due) && b.eligible(u, r, now) {
			best = u
		}
	}
	if best != nil {
		b.turn = max(b.turn, best.due)
		length := total / b.share(best, now)
		best.due = max(best.due, b.turn-debtRounds*length) + length
	}
	return best, legal
}

// --- Admission ---

// dispatch sends held requests while turns come free. It ends those that could not be answered in time, and
// those ahead of which more are held than turns will come: the next try of their clients stands first. A
// first try that fits nowhere shows that no later one fits.
func (b *Balancer) dispatch(now time.Duration) {
	kept, blocked, barred := b.held[:0], false, b.barred()
	for _, r := range b.held {
		if !r.done && (barred || now >= r.sendBy) {
			b.log(now, "shed", "%d held, no turn free within the aim: refusing", len(b.held))
			b.giveUp(r, now)
		} else if !r.done && !blocked {
			if u, _ := b.pick(r, now); u != nil {
				b.send(r, u, now)
				continue
			}
			blocked = len(r.attempts) == 0
		}
		if ahead := float64(len(kept)); !r.done && b.pace > 0 && ahead > b.pace*(r.sendBy-now).Seconds() {
			b.log(now, "buried", "%.0f held ahead, %.1f sent a second: refusing", ahead, b.pace)
			b.giveUp(r, now)
		}
		if !r.done {
			kept = append(kept, r)
		}
	}
	clear(b.held[len(kept):])
	b.held = kept
}

// Probed takes a probe's result: a reading only, since a shallow probe proves no more than a process.
func (b *Balancer) Probed(now time.Duration, p ProbeResult) {
	if u := b.byID[p.Upstream]; u != nil && p.Status == OK {
		b.read(u, p.Load.sanitized(), false, 0, now)
	}
}

// --- Timers ---

// Timer takes a timer that the Balancer has set.
func (b *Balancer) Timer(now time.Duration, token uint64) {
	if token != tickToken { // watchToken; a stray one must not start a second row of ticks
		b.ask(now)
		return
	}
	b.host.SetTimer(b.tick, tickToken)
	if now-b.stepAt >= bandPeriod {
		b.step(now)
	}
	b.forget()
	ask := b.s.Reports == ReportInProbes && b.s.Limits.Probes
	for _, u := range b.near {
		b.quiet(u, now)
		if ask && u.member && now-u.probedAt >= bandPeriod {
			u.probedAt = now
			b.host.Probe(u.ID)
		}
	}
	b.dispatch(now)
}
