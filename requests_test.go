package garnettide

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against refusals that carry no Retry-After time although the settings permit it, one that is too
// long, or one that is not permitted.
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
		b.Request(time.Hour, Request{ID: 1, Class: "write", Budget: 10 * ms}) // no upstreams
		b.Members(time.Hour, ListFull, fleet(2))
		for i := range RequestID(200) {
			b.Request(time.Hour, Request{ID: 2 + i, Class: "write", Budget: time.Second})
		}
		b.Request(time.Hour, Request{ID: 900, Class: "write", Budget: 10 * ms}) // all slots are occupied
		if len(retryAfters) != 2 {
			t.Fatalf("got %d refusals, want 2: %v", len(retryAfters), h.lines)
		}
		for i, d := range retryAfters {
			if (d > 0) != allowed || d > s.Limits.MaxRetryAfter {
				t.Errorf("RetryAfter permitted %v, refusal %d: got %v, want a time up to 400ms if permitted, else 0",
					allowed, i, d)
			}
		}
	}
}

// Guards against queued requests in another order than by worth and, for equal worth, newest first.
func TestQueuedRequestsAreOrdered(t *testing.T) {
	s := settings()
	s.WorthByWork = false
	b, _ := start(t, s, nil)
	for i := range RequestID(60) {
		class := []string{"read", "write", "read"}[i%3]
		b.Request(time.Hour, Request{ID: i + 1, Class: class, Budget: time.Second, Cost: time.Duration(10+i%4) * ms})
	}
	want := slices.Clone(b.queued)
	slices.SortStableFunc(want, func(x, y *request) int {
		if x.worth != y.worth {
			if x.worth > y.worth {
				return -1
			}
			return 1
		}
		return int(y.ID) - int(x.ID)
	})
	if len(want) != 60 || !slices.Equal(want, b.queued) {
		t.Errorf("got %d queued requests in the wrong order, want 60 by worth, then newest first", len(b.queued))
	}
}

// Guards against state that grows as thousands of upstreams with new ids come and go, along with requests
// and keys.
func TestStateDoesNotGrowWithChurn(t *testing.T) {
	b, h := start(t, settings(), fleet(4))
	now := time.Hour
	for i := range 3000 {
		now += 400 * ms
		list := fleet(4)
		for j := range list {
			list[j].ID = UpstreamID(i + j + 1) // replaces the oldest upstream by a new one
			list[j].StartedAt = now - time.Duration(4-j)*400*ms
		}
		b.Members(now, ListFull, list)
		b.Timer(now, tickToken)
		for k := range 3 {
			id := RequestID(3*i + k + 1)
			b.Request(now, Request{ID: id, Class: "write", Tenant: []string{"", "small", "big"}[k], Key: uint64(id),
				HasKey: true, Budget: 300 * ms})
			if r := b.requests[id]; r != nil && r.attemptsInFlight == 1 {
				b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 50 * ms, Status: OK,
					RequestDone: true})
			}
		}
		h.lines = nil
	}
	now += time.Minute
	b.Timer(now, tickToken)
	b.Timer(now+bandPeriod, tickToken)
	for name, n := range map[string]int{"upstreams by ID": len(b.byID), "list of upstreams": len(b.upstreams),
		"subset": len(b.inUse)} {
		if n != 4 {
			t.Errorf("%s: got %d entries, want 4", name, n)
		}
	}
	if len(b.requests) > 0 || len(b.queued) > 0 || len(b.tenants) != 2 || len(b.lastLogged) > 5 {
		t.Errorf("got %d open requests, %d queued requests, %d tenants, %d kinds of log line; want 0, 0, 2, at most 5",
			len(b.requests), len(b.queued), len(b.tenants), len(b.lastLogged))
	}
}

