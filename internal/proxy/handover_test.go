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

// duplicateDescriptor returns a duplicate of a socket's descriptor, as a process inherits it.
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

// Guards against accepting an inherited descriptor that is not a listening TCP socket, and against closing the socket of
// other processes with this one's listener.
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
	for what, fd := range map[string]int{"connection": duplicateDescriptor(t, c.(*net.TCPConn)), "file": plain,
		"packet socket": duplicateDescriptor(t, packets.(*net.UDPConn)), "closed descriptor": 1 << 20} {
		if l, err := Listen(&Config{InheritedFD: fd}); err == nil || !strings.Contains(err.Error(), "RELAY_INHERITED_FD") {
			t.Errorf("%s: got listener %v and error %v, want an error naming RELAY_INHERITED_FD", what, l, err)
		}
	}
	for _, fd := range []string{"x", "-1", "2", "4 "} {
		if _, err := loadTestConfig(t, configText, map[string]string{"RELAY_INHERITED_FD": fd}); err == nil {
			t.Errorf("RELAY_INHERITED_FD=%q: got no error", fd)
		}
	}
	inherited, err := Listen(&Config{InheritedFD: duplicateDescriptor(t, l.(*net.TCPListener))})
	if err != nil {
		t.Fatal(err)
	}
	inherited.Close()
	again, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatalf("connecting after one of two listeners was closed: %v", err)
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

// Guards against a state file with invalid content preventing the start or the storing of later orders.
func TestInvalidStateFileDoesNotPreventStart(t *testing.T) {
	for what, text := range map[string]string{"empty": "", "truncated": `{"out_of_service":true,"offl`, "not JSON": "\x00\xff",
		"wrong type": `{"offline":{"s-1":true}}`, "too long": strings.Repeat("[", maxOrdersBytes+10)} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "olivearch-n%2F0.json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		b := openTestStateFile(t, dir)
		want(t, what+": out of service", b.current.Load().OutOfService, false)
		want(t, what+": upstreams offline", len(b.current.Load().Offline), 0)
		if err := b.update(t.Context(), func(o *operatorOrders) { o.Offline = append(o.Offline, "s-1") }); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		if o, _, err := b.read(); err != nil || len(o.Offline) != 1 || o.OutOfService {
			t.Errorf("%s: after an update, got orders %v and error %v", what, o, err)
		}
	}
}

