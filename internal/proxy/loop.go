package proxy

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"garnettide"
)

const (
	// idleCloseMargin is how long before the upstream's idle timeout an idle connection is closed. A request
	// written to a connection that the upstream has just closed fails with a reset.
	idleCloseMargin = 5 * time.Second
	// lateResponseTimeout and maxLateResponses limit, in time and in number per upstream, the connections that
	// stay open for a response that no client waits for any more. Reading the late response allows the
	// connection to be reused, which saves opening another. Upstreams that hang never send one.
	lateResponseTimeout = 3 * time.Second
	maxLateResponses    = 4
	// idleSweepInterval is the time between two checks for expired idle connections, and of the memory in use.
	idleSweepInterval = time.Second
	// connReuseDelay is how long a connection stays idle between two requests. Responses do not identify their
	// request, so a late duplicate response would be taken for the response to the next request. It is detected
	// if it arrives during the delay.
	connReuseDelay = 10 * time.Millisecond
	// loopLogQueueSize is how many log lines may wait to be written. Further ones are dropped.
	loopLogQueueSize = 256
	// initialListTimeout is how long a new process waits for discovery before it becomes ready with the cached
	// list. A new process must be ready within 6 s, and discovery fails calls after 2 s.
	initialListTimeout = 4 * time.Second
)

// event is applied by the loop on its own goroutine.
type event interface{ apply(l *loop) }

// request is a client's request. The frontend fills it in and passes it to the loop. Times are by the loop's
// clock.
type request struct {
	garnettide.Request
	clientRequestID string // X-Request-Id
	message         message
	at              time.Duration       // arrival of the last byte, unless the body is still arriving
	responseCh      chan clientResponse // buffered; takes the only response
	// clientGone prevents attempts from being written, even before the loop handles clientLeft. The frontend and
	// attempts set it.
	clientGone  atomic.Bool
	deadline    time.Duration // when the client stops waiting
	bodyPending bool          // the body is not complete, and the deadline is not set
	attempts    []*attempt
	inFlight    int  // attempts whose outcome has not been reported
	closed      bool // the response has been sent, or the client is gone
}

// upstream is the address and the connections of an upstream.
type upstream struct {
	id            garnettide.UpstreamID
	discoveryID   string
	address       string
	state         garnettide.State
	idleConns     []*conn               // most recently used last
	inFlight      map[*attempt]struct{} // attempts that hold a connection or are opening one
	lateResponses int                   // attempts among them that await a late response
}

// loopTimer is the timeout of an attempt, the deadline of a request or a timer of the Balancer. It names its request by
// ID, so that it keeps no ended request in memory.
type loopTimer struct {
	at      time.Duration
	serial  uint64               // orders timers of the same time
	token   uint64               // passed to Balancer.Timer
	request garnettide.RequestID // 0: a timer of the Balancer
	attempt int                  // index of the request's attempt, or allAttempts for the request's deadline
}

// allAttempts in a loopTimer stands for all attempts of a request.
const allAttempts = -1

// timers is a heap of timers, the earliest first.
type timers []loopTimer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || (t[i].at == t[j].at && t[i].serial < t[j].serial)
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(loopTimer)) }
func (t *timers) Pop() any {
	old := *t
	x := old[len(old)-1]
	old[len(old)-1] = loopTimer{}
	*t = old[:len(old)-1]
	return x
}

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
	openIDs         map[string]bool // client request IDs of the entries of requests
	upstreams       map[garnettide.UpstreamID]*upstream
	inMaintenance   map[string]garnettide.UpstreamID // upstreams in maintenance, by discovery ID
	recentIDs       *recentIDs
	connCount       int              // connections to upstreams, open or being opened
	pendingOutcomes []pendingOutcome // collected because methods of Host must not call the Balancer
	nextIdleSweep   time.Duration
}

// pendingOutcome is an outcome that is reported once the Balancer has returned.
type pendingOutcome struct {
	attempt *attempt
	status  garnettide.Status
}

