package proxy

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// numberedBytes returns n bytes of ascending numbers, so that missing or reordered parts show.
func numberedBytes(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

// newRawUpstream starts an upstream that passes each connection to serve, without reading requests first.
func newRawUpstream(t *testing.T, serve func(c net.Conn)) *testUpstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c) }()
		}
	}()
	return &testUpstream{addr: listener.Addr().String()}
}

// readRequestHead reads a request's head and at most a few bytes of its body.
func readRequestHead(c net.Conn) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReaderSize(c, 16))
}

// echoBodies responds to each request with the request's body, in chunked encoding if the request has X-Chunks.
func echoBodies(c net.Conn) {
	for reader := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if r.Header.Get("X-Chunks") == "" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
			c.Write(body)
			continue
		}
		io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for n := 1; len(body) > 0; n = n*3%65521 + 1 {
			n = min(n, len(body))
			fmt.Fprintf(c, "%x\r\n%s\r\n", n, body[:n])
			body = body[n:]
		}
		io.WriteString(c, "0\r\nX-Sum: 1\r\n\r\n")
	}
}

// TestLargeBodiesPassUnchanged guards against corrupted bodies of any size, with a Content-Length and chunked. The fake
// clock keeps deadlines from expiring on a busy machine.
func TestLargeBodiesPassUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
		close(b.connectGate)
		u := b.addUpstream(respondOK)
		u.serve = echoBodies
		b.sendList(50, u.member("s-00000001"))
		synctest.Wait()
		memoryBefore := b.memory.available.Load()
		client := &http.Client{Transport: &http.Transport{
			DialContext: func(context.Context, string, string) (net.Conn, error) {
				return b.connectClient(), nil
			}}}
		for _, size := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1,
			3*maxBufferedBody + 7, maxBodyBytes} {
			for _, chunked := range []string{"", "1"} {
				body := numberedBytes(size)
				request, err := http.NewRequest(http.MethodPost, "http://x/checkin", bytes.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				request.Header.Set("X-Request-Id", strconv.Itoa(2*size)+chunked)
				request.Header.Set("X-Class", "checkin")
				if chunked != "" {
					request.Header.Set("X-Chunks", chunked)
					request.Body, request.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body[:size/3]),
						bytes.NewReader(body[size/3:]))), -1
				}
				resp, err := client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				want(t, fmt.Sprintf("%d bytes, chunked %q: status", size, chunked), resp.StatusCode, 200)
				if err != nil || sha256.Sum256(got) != sha256.Sum256(body) {
					t.Errorf("%d bytes, chunked %q: got another body, of %d bytes, error %v", size, chunked, len(got),
						err)
				}
			}
		}
		synctest.Wait()
		want(t, "free body memory at the end", b.memory.available.Load(), memoryBefore)
		client.CloseIdleConnections()
		b.expireAndStop()
	})
}

// TestChunkedBodyOverLimitIsRefused guards against an upstream accepting the start of a chunked body over the
// size limit as a whole request.
func TestChunkedBodyOverLimitIsRefused(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	conn := b.dialClient(t)
	io.WriteString(conn, checkinRequest("X-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n"))
	go func() {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, numberedBytes(1<<20))
		for range maxBodyBytes>>20 + 1 {
			if _, err := io.WriteString(conn, chunk); err != nil {
				return
			}
		}
	}()
	want(t, "status", conn.readResponse(t).StatusCode, 413)
	want(t, "requests at the upstream", len(upstream.received), 0)
}

