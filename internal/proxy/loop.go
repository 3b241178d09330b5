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
	// spareIdle is how long before the upstream would an idle connection is closed: a request written to one that
	// the upstream has just closed ends as a reset.
	idleCloseMargin = 5 * time.Second
	// lingerFor and lingerMost bound the connections of attempts whose client has gone. The upstream works on
	// regardless, and a connection kept for the late answer saves the next handshake; but hung upstreams never
	// answer.
	lateResponseTimeout = 3 * time.Second
	maxLateResponses    = 4
	idleSweepInterval   = time.Second
	// restFor is how long a connection rests between two requests. Answers do not name their request: a second copy
	// that comes late, after the next request is written, would pass for its answer. In a rest it is seen instead.
	connReuseDelay   = 10 * time.Millisecond
	loopLogQueueSize = 256
	// listPatience is how long a start waits for discovery's list before the one held from before has to do: a new
	// process is given 6 s to be ready, and discovery fails calls after 2 s.
	initialListTimeout = 4 * time.Second
)

// event is something that happened outside, told to the loop.
type event interface{ apply(l *loop) }

// request is a client's request. The frontend fills it in; from then on it is the loop's.
type request struct {
	garnettide.Request
	clientRequestID string // the client's id of it
	message         message
	at              time.Duration // when its last byte had come
	responseCh      chan answer   // holds the one answer
	clientGone      atomic.Bool   // its client has gone: what is not written yet is not sent on, before the loop hears of it
	deadline        time.Duration
	bodyPending     bool // its body still comes: its time has not begun
	attempts        []*attempt
	inFlight        int // attempts whose outcome the module has not had
	closed          bool
}

// peer is what the loop knows of an upstream's address and connections.
type upstream struct {
	id            garnettide.UpstreamID
	discoveryID   string // discovery's id
	address       string
	state         garnettide.State
	idleConns     []*conn // the most recently used last
	inFlight      map[*attempt]struct{}
	lateResponses int
}

// alarm is a timer of the module's, a request's deadline, or an attempt's time-out.
type loopTimer struct {
	at      time.Duration
	serial  uint64 // alarms of one moment go off in the order they were set
	token   uint64
	request *request
	attempt *attempt
}

type timers []loopTimer

func (a timers) Len() int { return len(a) }
func (a timers) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].serial < a[j].serial)
}
func (a timers) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *timers) Push(x any)   { *a = append(*a, x.(loopTimer)) }
func (a *timers) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = loopTimer{}
	*a = old[:len(old)-1]
	return x
}

// loop owns the Balancer, from one goroutine. Everything here runs on that goroutine but for post, now and what is
// started with go. It never waits for anything but its channels.
type loop struct {
	balancer            *garnettide.Balancer
	ctx                 context.Context
	events              chan event
	listUpdates         chan listUpdate // taken before any event: no send after a drain that has been told
	adminCalls          chan called     // the operators', taken before any event
	logLines            chan string
	startTime           time.Time
	clockBase           time.Duration
	discoveryClient     *discoveryClient
	stopWatch           context.CancelFunc // nil: the module does not follow discovery
	transport           upstreamTransport
	memory              holder
	settings            garnettide.Settings
	upstreamIdleTimeout time.Duration
	maxConns            int
	onListApplied       func(revision uint64) // nil: nobody is told

	upstreamIDs     *upstreamIDs
	revision        uint64
	listReceived    bool // discovery has been heard by this process
	serial          uint64
	timers          timers
	requests        map[garnettide.RequestID]*request
	openIDs         map[string]bool // the clients' ids of these
	upstreams       map[garnettide.UpstreamID]*upstream
	inMaintenance   map[string]garnettide.UpstreamID // in maintenance, by discovery's ids
	recentIDs       *recentIDs
	connCount       int              // connections to upstreams, open or opening
	pendingOutcomes []pendingOutcome // outcomes that are known but not told: the module is not called while it calls
	nextIdleSweep   time.Duration
}

// pendingOutcome is an outcome to tell as soon as the module has returned.
type pendingOutcome struct {
	attempt *attempt
	status  garnettide.Status
}

var _ garnettide.Host = (*loop)(nil)

