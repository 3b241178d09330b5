package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestForwardsRequestsAndResponsesUnchanged guards against changes to what is forwarded, apart from hop-by-hop fields
// and X-Deadline-Ms.
func TestForwardsRequestsAndResponsesUnchanged(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	for _, class := range []string{"pay", "checkin"} {
		time.Sleep(2 * connReuseDelay) // otherwise the second request would not reuse the connection
		sent := b.newRequest(class, "body", "Connection", "X-Hop", "X-Hop", "1", "X-Extras", "a=1")
		status, body := b.do(t, sent)
		want(t, "status", status, 200)
		want(t, "response body", body, "done")
		forwarded := <-upstream.received
		text, _ := io.ReadAll(forwarded.Body)
		want(t, "body", string(text), "body")
		want(t, "method", forwarded.Method, sent.Method)
		want(t, "target", forwarded.RequestURI, "/"+class+"/x?q=%2F1")
		for _, h := range []string{"X-Request-Id", "Idempotency-Key", "X-Extras"} {
			want(t, h, forwarded.Header.Get(h), sent.Header.Get(h))
		}
		want(t, "X-Hop", forwarded.Header.Get("X-Hop"), "")
		if ms, err := strconv.Atoi(forwarded.Header.Get("X-Deadline-Ms")); err != nil || ms <= 0 || ms >= 4000 {
			t.Errorf("X-Deadline-Ms: got %q, want a positive number below the client's",
				forwarded.Header.Get("X-Deadline-Ms"))
		}
	}
	want(t, "connections opened", upstream.connsOpened(), 1)
}

// TestNothingIsSentForDisconnectedClient guards against forwarding a request whose client disconnected before the
// request was read or before the loop handled the disconnect.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	t.Run("before the request is read", func(t *testing.T) {
		c, err := loadTestConfig(t, configText, nil)
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h := newLoopHarness(t)
		front := newFrontend(&c, listener, h.loop)
		clientConn, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		io.WriteString(clientConn, checkinRequest("X-Request-Id: 1\r\nContent-Length: 0\r\n"))
		clientConn.Close()
		accepted, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		front.startClient(accepted)
		front.clientsDone.Wait()
		want(t, "events posted to the loop", len(h.events), 0)
		want(t, "free body memory", h.memory.available.Load(), c.Capacity(1).BodyBytes)
	})
	t.Run("before the loop handles the disconnect", func(t *testing.T) {
		upstream := newTestUpstream(t, respondOK)
		h := newLoopHarness(t)
		dialing, release := h.delayConns()
		h.setMembers(20, upMember("s-00000001", upstream))
		r := h.startRequest("read", "1", time.Second)
		<-dialing
		r.clientGone.Store(true)
		close(release)
		h.applyNextEvent()
		want(t, "requests written", len(upstream.received), 0)
	})
}

// TestSlowClientIsServed guards against closing a client that sends its request slowly, but within
// requestHeadTimeout.
func TestSlowClientIsServed(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	remaining := checkinRequest("X-Request-Id: slow\r\nContent-Length: 4\r\n") + "body"
	pieceSize := len(remaining)/6 + 1
	start := time.Now()
	for ; len(remaining) > 0; remaining = remaining[min(pieceSize, len(remaining)):] {
		if _, err := io.WriteString(conn, remaining[:min(pieceSize, len(remaining))]); err != nil {
			t.Fatal(err)
		}
		time.Sleep(requestHeadTimeout / 8) // simulates a slow connection
	}
	if time.Since(start) < 2*time.Second {
		t.Fatal("the request took less than 2s to send, so the test proves nothing")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "status", resp.StatusCode, 200)
}

// TestDuplicateOpenRequestIDIsRejected guards against forwarding a request with the ID of one in flight. The ID can be
// used again once that one is answered.
func TestDuplicateOpenRequestIDIsRejected(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := startBalancer(t, upMember("s-00000001", upstream))
	original := b.newRequest("checkin", "")
	duplicate := original.Clone(t.Context())
	originalStatus := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(original)
		if err != nil {
			originalStatus <- 0
			return
		}
		resp.Body.Close()
		originalStatus <- resp.StatusCode
	}()
	<-upstream.received
	status, _ := b.do(t, duplicate)
	want(t, "status of the duplicate", status, 409)
	close(release)
	want(t, "status of the original", <-originalStatus, 200)
	status, _ = b.do(t, duplicate.Clone(t.Context()))
	want(t, "status of a reuse after the response", status, 200)
}