var _ garnettide.Host = (*loop)(nil)

func newLoop(ctx context.Context, c *Config) *loop {
	l := &loop{ctx: ctx, events: make(chan event, 1024), listUpdates: make(chan listUpdate, 4),
		adminCalls: make(chan adminLoopCall, maxAdminConns), logLines: make(chan string, loopLogQueueSize),
		startTime:           time.Now(),
		transport:           upstreamTransport{open: net.DialTimeout, timeout: c.ConnTimeouts.ConnectTimeout},
		settings:            c.Plan.Settings(),
		upstreamIdleTimeout: upstreamIdleTimeout(c.ConnTimeouts), maxConns: c.maxUpstreamConns(),
		upstreamIDs: newUpstreamIDs(), requests: map[garnettide.RequestID]*request{}, openIDs: map[string]bool{},
		upstreams: map[garnettide.UpstreamID]*upstream{}, inMaintenance: map[string]garnettide.UpstreamID{},
		recentIDs: newRecentIDs(), onListApplied: c.OnListApplied}
	// The clock starts at Unix time, so that discovery's timestamps can be compared with it, and advances with
	// the monotonic clock, so that it is not affected when the system clock is set.
	l.clockBase = time.Duration(l.startTime.UnixNano())
	l.memory.setLimit(c.bodyMemoryLimit())
	l.headMemory.setLimit(c.headMemoryLimit())
	l.memoryLog.limit = uint64(c.MemoryMB) << 20
	l.transport.now, l.transport.memory, l.transport.headMemory = l.now, &l.memory, &l.headMemory
	l.transport.onStreamStart = func(a *attempt, r *responseStream, load garnettide.Load) {
		l.post(streamStarted{a, r, load})
	}
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
}

// applyQueuedListUpdates applies the lists in the queue.
func (l *loop) applyQueuedListUpdates() {
	for len(l.listUpdates) > 0 { // the loop is the only receiver
		l.applyListUpdate(<-l.listUpdates)
	}
}

// fireTimers handles the expired timers, each after the lists that are already queued, since a timer may
// send a request.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now() {
		l.applyQueuedListUpdates()
		if t := heap.Pop(&l.timers).(loopTimer); t.request == 0 {
			l.balancer.Timer(l.now(), t.token)
		} else {
			l.expireAttempts(t.request, t.attempt)
		}
		l.reportPending()
	}
	if now := l.now(); now >= l.nextIdleSweep {
		l.nextIdleSweep = now + idleSweepInterval
		l.closeExpiredIdle(now)
		l.logMemory(readMemoryUsage())
	}
}

// addTimer adds a timer and assigns its serial.
func (l *loop) addTimer(t loopTimer) {
	l.serial++
	t.serial = l.serial
	heap.Push(&l.timers, t)
}

// --- Requests and attempts ---

// requestReceived passes a client's request to the Balancer.
type requestReceived struct{ *request }

func (e requestReceived) apply(l *loop) {
	r := e.request
	if l.openIDs[r.clientRequestID] { // the upstream could not tell the two apart; the earlier one goes on
		r.closed = true
		r.message.release(&l.memory)
		r.responseCh <- clientResponse{status: http.StatusConflict}
		return
	}
	l.openIDs[r.clientRequestID] = true
	l.serial++
	r.ID = garnettide.RequestID(l.serial) // not the client's ID, which need not be unique
	now := l.now()
	if r.Streaming = r.message.rest != nil; r.Streaming {
		r.bodyPending = true
	} else {
		r.deadline = r.at + r.Budget
		r.Budget = max(0, r.deadline-now)
		l.addTimer(loopTimer{at: r.deadline, request: r.ID, attempt: allAttempts})
	}
	l.requests[r.ID] = r
	l.balancer.Request(now, r.Request)
}

// remaining returns how long the client still waits. That time starts only when the body is complete.
func (r *request) remaining(now time.Duration) time.Duration {
	if r.bodyPending {
		return r.Budget
	}
	return r.deadline - now
}

