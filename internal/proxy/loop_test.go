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

// loopHarness is a loop that is not running: the test applies its events.
type loopHarness struct {
	*loop
	t    *testing.T
	plan *garnettide.Plan
}

// newLoopHarness returns a loop with the settings of settingsText, without upstreams and without a watch of
// discovery.
func newLoopHarness(t *testing.T) *loopHarness {
	t.Helper()
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.CachedList = discoveryList{}
	l := newLoop(t.Context(), &c)
	l.start(&c, nil)
	l.Watch(false) // there is no discovery server
	return &loopHarness{l, t, c.Plan}
}

// setMembers applies a complete list from discovery.
func (h *loopHarness) setMembers(revision uint64, members ...member) {
	h.applyListUpdate(listUpdate{from: h.discoveryClient,
		discoveryList: discoveryList{Revision: revision, Complete: true, Members: members}})
}

// roundTrip sends a request, and applies events until it is answered and its attempts have ended.
func (h *loopHarness) roundTrip(id string, budget time.Duration) clientResponse {
	h.t.Helper()
	r := &request{clientRequestID: id, at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", budget
	r.message = message{methodAndTarget: "POST /checkin", host: "x", head: headOf("X-Request-Id: " + id)}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	for len(h.requests) > 0 || h.hasAttemptsInFlight() {
		select {
		case e := <-h.events:
			e.apply(h.loop)
			h.reportPending()
		case <-time.After(10 * time.Second):
			h.t.Fatal("no event within 10 s")
		}
	}
	return <-r.responseCh
}

// hasAttemptsInFlight reports whether an attempt to any upstream has not ended.
func (h *loopHarness) hasAttemptsInFlight() bool {
	for _, u := range h.upstreams {
		if len(u.inFlight) > 0 {
			return true
		}
	}
	return false
}

// TestUpstreamTurnoverLeavesNoState guards against state that the loop keeps for removed upstreams and
// finished requests, and against using a connection of a removed upstream for one with another ID at the same
// address.
func TestUpstreamTurnoverLeavesNoState(t *testing.T) {
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		return writeOK(c, r.Header.Get("X-Request-Id"))
	})
	go func() {
		for range upstream.received {
		}
	}()
	h := newLoopHarness(t)
	const upstreamCount = 2000
	for i := range upstreamCount {
		h.setMembers(uint64(i+100), upMember(fmt.Sprintf("s-%08x", i), upstream))
		requestID := fmt.Sprintf("%016x", i)
		resp := h.roundTrip(requestID, 4*time.Second)
		if resp.status != 200 || string(resp.body) != requestID {
			t.Fatalf("request %d: got %d, %q", i, resp.status, resp.body)
		}
	}
	want(t, "connections opened", upstream.connsOpened(), upstreamCount)
	want(t, "upstreams", len(h.upstreams), 1)
	want(t, "assigned upstream numbers", len(h.upstreamIDs.ids), 1)
	want(t, "taken upstream numbers", len(h.upstreamIDs.taken), 1)
	want(t, "requests", len(h.requests), 0)
	want(t, "open client request IDs", len(h.openIDs), 0)
	want(t, "connections", h.connCount, 1)
	h.clockBase += 5 * time.Second // past all deadlines
	h.fireTimers()
	if n := len(h.timers); n > 5 { // the Balancer's own timers
		t.Errorf("%d timers are left, want at most 5", n)
	}
	h.setMembers(90000, drainingMember(upMember("s-0fffffff", upstream)))
	h.applyListUpdate(listUpdate{from: h.discoveryClient,
		discoveryList: discoveryList{Revision: 90001, Members: []member{{ID: "s-0ffffffe", Phase: "removed"}}}})
	want(t, "upstream numbers after the removal of an unlisted one", len(h.upstreamIDs.ids), 1)
}

// TestIdleConnectionIsClosedAtConnLimit guards against failing an attempt, or exceeding the connection limit,
// while a connection to another upstream is idle: that one has to be closed.
func TestIdleConnectionIsClosedAtConnLimit(t *testing.T) {
	first, second := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	h := newLoopHarness(t)
	h.maxConns = 1
	h.setMembers(20, upMember("s-00000001", first))
	want(t, "status of the first request", h.roundTrip("1", time.Second).status, 200)
	h.setMembers(21, upMember("s-00000001", first), upMember("s-00000002", second))
	for i := 0; len(second.received) == 0; i++ {
		if i > 20 {
			t.Fatal("the second upstream got no request")
		}
		want(t, "status of a later request", h.roundTrip(fmt.Sprint("a", i), time.Second).status, 200)
		want(t, "connections", h.connCount, 1)
	}
}

