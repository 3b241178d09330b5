package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// readerConn is a connection that reads from a Reader and discards what is written.
type readerConn struct {
	net.Conn
	io.Reader
}

func (c readerConn) Read(b []byte) (int, error)      { return c.Reader.Read(b) }
func (c readerConn) Write(b []byte) (int, error)     { return len(b), nil }
func (c readerConn) SetReadDeadline(time.Time) error { return nil }

// newBodyMemory returns a budget for bodies with 64 MB available.
func newBodyMemory() *memoryBudget {
	m := new(memoryBudget)
	m.available.Store(64 << 20)
	return m
}

// headOf returns a head with the given field lines.
func headOf(lines ...string) head {
	text := "\r\n" + strings.Join(append(lines, "\r\n"), "\r\n")
	conn := newHTTPConn(readerConn{Reader: strings.NewReader(text)}, 2<<10)
	conn.readLimit.N = maxHeadBytes
	h, err := conn.readHead()
	if err != nil {
		panic(err) // the lines are constant
	}
	return h
}

// FuzzResponse guards against accepting a response as complete that net/http rejects or reads with another status or
// body.
func FuzzResponse(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\nContent-Length: 2\n\nab", "ICY 200 OK\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		conn := newHTTPConn(readerConn{Reader: bytes.NewReader(text)}, 2<<10)
		response, err := conn.readResponse()
		if err != nil {
			return
		}
		status := response.status
		body, err := io.ReadAll(response.body)
		if err != nil {
			return
		}
		reader := bufio.NewReader(bytes.NewReader(text))
		resp, err := http.ReadResponse(reader, nil)
		for err == nil && resp.StatusCode < 200 {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			t.Fatalf("accepted, but net/http rejects it: %v", err)
		}
		if resp.StatusCode == http.StatusNoContent || resp.StatusCode == http.StatusNotModified {
			return // net/http reads no body for these
		}
		netHTTPBody, err := io.ReadAll(resp.Body)
		if status != resp.StatusCode || err != nil || !bytes.Equal(body, netHTTPBody) {
			t.Errorf("got %d, %q; net/http reads %d, %q, error %v", status, body, resp.StatusCode, netHTTPBody, err)
		}
	})
}

// FuzzRequest guards against request smuggling: what is forwarded must be exactly one request for net/http, with the
// client's method, target, ID and body.
func FuzzRequest(f *testing.F) {
	const id = "X-Request-Id: 1\r\n"
	for _, text := range []string{
		checkinRequest(id+"Content-Length: 2\r\n") + "ab",
		checkinRequest(id+"Content-Length: 2\r\nConnection: X-A, close\r\nX-A: 1\r\nCookie: obj=7f\r\n") + "ab",
		checkinRequest(id + "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n"),
		checkinRequest(id + "Content-Length: 0\r\nX-Deadline-Ms: 9\r\nX-Cost-Hint: 7\r\n folded\r\n"),
		"GET /read?q=1 HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n" + id + "\r\n",
		"GET /healthz HTTP/1.1\r\n\r\n", "",
	} {
		f.Add([]byte(text))
	}
	front := &frontend{now: func() time.Duration { return 0 }, memory: newBodyMemory()}
	front.plan.Store(parsedConfigWith(f, "127.0.0.1:8500", nil,
		`"name":"read","target_us":2000000,"give_up_us":4000000`,
		`"name":"read","target_us":1000000,"give_up_us":1000000`,
		`"name":"checkin","target_us":2000000,"give_up_us":4000000`,
		`"name":"checkin","target_us":1000000,"give_up_us":1000000`).Plan)
	f.Fuzz(func(t *testing.T, text []byte) {
		limitedConn := newTimedConn(readerConn{Reader: bytes.NewReader(text)})
		c := &client{httpConn: newHTTPConn(limitedConn, 4<<10), timed: limitedConn}
		c.readLimit.N = maxHeadBytes
		req, _, err := front.readRequest(c)
		if err != nil || req == nil {
			return
		}
		if req.Budget < 0 || req.Budget > time.Second {
			t.Errorf("got a budget of %v, want 0 to 1s", req.Budget)
		}
		head, tail := req.message.bytes(time.Second)
		forwarded := append(head, tail...)
		reader := bufio.NewReader(bytes.NewReader(forwarded))
		parsed, err := http.ReadRequest(reader)
		if err != nil {
			t.Fatalf("net/http rejects the forwarded request %q: %v", forwarded, err)
		}
		body, err := io.ReadAll(parsed.Body)
		if err != nil || !bytes.Equal(body, req.message.body) || reader.Buffered() > 0 ||
			len(parsed.TransferEncoding) > 0 {
			t.Errorf("forwarded %q, of which net/http reads the body %q, error %v, %d bytes left", forwarded, body, err,
				reader.Buffered())
		}
		if parsed.Header.Get("X-Request-Id") != req.clientRequestID ||
			!strings.HasPrefix(req.message.methodAndTarget, parsed.Method+" "+parsed.RequestURI) {
			t.Errorf("forwarded %q, with another ID, method or target", forwarded)
		}
	})
}
