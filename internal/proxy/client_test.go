package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// TestRequestThatCrossesCloseIsServed guards against closing a connection whose next request has just been read: its
// goroutine had taken the bytes and waited to say so, while a drain, SIGTERM, a handover or an eviction closed it.
func TestRequestThatCrossesCloseIsServed(t *testing.T) {
	request := func(id string) string { return checkinRequest("X-Request-Id: " + id + "\r\nContent-Length: 0\r\n") }
	idle := func(c *client) bool { return c.stage == clientIdle }
	silent := func(c *client) bool { return c.stage == clientReading && !c.requestStarted }
	for name, tt := range map[string]struct {
		before, crossing string                    // what the client sends before the close, and as the balancer closes
		close            func(f *frontend) *client // called with f.mu held; returns the client to be closed
	}{
		"drain or stop, idle connection": {request("1"), request("2"), func(f *frontend) *client {
			f.outOfService = true
			f.closeClients(idle)
			return onlyClient(f)
		}},
		"drain or stop, new connection": {"", request("2"), func(f *frontend) *client {
			f.outOfService = true
			f.closeClients(silent)
			return onlyClient(f)
		}},
		"eviction of an idle connection": {request("1"), request("2"), func(f *frontend) *client {
			return f.evictLongestStalled(time.Now())
		}},
		"eviction of a slow client": {request("1") + request("2")[:20], request("2")[20:], func(f *frontend) *client {
			return f.evictLongestStalled(time.Now().Add(newClientGracePeriod)) // its read has not been noted
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				b.sendList(50, b.addUpstream(respondOK).member("s-00000001"))
				conn := b.connectClient()
				reader := bufio.NewReader(conn)
				wantOK := func() {
					t.Helper()
					resp, err := http.ReadResponse(reader, nil)
					if err != nil {
						t.Fatalf("got no response: %v", err)
					}
					want(t, "status", resp.StatusCode, http.StatusOK)
					io.Copy(io.Discard, resp.Body)
				}
				first, rest := tt.before[:min(len(tt.before), len(request("1")))], tt.before[min(len(tt.before), len(request("1"))):]
				if first != "" {
					io.WriteString(conn, first)
					wantOK()
				}
				io.WriteString(conn, rest)
				time.Sleep(2 * newClientGracePeriod)
				synctest.Wait()
				b.front.mu.Lock()
				io.WriteString(conn, tt.crossing) // returns once the bytes have been read
				if tt.close(b.front) != onlyClient(b.front) {
					t.Error("the connection was not to be closed, so the test proves nothing")
				}
				b.front.mu.Unlock()
				wantOK()
				conn.Close()
				b.expireAndStop()
			})
		})
	}
}

// onlyClient returns the only client of a frontend. The caller holds f.mu.
func onlyClient(f *frontend) *client {
	for c := range f.clients {
		return c
	}
	panic(fmt.Sprintf("%d clients", len(f.clients)))
}

// TestEvictedConnectionCloses guards against connections that stay open behind a drain or an eviction.
func TestEvictedConnectionCloses(t *testing.T) {
	for name, sent := range map[string]string{
		"silent":             "",
		"within a request":   "POST /checkin HT",
		"between requests":   checkinRequest("X-Request-Id: 1\r\nContent-Length: 0\r\n"),
		"refused, lingering": "nonsense\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				b.sendList(50, b.addUpstream(respondOK).member("s-00000001"))
				conn := b.connectClient()
				go discardInput(conn)
				io.WriteString(conn, sent)
				time.Sleep(2 * newClientGracePeriod)
				b.front.mu.Lock()
				b.front.maxClients = 1
				b.front.mu.Unlock()
				want(t, "room is made", b.front.makeRoom(), true)
				want(t, "closed", conn.peer.closed.Load(), true)
				conn.Close()
				b.expireAndStop()
			})
		})
	}
}

