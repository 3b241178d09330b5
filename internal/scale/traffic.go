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
	serviceTime  = 5 * time.Millisecond // an upstream's own time for a request
	inflightMost = 4000                 // requests that the clients have open at most; more are counted, not sent
	clientWait   = 750 * time.Millisecond
	clientSlack  = 250 * time.Millisecond
)

// upstreams are the listening sockets of a zone each.
type upstreams struct {
	mu      sync.Mutex
	address []string
	servers []*http.Server // nil: lost
}

func newUpstreams(zones int) (*upstreams, error) {
	u := &upstreams{address: make([]string, zones), servers: make([]*http.Server, zones)}
	for i := range zones {
		u.address[i] = fmt.Sprintf("127.0.%d.1:0", i+1)
		if err := u.up(i); err != nil {
			return nil, err
		}
	}
	return u, nil
}

// up opens a zone's socket.
func (u *upstreams) up(zone int) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	l, err := net.Listen("tcp", u.address[zone])
	if err != nil {
		return fmt.Errorf("an upstream's socket: %w", err)
	}
	u.address[zone] = l.Addr().String()
	s := &http.Server{Handler: http.HandlerFunc(serve), IdleTimeout: 60 * time.Second}
	u.servers[zone] = s
	go s.Serve(l)
	return nil
}

// down closes a zone's socket and resets its connections.
func (u *upstreams) down(zone int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s := u.servers[zone]; s != nil {
		s.Close()
		u.servers[zone] = nil
	}
}

func (u *upstreams) close() {
	for zone := range u.address {
		u.down(zone)
	}
}

// serve answers a request with the time that it took, ns.
func serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	began := time.Now()
	time.Sleep(serviceTime)
	if r.Context().Err() != nil {
		slog.Info("an upstream's connection ended under its work", "request", r.Header.Get("X-Request-Id"), "method", r.Method,
			"key", r.Header.Get("Idempotency-Key") != "")
	}
	w.Header().Set("X-Load", "util=0.30")
	io.WriteString(w, strconv.FormatInt(int64(time.Since(began)), 10))
}

// Seen is what clients saw in some time.
type Seen struct {
	Requests int            `json:"requests"`
	Statuses map[string]int `json:"statuses"` // by status, or by how the connection ended
	AddedP50 float64        `json:"added_p50_ms"`
	AddedP99 float64        `json:"added_p99_ms"`
	AddedMax float64        `json:"added_max_ms"`
	Moved    int            `json:"moved"` // connects refused or cut before an answer's first byte, asked again elsewhere
}

// count is what is counted of requests.
type count struct {
	seen  Seen
	added *hdrhistogram.Histogram // µs
}

func newCount() *count {
	return &count{seen: Seen{Statuses: map[string]int{}}, added: hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)}
}

func (c *count) note(status string, added time.Duration, moved int) {
	c.seen.Requests++
	c.seen.Moved += moved
	if c.seen.Statuses[status]++; status == "200" {
		c.added.RecordValue(max(1, added.Microseconds())) // a longer time than the histogram's is no client's
	}
}

func (c *count) read() Seen {
	s := c.seen
	s.AddedP50, s.AddedP99 = float64(c.added.ValueAtQuantile(50))/1000, float64(c.added.ValueAtQuantile(99))/1000
	s.AddedMax = float64(c.added.Max()) / 1000
	return s
}

// unserved is how many requests had no 200.
func (s Seen) unserved() int { return s.Requests - s.Statuses["200"] }

// traffic sends requests to the real balancers at a fixed rate.
type traffic struct {
	reals   []*realOne
	classes int
	tenants int
	clients []*http.Client // one for each real balancer
	serial  atomic.Uint64
	open    atomic.Int64

	mu     sync.Mutex
	all    *count
	counts []*count // by the balancers' program
}

// newTraffic makes clients of balancers that run a number of programs in turn.
func newTraffic(reals []*realOne, programs int, s Shape) *traffic {
	t := &traffic{reals: reals, counts: make([]*count, programs), classes: max(s.Classes-1, 1), tenants: s.Tenants}
	for range reals {
		t.clients = append(t.clients, &http.Client{Timeout: clientWait + clientSlack,
			Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 30 * time.Second}})
	}
	t.reset()
	return t
}

