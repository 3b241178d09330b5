package garnettide

import (
	"container/heap"
	"fmt"
	"testing"
	"time"
)

// wantUpdateWithin is the time within which every balancer must have received a change, from the moment at
// which discovery has it and is reachable. It also holds after failed, refused or abandoned calls.
const wantUpdateWithin = 6 * time.Second

// simClock is a simulated clock that runs scheduled events in the order of their times.
type simClock struct {
	now      time.Duration
	events   simEvents
	sequence int
}

// simEvent is a scheduled call of a function. Events with equal times run in the order of their scheduling.
type simEvent struct {
	at       time.Duration
	sequence int
	run      func()
}

// simEvents is a heap of events, the earliest first.
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

// after schedules run after d, or at once if d is negative.
func (c *simClock) after(d time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.events, simEvent{c.now + max(d, 0), c.sequence, run})
}

// runUntil runs the events up to a time and sets the clock to it.
func (c *simClock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(simEvent)
		c.now = e.at
		e.run()
	}
	c.now = end
}

// discoveryFailure tells how calls end while discovery is unreachable.
type discoveryFailure uint8

const (
	noFailure   discoveryFailure = iota // calls succeed
	callRefused                         // at once
	callHangs                           // no answer until the caller's timeout
	callFails                           // with an error after simQueueTimeout
)

const (
	simCallTimeout  = 3 * time.Second // after which a caller abandons a call
	simQueueTimeout = 2 * time.Second // after which discovery fails a call that waits in its queue
	simCallLatency  = 5 * ms          // until the caller learns that a call has ended
)

// queuedDiscovery is a discovery that serves calls one after another. Calls that time out in the queue take
// as much of its time as others.
type queuedDiscovery struct {
	*simClock
	failure      discoveryFailure
	callDuration time.Duration
	idleAt       time.Duration // end of the last call in the queue
}

// call makes a call, and calls done at its end with true if it brought a list.
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

// discoveryClient is the Host of a balancer that carries out only the calls of discovery.
type discoveryClient struct {
	recorder
	discovery  *queuedDiscovery
	b          *Balancer
	call       int // number of the latest call, which replaces earlier ones
	watching   bool
	receivedAt time.Duration // time of the latest list
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
	if token == discoveryToken { // no requests are sent, so ticks are not needed
		c.discovery.after(d, func() { c.b.Timer(c.discovery.now, token) })
	}
}

// loseWatch ends an open watch.
func (c *discoveryClient) loseWatch() {
	if c.watching {
		c.watching = false
		c.b.Members(c.discovery.now, ListFailed, nil)
	}
}

// newDiscoveryClients starts n balancers and waits a minute, after which all must have a list.
func newDiscoveryClients(t *testing.T, n int, s Settings, seed uint64) (*queuedDiscovery, []*discoveryClient) {
	t.Helper()
	// Discovery can serve each balancer once within 2 s; if it were slower, no spacing of the calls would
	// be in time.
	discovery := &queuedDiscovery{simClock: &simClock{now: time.Hour},
		callDuration: min(60*ms, 2*time.Second/time.Duration(n))}
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
			t.Fatalf("balancer %d of %d: got no list within a minute, want one", client.b.config.Rank, n)
		}
	}
	return discovery, clients
}

// Guards against retries after an outage of discovery that come too late, or at the same time from so many
// balancers that discovery fails them again.
func TestListIsReceivedInTimeAfterDiscoveryOutage(t *testing.T) {
	for name, failure := range map[string]discoveryFailure{"refused": callRefused, "timed out": callHangs,
		"failed": callFails} {
		for _, n := range []int{1, 3, 30, 300, 950} {
			t.Run(fmt.Sprintf("%s/%d balancers", name, n), func(t *testing.T) {
				intervals := []time.Duration{10 * time.Second, 4 * time.Second, 30 * time.Second}
				if n >= 300 { // large fleets take long to simulate
					intervals = intervals[:1]
				}
				for _, outageDuration := range []time.Duration{500 * ms, 2 * time.Second, 8 * time.Second,
					21 * time.Second, time.Minute} {
					for _, interval := range intervals {
						lateClients, longest := 0, time.Duration(0)
						for seed := range uint64(max(1, 60/n)) {
							lateInRun, longestInRun := delayAfterOutage(t, n, interval, failure, outageDuration, seed)
							lateClients, longest = lateClients+lateInRun, max(longest, longestInRun)
						}
						if lateClients > 0 {
							t.Errorf("interval %v, outage %v: got %d lists later than %v, the last after %v; want none",
								interval, outageDuration, lateClients, wantUpdateWithin, longest)
						}
					}
				}
			})
		}
	}
}

// delayAfterOutage simulates an outage and returns how many balancers received a list too late after it,
// and the longest delay of all.
func delayAfterOutage(t *testing.T, n int, interval time.Duration, failure discoveryFailure,
	outageDuration time.Duration, seed uint64) (late int, longest time.Duration) {
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

// Guards against first calls of discovery that come too late when a third of the balancers restart at once.
// The restart is 5 s after a loss of upstreams, which discovery notices 0.7 s after it at the earliest.
// Balancers must know of the loss wantUpdateWithin after that, which is 1.7 s after the restart. maxDelay
// adds 2 s of drain grace.
func TestRestartedBalancersReceiveListInTime(t *testing.T) {
	const maxDelay = 3700 * ms
	for _, n := range []int{30, 100, 300} {
		for seed := range uint64(10) {
			s := settings()
			s.Balancers, s.PollDiscovery = n, true
			discovery := &queuedDiscovery{simClock: &simClock{now: time.Hour}, callDuration: 29 * ms}
			var clients []*discoveryClient
			for rank := range n {
				if hashID(uint64(rank)+seed*uint64(n))%3 != 0 {
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
				t.Errorf("%d balancers, seed %d: got %d of %d without a list %v after their start, want none",
					n, seed, late, len(clients), maxDelay)
			}
		}
	}
}
