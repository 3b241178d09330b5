package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
	"garnettide/internal/wire"
)

// This file provides an in-memory network for balancers in a testing/synctest bubble, and the tests that need one.

// errConnRefused reports that nothing listens.
var errConnRefused = errors.New("connection refused")

// memConn is one end of an in-memory connection.
type memConn struct {
	net.Conn
	peer      *memConn
	closed    atomic.Bool
	emptyPipe *os.File // from newEmptyPipe; read in place of a connection without input
}

// memPipe returns the two ends of an in-memory connection.
func memPipe(emptyPipe *os.File) (clientEnd, serverEnd *memConn) {
	a, b := net.Pipe()
	clientEnd, serverEnd = &memConn{Conn: a, emptyPipe: emptyPipe}, &memConn{Conn: b, emptyPipe: emptyPipe}
	clientEnd.peer, serverEnd.peer = serverEnd, clientEnd
	return clientEnd, serverEnd
}

func (c *memConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *memConn) SyscallConn() (syscall.RawConn, error) { return memRawConn{c}, nil }

// memRawConn reports whether the other end is closed. It does not show bytes that the other end sends, as a
// net.Pipe has no buffer.
type memRawConn struct{ *memConn }

func (r memRawConn) Control(f func(fd uintptr)) error {
	return r.Read(func(fd uintptr) bool { f(fd); return true })
}
func (r memRawConn) Write(func(fd uintptr) bool) error { return errors.ErrUnsupported }
func (r memRawConn) Read(f func(fd uintptr) bool) error {
	if r.peer.closed.Load() {
		return io.EOF
	}
	raw, err := r.emptyPipe.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { f(fd); return true })
}

// memListener accepts the connections made by dial.
type memListener struct {
	conns     chan net.Conn
	closed    chan struct{}
	once      sync.Once
	emptyPipe *os.File
}

// newMemListener returns an open listener.
func newMemListener(emptyPipe *os.File) *memListener {
	return &memListener{conns: make(chan net.Conn), closed: make(chan struct{}), emptyPipe: emptyPipe}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error   { l.once.Do(func() { close(l.closed) }); return nil }
func (l *memListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client's end of a new connection once it has been accepted.
func (l *memListener) dial() (net.Conn, error) {
	clientEnd, serverEnd := memPipe(l.emptyPipe)
	select {
	case l.conns <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		return nil, errConnRefused
	}
}

// newEmptyPipe returns the read end of an open pipe that is never written to.
func newEmptyPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close(); w.Close() })
	return r
}

// memUpstream is an in-memory upstream. It counts requests when their first byte arrives.
type memUpstream struct {
	address         string
	requestsStarted atomic.Int32
	respond         func(c net.Conn, r *http.Request) bool
	serve           func(c net.Conn) // if set, serves connections instead of respond
	emptyPipe       *os.File
}

// dial returns the client's end of a new connection and serves the other end.
func (u *memUpstream) dial() net.Conn {
	clientEnd, serverEnd := memPipe(u.emptyPipe)
	go func() {
		defer serverEnd.Close()
		if u.serve != nil {
			u.serve(serverEnd)
			return
		}
		for in := bufio.NewReader(serverEnd); ; {
			if _, err := in.Peek(1); err != nil {
				return
			}
			u.requestsStarted.Add(1)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if io.Copy(io.Discard, r.Body); !u.respond(serverEnd, r) {
				return
			}
		}
	}()
	return clientEnd
}

// member returns the list entry of the upstream, as active.
func (u *memUpstream) member(id string) member {
	return member{ID: id, HostPort: u.address, Locality: "z1", Phase: "up", Size: 1}
}

