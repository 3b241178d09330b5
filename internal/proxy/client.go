package proxy

import (
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// This file holds the connections of clients.

const (
	// minReadWait is the time from which a read counts as having waited for the client: nothing was left to read.
	minReadWait = time.Millisecond

	// clientReadBuffer is the size of a connection's read buffer, in bytes: most heads fit, and hundreds of connections
	// wait without a request.
	clientReadBuffer = 2 << 10

	// clientLingerTimeout and maxClientLingerBytes limit how long and how much is read and discarded after
	// a request was refused. Closing at once would reset the connection, and the client could lose the
	// response.
	clientLingerTimeout  = 300 * time.Millisecond
	maxClientLingerBytes = 256 << 10
	// earlyResponseLingerTimeout applies when the response was sent before the whole body had arrived: the
	// client may read it only after sending the body.
	earlyResponseLingerTimeout = 2 * time.Second
)

// clientStage is the state of a client's connection.
type clientStage uint8

const (
	clientReading clientStage = iota // waiting for or reading a request, or about to be closed
	clientIdle                       // between requests
	clientServing                    // a request is in flight
)

// timedConn limits the time spent waiting for a client's bytes while a request is read.
type timedConn struct {
	net.Conn
	limited     bool          // false: Read sets no deadline
	readingBody bool          // bytes read extend the remaining time
	remaining   time.Duration // time that reads may still take
	stopped     atomic.Bool   // reads fail at once
	evicted     atomic.Bool   // reads fail at once
	lastRead    atomicTime    // when bytes were last read
	awaitedAt   atomicTime    // when the last read that had to wait for the client ended
	slicer      workSlicer    // of the work since a read last had to wait; used by the goroutine that reads
}

// newTimedConn wraps a client's connection.
func newTimedConn(raw net.Conn) *timedConn {
	return &timedConn{Conn: raw, slicer: workSlicer{sliceStart: time.Now(), pause: pauseForOthers}}
}

// Read reads from the connection. If limited is set, it fails with a timeout once remaining is used up.
func (c *timedConn) Read(b []byte) (int, error) {
	start := time.Now()
	if c.limited {
		c.SetReadDeadline(start.Add(c.remaining))
	}
	n, err := c.Conn.Read(b)
	end := time.Now()
	if end.Sub(start) >= workSlice {
		c.slicer.sliceStart = end
	}
	if !c.limited {
		return n, err
	}
	if n > 0 {
		c.lastRead.store(end)
	}
	if end.Sub(start) >= minReadWait {
		c.awaitedAt.store(end)
	}
	c.remaining -= end.Sub(start)
	if c.readingBody {
		c.remaining = min(c.remaining+time.Duration(n)*time.Second/minClientBodyRate, requestHeadTimeout)
	}
	if err != nil {
		c.remaining = 0 // bufio reads again after an error within a line, which must not start a new wait
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *timedConn) SyscallConn() (syscall.RawConn, error) {
	if raw, ok := c.Conn.(syscall.Conn); ok {
		return raw.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// lastAwaited returns when the last read that had to wait for the client ended.
func (c *timedConn) lastAwaited() time.Time {
	at, _ := c.awaitedAt.load()
	return at
}

// SetReadDeadline sets the deadline of reads, unless they fail at once.
func (c *timedConn) SetReadDeadline(at time.Time) error {
	err := c.Conn.SetReadDeadline(at)
	if c.stopped.Load() || c.evicted.Load() { // checked after the deadline is set, which may have overwritten theirs
		return c.Conn.SetReadDeadline(longAgo)
	}
	return err
}

// stop makes current and later reads fail with a timeout. It may be called from any goroutine.
func (c *timedConn) stop() {
	c.stopped.Store(true)
	c.Conn.SetReadDeadline(longAgo)
}

// evict does the same until resume is called.
func (c *timedConn) evict() {
	c.evicted.Store(true)
	c.Conn.SetReadDeadline(longAgo)
}

// client is a client's connection. frontend.mu guards stage, stageSince, requestStarted and evicted.
type client struct {
	*httpConn
	timed          *timedConn
	acceptedAt     time.Time
	requestStarted bool // bytes of a request have arrived
	stage          clientStage
	stageSince     time.Time     // when the stage was entered
	evicted        chan struct{} // closed once an eviction has taken effect or is withdrawn; nil: not evicted
}

// evict asks the goroutine that serves c to end. Only that goroutine knows whether it has read a request, which then has
// to be answered: in that case it withdraws the eviction. The caller holds frontend.mu.
func (c *client) evict() {
	if c.evicted == nil {
		c.evicted = make(chan struct{})
		c.timed.evict()
	}
}

// endEviction notes that an eviction has taken effect or is withdrawn. The caller holds frontend.mu.
func (c *client) endEviction() {
	if c.evicted != nil {
		close(c.evicted)
		c.evicted = nil
	}
	c.timed.evicted.Store(false)
}

// stalled returns how long c has made no progress. A connection that has sent nothing for noDataEvictAfter
// ranks above all that have sent something.
func (c *client) stalled(now time.Time) time.Duration {
	last := c.stageSince
	if lastRead, isSet := c.timed.lastRead.load(); isSet && lastRead.After(last) {
		last = lastRead
	}
	stalled := now.Sub(last)
	if c.stage == clientReading && !c.requestStarted && stalled >= noDataEvictAfter {
		stalled += clientIdleTimeout
	}
	return stalled
}

// lingeringClose closes a TCP connection for writing, then reads and discards what the client still sends,
// until the client closes it, wait is over or limit bytes have been read.
func (c *client) lingeringClose(wait time.Duration, limit int64) {
	tcp, ok := c.timed.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	tcp.CloseWrite()
	c.timed.limited = false
	c.SetReadDeadline(time.Now().Add(wait))
	for limit > 0 {
		n, err := c.discardInput()
		if err != nil {
			return
		}
		limit -= int64(n)
		c.timed.slicer.checkTime()
	}
}

// discardInput waits for bytes and discards some. It holds a buffer only while it reads what has arrived.
func (c *client) discardInput() (int, error) {
	if err := c.awaitInput(); err != nil {
		return 0, err
	}
	buffer := largeBuffers.Get().(*bodyBuffer)
	defer largeBuffers.Put(buffer)
	return c.reader.Read(buffer.space())
}
