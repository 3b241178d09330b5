package scale

import (
	"net/http"
	"time"
)

// This file holds what the clients and the upstreams of a soak saw against the protocol's rules, request by request.

const (
	soakLateMost  = 500 * time.Millisecond // over its deadline an answer is lost
	soakGoneMost  = 100 * time.Millisecond // something may begin so long after its client has gone
	soakSeen      = 50 * time.Millisecond  // until an upstream of the soak has noted a request
	soakGrace     = 500 * time.Millisecond // the settings' for drains
	soakToldMost  = time.Second            // until discovery has told a change, where it was not away
	soakToldAfter = 6 * time.Second        // and until a change counts as told, where it was
)

func (s *soak) check() {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	s.Requests = len(s.clients.all)
	for _, r := range s.clients.all {
		s.checkRequest(r, s.ledger.runs[r.id])
	}
}

func (s *soak) checkRequest(r *soakRequest, runs []*soakRun) {
	ran := 0
	for _, run := range runs {
		if run.ran {
			ran++
		}
		if !r.leftAt.IsZero() && s.inTime() && run.beganAt.Sub(r.leftAt) > soakGoneMost+soakSeen {
			s.fault("begun for nobody", r.id, "at upstream %d, %v after its client had gone", run.upstream, run.beganAt.Sub(r.leftAt))
		}
		s.checkDrain(r, run)
	}
	if r.kind.unsafe && ran > 1 {
		s.fault("duplicate", r.id, "an unsafe request ran %d times", ran)
	}
	refused := r.status == http.StatusServiceUnavailable || r.status == http.StatusTooManyRequests
	if r.kind.unsafe && refused && ran > 0 {
		s.fault("refusal", r.id, "%d for an unsafe request that ran", r.status)
	}
	if r.status == http.StatusOK && r.body != soakAnswer(r.id) {
		s.fault("answer", r.id, "200 with %q", r.body)
	}
	if r.sentAt.IsZero() || !r.leftAt.IsZero() || r.improper {
		return
	}
	if took := r.endedAt.Sub(r.sentAt); s.inTime() && r.status != 0 && took > soakDeadline+soakLateMost {
		s.fault("late", r.id, "%d after %v", r.status, took)
	}
	if r.status == 0 && s.taken(r, runs) {
		s.fault("lost", r.id, "no answer, the connection ended after %v", r.endedAt.Sub(r.sentAt))
	}
}

// checkDrain holds an arrival against the announcement of its upstream's drain.
func (s *soak) checkDrain(r *soakRequest, run *soakRun) {
	announcedAt, drains := s.announced[run.upstream]
	if !drains || !s.inTime() {
		return
	}
	most := soakToldMost
	if s.outage {
		most = soakToldAfter
	}
	if late := run.beganAt.Sub(announcedAt); late > most+soakGrace {
		s.fault("drain", r.id, "sent to upstream %d %v after its drain was announced", run.upstream, late)
	}
}

// inTime tells whether the soak itself was in time. Where it was not the machine had no core for it, nor for the balancer,
// and rules that go by time are not judged.
func (s *soak) inTime() bool { return s.Late <= soakSeen }

// taken tells whether a request that got no answer was surely taken by a balancer: it reached an upstream, or came on a new
// connection while none was being closed unread. That happens in a drain, behind SIGTERM and amid a crowd, and on a kept
// connection at any time: a request that crosses it may be unread, and is the client's to send again.
func (s *soak) taken(r *soakRequest, runs []*soakRun) bool {
	if len(runs) > 0 {
		return true
	}
	if !r.first || s.crowd {
		return false
	}
	for _, c := range s.closing {
		if r.endedAt.After(c.from) && (c.to.IsZero() || r.connectedAt.Before(c.to)) && r.endedAt.Sub(r.sentAt) < soakDeadline {
			return false
		}
	}
	return true
}
