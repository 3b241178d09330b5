package garnettide

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// toldAfter is when a change counts as told at the latest, counted from when discovery has it and can be reached. It
// holds whatever else is allowed after a failed, refused or given-up call.
const toldAfter = 6 * time.Second

// fleetClock runs what happens to a whole fleet, in order, on a clock of its own.
type fleetClock struct {
	now    time.Duration
	events fleetEvents
	serial int
}

type fleetEvent struct {
	at     time.Duration
	serial int
	happen func()
}

type fleetEvents []fleetEvent

func (e fleetEvents) Len() int { return len(e) }
func (e fleetEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].serial < e[j].serial)
}
func (e fleetEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *fleetEvents) Push(x any)   { *e = append(*e, x.(fleetEvent)) }
func (e *fleetEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (c *fleetClock) after(d time.Duration, happen func()) {
	c.serial++
	heap.Push(&c.events, fleetEvent{c.now + max(d, 0), c.serial, happen})
}

func (c *fleetClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(fleetEvent)
		c.now = e.at
		e.happen()
	}
	c.now = end
}

// outage is how calls end while discovery can't be reached.
type outage uint8

const (
	reachable outage = iota
	refuses          // at once
	hangs            // never: the caller gives up
	fails            // with an error, after the time for which it lets calls wait
)

const (
	callGivenUp = 3 * time.Second // a caller waits so long for a call that does not wait for news
	callWaits   = 2 * time.Second // discovery fails a call that has waited so long for its turn
	callHeard   = 5 * ms          // until the caller hears of a call's end
)

// turnRegistry is a discovery that serves calls in turn, each for the same time, also those that have failed meanwhile.
type turnRegistry struct {
	*fleetClock
	out    outage
	each   time.Duration
	freeAt time.Duration
}

// call ends by a list, or by a failure, told to ended.
func (g *turnRegistry) call(ended func(ok bool)) {
	switch g.out {
	case refuses:
		g.after(callHeard, func() { ended(false) })
	case hangs:
		g.after(callGivenUp+callHeard, func() { ended(false) })
	case fails:
		g.after(callWaits+callHeard, func() { ended(false) })
	default:
		g.freeAt = max(g.freeAt, g.now) + g.each
		if wait := g.freeAt - g.now; wait > callWaits {
			g.after(callWaits+callHeard, func() { ended(false) })
		} else {
			g.after(wait+callHeard, func() { ended(g.out == reachable) })
		}
	}
}

// follower is a balancer of which only its calls of discovery are carried out.
type follower struct {
	recorder
	g       *turnRegistry
	b       *Balancer
	call    int // the newest one: a new call ends the one before
	watches bool
	heardAt time.Duration // the last list
}

func (f *follower) Watch(bool) {
	f.call++
	f.watches = false
	call := f.call
	f.g.call(func(ok bool) {
		switch {
		case call != f.call:
		case ok:
			f.watches, f.heardAt = true, f.g.now
			f.b.Members(f.g.now, ListFull, nil)
		default:
			f.b.Members(f.g.now, ListFailed, nil)
		}
	})
}

func (f *follower) SetTimer(d time.Duration, token uint64) {
	if token == discoveryToken { // nothing is served here: the rest of the housekeeping changes nothing
		f.g.after(d, func() { f.b.Timer(f.g.now, token) })
	}
}

// lose ends an open watch.
func (f *follower) lose() {
	if f.watches {
		f.watches = false
		f.b.Members(f.g.now, ListFailed, nil)
	}
}