// bodyReceived reports that the body of a streaming request is complete, and how long its client still waits.
type bodyReceived struct {
	*request
	at     time.Duration
	budget time.Duration // from at on
}

func (e bodyReceived) apply(l *loop) {
	r := e.request
	if r.closed || !r.bodyPending {
		return
	}
	r.bodyPending, r.deadline = false, e.at+e.budget
	l.addTimer(loopTimer{at: r.deadline, request: r.ID, attempt: allAttempts})
	now := l.now()
	for _, a := range r.attempts {
		a.sentAt = now
	}
	l.balancer.BodyComplete(now, r.ID)
}

// bodyExpired reports that the client of a streaming request no longer waits although the body is not complete.
type bodyExpired struct{ *request }

func (e bodyExpired) apply(l *loop) {
	r := e.request
	if r.closed || !r.bodyPending {
		return
	}
	r.bodyPending, r.deadline = false, l.now()
	l.expireAttempts(r.ID, allAttempts)
}

// clientLeft reports that the client has closed its connection.
type clientLeft struct{ *request }

func (e clientLeft) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.closeRequest(r)
		l.balancer.ClientGone(l.now(), r.ID)
		return
	}
	select { // discards a response that the client has not taken
	case resp := <-r.responseCh:
		if resp.responseStream != nil {
			resp.responseStream.done <- errResponseUnwanted
		}
	default:
	}
}

// streamStarted reports that a response begins to be streamed to the client. From then on no deadline ends
// its attempt.
type streamStarted struct {
	*attempt
	*responseStream
	load garnettide.Load
}

func (e streamStarted) apply(l *loop) {
	a, r := e.attempt, e.attempt.req
	if a.reported || r.closed {
		e.responseStream.done <- errResponseUnwanted
		return
	}
	a.streamStarted = true
	l.respond(r, clientResponse{status: http.StatusOK, contentType: e.contentType,
		responseStream: e.responseStream})
	now := l.now()
	l.balancer.ResponseStarted(now, garnettide.Outcome{ID: r.ID, Upstream: a.upstream.id, Attempt: a.index,
		Latency: now - a.sentAt, Status: garnettide.OK, RequestDone: true, Load: e.load})
}

// attemptFinished reports the end of an attempt on its connection.
type attemptFinished struct {
	*attempt
	attemptResult
}

func (e attemptFinished) apply(l *loop) {
	a := e.attempt
	delete(a.upstream.inFlight, a)
	if a.awaitsLateResponse {
		a.upstream.lateResponses--
	}
	if c := e.attemptResult.conn; c != nil && a.aborted {
		// The response arrived just before the abort, which has closed the connection for writing.
		l.closeConns(c)
	} else {
		l.releaseConn(a.upstream, c)
	}
	l.reportOutcome(a, e.attemptResult)
	l.deleteUpstreamIfRemoved(a.upstream)
}

// reportOutcome reports the only outcome of an attempt to the Balancer, and responds to the client if the
// attempt succeeded.
func (l *loop) reportOutcome(a *attempt, result attemptResult) {
	if a.reported {
		return
	}
	a.reported = true
	req, now := a.req, l.now()
	if result.status == garnettide.OK && !req.closed {
		l.respond(req, clientResponse{status: http.StatusOK, body: result.body, contentType: result.contentType})
	}
	req.inFlight--
	a.neverRan = result.status.NeverRan()
	closed := req.closed
	l.deleteRequestIfDone(req)
	l.balancer.Outcome(now, garnettide.Outcome{ID: req.ID, Upstream: a.upstream.id, Attempt: a.index,
		Latency: now - a.sentAt, Status: result.status, RequestDone: closed,
		BodyConsumed: req.message.rest != nil && req.message.rest.started.Load(), Load: result.load})
}

// reportPending reports the outcomes that were collected while the Balancer was running.
func (l *loop) reportPending() {
	for len(l.pendingOutcomes) > 0 {
		o := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.endAttempt(o.attempt, o.status)
	}
	l.pendingOutcomes = nil
}