// TestLateDuplicateResponseIsDiscarded guards against taking a duplicate response that arrives late, in a
// segment of its own, for the response to the next request.
func TestLateDuplicateResponseIsDiscarded(t *testing.T) {
	duplicated := make(chan struct{}, 2)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		writeOK(c, r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "1" {
			time.Sleep(connReuseDelay / 2) // after the response, within the delay
			writeOK(c, "1")
			duplicated <- struct{}{}
		}
		return true
	})
	h := newLoopHarness(t)
	h.setMembers(20, upMember("s-00000001", upstream))
	want(t, "response to the first request", string(h.roundTrip("1", time.Second).body), "1")
	<-duplicated
	want(t, "response to the second request", string(h.roundTrip("2", time.Second).body), "2")
	want(t, "connections opened", upstream.connsOpened(), 2)
}

// TestConnReuseDelay guards against reusing a connection before connReuseDelay, and against not reusing it
// afterwards.
func TestConnReuseDelay(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	h := newLoopHarness(t)
	h.setMembers(20, upMember("s-00000001", upstream))
	want(t, "status of the first request", h.roundTrip("1", time.Second).status, 200)
	u := h.upstreams[h.upstreamIDs.id("s-00000001")]
	idleSince := u.idleConns[0].idleAt
	c, _ := h.acquireConn(u, idleSince+4*time.Millisecond)
	want(t, "used within the delay", c != nil, false)
	c, _ = h.acquireConn(u, idleSince+connReuseDelay)
	want(t, "used after the delay", c != nil, true)
}

// TestRemovedUpstreamIsDroppedAfterItsAttempt guards against keeping an upstream that was removed with an
// attempt in flight, or its connection, after the attempt has ended.
func TestRemovedUpstreamIsDroppedAfterItsAttempt(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	h := newLoopHarness(t)
	h.setMembers(20, upMember("s-00000001", upstream))
	r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", 4*time.Second
	r.message = message{methodAndTarget: "POST /checkin", host: "x", head: headOf()}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	<-upstream.received
	h.setMembers(21, upMember("s-00000002", upstream))
	want(t, "upstreams while the attempt is in flight", len(h.upstreams), 2)
	close(release)
	(<-h.events).apply(h.loop)
	want(t, "status", (<-r.responseCh).status, 200)
	want(t, "upstreams after the attempt", len(h.upstreams), 1)
	want(t, "connections after the attempt", h.connCount, 0)
}

// TestAttemptOverConnLimitIsNotSent guards against opening a connection over the limit for an attempt when no
// idle one can be closed.
func TestAttemptOverConnLimitIsNotSent(t *testing.T) {
	h := newLoopHarness(t)
	h.maxConns = 0
	upstream := newTestUpstream(t, respondOK)
	h.setMembers(20, upMember("s-00000001", upstream))
	want(t, "status", h.roundTrip("1", time.Second).status, http.StatusServiceUnavailable)
	want(t, "connections", h.connCount, 0)
	want(t, "connections opened", upstream.connsOpened(), 0)
}

// delayConns delays new connections until release is closed. dialing receives the address of each one.
func (h *loopHarness) delayConns() (dialing chan string, release chan struct{}) {
	dialing, release = make(chan string, 10), make(chan struct{})
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		dialing <- address
		<-release
		return net.DialTimeout(network, address, timeout)
	}
	return dialing, release
}

// applyNextEvent waits for an event and applies it.
func (h *loopHarness) applyNextEvent() {
	h.t.Helper()
	select {
	case e := <-h.events:
		e.apply(h.loop)
		h.reportPending()
	case <-time.After(10 * time.Second):
		h.t.Fatal("no event within 10 s")
	}
}

