package proxy

import (
	"errors"
	"net"
	"net/http"
	"time"

	"garnettide"
)

// This file makes attempts, each on one connection. http.Transport is not used: it may resend a
// request when a reused connection breaks, it closes the connection of a cancelled request, and it does not
// report whether the last byte was written.

const (
	// responseBufferTime is how long a response of unknown length is buffered, from the end of its head. An
	// attempt whose response is still buffered can be retried if the connection breaks. A short response is
	// complete by then; of a long one the client waits for the first bytes.
	responseBufferTime = 50 * time.Millisecond
	// uploadDoneTimeout is how long a response to a streaming request waits for the write of the request's last
	// byte to return.
	uploadDoneTimeout = 20 * time.Millisecond
	// bodyIdleTimeout is how long a peer may make no progress on a streamed body: far more than a slow connection
	// takes for a piece.
	bodyIdleTimeout = 10 * time.Second
)

// responseStream is a response that is streamed to the client. The frontend reads the body from the upstream's
// connection and sends the result to done.
type responseStream struct {
	upstreamResponse
	conn     *conn
	buffered []byte        // start of the body, already read
	memory   *memoryBudget // of buffered, and of further buffers
	done     chan error
}

// isLong reports whether the response may be longer than what is buffered of a response.
func (r *responseStream) isLong() bool { return r.length < 0 || r.length > maxBufferedBody }

// freeBuffered returns the memory of the start of the body.
func (r *responseStream) freeBuffered() {
	r.memory.free(r.buffered)
	r.buffered = nil
}

// errResponseUnwanted reports that the client no longer waits for a response.
var errResponseUnwanted = errors.New("response is no longer wanted")

// upstreamTransport opens connections to upstreams and makes attempts and probes on them.
type upstreamTransport struct {
	open          func(network, address string, timeout time.Duration) (net.Conn, error)
	timeout       time.Duration        // for connecting, and for a probe once it is connected
	now           func() time.Duration // the loop's clock
	memory        *memoryBudget        // for buffered bodies
	headMemory    *memoryBudget
	onStreamStart func(*attempt, *responseStream, garnettide.Load) // called when a response begins to be streamed
	onUploadStart func(*attempt)                                   // called when the rest of a body begins to be streamed
}

// run makes an attempt. It writes the request at most once.
func (t upstreamTransport) run(a *attempt) attemptResult {
	c, err := t.connect(a.conn, a.address, a.isWanted)
	if err != nil {
		return attemptResult{status: garnettide.ConnectFailed}
	}
	a.conn = c
	responseTimeout, ok := t.claim(a)
	if !ok {
		return attemptResult{status: garnettide.NotSent, conn: c}
	}
	if rest := a.message.rest; rest != nil && rest.length == int64(len(a.message.body)) {
		a.beginLastWrite() // the rest is empty
	}
	// An unresponsive host accepts bytes only until its buffers are full.
	c.SetWriteDeadline(time.Now().Add(responseTimeout))
	head, tail := a.message.bytes(responseTimeout) // the remaining time is known only once the connection is open
	err = c.writeMessage(head, tail)
	sent := int64(len(a.message.body))
	if a.stage.Store(attemptWritten); err != nil {
		c.Close()
		if errors.Is(err, errPartialWrite) || a.uploadDone != nil { // the last byte was not sent
			return attemptResult{status: garnettide.ConnectFailed}
		}
		return attemptResult{status: garnettide.Reset}
	}
	if a.uploadDone == nil {
		a.message = nil // the response may come long after the request has ended
	} else {
		a.uploadConn = &uploadConn{Conn: c}
		a.message.rest.started.Store(true) // receiveResponse may fail before the upload's goroutine runs
		a.message.body = nil
		t.onUploadStart(a)
		go a.upload(a.message.rest, sent, len(tail) > 0)
	}
	result := t.receiveResponse(a)
	if a.uploadDone != nil {
		a.message.rest.cancel()
		if result.status == garnettide.Reset {
			result.status = a.resetUploadStatus()
		}
	}
	return result
}

// claim marks an attempt as being written, and returns the time left for its response. ok is false if it
// must not be written. The conditions are checked here again because opening the connection may have taken
// long.
func (t upstreamTransport) claim(a *attempt) (responseTimeout time.Duration, ok bool) {
	responseTimeout = a.responseTimeout
	if writeDeadline := a.writeDeadline.Load(); a.responseDeadline != 0 || writeDeadline != 0 {
		now := t.now()
		if a.responseDeadline != 0 {
			responseTimeout = a.responseDeadline - now
		}
		if responseTimeout <= 0 || (writeDeadline != 0 && int64(now) >= writeDeadline) {
			a.drop()
		}
	}
	if rest := a.message.rest; rest != nil && !rest.started.Load() && rest.stopIfClosed() {
		a.req.clientGone.Store(true)
	}
	if a.req.clientGone.Load() {
		a.drop()
	}
	return responseTimeout, a.stage.CompareAndSwap(attemptWaiting, attemptClaimed)
}

// receiveResponse reads the response to an attempt or a probe. A successful response that does not fit the
// buffers, or whose end is not known in time, is streamed to the client instead. An attempt
// with a malformed response counts as executed, and its connection is closed.
func (t upstreamTransport) receiveResponse(a *attempt) attemptResult {
	c := a.conn
	resp, err := c.readResponse()
	if err != nil {
		c.Close()
		return attemptResult{status: readErrorStatus(err)}
	}
	if !a.finishUpload() {
		resp.closeAfter = true
	}
	result := attemptResult{status: garnettide.Error, load: parseLoad(resp.loadReports)}
	switch {
	case resp.status == http.StatusOK:
		result.status, result.contentType = garnettide.OK, resp.contentType
	case (resp.status == http.StatusServiceUnavailable || resp.status == http.StatusGatewayTimeout) &&
		resp.notRun: // without the header the request may have been executed
		result.status = garnettide.Rejected
	}
	bufferUntil := time.Now().Add(responseBufferTime)
	body, complete, err := t.memory.collect(resp.body, func() bool {
		return resp.length >= 0 && resp.length <= maxBufferedBody || resp.length < 0 && a.awaitBody(resp.body, bufferUntil)
	})
	switch {
	case err != nil:
		c.Close()
		return attemptResult{status: readErrorStatus(err)}
	case complete:
		result.body = body
	case result.status != garnettide.OK || a.req == nil: // too long for the buffers, and not to be streamed
		t.memory.free(body)
		result.status, resp.closeAfter = garnettide.Error, true
	default:
		stream := &responseStream{upstreamResponse: resp, conn: c, buffered: body, memory: t.memory, done: make(chan error, 1)}
		t.onStreamStart(a, stream, result.load)
		err := <-stream.done
		stream.freeBuffered() // if no part of it has been written
		if errors.Is(err, errResponseUnwanted) {
			c.Close()
			return result // the upstream has not failed
		} else if err != nil {
			c.Close()
			return attemptResult{status: garnettide.Reset}
		}
	}
	// Bytes after the response would be read as the response to the next request.
	if resp.closeAfter || c.reader.Buffered() > 0 {
		c.Close()
	} else {
		result.conn = c
	}
	return result
}

// readErrorStatus returns Error for a response that is malformed or too large, and Reset for one that is missing or
// incomplete.
func readErrorStatus(err error) garnettide.Status {
	for _, malformed := range []error{errMalformedHead, errHeadTooLong, errHeadMemory, errAmbiguousFraming,
		errResponseTooLarge} {
		if errors.Is(err, malformed) {
			return garnettide.Error
		}
	}
	return garnettide.Reset
}
