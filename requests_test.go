package garnettide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// A refusal tells when to come back, where the settings allow it: later the more is held, and within the bound.
func TestRefusalsCarryRetryAfter(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		s := settings()
		s.Limits.RetryAfter, s.Limits.MaxRetryAfter = allowed, 400*ms
		b, h := start(t, s, nil)
		var retryAfters []time.Duration
		h.onAction = func(kind string, _ RequestID, _ UpstreamID, d time.Duration, _ uint64) {
			if kind == "refuse" {
				retryAfters = append(retryAfters, d)
			}
		}
		b.Request(time.Hour, Request{ID: 1, Class: "write", Budget: 10 * ms}) // nobody to send it to
		b.Members(time.Hour, ListFull, fleet(2))
		for i := range RequestID(200) {
			b.Request(time.Hour, Request{ID: 2 + i, Class: "write", Budget: time.Second})
		}
		b.Request(time.Hour, Request{ID: 900, Class: "write", Budget: 10 * ms}) // all turns are taken
		if len(retryAfters) != 2 {
			t.Fatalf("%d refusals, want 2: %v", len(retryAfters), h.lines)
		}
		for i, d := range retryAfters {
			if (d > 0) != allowed || d > s.Limits.MaxRetryAfter {
				t.Errorf("allowed %v, refusal %d: come back in %v", allowed, i, d)
			}
		}
	}
}

// Held requests stand by worth, and the newest first among equals.
func TestHeldRequestsAreOrdered(t *testing.T) {
	s := settings()
	s.WorthByWork = false
	b, _ := start(t, s, nil)
	for i := range RequestID(60) {
		class := []string{"read", "write", "read"}[i%3]
		b.Request(time.Hour, Request{ID: i + 1, Class: class, Budget: time.Second, Cost: time.Duration(10+i%4) * ms})
	}
	want := slices.Clone(b.held)
	slices.SortStableFunc(want, func(x, y *request) int {
		if x.worth != y.worth {
			if x.worth > y.worth {
				return -1
			}
			return 1
		}
		return int(y.ID) - int(x.ID)
	})
	if len(want) != 60 || !slices.Equal(want, b.held) {
		t.Errorf("%d held, out of order", len(b.held))
	}
}

// Thousands of upstreams come and go under ids that are ever new, with ever new requests and keys: what is kept returns
// to its size.
func TestStateDoesNotGrowWithChurn(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 3000 {
		now += 400 * ms
		list := fleet(4)
		for j := range list {
			list[j].ID = UpstreamID(i + j + 1) // the first goes, a new one comes
			list[j].StartedAt = now - time.Duration(4-j)*400*ms
		}
		b.Members(now, ListFull, list)
		b.Timer(now, tickToken)
		for k := range 3 {
			id := RequestID(3*i + k + 1)
			b.Request(now, Request{ID: id, Class: "write", Tenant: []string{"", "small", "big"}[k], Key: uint64(id), HasKey: true, Budget: 300 * ms})
			if r := b.requests[id]; r != nil && r.out == 1 {
				b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 50 * ms, Status: OK, RequestDone: true})
			}
		}
		h.lines = nil
	}
	now += time.Minute
	b.Timer(now, tickToken)
	b.Timer(now+bandPeriod, tickToken)
	for what, n := range map[string]int{"upstreams": len(b.byID), "their list": len(b.ups), "the subset": len(b.near)} {
		if n != 4 {
			t.Errorf("%s: %d, want 4", what, n)
		}
	}
	if len(b.requests) > 0 || len(b.held) > 0 || len(b.tenants) != 2 || len(b.logged) > 5 {
		t.Errorf("left: %d requests, %d held, %d tenants, %d kinds of log line",
			len(b.requests), len(b.held), len(b.tenants), len(b.logged))
	}
}