// dialBlocked blocks until ctx ends, so that only the test provides lists.
func dialBlocked(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// memBalancer is a loop and a frontend in a bubble, with in-memory upstreams.
type memBalancer struct {
	*loop
	cancel       context.CancelFunc
	front        *frontend
	memUpstreams map[string]*memUpstream // by address
	connectGate  chan struct{}           // connections to upstreams open once it is closed
	emptyPipe    *os.File
}

// memBalancerConfig returns a configuration without a cached list, which modify has changed.
func memBalancerConfig(t *testing.T, modify func(*Config, *garnettide.Settings)) Config {
	t.Helper()
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	settings, _, err := wire.DecodeSettings([]byte(settingsText))
	if err != nil {
		t.Fatal(err)
	}
	c.CachedList = discoveryList{}
	modify(&c, &settings)
	if c.Plan, err = garnettide.NewPlan(settings, func() {}); err != nil {
		t.Fatal(err)
	}
	return c
}

// newMemBalancer starts a balancer with the configuration of memBalancerConfig. Its discovery client connects
// with dialDiscovery.
func newMemBalancer(t *testing.T, emptyPipe *os.File,
	dialDiscovery func(context.Context, string, string) (net.Conn, error),
	modify func(*Config, *garnettide.Settings)) *memBalancer {
	t.Helper()
	c := memBalancerConfig(t, modify)
	ctx, cancel := context.WithCancel(t.Context())
	b := &memBalancer{loop: newLoop(ctx, &c), cancel: cancel, memUpstreams: map[string]*memUpstream{},
		connectGate: make(chan struct{}), emptyPipe: emptyPipe}
	b.discoveryClient.dial = dialDiscovery
	b.transport.open = func(_, address string, _ time.Duration) (net.Conn, error) {
		<-b.connectGate
		return b.memUpstreams[address].dial(), nil
	}
	b.start(&c, nil)
	b.front = newFrontend(&c, newMemListener(emptyPipe), b.loop)
	go b.run()
	return b
}

// addUpstream adds an upstream to the network. It receives no requests until a list names it. respond is as
// in newTestUpstream.
func (b *memBalancer) addUpstream(respond func(net.Conn, *http.Request) bool) *memUpstream {
	u := &memUpstream{address: fmt.Sprintf("127.0.0.1:%d", 9000+len(b.memUpstreams)), respond: respond,
		emptyPipe: b.emptyPipe}
	b.memUpstreams[u.address] = u
	return u
}

// sendList passes a complete list to the loop, as if discovery had sent it.
func (b *memBalancer) sendList(revision uint64, members ...member) {
	b.listUpdates <- listUpdate{from: b.discoveryClient,
		discoveryList: discoveryList{Revision: revision, Complete: true, Members: members}}
}

// requestsStarted returns how many requests have started at all upstreams.
func (b *memBalancer) requestsStarted() (n int) {
	for _, u := range b.memUpstreams {
		n += int(u.requestsStarted.Load())
	}
	return n
}

// runOnLoop runs a function on the loop and waits until it has returned.
func (b *memBalancer) runOnLoop(fn func(*loop)) {
	call := adminLoopCall{fn, make(chan struct{})}
	b.adminCalls <- call
	<-call.done
}

// upstreamConns returns how many connections to upstreams the loop counts.
func (b *memBalancer) upstreamConns() (n int) {
	b.runOnLoop(func(l *loop) { n = l.connCount })
	return n
}

// TestNoAttemptStartsAfterClientLeaves guards against starting an attempt more than 0.1 s after the client
// has left: one of a queued request, one that waits for its connection, a retry or a hedge. With a client
// that stays, each of them starts.
func TestNoAttemptStartsAfterClientLeaves(t *testing.T) {
	const detectionLimit = 100 * time.Millisecond
	for name, c := range map[string]struct {
		class           string
		requestsStarted int // by the time the client leaves
		// prepare brings a request to the state of the case, and returns a function that lets the attempt start.
		prepare func(b *memBalancer, sendRequest func()) (startAttempt func())
	}{
		"queued": {"checkin", 0, func(b *memBalancer, sendRequest func()) func() {
			close(b.connectGate)
			u := b.addUpstream(respondOK)
			sendRequest()
			return func() { b.sendList(50, u.member("s-00000001")) }
		}},
		"waits for its connection": {"checkin", 0, func(b *memBalancer, sendRequest func()) func() {
			b.sendList(50, b.addUpstream(respondOK).member("s-00000001"))
			sendRequest()
			return func() { close(b.connectGate) }
		}},
		"retry": {"pay", 1, func(b *memBalancer, sendRequest func()) func() {
			close(b.connectGate)
			fail := make(chan struct{})
			failFirst := func(c net.Conn, r *http.Request) bool {
				if b.requestsStarted() == 1 {
					<-fail
					return false
				}
				return respondOK(c, r)
			}
			b.sendList(50, b.addUpstream(failFirst).member("s-00000001"), b.addUpstream(failFirst).member("s-00000002"))
			sendRequest()
			return func() { close(fail) }
		}},
		"hedge": {"pay", 1, func(b *memBalancer, sendRequest func()) func() {
			close(b.connectGate)
			neverRespond := func(c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false }
			b.sendList(50, b.addUpstream(neverRespond).member("s-00000001"),
				b.addUpstream(neverRespond).member("s-00000002"))
			sendRequest()
			return func() {} // the Balancer hedges when the first attempt is late
		}},
	} {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leaves %v", name, leaves), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newMemBalancer(t, newEmptyPipe(t), dialBlocked,
						func(_ *Config, s *garnettide.Settings) { s.Limits.Hedging = true })
					clientEnd, serverEnd := memPipe(b.emptyPipe)
					startAttempt := c.prepare(b, func() {
						synctest.Wait() // for the list to be applied
						b.front.startClient(serverEnd)
						key := ""
						if c.class == "pay" {
							key = "Idempotency-Key: 1\r\n"
						}
						fmt.Fprintf(clientEnd, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nX-Class: %s\r\n%sX-Deadline-Ms: 4000\r\n"+
							"Content-Length: 0\r\n\r\n", c.class, c.class, key)
						synctest.Wait()
					})
					want(t, "requests started at first", b.requestsStarted(), c.requestsStarted)
					if leaves {
						clientEnd.Close()
					} else {
						go io.Copy(io.Discard, clientEnd)
					}
					time.Sleep(detectionLimit)
					startAttempt()
					time.Sleep(3 * time.Second)
					synctest.Wait()
					if leaves {
						want(t, "requests started after the client had left", b.requestsStarted(), c.requestsStarted)
					} else {
						want(t, "requests started while the client waits", b.requestsStarted(), c.requestsStarted+1)
					}
					clientEnd.Close()
					time.Sleep(2 * lateResponseTimeout) // late responses are no longer awaited
					b.cancel()
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// TestNoAttemptStartsAfterClientOfLargeUploadLeaves guards against starting an attempt after the client of an
// upload that exceeds the buffer has left. The client is not read until an attempt takes the body, so the
// close, which follows unread bytes, has to be detected without a read.
func TestNoAttemptStartsAfterClientOfLargeUploadLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
		close(b.connectGate)
		u := b.addUpstream(respondOK)
		clientEnd, serverEnd := memPipe(b.emptyPipe)
		b.front.startClient(serverEnd)
		go fmt.Fprintf(clientEnd, "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nX-Class: checkin\r\nContent-Length: %d\r\n\r\n%s",
			3*maxBufferedBody, make([]byte, 3*maxBufferedBody))
		synctest.Wait()
		clientEnd.Close()
		time.Sleep(100 * time.Millisecond)
		b.sendList(50, u.member("s-00000001"))
		time.Sleep(10 * time.Second)
		want(t, "requests started after the client had left", b.requestsStarted(), 0)
		b.cancel()
		time.Sleep(time.Second)
	})
}

