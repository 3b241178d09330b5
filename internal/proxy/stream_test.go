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
func text(n int) []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < n; i++ {
		fmt.Fprintf(&b, "%d,", i)
	}
	return b.Bytes()[:n]
}

// rawServer is an upstream that answers connections as it likes, without reading requests whole first.
func rawServer(t *testing.T, serve func(c net.Conn)) *server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c) }()
		}
	}()
	return &server{addr: l.Addr().String()}
}

// readHead reads a request's head and leaves its body.
func readHead(c net.Conn) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReaderSize(c, 16))
}

// echoBodies answers each request with its body, in chunks where the request asks for them.
func echoBodies(c net.Conn) {
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
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
		v := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
		close(v.connectGate)
		u := v.addUpstream(okAll)
		u.serve = echoBodies
		v.sendList(50, u.member("s-00000001"))
		synctest.Wait()
		room := v.memory.available.Load()
		client := &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
			return v.connectClient(), nil
		}}}
		for _, n := range []int{0, 1, maxBufferedBody - 1, maxBufferedBody, maxBufferedBody + 1, 3*maxBufferedBody + 7, maxBodyBytes} {
			for _, form := range []string{"", "1"} {
				body := text(n)
				q, err := http.NewRequest(http.MethodPost, "http://x/checkin", bytes.NewReader(body))
				if err != nil {
					t.Fatal(err)
				}
				q.Header.Set("X-Request-Id", strconv.Itoa(2*n)+form)
				q.Header.Set("X-Class", "checkin")
				if form != "" {
					q.Header.Set("X-Chunks", form)
					q.Body, q.ContentLength = io.NopCloser(io.MultiReader(bytes.NewReader(body[:n/3]), bytes.NewReader(body[n/3:]))), -1
				}
				resp, err := client.Do(q)
				if err != nil {
					t.Fatal(err)
				}
				got, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				want(t, fmt.Sprintf("%d bytes, chunks %q: status", n, form), resp.StatusCode, 200)
				if err != nil || sha256.Sum256(got) != sha256.Sum256(body) {
					t.Errorf("%d bytes, chunks %q: %d others came back, %v", n, form, len(got), err)
				}
			}
		}
		synctest.Wait()
		want(t, "what was held is given back", v.memory.available.Load(), room)
		client.CloseIdleConnections()
		v.expireAndStop()
	})
}

// In chunks too the bound holds, and nobody takes what came before it for a request.
func TestBodyOverTheBoundInChunks(t *testing.T) {
	t.Parallel()
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	c := b.connect(t)
	io.WriteString(c, checkin("X-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n"))
	go func() {
		chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, text(1<<20))
		for range maxBodyBytes>>20 + 1 {
			if _, err := io.WriteString(c, chunk); err != nil {
				return
			}
		}
	}()
	want(t, "status", c.answer(t).StatusCode, 413)
	want(t, "requests at the upstream", len(s.arrivals), 0)
}

// A client is read no faster than the upstream reads, and an upstream no faster than the client: memory does not take
// what the slower side has not.
func TestBackPressure(t *testing.T) {
	t.Parallel()
	const size = 24 << 20
	var given atomic.Int64
	release := make(chan struct{})
	s := rawServer(t, func(c net.Conn) {
		r, err := readHead(c)
		if err != nil {
			return
		}
		if r.Method == http.MethodPost {
			<-release
			return
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
		for piece := text(64 << 10); ; {
			n, err := c.Write(piece)
			if given.Add(int64(n)); err != nil {
				return
			}
		}
	})
	b := newBalancer(t, up("s-00000001", s))
	up := b.connect(t)
	var taken atomic.Int64
	io.WriteString(up, checkin(fmt.Sprintf("X-Request-Id: up\r\nContent-Length: %d\r\n", size)))
	go func() {
		for piece := text(64 << 10); ; {
			n, err := up.Write(piece)
			if taken.Add(int64(n)); err != nil {
				return
			}
		}
	}()
	down := b.connect(t)
	down.send(t, b.ask("read", ""))
	still := func(n *atomic.Int64) bool { // it moves no more
		before := n.Load()
		time.Sleep(100 * time.Millisecond)
		return before > 0 && n.Load() == before
	}
	for what, n := range map[string]*atomic.Int64{"upload": &taken, "download": &given} {
		b.until(t, "the "+what+" waits", func() bool { return still(n) })
		if n.Load() >= size*3/4 {
			t.Errorf("%s: %d bytes were taken with nobody reading", what, n.Load())
		}
	}
	close(release)
}

// The first bytes of a long answer are passed on while the rest is still to come, and the deadline no longer ends it.
func TestAnswerPassesOnAsItComes(t *testing.T) {
	t.Parallel()
	next := make(chan struct{})
	for form, c := range map[string]struct{ head, first, rest string }{
		"length": {fmt.Sprintf("Content-Length: %d\r\n", maxBufferedBody+10), "0123456789", strings.Repeat("x", maxBufferedBody)},
		"chunks": {"Transfer-Encoding: chunked\r\n", "a\r\n0123456789\r\n", "1\r\nx\r\n0\r\n\r\n"},
		"end":    {"", "0123456789", "x"},
	} {
		s := newServer(t, func(conn net.Conn, r *http.Request) bool {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+c.head+"\r\n"+c.first)
			<-next
			io.WriteString(conn, c.rest)
			return form != "end"
		})
		b := newBalancer(t, up("s-00000001", s))
		l := b.connect(t)
		l.send(t, b.ask("checkin", "", "X-Deadline-Ms", "300"))
		resp, err := http.ReadResponse(l.in, nil)
		if err != nil {
			t.Fatalf("%s: %v", form, err)
		}
		got := make([]byte, 10)
		if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != "0123456789" {
			t.Fatalf("%s: %q, %v", form, got, err)
		}
		b.until(t, "the deadline has passed", func() bool { return b.loopSays(func(l *loop) bool { return len(l.timers) < 2 }) })
		next <- struct{}{}
		rest, err := io.ReadAll(resp.Body)
		if err != nil || strings.Trim(string(rest), "x") != "" || len(rest) == 0 {
			t.Errorf("%s: then %d bytes, %v", form, len(rest), err)
		}
	}
}

