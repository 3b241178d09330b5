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
	clientDeadlineMargin = 4 * time.Millisecond
	// lameDuck is how long connections are still taken after SIGTERM: they go on coming for up to 0.4 s.
	acceptGracePeriod = 450 * time.Millisecond
	// A platform kills a process no sooner than the longest deadline, taken as longestTaken where it is longer, and
	// killGrace after SIGTERM. What is taken until then must be answered by then. idleGrace is how long idle connections
	// are kept after SIGTERM where the listener is another process's by now: most are used and closed behind an answer
	// in that time, and whatever comes in it has its whole time before the kill.
	maxShutdownDeadline = 3 * time.Second
	shutdownGracePeriod = 700 * time.Millisecond
	handoverIdlePeriod  = 600 * time.Millisecond
	// firstBytes is how long a new connection has for its request before it may have to give way: also the last
	// one that is taken after SIGTERM.
	firstByteTimeout = 50 * time.Millisecond
	// mute is how long a connection may say nothing before it gives way first: a true client has begun by then, also
	// behind a full accept queue.
	noDataEvictAfter = 5 * firstByteTimeout
	// Within 3 s of connecting a client is owed a word or a close. One that says nothing gets it after silentClient. A
	// request may take headTime, also one that comes in pieces with long pauses, and a body as much more as it would need
	// at slowestBody bytes a second, half of what the slowest true clients write. Time that this side makes the client
	// wait does not count, and no client has more than headTime in hand.
	firstRequestTimeout = 2500 * time.Millisecond
	requestHeadTimeout  = 2800 * time.Millisecond
	minClientBodyRate   = 32 << 10
	clientIdleTimeout   = 2 * time.Minute
	// lingerTimeout bounds how long, and lingerBytes how much, is read and dropped of a client that has been turned
	// away: closed at once, the connection would be reset and the answer lost with it.
	clientLingerTimeout  = 300 * time.Millisecond
	maxClientLingerBytes = 256 << 10
	// longLingerTimeout is for a true client whose answer came before it had sent its whole body: it may look only then.
	earlyResponseLingerTimeout = 2 * time.Second
)

// answer is what a client gets, once.
type clientResponse struct {
	status      int
	body        []byte
	contentType string
	retryAfter  time.Duration
	relay       *relay // the body, where it passes on as it comes
}

// stage is what a client's connection is at.
type clientStage uint8

const (
	clientReading clientStage = iota // no whole request has come yet, or it is being turned away
	clientIdle                       // between requests
	clientServing                    // a request is in it
	clientEvicted                    // closed to make room
)

// pacer sets a connection's limits of time while a request is read from it.
type timedConn struct {
	net.Conn
	limited     bool
	readingBody bool          // what is read is a body's
	remaining   time.Duration // that may still pass in reads
	stopped     atomic.Bool   // reading ends at once
	lastRead    atomic.Int64  // when bytes last came, Unix ns
}

func (p *timedConn) Read(b []byte) (int, error) {
	if !p.limited {
		return p.Conn.Read(b)
	}
	start := time.Now()
	p.Conn.SetReadDeadline(start.Add(p.remaining))
	if p.stopped.Load() { // after the deadline was set, or that would undo the stop's
		p.Conn.SetReadDeadline(time.Unix(0, 1))
	}
	n, err := p.Conn.Read(b)
	if n > 0 {
		p.lastRead.Store(time.Now().UnixNano())
	}
	p.remaining -= time.Since(start)
	if p.readingBody {
		p.remaining = min(p.remaining+time.Duration(n)*time.Second/minClientBodyRate, requestHeadTimeout)
	}
	if err != nil {
		p.remaining = 0 // bufio asks again after an error behind half a line: that must not begin a new wait
	}
	return n, err
}

// stop ends reading, also one that waits, from any goroutine.
func (p *timedConn) stop() {
	p.stopped.Store(true)
	p.Conn.SetReadDeadline(time.Unix(0, 1))
}