// Guards against a limit of 1.5 attempts that is rounded down to 1, which leaves upstreams idle during
// network round trips.
func TestConcurrencyLimitIsRounded(t *testing.T) {
	b, h := start(t, settings(), fleet(2)) // each of two balancers has half of initialFleetLimit
	for i := range RequestID(10) {
		b.Request(time.Hour, Request{ID: i + 1, Class: "write", Budget: time.Second})
	}
	if sends := h.count("send"); b.initialLimit != 1.5 || sends != 4 {
		t.Errorf("got %d requests sent at limit %v for each of two upstreams, want 4 at 1.5", sends, b.initialLimit)
	}
}

// Guards against a slot that is freed while the upstream still works: an attempt whose client has left
// occupies its slot until its outcome, or the upstream would get more than it can serve.
func TestAttemptOccupiesItsSlotAfterClientLeaves(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	var id RequestID
	for h.count("send") == len(u.inFlight) { // until no slot is free
		id++
		if b.Request(time.Hour, Request{ID: id, Class: "read", Budget: time.Second}); len(b.queued) > 0 {
			break
		}
	}
	limit := len(u.inFlight)
	b.ClientGone(time.Hour+ms, 1)
	b.Timer(time.Hour+2*ms, tickToken)
	if h.count("cancel") != 0 || len(u.inFlight) != limit || h.count("send") != limit {
		t.Errorf("got %d attempts in flight, %d sent; want the limit of %d; got %d cancelled, want none",
			len(u.inFlight), h.count("send"), limit, h.count("cancel"))
	}
	b.Outcome(time.Hour+60*ms, Outcome{ID: 1, Upstream: u.ID, Latency: 60 * ms, Status: OK, RequestDone: true})
	if h.count("send") != limit+1 || len(b.requests) != limit {
		t.Errorf("got %d requests sent and %d open, want %d and %d", h.count("send"), len(b.requests), limit+1, limit)
	}
}

// Guards against a tenant that sends twice its quota for a long time being served more or less than its
// quota.
func TestTenantOverQuotaIsServedUpToQuota(t *testing.T) {
	bucket, within := &tenant{}, 0
	for now := time.Duration(0); now < 60*time.Second; now += 10 * ms {
		if !bucket.overQuota(now, 50) && now >= 30*time.Second {
			within++
		}
	}
	if within < 1495 || within > 1505 {
		t.Errorf("got %d of 3000 requests within the quota, want about 1500", within)
	}
	if later := 61 * time.Second; bucket.overQuota(later, 50) {
		t.Error("got a tenant over its quota one second after the last request, want it within")
	}
}

// Guards against refused requests that count against their tenant's quota: clients retry them, and each try
// would count.
func TestRefusedRequestsUseNoQuota(t *testing.T) {
	s := settings()
	s.Tenants = []Tenant{{Name: "small", Quota: 20}}
	b, h := start(t, s, nil) // no upstreams
	for i := range RequestID(200) {
		b.Request(time.Hour, Request{ID: i + 1, Class: "write", Tenant: "small", Budget: 10 * ms})
	}
	if h.count("refuse") != 200 {
		t.Fatalf("got %d refusals, want 200", h.count("refuse"))
	}
	b.Request(time.Hour, Request{ID: 900, Class: "write", Tenant: "small", Budget: time.Second})
	if r := b.requests[900]; r == nil || r.overQuota {
		t.Error("got request 900 not accepted or over the quota, want it within since none was sent")
	}
}

