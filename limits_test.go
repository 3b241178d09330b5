package garnettide

import (
	"math"
	"testing"
	"time"
)

// This file tests the concurrency limits of upstreams.

// Guards against a concurrency limit that stays high under slow responses, or low after an overload.
func TestOverloadedUpstreamRecovers(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u, now := b.upstreams[0], time.Hour
	respond := func(id RequestID, latency time.Duration) {
		now += time.Second
		b.Request(now, Request{ID: id, Class: "write", Budget: time.Second})
		if r := b.requests[id]; r != nil && r.attemptsInFlight == 1 {
			now += latency
			b.Outcome(now, Outcome{ID: id, Upstream: u.ID, Latency: latency, Status: OK, RequestDone: true})
		}
	}
	for i := range 30 {
		respond(RequestID(i+1), 80*ms)
	}
	normalLimit := u.limit
	for i := range 20 {
		respond(RequestID(i+100), 290*ms)
	}
	if u.limit > normalLimit/4 {
		t.Errorf("got limit %v after slow responses, want at most a quarter of %v", u.limit, normalLimit)
	}
	u.pausedUntil = now
	respond(500, 80*ms)
	if u.limit < b.initialLimit {
		t.Error("got a limit below the initial one after a fast response, want it restored")
	}
}

// Guards against a minimum limit per balancer whose sum over many balancers keeps an upstream overloaded.
func TestMinimumLimitIsSharedByAllBalancers(t *testing.T) {
	for _, n := range []int{2, 24} {
		s := settings()
		s.Balancers = n
		b, _ := start(t, s, fleet(1))
		for i := range 60 {
			b.cutLimit(b.upstreams[0], time.Hour+time.Duration(i)*time.Second, limitCutFactor)
		}
		if total := b.upstreams[0].limit * float64(n); math.Abs(total-minFleetLimit) > 1e-9 {
			t.Errorf("%d balancers: got a total limit of %v, want %v", n, total, minFleetLimit)
		}
	}
}

// Guards against a balancer that starts while an upstream is overloaded, and takes its high latency for
// normal.
func TestOverloadedUpstreamIsComparedWithFleet(t *testing.T) {
	b, _ := start(t, settings(), fleet(8))
	for _, u := range b.upstreams {
		u.readings, u.minLatency, u.baselineLatency = 1, float64(60*ms), float64(60*ms)
	}
	u := b.upstreams[3]
	u.minLatency, u.baselineLatency = 0, 0
	b.endPeriod(time.Hour + bandPeriod)
	a := &attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u}
	b.recordOutcome(a, Outcome{Latency: 200 * ms, Status: OK}, time.Hour+2*bandPeriod)
	if u.limit >= b.initialLimit {
		t.Errorf("got limit %v after a latency of more than three times the fleet's baseline, want a lower one",
			u.limit)
	}
}

// Guards against limits that grow while an upstream is fully utilised.
func TestLimitDoesNotGrowAtFullUtilisation(t *testing.T) {
	for _, c := range []struct {
		utilisation float64
		grows       bool
	}{{0.5, true}, {0.97, false}} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.utilMean, u.readings, u.minLatency, b.lastQueuedAt = c.utilisation, bandWindow, float64(50*ms), time.Hour
		before := u.limit
		b.recordOutcome(&attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u},
			Outcome{Latency: 50 * ms, Status: OK}, time.Hour)
		if (u.limit > before) != c.grows {
			t.Errorf("utilisation %v: got limit %v before a response, %v after it; want growth only at 0.5",
				c.utilisation, before, u.limit)
		}
	}
}

// Guards against latency that is judged relative to weight: load-adjusted weights rise while an upstream is
// idle, and its normal latency must not look like overload then.
func TestIdleUpstreamOfHighWeightIsNotTakenForOverloaded(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for _, u := range b.upstreams {
		u.utilMean, u.readings, u.minLatency, u.workUnits, u.latency =
			0.2, bandWindow, float64(50*ms), 1, float64(50*ms)
	}
	b.endPeriod(time.Hour)
	u := b.upstreams[0]
	u.weight, u.limit, b.lastQueuedAt = 3, 2, time.Hour
	b.recordOutcome(&attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u},
		Outcome{Latency: 55 * ms, Status: OK}, time.Hour)
	if u.limit <= 2 {
		t.Errorf("got limit %v, want more than 2", u.limit)
	}
}

// Guards against limits that are reduced for latency that varies, when each balancer sees few responses.
func TestVaryingLatencyIsNotTakenForOverload(t *testing.T) {
	s := settings()
	s.Balancers = 8
	b, _ := start(t, s, fleet(4))
	u := b.upstreams[0]
	for i := range 30 {
		latency := []time.Duration{190, 60, 60, 60}[i%4] * ms
		now := 2*time.Hour + time.Duration(i)*time.Second
		b.recordOutcome(&attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u},
			Outcome{Latency: latency, Status: OK}, now)
		if i > 8 && u.limit < b.initialLimit {
			t.Fatalf("response %d, latency %v: got limit %v, want at least %v", i, latency, u.limit, b.initialLimit)
		}
	}
}

// Guards against limits that grow many times over before the next reading can show full utilisation.
func TestLimitAtMostDoublesPerPeriod(t *testing.T) {
	s := settings()
	s.Balancers = 1
	b, _ := start(t, s, fleet(1))
	u := b.upstreams[0]
	u.minLatency = float64(10 * ms)
	respond := func(now time.Duration) {
		for range 50 {
			b.lastQueuedAt = now
			b.recordOutcome(&attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u},
				Outcome{Latency: 10 * ms, Status: OK}, now)
		}
	}
	respond(time.Hour)
	if u.limit != initialFleetLimit {
		t.Errorf("got limit %v in the first period, want %v", u.limit, initialFleetLimit)
	}
	b.endPeriod(time.Hour + bandPeriod)
	respond(time.Hour + bandPeriod)
	if u.limit != 2*initialFleetLimit {
		t.Errorf("got limit %v in the next period, want %v", u.limit, 2*initialFleetLimit)
	}
}

