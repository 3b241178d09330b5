package garnettide

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// release is a fleet during a release of its upstreams: discovery comes back from an outage, and some seconds later most
// balancers are killed and start again with the list that they last held.
type release struct {
	*fleetClock
	rng       *rand.Rand
	discovery *revisionRegistry
	settings  Settings
	seed      uint64
	nodes     []*releaseNode
	late      []string // sends to an upstream after its drain counted as notified
}

const (
	releaseUpstreams = 60
	releaseBatch     = 9                     // upstreams that begin to drain at one moment
	releaseDrain     = 7 * time.Second       // from its draining until an upstream stops
	releaseGrace     = 500 * ms              // for sends after a notification
	releaseRate      = 10.0                  // requests a second of a balancer
	releaseRestart   = 1500 * ms             // from its kill until a balancer is back
	watchSpread      = 6 * ms                // between the answers to two watches, for one change
	answerTime       = 50 * ms               // of an upstream
	outageLasts      = 8 * time.Second       // of discovery
	killedAfter      = 2 * time.Second       // the outage's end
	releaseLasts     = 14 * time.Second      // from the outage's end
	firstDrainAfter  = 500 * ms              // the outage's end
	drainEvery       = 1850 * ms             // from one batch to the next
	queueTimeout     = callWaits + callHeard // until a caller hears that its call has waited too long
	warmUpTime       = 20 * time.Second      // until every balancer has its list and knows its upstreams
	releaseCallTime  = 60 * time.Millisecond // of discovery for a call
	releaseKilled    = 7                     // balancers in ten that are killed
)

// revisionRegistry is a discovery with revisions of the list. New calls are served in turn, and those that have waited
// too long cost as much; a watch that goes on is free.
type revisionRegistry struct {
	*fleetClock
	down     bool
	each     time.Duration
	freeAt   time.Duration
	revision int
	states   map[UpstreamID]State
	changed  map[UpstreamID]int // revision of the latest change
	drainAt  map[UpstreamID]time.Duration
	watches  []*releaseNode // whose watch is open, in order of opening
}

// call serves a new call in its turn.
func (g *revisionRegistry) call(n *releaseNode, serial int) {
	if g.down {
		g.after(queueTimeout, func() { n.failed(serial) })
		return
	}
	g.freeAt = max(g.freeAt, g.now) + g.each
	if wait := g.freeAt - g.now; wait > callWaits {
		g.after(queueTimeout, func() { n.failed(serial) })
	} else {
		g.after(wait, func() {
			if n.call != serial || n.killed {
				return
			}
			g.watches = append(g.watches, n)
			if n.revision < g.revision {
				n.hear()
			}
		})
	}
}

// change puts a state in force, and answers the open watches one after another.
func (g *revisionRegistry) change(state State, ids ...UpstreamID) {
	g.revision++
	for _, id := range ids {
		g.states[id], g.changed[id] = state, g.revision
		if state == Draining {
			g.drainAt[id] = g.now
		}
	}
	for i, n := range g.watches {
		call := n.call
		g.after(time.Duration(i)*watchSpread, func() {
			if n.call == call && !n.killed {
				n.hear()
			}
		})
	}
}

// fail ends all watches and has calls fail until the end of the outage.
func (g *revisionRegistry) fail() {
	g.down = true
	for _, n := range g.watches {
		n.failed(n.call)
	}
	g.watches = nil
}

// releaseNode is one process of a balancer with its clients.
type releaseNode struct {
	recorder
	*release
	b        *Balancer
	killed   bool
	call     int                  // the newest call of discovery
	revision int                  // of the list in hand
	states   map[UpstreamID]State // the list in hand
	attempts map[RequestID]int
	heardAt  time.Duration // the first list of this process; 0: none yet
}

func (n *releaseNode) failed(call int) {
	if n.call == call && !n.killed {
		n.b.Members(n.now, ListFailed, nil)
	}
}

