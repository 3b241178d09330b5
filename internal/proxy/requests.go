package proxy

import (
	"net/http"
	"sync/atomic"
	"time"

	"garnettide"
)

// This file holds the open requests of the loop and the events of their attempts.

const (
	// lateResponseTimeout and maxLateResponses limit, in time and in number per upstream, the connections that
	// stay open for a response that no client waits for any more. Reading the late response allows the
	// connection to be reused, which saves opening another. Upstreams that hang never send one.
	lateResponseTimeout = 3 * time.Second
	maxLateResponses    = 4
)

// request is a client's request. The frontend fills it in and passes it to the loop. Times are by the loop's
// clock.
type request struct {
	garnettide.Request
	clientRequestID string // X-Request-Id
	message         message
	at              time.Duration       // arrival of the last byte, unless the body is still arriving
	responseCh      chan clientResponse // buffered; takes the only response
	// clientGone prevents attempts from being written, even before the loop handles clientLeft. The frontend and
	// attempts set it.
	clientGone  atomic.Bool
	deadline    time.Duration // when the client stops waiting
	bodyPending bool          // the body is not complete, and the deadline is not set
	attempts    []*attempt
	inFlight    int  // attempts whose outcome has not been reported
	closed      bool // the response has been sent, or the client is gone

	idClaimed         bool // the loop's table of IDs has the request's
	responseDelivered bool // the client has the response
}

// pendingOutcome is an outcome that is reported once the Balancer has returned.
type pendingOutcome struct {
	attempt *attempt
	status  garnettide.Status
}

// requestReceived passes a client's request to the Balancer.
type requestReceived struct{ *request }

func (e requestReceived) apply(l *loop) {
	r := e.request
	if !l.claimID(r) {
		r.closed = true
		r.message.release(&l.memory)
		r.responseCh <- clientResponse{status: http.StatusConflict}
		return
	}
	l.serial++
	r.ID = garnettide.RequestID(l.serial) // not the client's ID, which need not be unique
	now := l.now()
	if r.Streaming = r.message.rest != nil; r.Streaming {
		r.bodyPending = true
	} else {
		r.deadline = r.at + r.Budget
		r.Budget = max(0, r.deadline-now)
		l.addTimer(loopTimer{at: r.deadline, request: r.ID, attempt: allAttempts})
	}
	l.requests[r.ID] = r
	l.balancer.Request(now, r.Request)
}

// remaining returns how long the client still waits. That time starts only when the body is complete.
func (r *request) remaining(now time.Duration) time.Duration {
	if r.bodyPending {
		return r.Budget
	}
	return r.deadline - now
}

// bodyReceived reports that the body of a streaming request is complete, and how long its client still waits.
type bodyReceived struct {
	*request
	at     time.Duration
	budget time.Duration // from at on
}

func (e bodyReceived) apply(l *loop) {
	r := e.request
	if r.closed || !r.bodyPending {
		return
	}
	r.bodyPending, r.deadline = false, e.at+e.budget
	l.addTimer(loopTimer{at: r.deadline, request: r.ID, attempt: allAttempts})
	now := l.now()
	for _, a := range r.attempts {
		a.sentAt = now
	}
	l.balancer.BodyComplete(now, r.ID)
}

// bodyExpired reports that the client of a streaming request no longer waits although the body is not complete.
type bodyExpired struct{ *request }

func (e bodyExpired) apply(l *loop) {
	r := e.request
	if r.closed || !r.bodyPending {
		return
	}
	r.bodyPending, r.deadline = false, l.now()
	l.expireAttempts(r.ID, allAttempts)
}

// clientLeft reports that the client has closed its connection.
type clientLeft struct{ *request }

func (e clientLeft) apply(l *loop) {
	r := e.request
	l.traffic.count(clientClosed, r.clientRequestID)
	if !r.closed {
		l.closeRequest(r)
		l.balancer.ClientGone(l.now(), r.ID)
		return
	}
	select { // discards a response that the client has not taken
	case resp := <-r.responseCh:
		l.memory.free(resp.body)
		if resp.responseStream != nil {
			resp.responseStream.done <- errResponseUnwanted
		}
	default:
	}
}

// streamStarted reports that a response begins to be streamed to the client. From then on no deadline ends
// its attempt.
type streamStarted struct {
	*attempt
	*responseStream
	load garnettide.Load
}

func (e streamStarted) apply(l *loop) {
	a, r := e.attempt, e.attempt.req
	if a.reported || r.closed {
		e.responseStream.done <- errResponseUnwanted
		return
	}
	now := l.now()
	admitted := l.balancer.ResponseStarted(now, garnettide.Outcome{ID: r.ID, Upstream: a.upstream.id, Attempt: a.index,
		Latency: now - a.sentAt, Status: garnettide.OK, RequestDone: true, Load: e.load}, e.isLong())
	if !admitted {
		e.responseStream.done <- errResponseUnwanted
		return
	}
	a.streamStarted = true
	l.respond(r, clientResponse{status: http.StatusOK, contentType: e.contentType,
		responseStream: e.responseStream})
}