// client is a client's connection. Its stage is the frontend's, under its lock.
type client struct {
	*httpConn
	timed          *timedConn
	acceptedAt     time.Time // when it was accepted
	requestStarted bool      // bytes of a request have come
	stage          clientStage
	stageSince     time.Time // of the stage
}

// frontend takes requests from clients, hands them to the loop and writes its answers.
type frontend struct {
	plan           atomic.Pointer[garnettide.Plan] // in force
	memory         *bodyMemory
	post           func(event)
	now            func() time.Duration
	listener       net.Listener
	listenerShared bool // the listener is one that another process takes connections from as well

	mu           sync.Mutex
	maxClients   int // connections at most
	clients      map[*client]struct{}
	stopping     bool        // told to stop: every answer closes its connection
	killAt       time.Time   // once leaving: this process must be done by then
	accepting    bool        // connections are taken
	closed       bool        // no more connections are taken, and idle ones go
	outOfService bool        // out of service: every answer closes its connection
	drainTimer   *time.Timer // closes the idle ones once the front has had its notice
	clientsDone  sync.WaitGroup
}

func newFrontend(c *Config, listener net.Listener, l *loop) *frontend {
	f := &frontend{memory: &l.held, now: l.now, post: l.post, listener: listener,
		listenerShared: c.Inherited != 0, maxClients: c.clientConns(), clients: map[*client]struct{}{}}
	f.plan.Store(c.Plan)
	return f
}

// serve takes connections until stop has been called.
func (f *frontend) serve() error {
	f.mu.Lock()
	f.accepting = true
	f.mu.Unlock()
	for {
		c, err := f.listener.Accept()
		switch {
		case err == nil:
			f.startClient(c)
		case errors.Is(err, net.ErrClosed):
			return nil
		default: // out of descriptors, or a connection that broke in the queue: neither ends the service
			slog.Warn("taking a connection", "err", err)
			f.makeRoom()
			time.Sleep(firstByteTimeout / 10)
		}
	}
}

// take begins to serve a connection, once there is room for it.
func (f *frontend) startClient(raw net.Conn) {
	for !f.makeRoom() {
		time.Sleep(firstByteTimeout / 10)
	}
	timed := &timedConn{Conn: raw}
	c := &client{httpConn: newHTTPConn(timed, 4<<10), timed: timed, acceptedAt: time.Now(), stageSince: time.Now()}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		raw.Close()
		return
	}
	f.clients[c] = struct{}{}
	f.clientsDone.Go(func() {
		f.serveClient(c)
		c.Close()
		f.mu.Lock()
		delete(f.clients, c)
		f.mu.Unlock()
	})
}

// evict tells whether there is room for one more connection. Where there is none it closes the one that is likeliest to
// be of no use, never one with a request in it. Descriptors that run out would be missed by upstreams and discovery too.
func (f *frontend) makeRoom() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.clients) < f.maxClients {
		return true
	}
	now := time.Now()
	var victim *client
	var longest time.Duration
	for c := range f.clients {
		if c.stage == clientServing || c.stage == clientEvicted {
			continue
		}
		if stalled := c.stalled(now); (c.stage == clientIdle || stalled >= firstByteTimeout) && (victim == nil || stalled > longest) {
			victim, longest = c, stalled
		}
	}
	if victim != nil {
		victim.stage = clientEvicted
		victim.Close()
		delete(f.clients, victim)
	}
	return victim != nil
}

// still is how long c has made no progress. A true client writes at once, if slowly: one that has not begun by the time
// of mute counts as still for longer than any that has.
func (c *client) stalled(now time.Time) time.Duration {
	last := c.stageSince
	if lastRead := time.Unix(0, c.timed.lastRead.Load()); lastRead.After(last) {
		last = lastRead
	}
	stalled := now.Sub(last)
	if c.stage == clientReading && !c.requestStarted && stalled >= noDataEvictAfter {
		stalled += clientIdleTimeout
	}
	return stalled
}

