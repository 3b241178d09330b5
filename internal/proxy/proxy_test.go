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

// settingsText has a class of each kind. Discovery is asked again at once after a failure.
const settingsText = `{"az":"z1","balancers":1,"granularity_us":1000,"membership_mode":"on_request","weights":"nominal",
"worth_by":"work","limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":500000,"keepalive_us":60000000},
"obligations":{"ask_within_us":320000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3.0},
"profiles":[{"name":"read","target_us":2000000,"give_up_us":4000000,"repeat":"read_like","worth":1},
{"name":"pay","target_us":2000000,"give_up_us":4000000,"repeat":"idempotency_key","group":"all","memory_span_us":9000000,"worth":1},
{"name":"checkin","target_us":2000000,"give_up_us":4000000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}`

// server is an upstream whose answers a test writes byte by byte.
type testUpstream struct {
	addr      string
	received  chan *http.Request // each request whose last byte has come, with its body read
	mu        sync.Mutex
	connCount int
}

// newServer starts an upstream. answer writes what it likes; false closes the connection.
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

func (u *testUpstream) connsOpened() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.connCount
}

func writeOK(c net.Conn, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

func respondOK(c net.Conn, _ *http.Request) bool { return writeOK(c, "done") }

// registry is a discovery service. Each answer of a call is what the test puts into answers; calls are told.
type manualDiscovery struct {
	addr      string
	calls     chan string // the query of each call
	responses chan discoveryList
}

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

// since is a call's query without its wait, which is drawn.
func withoutTimeout(query string) string {
	query, _, _ = strings.Cut(query, "&timeout_ms=")
	return query
}

func upMember(id string, s *testUpstream) member {
	return member{ID: id, HostPort: s.addr, Locality: "z1", Phase: "up", Size: 1}
}

func drainingMember(m member) member { m.Phase = "draining"; return m }

// balancer is a running balancer.
type testBalancer struct {
	url       string
	discovery *manualDiscovery
	cancel    context.CancelFunc
	runResult chan error
	config    Config
	reloads   chan Reload
	client    *http.Client
	loop      *loop
}

func startBalancer(t *testing.T, members ...member) *testBalancer {
	t.Helper()
	return startBalancerWith(t, func(*Config) {}, members...)
}

// newBalancerWith starts a balancer of a configuration that set has changed.
func startBalancerWith(t *testing.T, modify func(*Config), members ...member) *testBalancer {
	t.Helper()
	d := newManualDiscovery(t)
	c := configOf(t, d.addr, members)
	modify(&c)
	l, err := Listen(&c)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	b := &testBalancer{url: "http://" + l.Addr().String(), discovery: d, cancel: cancel, runResult: make(chan error, 1), config: c, reloads: make(chan Reload),
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

var lastRequestID atomic.Int64

// ask returns a well-formed request of a class.
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

// do sends a request and returns the answer whole.
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

func want(t *testing.T, what string, got, want any) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %v, want %v", what, got, want)
	}
}

func TestForwardsRequestsAndResponsesUnchanged(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	for _, class := range []string{"pay", "checkin"} {
		time.Sleep(2 * connReuseDelay) // or the second one would not use the connection again
		sent := b.newRequest(class, "body", "Connection", "X-Hop", "X-Hop", "1", "X-Extras", "a=1")
		status, body := b.do(t, sent)
		want(t, "status", status, 200)
		want(t, "answer", body, "done")
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
			t.Errorf("X-Deadline-Ms: got %q, want under the client's", forwarded.Header.Get("X-Deadline-Ms"))
		}
	}
	want(t, "connections", upstream.connsOpened(), 1)
}

