package proxy

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// settingsText is a settings object with a class of each kind of idempotency. With it discovery is called again soon
// after a failed call.
const settingsText = `{"az":"z1","balancers":1,"granularity_us":1000,"membership_mode":"on_request","weights":"nominal",
"worth_by":"work","limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":500000,"keepalive_us":60000000},
"obligations":{"ask_within_us":320000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3.0},
"profiles":[{"name":"read","target_us":2000000,"give_up_us":4000000,"repeat":"read_like","worth":1},
{"name":"pay","target_us":2000000,"give_up_us":4000000,"repeat":"idempotency_key","group":"all","memory_span_us":9000000,"worth":1},
{"name":"checkin","target_us":2000000,"give_up_us":4000000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}`

// testUpstream is an upstream whose responses a test writes as raw text.
type testUpstream struct {
	addr      string
	received  chan *http.Request // each request once it is complete, with its body read
	mu        sync.Mutex
	connCount int // connections accepted
}

// newTestUpstream starts an upstream. respond writes the response to a request, which need not be valid HTTP, and
// returns false to close the connection.
func newTestUpstream(t *testing.T, respond func(c net.Conn, r *http.Request) bool) *testUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	u := &testUpstream{addr: listener.Addr().String(), received: make(chan *http.Request, 100)}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			u.mu.Lock()
			u.connCount++
			u.mu.Unlock()
			go u.serveConn(c, respond)
		}
	}()
	return u
}

// serveConn reads requests from a connection and passes each to respond.
func (u *testUpstream) serveConn(c net.Conn, respond func(net.Conn, *http.Request) bool) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		u.received <- r
		if !respond(c, r) {
			return
		}
	}
}

// connsOpened returns the number of connections accepted so far.
func (u *testUpstream) connsOpened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connCount
}

// writeOK writes a 200 response with a body and reports whether that succeeded.
func writeOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// respondOK responds to every request with 200 and the body "done".
func respondOK(c net.Conn, _ *http.Request) bool { return writeOK(c, "done") }

// manualDiscovery is a discovery server whose test supplies the response to each call.
type manualDiscovery struct {
	addr      string
	calls     chan string        // the query of each call, sent when it arrives
	responses chan discoveryList // one response each; a list with revision 0 becomes a 503
}

// newManualDiscovery starts a discovery server, which ends with the test.
func newManualDiscovery(t *testing.T) *manualDiscovery {
	d := &manualDiscovery{calls: make(chan string, 1000), responses: make(chan discoveryList)}
	stop := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.calls <- r.URL.RawQuery
		select {
		case list := <-d.responses:
			if list.Revision == 0 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			json.NewEncoder(w).Encode(list)
		case <-r.Context().Done():
		case <-stop:
		}
	}))
	t.Cleanup(func() { close(stop); server.Close() })
	d.addr = server.Listener.Addr().String()
	return d
}

// withoutTimeout returns a watch call's query without its timeout_ms, which is random.
func withoutTimeout(query string) string {
	query, _, _ = strings.Cut(query, "&timeout_ms=")
	return query
}

// upMember returns the list entry of an active upstream.
func upMember(id string, u *testUpstream) member {
	return member{ID: id, HostPort: u.addr, Locality: "z1", Phase: "up", Size: 1}
}

// drainingMember returns m as a draining upstream.
func drainingMember(m member) member { m.Phase = "draining"; return m }

// testBalancer is a balancer that runs in the test's process.
type testBalancer struct {
	url       string
	discovery *manualDiscovery
	cancel    context.CancelFunc
	runResult chan error // the result of run
	config    Config
	reloads   chan Reload
	client    *http.Client // reuses connections
	loop      *loop
}

// startBalancer starts a balancer with the given cached list of upstreams. It is stopped when the test ends.
func startBalancer(t *testing.T, members ...member) *testBalancer {
	t.Helper()
	return startBalancerWith(t, func(*Config) {}, members...)
}

