package proxy

import (
	"fmt"
	"runtime/metrics"
)

// This file logs when the memory of the process comes near its limit, and what takes it.

const (
	// Memory in use is near the limit above memoryHighShare of it, and no longer below memoryLowShare. The collector
	// keeps garbage within a smaller share, so what goes beyond is in use.
	memoryHighShare = 0.75
	memoryLowShare  = 0.65
)

// memoryUsage is memory of the process, in bytes.
type memoryUsage struct {
	inUse   uint64 // of the Go runtime, without what it has returned to the system
	objects uint64 // objects in the heap, live or not yet collected
	stacks  uint64 // stacks of goroutines
}

// readMemoryUsage returns the memory that the process uses now.
func readMemoryUsage() memoryUsage {
	samples := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"}, {Name: "/memory/classes/heap/stacks:bytes"}}
	metrics.Read(samples)
	return memoryUsage{inUse: samples[0].Value.Uint64() - samples[1].Value.Uint64(), objects: samples[2].Value.Uint64(),
		stacks: samples[3].Value.Uint64()}
}

// memoryLog tells when memory in use comes near the limit, and when it is no longer so.
type memoryLog struct {
	limit uint64 // in bytes
	high  bool   // the last line told that memory is near the limit
}

// line returns the line to be logged, or an empty string if there is no news.
func (m *memoryLog) line(usage memoryUsage) string {
	share := float64(usage.inUse) / float64(m.limit)
	if m.high && share >= memoryLowShare || !m.high && share <= memoryHighShare {
		return ""
	}
	m.high = !m.high
	state := "near the limit"
	if !m.high {
		state = "no longer near the limit"
	}
	const kib = 1 << 10
	return fmt.Sprintf("memory is %s: %d of %d KiB in use, heap objects %d KiB, stacks %d KiB", state, usage.inUse/kib,
		m.limit/kib, usage.objects/kib, usage.stacks/kib)
}

// logMemory logs memory in use if it has come near its limit, or is no longer near it.
func (l *loop) logMemory(usage memoryUsage) {
	if line := l.memoryLog.line(usage); line != "" {
		l.Log(fmt.Sprintf("%s, heads %d KiB, bodies %d KiB, %d requests, %d connections to upstreams", line,
			l.headMemory.reserved()>>10, l.memory.reserved()>>10, len(l.requests), l.connCount))
	}
}
