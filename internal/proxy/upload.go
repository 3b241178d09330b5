package proxy

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"garnettide"
)

// This file streams the bodies of requests that exceed the buffer: from the client into a pipe, and from there to
// the upstream of one attempt.

// upload is the streamed part of a request's body. The frontend writes it into a pipe that a single attempt reads.
type upload struct {
	body     bodyReader // reads from the client's connection
	length   int64      // of the whole body; -1: chunked
	pipe     *bodyPipe
	client   net.Conn              // the client's connection, checked for a close
	started  atomic.Bool           // an attempt has begun to read it, so no other one can
	complete bool                  // set by the frontend when the last byte has arrived
	failure  atomic.Pointer[error] // passed to fail
	received atomic.Int64          // bytes of the body that have been read from the client
	awaiting atomic.Bool           // all that has arrived has been read, and the client is awaited
	arrivals bodyArrivals
}

// recordArrivals notes how much of the body has arrived by now, read or not. The client was last awaited at
// awaitedAt.
func (u *upload) recordArrivals(now, awaitedAt time.Time) {
	u.arrivals.record(now, u.received.Load()+unreadBytes(u.client), awaitedAt)
}

// fail ends the body with an error of the client's, for the attempt that reads it.
func (u *upload) fail(err error) {
	u.failure.Store(&err)
	u.pipe.close(err)
}

// clientErr returns the error passed to fail, if any. u may be nil.
func (u *upload) clientErr() error {
	if u == nil {
		return nil
	}
	if err := u.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// Errors with which a body's pipe is cancelled, and that its writer returns.
var (
	// errBodyUnwanted reports that the rest of a body is not needed.
	errBodyUnwanted = errors.New("rest of the request body not needed")
	// errClientClosed reports that the client has closed its connection after body bytes that have not been read.
	errClientClosed = errors.New("client closed its connection")
	// errBodyMemory reports that whether the client is still there cannot be told, for want of memory to read its body.
	errBodyMemory = &refusal{status: http.StatusServiceUnavailable, reason: "no memory is left for a body of this size"}
)

// maxHiddenTime is how long a client's connection may have been left unread, with bytes to be read, when an attempt of
// its request begins. An attempt must not begin later than this behind the client's close.
const maxHiddenTime = 100 * time.Millisecond

// stopIfClosed reports whether the client has closed its connection, or may have done so unseen, and if so ends the
// body. Reading shows a close only behind the body bytes before it. The state of the TCP connection shows one behind
// what its receive buffer holds.
func (u *upload) stopIfClosed() bool {
	if closedByPeer(u.client) {
		u.pipe.cancel(errClientClosed)
		return true
	}
	if waited, blocked := u.pipe.blocked(); blocked && waited >= maxHiddenTime && unreadBytes(u.client) > 0 {
		u.pipe.cancel(errBodyMemory)
		return true
	}
	return false
}

// States of a TCP connection that the peer has ended, as numbered in Linux's include/net/tcp_states.h.
const (
	tcpClose     = 7 // after a reset
	tcpCloseWait = 8 // after a close
	tcpStateMask = 0xff
)

// closedByPeer reports whether the peer has closed or reset a connection, without blocking or reading.
func closedByPeer(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	state := 0
	err = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first byte is the state
		if err == nil {
			state = info & tcpStateMask
		}
	})
	return err != nil || state == tcpClose || state == tcpCloseWait
}

// cancel fails the frontend's writes because the rest is not needed. It has no effect after the last byte.
func (u *upload) cancel() { u.pipe.cancel(errBodyUnwanted) }

// The stages of an upload. The loop may abandon one whose last byte is not being written.
const (
	uploadOpen      int32 = iota
	uploadAbandoned       // the last byte will not be written
	uploadLastWrite       // the last byte is being written or has been
)

// uploadConn is a connection to an upstream to which a body is streamed.
type uploadConn struct {
	net.Conn
	stopped atomic.Bool // writes fail at once
}

// SetWriteDeadline sets the deadline of writes, unless stop has been called.
func (c *uploadConn) SetWriteDeadline(at time.Time) error {
	err := c.Conn.SetWriteDeadline(at)
	if c.stopped.Load() { // checked after the deadline is set, which may have overwritten the one set by stop
		return c.Conn.SetWriteDeadline(longAgo)
	}
	return err
}

// stop makes current and later writes fail with a timeout. It may be called from any goroutine.
func (c *uploadConn) stop() {
	c.stopped.Store(true)
	c.Conn.SetWriteDeadline(longAgo)
}

// abandonUpload prevents the last byte of a streaming request from being written, and reports whether it did.
func (a *attempt) abandonUpload() bool {
	return a.uploadDone != nil && a.uploadStage.CompareAndSwap(uploadOpen, uploadAbandoned)
}

// beginLastWrite reports whether the last byte of a streaming request may be written.
func (a *attempt) beginLastWrite() bool {
	return a.uploadStage.CompareAndSwap(uploadOpen, uploadLastWrite) || a.uploadStage.Load() == uploadLastWrite
}

// upload streams the rest of the request's body to the upstream, of which sent bytes have been written. If the client
// fails to send it, the connection is closed, so that the upstream does not accept a truncated request. afterChunk
// tells that the data of an open chunk precedes it.
func (a *attempt) upload(u *upload, sent int64, afterChunk bool) {
	defer close(a.uploadDone)
	inChunks := u.length < 0
	if inChunks && afterChunk {
		io.WriteString(a.uploadConn, "\r\n") // ends the buffered chunk; an error shows in the next write
	}
	for unsent := u.length - sent; ; { // stays below 0 in chunks
		part, err := u.pipe.read()
		switch {
		case err == io.EOF:
			if !inChunks || a.beginLastWrite() && writeFully(a.uploadConn, []byte(lastChunk)) == nil {
				a.uploadComplete.Store(true)
			}
			u.cancel()
			return
		case err != nil:
			if u.clientErr() != nil {
				a.uploadAborted.Store(true)
				a.conn.Close()
			}
			u.cancel()
			return
		}
		unsent -= int64(part.length)
		mayWrite := unsent != 0 || a.beginLastWrite()
		if mayWrite {
			err = writeFully(a.uploadConn, part.framed(inChunks))
		}
		u.pipe.memory.freeBuffer(part)
		if !mayWrite || err != nil { // the upstream may have responded early, which the reader detects
			u.cancel()
			return
		}
		if unsent == 0 {
			a.uploadComplete.Store(true)
			return
		}
	}
}

// finishUpload ends the upload when the response begins, and reports whether the whole request has been
// written. If not, the response is early and the upload is cancelled.
func (a *attempt) finishUpload() bool {
	if a.uploadDone == nil {
		return true
	}
	select {
	case <-a.uploadDone:
	case <-time.After(uploadDoneTimeout): // the last write may be about to return
		a.message.rest.cancel()
		a.uploadConn.stop()
		<-a.uploadDone
	}
	return a.uploadComplete.Load()
}

// resetUploadStatus returns the status of a streaming request whose connection is closed and whose body is
// cancelled. It waits for the upload to end, as the write of the last byte may be about to return.
func (a *attempt) resetUploadStatus() garnettide.Status {
	<-a.uploadDone
	switch {
	case a.uploadComplete.Load():
		return garnettide.Reset
	case a.uploadAborted.Load():
		return garnettide.NotSent // not the upstream's fault
	default:
		return garnettide.ConnectFailed // the last byte was not sent
	}
}
