package proxy

import (
	"syscall"
	"testing"
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