// endAttempt ends an attempt with a status, or with NotSent if this call drops it. If the request is closed or
// past its deadline, the connection may stay open for a late response.
func (l *loop) endAttempt(a *attempt, status garnettide.Status) {
	if a.reported {
		return
	}
	if a.drop() {
		status = garnettide.NotSent
	} else if a.stage.Load() >= attemptClaimed {
		if a.uploadDone == nil && (a.req.closed || l.now() >= a.req.deadline) &&
			a.upstream.lateResponses < maxLateResponses && l.usable(a.upstream) {
			a.awaitsLateResponse = true
			a.upstream.lateResponses++
			a.setReadDeadline(time.Now().Add(lateResponseTimeout))
		} else { // before the outcome is reported: a retry must not be written beside this attempt
			a.aborted = true
			a.abort()
		}
	}
	l.reportOutcome(a, attemptResult{status: status})
}

// expireAttempts ends one attempt or all attempts of a request that have timed out. A request that is not open has none
// whose outcome is not reported.
func (l *loop) expireAttempts(id garnettide.RequestID, index int) {
	r := l.requests[id]
	switch {
	case r == nil:
	case index == allAttempts:
		for _, a := range r.attempts {
			l.expireAttempt(a)
		}
	default:
		l.expireAttempt(r.attempts[index])
	}
}

// expireAttempt ends an attempt that has timed out, unless its response is being streamed. An upstream that has
// not taken the whole request cannot have executed it.
func (l *loop) expireAttempt(a *attempt) {
	switch {
	case a.reported || a.streamStarted:
	case a.abandonUpload():
		l.endAttempt(a, garnettide.ConnectFailed)
	default:
		l.endAttempt(a, garnettide.Timeout)
	}
}

// respond sends the only response to a request, if it is still open.
func (l *loop) respond(r *request, resp clientResponse) {
	if !r.closed {
		l.closeRequest(r)
		r.responseCh <- resp
	}
}

// closeRequest marks a request as done. Attempts that are still waiting for a connection are dropped, so that
// nothing is written after the final response.
func (l *loop) closeRequest(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		}
	}
	l.deleteRequestIfDone(r)
}

// deleteRequestIfDone deletes a request that is closed and has no attempts in flight.
func (l *loop) deleteRequestIfDone(r *request) {
	if r.closed && r.inFlight == 0 {
		if _, open := l.requests[r.ID]; open {
			r.message.release(&l.memory)
		}
		delete(l.requests, r.ID)
		delete(l.openIDs, r.clientRequestID)
	}
}

// --- Host: actions of the Balancer ---

