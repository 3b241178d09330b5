package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"garnettide"
)

const (
	// answerMargin is taken off the client's deadline, which counts from its sending: the way here and back, and
	// a turn of the loop.
	answerMargin = 4 * time.Millisecond
	// lameDuck is how long connections are still taken after SIGTERM: they go on coming for up to 0.4 s.
	lameDuck = 450 * time.Millisecond
	// A platform kills a process no sooner than the longest deadline, taken as longestTaken where it is longer, and
	// killGrace after SIGTERM. What is taken until then must be answered by then. idleGrace is how long idle connections
	// are kept after SIGTERM where the listener is another process's by now: most are used and closed behind an answer
	// in that time, and whatever comes in it has its whole time before the kill.
	longestTaken = 3 * time.Second
	killGrace    = 700 * time.Millisecond
	idleGrace    = 600 * time.Millisecond
	// firstBytes is how long a new connection has for its request before it may have to give way: also the last
	// one that is taken after SIGTERM.
	firstBytes = 50 * time.Millisecond
	// mute is how long a connection may say nothing before it gives way first: a true client has begun by then, also
	// behind a full accept queue.
	mute = 5 * firstBytes
	// Within 3 s of connecting a client is owed a word or a close. One that says nothing gets it after silentClient. A
	// request may take headTime, also one that comes in pieces with long pauses, and a body as much more as it would need
	// at slowestBody bytes a second, half of what the slowest true clients write. Time that this side makes the client
	// wait does not count, and no client has more than headTime in hand.
	silentClient = 2500 * time.Millisecond
	headTime     = 2800 * time.Millisecond
	slowestBody  = 32 << 10
	idleClient   = 2 * time.Minute
	// lingerTimeout bounds how long, and lingerBytes how much, is read and dropped of a client that has been turned
	// away: closed at once, the connection would be reset and the answer lost with it.
	lingerTimeout = 300 * time.Millisecond
	lingerBytes   = 256 << 10
	// longLingerTimeout is for a true client whose answer came before it had sent its whole body: it may look only then.
	longLingerTimeout = 2 * time.Second
)

// answer is what a client gets, once.
type answer struct {
	status     int
	body       []byte
	kind       string
	retryAfter time.Duration
	relay      *relay // the body, where it passes on as it comes
}

// stage is what a client's connection is at.
type stage uint8

const (
	silent  stage = iota // no whole request has come yet, or it is being turned away
	idle                 // between requests
	busy                 // a request is in it
	evicted              // closed to make room
)

// pacer sets a connection's limits of time while a request is read from it.
type pacer struct {
	net.Conn
	on      bool
	body    bool          // what is read is a body's
	left    time.Duration // that may still pass in reads
	stopped atomic.Bool   // reading ends at once
	moved   atomic.Int64  // when bytes last came, Unix ns
}

func (p *pacer) Read(b []byte) (int, error) {
	if !p.on {
		return p.Conn.Read(b)
	}
	start := time.Now()
	p.Conn.SetReadDeadline(start.Add(p.left))
	if p.stopped.Load() { // after the deadline was set, or that would undo the stop's
		p.Conn.SetReadDeadline(time.Unix(0, 1))
	}
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.moved.Store(time.Now().UnixNano())
	}
	p.left -= time.Since(start)
	if p.body {
		p.left = min(p.left+time.Duration(n)*time.Second/slowestBody, headTime)
	}
	if err != nil {
		p.left = 0 // bufio asks again after an error behind half a line: that must not begin a new wait
	}
	return n, err
}

// stop ends reading, also one that waits, from any goroutine.
func (p *pacer) stop() {
	p.stopped.Store(true)
	p.Conn.SetReadDeadline(time.Unix(0, 1))
}

// client is a client's connection. Its stage is the frontend's, under its lock.
type client struct {
	*stream
	pace  *pacer
	came  time.Time // when it was accepted
	begun bool      // bytes of a request have come
	stage stage
	since time.Time // of the stage
}

