package proxy

import (
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"garnettide"
	"garnettide/internal/wire"
)

// This file makes attempts and probes, each on one connection. http.Transport is not used: it may resend a
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

// maxUtil is the largest CPU utilisation accepted in a load report. All cores busy is 1, and the measure is
// noisy.
const maxUtil = 2

// conn is a connection to an upstream. It is owned by one attempt or probe or, while idle, by the loop.
type conn struct {
	*httpConn
	idleAt time.Duration // by the loop's clock
}

// errIdleConnClosed reports that the peer closed an idle connection or sent unexpected bytes on it.
var errIdleConnClosed = errors.New("idle connection was closed")

// checkIdle reports, without blocking, whether an idle connection can still be used.
func (c *conn) checkIdle() error {
	if checkNoInput(c.Conn) != nil || c.reader.Buffered() > 0 {
		return errIdleConnClosed
	}
	return nil
}

// errUnexpectedBytes reports that bytes arrived on a connection on which none are expected.
var errUnexpectedBytes = errors.New("unexpected bytes on the connection")

// checkNoInput checks, without blocking, a connection that nobody reads. It returns nil if nothing has
// arrived, errUnexpectedBytes after consuming one byte, io.EOF if the peer closed the connection, or the
// read error.
func checkNoInput(c net.Conn) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var readErr error
	var b [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		readErr = retryInterrupted(func() (err error) {
			n, err = syscall.Read(int(fd), b[:])
			return err
		})
		return true
	}); err != nil {
		return err
	}
	switch {
	case n > 0:
		return errUnexpectedBytes
	case errors.Is(readErr, syscall.EAGAIN):
		return nil
	case readErr != nil:
		return readErr
	}
	return io.EOF
}

// The stages of an attempt. The loop may drop a waiting attempt. A claimed one counts as sent.
const (
	attemptWaiting int32 = iota
	attemptDropped
	attemptClaimed
	attemptWritten
)

// attempt is one send of a request to an upstream.
type attempt struct {
	req                *request
	index              int // index among the request's attempts, from 0
	upstream           *upstream
	sentAt             time.Duration // time of Send or, if it arrives later, of the request's last byte
	address            string
	message            *message      // a copy; nil once it is written, unless the request is streaming
	responseTimeout    time.Duration // from Send, or from the request's last byte if that was pending
	responseDeadline   time.Duration // 0: the request's last byte was pending at Send
	writeDeadline      atomic.Int64  // loop's clock; latest time for writing, if other attempts may run; 0: none
	stage              atomic.Int32
	readDeadline       atomicTime    // end of reading; none: not set by the loop
	uploadDone         chan struct{} // closed when the upload has ended; nil: the request is not streaming
	uploadConn         *uploadConn   // the connection, as the upload writes to it
	uploadStage        atomic.Int32
	uploadComplete     atomic.Bool // the whole body was written
	uploadAborted      atomic.Bool // the upload failed because of the client
	conn               *conn       // the loop reads it only after the attempt is claimed
	reported           bool        // loop only: the Balancer has the outcome
	awaitsLateResponse bool        // loop only: kept open for a late response
	aborted            bool        // loop only: abort was called
	streamStarted      bool        // loop only: the response is being streamed to the client
	neverRan           bool        // loop only: the request was not executed
}

// writeBefore lowers the deadline for writing the request. Only the loop calls it.
func (a *attempt) writeBefore(at time.Duration) {
	if writeDeadline := a.writeDeadline.Load(); writeDeadline == 0 || int64(at) < writeDeadline {
		a.writeDeadline.Store(int64(at))
	}
}

// setReadDeadline ends the reading of the response at a time.
func (a *attempt) setReadDeadline(readDeadline time.Time) {
	a.readDeadline.store(readDeadline)
	a.conn.SetReadDeadline(readDeadline)
}

// abort ends a claimed attempt at once from the upstream's point of view. The reading goroutine closes the
// connection, which may happen after another attempt has been written.
func (a *attempt) abort() {
	if halfCloser, ok := a.conn.Conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite() // fails only if the connection is already broken
	}
	a.setReadDeadline(longAgo)
}

// awaitBody waits until a part of the response's body has arrived, or its end. It reports false if nothing has by the
// given time.
func (a *attempt) awaitBody(body bodyReader, until time.Time) bool {
	a.conn.SetReadDeadline(until)
	err := body.await()
	a.conn.SetReadDeadline(time.Time{})
	if at, isSet := a.readDeadline.load(); isSet { // by the loop in the meantime
		a.conn.SetReadDeadline(at)
	}
	return !isDeadlineError(err)
}

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

