package proxy

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// This file tests the refusal of requests that cannot be read in one way only.

// TestInvalidRequestsAreNotForwarded guards against forwarding requests that do not fit their class or exceed the size
// limit.
func TestInvalidRequestsAreNotForwarded(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	oversizedBody := strings.Repeat("x", maxBodyBytes+1)
	chunkedGet := b.newRequest("read", "")
	chunkedGet.Body, chunkedGet.ContentLength = io.NopCloser(strings.NewReader("x")), -1
	wrongMethod := b.newRequest("checkin", "")
	wrongMethod.Method = http.MethodGet
	noID := b.newRequest("checkin", "")
	noID.Header.Del("X-Request-Id")
	noKey := b.newRequest("pay", "")
	noKey.Header.Del("Idempotency-Key")
	for _, tt := range []struct {
		name    string
		request *http.Request
		status  int
	}{
		{"unknown class", b.newRequest("checkin", "", "X-Class", "nope"), 400},
		{"path of another class", b.newRequest("checkin", "", "X-Class", "read"), 400},
		{"no id", noID, 400},
		{"method of another class", wrongMethod, 400},
		{"key on a non-idempotent class", b.newRequest("checkin", "", "Idempotency-Key", "1"), 400},
		{"missing key", noKey, 400},
		{"GET with a chunked body", chunkedGet, 400},
	} {
		status, _ := b.do(t, tt.request)
		want(t, tt.name, status, tt.status)
	}
	oversizedRequest := checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", len(oversizedBody))) +
		oversizedBody
	if got := sendRaw(t, b.url, oversizedRequest); !strings.HasPrefix(got, "HTTP/1.1 413 ") {
		t.Errorf("body too large: got %q, want 413", got)
	}
	want(t, "requests at the upstream", len(upstream.received), 0)
}

// malformedRequest is a text that is not a valid request, and the status of the response to it. An empty status
// means that the connection is closed without a response.
type malformedRequest struct{ name, text, status string }

