package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// inherit returns a descriptor of its own for a socket, as a process inherits one.
func duplicateDescriptor(t *testing.T, from interface{ File() (*os.File, error) }) int {
	t.Helper()
	f, err := from.File()
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	fd, err := syscall.Dup(int(f.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	return fd
}

func TestInheritedDescriptorMustListen(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer packets.Close()
	file, err := os.Open(os.DevNull)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	plain, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	for what, fd := range map[string]int{"a connection": duplicateDescriptor(t, c.(*net.TCPConn)), "a file": plain,
		"a packet socket": duplicateDescriptor(t, packets.(*net.UDPConn)), "nothing": 1 << 20} {
		if l, err := Listen(&Config{InheritedFD: fd}); err == nil || !strings.Contains(err.Error(), "RELAY_INHERITED_FD") {
			t.Errorf("%s: got %v, %v", what, l, err)
		}
	}
	for _, fd := range []string{"x", "-1", "2", "4 "} {
		if _, err := load(t, configText, map[string]string{"RELAY_INHERITED_FD": fd}); err == nil {
			t.Errorf("RELAY_INHERITED_FD=%q is taken", fd)
		}
	}
	inherited, err := Listen(&Config{InheritedFD: duplicateDescriptor(t, l.(*net.TCPListener))})
	if err != nil {
		t.Fatal(err)
	}
	inherited.Close()
	again, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("the socket ended with one of its listeners: %v", err)
	}
	again.Close()
}

func openTestStateFile(t *testing.T, dir string) *stateFile {
	t.Helper()
	b, err := openStateFile(&Config{Name: "n/0", StateDir: dir, InheritedFD: 4})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.close)
	return b
}

// Whatever stands in the file, a start goes on, and the next order is kept whole.
func TestInvalidStateFileDoesNotPreventStart(t *testing.T) {
	for what, text := range map[string]string{"empty": "", "cut short": `{"out_of_service":true,"offl`, "no JSON": "\x00\xff",
		"another form": `{"offline":{"s-1":true}}`, "endless": strings.Repeat("[", maxOrdersBytes+10)} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "olivearch-n%2F0.json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		b := openTestStateFile(t, dir)
		want(t, what+": drained", b.current.Load().OutOfService, false)
		want(t, what+": left out", len(b.current.Load().Offline), 0)
		if err := b.update(t.Context(), func(o *operatorOrders) { o.Offline = append(o.Offline, "s-1") }); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		if o, _, err := b.read(); err != nil || len(o.Offline) != 1 || o.OutOfService {
			t.Errorf("%s: then reads as %v, %v", what, o, err)
		}
	}
}