// TestBackPressure guards against buffering a body in memory when the receiving side, upstream or client, reads slower
// than the other sends.
func TestBackPressure(t *testing.T) {
	t.Parallel()
	const size = 24 << 20
	var downloaded atomic.Int64
	release := make(chan struct{})
	upstream := newRawUpstream(t, func(c net.Conn) {
		r, err := readRequestHead(c)
		if err != nil {
			return
		}
		if r.Method == http.MethodPost {
			<-release
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for piece := numberedBytes(64 << 10); ; {
			n, err := c.Write(piece)
			if downloaded.Add(int64(n)); err != nil {
				return
			}
		}
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	uploader := b.dialClient(t)
	var uploaded atomic.Int64
	io.WriteString(uploader, checkinRequest(fmt.Sprintf("X-Request-Id: up\r\nContent-Length: %d\r\n", size)))
	go func() {
		for piece := numberedBytes(64 << 10); ; {
			n, err := uploader.Write(piece)
			if uploaded.Add(int64(n)); err != nil {
				return
			}
		}
	}()
	downloader := b.dialClient(t)
	downloader.send(t, b.newRequest("read", ""))
	stalled := func(n *atomic.Int64) bool { // no more bytes are accepted
		before := n.Load()
		time.Sleep(100 * time.Millisecond)
		return before > 0 && n.Load() == before
	}
	for direction, n := range map[string]*atomic.Int64{"upload": &uploaded, "download": &downloaded} {
		b.waitUntil(t, "the "+direction+" stalls", func() bool { return stalled(n) })
		if n.Load() >= size*3/4 {
			t.Errorf("%s: got %d bytes accepted with no reader, want less than 3/4 of the body", direction, n.Load())
		}
	}
	close(release)
}

// TestResponseIsStreamed guards against holding back the start of a response until its end, and against ending a
// response at the deadline after it has begun.
func TestResponseIsStreamed(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	for framing, tt := range map[string]struct{ head, first, rest string }{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", maxBufferedBody+10), "0123456789",
			strings.Repeat("x", maxBufferedBody)},
		"chunks": {"Transfer-Encoding: chunked\r\n", "a\r\n0123456789\r\n", "1\r\nx\r\n0\r\n\r\n"},
		"end":    {"", "0123456789", "x"},
	} {
		upstream := newTestUpstream(t, func(conn net.Conn, r *http.Request) bool {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+tt.head+"\r\n"+tt.first)
			<-release
			io.WriteString(conn, tt.rest)
			return framing != "end"
		})
		b := startBalancer(t, upMember("s-00000001", upstream))
		client := b.dialClient(t)
		client.send(t, b.newRequest("checkin", "", "X-Deadline-Ms", "300"))
		resp, err := http.ReadResponse(client.reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", framing, err)
		}
		got := make([]byte, 10)
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "0123456789" {
			t.Fatalf("%s: got first bytes %q, error %v, want 0123456789", framing, got, err)
		}
		b.waitUntil(t, "the deadline has passed",
			func() bool { return b.checkOnLoop(func(l *loop) bool { return len(l.timers) < 2 }) })
		release <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		if err != nil || strings.Trim(string(rest), "x") != "" || len(rest) == 0 {
			t.Errorf("%s: got %d more bytes, error %v, want some, all of them x", framing, len(rest), err)
		}
	}
}

// checkOnLoop evaluates a condition on the loop's goroutine.
func (b *testBalancer) checkOnLoop(condition func(*loop) bool) bool {
	call := adminLoopCall{done: make(chan struct{})}
	var result bool
	call.fn = func(l *loop) { result = condition(l) }
	b.loop.adminCalls <- call
	<-call.done
	return result
}

// TestRequestBehindStreamedResponseIsServed guards against closing a kept connection whose next request arrives while the
// write of a streamed response's last byte returns. Were it pipelined and not only quick, it could still be served.
func TestRequestBehindStreamedResponseIsServed(t *testing.T) {
	for framing, writeBody := range map[string]func(c net.Conn, body string){
		"length": func(c net.Conn, body string) { fmt.Fprintf(c, "Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(c net.Conn, body string) {
			fmt.Fprintf(c, "Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	} {
		t.Run(framing, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				b.sendList(50, b.addUpstream(func(c net.Conn, _ *http.Request) bool {
					io.WriteString(c, "HTTP/1.1 200 OK\r\n")
					writeBody(c, string(numberedBytes(2*maxBufferedBody)))
					return true
				}).member("s-00000001"))
				client := b.connectClient()
				request := func(id int) string {
					return checkinRequest(fmt.Sprintf("X-Request-Id: %d\r\nContent-Length: 0\r\n", id))
				}
				io.WriteString(client, request(1))
				reader := bufio.NewReaderSize(client, 16) // takes no more than is asked for but some bytes
				for id := 1; id <= 3; id++ {
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Fatalf("request %d: got no response: %v", id, err)
					}
					want(t, "status", resp.StatusCode, http.StatusOK)
					if _, err := io.CopyN(io.Discard, resp.Body, 2*maxBufferedBody-100); err != nil {
						t.Fatal(err)
					}
					next := make(chan struct{})
					go func() { io.WriteString(client, request(id+1)); close(next) }()
					<-next // the balancer has read it, and is writing the last bytes of the response
					if rest, err := io.ReadAll(resp.Body); len(rest) != 100 || err != nil {
						t.Fatalf("request %d: got %d last bytes of the response, error %v, want 100", id, len(rest), err)
					}
				}
				client.Close()
				b.expireAndStop()
			})
		})
	}
}