// startBalancerWith is like startBalancer, with a configuration that modify has changed.
func startBalancerWith(t *testing.T, modify func(*Config), members ...member) *testBalancer {
	t.Helper()
	d := newManualDiscovery(t)
	c := parsedConfigWith(t, d.addr, members)
	modify(&c)
	l, err := Listen(&c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &testBalancer{url: "http://" + l.Addr().String(), discovery: d, cancel: cancel,
		runResult: make(chan error, 1), config: c, reloads: make(chan Reload),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}}
	loops := make(chan *loop, 1)
	go func() { b.runResult <- run(ctx, c, l, b.reloads, func(l *loop) { loops <- l }) }()
	b.loop = <-loops
	t.Cleanup(func() {
		b.client.CloseIdleConnections()
		cancel()
		if err := <-b.runResult; err != nil {
			t.Error(err)
		}
		b.runResult <- nil
	})
	return b
}

// lastRequestID numbers the requests of newRequest.
var lastRequestID atomic.Int64

// newRequest returns a valid request of a class. headers are names and values in turn.
func (b *testBalancer) newRequest(class, body string, headers ...string) *http.Request {
	id := lastRequestID.Add(1)
	method := http.MethodPost
	if class == "read" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, b.url+"/"+class+"/x?q=%2F1", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", id))
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Deadline-Ms", "4000")
	if class == "pay" {
		r.Header.Set("Idempotency-Key", strconv.FormatInt(id, 10))
	}
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return r
}

// startRequest sends a request on another goroutine. The channel gets the status of the response, or 0 if there is none.
func (b *testBalancer) startRequest(r *http.Request) <-chan int {
	status := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(r)
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	return status
}

// do sends a request and returns the status and the body of the response.
func (b *testBalancer) do(t *testing.T, r *http.Request) (int, string) {
	t.Helper()
	resp, err := b.client.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(body)
}

// want fails the test if got differs from want. what names the value.
func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

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

// TestAttemptIsWrittenOnce guards against the transport resending a request when a reused connection breaks, as
// http.Transport does for some requests. Only the Balancer may decide to retry.
func TestAttemptIsWrittenOnce(t *testing.T) {
	for _, class := range []string{"checkin", "pay"} {
		t.Run(class, func(t *testing.T) {
			served := 0
			server := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				served++ // there is only one connection at a time
				return served == 1 && respondOK(c, r)
			})
			u := &upstream{address: server.addr}
			transport := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}
			send := func(c *conn) attemptResult {
				h := headOf("X-Request-Id: 1")
				if class == "pay" {
					h = headOf("X-Request-Id: 1", "Idempotency-Key: 1")
				}
				m := message{methodAndTarget: "POST /x", host: "x", head: h}
				return transport.run(&attempt{req: &request{}, upstream: u, address: server.addr, conn: c, message: &m,
					responseTimeout: time.Second})
			}
			first := send(nil)
			want(t, "first attempt", first.status, garnettide.OK)
			want(t, "second attempt", send(first.conn).status, garnettide.Reset)
			want(t, "requests written", len(server.received), 2)
			want(t, "connections opened", server.connsOpened(), 1)
		})
	}
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

// TestStaleIdleConnectionIsNotReused guards against writing a request to a connection that the upstream closed while it
// was idle.
func TestStaleIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		respondOK(c, r)
		c.Close()
		closed <- struct{}{}
		return false
	})
	transport := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}
	c, err := transport.connect(nil, server.addr, func() bool { return true })
	if err != nil {
		t.Fatal(err)
	}
	run := func(c *conn) attemptResult {
		m := message{methodAndTarget: "POST /x", host: "x"}
		return transport.run(&attempt{req: &request{}, upstream: &upstream{}, address: server.addr, conn: c,
			message: &m, responseTimeout: time.Second})
	}
	r := run(c)
	want(t, "first attempt", r.status, garnettide.OK)
	<-closed
	if _, err := r.conn.reader.Peek(1); err == nil { // waits for the close to arrive
		t.Fatal("got bytes on an idle connection, want none")
	}
	want(t, "second attempt", run(r.conn).status, garnettide.OK)
	want(t, "connections opened", server.connsOpened(), 2)
}

