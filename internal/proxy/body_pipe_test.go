package proxy

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// startWaitingUpload starts a balancer without upstreams and sends it an upload that exceeds all buffers of its connection.
func startWaitingUpload(t *testing.T, b *testBalancer) *testClientConn {
	t.Helper()
	const size = 1 << 20
	client := b.dialClient(t)
	client.SetWriteDeadline(time.Now().Add(10 * time.Second))
	go fmt.Fprintf(client, "%s%s", checkinRequest(fmt.Sprintf("X-Request-Id: 1\r\nContent-Length: %d\r\n", size)),
		numberedBytes(size))
	b.waitUntil(t, "the request is open", func() bool {
		return b.checkOnLoop(func(l *loop) bool { return len(l.requests) == 1 })
	})
	return client
}

// blockedLongEnough reports whether the body of a balancer's only request has waited for maxHiddenTime.
func (b *testBalancer) blockedLongEnough() bool {
	return b.checkOnLoop(func(l *loop) bool {
		for _, r := range l.requests {
			waited, blocked := r.message.rest.pipe.blocked()
			return blocked && waited >= maxHiddenTime
		}
		return false
	})
}

// TestCloseBehindLongUploadEndsRequest guards against sending an upload whose client has closed its connection behind more
// bytes than the system holds: it waited for an upstream, nobody read on, and the close was not seen.
func TestCloseBehindLongUploadEndsRequest(t *testing.T) {
	t.Parallel()
	b := startBalancer(t)
	client := startWaitingUpload(t, b)
	b.waitUntil(t, "the body has been read", func() bool {
		return b.checkOnLoop(func(l *loop) bool {
			for _, r := range l.requests {
				return !r.bodyPending
			}
			return false
		})
	})
	client.Close()
	b.waitUntil(t, "the request has ended", func() bool {
		return b.checkOnLoop(func(l *loop) bool { return len(l.openIDs) == 0 })
	})
	want(t, "reserved memory for bodies", b.loop.memory.reserved(), int64(0))
}

// TestHiddenUploadIsRefused guards against sending an upload of which no memory is left to read on, so that its client may
// have closed its connection unseen.
func TestHiddenUploadIsRefused(t *testing.T) {
	t.Parallel()
	upstream := newTestUpstream(t, respondOK)
	b := startBalancer(t)
	b.loop.memory.setLimit(0)
	client := startWaitingUpload(t, b)
	b.waitUntil(t, "the body waits for memory", b.blockedLongEnough)
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: []member{upMember("s-00000001", upstream)}}
	want(t, "status", client.readResponse(t).StatusCode, http.StatusServiceUnavailable)
	want(t, "requests at the upstream", len(upstream.received), 0)
}

// TestBodyPipe guards against parts that are lost, mixed up or kept reserved, while the writer goes on before the reader
// begins and waits for it afterwards.
func TestBodyPipe(t *testing.T) {
	memory := &memoryBudget{}
	memory.setLimit(64 * bodyBufferSize)
	p := newBodyPipe(memory)
	body := numberedBytes(5*bodyBufferSize + 100)
	written := make(chan struct{})
	go func() {
		defer close(written)
		for rest := body; len(rest) > 0; {
			b, err := p.acquire()
			if err != nil {
				t.Error(err)
				return
			}
			n := copy(b.space()[b.length:], rest[:min(len(rest), 1000)])
			b.length += n
			rest = rest[n:]
			p.write(b)
		}
		p.close(io.EOF)
	}()
	p.readAhead()
	<-written
	var got []byte
	for {
		b, err := p.read()
		if err == io.EOF {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		got = append(got, b.data()...)
		memory.freeBuffer(b)
	}
	want(t, "body unchanged", string(got) == string(body), true)
	want(t, "reserved memory", memory.reserved(), int64(0))
	p.cancel(errBodyUnwanted)
	if _, err := p.acquire(); err != errBodyUnwanted {
		t.Errorf("got %v from a cancelled pipe, want errBodyUnwanted", err)
	}
}
