package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// Limits of a balancer that has little memory for its descriptors.
const (
	littleMemoryMB  = 64
	leastMemoryMB   = 32
	manyDescriptors = 1024
)

// usedMemory returns how many bytes the process uses, without garbage.
func usedMemory() uint64 {
	runtime.GC()
	runtime.GC() // empties the pools
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return memory.HeapAlloc + memory.StackInuse
}

// checkMemory fails the test if the process uses more memory than the given limit, without garbage.
func checkMemory(t *testing.T, limitMB uint64) {
	t.Helper()
	checkMemorySince(t, 0, limitMB)
}

// checkMemorySince fails the test if the process uses more memory than the given limit beside what it used before,
// without garbage.
func checkMemorySince(t *testing.T, before, limitMB uint64) {
	t.Helper()
	if used := usedMemory(); used > before+limitMB<<20 {
		t.Errorf("got %d bytes in use, %d of them before, want at most %d MiB more", used, before, limitMB)
	}
}

// discardInput reads until the connection ends. Its buffer is small beside those of the balancer.
func discardInput(c net.Conn) {
	buffer := make([]byte, 256)
	for {
		if _, err := c.Read(buffer); err != nil {
			return
		}
	}
}

// newLimitedBalancer starts a balancer with the given limits of memory and sockets, and as many upstreams as it may have
// connections to. They pass their connections to serve.
func newLimitedBalancer(t *testing.T, limits Config, serve func(net.Conn)) *memBalancer {
	t.Helper()
	b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(c *Config, _ *garnettide.Settings) {
		c.MemoryMB, c.Sockets = limits.MemoryMB, limits.Sockets
	})
	close(b.connectGate)
	var members []member
	for i := range limits.Capacity(1).UpstreamConns {
		u := b.addUpstream(nil)
		u.serve = serve
		members = append(members, u.member(fmt.Sprintf("s-%08x", i+1)))
	}
	b.sendList(50, members...)
	return b
}

// TestEndedRequestsStayWithinMemoryLimit guards against keeping the bodies of ended requests until their deadline, which
// no budget counts.
func TestEndedRequestsStayWithinMemoryLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(c *Config, _ *garnettide.Settings) {
			c.MemoryMB = littleMemoryMB
		})
		close(b.connectGate)
		b.sendList(50, b.addUpstream(respondOK).member("s-00000001"), b.addUpstream(respondOK).member("s-00000002"))
		conn := b.connectClient()
		responses := bufio.NewReader(conn)
		body := strings.Repeat("b", maxBufferedBody)
		start := time.Now()
		for i := range 2 * littleMemoryMB << 20 / len(body) {
			io.WriteString(conn, checkinRequest(fmt.Sprintf("X-Request-Id: %d\r\nX-Deadline-Ms: 4000\r\nContent-Length: %d\r\n",
				i, len(body)))+body)
			resp, err := http.ReadResponse(responses, nil)
			if err != nil {
				t.Fatal(err)
			}
			want(t, "status", resp.StatusCode, http.StatusOK)
			io.Copy(io.Discard, resp.Body)
		}
		if took := time.Since(start); took > 3*time.Second {
			t.Errorf("got the responses within %v, want them before the first deadlines", took)
		}
		checkMemory(t, littleMemoryMB)
		conn.Close()
		b.expireAndStop()
	})
}

// TestLateResponsesStayWithinMemoryLimit guards against keeping the requests of attempts that await a late response from
// hung upstreams, which no budget counts.
func TestLateResponsesStayWithinMemoryLimit(t *testing.T) {
	limits := Config{MemoryMB: leastMemoryMB, Sockets: manyDescriptors}
	const deadline = 100 * time.Millisecond // the budgets hold a part of the requests at once, and late responses are awaited for 3 s
	synctest.Test(t, func(t *testing.T) {
		b := newLimitedBalancer(t, limits, discardInput)
		padding := "X-Pad: " + strings.Repeat("p", maxHeadBytes-400) + "\r\n"
		body := strings.Repeat("b", maxBufferedBody)
		var conns []*memConn
		for b.upstreamConns() < limits.Capacity(1).UpstreamConns { // those of requests whose deadline is over
			for range limits.Capacity(1).UpstreamConns {
				c := b.connectClient()
				conns = append(conns, c)
				go discardInput(c)
				go io.WriteString(c, checkinRequest(fmt.Sprintf("X-Request-Id: %d\r\nX-Deadline-Ms: %d\r\n%sContent-Length: %d\r\n",
					len(conns), deadline.Milliseconds(), padding, len(body)))+body)
				synctest.Wait()
			}
			time.Sleep(deadline)
			synctest.Wait()
		}
		checkMemory(t, leastMemoryMB)
		for _, c := range conns {
			c.Close()
		}
		b.expireAndStop()
	})
}

// zeroBody is a body that all messages of a test share.
var zeroBody = make([]byte, 4*maxBufferedBody)

