package proxy

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"garnettide"
)

// brokenConn is an upstream's connection that breaks behind some bytes. Like the system, it reports the error once, and
// then the end.
type brokenConn struct {
	net.Conn
	data []byte
	err  error
}

func (c *brokenConn) Read(b []byte) (int, error) {
	if n := copy(b, c.data); n > 0 {
		c.data = c.data[n:]
		return n, nil
	}
	err := c.err
	if c.err = io.EOF; err == io.EOF {
		return 0, err
	}
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", err)}
}

// SyscallConn fails: the number of unread bytes is not known.
func (c *brokenConn) SyscallConn() (syscall.RawConn, error) { return nil, errors.ErrUnsupported }

func (c *brokenConn) SetReadDeadline(time.Time) error { return nil }
func (c *brokenConn) Close() error                    { return nil }

// TestBrokenConnectionIsNoDeadline guards against a response without a length that passes for whole because its broken
// connection shows as ETIMEDOUT, which was taken for a deadline of our own, and as the end of the response afterwards.
func TestBrokenConnectionIsNoDeadline(t *testing.T) {
	for _, broken := range []syscall.Errno{syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ECONNRESET} {
		var forwarded bytes.Buffer
		transport := upstreamTransport{memory: newBodyMemory(), onStreamStart: func(_ *attempt, r *responseStream, _ garnettide.Load) {
			_, err := io.Copy(&forwarded, r.body)
			r.done <- err
		}}
		c := &brokenConn{data: []byte("HTTP/1.1 200 OK\r\n\r\nthe first half"), err: broken}
		result := transport.receiveResponse(&attempt{req: &request{}, conn: &conn{httpConn: newHTTPConn(c, 2<<10)}})
		if result.status == garnettide.OK {
			t.Errorf("%v: got the response taken for whole, with %q and %q, want it taken for cut off", broken, result.body,
				&forwarded)
		}
	}
}
