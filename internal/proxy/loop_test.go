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
type hand struct {
	*loop
	t    *testing.T
	plan *garnettide.Plan
}

func newHand(t *testing.T) *hand {
	t.Helper()
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.CachedList = discoveryList{}
	l := newLoop(t.Context(), &c)
	l.start(&c, nil)
	l.Watch(false) // nothing listens there
	return &hand{l, t, c.Plan}
}

func (h *hand) list(revision uint64, members ...member) {
	h.applyListUpdate(listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: revision, Complete: true, Members: members}})
}

// ask sends a request and turns the loop until it is answered and its attempts are over.
func (h *hand) ask(name string, budget time.Duration) clientResponse {
	h.t.Helper()
	r := &request{clientRequestID: name, at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", budget
	r.message = message{methodAndTarget: "POST /checkin", host: "x", header: http.Header{"X-Request-Id": {name}}}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	for len(h.requests) > 0 || h.busy() {
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

func (h *hand) busy() bool {
	for _, p := range h.upstreams {
		if len(p.inFlight) > 0 {
			return true
		}
	}
	return false
}

// Thousands of upstreams come and go under new ids, each at the address of the one before, with ever new requests: what
// the loop keeps returns to its size, and no connection crosses over from an old id to a new one.
func TestStateReturnsToItsSize(t *testing.T) {
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { return writeOK(c, r.Header.Get("X-Request-Id")) })
	go func() {
		for range s.received {
		}
	}()
	h := newHand(t)
	const ids = 2000
	for i := range ids {
		h.list(uint64(i+100), upMember(fmt.Sprintf("s-%08x", i), s))
		name := fmt.Sprintf("%016x", i)
		a := h.ask(name, 4*time.Second)
		if a.status != 200 || string(a.body) != name {
			t.Fatalf("request %d: got %d, %q", i, a.status, a.body)
		}
	}
	want(t, "connections opened", s.connsOpened(), ids)
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
	h.list(90000, drainingMember(upMember("s-0fffffff", s)))
	h.applyListUpdate(listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 90001, Members: []member{{ID: "s-0ffffffe", Phase: "removed"}}}})
	want(t, "numbers after the removal of what was never listed", len(h.upstreamIDs.ids), 1)
}

// At the bound of connections the one that idles longest makes room, at whatever upstream: the one that is asked is not
// to blame.
func TestIdleConnectionMakesRoom(t *testing.T) {
	one, two := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	h := newHand(t)
	h.maxConns = 1
	h.list(20, upMember("s-00000001", one))
	want(t, "first", h.ask("1", time.Second).status, 200)
	h.list(21, upMember("s-00000001", one), upMember("s-00000002", two))
	for i := 0; len(two.received) == 0; i++ {
		if i > 20 {
			t.Fatal("the second upstream is never asked")
		}
		want(t, "next", h.ask(fmt.Sprint("a", i), time.Second).status, 200)
		want(t, "connections", h.connCount, 1)
	}
}

// A second copy that comes behind an answer, in a segment of its own, is not taken for the next request's answer.
func TestLateSecondCopyIsNotAnAnswer(t *testing.T) {
	copied := make(chan struct{}, 2)
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		writeOK(c, r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Request-Id") == "1" {
			time.Sleep(connReuseDelay / 2) // later than the answer, sooner than the connection has rested
			writeOK(c, "1")
			copied <- struct{}{}
		}
		return true
	})
	h := newHand(t)
	h.list(20, upMember("s-00000001", s))
	want(t, "first", string(h.ask("1", time.Second).body), "1")
	<-copied
	want(t, "second", string(h.ask("2", time.Second).body), "2")
	want(t, "connections opened", s.connsOpened(), 2)
}

// A connection rests for longer than second copies were seen to be late, and serves again behind that.
func TestConnectionRestsBetweenTwoRequests(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	h := newHand(t)
	h.list(20, upMember("s-00000001", s))
	want(t, "first", h.ask("1", time.Second).status, 200)
	p := h.upstreams[h.upstreamIDs.id("s-00000001")]
	since := p.idleConns[0].idleAt
	c, _ := h.acquireConn(p, since+4*time.Millisecond)
	want(t, "used within the rest", c != nil, false)
	c, _ = h.acquireConn(p, since+connReuseDelay)
	want(t, "used behind it", c != nil, true)
}

// An upstream that is gone with an attempt out is forgotten once that ends, and its connection is not kept.
func TestGoneUpstreamEndsWithItsAttempt(t *testing.T) {
	release := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	h := newHand(t)
	h.list(20, upMember("s-00000001", s))
	r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", 4*time.Second
	r.message = message{methodAndTarget: "POST /checkin", host: "x", header: http.Header{}}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	<-s.received
	h.list(21, upMember("s-00000002", s))
	want(t, "upstreams while it is out", len(h.upstreams), 2)
	close(release)
	(<-h.events).apply(h.loop)
	want(t, "answer", (<-r.responseCh).status, 200)
	want(t, "upstreams", len(h.upstreams), 1)
	want(t, "connections", h.connCount, 0)
}

