package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// modelUpstream is an upstream that works on one request after another, each of mean work. It reports its use and its rate in
// its answers, refreshed now and then. Cold, it is in truth as fast as warm: nothing but the rule keeps requests off it.
type modelUpstream struct {
	*fleetClock
	rules     Requirements
	full      float64       // requests a second once warm
	startedAt time.Duration // 0: long ago
	freeAt    time.Duration
	load      Load
	loadAt    time.Duration
	served    float64
	worked    time.Duration
	arrivals  []time.Duration
}

const (
	modelLatency = 20 * ms // of an answer beside its work and its wait
	modelReport  = 400 * ms
)

// capacity is what it can serve a second as far as the settings go.
func (u *modelUpstream) capacity(at time.Duration) float64 {
	if age := at - u.startedAt; u.startedAt > 0 && age < u.rules.WarmupTime {
		return u.full * (u.rules.ColdCapacity + (1-u.rules.ColdCapacity)*float64(age)/float64(u.rules.WarmupTime))
	}
	return u.full
}

// take works on a request and tells when it is answered.
func (u *modelUpstream) take(answered func(Load)) {
	u.arrivals = append(u.arrivals, u.now)
	work := time.Duration(float64(time.Second) / u.full)
	u.freeAt = max(u.freeAt, u.now) + work
	u.served, u.worked = u.served+1, u.worked+work
	u.after(u.freeAt-u.now+modelLatency, func() {
		if past := u.now - u.loadAt; past >= modelReport {
			u.load = Load{Fields: HasUtil | HasRequestRate, Util: min(1, u.worked.Seconds()/past.Seconds()), RequestRate: u.served / past.Seconds()}
			u.served, u.worked, u.loadAt = 0, 0, u.now
		}
		answered(u.load)
	})
}

// sender is a balancer whose requests go to model upstreams.
type sender struct {
	recorder
	*fleetClock
	b         *Balancer
	upstreams map[UpstreamID]*modelUpstream
	tries     map[RequestID]int
}

func (f *sender) Send(id RequestID, up UpstreamID, _, _ time.Duration) {
	n, at := f.tries[id], f.now
	f.tries[id]++
	f.upstreams[up].take(func(l Load) {
		f.b.Outcome(f.now, Outcome{ID: id, Upstream: up, Attempt: n, Latency: f.now - at, Status: OK, RequestDone: true, Load: l})
	})
}

func (f *sender) SetTimer(d time.Duration, token uint64) {
	f.after(d, func() { f.b.Timer(f.now, token) })
}

func (f *sender) Log(string) {}

// Cold upstreams fall under the sum of what all balancers send. However many share one, however uneven their traffic, also
// where the balancers have just started or all upstreams are cold, the sum stays within what the settings allow: in any
// OverloadWindow no more than N + 2 x root of N + 2, N being the multiple of what the upstream can do in it. Yet it is used, or
// the others would have to carry its part.
func TestColdUpstreamBearsTheSumOfAllBalancers(t *testing.T) {
	for _, c := range []warmUp{
		{30, 2, 1, 3, 0.3, 3 * time.Second}, // all balancers share the cold one
		{30, 3, 1, 2, 0.2, 1500 * ms},
		{20, 6, 1, 2.5, 0.4, 2 * time.Second},
		{30, 10, 5, 2, 0.2, 1500 * ms},
		{30, 10, 10, 2.5, 0.4, 2 * time.Second},
		{3, 10, 2, 2, 0.2, 1500 * ms},
	} {
		c.hold(t, false)
		c.hold(t, true)
	}
}

// The same with nearly all upstreams cold, under settings that allow less than those of any site that is known. Cold ones got
// up to 1% over what is allowed with chance, on up to ten at once. Most balancers' stretches go on past cold upstreams, to
// other cold ones: counted second by second, eleven to thirteen balancers used each upstream, where a budget is for six.
func TestColdFleetBearsTheSumOfAllBalancers(t *testing.T) {
	for _, c := range []warmUp{{30, 10, 8, 2, 0.2, 1500 * ms}, {30, 10, 10, 2, 0.2, 1500 * ms}} {
		c.hold(t, false)
		c.hold(t, true)
	}
}

