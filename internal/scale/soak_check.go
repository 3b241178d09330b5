package scale

import (
	"net/http"
	"time"
)

// This file checks the records of the soak test's clients and upstreams against the protocol's rules.

const (
	// soakDelayTolerance is the tolerated error of recorded times. Timing rules are not checked in runs with
	// longer scheduling delays.
	soakDelayTolerance          = 50 * time.Millisecond
	soakMaxLateness             = 500 * time.Millisecond // of a response after the deadline
	soakMaxStartAfterAbort      = 100 * time.Millisecond // from a client's abort until an upstream gets the request
	soakDrainGrace              = 500 * time.Millisecond // grace period of drains in the settings
	soakMaxListDelay            = time.Second            // until a change of the list is in force on the balancer
	soakMaxListDelayAfterOutage = 6 * time.Second        // the same if discovery was unavailable or moved
)

// check checks all requests.
func (s *soak) check() {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	s.arrivals.mu.Lock()
	defer s.arrivals.mu.Unlock()
	s.Requests = len(s.clients.requests)
	for _, r := range s.clients.requests {
		s.checkRequest(r, s.arrivals.byRequest[r.id])
	}
}

// checkRequest checks a request against its arrivals at upstreams.
func (s *soak) checkRequest(r *soakRequest, arrivals []*soakArrival) {
	executed := 0
	for _, arrival := range arrivals {
		if arrival.executed {
			executed++
		}
		if !r.abortedAt.IsZero() && s.onSchedule() &&
			arrival.arrivedAt.Sub(r.abortedAt) > soakMaxStartAfterAbort+soakDelayTolerance {
			s.fault("begun for nobody", r.id, "arrived at upstream %d, %v after its client had closed the connection",
				arrival.upstream, arrival.arrivedAt.Sub(r.abortedAt))
		}
		s.checkDrain(r, arrival)
	}
	if r.class.nonIdempotent && executed > 1 {
		s.fault("duplicate", r.id, "non-idempotent request executed %d times", executed)
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if r.class.nonIdempotent && refused && executed > 0 {
		s.fault("refusal", r.id, "status %d for a non-idempotent request that was executed", r.status)
	}
	if r.status == http.StatusOK && r.body != soakResponseBody(r.id) {
		s.fault("answer", r.id, "status 200 with body %q", r.body)
	}
	if r.sentAt.IsZero() || !r.abortedAt.IsZero() || r.pipelined {
		return
	}
	if elapsed := r.endedAt.Sub(r.sentAt); s.onSchedule() && r.status != 0 &&
		elapsed > soakRequestDeadline+soakMaxLateness {
		s.fault("late", r.id, "status %d after %v", r.status, elapsed)
	}
	if r.status == 0 && s.wasAccepted(r, arrivals) {
		s.fault("lost", r.id, "no response, connection closed after %v", r.endedAt.Sub(r.sentAt))
	}
}

// checkDrain checks that an arrival is not too long after the announcement of its upstream's drain.
func (s *soak) checkDrain(r *soakRequest, arrival *soakArrival) {
	announcedAt, announced := s.drainAnnouncedAt[arrival.upstream]
	if !announced || !s.onSchedule() {
		return
	}
	maxListDelay := soakMaxListDelay
	if s.discoveryOutage {
		maxListDelay = soakMaxListDelayAfterOutage
	}
	if delay := arrival.arrivedAt.Sub(announcedAt); delay > maxListDelay+soakDrainGrace {
		s.fault("drain", r.id, "sent to upstream %d %v after its drain was announced", arrival.upstream, delay)
	}
}

// onSchedule reports whether timing rules can be checked. If the soak test's own process had longer
// scheduling delays, the machine was overloaded and the balancer was probably delayed too.
func (s *soak) onSchedule() bool { return s.MaxDelay <= soakDelayTolerance }

// wasAccepted reports whether a request without a response was certainly accepted by a balancer: it reached
// an upstream, or it came on a new connection while the balancer did not close connections without reading
// them. A balancer may do so while it is out of service, after SIGTERM and in a crowd. It may
// close a reused connection at any time; a request that is sent meanwhile stays unread, and the client may
// send it again.
func (s *soak) wasAccepted(r *soakRequest, arrivals []*soakArrival) bool {
	if len(arrivals) > 0 {
		return true
	}
	if !r.firstOnConn || len(s.crowd) > 0 {
		return false
	}
	for _, window := range s.closeWindows {
		if r.endedAt.After(window.from) && (window.to.IsZero() || r.connectedAt.Before(window.to)) &&
			r.endedAt.Sub(r.sentAt) < soakRequestDeadline {
			return false
		}
	}
	return true
}
