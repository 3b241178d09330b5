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
	// clientDeadlineMargin is subtracted from a client's deadline, which counts from when the client sent
	// the request. It covers both network directions and one iteration of the event loop.
	clientDeadlineMargin = 4 * time.Millisecond

	// acceptGracePeriod is how long connections are still accepted after SIGTERM, and how long idle ones
	// are kept after a drain begins. New ones arrive for up to 0.4 s.
	acceptGracePeriod = 450 * time.Millisecond

	// A process is killed no sooner after SIGTERM than the longest deadline of a class, capped at
	// maxShutdownDeadline, plus shutdownGracePeriod. Every accepted request must have its response by then.
	maxShutdownDeadline = 3 * time.Second
	shutdownGracePeriod = 700 * time.Millisecond
	// handoverIdlePeriod is how long idle connections are kept after SIGTERM when another process may accept
	// from the same socket. Most are used within it and closed after the response, and requests that arrive
	// in it keep their full deadlines.
	handoverIdlePeriod = 600 * time.Millisecond

	// newClientGracePeriod is how long a new connection is safe from eviction while its request has not
	// arrived, and how long the last connections accepted after SIGTERM may take to begin a request.
	newClientGracePeriod = 50 * time.Millisecond
	// noDataEvictAfter is the age at which a connection that has sent nothing becomes the first to be
	// evicted. Clients with a request have begun to send it by then, even after waiting in a full accept
	// queue.
	noDataEvictAfter = 5 * newClientGracePeriod

	// A client must get a response or a close within 3 s of connecting. firstByteTimeout applies to a
	// connection that sends nothing. requestHeadTimeout limits the total time spent waiting for a request's
	// head. Each body byte extends it at minClientBodyRate bytes per second, half the rate of the slowest
	// expected clients, up to requestHeadTimeout. Time in which the balancer does not read does not count.
	firstByteTimeout   = 2500 * time.Millisecond
	requestHeadTimeout = 2800 * time.Millisecond
	minClientBodyRate  = 32 << 10
	// clientIdleTimeout is how long a connection may be idle between two requests.
	clientIdleTimeout = 2 * time.Minute

	// bodyCheckInterval is the time between two checks of the deadline of a request whose body is not complete.
	bodyCheckInterval = 25 * time.Millisecond
	// minReadWait is the time from which a read counts as having waited for the client: nothing was left to read.
	minReadWait = time.Millisecond

	// clientLingerTimeout and maxClientLingerBytes limit how long and how much is read and discarded after
	// a request was refused. Closing at once would reset the connection, and the client could lose the
	// response.
	clientLingerTimeout  = 300 * time.Millisecond
	maxClientLingerBytes = 256 << 10
	// earlyResponseLingerTimeout applies when the response was sent before the whole body had arrived: the
	// client may read it only after sending the body.
	earlyResponseLingerTimeout = 2 * time.Second
)

// clientResponse is a response to a client.
type clientResponse struct {
	status         int
	body           []byte
	contentType    string
	retryAfter     time.Duration
	responseStream *responseStream // a streamed response's body; nil: body holds all of it
}

// clientStage is the state of a client's connection.
type clientStage uint8

const (
	clientReading clientStage = iota // waiting for or reading a request, or refusing it
	clientIdle                       // between requests
	clientServing                    // a request is in flight
	clientEvicted                    // closed by the frontend
)

// timedConn limits the time spent waiting for a client's bytes while a request is read.
type timedConn struct {
	net.Conn
	limited     bool          // false: Read sets no deadline
	readingBody bool          // bytes read extend the remaining time
	remaining   time.Duration // time that reads may still take
	stopped     atomic.Bool   // reads fail at once
	lastRead    atomic.Int64  // when bytes were last read, in Unix nanoseconds
	awaitedAt   atomic.Int64  // when the last read that had to wait for the client ended, in Unix nanoseconds
}

// Read reads from the connection. If limited is set, it fails with a timeout once remaining is used up.
func (c *timedConn) Read(b []byte) (int, error) {
	if !c.limited {
		return c.Conn.Read(b)
	}
	start := time.Now()
	c.Conn.SetReadDeadline(start.Add(c.remaining))
	if c.stopped.Load() { // checked after the deadline is set, which may have overwritten the one set by stop
		c.Conn.SetReadDeadline(time.Unix(0, 1))
	}
	n, err := c.Conn.Read(b)
	end := time.Now()
	if n > 0 {
		c.lastRead.Store(end.UnixNano())
	}
	if end.Sub(start) >= minReadWait {
		c.awaitedAt.Store(end.UnixNano())
	}
	c.remaining -= end.Sub(start)
	if c.readingBody {
		c.remaining = min(c.remaining+time.Duration(n)*time.Second/minClientBodyRate, requestHeadTimeout)
	}
	if err != nil {
		c.remaining = 0 // bufio reads again after an error within a line, which must not start a new wait
	}
	return n, err
}