// A bound of one and a half attempts counts as two: cut to one, upstreams stood at half their use while requests were
// refused, since the way there and back leaves them without work.
func TestConcurrencyLimitIsRounded(t *testing.T) {
	b, h := start(t, settings(), fleet(2)) // of two balancers each has half of boundStart
	for i := range RequestID(10) {
		b.Request(time.Hour, Request{ID: i + 1, Class: "write", Budget: time.Second})
	}
	if n := h.count("send"); b.start != 1.5 || n != 4 {
		t.Errorf("%d sent at a bound of %v for each of two, want 4", n, b.start)
	}
}

// A client that leaves, and an answer that another copy has given, stop no work at the upstream: the attempt keeps its
// place until it ends, or the upstream is sent more than it can do.
func TestAttemptOccupiesItsSlotAfterClientLeaves(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	u := b.ups[0]
	var id RequestID
	for h.count("send") == len(u.outs) { // until no turn is free
		id++
		if b.Request(time.Hour, Request{ID: id, Class: "read", Budget: time.Second}); len(b.held) > 0 {
			break
		}
	}
	limit := len(u.outs)
	b.ClientGone(time.Hour+ms, 1)
	b.Timer(time.Hour+2*ms, tickToken)
	if h.count("cancel") != 0 || len(u.outs) != limit || h.count("send") != limit {
		t.Errorf("%d out and %d sent, of %d that fit; %d cancelled", len(u.outs), h.count("send"), limit, h.count("cancel"))
	}
	b.Outcome(time.Hour+60*ms, Outcome{ID: 1, Upstream: u.ID, Latency: 60 * ms, Status: OK, RequestDone: true})
	if h.count("send") != limit+1 || len(b.requests) != limit {
		t.Errorf("%d sent and %d in the ledger, want %d and %d", h.count("send"), len(b.requests), limit+1, limit)
	}
}

// A tenant that asks for twice its quota is over it with half of its requests, however long that lasts.
func TestTenantOverQuotaIsServedUpToQuota(t *testing.T) {
	customer, within := &tenant{}, 0
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		if !customer.over(now, 50) && now >= 30*time.Second {
			within++
		}
	}
	if within < 1495 || within > 1505 {
		t.Errorf("%d of 3000 requests are within a quota of 1500", within)
	}
	if later := 61 * time.Second; customer.over(later, 50) {
		t.Error("over the quota a second after the last request")
	}
}

// Clients that are refused ask again, several times each: counted every time they used up their tenant's quota for
// nothing, and its requests were worth a tenth from then on.
func TestRefusedRequestsUseNoQuota(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "small", Quota: 20}}
	b, h := start(t, s, nil) // nobody to send to
	for i := range RequestID(200) {
		b.Request(time.Hour, Request{ID: i + 1, Class: "write", Tenant: "small", Budget: 10 * ms})
	}
	if h.count("refuse") != 200 {
		t.Fatalf("%d refused of 200", h.count("refuse"))
	}
	b.Request(time.Hour, Request{ID: 900, Class: "write", Tenant: "small", Budget: time.Second})
	if r := b.requests[900]; r == nil || r.over {
		t.Error("over the quota, though nothing has been sent")
	}
}

// A client gives its last try all of the time that is left, more than its first one had. Taken for the usual budget it
// once made all first tries look late for good.
func TestLastTryDoesNotChangeUsualBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget time.Duration // of 1 s; the aim is 300 ms
		sent   bool
	}{
		{"first try", 500 * ms, true},
		{"last try, begun at once", 990 * ms, true},
		{"last try past the aim", 650 * ms, false},
		{"later try past the aim", 200 * ms, false},
	} {
		b, h := start(t, settings(), fleet(4))
		now, id := time.Hour, RequestID(0)
		for _, budget := range []time.Duration{990 * ms, 500 * ms, 500 * ms, 500 * ms, 990 * ms, 500 * ms} {
			id++
			now += 100 * ms
			b.Request(now, Request{ID: id, Class: "write", Budget: budget})
			if r := b.requests[id]; r != nil && r.out == 1 {
				b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 20 * ms, Status: OK, RequestDone: true})
			}
		}
		now += time.Second
		b.tightAt = now
		b.Request(now, Request{ID: 100, Class: "write", Budget: c.budget})
		if sent := h.count("send id=100") == 1; sent != c.sent {
			t.Errorf("%s: sent %v, want %v", c.name, sent, c.sent)
		}
	}
}

