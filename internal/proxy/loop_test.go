package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"garnettide"
)

// hand is a loop that a test turns by hand.
type loopHarness struct {
	*loop
	t    *testing.T
	plan *garnettide.Plan
}

func newLoopHarness(t *testing.T) *loopHarness {
	t.Helper()
	c, err := load(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.CachedList = discoveryList{}
	l := newLoop(t.Context(), &c)
	l.start(&c, nil)
	l.Watch(false) // nothing listens there
	return &loopHarness{l, t, c.Plan}
}

func (h *loopHarness) setMembers(revision uint64, members ...member) {
	h.applyListUpdate(listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: revision, Complete: true, Members: members}})
}

// ask sends a request and turns the loop until it is answered and its attempts are over.
func (h *loopHarness) roundTrip(name string, budget time.Duration) clientResponse {
	h.t.Helper()
	r := &request{clientRequestID: name, at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", budget
	r.message = message{methodAndTarget: "POST /checkin", host: "x", header: http.Header{"X-Request-Id": {name}}}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	for len(h.requests) > 0 || h.hasAttemptsInFlight() {
		select {
		case e := <-h.events:
			e.apply(h.loop)
			h.reportPending()
		case <-time.After(10 * time.Second):
			h.t.Fatal("nothing happens")
		}
	}
	return <-r.responseCh
}

func (h *loopHarness) hasAttemptsInFlight() bool {
	for _, u := range h.upstreams {
		if len(u.inFlight) > 0 {
			return true
		}
	}
	return false
}

// Thousands of upstreams come and go under new ids, each at the address of the one before, with ever new requests: what
// the loop keeps returns to its size, and no connection crosses over from an old id to a new one.
func TestUpstreamTurnoverLeavesNoState(t *testing.T) {
	s := newServer(t, func(c net.Conn, r *http.Request) bool { return ok(c, r.Header.Get("X-Request-Id")) })
	go func() {
		for range s.arrivals {
		}
	}()
	h := newLoopHarness(t)
	const ids = 2000
	for i := range ids {
		h.setMembers(uint64(i+100), up(fmt.Sprintf("s-%08x", i), s))
		name := fmt.Sprintf("%016x", i)
		a := h.roundTrip(name, 4*time.Second)
		if a.status != 200 || string(a.body) != name {
			t.Fatalf("request %d: got %d, %q", i, a.status, a.body)
		}
	}
	want(t, "connections opened", s.opened(), ids)
	want(t, "upstreams", len(h.upstreams), 1)
	want(t, "numbers", len(h.upstreamIDs.ids), 1)
	want(t, "numbers taken", len(h.upstreamIDs.taken), 1)
	want(t, "requests", len(h.requests), 0)
	want(t, "their ids", len(h.openIDs), 0)
	want(t, "connections", h.connCount, 1)
	h.clockBase += 5 * time.Second // all deadlines are over
	h.fireTimers()
	if n := len(h.timers); n > 5 { // the module's own timers
		t.Errorf("alarms: %d are left", n)
	}
	h.setMembers(90000, draining(up("s-0fffffff", s)))
	h.applyListUpdate(listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 90001, Members: []member{{ID: "s-0ffffffe", Phase: "removed"}}}})
	want(t, "numbers after the removal of what was never listed", len(h.upstreamIDs.ids), 1)
}

// At the bound of connections the one that idles longest makes room, at whatever upstream: the one that is asked is not
// to blame.
func TestOldestIdleConnectionIsEvicted(t *testing.T) {
	one, two := newServer(t, okAll), newServer(t, okAll)
	h := newLoopHarness(t)
	h.maxConns = 1
	h.setMembers(20, up("s-00000001", one))
	want(t, "first", h.roundTrip("1", time.Second).status, 200)
	h.setMembers(21, up("s-00000001", one), up("s-00000002", two))
	for i := 0; len(two.arrivals) == 0; i++ {
		if i > 20 {
			t.Fatal("the second upstream is never asked")
		}
		want(t, "next", h.roundTrip(fmt.Sprint("a", i), time.Second).status, 200)
		want(t, "connections", h.connCount, 1)
	}
}

