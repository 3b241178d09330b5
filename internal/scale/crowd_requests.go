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
	// maxCrossingTime is how long after a request on a kept connection the client may see a close that the balancer
	// began before it read the request.
	maxCrossingTime = 100 * time.Millisecond
)

// ordinaryRequest is the record of a small request.
type ordinaryRequest struct {
	id          string
	firstOnConn bool // first request on its connection
	status      int  // 0: there was no response
	took        time.Duration
	err         error
}

// sendOrdinaryRequests sends one request after another until ctx ends. It changes the connection after every second
// request on average.
func (r *crowdRun) sendOrdinaryRequests(ctx context.Context, rng *rand.Rand) {
	pause := func() { sleepUntilDone(ctx, time.Duration(rng.ExpFloat64()*float64(ordinaryPause))) }
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", r.listen, soakClientTimeout)
		if err != nil {
			pause()
			continue
		}
		reader, reusable := bufio.NewReader(c), true
		for first := true; reusable && ctx.Err() == nil; first = false {
			reusable = r.sendOrdinaryRequest(c, reader, rng, first) && rng.IntN(2) == 0
			pause()
		}
		c.Close()
	}
}

// sendOrdinaryRequest sends a request, reads and records its response, and reports whether the connection can be used
// again. A request that cannot be written is not recorded.
func (r *crowdRun) sendOrdinaryRequest(c net.Conn, reader *bufio.Reader, rng *rand.Rand, first bool) (reusable bool) {
	class := soakRequestClasses[rng.IntN(len(soakRequestClasses))]
	request := ordinaryRequest{id: r.newRequestID(), firstOnConn: first}
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
	reusable = request.readResponse(reader)
	request.took = time.Since(sentAt)
	r.recordOrdinary(request)
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

// recordOrdinary counts a request and records a fault if it was not answered as the protocol requires.
func (r *crowdRun) recordOrdinary(o ordinaryRequest) {
	if rule := o.brokenRule(); rule != "" {
		r.fault(rule, o.id, "status %d after %v, first on its connection: %v, error: %v", o.status, o.took, o.firstOnConn, o.err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Requests++
	r.result.Statuses[o.status]++
	r.result.SlowestReply = max(r.result.SlowestReply, o.took)
}

// brokenRule returns the rule that the balancer broke for the request, or an empty string. A reset shows that the
// balancer closed the connection without reading the request, which it may do in a crowd. An end without a reset shows
// that it had read all that had arrived.
func (o *ordinaryRequest) brokenRule() string {
	closed := errors.Is(o.err, io.EOF) || errors.Is(o.err, io.ErrUnexpectedEOF)
	switch {
	case o.status != 0 && o.err != nil:
		return "answer"
	case o.took > soakRequestDeadline+soakMaxLateness || errors.Is(o.err, os.ErrDeadlineExceeded):
		return "late"
	case closed && (o.firstOnConn || o.took > maxCrossingTime):
		return "lost"
	}
	return ""
}