// TestAttemptResultForResponse guards against wrong outcomes of attempts, and against reusing a connection after a
// response that leaves its state unclear.
func TestAttemptResultForResponse(t *testing.T) {
	raw := func(text string, keep bool) func(net.Conn, *http.Request) bool {
		return func(c net.Conn, _ *http.Request) bool { io.WriteString(c, text); return keep }
	}
	for _, c := range []struct {
		name     string
		respond  func(net.Conn, *http.Request) bool
		status   any
		reusable bool
	}{
		{"complete",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: util=0.5\r\n\r\nab", true), garnettide.OK, true},
		{"complete, chunked",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true),
			garnettide.OK, true},
		{"complete, Connection: close",
			raw("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", false), garnettide.OK, false},
		{"complete after an interim response",
			raw("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true),
			garnettide.OK, true},
		{"followed by a duplicate response",
			raw(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 2), true), garnettide.OK, false},
		{"followed by extra bytes", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab?", true), garnettide.OK, false},
		{"too many interim responses",
			raw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses+1), true),
			garnettide.Error, false},
		{"protocol switch",
			raw("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true),
			garnettide.Error, false},
		{"header too long",
			raw("HTTP/1.1 200 OK\r\n"+strings.Repeat("X-Pad: pppppppppp\r\n", maxHeadBytes/10), true),
			garnettide.Error, false},
		{"header line too long",
			raw("HTTP/1.1 200 OK\r\nX-Pad: "+strings.Repeat("p", 2*maxHeadBytes), true), garnettide.Error, false},
		{"body ends with the connection", raw("HTTP/1.1 200 OK\r\n\r\nab", false), garnettide.OK, false},
		{"204 without a body", raw("HTTP/1.1 204 No Content\r\n\r\n", true), garnettide.Error, true},
		{"with a trailer",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2;a=b\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n", true),
			garnettide.OK, true},
		{"trailer too long",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"+
				strings.Repeat("X-Pad: pppppppppp\r\n", maxHeadBytes/10), true),
			garnettide.Error, false},
		{"truncated in the trailer",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", false),
			garnettide.Reset, false},
		{"Content-Length and Transfer-Encoding",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true),
			garnettide.Error, false},
		{"two Content-Length fields",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"negative Content-Length",
			raw("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab", true), garnettide.Error, false},
		{"malformed chunk size",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n", true),
			garnettide.Error, false},
		{"malformed status code", raw("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"header field without a colon",
			raw("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"space in a header field's name",
			raw("HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"Content-Length of 3 GB",
			raw("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab", true), garnettide.Error, false},
		{"status 500", raw("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true), garnettide.Error, true},
		{"503 that may have been executed",
			raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true), garnettide.Error, true},
		{"503 with X-Not-Run",
			raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), garnettide.Rejected, true},
		{"504 with X-Not-Run",
			raw("HTTP/1.1 504 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), garnettide.Rejected, true},
		{"502 with X-Not-Run may have been executed",
			raw("HTTP/1.1 502 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), garnettide.Error, true},
		{"closed without a response", raw("", false), garnettide.Reset, false},
		{"truncated", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false), garnettide.Reset, false},
		{"truncated, chunked",
			raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false), garnettide.Reset, false},
		{"not HTTP", raw("what?\r\n\r\n", false), garnettide.Error, false},
		{"Content-Length over the size limit",
			raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1), true),
			garnettide.Error, false},
		{"error response too long to buffer",
			raw("HTTP/1.1 500 X\r\nContent-Length: 65537\r\n\r\n", true), garnettide.Error, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestUpstream(t, c.respond)
			m := message{methodAndTarget: "POST /x", host: "x", body: []byte("b")}
			result := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}.run(
				&attempt{req: &request{}, upstream: &upstream{}, address: server.addr, message: &m,
					responseTimeout: time.Second})
			want(t, "status", any(result.status), c.status)
			want(t, "connection reusable", result.conn != nil, c.reusable)
			if c.status == garnettide.OK {
				want(t, "body", string(result.body), "ab")
			}
		})
	}
}

// readSignalConn is a connection that sends to reads before each read.
type readSignalConn struct {
	net.Conn
	reads chan struct{}
}