// hear takes the changes since the list in hand.
func (n *releaseNode) hear() {
	var changes []Upstream
	for _, u := range fleet(releaseUpstreams) {
		if n.discovery.changed[u.ID] > n.revision {
			u.State = n.discovery.states[u.ID]
			n.states[u.ID] = u.State
			changes = append(changes, u)
		}
	}
	n.revision = n.discovery.revision
	if n.heardAt == 0 {
		n.heardAt = n.now
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
	attempt, at := n.attempts[id], n.now
	n.attempts[id]++
	status, took := OK, answerTime
	if drainAt, drains := n.discovery.drainAt[up]; drains {
		status, took = Rejected, time.Millisecond
		if n.now-drainAt > releaseDrain {
			status = ConnectFailed
		} else if late := n.now - drainAt - toldAfter; late > releaseGrace {
			n.late = append(n.late, fmt.Sprintf("balancer %d, upstream %d, %v late", n.b.config.Rank, up, late))
		}
	}
	n.after(took, func() {
		if !n.killed {
			n.b.Outcome(n.now, Outcome{ID: id, Upstream: up, Attempt: attempt, Latency: n.now - at, Status: status,
				RequestDone: status == OK, Load: Load{Fields: HasUtil | HasRequestRate, Util: 0.5, RequestRate: 20}})
		}
	})
}

// start starts a balancer's process with a list.
func (r *release) start(rank, revision int, states map[UpstreamID]State) {
	n := &releaseNode{release: r, attempts: map[RequestID]int{}, revision: revision, states: states}
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
	var request func()
	request = func() {
		if n.killed {
			return
		}
		id++
		b.Request(r.now, Request{ID: id, Class: "read", Budget: time.Second})
		r.after(time.Duration(r.rng.ExpFloat64()/releaseRate*float64(time.Second)), request)
	}
	request()
}

// play returns the sends that were late, and after how long the last balancer that was killed had a list.
func (r *release) play(balancers int, each time.Duration) (late []string, last time.Duration) {
	g := r.discovery
	g.each = releaseCallTime / 60 // all have their list before the release
	r.settings.Balancers, r.settings.PollDiscovery = balancers, true
	r.nodes = make([]*releaseNode, balancers)
	for rank := range balancers {
		r.start(rank, 0, map[UpstreamID]State{})
	}
	r.runUntil(r.now + warmUpTime)
	g.each = each
	g.fail()
	r.runUntil(r.now + outageLasts)
	g.down, g.freeAt = false, r.now
	back := r.now
	for batch := range 4 {
		var ids []UpstreamID
		for i := range releaseBatch {
			ids = append(ids, UpstreamID(batch*releaseBatch+i+1))
		}
		r.after(firstDrainAfter+time.Duration(batch)*drainEvery, func() { g.change(Draining, ids...) })
		r.after(firstDrainAfter+time.Duration(batch)*drainEvery+releaseDrain, func() { g.change(Removed, ids...) })
	}
	r.runUntil(back + killedAfter)
	var killed []*releaseNode
	for rank, n := range r.nodes {
		if hashID(uint64(rank)+r.seed)%10 < releaseKilled {
			n.killed = true
			killed = append(killed, n)
		}
	}
	r.runUntil(r.now + releaseRestart)
	restarted := r.now
	for _, n := range killed {
		r.start(n.b.config.Rank, n.revision, n.states)
	}
	r.runUntil(back + releaseLasts)
	for _, n := range killed {
		took := releaseLasts
		if heard := r.nodes[n.b.config.Rank].heardAt; heard > restarted {
			took = heard - restarted
		}
		last = max(last, took)
	}
	return r.late, last
}

func newRelease(seed uint64) *release {
	clock := &fleetClock{now: time.Hour}
	s := settings()
	s.Tenants, s.Requirements.DrainGrace = nil, releaseGrace
	return &release{fleetClock: clock, rng: rand.New(rand.NewPCG(seed, 11)), settings: s, seed: seed << 16,
		discovery: &revisionRegistry{fleetClock: clock, states: map[UpstreamID]State{}, changed: map[UpstreamID]int{},
			drainAt: map[UpstreamID]time.Duration{}}}
}

// Callers saw requests go to upstreams that had been announced as draining 6.5 s and more before. It takes an outage of
// discovery, a release of upstreams right behind it, and a restart of most balancers into that: a call of each balancer
// then costs discovery 4 to 6 s in all, so some have no list in time. The logs of each call and send showed that every
// late send was turned away, by an upstream that had turned away 8 to 13 requests of the same balancer in a row.
func TestRestartedFleetSendsNothingLateToDrainingUpstreams(t *testing.T) {
	for _, c := range []struct {
		balancers int
		each      time.Duration
	}{{60, 60 * ms}, {60, 90 * ms}, {100, 60 * ms}, {300, 17 * ms}} {
		t.Run(fmt.Sprintf("%d balancers, %v a call", c.balancers, c.each), func(t *testing.T) {
			for seed := range uint64(4) {
				late, last := newRelease(seed).play(c.balancers, c.each)
				if last > toldAfter {
					t.Errorf("seed %d: a restarted balancer had no list for %v", seed, last)
				}
				if len(late) > 0 {
					t.Errorf("seed %d: %d late sends, the first: %s", seed, len(late), late[0])
				}
			}
		})
	}
}

// An upstream that turns all away is left out while the list is in doubt, and no longer; where all do, all are used.
func TestUpstreamThatTurnsAllAwayIsLeftOutWhileTheListIsInDoubt(t *testing.T) {
	turnAway := func(t *testing.T, doubt bool, draining int) (sent map[UpstreamID]int) {
		h, sent := &recorder{}, map[UpstreamID]int{}
		b, err := New(settings(), 1, 0, h)
		if err != nil {
			t.Fatal(err)
		}
		b.Members(0, ListFull, fleet(4))
		if doubt {
			b.Members(0, ListFailed, nil)
		}
		var out []Outcome
		attempts := map[RequestID]int{}
		h.hook = func(kind string, id RequestID, up UpstreamID, _ time.Duration, _ uint64) {
			if kind != "send" {
				return
			}
			sent[up]++
			status := OK
			if int(up) <= draining {
				status = Rejected
			}
			out = append(out, Outcome{ID: id, Upstream: up, Attempt: attempts[id], Latency: ms, Status: status, RequestDone: status == OK})
			attempts[id]++
		}
		for id := range RequestID(400) {
			now := time.Duration(id) * 20 * ms
			b.Request(now, Request{ID: id + 1, Class: "read", Budget: time.Second})
			for len(out) > 0 {
				o := out[0]
				out = out[1:]
				b.Outcome(now, o)
			}
		}
		return sent
	}
	if sent := turnAway(t, true, 1); sent[1] > rejectionLimit {
		t.Errorf("in doubt: %d sent to the one that turns all away", sent[1])
	}
	if sent := turnAway(t, false, 1); sent[1] <= rejectionLimit {
		t.Errorf("list heard: %d sent to the one that turns all away", sent[1])
	}
	if sent := turnAway(t, true, 4); sent[1] <= rejectionLimit {
		t.Errorf("in doubt, all turn all away: %d sent to the first", sent[1])
	}
}