// enter moves c to a stage. It fails if c has been closed meanwhile, or is to go.
func (f *frontend) setStage(c *client, s clientStage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.stage == clientEvicted || (s == clientIdle && (f.closed || f.outOfService)) {
		return false
	}
	c.stage, c.stageSince, c.requestStarted = s, time.Now(), s != clientIdle
	return true
}

// drain begins or ends a drain: /healthz says no, and what still comes is served and its connection closed. Connections
// that hold nothing go once the front has had its notice, since their clients come back on new ones.
func (f *frontend) drain(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if on == f.outOfService {
		return
	}
	if f.outOfService = on; !on {
		f.drainTimer.Stop()
		slog.Info("in service")
		return
	}
	f.drainTimer = time.AfterFunc(acceptGracePeriod, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.outOfService {
			f.close(func(c *client) bool { return c.stage == clientIdle || (c.stage == clientReading && !c.requestStarted) })
		}
	})
	slog.Info("out of service")
}

// parting tells whether the answers close their connections.
func (f *frontend) closeAfterResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping || f.outOfService
}

// unwell tells whether /healthz says no. Where another process has the listener the balancer serves on.
func (f *frontend) unhealthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outOfService || (f.stopping && !f.listenerShared)
}

// serves tells whether connections are taken.
func (f *frontend) acceptsClients() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepting && !f.stopping
}

// stop ends service without losing a request: connections that are still on their way are taken, then the
// listener and idle connections are closed, and what has been taken is answered. A shared listener is left to the other
// process at once.
func (f *frontend) stop() {
	f.mu.Lock()
	f.stopping, f.killAt = true, time.Now().Add(min(f.plan.Load().MaxDeadline(), maxShutdownDeadline)+shutdownGracePeriod-firstByteTimeout)
	wait := acceptGracePeriod
	if f.listenerShared {
		wait = handoverIdlePeriod
		f.listener.Close()
	}
	f.mu.Unlock()
	time.Sleep(wait)
	f.mu.Lock()
	f.closed = true
	f.listener.Close()
	f.close(func(c *client) bool { return c.stage == clientIdle })
	f.mu.Unlock()
	time.Sleep(firstByteTimeout)
	f.mu.Lock()
	f.close(func(c *client) bool { return c.stage == clientReading && !c.requestStarted })
	f.mu.Unlock()
	f.clientsDone.Wait() // every connection has an end: its request's deadline, or a peer that stalls
}

// limit bounds the connections. Those over it that hold nothing are closed.
func (f *frontend) limit(n int) {
	f.mu.Lock()
	f.maxClients = n
	over := len(f.clients) - n
	f.mu.Unlock()
	for ; over > 0 && f.makeRoom(); over-- {
	}
}

// close closes some of the connections. The caller holds the lock.
func (f *frontend) close(match func(*client) bool) {
	for c := range f.clients {
		if match(c) {
			c.stage = clientEvicted
			c.Close()
		}
	}
}

// converse serves a connection until one side ends it. Clients send one request at a time.
func (f *frontend) serveClient(c *client) {
	wait := firstRequestTimeout
	if f.closeAfterResponse() { // a connection that holds nothing must not outlive the notice by much
		wait = acceptGracePeriod
	}
	c.SetReadDeadline(time.Now().Add(wait))
	for first := true; ; first = false {
		c.readLimit.N = maxHeadBytes
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if !f.setStage(c, clientReading) {
			return
		}
		c.timed.limited, c.timed.readingBody, c.timed.remaining = true, false, requestHeadTimeout
		if first { // what is no request is owed its word by the time of its connection
			c.timed.remaining -= time.Since(c.acceptedAt)
		}
		req, h, err := f.readRequest(c)
		if err != nil {
			c.timed.limited = false
			f.refuse(c, err)
			return
		}
		if !f.setStage(c, clientServing) || !f.serveRequest(c, req, h) || !f.setStage(c, clientIdle) {
			return
		}
		c.SetReadDeadline(time.Now().Add(clientIdleTimeout))
	}
}

