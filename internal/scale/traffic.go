package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file has the upstreams and the clients of the real balancers, in the run's own process, by the protocol's page. The
// upstreams' ids are many and their listening sockets few, one for each zone. A request's added time is the client's, from
// before it is written until its answer has been read, less the upstream's own, from the request's last byte until its
// answer is written. It holds what this process adds as well.

const (
	serviceTime         = 5 * time.Millisecond // an upstream's own time for a request
	maxInFlight         = 4000                 // requests that the clients have open at most; more are counted, not sent
	requestDeadline     = 750 * time.Millisecond
	clientTimeoutMargin = 250 * time.Millisecond
)

// upstreams are the listening sockets of a zone each.
type upstreamServers struct {
	mu        sync.Mutex
	hostPorts []string
	servers   []*http.Server // nil: lost
}

func newUpstreamServers(zones int) (*upstreamServers, error) {
	u := &upstreamServers{hostPorts: make([]string, zones), servers: make([]*http.Server, zones)}
	for i := range zones {
		u.hostPorts[i] = fmt.Sprintf("127.0.%d.1:0", i+1)
		if err := u.startZone(i); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// up opens a zone's socket.
func (u *upstreamServers) startZone(zone int) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, err := net.Listen("tcp", u.hostPorts[zone])
	if err != nil {
		return fmt.Errorf("an upstream's socket: %w", err)
	}
	u.hostPorts[zone] = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(serveUpstream), IdleTimeout: 60 * time.Second}
	u.servers[zone] = s
	go s.Serve(l)
	return nil
}

// down closes a zone's socket and resets its connections.
func (u *upstreamServers) stopZone(zone int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.servers[zone]; s != nil {
		s.Close()
		u.servers[zone] = nil
	}
}

func (u *upstreamServers) close() {
	for zone := range u.hostPorts {
		u.stopZone(zone)
	}
}

// serve answers a request with the time that it took, ns.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	start := time.Now()
	time.Sleep(serviceTime)
	if r.Context().Err() != nil {
		slog.Info("an upstream's connection ended under its work", "request", r.Header.Get("X-Request-Id"), "method", r.Method,
			"key", r.Header.Get("Idempotency-Key") != "")
	}
	w.Header().Set("X-Load", "util=0.30")
	io.WriteString(w, strconv.FormatInt(int64(time.Since(start)), 10))
}

// Seen is what clients saw in some time.
type ClientStats struct {
	Requests int            `json:"requests"`
	Statuses map[string]int `json:"statuses"` // by status, or by how the connection ended
	AddedP50 float64        `json:"added_p50_ms"`
	AddedP99 float64        `json:"added_p99_ms"`
	AddedMax float64        `json:"added_max_ms"`
	Moved    int            `json:"moved"` // connects refused or cut before an answer's first byte, asked again elsewhere
}

// count is what is counted of requests.
type statsRecorder struct {
	stats        ClientStats
	addedLatency *hdrhistogram.Histogram // µs
}

func newStatsRecorder() *statsRecorder {
	return &statsRecorder{stats: ClientStats{Statuses: map[string]int{}}, addedLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (c *statsRecorder) record(status string, addedLatency time.Duration, moved int) {
	c.stats.Requests++
	c.stats.Moved += moved
	if c.stats.Statuses[status]++; status == "200" {
		c.addedLatency.RecordValue(max(1, addedLatency.Microseconds())) // a longer time than the histogram's is no client's
	}
}

func (c *statsRecorder) snapshot() ClientStats {
	s := c.stats
	s.AddedP50, s.AddedP99 = float64(c.addedLatency.ValueAtQuantile(50))/1000, float64(c.addedLatency.ValueAtQuantile(99))/1000
	s.AddedMax = float64(c.addedLatency.Max()) / 1000
	return s
}

// unserved is how many requests had no 200.
func (s ClientStats) notServed() int { return s.Requests - s.Statuses["200"] }

// traffic sends requests to the real balancers at a fixed rate.
type traffic struct {
	realBalancers []*realBalancer
	classes       int
	tenants       int
	clients       []*http.Client // one for each real balancer
	lastRequest   atomic.Uint64
	inFlight      atomic.Int64

	mu        sync.Mutex
	total     *statsRecorder
	byProgram []*statsRecorder // by the balancers' program
}

// newTraffic makes clients of balancers that run a number of programs in turn.
func newTraffic(realBalancers []*realBalancer, programs int, dimensions FleetDimensions) *traffic {
	t := &traffic{realBalancers: realBalancers, byProgram: make([]*statsRecorder, programs), classes: max(dimensions.Classes-1, 1), tenants: dimensions.Tenants}
	for range realBalancers {
		t.clients = append(t.clients, &http.Client{Timeout: requestDeadline + clientTimeoutMargin,
			Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 30 * time.Second}})
	}
	t.reset()
	return t
}

func (t *traffic) reset() {
	t.total = newStatsRecorder()
	for i := range t.byProgram {
		t.byProgram[i] = newStatsRecorder()
	}
}

// take returns what was seen since the last take, in all and by the balancers' program.
func (t *traffic) takeStats() (total ClientStats, perProgram []ClientStats) {
	t.mu.Lock()
	defer t.mu.Unlock()
	total = t.total.snapshot()
	for _, c := range t.byProgram {
		perProgram = append(perProgram, c.snapshot())
	}
	t.reset()
	return total, perProgram
}

// run sends rate requests a second until ctx ends.
func (t *traffic) run(ctx context.Context, rate float64) {
	start, sent := time.Now(), 0
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for due := int(time.Since(start).Seconds() * rate); sent < due; sent++ {
			if t.inFlight.Load() >= maxInFlight {
				t.record(0, "not sent", 0, 0)
				continue
			}
			t.inFlight.Add(1)
			go func() {
				defer t.inFlight.Add(-1)
				t.send()
			}()
		}
	}
}