// Guards against the budget of a last try being taken for the usual budget, which would make all first
// tries look late. A last try gets all of the time that is left, which may be more than a first one gets.
func TestLastTryDoesNotChangeUsualBudget(t *testing.T) {
	for _, c := range []struct {
		name   string
		budget time.Duration // left of 1 s; the latency target is 300 ms
		sent   bool
	}{
		{"first try", 500 * ms, true},
		{"last try, immediate", 990 * ms, true},
		{"last try past the target", 650 * ms, false},
		{"retry past the target", 200 * ms, false},
	} {
		b, h := start(t, settings(), fleet(4))
		now, id := time.Hour, RequestID(0)
		for _, budget := range []time.Duration{990 * ms, 500 * ms, 500 * ms, 500 * ms, 990 * ms, 500 * ms} {
			id++
			now += 100 * ms
			b.Request(now, Request{ID: id, Class: "write", Budget: budget})
			if r := b.requests[id]; r != nil && r.attemptsInFlight == 1 {
				b.Outcome(now, Outcome{ID: id, Upstream: r.attempts[0].up.ID, Latency: 20 * ms, Status: OK,
					RequestDone: true})
			}
		}
		now += time.Second
		b.lastQueuedAt = now
		b.Request(now, Request{ID: 100, Class: "write", Budget: c.budget})
		if sent := h.count("send id=100") == 1; sent != c.sent {
			t.Errorf("%s: got sent %v, want %v", c.name, sent, c.sent)
		}
	}
}

// Guards against a balancer that uses only an even share of upstreams and quotas although the other
// balancers are down or have few clients. Its share follows from the request rates that upstreams report.
func TestTrafficShareIsMeasured(t *testing.T) {
	s := settings() // two balancers
	s.Tenants = []Tenant{{Name: "small", Quota: 30}}
	b, _ := start(t, s, fleet(4))
	now := time.Hour
	runPeriods := func(n int, otherRate float64) {
		for range n {
			now += bandPeriod
			for _, u := range b.upstreams {
				u.answers, u.lastLoad.RequestRate = 20, 20+otherRate
			}
			b.endPeriod(now)
		}
	}
	evenLimit := b.initialLimit
	for _, c := range []struct {
		name      string
		otherRate float64
		share     float64
	}{{"only balancer", 0, 1}, {"equal traffic", 20, 0.5}, {"less traffic than the other", 60, 0.5}} {
		runPeriods(40, c.otherRate)
		if math.Abs(b.initialLimit-2*c.share*evenLimit) > 0.01 || math.Abs(b.localQuota(30)-30*c.share) > 0.1 {
			t.Errorf("%s: got initial limit %v, quota %v; want %v, %v",
				c.name, b.initialLimit, b.localQuota(30), 2*c.share*evenLimit, 30*c.share)
		}
	}
	for _, u := range b.upstreams {
		u.answers = 0
	}
	b.endPeriod(now + bandPeriod) // a period without responses changes nothing
	if math.Abs(b.initialLimit-evenLimit) > 0.01 {
		t.Errorf("got initial limit %v after a period without responses, want %v", b.initialLimit, evenLimit)
	}
}

// Guards against lost attempts that occupy their slots until the deadline, or make an upstream count as
// unresponsive although it responds to others.
func TestLostAttemptIsHedgedAndFreesItsSlot(t *testing.T) {
	for _, utilisation := range []float64{0.2, 0.95} {
		s := settings()
		s.Limits.Hedging = true
		b, h := start(t, s, fleet(2))
		b.lateAnswerRatio = 0 // overdue attempts were never answered before
		now := time.Hour
		for i := range 40 {
			serve(t, b, now, RequestID(i+1))
		}
		b.Request(now, Request{ID: 100, Class: "read", Budget: time.Second})
		u := b.requests[100].attempts[0].up
		for i := range 12 { // later requests are answered by both upstreams
			now += 40 * ms
			id := RequestID(200 + i)
			b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
			load := Load{Fields: HasUtil, Util: utilisation + float64(i)/1000}
			b.Outcome(now+30*ms, Outcome{ID: id, Upstream: b.requests[id].attempts[0].up.ID, Latency: 30 * ms,
				Status: OK, RequestDone: true, Load: load})
		}
		b.Timer(now, tickToken)
		r := b.requests[100]
		if lost := utilisation < fullUtil; r.attempts[0].lost != lost || (u.activeAttempts() == 0) != lost ||
			(r.attemptsInFlight == 2) != lost || u.unresponsive {
			t.Errorf(
				"util %v: got lost %v, slots %d, attempts %d, unresponsive %v; want lost, 0, 2 only at 0.2; responsive",
				utilisation, r.attempts[0].lost, u.activeAttempts(), r.attemptsInFlight, u.unresponsive)
		}
		b.Timer(now+b.responseTimeout(u, 1), tickToken)
		if utilisation < fullUtil && u.unresponsive {
			t.Errorf("lost attempt: got the upstream unresponsive, last actions %v; want it responsive",
				h.lines[len(h.lines)-3:])
		}
	}
}

