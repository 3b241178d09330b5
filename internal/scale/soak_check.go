package scale

import (
	"net/http"
	"time"
)

// This file holds what the clients and the upstreams of a soak saw against the protocol's rules, request by request.

const (
	soakMaxLateness             = 500 * time.Millisecond // over its deadline an answer is lost
	soakMaxStartAfterAbort      = 100 * time.Millisecond // something may begin so long after its client has gone
	soakDelayTolerance          = 50 * time.Millisecond  // until an upstream of the soak has noted a request
	soakDrainGrace              = 500 * time.Millisecond // the settings' for drains
	soakMaxListDelay            = time.Second            // until discovery has told a change, where it was not away
	soakMaxListDelayAfterOutage = 6 * time.Second        // and until a change counts as told, where it was
)

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

func (s *soak) checkRequest(r *soakRequest, arrivals []*soakArrival) {
	executed := 0
	for _, arrival := range arrivals {
		if arrival.executed {
			executed++
		}
		if !r.abortedAt.IsZero() && s.onSchedule() && arrival.arrivedAt.Sub(r.abortedAt) > soakMaxStartAfterAbort+soakDelayTolerance {
			s.fault("begun for nobody", r.id, "at upstream %d, %v after its client had gone", arrival.upstream, arrival.arrivedAt.Sub(r.abortedAt))
		}
		s.checkDrain(r, arrival)
	}
	if r.class.nonIdempotent && executed > 1 {
		s.fault("duplicate", r.id, "an unsafe request ran %d times", executed)
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if r.class.nonIdempotent && refused && executed > 0 {
		s.fault("refusal", r.id, "%d for an unsafe request that ran", r.status)
	}
	if r.status == http.StatusOK && r.body != soakResponseBody(r.id) {
		s.fault("answer", r.id, "200 with %q", r.body)
	}
	if r.sentAt.IsZero() || !r.abortedAt.IsZero() || r.pipelined {
		return
	}
	if elapsed := r.endedAt.Sub(r.sentAt); s.onSchedule() && r.status != 0 && elapsed > soakRequestDeadline+soakMaxLateness {
		s.fault("late", r.id, "%d after %v", r.status, elapsed)
	}
	if r.status == 0 && s.wasAccepted(r, arrivals) {
		s.fault("lost", r.id, "no answer, the connection ended after %v", r.endedAt.Sub(r.sentAt))
	}
}

// checkDrain holds an arrival against the announcement of its upstream's drain.
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

// inTime tells whether the soak itself was in time. Where it was not the machine had no core for it, nor for the balancer,
// and rules that go by time are not judged.
func (s *soak) onSchedule() bool { return s.MaxDelay <= soakDelayTolerance }

// taken tells whether a request that got no answer was surely taken by a balancer: it reached an upstream, or came on a new
// connection while none was being closed unread. That happens in a drain, behind SIGTERM and amid a crowd, and on a kept
// connection at any time: a request that crosses it may be unread, and is the client's to send again.
func (s *soak) wasAccepted(r *soakRequest, arrivals []*soakArrival) bool {
	if len(arrivals) > 0 {
		return true
	}
	if !r.firstOnConn || s.idleCrowd {
		return false
	}
	for _, window := range s.closeWindows {
		if r.endedAt.After(window.from) && (window.to.IsZero() || r.connectedAt.Before(window.to)) && r.endedAt.Sub(r.sentAt) < soakRequestDeadline {
			return false
		}
	}
	return true
}