// stop makes current and later reads fail with a timeout. It may be called from any goroutine.
func (c *timedConn) stop() {
	c.stopped.Store(true)
	c.Conn.SetReadDeadline(time.Unix(0, 1))
}

// client is a client's connection. frontend.mu guards stage, stageSince and requestStarted.
type client struct {
	*httpConn
	timed          *timedConn
	acceptedAt     time.Time
	requestStarted bool // bytes of a request have arrived
	stage          clientStage
	stageSince     time.Time // when the stage was entered
}

// frontend accepts client connections, passes their requests to the loop and writes the responses.
type frontend struct {
	plan           atomic.Pointer[garnettide.Plan] // the plan in force
	memory         *bodyMemory                     // shared with the loop
	post           func(event)                     // sends an event to the loop
	now            func() time.Duration            // the loop's clock
	listener       net.Listener
	listenerShared bool // another process may accept from the same listening socket

	mu           sync.Mutex
	maxClients   int // limit of client connections
	clients      map[*client]struct{}
	stopping     bool           // stop has been called: every response closes its connection
	killAt       time.Time      // when stopping, the time by which every response must be sent
	accepting    bool           // serve has been called
	closed       bool           // new and idle connections are closed
	outOfService bool           // draining: every response closes its connection
	drainTimer   *time.Timer    // closes idle connections after acceptGracePeriod of a drain
	clientsDone  sync.WaitGroup // one per client goroutine
}

func newFrontend(c *Config, listener net.Listener, l *loop) *frontend {
	f := &frontend{memory: &l.memory, now: l.now, post: l.post, listener: listener,
		listenerShared: c.InheritedFD != 0, maxClients: c.maxClientConns(), clients: map[*client]struct{}{}}
	f.plan.Store(c.Plan)
	return f
}

// serve accepts connections until stop closes the listener.
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
		default: // out of descriptors, or a connection that broke in the accept queue: keep accepting
			slog.Warn("accepting a client connection failed", "err", err)
			f.makeRoom()
			time.Sleep(newClientGracePeriod / 10)
		}
	}
}

// startClient serves a connection on a new goroutine. It waits until there is room for one.
func (f *frontend) startClient(raw net.Conn) {
	for !f.makeRoom() {
		time.Sleep(newClientGracePeriod / 10)
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

// makeRoom reports whether there is room for one more connection. If there is none, it evicts the one that
// has made no progress for longest. Connections with a request in flight are not evicted, nor are those that
// are new, or whose request is being read, and have made progress within newClientGracePeriod. Running out
// of descriptors would also fail connections to upstreams and discovery.
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
		if stalled := c.stalled(now); (c.stage == clientIdle || stalled >= newClientGracePeriod) &&
			(victim == nil || stalled > longest) {
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

// stalled returns how long c has made no progress. A connection that has sent nothing for noDataEvictAfter
// ranks above all that have sent something.
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

// setStage moves c to a stage. It reports false if c has been evicted, or if c would become idle while the
// frontend is closed or draining.
func (f *frontend) setStage(c *client, s clientStage) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.stage == clientEvicted || (s == clientIdle && (f.closed || f.outOfService)) {
		return false
	}
	c.stage, c.stageSince, c.requestStarted = s, time.Now(), s != clientIdle
	return true
}

// drain begins or ends a drain. During a drain /healthz fails, requests are still served, and every
// response closes its connection. Connections without a request are closed after acceptGracePeriod; their
// clients connect again.
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
			f.closeClients(func(c *client) bool {
				return c.stage == clientIdle || (c.stage == clientReading && !c.requestStarted)
			})
		}
	})
	slog.Info("out of service")
}

// closeAfterResponse reports whether every response closes its connection.
func (f *frontend) closeAfterResponse() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stopping || f.outOfService
}

// unhealthy reports whether /healthz fails. It does not while stopping if another process keeps serving the
// listener.
func (f *frontend) unhealthy() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.outOfService || (f.stopping && !f.listenerShared)
}

// acceptsClients reports whether connections are being accepted.
func (f *frontend) acceptsClients() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.accepting && !f.stopping
}

