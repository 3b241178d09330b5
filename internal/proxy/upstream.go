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

// This file carries out one attempt on one connection. http.Transport is not used
// for it: it may write a request again by itself when a kept connection breaks,
// closes the connection of an attempt that is given up, and does not tell whether
// the last byte was written.

const (
	// holdFor is how long an answer of unknown length is held from its head on: a small one is whole by then, and its
	// attempt can be made again if it breaks, while the first bytes of a large one are what its client waits for.
	responseBufferTime = 50 * time.Millisecond
	// sentWait is how long an answer to an open request waits for the write of the request's last byte to return.
	uploadDoneTimeout = 20 * time.Millisecond
	// bodyIdleTimeout is how long a peer may take nothing, or give nothing, of a body that passes on. It is far over what a
	// slow line takes for a piece.
	bodyIdleTimeout = 10 * time.Second
)

// maxUtil bounds the use that a load report can mean: all cores busy is 1, give or take its noise.
const maxUtil = 2

// conn is a connection to an upstream. It belongs to one attempt or, idle, to the
// loop; nobody else touches it.
type conn struct {
	*stream
	idleAt time.Duration // on the loop's clock
}

// errStale says that a kept connection was closed by the other side while idle.
var errIdleConnClosed = errors.New("closed while idle")

// fresh looks, without waiting, whether an idle connection still stands.
func (c *conn) checkIdle() error {
	if checkNoInput(c.Conn) != nil || c.in.Buffered() > 0 {
		return errIdleConnClosed // closed, or bytes that nobody asked for
	}
	return nil
}

// errUnasked says that bytes have come that nobody asked for.
var errUnexpectedBytes = errors.New("bytes that nobody asked for")

// quiet looks, without waiting, what has come on a connection that nobody reads: nothing, which is no error, its end, or
// bytes, of which it takes the first.
func checkNoInput(c net.Conn) error {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return err
	}
	var n int
	var readErr error
	var b [1]byte
	if err := raw.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), b[:])
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

// The stages of an attempt. The loop may drop one that waits for its connection;
// what has been claimed for writing counts as sent.
const (
	attemptWaiting int32 = iota
	attemptDropped
	attemptClaimed
	attemptWritten
)

// attempt is one send of a request to an upstream.
type attempt struct {
	req                *request
	index              int // order of the request's sends, from 0
	upstream           *upstream
	sentAt             time.Duration
	address            string
	message            *message
	responseTimeout    time.Duration // for its answer, from its Send on, or from its last byte if that still comes
	responseDeadline   time.Duration // when that is over; 0: its last byte still comes
	writeDeadline      atomic.Int64  // it is written before then or not at all, beside other attempts; 0: no such bound
	stage              atomic.Int32
	readDeadline       atomic.Int64  // reading ends then, Unix ns; 0: the loop has set no limit
	uploadDone         chan struct{} // closed when the rest of an open request has been written, or will not be
	uploadComplete     atomic.Bool   // and it was written whole
	uploadAborted      atomic.Bool   // it was not, and that was the client's doing
	conn               *conn         // read by the loop only once the attempt is claimed
	reported           bool          // the loop: the module has had its outcome
	awaitsLateResponse bool          // the loop: it is left to its connection for the late answer
	aborted            bool          // the loop: its connection has been ended
	streamStarted      bool          // the loop: its answer passes on
	neverRan           bool          // the loop: it is known never to have run
}

// before bounds the time at which a may be written. Only the loop sets it.
func (a *attempt) writeBefore(at time.Duration) {
	if writeDeadline := a.writeDeadline.Load(); writeDeadline == 0 || int64(at) < writeDeadline {
		a.writeDeadline.Store(int64(at))
	}
}

// limit ends the reading of the answer at a time.
func (a *attempt) setReadDeadline(readDeadline time.Time) {
	a.readDeadline.Store(readDeadline.UnixNano())
	a.conn.SetReadDeadline(readDeadline)
}

// giveUp ends an attempt that has been claimed, for the upstream at once: its connection is closed by who reads it, and
// that may be later than another attempt is written.
func (a *attempt) abort() {
	if half, ok := a.conn.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite() // if it fails there is no connection any more
	}
	a.setReadDeadline(time.Unix(0, 1))
}