// connectClient opens a client connection.
func (b *memBalancer) connectClient() *memConn {
	clientEnd, serverEnd := memPipe(b.emptyPipe)
	b.front.startClient(serverEnd)
	return clientEnd
}

// expireAndStop waits until late responses are no longer awaited, and stops the balancer.
func (b *memBalancer) expireAndStop() {
	time.Sleep(2 * lateResponseTimeout)
	b.cancel()
	time.Sleep(time.Second)
}

// memDiscovery is an in-memory discovery server. Its list has one upstream, and a revision that the test raises.
type memDiscovery struct {
	listener        *memListener
	mu              sync.Mutex
	outage          func(ctx context.Context) (net.Conn, error) // replaces connecting; nil: discovery can be reached
	revision        uint64
	revisionChanged chan struct{} // closed when the revision is raised
	conns           map[net.Conn]bool
	callDuration    time.Duration // time to serve a call; calls are served one at a time
	busyUntil       time.Time
}

// maxQueueWait is how long a call may wait for earlier ones before it fails. A failed call takes callDuration
// all the same.
const maxQueueWait = 2 * time.Second

// newMemDiscovery starts a discovery server with revision 1, which ends with the test.
func newMemDiscovery(t *testing.T, emptyPipe *os.File) *memDiscovery {
	d := &memDiscovery{listener: newMemListener(emptyPipe), revision: 1, revisionChanged: make(chan struct{}),
		conns: map[net.Conn]bool{}}
	s := &http.Server{Handler: d}
	go s.Serve(d.listener)
	t.Cleanup(func() { s.Close() })
	return d
}

