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

// A network within the process, for balancers whose clock is a bubble's of testing/synctest.

// errRefused says that nobody listens.
var errRefused = errors.New("connection refused")

// memConn is one end of a connection within the process.
type memConn struct {
	net.Conn
	peer   *memConn
	closed atomic.Bool
	silent *os.File // an open pipe in which nothing ever comes
}

// memPipe returns the two ends of a connection.
func memPipe(silent *os.File) (ours, theirs *memConn) {
	a, b := net.Pipe()
	ours, theirs = &memConn{Conn: a, silent: silent}, &memConn{Conn: b, silent: silent}
	ours.peer, theirs.peer = theirs, ours
	return ours, theirs
}

func (c *memConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

func (c *memConn) SyscallConn() (syscall.RawConn, error) { return memRaw{c}, nil }

// memRaw shows whether the other end is closed. What it sends is not seen: a pipe holds nothing.
type memRaw struct{ *memConn }

func (r memRaw) Control(f func(fd uintptr)) error {
	return r.Read(func(fd uintptr) bool { f(fd); return true })
}
func (r memRaw) Write(func(fd uintptr) bool) error { return errors.ErrUnsupported }
func (r memRaw) Read(f func(fd uintptr) bool) error {
	if r.peer.closed.Load() {
		return io.EOF
	}
	raw, err := r.silent.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Read(func(fd uintptr) bool { f(fd); return true })
}

// memListener takes connections that dial makes.
type memListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
	silent *os.File
}

func newMemListener(silent *os.File) *memListener {
	return &memListener{conns: make(chan net.Conn), closed: make(chan struct{}), silent: silent}
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

func (l *memListener) dial() (net.Conn, error) {
	ours, theirs := memPipe(l.silent)
	select {
	case l.conns <- theirs:
		return ours, nil
	case <-l.closed:
		return nil, errRefused
	}
}

// silentPipe is what memConn asks whether bytes have come.
func silentPipe(t *testing.T) *os.File {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.Close(); w.Close() })
	return r
}

// memUpstream is an upstream within the process. It counts the requests that begin, by their first byte.
type memUpstream struct {
	address string
	begun   atomic.Int32
	answer  func(c net.Conn, r *http.Request) bool
	serve   func(c net.Conn) // takes the place of reading requests for answer
	silent  *os.File
}

func (u *memUpstream) dial() net.Conn {
	ours, theirs := memPipe(u.silent)
	go func() {
		defer theirs.Close()
		if u.serve != nil {
			u.serve(theirs)
			return
		}
		for in := bufio.NewReader(theirs); ; {
			if _, err := in.Peek(1); err != nil {
				return
			}
			u.begun.Add(1)
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			if io.Copy(io.Discard, r.Body); !u.answer(theirs, r) {
				return
			}
		}
	}()
	return ours
}

func (u *memUpstream) member(id string) member {
	return member{ID: id, HostPort: u.address, Locality: "z1", Phase: "up", Size: 1}
}