// http.Transport writes a GET or a keyed request again by itself when a kept connection breaks. What has been
// written once must not be written again by anything but the module, and an unsafe request never.
func TestAttemptIsWrittenOnce(t *testing.T) {
	for _, class := range []string{"checkin", "pay"} {
		t.Run(class, func(t *testing.T) {
			served := 0
			server := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
				served++ // one connection at a time
				return served == 1 && respondOK(c, r)
			})
			u := &upstream{address: server.addr}
			transport := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}
			send := func(c *conn) attemptResult {
				h := http.Header{"X-Request-Id": {"1"}}
				if class == "pay" {
					h.Set("Idempotency-Key", "1")
				}
				m := message{methodAndTarget: "POST /x", host: "x", header: h}
				return transport.run(&attempt{req: &request{}, upstream: u, address: server.addr, conn: c, message: &m, responseTimeout: time.Second})
			}
			first := send(nil)
			want(t, "first", first.status, garnettide.OK)
			want(t, "second", send(first.conn).status, garnettide.Reset)
			want(t, "requests written", len(server.received), 2)
			want(t, "connections", server.connsOpened(), 1)
		})
	}
}

// A client that has left before its request is read, or before the loop hears of it, is sent on nothing for.
func TestNothingIsSentForDisconnectedClient(t *testing.T) {
	t.Run("before it is read", func(t *testing.T) {
		c, err := loadTestConfig(t, configText, nil)
		if err != nil {
			t.Fatal(err)
		}
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		h := newHand(t)
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
		want(t, "requests handed on", len(h.events), 0)
		want(t, "room given back", h.memory.available.Load(), c.bodyMemory())
	})
	t.Run("before the loop hears of it", func(t *testing.T) {
		upstream := newTestUpstream(t, respondOK)
		h := newHand(t)
		connecting, release := h.lateConns()
		h.list(20, upMember("s-00000001", upstream))
		r := h.begin("read", "1", time.Second)
		<-connecting
		r.clientGone.Store(true)
		close(release)
		h.next()
		want(t, "requests written", len(upstream.received), 0)
	})
}