// stop shuts down gracefully. It keeps accepting for acceptGracePeriod, then closes the listener and the
// idle connections, and returns when every accepted request has its response. A shared listener is closed at
// once, as the other process accepts from the same socket, and idle connections are kept for
// handoverIdlePeriod.
func (f *frontend) stop() {
	f.mu.Lock()
	f.stopping, f.killAt = true, time.Now().Add(
		min(f.plan.Load().MaxDeadline(), maxShutdownDeadline)+shutdownGracePeriod-newClientGracePeriod)
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
	f.closeClients(func(c *client) bool { return c.stage == clientIdle })
	f.mu.Unlock()
	time.Sleep(newClientGracePeriod)
	f.mu.Lock()
	f.closeClients(func(c *client) bool { return c.stage == clientReading && !c.requestStarted })
	f.mu.Unlock()
	f.clientsDone.Wait() // request deadlines and I/O timeouts bound every connection
}

// setConnLimit sets the limit of client connections and evicts connections above it that have no request in
// flight.
func (f *frontend) setConnLimit(n int) {
	f.mu.Lock()
	f.maxClients = n
	over := len(f.clients) - n
	f.mu.Unlock()
	for ; over > 0 && f.makeRoom(); over-- {
	}
}

// closeClients closes the connections that match. The caller holds f.mu.
func (f *frontend) closeClients(match func(*client) bool) {
	for c := range f.clients {
		if match(c) {
			c.stage = clientEvicted
			c.Close()
		}
	}
}

