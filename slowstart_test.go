package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// modelUpstream is an upstream that serves one request at a time, each with the same work. Its responses
// carry a report of its utilisation and request rate. It is as fast when cold as when warm, so only slow
// start limits its requests.
type modelUpstream struct {
	*simClock
	requirements Requirements
	warmRate     float64       // requests per second when warm
	startedAt    time.Duration // 0: long ago
	idleAt       time.Duration // end of the work received so far
	report       Load          // carried by responses
	reportedAt   time.Duration // latest update of report
	received     float64       // requests since reportedAt
	busyTime     time.Duration // work of the requests since reportedAt
	arrivals     []time.Duration
}

const (
	modelFixedLatency   = 20 * ms  // added to the time for queueing and work
	modelReportInterval = 400 * ms // minimum time between updates of the report
)

// capacity returns the requests per second that u can serve at a time according to the settings.
func (u *modelUpstream) capacity(at time.Duration) float64 {
	if age := at - u.startedAt; u.startedAt > 0 && age < u.requirements.WarmupTime {
		return u.warmRate * (u.requirements.ColdCapacity +
			(1-u.requirements.ColdCapacity)*float64(age)/float64(u.requirements.WarmupTime))
	}
	return u.warmRate
}

// handle serves a request and calls respond with the current report when the response arrives.
func (u *modelUpstream) handle(respond func(Load)) {
	u.arrivals = append(u.arrivals, u.now)
	workTime := time.Duration(float64(time.Second) / u.warmRate)
	u.idleAt = max(u.idleAt, u.now) + workTime
	u.received, u.busyTime = u.received+1, u.busyTime+workTime
	u.after(u.idleAt-u.now+modelFixedLatency, func() {
		if elapsed := u.now - u.reportedAt; elapsed >= modelReportInterval {
			u.report = Load{Fields: HasUtil | HasRequestRate, Util: min(1, u.busyTime.Seconds()/elapsed.Seconds()),
				RequestRate: u.received / elapsed.Seconds()}
			u.received, u.busyTime, u.reportedAt = 0, 0, u.now
		}
		respond(u.report)
	})
}

// modelProxy is the Host of a balancer whose requests go to model upstreams.
type modelProxy struct {
	recorder
	*simClock
	b         *Balancer
	upstreams map[UpstreamID]*modelUpstream
	attempts  map[RequestID]int // Sends so far
}

func (p *modelProxy) Send(id RequestID, up UpstreamID, _, _ time.Duration) {
	attempt, sentAt := p.attempts[id], p.now
	p.attempts[id]++
	p.upstreams[up].handle(func(l Load) {
		p.b.Outcome(p.now, Outcome{ID: id, Upstream: up, Attempt: attempt, Latency: p.now - sentAt, Status: OK,
			RequestDone: true, Load: l})
	})
}

func (p *modelProxy) SetTimer(d time.Duration, token uint64) {
	p.after(d, func() { p.b.Timer(p.now, token) })
}

func (p *modelProxy) Log(string) {}

// Guards against cold upstreams that are overloaded by all balancers together, or not used at all. In any
// OverloadWindow an upstream may receive N + 2*sqrt(N) + 2 requests, where N is its capacity in that time
// multiplied by OverloadFactor.
func TestColdUpstreamIsNotOverloadedByAllBalancersTogether(t *testing.T) {
	for _, c := range []coldStartCase{
		{30, 2, 1, 3, 0.3, 3 * time.Second}, // all balancers use the cold upstream
		{30, 3, 1, 2, 0.2, 1500 * ms},
		{20, 6, 1, 2.5, 0.4, 2 * time.Second},
		{30, 10, 5, 2, 0.2, 1500 * ms},
		{30, 10, 10, 2.5, 0.4, 2 * time.Second},
		{3, 10, 2, 2, 0.2, 1500 * ms},
	} {
		c.run(t, false)
		c.run(t, true)
	}
}

// Guards against budgets that ignore how subsets grow when most upstreams are cold: each upstream is then
// used by about twice as many balancers as usual.
func TestMostlyColdFleetIsNotOverloaded(t *testing.T) {
	for _, c := range []coldStartCase{{30, 10, 8, 2, 0.2, 1500 * ms}, {30, 10, 10, 2, 0.2, 1500 * ms}} {
		c.run(t, false)
		c.run(t, true)
	}
}

// coldStartCase describes a fleet of which some upstreams restart under load, and the settings for cold
// upstreams.
type coldStartCase struct {
	balancers, upstreams, coldUpstreams int
	overloadFactor, coldCapacity        float64
	overloadWindow                      time.Duration
}

// run simulates the case with several seeds. If justStarted is set, the balancers start as the upstreams
// restart.
func (c coldStartCase) run(t *testing.T, justStarted bool) {
	t.Run(fmt.Sprintf("%+v, just started %v", c, justStarted), func(t *testing.T) {
		for seed := range uint64(max(1, 4/c.upstreams)) {
			s := settings()
			s.Balancers, s.Tenants = c.balancers, nil
			s.Requirements.OverloadFactor, s.Requirements.ColdCapacity, s.Requirements.OverloadWindow =
				c.overloadFactor, c.coldCapacity, c.overloadWindow
			c.simulate(t, s, justStarted, seed)
		}
	})
}