// A second copy that comes behind an answer, in a segment of its own, is not taken for the next request's answer.
func TestLateDuplicateResponseIsDiscarded(t *testing.T) {
	duplicated := make(chan struct{}, 2)
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		ok(c, r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "1" {
			time.Sleep(connReuseDelay / 2) // later than the answer, sooner than the connection has rested
			ok(c, "1")
			duplicated <- struct{}{}
		}
		return true
	})
	h := newLoopHarness(t)
	h.setMembers(20, up("s-00000001", s))
	want(t, "first", string(h.roundTrip("1", time.Second).body), "1")
	<-duplicated
	want(t, "second", string(h.roundTrip("2", time.Second).body), "2")
	want(t, "connections opened", s.opened(), 2)
}

// A connection rests for longer than second copies were seen to be late, and serves again behind that.
func TestConnReuseDelay(t *testing.T) {
	s := newServer(t, okAll)
	h := newLoopHarness(t)
	h.setMembers(20, up("s-00000001", s))
	want(t, "first", h.roundTrip("1", time.Second).status, 200)
	u := h.upstreams[h.upstreamIDs.id("s-00000001")]
	idleSince := u.idleConns[0].idleAt
	c, _ := h.acquireConn(u, idleSince+4*time.Millisecond)
	want(t, "used within the rest", c != nil, false)
	c, _ = h.acquireConn(u, idleSince+connReuseDelay)
	want(t, "used behind it", c != nil, true)
}

// An upstream that is gone with an attempt out is forgotten once that ends, and its connection is not kept.
func TestRemovedUpstreamIsDroppedAfterItsAttempt(t *testing.T) {
	release := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request) bool { <-release; return okAll(c, r) })
	h := newLoopHarness(t)
	h.setMembers(20, up("s-00000001", s))
	r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", 4*time.Second
	r.message = message{methodAndTarget: "POST /checkin", host: "x", header: http.Header{}}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	<-s.arrivals
	h.setMembers(21, up("s-00000002", s))
	want(t, "upstreams while it is out", len(h.upstreams), 2)
	close(release)
	(<-h.events).apply(h.loop)
	want(t, "answer", (<-r.responseCh).status, 200)
	want(t, "upstreams", len(h.upstreams), 1)
	want(t, "connections", h.connCount, 0)
}

// An attempt for which there is no connection was never sent, through no fault of the upstream's.
func TestAttemptOverConnLimitIsNotSent(t *testing.T) {
	h := newLoopHarness(t)
	h.maxConns = 0
	s := newServer(t, okAll)
	h.setMembers(20, up("s-00000001", s))
	want(t, "status", h.roundTrip("1", time.Second).status, http.StatusServiceUnavailable)
	want(t, "connections", h.connCount, 0)
	want(t, "upstreams asked", s.opened(), 0)
}

// lateConns makes new connections come up only once they are let: begun tells of each that waits.
func (h *loopHarness) delayConns() (dialing chan string, release chan struct{}) {
	dialing, release = make(chan string, 10), make(chan struct{})
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		dialing <- address
		<-release
		return net.DialTimeout(network, address, timeout)
	}
	return dialing, release
}

// next turns the loop by one event.
func (h *loopHarness) applyNextEvent() {
	h.t.Helper()
	select {
	case e := <-h.events:
		e.apply(h.loop)
		h.reportPending()
	case <-time.After(10 * time.Second):
		h.t.Fatal("nothing happens")
	}
}

// begin hands the loop a request and does not wait for its end.
func (h *loopHarness) startRequest(class, name string, budget time.Duration) *request {
	r := &request{clientRequestID: name, at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = class, budget
	r.message = message{methodAndTarget: "GET /" + class, host: "x", header: http.Header{"X-Request-Id": {name}}}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	return r
}

// A request that is over goes to no upstream any more: what of it waits for a connection as another copy is answered, as
// the module gives it up, as its time runs out or as its client leaves is never written once the connection is up.
func TestClosedRequestIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(h *loopHarness, r *request){
		"answered": func(h *loopHarness, r *request) { h.respond(r, clientResponse{status: http.StatusOK}) },
		"given up": func(h *loopHarness, r *request) { h.Refuse(r.ID, 0) },
		"out of time": func(h *loopHarness, r *request) {
			for !r.closed {
				h.fireTimers()
			}
		},
		"left": func(h *loopHarness, r *request) { clientLeft{r}.apply(h.loop) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, okAll)
			h := newLoopHarness(t)
			dialing, release := h.delayConns()
			h.setMembers(20, up("s-00000001", s))
			r := h.startRequest("read", "1", 100*time.Millisecond)
			<-dialing
			end(h, r)
			h.reportPending()
			want(t, "over", r.closed, true)
			close(release)
			h.applyNextEvent() // the attempt's end, with its connection
			want(t, "requests written", len(s.arrivals), 0)
			want(t, "connections kept", h.connCount, 1)
			want(t, "requests open", len(h.requests), 0)
			want(t, "outcomes that the module still waits for", r.inFlight, 0)
		})
	}
}