// serveOne gets the answer to a request and passes it on; q is nil for a question after this balancer's health. It tells
// whether the connection may serve another one.
func (f *frontend) serveRequest(c *client, req *request, h textproto.MIMEHeader) bool {
	mustClose := func() bool { return wantsClose(h) || f.closeAfterResponse() }
	if req == nil {
		c.timed.limited = false
		resp := f.healthResponse()
		closing := mustClose()
		return c.writeResponse(resp, closing) == nil && !closing
	}
	if req.message.rest == nil { // its client may have left while the request waited to be read
		c.SetReadDeadline(time.Time{}) // the request's
		if err := quiet(c.timed.Conn); err != nil {
			f.memory.free(req.message.body)
			if errors.Is(err, errUnasked) {
				f.refuse(c, errPipelined)
			}
			return false
		}
	}
	req.Budget = f.capBudget(req.Budget)
	w := f.watchClient(c, req)
	f.post(arrived{req})
	resp, err := w.awaitResponse()
	if err != nil { // the client has gone, or what it sends is no request
		req.gone.Store(true)
		f.post(left{req})
		f.refuse(c, err)
		return false
	}
	closing := mustClose() || resp.status == http.StatusConflict
	if resp.relay != nil {
		err := c.relayResponse(resp.relay, resp.contentType, closing, w)
		return w.stop() && w.readErr != nil && err == nil && !closing
	}
	complete := w.stop()
	if err := w.readErr; complete && err == nil {
		f.refuse(c, errPipelined)
		return false
	}
	if err := c.writeResponse(resp, closing || !complete); err != nil {
		return false
	}
	if !complete {
		c.lingeringClose(earlyResponseLingerTimeout, maxBodyBytes)
	}
	return complete && !closing
}

// watcher reads from a client while its request is served: the rest of an open request's body, and then nothing, which
// shows the client's leaving. What it sends ahead is none of ours.
type clientWatcher struct {
	c        *client
	req      *request
	readDone chan error
	readErr  error // once stopped
}

func (f *frontend) watchClient(c *client, req *request) *clientWatcher {
	w := &clientWatcher{c: c, req: req, readDone: make(chan error, 1)}
	go func() {
		if req.message.rest != nil {
			if err := f.forwardBody(c, req); err != nil {
				w.readDone <- err
				return
			}
		}
		c.timed.limited = false
		c.SetReadDeadline(time.Time{})
		if c.timed.stopped.Load() { // it came before the line above
			c.SetReadDeadline(time.Unix(0, 1))
		}
		c.readLimit.N = maxHeadBytes
		_, err := c.reader.Peek(1)
		w.readDone <- err
	}()
	return w
}

// await waits for the answer, or for the client to go or to send what is no request, which is the error.
func (w *clientWatcher) awaitResponse() (clientResponse, error) {
	select {
	case resp := <-w.req.reply:
		// A fault of the body ends its attempt too. The module's answer to that may be here first, and would tell the
		// client that another try is harmless.
		if clientErr := w.req.message.rest.clientErr(); clientErr != nil && resp.status != http.StatusOK {
			return clientResponse{}, clientErr
		}
		return resp, nil
	case err := <-w.readDone:
		if err == nil {
			return clientResponse{}, errPipelined
		} else if !errors.Is(err, errBodyUnwanted) {
			return clientResponse{}, err
		}
		w.readDone <- err
		return <-w.req.reply, nil
	}
}

// stop ends the watch and tells whether the request has come whole, with nothing behind it that was looked for.
func (w *clientWatcher) stop() bool {
	rest := w.req.message.rest
	if rest != nil {
		rest.cancel()
	}
	w.c.timed.stop()
	w.readErr = <-w.readDone
	w.c.timed.stopped.Store(false)
	return rest == nil || rest.complete
}

