package garnettide

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// plan returns the plan for a copy of s that has been modified by change.
func plan(t testing.TB, s Settings, change func(*Settings)) *Plan {
	t.Helper()
	s.Classes, s.Tenants = slices.Clone(s.Classes), slices.Clone(s.Tenants)
	change(&s)
	p, err := NewPlan(s, func() {})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// reconfigure applies a copy of s that has been modified by change, and returns the difference.
func reconfigure(t testing.TB, b *Balancer, now time.Duration, s Settings, change func(*Settings)) PlanDiff {
	t.Helper()
	p := plan(t, s, change)
	c := p.Since(b.plan, func() {})
	b.Reconfigure(now, p, c)
	return c
}

// largeSettings returns settings with the given number of additional classes and tenants.
func largeSettings(classes, tenants int) Settings {
	s := settings()
	for i := range classes {
		s.Classes = append(s.Classes, Class{Name: fmt.Sprint("c", i), LatencyTarget: 300 * ms, Deadline: time.Second,
			Worth: float64(i % 9)})
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, Tenant{Name: fmt.Sprint("t", i), Quota: 2})
	}
	return s
}

// Guards against classes and tenants that are added at run time but not served.
func TestAddedClassAndTenantAreServed(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	q := Request{ID: 1, Class: "new", Tenant: "newcomer", Budget: time.Second}
	b.Request(time.Hour, q)
	if h.count("refuse id=1") != 1 {
		t.Errorf("before the change: got actions %v, want request 1 refused", h.lines)
	}
	c := reconfigure(t, b, time.Hour, settings(), func(s *Settings) {
		s.Classes = append(s.Classes, Class{Name: "new", LatencyTarget: 300 * ms, Deadline: time.Second, Worth: 1})
		s.Tenants = append(s.Tenants, Tenant{Name: "newcomer", Quota: 1})
		s.Tenants[0].Quota = 1
	})
	q.ID = 2
	if b.Request(time.Hour, q); h.count("send id=2") != 1 {
		t.Errorf("after the change: got actions %v, want request 2 sent", h.lines)
	}
	if c.Classes != (DiffCounts{Added: 1}) || c.Tenants != (DiffCounts{Added: 1, Changed: 1}) {
		t.Errorf("got class counts %+v, tenant counts %+v; want 1 class added, 1 tenant added and 1 changed",
			c.Classes, c.Tenants)
	}
}

// Guards against new requests of a removed class or tenant being served, and against requests accepted
// before the removal being dropped or no longer retried.
func TestRemovedClassAndTenantAreRefused(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	b.Request(time.Hour, Request{ID: 1, Class: "read", Tenant: "small", Budget: time.Second})
	c := reconfigure(t, b, time.Hour, settings(),
		func(s *Settings) { s.Classes, s.Tenants = s.Classes[1:], s.Tenants[:1] })
	if c.Classes != (DiffCounts{Removed: 1}) || c.Tenants != (DiffCounts{Removed: 1}) {
		t.Errorf("got class counts %+v, tenant counts %+v; want 1 removed each", c.Classes, c.Tenants)
	}
	b.Request(time.Hour, Request{ID: 2, Class: "read", Budget: time.Second})
	b.Request(time.Hour, Request{ID: 3, Class: "write", Tenant: "small", Budget: time.Second})
	b.Request(time.Hour, Request{ID: 4, Class: "write", Tenant: "big", Budget: time.Second})
	if h.count("refuse id=2") != 1 || h.count("refuse id=3") != 1 || h.count("send id=4") != 1 {
		t.Errorf("after the change: got actions %v, want requests 2 and 3 refused and 4 sent", h.lines)
	}
	first := b.requests[1].attempts[0].up.ID
	b.Outcome(time.Hour+ms, Outcome{ID: 1, Upstream: first, Latency: ms, Status: Reset})
	if h.count("send id=1") != 2 {
		t.Errorf("accepted before the change: got actions %v, want request 1 sent again", h.lines)
	}
	second := b.requests[1].attempts[1].up.ID
	b.Outcome(time.Hour+2*ms, Outcome{ID: 1, Upstream: second, Attempt: 1, Latency: ms, Status: OK, RequestDone: true})
	if len(b.requests) != 1 || h.count("refuse id=1")+h.count("fail id=1") != 0 {
		t.Errorf("got %d open requests, want 1; actions %v, want no refusal or failure of request 1",
			len(b.requests), h.lines)
	}
}

