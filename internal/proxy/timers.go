package proxy

import (
	"container/heap"
	"time"

	"garnettide"
)

// This file holds the timers of the loop.

// idleSweepInterval is the time between two checks for expired idle connections, and for news of memory.
const idleSweepInterval = time.Second

// memoryCheckInterval is the time between two choices of the collector's target.
const memoryCheckInterval = 100 * time.Millisecond

// loopTimer is the timeout of an attempt, the deadline of a request or a timer of the Balancer. It names its request by
// ID, so that it keeps no ended request in memory.
type loopTimer struct {
	at      time.Duration
	serial  uint64               // orders timers of the same time
	token   uint64               // passed to Balancer.Timer
	request garnettide.RequestID // 0: a timer of the Balancer
	attempt int                  // index of the request's attempt, or allAttempts for the request's deadline
}

// allAttempts in a loopTimer stands for all attempts of a request.
const allAttempts = -1

// timers is a heap of timers, the earliest first.
type timers []loopTimer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].serial < t[j].serial)
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(loopTimer)) }

func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = loopTimer{}
	*t = old[:len(old)-1]
	return x
}

// fireTimers handles the expired timers, each after the lists that are already queued, since a timer may
// send a request.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now() {
		l.applyQueuedListUpdates()
		if t := heap.Pop(&l.timers).(loopTimer); t.request == 0 {
			l.balancer.Timer(l.now(), t.token)
		} else {
			l.expireAttempts(t.request, t.attempt)
		}
		l.reportPending()
		l.updateAdmission()
	}
	now := l.now()
	if now >= l.nextMemoryCheck {
		l.nextMemoryCheck = now + memoryCheckInterval
		l.setCollectorTarget(readMemoryUsage())
	}
	if now >= l.nextIdleSweep {
		l.nextIdleSweep = now + idleSweepInterval
		l.closeExpiredIdle(now)
		l.logMemory(now, readMemoryUsage())
		if line := l.traffic.line(now); line != "" {
			l.Log(line)
		}
	}
}

// addTimer adds a timer and assigns its serial.
func (l *loop) addTimer(t loopTimer) {
	l.serial++
	t.serial = l.serial
	heap.Push(&l.timers, t)
}

// expireAttempts ends one attempt or all attempts of a request that have timed out. A request that is not open has none
// whose outcome is not reported.
func (l *loop) expireAttempts(id garnettide.RequestID, index int) {
	r := l.requests[id]
	switch {
	case r == nil:
	case index == allAttempts:
		for _, a := range r.attempts {
			l.expireAttempt(a)
		}
	default:
		l.expireAttempt(r.attempts[index])
	}
}
