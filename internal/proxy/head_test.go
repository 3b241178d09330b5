package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"garnettide"
)

// shortLines returns valid field lines of a few bytes each, as many as fit a head beside the fields of a request.
func shortLines() string {
	var lines bytes.Buffer
	for i := int64(0); lines.Len() < maxHeadBytes-400; i++ {
		fmt.Fprintf(&lines, "%s:1\r\n", strconv.FormatInt(i, 36))
	}
	return lines.String()
}

// withoutEnd returns a message without the empty line that ends it.
func withoutEnd(text string) string { return text[:len(text)-len("\r\n")] }

// TestManyHeaderFieldsStayWithinMemoryLimit guards against a crowd taking a balancer over its memory limit with heads
// and trailers of many short fields, which take many times their bytes if each is stored by itself.
func TestManyHeaderFieldsStayWithinMemoryLimit(t *testing.T) {
	limits := Config{MemoryMB: littleMemoryMB, Sockets: manyDescriptors}
	request := func(i int, lines string) string {
		return checkinRequest(fmt.Sprintf("X-Request-Id: %d\r\nX-Deadline-Ms: 4000\r\n%s", i, lines))
	}
	for name, tt := range map[string]struct {
		clients      int
		request      func(i int) string
		responseHead string // of upstreams; empty: no upstream is listed, and requests wait
	}{
		"unfinished requests": {limits.Capacity(1).ClientConns,
			func(i int) string { return withoutEnd(request(i, shortLines())) }, ""},
		"unfinished trailers": {limits.Capacity(1).ClientConns,
			func(i int) string { return request(i, "Transfer-Encoding: chunked\r\n") + "0\r\n" + shortLines() }, ""},
		"requests that wait": {limits.Capacity(1).UpstreamConns,
			func(i int) string { return request(i, "Content-Length: 0\r\n"+shortLines()) }, ""},
		"unfinished responses": {limits.Capacity(1).UpstreamConns,
			func(i int) string { return request(i, "Content-Length: 0\r\n") },
			withoutEnd("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + shortLines() + "\r\n")},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(c *Config, _ *garnettide.Settings) {
					c.MemoryMB, c.Sockets = littleMemoryMB, manyDescriptors
				})
				close(b.connectGate)
				var responses int
				if tt.responseHead != "" {
					var members []member
					for i := range tt.clients {
						u := b.addUpstream(nil)
						u.serve = func(c net.Conn) {
							u.requestsStarted.Add(1)
							go io.WriteString(c, tt.responseHead)
							discardInput(c) // until the balancer gives up
						}
						members = append(members, u.member(fmt.Sprintf("s-%08x", i+1)))
					}
					b.sendList(50, members...)
					responses = tt.clients
				}
				var conns []*memConn
				for i := range tt.clients {
					c := b.connectClient()
					conns = append(conns, c)
					go io.WriteString(c, tt.request(i)) // fails if the balancer refuses it before its end
					go discardInput(c)
				}
				synctest.Wait()
				if n := b.requestsStarted(); n != responses {
					t.Errorf("requests at upstreams: got %d, want %d", n, responses)
					b.runOnLoop(func(l *loop) { t.Log(l.describeRequests()) })
				}
				checkMemory(t, littleMemoryMB)
				for _, c := range conns {
					c.Close()
				}
				b.expireAndStop()
				want(t, "free memory for heads at the end", b.headMemory.available.Load(), limits.Capacity(1).HeadBytes)
			})
		})
	}
}

