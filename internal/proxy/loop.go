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
	spareIdle = 5 * time.Second
	// lingerFor and lingerMost bound the connections of attempts whose client has gone. The upstream works on
	// regardless, and a connection kept for the late answer saves the next handshake; but hung upstreams never
	// answer.
	lingerFor  = 3 * time.Second
	lingerMost = 4
	sweepEvery = time.Second
	// restFor is how long a connection rests between two requests. Answers do not name their request: a second copy
	// that comes late, after the next request is written, would pass for its answer. In a rest it is seen instead.
	restFor  = 10 * time.Millisecond
	logQueue = 256
	// listPatience is how long a start waits for discovery's list before the one held from before has to do: a new
	// process is given 6 s to be ready, and discovery fails calls after 2 s.
	listPatience = 4 * time.Second
)

// event is something that happened outside, told to the loop.
type event interface{ apply(l *loop) }

// request is a client's request. The frontend fills it in; from then on it is the loop's.
type request struct {
	garnettide.Request
	name     string // the client's id of it
	message  message
	at       time.Duration       // when its last byte had come
	reply    chan clientResponse // holds the one answer
	gone     atomic.Bool         // its client has gone: what is not written yet is not sent on, before the loop hears of it
	deadline time.Duration
	coming   bool // its body still comes: its time has not begun
	attempts []*attempt
	out      int // attempts whose outcome the module has not had
	closed   bool
}

// peer is what the loop knows of an upstream's address and connections.
type peer struct {
	id        garnettide.UpstreamID
	name      string // discovery's id
	address   string
	state     garnettide.State
	idle      []*conn // the most recently used last
	out       map[*attempt]struct{}
	lingering int
}

// alarm is a timer of the module's, a request's deadline, or an attempt's time-out.
type alarm struct {
	at      time.Duration
	serial  uint64 // alarms of one moment go off in the order they were set
	token   uint64
	request *request
	attempt *attempt
}

type alarms []alarm

func (a alarms) Len() int { return len(a) }
func (a alarms) Less(i, j int) bool {
	return a[i].at < a[j].at || (a[i].at == a[j].at && a[i].serial < a[j].serial)
}
func (a alarms) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *alarms) Push(x any)   { *a = append(*a, x.(alarm)) }
func (a *alarms) Pop() any {
	old := *a
	x := old[len(old)-1]
	old[len(old)-1] = alarm{}
	*a = old[:len(old)-1]
	return x
}

// loop owns the Balancer, from one goroutine. Everything here runs on that goroutine but for post, now and what is
// started with go. It never waits for anything but its channels.
type loop struct {
	balancer  *garnettide.Balancer
	ctx       context.Context
	events    chan event
	lists     chan listed        // taken before any event: no send after a drain that has been told
	calls     chan adminLoopCall // the operators', taken before any event
	logs      chan string
	origin    time.Time
	epoch     time.Duration
	discovery *discovery
	stopWatch context.CancelFunc // nil: the module does not follow discovery
	dial      dialer
	held      bodyMemory
	settings  garnettide.Settings
	idleFor   time.Duration
	maxConns  int
	inForce   func(revision uint64) // nil: nobody is told

	names    *names
	revision uint64
	told     bool // discovery has been heard by this process
	serial   uint64
	alarms   alarms
	requests map[garnettide.RequestID]*request
	open     map[string]bool // the clients' ids of these
	peers    map[garnettide.UpstreamID]*peer
	off      map[string]garnettide.UpstreamID // in maintenance, by discovery's ids
	ids      *ids
	conns    int              // connections to upstreams, open or opening
	pending  []pendingOutcome // outcomes that are known but not told: the module is not called while it calls
	sweepAt  time.Duration
}

// pendingOutcome is an outcome to tell as soon as the module has returned.
type pendingOutcome struct {
	a      *attempt
	status garnettide.Status
}

var _ garnettide.Host = (*loop)(nil)