// Two processes of one balancer know of each other, and what one is told the other hears of; calls at both add up.
func TestProcessesShareOrders(t *testing.T) {
	dir := t.TempDir()
	a := openTestStateFile(t, dir)
	want(t, "alone at first", a.alone(), true)
	b := openTestStateFile(t, dir)
	want(t, "alone, the older", a.alone(), false)
	want(t, "alone, the newer", b.alone(), false)
	for _, x := range []struct {
		told *stateFile
		id   string
	}{{a, "s-1"}, {b, "s-2"}} {
		if err := x.told.update(t.Context(), func(o *operatorOrders) { o.Offline = append(o.Offline, x.id) }); err != nil {
			t.Fatal(err)
		}
	}
	want(t, "heard", a.refresh(), true)
	want(t, "both", strings.Join(a.current.Load().Offline, " "), "s-1 s-2")
	want(t, "heard twice", a.refresh(), false)
	if err := os.WriteFile(b.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	want(t, "a spoilt change is news", a.refresh(), false)
	want(t, "held over it", len(a.current.Load().Offline), 2)
	b.close()
	want(t, "alone after its end", a.alone(), true)
	lock, err := tryLock(a.path + ".lock")
	if err != nil || lock == nil {
		t.Fatalf("the lock is kept: %v", err)
	}
	defer lock.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := a.update(ctx, func(*operatorOrders) {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("with the lock held: %v", err)
	}
}

// Two calls cross: the one that was noted first has its turn in the loop last. It does not undo the other one.
func TestConcurrentOrdersBothApply(t *testing.T) {
	s := newServer(t, okAll)
	h := newLoopHarness(t)
	h.setMembers(20, up("s-00000001", s), up("s-00000002", s))
	c, err := load(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	d := newAdminServer(h.loop, newFrontend(&c, listener, h.loop), openTestStateFile(t, t.TempDir()))
	results := make(chan error, 2)
	queueOrder := func(id string) adminLoopCall {
		go func() {
			results <- d.updateOrders(t.Context(), func(o *operatorOrders) {
				o.Offline, o.OutOfService = append(o.Offline, id), id == "s-00000002"
			})
		}()
		return <-h.adminCalls
	}
	first := queueOrder("s-00000001")
	second := queueOrder("s-00000002")
	second.apply(h.loop)
	first.apply(h.loop)
	for range 2 {
		want(t, "a call's answer", <-results, nil)
	}
	want(t, "left out", len(h.inMaintenance), 2)
	want(t, "drained", d.front.closeAfterResponse(), true)
}

// succeed starts another process of b, on the same socket and beside it. Its discovery has told nothing yet.
func (b *balancer) startSuccessor(t *testing.T, l net.Listener, members ...member) *balancer {
	t.Helper()
	admin := freeAddress(t)
	successor := newBalancerWith(t, func(c *Config) {
		c.Operator, c.StateDir, c.InheritedFD = admin, b.config.StateDir, duplicateDescriptor(t, l.(*net.TCPListener))
	}, members...)
	successor.url = "http://" + l.Addr().String()
	return successor
}

// One process takes over from another under load: no request meets a refused or reset connection, what was taken is
// answered, and what operators called for holds in both, whichever was told.
func TestHandoverLosesNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	hold, held := make(chan struct{}), atomic.Bool{}
	s := newServer(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Hold") != "" {
			held.Store(true)
			<-hold
		}
		return ok(c, "done")
	})
	go func() {
		for range s.arrivals {
		}
	}()
	offline := newServer(t, func(c net.Conn, _ *http.Request) bool { return ok(c, "never") })
	members := []member{up("s-00000001", s), up("s-00000002", offline)}
	first := &balancer{config: Config{StateDir: t.TempDir()}}
	old := first.startSuccessor(t, l, members...)
	old.registry.answers <- discoveryList{Revision: 11, Complete: true, Members: members}
	old.until(t, "ready", func() bool { return old.call(t, "GET", "/control/ready") == 200 })
	want(t, "out", old.call(t, "PUT", "/control/upstreams/s-00000002/offline"), 200)

	inFlight := old.connect(t)
	inFlight.send(t, old.ask("checkin", "", "X-Hold", "1"))
	old.until(t, "the request is with the server", held.Load)
	successor := old.startSuccessor(t, l, members...)
	successor.until(t, "an admin listener that says no without a list", func() bool { return successor.call(t, "GET", "/control/ready") == 503 })
	want(t, "it asks for the whole list, which is told at once", <-successor.registry.calls, "")
	successor.registry.answers <- discoveryList{Revision: 11, Complete: true, Members: members}
	successor.until(t, "the new one is ready", func() bool { return successor.call(t, "GET", "/control/ready") == 200 })
	// Told to the new one while both take connections: it holds in both from the yes on.
	want(t, "drain", successor.call(t, "PUT", "/control/out-of-service"), 200)
	for range 20 {
		want(t, "health in the drain", old.health(t), 503)
	}
	want(t, "back", successor.call(t, "PUT", "/control/in-service"), 200)
	for range 20 {
		want(t, "health", old.health(t), 200)
	}
	idle := old.connect(t)
	idle.send(t, old.ask("read", ""))
	want(t, "kept", idle.answer(t).Close, false)
	old.cancel()
	idle.send(t, old.ask("read", ""))
	resp := idle.answer(t)
	want(t, "on a kept connection", resp.StatusCode, 200)
	for range 50 { // until the old one has closed what it had, and beyond
		c := successor.connect(t)
		c.send(t, successor.ask("read", ""))
		want(t, "on a new connection", c.answer(t).StatusCode, 200)
	}
	close(hold)
	resp = inFlight.answer(t)
	want(t, "taken by the old one", resp.StatusCode, 200)
	if err := <-old.ended; err != nil {
		t.Error(err)
	}
	old.ended <- nil
	want(t, "health of the new one", successor.health(t), 200)
	select {
	case r := <-offline.arrivals:
		t.Errorf("sent to an upstream in maintenance: %s", r.URL)
	default:
	}
	want(t, "back from maintenance", successor.call(t, "PUT", "/control/upstreams/s-00000002/online"), 200)
	successor.until(t, "used again", func() bool {
		_, body := successor.do(t, successor.ask("read", ""))
		return body == "never"
	})
}

// A balancer that was drained before its process was replaced is drained after it, and yet ready; SIGTERM ends it as
// any other.
func TestDrainSurvivesRestart(t *testing.T) {
	s := newServer(t, okAll)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	members := []member{up("s-00000001", s)}
	first := &balancer{config: Config{StateDir: t.TempDir()}}
	if err := os.WriteFile(filepath.Join(first.config.StateDir, "olivearch-n0.json"),
		[]byte(`{"out_of_service":true,"offline":["s-0000000f"],"later":"fields are passed over"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	b := first.startSuccessor(t, l, members...)
	b.registry.answers <- discoveryList{Revision: 11, Complete: true, Members: members}
	b.until(t, "ready", func() bool { return b.call(t, "GET", "/control/ready") == 200 })
	want(t, "health", b.health(t), 503)
	want(t, "back, of one that no list names now", b.call(t, "PUT", "/control/upstreams/s-0000000f/online"), 200)
	c := b.connect(t)
	c.send(t, b.ask("read", ""))
	resp := c.answer(t)
	want(t, "served in the drain", resp.StatusCode, 200)
	want(t, "closes behind it", resp.Close, true)
	b.cancel()
	if err := <-b.ended; err != nil {
		t.Error(err)
	}
	b.ended <- nil
}
