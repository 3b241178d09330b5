package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"
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

func (r memRaw) Control(func(fd uintptr)) error    { return errors.ErrUnsupported }
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
	silent  *os.File
}

func (u *memUpstream) dial() net.Conn {
	ours, theirs := memPipe(u.silent)
	go func() {
		defer theirs.Close()
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

// silentDiscovery gives no answer: there is no news but what a test tells.
type silentDiscovery struct{}

func (silentDiscovery) RoundTrip(r *http.Request) (*http.Response, error) {
	<-r.Context().Done()
	return nil, r.Context().Err()
}

// virtual is a loop and a front in a bubble, before upstreams within the process.
type virtual struct {
	*loop
	front  *frontend
	ups    map[string]*memUpstream
	gate   chan struct{} // connections to upstreams come up once it is closed
	silent *os.File
}

func newVirtual(t *testing.T, silent *os.File, set func(*Config)) *virtual {
	t.Helper()
	c, err := load(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	c.Known = listing{}
	set(&c)
	v := &virtual{loop: newLoop(t.Context(), &c), ups: map[string]*memUpstream{}, gate: make(chan struct{}), silent: silent}
	v.discovery.client.Transport = silentDiscovery{}
	v.dial.open = func(_, address string, _ time.Duration) (net.Conn, error) {
		<-v.gate
		return v.ups[address].dial(), nil
	}
	if err := v.start(&c, nil); err != nil {
		t.Fatal(err)
	}
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
	v.lists <- listed{from: v.discovery, listing: listing{Revision: revision, Complete: true, Members: members}}
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
			u := v.upstream(okAll)
			request()
			return func() { v.tell(50, u.member("s-00000001")) }
		}},
		"its connection comes up late": {"checkin", 0, func(v *virtual, request func()) func() {
			v.tell(50, v.upstream(okAll).member("s-00000001"))
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
				return okAll(c, r)
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
					v := newVirtual(t, silentPipe(t), func(c *Config) { c.Settings.Limits.SecondCopies = true })
					ours, theirs := memPipe(v.silent)
					begin := c.meet(v, func() {
						synctest.Wait() // the list
						v.front.take(theirs)
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
					time.Sleep(2 * lingerFor) // what hangs is given up
				})
			})
		}
	}
}
