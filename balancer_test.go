package garnettide

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// start returns a Balancer that was started at time.Hour with a cached list, and the recorder of its actions.
func start(t *testing.T, s Settings, list []Upstream) (*Balancer, *recorder) {
	t.Helper()
	h := &recorder{}
	b, err := New(s, 1, time.Hour, h)
	if err != nil {
		t.Fatal(err)
	}
	b.Members(time.Hour, ListCached, list)
	return b, h
}

// serve makes a request, reports its success at once, and returns the upstream that received it.
func serve(t *testing.T, b *Balancer, now time.Duration, id RequestID) *upstream {
	t.Helper()
	b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
	r := b.requests[id]
	if r == nil || r.attemptsInFlight != 1 {
		t.Fatalf("request %d was not sent", id)
	}
	u := r.attempts[0].up
	b.Outcome(now, Outcome{ID: id, Upstream: u.ID, Latency: 50 * ms, Status: OK, RequestDone: true})
	return u
}

// Guards against turns that are not interleaved evenly: with equal weights each upstream takes every second
// turn, and with a third of the other's weight every fourth.
func TestReducedWeightTakesEveryFourthTurn(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	reduced := b.upstreams[0]
	turns := func(from, n int) (taken []int) {
		for i := from; i < from+n; i++ {
			if serve(t, b, time.Hour, RequestID(i)) == reduced {
				taken = append(taken, i)
			}
		}
		return taken
	}
	evenTurns := turns(1, 20)
	reduced.weight = 1.0 / 3
	reducedTurns := turns(101, 40)
	for i := 1; i < len(evenTurns); i++ {
		if evenTurns[i]-evenTurns[i-1] != 2 {
			t.Errorf("equal weights: got turns %v, want every second one", evenTurns)
		}
	}
	for i := 2; i < len(reducedTurns); i++ {
		if reducedTurns[i]-reducedTurns[i-1] != 4 {
			t.Errorf("a third of the other's weight: got turns %v, want every fourth one", reducedTurns)
		}
	}
	if len(evenTurns) != 10 || len(reducedTurns) < 9 {
		t.Errorf("got %d of 20 and %d of 40 turns, want 10 and at least 9", len(evenTurns), len(reducedTurns))
	}
}

// Guards against healthy upstreams that count as unresponsive after their first response, since the deviation
// of their latency is not known yet.
func TestFirstResponsesDoNotShortenResponseTimeout(t *testing.T) {
	b, _ := start(t, settings(), fleet(2))
	serve(t, b, time.Hour, 1)
	serve(t, b, time.Hour, 2)
	if timeout := b.responseTimeout(b.upstreams[0], 1); timeout < 150*ms {
		t.Errorf("got response timeout %v after a response in 50ms, want at least 150ms", timeout)
	}
}

// Guards against a request with a budget shorter than a tick that waits in the queue past its deadline.
func TestShortBudgetIsRefusedInTime(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	b.upstreams[0].pausedUntil = 2 * time.Hour
	b.Request(time.Hour, Request{ID: 1, Class: "write", Budget: 10 * ms})
	if h.count("refuse id=1") != 1 {
		t.Errorf("got actions %v, want request 1 refused at once", h.lines)
	}
}

// Guards against a cold upstream that is overloaded by many requests with small cost hints.
func TestColdUpstreamGetsFewSmallRequests(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 4000 { // lets the balancer learn the work of warm upstreams
		now += 5 * ms
		serve(t, b, now, RequestID(i+1))
		if i%4 == 0 {
			b.Timer(now, tickToken)
		}
	}
	cold := Upstream{ID: 9, Zone: "near", Weight: 1, StartedAt: now}
	b.Members(now, ListDelta, []Upstream{cold})
	before := h.count("send")
	for i := range 300 { // one OverloadWindow
		now += 5 * ms
		id := RequestID(10000 + i)
		b.Request(now, Request{ID: id, Class: "write", Budget: time.Second, Cost: ms})
		if r := b.requests[id]; r != nil && r.attemptsInFlight == 1 {
			b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 20 * ms, Status: OK,
				RequestDone: true})
		}
	}
	toCold := 0
	for _, l := range h.lines {
		if strings.Contains(l, " up=9 ") {
			toCold++
		}
	}
	// A warm upstream receives up to 75 requests in the window. A cold one may get that times ColdCapacity
	// (0.3), OverloadFactor (3) and coldBudgetShare (0.6).
	limit := 40
	if toCold == 0 || toCold > limit || h.count("send")-before < 250 {
		t.Errorf("got %d of %d requests sent to the cold upstream, want between 1 and %d, and at least 250 in all",
			toCold, h.count("send")-before, limit)
	}
}