// request is a client's request for a class.
func (t *traffic) newRequest(target *realBalancer, class, kind string, serial uint64) *http.Request {
	method, body := http.MethodPost, "body"
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, "http://"+target.spec.Listen+"/"+class, strings.NewReader(body))
	if err != nil {
		panic(err) // the address has been listened on
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", serial))
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(requestDeadline.Milliseconds(), 10))
	if t.tenants > 0 {
		r.Header.Set("X-Tenant", fmt.Sprintf("t%d", serial%uint64(t.tenants)))
	}
	if kind == "keyed" {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", serial))
	}
	return r
}

// one sends one request. Where a balancer refuses the connection, another one is asked, as a front does.
func (t *traffic) send() {
	serial := t.lastRequest.Add(1)
	class := int(serial) % t.classes
	kind := [...]string{"read", "keyed", "unsafe"}[class%3]
	for attempt, moved := 0, 0; ; attempt++ {
		i := int(serial+uint64(attempt)) % len(t.realBalancers)
		if !t.realBalancers[i].admitted.Load() && attempt < len(t.realBalancers) {
			continue
		}
		start := time.Now()
		resp, err := t.clients[i].Do(t.newRequest(t.realBalancers[i], fmt.Sprintf("c%d", class), kind, serial))
		if dialErr := (*net.OpError)(nil); errors.As(err, &dialErr) && dialErr.Op == "dial" && moved < len(t.realBalancers) {
			moved++
			continue
		}
		if err != nil {
			t.record(i, describeRequestError(err), 0, moved)
			t.logNotServed(serial, kind, i, describeRequestError(err), start)
			return
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		elapsed := time.Since(start)
		upstreamTime, parseErr := strconv.ParseInt(string(body), 10, 64)
		switch {
		case err != nil:
			t.record(i, "answer cut", 0, moved)
		case resp.StatusCode != http.StatusOK:
			t.record(i, strconv.Itoa(resp.StatusCode), 0, moved)
			t.logNotServed(serial, kind, i, strconv.Itoa(resp.StatusCode), start)
		case parseErr != nil:
			t.record(i, "200 of no upstream", 0, moved)
		default:
			t.record(i, "200", elapsed-time.Duration(upstreamTime), moved)
		}
		return
	}
}

// tellUnserved logs a request that was not served, by the id under which its balancer and its upstream had it.
func (t *traffic) logNotServed(serial uint64, kind string, i int, status string, start time.Time) {
	slog.Info("request not served", "request", fmt.Sprintf("%016x", serial), "kind", kind, "balancer", t.realBalancers[i].spec.Name,
		"zone", t.realBalancers[i].spec.Zone, "answer", status, "after", time.Since(start))
}

// describe is how a request without an answer ended.
func describeRequestError(err error) string {
	var e net.Error
	switch {
	case errors.As(err, &e) && e.Timeout():
		return "no answer"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), strings.Contains(err.Error(), "reset"):
		return "lost"
	}
	return "failed: " + err.Error()
}

// note counts a request that balancer i had last.
func (t *traffic) record(i int, status string, addedLatency time.Duration, moved int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total.record(status, addedLatency, moved)
	t.byProgram[i%len(t.byProgram)].record(status, addedLatency, moved)
}

// probe asks one balancer for a class every so often until it serves it, at most until a moment. It tells when it did, and
// the last status.
func (t *traffic) awaitClass(i int, class string, deadline time.Time) (servedAt time.Time, status string) {
	for time.Now().Before(deadline) {
		resp, err := t.clients[i].Do(t.newRequest(t.realBalancers[i], class, "read", t.lastRequest.Add(1)))
		if err != nil {
			status = describeRequestError(err)
		} else {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if status = strconv.Itoa(resp.StatusCode); resp.StatusCode == http.StatusOK {
				return time.Now(), status
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Time{}, status
}