// Send starts an attempt. The attempt is not written, and its outcome is NotSent, if the request is closed or
// out of time, or if the upstream is not usable or no connection is available.
func (l *loop) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, window time.Duration) {
	r, u := l.requests[id], l.upstreams[up]
	if r == nil || u == nil { // the Balancer knows only requests and upstreams of the loop
		l.Log(fmt.Sprintf("send with unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	copied := r.message
	a := &attempt{req: r, index: len(r.attempts), upstream: u, sentAt: now, address: u.address, message: &copied}
	for _, other := range r.attempts {
		if window > 0 && !other.neverRan { // connections may be opened late and in any order
			a.writeBefore(other.sentAt + window)
			other.writeBefore(now + window)
		}
	}
	r.attempts, r.inFlight = append(r.attempts, a), r.inFlight+1
	if r.message.rest != nil {
		a.uploadDone = make(chan struct{})
	}
	responseTimeout := r.remaining(now)
	if timeout > 0 && timeout < responseTimeout {
		responseTimeout = timeout
		l.addTimer(loopTimer{at: now + timeout, request: r.ID, attempt: a.index})
	}
	if a.responseTimeout = responseTimeout; !r.bodyPending {
		a.responseDeadline = now + responseTimeout
	}
	if r.closed || responseTimeout <= 0 || !l.usable(u) {
		a.drop()
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		return
	}
	var available bool
	if a.conn, available = l.acquireConn(u, now); !available { // not the upstream's fault
		a.drop()
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		return
	}
	u.inFlight[a] = struct{}{}
	go func(t upstreamTransport) { // a copy: a reload may change the loop's
		l.post(attemptFinished{a, t.run(a)})
	}(l.transport)
}

// acquireConn returns the most recently used idle connection to u that is past connReuseDelay. If there is
// none it returns nil, and counts a connection that the caller opens. At the limit it closes the connection
// that has been idle longest, and reports false if none is idle.
func (l *loop) acquireConn(u *upstream, now time.Duration) (c *conn, available bool) {
	for i := len(u.idleConns) - 1; i >= 0; i-- {
		if now-u.idleConns[i].idleAt >= connReuseDelay {
			c = u.idleConns[i]
			u.idleConns = slices.Delete(u.idleConns, i, i+1)
			return c, true
		}
	}
	if l.connCount >= l.maxConns && !l.closeLongestIdle() {
		return nil, false
	}
	l.connCount++
	return nil, true
}

// Refuse responds with 503: the request was not served and may be retried.
func (l *loop) Refuse(id garnettide.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.RetryAfter {
			retryAfter = 0
		}
		l.respond(r, clientResponse{status: http.StatusServiceUnavailable,
			retryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter)})
	}
}

// Fail responds with 502, or with 504 after the deadline: the request may have been executed.
func (l *loop) Fail(id garnettide.RequestID) {
	if r := l.requests[id]; r != nil {
		status := http.StatusBadGateway
		if !r.bodyPending && l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.respond(r, clientResponse{status: status})
	}
}

// Cancel ends an attempt, unless its response is being streamed.
func (l *loop) Cancel(id garnettide.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].streamStarted {
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{r.attempts[n], garnettide.Cancelled})
	}
}

// SetTimer schedules a call of Balancer.Timer.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.addTimer(loopTimer{at: l.now() + max(after, 0), token: token})
}

// Log queues a line for writeLogs. It drops the line if the queue is full.
func (l *loop) Log(text string) {
	select {
	case l.logLines <- text:
	default:
	}
}

// writeLogs writes the queued log lines until the loop's context ends.
func (l *loop) writeLogs() {
	for {
		select {
		case text := <-l.logLines:
			slog.Info(text)
		case <-l.ctx.Done():
			return
		}
	}
}

// Watch starts or stops watching discovery.
func (l *loop) Watch(on bool) {
	if l.stopWatch != nil {
		l.stopWatch()
		l.stopWatch = nil
	}
	if on {
		ctx, cancel := context.WithCancel(l.discoveryClient.ctx)
		l.stopWatch = cancel
		go l.discoveryClient.watch(ctx)
	}
}

// Fetch requests the whole list from discovery.
func (l *loop) Fetch() { go l.discoveryClient.fetch() }

// Probe requests an upstream's load report, or only its health if reports are disabled. Nothing is reported to
// the Balancer if the upstream is not usable or no connection is available.
func (l *loop) Probe(up garnettide.UpstreamID) {
	u := l.upstreams[up]
	if u == nil || !l.usable(u) {
		return
	}
	p := &probe{upstream: u, sentAt: l.now(), address: u.address, load: l.settings.Reports != garnettide.ReportNone}
	var available bool
	if p.conn, available = l.acquireConn(u, p.sentAt); !available {
		return
	}
	go func(t upstreamTransport) {
		l.post(probeFinished{p, t.probe(p)})
	}(l.transport)
}

// probeFinished reports the end of a probe.
type probeFinished struct {
	*probe
	attemptResult
}

func (e probeFinished) apply(l *loop) {
	l.releaseConn(e.upstream, e.attemptResult.conn)
	now := l.now()
	l.balancer.Probed(now, garnettide.ProbeResult{Upstream: e.upstream.id, Latency: now - e.sentAt,
		Status: e.status, Load: e.attemptResult.load})
}

// --- Connections ---