// Guards against requests that wait for an unresponsive upstream although another one could serve them.
func TestUnresponsiveUpstreamIsSkippedAndItsRequestsRetried(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	for i := range 40 {
		serve(t, b, time.Hour, RequestID(i+1))
	}
	b.Request(time.Hour, Request{ID: 100, Class: "read", Budget: time.Second})
	u := b.requests[100].attempts[0].up
	now := time.Hour + b.responseTimeout(u, 1) + 20*ms
	b.Timer(now, tickToken)
	if !u.unresponsive || h.count("cancel id=100") != 1 {
		t.Fatalf("got unresponsive %v, last actions %v; want true and a cancelled attempt",
			u.unresponsive, h.lines[len(h.lines)-4:])
	}
	b.Outcome(now, Outcome{ID: 100, Upstream: u.ID, Latency: 400 * ms, Status: Cancelled})
	if r := b.requests[100]; r == nil || r.attemptsInFlight != 1 || r.attempts[1].up == u {
		t.Error("got no second attempt of request 100 at another upstream, want one")
	}
}

// Guards against requests that are refused before the first list has arrived, or then sent in another order
// than by worth.
func TestQueuedRequestsAreSentByWorthOnceListArrives(t *testing.T) {
	b, h := start(t, settings(), nil)
	for i, class := range []string{"read", "write", "keyed"} {
		b.Request(time.Hour, Request{ID: RequestID(i + 1), Class: class, Budget: time.Second})
	}
	b.Members(time.Hour+50*ms, ListFull, fleet(8))
	var order []string
	for _, l := range h.lines {
		if strings.HasPrefix(l, "send") {
			order = append(order, strings.Fields(l)[1])
		}
	}
	if strings.Join(order, " ") != "id=3 id=2 id=1" {
		t.Errorf("got requests sent in order %v, want 3, 2, 1", order)
	}
}

// Guards against retries of failed discovery calls without backoff, and against the loss of the list.
func TestFailedDiscoveryCallsBackOff(t *testing.T) {
	s := settings()
	s.PollDiscovery = true
	b, h := start(t, s, fleet(1))
	b.Timer(time.Hour, discoveryToken)
	if h.count("watch") != 1 {
		t.Fatal("got no call of discovery after the first timer, want one")
	}
	var last time.Duration
	for range 3 {
		b.Members(time.Hour, ListFailed, nil)
		if b.discoveryBackoff <= last {
			t.Errorf("got backoff %v, want more than %v", b.discoveryBackoff, last)
		}
		last = b.discoveryBackoff
	}
	b.Timer(time.Hour, discoveryToken)
	if h.count("watch") != 2 || len(b.upstreams) != 1 {
		t.Error("got no second call of discovery, or no upstream left; want both")
	}
}

// Guards against a stale list that is refreshed too late: after a watch went silent or discovery moved,
// retries must not be spread over all balancers until a list has arrived.
func TestStaleListIsRefreshedAtOnce(t *testing.T) {
	s := settings()
	s.PollDiscovery, s.Balancers, s.Requirements.MaxDiscoveryInterval = true, 350, 10*time.Second
	b, h := start(t, s, fleet(1))
	var wait time.Duration
	h.onAction = func(kind string, _ RequestID, _ UpstreamID, d time.Duration, n uint64) {
		if kind == "timer" && n == discoveryToken {
			wait = d
		}
	}
	b.Members(time.Hour, ListStale, nil)
	if h.count("watch") != 1 || wait != 0 {
		t.Fatalf("got %d calls, and a timer of %v; want 1 call and no timer", h.count("watch"), wait)
	}
	var total time.Duration
	for range 3 { // these calls fail
		b.Members(time.Hour, ListFailed, nil)
		total += wait
	}
	if total > 4*time.Second {
		t.Errorf("got three retries within %v, want at most 4s", total)
	}
	b.Members(time.Hour, ListDelta, nil)
	if b.Members(time.Hour, ListFailed, nil); wait < b.callRoundTime()/2 {
		t.Errorf("got a retry after %v once a list has arrived, want retries spread over all balancers", wait)
	}
}

