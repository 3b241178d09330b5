package proxy

import (
	"runtime"
	"time"
)

const (
	// workSlice is how long a goroutine works without a wait before it pauses for the same time. The process has one
	// core, so the loop may have to wait for the end of a slice; 3.6 ms is all that may be added to a request. Without a
	// pause a goroutine that never waits runs for 10 ms at a time, and the network is polled as rarely.
	workSlice         = 250 * time.Microsecond
	stepsPerTimeCheck = 16 // work steps between two checks of the time
)

// workSlicer divides long work into slices and pauses between them, so that one configuration or one client does not
// keep the process from all others. A nil workSlicer never pauses.
type workSlicer struct {
	steps      int // since the time was last checked
	sliceStart time.Time
	pause      func(worked time.Duration)
}

// step is called after each small step of work, of a few microseconds.
func (s *workSlicer) step() {
	if s == nil {
		return
	}
	if s.steps++; s.steps >= stepsPerTimeCheck {
		s.checkTime()
	}
}

// checkTime pauses for as long as the slice has lasted, once it has lasted for workSlice.
func (s *workSlicer) checkTime() {
	if s == nil {
		return
	}
	s.steps = 0
	if worked := time.Since(s.sliceStart); worked >= workSlice {
		s.pause(min(worked, 4*workSlice)) // a longer slice includes time spent waiting
		s.sliceStart = time.Now()
	}
}

// pauseForOthers sleeps, and then lets all goroutines run that the network has made ready. Those that wake from a sleep
// would go before them, and keep them waiting where many connections are busy.
func pauseForOthers(worked time.Duration) {
	time.Sleep(worked)
	runtime.Gosched()
}
