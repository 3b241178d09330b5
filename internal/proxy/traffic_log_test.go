package proxy

import (
	"testing"
	"time"
)

// TestTrafficIsLoggedByReason guards against refusals and closes that leave no trace, and against a line for each.
func TestTrafficIsLoggedByReason(t *testing.T) {
	var log trafficLog
	want(t, "line without news", log.line(time.Second), "")
	log.count(requestShed, "0a")
	log.count(requestShed, "0b")
	log.count(clientEvicted, "")
	want(t, "first line", log.line(2*time.Second),
		"since the last count: 2 requests refused by the balancer (last: 0b), 1 client connections evicted")
	log.count(requestFailed, "0c")
	want(t, "line within the interval", log.line(2*time.Second+trafficLogInterval-1), "")
	want(t, "line after the interval", log.line(2*time.Second+trafficLogInterval), "since the last count: 1 requests failed (last: 0c)")
}
