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
	holdFor = 50 * time.Millisecond
	// sentWait is how long an answer to an open request waits for the write of the request's last byte to return.
	sentWait = 20 * time.Millisecond
	// bodyIdleTimeout is how long a peer may take nothing, or give nothing, of a body that passes on. It is far over what a
	// slow line takes for a piece.
	bodyIdleTimeout = 10 * time.Second
)

// maxUtil bounds the use that a load report can mean: all cores busy is 1, give or take its noise.
const maxUtil = 2

// conn is a connection to an upstream. It belongs to one attempt or, idle, to the
// loop; nobody else touches it.
type conn struct {
	*httpConn
	idleAt time.Duration // on the loop's clock
}

// errStale says that a kept connection was closed by the other side while idle.
var errStale = errors.New("closed while idle")

// fresh looks, without waiting, whether an idle connection still stands.
func (c *conn) fresh() error {
	if quiet(c.Conn) != nil || c.reader.Buffered() > 0 {
		return errStale // closed, or bytes that nobody asked for
	}
	return nil
}

// errUnasked says that bytes have come that nobody asked for.
var errUnasked = errors.New("bytes that nobody asked for")

// quiet looks, without waiting, what has come on a connection that nobody reads: nothing, which is no error, its end, or
// bytes, of which it takes the first.
func quiet(c net.Conn) error {
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
		return errUnasked
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
	waiting int32 = iota
	dropped
	claimed
	written
)

// attempt is one send of a request to an upstream.
type attempt struct {
	req      *request
	n        int // order of the request's sends, from 0
	peer     *peer
	sentAt   time.Duration
	address  string
	message  *message
	wait     time.Duration // for its answer, from its Send on, or from its last byte if that still comes
	ends     time.Duration // when that is over; 0: its last byte still comes
	by       atomic.Int64  // it is written before then or not at all, beside other attempts; 0: no such bound
	stage    atomic.Int32
	until    atomic.Int64  // reading ends then, Unix ns; 0: the loop has set no limit
	sent     chan struct{} // closed when the rest of an open request has been written, or will not be
	whole    atomic.Bool   // and it was written whole
	cut      atomic.Bool   // it was not, and that was the client's doing
	conn     *conn         // read by the loop only once the attempt is claimed
	told     bool          // the loop: the module has had its outcome
	lingers  bool          // the loop: it is left to its connection for the late answer
	givenUp  bool          // the loop: its connection has been ended
	begun    bool          // the loop: its answer passes on
	neverRan bool          // the loop: it is known never to have run
}

// before bounds the time at which a may be written. Only the loop sets it.
func (a *attempt) before(at time.Duration) {
	if by := a.by.Load(); by == 0 || int64(at) < by {
		a.by.Store(int64(at))
	}
}

// limit ends the reading of the answer at a time.
func (a *attempt) limit(until time.Time) {
	a.until.Store(until.UnixNano())
	a.conn.SetReadDeadline(until)
}

// giveUp ends an attempt that has been claimed, for the upstream at once: its connection is closed by who reads it, and
// that may be later than another attempt is written.
func (a *attempt) giveUp() {
	if half, ok := a.conn.Conn.(interface{ CloseWrite() error }); ok {
		half.CloseWrite() // if it fails there is no connection any more
	}
	a.limit(time.Unix(0, 1))
}