// clock sets the clock by which attempts are written.
func (h *loopHarness) fakeClock() *atomic.Int64 {
	var fakeClock atomic.Int64
	fakeClock.Store(int64(h.now()))
	h.transport.now = func() time.Duration { return time.Duration(fakeClock.Load()) }
	return &fakeClock
}

// repeats begins a keyed request at one upstream, sends it again at another one, and lets the two connections come up in an
// order, with so much time gone by before the second. It returns how many were written.
func writeTwoAttempts(t *testing.T, connectOrder [2]int, delay time.Duration) int {
	const window = time.Second
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	hang := func(net.Conn, *http.Request) bool { <-stop; return false }
	servers := [2]*server{newServer(t, hang), newServer(t, hang)}
	h := newLoopHarness(t)
	first, second := up("s-00000001", servers[0]), up("s-00000002", servers[1])
	connect := map[string]chan struct{}{servers[0].addr: make(chan struct{}), servers[1].addr: make(chan struct{})}
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		<-connect[address]
		return net.DialTimeout(network, address, timeout)
	}
	fakeClock := h.fakeClock()
	h.setMembers(20, first)
	r := h.startRequest("pay", "1", 4*time.Second)
	h.setMembers(21, first, second)
	h.Send(r.ID, h.upstreamIDs.id(second.ID), 0, window)
	fakeClock.Store(int64(r.attempts[1].sentAt))
	close(connect[servers[connectOrder[0]].addr])
	<-servers[connectOrder[0]].arrivals
	fakeClock.Add(int64(delay))
	close(connect[servers[connectOrder[1]].addr])
	select {
	case <-servers[connectOrder[1]].arrivals:
		return 2
	case e := <-h.events: // it ended without
		want(t, "how it ended", e.(attemptFinished).status, garnettide.NotSent)
		return 1
	}
}

// What a window allows as an attempt is decided on has to hold as it is written: a connection may come up after it, and
// that of the first attempt behind that of the second.
func TestWriteDeadlineIsCheckedAtWrite(t *testing.T) {
	for name, c := range map[string]struct {
		order [2]int
		late  time.Duration
		want  int
	}{
		"in time":             {[2]int{0, 1}, time.Second / 2, 2},
		"late":                {[2]int{0, 1}, time.Second, 1},
		"first last":          {[2]int{1, 0}, time.Second / 2, 2},
		"first last and late": {[2]int{1, 0}, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			want(t, "attempts written", writeTwoAttempts(t, c.order, c.late), c.want)
		})
	}
}

// What a request states of its time is what is left as it is written, and one whose time is over is not written.
func TestDeadlineHeaderIsSetAtWrite(t *testing.T) {
	for delay, wantHeader := range map[time.Duration]string{300 * time.Millisecond: "700", time.Second: ""} {
		s := newServer(t, okAll)
		h := newLoopHarness(t)
		dialing, release := h.delayConns()
		fakeClock := h.fakeClock()
		h.setMembers(20, up("s-00000001", s))
		r := h.startRequest("read", "1", time.Second)
		<-dialing
		fakeClock.Store(int64(r.attempts[0].responseDeadline - time.Second + delay))
		close(release)
		h.applyNextEvent()
		if wantHeader == "" {
			want(t, "requests written", len(s.arrivals), 0)
		} else {
			want(t, "time stated", (<-s.arrivals).Header.Get("X-Deadline-Ms"), wantHeader)
		}
	}
}