// pump passes the rest of a body to the attempt that takes it, as fast as that reads.
func (f *frontend) forwardBody(c *client, req *request) error {
	rest := req.message.rest
	p := bodyBuffers.Get().(*bodyBuffer)
	defer bodyBuffers.Put(p)
	for total := int64(len(req.message.body)); ; {
		n, err := rest.body.Read(p.data())
		if total += int64(n); total > maxBodyBytes {
			err = errRequestTooLarge
		}
		if n > 0 && (err == nil || err == io.EOF) {
			if _, err := rest.writer.Write(p.data()[:n]); errors.Is(err, errClientClosed) {
				return err
			} else if err != nil {
				return errBodyUnwanted
			}
		}
		if err == io.EOF {
			rest.complete = true
			f.post(whole{req, f.now(), f.capBudget(req.Budget)})
			rest.writer.Close()
			return nil
		} else if err != nil {
			rest.fail(err)
			return err
		}
	}
}

// budget is how much of a client's time there is before this process is killed, if it is to be.
func (f *frontend) capBudget(budget time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return min(budget, max(0, time.Until(f.killAt)))
	}
	return budget
}

// pass passes an answer on as it comes. Where it breaks off the client sees that it is not whole.
func (c *client) relayResponse(r *relay, contentType string, closing bool, w *clientWatcher) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case err := <-w.readDone:
			w.readDone <- err
			if err != nil && !errors.Is(err, errBodyUnwanted) { // the client has gone: nobody is read for
				r.conn.Close()
			}
		case <-done:
		}
	}()
	err := c.copy(r, contentType, closing)
	r.end <- err
	return err
}