// TestRequestsOfClosedClientBehindStreamedResponseAreNotSent guards against sending requests whose client has closed its
// connection behind them, when they came while a streamed response ended.
func TestRequestsOfClosedClientBehindStreamedResponseAreNotSent(t *testing.T) {
	for _, behind := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d requests", behind), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				u := b.addUpstream(func(c net.Conn, _ *http.Request) bool { return writeOK(c, string(numberedBytes(2*maxBufferedBody))) })
				b.sendList(50, u.member("s-00000001"))
				client := b.connectClient()
				writeEmptyCheckin(client, "0")
				resp, err := http.ReadResponse(bufio.NewReaderSize(client, 16), nil)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := io.CopyN(io.Discard, resp.Body, 2*maxBufferedBody-100); err != nil {
					t.Fatal(err)
				}
				next := ""
				for id := range behind {
					next += checkinRequest(fmt.Sprintf("X-Request-Id: %d\r\nContent-Length: 0\r\n", id+1))
				}
				written := make(chan struct{})
				go func() { io.WriteString(client, next); close(written) }()
				<-written
				b.front.mu.Lock() // keeps the next request from being served before the close
				rest, err := io.ReadAll(resp.Body)
				client.Close()
				b.front.mu.Unlock()
				if err != nil || len(rest) != 100 {
					t.Fatalf("got %d last bytes of the response, error %v, want 100", len(rest), err)
				}
				b.expireAndStop()
				want(t, "requests at the upstream", b.requestsStarted(), 1)
			})
		})
	}
}