// dial connects to the server, or calls outage instead if it is set.
func (d *memDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.mu.Lock()
	outage := d.outage
	d.mu.Unlock()
	if outage != nil {
		return outage(ctx)
	}
	c, err := d.listener.dial()
	if err == nil {
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
	}
	return c, err
}

// ServeHTTP answers a call with the list. A watch call of the current revision is held until the revision is
// raised or its timeout is over. A call that would wait for earlier ones longer than maxQueueWait gets a 503.
func (d *memDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	revisionChanged, upToDate := d.revisionChanged, r.FormValue("since") == fmt.Sprint(d.revision)
	if now := time.Now(); d.busyUntil.Before(now) {
		d.busyUntil = now
	}
	d.busyUntil = d.busyUntil.Add(d.callDuration)
	queueWait := time.Until(d.busyUntil)
	d.mu.Unlock()
	if queueWait > maxQueueWait {
		time.Sleep(maxQueueWait)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(queueWait)
	if ms, _ := strconv.Atoi(r.FormValue("timeout_ms")); upToDate && ms > 0 {
		select {
		case <-revisionChanged:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(w, `{"revision":%d,"complete":true,"members":[{"id":"s-00000001","host_port":"127.0.0.1:1","phase":"up"}]}`,
		d.revision)
}

// startOutage closes all connections; outage replaces connecting from then on.
func (d *memDiscovery) startOutage(outage func(context.Context) (net.Conn, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = outage
	for c := range d.conns {
		c.Close()
		delete(d.conns, c)
	}
}

// endOutage makes discovery reachable again and raises its revision.
func (d *memDiscovery) endOutage() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outage = nil
	d.revision++
	close(d.revisionChanged)
	d.revisionChanged = make(chan struct{})
}

// TestDiscoveryRecoversAfterFailedCalls guards against getting a new list later than 6 s after discovery can
// be reached again, however the calls in between failed. Unanswered calls are tested only for a new process
// without a list: later they are silent watches, with a timeout of their own.
func TestDiscoveryRecoversAfterFailedCalls(t *testing.T) {
	const deliveryLimit = 6 * time.Second
	respondAfter := func(delay time.Duration, text string) func(context.Context) (net.Conn, error) {
		return func(context.Context) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			go func() {
				http.ReadRequest(bufio.NewReader(serverEnd))
				time.Sleep(delay)
				io.WriteString(serverEnd, text)
				serverEnd.Close()
			}()
			return clientEnd, nil
		}
	}
	for name, c := range map[string]struct {
		outage   func(context.Context) (net.Conn, error)
		noAnswer bool
	}{
		"refused":       {func(context.Context) (net.Conn, error) { return nil, errConnRefused }, false},
		"no connection": {func(ctx context.Context) (net.Conn, error) { return dialBlocked(ctx, "", "") }, false},
		"failed": {respondAfter(2*time.Second, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
			false},
		"reset":     {respondAfter(time.Second, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"), false},
		"no answer": {respondAfter(time.Minute, ""), true},
	} {
		for _, newProcess := range []bool{false, true} {
			if c.noAnswer && !newProcess {
				continue
			}
			t.Run(fmt.Sprintf("%s, new process %v", name, newProcess), func(t *testing.T) {
				for _, outageLength := range []time.Duration{time.Second / 10, time.Second / 2, 4 * time.Second,
					8 * time.Second, 21 * time.Second, 61 * time.Second} {
					for seed := range uint64(4) {
						synctest.Test(t, func(t *testing.T) {
							d := newMemDiscovery(t, newEmptyPipe(t))
							if newProcess {
								d.startOutage(c.outage)
							}
							b := newMemBalancer(t, d.listener.emptyPipe, d.dial,
								func(cfg *Config, s *garnettide.Settings) {
									cfg.Seed, s.Requirements.MaxDiscoveryInterval, s.Balancers = seed,
										20*time.Second, 300
									if newProcess { // its first call is made at once, without an earlier revision
										cfg.InheritedFD, s.Balancers = minInheritedFD, 1
									}
								})
							if !newProcess {
								time.Sleep(time.Minute)
								want(t, "revision before the outage", b.appliedRevision(), 1)
								d.startOutage(c.outage)
							}
							time.Sleep(outageLength)
							d.endOutage()
							time.Sleep(deliveryLimit)
							if got := b.appliedRevision(); got != 2 {
								t.Errorf("outage of %v, seed %d: no new list %v after its end", outageLength, seed,
									deliveryLimit)
							}
							b.cancel()
							time.Sleep(2 * time.Minute) // for pending calls to end
						})
					}
				}
			})
		}
	}
}

// appliedRevision returns the revision of the list that the loop has applied.
func (b *memBalancer) appliedRevision() (revision int) {
	b.runOnLoop(func(l *loop) { revision = int(l.revision) })
	return revision
}

// TestRestartedBalancersAreReadyInTime guards against slow starts: of balancers that are restarted or
// replaced at the same time, nine in ten must be ready within 10 s, while discovery serves their calls one at
// a time or, if they have a cached list, cannot be reached.
func TestRestartedBalancersAreReadyInTime(t *testing.T) {
	const limit = 10 * time.Second
	for name, c := range map[string]struct {
		callDuration  time.Duration
		outage        func(context.Context) (net.Conn, error)
		hasCachedList bool
	}{
		"one at a time":                      {60 * time.Millisecond, nil, true},
		"one at a time, without cached list": {30 * time.Millisecond, nil, false},
		"refused": {0, func(context.Context) (net.Conn, error) {
			return nil, errConnRefused
		}, true},
		"no connection": {0, func(ctx context.Context) (net.Conn, error) {
			return dialBlocked(ctx, "", "")
		}, true},
	} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, replaced %v", name, replaced), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const balancers = 100
					emptyPipe := newEmptyPipe(t)
					d := newMemDiscovery(t, emptyPipe)
					d.callDuration, d.outage = c.callDuration, c.outage
					ctx, stop := context.WithCancel(t.Context())
					u := &memUpstream{address: "127.0.0.1:1", respond: respondOK, emptyPipe: emptyPipe}
					var ready atomic.Int32
					var running, polling sync.WaitGroup
					for rank := range balancers {
						cfg := memBalancerConfig(t, func(cfg *Config, s *garnettide.Settings) {
							cfg.Seed, s.Balancers, s.Rank = uint64(rank), balancers, rank
							s.Requirements.MaxDiscoveryInterval = 10 * time.Second
						})
						if cfg.CachedList = (discoveryList{}); c.hasCachedList {
							cfg.CachedList = discoveryList{Revision: 1, Complete: true,
								Members: []member{u.member("s-00000001")}}
						}
						if replaced {
							cfg.InheritedFD = minInheritedFD
						}
						listener, loops := newMemListener(emptyPipe), make(chan *loop, 1)
						running.Go(func() {
							if err := run(ctx, cfg, listener, nil, func(l *loop) {
								l.discoveryClient.dial = d.dial
								l.transport.open = func(string, string, time.Duration) (net.Conn, error) {
									return u.dial(), nil
								}
								loops <- l
							}); err != nil {
								t.Error(err)
							}
						})
						polling.Go(func() {
							l := <-loops
							for start := time.Now(); time.Since(start) < limit; time.Sleep(100 * time.Millisecond) {
								checked := make(chan struct{})
								var reason string
								l.adminCalls <- adminLoopCall{fn: func(l *loop) { reason = l.missing() }, done: checked}
								<-checked
								if reason == "" && healthy(listener) {
									ready.Add(1)
									break
								}
							}
						})
					}
					polling.Wait()
					if n := ready.Load(); n < balancers*9/10 {
						t.Errorf("got %d of %d balancers ready after %v, want nine in ten", n, balancers, limit)
					}
					stop()
					running.Wait()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// healthy reports whether a health check on a new connection succeeds.
func healthy(listener *memListener) bool {
	c, err := listener.dial()
	if err != nil {
		return false
	}
	defer c.Close()
	io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return false
	}
	io.Copy(io.Discard, r.Body)
	return r.StatusCode == http.StatusOK
}
