package proxy

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestAdminListenerOutlivesFailedAccepts guards against a process that ends because the system cannot accept an operator's
// connection for a moment.
func TestAdminListenerOutlivesFailedAccepts(t *testing.T) {
	h := newLoopHarness(t)
	listener := &failingListener{errs: []syscall.Errno{syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENETUNREACH,
		syscall.EPROTO}}
	want(t, "result", (&adminServer{loop: h.loop}).serve(listener).Error(),
		"serving the admin listener: use of closed network connection")
	want(t, "errors left", len(listener.errs), 0)
}

// TestInterruptedSystemCallIsRepeated guards against taking an interrupted system call for a failed one.
func TestInterruptedSystemCallIsRepeated(t *testing.T) {
	results := []error{syscall.EINTR, syscall.EINTR, syscall.ENOSPC}
	calls := 0
	err := retryInterrupted(func() error {
		calls++
		return results[calls-1]
	})
	want(t, "error", err, error(syscall.ENOSPC))
	want(t, "calls", calls, 3)
}

// failedDial returns the error of a connect that the system refuses.
func failedDial(errno syscall.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", errno)}
}

// TestConnectIsRetriedAfterLocalFailure guards against refusing requests, and pausing upstreams, because this machine cannot
// open a connection for a moment.
func TestConnectIsRetriedAfterLocalFailure(t *testing.T) {
	for _, errno := range localDialErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			const failures = 4 // more than a request has attempts
			h := newLoopHarness(t)
			upstream := newTestUpstream(t, respondOK)
			h.setMembers(20, upMember("s-00000001", upstream))
			var dials atomic.Int32
			h.transport.open = func(network, address string, timeout time.Duration) (net.Conn, error) {
				if dials.Add(1) <= failures {
					return nil, failedDial(errno)
				}
				return net.DialTimeout(network, address, timeout)
			}
			want(t, "status", h.roundTrip("1", 4*time.Second).status, http.StatusOK)
			want(t, "connections tried", int(dials.Load()), failures+1)
		})
	}
}

// TestConnectIsNotRetriedForLong guards against keeping an attempt behind its time for connecting, or after its request has
// ended, and against trying again where the upstream is at fault.
func TestConnectIsNotRetriedForLong(t *testing.T) {
	for name, c := range map[string]struct {
		errno     syscall.Errno
		wanted    bool
		mostTries int
	}{
		"out of time":    {syscall.ENFILE, true, 5},
		"request closed": {syscall.ENFILE, false, 1},
		"refused":        {syscall.ECONNREFUSED, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			tries := 0
			transport := upstreamTransport{timeout: 5 * dialRetryInterval,
				open: func(string, string, time.Duration) (net.Conn, error) {
					tries++
					return nil, failedDial(c.errno)
				}}
			_, err := transport.dial("127.0.0.1:1", func() bool { return c.wanted })
			want(t, "error", errors.Is(err, c.errno), true)
			if tries > c.mostTries {
				t.Errorf("got %d tries, want at most %d", tries, c.mostTries)
			}
		})
	}
}
