package proxy

import (
	"io"
	"sync"
	"time"
)

// maxReadAheadShare is the share of the budget of bodies, as a divisor, that one request's body may take while the
// request waits.
const maxReadAheadShare = 4

// bodyPipe passes the streamed part of a request's body from the client's connection to the attempt that sends it on.
// One goroutine writes and one reads. The writer waits until the reader has taken what is written, so that a client is
// taken its body no faster than the upstream takes it. If the request has to wait, readAhead lets the writer go on as far
// as there is memory, since the end of the client's connection shows only behind the bytes before it.
type bodyPipe struct {
	memory *memoryBudget

	mu           sync.Mutex
	changed      sync.Cond     // any of the fields below has changed
	parts        []*bodyBuffer // written and not yet read, oldest first
	maxParts     int           // that may be written and not read
	reading      bool          // read has been called
	end          error         // set by close: no more is written
	unread       error         // set by cancel: no more is read
	blockedSince time.Time     // since when the writer has waited in acquire; zero: it does not wait
}

// newBodyPipe returns a pipe whose buffers are of the given budget.
func newBodyPipe(memory *memoryBudget) *bodyPipe {
	p := &bodyPipe{memory: memory, maxParts: 1}
	p.changed.L = &p.mu
	return p
}

// acquire returns a buffer with room, to be filled and passed to write. It waits until there is memory or all that was
// written has been read, and returns the error passed to cancel if no more is read.
func (p *bodyPipe) acquire() (*bodyBuffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blockedSince = time.Now()
	for p.unread == nil {
		if b := p.takeBuffer(); b != nil {
			p.blockedSince = time.Time{}
			return b, nil
		}
		p.changed.Wait()
	}
	return nil, p.unread // blockedSince stays set: the rest is not needed
}

// takeBuffer returns a buffer with room, or nil if the writer has to wait. The caller holds p.mu.
func (p *bodyPipe) takeBuffer() *bodyBuffer {
	last := len(p.parts) - 1
	switch {
	case last < 0:
		return p.memory.acquireBuffer()
	case p.parts[last].length < len(p.parts[last].space()):
		b := p.parts[last]
		p.parts = p.parts[:last]
		return b
	case len(p.parts) >= p.maxParts:
		return nil
	}
	return p.memory.reserveBuffer()
}

// write passes on a buffer that acquire has returned. It frees the buffer if no more is read.
func (p *bodyPipe) write(b *bodyBuffer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unread != nil || b.length == 0 {
		p.memory.freeBuffer(b)
		return
	}
	p.parts = append(p.parts, b)
	p.changed.Broadcast()
}

// close ends the body. After io.EOF it is complete; any other error is the reader's next result.
func (p *bodyPipe) close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = err
	p.changed.Broadcast()
}

// readAhead lets the writer go on until the reader begins. A writer that waits for memory looks again.
func (p *bodyPipe) readAhead() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reading && p.memory != nil {
		p.maxParts = int(p.memory.limit.Load() / maxReadAheadShare / bodyBufferSize)
	}
	if !p.blockedSince.IsZero() {
		p.changed.Broadcast()
	}
}

// blocked returns how long the writer has waited for memory or for the reader, and whether it does.
func (p *bodyPipe) blocked() (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blockedSince.IsZero() {
		return 0, false
	}
	return time.Since(p.blockedSince), true
}

// read returns the next part of the body, for which the caller frees the buffer, or the end of the body. It waits until
// there is either.
func (p *bodyPipe) read() (*bodyBuffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reading {
		p.reading = true
		p.maxParts = max(1, len(p.parts))
	}
	for {
		switch {
		case p.unread != nil:
			return nil, p.unread
		case p.end != nil && p.end != io.EOF:
			p.dropParts()
			return nil, p.end
		case len(p.parts) > 0:
			b := p.parts[0]
			p.parts = p.parts[1:]
			p.changed.Broadcast()
			return b, nil
		case p.end != nil:
			return nil, p.end
		}
		p.changed.Wait()
	}
}

// cancel ends the pipe for both sides with an error, because no more of the body is needed. It has no effect after an
// earlier call.
func (p *bodyPipe) cancel(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unread == nil {
		p.unread = err
	}
	p.dropParts()
	p.changed.Broadcast()
}

// dropParts frees what has been written and not read. The caller holds p.mu.
func (p *bodyPipe) dropParts() {
	for _, b := range p.parts {
		p.memory.freeBuffer(b)
	}
	p.parts = nil
}