func (c readSignalConn) Read(b []byte) (int, error) {
	c.reads <- struct{}{}
	return c.Conn.Read(b)
}

func (c readSignalConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// TestResetDoesNotCompleteResponseWithoutLength guards against taking a reset for the end of a response without a
// length. The kernel reports a reset only once, and later reads return io.EOF.
func TestResetDoesNotCompleteResponseWithoutLength(t *testing.T) {
	reads := make(chan struct{}, 10)
	server := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nab")
		<-reads // the read that returns these bytes
		<-reads // the read that waits for more
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	open := func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout(network, address, timeout)
		return readSignalConn{c, reads}, err
	}
	m := message{methodAndTarget: "POST /x", host: "x"}
	result := upstreamTransport{open: open, timeout: time.Second, memory: newBodyMemory()}.run(
		&attempt{req: &request{}, upstream: &upstream{}, address: server.addr, message: &m,
			responseTimeout: time.Second})
	want(t, "status", result.status, garnettide.Reset)
	want(t, "body", string(result.body), "")
}

// TestFailedConnectAndDroppedAttemptWriteNothing guards against writing a request after its connection failed or its
// attempt was dropped.
func TestFailedConnectAndDroppedAttemptWriteNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	transport := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}
	want(t, "status without a listener", transport.run(&attempt{address: listener.Addr().String()}).status,
		garnettide.ConnectFailed)

	// An attempt is dropped if its request ends, or its upstream is drained or removed, while its connection is being
	// opened.
	server := newTestUpstream(t, respondOK)
	a := &attempt{req: &request{}, address: server.addr, message: &message{methodAndTarget: "POST /x", host: "x"},
		responseTimeout: time.Second}
	want(t, "dropped", a.drop(), true)
	result := transport.run(a)
	want(t, "status", result.status, garnettide.NotSent)
	want(t, "connection reusable", result.conn != nil && result.conn.checkIdle() == nil, true)
	want(t, "requests written", len(server.received), 0)
}

// TestRetriesElsewhereAfterRefusedConnection guards against failing a request because its connection was refused. It
// was not executed, so it can be sent to another upstream.
func TestRetriesElsewhereAfterRefusedConnection(t *testing.T) {
	refusing, serving := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	refusing.addr = listener.Addr().String()
	listener.Close()
	b := startBalancer(t, upMember("s-00000001", refusing), upMember("s-00000002", serving))
	for range 4 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
}

// TestInvalidRequestsAreNotForwarded guards against forwarding requests that do not fit their class or exceed the size
// limit.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	oversizedBody := strings.Repeat("x", maxBodyBytes+1)
	chunkedGet := b.newRequest("read", "")
	chunkedGet.Body, chunkedGet.ContentLength = io.NopCloser(strings.NewReader("x")), -1
	wrongMethod := b.newRequest("checkin", "")
	wrongMethod.Method = http.MethodGet
	noID := b.newRequest("checkin", "")
	noID.Header.Del("X-Request-Id")
	noKey := b.newRequest("pay", "")
	noKey.Header.Del("Idempotency-Key")
	for _, tt := range []struct {
		name    string
		request *http.Request
		status  int
	}{
		{"unknown class", b.newRequest("checkin", "", "X-Class", "nope"), 400},
		{"path of another class", b.newRequest("checkin", "", "X-Class", "read"), 400},
		{"no id", noID, 400},
		{"method of another class", wrongMethod, 400},
		{"key on a non-idempotent class", b.newRequest("checkin", "", "Idempotency-Key", "1"), 400},
		{"missing key", noKey, 400},
		{"GET with a chunked body", chunkedGet, 400},
	} {
		status, _ := b.do(t, tt.request)
		want(t, tt.name, status, tt.status)
	}
	oversizedRequest := checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", len(oversizedBody))) +
		oversizedBody
	if got := sendRaw(t, b.url, oversizedRequest); !strings.HasPrefix(got, "HTTP/1.1 413 ") {
		t.Errorf("body too large: got %q, want 413", got)
	}
	want(t, "requests at the upstream", len(upstream.received), 0)
}

