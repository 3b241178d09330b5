package proxy

import (
	"bytes"
	"log/slog"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// failingListener fails to accept a number of times with errors of the system, and is closed then.
type failingListener struct {
	net.Listener
	errs []syscall.Errno
}

func (l *failingListener) Accept() (net.Conn, error) {
	if len(l.errs) == 0 {
		return nil, net.ErrClosed
	}
	err := l.errs[0]
	l.errs = l.errs[1:]
	return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", err)}
}

func (l *failingListener) Close() error { return nil }

// TestFailedAcceptsAreCounted guards against a frontend that ends when the system cannot accept for a moment, and against a
// line in the log for each failure.
func TestFailedAcceptsAreCounted(t *testing.T) {
	var log bytes.Buffer
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.NewTextHandler(&log, nil)))
	h := newLoopHarness(t)
	front := newFrontend(&Config{MemoryMB: 64, Sockets: 64, Plan: h.balancer.Plan()}, &failingListener{errs: []syscall.Errno{
		syscall.ECONNABORTED, syscall.ENFILE, syscall.EMFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM}}, h.loop)
	err := front.serve()
	slog.SetDefault(previous)
	want(t, "error", err, nil)
	want(t, "lines", strings.Count(log.String(), "accepting connections fails"), 1)
	want(t, "count", h.traffic.line(time.Hour), "since the last count: 6 failed accepts")
}