// awaits waits for bytes of the answer until a time; false: none came by then.
func (a *attempt) awaits(until time.Time) bool {
	if a.conn.reader.Buffered() > 0 {
		return true
	}
	a.conn.SetReadDeadline(until)
	_, err := a.conn.reader.Peek(1)
	a.conn.SetReadDeadline(time.Time{})
	if at := a.until.Load(); at != 0 { // the loop has set a limit meanwhile
		a.conn.SetReadDeadline(time.Unix(0, at))
	}
	timeout := net.Error(nil)
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// relay is an answer that passes on as it comes. The client's side reads it off the upstream's connection and then says
// how that ended.
type relay struct {
	upstreamResponse
	conn *conn
	held []byte // its first bytes
	end  chan error
}

// errUnwanted says that nobody waits for an answer any more.
var errUnwanted = errors.New("nobody waits for the answer")

// drop keeps an attempt that has not begun to be written from being sent.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(waiting, dropped) }

// result is how an attempt ended, with its connection if that can serve again.
type result struct {
	status garnettide.Status
	load   garnettide.Load
	body   []byte
	kind   string // the body's Content-Type
	conn   *conn
}

// dialer opens connections to upstreams and makes attempts on them.
type dialer struct {
	open    func(network, address string, timeout time.Duration) (net.Conn, error)
	timeout time.Duration
	now     func() time.Duration // the loop's clock
	held    *bodyMemory
	begin   func(*attempt, *relay, garnettide.Load) // tells of an answer that passes on
}

// connect returns the idle connection if it still stands, or a new one.
func (d dialer) connect(idle *conn, address string) (*conn, error) {
	if idle != nil {
		if idle.fresh() == nil {
			return idle, nil
		}
		idle.Close() // nothing was written on it: another connection serves as well
	}
	c, err := d.open("tcp", address, d.timeout)
	if err != nil {
		return nil, err
	}
	return &conn{httpConn: newHTTPConn(c, 2<<10)}, nil
}

// run makes the attempt: at most one write on the wire, whatever happens.
func (d dialer) run(a *attempt) result {
	c, err := d.connect(a.conn, a.address)
	if err != nil {
		return result{status: garnettide.ConnectFailed}
	}
	a.conn = c
	wait, ok := d.claim(a)
	if !ok {
		return result{status: garnettide.NotSent, conn: c}
	}
	// A machine that has gone silent takes bytes until its buffers are full, and then none for ever.
	c.SetWriteDeadline(time.Now().Add(wait))
	head, tail := a.message.bytes(wait) // only now is it known how long the balancer will wait
	err = c.send(head, tail)
	if a.stage.Store(written); err != nil {
		c.Close()
		if errors.Is(err, errPart) || a.sent != nil { // certain: the last byte never left this process
			return result{status: garnettide.ConnectFailed}
		}
		return result{status: garnettide.Reset}
	}
	if a.sent != nil {
		go a.upload(a.message.rest, len(tail) > 0)
	}
	r := d.take(a)
	if a.sent != nil {
		if a.message.rest.cancel(); !a.whole.Load() && r.status == garnettide.Reset {
			r.status = garnettide.ConnectFailed // its last byte never left this process
			if a.cut.Load() {
				r.status = garnettide.NotSent // which says nothing of the upstream
			}
		}
	}
	return r
}

// claim takes an attempt for writing. Its connection may have come up late: what held as it was sent has to hold now. It
// tells how long the answer is waited for; false: nothing is written.
func (d dialer) claim(a *attempt) (wait time.Duration, ok bool) {
	wait = a.wait
	if by := a.by.Load(); a.ends != 0 || by != 0 {
		now := d.now()
		if a.ends != 0 {
			wait = a.ends - now
		}
		if wait <= 0 || (by != 0 && int64(now) >= by) {
			a.drop()
		}
	}
	if rest := a.message.rest; rest != nil && rest.clientClosed() {
		a.req.gone.Store(true)
	}
	if a.req.gone.Load() {
		a.drop()
	}
	return wait, a.stage.CompareAndSwap(waiting, claimed) // else dropped: here, or its request ended or its upstream left
}

// errPart says that the other side can't have had a message's last byte.
var errPart = errors.New("a part of the message was written")

// send writes a message, of which the tail may be empty.
func (c *conn) send(head, tail []byte) error {
	for i, part := range [][]byte{head, tail} {
		if len(part) == 0 {
			continue
		}
		if n, err := c.Write(part); err != nil && (n < len(part) || (i == 0 && len(tail) > 0)) {
			return fmt.Errorf("%w: %w", errPart, err)
		} else if err != nil {
			return err
		}
	}
	return nil
}

// upload passes the rest of an open request on. Where that breaks off so does the connection: what was written is no
// request then, and the upstream must not take it for one.
func (a *attempt) upload(u *upload, behind bool) {
	defer close(a.sent)
	u.started.Store(true)
	p := bodyBuffers.Get().(*bodyBuffer)
	defer bodyBuffers.Put(p)
	inChunks := u.length < 0
	if inChunks && behind {
		io.WriteString(a.conn, "\r\n") // behind what was held; an error shows in the next write
	}
	for {
		n, err := u.reader.Read(p.data())
		if n > 0 && push(a.conn, p.framed(n, inChunks)) != nil {
			break // an answer may have come before the upstream closed: the reading shows
		}
		if err == io.EOF {
			if inChunks && push(a.conn, []byte(lastChunk)) != nil {
				break
			}
			a.whole.Store(true)
			return
		} else if err != nil {
			if !errors.Is(err, io.ErrClosedPipe) { // not because the answer has come
				a.cut.Store(true)
				a.conn.Close()
			}
			break
		}
	}
	u.cancel()
}

// push writes all of b, for as long as the other side takes some of it now and then.
func push(c net.Conn, b []byte) error {
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
func (a *attempt) uploaded() bool {
	if a.sent == nil {
		return true
	}
	select {
	case <-a.sent:
	case <-time.After(sentWait): // the last write may just be returning
		a.message.rest.cancel()
		a.conn.SetWriteDeadline(time.Unix(0, 1))
		<-a.sent
	}
	return a.whole.Load()
}

// take reads an attempt's answer. One that is spoilt has run, and its connection is of no further use. One that does not
// fit where answers are held passes on from here.
func (d dialer) take(a *attempt) result {
	c := a.conn
	m, err := c.readResponse()
	if err != nil {
		c.Close()
		return result{status: broken(err)}
	}
	if !a.uploaded() {
		m.closeAfter = true
	}
	r := result{status: garnettide.Error, load: loadOf(m.header["X-Load"])}
	switch {
	case m.status == http.StatusOK:
		r.status, r.kind = garnettide.OK, m.header.Get("Content-Type")
	case (m.status == http.StatusServiceUnavailable || m.status == http.StatusGatewayTimeout) &&
		m.header.Get("X-Not-Run") == "1": // without that mark it may have run
		r.status = garnettide.Rejected
	}
	begins := time.Now().Add(holdFor)
	body, whole, err := d.held.collect(m.body, func() bool {
		return m.length >= 0 && m.length <= maxBufferedBody || m.length < 0 && a.awaits(begins)
	})
	switch {
	case err != nil:
		c.Close()
		return result{status: broken(err)}
	case whole:
		d.held.free(body)
		r.body = body
	case r.status != garnettide.OK || a.req == nil: // too long to be read to its end for nobody
		d.held.free(body)
		r.status, m.closeAfter = garnettide.Error, true
	default:
		rl := &relay{upstreamResponse: m, conn: c, held: body, end: make(chan error, 1)}
		d.begin(a, rl, r.load)
		err := <-rl.end
		if d.held.free(body); err != nil {
			c.Close()
			return result{status: garnettide.Reset}
		}
	}
	// Bytes behind the answer are a second copy or noise: the next request's answer would be read from them.
	if m.closeAfter || c.reader.Buffered() > 0 {
		c.Close()
	} else {
		r.conn = c
	}
	return r
}

// broken tells an answer that can't be read from one that never came.
func broken(err error) garnettide.Status {
	for _, spoilt := range []error{errMalformedHead, errHeadTooLong, errAmbiguousFraming, errResponseTooLarge} {
		if errors.Is(err, spoilt) {
			return garnettide.Error
		}
	}
	return garnettide.Reset
}

// loadOf reads a load report: name=value pairs. One that can't be read in full, or stands there more than once, tells
// nothing: a half of it must not move shares.
func loadOf(reports []string) garnettide.Load {
	var l garnettide.Load
	if len(reports) != 1 {
		return l
	}
	named := map[string]bool{}
	for part := range strings.SplitSeq(reports[0], ",") {
		name, v, _ := strings.Cut(strings.TrimSpace(part), "=")
		x, err := strconv.ParseFloat(v, 64)
		if err != nil || name == "" || named[name] || !(x >= 0 && x <= math.MaxInt32) {
			return garnettide.Load{}
		}
		named[name] = true
		wire.SetLoadValue(&l, name, x)
	}
	if l.Util > maxUtil {
		return garnettide.Load{}
	}
	return l
}

// probe asks an upstream for its load, or only whether it runs.
func (d dialer) probe(p *probe) (r result) {
	c, err := d.connect(p.conn, p.address)
	if err != nil {
		return result{status: garnettide.ConnectFailed}
	}
	path := "/healthz"
	if p.load {
		path = "/load"
	}
	c.SetDeadline(time.Now().Add(d.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.address+"\r\n\r\n"); err != nil {
		c.Close()
		return result{status: garnettide.ConnectFailed}
	}
	r = d.take(&attempt{conn: c})
	if p.load && r.status == garnettide.OK {
		if l := loadOf([]string{strings.TrimSpace(string(r.body))}); l.Fields != 0 {
			r.load = l
		}
	}
	return r
}

// probe is one probe of an upstream.
type probe struct {
	peer    *peer
	sentAt  time.Duration
	address string
	load    bool
	conn    *conn
}