// frontend takes requests from clients, hands them to the loop and writes its answers.
type frontend struct {
	plan     atomic.Pointer[garnettide.Plan] // in force
	held     *holder
	post     func(event)
	now      func() time.Duration
	listener net.Listener
	shared   bool // the listener is one that another process takes connections from as well

	mu      sync.Mutex
	room    int // connections at most
	clients map[*client]struct{}
	leaving bool        // told to stop: every answer closes its connection
	killAt  time.Time   // once leaving: this process must be done by then
	serving bool        // connections are taken
	closed  bool        // no more connections are taken, and idle ones go
	drained bool        // out of service: every answer closes its connection
	quiet   *time.Timer // closes the idle ones once the front has had its notice
	gone    sync.WaitGroup
}

func newFrontend(c *Config, listener net.Listener, l *loop) *frontend {
	f := &frontend{held: &l.memory, now: l.now, post: l.post, listener: listener,
		shared: c.InheritedFD != 0, room: c.maxClientConns(), clients: map[*client]struct{}{}}
	f.plan.Store(c.Plan)
	return f
}

// serve takes connections until stop has been called.
func (f *frontend) serve() error {
	f.mu.Lock()
	f.serving = true
	f.mu.Unlock()
	for {
		c, err := f.listener.Accept()
		switch {
		case err == nil:
			f.take(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("taking a connection", "err", err)
			f.evict()
			time.Sleep(firstBytes / 10)
		}
	}
}

// take begins to serve a connection, once there is room for it.
func (f *frontend) take(raw net.Conn) {
	for !f.evict() {
		time.Sleep(firstBytes / 10)
	}
	pace := &pacer{Conn: raw}
	c := &client{stream: newStream(pace, 4<<10), pace: pace, came: time.Now(), since: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		raw.Close()
		return
	}
	f.clients[c] = struct{}{}
	f.gone.Go(func() {
		f.converse(c)
		c.Close()
		f.mu.Lock()
		delete(f.clients, c)
		f.mu.Unlock()
	})
}

// evict tells whether there is room for one more connection. Where there is none it closes the one that is likeliest to
// be of no use, never one with a request in it. Descriptors that run out would be missed by upstreams and discovery too.
func (f *frontend) evict() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) < f.room {
		return true
	}
	now := time.Now()
	var victim *client
	var most time.Duration
	for c := range f.clients {
		if c.stage == busy || c.stage == evicted {
			continue
		}
		if still := c.still(now); (c.stage == idle || still >= firstBytes) && (victim == nil || still > most) {
			victim, most = c, still
		}
	}
	if victim != nil {
		victim.stage = evicted
		victim.Close()
		delete(f.clients, victim)
	}
	return victim != nil
}

// still is how long c has made no progress. A true client writes at once, if slowly: one that has not begun by the time
// of mute counts as still for longer than any that has.
func (c *client) still(now time.Time) time.Duration {
	last := c.since
	if moved := time.Unix(0, c.pace.moved.Load()); moved.After(last) {
		last = moved
	}
	still := now.Sub(last)
	if c.stage == silent && !c.begun && still >= mute {
		still += idleClient
	}
	return still
}

// enter moves c to a stage. It fails if c has been closed meanwhile, or is to go.
func (f *frontend) enter(c *client, s stage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.stage == evicted || (s == idle && (f.closed || f.drained)) {
		return false
	}
	c.stage, c.since, c.begun = s, time.Now(), s != idle
	return true
}

// drain begins or ends a drain: /healthz says no, and what still comes is served and its connection closed. Connections
// that hold nothing go once the front has had its notice, since their clients come back on new ones.
func (f *frontend) drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == f.drained {
		return
	}
	if f.drained = on; !on {
		f.quiet.Stop()
		slog.Info("in service")
		return
	}
	f.quiet = time.AfterFunc(lameDuck, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.drained {
			f.close(func(c *client) bool { return c.stage == idle || (c.stage == silent && !c.begun) })
		}
	})
	slog.Info("out of service")
}

// parting tells whether the answers close their connections.
func (f *frontend) parting() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leaving || f.drained
}

// unwell tells whether /healthz says no. Where another process has the listener the balancer serves on.
func (f *frontend) unwell() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.drained || (f.leaving && !f.shared)
}

// serves tells whether connections are taken.
func (f *frontend) serves() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.serving && !f.leaving
}

