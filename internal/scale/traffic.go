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

// This file has the upstreams and the clients of the real balancers, which run in the process of the scale
// run itself. All upstreams of a zone share one listening socket. The added latency of a request is the
// client's time, from before the request is written until the response has been read, minus the upstream's
// time, from the last byte of the request until the response is written. It includes what this process adds.

const (
	serviceTime         = 5 * time.Millisecond // of an upstream for a request
	maxInFlight         = 4000                 // requests of all clients; further ones are counted as not sent
	requestDeadline     = 750 * time.Millisecond
	clientTimeoutMargin = 250 * time.Millisecond // that clients wait beyond the deadline
)

// upstreamServers are the HTTP servers of the upstreams, one for each zone.
type upstreamServers struct {
	mu        sync.Mutex
	hostPorts []string       // by zone
	servers   []*http.Server // by zone; nil: stopped
}

// newUpstreamServers starts a server for each zone on a loopback address of its own.
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

// startZone starts the server of a zone on its last address.
func (u *upstreamServers) startZone(zone int) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, err := net.Listen("tcp", u.hostPorts[zone])
	if err != nil {
		return fmt.Errorf("listening for an upstream: %w", err)
	}
	u.hostPorts[zone] = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(serveUpstream), IdleTimeout: 60 * time.Second}
	u.servers[zone] = s
	go s.Serve(l)
	return nil
}

// stopZone closes the server of a zone and its connections.
func (u *upstreamServers) stopZone(zone int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.servers[zone]; s != nil {
		s.Close()
		u.servers[zone] = nil
	}
}

// close stops all zones.
func (u *upstreamServers) close() {
	for zone := range u.hostPorts {
		u.stopZone(zone)
	}
}

// serveUpstream answers a request with the time that it took in ns.
func serveUpstream(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	start := time.Now()
	time.Sleep(serviceTime)
	if r.Context().Err() != nil {
		slog.Info("connection closed while an upstream was serving the request", "request", r.Header.Get("X-Request-Id"),
			"method", r.Method, "key", r.Header.Get("Idempotency-Key") != "")
	}
	w.Header().Set("X-Load", "util=0.30")
	io.WriteString(w, strconv.FormatInt(int64(time.Since(start)), 10))
}

// ClientStats is what clients saw over a period.
type ClientStats struct {
	Requests int            `json:"requests"`
	Statuses map[string]int `json:"statuses"`     // by status code, or by the failure if there was none
	AddedP50 float64        `json:"added_p50_ms"` // added latency of requests with status 200
	AddedP99 float64        `json:"added_p99_ms"`
	AddedMax float64        `json:"added_max_ms"`
	Moved    int            `json:"moved"` // failed connection attempts that were repeated at another balancer
}

// statsRecorder accumulates ClientStats.
type statsRecorder struct {
	stats        ClientStats
	addedLatency *hdrhistogram.Histogram // µs
}

// newStatsRecorder returns a recorder without requests.
func newStatsRecorder() *statsRecorder {
	return &statsRecorder{stats: ClientStats{Statuses: map[string]int{}},
		addedLatency: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

// record counts a request with its status. addedLatency counts only for status 200.
func (c *statsRecorder) record(status string, addedLatency time.Duration, moved int) {
	c.stats.Requests++
	c.stats.Moved += moved
	if c.stats.Statuses[status]++; status == "200" {
		c.addedLatency.RecordValue(max(1, addedLatency.Microseconds())) // fits: clients time out earlier than the maximum
	}
}

// snapshot returns the statistics so far.
func (c *statsRecorder) snapshot() ClientStats {
	s := c.stats
	s.AddedP50, s.AddedP99 = float64(c.addedLatency.ValueAtQuantile(50))/1000,
		float64(c.addedLatency.ValueAtQuantile(99))/1000
	s.AddedMax = float64(c.addedLatency.Max()) / 1000
	return s
}

// notServed returns the number of requests without status 200.
func (s ClientStats) notServed() int { return s.Requests - s.Statuses["200"] }

// traffic sends requests to the real balancers at a fixed rate.
type traffic struct {
	realBalancers []*realBalancer
	classes       int // used by requests; excludes the class of the settings version
	tenants       int
	clients       []*http.Client // one for each real balancer
	lastSerial    atomic.Uint64  // serial number of the last request
	inFlight      atomic.Int64

	mu        sync.Mutex // guards total and byProgram
	total     *statsRecorder
	byProgram []*statsRecorder // by program of the last balancer tried
}

// newTraffic returns clients of balancers that run a number of programs in rotation.
func newTraffic(realBalancers []*realBalancer, programs int, dimensions FleetDimensions) *traffic {
	t := &traffic{realBalancers: realBalancers, byProgram: make([]*statsRecorder, programs),
		classes: max(dimensions.Classes-1, 1), tenants: dimensions.Tenants}
	for range realBalancers {
		t.clients = append(t.clients, &http.Client{Timeout: requestDeadline + clientTimeoutMargin,
			Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 30 * time.Second}})
	}
	t.reset()
	return t
}

// reset drops the statistics. The caller holds mu, unless t is still being created.
func (t *traffic) reset() {
	t.total = newStatsRecorder()
	for i := range t.byProgram {
		t.byProgram[i] = newStatsRecorder()
	}
}

// takeStats returns the statistics since the last call, in total and by program of the balancers.
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

// run sends rate requests per second until ctx ends.
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

// newRequest returns a request for a class. kind is read, keyed (with an idempotency key) or unsafe; serial
// is the request ID.
func (t *traffic) newRequest(target *realBalancer, class, kind string, serial uint64) *http.Request {
	method, body := http.MethodPost, "body"
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, "http://"+target.spec.Listen+"/"+class, strings.NewReader(body))
	if err != nil {
		panic(err) // the URL is always valid
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

// send sends one request and records the result. If it cannot connect to a balancer it tries another one.
func (t *traffic) send() {
	serial := t.lastSerial.Add(1)
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

// logNotServed logs a request that was not served, with its X-Request-Id.
func (t *traffic) logNotServed(serial uint64, kind string, i int, status string, start time.Time) {
	slog.Info("request not served", "request", fmt.Sprintf("%016x", serial), "kind", kind, "balancer",
		t.realBalancers[i].spec.Name, "zone", t.realBalancers[i].spec.Zone, "answer", status, "after", time.Since(start))
}

// describeRequestError returns the status under which a request without a response is counted.
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

// record counts a request whose last balancer was i.
func (t *traffic) record(i int, status string, addedLatency time.Duration, moved int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.total.record(status, addedLatency, moved)
	t.byProgram[i%len(t.byProgram)].record(status, addedLatency, moved)
}

// awaitClass sends requests for a class to balancer i until it serves one or deadline has passed. It returns
// when that was, or the zero time, and the last status.
func (t *traffic) awaitClass(i int, class string, deadline time.Time) (servedAt time.Time, status string) {
	for time.Now().Before(deadline) {
		resp, err := t.clients[i].Do(t.newRequest(t.realBalancers[i], class, "read", t.lastSerial.Add(1)))
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
