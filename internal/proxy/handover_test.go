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

// TestInheritedDescriptorMustListen guards against accepting an inherited descriptor that is not a listening
// TCP socket, and against closing the socket of other processes with this one's listener.
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
	plainFD, err := syscall.Dup(int(file.Fd()))
	if err != nil {
		t.Fatal(err)
	}
	for what, fd := range map[string]int{"connection": duplicateDescriptor(t, c.(*net.TCPConn)), "file": plainFD,
		"packet socket": duplicateDescriptor(t, packets.(*net.UDPConn)), "closed descriptor": 1 << 20} {
		if l, err := Listen(&Config{InheritedFD: fd}); err == nil ||
			!strings.Contains(err.Error(), "RELAY_INHERITED_FD") {
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

// openTestStateFile opens the state file of balancer n/0 in dir, for a process that others may run beside.
func openTestStateFile(t *testing.T, dir string) *stateFile {
	t.Helper()
	state := openStateFile(&Config{Name: "n/0", StateDir: dir, InheritedFD: 4})
	t.Cleanup(state.close)
	return state
}

// TestInvalidStateFileDoesNotPreventStart guards against a state file with invalid content preventing the
// start or the storing of later orders.
func TestInvalidStateFileDoesNotPreventStart(t *testing.T) {
	for what, text := range map[string]string{"empty": "", "truncated": `{"out_of_service":true,"offl`,
		"not JSON": "\x00\xff", "wrong type": `{"offline":{"s-1":true}}`, "too long": strings.Repeat("[", maxOrdersBytes+10)} {
		dir := t.TempDir()
		if err := os.WriteFile(filepath.Join(dir, "olivearch-n%2F0.json"), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		state := openTestStateFile(t, dir)
		want(t, what+": out of service", state.current.Load().OutOfService, false)
		want(t, what+": upstreams offline", len(state.current.Load().Offline), 0)
		if err := state.update(t.Context(), func(o *operatorOrders) {
			o.Offline = append(o.Offline, "s-1")
		}); err != nil {
			t.Errorf("%s: %v", what, err)
		}
		if o, _, err := state.read(); err != nil || len(o.Offline) != 1 || o.OutOfService {
			t.Errorf("%s: after an update, got orders %v and error %v", what, o, err)
		}
	}
}

// TestProcessesShareOrders guards against overlapping processes of one balancer that do not detect each
// other, miss orders stored by the other one or overwrite them.
func TestProcessesShareOrders(t *testing.T) {
	dir := t.TempDir()
	older := openTestStateFile(t, dir)
	want(t, "first process alone", older.alone(), true)
	newer := openTestStateFile(t, dir)
	want(t, "older process alone beside a newer one", older.alone(), false)
	want(t, "newer process alone beside an older one", newer.alone(), false)
	for _, x := range []struct {
		state *stateFile
		id    string
	}{{older, "s-1"}, {newer, "s-2"}} {
		if err := x.state.update(t.Context(), func(o *operatorOrders) {
			o.Offline = append(o.Offline, x.id)
		}); err != nil {
			t.Fatal(err)
		}
	}
	want(t, "new orders", older.refresh(), true)
	want(t, "offline", strings.Join(older.current.Load().Offline, " "), "s-1 s-2")
	want(t, "new orders on a second refresh", older.refresh(), false)
	if err := os.WriteFile(newer.path, []byte("{"), 0o600); err != nil {
		t.Fatal(err)
	}
	want(t, "new orders in an invalid file", older.refresh(), false)
	want(t, "offline after an invalid file", len(older.current.Load().Offline), 2)
	newer.close()
	want(t, "alone after the other process has ended", older.alone(), true)
	lock, err := tryLock(older.path + ".lock")
	if err != nil || lock == nil {
		t.Fatalf("the lock is not free after the updates: %v", err)
	}
	defer lock.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	if err := older.update(ctx, func(*operatorOrders) {}); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("update with the lock held: got %v, want a timeout", err)
	}
}

// TestConcurrentOrdersBothApply guards against an order undoing a later one that the loop applies before it.
func TestConcurrentOrdersBothApply(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	h := newLoopHarness(t)
	h.setMembers(20, upMember("s-00000001", upstream), upMember("s-00000002", upstream))
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	admin := newAdminServer(h.loop, newFrontend(&c, listener, h.loop), openTestStateFile(t, t.TempDir()))
	results := make(chan error, 2)
	queueOrder := func(id string) adminLoopCall {
		go func() {
			results <- admin.updateOrders(t.Context(), func(o *operatorOrders) {
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
	want(t, "draining", admin.front.closeAfterResponse(), true)
}

// startProcess starts a balancer in place of another process of b: it shares b's state directory and the listening
// socket l. Its discovery has not answered yet. b itself need not be running.
func (b *testBalancer) startProcess(t *testing.T, l net.Listener, members ...member) *testBalancer {
	t.Helper()
	admin := freeAddress(t)
	process := startBalancerWith(t, func(c *Config) {
		c.Operator, c.StateDir, c.InheritedFD = admin, b.config.StateDir, duplicateDescriptor(t, l.(*net.TCPListener))
	}, members...)
	process.url = "http://" + l.Addr().String()
	return process
}

// TestHandoverLosesNoRequest guards against refused or reset connections, unanswered requests and orders that
// apply to only one of the two processes during a handover under load.
func TestHandoverLosesNoRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	hold, held := make(chan struct{}), atomic.Bool{}
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Hold") != "" {
			held.Store(true)
			<-hold
		}
		return writeOK(c, "done")
	})
	go func() {
		for range upstream.received {
		}
	}()
	offline := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool { return writeOK(c, "never") })
	members := []member{upMember("s-00000001", upstream), upMember("s-00000002", offline)}
	unstarted := &testBalancer{config: Config{StateDir: t.TempDir()}}
	older := unstarted.startProcess(t, l, members...)
	older.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: members}
	older.waitUntil(t, "ready", func() bool { return older.adminCall(t, "GET", "/control/ready") == 200 })
	want(t, "status of offline", older.adminCall(t, "PUT", "/control/upstreams/s-00000002/offline"), 200)

	inFlight := older.dialClient(t)
	inFlight.send(t, older.newRequest("checkin", "", "X-Hold", "1"))
	older.waitUntil(t, "request received by the upstream", held.Load)
	newer := older.startProcess(t, l, members...)
	newer.waitUntil(t, "not ready without a list", func() bool {
		return newer.adminCall(t, "GET", "/control/ready") == 503
	})
	want(t, "query of its first call, for the whole list", <-newer.discovery.calls, "")
	newer.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: members}
	newer.waitUntil(t, "newer process ready", func() bool { return newer.adminCall(t, "GET", "/control/ready") == 200 })
	// While both accept connections, an order to the newer one applies to both once the call has succeeded.
	want(t, "status of out-of-service", newer.adminCall(t, "PUT", "/control/out-of-service"), 200)
	for range 20 {
		want(t, "health during the drain", older.healthStatus(t), 503)
	}
	want(t, "status of in-service", newer.adminCall(t, "PUT", "/control/in-service"), 200)
	for range 20 {
		want(t, "health after the drain", older.healthStatus(t), 200)
	}
	idle := older.dialClient(t)
	idle.send(t, older.newRequest("read", ""))
	want(t, "response closes the connection", idle.readResponse(t).Close, false)
	older.cancel()
	idle.send(t, older.newRequest("read", ""))
	resp := idle.readResponse(t)
	want(t, "status on an idle connection", resp.StatusCode, 200)
	for range 50 { // until the older process has closed its connections, and longer
		c := newer.dialClient(t)
		c.send(t, newer.newRequest("read", ""))
		want(t, "status on a new connection", c.readResponse(t).StatusCode, 200)
	}
	close(hold)
	resp = inFlight.readResponse(t)
	want(t, "status of the older process's request in flight", resp.StatusCode, 200)
	if err := <-older.runResult; err != nil {
		t.Error(err)
	}
	older.runResult <- nil
	want(t, "health of the newer process", newer.healthStatus(t), 200)
	select {
	case r := <-offline.received:
		t.Errorf("a request was sent to an upstream in maintenance: %s", r.URL)
	default:
	}
	want(t, "status of online", newer.adminCall(t, "PUT", "/control/upstreams/s-00000002/online"), 200)
	newer.waitUntil(t, "upstream used after maintenance", func() bool {
		_, body := newer.do(t, newer.newRequest("read", ""))
		return body == "never"
	})
}