func (c *client) copy(r *relay, contentType string, closing bool) error {
	chunked := r.length < 0
	framing := "Transfer-Encoding: chunked\r\n"
	if !chunked {
		framing = fmt.Sprintf("Content-Length: %d\r\n", r.length)
	}
	if err := push(c, renderHead(clientResponse{status: http.StatusOK, contentType: contentType}, framing, closing)); err != nil {
		return err
	}
	p := bodyBuffers.Get().(*bodyBuffer)
	defer bodyBuffers.Put(p)
	for held := r.held; len(held) > 0; {
		n := copy(p.data(), held)
		held = held[n:]
		if err := push(c, p.framed(n, chunked)); err != nil {
			return err
		}
	}
	for {
		r.conn.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
		n, err := r.body.Read(p.data())
		if n > 0 {
			if err := push(c, p.framed(n, chunked)); err != nil {
				return err
			}
		}
		if err == io.EOF && chunked {
			return push(c, []byte(lastChunk))
		} else if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// health answers a question after this balancer's health.
func (f *frontend) healthResponse() clientResponse {
	if f.unhealthy() {
		return clientResponse{status: http.StatusServiceUnavailable, body: []byte("out of service\n"), contentType: "text/plain"}
	}
	reached := make(loopLivenessCheck)
	f.post(reached)
	<-reached
	return clientResponse{status: http.StatusOK, body: []byte("ok\n"), contentType: "text/plain"}
}

// turn is closed when the loop comes to it: it is alive.
type loopLivenessCheck chan struct{}

func (t loopLivenessCheck) apply(*loop) { close(t) }

// refusal is why a request never reaches the module, and what its client is told.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string { return r.reason }

func badRequest(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var (
	errRequestTooLarge = &refusal{http.StatusRequestEntityTooLarge, "the body is over the bound"}
	errPipelined       = badRequest("bytes behind a request that is not answered yet")
)

// turnAway answers a client whose request can't be served, and closes the connection: where its next request begins
// is not certain. One whose connection broke gets no answer.
func (f *frontend) refuse(c *client, err error) {
	if !f.setStage(c, clientReading) {
		return
	}
	r := &refusal{http.StatusBadRequest, err.Error()}
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		r = &refusal{http.StatusRequestTimeout, "the request did not come whole in time"}
	} else if errors.Is(err, errHeadTooLong) {
		r.status = http.StatusRequestHeaderFieldsTooLarge
	} else if !errors.As(err, &r) && !errors.Is(err, errMalformedHead) && !errors.Is(err, errAmbiguousFraming) {
		return
	}
	if c.writeResponse(clientResponse{status: r.status, body: []byte(r.reason + "\n"), contentType: "text/plain"}, true) != nil {
		return
	}
	c.lingeringClose(clientLingerTimeout, maxClientLingerBytes)
}

// lingeringClose reads and drops what a client that has its answer still sends, and waits for its close, within bounds.
func (c *client) lingeringClose(wait time.Duration, limit int64) {
	if tcp, ok := c.timed.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
		tcp.SetReadDeadline(time.Now().Add(wait))
		p := bodyBuffers.Get().(*bodyBuffer)
		defer bodyBuffers.Put(p)
		for n, err := 0, error(nil); err == nil && limit > 0; limit -= int64(n) {
			n, err = tcp.Read(p.data())
		}
	}
}

// head renders an answer's head.
func renderHead(resp clientResponse, framing string, closing bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", resp.status, http.StatusText(resp.status), framing)
	if resp.contentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", resp.contentType)
	}
	if resp.retryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %.3f\r\n", resp.retryAfter.Seconds())
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// write writes an answer. If it fails the client has gone, and can tell that the answer is not whole.
func (c *client) writeResponse(resp clientResponse, closing bool) error {
	b := renderHead(resp, fmt.Sprintf("Content-Length: %d\r\n", len(resp.body)), closing)
	if len(resp.body) <= bodyBufferSize {
		return push(c, append(b, resp.body...))
	}
	if err := push(c, b); err != nil {
		return err
	}
	return push(c, resp.body)
}

// once names the fields of which a second one would leave open which of them counts.
var singletonHeaders = []string{"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms", "Idempotency-Key",
	"X-Retry", "X-Cost-Hint", "X-Extras", "Cookie"}

// read reads a client's request; nil is a question after this balancer's health. What is malformed never reaches the
// module.
func (f *frontend) readRequest(c *client) (*request, textproto.MIMEHeader, error) {
	line, h, err := c.readHead()
	if err != nil {
		return nil, nil, err
	}
	method, rest, _ := strings.Cut(line, " ")
	target, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" {
		return nil, nil, &refusal{http.StatusHTTPVersionNotSupported, "HTTP/1.1 is wanted"}
	}
	for _, name := range singletonHeaders {
		if len(h[name]) > 1 {
			return nil, nil, badRequest("%s stands there more than once", name)
		}
	}
	if method == http.MethodGet && target == "/healthz" && h.Get("X-Request-Id") == "" {
		return nil, h, nil
	}
	req, err := f.parseRequest(method, target, h)
	if err != nil {
		return nil, nil, err
	}
	if err := f.readBody(c, req, method, h); err != nil {
		return nil, nil, err
	}
	if req.message.rest == nil && c.reader.Buffered() > 0 {
		f.memory.free(req.message.body)
		return nil, nil, errPipelined
	}
	req.at = f.now() // it counts from its last byte
	return req, h, nil
}

// readBody reads a request's body as far as it can be held. Framing that someone might read in another way is refused:
// the rest of the body would be a request of its own there.
func (f *frontend) readBody(c *client, req *request, method string, h textproto.MIMEHeader) error {
	encodings, length := h["Transfer-Encoding"], h.Get("Content-Length")
	n, ok := parseDigits(length)
	var body io.Reader
	switch {
	case len(encodings) > 0 && len(h["Content-Length"]) > 0:
		return badRequest("both Content-Length and Transfer-Encoding")
	case len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		body, n = c.newChunkedBody(), 0
	case len(encodings) > 1 || strings.Count(strings.ToLower(strings.Join(encodings, ",")), "chunked") > 1:
		return badRequest("Transfer-Encoding stands there more than once")
	case len(encodings) > 0:
		return &refusal{http.StatusNotImplemented, "no Transfer-Encoding but chunked"}
	case length == "" && method == http.MethodGet:
		return nil
	case length == "":
		return &refusal{http.StatusLengthRequired, "a Content-Length is wanted, or chunks"}
	case !ok && strings.Trim(length, "0123456789") != "":
		return badRequest("Content-Length is no number")
	case !ok || n > maxBodyBytes:
		return errRequestTooLarge
	case n > 0 && method == http.MethodGet:
		return badRequest("GET with a body")
	default:
		body = &sizedBody{c.httpConn, int64(n)}
	}
	if expects := h.Get("Expect"); strings.EqualFold(expects, "100-continue") {
		if c.reader.Buffered() == 0 {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // if it fails so does the reading
		}
	} else if expects != "" {
		return &refusal{http.StatusExpectationFailed, "nothing but 100-continue is expected here"}
	}
	c.timed.readingBody = true
	buffered, complete, err := f.memory.collect(body, always)
	if err != nil {
		return err
	}
	if req.message.body = buffered; complete && method == http.MethodGet && len(buffered) > 0 {
		f.memory.free(buffered)
		return badRequest("GET with a body")
	} else if complete {
		return nil
	}
	rest := &upload{body: body, length: int64(n), client: c.timed.Conn}
	if len(encodings) > 0 {
		rest.length = -1
	}
	rest.reader, rest.writer = io.Pipe()
	req.message.rest = rest
	return nil
}

