package scale

import (
	"fmt"
	"runtime"
	"syscall"
	"time"

	"github.com/prometheus/procfs"
	"golang.org/x/sys/unix"
)

// This file reads the processor time and the memory of processes: of the calling process with getrusage, of
// others with procfs.

// Usage is the resource use of a process at one moment.
type Usage struct {
	At   int64         `json:"at_ns"`  // Unix time of the reading, ns
	CPU  time.Duration `json:"cpu_ns"` // user and system time since its start
	RSS  int64         `json:"rss_bytes"`
	Heap int64         `json:"heap_bytes"` // live heap after a garbage collection; 0 if not read
}

// ownUsage returns the use of the calling process. If withHeap is set, it collects garbage to read the live
// heap, after it has read the processor time, which does not include the collection.
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

// processUsage returns the use of a process by its PID. The processor time has a resolution of 10 ms.
func processUsage(pid int) (Usage, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return Usage{}, fmt.Errorf("reading the usage of process %d: %w", pid, err)
	}
	s, err := p.Stat()
	if err != nil {
		return Usage{}, fmt.Errorf("reading the usage of process %d: %w", pid, err)
	}
	return Usage{At: time.Now().UnixNano(), CPU: time.Duration(s.CPUTime() * float64(time.Second)),
		RSS: int64(s.ResidentMemory())}, nil
}

// residentMemory is the resident memory of a process, in bytes.
type residentMemory struct {
	private int64 // of the process alone, or shared without a file
	file    int64 // pages of files, such as the program
}

// processMemory returns the resident memory of a process by its PID.
func processMemory(pid int) (residentMemory, error) {
	p, err := procfs.NewProc(pid)
	if err != nil {
		return residentMemory{}, fmt.Errorf("reading the memory of process %d: %w", pid, err)
	}
	s, err := p.NewStatus()
	if err != nil {
		return residentMemory{}, fmt.Errorf("reading the memory of process %d: %w", pid, err)
	}
	return residentMemory{private: int64(s.RssAnon + s.RssShmem), file: int64(s.RssFile)}, nil
}

// processorBusyTime returns the total time for which the processors that this process may run on have been
// busy with any work since the system was started. It has a resolution of 10 ms.
func processorBusyTime() (time.Duration, error) {
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return 0, fmt.Errorf("reading the processor times: %w", err)
	}
	fs, err := procfs.NewDefaultFS()
	if err != nil {
		return 0, fmt.Errorf("reading the processor times: %w", err)
	}
	s, err := fs.Stat()
	if err != nil {
		return 0, fmt.Errorf("reading the processor times: %w", err)
	}
	sum := 0.0
	for n, c := range s.CPU {
		if allowed.IsSet(int(n)) {
			sum += c.User + c.Nice + c.System + c.IRQ + c.SoftIRQ + c.Steal
		}
	}
	return time.Duration(sum * float64(time.Second)), nil
}
