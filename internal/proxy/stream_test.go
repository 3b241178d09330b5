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
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// text returns n bytes of which no two stretches are alike.
func numberedBytes(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

// rawServer is an upstream that answers connections as it likes, without reading requests whole first.
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

// readHead reads a request's head and leaves its body.
func readRequestHead(c net.Conn) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReaderSize(c, 16))
}

// echoBodies answers each request with its body, in chunks where the request asks for them.
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

// Bodies of any size pass unchanged in both directions, with a length and in chunks, in pieces cut anywhere. On a clock of
// its own: on a busy machine the upstream of the test took over 4 s to read and answer 32 MB, which is a 504 by right.
func TestLargeBodiesPassUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v := newVirtual(t, silentPipe(t), noDiscovery, func(*Config, *garnettide.Settings) {})
		close(v.gate)
		u := v.upstream(respondOK)
		u.serve = echoBodies
		v.tell(50, u.member("s-00000001"))
		synctest.Wait()
		memoryBefore := v.memory.available.Load()
		client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			return v.meet(), nil
		}}}
		for _, size := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3*maxBufferedBody + 7, maxBodyBytes} {
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
					request.Body, request.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body[:size/3]), bytes.NewReader(body[size/3:]))), -1
				}
				resp, err := client.Do(request)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				want(t, fmt.Sprintf("%d bytes, chunks %q: status", size, chunked), resp.StatusCode, 200)
				if err != nil || sha256.Sum256(got) != sha256.Sum256(body) {
					t.Errorf("%d bytes, chunks %q: %d others came back, %v", size, chunked, len(got), err)
				}
			}
		}
		synctest.Wait()
		want(t, "what was held is given back", v.memory.available.Load(), memoryBefore)
		client.CloseIdleConnections()
		v.rest()
	})
}

// In chunks too the bound holds, and nobody takes what came before it for a request.
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

// A client is read no faster than the upstream reads, and an upstream no faster than the client: memory does not take
// what the slower side has not.
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
	stalled := func(n *atomic.Int64) bool { // it moves no more
		before := n.Load()
		time.Sleep(100 * time.Millisecond)
		return before > 0 && n.Load() == before
	}
	for direction, n := range map[string]*atomic.Int64{"upload": &uploaded, "download": &downloaded} {
		b.waitUntil(t, "the "+direction+" waits", func() bool { return stalled(n) })
		if n.Load() >= size*3/4 {
			t.Errorf("%s: %d bytes were taken with nobody reading", direction, n.Load())
		}
	}
	close(release)
}

// The first bytes of a long answer are passed on while the rest is still to come, and the deadline no longer ends it.
func TestResponseIsStreamed(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	for framing, tt := range map[string]struct{ head, first, rest string }{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", maxBufferedBody+10), "0123456789", strings.Repeat("x", maxBufferedBody)},
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
		l := b.dialClient(t)
		l.send(t, b.newRequest("checkin", "", "X-Deadline-Ms", "300"))
		resp, err := http.ReadResponse(l.reader, nil)
		if err != nil {
			t.Fatalf("%s: %v", framing, err)
		}
		got := make([]byte, 10)
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "0123456789" {
			t.Fatalf("%s: %q, %v", framing, got, err)
		}
		b.waitUntil(t, "the deadline has passed", func() bool { return b.checkOnLoop(func(l *loop) bool { return len(l.timers) < 2 }) })
		release <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		if err != nil || strings.Trim(string(rest), "x") != "" || len(rest) == 0 {
			t.Errorf("%s: then %d bytes, %v", framing, len(rest), err)
		}
	}
}

// loopSays asks on the loop.
func (b *testBalancer) checkOnLoop(condition func(*loop) bool) bool {
	call := adminLoopCall{done: make(chan struct{})}
	var result bool
	call.fn = func(l *loop) { result = condition(l) }
	b.loop.adminCalls <- call
	<-call.done
	return result
}