// stop ends service without losing a request: connections that are still on their way are taken, then the
// listener and idle connections are closed, and what has been taken is answered. A shared listener is left to the other
// process at once.
func (f *frontend) stop() {
	f.mu.Lock()
	f.leaving, f.killAt = true, time.Now().Add(min(f.plan.Load().MaxDeadline(), longestTaken)+killGrace-firstBytes)
	wait := lameDuck
	if f.shared {
		wait = idleGrace
		f.listener.Close()
	}
	f.mu.Unlock()
	time.Sleep(wait)
	f.mu.Lock()
	f.closed = true
	f.listener.Close()
	f.close(func(c *client) bool { return c.stage == idle })
	f.mu.Unlock()
	time.Sleep(firstBytes)
	f.mu.Lock()
	f.close(func(c *client) bool { return c.stage == silent && !c.begun })
	f.mu.Unlock()
	f.gone.Wait() // every connection has an end: its request's deadline, or a peer that stalls
}

// limit bounds the connections. Those over it that hold nothing are closed.
func (f *frontend) limit(most int) {
	f.mu.Lock()
	f.room = most
	over := len(f.clients) - most
	f.mu.Unlock()
	for ; over > 0 && f.evict(); over-- {
	}
}

// close closes some of the connections. The caller holds the lock.
func (f *frontend) close(some func(*client) bool) {
	for c := range f.clients {
		if some(c) {
			c.stage = evicted
			c.Close()
		}
	}
}

// converse serves a connection until one side ends it. Clients send one request at a time.
func (f *frontend) converse(c *client) {
	wait := silentClient
	if f.parting() { // a connection that holds nothing must not outlive the notice by much
		wait = lameDuck
	}
	c.SetReadDeadline(time.Now().Add(wait))
	for first := true; ; first = false {
		c.bound.N = maxHead
		if _, err := c.in.Peek(1); err != nil {
			return
		}
		if !f.enter(c, silent) {
			return
		}
		c.pace.on, c.pace.body, c.pace.left = true, false, headTime
		if first { // what is no request is owed its word by the time of its connection
			c.pace.left -= time.Since(c.came)
		}
		q, h, err := f.read(c)
		if err != nil {
			c.pace.on = false
			f.turnAway(c, err)
			return
		}
		if !f.enter(c, busy) || !f.serveOne(c, q, h) || !f.enter(c, idle) {
			return
		}
		c.SetReadDeadline(time.Now().Add(idleClient))
	}
}

// serveOne gets the answer to a request and passes it on; q is nil for a question after this balancer's health. It tells
// whether the connection may serve another one.
func (f *frontend) serveOne(c *client, q *request, h textproto.MIMEHeader) bool {
	last := func() bool { return closes(h) || f.parting() }
	if q == nil {
		c.pace.on = false
		a := f.health()
		closing := last()
		return c.write(a, closing) == nil && !closing
	}
	if q.message.rest == nil { // its client may have left while the request waited to be read
		c.SetReadDeadline(time.Time{}) // the request's
		if err := checkNoInput(c.pace.Conn); err != nil {
			f.held.give(q.message.body)
			if errors.Is(err, errUnexpectedBytes) {
				f.turnAway(c, errAhead)
			}
			return false
		}
	}
	q.Budget = f.budget(q.Budget)
	w := f.watch(c, q)
	f.post(requestReceived{q})
	a, err := w.await()
	if err != nil { // the client has gone, or what it sends is no request
		q.clientGone.Store(true)
		f.post(clientLeft{q})
		f.turnAway(c, err)
		return false
	}
	closing := last() || a.status == http.StatusConflict
	if a.relay != nil {
		err := c.pass(a.relay, a.kind, closing, w)
		return w.stop() && w.seen != nil && err == nil && !closing
	}
	whole := w.stop()
	if err := w.seen; whole && err == nil {
		f.turnAway(c, errAhead)
		return false
	}
	if err := c.write(a, closing || !whole); err != nil {
		return false
	}
	if !whole {
		c.lingeringClose(longLingerTimeout, maxStream)
	}
	return whole && !closing
}

// watcher reads from a client while its request is served: the rest of an open request's body, and then nothing, which
// shows the client's leaving. What it sends ahead is none of ours.
type watcher struct {
	c     *client
	q     *request
	ended chan error
	seen  error // once stopped
}