// A balancer whose peers are down, or have few clients, once kept to an even part of each server and of each quota, and
// refused requests beside idle servers. What the servers report in all tells it how much is left for it.
func TestTrafficShareIsMeasured(t *testing.T) {
	s := settings() // two balancers
	s.Tenants = []Tenant{{Name: "small", Quota: 30}}
	b, _ := start(t, s, fleet(4))
	now := time.Hour
	runPeriods := func(n int, others float64) {
		for range n {
			now += bandPeriod
			for _, u := range b.ups {
				u.answers, u.last.RequestRate = 20, 20+others
			}
			b.step(now)
		}
	}
	even := b.start
	for _, c := range []struct {
		name   string
		others float64
		part   float64
	}{{"alone", 0, 1}, {"two alike", 20, 0.5}, {"one with few clients", 60, 0.5}} {
		runPeriods(40, c.others)
		if math.Abs(b.start-2*c.part*even) > 0.01 || math.Abs(b.rate(30)-30*c.part) > 0.1 {
			t.Errorf("%s: bounds from %v, quota %v; want %v, %v", c.name, b.start, b.rate(30), 2*c.part*even, 30*c.part)
		}
	}
	for _, u := range b.ups {
		u.answers = 0
	}
	b.step(now + bandPeriod) // nothing was answered: as before
	if math.Abs(b.start-even) > 0.01 {
		t.Errorf("bounds from %v after a period without answers, want %v", b.start, even)
	}
}

// Where single requests got lost on the way, each held its place until the deadline, and two of them made a server that
// answered all others pass for silent: it was left idle for seconds while requests were refused.
func TestLostAttemptIsHedgedAndFreesItsSlot(t *testing.T) {
	for _, utilization := range []float64{0.2, 0.95} {
		s := settings()
		s.Limits.Hedging = true
		b, h := start(t, s, fleet(2))
		b.doubt = 0 // what was overdue before never came
		now := time.Hour
		for i := range 40 {
			serve(t, b, now, RequestID(i+1))
		}
		b.Request(now, Request{ID: 100, Class: "read", Budget: time.Second})
		u := b.requests[100].attempts[0].up
		for i := range 12 { // later ones are answered, here and at the other
			now += 40 * ms
			id := RequestID(200 + i)
			b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
			load := Load{Fields: HasUtil, Util: utilization + float64(i)/1000}
			b.Outcome(now+30*ms, Outcome{ID: id, Upstream: b.requests[id].attempts[0].up.ID, Latency: 30 * ms, Status: OK, RequestDone: true, Load: load})
		}
		b.Timer(now, tickToken)
		r := b.requests[100]
		if lost := utilization < fullUse; r.attempts[0].lost != lost || (u.places() == 0) != lost || (r.out == 2) != lost || u.silent {
			t.Errorf("use %v: lost %v, %d places, %d out, silent %v", utilization, r.attempts[0].lost, u.places(), r.out, u.silent)
		}
		b.Timer(now+b.patience(u, 1), tickToken)
		if utilization < fullUse && u.silent {
			t.Errorf("silent for the sake of a lost attempt: %v", h.lines[len(h.lines)-3:])
		}
	}
}