// Guards against a retry that comes too late after a failed call: discovery may have recovered just after
// that call began, and every change must be known 6 s after it.
func TestRetryAfterFailedCallMeetsUpdateDeadline(t *testing.T) {
	const updateDeadline, callDuration = 6 * time.Second, time.Second // callDuration: of the retry itself
	for _, balancers := range []int{1, 30, 300, 950} {
		s := settings()
		s.PollDiscovery, s.Balancers, s.Requirements.MaxDiscoveryInterval = true, balancers, 10*time.Second
		for seed := range 200 {
			h := &recorder{}
			var wait time.Duration
			h.onAction = func(kind string, _ RequestID, _ UpstreamID, d time.Duration, n uint64) {
				if kind == "timer" && n == discoveryToken {
					wait = d
				}
			}
			now := time.Hour
			b, err := New(s, uint64(seed), now, h)
			if err != nil {
				t.Fatal(err)
			}
			b.Members(now, ListFull, fleet(1)) // the watch ends by an outage a minute later
			now += time.Minute
			b.Members(now, ListFailed, nil)
			for call := range 8 {
				startedAt, failedAfter := now, []time.Duration{0, time.Millisecond, 2 * time.Second}[call%3]
				if call > 0 { // call 0 is the watch
					b.Timer(now, discoveryToken)
					now += failedAfter
					b.Members(now, ListFailed, nil)
				}
				if now += wait; now-startedAt > updateDeadline-callDuration {
					t.Fatalf("%d balancers: call %d failed after %v: got a retry %v after its start, want at most 5s",
						balancers, call, failedAfter, now-startedAt)
				}
			}
		}
	}
}

// Guards against calls by all balancers at the same time. Discovery serves them one after another,
// including those that have timed out, so too many at once keep it from answering any.
func TestDiscoveryCallsAreSpread(t *testing.T) {
	for _, balancers := range []int{2, 80} {
		s := settings()
		s.PollDiscovery, s.Balancers = true, balancers
		roundTime := min(time.Duration(balancers)*discoveryCallTime, s.Requirements.MaxDiscoveryInterval/2)
		var first, second []time.Duration
		for s.Rank = range balancers {
			var waits []time.Duration
			h := &recorder{}
			h.onAction = func(kind string, _ RequestID, _ UpstreamID, d time.Duration, n uint64) {
				if kind == "timer" && n == discoveryToken {
					waits = append(waits, d)
				}
			}
			b, err := New(s, uint64(s.Rank), time.Hour, h)
			if err != nil {
				t.Fatal(err)
			}
			if b.Members(time.Hour, ListFailed, nil); h.count("watch") > 0 || len(waits) != 2 {
				t.Fatalf("%d balancers: got %d immediate calls and timers %v, want no call and 2 timers",
					balancers, h.count("watch"), waits)
			}
			first, second = append(first, waits[0]), append(second, waits[1])
		}
		if slices.Max(first) > roundTime || slices.Min(second) < roundTime/2 {
			t.Errorf("%d balancers: got first calls until %v, retries from %v on; want until 1, from 0.5 round times",
				balancers, slices.Max(first), slices.Min(second))
		}
		for _, waits := range [][]time.Duration{first, second} {
			slices.Sort(waits)
			for i, at := range waits { // a random spread may have twice the even number
				n, _ := slices.BinarySearch(waits, at+roundTime/4)
				if limit := max(2, balancers/2); n-i > limit {
					t.Errorf("%d balancers: got %d calls within %v, want at most half of them",
						balancers, n-i, roundTime/4)
				}
			}
		}
	}
}

