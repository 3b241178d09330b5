package garnettide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// releaseSimulation simulates a release that drains upstreams in batches, soon after an outage of
// discovery. Most balancers are killed during the release and restart with their last lists.
type releaseSimulation struct {
	*simClock
	rng       *rand.Rand
	discovery *revisionedDiscovery
	settings  Settings
	seed      uint64
	nodes     []*releaseNode
	late      []string // descriptions of the requests sent to draining upstreams too late
}

const (
	releaseUpstreams         = 60
	releaseBatchSize         = 9               // upstreams that start to drain at the same time
	releaseDrainTime         = 7 * time.Second // from the start of a drain until the upstream stops
	releaseDrainGrace        = 500 * ms        // for sends after wantUpdateWithin
	releaseRequestRate       = 10.0            // requests per second of each balancer
	releaseRestartTime       = 1500 * ms       // from the kill of a balancer until its restart
	releaseWatchInterval     = 6 * ms          // between the answers to two watches for the same change
	releaseUpstreamLatency   = 50 * ms
	releaseOutageDuration    = 8 * time.Second                  // of discovery
	releaseKillDelay         = 2 * time.Second                  // from the end of the outage
	releaseDuration          = 14 * time.Second                 // from the end of the outage
	releaseFirstDrainDelay   = 500 * ms                         // from the end of the outage
	releaseDrainInterval     = 1850 * ms                        // between batches
	releaseQueueFailureDelay = simQueueTimeout + simCallLatency // until a caller learns that its call timed out
	releaseFleetWarmup       = 20 * time.Second                 // until all balancers have lists and statistics
	releaseCallDuration      = 60 * time.Millisecond            // of discovery; a sixtieth of it before the outage
	releaseKilledOfTen       = 7                                // balancers killed, out of ten
)

// revisionedDiscovery is a discovery that keeps revisions of the list. It serves new calls one after
// another, and those that time out in the queue take as much of its time. Open watches take none.
type revisionedDiscovery struct {
	*simClock
	down         bool
	callDuration time.Duration
	idleAt       time.Duration // end of the last call in the queue
	revision     int           // of the latest change
	states       map[UpstreamID]State
	changedIn    map[UpstreamID]int           // revision of the latest change
	drainAt      map[UpstreamID]time.Duration // when the drain began
	watches      []*releaseNode               // nodes with an open watch, in order of opening
}

// call queues a new call of a node.
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

// setState changes the state of upstreams, and answers the open watches one after another.
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

// startOutage ends all watches and makes calls fail until down is reset.
func (d *revisionedDiscovery) startOutage() {
	d.down = true
	for _, n := range d.watches {
		n.callFailed(n.call)
	}
	d.watches = nil
}

// releaseNode is the Host of one balancer process, with its clients.
type releaseNode struct {
	recorder
	*releaseSimulation
	b          *Balancer
	killed     bool
	call       int                  // number of the latest call of discovery
	revision   int                  // of the current list
	states     map[UpstreamID]State // current states by upstream
	attempts   map[RequestID]int    // Sends so far
	receivedAt time.Duration        // time of the first list of this process; 0: none yet
}

// callFailed reports a failed call or a lost watch to the balancer, unless a later call has
// replaced it or the process was killed.
func (n *releaseNode) callFailed(call int) {
	if n.call == call && !n.killed {
		n.b.Members(n.now, ListFailed, nil)
	}
}

// receiveChanges applies the changes since the current revision.
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

// Send simulates the upstream: an active one responds, a draining one rejects the request, and a stopped
// one refuses the connection.
func (n *releaseNode) Send(id RequestID, up UpstreamID, _, _ time.Duration) {
	attempt, sentAt := n.attempts[id], n.now
	n.attempts[id]++
	status, latency := OK, releaseUpstreamLatency
	if drainAt, draining := n.discovery.drainAt[up]; draining {
		status, latency = Rejected, time.Millisecond
		if n.now-drainAt > releaseDrainTime {
			status = ConnectFailed
		} else if late := n.now - drainAt - wantUpdateWithin; late > releaseDrainGrace {
			n.late = append(n.late,
				fmt.Sprintf("balancer %d sent to upstream %d %v too late", n.b.config.Rank, up, late))
		}
	}
	n.after(latency, func() {
		if !n.killed {
			n.b.Outcome(n.now, Outcome{ID: id, Upstream: up, Attempt: attempt, Latency: n.now - sentAt, Status: status,
				RequestDone: status == OK, Load: Load{Fields: HasUtil | HasRequestRate, Util: 0.5, RequestRate: 20}})
		}
	})
}

// startBalancer starts a balancer with a cached list, and its clients.
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