// TestSilentConnectionsAreEvicted guards against hundreds of silent connections keeping new clients out or breaking a
// request in flight.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return respondOK(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	lateStatus := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", "", "X-Late", "1"))
		if err != nil {
			lateStatus <- 0
			return
		}
		resp.Body.Close()
		lateStatus <- resp.StatusCode
	}()
	<-upstream.received
	var silent []net.Conn
	for range b.config.Capacity(1).ClientConns + 50 {
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("got bytes on the connection that was silent longest, want a close")
	}
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "status of a new client", status, 200)
	close(release)
	want(t, "status of the request in flight", <-lateStatus, 200)
}

// TestMinimumIntervalBetweenWatchCalls guards against a busy loop when discovery answers watch calls at once.
func TestMinimumIntervalBetweenWatchCalls(t *testing.T) {
	b := startBalancer(t)
	<-b.discovery.calls
	start := time.Now()
	for range 4 {
		b.discovery.responses <- discoveryList{Revision: 10}
		<-b.discovery.calls
	}
	if took := time.Since(start); took < 2*minWatchInterval {
		t.Errorf("got 4 calls in %v, want at least 2*minWatchInterval", took)
	}
}

// TestStopClosesUnusedConnections guards against unused connections delaying a shutdown, and against closing those with
// a request in flight.
func TestStopClosesUnusedConnections(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := startBalancer(t, upMember("s-00000001", upstream))
	unused, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	status := b.startRequest(b.newRequest("checkin", ""))
	<-upstream.received
	b.cancel()
	if _, err := unused.Read(make([]byte, 1)); err == nil {
		t.Error("got bytes on an unused connection, want a close")
	}
	close(release)
	want(t, "status of the request in flight", <-status, 200)
}

// TestOlderListDoesNotEndDrain guards against sending requests to a draining upstream, also after an older list has
// named it as up.
func TestOlderListDoesNotEndDrain(t *testing.T) {
	drained, active := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	m1, m2 := upMember("s-00000001", drained), upMember("s-00000002", active)
	b := startBalancer(t, m1, m2)
	want(t, "first call", withoutTimeout(<-b.discovery.calls), "since=10")
	b.discovery.responses <- discoveryList{Revision: 12, Members: []member{drainingMember(m1)}}
	want(t, "next call", withoutTimeout(<-b.discovery.calls), "since=12")
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: []member{m1, m2}}
	want(t, "call after an older list", withoutTimeout(<-b.discovery.calls), "since=12")
	for range 10 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the draining upstream", len(drained.received), 0)
	want(t, "requests at the other upstream", len(active.received), 10)
}

// TestRetriesFailedDiscoveryCall guards against never calling discovery again after a failed call.
func TestRetriesFailedDiscoveryCall(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t)
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{} // sent as a 503
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 20, Complete: true,
		Members: []member{upMember("s-00000001", upstream)}}
	<-b.discovery.calls // the list has been posted to the loop
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "status", status, 200)
}

// TestReloadChangesDiscoveryAddress guards against ignoring the list of a new discovery server because its revisions
// are lower, and against using a late list of the old one.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	oldUpstream, newUpstream := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", oldUpstream))
	want(t, "first call", withoutTimeout(<-b.discovery.calls), "since=10")
	newDiscovery := newManualDiscovery(t)
	reloaded := b.config
	reloaded.Discovery = newDiscovery.addr
	b.reloads <- reloadOf(reloaded)
	want(t, "call to the new server", <-newDiscovery.calls, "")
	select { // the call to the old server has been cancelled; a response that is still written comes too late
	case b.discovery.responses <- discoveryList{Revision: 30, Complete: true,
		Members: []member{upMember("s-00000001", oldUpstream)}}:
	default:
	}
	newDiscovery.responses <- discoveryList{Revision: 3, Complete: true,
		Members: []member{upMember("s-00000002", newUpstream)}}
	want(t, "next call to the new server", withoutTimeout(<-newDiscovery.calls), "since=3")
	for range 5 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the upstream that is not in the new list", len(oldUpstream.received), 0)
	want(t, "requests at the other upstream", len(newUpstream.received), 5)
}