// Trials of a silent server once came at ever longer intervals, and one that failed to connect put off its turns as well.
func TestTrialIntervalIsLimitedByWarmupTime(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u, now := b.ups[0], time.Hour
	u.silent, u.wait = true, b.tick
	for i := range RequestID(20) {
		now += time.Minute
		b.Request(now, Request{ID: i + 1, Class: "read", Budget: time.Second})
		b.Outcome(now+ms, Outcome{ID: i + 1, Upstream: u.ID, Latency: ms, Status: ConnectFailed, RequestDone: true})
	}
	if u.wait > b.s.Requirements.WarmupTime || u.freeAt > now+ms {
		t.Errorf("waits %v between trials (ramp %v), no turn for another %v", u.wait, b.s.Requirements.WarmupTime, u.freeAt-now)
	}
}

// A booking, worth three timetables and with less time, was refused 50 ms after it came while timetables waited for the
// next turns and got them.
func TestMoreValuableClassIsHeldLonger(t *testing.T) {
	s := settings()
	s.WorthByWork, s.Classes[1].Worth = false, 15
	s.Classes[0].Worth, s.Classes[0].LateWorth = 5, s.Classes[1].LateWorth
	b, _ := start(t, s, fleet(1))
	b.lat = float64(100 * ms)
	now := time.Hour + time.Second
	b.ups[0].freeAt = now + time.Minute
	b.Request(now, Request{ID: 1, Class: "keyed", Budget: time.Second})
	b.Request(now, Request{ID: 2, Class: "read", Budget: time.Second})
	valuable := b.requests[1].sendBy - now
	if cheap := b.requests[2].sendBy - now; valuable < cheap+25*ms || valuable > s.Classes[1].LatencyTarget {
		t.Errorf("a class of worth 15 is held for %v, one of worth 5 with the same aim for %v", valuable, cheap)
	}
}

// Refused just before its aim a request could only come back late, and took a turn for a fifth of its worth.
func TestRefusalLeavesTimeForRetry(t *testing.T) {
	s := settings()
	b, h := start(t, s, fleet(1))
	b.lat = float64(20 * ms)
	now, first := time.Hour, time.Duration(0)
	b.ups[0].freeAt = now + time.Minute
	for try := range RequestID(2) {
		b.Request(now, Request{ID: try + 1, Class: "read", Budget: s.Classes[0].Deadline / 2})
		for h.count("refuse") == int(try) && now < time.Hour+time.Second {
			now += b.tick
			b.Timer(now, tickToken)
		}
		first = cmp.Or(first, now-time.Hour)
	}
	if elapsed := now - time.Hour; h.count("refuse") != 2 || elapsed+time.Duration(b.lat) > s.Classes[0].LatencyTarget || first < s.Classes[0].LatencyTarget/4 {
		t.Errorf("two tries held for %v and %v with an aim of %v", first, elapsed-first, s.Classes[0].LatencyTarget)
	}
}

// The newest stand first: what many newer ones had buried was held to the end of its time for nothing.
func TestRequestBehindTooManyOthersIsRefused(t *testing.T) {
	s := settings()
	s.WorthByWork = false
	b, h := start(t, s, fleet(1))
	b.lat, b.pace = float64(20*ms), 20
	now := time.Hour + time.Second
	b.ups[0].freeAt = now + time.Minute
	for i := range RequestID(10) {
		b.Request(now, Request{ID: i + 1, Class: []string{"keyed", "read"}[min(i, 1)], Budget: time.Second})
	}
	left := (b.requests[10].sendBy - now).Seconds()
	b.dispatch(now)
	ahead := int(b.pace * left) // so many turns come in the time of the last
	if len(b.held) != ahead+1 || h.count("refuse") != 10-len(b.held) || b.requests[1] == nil || b.requests[10] == nil {
		t.Errorf("%d held, %d refused, where %d turns come in time", len(b.held), h.count("refuse"), ahead)
	}
	if b.pace = 1000; len(b.held) > 0 {
		before := len(b.held)
		if b.dispatch(now); len(b.held) != before {
			t.Errorf("%d of %d held where turns come fast", len(b.held), before)
		}
	}
}