// Guards against intervals between trials of an unresponsive upstream that grow without limit, or are
// prolonged by failed connects.
func TestTrialIntervalIsLimitedByWarmupTime(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u, now := b.upstreams[0], time.Hour
	u.unresponsive, u.backoff = true, b.tickInterval
	for i := range RequestID(20) {
		now += time.Minute
		b.Request(now, Request{ID: i + 1, Class: "read", Budget: time.Second})
		b.Outcome(now+ms, Outcome{ID: i + 1, Upstream: u.ID, Latency: ms, Status: ConnectFailed, RequestDone: true})
	}
	if u.backoff > b.config.Requirements.WarmupTime || u.pausedUntil > now+ms {
		t.Errorf("got %v between trials, want at most %v; got the upstream paused for another %v, want at most 1ms",
			u.backoff, b.config.Requirements.WarmupTime, u.pausedUntil-now)
	}
}

// Guards against requests of much worth that are refused while those of less worth stay queued.
func TestMoreValuableClassIsQueuedLonger(t *testing.T) {
	s := settings()
	s.WorthByWork, s.Classes[1].Worth = false, 15
	s.Classes[0].Worth, s.Classes[0].LateWorth = 5, s.Classes[1].LateWorth
	b, _ := start(t, s, fleet(1))
	b.latency = float64(100 * ms)
	now := time.Hour + time.Second
	b.upstreams[0].pausedUntil = now + time.Minute
	b.Request(now, Request{ID: 1, Class: "keyed", Budget: time.Second})
	b.Request(now, Request{ID: 2, Class: "read", Budget: time.Second})
	valuable := b.requests[1].sendBy - now
	if cheap := b.requests[2].sendBy - now; valuable < cheap+25*ms || valuable > s.Classes[1].LatencyTarget {
		t.Errorf("got queue time %v for worth 15, want at least 25ms more than the %v for worth 5, within the target",
			valuable, cheap)
	}
}

// Guards against refusals so late that the client's retry cannot meet the latency target.
func TestRefusalLeavesTimeForRetry(t *testing.T) {
	s := settings()
	b, h := start(t, s, fleet(1))
	b.latency = float64(20 * ms)
	now, first := time.Hour, time.Duration(0)
	b.upstreams[0].pausedUntil = now + time.Minute
	for try := range RequestID(2) {
		b.Request(now, Request{ID: try + 1, Class: "read", Budget: s.Classes[0].Deadline / 2})
		for h.count("refuse") == int(try) && now < time.Hour+time.Second {
			now += b.tickInterval
			b.Timer(now, tickToken)
		}
		first = cmp.Or(first, now-time.Hour)
	}
	if elapsed := now - time.Hour; h.count("refuse") != 2 ||
		elapsed+time.Duration(b.latency) > s.Classes[0].LatencyTarget || first < s.Classes[0].LatencyTarget/4 {
		t.Errorf("got two tries queued for %v and %v, want both refused in the target of %v, the first after 1/4 of it",
			first, elapsed-first, s.Classes[0].LatencyTarget)
	}
}