// slowCrowd is a crowd of clients, and the upstreams of its balancer, in TestSlowCrowdStaysWithinMemoryLimit.
type slowCrowd struct {
	serve   func(c net.Conn)            // serves a connection to an upstream
	request func(c net.Conn, id string) // writes a request, and does not return before its connection ends
}

// slowCrowds holds crowds whose bodies rest in the balancer, in one direction or the other.
var slowCrowds = map[string]slowCrowd{
	"uploads that pause": {discardInput, func(c net.Conn, id string) {
		io.WriteString(c, checkinRequest(fmt.Sprintf("X-Request-Id: %s\r\nContent-Length: %d\r\n", id, maxBodyBytes)))
		c.Write(zeroBody[:2*maxBufferedBody]) // more follows later
	}},
	"uploads that are not read": {waitForClose, func(c net.Conn, id string) {
		io.WriteString(c, checkinRequest(fmt.Sprintf("X-Request-Id: %s\r\nContent-Length: %d\r\n", id, maxBodyBytes)))
		c.Write(zeroBody)
	}},
	"long responses that are not read":  {respondTo(len(zeroBody)), writeEmptyCheckin},
	"short responses that are not read": {respondTo(maxBufferedBody - 1), writeEmptyCheckin},
}

// respondTo returns a function that responds to each request on a connection with a body of the given size.
func respondTo(size int) func(c net.Conn) {
	return func(c net.Conn) {
		for reader := bufio.NewReaderSize(c, 16); ; {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", size)
			if _, err := c.Write(zeroBody[:size]); err != nil {
				return
			}
		}
	}
}

// writeEmptyCheckin writes a checkin request without a body.
func writeEmptyCheckin(c net.Conn, id string) {
	io.WriteString(c, checkinRequest("X-Request-Id: "+id+"\r\nContent-Length: 0\r\n"))
}

// TestSlowCrowdStaysWithinMemoryLimit guards against a crowd of slow clients taking a balancer over its memory limit: the
// buffers of bodies that are streamed, and of responses that are being written, were counted by no budget.
func TestSlowCrowdStaysWithinMemoryLimit(t *testing.T) {
	for name, crowd := range slowCrowds {
		t.Run(name, func(t *testing.T) {
			limits := Config{MemoryMB: leastMemoryMB, Sockets: manyDescriptors}
			before := usedMemory() // of other tests
			synctest.Test(t, func(t *testing.T) {
				b := newLimitedBalancer(t, limits, crowd.serve)
				var conns []*memConn
				for len(conns) < limits.Capacity(1).ClientConns {
					c := b.connectClient()
					conns = append(conns, c)
					go crowd.request(c, strconv.Itoa(len(conns)))
				}
				time.Sleep(200 * time.Millisecond) // within the deadlines
				synctest.Wait()
				checkMemorySince(t, before, leastMemoryMB)
				for _, c := range conns {
					c.Close()
				}
				b.expireAndStop()
				time.Sleep(bodyIdleTimeout)
				want(t, "reserved memory for bodies at the end", b.memory.reserved(), int64(0))
			})
		})
	}
}

// TestMemoryNearLimitIsLogged guards against silence while memory grows to its limit, and against a line each second.
func TestMemoryNearLimitIsLogged(t *testing.T) {
	h := newLoopHarness(t)
	h.memoryLog.limit = 100 << 20
	h.headMemory.reserve(3 << 10)
	h.memory.reserve(5 << 10)
	now, collections, collectorCPU := time.Duration(0), uint64(0), 0.0
	const rest = "live 1024 KiB, stacks 1024 KiB of 7 goroutines, 10 collections a second, "
	const budgets = " of the processor, heads 3 KiB, bodies 5 KiB, 0 requests, 0 connections to upstreams"
	for _, tt := range []struct {
		after          time.Duration // the reading before
		inUseMB        uint64
		collectorShare float64
		line           string // empty: none
	}{
		{time.Second, 74, 0.02, ""},
		{time.Second, 76, 0.02, "memory is near the limit: 77824 of 102400 KiB in use, heap objects 2048 KiB, " + rest + "2%" + budgets},
		{time.Second, 90, 0.02, ""},
		{3 * time.Second, 90, 0.02, ""},
		{time.Second, 91, 0.02, "memory is near the limit: 93184 of 102400 KiB in use, heap objects 2048 KiB, " + rest + "2%" + budgets},
		{time.Second, 66, 0.02, ""},
		{time.Second, 64, 0.02, "memory is no longer near the limit: 65536 of 102400 KiB in use, heap objects 2048 KiB, " + rest + "2%" + budgets},
		{10 * time.Second, 74, 0.19, ""},
		{time.Second, 40, 0.5, "the collector is busy: 40960 of 102400 KiB in use, heap objects 2048 KiB, " + rest + "50%" + budgets},
		{time.Second, 40, 0.11, ""},
		{time.Second, 40, 0.02, "memory is no longer near the limit: 40960 of 102400 KiB in use, heap objects 2048 KiB, " + rest + "2%" + budgets},
	} {
		now += tt.after
		usage := memoryUsage{inUse: tt.inUseMB << 20, live: 1 << 20, objects: 2 << 20, stacks: 1 << 20, goroutines: 7}
		collections, collectorCPU = collections+10*uint64(tt.after/time.Second), collectorCPU+tt.collectorShare*tt.after.Seconds()
		usage.collections, usage.collectorCPU = collections, collectorCPU
		h.logMemory(now, usage)
		line := ""
		select {
		case line = <-h.logLines:
		default:
		}
		want(t, fmt.Sprintf("line at %v, %d MiB", now, tt.inUseMB), line, tt.line)
	}
	if usage := readMemoryUsage(); usage.objects == 0 || usage.stacks == 0 || usage.inUse < usage.objects+usage.stacks ||
		usage.goroutines == 0 {
		t.Errorf("got %+v, want all of it, and the parts within the whole", usage)
	}
}

