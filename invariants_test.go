package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// checker follows a Balancer's actions and holds them against the text of the rules. It shares
// nothing with the module.
type ruleChecker struct {
	t             *testing.T
	s             Settings
	now           time.Duration
	requests      map[RequestID]*observedRequest
	inFlight      []*observedAttempt // attempts out, in order of sending
	timers        []pendingTimer
	list          map[UpstreamID]Upstream
	leavingSince  map[UpstreamID]time.Duration
	inMaintenance map[UpstreamID]bool // in maintenance
	violations    []string
	maxSends      int                            // sends that a warm upstream has had in a cold-start window
	recentSends   map[UpstreamID][]time.Duration // sends of the last cold-start window
}

type observedRequest struct {
	id           RequestID
	class        Class
	deadline     time.Duration
	attempts     []*observedAttempt
	finalAnswers int
	endedAt      time.Duration // when the end was known, 0: open
}

type observedAttempt struct {
	request *observedRequest
	number  int
	up      Upstream
	at, end time.Duration
	status  Status
	ended   bool
}

type pendingTimer struct {
	at    time.Duration
	token uint64
}

func (c *ruleChecker) violation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf("%v: ", c.now)+fmt.Sprintf(format, args...))
}

// ran tells whether an attempt may have run or may still run.
func (x *observedAttempt) mayHaveRun() bool {
	return !x.ended || !slices.Contains([]Status{Rejected, ConnectFailed, NotSent}, x.status)
}

func (c *ruleChecker) handleAction(kind string, id RequestID, up UpstreamID, d time.Duration, number uint64) {
	switch kind {
	case "timer":
		c.timers = append(c.timers, pendingTimer{c.now + max(d, ms), number})
	case "send":
		c.checkSend(c.requests[id], up, d)
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

func (c *ruleChecker) checkSend(request *observedRequest, up UpstreamID, d time.Duration) {
	if request.finalAnswers > 0 || (request.endedAt > 0 && request.endedAt < c.now) {
		c.violation("rule 1: request %d sent after its end", request.id)
	}
	if c.now > request.deadline {
		c.violation("rule 1: request %d sent after its deadline", request.id)
	}
	u, ok := c.list[up]
	if !ok {
		c.violation("upstream %d was never listed", up)
	}
	if c.inMaintenance[up] {
		c.violation("maintenance: request %d sent to %d", request.id, up)
	}
	if at, gone := c.leavingSince[up]; gone && c.now > at+c.s.Requirements.DrainGrace {
		c.violation("rule 3: request %d sent to %d, leaving since %v", request.id, up, at)
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
			c.violation("rule 2: unsafe request %d sent again", request.id)
		case request.class.Idempotency == IdempotentByKey && c.now > x.at+request.class.DedupWindow:
			c.violation("rule 2: keyed request %d sent again after its memory", request.id)
		case request.class.Idempotency == IdempotentByKey && ((request.class.DedupScope == DedupZone && x.up.Zone != u.Zone) || (request.class.DedupScope == DedupCell && x.up.Cell != u.Cell)):
			c.violation("rule 2: keyed request %d sent outside its group", request.id)
		}
	}
	if inFlightAttempts > 0 && !c.s.Limits.Hedging {
		c.violation("rule 2: request %d has two attempts out", request.id)
	}
	if len(request.attempts) >= c.s.Limits.MaxAttempts {
		c.violation("request %d has too many attempts", request.id)
	}
	x := &observedAttempt{request: request, number: len(request.attempts), up: u, at: c.now, end: request.deadline, status: Timeout}
	if d > 0 {
		x.end = min(request.deadline, c.now+d)
	}
	request.attempts = append(request.attempts, x)
	c.inFlight = append(c.inFlight, x)
}

// cold holds a send against rule 4: within any window a fresh upstream gets no more than the multiple of what it
// can do. What a warm one can do is the most that any has been sent in such a window, and at least this balancer's
// even share of drive's traffic: 133 requests a second, over two balancers and five upstreams.
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
	capacity := c.s.Requirements.ColdCapacity + (1-c.s.Requirements.ColdCapacity)*float64(age)/float64(c.s.Requirements.WarmupTime)
	if maxSends := c.s.Requirements.OverloadFactor * capacity * max(float64(c.maxSends), 133.0/5/2*window.Seconds()); float64(n) > maxSends+3 {
		c.violation("rule 4: upstream %d, started %v ago, was sent %d, %.1f fit", u.ID, age, n, maxSends)
	}
}

func (c *ruleChecker) checkFinalAnswer(r *observedRequest, refused bool) {
	r.finalAnswers++
	if r.finalAnswers > 1 || (r.endedAt > 0 && r.endedAt < c.now) {
		c.violation("rule 1: request %d answered twice", r.id)
	}
	if c.now > r.deadline+c.s.Requirements.AnswerSlack {
		c.violation("rule 1: request %d answered %v late", r.id, c.now-r.deadline)
	}
	for _, x := range r.attempts {
		repeatable := r.class.Idempotency == Idempotent || (r.class.Idempotency == IdempotentByKey && r.class.DedupScope == DedupAll)
		if refused && x.mayHaveRun() && !repeatable {
			c.violation("rule 2: request %d refused though it may have run", r.id)
		}
	}
}