// Guards against limits that are reduced for latency that is normal for its upstream or far below the
// target, and against limits that are kept in an overload.
func TestOnlyOverloadReducesLimit(t *testing.T) {
	for _, c := range []struct {
		name           string
		currentLatency time.Duration
		normalLatency  time.Duration
		reduced        bool
	}{
		{"normal latency near the target", 280 * ms, 200 * ms, false},
		{"twice the normal latency, a third of the target", 100 * ms, 50 * ms, false},
		{"twice the normal latency, most of the target", 240 * ms, 120 * ms, true},
	} {
		b, _ := start(t, settings(), fleet(1))
		u := b.upstreams[0]
		u.latency, u.workUnits, u.smoothedLatency, u.baselineLatency =
			float64(c.currentLatency), 1, float64(c.normalLatency), float64(c.normalLatency)
		b.recordOutcome(&attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u},
			Outcome{Latency: c.currentLatency, Status: OK}, 2*time.Hour)
		if (u.limit < b.initialLimit) != c.reduced {
			t.Errorf("%s: got limit %v, initial limit %v; want it reduced only for overload",
				c.name, u.limit, b.initialLimit)
		}
	}
}

// Guards against limits that never grow when a balancer gets few responses, of which hardly any has the
// minimum latency. Utilisation readings decide then.
func TestLimitGrowsByUtilisationAtLowTraffic(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		utilisation float64
		grows       bool
	}{{8, 0.4, true}, {8, 0.9, false}, {2, 0.4, false}} {
		s := settings()
		s.Balancers = c.balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.readings, u.utilMean, u.minLatency, u.smoothedLatency, u.baselineLatency =
			bandWindow, c.utilisation, float64(30*ms), float64(60*ms), float64(60*ms)
		b.lastQueuedAt = time.Hour
		a := &attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u}
		b.recordOutcome(a, Outcome{Latency: 60 * ms, Status: OK}, time.Hour) // twice the minimum latency
		if (u.limit > b.initialLimit) != c.grows {
			t.Errorf("%+v: got limit %v, initial limit %v; want growth only if grows is true",
				c, u.limit, b.initialLimit)
		}
	}
}

// Guards against limits that are reduced for single slow responses when a balancer gets few responses and
// utilisation is low.
func TestLimitIsNotReducedAtLowTrafficAndUtilisation(t *testing.T) {
	for _, c := range []struct {
		balancers   int
		utilisation float64
		reduced     bool
	}{{8, 0.5, false}, {8, 0.95, true}, {2, 0.5, true}} {
		s := settings()
		s.Balancers = c.balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.readings, u.utilMean, u.latency, u.workUnits, u.smoothedLatency, u.baselineLatency =
			1, c.utilisation, float64(250*ms), 1, float64(60*ms), float64(60*ms)
		a := &attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u}
		b.recordOutcome(a, Outcome{Latency: 250 * ms, Status: OK}, 2*time.Hour)
		if (u.limit < b.initialLimit) != c.reduced {
			t.Errorf("%+v: got limit %v, initial limit %v; want a lower limit only if reduced is true",
				c, u.limit, b.initialLimit)
		}
	}
}

// Guards against the pause between attempts applying to an upstream that has been idle, since requests
// arrive at random.
func TestIdleUpstreamMayTakeOneAttemptAtOnce(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.limit, u.latency = 0.2, float64(100*ms)
	respond := func(startedAt time.Duration) {
		u.limit = 0.2
		a := &attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u, sentAt: startedAt}
		b.recordOutcome(a, Outcome{Latency: 100 * ms, Status: Error}, startedAt+100*ms)
	}
	now := 2 * time.Hour // idle for an hour
	if respond(now); u.pausedUntil > now+100*ms {
		t.Errorf("after one attempt: got the next one after %v, want it after at most 100ms", u.pausedUntil-now)
	}
	if respond(now + 100*ms); u.pausedUntil < now+500*ms {
		t.Errorf("after two attempts in a row: got the next one %v after the first, want at least 500ms",
			u.pausedUntil-now)
	}
}

// Guards against limits that each balancer raises while utilisation is low, and whose sum overloads the
// upstream at the next peak.
func TestTotalLimitOfAllBalancersIsCapped(t *testing.T) {
	for _, balancers := range []int{1, 2, 4} {
		s := settings()
		s.Balancers = balancers
		b, _ := start(t, s, fleet(1))
		u := b.upstreams[0]
		u.utilMean, u.readings, u.minLatency = 0.2, bandWindow, float64(10*ms)
		for now := time.Hour; now < time.Hour+20*bandPeriod; now += bandPeriod {
			b.lastQueuedAt = now
			for range 50 {
				b.recordOutcome(&attempt{req: &request{class: b.class("write", nil), workUnits: 1}, up: u},
					Outcome{Latency: 10 * ms, Status: OK}, now)
			}
			b.endPeriod(now)
		}
		if total := u.limit * float64(balancers); math.Abs(total-maxFleetLimit) > 1e-9 {
			t.Errorf("%d balancers: got a total limit of %v, want %v", balancers, total, maxFleetLimit)
		}
	}
}