// noDiscovery does not let a connection come up: there is no news but what a test tells.
func noDiscovery(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// virtual is a loop and a front in a bubble, before upstreams within the process.
type virtual struct {
	*loop
	end    context.CancelFunc
	front  *frontend
	ups    map[string]*memUpstream
	gate   chan struct{} // connections to upstreams come up once it is closed
	silent *os.File
}

// virtualConfig is a configuration without a list, with the settings that set leaves.
func virtualConfig(t *testing.T, set func(*Config, *garnettide.Settings)) Config {
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
	set(&c, &settings)
	if c.Plan, err = garnettide.NewPlan(settings, func() {}); err != nil {
		t.Fatal(err)
	}
	return c
}

func newVirtual(t *testing.T, silent *os.File, discovery func(context.Context, string, string) (net.Conn, error),
	set func(*Config, *garnettide.Settings)) *virtual {
	t.Helper()
	c := virtualConfig(t, set)
	ctx, end := context.WithCancel(t.Context())
	v := &virtual{loop: newLoop(ctx, &c), end: end, ups: map[string]*memUpstream{}, gate: make(chan struct{}), silent: silent}
	v.discoveryClient.dial = discovery
	v.transport.open = func(_, address string, _ time.Duration) (net.Conn, error) {
		<-v.gate
		return v.ups[address].dial(), nil
	}
	v.start(&c, nil)
	v.front = newFrontend(&c, newMemListener(silent), v.loop)
	go v.run()
	return v
}

func (v *virtual) upstream(answer func(net.Conn, *http.Request) bool) *memUpstream {
	u := &memUpstream{address: fmt.Sprintf("127.0.0.1:%d", 9000+len(v.ups)), answer: answer, silent: v.silent}
	v.ups[u.address] = u
	return u
}

func (v *virtual) tell(revision uint64, members ...member) {
	v.listUpdates <- listUpdate{from: v.discoveryClient, discoveryList: discoveryList{Revision: revision, Complete: true, Members: members}}
}

// begun is how many requests have begun at all upstreams.
func (v *virtual) begun() (n int) {
	for _, u := range v.ups {
		n += int(u.begun.Load())
	}
	return n
}

// A client that has gone is known to have within 0.1 s: no attempt begins later, be its request held, on its way to an
// upstream whose connection is not up yet, to be repeated after a failure, or owed a second copy. With a client that stays
// each of them begins.
func TestNothingBeginsOnceItsClientHasGone(t *testing.T) {
	const notice = 100 * time.Millisecond
	for name, c := range map[string]struct {
		class string
		begun int // by the time that the client goes
		// meet brings a request to its state, and returns what lets the attempt in question begin.
		meet func(v *virtual, request func()) (begin func())
	}{
		"held": {"checkin", 0, func(v *virtual, request func()) func() {
			close(v.gate)
			u := v.upstream(respondOK)
			request()
			return func() { v.tell(50, u.member("s-00000001")) }
		}},
		"its connection comes up late": {"checkin", 0, func(v *virtual, request func()) func() {
			v.tell(50, v.upstream(respondOK).member("s-00000001"))
			request()
			return func() { close(v.gate) }
		}},
		"repeated": {"pay", 1, func(v *virtual, request func()) func() {
			close(v.gate)
			fail := make(chan struct{})
			once := func(c net.Conn, r *http.Request) bool {
				if v.begun() == 1 {
					<-fail
					return false
				}
				return respondOK(c, r)
			}
			v.tell(50, v.upstream(once).member("s-00000001"), v.upstream(once).member("s-00000002"))
			request()
			return func() { close(fail) }
		}},
		"copied": {"pay", 1, func(v *virtual, request func()) func() {
			close(v.gate)
			hangs := func(c net.Conn, _ *http.Request) bool { io.Copy(io.Discard, c); return false }
			v.tell(50, v.upstream(hangs).member("s-00000001"), v.upstream(hangs).member("s-00000002"))
			request()
			return func() {} // in time the module takes the first one for silent
		}},
	} {
		for _, leaves := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, leaves %v", name, leaves), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					v := newVirtual(t, silentPipe(t), noDiscovery, func(_ *Config, s *garnettide.Settings) { s.Limits.Hedging = true })
					ours, theirs := memPipe(v.silent)
					begin := c.meet(v, func() {
						synctest.Wait() // the list
						v.front.startClient(theirs)
						key := ""
						if c.class == "pay" {
							key = "Idempotency-Key: 1\r\n"
						}
						fmt.Fprintf(ours, "POST /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nX-Class: %s\r\n%sX-Deadline-Ms: 4000\r\n"+
							"Content-Length: 0\r\n\r\n", c.class, c.class, key)
						synctest.Wait()
					})
					want(t, "begun at first", v.begun(), c.begun)
					if leaves {
						ours.Close()
					} else {
						go io.Copy(io.Discard, ours)
					}
					time.Sleep(notice)
					begin()
					time.Sleep(3 * time.Second)
					synctest.Wait()
					if leaves {
						want(t, "begun once the client had gone", v.begun(), c.begun)
					} else {
						want(t, "begun while the client waits", v.begun(), c.begun+1)
					}
					ours.Close()
					time.Sleep(2 * lateResponseTimeout) // what hangs is given up
					v.end()
					time.Sleep(time.Second)
				})
			})
		}
	}
}

// The same for a request whose body is more than can be held: nobody reads its client on until an attempt takes the body.
// The test counted one request that began 0.1 s after its client's close: the close lies behind bytes of the body, so that
// no read shows it, and an attempt that was written went by what reading had shown. The system tells of it without a read.
func TestNothingBeginsOnceTheClientOfAHeldUploadHasGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, silentPipe(t), noDiscovery, func(*Config, *garnettide.Settings) {})
		close(v.gate)
		u := v.upstream(respondOK)
		ours, theirs := memPipe(v.silent)
		v.front.startClient(theirs)
		go fmt.Fprintf(ours, "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Request-Id: 1\r\nX-Class: checkin\r\nContent-Length: %d\r\n\r\n%s",
			3*maxBufferedBody, make([]byte, 3*maxBufferedBody))
		synctest.Wait()
		ours.Close()
		time.Sleep(100 * time.Millisecond)
		v.tell(50, u.member("s-00000001"))
		time.Sleep(10 * time.Second)
		want(t, "begun once the client had gone", v.begun(), 0)
		v.end()
		time.Sleep(time.Second)
	})
}

