package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// ruleChecker plays the owner of a Balancer with random events, and checks each action against the rules on
// final answers, duplicates, draining and cold upstreams. It doesn't use the state of the Balancer.
type ruleChecker struct {
	t             *testing.T
	s             Settings
	now           time.Duration
	requests      map[RequestID]*observedRequest
	inFlight      []*observedAttempt // in order of sending
	timers        []pendingTimer
	list          map[UpstreamID]Upstream      // latest entry of each upstream ever listed
	leavingSince  map[UpstreamID]time.Duration // when a listed upstream began to drain or was removed
	inMaintenance map[UpstreamID]bool
	violations    []string
	maxSends      int                            // most sends to one warm upstream within OverloadWindow
	recentSends   map[UpstreamID][]time.Duration // times of sends within the last OverloadWindow
}

// observedRequest is a request as the checker knows it.
type observedRequest struct {
	id           RequestID
	class        Class
	deadline     time.Duration
	attempts     []*observedAttempt
	finalAnswers int
	endedAt      time.Duration // when it was answered or its client left; 0: open
}

// observedAttempt is an attempt as the checker knows it.
type observedAttempt struct {
	request *observedRequest
	number  int // index among the request's attempts
	up      Upstream
	at, end time.Duration // of its send and its planned end
	status  Status        // at the planned end
	ended   bool
}

// pendingTimer is a timer that the Balancer has set.
type pendingTimer struct {
	at    time.Duration
	token uint64
}