func (t *traffic) reset() {
	t.all = newCount()
	for i := range t.counts {
		t.counts[i] = newCount()
	}
}

// take returns what was seen since the last take, in all and by the balancers' program.
func (t *traffic) take() (all Seen, each []Seen) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all = t.all.read()
	for _, c := range t.counts {
		each = append(each, c.read())
	}
	t.reset()
	return all, each
}

// run sends rate requests a second until ctx ends.
func (t *traffic) run(ctx context.Context, rate float64) {
	began, sent := time.Now(), 0
	tick := time.NewTicker(2 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for due := int(time.Since(began).Seconds() * rate); sent < due; sent++ {
			if t.open.Load() >= inflightMost {
				t.note(0, "not sent", 0, 0)
				continue
			}
			t.open.Add(1)
			go func() {
				defer t.open.Add(-1)
				t.one()
			}()
		}
	}
}

// request is a client's request for a class.
func (t *traffic) request(to *realOne, class, kind string, n uint64) *http.Request {
	method, body := http.MethodPost, "body"
	if kind == "read" {
		method, body = http.MethodGet, ""
	}
	r, err := http.NewRequest(method, "http://"+to.spec.Listen+"/"+class, strings.NewReader(body))
	if err != nil {
		panic(err) // the address has been listened on
	}
	r.Header.Set("X-Request-Id", fmt.Sprintf("%016x", n))
	r.Header.Set("X-Class", class)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(clientWait.Milliseconds(), 10))
	if t.tenants > 0 {
		r.Header.Set("X-Tenant", fmt.Sprintf("t%d", n%uint64(t.tenants)))
	}
	if kind == "keyed" {
		r.Header.Set("Idempotency-Key", fmt.Sprintf("%032x", n))
	}
	return r
}

// one sends one request. Where a balancer refuses the connection, another one is asked, as a front does.
func (t *traffic) one() {
	n := t.serial.Add(1)
	class := int(n) % t.classes
	kind := [...]string{"read", "keyed", "unsafe"}[class%3]
	for try, moved := 0, 0; ; try++ {
		i := int(n+uint64(try)) % len(t.reals)
		if !t.reals[i].admitted.Load() && try < len(t.reals) {
			continue
		}
		began := time.Now()
		resp, err := t.clients[i].Do(t.request(t.reals[i], fmt.Sprintf("c%d", class), kind, n))
		if refused := (*net.OpError)(nil); errors.As(err, &refused) && refused.Op == "dial" && moved < len(t.reals) {
			moved++
			continue
		}
		if err != nil {
			t.note(i, describe(err), 0, moved)
			t.tellUnserved(n, kind, i, describe(err), began)
			return
		}
		body, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		whole := time.Since(began)
		own, parsed := strconv.ParseInt(string(body), 10, 64)
		switch {
		case err != nil:
			t.note(i, "answer cut", 0, moved)
		case resp.StatusCode != http.StatusOK:
			t.note(i, strconv.Itoa(resp.StatusCode), 0, moved)
			t.tellUnserved(n, kind, i, strconv.Itoa(resp.StatusCode), began)
		case parsed != nil:
			t.note(i, "200 of no upstream", 0, moved)
		default:
			t.note(i, "200", whole-time.Duration(own), moved)
		}
		return
	}
}

// tellUnserved logs a request that was not served, by the id under which its balancer and its upstream had it.
func (t *traffic) tellUnserved(n uint64, kind string, i int, status string, began time.Time) {
	slog.Info("request not served", "request", fmt.Sprintf("%016x", n), "kind", kind, "balancer", t.reals[i].spec.Name,
		"zone", t.reals[i].spec.Zone, "answer", status, "after", time.Since(began))
}

// describe is how a request without an answer ended.
func describe(err error) string {
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
func (t *traffic) note(i int, status string, added time.Duration, moved int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all.note(status, added, moved)
	t.counts[i%len(t.counts)].note(status, added, moved)
}

// probe asks one balancer for a class every so often until it serves it, at most until a moment. It tells when it did, and
// the last status.
func (t *traffic) probe(i int, class string, until time.Time) (at time.Time, status string) {
	for time.Now().Before(until) {
		resp, err := t.clients[i].Do(t.request(t.reals[i], class, "read", t.serial.Add(1)))
		if err != nil {
			status = describe(err)
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