// simulate restarts the upstreams under a burst of traffic, after a while of normal traffic unless
// justStarted is set, and checks how many requests the cold upstreams receive.
func (c coldStartCase) simulate(t *testing.T, s Settings, justStarted bool, seed uint64) {
	t.Helper()
	const (
		warmRate    = 120.0 // requests per second of a warm upstream
		utilisation = 0.9   // of all upstreams, before the burst
		burstFactor = 1.5
	)
	rng, clock := rand.New(rand.NewPCG(seed, 9)), &simClock{now: time.Hour}
	list, byID := fleet(c.upstreams), map[UpstreamID]*modelUpstream{}
	for _, e := range list {
		byID[e.ID] = &modelUpstream{simClock: clock, requirements: s.Requirements, warmRate: warmRate,
			reportedAt: clock.now}
	}
	// The weights of the balancers' traffic, some several times the mean.
	weights, total, rateFactor := make([]float64, s.Balancers), 0.0, 1.0
	for i := range weights {
		weights[i] = 0.2 + rng.ExpFloat64()
		total += weights[i]
	}
	var proxies []*modelProxy
	for s.Rank = range s.Balancers {
		proxy := &modelProxy{simClock: clock, upstreams: byID, attempts: map[RequestID]int{}}
		b, err := New(s, seed<<16+uint64(s.Rank), clock.now, proxy)
		if err != nil {
			t.Fatal(err)
		}
		proxy.b, proxies = b, append(proxies, proxy)
		b.Members(clock.now, ListCached, list)
		rate, id := weights[s.Rank]/total*utilisation*warmRate*float64(c.upstreams), RequestID(0)
		var scheduleRequest func()
		scheduleRequest = func() {
			clock.after(time.Duration(rng.ExpFloat64()/rate/rateFactor*float64(time.Second)), func() {
				id++
				b.Request(clock.now, Request{ID: id, Class: "read", Budget: time.Second})
				scheduleRequest()
			})
		}
		scheduleRequest()
	}
	if !justStarted {
		clock.runUntil(clock.now + 15*time.Second)
	}
	restartedAt := clock.now
	for i := range c.coldUpstreams {
		list[i].StartedAt = restartedAt
		*byID[list[i].ID] = modelUpstream{simClock: clock, requirements: s.Requirements, warmRate: warmRate,
			startedAt: restartedAt, reportedAt: restartedAt}
	}
	rateFactor = burstFactor
	for _, proxy := range proxies {
		proxy.b.Members(restartedAt, ListDelta, list[:c.coldUpstreams])
	}
	clock.runUntil(restartedAt + s.Requirements.WarmupTime)
	sent := 0
	for _, e := range list[:c.coldUpstreams] {
		u, first := byID[e.ID], 0
		sent += len(u.arrivals)
		for last, at := range u.arrivals {
			for u.arrivals[first] <= at-s.Requirements.OverloadWindow {
				first++
			}
			maxRequests := s.Requirements.OverloadFactor *
				u.capacity(max(restartedAt, at-s.Requirements.OverloadWindow/2)) *
				s.Requirements.OverloadWindow.Seconds()
			if got, limit := float64(last-first+1), maxRequests+2*math.Sqrt(maxRequests)+2; got > limit {
				t.Errorf("seed %d, upstream %d: got %.0f requests in a window until %v after start, want at most %.1f",
					seed, e.ID, got, at-restartedAt, limit)
				break
			}
		}
	}
	// The requests that one upstream can serve during its warm-up.
	warmupCapacity := s.Requirements.WarmupTime.Seconds() * warmRate * (s.Requirements.ColdCapacity + 1) / 2
	if float64(sent) < warmupCapacity*float64(c.coldUpstreams)/3 {
		t.Errorf("seed %d: got %d requests for %d cold upstreams, want at least a third of %.0f for each",
			seed, sent, c.coldUpstreams, warmupCapacity)
	}
}

// TestRestartIsColdWhateverTheClock guards against a restarted upstream that counts as warm, or as cold for an hour, because
// the wall clock of the balancer's machine had been set before the balancer was started.
func TestRestartIsColdWhateverTheClock(t *testing.T) {
	for _, tt := range []struct {
		name        string
		clockError  time.Duration // of the balancer's clock
		age         time.Duration // of the restart, when it is told
		wantColdFor time.Duration
	}{
		{"right", 0, 2 * time.Second, 7 * time.Second},
		{"an hour ahead", time.Hour, 2 * time.Second, 9 * time.Second},
		{"an hour behind", -time.Hour, 2 * time.Second, 9 * time.Second},
		{"right, and told late", 0, 20 * time.Second, 0},
	} {
		list := fleet(2)
		list[0].StartedAt = time.Minute
		b, _ := start(t, settings(), list)
		now := 2 * time.Hour
		b.Members(now-tt.age, ListFull, list)
		list[0].StartedAt = now - tt.age - tt.clockError
		if tt.wantColdFor == 0 { // no list could be had since the restart
			list[0].StartedAt -= time.Second
			b.lastListAt = now - time.Minute
		}
		b.Members(now, ListDelta, list[:1])
		u := b.byID[1]
		coldFor := time.Duration(0)
		for at := now; b.warmupFraction(u, at) < 1; at += time.Second {
			coldFor += time.Second
		}
		if coldFor != tt.wantColdFor {
			t.Errorf("clock %s: got it cold for %v, want %v", tt.name, coldFor, tt.wantColdFor)
		}
	}
}