// A connection that the upstream closed while it idled is seen before anything is written to it.
func TestStaleIdleConnectionIsNotReused(t *testing.T) {
	closed := make(chan struct{}, 2)
	server := newTestUpstream(t, func(c net.Conn, first *http.Request) bool {
		respondOK(c, first)
		c.Close()
		closed <- struct{}{}
		return false
	})
	transport := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}
	c, err := transport.connect(nil, server.addr)
	if err != nil {
		t.Fatal(err)
	}
	run := func(c *conn) attemptResult {
		m := message{methodAndTarget: "POST /x", host: "x"}
		return transport.run(&attempt{req: &request{}, upstream: &upstream{}, address: server.addr, conn: c, message: &m, responseTimeout: time.Second})
	}
	first := run(c)
	want(t, "first", first.status, garnettide.OK)
	<-closed
	if _, err := first.conn.reader.Peek(1); err == nil { // the end has come
		t.Fatal("bytes on an idle connection")
	}
	want(t, "second", run(first.conn).status, garnettide.OK)
	want(t, "connections", server.connsOpened(), 2)
}

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
		{"served", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: util=0.5\r\n\r\nab", true), garnettide.OK, true},
		{"served in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true), garnettide.OK, true},
		{"served, then closed", raw("HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab", false), garnettide.OK, false},
		{"served after a 1xx", raw("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true), garnettide.OK, true},
		{"a second copy behind it", raw(strings.Repeat("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 2), true), garnettide.OK, false},
		{"noise behind it", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab?", true), garnettide.OK, false},
		{"1xx without end", raw(strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterimResponses+1), true), garnettide.Error, false},
		{"101", raw("HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"a head without end", raw("HTTP/1.1 200 OK\r\n"+strings.Repeat("X-Pad: pppppppppp\r\n", maxHeadBytes/10), true), garnettide.Error, false},
		{"a line without end", raw("HTTP/1.1 200 OK\r\nX-Pad: "+strings.Repeat("p", 2*maxHeadBytes), true), garnettide.Error, false},
		{"ended by the connection's end", raw("HTTP/1.1 200 OK\r\n\r\nab", false), garnettide.OK, false},
		{"no body for 204", raw("HTTP/1.1 204 No Content\r\n\r\n", true), garnettide.Error, true},
		{"a trailer", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n2;a=b\r\nab\r\n0\r\nX-Sum: 1\r\n\r\n", true), garnettide.OK, true},
		{"a trailer without end", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n"+strings.Repeat("X-Pad: pppppppppp\r\n", maxHeadBytes/10), true), garnettide.Error, false},
		{"cut short in the trailer", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", false), garnettide.Reset, false},
		{"both framings", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true), garnettide.Error, false},
		{"two lengths", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"a negative length", raw("HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nab", true), garnettide.Error, false},
		{"noise for a chunk", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\nzz\r\n", true), garnettide.Error, false},
		{"a status that is none", raw("HTTP/1.1 2x0 OK\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"a field without a colon", raw("HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"a blank in a field's name", raw("HTTP/1.1 200 OK\r\nContent-Length : 3\r\nContent-Length: 2\r\n\r\nab", true), garnettide.Error, false},
		{"3 GB", raw("HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nab", true), garnettide.Error, false},
		{"error", raw("HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n", true), garnettide.Error, true},
		{"503 that may have run", raw("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n", true), garnettide.Error, true},
		{"503 not run", raw("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), garnettide.Rejected, true},
		{"504 not run", raw("HTTP/1.1 504 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), garnettide.Rejected, true},
		{"502 not run is not in the table", raw("HTTP/1.1 502 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), garnettide.Error, true},
		{"closed without an answer", raw("", false), garnettide.Reset, false},
		{"cut short", raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", false), garnettide.Reset, false},
		{"cut short in chunks", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false), garnettide.Reset, false},
		{"no HTTP", raw("what?\r\n\r\n", false), garnettide.Error, false},
		{"over the bound", raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", maxBodyBytes+1), true), garnettide.Error, false},
		{"an error of many bytes", raw("HTTP/1.1 500 X\r\nContent-Length: 65537\r\n\r\n", true), garnettide.Error, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			server := newTestUpstream(t, c.respond)
			m := message{methodAndTarget: "POST /x", host: "x", body: []byte("b")}
			result := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}.run(&attempt{req: &request{}, upstream: &upstream{}, address: server.addr, message: &m, responseTimeout: time.Second})
			want(t, "status", any(result.status), c.status)
			want(t, "kept", result.conn != nil, c.reusable)
			if c.status == garnettide.OK {
				want(t, "body", string(result.body), "ab")
			}
		})
	}
}

// readConn is a connection that tells of each read before it waits for bytes.
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

// A reset is no end of an answer that has no length, also where it comes while nothing but the next bytes is awaited:
// the system tells of it once, and what is read behind it looks like an end.
func TestResetDoesNotCompleteResponseWithoutLength(t *testing.T) {
	reads := make(chan struct{}, 10)
	server := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\nab")
		<-reads // the one that takes these bytes
		<-reads // and the one that waits for more
		c.(*net.TCPConn).SetLinger(0)
		return false
	})
	open := func(network, address string, timeout time.Duration) (net.Conn, error) {
		c, err := net.DialTimeout(network, address, timeout)
		return readSignalConn{c, reads}, err
	}
	m := message{methodAndTarget: "POST /x", host: "x"}
	result := upstreamTransport{open: open, timeout: time.Second, memory: newBodyMemory()}.run(&attempt{req: &request{}, upstream: &upstream{}, address: server.addr,
		message: &m, responseTimeout: time.Second})
	want(t, "status", result.status, garnettide.Reset)
	want(t, "body", string(result.body), "")
}

func TestFailedConnectAndDroppedAttemptWriteNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listener.Close()
	transport := upstreamTransport{open: net.DialTimeout, timeout: time.Second, memory: newBodyMemory()}
	want(t, "refused", transport.run(&attempt{address: listener.Addr().String()}).status, garnettide.ConnectFailed)

	// What waits for its connection when its request ends or its upstream leaves is not sent any more.
	server := newTestUpstream(t, respondOK)
	a := &attempt{req: &request{}, address: server.addr, message: &message{methodAndTarget: "POST /x", host: "x"}, responseTimeout: time.Second}
	want(t, "dropped", a.drop(), true)
	result := transport.run(a)
	want(t, "status", result.status, garnettide.NotSent)
	want(t, "still of use", result.conn != nil && result.conn.checkIdle() == nil, true)
	want(t, "requests written", len(server.received), 0)
}

// A refused connection proves that the request never ran: it goes elsewhere.
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
		{"method of another kind", wrongMethod, 400},
		{"key on an unsafe class", b.newRequest("checkin", "", "Idempotency-Key", "1"), 400},
		{"keyed without a key", noKey, 400},
		{"GET with a body in chunks", chunkedGet, 400},
	} {
		status, _ := b.do(t, tt.request)
		want(t, tt.name, status, tt.status)
	}
	oversizedRequest := checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", len(oversizedBody))) + oversizedBody
	if got := sendRaw(t, b.url, oversizedRequest); !strings.HasPrefix(got, "HTTP/1.1 413 ") {
		t.Errorf("body too large: got %q, want 413", got)
	}
	want(t, "requests at the upstream", len(upstream.received), 0)
}

// rawClient sends text on a connection of its own, and returns all that comes back until it is closed.
func sendRaw(t *testing.T, url, text string) string {
	t.Helper()
	c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	go io.WriteString(c, text) // it may be closed before all is written
	got, err := io.ReadAll(c)
	if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
		t.Error("neither an answer nor a close")
	}
	return string(got)
}

// checkin is a request as text, with fields put in.
func checkinRequest(headerLines string) string {
	return "POST /checkin HTTP/1.1\r\nHost: x\r\nX-Class: checkin\r\n" + headerLines + "\r\n"
}

// badClient is what a client sends that is no proper request, and the status that it is owed; none: a close.
type malformedRequest struct{ name, text, status string }

func malformedRequests() []malformedRequest {
	const id = "X-Request-Id: 1\r\n"
	return []malformedRequest{
		{"noise", "\x00\x01\x02\r\n\r\n", "505"},
		{"both framings", checkinRequest(id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"two codings", checkinRequest(id + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"chunked twice", checkinRequest(id + "Transfer-Encoding: chunked, chunked\r\n"), "400"},
		{"another coding", checkinRequest(id + "Transfer-Encoding: gzip\r\n"), "501"},
		{"another expectation", checkinRequest(id + "Content-Length: 2\r\nExpect: more\r\n"), "417"},
		{"a chunk that is none", checkinRequest(id+"Transfer-Encoding: chunked\r\n") + "zz\r\n", "400"},
		{"half a chunk", checkinRequest(id+"Transfer-Encoding: chunked\r\n") + "5\r\nab", "408"},
		{"chunks in HTTP/1.0", strings.Replace(checkinRequest(id+"Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1), "505"},
		{"a blank before the colon", checkinRequest(id + "Transfer-Encoding : chunked\r\n"), "400"},
		{"a field without a colon", checkinRequest(id + "what\r\n"), "400"},
		{"no length", checkinRequest(id), "411"},
		{"a negative length", checkinRequest(id + "Content-Length: -5\r\n"), "400"},
		{"a signed length", checkinRequest(id+"Content-Length: +2\r\n") + "ab", "400"},
		{"a huge length", checkinRequest(id + "Content-Length: 99999999999999999999\r\n"), "413"},
		{"two lengths", checkinRequest(id + "Content-Length: 2\r\nContent-Length: 2\r\n"), "400"},
		{"more than its length", checkinRequest(id+"Content-Length: 2\r\n") + "abc", "400"},
		{"two requests at once", strings.Repeat(checkinRequest(id+"Content-Length: 0\r\n"), 2), "400"},
		{"a class that does not exist", strings.Replace(checkinRequest(id+"Content-Length: 0\r\n"), "X-Class: checkin", "X-Class: x", 1), "400"},
		{"two classes", checkinRequest(id + "X-Class: checkin\r\nContent-Length: 0\r\n"), "400"},
		{"no id", checkinRequest("Content-Length: 0\r\n"), "400"},
		{"two ids", checkinRequest(id + id + "Content-Length: 0\r\n"), "400"},
		{"a deadline that is no number", checkinRequest(id + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n"), "400"},
		{"a deadline that is empty", checkinRequest(id + "X-Deadline-Ms:\r\nContent-Length: 0\r\n"), "400"},
		{"a deadline of zero", checkinRequest(id + "X-Deadline-Ms: 0\r\nContent-Length: 0\r\n"), "400"},
		{"a negative deadline", checkinRequest(id + "X-Deadline-Ms: -5\r\nContent-Length: 0\r\n"), "400"},
		{"two deadlines", checkinRequest(id + "X-Deadline-Ms: 50\r\nX-Deadline-Ms: 60\r\nContent-Length: 0\r\n"), "400"},
		{"a head without end", checkinRequest(id + strings.Repeat("X-Pad: pppp\r\n", maxHeadBytes)), "431"},
		{"half a head", "POST /checkin HT", "408"},
		{"half a body", checkinRequest(id+"Content-Length: 5\r\n") + "ab", "408"},
		{"nothing", "", ""},
	}
}

// check holds what a bad client got against what it is owed.
func (m malformedRequest) checkResponse(t *testing.T, got string) {
	t.Helper()
	if want := "HTTP/1.1 " + m.status; (m.status == "") != (got == "") || (m.status != "" && !strings.HasPrefix(got, want)) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// What can't be read, or is not certain, never reaches an upstream: it gets its word and a close.
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

// Each has its word or its close within 3 s of connecting. On a clock of its own: the balancer has 0.2 s in hand, and a busy
// machine woke it later than that (half a chunk was answered after 3.05 s).
func TestMalformedRequestsAreRefusedInTime(t *testing.T) {
	for _, m := range malformedRequests() {
		t.Run(m.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				v := newVirtual(t, silentPipe(t), noDiscovery, func(*Config, *garnettide.Settings) {})
				close(v.gate)
				v.tell(50, v.upstream(respondOK).member("s-00000001"))
				synctest.Wait()
				conn, start := v.meet(), time.Now()
				go io.WriteString(conn, m.text)
				got, _ := io.ReadAll(conn)
				m.checkResponse(t, string(got))
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("answered after %v", took)
				}
				conn.Close()
				want(t, "begun", v.begun(), 0)
				v.rest()
			})
		})
	}
}

// A client that is slow but goes on is a usual one on a bad line: it is served, later than a silent one is closed.
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
		time.Sleep(requestHeadTimeout / 8) // a slow line is what is tried
	}
	if time.Since(start) < 2*time.Second {
		t.Fatal("not slow enough to tell")
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "status", resp.StatusCode, 200)
}

// A deadline beyond the class's is cut to that.
func TestDeadlineAboveClassLimitIsAccepted(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "99999999999"))
	want(t, "status", status, 200)
}

// The id of a request that is open: the newcomer is turned away, the first is served.
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
	want(t, "newcomer", status, 409)
	close(release)
	want(t, "first", <-originalStatus, 200)
	status, _ = b.do(t, duplicate.Clone(t.Context()))
	want(t, "once it is no longer open", status, 200)
}

// Hundreds of silent connections: those that say nothing make room, a request in hand is answered, and new clients are
// served.
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
	for range b.config.maxClientConns() + 50 {
		c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	if _, err := silent[0].Read(make([]byte, 1)); err == nil {
		t.Error("bytes on the longest silent connection")
	}
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "a new client", status, 200)
	close(release)
	want(t, "the request in hand", <-lateStatus, 200)
}

// A hung upstream: the client gets its one answer by its deadline, and the request is not sent again.
func TestHungUpstreamFailsByDeadline(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := startBalancer(t, upMember("s-00000001", upstream), upMember("s-00000002", upstream))
	defer close(release)
	start := time.Now()
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "200"))
	want(t, "status", status, http.StatusGatewayTimeout)
	if took := time.Since(start); took < 150*time.Millisecond || took > 2*time.Second {
		t.Errorf("answered after %v, want about the deadline", took)
	}
	want(t, "requests at the upstream", len(upstream.received), 1)
}

// A client that leaves stops no work. Its connection waits for the late answer and serves again: closing it would
// cost the upstream a handshake. All other connections are closed after their answers here.
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
		t.Fatal("the client has not left")
	}
	status, _ := b.do(t, b.newRequest("checkin", "")) // on a connection of its own
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
			t.Fatal("the connection was not used again")
		}
	}
}

// An agent on the balancer's own machine answers a watch at once, news or not. That must not keep the core busy.
func TestMinimumIntervalBetweenWatchCalls(t *testing.T) {
	b := startBalancer(t)
	<-b.discovery.calls
	start := time.Now()
	for range 4 {
		b.discovery.responses <- discoveryList{Revision: 10}
		<-b.discovery.calls
	}
	if took := time.Since(start); took < 2*minWatchInterval {
		t.Errorf("4 calls in %v", took)
	}
}

// A connection on which nothing was ever sent must not keep a stopping balancer from ending, nor take the
// requests in hand with it.
func TestStopClosesUnusedConnections(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { <-release; return respondOK(c, r) })
	b := startBalancer(t, upMember("s-00000001", upstream))
	unused, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	status := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", ""))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-upstream.received
	b.cancel()
	if _, err := unused.Read(make([]byte, 1)); err == nil {
		t.Error("bytes on an unused connection")
	}
	close(release)
	want(t, "status of the request in hand", <-status, 200)
}

// After a drain has been told nothing more goes there; an older answer does not bring it back.
func TestOlderListDoesNotEndDrain(t *testing.T) {
	drained, active := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	m1, m2 := upMember("s-00000001", drained), upMember("s-00000002", active)
	b := startBalancer(t, m1, m2)
	want(t, "first call", withoutTimeout(<-b.discovery.calls), "since=10")
	b.discovery.responses <- discoveryList{Revision: 12, Members: []member{drainingMember(m1)}}
	want(t, "next call", withoutTimeout(<-b.discovery.calls), "since=12")
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: []member{m1, m2}}
	want(t, "call after an older answer", withoutTimeout(<-b.discovery.calls), "since=12")
	for range 10 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at the draining upstream", len(drained.received), 0)
	want(t, "requests at the other", len(active.received), 10)
}

