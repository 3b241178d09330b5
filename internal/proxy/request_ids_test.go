package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// TestRequestThatComesAgainRunsOnce guards against running a request twice that comes again with its ID after its client
// has left, to the same process or to the other one of an upgrade. One that never ran is served.
func TestRequestThatComesAgainRunsOnce(t *testing.T) {
	for _, class := range []string{"checkin", "pay"} {
		for _, otherProcess := range []bool{false, true} {
			for _, sent := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, other process %v, sent at first %v", class, otherProcess, sent), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						idFile, emptyPipe := filepath.Join(t.TempDir(), "ids"), newEmptyPipe(t)
						var started atomic.Int32
						newProcess := func() *memBalancer {
							b := newMemBalancer(t, emptyPipe, dialBlocked, func(*Config, *garnettide.Settings) {})
							b.runOnLoop(func(l *loop) {
								l.uptime = testUptime
								l.shareRequestIDs(idFile)
							})
							close(b.connectGate)
							return b
						}
						addUpstream := func(b *memBalancer) {
							b.sendList(50, b.addUpstream(func(c net.Conn, r *http.Request) bool {
								started.Add(1)
								time.Sleep(300 * time.Millisecond)
								return respondOK(c, r)
							}).member("s-00000001"))
							synctest.Wait()
						}
						first := newProcess()
						second := first
						if otherProcess {
							second = newProcess()
						}
						if sent {
							addUpstream(first)
						}
						request := fmt.Sprintf("POST /%[1]s HTTP/1.1\r\nHost: x\r\nX-Request-Id: 7\r\nX-Class: %[1]s\r\nContent-Length: 0\r\n", class)
						if class == "pay" {
							request += "Idempotency-Key: 1\r\n"
						}
						conn := first.connectClient()
						io.WriteString(conn, request+"\r\n")
						time.Sleep(100 * time.Millisecond)
						conn.Close()
						time.Sleep(100 * time.Millisecond)
						if !sent || otherProcess {
							addUpstream(second)
						}
						conn = second.connectClient()
						io.WriteString(conn, request+"\r\n")
						resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
						if err != nil {
							t.Fatal(err)
						}
						status := http.StatusOK
						if sent {
							status = http.StatusConflict
						}
						want(t, "status", resp.StatusCode, status)
						want(t, "times the request has run", int(started.Load()), 1)
						conn.Close()
						first.expireAndStop()
						second.cancel()
						time.Sleep(time.Second)
					})
				})
			}
		}
	}
}

// TestRequestIDTable guards against IDs that are kept too long, or dropped while there is room, and against more memory
// for ever new ones.
func TestRequestIDTable(t *testing.T) {
	table := &requestIDTable{}
	claim := func(id string, now, until int) bool {
		return table.claim(id, time.Duration(now)*time.Second, time.Duration(until)*time.Second)
	}
	want(t, "claim", claim("a", 10, 20), true)
	want(t, "claim of a kept ID", claim("a", 19, 30), false)
	want(t, "claim of an ID whose time is over", claim("a", 20, 30), true)
	table.setUntil("a", 21*time.Second, 25*time.Second)
	want(t, "claim at the changed end", claim("a", 25, 30), true)
	for i := range idSlots / 4 {
		claim(fmt.Sprintf("id-%d", i), 30, 90)
	}
	for i := range idSlots / 4 {
		if claim(fmt.Sprintf("id-%d", i), 89, 99) {
			t.Fatalf("ID %d of %d was dropped", i, idSlots/4)
		}
	}
	for i := range 4 * idSlots {
		if !claim(fmt.Sprintf("new-%d", i), 30, 90) {
			t.Fatalf("ID %d was not taken", i)
		}
	}
	want(t, "slots", len(table.slots), idSlots)
}

// testUptime stands for the machine's uptime where the clock is that of a synctest bubble.
func testUptime() (time.Duration, error) { return time.Since(timeReference), nil }

// TestSharedIDsOutlastClockStep guards against two processes that take times in the table they share by different clocks:
// the second one has been started after the system's clock was set.
func TestSharedIDsOutlastClockStep(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		path := filepath.Join(t.TempDir(), "ids")
		first, second := newLoopHarness(t), newLoopHarness(t)
		second.clockBase += step
		first.shareRequestIDs(path)
		second.shareRequestIDs(path)
		now := first.now()
		want(t, "claimed at first", first.requestIDs.claim("7", now, now+idRetention), true)
		want(t, fmt.Sprintf("claimed again by the other process, its clock set by %v", step),
			second.requestIDs.claim("7", second.now(), second.now()+idRetention), false)
		want(t, fmt.Sprintf("claimed again after its time, the clock set by %v", step),
			second.requestIDs.claim("7", second.now()+2*idRetention, second.now()+3*idRetention), true)
	}
}

// TestSharedIDsHaveTheirSpace guards against a table of request IDs that ends the process when it is written to while the
// file system is full.
func TestSharedIDsHaveTheirSpace(t *testing.T) {
	path := filepath.Join(t.TempDir(), "ids")
	if _, err := openSharedIDs(path); err != nil {
		t.Fatal(err)
	}
	info, err := os.Stat(path)
	if err != nil {
		t.Fatal(err)
	}
	const blockSize = 512 // of Stat_t.Blocks
	if reserved := info.Sys().(*syscall.Stat_t).Blocks * blockSize; reserved < info.Size() {
		t.Errorf("got %d bytes of %d reserved, want all", reserved, info.Size())
	}
}
