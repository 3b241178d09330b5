package proxy

import (
	"sync/atomic"
	"time"
)

// timeReference is the time from which atomicTime counts.
var timeReference = time.Now()

// longAgo is a deadline that is over.
var longAgo = time.Unix(0, 1)

// atomicTime is a time that any goroutine may load and store. It keeps the reading of the monotonic clock: a span between
// two such times is right also if the system's clock was set in between. The zero value is no time.
type atomicTime struct{ sinceReference atomic.Int64 }

// store sets the time.
func (t *atomicTime) store(at time.Time) { t.sinceReference.Store(int64(at.Sub(timeReference))) }

// load returns the time, and whether one has been stored.
func (t *atomicTime) load() (at time.Time, stored bool) {
	since := t.sinceReference.Load()
	return timeReference.Add(time.Duration(since)), since != 0
}
