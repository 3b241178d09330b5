package scale

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"time"
)

// This file implements the ordinary clients of the crowd test, which send small requests on kept and on new connections.

const (
	ordinaryClients      = 24
	ordinaryPause        = 200 * time.Millisecond // mean time between two requests of a client
	ordinaryMaxBodyBytes = 512
	// maxCrossingTime is how long after a request on an idle connection the client may see a close that the balancer
	// began before it read the request.
	maxCrossingTime = 100 * time.Millisecond
	// maxWriteDelay is how long after dialling a request counts as the first bytes of a new connection. In a crowd the
	// balancer may close a connection that sends nothing for 50 ms.
	maxWriteDelay = 25 * time.Millisecond
)

// ordinaryRequest is the record of a small request.
type ordinaryRequest struct {
	id     string
	onIdle bool // the connection had been idle
	status int  // 0: there was no response
	took   time.Duration
	err    error
}

// sendOrdinaryRequests sends one request after another until ctx ends. It changes the connection after every second
// request on average.
func (r *crowdRun) sendOrdinaryRequests(ctx context.Context, rng *rand.Rand) {
	pause := func() { sleepUntilDone(ctx, time.Duration(rng.ExpFloat64()*float64(ordinaryPause))) }
	for ctx.Err() == nil {
		dialledAt := time.Now()
		c, err := net.DialTimeout("tcp", r.listen, soakClientTimeout)
		if err != nil {
			pause()
			continue
		}
		for reader := bufio.NewReader(c); r.sendOrdinaryRequest(c, reader, rng, dialledAt) && rng.IntN(2) == 0; {
			dialledAt = time.Time{}
			pause()
		}
		c.Close()
		pause()
	}
}

// sendOrdinaryRequest sends a request, reads and records its response, and reports whether the connection can be used
// again. A request that cannot be written is not recorded. dialledAt is zero if the connection has been used.
func (r *crowdRun) sendOrdinaryRequest(c net.Conn, reader *bufio.Reader, rng *rand.Rand,
	dialledAt time.Time) (reusable bool) {
	class := soakRequestClasses[rng.IntN(len(soakRequestClasses))]
	request := &ordinaryRequest{id: r.newRequestID()}
	text := requestHead(class, request.id, "")
	if class.method == http.MethodPost {
		body := strings.Repeat("b", rng.IntN(ordinaryMaxBodyBytes))
		text = requestHead(class, request.id, fmt.Sprintf("Content-Length: %d\r\n", len(body))) + body
	}
	c.SetDeadline(time.Now().Add(soakClientTimeout))
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	sentAt := time.Now()
	request.onIdle = sentAt.Sub(dialledAt) > maxWriteDelay
	reusable = request.readResponse(reader)
	request.took = time.Since(sentAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, request)
	return reusable
}

// readResponse reads the response and reports whether the connection can be used again.
func (o *ordinaryRequest) readResponse(reader *bufio.Reader) (reusable bool) {
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		o.err = err
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		o.err = err
		return false
	}
	o.status = resp.StatusCode
	if o.status == http.StatusOK && string(body) != soakResponseBody(o.id) {
		o.err = fmt.Errorf("unexpected body %q", body)
	}
	return !resp.Close
}

// checkOrdinary counts the ordinary requests and records a fault for each that was not answered as the protocol requires,
// and one if too few were served. Allowances are made for delays of the test's own process.
func (r *crowdRun) checkOrdinary() {
	for _, o := range r.requests {
		r.result.Requests++
		r.result.Statuses[o.status]++
		r.result.SlowestReply = max(r.result.SlowestReply, o.took)
		if rule := o.brokenRule(r.result.MaxDelay); rule != "" {
			r.fault(rule, o.id, "status %d after %v, on an idle connection: %v, error: %v", o.status, o.took, o.onIdle, o.err)
		}
	}
	served := r.result.Statuses[http.StatusOK]
	if r.result.onSchedule() && float64(served) < crowdMinServedShare*float64(r.result.Requests) {
		r.fault("starved", "", "%d of %d ordinary requests served", served, r.result.Requests)
	}
}

// onSchedule reports whether the share of requests that were served can be checked. With longer scheduling delays the
// upstreams were delayed too.
func (r *CrowdResult) onSchedule() bool { return r.MaxDelay <= soakDelayTolerance }

// brokenRule returns the rule that the balancer broke for the request, or an empty string. A reset shows that the
// balancer closed the connection without reading the request, which it may do in a crowd. An end without a reset shows
// that it had read all that had arrived. maxDelay is the longest delay of the test's own process.
func (o *ordinaryRequest) brokenRule(maxDelay time.Duration) string {
	closed := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF)
	switch {
	case o.status != 0 && o.err != nil:
		return "answer"
	case o.took > soakRequestDeadline+soakMaxLateness+maxDelay || errors.Is(o.err, os.ErrDeadlineExceeded):
		return "late"
	case closed && (!o.onIdle || o.took > maxCrossingTime+maxDelay):
		return "lost"
	}
	return ""
}
