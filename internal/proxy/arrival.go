package proxy

import (
	"net"
	"sync"
	"syscall"
	"time"
	"unsafe"
)

// A request's deadline counts from when its client wrote the last byte. The balancer reads a streamed body no faster
// than the upstream takes it, so that byte may wait in the buffers of both machines for long. This file estimates the
// earliest time at which the client can have written it.

// maxClientSendBuffer is how many bytes a client may have written that have not arrived yet: the largest send
// buffer that Linux gives a connection by default (net.ipv4.tcp_wmem).
const maxClientSendBuffer = 4 << 20

// arrivalSample is how many bytes of a body had arrived by a time.
type arrivalSample struct {
	at    time.Time
	total int64
}

// bodyArrivals holds samples of how much of a body has arrived. Any goroutine may use it.
type bodyArrivals struct {
	mu      sync.Mutex
	samples []arrivalSample // oldest first, at least one
}

// record adds a sample, and drops those at which the client was still writing: more has arrived since than its send
// buffer holds, or it has been awaited since. awaitedAt is when it was last awaited.
func (a *bodyArrivals) record(at time.Time, total int64, awaitedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.samples = append(a.samples, arrivalSample{at, total})
	first := 0
	for total-a.samples[first].total > maxClientSendBuffer {
		first++
	}
	for first+1 < len(a.samples) && a.samples[first].at.Before(awaitedAt) {
		first++
	}
	a.samples = a.samples[first:]
}

// earliestEnd returns the earliest time at which the client can have written its last byte, as far as the samples
// tell.
func (a *bodyArrivals) earliestEnd() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.samples[0].at
}

// unreadBytes returns how many bytes have arrived on a connection and have not been read, or 0 if the system does
// not tell.
func unreadBytes(c net.Conn) int64 {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return 0
	}
	var n int32
	var errno syscall.Errno
	err = raw.Control(func(fd uintptr) {
		_, _, errno = syscall.Syscall(syscall.SYS_IOCTL, fd, syscall.TIOCINQ, uintptr(unsafe.Pointer(&n)))
	})
	if err != nil || errno != 0 {
		return 0
	}
	return int64(n)
}