// run simulates the release. It returns the requests that were sent too late, and the longest time from the
// restart until a restarted balancer had a list.
func (r *releaseSimulation) run(balancers int, callDuration time.Duration) (late []string, longest time.Duration) {
	discoveryService := r.discovery
	discoveryService.callDuration = releaseCallDuration / 60 // so that all balancers have lists before the outage
	r.settings.Balancers, r.settings.PollDiscovery = balancers, true
	r.nodes = make([]*releaseNode, balancers)
	for rank := range balancers {
		r.startBalancer(rank, 0, map[UpstreamID]State{})
	}
	r.runUntil(r.now + releaseFleetWarmup)
	discoveryService.callDuration = callDuration
	discoveryService.startOutage()
	r.runUntil(r.now + releaseOutageDuration)
	discoveryService.down, discoveryService.idleAt = false, r.now
	recoveredAt := r.now
	for batch := range 4 {
		var ids []UpstreamID
		for i := range releaseBatchSize {
			ids = append(ids, UpstreamID(batch*releaseBatchSize+i+1))
		}
		r.after(releaseFirstDrainDelay+time.Duration(batch)*releaseDrainInterval,
			func() { discoveryService.setState(Draining, ids...) })
		r.after(releaseFirstDrainDelay+time.Duration(batch)*releaseDrainInterval+releaseDrainTime,
			func() { discoveryService.setState(Removed, ids...) })
	}
	r.runUntil(recoveredAt + releaseKillDelay)
	var killed []*releaseNode
	for rank, n := range r.nodes {
		if hashID(uint64(rank)+r.seed)%10 < releaseKilledOfTen {
			n.killed = true
			killed = append(killed, n)
		}
	}
	r.runUntil(r.now + releaseRestartTime)
	restartedAt := r.now
	for _, n := range killed {
		r.startBalancer(n.b.config.Rank, n.revision, n.states)
	}
	r.runUntil(recoveredAt + releaseDuration)
	for _, n := range killed {
		delay := releaseDuration
		if received := r.nodes[n.b.config.Rank].receivedAt; received > restartedAt {
			delay = received - restartedAt
		}
		longest = max(longest, delay)
	}
	return r.late, longest
}

// newReleaseSimulation returns a simulation without balancers.
func newReleaseSimulation(seed uint64) *releaseSimulation {
	clock := &simClock{now: time.Hour}
	s := settings()
	s.Tenants, s.Requirements.DrainGrace = nil, releaseDrainGrace
	return &releaseSimulation{simClock: clock, rng: rand.New(rand.NewPCG(seed, 11)), settings: s, seed: seed << 16,
		discovery: &revisionedDiscovery{simClock: clock, states: map[UpstreamID]State{},
			changedIn: map[UpstreamID]int{}, drainAt: map[UpstreamID]time.Duration{}}}
}

// Guards against requests to upstreams that began to drain more than 6.5 s before. Restarted balancers may
// get their lists late, since discovery needs several seconds to serve all of them, and must stop sending
// to upstreams that reject requests.
func TestRestartedBalancersStopSendingToDrainingUpstreams(t *testing.T) {
	for _, c := range []struct {
		balancers    int
		callDuration time.Duration
	}{{60, 60 * ms}, {60, 90 * ms}, {100, 60 * ms}, {300, 17 * ms}} {
		t.Run(fmt.Sprintf("%d balancers, %v per call", c.balancers, c.callDuration), func(t *testing.T) {
			for seed := range uint64(4) {
				late, longest := newReleaseSimulation(seed).run(c.balancers, c.callDuration)
				if longest > wantUpdateWithin {
					t.Errorf("seed %d: got a restarted balancer without a list for %v, want at most 6s", seed, longest)
				}
				if len(late) > 0 {
					t.Errorf("seed %d: got %d requests sent too late, want none; first: %s", seed, len(late), late[0])
				}
			}
		})
	}
}

// Guards against requests to an upstream that rejects all of them while the list is unconfirmed. With a
// confirmed list, or if all upstreams reject requests, the upstream must stay in use.
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
			outcomes = append(outcomes, Outcome{ID: id, Upstream: up, Attempt: attempts[id], Latency: ms,
				Status: status, RequestDone: status == OK})
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
	if sent := countSends(t, true, 1); sent[1] > rejectionLimit {
		t.Errorf("unconfirmed list: got %d requests sent to the rejecting upstream, want at most 2", sent[1])
	}
	if sent := countSends(t, false, 1); sent[1] <= rejectionLimit {
		t.Errorf("confirmed list: got %d requests sent to the rejecting upstream, want more than 2", sent[1])
	}
	if sent := countSends(t, true, 4); sent[1] <= rejectionLimit {
		t.Errorf("unconfirmed list, all upstreams reject: got %d requests sent to the first, want more than 2", sent[1])
	}
}
