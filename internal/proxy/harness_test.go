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
	"testing"
	"time"
)

// This file starts balancers with upstreams and a discovery server of the test's own, over loopback.

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