// TestLateResponseFromReplacedDiscoveryIsIgnored guards against applying a list that the old discovery server sent
// before a reload and that arrives after it.
func TestLateResponseFromReplacedDiscoveryIsIgnored(t *testing.T) {
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(t.Context(), &c)
	l.start(&c, nil)
	oldClient := l.discoveryClient
	newConfig := c
	newConfig.Discovery = "127.0.0.1:9"
	configReloaded{reloadOf(newConfig), nil}.apply(l)
	l.applyListUpdate(listUpdate{from: oldClient, discoveryList: discoveryList{Revision: 90, Complete: true}})
	want(t, "upstreams after a late list", len(l.upstreams), 1)
	want(t, "revision after the late list", l.revision, uint64(0))
	l.applyListUpdate(listUpdate{from: l.discoveryClient, discoveryList: discoveryList{Revision: 2, Complete: true}})
	want(t, "upstreams after the new list", len(l.upstreams), 0)
	want(t, "revision after the new list", l.revision, uint64(2))
}

// TestGracefulShutdownAnswersAcceptedRequests guards against losing requests in flight when a shutdown begins, and
// those on connections that arrive soon after.
func TestGracefulShutdownAnswersAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return respondOK(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	lateStatus := b.startRequest(b.newRequest("checkin", "", "X-Late", "1"))
	<-upstream.received
	b.cancel()
	for { // on new connections, until the shutdown has begun
		r := b.newRequest("checkin", "")
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		want(t, "status while shutting down", resp.StatusCode, 200)
		if resp.Close {
			break
		}
	}
	close(release)
	want(t, "status of the request in flight", <-lateStatus, 200)
	if err := <-b.runResult; err != nil {
		t.Error(err)
	}
	b.runResult <- nil
	if _, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://")); err == nil {
		t.Error("connected after the shutdown, want the listener closed")
	}
}

// TestShutdownDuringDiscoveryChange guards against ignoring a new discovery address during a shutdown, and against
// losing the request in flight when the shutdown and the reload overlap.
func TestShutdownDuringDiscoveryChange(t *testing.T) {
	for _, stopFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("stop first ", stopFirst), func(t *testing.T) {
			testShutdownDuringDiscoveryChange(t, stopFirst)
		})
	}
}

// testShutdownDuringDiscoveryChange reloads during a shutdown if stopFirst is set, otherwise right before it.
func testShutdownDuringDiscoveryChange(t *testing.T, stopFirst bool) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := startBalancer(t, upMember("s-00000001", upstream))
	status := b.startRequest(b.newRequest("checkin", ""))
	<-upstream.received
	newDiscovery := newManualDiscovery(t)
	c := b.config
	c.Discovery = newDiscovery.addr
	if stopFirst {
		b.cancel()
		for resp, err := b.client.Get(b.url + "/healthz"); err == nil &&
			resp.StatusCode == 200; resp, err = b.client.Get(b.url + "/healthz") {
			resp.Body.Close()
		}
	}
	select {
	case b.reloads <- reloadOf(c):
		<-newDiscovery.calls // the new server has been called, and its list is awaited
	case <-time.After(10 * time.Second):
		t.Error("the reload was not accepted within 10s")
	}
	b.cancel()
	close(release)
	want(t, "status of the request in flight", <-status, 200)
	if err := <-b.runResult; err != nil {
		t.Error(err)
	}
	b.runResult <- nil
}

// TestHealthCheck guards against failing health checks of a balancer in service.
func TestHealthCheck(t *testing.T) {
	b := startBalancer(t)
	resp, err := b.client.Get(b.url + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status", resp.StatusCode, 200)
}