// awaits waits for bytes of the answer until a time; false: none came by then.
func (a *attempt) waitReadable(readDeadline time.Time) bool {
	if a.conn.in.Buffered() > 0 {
		return true
	}
	a.conn.SetReadDeadline(readDeadline)
	_, err := a.conn.in.Peek(1)
	a.conn.SetReadDeadline(time.Time{})
	if at := a.readDeadline.Load(); at != 0 { // the loop has set a limit meanwhile
		a.conn.SetReadDeadline(time.Unix(0, at))
	}
	timeout := net.Error(nil)
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// relay is an answer that passes on as it comes. The client's side reads it off the upstream's connection and then says
// how that ended.
type relay struct {
	reply
	conn     *conn
	buffered []byte // its first bytes
	done     chan error
}

// errUnwanted says that nobody waits for an answer any more.
var errResponseUnwanted = errors.New("nobody waits for the answer")

// drop keeps an attempt that has not begun to be written from being sent.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(attemptWaiting, attemptDropped) }

// result is how an attempt ended, with its connection if that can serve again.
type attemptResult struct {
	status      garnettide.Status
	load        garnettide.Load
	body        []byte
	contentType string // the body's Content-Type
	conn        *conn
}

// dialer opens connections to upstreams and makes attempts on them.
type upstreamTransport struct {
	open          func(network, address string, timeout time.Duration) (net.Conn, error)
	timeout       time.Duration
	now           func() time.Duration // the loop's clock
	memory        *holder
	onStreamStart func(*attempt, *relay, garnettide.Load) // tells of an answer that passes on
}

// connect returns the idle connection if it still stands, or a new one.
func (t upstreamTransport) connect(idle *conn, address string) (*conn, error) {
	if idle != nil {
		if idle.checkIdle() == nil {
			return idle, nil
		}
		idle.Close() // nothing was written on it: another connection serves as well
	}
	c, err := t.open("tcp", address, t.timeout)
	if err != nil {
		return nil, err
	}
	return &conn{stream: newStream(c, 2<<10)}, nil
}

// run makes the attempt: at most one write on the wire, whatever happens.
func (t upstreamTransport) run(a *attempt) attemptResult {
	c, err := t.connect(a.conn, a.address)
	if err != nil {
		return attemptResult{status: garnettide.ConnectFailed}
	}
	a.conn = c
	responseTimeout, ok := t.claim(a)
	if !ok {
		return attemptResult{status: garnettide.NotSent, conn: c}
	}
	// A machine that has gone silent takes bytes until its buffers are full, and then none for ever.
	c.SetWriteDeadline(time.Now().Add(responseTimeout))
	head, tail := a.message.bytes(responseTimeout) // only now is it known how long the balancer will wait
	err = c.writeMessage(head, tail)
	if a.stage.Store(attemptWritten); err != nil {
		c.Close()
		if errors.Is(err, errPartialWrite) || a.uploadDone != nil { // certain: the last byte never left this process
			return attemptResult{status: garnettide.ConnectFailed}
		}
		return attemptResult{status: garnettide.Reset}
	}
	if a.uploadDone != nil {
		go a.upload(a.message.rest, len(tail) > 0)
	}
	result := t.readResponse(a)
	if a.uploadDone != nil {
		if a.message.rest.end(); !a.uploadComplete.Load() && result.status == garnettide.Reset {
			result.status = garnettide.ConnectFailed // its last byte never left this process
			if a.uploadAborted.Load() {
				result.status = garnettide.NotSent // which says nothing of the upstream
			}
		}
	}
	return result
}

// claim takes an attempt for writing. Its connection may have come up late: what held as it was sent has to hold now. It
// tells how long the answer is waited for; false: nothing is written.
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
	if rest := a.message.rest; rest != nil && rest.abandoned() {
		a.req.clientGone.Store(true)
	}
	if a.req.clientGone.Load() {
		a.drop()
	}
	return responseTimeout, a.stage.CompareAndSwap(attemptWaiting, attemptClaimed) // else dropped: here, or its request ended or its upstream left
}

// errPart says that the other side can't have had a message's last byte.
var errPartialWrite = errors.New("a part of the message was written")

// send writes a message, of which the tail may be empty.
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

// upload passes the rest of an open request on. Where that breaks off so does the connection: what was written is no
// request then, and the upstream must not take it for one.
func (a *attempt) upload(u *upload, afterChunk bool) {
	defer close(a.uploadDone)
	u.taken.Store(true)
	p := pieces.Get().(*piece)
	defer pieces.Put(p)
	inChunks := u.length < 0
	if inChunks && afterChunk {
		io.WriteString(a.conn, "\r\n") // behind what was held; an error shows in the next write
	}
	for {
		n, err := u.in.Read(p.space())
		if n > 0 && writeFully(a.conn, p.framed(n, inChunks)) != nil {
			break // an answer may have come before the upstream closed: the reading shows
		}
		if err == io.EOF {
			if inChunks && writeFully(a.conn, []byte(lastChunk)) != nil {
				break
			}
			a.uploadComplete.Store(true)
			return
		} else if err != nil {
			if !errors.Is(err, io.ErrClosedPipe) { // not because the answer has come
				a.uploadAborted.Store(true)
				a.conn.Close()
			}
			break
		}
	}
	u.end()
}