func newLoop(ctx context.Context, c *Config) *loop {
	l := &loop{ctx: ctx, events: make(chan event, 1024), lists: make(chan listed, 4), calls: make(chan adminLoopCall, adminConns), logs: make(chan string, logQueue),
		origin: time.Now(), dial: dialer{open: net.DialTimeout, timeout: c.Links.ConnectTimeout}, settings: c.Plan.Settings(),
		idleFor: idleFor(c.Links), maxConns: c.upstreamConns(),
		names: newNames(), requests: map[garnettide.RequestID]*request{}, open: map[string]bool{},
		peers: map[garnettide.UpstreamID]*peer{}, off: map[string]garnettide.UpstreamID{}, ids: newIDs(),
		inForce: c.ListInForce}
	// The clock is Unix time at the start, going on by the monotonic clock: what discovery dates stands on it as it
	// is, also from before this process, and a clock that is set does not move it.
	l.epoch = time.Duration(l.origin.UnixNano())
	l.held.available.Store(c.held())
	l.dial.now, l.dial.held = l.now, &l.held
	l.dial.begin = func(a *attempt, r *relay, load garnettide.Load) { l.post(begun{a, r, load}) }
	l.discovery = newDiscovery(ctx, c.Discovery, l.list)
	if c.Inherited == 0 { // else this process is ready once it has the list, and a watch answers only when that changes
		l.discovery.hold(c.Known.Revision)
	}
	return l
}

// now is the loop's clock.
func (l *loop) now() time.Duration { return l.epoch + time.Since(l.origin) }

// post tells the loop of an event. It may wait; the loop never waits for who posts.
func (l *loop) post(e event) { l.events <- e }

// list tells the loop of an answer of discovery.
func (l *loop) list(x listed) { l.lists <- x }

// start makes the Balancer and tells it the upstreams that were known before.
func (l *loop) start(c *Config, offline []string) {
	l.balancer = garnettide.NewWithPlan(c.Plan, c.Seed, l.now(), l)
	l.obey(offline)
	l.members(garnettide.ListCached, c.Known)
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
		case x := <-l.lists:
			l.hear(x)
			continue
		case e := <-l.calls:
			e.apply(l)
			l.settle()
			continue
		default:
		}
		l.ring()
		if len(l.alarms) > 0 {
			clock.Reset(max(0, l.alarms[0].at-l.now()))
		}
		select {
		case x := <-l.lists:
			l.hear(x)
		case e := <-l.calls:
			e.apply(l)
			l.settle()
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
	l.hearAll()
	e.apply(l)
	l.settle()
}

// hearAll takes the lists that have come.
func (l *loop) hearAll() {
	for len(l.lists) > 0 { // only the loop takes from it
		l.hear(<-l.lists)
	}
}

// ring lets the alarms go off that are due. Each may send something, so each waits for the lists that have come.
func (l *loop) ring() {
	for len(l.alarms) > 0 && l.alarms[0].at <= l.now() {
		l.hearAll()
		switch a := heap.Pop(&l.alarms).(alarm); {
		case a.attempt != nil:
			l.expire(a.attempt)
		case a.request != nil:
			for _, at := range a.request.attempts {
				l.expire(at)
			}
		default:
			l.balancer.Timer(l.now(), a.token)
		}
		l.settle()
	}
	if now := l.now(); now >= l.sweepAt {
		l.sweepAt = now + sweepEvery
		l.sweep(now)
	}
}

func (l *loop) alarm(a alarm) {
	l.serial++
	a.serial = l.serial
	heap.Push(&l.alarms, a)
}

// --- Requests and attempts ---

// arrived is a client's request.
type arrived struct{ *request }

func (e arrived) apply(l *loop) {
	r := e.request
	if l.open[r.name] { // an upstream could not tell the two apart: the newcomer goes, the first is spared
		r.closed = true
		l.held.free(r.message.body)
		r.reply <- clientResponse{status: http.StatusConflict}
		return
	}
	l.open[r.name] = true
	l.serial++
	r.ID = garnettide.RequestID(l.serial) // the module's own: what clients send need not be unique
	now := l.now()
	if r.Streaming = r.message.rest != nil; r.Streaming {
		r.coming = true
	} else {
		r.deadline = r.at + r.Budget
		r.Budget = max(0, r.deadline-now)
		l.alarm(alarm{at: r.deadline, request: r})
	}
	l.requests[r.ID] = r
	l.balancer.Request(now, r.Request)
}

