package proxy

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// This file reads from a client's connection while its request is served.

// bodyCheckInterval is the time between two checks of the deadline of a request whose body is not complete.
const bodyCheckInterval = 25 * time.Millisecond

// clientWatcher reads from a client's connection while its request is served: first the rest of a streamed
// body, and then a peek that detects that the client has closed or has sent bytes after the request.
type clientWatcher struct {
	front    *frontend
	c        *client
	req      *request
	readDone chan error // holds the result of reading; nil: bytes after the request
	readErr  error      // that result, set by stop
}

// watchClient starts a watcher for a request.
func (f *frontend) watchClient(c *client, req *request) *clientWatcher {
	w := &clientWatcher{front: f, c: c, req: req, readDone: make(chan error, 1)}
	if rest := req.message.rest; rest != nil {
		rest.received.Store(int64(len(req.message.body)))
		rest.recordArrivals(time.Now(), c.timed.lastAwaited())
	}
	go func() {
		if req.message.rest != nil {
			if err := w.forwardBody(); err != nil {
				w.readDone <- err
				return
			}
		}
		c.timed.limited = false
		c.SetReadDeadline(time.Time{})
		c.readLimit.N = maxHeadBytes
		_, err := c.reader.Peek(1)
		w.readDone <- err
	}()
	return w
}

// awaitResponse waits for the loop's response. It returns an error if the client closes the connection or
// sends an invalid body or bytes after the request. While the body is not complete it watches the body's deadline.
func (w *clientWatcher) awaitResponse() (clientResponse, error) {
	readDone := w.readDone
	var bodyChecks <-chan time.Time
	if w.req.message.rest != nil {
		ticker := time.NewTicker(bodyCheckInterval)
		defer ticker.Stop()
		bodyChecks = ticker.C
	}
	for {
		select {
		case resp := <-w.req.responseCh:
			// An error in the client's body also ends the attempt. The response to that may arrive first, and
			// would tell the client that a retry is safe.
			if clientErr := w.req.message.rest.clientErr(); clientErr != nil && resp.status != http.StatusOK {
				return clientResponse{}, clientErr
			}
			return resp, nil
		case err := <-readDone:
			if err == nil {
				return clientResponse{}, errPipelined
			} else if !errors.Is(err, errBodyUnwanted) {
				return clientResponse{}, err
			}
			w.readDone <- err // for stop
			readDone = nil
		case <-bodyChecks:
			w.req.message.rest.pipe.readAhead()
			if w.bodyOverdue() {
				bodyChecks = nil
				w.front.post(bodyExpired{w.req})
			}
		}
	}
}

// bodyOverdue reports whether the client's deadline may be over while the upstream takes no more of the body, or
// takes it too slowly.
func (w *clientWatcher) bodyOverdue() bool {
	rest, now := w.req.message.rest, time.Now()
	if rest.awaiting.Load() { // the client has not written its last byte yet, and the system need not be asked
		return false
	}
	rest.recordArrivals(now, w.c.timed.lastAwaited())
	_, blocked := rest.pipe.blocked()
	return blocked && w.remainingBudget(now) <= 0
}

// remainingBudget returns how long the client of a streamed body still waits, if it wrote its last byte as early as
// possible. It had not written that byte when it was last awaited.
func (w *clientWatcher) remainingBudget(now time.Time) time.Duration {
	lastByteAt := w.req.message.rest.arrivals.earliestEnd()
	if awaitedAt := w.c.timed.lastAwaited(); awaitedAt.After(lastByteAt) {
		lastByteAt = awaitedAt
	}
	return w.front.capBudget(w.req.Budget - now.Sub(lastByteAt))
}

// stop ends reading, sets readErr and reports whether the whole request has been received.
func (w *clientWatcher) stop() bool {
	rest := w.req.message.rest
	if rest != nil {
		rest.cancel()
	}
	w.c.timed.stop()
	w.readErr = <-w.readDone
	w.c.timed.stopped.Store(false)
	return rest == nil || rest.complete
}

// reportDelivery posts responseDelivered unless the response could not be written or the client has closed its
// connection. It is called after stop.
func (w *clientWatcher) reportDelivery(writeErr error) {
	connected := w.readErr == nil || errors.Is(w.readErr, errBodyUnwanted) || isDeadlineError(w.readErr)
	if writeErr == nil && connected && w.req.unsafe() {
		w.front.post(responseDelivered{w.req})
	}
}

// forwardBody writes the rest of a body to the pipe that an attempt reads, and posts bodyReceived once the body
// is complete. Once an attempt reads, the client is read no faster.
func (w *clientWatcher) forwardBody() error {
	rest := w.req.message.rest
	for {
		rest.awaiting.Store(true)
		rest.body.await() // without a buffer: a client may send slowly
		rest.awaiting.Store(false)
		buffer, err := rest.pipe.acquire()
		if err != nil {
			return err
		}
		n, err := rest.body.Read(buffer.space()[buffer.length:])
		buffer.length += n
		if rest.received.Add(int64(n)) > maxBodyBytes {
			err = errRequestTooLarge
		}
		w.c.timed.slicer.checkTime()
		if err == nil || err == io.EOF {
			rest.pipe.write(buffer) // an error shows in the next call
		} else {
			rest.pipe.memory.freeBuffer(buffer)
			rest.fail(err)
			return err
		}
		if err == io.EOF {
			rest.complete = true
			w.front.post(bodyReceived{w.req, w.front.now(), w.remainingBudget(time.Now())})
			rest.pipe.close(io.EOF)
			return nil
		}
	}
}