// violation records a broken rule.
func (c *ruleChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// mayHaveRun reports whether an attempt may have been executed or still may be.
func (x *observedAttempt) mayHaveRun() bool {
	return !x.ended || !slices.Contains([]Status{Rejected, ConnectFailed, NotSent}, x.status)
}

// handleAction checks an action of the Balancer and carries it out.
func (c *ruleChecker) handleAction(kind string, id RequestID, up UpstreamID, duration time.Duration, number uint64) {
	switch kind {
	case "timer":
		c.timers = append(c.timers, pendingTimer{c.now + max(duration, ms), number})
	case "send":
		c.checkSend(c.requests[id], up, duration)
	case "refuse", "fail":
		c.checkFinalAnswer(c.requests[id], kind == "refuse")
	case "cancel":
		for _, x := range c.inFlight {
			if x.request.id == id && x.number == int(number) {
				x.end, x.status = c.now+5*ms, Cancelled
			}
		}
	}
}

// checkSend checks that a request may be sent to an upstream, and starts the attempt.
func (c *ruleChecker) checkSend(request *observedRequest, up UpstreamID, timeout time.Duration) {
	if request.finalAnswers > 0 || (request.endedAt > 0 && request.endedAt < c.now) {
		c.violation("final answer: request %d sent after its end", request.id)
	}
	if c.now > request.deadline {
		c.violation("deadline: request %d sent after its deadline", request.id)
	}
	u, ok := c.list[up]
	if !ok {
		c.violation("discovery: upstream %d was never listed", up)
	}
	if c.inMaintenance[up] {
		c.violation("maintenance: request %d sent to upstream %d", request.id, up)
	}
	if at, gone := c.leavingSince[up]; gone && c.now > at+c.s.Requirements.DrainGrace {
		c.violation("draining: request %d sent to upstream %d, draining or removed since %v", request.id, up, at)
	}
	c.checkColdSend(u)
	inFlightAttempts := 0
	for _, x := range request.attempts {
		if !x.ended {
			inFlightAttempts++
		}
		if !x.mayHaveRun() {
			continue
		}
		switch {
		case request.class.Idempotency == NonIdempotent:
			c.violation("duplicates: non-idempotent request %d sent again", request.id)
		case request.class.Idempotency == IdempotentByKey && c.now > x.at+request.class.DedupWindow:
			c.violation("duplicates: request %d with idempotency key sent again after DedupWindow", request.id)
		case request.class.Idempotency == IdempotentByKey &&
			((request.class.DedupScope == DedupZone && x.up.Zone != u.Zone) ||
				(request.class.DedupScope == DedupCell && x.up.Cell != u.Cell)):
			c.violation("duplicates: request %d with idempotency key sent outside its DedupScope", request.id)
		}
	}
	if inFlightAttempts > 0 && !c.s.Limits.Hedging {
		c.violation("duplicates: request %d has two attempts in flight without hedging", request.id)
	}
	if len(request.attempts) >= c.s.Limits.MaxAttempts {
		c.violation("attempts: request %d has more than MaxAttempts", request.id)
	}
	x := &observedAttempt{request: request, number: len(request.attempts), up: u, at: c.now, end: request.deadline,
		status: Timeout}
	if timeout > 0 {
		x.end = min(request.deadline, c.now+timeout)
	}
	request.attempts = append(request.attempts, x)
	c.inFlight = append(c.inFlight, x)
}

// checkColdSend checks that a cold upstream gets no more than OverloadFactor times its capacity, plus 3
// requests, in any OverloadWindow. The capacity of a warm one is taken as the most that any was sent in such
// a window, and at least this balancer's even share of the traffic of runRandomEvents: 133 requests per second
// over two balancers and five upstreams.
func (c *ruleChecker) checkColdSend(u Upstream) {
	age, window := c.now-u.StartedAt, c.s.Requirements.OverloadWindow
	c.recentSends[u.ID] = append(slices.DeleteFunc(c.recentSends[u.ID], func(at time.Duration) bool {
		return at <= c.now-window || at < u.StartedAt
	}), c.now)
	n := len(c.recentSends[u.ID])
	if u.StartedAt == 0 || age >= c.s.Requirements.WarmupTime {
		c.maxSends = max(c.maxSends, n)
		return
	}
	capacity := c.s.Requirements.ColdCapacity +
		(1-c.s.Requirements.ColdCapacity)*float64(age)/float64(c.s.Requirements.WarmupTime)
	if maxSends := c.s.Requirements.OverloadFactor * capacity *
		max(float64(c.maxSends), 133.0/5/2*window.Seconds()); float64(n) > maxSends+3 {
		c.violation("slow start: upstream %d, started %v ago: got %d requests, want at most 3 more than %.1f",
			u.ID, age, n, maxSends)
	}
}

// checkFinalAnswer checks that a request may be refused or failed.
func (c *ruleChecker) checkFinalAnswer(r *observedRequest, refused bool) {
	r.finalAnswers++
	if r.finalAnswers > 1 || (r.endedAt > 0 && r.endedAt < c.now) {
		c.violation("final answer: request %d answered twice", r.id)
	}
	if c.now > r.deadline+c.s.Requirements.AnswerSlack {
		c.violation("final answer: request %d answered %v after its deadline", r.id, c.now-r.deadline)
	}
	for _, x := range r.attempts {
		repeatable := r.class.Idempotency == Idempotent ||
			(r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupAll)
		if refused && x.mayHaveRun() && !repeatable {
			c.violation("duplicates: request %d refused although it may have been executed", r.id)
		}
	}
}

// runRandomEvents passes 20 s of random valid events to a new Balancer, and returns the checker with the
// violations that it found and the recorded actions.
func runRandomEvents(t *testing.T, s Settings, seed uint64, origin time.Duration) (*ruleChecker, *recorder) {
	t.Helper()
	rng, maintenanceRNG := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	c := &ruleChecker{t: t, s: s, now: origin, requests: map[RequestID]*observedRequest{},
		list: map[UpstreamID]Upstream{}, leavingSince: map[UpstreamID]time.Duration{},
		inMaintenance: map[UpstreamID]bool{}, recentSends: map[UpstreamID][]time.Duration{}}
	h := &recorder{onAction: c.handleAction}
	b, err := New(s, seed, c.now, h)
	if err != nil {
		t.Fatal(err)
	}
	c.sendList(b, ListCached, fleet(5))
	next := RequestID(1)
	for step := range 4000 {
		c.now += 5 * ms
		if step < 3600 && rng.IntN(3) > 0 {
			c.sendRequest(b, rng, next)
			next++
		}
		c.finishAttempts(b, rng)
		if rng.IntN(60) == 0 {
			c.changeList(b, rng)
		}
		if maintenanceRNG.IntN(200) == 0 { // also of upstreams that are not listed
			c.setMaintenance(b, UpstreamID(1+maintenanceRNG.IntN(9)), maintenanceRNG.IntN(2) == 0)
		}
		c.fireTimers(b)
		c.checkUnanswered()
	}
	return c, h
}

// sendRequest makes a random request, whose client may disconnect at once.
func (c *ruleChecker) sendRequest(b *Balancer, rng *rand.Rand, id RequestID) {
	classSettings := c.s.Classes[rng.IntN(len(c.s.Classes))]
	budget := classSettings.Deadline // first try; other budgets stand for later tries
	if rng.IntN(2) == 0 {
		budget = time.Duration(1+rng.Int64N(int64(classSettings.Deadline/ms))) * ms
	}
	if rng.IntN(40) == 0 {
		budget = -time.Duration(rng.IntN(2)) * ms
	}
	r := &observedRequest{id: id, class: classSettings, deadline: c.now + budget}
	c.requests[id] = r
	q := Request{ID: id, Class: classSettings.Name, Budget: budget, Cost: time.Duration(rng.IntN(90)) * ms,
		Tenant: c.s.Tenants[rng.IntN(len(c.s.Tenants))].Name}
	if rng.IntN(2) == 0 {
		q.Key, q.HasKey = uint64(rng.IntN(20)), true
	}
	b.Request(c.now, q)
	if r.finalAnswers == 0 && rng.IntN(50) == 0 { // the client disconnects
		r.endedAt = c.now
		b.ClientGone(c.now, id)
	}
}

// finishAttempts ends the attempts that are due, and some others at random.
func (c *ruleChecker) finishAttempts(b *Balancer, rng *rand.Rand) {
	for _, x := range slices.Clone(c.inFlight) {
		if x.end > c.now && rng.IntN(12) > 0 {
			continue
		}
		if x.end > c.now {
			x.status = []Status{OK, OK, OK, OK, Error, Rejected, ConnectFailed, Reset}[rng.IntN(8)]
		}
		x.ended = true
		c.inFlight = slices.DeleteFunc(c.inFlight, func(y *observedAttempt) bool { return y == x })
		request, load := x.request, Load{}
		if rng.IntN(2) == 0 {
			load = Load{Fields: HasUtil, Util: rng.Float64()}
		} else if rng.IntN(20) == 0 {
			load = Load{Fields: HasUtil | HasInflight, Util: math.NaN(), Inflight: math.Inf(-1)}
		}
		done := request.endedAt > 0 || request.finalAnswers > 0
		if x.status == OK && !done {
			request.endedAt, request.finalAnswers, done = c.now, request.finalAnswers+1, true
		}
		o := Outcome{ID: request.id, Upstream: x.up.ID, Attempt: x.number, Latency: c.now - x.at,
			Status: x.status, RequestDone: done, Load: load}
		b.Outcome(c.now, o)
		if rng.IntN(20) == 0 { // a duplicate, which must be ignored
			b.Outcome(c.now, o)
		}
	}
}

// sendList passes a list to the Balancer and notes the upstreams that it drains or removes.
func (c *ruleChecker) sendList(b *Balancer, mode ListMode, list []Upstream) {
	for _, u := range list {
		c.list[u.ID] = u
		if delete(c.leavingSince, u.ID); u.State != Active {
			c.leavingSince[u.ID] = c.now
		}
	}
	if mode == ListFull || mode == ListCached {
		for id := range c.list {
			_, alreadyLeaving := c.leavingSince[id]
			if !alreadyLeaving && !slices.ContainsFunc(list, func(u Upstream) bool { return u.ID == id }) {
				c.leavingSince[id] = c.now
			}
		}
	}
	b.Members(c.now, mode, list)
}

// changeList passes a random list, a failure of discovery or a change of one upstream.
func (c *ruleChecker) changeList(b *Balancer, rng *rand.Rand) {
	list := fleet(8)
	switch rng.IntN(6) {
	case 0:
		c.sendList(b, ListFull, list[rng.IntN(9):])
	case 1:
		b.Members(c.now, ListFailed, nil)
	default:
		u := list[rng.IntN(8)]
		u.State = State(rng.IntN(3))
		if rng.IntN(2) == 0 {
			u.State, u.StartedAt = Active, c.now-time.Duration(rng.IntN(3))*time.Second
		}
		if u.Weight = 1; rng.IntN(10) == 0 {
			u.Weight = []float64{0, -1, math.NaN(), math.Inf(1)}[rng.IntN(4)]
		}
		c.sendList(b, ListDelta, []Upstream{u, u})
	}
}

// setMaintenance starts or ends the maintenance of an upstream. The upstream counts as restarted when its
// maintenance ends, even if no list says so.
func (c *ruleChecker) setMaintenance(b *Balancer, id UpstreamID, out bool) {
	if u, ok := c.list[id]; ok && c.inMaintenance[id] && !out {
		u.StartedAt = c.now
		c.list[id] = u
	}
	if out {
		c.inMaintenance[id] = true
	} else {
		delete(c.inMaintenance, id)
	}
	b.SetMaintenance(c.now, id, out)
}

// fireTimers passes expired timers to the Balancer.
func (c *ruleChecker) fireTimers(b *Balancer) {
	due := c.timers
	c.timers = nil
	for _, timer := range due {
		if timer.at <= c.now {
			b.Timer(c.now, timer.token)
		} else {
			c.timers = append(c.timers, timer)
		}
	}
}

// checkUnanswered reports requests without a final answer in time.
func (c *ruleChecker) checkUnanswered() {
	for id, r := range c.requests {
		if r.finalAnswers == 0 && r.endedAt == 0 && c.now > r.deadline+c.s.Requirements.AnswerSlack {
			c.violation("final answer: request %d got none in time", id)
			r.finalAnswers = 1
		}
	}
}

// settingsVariants returns settings that lead to different decisions under the same rules.
func settingsVariants() map[string]Settings {
	dedupAll, dedupCell, hedging, polling := settings(), settings(), settings(), settings()
	dedupAll.Classes[1].DedupScope = DedupAll
	dedupCell.Classes[1].DedupScope, dedupCell.Limits.Hedging = DedupCell, true
	hedging.Limits.Hedging, hedging.Limits.Cancel = true, false
	polling.PollDiscovery, polling.Reports, polling.WorthByWork = true, ReportInProbes, false
	manyBalancers := settings()
	manyBalancers.Balancers, manyBalancers.Rank, manyBalancers.Limits.Hedging, manyBalancers.Weights =
		5, 4, true, WeightLoadAdjusted
	return map[string]Settings{"dedup zone": settings(), "dedup all": dedupAll, "dedup cell": dedupCell,
		"hedging": hedging, "polling": polling, "many balancers": manyBalancers}
}

// Guards against decisions that break a rule in some unforeseen sequence of events.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, s := range settingsVariants() {
		const seeds = 12
		sends := 0
		for seed := range uint64(seeds) {
			c, h := runRandomEvents(t, s, seed, time.Duration(seed)*time.Hour)
			if len(c.violations) > 0 {
				t.Errorf("%s, seed %d: got %d violations, want none; first: %s",
					name, seed, len(c.violations), c.violations[0])
			}
			if sends += h.count("send"); h.count("refuse") == 0 || h.count("fail") == 0 {
				t.Errorf("%s, seed %d: got no refusal or no failure, want both to test the rules", name, seed)
			}
		}
		if sends < 300*seeds { // summed over the seeds, since single ones vary
			t.Errorf("%s: got %d sends, want at least 300 a seed to test the rules", name, sends)
		}
	}
}

