package proxy

import (
	"log/slog"
	"net"
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
	// evictionTimeout is how long an evicted connection may take to close.
	evictionTimeout = newClientGracePeriod / 10
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
)

// frontend accepts client connections, passes their requests to the loop and writes the responses.
type frontend struct {
	plan           atomic.Pointer[garnettide.Plan] // the plan in force
	memory         *memoryBudget                   // for buffered bodies; shared with the loop
	headMemory     *memoryBudget                   // for heads; shared with the loop
	traffic        *trafficLog                     // shared with the loop
	refusesUploads *atomic.Bool                    // no further upload is admitted; set by the loop
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
	f := &frontend{memory: &l.memory, headMemory: &l.headMemory, traffic: &l.traffic, refusesUploads: &l.transfersRefused, now: l.now, post: l.post, listener: listener,
		listenerShared: c.InheritedFD != 0, maxClients: c.Capacity(1).ClientConns, clients: map[*client]struct{}{}}
	f.plan.Store(c.Plan)
	return f
}

// serve accepts connections until stop closes the listener.
func (f *frontend) serve() error {
	f.mu.Lock()
	f.accepting = true
	f.mu.Unlock()
	listener := &persistentListener{f.listener, "clients", func() {
		f.traffic.count(acceptFailed, "")
		f.makeRoom() // it may be out of descriptors
	}}
	for {
		c, err := listener.Accept()
		if err != nil { // closed by stop
			return nil
		}
		f.startClient(c)
	}
}

// startClient serves a connection on a new goroutine. It waits until there is room for one.
func (f *frontend) startClient(raw net.Conn) {
	for !f.makeRoom() {
		time.Sleep(acceptRetryInterval)
	}
	timed := newTimedConn(raw)
	c := &client{httpConn: newHTTPConn(timed, clientReadBuffer), timed: timed, acceptedAt: time.Now(), stageSince: time.Now()}
	c.headMemory = f.headMemory
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
		if c.evicted != nil {
			f.traffic.count(clientEvicted, "")
		}
		c.endEviction()
		f.mu.Unlock()
	})
}

// setStage moves c to a stage in which a request is read or served, and withdraws an eviction: bytes of a request have
// been read, which must not be dropped.
func (f *frontend) setStage(c *client, s clientStage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	c.endEviction()
	c.stage, c.stageSince, c.requestStarted = s, time.Now(), true
}

// setClosing notes that c takes no further request and is about to be closed, so that it may be evicted.
func (f *frontend) setClosing(c *client) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if c.evicted == nil {
		c.stage, c.stageSince, c.requestStarted = clientReading, time.Now(), true
	}
}

// setIdle notes that c is between two requests. It reports false if c is to be closed, as the frontend is closed or
// draining and c has not sent its next request.
func (f *frontend) setIdle(c *client) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if (f.closed || f.outOfService) && c.reader.Buffered() == 0 {
		return false
	}
	c.stage, c.stageSince, c.requestStarted = clientIdle, time.Now(), false
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