// uploadStarted reports that an attempt has begun to send the rest of its request's body, so that no other attempt can
// send the request: the part that is in memory is needed no more.
type uploadStarted struct{ *attempt }

func (e uploadStarted) apply(l *loop) {
	if m := &e.attempt.req.message; m.rest != nil {
		l.memory.free(m.body)
		m.body = nil
	}
}

// attemptFinished reports the end of an attempt on its connection.
type attemptFinished struct {
	*attempt
	attemptResult
}

func (e attemptFinished) apply(l *loop) {
	a := e.attempt
	a.message = nil // the request may go on without its body
	delete(a.upstream.inFlight, a)
	if a.awaitsLateResponse {
		a.upstream.lateResponses--
	}
	if c := e.attemptResult.conn; c != nil && a.aborted {
		// The response arrived just before the abort, which has closed the connection for writing.
		l.closeConns(c)
	} else {
		l.releaseConn(a.upstream, c)
	}
	l.reportOutcome(a, e.attemptResult)
	l.deleteUpstreamIfRemoved(a.upstream)
}

// reportOutcome reports the only outcome of an attempt to the Balancer, and responds to the client if the
// attempt succeeded.
func (l *loop) reportOutcome(a *attempt, result attemptResult) {
	if a.reported {
		l.memory.free(result.body)
		return
	}
	a.reported = true
	req, now := a.req, l.now()
	if result.status == garnettide.OK && !req.closed {
		l.respond(req, clientResponse{status: http.StatusOK, body: result.body, contentType: result.contentType})
	} else {
		l.memory.free(result.body)
	}
	req.inFlight--
	a.neverRan = result.status.NeverRan()
	closed := req.closed
	l.deleteRequestIfDone(req)
	l.balancer.Outcome(now, garnettide.Outcome{ID: req.ID, Upstream: a.upstream.id, Attempt: a.index,
		Latency: now - a.sentAt, Status: result.status, RequestDone: closed,
		BodyConsumed: req.message.rest != nil && req.message.rest.started.Load(), Load: result.load})
}

// reportPending reports the outcomes that were collected while the Balancer was running.
func (l *loop) reportPending() {
	for len(l.pendingOutcomes) > 0 {
		o := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.endAttempt(o.attempt, o.status)
	}
	l.pendingOutcomes = nil
}

// endAttempt ends an attempt with a status, or with NotSent if this call drops it. If the request is closed or
// past its deadline, the connection may stay open for a late response.
func (l *loop) endAttempt(a *attempt, status garnettide.Status) {
	if a.reported {
		return
	}
	if a.drop() {
		status = garnettide.NotSent
	} else if a.stage.Load() >= attemptClaimed {
		if a.uploadDone == nil && (a.req.closed || l.now() >= a.req.deadline) &&
			a.upstream.lateResponses < maxLateResponses && l.usable(a.upstream) {
			a.awaitsLateResponse = true
			a.upstream.lateResponses++
			a.setReadDeadline(time.Now().Add(lateResponseTimeout))
		} else { // before the outcome is reported: a retry must not be written beside this attempt
			a.aborted = true
			a.abort()
		}
	}
	l.reportOutcome(a, attemptResult{status: status})
}

// expireAttempt ends an attempt that has timed out, unless its response is being streamed. An upstream that has
// not taken the whole request cannot have executed it.
func (l *loop) expireAttempt(a *attempt) {
	switch {
	case a.reported || a.streamStarted:
	case a.abandonUpload():
		l.endAttempt(a, garnettide.ConnectFailed)
	default:
		l.endAttempt(a, garnettide.Timeout)
	}
}

// respond sends the only response to a request, if it is still open.
func (l *loop) respond(r *request, resp clientResponse) {
	if !r.closed {
		l.closeRequest(r)
		r.responseCh <- resp
	}
}

// closeRequest marks a request as done. Attempts that are still waiting for a connection are dropped, so that
// nothing is written after the final response.
func (l *loop) closeRequest(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		}
	}
	l.deleteRequestIfDone(r)
}

// deleteRequestIfDone deletes a request that is closed and has no attempts in flight.
func (l *loop) deleteRequestIfDone(r *request) {
	if r.closed && r.inFlight == 0 {
		if _, open := l.requests[r.ID]; open {
			r.message.release(&l.memory)
			l.releaseRequestID(r)
		}
		delete(l.requests, r.ID)
	}
}