// startRequest passes a request to the loop and does not wait for its response.
func (h *loopHarness) startRequest(class, id string, budget time.Duration) *request {
	r := &request{clientRequestID: id, at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = class, budget
	r.message = message{methodAndTarget: "GET /" + class, host: "x", head: headOf("X-Request-Id: " + id)}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	return r
}

// TestClosedRequestIsNotWritten guards against writing an attempt that was waiting for its connection when
// its request was answered, refused, timed out or abandoned by its client.
func TestClosedRequestIsNotWritten(t *testing.T) {
	for name, end := range map[string]func(h *loopHarness, r *request){
		"answered": func(h *loopHarness, r *request) { h.respond(r, clientResponse{status: http.StatusOK}) },
		"refused":  func(h *loopHarness, r *request) { h.Refuse(r.ID, 0) },
		"timed out": func(h *loopHarness, r *request) {
			for !r.closed {
				h.fireTimers()
			}
		},
		"client left": func(h *loopHarness, r *request) { clientLeft{r}.apply(h.loop) },
	} {
		t.Run(name, func(t *testing.T) {
			upstream := newTestUpstream(t, respondOK)
			h := newLoopHarness(t)
			dialing, release := h.delayConns()
			h.setMembers(20, upMember("s-00000001", upstream))
			r := h.startRequest("read", "1", 100*time.Millisecond)
			<-dialing
			end(h, r)
			h.reportPending()
			want(t, "closed", r.closed, true)
			close(release)
			h.applyNextEvent() // attemptFinished, with the connection
			want(t, "requests written", len(upstream.received), 0)
			want(t, "connections kept", h.connCount, 1)
			want(t, "requests open", len(h.requests), 0)
			want(t, "attempts in flight", r.inFlight, 0)
		})
	}
}

// fakeClock replaces the clock by which the loop's transport checks deadlines before it writes an attempt. It
// returns the time of the new clock in nanoseconds, which the test sets.
func (h *loopHarness) fakeClock() *atomic.Int64 {
	var fakeClock atomic.Int64
	fakeClock.Store(int64(h.now()))
	h.transport.now = func() time.Duration { return time.Duration(fakeClock.Load()) }
	return &fakeClock
}

// writeTwoAttempts sends a request with an idempotency key to two upstreams, and lets the two connections open in
// connectOrder, the second one after delay. It returns how many attempts were written.
func writeTwoAttempts(t *testing.T, connectOrder [2]int, delay time.Duration) int {
	const window = time.Second
	stop := make(chan struct{})
	t.Cleanup(func() { close(stop) })
	hang := func(net.Conn, *http.Request) bool { <-stop; return false }
	servers := [2]*testUpstream{newTestUpstream(t, hang), newTestUpstream(t, hang)}
	h := newLoopHarness(t)
	first, second := upMember("s-00000001", servers[0]), upMember("s-00000002", servers[1])
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
	<-servers[connectOrder[0]].received
	fakeClock.Add(int64(delay))
	close(connect[servers[connectOrder[1]].addr])
	select {
	case <-servers[connectOrder[1]].received:
		return 2
	case e := <-h.events: // not written
		want(t, "status of the attempt not written", e.(attemptFinished).status, garnettide.NotSent)
		return 1
	}
}

// TestWriteDeadlineIsCheckedAtWrite guards against writing a repeated attempt after its deduplication window
// because its connection opened late, or because that of the first attempt opened last.
func TestWriteDeadlineIsCheckedAtWrite(t *testing.T) {
	for name, c := range map[string]struct {
		connectOrder [2]int
		delay        time.Duration
		want         int
	}{
		"in time":           {[2]int{0, 1}, time.Second / 2, 2},
		"late":              {[2]int{0, 1}, time.Second, 1},
		"reversed":          {[2]int{1, 0}, time.Second / 2, 2},
		"reversed and late": {[2]int{1, 0}, time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			want(t, "attempts written", writeTwoAttempts(t, c.connectOrder, c.delay), c.want)
		})
	}
}

// TestDeadlineHeaderIsSetAtWrite guards against an X-Deadline-Ms that is not the time left when the request
// is written, and against writing a request whose deadline has passed.
func TestDeadlineHeaderIsSetAtWrite(t *testing.T) {
	for delay, wantHeader := range map[time.Duration]string{300 * time.Millisecond: "700", time.Second: ""} {
		upstream := newTestUpstream(t, respondOK)
		h := newLoopHarness(t)
		dialing, release := h.delayConns()
		fakeClock := h.fakeClock()
		h.setMembers(20, upMember("s-00000001", upstream))
		r := h.startRequest("read", "1", time.Second)
		<-dialing
		fakeClock.Store(int64(r.attempts[0].responseDeadline - time.Second + delay))
		close(release)
		h.applyNextEvent()
		if wantHeader == "" {
			want(t, "requests written", len(upstream.received), 0)
		} else {
			want(t, "X-Deadline-Ms", (<-upstream.received).Header.Get("X-Deadline-Ms"), wantHeader)
		}
	}
}

// TestQueuedListsApplyBeforeSends guards against sending a request before the queued lists are applied, when
// the loop handles an event or an expired timer.
func TestQueuedListsApplyBeforeSends(t *testing.T) {
	for name, trigger := range map[string]func(h *loopHarness, r *request){
		"event": func(h *loopHarness, r *request) { h.handle(requestReceived{r}) },
		"timer": func(h *loopHarness, r *request) {
			h.addTimer(loopTimer{at: h.now(), request: 1, attempt: allAttempts})
			h.fireTimers()
			requestReceived{r}.apply(h.loop)
			h.reportPending()
		},
	} {
		t.Run(name, func(t *testing.T) {
			upstream := newTestUpstream(t, respondOK)
			h := newLoopHarness(t)
			one := upMember("s-00000001", upstream)
			h.setMembers(20, one)
			h.listUpdates <- listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 21}}
			h.listUpdates <- listUpdate{from: h.discoveryClient,
				discoveryList: discoveryList{Revision: 22, Members: []member{drainingMember(one)}}}
			r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
			r.Class, r.Budget = "checkin", time.Second
			r.message = message{methodAndTarget: "POST /checkin", host: "x", head: headOf()}
			trigger(h, r)
			want(t, "attempts", len(r.attempts), 0)
		})
	}
}