// sendRaw sends text on a new connection and returns everything received until the connection is closed.
func sendRaw(t *testing.T, url, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	go io.WriteString(c, text) // the balancer may close before all of it is written
	got, err := io.ReadAll(c)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("got neither a response nor a close")
	}
	return string(got)
}

// checkinRequest returns the head of a request of class checkin, with headerLines added. Each line ends in CRLF.
func checkinRequest(headerLines string) string {
	return "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Class: checkin\r\n" + headerLines + "\r\n"
}

// malformedRequest is a text that is not a valid request, and the status of the response to it. An empty status
// means that the connection is closed without a response.
type malformedRequest struct{ name, text, status string }

// malformedRequests returns the cases of TestMalformedRequestsAreRefused and TestMalformedRequestsAreRefusedInTime.
func malformedRequests() []malformedRequest {
	const id = "X-Request-Id: 1\r\n"
	return []malformedRequest{
		{"binary data", "\x00\x01\x02\r\n\r\n", "505"},
		{"Content-Length and Transfer-Encoding",
			checkinRequest(id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"two Transfer-Encoding fields",
			checkinRequest(id + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"chunked twice", checkinRequest(id + "Transfer-Encoding: chunked, chunked\r\n"), "400"},
		{"unknown Transfer-Encoding", checkinRequest(id + "Transfer-Encoding: gzip\r\n"), "501"},
		{"unknown Expect", checkinRequest(id + "Content-Length: 2\r\nExpect: more\r\n"), "417"},
		{"malformed chunk size", checkinRequest(id+"Transfer-Encoding: chunked\r\n") + "zz\r\n", "400"},
		{"incomplete chunk", checkinRequest(id+"Transfer-Encoding: chunked\r\n") + "5\r\nab", "408"},
		{"chunks in HTTP/1.0",
			strings.Replace(checkinRequest(id+"Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1), "505"},
		{"space before the colon", checkinRequest(id + "Transfer-Encoding : chunked\r\n"), "400"},
		{"header field without a colon", checkinRequest(id + "what\r\n"), "400"},
		{"no Content-Length", checkinRequest(id), "411"},
		{"negative Content-Length", checkinRequest(id + "Content-Length: -5\r\n"), "400"},
		{"signed Content-Length", checkinRequest(id+"Content-Length: +2\r\n") + "ab", "400"},
		{"Content-Length out of range", checkinRequest(id + "Content-Length: 99999999999999999999\r\n"), "413"},
		{"two Content-Length fields", checkinRequest(id + "Content-Length: 2\r\nContent-Length: 2\r\n"), "400"},
		{"body longer than Content-Length", checkinRequest(id+"Content-Length: 2\r\n") + "abc", "400"},
		{"pipelined requests", strings.Repeat(checkinRequest(id+"Content-Length: 0\r\n"), 2), "400"},
		{"unknown class",
			strings.Replace(checkinRequest(id+"Content-Length: 0\r\n"), "X-Class: checkin", "X-Class: x", 1), "400"},
		{"two X-Class fields", checkinRequest(id + "X-Class: checkin\r\nContent-Length: 0\r\n"), "400"},
		{"no X-Request-Id", checkinRequest("Content-Length: 0\r\n"), "400"},
		{"two X-Request-Id fields", checkinRequest(id + id + "Content-Length: 0\r\n"), "400"},
		{"deadline is not a number", checkinRequest(id + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n"), "400"},
		{"empty deadline", checkinRequest(id + "X-Deadline-Ms:\r\nContent-Length: 0\r\n"), "400"},
		{"zero deadline", checkinRequest(id + "X-Deadline-Ms: 0\r\nContent-Length: 0\r\n"), "400"},
		{"negative deadline", checkinRequest(id + "X-Deadline-Ms: -5\r\nContent-Length: 0\r\n"), "400"},
		{"two X-Deadline-Ms fields",
			checkinRequest(id + "X-Deadline-Ms: 50\r\nX-Deadline-Ms: 60\r\nContent-Length: 0\r\n"), "400"},
		{"head too long", checkinRequest(id + strings.Repeat("X-Pad: pppp\r\n", maxHeadBytes)), "431"},
		{"incomplete head", "POST /checkin HT", "408"},
		{"incomplete body", checkinRequest(id+"Content-Length: 5\r\n") + "ab", "408"},
		{"no bytes", "", ""},
	}
}

// checkResponse checks what a client received after sending the malformed request.
func (m malformedRequest) checkResponse(t *testing.T, got string) {
	t.Helper()
	if want := "HTTP/1.1 " + m.status; (m.status == "") != (got == "") ||
		(m.status != "" && !strings.HasPrefix(got, want)) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestMalformedRequestsAreRefused guards against forwarding requests that are malformed or have ambiguous framing.
func TestMalformedRequestsAreRefused(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	for _, m := range malformedRequests() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.checkResponse(t, sendRaw(t, b.url, m.text))
		})
	}
	t.Cleanup(func() { want(t, "requests at the upstream", len(upstream.received), 0) })
}

// TestMalformedRequestsAreRefusedInTime guards against a client that waits over 3 s for a response or a close. The fake
// clock makes the time independent of the machine's load.
func TestMalformedRequestsAreRefusedInTime(t *testing.T) {
	for _, m := range malformedRequests() {
		t.Run(m.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				b.sendList(50, b.addUpstream(respondOK).member("s-00000001"))
				synctest.Wait()
				conn, start := b.connectClient(), time.Now()
				go io.WriteString(conn, m.text)
				got, _ := io.ReadAll(conn)
				m.checkResponse(t, string(got))
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("got a response or a close after %v, want at most 3s", took)
				}
				conn.Close()
				want(t, "requests started at the upstream", b.requestsStarted(), 0)
				b.expireAndStop()
			})
		})
	}
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

// TestDeadlineAboveClassLimitIsAccepted guards against refusing a request whose deadline is longer than its class's.
func TestDeadlineAboveClassLimitIsAccepted(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "99999999999"))
	want(t, "status", status, 200)
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

// TestHungUpstreamFailsByDeadline guards against responding well before or long after the client's deadline,
// and against sending a non-idempotent request again.
func TestHungUpstreamFailsByDeadline(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := startBalancer(t, upMember("s-00000001", upstream), upMember("s-00000002", upstream))
	defer close(release)
	start := time.Now()
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "200"))
	want(t, "status", status, http.StatusGatewayTimeout)
	if took := time.Since(start); took < 150*time.Millisecond || took > 2*time.Second {
		t.Errorf("got the response after %v, want it between 150ms and 2s", took)
	}
	want(t, "requests at the upstream", len(upstream.received), 1)
}