// serveClient serves requests on a connection, one at a time, until either side closes it.
func (f *frontend) serveClient(c *client) {
	wait := firstByteTimeout
	if f.closeAfterResponse() { // a connection without a request must not delay the shutdown or drain
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
		if first { // the first request's time counts from the accept
			c.timed.remaining -= time.Since(c.acceptedAt)
		}
		c.timed.awaitedAt.Store(time.Now().UnixNano())
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

// serveRequest serves one request; req is nil for a health check of this balancer. It reports whether the
// connection can serve another request.
func (f *frontend) serveRequest(c *client, req *request, h textproto.MIMEHeader) bool {
	mustClose := func() bool { return wantsClose(h) || f.closeAfterResponse() }
	if req == nil {
		c.timed.limited = false
		resp := f.healthResponse()
		closing := mustClose()
		return c.writeResponse(resp, closing) == nil && !closing
	}
	if req.message.rest == nil { // the client may have closed while the request waited to be read
		c.SetReadDeadline(time.Time{})
		if err := checkNoInput(c.timed.Conn); err != nil {
			f.memory.free(req.message.body)
			if errors.Is(err, errUnexpectedBytes) {
				f.refuse(c, errPipelined)
			}
			return false
		}
	}
	req.Budget = f.capBudget(req.Budget)
	w := f.watchClient(c, req)
	f.post(requestReceived{req})
	resp, err := w.awaitResponse()
	if err != nil { // the client has closed, or its bytes are not a valid request
		req.clientGone.Store(true)
		f.post(clientLeft{req})
		f.refuse(c, err)
		return false
	}
	closing := mustClose() || resp.status == http.StatusConflict
	if resp.responseStream != nil {
		err := c.forwardResponse(resp.responseStream, resp.contentType, closing, w)
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

// clientWatcher reads from a client's connection while its request is served: first the rest of a streamed
// body, and then a peek that detects that the client has closed or has sent bytes after the request.
type clientWatcher struct {
	front    *frontend
	c        *client
	req      *request
	readDone chan error // holds the result of reading; nil: bytes after the request
	readErr  error      // that result, set by stop
}

// watchClient starts a watcher for a request.
func (f *frontend) watchClient(c *client, req *request) *clientWatcher {
	w := &clientWatcher{front: f, c: c, req: req, readDone: make(chan error, 1)}
	if rest := req.message.rest; rest != nil {
		rest.received.Store(int64(len(req.message.body)))
		rest.recordArrivals(time.Now())
	}
	go func() {
		if req.message.rest != nil {
			if err := w.forwardBody(); err != nil {
				w.readDone <- err
				return
			}
		}
		c.timed.limited = false
		c.SetReadDeadline(time.Time{})
		if c.timed.stopped.Load() { // stop may have run before the deadline was cleared
			c.SetReadDeadline(time.Unix(0, 1))
		}
		c.readLimit.N = maxHeadBytes
		_, err := c.reader.Peek(1)
		w.readDone <- err
	}()
	return w
}

// awaitResponse waits for the loop's response. It returns an error if the client closes the connection or
// sends an invalid body or bytes after the request. While the body is not complete it watches the body's deadline.
func (w *clientWatcher) awaitResponse() (clientResponse, error) {
	readDone := w.readDone
	var bodyChecks <-chan time.Time
	if w.req.message.rest != nil {
		ticker := time.NewTicker(bodyCheckInterval)
		defer ticker.Stop()
		bodyChecks = ticker.C
	}
	for {
		select {
		case resp := <-w.req.responseCh:
			// An error in the client's body also ends the attempt. The response to that may arrive first, and
			// would tell the client that a retry is safe.
			if clientErr := w.req.message.rest.clientErr(); clientErr != nil && resp.status != http.StatusOK {
				return clientResponse{}, clientErr
			}
			return resp, nil
		case err := <-readDone:
			if err == nil {
				return clientResponse{}, errPipelined
			} else if !errors.Is(err, errBodyUnwanted) {
				return clientResponse{}, err
			}
			w.readDone <- err // for stop
			readDone = nil
		case <-bodyChecks:
			if w.bodyOverdue() {
				bodyChecks = nil
				w.front.post(bodyExpired{w.req})
			}
		}
	}
}

// bodyOverdue reports whether the client's deadline may be over while the upstream takes no more of the body, or
// takes it too slowly.
func (w *clientWatcher) bodyOverdue() bool {
	rest, now := w.req.message.rest, time.Now()
	rest.recordArrivals(now)
	return rest.blocked.Load() && w.remainingBudget(now) <= 0
}

// remainingBudget returns how long the client of a streamed body still waits, if it wrote its last byte as early as
// possible. It had not written that byte when it was last awaited.
func (w *clientWatcher) remainingBudget(now time.Time) time.Duration {
	lastByteAt := w.req.message.rest.arrivals.earliestEnd()
	if awaitedAt := time.Unix(0, w.c.timed.awaitedAt.Load()); awaitedAt.After(lastByteAt) {
		lastByteAt = awaitedAt
	}
	return w.front.capBudget(w.req.Budget - now.Sub(lastByteAt))
}

// stop ends reading, sets readErr and reports whether the whole request has been received.
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

// forwardBody writes the rest of a body to the pipe that an attempt reads, and posts bodyReceived once the body
// is complete. The pipe has no buffer, so the client is read no faster than the attempt reads.
func (w *clientWatcher) forwardBody() error {
	rest := w.req.message.rest
	p := bodyBuffers.Get().(*bodyBuffer)
	defer bodyBuffers.Put(p)
	for {
		n, err := rest.body.Read(p.data())
		if rest.received.Add(int64(n)) > maxBodyBytes {
			err = errRequestTooLarge
		}
		if n > 0 && (err == nil || err == io.EOF) {
			if err := rest.write(p.data()[:n]); errors.Is(err, errClientClosed) {
				return err
			} else if err != nil {
				return errBodyUnwanted
			}
		}
		if err == io.EOF {
			rest.complete = true
			w.front.post(bodyReceived{w.req, w.front.now(), w.remainingBudget(time.Now())})
			rest.writer.Close()
			return nil
		} else if err != nil {
			rest.fail(err)
			return err
		}
	}
}

// capBudget limits a request's budget to the time left before killAt when stopping.
func (f *frontend) capBudget(budget time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return min(budget, max(0, time.Until(f.killAt)))
	}
	return budget
}

// forwardResponse streams a response to the client and sends the result to r.done. If it fails, the client can
// tell that the response is incomplete.
func (c *client) forwardResponse(r *responseStream, contentType string, closing bool, w *clientWatcher) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case err := <-w.readDone:
			w.readDone <- err
			if err != nil && !errors.Is(err, errBodyUnwanted) { // the client has closed, so the response has no reader
				r.conn.Close()
			}
		case <-done:
		}
	}()
	err := c.writeStream(r, contentType, closing)
	r.done <- err
	return err
}