// Guards against decisions that depend on names, on the origin of the clock or on anything but events and
// seed.
func TestSameEventsProduceSameActions(t *testing.T) {
	renamed := settings()
	for i, name := range []string{"x", "y", "z"} {
		renamed.Classes[i].Name = name
	}
	renamed.Tenants[0].Name, renamed.Tenants[1].Name, renamed.Zone = "one", "two", "elsewhere"
	_, want := runRandomEvents(t, settings(), 7, 10*time.Hour)
	for _, c := range []struct {
		name   string
		s      Settings
		origin time.Duration
	}{
		{"again", settings(), 10 * time.Hour},
		{"clock shifted", settings(), 500 * time.Hour},
		{"classes, tenants and the zone renamed", renamed, 10 * time.Hour},
	} {
		if _, got := runRandomEvents(t, c.s, 7, c.origin); !slices.Equal(got.lines, want.lines) {
			t.Errorf("%s: got actions that differ from the first run", c.name)
		}
	}
	if _, other := runRandomEvents(t, settings(), 8, 10*time.Hour); slices.Equal(other.lines, want.lines) {
		t.Error("got the same actions with another seed, want different ones")
	}
}

// Guards against state that is shared by Balancers of the same process.
func TestInstancesAreIndependent(t *testing.T) {
	feed := func(b *Balancer, i int) {
		now := time.Hour + time.Duration(i)*20*ms
		b.Request(now, Request{ID: RequestID(i + 1), Class: "write", Budget: time.Second})
		b.Timer(now, tickToken)
	}
	alone, wantLines := start(t, settings(), fleet(5))
	for i := range 200 {
		feed(alone, i)
	}
	one, lines := start(t, settings(), fleet(5))
	two, _ := start(t, settings(), fleet(5))
	for i := range 200 {
		feed(two, i+1000)
		feed(one, i)
	}
	if !slices.Equal(lines.lines, wantLines.lines) {
		t.Error("got different actions from a balancer while another one was in use, want the same")
	}
}

