package proxy

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// Limits of a balancer that has little memory for its descriptors.
const (
	littleMemoryMB  = 64
	manyDescriptors = 1024
)

// checkMemory fails the test if the process uses more memory than the given limit, without garbage.
func checkMemory(t *testing.T, limitMB uint64) {
	t.Helper()
	runtime.GC()
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	if used := memory.HeapAlloc + memory.StackInuse; used > limitMB<<20 {
		t.Errorf("got %d bytes in use, want at most %d MiB", used, limitMB)
	}
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