// Guards against invalid settings that are accepted, or rejected without the name of the setting.
func TestInvalidSettings(t *testing.T) {
	for field, invalidate := range map[string]func(*Settings){
		"Classes":                     func(s *Settings) { s.Classes = nil },
		"Balancers":                   func(s *Settings) { s.Balancers = 0 },
		"Limits.MaxAttempts":          func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"Requirements.OverloadWindow": func(s *Settings) { s.Requirements.OverloadWindow = 0 },
		"Requirements.WarmupTime":     func(s *Settings) { s.Requirements.WarmupTime = 0 },
		"Requirements.OverloadFactor": func(s *Settings) { s.Requirements.OverloadFactor = 0 },
		"Requirements.ColdCapacity":   func(s *Settings) { s.Requirements.ColdCapacity = 0 },
		"Requirements.MaxDiscoveryInterval": func(s *Settings) {
			s.PollDiscovery, s.Requirements.MaxDiscoveryInterval = true, 0
		},
		"LatencyTarget":                         func(s *Settings) { s.Classes[0].LatencyTarget = 0 },
		"Deadline":                              func(s *Settings) { s.Classes[0].Deadline = ms },
		"DedupWindow":                           func(s *Settings) { s.Classes[1].DedupWindow = 0 },
		"\"read\" is set twice":                 func(s *Settings) { s.Classes = append(s.Classes, s.Classes[0]) },
		"Worth":                                 func(s *Settings) { s.Classes[2].Worth = -1 },
		"Quota":                                 func(s *Settings) { s.Tenants[1].Quota = -1 },
		"Rank":                                  func(s *Settings) { s.Rank = s.Balancers },
		"OverQuotaWorth":                        func(s *Settings) { s.OverQuotaWorth = math.NaN() },
		"Granularity":                           func(s *Settings) { s.Granularity = -1 },
		"Weights":                               func(s *Settings) { s.Weights = 9 },
		"Reports":                               func(s *Settings) { s.Reports = 9 },
		"Idempotency":                           func(s *Settings) { s.Classes[0].Idempotency = 9 },
		"DedupScope":                            func(s *Settings) { s.Classes[1].DedupScope = 9 },
		"LateWorth":                             func(s *Settings) { s.Classes[0].LateWorth = math.Inf(1) },
		"\"small\" is set twice or has a Quota": func(s *Settings) { s.Tenants[1].Quota = math.NaN() },
		"\"big\" is set twice":                  func(s *Settings) { s.Tenants = append(s.Tenants, s.Tenants[0]) },
	} {
		s := settings()
		invalidate(&s)
		_, err := New(s, 1, 0, &recorder{})
		if !errors.Is(err, ErrInvalidSettings) || !strings.Contains(err.Error(), field) {
			t.Errorf("%s: got error %v, want ErrInvalidSettings with that name", field, err)
		}
	}
	rejected := func(s Settings) bool { _, err := NewPlan(s, func() {}); return errors.Is(err, ErrInvalidSettings) }
	for _, f := range []float64{math.NaN(), math.Inf(1), -1, 0} {
		s := settings()
		if s.Requirements.OverloadFactor = f; !rejected(s) {
			t.Errorf("OverloadFactor %v: got no error, want ErrInvalidSettings", f)
		}
		s = settings()
		if s.Requirements.ColdCapacity = f; !rejected(s) {
			t.Errorf("ColdCapacity %v: got no error, want ErrInvalidSettings", f)
		}
	}
	if _, err := New(settings(), 1, 0, nil); !errors.Is(err, ErrInvalidSettings) ||
		!strings.Contains(err.Error(), "Host") {
		t.Errorf("nil host: got error %v, want ErrInvalidSettings with \"Host\"", err)
	}
}