// Guards against changes of a class that apply to requests read before the change, also if the balancer
// receives them after it.
func TestRequestKeepsItsClassSettings(t *testing.T) {
	for _, receivedAfter := range []bool{false, true} {
		for _, c := range []struct {
			class  string
			change func(*Class)
			sends  int
		}{
			// The request was read as not idempotent.
			{"write", func(c *Class) { c.Idempotency, c.DedupWindow = IdempotentByKey, time.Minute }, 1},
			{"read", func(c *Class) { c.Idempotency = NonIdempotent }, 2},
			// The first attempt ends after 500 ms, outside the old window of 400 ms.
			{"keyed", func(c *Class) { c.DedupWindow = time.Hour }, 1},
			// The old deadline of 1 s applies.
			{"read", func(c *Class) { c.LatencyTarget, c.Deadline = ms, ms }, 2},
		} {
			b, h := start(t, settings(), fleet(1))
			q := Request{ID: 1, Class: c.class, Budget: time.Second, ClassSettings: b.plan.Class(c.class)}
			if !receivedAfter {
				b.Request(time.Hour, q)
			}
			reconfigure(t, b, time.Hour, settings(), func(s *Settings) {
				for i := range s.Classes {
					if s.Classes[i].Name == c.class {
						c.change(&s.Classes[i])
					}
				}
			})
			if receivedAfter {
				b.Request(time.Hour, q)
			}
			if h.count("send id=1") != 1 {
				t.Fatalf("%+v: got actions %v, want the request sent", c, h.lines)
			}
			b.Outcome(time.Hour+500*ms, Outcome{ID: 1, Upstream: 1, Latency: 500 * ms, Status: Error})
			b.upstreams[0].pausedUntil = 0
			b.dispatch(time.Hour + 500*ms)
			if n := h.count("send id=1"); n != c.sends {
				t.Errorf("class %s, received after the change %v: got %d sends, want %d; actions %v",
					c.class, receivedAfter, n, c.sends, h.lines)
			}
		}
	}
}

// Guards against the loss of learnt state in a reconfiguration, also of classes and tenants whose settings
// change.
func TestReconfigureKeepsLearntState(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range RequestID(400) {
		now += 5 * ms
		b.Request(now, Request{ID: i + 1, Class: "write", Tenant: "small", Budget: time.Second})
		if r := b.requests[i+1]; r != nil && r.attemptsInFlight == 1 {
			b.Outcome(now, Outcome{ID: i + 1, Upstream: r.attempts[0].up.ID, Latency: 50 * ms, Status: OK,
				RequestDone: true, Load: Load{Fields: HasUtil, Util: float64(i%7) / 10}})
		}
		b.Timer(now, tickToken)
	}
	statistics, level, upstreamsBefore := *b.classes["write"], *b.tenants["small"], []upstream{}
	for _, u := range b.upstreams {
		upstreamsBefore = append(upstreamsBefore, *u)
	}
	if statistics.latency == 0 || level.level < 1 || upstreamsBefore[0].readings == 0 {
		t.Fatal("got no class latency, tenant level or utilisation readings, want all of them")
	}
	latencyBefore, capacityBefore, trafficShareBefore, virtualTimeBefore :=
		b.latency, b.capacityPerWeight, b.trafficShare, b.virtualTime
	reconfigure(t, b, now, settings(), func(s *Settings) {
		s.Classes[2].Worth, s.Tenants[1].Quota, s.Limits.MaxAttempts, s.OverQuotaWorth = 7, 40, 2, 0.5
	})
	for i, u := range b.upstreams {
		before := upstreamsBefore[i]
		if u.utilMean != before.utilMean || u.utilDev != before.utilDev || u.limit != before.limit ||
			u.latency != before.latency || u.coldLevel != before.coldLevel || u.shareFactor != before.shareFactor ||
			u.nextTurn != before.nextTurn || u.readings != before.readings {
			t.Errorf("upstream %d: got %+v after the change, want %+v", u.ID, u, before)
		}
	}
	if *b.classes["write"] != statistics || *b.tenants["small"] != level || b.latency != latencyBefore ||
		b.capacityPerWeight != capacityBefore || b.trafficShare != trafficShareBefore ||
		b.virtualTime != virtualTimeBefore {
		t.Error("got other statistics of classes, tenants or all upstreams after the change, want the same")
	}
	b.Request(now, Request{ID: 1000, Class: "write", Budget: time.Second})
	if r := b.requests[1000]; r == nil || r.class.Worth != 7 || r.class.latency != statistics.latency {
		t.Errorf("got request %+v, want worth 7 and the learnt latency", r)
	}
}

