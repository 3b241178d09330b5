package proxy

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"time"

	"garnettide"
)

// This file implements garnettide.Host: the actions of the Balancer.

// loopLogQueueSize is how many log lines may wait to be written. Further ones are dropped.
const loopLogQueueSize = 256

var _ garnettide.Host = (*loop)(nil)

// Send starts an attempt. The attempt is not written, and its outcome is NotSent, if the request is closed or
// out of time, or if the upstream is not usable or no connection is available.
func (l *loop) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, window time.Duration) {
	r, u := l.requests[id], l.upstreams[up]
	if r == nil || u == nil { // the Balancer knows only requests and upstreams of the loop
		l.Log(fmt.Sprintf("send with unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	copied := r.message
	a := &attempt{req: r, index: len(r.attempts), upstream: u, sentAt: now, address: u.address, message: &copied}
	for _, other := range r.attempts {
		if window > 0 && !other.neverRan { // connections may be opened late and in any order
			a.writeBefore(other.sentAt + window)
			other.writeBefore(now + window)
		}
	}
	if len(r.attempts) > 0 {
		l.traffic.count(attemptRetried, r.clientRequestID)
	}
	r.attempts, r.inFlight = append(r.attempts, a), r.inFlight+1
	if r.message.rest != nil {
		a.uploadDone = make(chan struct{})
	}
	responseTimeout := r.remaining(now)
	if timeout > 0 && timeout < responseTimeout {
		responseTimeout = timeout
		l.addTimer(loopTimer{at: now + timeout, request: r.ID, attempt: a.index})
	}
	if a.responseTimeout = responseTimeout; !r.bodyPending {
		a.responseDeadline = now + responseTimeout
	}
	if r.closed || responseTimeout <= 0 || !l.usable(u) {
		a.drop()
		a.message = nil
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		return
	}
	var available bool
	if a.conn, available = l.acquireConn(u, now); !available { // not the upstream's fault
		l.traffic.count(attemptNotConnected, r.clientRequestID)
		a.drop()
		a.message = nil
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		return
	}
	u.inFlight[a] = struct{}{}
	go func(t upstreamTransport) { // a copy: a reload may change the loop's
		l.post(attemptFinished{a, t.run(a)})
	}(l.transport)
}

// Refuse responds with 503: the request was not served and may be retried.
func (l *loop) Refuse(id garnettide.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.RetryAfter {
			retryAfter = 0
		}
		l.traffic.count(requestShed, r.clientRequestID)
		l.respond(r, clientResponse{status: http.StatusServiceUnavailable,
			retryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter)})
	}
}

// Fail responds with 502, or with 504 after the deadline: the request may have been executed.
func (l *loop) Fail(id garnettide.RequestID) {
	if r := l.requests[id]; r != nil {
		l.traffic.count(requestFailed, r.clientRequestID)
		status := http.StatusBadGateway
		if !r.bodyPending && l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.respond(r, clientResponse{status: status})
	}
}

// Cancel ends an attempt, unless its response is being streamed.
func (l *loop) Cancel(id garnettide.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].streamStarted {
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{r.attempts[n], garnettide.Cancelled})
	}
}

// SetTimer schedules a call of Balancer.Timer.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.addTimer(loopTimer{at: l.now() + max(after, 0), token: token})
}

// Log queues a line for writeLogs. It drops the line if the queue is full.
func (l *loop) Log(text string) {
	select {
	case l.logLines <- text:
	default:
	}
}

// writeLogs writes the queued log lines until the loop's context ends.
func (l *loop) writeLogs() {
	for {
		select {
		case text := <-l.logLines:
			slog.Info(text)
		case <-l.ctx.Done():
			return
		}
	}
}

// Watch starts or stops watching discovery.
func (l *loop) Watch(on bool) {
	if l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
	if on {
		ctx, cancel := context.WithCancel(l.discoveryClient.ctx)
		l.stopWatch = cancel
		go l.discoveryClient.watch(ctx)
	}
}

// Fetch requests the whole list from discovery.
func (l *loop) Fetch() { go l.discoveryClient.fetch() }

// Probe requests an upstream's load report, or only its health if reports are disabled. Nothing is reported to
// the Balancer if the upstream is not usable or no connection is available.
func (l *loop) Probe(up garnettide.UpstreamID) {
	u := l.upstreams[up]
	if u == nil || !l.usable(u) {
		return
	}
	p := &probe{upstream: u, sentAt: l.now(), address: u.address, load: l.settings.Reports != garnettide.ReportNone}
	var available bool
	if p.conn, available = l.acquireConn(u, p.sentAt); !available {
		return
	}
	go func(t upstreamTransport) {
		l.post(probeFinished{p, t.probe(p)})
	}(l.transport)
}

// probeFinished reports the end of a probe.
type probeFinished struct {
	*probe
	attemptResult
}

func (e probeFinished) apply(l *loop) {
	l.releaseConn(e.upstream, e.attemptResult.conn)
	now := l.now()
	l.balancer.Probed(now, garnettide.ProbeResult{Upstream: e.upstream.id, Latency: now - e.sentAt,
		Status: e.status, Load: e.attemptResult.load})
}
