package scale

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// This file is a stand-in for the discovery service. Up to maxDiscoveryServers servers, each at an address of
// its own, share one list of upstreams. They answer calls for the full list and watches for changes since a
// revision, and count calls, watches, entries and bytes. Processor time is read for the whole process, so it
// is that of discovery only if discovery runs in a process of its own.

const (
	maxDiscoveryServers = 4
	// A call that would wait longer than maxQueueDelay for earlier calls fails, as with the real service.
	maxQueueDelay   = 2 * time.Second
	maxWatchTimeout = 60 * time.Second // upper bound of a watch's timeout_ms
)

// Mode is how a discovery server handles calls.
type Mode string

// Modes of a discovery server. A server that comes up again serves the current list.
const (
	ModeUp     Mode = "up"
	ModeDown   Mode = "down"   // open connections are reset, new ones are refused
	ModeSilent Mode = "silent" // connections are accepted and stay open without responses
)

// Costs are the simulated service times of a call. A discovery server serves one call at a time. It sleeps for
// the service time, so no processor time is used.
type Costs struct {
	Call  time.Duration `json:"call_ns"`
	Entry time.Duration `json:"entry_ns"` // added for each entry of the response
}

// Counts are totals over all discovery servers since their start.
type Counts struct {
	Calls     int64 `json:"calls"`     // answered or failed calls
	Watches   int64 `json:"watches"`   // calls with a since parameter
	Updates   int64 `json:"news"`      // watches answered with a newer revision
	FullLists int64 `json:"whole"`     // full lists sent
	Failed    int64 `json:"failed"`    // invalid, refused or aborted calls
	Entries   int64 `json:"entries"`   // list entries sent
	BodyBytes int64 `json:"body"`      // body bytes of responses with entries
	BytesIn   int64 `json:"bytes_in"`  // received on connections, including headers
	BytesOut  int64 `json:"bytes_out"` // sent on connections, including headers
	Waiting   int64 `json:"waiting"`   // watches that are waiting now
}

// sub returns the difference to the earlier counts b. Waiting is a current value and stays that of c.
func (c Counts) sub(b Counts) Counts {
	return Counts{c.Calls - b.Calls, c.Watches - b.Watches, c.Updates - b.Updates, c.FullLists - b.FullLists,
		c.Failed - b.Failed, c.Entries - b.Entries, c.BodyBytes - b.BodyBytes, c.BytesIn - b.BytesIn,
		c.BytesOut - b.BytesOut, c.Waiting}
}

// discoveryCounters are the counters read into Counts.
type discoveryCounters struct {
	calls, watches, updates, fullLists, failed, entries, bodyBytes, bytesIn, bytesOut, waiting atomic.Int64
}

// snapshot returns the current values of the counters.
func (c *discoveryCounters) snapshot() Counts {
	return Counts{c.calls.Load(), c.watches.Load(), c.updates.Load(), c.fullLists.Load(), c.failed.Load(),
		c.entries.Load(), c.bodyBytes.Load(), c.bytesIn.Load(), c.bytesOut.Load(), c.waiting.Load()}
}

// discoveryServer serves the shared list at one address.
type discoveryServer struct {
	list    *list
	counts  *discoveryCounters
	address string

	mu         sync.Mutex
	mode       Mode
	costs      Costs
	busyUntil  time.Time // end of the service times reserved so far
	httpServer *http.Server
	modeCtx    context.Context // cancelled by mode changes, except from up to silent
	cancelMode context.CancelFunc

	waiting atomic.Int64 // watches that are waiting at this server
}

// newDiscoveryServer returns a server that is up and listens at address. Port 0 selects a free port.
func newDiscoveryServer(servedList *list, c *discoveryCounters, address string, costs Costs) (*discoveryServer, error) {
	s := &discoveryServer{list: servedList, counts: c, address: address, costs: costs, mode: ModeDown}
	return s, s.setMode(ModeUp)
}

// setMode changes the mode of the server. Setting the current mode has no effect.
func (s *discoveryServer) setMode(mode Mode) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if mode == s.mode {
		return nil
	}
	switch mode {
	case ModeUp, ModeSilent, ModeDown:
	default:
		return fmt.Errorf("unknown mode %q", mode)
	}
	if s.mode != ModeUp || mode != ModeSilent { // calls in progress stay open when the server becomes silent
		if s.cancelMode != nil {
			s.cancelMode()
		}
		s.modeCtx, s.cancelMode = context.WithCancel(context.Background())
	}
	s.mode, s.busyUntil = mode, time.Time{}
	if mode == ModeDown {
		s.httpServer.Close()
		s.httpServer = nil
		return nil
	}
	if s.httpServer != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	s.address = l.Addr().String()
	s.httpServer = &http.Server{Handler: s}
	go s.httpServer.Serve(&countingListener{l, s.counts})
	return nil
}