// A balancer of many has a good part of what its few servers answer, and a small one of the whole traffic: quotas by
// the former let a tenant send twenty times its share.
func TestQuotaIsShareOfWholeTraffic(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 80, []Tenant{{Name: "big", Quota: 800}}
	b, _ := start(t, s, fleet(60))
	now := time.Hour
	for range 40 {
		now += bandPeriod
		for _, u := range b.near {
			u.answers, u.last.RequestRate = 5, 25
		}
		b.step(now)
	}
	subsetShare := float64(len(b.near)) / 60
	if got, want := b.rate(800), 800*0.2*subsetShare; subsetShare > 0.2 || math.Abs(got-want) > want/20 {
		t.Errorf("rate %.1f of a quota of 800 at a fifth of %.0f%% of the servers, want %.1f", got, 100*subsetShare, want)
	}
}

// A quota split over many balancers is a few requests a second: chance alone passed it often.
func TestSmallQuotaAllowsRandomBursts(t *testing.T) {
	rng, customer, now, over := rand.New(rand.NewPCG(1, 2)), tenant{}, time.Duration(0), 0
	for range 2000 { // 1.6 a second, by chance
		now += time.Duration(rng.ExpFloat64() / 1.6 * float64(time.Second))
		if customer.over(now, 2) {
			over++
		}
	}
	if over > 2000/20 {
		t.Errorf("%d of 2000 requests over a quota that they keep", over)
	}
	over = 0
	for range 2000 { // three times the quota
		now += time.Duration(rng.ExpFloat64() / 6 * float64(time.Second))
		if customer.over(now, 2) {
			over++
		}
	}
	if over < 1200 {
		t.Errorf("%d of 2000 requests over a quota that they pass threefold", over)
	}
}

// Worth may be nought: no class is then held by a figure that is none.
func TestClassWithoutWorthDoesNotAffectStake(t *testing.T) {
	s := settings()
	s.Classes[0].Worth = 0
	b, _ := start(t, s, fleet(1))
	if x := b.plan.stake(b.plan.Class("read").Worth); x != 1 {
		t.Errorf("stake %v of a class worth nothing", x)
	}
	if x := b.plan.stake(b.plan.Class("keyed").Worth); x != s.Classes[2].Worth/s.Classes[1].Worth {
		t.Errorf("stake %v beside a class worth nothing", x)
	}
}

// In maintenance an upstream gets nothing, whatever lists say, until the one call back; then its turn comes at once and
// it counts as cold.
func TestUpstreamInMaintenanceReceivesNothing(t *testing.T) {
	s := settings()
	s.Balancers = 1
	b, h := start(t, s, fleet(3))
	now, id := time.Hour, RequestID(0)
	sendRequests := func(n int) map[UpstreamID]int {
		got := map[UpstreamID]int{}
		for range n {
			now, id = now+20*ms, id+1
			b.Timer(now, tickToken)
			got[serve(t, b, now, id).ID]++
		}
		return got
	}
	if got := sendRequests(60); got[2] == 0 {
		t.Fatalf("at first: %v", got)
	}
	b.SetMaintenance(now, 2, true)
	b.SetMaintenance(now, 2, true)
	if got := sendRequests(60); got[2] != 0 {
		t.Errorf("left out: %v", got)
	}
	b.Members(now, ListFull, fleet(1)) // it leaves the list and is forgotten
	sendRequests(120)
	restarted := fleet(3)
	restarted[1].StartedAt = now
	b.Members(now, ListFull, restarted)
	if got := sendRequests(60); got[2] != 0 || got[3] == 0 {
		t.Errorf("left out, and back on the list: %v", got)
	}
	b.SetMaintenance(now, 2, false)
	if u := b.byID[2]; !u.cold || u.coldAt != now {
		t.Errorf("called back: cold %v since %v", u.cold, u.coldAt)
	}
	if got := sendRequests(6); got[2] == 0 {
		t.Errorf("called back: %v", got)
	}
	coldSince := b.byID[2].coldAt
	restarted[1].StartedAt = coldSince - 100*ms // the start that the return stands for, told late
	b.Members(now, ListDelta, restarted[1:2])
	if b.byID[2].coldAt != coldSince {
		t.Error("a start before the return counted as another one")
	}
	if h.count("refuse") != 0 {
		t.Errorf("%d refused beside free upstreams", h.count("refuse"))
	}
}