// A failed call is told to the module, which asks again in its own time.
func TestRetriesFailedDiscoveryCall(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t)
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{} // 503
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 20, Complete: true, Members: []member{upMember("s-00000001", upstream)}}
	<-b.discovery.calls // the list has been posted
	status, _ := b.do(t, b.newRequest("checkin", ""))
	want(t, "status", status, 200)
}

// A new configuration names another discovery, whose revisions are lower: its whole list is taken, a late answer of the
// old one is not.
func TestReloadChangesDiscoveryAddress(t *testing.T) {
	oldUpstream, newUpstream := newTestUpstream(t, respondOK), newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", oldUpstream))
	want(t, "first call", withoutTimeout(<-b.discovery.calls), "since=10")
	newDiscovery := newManualDiscovery(t)
	reloaded := b.config
	reloaded.Discovery = newDiscovery.addr
	b.reloads <- again(reloaded)
	want(t, "call at the new discovery", <-newDiscovery.calls, "")
	select { // the call at the old one has been ended; its answer, should it still be written, is too late
	case b.discovery.responses <- discoveryList{Revision: 30, Complete: true, Members: []member{upMember("s-00000001", oldUpstream)}}:
	default:
	}
	newDiscovery.responses <- discoveryList{Revision: 3, Complete: true, Members: []member{upMember("s-00000002", newUpstream)}}
	want(t, "its next call", withoutTimeout(<-newDiscovery.calls), "since=3")
	for range 5 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	want(t, "requests at what the new list lacks", len(oldUpstream.received), 0)
	want(t, "requests at the other", len(newUpstream.received), 5)
}