// reserveTurn queues a call behind the earlier ones and returns the end of its service time. ok is false if
// the call would wait longer than maxQueueDelay.
func (s *discoveryServer) reserveTurn(response *listResponse) (until time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.busyUntil.Before(now) {
		s.busyUntil = now
	}
	if s.busyUntil.Sub(now) > maxQueueDelay {
		return now, false
	}
	s.busyUntil = s.busyUntil.Add(s.costs.Call + time.Duration(response.entries)*s.costs.Entry)
	return s.busyUntil, true
}

// isSilent reports whether the server is in ModeSilent.
func (s *discoveryServer) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.mode == ModeSilent
}

// ServeHTTP answers a call for the list. A silent server holds the call until its mode changes or the caller
// gives up, and then resets the connection.
func (s *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	modeCtx := s.modeCtx
	s.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(modeCtx, cancel)()
	defer s.counts.calls.Add(1)
	response, err := s.prepareResponse(ctx, r)
	if s.isSilent() {
		<-ctx.Done()
		err = errCallAborted
	}
	switch {
	case errors.Is(err, errCallAborted):
		s.counts.failed.Add(1)
		panic(http.ErrAbortHandler) // the connection is reset
	case errors.Is(err, errQueueTooLong):
		s.counts.failed.Add(1)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		s.counts.failed.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if response.fullList {
		s.counts.fullLists.Add(1)
	}
	s.counts.entries.Add(int64(response.entries))
	if response.entries > 0 {
		s.counts.bodyBytes.Add(int64(len(response.body)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	w.Write(response.body) // on an error the caller repeats the call
}

// Reasons for failed calls.
var (
	errCallAborted  = errors.New("discovery: call aborted by a mode change or by the caller")
	errQueueTooLong = errors.New("discovery: too many calls wait")
)

// prepareResponse returns the response to a call after the watch and the simulated service time.
func (s *discoveryServer) prepareResponse(ctx context.Context, r *http.Request) (*listResponse, error) {
	q := r.URL.Query()
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		return nil, errors.New("discovery: no such call")
	}
	var since uint64
	var timeout time.Duration
	if q.Has("since") {
		s.counts.watches.Add(1)
		var err error
		if since, err = strconv.ParseUint(q.Get("since"), 10, 64); err != nil {
			return nil, fmt.Errorf("since: %w", err)
		}
		ms, err := strconv.ParseUint(q.Get("timeout_ms"), 10, 32)
		if err != nil {
			return nil, fmt.Errorf("timeout_ms: %w", err)
		}
		timeout = min(time.Duration(ms)*time.Millisecond, maxWatchTimeout)
	}
	response, err := s.awaitNewer(ctx, since, timeout)
	if err != nil {
		return nil, err
	}
	until, ok := s.reserveTurn(response)
	if !ok {
		return nil, errQueueTooLong
	}
	if remaining := time.Until(until); remaining > 0 {
		select {
		case <-time.After(remaining):
		case <-ctx.Done():
			return nil, errCallAborted
		}
	}
	if since != 0 && response.revision != since {
		s.counts.updates.Add(1)
	}
	return response, nil
}

// awaitNewer returns the response for since. If since is the current revision it waits for a newer one, at
// most for timeout.
func (s *discoveryServer) awaitNewer(ctx context.Context, since uint64, timeout time.Duration) (*listResponse, error) {
	response, updated, err := s.list.listResponse(since)
	if err != nil || since == 0 || response.revision != since || timeout == 0 {
		return response, err
	}
	s.waiting.Add(1)
	defer s.waiting.Add(-1)
	s.counts.waiting.Add(1)
	defer s.counts.waiting.Add(-1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-updated:
		response, _, err = s.list.listResponse(since)
	case <-timer.C:
		response, _, err = s.list.listResponse(since)
	case <-ctx.Done():
		err = errCallAborted
	}
	return response, err
}

// countingListener counts the bytes of the connections it accepts.
type countingListener struct {
	net.Listener
	counts *discoveryCounters
}

// Accept returns the next connection, whose bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.counts}, nil
}

// countingConn adds the bytes it reads and writes to counts.
type countingConn struct {
	net.Conn
	counts *discoveryCounters
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counts.bytesIn.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counts.bytesOut.Add(int64(n))
	return n, err
}

// Discovery controls the stand-in discovery service. Its methods are called directly or by net/rpc under
// their names (see child.go).
type Discovery struct {
	list       *list
	counts     discoveryCounters
	servers    []*discoveryServer
	lostByZone map[string][]Member // upstreams removed by Lose, by zone
	mu         sync.Mutex          // guards lostByZone
}

// DiscoveryConfig configures a discovery service.
type DiscoveryConfig struct {
	DiscoveryServers  int
	Upstreams         int
	Zones             int
	UpstreamAddresses []string // of upstreams, host:port, assigned in rotation
	Costs             Costs
}

// Empty stands for the argument or the reply of an RPC method that has none.
type Empty struct{}

// Start creates the list and the servers, and replies with the addresses of the servers. It can be called
// once.
func (d *Discovery) Start(config DiscoveryConfig, addresses *[]string) error {
	switch {
	case config.DiscoveryServers < 1 || config.DiscoveryServers > maxDiscoveryServers:
		return fmt.Errorf("discovery: %d servers, want 1 to %d", config.DiscoveryServers, maxDiscoveryServers)
	case config.Zones < 1 || len(config.UpstreamAddresses) == 0:
		return errors.New("discovery: at least one zone and one address are required")
	case d.list != nil:
		return errors.New("discovery: already started")
	}
	d.list, d.lostByZone = newList(config.Upstreams, config.Zones, config.UpstreamAddresses), map[string][]Member{}
	for range config.DiscoveryServers {
		s, err := newDiscoveryServer(d.list, &d.counts, "127.0.0.1:0", config.Costs)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
		*addresses = append(*addresses, s.address)
	}
	return nil
}

// Stop shuts all servers down.
func (d *Discovery) Stop() {
	for _, s := range d.servers {
		s.setMode(ModeDown) // ModeDown never fails
	}
}

// Listing replies with the full list.
func (d *Discovery) Listing(_ Empty, reply *Listing) error {
	*reply = d.list.listing()
	return nil
}

// Release makes the next change of a rolling release and replies with its revision.
func (d *Discovery) Release(_ Empty, reply *RevisionTime) error {
	*reply = d.list.advanceRelease()
	return nil
}

// Zone selects upstreams of a zone. Regain ignores MaxUpstreams.
type Zone struct {
	Name         string
	MaxUpstreams int // 0: all
}

// Lose removes upstreams of a zone that are up from the list in one revision.
func (d *Discovery) Lose(z Zone, reply *RevisionTime) error {
	if z.MaxUpstreams == 0 {
		z.MaxUpstreams = len(d.list.listing().Members)
	}
	removed, revision := d.list.removeZone(z.Name, z.MaxUpstreams)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lostByZone[z.Name] = append(d.lostByZone[z.Name], removed...)
	*reply = revision
	return nil
}

// Regain restores the upstreams of a zone that Lose has removed, with the current time as their start time.
func (d *Discovery) Regain(z Zone, reply *RevisionTime) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*reply = d.list.restore(d.lostByZone[z.Name])
	delete(d.lostByZone, z.Name)
	return nil
}

// ServerMode is a discovery server, by index, and its new mode.
type ServerMode struct {
	Server int
	Mode   Mode
}

// Set changes the mode of a discovery server.
func (d *Discovery) Set(request ServerMode, _ *Empty) error {
	if request.Server < 0 || request.Server >= len(d.servers) {
		return fmt.Errorf("discovery: server %d does not exist", request.Server)
	}
	return d.servers[request.Server].setMode(request.Mode)
}

// Cost changes the simulated service times of all servers.
func (d *Discovery) Cost(c Costs, _ *Empty) error {
	for _, s := range d.servers {
		s.mu.Lock()
		s.costs = c
		s.mu.Unlock()
	}
	return nil
}

// DiscoveryReading holds the counts of discovery and the resource usage of its process.
type DiscoveryReading struct {
	Counts
	Usage
}

// Read replies with the counts and the usage of this process.
func (d *Discovery) Read(_ Empty, reply *DiscoveryReading) (err error) {
	reply.Counts = d.counts.snapshot()
	reply.Usage, err = ownUsage(false)
	return err
}