func newLoop(ctx context.Context, c *Config) *loop {
	l := &loop{ctx: ctx, events: make(chan event, 1024), listUpdates: make(chan listUpdate, 4), adminCalls: make(chan called, adminConns), logLines: make(chan string, loopLogQueueSize),
		startTime: time.Now(), transport: upstreamTransport{open: net.DialTimeout, timeout: c.ConnTimeouts.ConnectTimeout}, settings: c.Plan.Settings(),
		upstreamIdleTimeout: upstreamIdleTimeout(c.ConnTimeouts), maxConns: c.maxUpstreamConns(),
		upstreamIDs: newUpstreamIDs(), requests: map[garnettide.RequestID]*request{}, openIDs: map[string]bool{},
		upstreams: map[garnettide.UpstreamID]*upstream{}, inMaintenance: map[string]garnettide.UpstreamID{}, recentIDs: newRecentIDs(),
		onListApplied: c.OnListApplied}
	// The clock is Unix time at the start, going on by the monotonic clock: what discovery dates stands on it as it
	// is, also from before this process, and a clock that is set does not move it.
	l.clockBase = time.Duration(l.startTime.UnixNano())
	l.memory.room.Store(c.bodyMemory())
	l.transport.now, l.transport.memory = l.now, &l.memory
	l.transport.onStreamStart = func(a *attempt, r *relay, load garnettide.Load) { l.post(streamStarted{a, r, load}) }
	l.discoveryClient = newDiscoveryClient(ctx, c.Discovery, l.postList)
	if c.InheritedFD == 0 { // else this process is ready once it has the list, and a watch answers only when that changes
		l.discoveryClient.recordRevision(c.CachedList.Revision)
	}
	return l
}

// now is the loop's clock.
func (l *loop) now() time.Duration { return l.clockBase + time.Since(l.startTime) }

// post tells the loop of an event. It may wait; the loop never waits for who posts.
func (l *loop) post(e event) { l.events <- e }

// list tells the loop of an answer of discovery.
func (l *loop) postList(update listUpdate) { l.listUpdates <- update }

// start makes the Balancer and tells it the upstreams that were known before.
func (l *loop) start(c *Config, offline []string) {
	l.balancer = garnettide.NewWithPlan(c.Plan, c.Seed, l.now(), l)
	l.applyMaintenance(offline)
	l.applyList(garnettide.ListCached, c.CachedList)
	if !l.settings.PollDiscovery { // lists that are pushed come without the module's asking
		l.Watch(true)
	}
}

