package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// This file counts, by reason, the requests and connections that did not end with an upstream's response, and logs the
// counts.

// trafficLogInterval is the time between two lines.
const trafficLogInterval = 5 * time.Second

// trafficReason is a reason why a request or a connection ended, or was delayed.
type trafficReason uint8

const (
	requestShed          trafficReason = iota // refused by the Balancer
	requestFailed                             // failed by the Balancer
	requestInvalid                            // refused as it was not a valid request
	requestWithoutMemory                      // refused for want of memory
	clientClosed                              // the client closed before it had its response
	clientEvicted                             // its connection was closed between requests, or before one was complete
	attemptRetried                            // a further attempt was begun
	attemptNotConnected                       // no connection to an upstream was available
	acceptFailed                              // a client's connection could not be accepted
	trafficReasons                            // number of reasons
)

// trafficReasonTexts describes the reasons in lines of the log.
var trafficReasonTexts = [trafficReasons]string{
	requestShed:          "requests refused by the balancer",
	requestFailed:        "requests failed",
	requestInvalid:       "invalid requests",
	requestWithoutMemory: "requests refused for want of memory",
	clientClosed:         "clients gone",
	clientEvicted:        "client connections evicted",
	attemptRetried:       "further attempts",
	attemptNotConnected:  "attempts without a connection",
	acceptFailed:         "failed accepts",
}

// trafficLog counts by reason since the last line. Any goroutine may count.
type trafficLog struct {
	counts   [trafficReasons]atomic.Int64
	latest   [trafficReasons]atomic.Pointer[string] // X-Request-Id of the latest request; nil: unknown
	nextLine time.Duration                          // by the loop's clock
}

// count counts one request or connection. id is its X-Request-Id, or empty.
func (t *trafficLog) count(reason trafficReason, id string) {
	t.counts[reason].Add(1)
	if id != "" {
		t.latest[reason].Store(&id)
	}
}

// line returns the line to be logged at a time of the loop's clock, or an empty string if there is no news or the last
// line is too recent.
func (t *trafficLog) line(now time.Duration) string {
	if now < t.nextLine {
		return ""
	}
	var parts []string
	for reason := range trafficReasons {
		n := t.counts[reason].Swap(0)
		if n == 0 {
			continue
		}
		part := fmt.Sprintf("%d %s", n, trafficReasonTexts[reason])
		if id := t.latest[reason].Swap(nil); id != nil {
			part += fmt.Sprintf(" (last: %s)", *id)
		}
		parts = append(parts, part)
	}
	if len(parts) == 0 {
		return ""
	}
	t.nextLine = now + trafficLogInterval
	return "since the last count: " + strings.Join(parts, ", ")
}