// warmUp is a fleet that serves as a part of its upstreams come back cold, and what the settings allow these.
type warmUp struct {
	balancers, upstreams, cold int
	multiple, from             float64
	after                      time.Duration
}

// hold plays it on some seeds, with balancers that have just started too.
func (c warmUp) hold(t *testing.T, young bool) {
	t.Run(fmt.Sprintf("%+v, young %v", c, young), func(t *testing.T) {
		for seed := range uint64(max(1, 4/c.upstreams)) {
			s := settings()
			s.Balancers, s.Tenants = c.balancers, nil
			s.Requirements.OverloadFactor, s.Requirements.ColdCapacity, s.Requirements.OverloadWindow = c.multiple, c.from, c.after
			c.play(t, s, young, seed)
		}
	})
}

// play has the fleet serve, if it is not young for a while before, as the upstreams come back cold under a burst, and holds
// these against the rule.
func (c warmUp) play(t *testing.T, s Settings, young bool, seed uint64) {
	t.Helper()
	const (
		full  = 120.0 // requests a second of a warm one
		use   = 0.9   // of all upstreams, before the burst
		burst = 1.5
	)
	rng, clock := rand.New(rand.NewPCG(seed, 9)), &fleetClock{now: time.Hour}
	list, byID := fleet(c.upstreams), map[UpstreamID]*modelUpstream{}
	for _, e := range list {
		byID[e.ID] = &modelUpstream{fleetClock: clock, rules: s.Requirements, full: full, loadAt: clock.now}
	}
	parts, total, factor := make([]float64, s.Balancers), 0.0, 1.0 // of the traffic: some get several times the mean
	for i := range parts {
		parts[i] = 0.2 + rng.ExpFloat64()
		total += parts[i]
	}
	var all []*sender
	for s.Rank = range s.Balancers {
		f := &sender{fleetClock: clock, upstreams: byID, tries: map[RequestID]int{}}
		b, err := New(s, seed<<16+uint64(s.Rank), clock.now, f)
		if err != nil {
			t.Fatal(err)
		}
		f.b, all = b, append(all, f)
		b.Members(clock.now, ListCached, list)
		rate, id := parts[s.Rank]/total*use*full*float64(c.upstreams), RequestID(0)
		var next func()
		next = func() {
			clock.after(time.Duration(rng.ExpFloat64()/rate/factor*float64(time.Second)), func() {
				id++
				b.Request(clock.now, Request{ID: id, Class: "read", Budget: time.Second})
				next()
			})
		}
		next()
	}
	if !young {
		clock.runUntil(clock.now + 15*time.Second)
	}
	back := clock.now
	for i := range c.cold {
		list[i].StartedAt = back
		*byID[list[i].ID] = modelUpstream{fleetClock: clock, rules: s.Requirements, full: full, startedAt: back, loadAt: back}
	}
	factor = burst
	for _, f := range all {
		f.b.Members(back, ListDelta, list[:c.cold])
	}
	clock.runUntil(back + s.Requirements.WarmupTime)
	sent := 0
	for _, e := range list[:c.cold] {
		u, first := byID[e.ID], 0
		sent += len(u.arrivals)
		for last, at := range u.arrivals {
			for u.arrivals[first] <= at-s.Requirements.OverloadWindow {
				first++
			}
			n := s.Requirements.OverloadFactor * u.capacity(max(back, at-s.Requirements.OverloadWindow/2)) * s.Requirements.OverloadWindow.Seconds()
			if got, most := float64(last-first+1), n+2*math.Sqrt(n)+2; got > most {
				t.Errorf("seed %d: upstream %d got %.0f up to %v after its start, %.1f are allowed with chance", seed, e.ID, got, at-back, most)
				break
			}
		}
	}
	mean := s.Requirements.WarmupTime.Seconds() * full * (s.Requirements.ColdCapacity + 1) / 2 // what one can do in the ramp
	if float64(sent) < mean*float64(c.cold)/3 {
		t.Errorf("seed %d: %d sent to %d cold upstreams that could do %.0f each", seed, sent, c.cold, mean)
	}
}