// malformedRequests returns the cases of TestMalformedRequestsAreRefused and TestMalformedRequestsAreRefusedInTime.
func malformedRequests() []malformedRequest {
	const id = "X-Request-Id: 1\r\n"
	return []malformedRequest{
		{"binary data", "\x00\x01\x02\r\n\r\n", "505"},
		{"Content-Length and Transfer-Encoding",
			checkinRequest(id + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"two Transfer-Encoding fields",
			checkinRequest(id + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"), "400"},
		{"chunked twice", checkinRequest(id + "Transfer-Encoding: chunked, chunked\r\n"), "400"},
		{"unknown Transfer-Encoding", checkinRequest(id + "Transfer-Encoding: gzip\r\n"), "501"},
		{"unknown Expect", checkinRequest(id + "Content-Length: 2\r\nExpect: more\r\n"), "417"},
		{"malformed chunk size", checkinRequest(id+"Transfer-Encoding: chunked\r\n") + "zz\r\n", "400"},
		{"incomplete chunk", checkinRequest(id+"Transfer-Encoding: chunked\r\n") + "5\r\nab", "408"},
		{"chunks in HTTP/1.0",
			strings.Replace(checkinRequest(id+"Transfer-Encoding: chunked\r\n"), "1.1", "1.0", 1), "505"},
		{"space before the colon", checkinRequest(id + "Transfer-Encoding : chunked\r\n"), "400"},
		{"header field without a colon", checkinRequest(id + "what\r\n"), "400"},
		{"no Content-Length", checkinRequest(id), "411"},
		{"negative Content-Length", checkinRequest(id + "Content-Length: -5\r\n"), "400"},
		{"signed Content-Length", checkinRequest(id+"Content-Length: +2\r\n") + "ab", "400"},
		{"Content-Length out of range", checkinRequest(id + "Content-Length: 99999999999999999999\r\n"), "413"},
		{"two Content-Length fields", checkinRequest(id + "Content-Length: 2\r\nContent-Length: 2\r\n"), "400"},
		{"body longer than Content-Length", checkinRequest(id+"Content-Length: 2\r\n") + "abc", "400"},
		{"pipelined requests", strings.Repeat(checkinRequest(id+"Content-Length: 0\r\n"), 2), "400"},
		{"unknown class",
			strings.Replace(checkinRequest(id+"Content-Length: 0\r\n"), "X-Class: checkin", "X-Class: x", 1), "400"},
		{"two X-Class fields", checkinRequest(id + "X-Class: checkin\r\nContent-Length: 0\r\n"), "400"},
		{"no X-Request-Id", checkinRequest("Content-Length: 0\r\n"), "400"},
		{"two X-Request-Id fields", checkinRequest(id + id + "Content-Length: 0\r\n"), "400"},
		{"deadline is not a number", checkinRequest(id + "X-Deadline-Ms: soon\r\nContent-Length: 0\r\n"), "400"},
		{"empty deadline", checkinRequest(id + "X-Deadline-Ms:\r\nContent-Length: 0\r\n"), "400"},
		{"zero deadline", checkinRequest(id + "X-Deadline-Ms: 0\r\nContent-Length: 0\r\n"), "400"},
		{"negative deadline", checkinRequest(id + "X-Deadline-Ms: -5\r\nContent-Length: 0\r\n"), "400"},
		{"two X-Deadline-Ms fields",
			checkinRequest(id + "X-Deadline-Ms: 50\r\nX-Deadline-Ms: 60\r\nContent-Length: 0\r\n"), "400"},
		{"head too long", checkinRequest(id + strings.Repeat("X-Pad: pppp\r\n", maxHeadBytes)), "431"},
		{"incomplete head", "POST /checkin HT", "408"},
		{"incomplete body", checkinRequest(id+"Content-Length: 5\r\n") + "ab", "408"},
		{"no bytes", "", ""},
	}
}

// checkResponse checks what a client received after sending the malformed request.
func (m malformedRequest) checkResponse(t *testing.T, got string) {
	t.Helper()
	if want := "HTTP/1.1 " + m.status; (m.status == "") != (got == "") ||
		(m.status != "" && !strings.HasPrefix(got, want)) {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestMalformedRequestsAreRefused guards against forwarding requests that are malformed or have ambiguous framing.
func TestMalformedRequestsAreRefused(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	for _, m := range malformedRequests() {
		t.Run(m.name, func(t *testing.T) {
			t.Parallel()
			m.checkResponse(t, sendRaw(t, b.url, m.text))
		})
	}
	t.Cleanup(func() { want(t, "requests at the upstream", len(upstream.received), 0) })
}

// TestMalformedRequestsAreRefusedInTime guards against a client that waits over 3 s for a response or a close. The fake
// clock makes the time independent of the machine's load.
func TestMalformedRequestsAreRefusedInTime(t *testing.T) {
	for _, m := range malformedRequests() {
		t.Run(m.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				b.sendList(50, b.addUpstream(respondOK).member("s-00000001"))
				synctest.Wait()
				conn, start := b.connectClient(), time.Now()
				go io.WriteString(conn, m.text)
				got, _ := io.ReadAll(conn)
				m.checkResponse(t, string(got))
				if took := time.Since(start); took > 3*time.Second {
					t.Errorf("got a response or a close after %v, want at most 3s", took)
				}
				conn.Close()
				want(t, "requests started at the upstream", b.requestsStarted(), 0)
				b.expireAndStop()
			})
		})
	}
}

// TestDeadlineAboveClassLimitIsAccepted guards against refusing a request whose deadline is longer than its class's.
func TestDeadlineAboveClassLimitIsAccepted(t *testing.T) {
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t, upMember("s-00000001", upstream))
	status, _ := b.do(t, b.newRequest("checkin", "", "X-Deadline-Ms", "99999999999"))
	want(t, "status", status, 200)
}