// run handles events until the context ends.
func (l *loop) run() {
	go l.writeLogs()
	clock := time.NewTimer(0)
	for {
		select { // lists and operators go first
		case x := <-l.listUpdates:
			l.applyListUpdate(x)
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
		case x := <-l.listUpdates:
			l.applyListUpdate(x)
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

// handle takes an event, behind the lists that have come before it is handled.
func (l *loop) handle(e event) {
	l.applyQueuedListUpdates()
	e.apply(l)
	l.reportPending()
}

// hearAll takes the lists that have come.
func (l *loop) applyQueuedListUpdates() {
	for len(l.listUpdates) > 0 { // only the loop takes from it
		l.applyListUpdate(<-l.listUpdates)
	}
}

// ring lets the alarms go off that are due. Each may send something, so each waits for the lists that have come.
func (l *loop) fireTimers() {
	for len(l.timers) > 0 && l.timers[0].at <= l.now() {
		l.applyQueuedListUpdates()
		switch a := heap.Pop(&l.timers).(loopTimer); {
		case a.attempt != nil:
			l.expireAttempt(a.attempt)
		case a.request != nil:
			for _, at := range a.request.attempts {
				l.expireAttempt(at)
			}
		default:
			l.balancer.Timer(l.now(), a.token)
		}
		l.reportPending()
	}
	if now := l.now(); now >= l.nextIdleSweep {
		l.nextIdleSweep = now + idleSweepInterval
		l.closeExpiredIdle(now)
	}
}

func (l *loop) addTimer(a loopTimer) {
	l.serial++
	a.serial = l.serial
	heap.Push(&l.timers, a)
}

// --- Requests and attempts ---

// arrived is a client's request.
type requestReceived struct{ *request }

func (e requestReceived) apply(l *loop) {
	r := e.request
	if l.openIDs[r.clientRequestID] { // an upstream could not tell the two apart: the newcomer goes, the first is spared
		r.closed = true
		l.memory.give(r.message.body)
		r.responseCh <- answer{status: http.StatusConflict}
		return
	}
	l.openIDs[r.clientRequestID] = true
	l.serial++
	r.ID = garnettide.RequestID(l.serial) // the module's own: what clients send need not be unique
	now := l.now()
	if r.Streaming = r.message.rest != nil; r.Streaming {
		r.bodyPending = true
	} else {
		r.deadline = r.at + r.Budget
		r.Budget = max(0, r.deadline-now)
		l.addTimer(loopTimer{at: r.deadline, request: r})
	}
	l.requests[r.ID] = r
	l.balancer.Request(now, r.Request)
}

// left is how long the client still waits.
func (r *request) remaining(now time.Duration) time.Duration {
	if r.bodyPending {
		return r.Budget
	}
	return r.deadline - now
}

// whole tells that an open request's last byte has come: its time begins.
type bodyReceived struct {
	*request
	at     time.Duration
	budget time.Duration
}

func (e bodyReceived) apply(l *loop) {
	r := e.request
	if r.closed {
		return
	}
	r.bodyPending, r.deadline = false, e.at+min(e.budget, r.Budget)
	l.addTimer(loopTimer{at: r.deadline, request: r})
	now := l.now()
	for _, a := range r.attempts {
		a.sentAt = now
	}
	l.balancer.BodyComplete(now, r.ID)
}

// left tells that a client has closed its connection.
type clientLeft struct{ *request }

func (e clientLeft) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.close(r)
		l.balancer.ClientGone(l.now(), r.ID)
		return
	}
	select { // it may have been given an answer that it does not take
	case a := <-r.responseCh:
		if a.relay != nil {
			a.relay.done <- errResponseUnwanted
		}
	default:
	}
}

// begun tells that an answer passes on. It is the client's from here on, and no deadline ends it.
type streamStarted struct {
	*attempt
	*relay
	load garnettide.Load
}

func (e streamStarted) apply(l *loop) {
	a, r := e.attempt, e.attempt.req
	if a.reported || r.closed {
		e.relay.done <- errResponseUnwanted
		return
	}
	a.streamStarted = true
	l.respond(r, answer{status: http.StatusOK, kind: e.header.Get("Content-Type"), relay: e.relay})
	now := l.now()
	l.balancer.ResponseStarted(now, garnettide.Outcome{ID: r.ID, Upstream: a.upstream.id, Attempt: a.index, Latency: now - a.sentAt,
		Status: garnettide.OK, RequestDone: true, Load: e.load})
}

// finished is the end of an attempt on its connection.
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
	if c := e.attemptResult.conn; c != nil && a.aborted { // the answer came just then: nothing can be written on it any more
		l.closeConns(c)
	} else {
		l.releaseConn(a.upstream, c)
	}
	l.reportOutcome(a, e.attemptResult)
	l.dropIfRemoved(a.upstream)
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (l *loop) reportOutcome(a *attempt, result attemptResult) {
	if a.reported {
		return
	}
	a.reported = true
	req, now := a.req, l.now()
	if result.status == garnettide.OK && !req.closed {
		l.respond(req, answer{status: http.StatusOK, body: result.body, kind: result.contentType})
	}
	req.inFlight--
	a.neverRan = result.status.NeverRan()
	closed := req.closed
	l.releaseRequest(req)
	l.balancer.Outcome(now, garnettide.Outcome{ID: req.ID, Upstream: a.upstream.id, Attempt: a.index, Latency: now - a.sentAt,
		Status: result.status, RequestDone: closed, BodyConsumed: req.message.rest != nil && req.message.rest.taken.Load(), Load: result.load})
}

// settle tells the outcomes that came up while the module was calling.
func (l *loop) reportPending() {
	for len(l.pendingOutcomes) > 0 {
		o := l.pendingOutcomes[0]
		l.pendingOutcomes = l.pendingOutcomes[1:]
		l.endAttempt(o.attempt, o.status)
	}
	l.pendingOutcomes = nil
}

// end stops waiting for an attempt. One that was never written is moot.
func (l *loop) endAttempt(a *attempt, status garnettide.Status) {
	if a.reported {
		return
	}
	if a.drop() {
		status = garnettide.NotSent
	} else if a.stage.Load() >= attemptClaimed {
		if a.uploadDone == nil && (a.req.closed || l.now() >= a.req.deadline) && a.upstream.lateResponses < maxLateResponses && l.usable(a.upstream) {
			a.awaitsLateResponse = true
			a.upstream.lateResponses++
			a.setReadDeadline(time.Now().Add(lateResponseTimeout))
		} else { // before the module is told: what it sends next would count as a second copy
			a.aborted = true
			a.abort()
		}
	}
	l.reportOutcome(a, attemptResult{status: status})
}

// expire ends an attempt whose time is up.
func (l *loop) expireAttempt(a *attempt) {
	if !a.reported && !a.streamStarted {
		l.endAttempt(a, garnettide.Timeout)
	}
}

// answer gives a client the one answer.
func (l *loop) respond(r *request, a answer) {
	if !r.closed {
		l.close(r)
		r.responseCh <- a
	}
}

// close notes that nothing more is owed for r. What of it still waits for a connection goes nowhere from here on: a
// second copy that is written behind the answer would be a request that nobody asks any more.
func (l *loop) close(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		}
	}
	l.releaseRequest(r)
}

