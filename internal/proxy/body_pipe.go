package proxy

import (
	"io"
	"sync"
)

// bodyPipe passes the streamed part of a request's body from the client's connection to the attempt that sends it on.
// One goroutine writes and one reads.
type bodyPipe struct {
	memory *memoryBudget

	mu      sync.Mutex
	changed sync.Cond   // any of the fields below has changed
	full    *bodyBuffer // written and not yet read; nil: none
	end     error       // set by close: no more is written
	unread  error       // set by cancel: no more is read
	waiting bool        // the writer waits until the reader has taken what is written
}

// newBodyPipe returns a pipe whose buffers are of the given budget.
func newBodyPipe(memory *memoryBudget) *bodyPipe {
	p := &bodyPipe{memory: memory}
	p.changed.L = &p.mu
	return p
}

// acquire returns a buffer to be filled and passed to write. It waits until what was written before has been read, and
// returns the error passed to cancel if no more is read.
func (p *bodyPipe) acquire() (*bodyBuffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting = true
	for p.full != nil && p.unread == nil {
		p.changed.Wait()
	}
	if p.unread != nil { // waiting stays set: the rest is not needed
		return nil, p.unread
	}
	p.waiting = false
	return p.memory.acquireBuffer(), nil
}

// write passes a buffer on. It frees the buffer and returns the error passed to cancel if no more is read.
func (p *bodyPipe) write(b *bodyBuffer) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.unread != nil || b.length == 0 {
		p.memory.freeBuffer(b)
		return p.unread
	}
	p.full = b
	p.changed.Broadcast()
	return nil
}

// close ends the body. After io.EOF it is complete; any other error is the reader's next result.
func (p *bodyPipe) close(err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.end = err
	p.changed.Broadcast()
}

// blocked reports whether the writer waits for the reader.
func (p *bodyPipe) blocked() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.waiting
}

// read returns the next part of the body, for which the caller frees the buffer, or the end of the body. It waits until
// there is either.
func (p *bodyPipe) read() (*bodyBuffer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.unread != nil:
			return nil, p.unread
		case p.end != nil && p.end != io.EOF:
			p.dropFull()
			return nil, p.end
		case p.full != nil:
			b := p.full
			p.full = nil
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
	p.dropFull()
	p.changed.Broadcast()
}

// dropFull frees what has been written and not read. The caller holds p.mu.
func (p *bodyPipe) dropFull() {
	if p.full != nil {
		p.memory.freeBuffer(p.full)
		p.full = nil
	}
}