// Guards against invalid values in events that reach running means, which would stay NaN from then on, and
// against unknown timer tokens that start another series of ticks.
func TestInvalidValuesDoNotReachMeans(t *testing.T) {
	values := []float64{math.NaN(), math.Inf(1), math.Inf(-1), -3, 0, math.MaxFloat64}
	list := fleet(len(values))
	for i := range list {
		list[i].Weight = values[i]
	}
	b, h := start(t, settings(), append(list, list[0], Upstream{ID: 99, State: Removed, Weight: 1}))
	now := time.Hour
	for i := range 400 {
		now += 20 * ms
		id := RequestID(i + 1)
		b.Request(now, Request{ID: id, Class: "read", Budget: time.Second, Cost: time.Duration(values[i%3+2])})
		if r := b.requests[id]; r != nil && r.attemptsInFlight > 0 {
			l := Load{Fields: HasUtil | HasInflight | HasQueue, Util: values[i%6], Inflight: values[(i+1)%6],
				Queue: values[(i+2)%6]}
			o := Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: time.Duration(i%3-1) * 30 * ms, Status: OK,
				RequestDone: true, Load: l}
			b.Outcome(now, o)
			b.Outcome(now, o)
		}
		b.Probed(now, ProbeResult{Upstream: 99, Load: Load{Fields: HasUtil, Util: 1}})
		b.Probed(now, ProbeResult{Upstream: 2, Load: Load{Fields: HasUtil, Util: values[i%6]}})
		b.Timer(now, tickToken)
		b.Timer(now, 12345)
	}
	for _, u := range b.upstreams {
		for name, x := range map[string]float64{"mean utilisation": u.utilMean, "deviation of utilisation": u.utilDev,
			"weight": u.weight, "latency": u.latency, "limit": u.limit, "next turn": u.nextTurn,
			"band area": u.bandArea, "share factor": u.shareFactor} {
			if math.IsNaN(x) || math.IsInf(x, 0) || x < 0 {
				t.Errorf("upstream %d: got %s %v, want a finite value that is not negative", u.ID, name, x)
			}
		}
	}
	if h.count("send") < 300 || h.count("timer") > 401 {
		t.Errorf("got %d sends of 400 requests and %d timers, want at least 300 and at most 401",
			h.count("send"), h.count("timer"))
	}
}

// Guards against requests that get no answer or a Fail when there is no list, an empty list, no budget left
// or an unknown class, and against events with unknown ids that are not ignored.
func TestRequestsWithoutUpstreamsAreRefused(t *testing.T) {
	b, h := start(t, settings(), nil)
	b.Request(time.Hour, Request{ID: 1, Class: "write", Budget: 0})
	b.Request(time.Hour, Request{ID: 2, Class: "write", Budget: -time.Second})
	b.Request(time.Hour, Request{ID: 3, Class: "no such class", Budget: time.Second})
	if h.count("refuse") != 3 {
		t.Errorf("no list: got actions %v, want 3 immediate refusals", h.lines)
	}
	b.Members(time.Hour, ListFull, fleet(4))
	b.Members(time.Hour, ListFull, nil)
	b.Request(time.Hour, Request{ID: 4, Class: "write", Budget: time.Second})
	for now := time.Hour; now < time.Hour+time.Second; now += 10 * ms {
		b.Timer(now, tickToken)
	}
	b.ClientGone(time.Hour+time.Second, 77)
	b.ResponseStarted(time.Hour+time.Second, Outcome{ID: 77}, true)
	b.BodyComplete(time.Hour+time.Second, 77)
	b.Outcome(time.Hour+time.Second, Outcome{ID: 4, Attempt: -1})
	if h.count("refuse id=4") != 1 || h.count("send") != 0 {
		t.Errorf("empty list: got actions %v, want request 4 refused", h.lines)
	}
}

// BenchmarkRequest measures a request with one successful attempt.
func BenchmarkRequest(b *testing.B) {
	balancer, err := New(settings(), 1, 0, &discardHost{})
	if err != nil {
		b.Fatal(err)
	}
	balancer.Members(0, ListCached, fleet(20))
	now := time.Duration(0)
	for i := range b.N {
		now += ms
		id := RequestID(i + 1)
		balancer.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
		if r := balancer.requests[id]; r != nil && r.attemptsInFlight > 0 {
			balancer.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 50 * ms, Status: OK,
				RequestDone: true})
		}
	}
}

