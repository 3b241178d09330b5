package scale

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// This file reads what processes use: processor time by getrusage for the own one, by procfs for others, and memory.

// Usage is what a process has used.
type Usage struct {
	At   int64         `json:"at_ns"`  // Unix time of the reading
	CPU  time.Duration `json:"cpu_ns"` // processor time since its start, user and system
	RSS  int64         `json:"rss_bytes"`
	Heap int64         `json:"heap_bytes"` // live after a collection; 0: not read
}

// ownUsage reads this process. With heap it collects first, which costs processor time that the reading leaves out: the
// collection comes after it.
func ownUsage(withHeap bool) (Usage, error) {
	u, err := processUsage(syscall.Getpid())
	if err != nil {
		return u, err
	}
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return u, fmt.Errorf("getrusage: %w", err)
	}
	u.CPU = time.Duration(r.Utime.Nano() + r.Stime.Nano())
	if withHeap {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		u.Heap = int64(m.HeapAlloc)
	}
	return u, nil
}

// processUsage reads a process by its id. Its processor time is counted in steps of 10 ms.
func processUsage(pid int) (Usage, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, fmt.Errorf("reading process %d: %w", pid, err)
	}
	s, err := p.Stat()
	if err != nil {
		return Usage{}, fmt.Errorf("reading process %d: %w", pid, err)
	}
	return Usage{At: time.Now().UnixNano(), CPU: time.Duration(s.CPUTime() * float64(time.Second)), RSS: int64(s.ResidentMemory())}, nil
}

// coresBusy is how long the processors that this process may use have been busy, with whatever, since the machine's start. It
// is counted in steps of 10 ms.
func processorBusyTime() (time.Duration, error) {
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return 0, fmt.Errorf("reading the processors: %w", err)
	}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("reading the processors: %w", err)
	}
	s, err := fs.Stat()
	if err != nil {
		return 0, fmt.Errorf("reading the processors: %w", err)
	}
	sum := 0.0
	for n, c := range s.CPU {
		if allowed.IsSet(int(n)) {
			sum += c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
		}
	}
	return time.Duration(sum * float64(time.Second)), nil
}
