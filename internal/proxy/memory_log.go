package proxy

import (
	"fmt"
	"runtime/metrics"
	"time"
)

// This file logs when the memory of the process comes near its limit or the collector is busy, and what takes memory.

const (
	// Memory in use is near the limit above memoryHighShare of it, and no longer below memoryLowShare.
	memoryHighShare = 0.75
	memoryLowShare  = 0.65
	// The collector is busy while it takes more than this share of the processor, and no longer below the other.
	collectorBusyShare = 0.2
	collectorCalmShare = 0.1
	// memoryLogInterval is the time between two lines while memory stays near the limit or the collector busy.
	memoryLogInterval = 5 * time.Second
)

// memoryUsage is what the process uses: memory in bytes, and the collector's work since the process began.
type memoryUsage struct {
	inUse        uint64  // of the Go runtime, without what it has returned to the system
	live         uint64  // objects that the last collection has left
	objects      uint64  // objects in the heap, live or not yet collected
	stacks       uint64  // stacks of goroutines
	goroutines   uint64  // their number
	collections  uint64  // number of collections
	collectorCPU float64 // processor time of the collector, in seconds
}

// memoryMetrics names the metrics that readMemoryUsage reads, in the order of its samples.
var memoryMetrics = []string{"/memory/classes/total:bytes", "/memory/classes/heap/released:bytes", "/gc/heap/live:bytes",
	"/memory/classes/heap/objects:bytes", "/memory/classes/heap/stacks:bytes", "/sched/goroutines:goroutines",
	"/gc/cycles/total:gc-cycles", "/cpu/classes/gc/total:cpu-seconds"}

// readMemoryUsage returns what the process uses now.
func readMemoryUsage() memoryUsage {
	samples := make([]metrics.Sample, len(memoryMetrics))
	for i, name := range memoryMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	return memoryUsage{inUse: samples[0].Value.Uint64() - samples[1].Value.Uint64(), live: samples[2].Value.Uint64(),
		objects: samples[3].Value.Uint64(), stacks: samples[4].Value.Uint64(), goroutines: samples[5].Value.Uint64(),
		collections: samples[6].Value.Uint64(), collectorCPU: samples[7].Value.Float64()}
}

// withoutGarbage returns the memory in use but for objects that have come since the last collection.
func (u memoryUsage) withoutGarbage() int64 {
	return int64(u.inUse) - max(0, int64(u.objects)-int64(u.live))
}

// setCollectorTarget chooses the collector's target by the memory in use.
func (l *loop) setCollectorTarget(usage memoryUsage) {
	target := l.capacity.CollectorTarget(usage.withoutGarbage())
	if target == l.collectorTarget {
		return
	}
	l.collectorTarget = target
	if l.onCollectorTarget != nil {
		l.onCollectorTarget(target)
	}
}

// memoryLog tells when memory in use comes near the limit or the collector becomes busy, how that goes on, and its end.
type memoryLog struct {
	limit    uint64 // in bytes
	high     bool   // the last line told of trouble
	last     memoryUsage
	lastAt   time.Duration // when last was read
	nextLine time.Duration // while high
}

// line returns the line to be logged at a time of the loop's clock, or an empty string if there is no news.
func (m *memoryLog) line(now time.Duration, usage memoryUsage) string {
	elapsed := max(now-m.lastAt, time.Millisecond).Seconds()
	collectorShare := (usage.collectorCPU - m.last.collectorCPU) / elapsed
	collections := float64(usage.collections-m.last.collections) / elapsed
	m.last, m.lastAt = usage, now
	memoryShare := float64(usage.inUse) / float64(m.limit)
	wasHigh := m.high
	if wasHigh {
		m.high = memoryShare >= memoryLowShare || collectorShare >= collectorCalmShare
	} else {
		m.high = memoryShare > memoryHighShare || collectorShare > collectorBusyShare
	}
	if m.high == wasHigh && (!m.high || now < m.nextLine) {
		return ""
	}
	m.nextLine = now + memoryLogInterval
	return m.describe(usage, memoryShare, collectorShare, collections)
}

// describe returns the text of a line.
func (m *memoryLog) describe(usage memoryUsage, memoryShare, collectorShare, collections float64) string {
	state := "memory is no longer near the limit"
	switch {
	case m.high && memoryShare >= memoryLowShare:
		state = "memory is near the limit"
	case m.high:
		state = "the collector is busy"
	}
	const kib = 1 << 10
	return fmt.Sprintf("%s: %d of %d KiB in use, heap objects %d KiB, live %d KiB, stacks %d KiB of %d goroutines, "+
		"%.0f collections a second, %.0f%% of the processor", state, usage.inUse/kib, m.limit/kib, usage.objects/kib, usage.live/kib,
		usage.stacks/kib, usage.goroutines, collections, 100*collectorShare)
}

// logMemory logs memory in use and the collector's work if there is news of them.
func (l *loop) logMemory(now time.Duration, usage memoryUsage) {
	if line := l.memoryLog.line(now, usage); line != "" {
		l.Log(fmt.Sprintf("%s, heads %d KiB, bodies %d KiB, %d requests, %d connections to upstreams", line,
			l.headMemory.reserved()>>10, l.memory.reserved()>>10, len(l.requests), l.connCount))
	}
}