// discardHost is a Host that ignores all actions, for the benchmark.
type discardHost struct{ Host }

func (discardHost) Send(RequestID, UpstreamID, time.Duration, time.Duration) {}
func (discardHost) Refuse(RequestID, time.Duration)                          {}
func (discardHost) SetTimer(time.Duration, uint64)                           {}

// Guards against balancers that start at the same time and send their first requests to every upstream at
// once.
func TestFirstRequestsAreSpread(t *testing.T) {
	s := settings()
	s.Balancers = 8 // all of them use all upstreams
	b, _ := start(t, s, fleet(20))
	waiting := 0
	for _, u := range b.upstreams {
		if u.pausedUntil > time.Hour+b.pause(u)/10 { // waits for more than a tenth of the pause
			waiting++
		}
	}
	if waiting < 10 {
		t.Errorf("got %d of 20 upstreams waiting for their first attempt, want at least 10", waiting)
	}
	s.Balancers = 24 // each uses a subset
	got := map[UpstreamID]int{}
	for s.Rank = range s.Balancers {
		h := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Members(time.Hour, ListCached, fleet(20))
		for i := range 10 { // more than may be in flight
			b.Request(time.Hour, Request{ID: RequestID(i + 1), Class: "write", Budget: time.Second})
		}
		for _, u := range b.upstreams {
			got[u.ID] += len(u.inFlight)
		}
	}
	for id, n := range got {
		if n > 2*balancersPerUpstream {
			t.Errorf("upstream %d: got %d requests at once from 24 balancers, want at most 8", id, n)
		}
	}
}

// Guards against subsets that are too large, which would exhaust connections and leave each balancer too
// few responses from each upstream, and against upstreams that are used by too many or too few balancers.
func TestSubsetsAreSmallAndEven(t *testing.T) {
	for _, c := range []struct{ balancers, upstreams, minSize, maxSize int }{
		{8, 20, 20, 20},   // few balancers: all upstreams
		{90, 20, 2, 2},    // the minimum
		{400, 60, 2, 2},   // many balancers for each upstream: the minimum
		{100, 60, 3, 3},   // 5 balancers for each upstream
		{12, 20, 10, 10},  // more balancers: the size falls gradually
		{1200, 250, 2, 2}, // a very large fleet
	} {
		s := settings()
		s.Balancers = c.balancers
		used := map[UpstreamID]int{}
		for s.Rank = range c.balancers {
			b, _ := start(t, s, fleet(c.upstreams))
			if n := len(b.inUse); n < c.minSize || n > c.maxSize {
				t.Fatalf("%+v: got a subset of %d upstreams, want minSize to maxSize", c, n)
			}
			for _, u := range b.inUse {
				used[u.ID]++
			}
		}
		mean := float64(c.balancers*c.minSize) / float64(c.upstreams)
		for id := range c.upstreams {
			if n := float64(used[UpstreamID(id+1)]); n < 0.6*mean || n > 1.4*mean {
				t.Errorf("%+v: upstream %d: got %v balancers, want 0.6 to 1.4 times the mean %v", c, id+1, n, mean)
			}
		}
	}
}

// Guards against a subset without usable upstreams while others of the fleet are healthy.
func TestSubsetExtendsPastUnresponsiveAndColdUpstreams(t *testing.T) {
	s := settings()
	s.Balancers = 40
	b, _ := start(t, s, fleet(40))
	before := slices.Clone(b.inUse)
	before[0].unresponsive = true
	before[1].cold, before[1].coldSince = true, time.Hour
	b.selectSubset(time.Hour)
	if len(b.inUse) != len(before)+2 {
		t.Errorf("got a subset of %d at first, then %d with one unresponsive and one cold upstream; want 2 more",
			len(before), len(b.inUse))
	}
	draining := before[2].Upstream
	draining.State = Draining
	b.Members(time.Hour, ListDelta, []Upstream{draining})
	if before[2].inSubset || len(b.inUse) != len(before)+2 {
		t.Errorf("got a subset of %d after one began to drain, want it replaced", len(b.inUse))
	}
	before[0].unresponsive, before[1].cold = false, false
	b.selectSubset(time.Hour)
	if len(b.inUse) != len(before) {
		t.Errorf("got a subset of %d after recovery, want %d as at first", len(b.inUse), len(before))
	}
}