// Guards against changed quotas, limits, balancer counts and ranks that do not take effect.
func TestChangedSettingsTakeEffect(t *testing.T) {
	b, h := start(t, settings(), fleet(60))
	countOverQuota := func() (n int) {
		b.tenants = map[string]*tenant{}
		for range 60 {
			if b.overQuota(&request{Request: Request{Tenant: "small"}}, time.Hour) {
				n++
			}
		}
		return n
	}
	before := countOverQuota()
	reconfigure(t, b, time.Hour, settings(), func(s *Settings) { s.Tenants[1].Quota = 60 })
	// 60/2 + 2*sqrt(60/2) = 40.95 requests are within the larger quota.
	if after := countOverQuota(); before <= after || after != 60-40 {
		t.Errorf("got %d of 60 requests over a quota of 20, then %d over a quota of 60; want more than 20, then 20",
			before, after)
	}
	reconfigure(t, b, time.Hour, settings(), func(s *Settings) { s.Limits.MaxAttempts = 1 })
	b.Request(time.Hour, Request{ID: 1, Class: "read", Budget: time.Second})
	b.Outcome(time.Hour+ms, Outcome{ID: 1, Upstream: b.requests[1].attempts[0].up.ID, Latency: ms, Status: Error})
	if h.count("send id=1") != 1 || h.count("refuse id=1") != 1 {
		t.Errorf("MaxAttempts 1: got actions %v, want one send and a refusal", h.lines)
	}
	subsetSize := func() (n int) {
		for _, u := range b.upstreams {
			if u.inSubset {
				n++
			}
		}
		return n
	}
	if n := subsetSize(); n != 60 {
		t.Fatalf("2 balancers: got a subset of %d of 60 upstreams, want 60", n)
	}
	reconfigure(t, b, time.Hour, settings(), func(s *Settings) { s.Balancers, s.Rank = 80, 7 })
	if n := subsetSize(); n > 10 {
		t.Errorf("80 balancers: got a subset of %d of 60 upstreams, want at most 10", n)
	}
}

