package scale

import (
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// This file implements the upstreams of the soak test. Each has its own listener, so that arrivals are
// attributed to it. The request ID determines how an upstream behaves for a request.

const (
	soakUpstreamTime   = 5 * time.Millisecond // response time of an upstream
	soakBehaviourCount = 100                  // behaviours are numbers below this
	soakHangBelow      = 4                    // below this, an upstream does not respond
	soakResetBelow     = 7                    // below this, it resets the connection after it has read the request
	soakErrorBelow     = 9                    // below this, it responds with status 500
)

// soakArrival records the arrival of a request at an upstream.
type soakArrival struct {
	upstream  int
	arrivedAt time.Time
	executed  bool // it was read completely and not refused
}

// soakArrivalLog records the arrivals of requests at all upstreams.
type soakArrivalLog struct {
	mu        sync.Mutex
	byRequest map[string][]*soakArrival // by request ID
}

// record adds an arrival of a request at an upstream.
func (l *soakArrivalLog) record(id string, upstream int) *soakArrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival := &soakArrival{upstream: upstream, arrivedAt: time.Now()}
	l.byRequest[id] = append(l.byRequest[id], arrival)
	return arrival
}

// executed marks an arrival as executed.
func (l *soakArrivalLog) executed(arrival *soakArrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival.executed = true
}

// soakUpstream is an upstream server. It refuses requests while it drains.
type soakUpstream struct {
	index    int
	arrivals *soakArrivalLog
	server   *http.Server
	address  string
	draining atomic.Bool
}

// newSoakUpstream starts an upstream on a free port of the loopback interface.
func newSoakUpstream(index int, arrivals *soakArrivalLog) (*soakUpstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("opening an upstream listener: %w", err)
	}
	u := &soakUpstream{index: index, arrivals: arrivals, address: l.Addr().String()}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	return u, nil
}

// soakBehaviour returns a number below soakBehaviourCount that is a hash of the request ID.
func soakBehaviour(id string) int {
	h := fnv.New32a()
	io.WriteString(h, id) // a hash's Write never fails
	return int(h.Sum32() % soakBehaviourCount)
}

// ServeHTTP records the arrival of a request and responds as its ID determines.
func (u *soakUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	arrival := u.arrivals.record(id, u.index)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if u.draining.Load() {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.arrivals.executed(arrival)
	switch behaviour := soakBehaviour(id); {
	case behaviour < soakHangBelow:
		<-r.Context().Done()
	case behaviour < soakResetBelow:
		resetConn(w)
	case behaviour < soakErrorBelow:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(soakUpstreamTime)
		w.Header().Set("X-Load", "util=0.30,qps=20")
		io.WriteString(w, soakResponseBody(id))
	}
}

// soakResponseBody returns the body of the response to a request.
func soakResponseBody(id string) string { return "answer to " + id }

// resetConn resets the connection of a request.
func resetConn(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