func (f *frontend) watch(c *client, q *request) *watcher {
	w := &watcher{c: c, q: q, ended: make(chan error, 1)}
	go func() {
		if q.message.rest != nil {
			if err := f.pump(c, q); err != nil {
				w.ended <- err
				return
			}
		}
		c.pace.on = false
		c.SetReadDeadline(time.Time{})
		if c.pace.stopped.Load() { // it came before the line above
			c.SetReadDeadline(time.Unix(0, 1))
		}
		c.bound.N = maxHead
		_, err := c.in.Peek(1)
		w.ended <- err
	}()
	return w
}

// await waits for the answer, or for the client to go or to send what is no request, which is the error.
func (w *watcher) await() (answer, error) {
	select {
	case a := <-w.q.responseCh:
		// A fault of the body ends its attempt too. The module's answer to that may be here first, and would tell the
		// client that another try is harmless.
		if fault := w.q.message.rest.fault(); fault != nil && a.status != http.StatusOK {
			return answer{}, fault
		}
		return a, nil
	case err := <-w.ended:
		if err == nil {
			return answer{}, errAhead
		} else if !errors.Is(err, errUnread) {
			return answer{}, err
		}
		w.ended <- err
		return <-w.q.responseCh, nil
	}
}

// stop ends the watch and tells whether the request has come whole, with nothing behind it that was looked for.
func (w *watcher) stop() bool {
	rest := w.q.message.rest
	if rest != nil {
		rest.end()
	}
	w.c.pace.stop()
	w.seen = <-w.ended
	w.c.pace.stopped.Store(false)
	return rest == nil || rest.came
}

// pump passes the rest of a body to the attempt that takes it, as fast as that reads.
func (f *frontend) pump(c *client, q *request) error {
	rest := q.message.rest
	p := pieces.Get().(*piece)
	defer pieces.Put(p)
	for passed := int64(len(q.message.body)); ; {
		n, err := rest.body.Read(p.space())
		if passed += int64(n); passed > maxStream {
			err = errTooLarge
		}
		if n > 0 && (err == nil || err == io.EOF) {
			if _, err := rest.out.Write(p.space()[:n]); errors.Is(err, errHungUp) {
				return err
			} else if err != nil {
				return errUnread
			}
		}
		if err == io.EOF {
			rest.came = true
			f.post(bodyReceived{q, f.now(), f.budget(q.Budget)})
			rest.out.Close()
			return nil
		} else if err != nil {
			rest.fail(err)
			return err
		}
	}
}

// budget is how much of a client's time there is before this process is killed, if it is to be.
func (f *frontend) budget(of time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.leaving {
		return min(of, max(0, time.Until(f.killAt)))
	}
	return of
}

// pass passes an answer on as it comes. Where it breaks off the client sees that it is not whole.
func (c *client) pass(r *relay, kind string, last bool, w *watcher) error {
	over := make(chan struct{})
	defer close(over)
	go func() {
		select {
		case err := <-w.ended:
			w.ended <- err
			if err != nil && !errors.Is(err, errUnread) { // the client has gone: nobody is read for
				r.conn.Close()
			}
		case <-over:
		}
	}()
	err := c.copy(r, kind, last)
	r.done <- err
	return err
}

