package proxy

import (
	"errors"
	"log/slog"
	"net"
	"slices"
	"syscall"
	"time"
)

// This file outlasts failures of system calls that pass by themselves.

const (
	acceptRetryInterval = 5 * time.Millisecond  // between two tries to accept a connection
	dialRetryInterval   = 10 * time.Millisecond // between two tries to open a connection
)

// localDialErrors are the errors with which opening a connection fails for want of something on this machine: descriptors,
// memory, ports or a route.
var localDialErrors = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EAGAIN,
	syscall.EADDRNOTAVAIL, syscall.ENETDOWN, syscall.ENETUNREACH}

// isLocalDialError reports whether opening a connection failed through no fault of the other side.
func isLocalDialError(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(localDialErrors, errno)
}

// retryInterrupted repeats a system call that a signal has interrupted.
func retryInterrupted(call func() error) error {
	for {
		if err := call(); !errors.Is(err, syscall.EINTR) {
			return err
		}
	}
}

// persistentListener goes on accepting behind errors: the system may be out of descriptors or memory for a moment, and
// errors of the network that belong to one connection come from accept too.
type persistentListener struct {
	net.Listener
	name      string // in the log
	onFailure func() // called for each failure
}

// Accept returns the next connection. It fails only if the listener is closed.
func (l *persistentListener) Accept() (net.Conn, error) {
	for first := true; ; first = false {
		c, err := l.Listener.Accept()
		if err == nil || errors.Is(err, net.ErrClosed) {
			return c, err
		}
		if first {
			slog.Warn("accepting connections fails", "listener", l.name, "err", err)
		}
		l.onFailure()
		time.Sleep(acceptRetryInterval)
	}
}
