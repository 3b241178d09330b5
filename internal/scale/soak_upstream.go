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
	soakWork       = 5 * time.Millisecond // of an upstream for a request
	soakBehaviours = 100                  // ids are spread over so many
	soakHangs      = 4                    // of these an upstream never answers
	soakResets     = 7                    // up to this one it resets the connection, once the request is whole
	soakErrors     = 9                    // up to this one it answers by 500
)

// soakRun is one arrival of a request at an upstream.
type soakRun struct {
	upstream int
	beganAt  time.Time
	ran      bool // it came whole and was not turned away
}

// soakLedger is what all upstreams had of each request.
type soakLedger struct {
	mu   sync.Mutex
	runs map[string][]*soakRun // by the request's id
}

func (l *soakLedger) begin(id string, upstream int) *soakRun {
	l.mu.Lock()
	defer l.mu.Unlock()
	run := &soakRun{upstream: upstream, beganAt: time.Now()}
	l.runs[id] = append(l.runs[id], run)
	return run
}

func (l *soakLedger) ran(run *soakRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	run.ran = true
}

// soakUpstream is an upstream. It turns requests away while it drains.
type soakUpstream struct {
	index    int
	ledger   *soakLedger
	server   *http.Server
	address  string
	draining atomic.Bool
}

func newSoakUpstream(index int, ledger *soakLedger) (*soakUpstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("an upstream's socket: %w", err)
	}
	u := &soakUpstream{index: index, ledger: ledger, address: l.Addr().String()}
	u.server = &http.Server{Handler: u}
	go u.server.Serve(l)
	return u, nil
}

// behaviour is a fixed number of an id, below soakBehaviours.
func behaviour(id string) int {
	h := fnv.New32a()
	io.WriteString(h, id) // never fails
	return int(h.Sum32() % soakBehaviours)
}

func (u *soakUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	run := u.ledger.begin(id, u.index)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if u.draining.Load() {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.ledger.ran(run)
	switch does := behaviour(id); {
	case does < soakHangs:
		<-r.Context().Done()
	case does < soakResets:
		reset(w)
	case does < soakErrors:
		w.WriteHeader(http.StatusInternalServerError)
	default:
		time.Sleep(soakWork)
		w.Header().Set("X-Load", "util=0.30,qps=20")
		io.WriteString(w, soakAnswer(id))
	}
}

// soakAnswer is the body of the answer to a request.
func soakAnswer(id string) string { return "answer to " + id }

// reset resets the connection that a request came on.
func reset(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