// An answer that was on its way from the old discovery when the configuration changed is dropped.
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
	configReloaded{again(newConfig), nil}.apply(l)
	l.applyListUpdate(listUpdate{from: oldClient, discoveryList: discoveryList{Revision: 90, Complete: true}})
	want(t, "upstreams after a late answer", len(l.upstreams), 1)
	want(t, "revision after it", l.revision, uint64(0))
	l.applyListUpdate(listUpdate{from: l.discoveryClient, discoveryList: discoveryList{Revision: 2, Complete: true}})
	want(t, "upstreams after the new list", len(l.upstreams), 0)
	want(t, "revision after it", l.revision, uint64(2))
}

// What was taken is answered after SIGTERM, and connections that are still on their way are served.
func TestGracefulShutdownAnswersAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Late") != "" {
			<-release
		}
		return respondOK(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	type outcome struct {
		status int
		err    error
	}
	lateResult := make(chan outcome, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", "", "X-Late", "1"))
		if err != nil {
			lateResult <- outcome{err: err}
			return
		}
		resp.Body.Close()
		lateResult <- outcome{resp.StatusCode, nil}
	}()
	<-upstream.received
	b.cancel()
	for { // a new connection, after the stop has begun
		r := b.newRequest("checkin", "")
		resp, err := (&http.Client{Transport: &http.Transport{}}).Do(r)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		want(t, "status while stopping", resp.StatusCode, 200)
		if resp.Close {
			break
		}
	}
	close(release)
	if result := <-lateResult; result.err != nil || result.status != 200 {
		t.Errorf("the request in hand ended with %v, %v", result.status, result.err)
	}
	if err := <-b.runResult; err != nil {
		t.Error(err)
	}
	b.runResult <- nil
	if _, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://")); err == nil {
		t.Error("still listening")
	}
}

