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

// This file is a stand-in for the discovery service, by the protocol's page: whole lists, watches that wait, changes,
// revisions. One to four machines are addresses that share one list. It counts calls, watches, entries and bytes on its
// connections. Its processor time is its process's, so it stands for discovery's own only in a process of its own.

const (
	maxMachines = 4
	// turnPatience is how long a call may wait for its turn. Then it fails, as the real service's do.
	maxQueueDelay   = 2 * time.Second
	maxWatchTimeout = 60 * time.Second // that a watch may ask for
)

// Mode is what a machine does with calls.
type Mode string

// The modes. A machine that was down or silent comes up with the list as it stands by then.
const (
	ModeUp     Mode = "up"
	ModeDown   Mode = "down"   // connections are reset, new ones refused
	ModeSilent Mode = "silent" // connections stay open and nothing comes on them
)

// Costs are what a call takes of its machine. Calls wait for each other; the time passes, no processor is used for it.
type Costs struct {
	Call  time.Duration `json:"call_ns"`
	Entry time.Duration `json:"entry_ns"` // for each entry of the answer
}

// Counts are what a discovery was asked and told since its start, over all machines.
type Counts struct {
	Calls     int64 `json:"calls"`    // answered or failed
	Watches   int64 `json:"watches"`  // of these, with a since
	Updates   int64 `json:"news"`     // watches that were answered with something newer
	FullLists int64 `json:"whole"`    // whole lists written
	Failed    int64 `json:"failed"`   // refused for their turn, or cut by a machine that went
	Entries   int64 `json:"entries"`  // written
	BodyBytes int64 `json:"body"`     // bytes of answers that hold entries, without heads
	BytesIn   int64 `json:"bytes_in"` // on the connections
	BytesOut  int64 `json:"bytes_out"`
	Waiting   int64 `json:"waiting"` // watches that wait now
}

// sub is what came since an earlier reading.
func (c Counts) sub(b Counts) Counts {
	return Counts{c.Calls - b.Calls, c.Watches - b.Watches, c.Updates - b.Updates, c.FullLists - b.FullLists, c.Failed - b.Failed,
		c.Entries - b.Entries, c.BodyBytes - b.BodyBytes, c.BytesIn - b.BytesIn, c.BytesOut - b.BytesOut, c.Waiting}
}

// counters are Counts as they are counted.
type discoveryCounters struct {
	calls, watches, updates, fullList, failed, entries, body, bytesIn, bytesOut, waiting atomic.Int64
}

func (c *discoveryCounters) snapshot() Counts {
	return Counts{c.calls.Load(), c.watches.Load(), c.updates.Load(), c.fullList.Load(), c.failed.Load(), c.entries.Load(), c.body.Load(),
		c.bytesIn.Load(), c.bytesOut.Load(), c.waiting.Load()}
}

// machine is one of discovery's addresses.
type machine struct {
	list    *list
	counts  *discoveryCounters
	address string

	mu         sync.Mutex
	mode       Mode
	costs      Costs
	busyUntil  time.Time // the turns taken so far are over by then
	server     *http.Server
	modeCtx    context.Context // ends when the mode changes
	cancelMode context.CancelFunc

	waiting atomic.Int64 // watches that wait here
}

// newMachine is up at address; port 0 takes any.
func newMachine(l *list, c *discoveryCounters, address string, costs Costs) (*machine, error) {
	m := &machine{list: l, counts: c, address: address, costs: costs, mode: ModeDown}
	return m, m.setMode(ModeUp)
}

// set changes what the machine does.
func (m *machine) setMode(mode Mode) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mode == m.mode {
		return nil
	}
	switch mode {
	case ModeUp, ModeSilent, ModeDown:
	default:
		return fmt.Errorf("mode %q is unknown", mode)
	}
	if m.mode != ModeUp || mode != ModeSilent { // calls that wait when it falls silent stay, and hear nothing
		if m.cancelMode != nil {
			m.cancelMode()
		}
		m.modeCtx, m.cancelMode = context.WithCancel(context.Background())
	}
	m.mode, m.busyUntil = mode, time.Time{}
	if mode == ModeDown {
		m.server.Close()
		m.server = nil
		return nil
	}
	if m.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	m.address = l.Addr().String()
	m.server = &http.Server{Handler: m}
	go m.server.Serve(&countingListener{l, m.counts})
	return nil
}

// turn takes a call's place in the row and returns when it ends; false: that is too late.
func (m *machine) reserveTurn(a *listResponse) (until time.Time, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if m.busyUntil.Before(now) {
		m.busyUntil = now
	}
	if m.busyUntil.Sub(now) > maxQueueDelay {
		return now, false
	}
	m.busyUntil = m.busyUntil.Add(m.costs.Call + time.Duration(a.entries)*m.costs.Entry)
	return m.busyUntil, true
}

// silent tells whether the machine says nothing.
func (m *machine) isSilent() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.mode == ModeSilent
}