// Guards against overlapping processes of one balancer that do not detect each other, miss orders stored by the other one
// or overwrite them.
func TestProcessesShareOrders(t *testing.T) {
	dir := t.TempDir()
	a := openTestStateFile(t, dir)
	want(t, "first process alone", a.alone(), true)
	b := openTestStateFile(t, dir)
	want(t, "older process alone beside a newer one", a.alone(), false)
	want(t, "newer process alone beside an older one", b.alone(), false)
	for _, x := range []struct {
		state *stateFile
		id    string
	}{{a, "s-1"}, {b, "s-2"}} {
		if err := x.state.update(t.Context(), func(o *operatorOrders) { o.Offline = append(o.Offline, x.id) }); err != nil {
			t.Fatal(err)
		}
	}
	want(t, "new orders", a.refresh(), true)
	want(t, "offline", strings.Join(a.current.Load().Offline, " "), "s-1 s-2")
	want(t, "new orders on a second refresh", a.refresh(), false)
	if err := os.WriteFile(b.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	want(t, "new orders in an invalid file", a.refresh(), false)
	want(t, "offline after an invalid file", len(a.current.Load().Offline), 2)
	b.close()
	want(t, "alone after the other process has ended", a.alone(), true)
	lock, err := tryLock(a.path + ".lock")
	if err != nil || lock == nil {
		t.Fatalf("the lock is not free after the updates: %v", err)
	}
	defer lock.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := a.update(ctx, func(*operatorOrders) {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("update with the lock held: got %v, want a time-out", err)
	}
}

// Guards against an order undoing a later one that the loop applies before it.
func TestConcurrentOrdersBothApply(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	h := newLoopHarness(t)
	h.setMembers(20, upMember("s-00000001", s), upMember("s-00000002", s))
	c, err := loadTestConfig(t, configText, nil)
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
		want(t, "error of a call", <-results, nil)
	}
	want(t, "upstreams in maintenance", len(h.inMaintenance), 2)
	want(t, "draining", d.front.closeAfterResponse(), true)
}

// startSuccessor starts another process of b that shares its listening socket. Its discovery has not answered yet.
func (b *testBalancer) startSuccessor(t *testing.T, l net.Listener, members ...member) *testBalancer {
	t.Helper()
	admin := freeAddress(t)
	successor := startBalancerWith(t, func(c *Config) {
		c.Operator, c.StateDir, c.InheritedFD = admin, b.config.StateDir, duplicateDescriptor(t, l.(*net.TCPListener))
	}, members...)
	successor.url = "http://" + l.Addr().String()
	return successor
}

// Guards against refused or reset connections, unanswered requests and orders that apply to only one of the two processes
// during a handover under load.
func TestHandoverLosesNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	hold, held := make(chan struct{}), atomic.Bool{}
	s := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Hold") != "" {
			held.Store(true)
			<-hold
		}
		return writeOK(c, "done")
	})
	go func() {
		for range s.received {
		}
	}()
	offline := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool { return writeOK(c, "never") })
	members := []member{upMember("s-00000001", s), upMember("s-00000002", offline)}
	first := &testBalancer{config: Config{StateDir: t.TempDir()}}
	old := first.startSuccessor(t, l, members...)
	old.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: members}
	old.waitUntil(t, "ready", func() bool { return old.adminCall(t, "GET", "/control/ready") == 200 })
	want(t, "status of offline", old.adminCall(t, "PUT", "/control/upstreams/s-00000002/offline"), 200)

	inFlight := old.dialClient(t)
	inFlight.send(t, old.newRequest("checkin", "", "X-Hold", "1"))
	old.waitUntil(t, "request received by the upstream", held.Load)
	successor := old.startSuccessor(t, l, members...)
	successor.waitUntil(t, "not ready without a list", func() bool { return successor.adminCall(t, "GET", "/control/ready") == 503 })
	want(t, "query of its first call, for the whole list", <-successor.discovery.calls, "")
	successor.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: members}
	successor.waitUntil(t, "new process ready", func() bool { return successor.adminCall(t, "GET", "/control/ready") == 200 })
	// While both accept connections, an order to the new one applies to both once the call has succeeded.
	want(t, "status of out-of-service", successor.adminCall(t, "PUT", "/control/out-of-service"), 200)
	for range 20 {
		want(t, "health during the drain", old.healthStatus(t), 503)
	}
	want(t, "status of in-service", successor.adminCall(t, "PUT", "/control/in-service"), 200)
	for range 20 {
		want(t, "health after the drain", old.healthStatus(t), 200)
	}
	idle := old.dialClient(t)
	idle.send(t, old.newRequest("read", ""))
	want(t, "response closes the connection", idle.readResponse(t).Close, false)
	old.cancel()
	idle.send(t, old.newRequest("read", ""))
	resp := idle.readResponse(t)
	want(t, "status on an idle connection", resp.StatusCode, 200)
	for range 50 { // until the old process has closed its connections, and longer
		c := successor.dialClient(t)
		c.send(t, successor.newRequest("read", ""))
		want(t, "status on a new connection", c.readResponse(t).StatusCode, 200)
	}
	close(hold)
	resp = inFlight.readResponse(t)
	want(t, "status of the old process's request in flight", resp.StatusCode, 200)
	if err := <-old.runResult; err != nil {
		t.Error(err)
	}
	old.runResult <- nil
	want(t, "health of the new process", successor.healthStatus(t), 200)
	select {
	case r := <-offline.received:
		t.Errorf("a request was sent to an upstream in maintenance: %s", r.URL)
	default:
	}
	want(t, "status of online", successor.adminCall(t, "PUT", "/control/upstreams/s-00000002/online"), 200)
	successor.waitUntil(t, "upstream used after maintenance", func() bool {
		_, body := successor.do(t, successor.newRequest("read", ""))
		return body == "never"
	})
}

// Guards against a new process that forgets that the balancer was out of service, is not ready because of it, or does not
// shut down.
func TestDrainSurvivesRestart(t *testing.T) {
	s := newTestUpstream(t, respondOK)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	members := []member{upMember("s-00000001", s)}
	first := &testBalancer{config: Config{StateDir: t.TempDir()}}
	if err := os.WriteFile(filepath.Join(first.config.StateDir, "olivearch-n0.json"),
		[]byte(`{"out_of_service":true,"offline":["s-0000000f"],"later":"unknown fields are ignored"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	b := first.startSuccessor(t, l, members...)
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: members}
	b.waitUntil(t, "ready", func() bool { return b.adminCall(t, "GET", "/control/ready") == 200 })
	want(t, "health", b.healthStatus(t), 503)
	want(t, "status of online for an unlisted upstream", b.adminCall(t, "PUT", "/control/upstreams/s-0000000f/online"), 200)
	c := b.dialClient(t)
	c.send(t, b.newRequest("read", ""))
	resp := c.readResponse(t)
	want(t, "status during the drain", resp.StatusCode, 200)
	want(t, "response closes the connection", resp.Close, true)
	b.cancel()
	if err := <-b.runResult; err != nil {
		t.Error(err)
	}
	b.runResult <- nil
}