// Guards against requests of a fast class that are refused because the mean latency of all classes exceeds
// the target of their own class.
func TestFastClassIsQueuedByItsOwnLatency(t *testing.T) {
	s := settings()
	s.Classes[2].LatencyTarget = 200 * ms
	b, h := start(t, s, fleet(1))
	for i := range 60 {
		for j, c := range []struct {
			class   string
			latency time.Duration
		}{{"read", 240 * ms}, {"write", 40 * ms}} {
			now := time.Hour + time.Duration(2*i+j+1)*time.Second
			id := RequestID(2*i + j + 1)
			b.Request(now, Request{ID: id, Class: c.class, Budget: time.Second})
			b.Outcome(now+c.latency, Outcome{ID: id, Upstream: 1, Latency: c.latency, Status: OK, RequestDone: true})
		}
	}
	now := 2 * time.Hour
	b.upstreams[0].pausedUntil = now + time.Minute
	b.Request(now, Request{ID: 1000, Class: "write", Budget: time.Second})
	if r := b.requests[1000]; r == nil || !r.queued || r.workUnits > 0.5 {
		t.Errorf("got last action %v, want request 1000 queued with at most 0.5 units of work",
			h.lines[len(h.lines)-1])
	}
}

// Guards against retries past their latency target that use up capacity in an overload.
func TestLateRetryIsRefusedWhileCapacityIsShort(t *testing.T) {
	for _, c := range []struct {
		name          string
		budget        time.Duration // left of 1 s; the latency target is 300 ms
		capacityShort bool
		sent          bool
	}{
		{"first try", time.Second, true, true},
		{"retry with time left", 950 * ms, true, true},
		{"retry past the target", 500 * ms, true, false},
		{"retry past the target, capacity free", 500 * ms, false, true},
	} {
		b, h := start(t, settings(), fleet(4))
		b.Request(time.Hour, Request{ID: 1, Class: "write", Budget: time.Second})
		now := time.Hour + time.Second
		if c.capacityShort {
			b.lastQueuedAt = now
		}
		b.Request(now, Request{ID: 2, Class: "write", Budget: c.budget})
		if (h.count("send id=2") == 1) != c.sent || h.count("send id=2")+h.count("refuse id=2") != 1 {
			t.Errorf("%s: got last action %v, want request 2 refused only past the target at short capacity",
				c.name, h.lines[len(h.lines)-1])
		}
	}
}

// Guards against a cold upstream that gets no requests from many balancers because each one's part of its
// budget is less than one request, or too many because each part is rounded up.
func TestColdUpstreamIsUsedByManyBalancersWithinItsBudget(t *testing.T) {
	const balancers, window = 200, 1500 * ms
	s, sent := settings(), 0
	s.Balancers, s.Requirements.OverloadWindow = balancers, window
	for s.Rank = range balancers {
		h := &recorder{}
		b, err := New(s, uint64(s.Rank), time.Hour, h)
		if err != nil {
			t.Fatal(err)
		}
		list := fleet(3)
		list[2].StartedAt = time.Hour
		b.Members(time.Hour, ListCached, list)
		b.capacityPerWeight = 0.2 // requests per second that a warm upstream gets from this balancer
		for i := range 150 {
			for _, u := range b.upstreams[:2] {
				u.pausedUntil = 2 * time.Hour // leaves only the cold one for all traffic
			}
			now := time.Hour + time.Duration(i)*10*ms
			b.Request(now, Request{ID: RequestID(i + 1), Class: "read", Budget: time.Second})
			if r := b.requests[RequestID(i+1)]; r != nil && r.attemptsInFlight > 0 {
				b.Outcome(now, Outcome{ID: r.ID, Upstream: 3, Latency: 5 * ms, Status: OK, RequestDone: true})
			}
		}
		sent += h.count("send")
	}
	// Limit for all balancers: the rate of a warm upstream times OverloadFactor (3) and the capacity
	// reached (0.4).
	if limit := 0.2 * balancers * 3 * 0.4 * window.Seconds(); sent == 0 || float64(sent) > limit {
		t.Errorf("got %d requests sent to the cold upstream, want 1 to %v", sent, limit)
	}
}