// A list that has come goes before whatever is sent after it, each of several, and also where alarms that are due follow
// one another.
func TestQueuedListsApplyBeforeSends(t *testing.T) {
	for name, trigger := range map[string]func(h *loopHarness, r *request){
		"an event": func(h *loopHarness, r *request) { h.handle(requestReceived{r}) },
		"an alarm": func(h *loopHarness, r *request) {
			h.addTimer(loopTimer{at: h.now(), request: &request{attempts: []*attempt{{reported: true}}}})
			h.fireTimers()
			requestReceived{r}.apply(h.loop)
			h.reportPending()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, okAll)
			h := newLoopHarness(t)
			one := up("s-00000001", s)
			h.setMembers(20, one)
			h.listUpdates <- listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 21}}
			h.listUpdates <- listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 22, Members: []member{draining(one)}}}
			r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
			r.Class, r.Budget = "checkin", time.Second
			r.message = message{methodAndTarget: "POST /checkin", host: "x", header: http.Header{}}
			trigger(h, r)
			want(t, "attempts", len(r.attempts), 0)
		})
	}
}

// toldConn tells of what goes to the upstream, in order, and holds up who reads its end.
type recordingConn struct {
	*net.TCPConn
	name         string
	calls        chan string
	releaseReads chan struct{}
}

func (c recordingConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		<-c.releaseReads
	}
	return n, err
}

func (c recordingConn) Write(b []byte) (int, error) {
	c.calls <- c.name + " written"
	return c.TCPConn.Write(b)
}

func (c recordingConn) CloseWrite() error {
	c.calls <- c.name + " given up"
	return c.TCPConn.CloseWrite()
}

// An attempt that is given up is over for its upstream before the next one is written, however late its connection's
// reader comes to close it: two out at once are a second copy.
func TestAbortPrecedesNextAttempt(t *testing.T) {
	releaseReads := make(chan struct{})
	s := newServer(t, func(c net.Conn, r *http.Request) bool { <-releaseReads; return false })
	h := newLoopHarness(t)
	calls, n := make(chan string, 10), 0
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout(network, address, timeout)
		if err != nil {
			return nil, err
		}
		n++ // one after another
		return recordingConn{c.(*net.TCPConn), fmt.Sprint(n), calls, releaseReads}, nil
	}
	t.Cleanup(func() { close(releaseReads) })
	h.setMembers(20, up("s-00000001", s))
	r := h.startRequest("read", "1", 4*time.Second)
	want(t, "first", <-calls, "1 written")
	<-s.arrivals
	h.endAttempt(r.attempts[0], garnettide.Timeout)
	if len(r.attempts) == 1 { // the module waits for a turn
		h.Send(r.ID, r.attempts[0].upstream.id, 0, 0)
	}
	want(t, "next", <-calls, "1 given up")
	want(t, "then", <-calls, "2 written")
}

// An attempt is given up in the moment in which its answer has come: its connection does not serve again.
func TestAbortedConnectionIsNotReused(t *testing.T) {
	s := newServer(t, okAll)
	h := newLoopHarness(t)
	h.setMembers(20, up("s-00000001", s))
	r := h.startRequest("read", "1", 4*time.Second)
	e := <-h.events // the answer, which the loop has not heard of
	h.endAttempt(r.attempts[0], garnettide.Timeout)
	e.apply(h.loop)
	want(t, "connections kept", len(h.upstreams[r.attempts[0].upstream.id].idleConns), 0)
}

// A watch that has fallen silent is opened anew at once, and so is the first one after discovery has moved: their news
// soon counts as told. What fails is asked again when the module says so.
func TestWatchIsReopenedImmediately(t *testing.T) {
	for name, c := range map[string]struct {
		happen  func(h *loopHarness)
		watches bool
	}{
		"silent": {func(h *loopHarness) { h.applyListUpdate(listUpdate{from: h.discoveryClient, err: errWatchSilent}) }, true},
		"moved": {func(h *loopHarness) {
			h.stopWatch = func() {} // one is open
			configReloaded{reloadOf(Config{Plan: h.plan, Discovery: "127.0.0.1:9"}), nil}.apply(h.loop)
		}, true},
		"failed": {func(h *loopHarness) { h.applyListUpdate(listUpdate{from: h.discoveryClient, err: io.ErrUnexpectedEOF}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLoopHarness(t)
			h.stopWatch = nil
			c.happen(h)
			want(t, "a new watch", h.stopWatch != nil, c.watches)
		})
	}
}
