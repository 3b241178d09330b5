package garnettide

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// toldAfter is when a change counts as told at the latest, counted from when discovery has it and can be reached. It
// holds whatever else is allowed after a failed, refused or given-up call.
const wantUpdateWithin = 6 * time.Second

// fleetClock runs what happens to a whole fleet, in order, on a clock of its own.
type simClock struct {
	now      time.Duration
	events   simEvents
	sequence int
}

type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

type simEvents []simEvent

func (e simEvents) Len() int { return len(e) }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || (e[i].at == e[j].at && e[i].sequence < e[j].sequence)
}
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *simEvents) Push(x any)   { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (c *simClock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, simEvent{c.now + max(d, 0), c.sequence, run})
}

func (c *simClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// outage is how calls end while discovery can't be reached.
type discoveryFailure uint8

const (
	noFailure   discoveryFailure = iota
	callRefused                  // at once
	callHangs                    // never: the caller gives up
	callFails                    // with an error, after the time for which it lets calls wait
)

const (
	simCallTimeout  = 3 * time.Second // a caller waits so long for a call that does not wait for news
	simQueueTimeout = 2 * time.Second // discovery fails a call that has waited so long for its turn
	simCallLatency  = 5 * ms          // until the caller hears of a call's end
)

// turnRegistry is a discovery that serves calls in turn, each for the same time, also those that have failed meanwhile.
type queuedDiscovery struct {
	*simClock
	failure      discoveryFailure
	callDuration time.Duration
	idleAt       time.Duration
}

// call ends by a list, or by a failure, told to ended.
func (d *queuedDiscovery) call(done func(ok bool)) {
	switch d.failure {
	case callRefused:
		d.after(simCallLatency, func() { done(false) })
	case callHangs:
		d.after(simCallTimeout+simCallLatency, func() { done(false) })
	case callFails:
		d.after(simQueueTimeout+simCallLatency, func() { done(false) })
	default:
		d.idleAt = max(d.idleAt, d.now) + d.callDuration
		if wait := d.idleAt - d.now; wait > simQueueTimeout {
			d.after(simQueueTimeout+simCallLatency, func() { done(false) })
		} else {
			d.after(wait+simCallLatency, func() { done(d.failure == noFailure) })
		}
	}
}

// follower is a balancer of which only its calls of discovery are carried out.
type discoveryClient struct {
	recorder
	discovery  *queuedDiscovery
	b          *Balancer
	call       int // the newest one: a new call ends the one before
	watching   bool
	receivedAt time.Duration // the last list
}

func (c *discoveryClient) Watch(bool) {
	c.call++
	c.watching = false
	call := c.call
	c.discovery.call(func(ok bool) {
		switch {
		case call != c.call:
		case ok:
			c.watching, c.receivedAt = true, c.discovery.now
			c.b.Members(c.discovery.now, ListFull, nil)
		default:
			c.b.Members(c.discovery.now, ListFailed, nil)
		}
	})
}

func (c *discoveryClient) SetTimer(d time.Duration, token uint64) {
	if token == watchToken { // nothing is served here: the rest of the housekeeping changes nothing
		c.discovery.after(d, func() { c.b.Timer(c.discovery.now, token) })
	}
}

// lose ends an open watch.
func (c *discoveryClient) loseWatch() {
	if c.watching {
		c.watching = false
		c.b.Members(c.discovery.now, ListFailed, nil)
	}
}

// newFollowers starts n balancers, a while apart, and waits until discovery has told all of them.
func newDiscoveryClients(t *testing.T, n int, s Settings, seed uint64) (*queuedDiscovery, []*discoveryClient) {
	t.Helper()
	// Each of the fleet can be served once in 2 s: less would not do for any spacing of the calls.
	discovery := &queuedDiscovery{simClock: &simClock{now: time.Hour}, callDuration: min(60*ms, 2*time.Second/time.Duration(n))}
	var clients []*discoveryClient
	for rank := range n {
		client := &discoveryClient{discovery: discovery}
		s.Balancers, s.Rank, s.PollDiscovery = n, rank, true
		b, err := New(s, seed<<16+uint64(rank), discovery.now, client)
		if err != nil {
			t.Fatal(err)
		}
		client.b = b
		clients = append(clients, client)
	}
	discovery.runUntil(discovery.now + time.Minute)
	for _, client := range clients {
		if !client.watching {
			t.Fatalf("balancer %d of %d has no list after a minute", client.b.s.Rank, n)
		}
	}
	return discovery, clients
}

// However calls have ended while discovery could not be reached, all balancers have its news 6 s after it can be: they
// call again in time, and not so many at once that it fails them.
func TestListIsReceivedInTimeAfterDiscoveryOutage(t *testing.T) {
	for name, failure := range map[string]discoveryFailure{"refused": callRefused, "given up": callHangs, "failed": callFails} {
		for _, n := range []int{1, 3, 30, 300, 950} {
			t.Run(fmt.Sprintf("%s/%d balancers", name, n), func(t *testing.T) {
				intervals := []time.Duration{10 * time.Second, 4 * time.Second, 30 * time.Second}
				if n >= 300 { // one is enough where many draw
					intervals = intervals[:1]
				}
				for _, outageDuration := range []time.Duration{500 * ms, 2 * time.Second, 8 * time.Second, 21 * time.Second, time.Minute} {
					for _, interval := range intervals {
						lateClients, longest := 0, time.Duration(0)
						for seed := range uint64(max(1, 60/n)) {
							lateInRun, longestInRun := delayAfterOutage(t, n, interval, failure, outageDuration, seed)
							lateClients, longest = lateClients+lateInRun, max(longest, longestInRun)
						}
						if lateClients > 0 {
							t.Errorf("to ask within %v, %v without discovery: %d heard later than %v, the last after %v",
								interval, outageDuration, lateClients, wantUpdateWithin, longest)
						}
					}
				}
			})
		}
	}
}

// hearAfterOutage returns how many of a fleet heard of discovery too late after an outage, and how late the last was.
func delayAfterOutage(t *testing.T, n int, interval time.Duration, failure discoveryFailure, outageDuration time.Duration, seed uint64) (late int, longest time.Duration) {
	t.Helper()
	s := settings()
	s.Requirements.MaxDiscoveryInterval = interval
	discovery, clients := newDiscoveryClients(t, n, s, seed)
	discovery.failure = failure
	for _, client := range clients {
		client.loseWatch()
	}
	discovery.runUntil(discovery.now + outageDuration)
	discovery.failure = noFailure
	recoveredAt := discovery.now
	discovery.runUntil(recoveredAt + time.Minute)
	for _, client := range clients {
		delay := time.Minute
		if client.receivedAt >= recoveredAt {
			delay = client.receivedAt - recoveredAt
		}
		if longest = max(longest, delay); delay > wantUpdateWithin {
			late++
		}
	}
	return late, longest
}

// What changed while a balancer was down counts as told 6 s after discovery had it, however short before that it is back. A
// zone is back 5 s after its loss, which discovery notices 0.7 s later at the soonest; told then 1.7 s after the start,
// with 2 s of grace. A third of the fleet starts at one moment.
func TestRestartedBalancersReceiveListInTime(t *testing.T) {
	const maxDelay = 3700 * ms
	for _, n := range []int{30, 100, 300} {
		for seed := range uint64(10) {
			s := settings()
			s.Balancers, s.PollDiscovery = n, true
			discovery := &queuedDiscovery{simClock: &simClock{now: time.Hour}, callDuration: 29 * ms}
			var clients []*discoveryClient
			for rank := range n {
				if mixed(uint64(rank)+seed*uint64(n))%3 != 0 {
					continue
				}
				client := &discoveryClient{discovery: discovery}
				s.Rank = rank
				b, err := New(s, seed<<16+uint64(rank), discovery.now, client)
				if err != nil {
					t.Fatal(err)
				}
				client.b = b
				clients = append(clients, client)
			}
			discovery.runUntil(time.Hour + maxDelay)
			late := 0
			for _, client := range clients {
				if !client.watching {
					late++
				}
			}
			if late > 0 {
				t.Errorf("%d balancers, seed %d: %d of %d have no list %v after they started", n, seed, late, len(clients), maxDelay)
			}
		}
	}
}
