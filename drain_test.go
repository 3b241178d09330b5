package garnettide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// release is a fleet during a release of its upstreams: discovery comes back from an outage, and some seconds later most
// balancers are killed and start again with the list that they last held.
type releaseSimulation struct {
	*simClock
	rng       *rand.Rand
	discovery *revisionedDiscovery
	settings  Settings
	seed      uint64
	nodes     []*releaseNode
	late      []string // sends to an upstream after its drain counted as notified
}

const (
	releaseUpstreams         = 60
	releaseBatchSize         = 9                                // upstreams that begin to drain at one moment
	releaseDrainTime         = 7 * time.Second                  // from its draining until an upstream stops
	releaseDrainGrace        = 500 * ms                         // for sends after a notification
	releaseRequestRate       = 10.0                             // requests a second of a balancer
	releaseRestartTime       = 1500 * ms                        // from its kill until a balancer is back
	releaseWatchInterval     = 6 * ms                           // between the answers to two watches, for one change
	releaseUpstreamLatency   = 50 * ms                          // of an upstream
	releaseOutageDuration    = 8 * time.Second                  // of discovery
	releaseKillDelay         = 2 * time.Second                  // the outage's end
	releaseDuration          = 14 * time.Second                 // from the outage's end
	releaseFirstDrainDelay   = 500 * ms                         // the outage's end
	releaseDrainInterval     = 1850 * ms                        // from one batch to the next
	releaseQueueFailureDelay = simQueueTimeout + simCallLatency // until a caller hears that its call has waited too long
	releaseFleetWarmup       = 20 * time.Second                 // until every balancer has its list and knows its upstreams
	releaseCallDuration      = 60 * time.Millisecond            // of discovery for a call
	releaseKilledOfTen       = 7                                // balancers in ten that are killed
)

// revisionRegistry is a discovery with revisions of the list. New calls are served in turn, and those that have waited
// too long cost as much; a watch that goes on is free.
type revisionedDiscovery struct {
	*simClock
	down         bool
	callDuration time.Duration
	idleAt       time.Duration
	revision     int
	states       map[UpstreamID]State
	changedIn    map[UpstreamID]int // revision of the latest change
	drainAt      map[UpstreamID]time.Duration
	watches      []*releaseNode // whose watch is open, in order of opening
}

// call serves a new call in its turn.
func (d *revisionedDiscovery) call(n *releaseNode, callID int) {
	if d.down {
		d.after(releaseQueueFailureDelay, func() { n.callFailed(callID) })
		return
	}
	d.idleAt = max(d.idleAt, d.now) + d.callDuration
	if wait := d.idleAt - d.now; wait > simQueueTimeout {
		d.after(releaseQueueFailureDelay, func() { n.callFailed(callID) })
	} else {
		d.after(wait, func() {
			if n.call != callID || n.killed {
				return
			}
			d.watches = append(d.watches, n)
			if n.revision < d.revision {
				n.receiveChanges()
			}
		})
	}
}

// change puts a state in force, and answers the open watches one after another.
func (d *revisionedDiscovery) setState(state State, ids ...UpstreamID) {
	d.revision++
	for _, id := range ids {
		d.states[id], d.changedIn[id] = state, d.revision
		if state == Draining {
			d.drainAt[id] = d.now
		}
	}
	for i, n := range d.watches {
		call := n.call
		d.after(time.Duration(i)*releaseWatchInterval, func() {
			if n.call == call && !n.killed {
				n.receiveChanges()
			}
		})
	}
}

// fail ends all watches and has calls fail until the end of the outage.
func (d *revisionedDiscovery) startOutage() {
	d.down = true
	for _, n := range d.watches {
		n.callFailed(n.call)
	}
	d.watches = nil
}

// releaseNode is one process of a balancer with its clients.
type releaseNode struct {
	recorder
	*releaseSimulation
	b          *Balancer
	killed     bool
	call       int                  // the newest call of discovery
	revision   int                  // of the list in hand
	states     map[UpstreamID]State // the list in hand
	attempts   map[RequestID]int
	receivedAt time.Duration // the first list of this process; 0: none yet
}

func (n *releaseNode) callFailed(call int) {
	if n.call == call && !n.killed {
		n.b.Members(n.now, ListFailed, nil)
	}
}

