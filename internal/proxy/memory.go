package proxy

import (
	"io"
	"sync/atomic"
)

// This file limits the memory of messages, over all connections.

const (
	maxBufferedBody = 64 << 10 // bytes of a body kept in memory; only a fully buffered body can be sent again
	minBodyBuffer   = 1 << 10  // bytes first allocated for a buffered body
	// uncountedBytes is the size up to which the buffer of a head or of a body takes nothing from its budget, so that
	// ordinary ones are kept whole even when large ones have used it up.
	uncountedBytes = 2 << 10
)

// countedBytes returns how many bytes of its budget a buffer of the given size takes.
func countedBytes(size int) int {
	if size <= uncountedBytes {
		return 0
	}
	return size
}

// memoryBudget limits the memory of buffers. A nil budget has no limit.
type memoryBudget struct {
	limit     atomic.Int64 // in bytes
	available atomic.Int64 // negative while more is reserved than a lowered limit allows
}

// setLimit sets the limit, in bytes.
func (m *memoryBudget) setLimit(limit int64) {
	m.available.Add(limit - m.limit.Swap(limit))
}

// reserved returns how many bytes are reserved.
func (m *memoryBudget) reserved() int64 { return m.limit.Load() - m.available.Load() }

// reserve takes n bytes and reports whether that many were available. If not, it takes none. Nothing is always available.
func (m *memoryBudget) reserve(n int) bool {
	if m == nil || n == 0 {
		return true
	}
	for {
		available := m.available.Load()
		if available < int64(n) {
			return false
		}
		if m.available.CompareAndSwap(available, available-int64(n)) {
			return true
		}
	}
}

// release returns n bytes that were reserved.
func (m *memoryBudget) release(n int) {
	if m != nil {
		m.available.Add(int64(n))
	}
}

// free returns the memory of a buffer that collect has allocated.
func (m *memoryBudget) free(b []byte) { m.release(countedBytes(cap(b))) }

// collect reads a body into a buffer until the body is complete, maxBufferedBody is reached, no memory is
// available or more returns false. complete reports that the buffer holds the whole body. The buffer grows
// with the bytes received, not with the stated length. After an error nothing stays reserved.
func (m *memoryBudget) collect(body io.Reader, more func() bool) (b []byte, complete bool, err error) {
	for more() {
		if len(b) == cap(b) {
			grown := max(2*cap(b), minBodyBuffer)
			if grown > maxBufferedBody || !m.reserve(countedBytes(grown)-countedBytes(cap(b))) {
				break
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		if b = b[:len(b)+n]; err == io.EOF {
			return b, true, nil
		} else if err != nil {
			m.free(b)
			return nil, false, err
		}
	}
	return b, false, nil
}

// always is a condition for collect that never stops it.
func always() bool { return true }