func (c *client) copy(r *relay, kind string, last bool) error {
	inChunks := r.length < 0
	framing := "Transfer-Encoding: chunked\r\n"
	if !inChunks {
		framing = fmt.Sprintf("Content-Length: %d\r\n", r.length)
	}
	if err := writeFully(c, head(answer{status: http.StatusOK, kind: kind}, framing, last)); err != nil {
		return err
	}
	p := pieces.Get().(*piece)
	defer pieces.Put(p)
	for held := r.buffered; len(held) > 0; {
		n := copy(p.space(), held)
		held = held[n:]
		if err := writeFully(c, p.framed(n, inChunks)); err != nil {
			return err
		}
	}
	for {
		r.conn.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
		n, err := r.body.Read(p.space())
		if n > 0 {
			if err := writeFully(c, p.framed(n, inChunks)); err != nil {
				return err
			}
		}
		if err == io.EOF && inChunks {
			return writeFully(c, []byte(lastChunk))
		} else if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// health answers a question after this balancer's health.
func (f *frontend) health() answer {
	if f.unwell() {
		return answer{status: http.StatusServiceUnavailable, body: []byte("out of service\n"), kind: "text/plain"}
	}
	turned := make(turn)
	f.post(turned)
	<-turned
	return answer{status: http.StatusOK, body: []byte("ok\n"), kind: "text/plain"}
}

// turn is closed when the loop comes to it: it is alive.
type turn chan struct{}

func (t turn) apply(*loop) { close(t) }

// refusal is why a request never reaches the module, and what its client is told.
type refusal struct {
	status int
	why    string
}

func (r *refusal) Error() string { return r.why }

func bad(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var (
	errTooLarge = &refusal{http.StatusRequestEntityTooLarge, "the body is over the bound"}
	errAhead    = bad("bytes behind a request that is not answered yet")
)

// turnAway answers a client whose request can't be served, and closes the connection: where its next request begins
// is not certain. One whose connection broke gets no answer.
func (f *frontend) turnAway(c *client, err error) {
	if !f.enter(c, silent) {
		return
	}
	r := &refusal{http.StatusBadRequest, err.Error()}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		r = &refusal{http.StatusRequestTimeout, "the request did not come whole in time"}
	} else if errors.Is(err, errLong) {
		r.status = http.StatusRequestHeaderFieldsTooLarge
	} else if !errors.As(err, &r) && !errors.Is(err, errHead) && !errors.Is(err, errFrame) {
		return
	}
	if c.write(answer{status: r.status, body: []byte(r.why + "\n"), kind: "text/plain"}, true) != nil {
		return
	}
	c.lingeringClose(lingerTimeout, lingerBytes)
}

// lingeringClose reads and drops what a client that has its answer still sends, and waits for its close, within bounds.
func (c *client) lingeringClose(wait time.Duration, most int64) {
	if half, ok := c.pace.Conn.(*net.TCPConn); ok {
		half.CloseWrite()
		half.SetReadDeadline(time.Now().Add(wait))
		p := pieces.Get().(*piece)
		defer pieces.Put(p)
		for n, err := 0, error(nil); err == nil && most > 0; most -= int64(n) {
			n, err = half.Read(p.space())
		}
	}
}

// head renders an answer's head.
func head(a answer, framing string, last bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", a.status, http.StatusText(a.status), framing)
	if a.kind != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", a.kind)
	}
	if a.retryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %.3f\r\n", a.retryAfter.Seconds())
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// write writes an answer. If it fails the client has gone, and can tell that the answer is not whole.
func (c *client) write(a answer, last bool) error {
	b := head(a, fmt.Sprintf("Content-Length: %d\r\n", len(a.body)), last)
	if len(a.body) <= pieceSize {
		return writeFully(c, append(b, a.body...))
	}
	if err := writeFully(c, b); err != nil {
		return err
	}
	return writeFully(c, a.body)
}

// once names the fields of which a second one would leave open which of them counts.
var once = []string{"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key",
	"X-Retry", "X-Cost-Hint", "X-Extras", "Cookie"}

// read reads a client's request; nil is a question after this balancer's health. What is malformed never reaches the
// module.
func (f *frontend) read(c *client) (*request, textproto.MIMEHeader, error) {
	line, h, err := c.head()
	if err != nil {
		return nil, nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" {
		return nil, nil, &refusal{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted"}
	}
	for _, name := range once {
		if len(h[name]) > 1 {
			return nil, nil, bad("%s stands there more than once", name)
		}
	}
	if method == http.MethodGet && target == "/healthz" && h.Get("X-Request-Id") == "" {
		return nil, h, nil
	}
	q, err := f.check(method, target, h)
	if err != nil {
		return nil, nil, err
	}
	if err := f.readBody(c, q, method, h); err != nil {
		return nil, nil, err
	}
	if q.message.rest == nil && c.in.Buffered() > 0 {
		f.held.give(q.message.body)
		return nil, nil, errAhead
	}
	q.at = f.now() // it counts from its last byte
	return q, h, nil
}

// readBody reads a request's body as far as it can be held. Framing that someone might read in another way is refused:
// the rest of the body would be a request of its own there.
func (f *frontend) readBody(c *client, q *request, method string, h textproto.MIMEHeader) error {
	coded, length := h["Transfer-Encoding"], h.Get("Content-Length")
	n, ok := digits(length)
	var body io.Reader
	switch {
	case len(coded) > 0 && len(h["Content-Length"]) > 0:
		return bad("both Content-Length and Transfer-Encoding")
	case len(coded) == 1 && strings.EqualFold(coded[0], "chunked"):
		body, n = c.chunks(), 0
	case len(coded) > 1 || strings.Count(strings.ToLower(strings.Join(coded, ",")), "chunked") > 1:
		return bad("Transfer-Encoding stands there more than once")
	case len(coded) > 0:
		return &refusal{http.StatusNotImplemented, "no Transfer-Encoding but chunked"}
	case length == "" && method == http.MethodGet:
		return nil
	case length == "":
		return &refusal{http.StatusLengthRequired, "a Content-Length is wanted, or chunks"}
	case !ok && strings.Trim(length, "0123456789") != "":
		return bad("Content-Length is no number")
	case !ok || n > maxStream:
		return errTooLarge
	case n > 0 && method == http.MethodGet:
		return bad("GET with a body")
	default:
		body = &sized{c.stream, int64(n)}
	}
	if expects := h.Get("Expect"); strings.EqualFold(expects, "100-continue") {
		if c.in.Buffered() == 0 {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails so does the reading
		}
	} else if expects != "" {
		return &refusal{http.StatusExpectationFailed, "nothing but 100-continue is expected here"}
	}
	c.pace.body = true
	held, whole, err := f.held.gather(body, always)
	if err != nil {
		return err
	}
	if q.message.body = held; whole && method == http.MethodGet && len(held) > 0 {
		f.held.give(held)
		return bad("GET with a body")
	} else if whole {
		return nil
	}
	rest := &upload{body: body, length: int64(n), client: c.pace.Conn}
	if len(coded) > 0 {
		rest.length = -1
	}
	rest.in, rest.out = io.Pipe()
	q.message.rest = rest
	return nil
}

// check reads what a request says of itself. A field that is there must be right: a guess at what was meant would be
// served in its place.
func (f *frontend) check(method, target string, h textproto.MIMEHeader) (*request, error) {
	class := f.plan.Load().Class(h.Get("X-Class"))
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	id, key := h.Get("X-Request-Id"), h.Get("Idempotency-Key")
	switch {
	case !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return nil, bad("the target is no path")
	case h.Get("Host") == "":
		return nil, bad("Host is wanted")
	case class == nil:
		return nil, bad("X-Class names no known class")
	case first != class.Name:
		return nil, bad("the path does not begin with the class")
	case id == "":
		return nil, bad("X-Request-Id is wanted")
	case (class.Idempotency == garnettide.Idempotent) != (method == http.MethodGet),
		class.Idempotency != garnettide.Idempotent && method != http.MethodPost:
		return nil, bad("the method does not fit the class")
	case (class.Idempotency == garnettide.IdempotentByKey) != (key != ""), key == "" && len(h["Idempotency-Key"]) > 0:
		return nil, bad("Idempotency-Key does not fit the class")
	}
	q := &request{clientRequestID: id, responseCh: make(chan answer, 1)}
	q.Class, q.ClassSettings, q.Tenant, q.Retry = class.Name, class, h.Get("X-Tenant"), h.Get("X-Retry") == "1"
	q.Budget = class.Deadline
	if len(h["X-Deadline-Ms"]) > 0 {
		ms, ok := digits(h.Get("X-Deadline-Ms"))
		if !ok || ms == 0 {
			return nil, bad("X-Deadline-Ms is no time")
		}
		q.Budget = time.Duration(min(ms, uint64(q.Budget.Milliseconds()))) * time.Millisecond
	}
	q.Budget = max(0, q.Budget-answerMargin)
	if len(h["X-Cost-Hint"]) > 0 {
		us, ok := digits(h.Get("X-Cost-Hint"))
		if !ok {
			return nil, bad("X-Cost-Hint is no number")
		}
		// Work that could not be done in the class's time is no guess to go by, and would move the mean of them.
		if us <= uint64(class.Deadline.Microseconds()) {
			q.Cost = time.Duration(us) * time.Microsecond
		}
	}
	if c, err := (&http.Request{Header: http.Header(h)}).Cookie("obj"); err == nil {
		q.HasKey = true
		if q.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
			q.Key = uint64(hashText(c.Value))
		}
	}
	for _, named := range h["Connection"] { // fields that the client meant for this connection only
		for name := range strings.SplitSeq(named, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(once, name) { // what the protocol wants passed on can't be taken out
				h.Del(name)
			}
		}
	}
	q.message = message{line: method + " " + target, header: http.Header(h), host: h.Get("Host")}
	return q, nil
}