// Guards against requests that stay queued although more are ahead of them than can be sent in time.
func TestRequestBehindTooManyOthersIsRefused(t *testing.T) {
	s := settings()
	s.WorthByWork = false
	b, h := start(t, s, fleet(1))
	b.latency, b.sendRate = float64(20*ms), 20
	now := time.Hour + time.Second
	b.upstreams[0].pausedUntil = now + time.Minute
	for i := range RequestID(10) {
		b.Request(now, Request{ID: i + 1, Class: []string{"keyed", "read"}[min(i, 1)], Budget: time.Second})
	}
	timeLeft := (b.requests[10].sendBy - now).Seconds()
	b.dispatch(now)
	ahead := int(b.sendRate * timeLeft) // requests that can be sent before the last one expires
	if len(b.queued) != ahead+1 || h.count("refuse") != 10-len(b.queued) || b.requests[1] == nil ||
		b.requests[10] == nil {
		t.Errorf("got %d queued, %d refused; want one more queued than the %d that can be sent in time",
			len(b.queued), h.count("refuse"), ahead)
	}
	if b.sendRate = 1000; len(b.queued) > 0 {
		before := len(b.queued)
		if b.dispatch(now); len(b.queued) != before {
			t.Errorf("got %d requests queued at a high send rate, want all %d", len(b.queued), before)
		}
	}
}

// Guards against quotas that follow a balancer's share of its subset's traffic, which is much larger than
// its share of the whole traffic.
func TestQuotaIsShareOfWholeTraffic(t *testing.T) {
	s := settings()
	s.Balancers, s.Tenants = 80, []Tenant{{Name: "big", Quota: 800}}
	b, _ := start(t, s, fleet(60))
	now := time.Hour
	for range 40 {
		now += bandPeriod
		for _, u := range b.inUse {
			u.answers, u.lastLoad.RequestRate = 5, 25
		}
		b.endPeriod(now)
	}
	subsetShare := float64(len(b.inUse)) / 60
	if got, want := b.localQuota(800), 800*0.2*subsetShare; subsetShare > 0.2 || math.Abs(got-want) > want/20 {
		t.Errorf("got rate %.1f of a quota of 800 with a fifth of the traffic of %.0f%% of the upstreams, want %.1f",
			got, 100*subsetShare, want)
	}
}

// Guards against a small quota, as from a split over many balancers, that random arrivals exceed though
// their mean rate does not.
func TestSmallQuotaAllowsRandomBursts(t *testing.T) {
	rng, bucket, now, over := rand.New(rand.NewPCG(1, 2)), tenant{}, time.Duration(0), 0
	for range 2000 { // random arrivals, 1.6 per second
		now += time.Duration(rng.ExpFloat64() / 1.6 * float64(time.Second))
		if bucket.overQuota(now, 2) {
			over++
		}
	}
	if over > 2000/20 {
		t.Errorf("mean rate below the quota: got %d of 2000 requests over it, want at most 100", over)
	}
	over = 0
	for range 2000 { // three times the quota
		now += time.Duration(rng.ExpFloat64() / 6 * float64(time.Second))
		if bucket.overQuota(now, 2) {
			over++
		}
	}
	if over < 1200 {
		t.Errorf("three times the quota: got %d of 2000 requests over it, want at least 1200", over)
	}
}

// Guards against a class with Worth 0 that is taken for the one of least worth, which would make worth
// ratios zero or NaN.
func TestClassWithoutWorthDoesNotAffectWorthRatio(t *testing.T) {
	s := settings()
	s.Classes[0].Worth = 0
	b, _ := start(t, s, fleet(1))
	if x := b.plan.worthRatio(b.plan.Class("read").Worth); x != 1 {
		t.Errorf("class with worth 0: got worth ratio %v, want 1", x)
	}
	if x := b.plan.worthRatio(b.plan.Class("keyed").Worth); x != s.Classes[2].Worth/s.Classes[1].Worth {
		t.Errorf("class with worth 3: got worth ratio %v, want 2/3", x)
	}
}