// recordingConn reports its writes and aborts to calls, and delays read errors until releaseReads is closed.
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
	c.calls <- c.name + " aborted"
	return c.TCPConn.CloseWrite()
}

// TestAbortPrecedesNextAttempt guards against writing the next attempt while the upstream may still execute
// an aborted one, however late the goroutine that reads the connection closes it.
func TestAbortPrecedesNextAttempt(t *testing.T) {
	releaseReads := make(chan struct{})
	server := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-releaseReads; return false })
	h := newLoopHarness(t)
	calls, n := make(chan string, 10), 0
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout(network, address, timeout)
		if err != nil {
			return nil, err
		}
		n++ // connections are opened one at a time
		return recordingConn{c.(*net.TCPConn), fmt.Sprint(n), calls, releaseReads}, nil
	}
	t.Cleanup(func() { close(releaseReads) })
	h.setMembers(20, upMember("s-00000001", server))
	r := h.startRequest("read", "1", 4*time.Second)
	want(t, "first call", <-calls, "1 written")
	<-server.received
	h.endAttempt(r.attempts[0], garnettide.Timeout)
	if len(r.attempts) == 1 { // the Balancer pauses before the next attempt
		h.Send(r.ID, r.attempts[0].upstream.id, 0, 0)
	}
	want(t, "second call", <-calls, "1 aborted")
	want(t, "third call", <-calls, "2 written")
}

// TestAbortedConnectionIsNotReused guards against reusing the connection of an attempt that is aborted just
// as its response arrives.
func TestAbortedConnectionIsNotReused(t *testing.T) {
	server := newTestUpstream(t, respondOK)
	h := newLoopHarness(t)
	h.setMembers(20, upMember("s-00000001", server))
	r := h.startRequest("read", "1", 4*time.Second)
	e := <-h.events // the response, not applied yet
	h.endAttempt(r.attempts[0], garnettide.Timeout)
	e.apply(h.loop)
	want(t, "connections kept", len(h.upstreams[r.attempts[0].upstream.id].idleConns), 0)
}

// TestWatchIsReopenedImmediately guards against a delay before the next watch call when a watch went silent
// or discovery has a new address. After a failed call the Balancer decides when to call again.
func TestWatchIsReopenedImmediately(t *testing.T) {
	for name, c := range map[string]struct {
		trigger   func(h *loopHarness)
		wantWatch bool
	}{
		"silent": {func(h *loopHarness) {
			h.applyListUpdate(listUpdate{from: h.discoveryClient, err: errWatchSilent})
		}, true},
		"new address": {func(h *loopHarness) {
			h.stopWatch = func() {} // a watch is open
			configReloaded{reloadOf(Config{Plan: h.plan, Discovery: "127.0.0.1:9"}), nil}.apply(h.loop)
		}, true},
		"failed": {func(h *loopHarness) {
			h.applyListUpdate(listUpdate{from: h.discoveryClient, err: io.ErrUnexpectedEOF})
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newLoopHarness(t)
			h.stopWatch = nil
			c.trigger(h)
			want(t, "new watch", h.stopWatch != nil, c.wantWatch)
		})
	}
}

// TestEveryListedUpstreamIsKnown guards against refusing operators' calls for upstreams of a long list, and against
// forgetting one at once when it leaves the list.
func TestEveryListedUpstreamIsKnown(t *testing.T) {
	const upstreams = 14000
	h := newLoopHarness(t)
	server := &testUpstream{addr: "127.0.0.1:9"}
	id := func(i int) string { return fmt.Sprintf("s-%08x", i) }
	members := make([]member, upstreams)
	for i := range members {
		members[i] = upMember(id(i), server)
	}
	h.setMembers(20, members...)
	unknown := 0
	for i := range members {
		if !h.knowsUpstream(id(i)) {
			unknown++
		}
	}
	want(t, "listed upstreams that are not known", unknown, 0)
	want(t, "one that was never listed is known", h.knowsUpstream(id(upstreams)), false)
	h.setMembers(21, members[1:]...)
	want(t, "one that has left the list is known", h.knowsUpstream(id(0)), true)
}