// TestUpstreamConnectionOutlivesClient guards against closing an upstream connection because the client has
// left. It stays open for the late response and is reused. The upstream closes all other connections after a
// response, so that the reuse can be detected.
func TestUpstreamConnectionOutlivesClient(t *testing.T) {
	release := make(chan struct{})
	servedOn := make(chan net.Conn, 1)
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		servedOn <- c
		if r.Header.Get("X-Late") != "" {
			<-release
			return respondOK(c, r)
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	ctx, disconnect := context.WithCancel(context.Background())
	clientErr := make(chan error, 1)
	go func() {
		_, err := b.client.Do(b.newRequest("checkin", "", "X-Late", "1").WithContext(ctx))
		clientErr <- err
	}()
	lateConn := <-servedOn
	<-upstream.received
	disconnect()
	if err := <-clientErr; err == nil {
		t.Fatal("the cancelled request got a response")
	}
	status, _ := b.do(t, b.newRequest("checkin", "")) // uses another upstream connection
	want(t, "status", status, 200)
	<-servedOn
	<-upstream.received
	close(release)
	for deadline := time.Now().Add(lateResponseTimeout); ; {
		if status, _ := b.do(t, b.newRequest("checkin", "")); status == 200 {
			<-upstream.received
			if <-servedOn == lateConn {
				break
			}
		}
		if time.Now().After(deadline) {
			t.Fatal("the connection was not reused")
		}
	}
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