// SIGTERM comes while discovery moves, or discovery moves while what was taken before SIGTERM is answered: the new address
// is asked, and what was taken is answered all the same.
func TestShutdownDuringDiscoveryChange(t *testing.T) {
	for _, stopFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("stop first ", stopFirst), func(t *testing.T) { testShutdownDuringDiscoveryChange(t, stopFirst) })
	}
}

func testShutdownDuringDiscoveryChange(t *testing.T, stopFirst bool) {
	release := make(chan struct{})
	upstream := newTestUpstream(t, func(reloaded net.Conn, r *http.Request) bool { <-release; return respondOK(reloaded, r) })
	b := startBalancer(t, upMember("s-00000001", upstream))
	status := make(chan int, 1)
	go func() {
		resp, err := b.client.Do(b.newRequest("checkin", ""))
		if err != nil {
			status <- 0
			return
		}
		resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-upstream.received
	newDiscovery := newManualDiscovery(t)
	reloaded := b.config
	reloaded.Discovery = newDiscovery.addr
	if stopFirst {
		b.cancel()
		for resp, err := b.client.Get(b.url + "/healthz"); err == nil && resp.StatusCode == 200; resp, err = b.client.Get(b.url + "/healthz") {
			resp.Body.Close()
		}
	}
	select {
	case b.reloads <- again(reloaded):
		<-newDiscovery.calls // it has moved, and waits for the list
	case <-time.After(10 * time.Second):
		t.Error("the reload is not taken")
	}
	b.cancel()
	close(release)
	want(t, "status of the request in hand", <-status, 200)
	if err := <-b.runResult; err != nil {
		t.Error(err)
	}
	b.runResult <- nil
}

func TestHealthCheck(t *testing.T) {
	b := startBalancer(t)
	resp, err := b.client.Get(b.url + "/healthz")
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	want(t, "status", resp.StatusCode, 200)
}