// drive feeds random legal events for a while and returns the rules broken.
func runRandomEvents(t *testing.T, s Settings, seed uint64, origin time.Duration) (*ruleChecker, *recorder) {
	t.Helper()
	rng, maintenanceRNG := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	c := &ruleChecker{t: t, s: s, now: origin, requests: map[RequestID]*observedRequest{}, list: map[UpstreamID]Upstream{}, leavingSince: map[UpstreamID]time.Duration{}, inMaintenance: map[UpstreamID]bool{}, recentSends: map[UpstreamID][]time.Duration{}}
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
		if maintenanceRNG.IntN(200) == 0 { // also of ids that no list names now
			c.setMaintenance(b, UpstreamID(1+maintenanceRNG.IntN(9)), maintenanceRNG.IntN(2) == 0)
		}
		c.fireTimers(b)
		c.checkUnanswered()
	}
	return c, h
}

func (c *ruleChecker) sendRequest(b *Balancer, rng *rand.Rand, id RequestID) {
	classSettings := c.s.Classes[rng.IntN(len(c.s.Classes))]
	budget := classSettings.Deadline // a first try; the others are later ones, or of impatient clients
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
	if r.finalAnswers == 0 && rng.IntN(50) == 0 { // an impatient client
		r.endedAt = c.now
		b.ClientGone(c.now, id)
	}
}

// finishSome ends attempts that are due, and some at random with any status.
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
		o := Outcome{ID: request.id, Upstream: x.up.ID, Attempt: x.number, Latency: c.now - x.at, Status: x.status, RequestDone: done, Load: load}
		b.Outcome(c.now, o)
		if rng.IntN(20) == 0 { // told twice, which must be passed over
			b.Outcome(c.now, o)
		}
	}
}

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

// maintain calls an upstream out or back. What was off is restarted before it comes back, whether lists tell or not.
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

func (c *ruleChecker) fireTimers(b *Balancer) {
	due := c.timers
	c.timers = nil
	for _, a := range due {
		if a.at <= c.now {
			b.Timer(c.now, a.token)
		} else {
			c.timers = append(c.timers, a)
		}
	}
}

// overdue finds requests that have had no final answer in time.
func (c *ruleChecker) checkUnanswered() {
	for id, r := range c.requests {
		if r.finalAnswers == 0 && r.endedAt == 0 && c.now > r.deadline+c.s.Requirements.AnswerSlack {
			c.violation("rule 1: request %d got no final answer", id)
			r.finalAnswers = 1
		}
	}
}

// variants are settings that ask the rules differently.
func settingsVariants() map[string]Settings {
	dedupAll, dedupCell, hedging, polling := settings(), settings(), settings(), settings()
	dedupAll.Classes[1].DedupScope = DedupAll
	dedupCell.Classes[1].DedupScope, dedupCell.Limits.Hedging = DedupCell, true
	hedging.Limits.Hedging, hedging.Limits.Cancel = true, false
	polling.PollDiscovery, polling.Reports, polling.WorthByWork = true, ReportInProbes, false
	manyBalancers := settings()
	manyBalancers.Balancers, manyBalancers.Rank, manyBalancers.Limits.Hedging, manyBalancers.Weights = 5, 4, true, WeightLoadAdjusted
	return map[string]Settings{"zone": settings(), "all": dedupAll, "cell": dedupCell, "copies": hedging, "asked": polling, "many": manyBalancers}
}

func TestRulesHoldOnRandomEvents(t *testing.T) {
	for name, s := range settingsVariants() {
		const seeds = 12
		sends := 0
		for seed := range uint64(seeds) {
			c, h := runRandomEvents(t, s, seed, time.Duration(seed)*time.Hour)
			if len(c.violations) > 0 {
				t.Errorf("%s, seed %d: %d broken, first: %s", name, seed, len(c.violations), c.violations[0])
			}
			if sends += h.count("send"); h.count("refuse") == 0 || h.count("fail") == 0 {
				t.Errorf("%s, seed %d: the events asked too little", name, seed)
			}
		}
		if sends < 300*seeds { // of one seed they depend much on chance
			t.Errorf("%s: the events asked too little: %d sends", name, sends)
		}
	}
}

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
			t.Errorf("%s: other actions", c.name)
		}
	}
	if _, other := runRandomEvents(t, settings(), 8, 10*time.Hour); slices.Equal(other.lines, want.lines) {
		t.Error("another seed gave the same actions, so the comparison shows nothing")
	}
}

// Instances share nothing, not even in one process: one fed in between leaves the other as it was.
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
		t.Error("an instance acted otherwise beside another")
	}
}

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
		if r := b.requests[id]; r != nil && r.out > 0 {
			b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 10 * ms, Status: OK, RequestDone: true})
		}
		if i%20 == 0 {
			b.Timer(now, tickToken)
		}
	}
	b.Timer(now+2*time.Second, tickToken)
	if len(b.requests)+len(b.held) > 0 || len(b.ups) != 4 || len(b.byID) != 4 {
		t.Errorf("kept %d requests, %d held, %d upstreams", len(b.requests), len(b.held), len(b.ups))
	}
}