// check reads what a request says of itself. A field that is there must be right: a guess at what was meant would be
// served in its place.
func (f *frontend) parseRequest(method, target string, h textproto.MIMEHeader) (*request, error) {
	class := f.plan.Load().Class(h.Get("X-Class"))
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	id, key := h.Get("X-Request-Id"), h.Get("Idempotency-Key")
	switch {
	case !strings.HasPrefix(target, "/") || strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return nil, badRequest("the target is no path")
	case h.Get("Host") == "":
		return nil, badRequest("Host is wanted")
	case class == nil:
		return nil, badRequest("X-Class names no known class")
	case first != class.Name:
		return nil, badRequest("the path does not begin with the class")
	case id == "":
		return nil, badRequest("X-Request-Id is wanted")
	case (class.Idempotency == garnettide.Idempotent) != (method == http.MethodGet),
		class.Idempotency != garnettide.Idempotent && method != http.MethodPost:
		return nil, badRequest("the method does not fit the class")
	case (class.Idempotency == garnettide.IdempotentByKey) != (key != ""), key == "" && len(h["Idempotency-Key"]) > 0:
		return nil, badRequest("Idempotency-Key does not fit the class")
	}
	req := &request{name: id, reply: make(chan clientResponse, 1)}
	req.Class, req.ClassSettings, req.Tenant, req.Retry = class.Name, class, h.Get("X-Tenant"), h.Get("X-Retry") == "1"
	req.Budget = class.Deadline
	if len(h["X-Deadline-Ms"]) > 0 {
		ms, ok := parseDigits(h.Get("X-Deadline-Ms"))
		if !ok || ms == 0 {
			return nil, badRequest("X-Deadline-Ms is no time")
		}
		req.Budget = time.Duration(min(ms, uint64(req.Budget.Milliseconds()))) * time.Millisecond
	}
	req.Budget = max(0, req.Budget-clientDeadlineMargin)
	if len(h["X-Cost-Hint"]) > 0 {
		us, ok := parseDigits(h.Get("X-Cost-Hint"))
		if !ok {
			return nil, badRequest("X-Cost-Hint is no number")
		}
		// Work that could not be done in the class's time is no guess to go by, and would move the mean of them.
		if us <= uint64(class.Deadline.Microseconds()) {
			req.Cost = time.Duration(us) * time.Microsecond
		}
	}
	if c, err := (&http.Request{Header: http.Header(h)}).Cookie("obj"); err == nil {
		req.HasKey = true
		if req.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
			req.Key = uint64(hashed(c.Value))
		}
	}
	for _, named := range h["Connection"] { // fields that the client meant for this connection only
		for name := range strings.SplitSeq(named, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(singletonHeaders, name) { // what the protocol wants passed on can't be taken out
				h.Del(name)
			}
		}
	}
	req.message = message{methodAndTarget: method + " " + target, header: http.Header(h), host: h.Get("Host")}
	return req, nil
}