// writeStream writes a streamed response's head, the buffered part of its body, and the rest as it is read
// from the upstream.
func (c *client) writeStream(r *responseStream, contentType string, closing bool) error {
	chunked := r.length < 0
	framing := "Transfer-Encoding: chunked\r\n"
	if !chunked {
		framing = fmt.Sprintf("Content-Length: %d\r\n", r.length)
	}
	if err := writeFully(c, renderHead(clientResponse{status: http.StatusOK, contentType: contentType}, framing,
		closing)); err != nil {
		return err
	}
	p := bodyBuffers.Get().(*bodyBuffer)
	defer bodyBuffers.Put(p)
	for buffered := r.buffered; len(buffered) > 0; {
		n := copy(p.data(), buffered)
		buffered = buffered[n:]
		if err := writeFully(c, p.framed(n, chunked)); err != nil {
			return err
		}
	}
	for {
		r.conn.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
		n, err := r.body.Read(p.data())
		if n > 0 {
			if err := writeFully(c, p.framed(n, chunked)); err != nil {
				return err
			}
		}
		if err == io.EOF && chunked {
			return writeFully(c, []byte(lastChunk))
		} else if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// healthResponse returns the response to a health check of this balancer. If it is in service, the response
// waits until the loop has handled an event posted for it.
func (f *frontend) healthResponse() clientResponse {
	if f.unhealthy() {
		return clientResponse{status: http.StatusServiceUnavailable, body: []byte("out of service\n"),
			contentType: "text/plain"}
	}
	reached := make(loopLivenessCheck)
	f.post(reached)
	<-reached
	return clientResponse{status: http.StatusOK, body: []byte("ok\n"), contentType: "text/plain"}
}

// loopLivenessCheck is an event that the loop closes when it handles it, which shows that the loop is
// running.
type loopLivenessCheck chan struct{}

func (t loopLivenessCheck) apply(*loop) { close(t) }

// refusal is an error for which a request is refused before it reaches the Balancer, with the status and
// text of the response.
type refusal struct {
	status int
	reason string
}

func (r *refusal) Error() string { return r.reason }

// badRequest returns a refusal with status 400.
func badRequest(format string, args ...any) error {
	return &refusal{http.StatusBadRequest, fmt.Sprintf(format, args...)}
}

var (
	errRequestTooLarge = &refusal{http.StatusRequestEntityTooLarge, "the body is over the bound"}
	errPipelined       = badRequest("bytes behind a request that is not answered yet")
)

// refuse responds to a request that can't be served. The caller then closes the connection, because the
// start of the client's next request is unknown. Connection errors get no response.
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
	if c.writeResponse(clientResponse{status: r.status, body: []byte(r.reason + "\n"),
		contentType: "text/plain"}, true) != nil {
		return
	}
	c.lingeringClose(clientLingerTimeout, maxClientLingerBytes)
}

// lingeringClose closes a TCP connection for writing, then reads and discards what the client still sends,
// until the client closes it, wait is over or limit bytes have been read.
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

// renderHead returns a response's status line and header. framing is the header line that tells how the body
// ends. closing adds "Connection: close".
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

// writeResponse writes a buffered response. On an error the client has closed or can tell that the response
// is incomplete.
func (c *client) writeResponse(resp clientResponse, closing bool) error {
	b := renderHead(resp, fmt.Sprintf("Content-Length: %d\r\n", len(resp.body)), closing)
	if len(resp.body) <= bodyBufferSize {
		return writeFully(c, append(b, resp.body...))
	}
	if err := writeFully(c, b); err != nil {
		return err
	}
	return writeFully(c, resp.body)
}

// singletonHeaders names the header fields that a request may contain only once.
var singletonHeaders = []string{"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms",
	"Idempotency-Key", "X-Retry", "X-Cost-Hint", "X-Extras", "Cookie"}

// readRequest reads and validates a client's request. A nil request without an error is a health check of
// this balancer.
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
	req.at = f.now() // the deadline counts from the request's last byte
	return req, h, nil
}

// readBody reads a request's body as far as it can be buffered. What remains is set up to be streamed.
// Framing that an upstream could interpret differently is refused, to prevent request smuggling.
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
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error also fails the read below
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

// parseRequest validates the target and the header fields and returns the request without its body. A
// malformed field is refused rather than guessed at.
func (f *frontend) parseRequest(method, target string, h textproto.MIMEHeader) (*request, error) {
	class := f.plan.Load().Class(h.Get("X-Class"))
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	id, key := h.Get("X-Request-Id"), h.Get("Idempotency-Key")
	switch {
	case !strings.HasPrefix(target, "/") ||
		strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
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
	req := &request{clientRequestID: id, responseCh: make(chan clientResponse, 1)}
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
		// A hint above the class's deadline is ignored: it would distort the average cost.
		if us <= uint64(class.Deadline.Microseconds()) {
			req.Cost = time.Duration(us) * time.Microsecond
		}
	}
	if c, err := (&http.Request{Header: http.Header(h)}).Cookie("obj"); err == nil {
		req.HasKey = true
		if req.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
			req.Key = uint64(hashText(c.Value))
		}
	}
	for _, named := range h["Connection"] { // fields that are meant for this connection only
		for name := range strings.SplitSeq(named, ",") {
			name = textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(singletonHeaders, name) { // the protocol requires these fields
				h.Del(name)
			}
		}
	}
	req.message = message{methodAndTarget: method + " " + target, header: http.Header(h), host: h.Get("Host")}
	return req, nil
}