// meet opens a client's connection.
func (v *virtual) meet() *memConn {
	ours, theirs := memPipe(v.silent)
	v.front.startClient(theirs)
	return ours
}

// rest lets what hangs be given up, and ends all.
func (v *virtual) rest() {
	time.Sleep(2 * lateResponseTimeout)
	v.end()
	time.Sleep(time.Second)
}

// memDiscovery is a discovery within the process. It has one upstream, under a revision that a test raises.
type memDiscovery struct {
	listener *memListener
	mu       sync.Mutex
	down     func(ctx context.Context) (net.Conn, error) // what a call meets; nil: an answer
	revision uint64
	news     chan struct{} // closed when the revision is raised, or discovery goes down
	conns    map[net.Conn]bool
	each     time.Duration // of its time for a call: calls are served in turn
	freeAt   time.Time
}

// callWaits is how long a call may wait for its turn. Discovery works on it all the same.
const callWaits = 2 * time.Second

func newMemDiscovery(t *testing.T, silent *os.File) *memDiscovery {
	d := &memDiscovery{listener: newMemListener(silent), revision: 1, news: make(chan struct{}), conns: map[net.Conn]bool{}}
	s := &http.Server{Handler: d}
	go s.Serve(d.listener)
	t.Cleanup(func() { s.Close() })
	return d
}

func (d *memDiscovery) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down != nil {
		return down(ctx)
	}
	c, err := d.listener.dial()
	if err == nil {
		d.mu.Lock()
		d.conns[c] = true
		d.mu.Unlock()
	}
	return c, err
}