// release forgets a request that is closed and has nothing out.
func (l *loop) releaseRequest(r *request) {
	if r.closed && r.inFlight == 0 {
		if _, open := l.requests[r.ID]; open {
			l.memory.give(r.message.body)
		}
		delete(l.requests, r.ID)
		delete(l.openIDs, r.clientRequestID)
	}
}

// --- Host: what the module asks for ---

// Send makes an attempt.
func (l *loop) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, window time.Duration) {
	r, u := l.requests[id], l.upstreams[up]
	if r == nil || u == nil { // the module sends what it was told of, where it was told
		l.Log(fmt.Sprintf("send of unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	a := &attempt{req: r, index: len(r.attempts), upstream: u, sentAt: now, address: u.address, message: &r.message}
	for _, other := range r.attempts {
		if window > 0 && !other.neverRan { // connections come up late, and in any order
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
		l.addTimer(loopTimer{at: now + timeout, attempt: a})
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
	if a.conn, available = l.acquireConn(u, now); !available { // no fault of the upstream's
		a.drop()
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
		return
	}
	u.inFlight[a] = struct{}{}
	go func(d upstreamTransport) { // as it is now: a reload may change it
		l.post(attemptFinished{a, d.run(a)})
	}(l.transport)
}

// connection takes an idle connection to p, the most recently used that has rested, or else counts one that is to be
// opened (nil). Where no more may be open the one that idles longest makes room.
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

// Refuse answers a client that another try is harmless.
func (l *loop) Refuse(id garnettide.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.RetryAfter {
			retryAfter = 0
		}
		l.respond(r, answer{status: http.StatusServiceUnavailable, retryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter)})
	}
}

// Fail answers a client with no promise.
func (l *loop) Fail(id garnettide.RequestID) {
	if r := l.requests[id]; r != nil {
		status := http.StatusBadGateway
		if !r.bodyPending && l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.respond(r, answer{status: status})
	}
}

// Cancel stops waiting for an attempt.
func (l *loop) Cancel(id garnettide.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].streamStarted {
		l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{r.attempts[n], garnettide.Cancelled})
	}
}

// SetTimer asks for a Timer event.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.addTimer(loopTimer{at: l.now() + max(after, 0), token: token})
}

// Log writes a line to the log, or drops it rather than wait.
func (l *loop) Log(text string) {
	select {
	case l.logLines <- text:
	default:
	}
}

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

// Watch begins to follow discovery, or ends it.
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

// Fetch asks discovery for the whole list.
func (l *loop) Fetch() { go l.discoveryClient.fetch() }

// Probe asks an upstream for its load.
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
	go func(d upstreamTransport) {
		l.post(probeFinished{p, d.probe(p)})
	}(l.transport)
}

// probed is the end of a probe.
type probeFinished struct {
	*probe
	attemptResult
}

func (e probeFinished) apply(l *loop) {
	l.releaseConn(e.upstream, e.attemptResult.conn)
	now := l.now()
	l.balancer.Probed(now, garnettide.ProbeResult{Upstream: e.upstream.id, Latency: now - e.sentAt, Status: e.status, Load: e.attemptResult.load})
}