// Guards against requests to an upstream in maintenance, whatever the lists say, and against one that gets
// no request or counts as warm when its maintenance ends.
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
		t.Fatalf("before maintenance: got requests by upstream %v, want some for 2", got)
	}
	b.SetMaintenance(now, 2, true)
	b.SetMaintenance(now, 2, true)
	if got := sendRequests(60); got[2] != 0 {
		t.Errorf("in maintenance: got requests by upstream %v, want none for 2", got)
	}
	b.Members(now, ListFull, fleet(1)) // removes the upstream from the list
	sendRequests(120)
	restarted := fleet(3)
	restarted[1].StartedAt = now
	b.Members(now, ListFull, restarted)
	if got := sendRequests(60); got[2] != 0 || got[3] == 0 {
		t.Errorf("in maintenance, listed again: got requests by upstream %v, want none for 2 and some for 3", got)
	}
	b.SetMaintenance(now, 2, false)
	if u := b.byID[2]; !u.cold || u.coldSince != now {
		t.Errorf("after maintenance: got cold %v since %v, want cold since its end", u.cold, u.coldSince)
	}
	if got := sendRequests(6); got[2] == 0 {
		t.Errorf("after maintenance: got requests by upstream %v, want some for 2", got)
	}
	coldSince := b.byID[2].coldSince
	restarted[1].StartedAt = coldSince - 100*ms // the restart during maintenance, listed late
	b.Members(now, ListDelta, restarted[1:2])
	if b.byID[2].coldSince != coldSince {
		t.Error("start before the end of maintenance: got another cold period, want the same")
	}
	if h.count("refuse") != 0 {
		t.Errorf("got %d refusals although upstreams were free, want none", h.count("refuse"))
	}
}

// Guards against requests that wait in the queue although all upstreams are in maintenance.
func TestRequestsAreRefusedWhenAllUpstreamsAreInMaintenance(t *testing.T) {
	b, h := start(t, settings(), fleet(2))
	now := time.Hour + ms
	for id := range RequestID(20) {
		b.Request(now, Request{ID: id + 1, Class: "write", Budget: time.Second})
	}
	if len(b.queued) == 0 {
		t.Fatal("got no queued requests, want some")
	}
	b.SetMaintenance(now, 1, true)
	b.SetMaintenance(now, 2, true)
	if len(b.queued) != 0 {
		t.Errorf("got %d queued requests without upstreams, want none", len(b.queued))
	}
	b.Request(now, Request{ID: 77, Class: "read", Budget: time.Second})
	if h.count("refuse id=77") != 1 {
		t.Error("all in maintenance: got request 77 not refused, want it refused at once")
	}
	b.SetMaintenance(now, 2, false)
	b.Request(now, Request{ID: 78, Class: "read", Budget: time.Second})
	if h.count("refuse id=78") != 0 {
		t.Error("one upstream back from maintenance: got request 78 refused, want it accepted")
	}
}

// Guards against a streaming request that, before its body is complete, occupies a slot, makes its upstream
// count as unresponsive or uses up its deadline.
func TestStreamingRequestOccupiesNoSlotUntilBodyComplete(t *testing.T) {
	s := settings()
	s.Balancers = 1
	b, h := start(t, s, fleet(1))
	now := time.Hour
	u := b.byID[1]
	for id := range RequestID(20) { // more than there are slots
		b.Request(now, Request{ID: id + 1, Class: "write", Budget: time.Second, Streaming: true})
	}
	if len(u.inFlight) != 20 || u.activeAttempts() != 0 {
		t.Fatalf("got %d attempts in flight, %d slots occupied; want 20, 0", len(u.inFlight), u.activeAttempts())
	}
	for range 400 { // 4 s: longer than the deadline and the response timeout
		now += 10 * ms
		b.Timer(now, tickToken)
	}
	if h.count("refuse")+h.count("fail")+h.count("cancel") != 0 || u.unresponsive {
		t.Fatalf("while bodies arrive: got unresponsive %v, actions %v; want false, no refusal, failure or cancel",
			u.unresponsive, h.lines)
	}
	b.BodyComplete(now, 1)
	if u.activeAttempts() != 1 {
		t.Errorf("body complete: got %d slots occupied, want 1", u.activeAttempts())
	}
	b.Outcome(now+40*ms, Outcome{ID: 1, Upstream: 1, Latency: 40 * ms, Status: OK, RequestDone: true})
	if got := time.Duration(u.latency); got != 40*ms {
		t.Errorf("got latency %v, want 40ms", got)
	}
	b.BodyComplete(now, 2)
	if r := b.requests[2]; r.deadline != now+time.Second || r.attempts[0].sentAt != now {
		t.Errorf("got deadline %v after the body was complete, want 1s, and the attempt's time to begin then",
			r.deadline-now)
	}
}