// An answer that breaks off is never ended as if it were whole.
func TestTruncatedResponseIsNotPassedAsComplete(t *testing.T) {
	t.Parallel()
	for framing, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", 4*maxBufferedBody), "chunks": "Transfer-Encoding: chunked\r\n",
		"reset": ""} {
		upstream := newTestUpstream(t, func(c net.Conn, _ *http.Request) bool {
			body := string(numberedBytes(2 * maxBufferedBody))
			if framing == "chunks" {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
			if framing == "reset" { // an answer that the connection's end ends
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
			t.Errorf("%s: passed on as whole", framing)
		}
	}
}

// A body that takes far longer than the deadline is served: its time starts at its last byte, also at the upstream.
func TestSlowUploadIsServed(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	const pieces, deadline = 12, 200 * time.Millisecond
	for framing, lengthHeader := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", pieces*16<<10), "chunks": "Transfer-Encoding: chunked\r\n"} {
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
			time.Sleep(50 * time.Millisecond) // a slow line is what is tried
		}
		if framing == "chunks" {
			io.WriteString(client, "0\r\n\r\n")
		}
		if time.Since(start) < 2*deadline {
			t.Fatal("not slow enough to tell")
		}
		want(t, framing, client.readResponse(t).StatusCode, 200)
		forwarded := <-upstream.received
		body, _ := io.ReadAll(forwarded.Body)
		want(t, framing+": bytes", len(body), pieces*16<<10)
	}
}

// A client that stops in the middle of a large body is told so, and the upstream gets no request.
func TestIncompleteUploadIsRefused(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	for name, tt := range map[string]struct{ text, status string }{
		"length": {checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", 4*maxBufferedBody)) + string(numberedBytes(2*maxBufferedBody)), "408"},
		"chunks": {checkinRequest("X-Request-Id: 2\r\nTransfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n", 2*maxBufferedBody, numberedBytes(2*maxBufferedBody)), "408"},
		"noise":  {checkinRequest("X-Request-Id: 3\r\nTransfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\nzz\r\n", 2*maxBufferedBody, numberedBytes(2*maxBufferedBody)), "400"},
	} {
		if got := sendRaw(t, b.url, tt.text); !strings.HasPrefix(got, "HTTP/1.1 "+tt.status) {
			t.Errorf("%s: got %q", name, got)
		}
	}
	b.waitUntil(t, "nothing is left of them", func() bool {
		return b.checkOnLoop(func(l *loop) bool { return len(l.requests) == 0 && len(l.openIDs) == 0 && l.connCount == 0 })
	})
	want(t, "requests at the upstream", len(upstream.received), 0)
	want(t, "held", b.loop.memory.available.Load(), b.config.bodyMemory())
}

// An upstream that answers before it has the whole body: the client gets that answer and can read it, and the upstream's
// connection serves nobody else.
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
	go io.Copy(client, io.LimitReader(zeroReader{}, 4*maxBufferedBody)) // and no more: it waits for its answer
	resp := client.readResponse(t)
	want(t, "status", resp.StatusCode, 503)
	want(t, "closes", resp.Close, true)
	<-closed
}

type zeroReader struct{}

func (zeroReader) Read(b []byte) (int, error) { return len(b), nil }

// What is held whole goes to a second server where the first one breaks before it ran; what was partly passed on is not
// sent twice.
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
	const size = 16 << 20 // far over what the buffers of both sockets hold: its last byte is not written before it breaks
	status, _ := b.do(t, b.newRequest("checkin", string(numberedBytes(size))))
	want(t, "a large one", status, 503)
	want(t, "attempts", attempts.Load(), int32(1))
}

// A client that asks to go on is told to, once, and one that is refused is not.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	client := b.dialClient(t)
	io.WriteString(client, checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n", 2*maxBufferedBody)))
	line, _ := client.reader.ReadString('\n')
	want(t, "interim", line, "HTTP/1.1 100 Continue\r\n")
	client.reader.ReadString('\n')
	client.Write(numberedBytes(2 * maxBufferedBody))
	want(t, "status", client.readResponse(t).StatusCode, 200)
	got := sendRaw(t, b.url, checkinRequest(fmt.Sprintf("X-Request-Id: 2\r\nExpect: 100-continue\r\nContent-Length: %d\r\n", maxBodyBytes+1)))
	want(t, "refused", strings.HasPrefix(got, "HTTP/1.1 413"), true)
}