// An attempt for which there is no connection was never sent, through no fault of the upstream's.
func TestNoRoomIsMoot(t *testing.T) {
	h := newHand(t)
	h.maxConns = 0
	s := newTestUpstream(t, respondOK)
	h.list(20, upMember("s-00000001", s))
	want(t, "status", h.ask("1", time.Second).status, http.StatusServiceUnavailable)
	want(t, "connections", h.connCount, 0)
	want(t, "upstreams asked", s.connsOpened(), 0)
}

// lateConns makes new connections come up only once they are let: begun tells of each that waits.
func (h *hand) lateConns() (begun chan string, let chan struct{}) {
	begun, let = make(chan string, 10), make(chan struct{})
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		begun <- address
		<-let
		return net.DialTimeout(network, address, timeout)
	}
	return begun, let
}

// next turns the loop by one event.
func (h *hand) next() {
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
func (h *hand) begin(class, name string, budget time.Duration) *request {
	r := &request{clientRequestID: name, at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = class, budget
	r.message = message{methodAndTarget: "GET /" + class, host: "x", header: http.Header{"X-Request-Id": {name}}}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	return r
}

// A request that is over goes to no upstream any more: what of it waits for a connection as another copy is answered, as
// the module gives it up, as its time runs out or as its client leaves is never written once the connection is up.
func TestNothingIsSentOnceARequestIsOver(t *testing.T) {
	for name, end := range map[string]func(h *hand, r *request){
		"answered": func(h *hand, r *request) { h.respond(r, clientResponse{status: http.StatusOK}) },
		"given up": func(h *hand, r *request) { h.Refuse(r.ID, 0) },
		"out of time": func(h *hand, r *request) {
			for !r.closed {
				h.fireTimers()
			}
		},
		"left": func(h *hand, r *request) { clientLeft{r}.apply(h.loop) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestUpstream(t, respondOK)
			h := newHand(t)
			begun, let := h.lateConns()
			h.list(20, upMember("s-00000001", s))
			r := h.begin("read", "1", 100*time.Millisecond)
			<-begun
			end(h, r)
			h.reportPending()
			want(t, "over", r.closed, true)
			close(let)
			h.next() // the attempt's end, with its connection
			want(t, "requests written", len(s.received), 0)
			want(t, "connections kept", h.connCount, 1)
			want(t, "requests open", len(h.requests), 0)
			want(t, "outcomes that the module still waits for", r.inFlight, 0)
		})
	}
}

// clock sets the clock by which attempts are written.
func (h *hand) clock() *atomic.Int64 {
	var clock atomic.Int64
	clock.Store(int64(h.now()))
	h.transport.now = func() time.Duration { return time.Duration(clock.Load()) }
	return &clock
}

// repeats begins a keyed request at one upstream, sends it again at another one, and lets the two connections come up in an
// order, with so much time gone by before the second. It returns how many were written.
func repeats(t *testing.T, order [2]int, late time.Duration) int {
	const window = time.Second
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	hang := func(net.Conn, *http.Request) bool { <-over; return false }
	servers := [2]*testUpstream{newTestUpstream(t, hang), newTestUpstream(t, hang)}
	h := newHand(t)
	up0, up1 := upMember("s-00000001", servers[0]), upMember("s-00000002", servers[1])
	let := map[string]chan struct{}{servers[0].addr: make(chan struct{}), servers[1].addr: make(chan struct{})}
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		<-let[address]
		return net.DialTimeout(network, address, timeout)
	}
	clock := h.clock()
	h.list(20, up0)
	r := h.begin("pay", "1", 4*time.Second)
	h.list(21, up0, up1)
	h.Send(r.ID, h.upstreamIDs.id(up1.ID), 0, window)
	clock.Store(int64(r.attempts[1].sentAt))
	close(let[servers[order[0]].addr])
	<-servers[order[0]].received
	clock.Add(int64(late))
	close(let[servers[order[1]].addr])
	select {
	case <-servers[order[1]].received:
		return 2
	case e := <-h.events: // it ended without
		want(t, "how it ended", e.(attemptFinished).status, garnettide.NotSent)
		return 1
	}
}

// What a window allows as an attempt is decided on has to hold as it is written: a connection may come up after it, and
// that of the first attempt behind that of the second.
func TestWindowHoldsAtTheWrite(t *testing.T) {
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
			want(t, "attempts written", repeats(t, c.order, c.late), c.want)
		})
	}
}