// With every upstream in maintenance requests are refused at once, those that are held too. Without a list they wait.
func TestRequestsAreRefusedWhenAllUpstreamsAreInMaintenance(t *testing.T) {
	b, h := start(t, settings(), fleet(2))
	now := time.Hour + ms
	for id := range RequestID(20) {
		b.Request(now, Request{ID: id + 1, Class: "write", Budget: time.Second})
	}
	if len(b.held) == 0 {
		t.Fatal("none is held")
	}
	b.SetMaintenance(now, 1, true)
	b.SetMaintenance(now, 2, true)
	if len(b.held) != 0 {
		t.Errorf("%d are held for nobody", len(b.held))
	}
	b.Request(now, Request{ID: 77, Class: "read", Budget: time.Second})
	if h.count("refuse id=77") != 1 {
		t.Error("not refused at once")
	}
	b.SetMaintenance(now, 2, false)
	b.Request(now, Request{ID: 78, Class: "read", Budget: time.Second})
	if h.count("refuse id=78") != 0 {
		t.Error("refused with an upstream back")
	}
}

// While the body of an open request comes nothing is worked on: it takes no place, its upstream does not count as
// silent, and its time begins at the last byte.
func TestStreamingRequestOccupiesNoSlotUntilBodyComplete(t *testing.T) {
	s := settings()
	s.Balancers = 1
	b, h := start(t, s, fleet(1))
	now := time.Hour
	u := b.byID[1]
	for id := range RequestID(20) { // far more than there are places
		b.Request(now, Request{ID: id + 1, Class: "write", Budget: time.Second, Streaming: true})
	}
	if len(u.outs) != 20 || u.places() != 0 {
		t.Fatalf("%d sent, %d places taken", len(u.outs), u.places())
	}
	for range 400 { // 4 s: far over the deadline and any patience
		now += 10 * ms
		b.Timer(now, tickToken)
	}
	if h.count("refuse")+h.count("fail")+h.count("cancel") != 0 || u.silent {
		t.Fatalf("while it came: silent %v, %v", u.silent, h.lines)
	}
	b.BodyComplete(now, 1)
	if u.places() != 1 {
		t.Errorf("once whole it takes %d places", u.places())
	}
	b.Outcome(now+40*ms, Outcome{ID: 1, Upstream: 1, Latency: 40 * ms, Status: OK, RequestDone: true})
	if got := time.Duration(u.lat); got != 40*ms {
		t.Errorf("latency %v", got)
	}
	b.BodyComplete(now, 2)
	if r := b.requests[2]; r.deadline != now+time.Second || r.attempts[0].sentAt != now {
		t.Errorf("deadline %v after its last byte", r.deadline-now)
	}
}

// An open request goes to a second upstream only while its body can still be sent from the start, and never to two.
func TestStreamingRequestIsNotHedged(t *testing.T) {
	s := settings()
	s.Limits.Hedging = true
	b, h := start(t, s, fleet(4))
	now := time.Hour
	b.Request(now, Request{ID: 1, Class: "read", Budget: time.Second, Streaming: true})
	first := b.requests[1].attempts[0]
	b.rescue(first, now)
	if h.count("send id=1 ") != 1 {
		t.Fatal("a second copy of a body that comes once")
	}
	b.Outcome(now, Outcome{ID: 1, Upstream: first.up.ID, Status: ConnectFailed})
	if h.count("send id=1 ") != 2 {
		t.Fatal("not sent elsewhere, though nothing of it was used up")
	}
	b.Outcome(now, Outcome{ID: 1, Upstream: b.requests[1].attempts[1].up.ID, Attempt: 1, Status: ConnectFailed, BodyConsumed: true})
	if h.count("send id=1 ") != 2 || h.count("refuse id=1 ") != 1 {
		t.Errorf("used up, then: %v", h.lines)
	}
}

