package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"garnettide"
)

// event is applied by the loop on its own goroutine.
type event interface{ apply(l *loop) }

// loop owns the Balancer and runs it on one goroutine. All methods run on that goroutine, except post,
// postList, now and writeLogs, and start, which is called before run. The loop blocks only on receiving from
// its channels.
type loop struct {
	balancer            *garnettide.Balancer
	ctx                 context.Context
	events              chan event
	listUpdates         chan listUpdate    // handled before events: nothing is sent to an upstream listed as draining
	adminCalls          chan adminLoopCall // operators' calls, handled before events
	logLines            chan string
	startTime           time.Time
	clockBase           time.Duration // startTime as Unix time
	discoveryClient     *discoveryClient
	stopWatch           context.CancelFunc // nil: not watching discovery
	transport           upstreamTransport
	memory              memoryBudget // for buffered bodies
	headMemory          memoryBudget
	memoryLog           memoryLog
	traffic             trafficLog
	transfersRefused    atomic.Bool // the Balancer admits no further streamed request
	capacity            garnettide.Capacity
	collectorTarget     int64             // in force, in bytes
	onCollectorTarget   func(bytes int64) // may be nil
	settings            garnettide.Settings
	upstreamIdleTimeout time.Duration
	maxConns            int                   // limit of connCount
	onListApplied       func(revision uint64) // may be nil

	upstreamIDs     *upstreamIDs
	revision        uint64 // of the last list applied
	listReceived    bool   // discovery has sent this process a list
	serial          uint64 // last number given to a timer or a request
	timers          timers
	requests        map[garnettide.RequestID]*request
	openIDs         map[string]bool               // client request IDs of the entries of requests
	requestIDs      *requestIDTable               // of requests that may not simply be repeated
	uptime          func() (time.Duration, error) // of the machine, for requestIDs if they are shared
	upstreams       map[garnettide.UpstreamID]*upstream
	inMaintenance   map[string]garnettide.UpstreamID // upstreams in maintenance, by discovery ID
	departedIDs     *departedIDs
	connCount       int              // connections to upstreams, open or being opened
	pendingOutcomes []pendingOutcome // collected because methods of Host must not call the Balancer
	nextIdleSweep   time.Duration
	nextMemoryCheck time.Duration
}

func newLoop(ctx context.Context, c *Config) *loop {
	capacity := c.Capacity(1)
	l := &loop{ctx: ctx, events: make(chan event, 1024), listUpdates: make(chan listUpdate, 4),
		adminCalls: make(chan adminLoopCall, maxAdminConns), logLines: make(chan string, loopLogQueueSize),
		startTime:           time.Now(),
		transport:           upstreamTransport{open: net.DialTimeout, timeout: c.ConnTimeouts.ConnectTimeout},
		settings:            c.Plan.Settings(),
		upstreamIdleTimeout: upstreamIdleTimeout(c.ConnTimeouts), maxConns: capacity.UpstreamConns,
		upstreamIDs: newUpstreamIDs(), requests: map[garnettide.RequestID]*request{}, openIDs: map[string]bool{}, requestIDs: &requestIDTable{},
		uptime:    readUptime,
		upstreams: map[garnettide.UpstreamID]*upstream{}, inMaintenance: map[string]garnettide.UpstreamID{},
		departedIDs: newDepartedIDs(), onListApplied: c.OnListApplied, capacity: capacity, collectorTarget: capacity.CollectorTarget(0),
		onCollectorTarget: c.OnCollectorTarget}
	// The clock starts at Unix time, so that discovery's timestamps can be compared with it, and advances with
	// the monotonic clock, so that it is not affected when the system clock is set.
	l.clockBase = time.Duration(l.startTime.UnixNano())
	l.memory.setLimit(capacity.BodyBytes)
	l.headMemory.setLimit(capacity.HeadBytes)
	l.memoryLog.limit = uint64(c.MemoryMB) << 20
	l.transport.now, l.transport.memory, l.transport.headMemory = l.now, &l.memory, &l.headMemory
	l.transport.onStreamStart = func(a *attempt, r *responseStream, load garnettide.Load) {
		l.post(streamStarted{a, r, load})
	}
	l.transport.onUploadStart = func(a *attempt) { l.post(uploadStarted{a}) }
	l.discoveryClient = newDiscoveryClient(ctx, c.Discovery, l.postList)
	if c.InheritedFD == 0 {
		// A process that takes over from another needs a list to become ready, so its first call requests the
		// whole one: discovery would respond to a watch from the cached revision only when the list changes.
		l.discoveryClient.recordRevision(c.CachedList.Revision)
	}
	return l
}

// now returns the time on the loop's clock: Unix time, continued by the monotonic clock.
func (l *loop) now() time.Duration { return l.clockBase + time.Since(l.startTime) }

// post sends an event to the loop, from any goroutine. It may block; the loop never waits for the sender.
func (l *loop) post(e event) { l.events <- e }

// postList sends the result of a discovery call to the loop, from any goroutine. It may block.
func (l *loop) postList(update listUpdate) { l.listUpdates <- update }

// start creates the Balancer and passes it the cached list. offline lists the upstreams in maintenance.
func (l *loop) start(c *Config, offline []string) {
	l.balancer = garnettide.NewWithPlan(c.Plan, c.Seed, l.now(), l)
	l.balancer.SetConnLimit(l.now(), l.maxConns)
	l.applyMaintenance(offline)
	l.applyList(garnettide.ListCached, c.CachedList)
	if !l.settings.PollDiscovery { // with PollDiscovery the Balancer requests lists itself
		l.Watch(true)
	}
}

// run handles events until the loop's context ends.
func (l *loop) run() {
	go l.writeLogs()
	clock := time.NewTimer(0)
	for {
		select { // lists and operators' calls have priority
		case update := <-l.listUpdates:
			l.applyListUpdate(update)
			continue
		case e := <-l.adminCalls:
			e.apply(l)
			l.reportPending()
			continue
		default:
		}
		l.fireTimers()
		if len(l.timers) > 0 {
			clock.Reset(max(0, l.timers[0].at-l.now()))
		}
		select {
		case update := <-l.listUpdates:
			l.applyListUpdate(update)
		case e := <-l.adminCalls:
			e.apply(l)
			l.reportPending()
		case e := <-l.events:
			l.handle(e)
		case <-clock.C:
		case <-l.ctx.Done():
			return
		}
	}
}

// handle applies an event after the lists that are already queued.
func (l *loop) handle(e event) {
	l.applyQueuedListUpdates()
	e.apply(l)
	l.reportPending()
	l.updateAdmission()
}

// updateAdmission tells the frontend whether the Balancer admits streamed requests.
func (l *loop) updateAdmission() { l.transfersRefused.Store(!l.balancer.AdmitsTransfers()) }

// applyQueuedListUpdates applies the lists in the queue.
func (l *loop) applyQueuedListUpdates() {
	for len(l.listUpdates) > 0 { // the loop is the only receiver
		l.applyListUpdate(<-l.listUpdates)
	}
}