// ServeHTTP answers a call of the list.
func (m *machine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	m.mu.Lock()
	modeCtx := m.modeCtx
	m.mu.Unlock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(modeCtx, cancel)()
	defer m.counts.calls.Add(1)
	a, err := m.prepareResponse(ctx, r)
	if m.isSilent() {
		<-ctx.Done()
		err = errCallAborted
	}
	switch {
	case errors.Is(err, errCallAborted):
		m.counts.failed.Add(1)
		panic(http.ErrAbortHandler) // the connection is reset
	case errors.Is(err, errQueueTooLong):
		m.counts.failed.Add(1)
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	case err != nil:
		m.counts.failed.Add(1)
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if a.fullList {
		m.counts.fullList.Add(1)
	}
	m.counts.entries.Add(int64(a.entries))
	if a.entries > 0 {
		m.counts.body.Add(int64(len(a.body)))
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.Write(a.body) // who has gone asks again
}

var (
	errCallAborted  = errors.New("discovery: the machine or the caller has gone")
	errQueueTooLong = errors.New("discovery: too many calls wait")
)

// ask is a call's answer, once it has come and had its turn.
func (m *machine) prepareResponse(ctx context.Context, r *http.Request) (*listResponse, error) {
	q := r.URL.Query()
	if r.URL.Path != "/v1/servers" || r.Method != http.MethodGet {
		return nil, errors.New("discovery: no such call")
	}
	var since uint64
	var timeout time.Duration
	if q.Has("since") {
		m.counts.watches.Add(1)
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
	a, err := m.awaitNewer(ctx, since, timeout)
	if err != nil {
		return nil, err
	}
	until, ok := m.reserveTurn(a)
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
	if since != 0 && a.revision != since {
		m.counts.updates.Add(1)
	}
	return a, nil
}

// await waits until there is something newer than since, or wait is over.
func (m *machine) awaitNewer(ctx context.Context, since uint64, timeout time.Duration) (*listResponse, error) {
	a, updated, err := m.list.listResponse(since)
	if err != nil || since == 0 || a.revision != since || timeout == 0 {
		return a, err
	}
	m.waiting.Add(1)
	defer m.waiting.Add(-1)
	m.counts.waiting.Add(1)
	defer m.counts.waiting.Add(-1)
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-updated:
		a, _, err = m.list.listResponse(since)
	case <-timer.C:
		a, _, err = m.list.listResponse(since)
	case <-ctx.Done():
		err = errCallAborted
	}
	return a, err
}

// countedListener counts the bytes of its connections.
type countingListener struct {
	net.Listener
	counts *discoveryCounters
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{c, l.counts}, nil
}

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

// Discovery is the stand-in's control: its methods are called in the process, or by a driver over standard input and output
// (see child.go).
type Discovery struct {
	list       *list
	counts     discoveryCounters
	machines   []*machine
	lostByZone map[string][]Member // of zones that are lost
	mu         sync.Mutex          // over away
}

// DiscoveryStart says what a discovery begins with.
type DiscoveryConfig struct {
	Machines  int
	Upstreams int
	Zones     int
	Addresses []string // of upstreams, host:port, which take turns
	Costs     Costs
}

// None is the argument or reply of a call that has none.
type Empty struct{}

// Start makes the list and the machines, and replies with their addresses.
func (d *Discovery) Start(config DiscoveryConfig, addresses *[]string) error {
	switch {
	case config.Machines < 1 || config.Machines > maxMachines:
		return fmt.Errorf("discovery: %d machines, 1 to %d are allowed", config.Machines, maxMachines)
	case config.Zones < 1 || len(config.Addresses) == 0:
		return errors.New("discovery: a list needs zones and addresses")
	case d.list != nil:
		return errors.New("discovery: started already")
	}
	d.list, d.lostByZone = newList(config.Upstreams, config.Zones, config.Addresses), map[string][]Member{}
	for range config.Machines {
		m, err := newMachine(d.list, &d.counts, "127.0.0.1:0", config.Costs)
		if err != nil {
			return err
		}
		d.machines = append(d.machines, m)
		*addresses = append(*addresses, m.address)
	}
	return nil
}

// Stop ends all machines.
func (d *Discovery) Stop() {
	for _, m := range d.machines {
		m.setMode(ModeDown) // down always works
	}
}

// Listing replies with the whole list.
func (d *Discovery) Listing(_ Empty, reply *Listing) error {
	*reply = d.list.listing()
	return nil
}

// Release makes the next change of a release.
func (d *Discovery) Release(_ Empty, reply *RevisionTime) error {
	*reply = d.list.advanceRelease()
	return nil
}

// Zone names a zone's upstreams.
type Zone struct {
	Name         string
	MaxUpstreams int // upstreams at most; 0: all
}

// Lose takes a zone's upstreams off the list at once.
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

// Regain puts what a zone has lost back, freshly started.
func (d *Discovery) Regain(z Zone, reply *RevisionTime) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	*reply = d.list.restore(d.lostByZone[z.Name])
	delete(d.lostByZone, z.Name)
	return nil
}

// MachineMode names a machine and what it is to do.
type MachineMode struct {
	Machine int
	Mode    Mode
}

// Set changes what a machine does.
func (d *Discovery) Set(request MachineMode, _ *Empty) error {
	if request.Machine < 0 || request.Machine >= len(d.machines) {
		return fmt.Errorf("discovery: no machine %d", request.Machine)
	}
	return d.machines[request.Machine].setMode(request.Mode)
}

// Cost changes what calls cost, on all machines: a slow discovery has dear ones.
func (d *Discovery) Cost(c Costs, _ *Empty) error {
	for _, m := range d.machines {
		m.mu.Lock()
		m.costs = c
		m.mu.Unlock()
	}
	return nil
}

// DiscoveryReading is what discovery has done and used.
type DiscoveryReading struct {
	Counts
	Usage
}

// Read replies with the counts and the process's usage.
func (d *Discovery) Read(_ Empty, reply *DiscoveryReading) (err error) {
	reply.Counts = d.counts.snapshot()
	reply.Usage, err = ownUsage(false)
	return err
}
