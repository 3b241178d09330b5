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

// This file has the upstreams of a soak: one listening socket each, so that a request shows where it was sent. What an
// upstream does with a request follows from the request's id.

const (
	soakUpstreamTime  = 5 * time.Millisecond // of an upstream for a request
	soakBehaviorCount = 100                  // ids are spread over so many
	soakHangBelow     = 4                    // of these an upstream never answers
	soakResetBelow    = 7                    // up to this one it resets the connection, once the request is whole
	soakErrorBelow    = 9                    // up to this one it answers by 500
)

// soakRun is one arrival of a request at an upstream.
type soakArrival struct {
	upstream  int
	arrivedAt time.Time
	executed  bool // it came whole and was not turned away
}

// soakLedger is what all upstreams had of each request.
type soakArrivalLog struct {
	mu        sync.Mutex
	byRequest map[string][]*soakArrival // by the request's id
}

func (l *soakArrivalLog) record(id string, upstream int) *soakArrival {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival := &soakArrival{upstream: upstream, arrivedAt: time.Now()}
	l.byRequest[id] = append(l.byRequest[id], arrival)
	return arrival
}

func (l *soakArrivalLog) executed(arrival *soakArrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	arrival.executed = true
}

// soakUpstream is an upstream. It turns requests away while it drains.
type soakUpstream struct {
	index    int
	arrivals *soakArrivalLog
	server   *http.Server
	address  string
	draining atomic.Bool
}

func newSoakUpstream(index int, arrivals *soakArrivalLog) (*soakUpstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("an upstream's socket: %w", err)
	}
	u := &soakUpstream{index: index, arrivals: arrivals, address: l.Addr().String()}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	return u, nil
}

// behaviour is a fixed number of an id, below soakBehaviours.
func soakBehavior(id string) int {
	h := fnv.New32a()
	io.WriteString(h, id) // never fails
	return int(h.Sum32() % soakBehaviorCount)
}

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
	switch behavior := soakBehavior(id); {
	case behavior < soakHangBelow:
		<-r.Context().Done()
	case behavior < soakResetBelow:
		resetConn(w)
	case behavior < soakErrorBelow:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(soakUpstreamTime)
		w.Header().Set("X-Load", "util=0.30,qps=20")
		io.WriteString(w, soakResponseBody(id))
	}
}

// soakAnswer is the body of the answer to a request.
func soakResponseBody(id string) string { return "answer to " + id }

// reset resets the connection that a request came on.
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
