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