// Guards against state of removed classes and tenants that is never freed, or freed all at once, and
// against the loss of state of names that return before they are forgotten.
func TestRemovedNamesAreForgottenInBatches(t *testing.T) {
	s := largeSettings(400, 2000)
	b, _ := start(t, s, fleet(4))
	for i, c := range s.Classes {
		b.class(c.Name, nil).latency = float64(i + 1)
	}
	for _, x := range s.Tenants {
		b.overQuota(&request{Request: Request{Tenant: x.Name}}, time.Hour)
	}
	reduced := func(s *Settings) { s.Classes, s.Tenants = s.Classes[:3], s.Tenants[:2] }
	reconfigure(t, b, time.Hour, s, reduced)
	retained := func() int { return len(b.classes) + len(b.tenants) }
	total, ticks := retained(), 0
	tick := func() {
		ticks++
		b.Timer(time.Hour+time.Duration(ticks)*b.tickInterval, tickToken)
	}
	tick()
	if forgotten := total - retained(); forgotten != removalsPerTick || len(b.classes) == 3 {
		t.Errorf("got %d names forgotten in a tick, want %d; %d classes left, want more than 3",
			forgotten, removalsPerTick, len(b.classes))
	}
	level, kept := *b.tenants["t0"], map[string]classStatistics{}
	for name, stats := range b.classes {
		kept[name] = *stats
	}
	reconfigure(t, b, time.Hour, s, func(*Settings) {}) // adds all removed names again
	restored := retained()
	for range 20 {
		tick()
	}
	if retained() != restored || *b.tenants["t0"] != level || len(b.pendingRemovals) > 0 {
		t.Errorf("got %d names, want the %d there were when all were restored; %d changes pending, want none",
			retained(), restored, len(b.pendingRemovals))
	}
	for name, before := range kept {
		if stats := b.classes[name]; stats == nil || *stats != before {
			t.Errorf("class %s, restored before it was forgotten: got %+v, want %+v", name, stats, before)
		}
	}
	reconfigure(t, b, time.Hour, s, reduced)
	for range 20 {
		tick()
	}
	if len(b.classes) != 3 || len(b.tenants) != 2 || len(b.pendingRemovals) > 0 {
		t.Errorf("got state of %d classes and %d tenants, want 3 and 2", len(b.classes), len(b.tenants))
	}
}

// Guards against reconfigurations that allocate, or that take longer the more classes and tenants there are.
func TestReconfigureTakesConstantTime(t *testing.T) {
	s := largeSettings(17000, 72000)
	b, h := start(t, s, fleet(4))
	first := b.plan
	second := plan(t, s, func(s *Settings) { s.Tenants[500].Quota = 3 })
	forward, backward := second.Since(first, func() {}), first.Since(second, func() {})
	if forward.Tenants != (DiffCounts{Changed: 1}) || forward.Classes != (DiffCounts{}) {
		t.Fatalf("got difference %+v, want 1 changed tenant", forward)
	}
	n := len(h.lines)
	if got := testing.AllocsPerRun(1000, func() {
		b.Reconfigure(time.Hour, second, forward)
		b.Reconfigure(time.Hour, first, backward)
	}); got > 0 {
		t.Errorf("got %v allocations, want none", got)
	}
	if len(b.classes)+len(b.tenants)+len(b.pendingRemovals) > 0 || len(h.lines) != n {
		t.Errorf("got state of %d classes, %d tenants, and actions %v; want none",
			len(b.classes), len(b.tenants), h.lines[n:])
	}
	// If a reconfiguration iterated over the tenants, 1,000 of them would take about 1,000 times scanTime.
	begin := time.Now()
	sum := 0
	for name := range first.tenants {
		sum += len(name)
	}
	iterationTime := time.Since(begin)
	begin = time.Now()
	for range 1000 {
		b.Reconfigure(time.Hour, second, forward)
	}
	if reconfigureTime := time.Since(begin); reconfigureTime > 100*iterationTime {
		t.Errorf("got %v for 1,000 reconfigurations, want at most 100 iterations over the tenants (sum %d) of %v",
			reconfigureTime, sum, iterationTime)
	}
}

// Guards against a NewPlan whose time grows with the square of the number of classes.
func TestNewPlanTakesLinearTime(t *testing.T) {
	fastest := func(classes int) time.Duration {
		s, best := largeSettings(classes, 0), time.Hour
		for range 7 {
			begin, yields := time.Now(), 0
			if _, err := NewPlan(s, func() { yields++ }); err != nil {
				t.Fatal(err)
			}
			best = min(best, time.Since(begin))
			if yields != len(s.Classes)+len(s.Tenants) {
				t.Fatalf("got %d calls of yield for %d classes, want one for each class and tenant", yields, classes)
			}
		}
		return best
	}
	// 64 times as many classes would take 4,096 times as long if time were quadratic. The limit of 1,000
	// allows for cache misses.
	if small, large := fastest(250), fastest(16000); large > 1000*small {
		t.Errorf("got %v for 250 classes, %v for 16,000; want at most 1,000 times as long", small, large)
	}
}
