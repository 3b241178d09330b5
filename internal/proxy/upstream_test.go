package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnettide"
)

// This file tests attempts and their connections.

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