// releaseConn takes back a connection after use; nil stands for one that has been closed.
func (l *loop) releaseConn(u *upstream, c *conn) {
	switch {
	case c == nil:
		l.connCount--
	case !l.usable(u) || c.RemoteAddr().String() != u.address:
		l.closeConns(c)
	case c.SetDeadline(time.Time{}) != nil: // a deadline may have been set as the response arrived
		l.closeConns(c)
	default:
		c.idleAt = l.now()
		u.idleConns = append(u.idleConns, c)
	}
}

// closeConns closes unused connections on another goroutine, so that the loop does not wait.
func (l *loop) closeConns(cs ...*conn) {
	if l.connCount -= len(cs); len(cs) > 0 {
		go func() {
			for _, c := range cs {
				c.Close()
			}
		}()
	}
}

// setConnLimit sets the limit of connections to upstreams, and closes idle ones above it.
func (l *loop) setConnLimit(limit int) {
	l.maxConns = limit
	for l.connCount > limit && l.closeLongestIdle() {
	}
}

// closeLongestIdle closes the connection that has been idle longest, and reports whether there was one.
func (l *loop) closeLongestIdle() bool {
	var longest *upstream
	for _, u := range l.upstreams {
		if len(u.idleConns) > 0 && (longest == nil || u.idleConns[0].idleAt < longest.idleConns[0].idleAt) {
			longest = u
		}
	}
	if longest == nil {
		return false
	}
	l.closeConns(longest.idleConns[0])
	longest.idleConns = slices.Delete(longest.idleConns, 0, 1)
	return true
}

// closeExpiredIdle closes the connections that have reached the idle timeout, which come first among the idle
// ones.
func (l *loop) closeExpiredIdle(now time.Duration) {
	for _, u := range l.upstreams {
		n := 0
		for n < len(u.idleConns) && now-u.idleConns[n].idleAt >= l.upstreamIdleTimeout {
			n++
		}
		if n > 0 {
			l.closeConns(u.idleConns[:n]...)
			u.idleConns = append([]*conn(nil), u.idleConns[n:]...)
		}
	}
}

// Disconnect closes the idle connections to an upstream.
func (l *loop) Disconnect(up garnettide.UpstreamID) {
	if u := l.upstreams[up]; u != nil {
		l.closeConns(u.idleConns...)
		u.idleConns = nil
	}
}

// deleteUpstreamIfRemoved deletes an upstream that has been removed and has no attempts in flight.
func (l *loop) deleteUpstreamIfRemoved(u *upstream) {
	if u.state == garnettide.Removed && len(u.inFlight) == 0 && l.upstreams[u.id] == u {
		delete(l.upstreams, u.id)
		l.releaseID(u.discoveryID)
	}
}

// releaseID frees the number of a discovery ID, unless the upstream is in maintenance, which the Balancer
// knows by that number.
func (l *loop) releaseID(id string) {
	if _, inMaintenance := l.inMaintenance[id]; !inMaintenance {
		l.upstreamIDs.release(id)
	}
}

// usable reports whether requests may be sent to u.
func (l *loop) usable(u *upstream) bool {
	_, inMaintenance := l.inMaintenance[u.discoveryID]
	return u.state == garnettide.Active && !inMaintenance
}

// applyMaintenance puts exactly the offline upstreams in maintenance. It reports true once no request is
// being written to them.
func (l *loop) applyMaintenance(offline []string) bool {
	written := true
	for id := range l.inMaintenance {
		if !slices.Contains(offline, id) {
			l.setMaintenance(id, false)
		}
	}
	for _, id := range offline {
		written = l.setMaintenance(id, true) && written
	}
	return written
}