// TestLargeHeadsFailWithoutMemory guards against memory for heads beyond the budget, and against refusing ordinary
// requests once large heads have used it up.
func TestLargeHeadsFailWithoutMemory(t *testing.T) {
	padding := "X-Pad: " + strings.Repeat("p", 2*uncountedBytes) + "\r\n"
	upstream := newTestUpstream(t, func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Want-Padding") != "" {
			_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+padding+"\r\n")
			return err == nil
		}
		return respondOK(c, r)
	})
	b := startBalancer(t, upMember("s-00000001", upstream))
	b.loop.headMemory.available.Store(0)
	for _, tt := range []struct {
		name, text, status string
		atUpstream         int
	}{
		{"ordinary", checkinRequest("X-Request-Id: 1\r\nConnection: close\r\nContent-Length: 0\r\n"), "200", 1},
		{"large request", checkinRequest("X-Request-Id: 2\r\nContent-Length: 0\r\n" + padding), "503", 0},
		{"large trailer",
			checkinRequest("X-Request-Id: 3\r\nTransfer-Encoding: chunked\r\n") + "0\r\n" + padding + "\r\n", "503", 0},
		{"large response",
			checkinRequest("X-Request-Id: 4\r\nConnection: close\r\nX-Want-Padding: 1\r\nContent-Length: 0\r\n"), "502", 1},
	} {
		if got := sendRaw(t, b.url, tt.text); !strings.HasPrefix(got, "HTTP/1.1 "+tt.status) {
			t.Errorf("%s: got %q, want status %s", tt.name, got, tt.status)
		}
		want(t, tt.name+": requests at the upstream", len(upstream.received), tt.atUpstream)
		for range tt.atUpstream {
			<-upstream.received
		}
	}
	want(t, "free memory for heads at the end", b.loop.headMemory.available.Load(), int64(0))
}

// TestHeadsOfEndedRequestsAreReleased guards against a leak of memory for heads, whichever way a request ends.
func TestHeadsOfEndedRequestsAreReleased(t *testing.T) {
	padding := "X-Pad: " + strings.Repeat("p", 2*uncountedBytes) + "\r\n"
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	var clients sync.WaitGroup
	for _, m := range malformedRequests() {
		clients.Go(func() {
			startLine, rest, _ := strings.Cut(m.text, "\r\n")
			sendRaw(t, b.url, startLine+"\r\n"+padding+rest)
		})
	}
	sendRaw(t, b.url, checkinRequest("X-Request-Id: ok\r\nConnection: close\r\nContent-Length: 0\r\n"+padding))
	sendRaw(t, b.url, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"+padding+"\r\n")
	clients.Wait()
	b.waitUntil(t, "the memory is released", func() bool {
		return b.loop.headMemory.available.Load() == b.config.Capacity(1).HeadBytes
	})
}

// FuzzHead guards against reading a head otherwise than net/textproto does, which parses heads for net/http. A space
// before a colon is refused here, as an upstream may pass over it.
func FuzzHead(f *testing.F) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\n\r\n", "a\nb:c\nB: d \n\n", "\r\n\r\n", "a\r\n b: c\r\n\r\n", "a\r\nb: c\r\n\td\r\n  \r\n\r\n",
		"a\r\nb : c\r\n\r\n", "a\r\nb\r\n : c\r\n\r\n", "a\r\nb:\x01\r\n\r\n", "a\r\n: c\r\n\r\n", "a\r\r\n\r\n", "a\r\nb: c\r\r\n\r\n", "a",
		"a\r\nb:c:d\xff\r\n\r\n", "a\r\n" + strings.Repeat("b:c\r\n", 2000) + "\r\n", "a\r\nb:" + strings.Repeat("c", 9000) + "\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(text) >= maxHeadBytes {
			return
		}
		reader := textproto.NewReader(bufio.NewReader(bytes.NewReader(text)))
		startLine, err := reader.ReadLine()
		var fields textproto.MIMEHeader
		if err == nil {
			fields, err = reader.ReadMIMEHeader()
		}
		for name := range fields {
			if strings.Contains(name, " ") {
				err = errMalformedHead
			}
		}
		conn := newHTTPConn(readerConn{Reader: bytes.NewReader(text)}, 2<<10)
		conn.readLimit.N = maxHeadBytes
		h, headErr := conn.readHead()
		if (headErr == nil) != (err == nil) {
			t.Fatalf("got error %v, net/textproto returns %v", headErr, err)
		} else if err != nil {
			return
		}
		want(t, "start line", h.startLine(), startLine)
		if cap(h.text) > maxHeadBytes {
			t.Errorf("got a buffer of %d bytes", cap(h.text))
		}
		count := 0
		for range h.fields() {
			count++
		}
		normalized := func(value string) string { return strings.Trim(value, " \t") }
		if bytes.Contains(text, []byte("\n ")) || bytes.Contains(text, []byte("\n\t")) { // a value on several lines
			normalized = func(value string) string { return strings.Join(strings.Fields(value), " ") }
		}
		for name, values := range fields {
			got := h.values(name)
			want(t, fmt.Sprintf("fields %q", name), len(got), len(values))
			for i := range min(len(got), len(values)) {
				want(t, fmt.Sprintf("field %q", name), normalized(got[i]), normalized(values[i]))
			}
			count -= len(values)
		}
		want(t, "fields beside those of net/textproto", count, 0)
	})
}