// Guards against a streaming request that is sent to two upstreams at once, or sent again after part of its
// body has been consumed.
func TestStreamingRequestIsNotHedged(t *testing.T) {
	s := settings()
	s.Limits.Hedging = true
	b, h := start(t, s, fleet(4))
	now := time.Hour
	b.Request(now, Request{ID: 1, Class: "read", Budget: time.Second, Streaming: true})
	first := b.requests[1].attempts[0]
	b.retryEarly(first, now)
	if h.count("send id=1 ") != 1 {
		t.Fatal("got the streaming request hedged, want one attempt")
	}
	b.Outcome(now, Outcome{ID: 1, Upstream: first.up.ID, Status: ConnectFailed})
	if h.count("send id=1 ") != 2 {
		t.Fatal("body not consumed: got no retry of the streaming request, want one")
	}
	b.Outcome(now, Outcome{ID: 1, Upstream: b.requests[1].attempts[1].up.ID, Attempt: 1,
		Status: ConnectFailed, BodyConsumed: true})
	if h.count("send id=1 ") != 2 || h.count("refuse id=1 ") != 1 {
		t.Errorf("body consumed: got actions %v, want a refusal and no third attempt", h.lines)
	}
}

// Guards against a streamed response that occupies a slot or makes its upstream count as unresponsive until
// it ends, or whose whole duration counts as latency.
func TestStartedResponseFreesItsSlot(t *testing.T) {
	b, h := start(t, settings(), fleet(1))
	now := time.Hour + 40*ms
	b.Request(time.Hour, Request{ID: 1, Class: "read", Budget: time.Second})
	u := b.byID[1]
	if !b.ResponseStarted(now, Outcome{ID: 1, Upstream: 1, Latency: 40 * ms, Status: OK, RequestDone: true,
		Load: Load{Fields: HasUtil, Util: 0.5}}, true) {
		t.Error("response started: got it refused, want it admitted")
	}
	if u.activeAttempts() != 0 || u.readings != 1 || time.Duration(u.latency) != 40*ms {
		t.Errorf("response started: got %d slots occupied, %d readings, latency %v; want 0, 1, 40ms",
			u.activeAttempts(), u.readings, time.Duration(u.latency))
	}
	for range 500 {
		now += 10 * ms
		b.Timer(now, tickToken)
	}
	if u.unresponsive || h.count("refuse")+h.count("fail")+h.count("cancel") != 0 {
		t.Errorf("during the response: got unresponsive %v, actions %v; want false, no refusal, failure or cancel",
			u.unresponsive, h.lines)
	}
	b.Outcome(now, Outcome{ID: 1, Upstream: 1, Latency: 5 * time.Second, Status: Reset, RequestDone: true})
	if time.Duration(u.latency) != 40*ms || len(b.requests) != 0 || len(u.inFlight) != 0 {
		t.Errorf("response ended: got latency %v, %d open requests, %d attempts in flight; want 40ms, 0, 0",
			time.Duration(u.latency), len(b.requests), len(u.inFlight))
	}
}