// What a request states of its time is what is left as it is written, and one whose time is over is not written.
func TestTimeIsStatedAtTheWrite(t *testing.T) {
	for late, stated := range map[time.Duration]string{300 * time.Millisecond: "700", time.Second: ""} {
		s := newTestUpstream(t, respondOK)
		h := newHand(t)
		begun, let := h.lateConns()
		clock := h.clock()
		h.list(20, upMember("s-00000001", s))
		r := h.begin("read", "1", time.Second)
		<-begun
		clock.Store(int64(r.attempts[0].responseDeadline - time.Second + late))
		close(let)
		h.next()
		if stated == "" {
			want(t, "requests written", len(s.received), 0)
		} else {
			want(t, "time stated", (<-s.received).Header.Get("X-Deadline-Ms"), stated)
		}
	}
}

// A list that has come goes before whatever is sent after it, each of several, and also where alarms that are due follow
// one another.
func TestListsGoBeforeWhatIsNotSent(t *testing.T) {
	for name, turn := range map[string]func(h *hand, r *request){
		"an event": func(h *hand, r *request) { h.handle(requestReceived{r}) },
		"an alarm": func(h *hand, r *request) {
			h.addTimer(loopTimer{at: h.now(), request: &request{attempts: []*attempt{{reported: true}}}})
			h.fireTimers()
			requestReceived{r}.apply(h.loop)
			h.reportPending()
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestUpstream(t, respondOK)
			h := newHand(t)
			one := upMember("s-00000001", s)
			h.list(20, one)
			h.listUpdates <- listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 21}}
			h.listUpdates <- listUpdate{from: h.discoveryClient, discoveryList: discoveryList{Revision: 22, Members: []member{drainingMember(one)}}}
			r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
			r.Class, r.Budget = "checkin", time.Second
			r.message = message{methodAndTarget: "POST /checkin", host: "x", header: http.Header{}}
			turn(h, r)
			want(t, "attempts", len(r.attempts), 0)
		})
	}
}

// toldConn tells of what goes to the upstream, in order, and holds up who reads its end.
type toldConn struct {
	*net.TCPConn
	name string
	told chan string
	hold chan struct{}
}

func (c toldConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		<-c.hold
	}
	return n, err
}

func (c toldConn) Write(b []byte) (int, error) {
	c.told <- c.name + " written"
	return c.TCPConn.Write(b)
}

func (c toldConn) CloseWrite() error {
	c.told <- c.name + " given up"
	return c.TCPConn.CloseWrite()
}

// An attempt that is given up is over for its upstream before the next one is written, however late its connection's
// reader comes to close it: two out at once are a second copy.
func TestGivenUpBeforeTheNextIsWritten(t *testing.T) {
	hold := make(chan struct{})
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-hold; return false })
	h := newHand(t)
	told, n := make(chan string, 10), 0
	h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout(network, address, timeout)
		if err != nil {
			return nil, err
		}
		n++ // one after another
		return toldConn{c.(*net.TCPConn), fmt.Sprint(n), told, hold}, nil
	}
	t.Cleanup(func() { close(hold) })
	h.list(20, upMember("s-00000001", s))
	r := h.begin("read", "1", 4*time.Second)
	want(t, "first", <-told, "1 written")
	<-s.received
	h.endAttempt(r.attempts[0], garnettide.Timeout)
	if len(r.attempts) == 1 { // the module waits for a turn
		h.Send(r.ID, r.attempts[0].upstream.id, 0, 0)
	}
	want(t, "next", <-told, "1 given up")
	want(t, "then", <-told, "2 written")
}

// An attempt is given up in the moment in which its answer has come: its connection does not serve again.
func TestGivenUpConnectionIsNotKept(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	h := newHand(t)
	h.list(20, upMember("s-00000001", s))
	r := h.begin("read", "1", 4*time.Second)
	e := <-h.events // the answer, which the loop has not heard of
	h.endAttempt(r.attempts[0], garnettide.Timeout)
	e.apply(h.loop)
	want(t, "connections kept", len(h.upstreams[r.attempts[0].upstream.id].idleConns), 0)
}

// A watch that has fallen silent is opened anew at once, and so is the first one after discovery has moved: their news
// soon counts as told. What fails is asked again when the module says so.
func TestNewWatchAtOnce(t *testing.T) {
	for name, c := range map[string]struct {
		happen  func(h *hand)
		watches bool
	}{
		"silent": {func(h *hand) { h.applyListUpdate(listUpdate{from: h.discoveryClient, err: errWatchSilent}) }, true},
		"moved": {func(h *hand) {
			h.stopWatch = func() {} // one is open
			configReloaded{again(Config{Plan: h.plan, Discovery: "127.0.0.1:9"}), nil}.apply(h.loop)
		}, true},
		"failed": {func(h *hand) { h.applyListUpdate(listUpdate{from: h.discoveryClient, err: io.ErrUnexpectedEOF}) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHand(t)
			h.stopWatch = nil
			c.happen(h)
			want(t, "a new watch", h.stopWatch != nil, c.watches)
		})
	}
}