// setMaintenance puts an upstream in maintenance or ends its maintenance. It reports false while a request
// is being written to the upstream.
func (l *loop) setMaintenance(id string, on bool) bool {
	number, inMaintenance := l.inMaintenance[id]
	if !on {
		if inMaintenance {
			delete(l.inMaintenance, id)
			l.balancer.SetMaintenance(l.now(), number, false)
			if l.upstreams[number] == nil {
				l.releaseID(id)
			}
			l.Log("upstream " + id + " is back from maintenance")
		}
		return true
	}
	if !inMaintenance {
		number = l.upstreamIDs.id(id)
		l.inMaintenance[id] = number
		l.Log("upstream " + id + " is left out for maintenance")
	}
	written := true
	if u := l.upstreams[number]; u != nil {
		l.Disconnect(number)
		for a := range u.inFlight {
			if a.drop() { // it was waiting for a connection
				l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
			}
			written = written && a.stage.Load() != attemptClaimed
		}
	}
	l.balancer.SetMaintenance(l.now(), number, true)
	return written
}

// --- Discovery ---

// applyListUpdate handles the result of a discovery call.
func (l *loop) applyListUpdate(update listUpdate) {
	switch {
	case update.from != l.discoveryClient: // from a discovery address that has been replaced
		return
	case errors.Is(update.err, errWatchSilent):
		l.Log(update.err.Error())
		l.balancer.Members(l.now(), garnettide.ListStale, nil)
	case update.err != nil:
		l.Log(update.err.Error())
		l.balancer.Members(l.now(), garnettide.ListFailed, nil)
	case update.Revision < l.revision: // a newer list has been applied, which this one must not undo
		l.Log(fmt.Sprintf("discovery: ignoring revision %d, already at %d", update.Revision, l.revision))
	case update.Complete:
		l.listReceived = true
		l.applyList(garnettide.ListFull, update.discoveryList)
	default:
		l.listReceived = true
		l.applyList(garnettide.ListDelta, update.discoveryList)
	}
	l.reportPending()
}

// missing returns the reason why this process is not ready, or an empty string. The cached list suffices if
// discovery has not sent a list within initialListTimeout.
func (l *loop) missing() string {
	if !l.listReceived && (len(l.upstreams) == 0 || l.now()-l.clockBase < initialListTimeout) {
		return "discovery has not told its list yet"
	}
	return ""
}

// applyList applies a list, first to the loop's upstreams and then to the Balancer. The Balancer may send
// at once, and nothing must be sent to an upstream that is draining.
func (l *loop) applyList(mode garnettide.ListMode, list discoveryList) {
	l.revision = list.Revision
	entries := make([]garnettide.Upstream, 0, len(list.Members))
	present := make(map[garnettide.UpstreamID]bool, len(list.Members))
	for i := range list.Members {
		m := &list.Members[i]
		entry := m.upstream(l.upstreamIDs.id(m.ID))
		present[entry.ID] = true
		l.recentIDs.add(m.ID)
		entries = append(entries, entry)
		l.applyMember(entry, m)
	}
	for id, u := range l.upstreams {
		if mode != garnettide.ListDelta && !present[id] {
			u.state = garnettide.Removed
			l.Disconnect(id)
		}
		if u.state != garnettide.Active {
			for a := range u.inFlight {
				if a.drop() { // it was waiting for a connection
					l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
				}
			}
		}
	}
	l.balancer.Members(l.now(), mode, entries)
	l.reportPending()
	for _, u := range l.upstreams {
		l.deleteUpstreamIfRemoved(u)
	}
	if l.onListApplied != nil {
		l.onListApplied(list.Revision)
	}
}

// applyMember applies one entry of a list.
func (l *loop) applyMember(entry garnettide.Upstream, m *member) {
	u, address := l.upstreams[entry.ID], m.HostPort
	if u == nil {
		if entry.State == garnettide.Removed {
			l.releaseID(m.ID)
			return
		}
		u = &upstream{id: entry.ID, discoveryID: m.ID, inFlight: map[*attempt]struct{}{}}
		l.upstreams[entry.ID] = u
	}
	if u.state = entry.State; entry.State != garnettide.Active || (address != u.address && u.address != "") {
		l.Disconnect(entry.ID)
	}
	if entry.State != garnettide.Removed {
		u.address = address
	}
}