// Guards against a new balancer that takes many seconds to learn the capacity of a warm upstream, and leaves
// cold ones idle until then.
func TestNewBalancerLearnsWarmUpstreamCapacitySoon(t *testing.T) {
	s := settings()
	s.Balancers = 1
	b, _ := start(t, s, fleet(2))
	now, id := time.Hour, RequestID(0)
	serveFor := func(periods int) {
		for range periods * 50 { // 25 per second for each of the two upstreams
			now, id = now+20*ms, id+1
			b.Timer(now, tickToken)
			b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
			a := b.requests[id].attempts[0]
			b.Outcome(now, Outcome{ID: id, Upstream: a.up.ID, Latency: 50 * ms, Status: OK, RequestDone: true,
				Load: Load{Fields: HasUtil, Util: 0.5 + 0.001*float64(id%7)}})
		}
	}
	for range 4 { // before the first request
		now += bandPeriod
		b.Timer(now, tickToken)
	}
	if b.capacityPerWeight != 0 {
		t.Fatalf("got capacity %v of a warm upstream before the first request, want 0", b.capacityPerWeight)
	}
	serveFor(3)
	if full := 25 / 0.5; b.capacityPerWeight < 0.6*full || b.capacityPerWeight > 1.2*full {
		t.Errorf("got capacity %.1f of a warm upstream after 3 s, want 0.6 to 1.2 times %.0f",
			b.capacityPerWeight, full)
	}
}

// Guards against a traffic share that grows too slowly when another balancer drains, or falls too fast when
// it is back.
func TestGrowingTrafficShareIsFollowedFaster(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	now := time.Hour
	runPeriod := func(otherRate float64) {
		now += bandPeriod
		for _, u := range b.upstreams {
			u.answers, u.lastLoad.RequestRate = 20, 20+otherRate
		}
		b.endPeriod(now)
	}
	for range 40 {
		runPeriod(20)
	}
	for range 3 {
		runPeriod(0)
	}
	if b.trafficShare < 0.95 {
		t.Errorf("got traffic share %.2f 3 s after the other balancer left, want at least 0.95", b.trafficShare)
	}
	for range 40 {
		runPeriod(0)
	}
	runPeriod(20)
	if b.trafficShare < 0.8 {
		t.Errorf("got traffic share %.2f 1 s after the other balancer returned, want at least 0.8", b.trafficShare)
	}
}

// TestAttemptsThatFailTogetherPauseUpstreamOnce guards against one event, which breaks all connections to an upstream,
// keeping the upstream from requests for as long as many failures in a row would.
func TestAttemptsThatFailTogetherPauseUpstreamOnce(t *testing.T) {
	const uploads = 12
	now := time.Hour
	b, h := start(t, settings(), fleet(1))
	for id := RequestID(1); id <= uploads; id++ { // uploads take none of the upstream's slots
		b.Request(now, Request{ID: id, Class: "write", Budget: time.Second, Streaming: true})
	}
	if n := h.count("send"); n != uploads {
		t.Fatalf("got %d uploads sent, want %d", n, uploads)
	}
	for id := RequestID(1); id <= uploads; id++ {
		now += ms
		b.Outcome(now, Outcome{ID: id, Upstream: 1, Latency: ms, Status: Reset, RequestDone: true})
	}
	if paused := b.upstreams[0].pausedUntil - now; paused > b.tickInterval {
		t.Errorf("got a pause of %v, want at most %v", paused, b.tickInterval)
	}
	for id := RequestID(101); id <= 103; id++ { // failures in a row, one after each pause
		now = b.upstreams[0].pausedUntil
		b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
		b.Outcome(now, Outcome{ID: id, Upstream: 1, Status: Reset, RequestDone: true})
	}
	if paused := b.upstreams[0].pausedUntil - now; paused != 8*b.tickInterval {
		t.Errorf("after failures in a row: got a pause of %v, want %v", paused, 8*b.tickInterval)
	}
}