// push writes all of b, for as long as the other side takes some of it now and then.
func writeFully(c net.Conn, b []byte) error {
	for {
		c.SetWriteDeadline(time.Now().Add(bodyIdleTimeout))
		n, err := c.Write(b)
		timeout := net.Error(nil)
		if b = b[n:]; err == nil || n == 0 || !errors.As(err, &timeout) || !timeout.Timeout() {
			return err
		}
	}
}

// uploaded tells whether all of the request has been written, once its answer begins. If not the answer is an early
// one, and the rest is not wanted.
func (a *attempt) uploadFinished() bool {
	if a.uploadDone == nil {
		return true
	}
	select {
	case <-a.uploadDone:
	case <-time.After(uploadDoneTimeout): // the last write may just be returning
		a.message.rest.end()
		a.conn.SetWriteDeadline(time.Unix(0, 1))
		<-a.uploadDone
	}
	return a.uploadComplete.Load()
}

// take reads an attempt's answer. One that is spoilt has run, and its connection is of no further use. One that does not
// fit where answers are held passes on from here.
func (t upstreamTransport) readResponse(a *attempt) attemptResult {
	c := a.conn
	resp, err := c.reply()
	if err != nil {
		c.Close()
		return attemptResult{status: readErrorStatus(err)}
	}
	if !a.uploadFinished() {
		resp.ends = true
	}
	result := attemptResult{status: garnettide.Error, load: parseLoad(resp.header["X-Load"])}
	switch {
	case resp.status == http.StatusOK:
		result.status, result.contentType = garnettide.OK, resp.header.Get("Content-Type")
	case (resp.status == http.StatusServiceUnavailable || resp.status == http.StatusGatewayTimeout) &&
		resp.header.Get("X-Not-Run") == "1": // without that mark it may have run
		result.status = garnettide.Rejected
	}
	bufferUntil := time.Now().Add(responseBufferTime)
	body, complete, err := t.memory.gather(resp.body, func() bool {
		return resp.length >= 0 && resp.length <= maxBody || resp.length < 0 && a.waitReadable(bufferUntil)
	})
	switch {
	case err != nil:
		c.Close()
		return attemptResult{status: readErrorStatus(err)}
	case complete:
		t.memory.give(body)
		result.body = body
	case result.status != garnettide.OK || a.req == nil: // too long to be read to its end for nobody
		t.memory.give(body)
		result.status, resp.ends = garnettide.Error, true
	default:
		stream := &relay{reply: resp, conn: c, buffered: body, done: make(chan error, 1)}
		t.onStreamStart(a, stream, result.load)
		err := <-stream.done
		if t.memory.give(body); err != nil {
			c.Close()
			return attemptResult{status: garnettide.Reset}
		}
	}
	// Bytes behind the answer are a second copy or noise: the next request's answer would be read from them.
	if resp.ends || c.in.Buffered() > 0 {
		c.Close()
	} else {
		result.conn = c
	}
	return result
}

// broken tells an answer that can't be read from one that never came.
func readErrorStatus(err error) garnettide.Status {
	for _, malformed := range []error{errHead, errLong, errFrame, errLarge} {
		if errors.Is(err, malformed) {
			return garnettide.Error
		}
	}
	return garnettide.Reset
}

// loadOf reads a load report: name=value pairs. One that can't be read in full, or stands there more than once, tells
// nothing: a half of it must not move shares.
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
		wire.SetLoad(&load, name, value)
	}
	if load.Util > maxUtil {
		return garnettide.Load{}
	}
	return load
}

// probe asks an upstream for its load, or only whether it runs.
func (t upstreamTransport) probe(p *probe) (r attemptResult) {
	c, err := t.connect(p.conn, p.address)
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
	r = t.readResponse(&attempt{conn: c})
	if p.load && r.status == garnettide.OK {
		if l := parseLoad([]string{strings.TrimSpace(string(r.body))}); l.Fields != 0 {
			r.load = l
		}
	}
	return r
}

// probe is one probe of an upstream.
type probe struct {
	upstream *upstream
	sentAt   time.Duration
	address  string
	load     bool
	conn     *conn
}