// Guards against requests sent before a restart that count against the cold budget after it.
func TestRestartedUpstreamGetsNewColdBudget(t *testing.T) {
	list := fleet(2)
	b, h := start(t, settings(), list)
	now := time.Hour
	for i := range 400 { // both are warm, 100 requests per second in all
		now += 10 * ms
		b.Timer(now, tickToken)
		serve(t, b, now, RequestID(i+1))
	}
	list[0].StartedAt = now
	b.Members(now, ListDelta, list[:1])
	u, before := b.byID[1], h.count("send")
	for i := range 200 {
		now += 10 * ms
		b.byID[2].pausedUntil = now + time.Hour // leaves only the cold one for all traffic
		b.Request(now, Request{ID: RequestID(1000 + i), Class: "read", Budget: time.Second})
		if r := b.requests[RequestID(1000+i)]; r != nil && r.attemptsInFlight > 0 {
			b.Outcome(now, Outcome{ID: r.ID, Upstream: u.ID, Latency: 50 * ms, Status: OK, RequestDone: true})
		}
	}
	if sent := h.count("send") - before; !u.cold || sent < 10 {
		t.Errorf("got %d of 200 requests sent to the restarted upstream, cold %v; want at least 10, true",
			sent, u.cold)
	}
}

// Guards against the reserve for bursts in the cold budget being kept although the upstream reports low
// utilisation.
func TestColdUpstreamWithSpareCapacityGetsWholeBudget(t *testing.T) {
	sent := map[float64]int{}
	for _, utilisation := range []float64{0.3, 0.95} {
		s := settings()
		list := fleet(2)
		list[0].StartedAt = time.Hour
		b, h := start(t, s, list)
		b.capacityPerWeight = 20
		for i := range 300 {
			now := time.Hour + time.Duration(i)*10*ms
			b.byID[2].pausedUntil = now + time.Hour // leaves only the cold one for all traffic
			id := RequestID(i + 1)
			b.Request(now, Request{ID: id, Class: "read", Budget: time.Second})
			if r := b.requests[id]; r != nil && r.attemptsInFlight > 0 {
				load := Load{Fields: HasUtil | HasRequestRate, Util: utilisation, RequestRate: float64(i)}
				b.Outcome(now, Outcome{ID: id, Upstream: 1, Latency: 5 * ms, Status: OK, RequestDone: true, Load: load})
			}
		}
		sent[utilisation] = h.count("send")
		// Limit for 3 s, in which capacity rises from 0.3 to 0.53: 20/s * OverloadFactor (3) * 0.42 * 3 s.
		if limit := 20 * 3 * 0.42 * 3.0; float64(sent[utilisation]) > limit {
			t.Errorf("got %d requests sent at utilisation %v, want at most %v", sent[utilisation], utilisation, limit)
		}
	}
	if sent[0.3] < sent[0.95]*5/4 {
		t.Errorf("got %d requests sent at utilisation 0.3, %d at 0.95; want at least a quarter more at 0.3",
			sent[0.3], sent[0.95])
	}
}

// Guards against an upstream that counts as unresponsive after a fast response, when a balancer gets so few
// responses that the mean follows the last one.
func TestOneFastResponseDoesNotShortenResponseTimeout(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(1))
	u := b.upstreams[0]
	for i, latency := range []time.Duration{100, 110, 100, 90, 10, 10} {
		a := &attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u}
		b.recordOutcome(a, Outcome{Latency: latency * ms, Status: OK}, time.Hour+time.Duration(i)*time.Second)
	}
	if timeout := b.responseTimeout(u, 1); timeout < 200*ms {
		t.Errorf("got response timeout %v with latencies of about 100ms, want at least 200ms", timeout)
	}
}