// newFollowers starts n balancers, a while apart, and waits until discovery has told all of them.
func newFollowers(t *testing.T, n int, s Settings, seed uint64) (*turnRegistry, []*follower) {
	t.Helper()
	// Each of the fleet can be served once in 2 s: less would not do for any spacing of the calls.
	g := &turnRegistry{fleetClock: &fleetClock{now: time.Hour}, each: min(60*ms, 2*time.Second/time.Duration(n))}
	var all []*follower
	for rank := range n {
		f := &follower{g: g}
		s.Balancers, s.Rank, s.PollDiscovery = n, rank, true
		b, err := New(s, seed<<16+uint64(rank), g.now, f)
		if err != nil {
			t.Fatal(err)
		}
		f.b = b
		all = append(all, f)
	}
	g.runUntil(g.now + time.Minute)
	for _, f := range all {
		if !f.watches {
			t.Fatalf("balancer %d of %d has no list after a minute", f.b.config.Rank, n)
		}
	}
	return g, all
}

// However calls have ended while discovery could not be reached, all balancers have its news 6 s after it can be: they
// call again in time, and not so many at once that it fails them.
func TestNewsIsHeardInTimeAfterFailedCalls(t *testing.T) {
	for name, out := range map[string]outage{"refused": refuses, "given up": hangs, "failed": fails} {
		for _, n := range []int{1, 3, 30, 300, 950} {
			t.Run(fmt.Sprintf("%s/%d balancers", name, n), func(t *testing.T) {
				asks := []time.Duration{10 * time.Second, 4 * time.Second, 30 * time.Second}
				if n >= 300 { // one is enough where many draw
					asks = asks[:1]
				}
				for _, lasts := range []time.Duration{500 * ms, 2 * time.Second, 8 * time.Second, 21 * time.Second, time.Minute} {
					for _, ask := range asks {
						late, most := 0, time.Duration(0)
						for seed := range uint64(max(1, 60/n)) {
							more, last := hearAfterOutage(t, n, ask, out, lasts, seed)
							late, most = late+more, max(most, last)
						}
						if late > 0 {
							t.Errorf("to ask within %v, %v without discovery: %d heard later than %v, the last after %v",
								ask, lasts, late, toldAfter, most)
						}
					}
				}
			})
		}
	}
}

// hearAfterOutage returns how many of a fleet heard of discovery too late after an outage, and how late the last was.
func hearAfterOutage(t *testing.T, n int, ask time.Duration, out outage, lasts time.Duration, seed uint64) (late int, most time.Duration) {
	t.Helper()
	s := settings()
	s.Requirements.MaxDiscoveryInterval = ask
	g, all := newFollowers(t, n, s, seed)
	g.out = out
	for _, f := range all {
		f.lose()
	}
	g.runUntil(g.now + lasts)
	g.out = reachable
	back := g.now
	g.runUntil(back + time.Minute)
	for _, f := range all {
		took := time.Minute
		if f.heardAt >= back {
			took = f.heardAt - back
		}
		if most = max(most, took); took > toldAfter {
			late++
		}
	}
	return late, most
}

// What changed while a balancer was down counts as told 6 s after discovery had it, however short before that it is back. A
// zone is back 5 s after its loss, which discovery notices 0.7 s later at the soonest; told then 1.7 s after the start,
// with 2 s of grace. A third of the fleet starts at one moment.
func TestRestartedBalancersHearInTimeWhatChangedBefore(t *testing.T) {
	const inTime = 3700 * ms
	for _, n := range []int{30, 100, 300} {
		for seed := range uint64(10) {
			s := settings()
			s.Balancers, s.PollDiscovery = n, true
			g := &turnRegistry{fleetClock: &fleetClock{now: time.Hour}, each: 29 * ms}
			var all []*follower
			for rank := range n {
				if hashID(uint64(rank)+seed*uint64(n))%3 != 0 {
					continue
				}
				f := &follower{g: g}
				s.Rank = rank
				b, err := New(s, seed<<16+uint64(rank), g.now, f)
				if err != nil {
					t.Fatal(err)
				}
				f.b = b
				all = append(all, f)
			}
			g.runUntil(time.Hour + inTime)
			late := 0
			for _, f := range all {
				if !f.watches {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d balancers, seed %d: %d of %d have no list %v after they started", n, seed, late, len(all), inTime)
			}
		}
	}
}