// loopSays asks on the loop.
func (b *balancer) loopSays(so func(*loop) bool) bool {
	e := adminLoopCall{done: make(chan struct{})}
	var yes bool
	e.fn = func(l *loop) { yes = so(l) }
	b.loop.adminCalls <- e
	<-e.done
	return yes
}

// An answer that breaks off is never ended as if it were whole.
func TestBrokenAnswerIsNotWhole(t *testing.T) {
	t.Parallel()
	for form, head := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", 4*maxBufferedBody), "chunks": "Transfer-Encoding: chunked\r\n",
		"reset": ""} {
		s := newServer(t, func(c net.Conn, _ *http.Request) bool {
			body := string(text(2 * maxBufferedBody))
			if form == "chunks" {
				body = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
			}
			io.WriteString(c, "HTTP/1.1 200 OK\r\n"+head+"\r\n"+body)
			if form == "reset" { // an answer that the connection's end ends
				c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		b := newBalancer(t, up("s-00000001", s))
		resp, err := b.client.Do(b.ask("checkin", ""))
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		if err == nil {
			t.Errorf("%s: passed on as whole", form)
		}
	}
}

// A body that takes far longer than the deadline is served: its time starts at its last byte, also at the upstream.
func TestSlowUploadIsServed(t *testing.T) {
	t.Parallel()
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	const pieces, budget = 12, 200 * time.Millisecond
	for form, length := range map[string]string{"length": fmt.Sprintf("Content-Length: %d\r\n", pieces*16<<10), "chunks": "Transfer-Encoding: chunked\r\n"} {
		l := b.connect(t)
		io.WriteString(l, checkin("X-Request-Id: "+form+"\r\nX-Deadline-Ms: 200\r\n"+length))
		start := time.Now()
		for range pieces {
			if form == "chunks" {
				io.WriteString(l, "4000\r\n")
			}
			l.Write(text(16 << 10))
			if form == "chunks" {
				io.WriteString(l, "\r\n")
			}
			time.Sleep(50 * time.Millisecond) // a slow line is what is tried
		}
		if form == "chunks" {
			io.WriteString(l, "0\r\n\r\n")
		}
		if time.Since(start) < 2*budget {
			t.Fatal("not slow enough to tell")
		}
		want(t, form, l.answer(t).StatusCode, 200)
		r := <-s.arrivals
		body, _ := io.ReadAll(r.Body)
		want(t, form+": bytes", len(body), pieces*16<<10)
	}
}

// A client that stops in the middle of a large body is told so, and the upstream gets no request.
func TestUploadThatStopsIsNoRequest(t *testing.T) {
	t.Parallel()
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	for form, c := range map[string]struct{ text, status string }{
		"length": {checkin(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", 4*maxBufferedBody)) + string(text(2*maxBufferedBody)), "408"},
		"chunks": {checkin("X-Request-Id: 2\r\nTransfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\n", 2*maxBufferedBody, text(2*maxBufferedBody)), "408"},
		"noise":  {checkin("X-Request-Id: 3\r\nTransfer-Encoding: chunked\r\n") + fmt.Sprintf("%x\r\n%s\r\nzz\r\n", 2*maxBufferedBody, text(2*maxBufferedBody)), "400"},
	} {
		if got := rawClient(t, b.url, c.text); !strings.HasPrefix(got, "HTTP/1.1 "+c.status) {
			t.Errorf("%s: got %q", form, got)
		}
	}
	b.until(t, "nothing is left of them", func() bool {
		return b.loopSays(func(l *loop) bool { return len(l.requests) == 0 && len(l.openIDs) == 0 && l.connCount == 0 })
	})
	want(t, "requests at the upstream", len(s.arrivals), 0)
	want(t, "held", b.loop.memory.available.Load(), b.config.bodyMemory())
}

// An upstream that answers before it has the whole body: the client gets that answer and can read it, and the upstream's
// connection serves nobody else.
func TestEarlyAnswer(t *testing.T) {
	t.Parallel()
	closed := make(chan struct{})
	s := rawServer(t, func(c net.Conn) {
		if _, err := readHead(c); err == nil {
			io.WriteString(c, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, c)
			close(closed)
		}
	})
	b := newBalancer(t, up("s-00000001", s))
	l := b.connect(t)
	io.WriteString(l, checkin(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", maxBodyBytes)))
	go io.Copy(l, io.LimitReader(zeros{}, 4*maxBufferedBody)) // and no more: it waits for its answer
	resp := l.answer(t)
	want(t, "status", resp.StatusCode, 503)
	want(t, "closes", resp.Close, true)
	<-closed
}

type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// What is held whole goes to a second server where the first one breaks before it ran; what was partly passed on is not
// sent twice.
func TestOnlyWhatIsHeldIsSentAgain(t *testing.T) {
	t.Parallel()
	var began atomic.Int32
	breaks := rawServer(t, func(c net.Conn) {
		if _, err := readHead(c); err != nil {
			return
		}
		began.Add(1)
		io.CopyN(io.Discard, c, maxBufferedBody+maxBufferedBody/2)
		c.(*net.TCPConn).SetLinger(0)
	})
	b := newBalancer(t, up("s-00000001", breaks))
	const size = 16 << 20 // far over what the buffers of both sockets hold: its last byte is not written before it breaks
	status, _ := b.do(t, b.ask("checkin", string(text(size))))
	want(t, "a large one", status, 503)
	want(t, "attempts", began.Load(), int32(1))
}

// A client that asks to go on is told to, once, and one that is refused is not.
func TestExpectContinue(t *testing.T) {
	t.Parallel()
	s := newServer(t, okAll)
	b := newBalancer(t, up("s-00000001", s))
	l := b.connect(t)
	io.WriteString(l, checkin(fmt.Sprintf("X-Request-Id: 1\r\nExpect: 100-continue\r\nContent-Length: %d\r\n", 2*maxBufferedBody)))
	line, _ := l.in.ReadString('\n')
	want(t, "interim", line, "HTTP/1.1 100 Continue\r\n")
	l.in.ReadString('\n')
	l.Write(text(2 * maxBufferedBody))
	want(t, "status", l.answer(t).StatusCode, 200)
	got := rawClient(t, b.url, checkin(fmt.Sprintf("X-Request-Id: 2\r\nExpect: 100-continue\r\nContent-Length: %d\r\n", maxBodyBytes+1)))
	want(t, "refused", strings.HasPrefix(got, "HTTP/1.1 413"), true)
}

// Where nothing can be held bodies pass all the same.
func TestNoRoomToHold(t *testing.T) {
	t.Parallel()
	s := newServer(t, func(c net.Conn, r *http.Request) bool { return ok(c, "done") })
	b := newBalancer(t, up("s-00000001", s))
	b.loop.memory.available.Store(0)
	for _, n := range []int{0, 10, maxBufferedBody, 2 * maxBufferedBody} {
		status, body := b.do(t, b.ask("checkin", string(text(n))))
		want(t, "status", status, 200)
		want(t, "body", body, "done")
		r := <-s.arrivals
		sent, _ := io.ReadAll(r.Body)
		want(t, "bytes", len(sent), n)
	}
}

// A reader whose body breaks off gives back what it held.
func TestGatherGivesBackOnError(t *testing.T) {
	h := newHolder()
	before := h.available.Load()
	broken := io.MultiReader(bytes.NewReader(text(5000)), errReader{})
	if _, _, err := h.collect(broken, always); !errors.Is(err, errAmbiguousFraming) {
		t.Error(err)
	}
	want(t, "room", h.available.Load(), before)
	held, whole, err := h.collect(bytes.NewReader(text(maxBufferedBody+1)), always)
	if whole || err != nil || len(held) != maxBufferedBody {
		t.Errorf("%d bytes held, whole %v, %v", len(held), whole, err)
	}
	h.free(held)
	want(t, "room", h.available.Load(), before)
}

type errReader struct{}

func (errReader) Read([]byte) (int, error) { return 0, errAmbiguousFraming }

// In a crowd that takes every place a request that comes slowly is served, and who asked once and stays gives way to it.
func TestSlowWriterOutlastsTheCrowd(t *testing.T) {
	t.Parallel()
	s := newServer(t, okAll)
	b := newBalancerWith(t, func(c *Config) { c.Sockets = 64 }, up("s-00000001", s))
	slow := b.connect(t)
	request := checkin("X-Request-Id: slow\r\nContent-Length: 4\r\n") + "body"
	for len(request) > 0 {
		n := min(len(request), 10)
		if _, err := io.WriteString(slow, request[:n]); err != nil {
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
				b.ask("read", "").Write(c)
			case 1:
				io.WriteString(c, "POST /checkin HT")
			}
		}
		time.Sleep(requestHeadTimeout / 20) // a slow line is what is tried
	}
	want(t, "status", slow.answer(t).StatusCode, 200)
}

// Who stands still longest gives way, a mute connection before any that has begun, and never one that is served.
func TestWhoGivesWay(t *testing.T) {
	now := time.Now()
	f := &frontend{clients: map[*client]struct{}{}}
	add := func(at clientStage, begun bool, since, moved time.Duration) *client {
		near, far := net.Pipe()
		t.Cleanup(func() { near.Close(); far.Close() })
		pace := &timedConn{Conn: near}
		pace.lastRead.Store(now.Add(-moved).UnixNano())
		c := &client{httpConn: newHTTPConn(pace, 16), timed: pace, stage: at, requestStarted: begun, stageSince: now.Add(-since)}
		f.clients[c] = struct{}{}
		return c
	}
	served := add(clientServing, true, time.Hour, time.Hour)
	fresh := add(clientReading, false, 0, time.Hour)
	order := []*client{
		add(clientReading, false, 2*noDataEvictAfter, time.Hour),
		add(clientIdle, false, 20*time.Second, 20*time.Second),
		add(clientReading, true, 3*time.Second, 2*time.Second),
		add(clientIdle, false, time.Second, time.Second),
		add(clientReading, true, 3*time.Second, 100*time.Millisecond), // slow, and still coming
	}
	for i, c := range order {
		if !f.makeRoom() || c.stage != clientEvicted {
			t.Fatalf("number %d did not give way", i)
		}
	}
	if f.makeRoom() || served.stage != clientServing || fresh.stage != clientReading {
		t.Error("one that is served, or that has just come, gave way")
	}
}

// A client of an upload that is held leaves behind bytes that nobody reads before an attempt takes the body. Nothing begins
// for it, be its connection closed or reset, also where the first attempt found no connection.
func TestNothingBeginsOnceTheClientOfAnUnreadUploadHasGone(t *testing.T) {
	for name, leave := range map[string]func(*net.TCPConn){
		"closed": func(*net.TCPConn) {},
		"reset":  func(c *net.TCPConn) { c.SetLinger(0) },
	} {
		for _, refused := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, an attempt refused before %v", name, refused), func(t *testing.T) {
				t.Parallel()
				var begun atomic.Int32
				s := rawServer(t, func(c net.Conn) {
					if n, _ := c.Read(make([]byte, 1)); n > 0 {
						begun.Add(1)
					}
				})
				var first []member
				if refused {
					l, err := net.Listen("tcp", "127.0.0.1:0")
					if err != nil {
						t.Fatal(err)
					}
					first = []member{up("s-00000002", &server{addr: l.Addr().String()})}
					l.Close()
				}
				b := newBalancer(t, first...)
				c := b.connect(t)
				const size = maxBufferedBody + 2*bodyBufferSize
				fmt.Fprintf(c, "%s%s", checkin(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", size)), text(size))
				b.until(t, "the request is open", func() bool {
					return b.loopSays(func(l *loop) bool { return len(l.openIDs) == 1 })
				})
				leave(c.Conn.(*net.TCPConn))
				c.Close()
				<-b.registry.calls
				b.registry.answers <- discoveryList{Revision: 11, Complete: true, Members: []member{up("s-00000001", s)}}
				b.until(t, "the request has ended", func() bool {
					return b.loopSays(func(l *loop) bool { return len(l.openIDs) == 0 })
				})
				want(t, "requests begun", int(begun.Load()), 0)
			})
		}
	}
}