// --- Connections ---

// keep takes back a connection after use; nil means that it has been closed.
func (l *loop) releaseConn(u *upstream, c *conn) {
	switch {
	case c == nil:
		l.connCount--
	case !l.usable(u) || c.RemoteAddr().String() != u.address:
		l.closeConns(c)
	case c.SetDeadline(time.Time{}) != nil: // a time-out may have been set as the answer came
		l.closeConns(c)
	default:
		c.idleAt = l.now()
		u.idleConns = append(u.idleConns, c)
	}
}

// shut closes idle connections, away from the loop.
func (l *loop) closeConns(cs ...*conn) {
	if l.connCount -= len(cs); len(cs) > 0 {
		go func() {
			for _, c := range cs {
				c.Close()
			}
		}()
	}
}

// limit bounds the connections to upstreams. Idle ones over it are closed.
func (l *loop) setConnLimit(limit int) {
	l.maxConns = limit
	for l.connCount > limit && l.closeLongestIdle() {
	}
}

// shutLongest closes the connection that idles longest; none: false.
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

// sweep closes connections that have idled for long. The least recently used stand first.
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

// forget drops an upstream that is gone and has nothing out.
func (l *loop) dropIfRemoved(u *upstream) {
	if u.state == garnettide.Removed && len(u.inFlight) == 0 && l.upstreams[u.id] == u {
		delete(l.upstreams, u.id)
		l.releaseID(u.discoveryID)
	}
}

// unname frees the number of an id that is gone. In maintenance it keeps it: the module goes by the number.
func (l *loop) releaseID(id string) {
	if _, inMaintenance := l.inMaintenance[id]; !inMaintenance {
		l.upstreamIDs.release(id)
	}
}

// usable tells whether something may be sent to p.
func (l *loop) usable(u *upstream) bool {
	_, inMaintenance := l.inMaintenance[u.discoveryID]
	return u.state == garnettide.Active && !inMaintenance
}

// obey goes by what operators have called for, and tells what maintain does.
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

// maintain leaves an upstream out, or ends that. It tells whether nothing of what the upstream was sent before is
// still about to be written.
func (l *loop) setMaintenance(id string, out bool) bool {
	number, inMaintenance := l.inMaintenance[id]
	if !out {
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
			if a.drop() { // it waited for a connection
				l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
			}
			written = written && a.stage.Load() != attemptClaimed
		}
	}
	l.balancer.SetMaintenance(l.now(), number, true)
	return written
}

// --- Discovery ---

// hear takes an answer of discovery.
func (l *loop) applyListUpdate(update listUpdate) {
	switch {
	case update.from != l.discoveryClient: // asked before discovery moved
		return
	case errors.Is(update.err, errWatchSilent):
		l.Log(update.err.Error())
		l.balancer.Members(l.now(), garnettide.ListStale, nil)
	case update.err != nil:
		l.Log(update.err.Error())
		l.balancer.Members(l.now(), garnettide.ListFailed, nil)
	case update.Revision < l.revision: // overtaken by a newer one: it must not undo that
		l.Log(fmt.Sprintf("discovery: revision %d after %d passed over", update.Revision, l.revision))
	case update.Complete:
		l.listReceived = true
		l.applyList(garnettide.ListFull, update.discoveryList)
	default:
		l.listReceived = true
		l.applyList(garnettide.ListDelta, update.discoveryList)
	}
	l.reportPending()
}

// missing says what this process lacks to serve; nothing once it can. A list held from before has to do where
// discovery does not answer.
func (l *loop) missing() string {
	if !l.listReceived && (len(l.upstreams) == 0 || l.now()-l.clockBase < initialListTimeout) {
		return "discovery has not told its list yet"
	}
	return ""
}

// members applies a list: first to the peers, so that nothing goes to one that drains, then to the module, which
// may send at once.
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
				if a.drop() { // its upstream left while it waited for a connection
					l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
				}
			}
		}
	}
	l.balancer.Members(l.now(), mode, entries)
	l.reportPending()
	for _, u := range l.upstreams {
		l.dropIfRemoved(u)
	}
	if l.onListApplied != nil {
		l.onListApplied(list.Revision)
	}
}

// peer applies a list's entry.
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