// hear takes the changes since the list in hand.
func (n *releaseNode) receiveChanges() {
	var changes []Upstream
	for _, u := range fleet(releaseUpstreams) {
		if n.discovery.changedIn[u.ID] > n.revision {
			u.State = n.discovery.states[u.ID]
			n.states[u.ID] = u.State
			changes = append(changes, u)
		}
	}
	n.revision = n.discovery.revision
	if n.receivedAt == 0 {
		n.receivedAt = n.now
	}
	n.b.Members(n.now, ListDelta, changes)
}

func (n *releaseNode) Watch(bool) {
	n.call++
	n.discovery.call(n, n.call)
}

func (n *releaseNode) SetTimer(d time.Duration, token uint64) {
	n.after(d, func() {
		if !n.killed {
			n.b.Timer(n.now, token)
		}
	})
}

func (n *releaseNode) Log(string) {}

// Send has an upstream that serves answer, one that drains turn the request away, and one that is gone refuse the
// connection.
func (n *releaseNode) Send(id RequestID, up UpstreamID, _, _ time.Duration) {
	attempt, sentAt := n.attempts[id], n.now
	n.attempts[id]++
	status, latency := OK, releaseUpstreamLatency
	if drainAt, draining := n.discovery.drainAt[up]; draining {
		status, latency = Rejected, time.Millisecond
		if n.now-drainAt > releaseDrainTime {
			status = ConnectFailed
		} else if late := n.now - drainAt - wantUpdateWithin; late > releaseDrainGrace {
			n.late = append(n.late, fmt.Sprintf("balancer %d, upstream %d, %v late", n.b.s.Rank, up, late))
		}
	}
	n.after(latency, func() {
		if !n.killed {
			n.b.Outcome(n.now, Outcome{ID: id, Upstream: up, Attempt: attempt, Latency: n.now - sentAt, Status: status,
				RequestDone: status == OK, Load: Load{Fields: HasUtil | HasRequestRate, Util: 0.5, RequestRate: 20}})
		}
	})
}

// start starts a balancer's process with a list.
func (r *releaseSimulation) startBalancer(rank, revision int, states map[UpstreamID]State) {
	n := &releaseNode{releaseSimulation: r, attempts: map[RequestID]int{}, revision: revision, states: states}
	r.settings.Rank = rank
	r.seed++
	b, err := New(r.settings, r.seed, r.now, n)
	if err != nil {
		panic(err)
	}
	n.b, r.nodes[rank] = b, n
	var list []Upstream
	for _, u := range fleet(releaseUpstreams) {
		if u.State = states[u.ID]; u.State != Removed {
			list = append(list, u)
		}
	}
	b.Members(r.now, ListCached, list)
	id := RequestID(0)
	var sendRequest func()
	sendRequest = func() {
		if n.killed {
			return
		}
		id++
		b.Request(r.now, Request{ID: id, Class: "read", Budget: time.Second})
		r.after(time.Duration(r.rng.ExpFloat64()/releaseRequestRate*float64(time.Second)), sendRequest)
	}
	sendRequest()
}

// play returns the sends that were late, and after how long the last balancer that was killed had a list.
func (r *releaseSimulation) run(balancers int, callDuration time.Duration) (late []string, longest time.Duration) {
	registry := r.discovery
	registry.callDuration = releaseCallDuration / 60 // all have their list before the release
	r.settings.Balancers, r.settings.PollDiscovery = balancers, true
	r.nodes = make([]*releaseNode, balancers)
	for rank := range balancers {
		r.startBalancer(rank, 0, map[UpstreamID]State{})
	}
	r.runUntil(r.now + releaseFleetWarmup)
	registry.callDuration = callDuration
	registry.startOutage()
	r.runUntil(r.now + releaseOutageDuration)
	registry.down, registry.idleAt = false, r.now
	recoveredAt := r.now
	for batch := range 4 {
		var ids []UpstreamID
		for i := range releaseBatchSize {
			ids = append(ids, UpstreamID(batch*releaseBatchSize+i+1))
		}
		r.after(releaseFirstDrainDelay+time.Duration(batch)*releaseDrainInterval, func() { registry.setState(Draining, ids...) })
		r.after(releaseFirstDrainDelay+time.Duration(batch)*releaseDrainInterval+releaseDrainTime, func() { registry.setState(Removed, ids...) })
	}
	r.runUntil(recoveredAt + releaseKillDelay)
	var killed []*releaseNode
	for rank, n := range r.nodes {
		if mixed(uint64(rank)+r.seed)%10 < releaseKilledOfTen {
			n.killed = true
			killed = append(killed, n)
		}
	}
	r.runUntil(r.now + releaseRestartTime)
	restartedAt := r.now
	for _, n := range killed {
		r.startBalancer(n.b.s.Rank, n.revision, n.states)
	}
	r.runUntil(recoveredAt + releaseDuration)
	for _, n := range killed {
		delay := releaseDuration
		if received := r.nodes[n.b.s.Rank].receivedAt; received > restartedAt {
			delay = received - restartedAt
		}
		longest = max(longest, delay)
	}
	return r.late, longest
}