// TestDrainSurvivesRestart guards against a new process that forgets that the balancer was out of service, is
// not ready because of it, or does not shut down.
func TestDrainSurvivesRestart(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	members := []member{upMember("s-00000001", upstream)}
	unstarted := &testBalancer{config: Config{StateDir: t.TempDir()}}
	if err := os.WriteFile(filepath.Join(unstarted.config.StateDir, "olivearch-n0.json"),
		[]byte(`{"out_of_service":true,"offline":["s-0000000f"],"later":"unknown fields are ignored"}`),
		0o600); err != nil {
		t.Fatal(err)
	}
	b := unstarted.startProcess(t, l, members...)
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: members}
	b.waitUntil(t, "ready", func() bool { return b.adminCall(t, "GET", "/control/ready") == 200 })
	want(t, "health", b.healthStatus(t), 503)
	want(t, "status of online for an unlisted upstream", b.adminCall(t, "PUT", "/control/upstreams/s-0000000f/online"),
		200)
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

// TestStartWithFailingFolder guards against a process that does not start, or is never seen by others, because its folder
// takes no writes at its start.
func TestStartWithFailingFolder(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "full") // does not exist yet, so that no file can be created in it
	state := openTestStateFile(t, dir)
	if err := state.update(t.Context(), func(o *operatorOrders) { o.OutOfService = true }); err == nil {
		t.Error("got an order that cannot be stored taken on, want an error")
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	other := openTestStateFile(t, dir)
	want(t, "other process alone before this one is seen", other.alone(), true)
	for range maxProcesses {
		state.retryLock()
	}
	want(t, "other process alone", other.alone(), false)
	want(t, "this process alone", state.alone(), false)
}