// An answer that has begun tells all of its upstream at once and frees the place; its long end teaches nothing.
func TestStartedResponseFreesItsSlot(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	now := time.Hour + 40*ms
	b.Request(time.Hour, Request{ID: 1, Class: "read", Budget: time.Second})
	u := b.byID[1]
	b.ResponseStarted(now, Outcome{ID: 1, Upstream: 1, Latency: 40 * ms, Status: OK, RequestDone: true, Load: Load{Fields: HasUtil, Util: 0.5}})
	if u.places() != 0 || u.readings != 1 || time.Duration(u.lat) != 40*ms {
		t.Errorf("%d places, %d readings, latency %v", u.places(), u.readings, time.Duration(u.lat))
	}
	for range 500 {
		now += 10 * ms
		b.Timer(now, tickToken)
	}
	if u.silent || h.count("refuse")+h.count("fail")+h.count("cancel") != 0 {
		t.Errorf("while it passes: silent %v, %v", u.silent, h.lines)
	}
	b.Outcome(now, Outcome{ID: 1, Upstream: 1, Latency: 5 * time.Second, Status: Reset, RequestDone: true})
	if time.Duration(u.lat) != 40*ms || len(b.requests) != 0 || len(u.outs) != 0 {
		t.Errorf("at its end: latency %v, %d requests, %d out", time.Duration(u.lat), len(b.requests), len(u.outs))
	}
}

// A balancer that has just started knows after a second or two what a warm upstream carries, so that a cold one gets
// its part: a mean that rises from nothing once left it idle for ten.
func TestNewBalancerLearnsWarmUpstreamWorkSoon(t *testing.T) {
	s := settings()
	s.Balancers = 1
	b, _ := start(t, s, fleet(2))
	now, id := time.Hour, RequestID(0)
	serveFor := func(periods int) {
		for range periods * 50 { // 25 a second for each of the two
			now, id = now+20*ms, id+1
			b.Timer(now, tickToken)
			b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
			a := b.requests[id].attempts[0]
			b.Outcome(now, Outcome{ID: id, Upstream: a.up.ID, Latency: 50 * ms, Status: OK, RequestDone: true,
				Load: Load{Fields: HasUtil, Util: 0.5 + 0.001*float64(id%7)}})
		}
	}
	for range 4 { // it waits for its turn to serve
		now += bandPeriod
		b.Timer(now, tickToken)
	}
	if b.carry != 0 {
		t.Fatalf("carry %v before anything was sent", b.carry)
	}
	serveFor(3)
	if full := 25 / 0.5; b.carry < 0.6*full || b.carry > 1.2*full {
		t.Errorf("after 3 s carry is %.1f, want about %.0f", b.carry, full)
	}
}

// When the other balancer is drained this one has all of the traffic at once, and all of the servers within three
// periods; when it comes back its part is given up no faster than before.
func TestGrowingTrafficShareIsFollowedFaster(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	now := time.Hour
	runPeriod := func(others float64) {
		now += bandPeriod
		for _, u := range b.ups {
			u.answers, u.last.RequestRate = 20, 20+others
		}
		b.step(now)
	}
	for range 40 {
		runPeriod(20)
	}
	for range 3 {
		runPeriod(0)
	}
	if b.part < 0.95 {
		t.Errorf("3 s after the other one has gone the part is %.2f", b.part)
	}
	for range 40 {
		runPeriod(0)
	}
	runPeriod(20)
	if b.part < 0.8 {
		t.Errorf("1 s after it is back the part is %.2f", b.part)
	}
}
