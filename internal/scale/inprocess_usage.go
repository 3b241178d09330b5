package scale

import (
	"runtime"
	"syscall"
	"time"
)

// This file measures the processor time and the heap that calls within this process take.

// minBatchTime is the processor time that a batch takes at least, well above the resolution of getrusage. Batches of
// maxBatchCalls may take less.
var minBatchTime = 25 * time.Millisecond

const (
	maxBatchCalls = 1 << 16
	batchCount    = 5 // the lowest cost is taken, since other processes use the processors too
	heapRuns      = 3 // the smallest heap is taken
)

// processCPUTime returns the processor time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // getrusage fails only for invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerCall returns the mean processor time of a call of op in the cheapest of several batches, including
// that of the garbage collector.
func cpuPerCall(op func()) time.Duration {
	op() // leaves out one-time costs of the first call
	lowest := time.Duration(0)
	for calls, run := 1, 0; run < batchCount; {
		runtime.GC()
		start := processCPUTime()
		for range calls {
			op()
		}
		used := processCPUTime() - start
		if used < minBatchTime && calls < maxBatchCalls {
			calls *= 2
			continue
		}
		if mean := used / time.Duration(calls); run == 0 || mean < lowest {
			lowest = mean
		}
		run++
	}
	return lowest
}

// milliseconds returns d in ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// retainedMB returns the size of the heap in MB that the result of build keeps alive, the smallest of several runs.
func retainedMB(build func() (any, error)) (float64, error) {
	lowest := 0.0
	for run := range heapRuns {
		before := liveHeapMB()
		value, err := build()
		if err != nil {
			return 0, err
		}
		retained := liveHeapMB() - before
		runtime.KeepAlive(value)
		if run == 0 || retained < lowest {
			lowest = retained
		}
	}
	return lowest, nil
}

// liveHeapMB returns the size of the live heap in MB of 10^6 bytes.
func liveHeapMB() float64 {
	runtime.GC()
	runtime.GC() // frees what finalizers and pools kept alive during the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}
