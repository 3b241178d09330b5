package garnettide

import (
	"testing"
	"time"
)

// limitedBalancer returns a Balancer with many upstreams and a limit of 8 connections, of which transfers may hold 6.
func limitedBalancer(t *testing.T) (*Balancer, *recorder) {
	t.Helper()
	b, h := start(t, settings(), fleet(20))
	b.SetConnLimit(time.Hour, 8)
	return b, h
}

// TestUploadsLeaveConnectionsToOthers guards against uploads that hold all connections, so that other requests are
// refused for as long as they last.
func TestUploadsLeaveConnectionsToOthers(t *testing.T) {
	b, h := limitedBalancer(t)
	for id := RequestID(1); id <= 7; id++ {
		b.Request(time.Hour, Request{ID: id, Class: "keyed", Budget: time.Second, Streaming: true})
	}
	if h.count("send") != 6 || h.count("refuse id=7 ") != 1 {
		t.Errorf("uploads: got actions %v, want 6 sent and the last refused at once", h.lines)
	}
	b.Request(time.Hour, Request{ID: 8, Class: "read", Budget: time.Second})
	if h.count("send id=8 ") != 1 {
		t.Errorf("another request: got actions %v, want it sent", h.lines)
	}
	b.Outcome(time.Hour, Outcome{ID: 1, Upstream: b.requests[1].attempts[0].up.ID, Status: OK, RequestDone: true})
	b.Request(time.Hour, Request{ID: 9, Class: "keyed", Budget: time.Second, Streaming: true})
	if h.count("send id=9 ") != 1 {
		t.Errorf("after the end of an upload: got actions %v, want the next one sent", h.lines)
	}
}

// startResponse sends a request and reports that its response begins.
func startResponse(b *Balancer, id RequestID, class string, long bool) (admitted bool) {
	b.Request(time.Hour, Request{ID: id, Class: class, Budget: time.Second})
	return b.ResponseStarted(time.Hour, Outcome{ID: id, Upstream: b.requests[id].attempts[0].up.ID, Latency: 40 * ms, Status: OK,
		RequestDone: true}, long)
}

// TestLongResponsesLeaveConnectionsToOthers guards against long responses that hold all connections. One too many may only
// be refused if its request may be repeated.
func TestLongResponsesLeaveConnectionsToOthers(t *testing.T) {
	b, h := limitedBalancer(t)
	for id := RequestID(1); id <= 6; id++ {
		if !startResponse(b, id, "read", true) {
			t.Fatalf("long response %d: got it refused, want it admitted", id)
		}
	}
	if startResponse(b, 7, "read", true) || h.count("refuse id=7 ") != 1 {
		t.Errorf("a long response too many: got actions %v, want a refusal", h.lines)
	}
	if startResponse(b, 8, "write", true) || h.count("fail id=8 ") != 1 || h.count("refuse id=8 ") != 0 {
		t.Errorf("a long response too many to a request that may not be repeated: got actions %v, want it failed", h.lines)
	}
	for _, id := range []RequestID{7, 8} {
		b.Outcome(time.Hour, Outcome{ID: id, Upstream: b.requests[id].attempts[0].up.ID, Status: Reset, RequestDone: true})
	}
	if !startResponse(b, 9, "read", false) {
		t.Error("a short response: got it refused, want it admitted")
	}
	b.Outcome(time.Hour, Outcome{ID: 1, Upstream: b.requests[1].attempts[0].up.ID, Status: OK, RequestDone: true})
	if !startResponse(b, 10, "read", true) {
		t.Error("after the end of a long response: got the next one refused, want it admitted")
	}
	if b.conns.transfers != 6 || b.conns.inFlight != 7 {
		t.Errorf("got %+v, want 6 transfers and one other connection", b.conns)
	}
}

// TestRequestsWaitForConnection guards against attempts that are used up, one after another, while no connection is free.
func TestRequestsWaitForConnection(t *testing.T) {
	b, h := limitedBalancer(t)
	for id := RequestID(1); id <= 9; id++ {
		b.Request(time.Hour, Request{ID: id, Class: "read", Budget: time.Second})
	}
	if h.count("send") != 8 || h.count("refuse") != 0 || len(b.queued) != 1 {
		t.Fatalf("got actions %v, want 8 sent and one that waits", h.lines)
	}
	b.Outcome(time.Hour+10*ms, Outcome{ID: 1, Upstream: b.requests[1].attempts[0].up.ID, Latency: 10 * ms, Status: OK, RequestDone: true})
	if h.count("send id=9 ") != 1 {
		t.Errorf("got actions %v, want the last request sent once a connection is free", h.lines)
	}
}