func (d *memDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	news, held := d.news, r.FormValue("since") == fmt.Sprint(d.revision)
	if now := time.Now(); d.freeAt.Before(now) {
		d.freeAt = now
	}
	d.freeAt = d.freeAt.Add(d.each)
	turn := time.Until(d.freeAt)
	d.mu.Unlock()
	if turn > callWaits {
		time.Sleep(callWaits)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(turn)
	if ms, _ := strconv.Atoi(r.FormValue("timeout_ms")); held && ms > 0 {
		select {
		case <-news:
		case <-time.After(time.Duration(ms) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(w, `{"revision":%d,"complete":true,"members":[{"id":"s-00000001","host_port":"127.0.0.1:1","phase":"up"}]}`, d.revision)
}

// lose ends all connections; calls meet down from here on.
func (d *memDiscovery) lose(down func(context.Context) (net.Conn, error)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	for c := range d.conns {
		c.Close()
		delete(d.conns, c)
	}
}

// back makes discovery reachable, with news.
func (d *memDiscovery) back() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = nil
	d.revision++
	close(d.news)
	d.news = make(chan struct{})
}

// A balancer has the news 6 s after discovery can be reached again, however its calls have ended meanwhile: refused, given
// up because no connection comes up, failed or reset; with no list of its discovery yet, also given up for want of an
// answer. With one, a call that is taken and not answered is a silent watch, which has a clock of its own.
func TestDiscoveryIsHeardInTimeAfterFailedCalls(t *testing.T) {
	const told = 6 * time.Second
	says := func(after time.Duration, text string) func(context.Context) (net.Conn, error) {
		return func(context.Context) (net.Conn, error) {
			ours, theirs := net.Pipe()
			go func() {
				http.ReadRequest(bufio.NewReader(theirs))
				time.Sleep(after)
				io.WriteString(theirs, text)
				theirs.Close()
			}()
			return ours, nil
		}
	}
	for name, c := range map[string]struct {
		down   func(context.Context) (net.Conn, error)
		silent bool
	}{
		"refused":       {func(context.Context) (net.Conn, error) { return nil, errRefused }, false},
		"no connection": {func(ctx context.Context) (net.Conn, error) { return noDiscovery(ctx, "", "") }, false},
		"failed":        {says(2*time.Second, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"), false},
		"reset":         {says(time.Second, "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"), false},
		"no answer":     {says(time.Minute, ""), true},
	} {
		for _, young := range []bool{false, true} {
			if c.silent && !young {
				continue
			}
			t.Run(fmt.Sprintf("%s, young %v", name, young), func(t *testing.T) {
				for _, lasts := range []time.Duration{time.Second / 10, time.Second / 2, 4 * time.Second, 8 * time.Second, 21 * time.Second, 61 * time.Second} {
					for seed := range uint64(4) {
						synctest.Test(t, func(t *testing.T) {
							d := newMemDiscovery(t, silentPipe(t))
							if young {
								d.lose(c.down)
							}
							v := newVirtual(t, d.listener.silent, d.dial, func(x *Config, s *garnettide.Settings) {
								x.Seed, s.Requirements.MaxDiscoveryInterval, s.Balancers = seed, 20*time.Second, 300
								if young { // its first call comes at once, and has no list to go on from
									x.InheritedFD, s.Balancers = minInheritedFD, 1
								}
							})
							if !young {
								time.Sleep(time.Minute)
								want(t, "revision at first", v.revisionHeld(), 1)
								d.lose(c.down)
							}
							time.Sleep(lasts)
							d.back()
							time.Sleep(told)
							if got := v.revisionHeld(); got != 2 {
								t.Errorf("%v without discovery, seed %d: the news is not heard %v after its return", lasts, seed, told)
							}
							v.end()
							time.Sleep(2 * time.Minute) // the calls that still hang
						})
					}
				}
			})
		}
	}
}

// revisionHeld is that of the list that the loop goes by.
func (v *virtual) revisionHeld() (revision int) {
	done := make(chan struct{})
	v.adminCalls <- adminLoopCall{fn: func(l *loop) { revision = int(l.revision) }, done: done}
	<-done
	return revision
}

// Nine in ten of the balancers that have been restarted at one moment, or replaced, are ready within 10 s: beside a
// discovery that serves their calls in turn, and beside one that they can't reach, if they have a list from before.
func TestRestartedBalancersAreReadyInTime(t *testing.T) {
	const limit = 10 * time.Second
	for name, c := range map[string]struct {
		each  time.Duration
		down  func(context.Context) (net.Conn, error)
		known bool
	}{
		"in turn":               {60 * time.Millisecond, nil, true},
		"in turn, with no list": {30 * time.Millisecond, nil, false},
		"refused":               {0, func(context.Context) (net.Conn, error) { return nil, errRefused }, true},
		"silent":                {0, func(ctx context.Context) (net.Conn, error) { return noDiscovery(ctx, "", "") }, true},
	} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, replaced %v", name, replaced), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					const balancers = 100
					silent := silentPipe(t)
					d := newMemDiscovery(t, silent)
					d.each, d.down = c.each, c.down
					ctx, stop := context.WithCancel(t.Context())
					u := &memUpstream{address: "127.0.0.1:1", answer: respondOK, silent: silent}
					var ready atomic.Int32
					var ended, asked sync.WaitGroup
					for rank := range balancers {
						x := virtualConfig(t, func(x *Config, s *garnettide.Settings) {
							x.Seed, s.Balancers, s.Rank = uint64(rank), balancers, rank
							s.Requirements.MaxDiscoveryInterval = 10 * time.Second
						})
						if x.CachedList = (discoveryList{}); c.known {
							x.CachedList = discoveryList{Revision: 1, Complete: true, Members: []member{u.member("s-00000001")}}
						}
						if replaced {
							x.InheritedFD = minInheritedFD
						}
						front, made := newMemListener(silent), make(chan *loop, 1)
						ended.Go(func() {
							if err := run(ctx, x, front, nil, func(l *loop) {
								l.discoveryClient.dial = d.dial
								l.transport.open = func(string, string, time.Duration) (net.Conn, error) { return u.dial(), nil }
								made <- l
							}); err != nil {
								t.Error(err)
							}
						})
						asked.Go(func() {
							l := <-made
							for start := time.Now(); time.Since(start) < limit; time.Sleep(100 * time.Millisecond) {
								missing := make(chan struct{})
								var lacks string
								l.adminCalls <- adminLoopCall{fn: func(l *loop) { lacks = l.missing() }, done: missing}
								<-missing
								if lacks == "" && healthy(front) {
									ready.Add(1)
									break
								}
							}
						})
					}
					asked.Wait()
					if n := ready.Load(); n < balancers*9/10 {
						t.Errorf("%d of %d are ready after %v", n, balancers, limit)
					}
					stop()
					ended.Wait()
					time.Sleep(time.Minute)
				})
			})
		}
	}
}

// healthy tells whether a balancer says so on a connection of its own.
func healthy(front *memListener) bool {
	c, err := front.dial()
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
