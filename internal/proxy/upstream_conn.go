package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"time"
)

// This file holds connections to upstreams: opening them, checking idle ones and writing to them.

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
		remaining := max(t.timeout-time.Since(start), time.Nanosecond) // 0 would be no limit
		c, err := t.open("tcp", address, remaining)
		if err == nil || remaining <= dialRetryInterval || !isLocalDialError(err) || !wanted() {
			return c, err
		}
	}
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