// left is how long the client still waits.
func (r *request) left(now time.Duration) time.Duration {
	if r.coming {
		return r.Budget
	}
	return r.deadline - now
}

// whole tells that an open request's last byte has come: its time begins.
type whole struct {
	*request
	at     time.Duration
	budget time.Duration
}

func (e whole) apply(l *loop) {
	r := e.request
	if r.closed {
		return
	}
	r.coming, r.deadline = false, e.at+min(e.budget, r.Budget)
	l.alarm(alarm{at: r.deadline, request: r})
	now := l.now()
	for _, a := range r.attempts {
		a.sentAt = now
	}
	l.balancer.BodyComplete(now, r.ID)
}

// left tells that a client has closed its connection.
type left struct{ *request }

func (e left) apply(l *loop) {
	r := e.request
	if !r.closed {
		l.close(r)
		l.balancer.ClientGone(l.now(), r.ID)
		return
	}
	select { // it may have been given an answer that it does not take
	case a := <-r.reply:
		if a.relay != nil {
			a.relay.end <- errUnwanted
		}
	default:
	}
}

// begun tells that an answer passes on. It is the client's from here on, and no deadline ends it.
type begun struct {
	*attempt
	*relay
	load garnettide.Load
}

func (e begun) apply(l *loop) {
	a, r := e.attempt, e.attempt.req
	if a.told || r.closed {
		e.relay.end <- errUnwanted
		return
	}
	a.begun = true
	l.answer(r, clientResponse{status: http.StatusOK, contentType: e.header.Get("Content-Type"), relay: e.relay})
	now := l.now()
	l.balancer.ResponseStarted(now, garnettide.Outcome{ID: r.ID, Upstream: a.peer.id, Attempt: a.n, Latency: now - a.sentAt,
		Status: garnettide.OK, RequestDone: true, Load: e.load})
}

// finished is the end of an attempt on its connection.
type finished struct {
	*attempt
	result
}

func (e finished) apply(l *loop) {
	a := e.attempt
	delete(a.peer.out, a)
	if a.lingers {
		a.peer.lingering--
	}
	if c := e.result.conn; c != nil && a.givenUp { // the answer came just then: nothing can be written on it any more
		l.shut(c)
	} else {
		l.keep(a.peer, c)
	}
	l.tell(a, e.result)
	l.forget(a.peer)
}

// tell gives the module an attempt's one outcome, and the client the answer if it is served.
func (l *loop) tell(a *attempt, r result) {
	if a.told {
		return
	}
	a.told = true
	q, now := a.req, l.now()
	if r.status == garnettide.OK && !q.closed {
		l.answer(q, clientResponse{status: http.StatusOK, body: r.body, contentType: r.kind})
	}
	q.out--
	a.neverRan = r.status.NeverRan()
	closed := q.closed
	l.release(q)
	l.balancer.Outcome(now, garnettide.Outcome{ID: q.ID, Upstream: a.peer.id, Attempt: a.n, Latency: now - a.sentAt,
		Status: r.status, RequestDone: closed, BodyConsumed: q.message.rest != nil && q.message.rest.started.Load(), Load: r.load})
}

// settle tells the outcomes that came up while the module was calling.
func (l *loop) settle() {
	for len(l.pending) > 0 {
		o := l.pending[0]
		l.pending = l.pending[1:]
		l.end(o.a, o.status)
	}
	l.pending = nil
}

// end stops waiting for an attempt. One that was never written is moot.
func (l *loop) end(a *attempt, status garnettide.Status) {
	if a.told {
		return
	}
	if a.drop() {
		status = garnettide.NotSent
	} else if a.stage.Load() >= claimed {
		if a.sent == nil && (a.req.closed || l.now() >= a.req.deadline) && a.peer.lingering < lingerMost && l.usable(a.peer) {
			a.lingers = true
			a.peer.lingering++
			a.limit(time.Now().Add(lingerFor))
		} else { // before the module is told: what it sends next would count as a second copy
			a.givenUp = true
			a.giveUp()
		}
	}
	l.tell(a, result{status: status})
}

// expire ends an attempt whose time is up.
func (l *loop) expire(a *attempt) {
	if !a.told && !a.begun {
		l.end(a, garnettide.Timeout)
	}
}