// Where nothing can be held bodies pass all the same.
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
		want(t, "bytes", len(forwarded), n)
	}
}

// A reader whose body breaks off gives back what it held.
func TestCollectFreesMemoryOnError(t *testing.T) {
	memory := newBodyMemory()
	before := memory.available.Load()
	broken := io.MultiReader(bytes.NewReader(numberedBytes(5000)), errReader{})
	if _, _, err := memory.collect(broken, always); !errors.Is(err, errAmbiguousFraming) {
		t.Error(err)
	}
	want(t, "room", memory.available.Load(), before)
	buffered, complete, err := memory.collect(bytes.NewReader(numberedBytes(maxBufferedBody+1)), always)
	if complete || err != nil || len(buffered) != maxBufferedBody {
		t.Errorf("%d bytes held, whole %v, %v", len(buffered), complete, err)
	}
	memory.free(buffered)
	want(t, "room", memory.available.Load(), before)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errAmbiguousFraming }

// In a crowd that takes every place a request that comes slowly is served, and who asked once and stays gives way to it.
func TestSlowClientIsServedUnderConnectionPressure(t *testing.T) {
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
		for i := range b.config.maxClientConns() / 4 { // some ask once, some stop within a request, some say nothing
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
		time.Sleep(requestHeadTimeout / 20) // a slow line is what is tried
	}
	want(t, "status", slowClient.readResponse(t).StatusCode, 200)
}

// Who stands still longest gives way, a mute connection before any that has begun, and never one that is served.
func TestEvictionOrder(t *testing.T) {
	now := time.Now()
	front := &frontend{clients: map[*client]struct{}{}}
	add := func(initialStage clientStage, started bool, stageAge, readAge time.Duration) *client {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		limitedConn := &timedConn{Conn: near}
		limitedConn.lastRead.Store(now.Add(-readAge).UnixNano())
		c := &client{httpConn: newHTTPConn(limitedConn, 16), timed: limitedConn, stage: initialStage, requestStarted: started, stageSince: now.Add(-stageAge)}
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
		add(clientReading, true, 3*time.Second, 100*time.Millisecond), // slow, and still coming
	}
	for i, c := range evictionOrder {
		if !front.makeRoom() || c.stage != clientEvicted {
			t.Fatalf("number %d did not give way", i)
		}
	}
	if front.makeRoom() || served.stage != clientServing || fresh.stage != clientReading {
		t.Error("one that is served, or that has just come, gave way")
	}
}

// A client of an upload that is held leaves behind bytes that nobody reads before an attempt takes the body. Nothing begins
// for it, be its connection closed or reset, also where the first attempt found no connection.
func TestUnreadUploadOfClosedClientIsNotSent(t *testing.T) {
	for name, disconnect := range map[string]func(*net.TCPConn){
		"closed": func(*net.TCPConn) {},
		"reset":  func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		for _, refusedFirst := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, an attempt refused before %v", name, refusedFirst), func(t *testing.T) {
				t.Parallel()
				var requests atomic.Int32
				upstream := newRawUpstream(t, func(c net.Conn) {
					if n, _ := c.Read(make([]byte, 1)); n > 0 {
						requests.Add(1)
					}
				})
				var members []member
				if refusedFirst {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					members = []member{upMember("s-00000002", &testUpstream{addr: l.Addr().String()})}
					l.Close()
				}
				b := startBalancer(t, members...)
				c := b.dialClient(t)
				const size = maxBufferedBody + 2*bodyBufferSize
				fmt.Fprintf(c, "%s%s", checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", size)), numberedBytes(size))
				b.waitUntil(t, "the request is open", func() bool {
					return b.checkOnLoop(func(l *loop) bool { return len(l.openIDs) == 1 })
				})
				disconnect(c.Conn.(*net.TCPConn))
				c.Close()
				<-b.discovery.calls
				b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: []member{upMember("s-00000001", upstream)}}
				b.waitUntil(t, "the request has ended", func() bool {
					return b.checkOnLoop(func(l *loop) bool { return len(l.openIDs) == 0 })
				})
				want(t, "requests begun", int(requests.Load()), 0)
			})
		}
	}
}