// TestFloodOfHealthChecksLeavesTimeToOthers guards against one client keeping the process busy: on one connection it sends
// small requests faster than they are answered, and other clients wait for 10 ms at each step of their own.
func TestFloodOfHealthChecksLeavesTimeToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const checks, workOfCheck = 50, 100 * time.Microsecond
		b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
		post := b.front.post
		b.front.post = func(e event) {
			time.Sleep(workOfCheck) // stands for work: the clock of the test stands still while the program runs
			post(e)
		}
		conn := b.connectClient()
		go discardInput(conn)
		begin := time.Now()
		flood := strings.Repeat("GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", checks)
		io.WriteString(conn, flood[:len(flood)-1])
		io.WriteString(conn, flood[len(flood)-1:]) // the last request is complete once all others have been answered
		synctest.Wait()
		work := checks * workOfCheck
		if took := time.Since(begin); took < work*3/2 {
			t.Errorf("got %d checks answered in %v, want pauses of about the work's %v", checks, took, work)
		}
		conn.Close()
		b.expireAndStop()
	})
}

// TestUploadInTinyChunksLeavesTimeToOthers guards against the same by a body in chunks of one byte.
func TestUploadInTinyChunksLeavesTimeToOthers(t *testing.T) {
	const chunks = 20000
	text := strings.Repeat("1\r\na\r\n", chunks) + "0\r\n\r\n"
	near, far := net.Pipe()
	defer near.Close()
	go func() { io.WriteString(far, text); far.Close() }()
	timed := newTimedConn(near)
	paused := time.Duration(0)
	timed.slicer.pause = func(worked time.Duration) { paused += worked }
	timed.slicer.sliceStart = time.Now().Add(-time.Hour) // as if it had worked for long
	front := &frontend{memory: newBodyMemory()}
	c := &client{httpConn: newHTTPConn(timed, clientReadBuffer), timed: timed}
	req := &request{}
	h := headOf("Transfer-Encoding: chunked")
	if err := front.readBody(c, req, http.MethodPost, &h); err != nil {
		t.Fatal(err)
	}
	want(t, "body bytes", len(req.message.body), chunks)
	if paused < workSlice {
		t.Errorf("got pauses of %v, want %v at least", paused, workSlice)
	}
}

// TestEarlyResponsesLeaveRoomForClients guards against connections that hold all places until their clients have stopped
// sending requests which have had their response.
func TestEarlyResponsesLeaveRoomForClients(t *testing.T) {
	t.Parallel()
	upstream := newRawUpstream(t, func(c net.Conn) {
		if _, err := readRequestHead(c); err == nil {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			io.Copy(io.Discard, c)
		}
	})
	b := startBalancerWith(t, func(c *Config) { c.Sockets = 64 }, upMember("s-00000001", upstream))
	for i := range b.config.Capacity(1).ClientConns {
		c := b.dialClient(t)
		io.WriteString(c, checkinRequest(fmt.Sprintf("X-Request-Id: %d\r\nContent-Length: %d\r\n", i, maxBodyBytes)))
		c.Write(zeroBody)
		c.readResponse(t)
	}
	start := time.Now()
	c := b.dialClient(t)
	io.WriteString(c, checkinRequest("X-Request-Id: next\r\nContent-Length: 0\r\n"))
	c.readResponse(t)
	if took := time.Since(start); took > earlyResponseLingerTimeout/2 {
		t.Errorf("got the response to the next client after %v, want it at once", took)
	}
}

// TestClientsThatLeaveDoNotPauseUpstreams guards against taking long responses whose clients have left for failures of
// their upstream, which would then get no requests of other clients.
func TestClientsThatLeaveDoNotPauseUpstreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const leavers, upstreamTime = 8, 5 * time.Millisecond
		b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
		close(b.connectGate)
		b.sendList(50, b.addUpstream(func(c net.Conn, _ *http.Request) bool {
			time.Sleep(upstreamTime)
			return writeOK(c, string(numberedBytes(2*maxBufferedBody)))
		}).member("s-00000001"))
		for i := range leavers {
			c := b.connectClient()
			writeEmptyCheckin(c, fmt.Sprintf("leaver-%d", i))
			time.Sleep(upstreamTime / 2)
			c.Close()
			time.Sleep(upstreamTime)
		}
		c := b.connectClient()
		begin := time.Now()
		writeEmptyCheckin(c, "ordinary")
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		want(t, "status", resp.StatusCode, http.StatusOK)
		want(t, "time to the response", time.Since(begin), upstreamTime)
		c.Close()
		b.expireAndStop()
	})
}