// answer gives a client the one answer.
func (l *loop) answer(r *request, a clientResponse) {
	if !r.closed {
		l.close(r)
		r.reply <- a
	}
}

// close notes that nothing more is owed for r. What of it still waits for a connection goes nowhere from here on: a
// second copy that is written behind the answer would be a request that nobody asks any more.
func (l *loop) close(r *request) {
	r.closed = true
	for _, a := range r.attempts {
		if a.drop() {
			l.pending = append(l.pending, pendingOutcome{a, garnettide.NotSent})
		}
	}
	l.release(r)
}

// release forgets a request that is closed and has nothing out.
func (l *loop) release(r *request) {
	if r.closed && r.out == 0 {
		if _, held := l.requests[r.ID]; held {
			l.held.free(r.message.body)
		}
		delete(l.requests, r.ID)
		delete(l.open, r.name)
	}
}

// --- Host: what the module asks for ---

// Send makes an attempt.
func (l *loop) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, window time.Duration) {
	r, p := l.requests[id], l.peers[up]
	if r == nil || p == nil { // the module sends what it was told of, where it was told
		l.Log(fmt.Sprintf("send of unknown request %d or upstream %d", id, up))
		return
	}
	now := l.now()
	a := &attempt{req: r, n: len(r.attempts), peer: p, sentAt: now, address: p.address, message: &r.message}
	for _, x := range r.attempts {
		if window > 0 && !x.neverRan { // connections come up late, and in any order
			a.before(x.sentAt + window)
			x.before(now + window)
		}
	}
	r.attempts, r.out = append(r.attempts, a), r.out+1
	if r.message.rest != nil {
		a.sent = make(chan struct{})
	}
	wait := r.left(now)
	if timeout > 0 && timeout < wait {
		wait = timeout
		l.alarm(alarm{at: now + timeout, attempt: a})
	}
	if a.wait = wait; !r.coming {
		a.ends = now + wait
	}
	if r.closed || wait <= 0 || !l.usable(p) {
		a.drop()
		l.pending = append(l.pending, pendingOutcome{a, garnettide.NotSent})
		return
	}
	var room bool
	if a.conn, room = l.connection(p, now); !room { // no fault of the upstream's
		a.drop()
		l.pending = append(l.pending, pendingOutcome{a, garnettide.NotSent})
		return
	}
	p.out[a] = struct{}{}
	go func(d dialer) { // as it is now: a reload may change it
		l.post(finished{a, d.run(a)})
	}(l.dial)
}

// connection takes an idle connection to p, the most recently used that has rested, or else counts one that is to be
// opened (nil). Where no more may be open the one that idles longest makes room.
func (l *loop) connection(p *peer, now time.Duration) (c *conn, room bool) {
	for i := len(p.idle) - 1; i >= 0; i-- {
		if now-p.idle[i].idleAt >= restFor {
			c = p.idle[i]
			p.idle = slices.Delete(p.idle, i, i+1)
			return c, true
		}
	}
	if l.conns >= l.maxConns && !l.shutLongest() {
		return nil, false
	}
	l.conns++
	return nil, true
}

// Refuse answers a client that another try is harmless.
func (l *loop) Refuse(id garnettide.RequestID, retryAfter time.Duration) {
	if r := l.requests[id]; r != nil {
		if !l.settings.Limits.RetryAfter {
			retryAfter = 0
		}
		l.answer(r, clientResponse{status: http.StatusServiceUnavailable, retryAfter: min(retryAfter, l.settings.Limits.MaxRetryAfter)})
	}
}

// Fail answers a client with no promise.
func (l *loop) Fail(id garnettide.RequestID) {
	if r := l.requests[id]; r != nil {
		status := http.StatusBadGateway
		if !r.coming && l.now() >= r.deadline {
			status = http.StatusGatewayTimeout
		}
		l.answer(r, clientResponse{status: status})
	}
}

// Cancel stops waiting for an attempt.
func (l *loop) Cancel(id garnettide.RequestID, n int) {
	if r := l.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].begun {
		l.pending = append(l.pending, pendingOutcome{r.attempts[n], garnettide.Cancelled})
	}
}

// SetTimer asks for a Timer event.
func (l *loop) SetTimer(after time.Duration, token uint64) {
	l.alarm(alarm{at: l.now() + max(after, 0), token: token})
}