// TestEndedAttemptKeepsNoMessage guards against an attempt that was not sent keeping the body of its request in memory,
// which the budget has back once another attempt sends the rest of the body.
func TestEndedAttemptKeepsNoMessage(t *testing.T) {
	h := newLoopHarness(t)
	h.setMembers(1, upMember("s-00000001", &testUpstream{addr: "127.0.0.1:1"}))
	h.maxConns = 0 // no connection is available
	r := &request{clientRequestID: "1", at: h.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", time.Second
	r.message = message{methodAndTarget: "POST /checkin", host: "x", head: headOf("X-Request-Id: 1"), body: zeroBody}
	requestReceived{r}.apply(h.loop)
	h.reportPending()
	if len(r.attempts) == 0 {
		t.Fatal("no attempt was made, so the test proves nothing")
	}
	for _, a := range r.attempts {
		if a.message != nil {
			t.Errorf("attempt %d keeps its message", a.index)
		}
	}
}

// TestSmallBodyIsKeptWholeWithoutMemory guards against small bodies that are streamed where large ones have used up the
// budget: such a request cannot be sent again, and counts as a transfer, of which few are allowed.
func TestSmallBodyIsKeptWholeWithoutMemory(t *testing.T) {
	memory := newBodyMemory()
	memory.available.Store(0)
	buffered, complete, err := memory.collect(bytes.NewReader(zeroBody[:uncountedBytes-1]), always)
	want(t, "error", err, nil)
	want(t, "complete", complete, true)
	want(t, "buffered bytes", len(buffered), uncountedBytes-1)
	memory.free(buffered)
	want(t, "available memory after a small body", memory.available.Load(), int64(0))
	buffered, complete, err = memory.collect(bytes.NewReader(zeroBody), always)
	want(t, "error of a large body", err, nil)
	want(t, "large body complete", complete, false)
	memory.free(buffered)
	want(t, "available memory after a large body", memory.available.Load(), int64(0))
}

// TestCollectorTargetIsSetByUse guards against a target of the collector that stays low while much is in use, and against
// setting it again and again.
func TestCollectorTargetIsSetByUse(t *testing.T) {
	h := newLoopHarness(t)
	h.setCapacity((&Config{MemoryMB: leastMemoryMB, Sockets: manyDescriptors}).Capacity(1))
	h.collectorTarget = h.capacity.CalmCollectorTarget
	var targets []int64
	h.onCollectorTarget = func(bytes int64) { targets = append(targets, bytes) }
	for _, inUseMB := range []uint64{6, 20, 21, 6, 7} {
		garbage := uint64(5 << 20)
		h.setCollectorTarget(memoryUsage{inUse: inUseMB<<20 + garbage, live: 3 << 20, objects: 3<<20 + garbage})
	}
	want(t, "targets", fmt.Sprint(targets), fmt.Sprint([]int64{h.capacity.MaxCollectorTarget, h.capacity.CalmCollectorTarget}))
}

// TestFailedReservationTakesNothingFromOthers guards against refusing an ordinary head or body, which takes nothing from its
// budget, or one for which there is memory, at the moment in which a large one finds too little.
func TestFailedReservationTakesNothingFromOthers(t *testing.T) {
	const rounds, held = 200_000, 1 << 10
	var budget memoryBudget
	budget.setLimit(held)
	stop := make(chan struct{})
	var failing sync.WaitGroup
	for range 2 {
		failing.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					budget.reserve(maxHeadBytes)
				}
			}
		})
	}
	refused := 0
	for range rounds {
		if !budget.reserve(0) {
			refused++
		}
		if !budget.reserve(held) {
			refused++
			continue
		}
		budget.release(held)
	}
	close(stop)
	failing.Wait()
	want(t, "reservations refused", refused, 0)
	budget.setLimit(-held) // as if a reload had lowered the limit below what is held
	want(t, "nothing is available over the limit", budget.reserve(0), true)
}