// TestHeadFieldsByName guards against wrong answers about the fields of a head.
func TestHeadFieldsByName(t *testing.T) {
	h := headOf("x-first: 1", "X-Second:2", "X-FIRST:  3  ", "X-Empty:", "X-Firstly: 4")
	want(t, "values", strings.Join(h.values("X-First"), ","), "1,3")
	want(t, "first value", h.get("X-First"), "1")
	_, found := h.lookup("X-Empty")
	want(t, "empty field found", found, true)
	_, found = h.lookup("X-Fir")
	want(t, "beginning of a name found", found, false)
	want(t, "repeated", h.repeated([]string{"X-Second", "X-First"}), "X-First")
	h.remove(map[string]bool{"X-First": true})
	want(t, "repeated once removed", h.repeated([]string{"X-Second", "X-First"}), "")
	want(t, "last field", h.get("X-Firstly"), "4")
}

// TestCanonicaliseAsTextproto guards against names of fields in another form than that in which they are looked up.
func TestCanonicaliseAsTextproto(t *testing.T) {
	for _, name := range []string{"x-request-id", "X-REQUEST-ID", "content-Length", "a", "-", "a--b", "x_y-z", "9a-9a", "~a-!b",
		"host", "HOST", "x-é"} {
		got := []byte(name)
		if canonicalise(got); isToken(got) && string(got) != textproto.CanonicalMIMEHeaderKey(name) {
			t.Errorf("%q: got %q, want %q", name, got, textproto.CanonicalMIMEHeaderKey(name))
		}
	}
}

// BenchmarkHeadOfShortFields measures the reading of a head of as many fields as fit.
func BenchmarkHeadOfShortFields(b *testing.B) {
	text := "GET /c HTTP/1.1\r\n" + strings.Repeat("a:\r\n", (maxHeadBytes-20)/4) + "\r\n"
	for b.Loop() {
		h := head{}
		reader := bufio.NewReaderSize(strings.NewReader(text), clientReadBuffer)
		if _, err := h.readLine(reader); err != nil {
			b.Fatal(err)
		}
		h.fieldsAt = len(h.text)
		if err := h.readFields(reader); err != nil {
			b.Fatal(err)
		}
	}
}

// describeRequests describes the open requests that are not at an upstream, and what has ended without a response.
func (l *loop) describeRequests() string {
	text := fmt.Sprintf("%d requests, %d of %d connections; %s", len(l.requests), l.connCount, l.maxConns, l.traffic.line(l.traffic.nextLine))
	for _, r := range l.requests {
		if len(r.attempts) == 0 {
			text += fmt.Sprintf("\nrequest %s: no attempt", r.clientRequestID)
		}
		for _, a := range r.attempts {
			if stage := a.stage.Load(); stage != attemptWritten {
				text += fmt.Sprintf("\nrequest %s: attempt %d at %s in stage %d", r.clientRequestID, a.index, a.address, stage)
			}
		}
	}
	return text
}