// drop prevents a waiting attempt from being written, and reports whether it did.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(attemptWaiting, attemptDropped) }

// isWanted reports whether a waiting attempt may still be written.
func (a *attempt) isWanted() bool {
	return a.stage.Load() == attemptWaiting && !a.req.clientGone.Load()
}

// attemptResult is the result of an attempt or a probe. conn is its connection if it can be reused, or nil.
type attemptResult struct {
	status      garnettide.Status
	load        garnettide.Load
	body        []byte // memory of the budget
	contentType string
	conn        *conn
}

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

// connect returns the idle connection if it can still be used, or a new one. wanted reports whether it is still needed.
func (t upstreamTransport) connect(idle *conn, address string, wanted func() bool) (*conn, error) {
	if idle != nil {
		if idle.checkIdle() == nil {
			return idle, nil
		}
		idle.Close() // nothing was written on it, so a new connection serves as well
	}
	c, err := t.dial(address, wanted)
	if err != nil {
		return nil, err
	}
	h := newHTTPConn(c, 2<<10)
	h.headMemory = t.headMemory
	return &conn{httpConn: h}, nil
}

// dial opens a connection. While it is wanted and the time for it is not over, it tries again after failures that are not
// the upstream's.
func (t upstreamTransport) dial(address string, wanted func() bool) (net.Conn, error) {
	for start := time.Now(); ; time.Sleep(dialRetryInterval) {
		remaining := t.timeout - time.Since(start)
		c, err := t.open("tcp", address, remaining)
		if err == nil || remaining <= dialRetryInterval || !isLocalDialError(err) || !wanted() {
			return c, err
		}
	}
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

// errPartialWrite reports that the peer cannot have received the last byte of a message.
var errPartialWrite = errors.New("message was not fully written")

// writeMessage writes a message. tail may be empty.
func (c *conn) writeMessage(head, tail []byte) error {
	for i, part := range [][]byte{head, tail} {
		if len(part) == 0 {
			continue
		}
		if n, err := c.Write(part); err != nil && (n < len(part) || (i == 0 && len(tail) > 0)) {
			return fmt.Errorf("%w: %w", errPartialWrite, err)
		} else if err != nil {
			return err
		}
	}
	return nil
}

// writeFully writes all of b. It fails with a timeout once the peer accepts nothing for bodyIdleTimeout.
func writeFully(c net.Conn, b []byte) error {
	for {
		c.SetWriteDeadline(time.Now().Add(bodyIdleTimeout))
		n, err := c.Write(b)
		if b = b[n:]; err == nil || n == 0 || !isDeadlineError(err) {
			return err
		}
	}
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

// parseLoad parses a load report of comma-separated name=value pairs. It returns a zero Load unless there
// is exactly one report and every pair is valid: a report that is read in part must not change shares.
func parseLoad(reports []string) garnettide.Load {
	var load garnettide.Load
	if len(reports) != 1 {
		return load
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(reports[0], ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || name == "" || seen[name] || !(value >= 0 && value <= math.MaxInt32) {
			return garnettide.Load{}
		}
		seen[name] = true
		wire.SetLoadValue(&load, name, value)
	}
	if load.Util > maxUtil {
		return garnettide.Load{}
	}
	return load
}

// probe requests an upstream's load report, or its health if load is not set.
func (t upstreamTransport) probe(p *probe) (r attemptResult) {
	c, err := t.connect(p.conn, p.address, func() bool { return true })
	if err != nil {
		return attemptResult{status: garnettide.ConnectFailed}
	}
	path := "/healthz"
	if p.load {
		path = "/load"
	}
	c.SetDeadline(time.Now().Add(t.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.address+"\r\n\r\n"); err != nil {
		c.Close()
		return attemptResult{status: garnettide.ConnectFailed}
	}
	r = t.receiveResponse(&attempt{conn: c})
	defer t.memory.free(r.body)
	if p.load && r.status == garnettide.OK {
		if l := parseLoad([]string{strings.TrimSpace(string(r.body))}); l.Fields != 0 {
			r.load = l
		}
	}
	return r
}

// probe is a load or health probe of an upstream.
type probe struct {
	upstream *upstream
	sentAt   time.Duration
	address  string
	load     bool // request the load report; false: the health
	conn     *conn
}