// TestTruncatedResponseIsNotPassedAsComplete guards against ending a truncated response as if it were complete.
func TestTruncatedResponseIsNotPassedAsComplete(t *testing.T) {
	t.Parallel()
	for framing, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", 4*maxBufferedBody),
		"chunks": "Transfer-Encoding: chunked\r\n",
		"reset":  ""} {
		upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
			body := string(numberedBytes(2 * maxBufferedBody))
			if framing == "chunks" {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
			if framing == "reset" { // without a reset the close would complete this response
				c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		b := startBalancer(t, upMember("s-00000001", upstream))
		resp, err := b.client.Do(b.newRequest("checkin", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%s: got a complete response, want an error", framing)
		}
	}
}

// TestSlowUploadIsServed guards against ending a request whose body takes longer than its deadline to arrive:
// the deadline counts from the last byte of the body.
func TestSlowUploadIsServed(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	const pieces, deadline = 12, 200 * time.Millisecond
	for framing, lengthHeader := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", pieces*16<<10),
		"chunks": "Transfer-Encoding: chunked\r\n"} {
		client := b.dialClient(t)
		io.WriteString(client, checkinRequest("X-Request-Id: "+framing+"\r\nX-Deadline-Ms: 200\r\n"+lengthHeader))
		start := time.Now()
		for range pieces {
			if framing == "chunks" {
				io.WriteString(client, "4000\r\n")
			}
			client.Write(numberedBytes(16 << 10))
			if framing == "chunks" {
				io.WriteString(client, "\r\n")
			}
			time.Sleep(50 * time.Millisecond) // simulates a slow connection
		}
		if framing == "chunks" {
			io.WriteString(client, "0\r\n\r\n")
		}
		if time.Since(start) < 2*deadline {
			t.Fatal("the upload took less than twice the deadline, so the test proves nothing")
		}
		want(t, framing, client.readResponse(t).StatusCode, 200)
		forwarded := <-upstream.received
		body, _ := io.ReadAll(forwarded.Body)
		want(t, framing+": body bytes at the upstream", len(body), pieces*16<<10)
	}
}

// TestIncompleteUploadIsRefused guards against an upstream accepting a request whose body stops or is malformed in the
// middle.
func TestIncompleteUploadIsRefused(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	for name, tt := range map[string]struct{ text, status string }{
		"length": {checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", 4*maxBufferedBody)) +
			string(numberedBytes(2*maxBufferedBody)), "408"},
		"chunks": {checkinRequest("X-Request-Id: 2\r\nTransfer-Encoding: chunked\r\n") +
			fmt.Sprintf("%x\r\n%s\r\n", 2*maxBufferedBody, numberedBytes(2*maxBufferedBody)), "408"},
		"malformed": {checkinRequest("X-Request-Id: 3\r\nTransfer-Encoding: chunked\r\n") +
			fmt.Sprintf("%x\r\n%s\r\nzz\r\n", 2*maxBufferedBody, numberedBytes(2*maxBufferedBody)), "400"},
	} {
		if got := sendRaw(t, b.url, tt.text); !strings.HasPrefix(got, "HTTP/1.1 "+tt.status) {
			t.Errorf("%s: got %q, want the error response of its case", name, got)
		}
	}
	b.waitUntil(t, "requests and connections are released", func() bool {
		return b.checkOnLoop(func(l *loop) bool {
			return len(l.requests) == 0 && len(l.openIDs) == 0 && l.connCount == 0
		})
	})
	want(t, "requests at the upstream", len(upstream.received), 0)
	want(t, "free body memory", b.loop.memory.available.Load(), b.config.Capacity(1).BodyBytes)
}

// TestEarlyResponse guards against losing a response that an upstream sends before it has received the whole body, and
// against reusing the upstream's connection.
func TestEarlyResponse(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	upstream := newRawUpstream(t, func(c net.Conn) {
		if _, err := readRequestHead(c); err == nil {
			io.WriteString(c, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, c)
			close(closed)
		}
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	client := b.dialClient(t)
	io.WriteString(client, checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", maxBodyBytes)))
	// Not all of the body: the client waits for the response.
	go io.Copy(client, io.LimitReader(zeroReader{}, 4*maxBufferedBody))
	resp := client.readResponse(t)
	want(t, "status", resp.StatusCode, 503)
	want(t, "client connection closes", resp.Close, true)
	<-closed
}

// TestEarlyStreamedResponseIsWhole guards against cutting off a long response that an upstream sends before it has read the
// whole body: the connection was closed over bytes of the body, which resets it and drops what the client has not read.
func TestEarlyStreamedResponseIsWhole(t *testing.T) {
	t.Parallel()
	const size = 300 << 10
	ended := make(chan struct{})
	upstream := newRawUpstream(t, func(c net.Conn) {
		if _, err := readRequestHead(c); err == nil {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, numberedBytes(size))
			io.Copy(io.Discard, c) // until the balancer has taken the response and closes the connection
			close(ended)
		}
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	client := b.dialClient(t)
	io.WriteString(client, checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", maxBodyBytes)))
	go func() { // writes on while the response comes, and reads it afterwards
		for body := numberedBytes(bodyBufferSize); ; {
			if _, err := client.Write(body); err != nil {
				return
			}
		}
	}()
	<-ended
	resp, err := http.ReadResponse(client.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := io.ReadAll(resp.Body); err != nil || len(body) != size {
		t.Errorf("got %d of %d bytes, error %v", len(body), size, err)
	}
}

// zeroReader is an endless source of bytes.
type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) { return len(b), nil }

// TestStreamedBodyIsNotRetried guards against a second attempt of a request whose body was partly streamed to the
// first upstream.
func TestStreamedBodyIsNotRetried(t *testing.T) {
	t.Parallel()
	var attempts atomic.Int32
	failing := newRawUpstream(t, func(c net.Conn) {
		if _, err := readRequestHead(c); err != nil {
			return
		}
		attempts.Add(1)
		io.CopyN(io.Discard, c, maxBufferedBody+maxBufferedBody/2)
		c.(*net.TCPConn).SetLinger(0)
	})
	b := startBalancer(t, upMember("s-00000001", failing))
	const size = 16 << 20 // far more than the socket buffers hold: the last byte is not written before the reset
	status, _ := b.do(t, b.newRequest("checkin", string(numberedBytes(size))))
	want(t, "status of a large body", status, 503)
	want(t, "attempts", attempts.Load(), int32(1))
}

// TestExpectContinue guards against a missing or repeated 100 Continue, and against sending it to a client
// whose request is refused.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	client := b.dialClient(t)
	io.WriteString(client, checkinRequest(
		fmt.Sprintf("X-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n", 2*maxBufferedBody)))
	line, _ := client.reader.ReadString('\n')
	want(t, "interim response", line, "HTTP/1.1 100 Continue\r\n")
	client.reader.ReadString('\n')
	client.Write(numberedBytes(2 * maxBufferedBody))
	want(t, "status", client.readResponse(t).StatusCode, 200)
	got := sendRaw(t, b.url, checkinRequest(
		fmt.Sprintf("X-Request-Id: 2\r\nExpect: 100-continue\r\nContent-Length: %d\r\n", maxBodyBytes+1)))
	want(t, "refused with 413", strings.HasPrefix(got, "HTTP/1.1 413"), true)
}

// TestBodiesPassWithoutBufferMemory guards against failing requests when no memory for buffered bodies is left.
func TestBodiesPassWithoutBufferMemory(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool { return writeOK(c, "done") })
	b := startBalancer(t, upMember("s-00000001", upstream))
	b.loop.memory.available.Store(0)
	for _, n := range []int{0, 10, maxBufferedBody, 2 * maxBufferedBody} {
		status, body := b.do(t, b.newRequest("checkin", string(numberedBytes(n))))
		want(t, "status", status, 200)
		want(t, "body", body, "done")
		r := <-upstream.received
		forwarded, _ := io.ReadAll(r.Body)
		want(t, "body bytes at the upstream", len(forwarded), n)
	}
}

// TestCollectFreesMemoryOnError guards against a leak of body memory when reading a body fails.
func TestCollectFreesMemoryOnError(t *testing.T) {
	memory := newBodyMemory()
	before := memory.available.Load()
	broken := io.MultiReader(bytes.NewReader(numberedBytes(5000)), errReader{})
	if _, _, err := memory.collect(broken, always); !errors.Is(err, errAmbiguousFraming) {
		t.Error(err)
	}
	want(t, "free body memory", memory.available.Load(), before)
	buffered, complete, err := memory.collect(bytes.NewReader(numberedBytes(maxBufferedBody+1)), always)
	if complete || err != nil || len(buffered) != maxBufferedBody {
		t.Errorf("got %d bytes buffered, complete %v, error %v, want maxBufferedBody bytes, incomplete", len(buffered),
			complete, err)
	}
	memory.free(buffered)
	want(t, "free body memory", memory.available.Load(), before)
}

// errReader fails every read.
type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errAmbiguousFraming }

// TestSlowClientIsServedAtConnLimit guards against evicting a client that sends its request slowly while
// idle and silent connections fill the limit.
func TestSlowClientIsServedAtConnLimit(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancerWith(t, func(c *Config) { c.Sockets = 64 }, upMember("s-00000001", upstream))
	slowClient := b.dialClient(t)
	request := checkinRequest("X-Request-Id: slow\r\nContent-Length: 4\r\n") + "body"
	for len(request) > 0 {
		n := min(len(request), 10)
		if _, err := io.WriteString(slowClient, request[:n]); err != nil {
			t.Fatal(err)
		}
		request = request[n:]
		for i := range b.config.Capacity(1).ClientConns / 4 { // idle after a request, incomplete request, silent
			c, err := net.Dial("tcp", strings.TrimPrefix(b.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			switch i % 3 {
			case 0:
				b.newRequest("read", "").Write(c)
			case 1:
				io.WriteString(c, "POST /checkin HT")
			}
		}
		time.Sleep(requestHeadTimeout / 20) // simulates a slow connection
	}
	want(t, "status", slowClient.readResponse(t).StatusCode, 200)
}

// TestEvictionOrder guards against evicting the wrong connection. One that has sent nothing for
// noDataEvictAfter is first, then the one without progress for longest. One with a request in flight, or a
// new one, is never evicted.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	front := &frontend{clients: map[*client]struct{}{}}
	add := func(initialStage clientStage, started bool, stageAge, readAge time.Duration) *client {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		limitedConn := newTimedConn(near)
		limitedConn.lastRead.store(now.Add(-readAge))
		c := &client{httpConn: newHTTPConn(limitedConn, 16), timed: limitedConn, stage: initialStage,
			requestStarted: started, stageSince: now.Add(-stageAge)}
		front.clients[c] = struct{}{}
		return c
	}
	served := add(clientServing, true, time.Hour, time.Hour)
	fresh := add(clientReading, false, 0, time.Hour)
	evictionOrder := []*client{
		add(clientReading, false, 2*noDataEvictAfter, time.Hour),
		add(clientIdle, false, 20*time.Second, 20*time.Second),
		add(clientReading, true, 3*time.Second, 2*time.Second),
		add(clientIdle, false, time.Second, time.Second),
		add(clientReading, true, 3*time.Second, 100*time.Millisecond), // slow, but making progress
	}
	for i, c := range evictionOrder {
		if victim := front.evictLongestStalled(now); victim != c || c.evicted == nil {
			t.Fatalf("connection %d was not evicted in its turn", i)
		}
	}
	if front.evictLongestStalled(now) != nil || served.evicted != nil || fresh.evicted != nil {
		t.Error("a connection with a request in flight, or a new one, was evicted")
	}
}

// newRefusingAddress returns an address that refuses connections until the test ends: its socket is bound, so that no
// server can take the port, and does not listen.
func newRefusingAddress(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	address, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", address.(*syscall.SockaddrInet4).Port)
}

// TestUnreadUploadOfClosedClientIsNotSent guards against sending an upload whose client has closed or reset its
// connection. Unread body bytes hide the close until an attempt reads the body, also after an attempt that was refused.
func TestUnreadUploadOfClosedClientIsNotSent(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closed": func(*net.TCPConn) {},
		"reset":  func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		for _, refusedFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, first upstream refuses %v", name, refusedFirst), func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int32
				upstream := newRawUpstream(t, func(c net.Conn) {
					if n, _ := c.Read(make([]byte, 1)); n > 0 {
						requests.Add(1)
					}
				})
				var members []member
				if refusedFirst {
					members = []member{upMember("s-00000002", &testUpstream{addr: newRefusingAddress(t)})}
				}
				b := startBalancer(t, members...)
				c := b.dialClient(t)
				const size = maxBufferedBody + 2*bodyBufferSize
				fmt.Fprintf(c, "%s%s", checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", size)),
					numberedBytes(size))
				b.waitUntil(t, "the request is open", func() bool {
					return b.checkOnLoop(func(l *loop) bool { return len(l.openIDs) == 1 })
				})
				disconnect(c.Conn.(*net.TCPConn))
				c.Close()
				<-b.discovery.calls
				b.discovery.responses <- discoveryList{Revision: 11, Complete: true,
					Members: []member{upMember("s-00000001", upstream)}}
				b.waitUntil(t, "the request has ended", func() bool {
					return b.checkOnLoop(func(l *loop) bool { return len(l.openIDs) == 0 })
				})
				want(t, "requests started at the upstream", int(requests.Load()), 0)
			})
		}
	}
}