// Log writes a line to the log, or drops it rather than wait.
func (l *loop) Log(text string) {
	select {
	case l.logs <- text:
	default:
	}
}

func (l *loop) writeLogs() {
	for {
		select {
		case text := <-l.logs:
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
		ctx, cancel := context.WithCancel(l.discovery.ctx)
		l.stopWatch = cancel
		go l.discovery.watch(ctx)
	}
}

// Fetch asks discovery for the whole list.
func (l *loop) Fetch() { go l.discovery.fetch() }

// Probe asks an upstream for its load.
func (l *loop) Probe(up garnettide.UpstreamID) {
	p := l.peers[up]
	if p == nil || !l.usable(p) {
		return
	}
	b := &probe{peer: p, sentAt: l.now(), address: p.address, load: l.settings.Reports != garnettide.ReportNone}
	var room bool
	if b.conn, room = l.connection(p, b.sentAt); !room {
		return
	}
	go func(d dialer) {
		l.post(probed{b, d.probe(b)})
	}(l.dial)
}

// probed is the end of a probe.
type probed struct {
	*probe
	result
}

func (e probed) apply(l *loop) {
	l.keep(e.peer, e.result.conn)
	now := l.now()
	l.balancer.Probed(now, garnettide.ProbeResult{Upstream: e.peer.id, Latency: now - e.sentAt, Status: e.status, Load: e.result.load})
}

// --- Connections ---

// keep takes back a connection after use; nil means that it has been closed.
func (l *loop) keep(p *peer, c *conn) {
	switch {
	case c == nil:
		l.conns--
	case !l.usable(p) || c.RemoteAddr().String() != p.address:
		l.shut(c)
	case c.SetDeadline(time.Time{}) != nil: // a time-out may have been set as the answer came
		l.shut(c)
	default:
		c.idleAt = l.now()
		p.idle = append(p.idle, c)
	}
}

// shut closes idle connections, away from the loop.
func (l *loop) shut(cs ...*conn) {
	if l.conns -= len(cs); len(cs) > 0 {
		go func() {
			for _, c := range cs {
				c.Close()
			}
		}()
	}
}

// limit bounds the connections to upstreams. Idle ones over it are closed.
func (l *loop) limit(most int) {
	l.maxConns = most
	for l.conns > most && l.shutLongest() {
	}
}

// shutLongest closes the connection that idles longest; none: false.
func (l *loop) shutLongest() bool {
	var longest *peer
	for _, q := range l.peers {
		if len(q.idle) > 0 && (longest == nil || q.idle[0].idleAt < longest.idle[0].idleAt) {
			longest = q
		}
	}
	if longest == nil {
		return false
	}
	l.shut(longest.idle[0])
	longest.idle = slices.Delete(longest.idle, 0, 1)
	return true
}

// sweep closes connections that have idled for long. The least recently used stand first.
func (l *loop) sweep(now time.Duration) {
	for _, p := range l.peers {
		n := 0
		for n < len(p.idle) && now-p.idle[n].idleAt >= l.idleFor {
			n++
		}
		if n > 0 {
			l.shut(p.idle[:n]...)
			p.idle = append([]*conn(nil), p.idle[n:]...)
		}
	}
}

// Disconnect closes the idle connections to an upstream.
func (l *loop) Disconnect(up garnettide.UpstreamID) {
	if p := l.peers[up]; p != nil {
		l.shut(p.idle...)
		p.idle = nil
	}
}

// forget drops an upstream that is gone and has nothing out.
func (l *loop) forget(p *peer) {
	if p.state == garnettide.Removed && len(p.out) == 0 && l.peers[p.id] == p {
		delete(l.peers, p.id)
		l.unname(p.name)
	}
}

// unname frees the number of an id that is gone. In maintenance it keeps it: the module goes by the number.
func (l *loop) unname(id string) {
	if _, off := l.off[id]; !off {
		l.names.forget(id)
	}
}

// usable tells whether something may be sent to p.
func (l *loop) usable(p *peer) bool {
	_, off := l.off[p.name]
	return p.state == garnettide.Active && !off
}

// obey goes by what operators have called for, and tells what maintain does.
func (l *loop) obey(offline []string) bool {
	written := true
	for id := range l.off {
		if !slices.Contains(offline, id) {
			l.maintain(id, false)
		}
	}
	for _, id := range offline {
		written = l.maintain(id, true) && written
	}
	return written
}

// maintain leaves an upstream out, or ends that. It tells whether nothing of what the upstream was sent before is
// still about to be written.
func (l *loop) maintain(id string, out bool) bool {
	number, off := l.off[id]
	if !out {
		if off {
			delete(l.off, id)
			l.balancer.SetMaintenance(l.now(), number, false)
			if l.peers[number] == nil {
				l.unname(id)
			}
			l.Log("upstream " + id + " is back from maintenance")
		}
		return true
	}
	if !off {
		number = l.names.id(id)
		l.off[id] = number
		l.Log("upstream " + id + " is left out for maintenance")
	}
	written := true
	if p := l.peers[number]; p != nil {
		l.Disconnect(number)
		for a := range p.out {
			if a.drop() { // it waited for a connection
				l.pending = append(l.pending, pendingOutcome{a, garnettide.NotSent})
			}
			written = written && a.stage.Load() != claimed
		}
	}
	l.balancer.SetMaintenance(l.now(), number, true)
	return written
}

// --- Discovery ---

// hear takes an answer of discovery.
func (l *loop) hear(x listed) {
	switch {
	case x.from != l.discovery: // asked before discovery moved
		return
	case errors.Is(x.err, errSilent):
		l.Log(x.err.Error())
		l.balancer.Members(l.now(), garnettide.ListStale, nil)
	case x.err != nil:
		l.Log(x.err.Error())
		l.balancer.Members(l.now(), garnettide.ListFailed, nil)
	case x.Revision < l.revision: // overtaken by a newer one: it must not undo that
		l.Log(fmt.Sprintf("discovery: revision %d after %d passed over", x.Revision, l.revision))
	case x.Complete:
		l.told = true
		l.members(garnettide.ListFull, x.listing)
	default:
		l.told = true
		l.members(garnettide.ListDelta, x.listing)
	}
	l.settle()
}

// missing says what this process lacks to serve; nothing once it can. A list held from before has to do where
// discovery does not answer.
func (l *loop) missing() string {
	if !l.told && (len(l.peers) == 0 || l.now()-l.epoch < listPatience) {
		return "discovery has not told its list yet"
	}
	return ""
}

// members applies a list: first to the peers, so that nothing goes to one that drains, then to the module, which
// may send at once.
func (l *loop) members(mode garnettide.ListMode, x listing) {
	l.revision = x.Revision
	list := make([]garnettide.Upstream, 0, len(x.Members))
	named := make(map[garnettide.UpstreamID]bool, len(x.Members))
	for i := range x.Members {
		m := &x.Members[i]
		u := m.upstream(l.names.id(m.ID))
		named[u.ID] = true
		l.ids.add(m.ID)
		list = append(list, u)
		l.peer(u, m)
	}
	for id, p := range l.peers {
		if mode != garnettide.ListDelta && !named[id] {
			p.state = garnettide.Removed
			l.Disconnect(id)
		}
		if p.state != garnettide.Active {
			for a := range p.out {
				if a.drop() { // its upstream left while it waited for a connection
					l.pending = append(l.pending, pendingOutcome{a, garnettide.NotSent})
				}
			}
		}
	}
	l.balancer.Members(l.now(), mode, list)
	l.settle()
	for _, p := range l.peers {
		l.forget(p)
	}
	if l.inForce != nil {
		l.inForce(x.Revision)
	}
}

// peer applies a list's entry.
func (l *loop) peer(u garnettide.Upstream, m *member) {
	p, address := l.peers[u.ID], m.HostPort
	if p == nil {
		if u.State == garnettide.Removed {
			l.unname(m.ID)
			return
		}
		p = &peer{id: u.ID, name: m.ID, out: map[*attempt]struct{}{}}
		l.peers[u.ID] = p
	}
	if p.state = u.State; u.State != garnettide.Active || (address != p.address && p.address != "") {
		l.Disconnect(u.ID)
	}
	if u.State != garnettide.Removed {
		p.address = address
	}
}