// Guards against upstreams and requests that are kept after they have gone.
func TestStateStaysBounded(t *testing.T) {
	c, _ := runRandomEvents(t, settings(), 3, 0)
	b, err := New(settings(), 3, c.now, &recorder{})
	if err != nil {
		t.Fatal(err)
	}
	now := c.now
	for i := range 20000 {
		now += 5 * ms
		if i%10 == 0 {
			list := fleet(4)
			for j := range list {
				list[j].ID += UpstreamID(i)
			}
			b.Members(now, ListFull, list)
		}
		id := RequestID(i + 1)
		b.Request(now, Request{ID: id, Class: "read", Budget: 100 * ms, Key: uint64(i), HasKey: true})
		if r := b.requests[id]; r != nil && r.attemptsInFlight > 0 {
			b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 10 * ms, Status: OK,
				RequestDone: true})
		}
		if i%20 == 0 {
			b.Timer(now, tickToken)
		}
	}
	b.Timer(now+2*time.Second, tickToken)
	if len(b.requests)+len(b.queued) > 0 || len(b.upstreams) != 4 || len(b.byID) != 4 {
		t.Errorf("got %d open requests, %d queued requests, %d upstreams; want 0, 0, 4",
			len(b.requests), len(b.queued), len(b.upstreams))
	}
}
