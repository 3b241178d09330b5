package proxy

import (
	"errors"
	"net/http"
	"time"
)

// This file serves the requests of one client's connection after another.

// serveClient serves requests on a connection, one at a time, until either side closes it.
func (f *frontend) serveClient(c *client) {
	wait := firstByteTimeout
	if f.closeAfterResponse() { // a connection without a request must not delay the shutdown or drain
		wait = acceptGracePeriod
	}
	c.SetReadDeadline(time.Now().Add(wait))
	for first := true; ; first = false {
		c.readLimit.N = maxHeadBytes
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		f.setStage(c, clientReading)
		c.timed.limited, c.timed.readingBody, c.timed.remaining = true, false, requestHeadTimeout
		if first { // the first request's time counts from the accept
			c.timed.remaining -= time.Since(c.acceptedAt)
		}
		c.timed.awaitedAt.store(time.Now())
		req, clientCloses, err := f.readRequest(c)
		if err != nil {
			c.timed.limited = false
			f.refuse(c, err)
			return
		}
		f.setStage(c, clientServing)
		if !f.serveRequest(c, req, clientCloses) {
			return
		}
		c.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		if !f.setIdle(c) {
			return
		}
	}
}

// serveRequest serves one request; req is nil for a health check of this balancer. clientCloses reports that the
// client asks to close the connection. It reports whether the connection can serve another request.
func (f *frontend) serveRequest(c *client, req *request, clientCloses bool) bool {
	if req == nil {
		return f.serveHealthCheck(c, clientCloses)
	}
	if req.message.rest == nil && !f.checkStillThere(c, req) {
		return false
	}
	req.Budget = f.capBudget(req.Budget)
	w := f.watchClient(c, req)
	f.post(requestReceived{req})
	resp, err := w.awaitResponse()
	if err != nil { // the client has closed, or its bytes are not a valid request
		f.abandonRequest(req)
		f.refuse(c, err)
		return false
	}
	closing := clientCloses || f.closeAfterResponse() || resp.status == http.StatusConflict
	if resp.responseStream != nil {
		return f.serveStream(c, resp, closing, w)
	}
	return f.serveBuffered(c, resp, closing, w)
}

// serveHealthCheck answers a health check of this balancer, and reports whether the connection can serve a request.
func (f *frontend) serveHealthCheck(c *client, clientCloses bool) bool {
	c.timed.limited = false
	resp := f.healthResponse()
	closing := clientCloses || f.closeAfterResponse()
	if c.writeResponse(resp, closing) != nil || closing {
		return false
	}
	c.timed.slicer.checkTime() // further ones may have been read already
	return true
}

// checkStillThere reports whether the client of a request that is wholly read still waits for the response. It may have
// closed, or sent more, while the request waited to be read.
func (f *frontend) checkStillThere(c *client, req *request) bool {
	c.SetReadDeadline(time.Time{})
	err := checkNoInput(c.timed.Conn)
	if err == nil {
		return true
	}
	req.message.release(f.memory)
	if errors.Is(err, errUnexpectedBytes) {
		f.refuse(c, errPipelined)
	}
	return false
}

// abandonRequest tells the loop and the request's attempts that its client waits no longer.
func (f *frontend) abandonRequest(req *request) {
	req.clientGone.Store(true)
	if rest := req.message.rest; rest != nil {
		rest.cancel()
	}
	f.post(clientLeft{req})
}

// serveStream writes a streamed response, and reports whether the connection can serve another request.
func (f *frontend) serveStream(c *client, resp clientResponse, closing bool, w *clientWatcher) bool {
	err := c.forwardResponse(resp.responseStream, resp.contentType, closing, w)
	// Bytes that the watcher has read are the client's next request: the response may be with it already.
	complete := w.stop()
	w.reportDelivery(err)
	if err == nil && !complete {
		f.closeAfterEarlyResponse(c)
	}
	return complete && err == nil && !closing
}

// serveBuffered writes a buffered response, and reports whether the connection can serve another request.
func (f *frontend) serveBuffered(c *client, resp clientResponse, closing bool, w *clientWatcher) bool {
	defer f.memory.free(resp.body)
	complete := w.stop()
	if complete && w.readErr == nil {
		f.refuse(c, errPipelined)
		return false
	}
	w.reportDelivery(nil) // before the client can send the request again on another connection
	if c.writeResponse(resp, closing || !complete) != nil {
		f.post(responseLost{w.req})
		return false
	}
	if !complete {
		f.closeAfterEarlyResponse(c)
	}
	return complete && !closing
}

// closeAfterEarlyResponse closes a connection whose client has its response and may still be sending its request. From
// here on c may be evicted.
func (f *frontend) closeAfterEarlyResponse(c *client) {
	f.setClosing(c)
	c.lingeringClose(earlyResponseLingerTimeout, maxBodyBytes)
}

// capBudget limits a request's budget to the time left before killAt when stopping.
func (f *frontend) capBudget(budget time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return min(budget, max(0, time.Until(f.killAt)))
	}
	return budget
}

// healthResponse returns the response to a health check of this balancer. If it is in service, the response
// waits until the loop has handled an event posted for it.
func (f *frontend) healthResponse() clientResponse {
	if f.unhealthy() {
		return clientResponse{status: http.StatusServiceUnavailable, body: []byte("out of service\n"),
			contentType: "text/plain"}
	}
	reached := make(loopLivenessCheck)
	f.post(reached)
	<-reached
	return clientResponse{status: http.StatusOK, body: []byte("ok\n"), contentType: "text/plain"}
}

// loopLivenessCheck is an event that the loop closes when it handles it, which shows that the loop is
// running.
type loopLivenessCheck chan struct{}

func (t loopLivenessCheck) apply(*loop) { close(t) }