func newReleaseSimulation(seed uint64) *releaseSimulation {
	clock := &simClock{now: time.Hour}
	s := settings()
	s.Tenants, s.Requirements.DrainGrace = nil, releaseDrainGrace
	return &releaseSimulation{simClock: clock, rng: rand.New(rand.NewPCG(seed, 11)), settings: s, seed: seed << 16,
		discovery: &revisionedDiscovery{simClock: clock, states: map[UpstreamID]State{}, changedIn: map[UpstreamID]int{},
			drainAt: map[UpstreamID]time.Duration{}}}
}

// Callers saw requests go to upstreams that had been announced as draining 6.5 s and more before. It takes an outage of
// discovery, a release of upstreams right behind it, and a restart of most balancers into that: a call of each balancer
// then costs discovery 4 to 6 s in all, so some have no list in time. The logs of each call and send showed that every
// late send was turned away, by an upstream that had turned away 8 to 13 requests of the same balancer in a row.
func TestRestartedBalancersStopSendingToDrainingUpstreams(t *testing.T) {
	for _, c := range []struct {
		balancers int
		each      time.Duration
	}{{60, 60 * ms}, {60, 90 * ms}, {100, 60 * ms}, {300, 17 * ms}} {
		t.Run(fmt.Sprintf("%d balancers, %v a call", c.balancers, c.each), func(t *testing.T) {
			for seed := range uint64(4) {
				late, longest := newReleaseSimulation(seed).run(c.balancers, c.each)
				if longest > wantUpdateWithin {
					t.Errorf("seed %d: a restarted balancer had no list for %v", seed, longest)
				}
				if len(late) > 0 {
					t.Errorf("seed %d: %d late sends, the first: %s", seed, len(late), late[0])
				}
			}
		})
	}
}

// An upstream that turns all away is left out while the list is in doubt, and no longer; where all do, all are used.
func TestRejectingUpstreamIsExcludedWhileListIsUnconfirmed(t *testing.T) {
	countSends := func(t *testing.T, unconfirmed bool, rejecting int) (sent map[UpstreamID]int) {
		h, sent := &recorder{}, map[UpstreamID]int{}
		b, err := New(settings(), 1, 0, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Members(0, ListFull, fleet(4))
		if unconfirmed {
			b.Members(0, ListFailed, nil)
		}
		var outcomes []Outcome
		attempts := map[RequestID]int{}
		h.onAction = func(kind string, id RequestID, up UpstreamID, _ time.Duration, _ uint64) {
			if kind != "send" {
				return
			}
			sent[up]++
			status := OK
			if int(up) <= rejecting {
				status = Rejected
			}
			outcomes = append(outcomes, Outcome{ID: id, Upstream: up, Attempt: attempts[id], Latency: ms, Status: status, RequestDone: status == OK})
			attempts[id]++
		}
		for id := range RequestID(400) {
			now := time.Duration(id) * 20 * ms
			b.Request(now, Request{ID: id + 1, Class: "read", Budget: time.Second})
			for len(outcomes) > 0 {
				o := outcomes[0]
				outcomes = outcomes[1:]
				b.Outcome(now, o)
			}
		}
		return sent
	}
	if sent := countSends(t, true, 1); sent[1] > turnedAwayLimit {
		t.Errorf("in doubt: %d sent to the one that turns all away", sent[1])
	}
	if sent := countSends(t, false, 1); sent[1] <= turnedAwayLimit {
		t.Errorf("list heard: %d sent to the one that turns all away", sent[1])
	}
	if sent := countSends(t, true, 4); sent[1] <= turnedAwayLimit {
		t.Errorf("in doubt, all turn all away: %d sent to the first", sent[1])
	}
}
