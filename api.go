// Package garnettide makes the routing decisions of an HTTP load balancer: which upstream receives a request, whether a
// request is retried, queued, refused or failed, and how the list of upstreams is kept up to date. It does no I/O.
//
// # Contract
//
// A Balancer serves one proxy instance. Its owner calls one method for each event, from one goroutine at a time. The
// argument now is a time since a fixed origin on a monotonic clock, and never decreases. The Balancer acts by calling
// its Host, only during such a call or its creation. It reads no clock, starts no goroutine and shares no mutable state
// with other Balancers. The same events with the same seed produce the same actions.
//
// A request begins with Request, followed by one Outcome for each Send and at most one ClientGone. An Outcome may
// follow the final answer of its request. Events with unknown ids are ignored. Memory is bounded by the number of open
// requests, attempts and listed upstreams, and by the classes and tenants of the settings.
//
// Settings can change at run time: NewPlan checks them on any goroutine, and Reconfigure applies the plan. A request
// that has been accepted keeps the class settings that were in force when it was read. New requests of a removed class
// or tenant are refused.
//
// Each request gets exactly one final answer: a successful Outcome, Refuse or Fail. Refuse tells the client that it may
// safely retry.
package garnettide

import "time"

// RequestID identifies one try of a client's request. A try may take several attempts, each sent to one upstream. Ids
// are never reused.
type RequestID uint64

// UpstreamID identifies an upstream. It stays the same when the upstream restarts.
type UpstreamID uint32

// Idempotency tells whether requests of a class may be executed more than once. Smaller values permit more.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // may be executed any number of times
	IdempotentByKey                    // upstreams in Class.DedupScope drop duplicates for Class.DedupWindow
	NonIdempotent                      // must not be executed twice
)

// DedupScope is the set of upstreams that drop duplicates of an IdempotentByKey request among themselves.
type DedupScope uint8

// The dedup scopes.
const (
	DedupAll  DedupScope = iota // all upstreams
	DedupZone                   // upstreams of the same zone
	DedupCell                   // upstreams of the same cell
)

// Class describes one kind of request.
type Class struct {
	Name          string
	LatencyTarget time.Duration // answers within this time earn the full Worth
	Deadline      time.Duration // total time that the client waits, over all its tries
	Idempotency   Idempotency
	DedupScope    DedupScope    // for IdempotentByKey
	DedupWindow   time.Duration // for IdempotentByKey: how long duplicates are dropped
	Worth         float64       // relative value of an answer
	LateWorth     float64       // fraction of Worth earned between LatencyTarget and Deadline
}

// Tenant is a customer with a request quota.
type Tenant struct {
	Name  string
	Quota float64 // requests per second, over all balancers
}

// Limits tells which actions a Balancer may take, and how often.
type Limits struct {
	Cancel        bool          // attempts may be cancelled
	Probes        bool          // upstreams may be probed
	Hedging       bool          // a request may have several attempts in flight
	RetryAfter    bool          // refusals may carry a Retry-After time
	MaxRetryAfter time.Duration // longest Retry-After time that clients honour
	MaxAttempts   int           // attempts per request
}

// Requirements holds the required behaviour towards discovery, cold and draining upstreams, and clients.
type Requirements struct {
	MaxDiscoveryInterval time.Duration // longest time between calls of discovery; may be 0 without PollDiscovery
	ColdCapacity         float64       // capacity of an upstream at its start, as a fraction of its full capacity
	WarmupTime           time.Duration // time after its start at which an upstream has full capacity
	OverloadFactor       float64       // load, as a multiple of current capacity, that overloads a cold upstream
	OverloadWindow       time.Duration // time for which the load has to exceed OverloadFactor
	DrainGrace           time.Duration // time within which sends to a draining upstream must stop
	AnswerSlack          time.Duration // how long after the client's deadline a final answer may come
}

// WeightKind tells how to interpret Upstream.Weight.
type WeightKind uint8

// The kinds of weights.
const (
	WeightNone         WeightKind = iota // always 1
	WeightNominal                        // size
	WeightApproximate                    // approximate size
	WeightLoadAdjusted                   // size, reduced by a delayed measure of load
)

// ReportMode tells which messages carry load reports.
type ReportMode uint8

// The report modes.
const (
	ReportNone        ReportMode = iota // no reports
	ReportInResponses                   // outcomes and probe results
	ReportInProbes                      // probe results only
)

// Settings configures a Balancer.
type Settings struct {
	Zone           string
	Balancers      int // number of balancer instances
	Rank           int // index of this instance, from 0
	Classes        []Class
	Tenants        []Tenant
	OverQuotaWorth float64 // factor on the worth of requests over their tenant's quota
	WorthByWork    bool    // Worth applies per unit of work instead of per request
	Limits         Limits
	Requirements   Requirements
	PollDiscovery  bool // discovery answers calls only, and pushes nothing
	Weights        WeightKind
	Reports        ReportMode
	Granularity    time.Duration // minimum interval between batches of events
}

// State is the state of an upstream according to discovery.
type State uint8

// The states.
const (
	Active   State = iota // may get requests
	Draining              // must get no new attempts
	Removed               // no longer listed
)

// Upstream is one entry of a discovery list.
type Upstream struct {
	ID        UpstreamID
	Zone      string
	Cell      int
	Weight    float64       // see WeightKind
	StartedAt time.Duration // latest start, on the owner's clock; 0: long ago
	State     State
}

// ListMode tells how a list relates to the current one.
type ListMode uint8

// The list modes.
const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the whole list: upstreams that it lacks are removed
	ListCached                 // the whole list from a cache, possibly out of date
	ListFailed                 // no entries: the call failed or the watch ended
	ListStale                  // no entries: the watch went silent or discovery moved, so changes may have been missed
)

// Request is one try of a client's request.
type Request struct {
	ID            RequestID
	Budget        time.Duration // time after which the client abandons this try
	Class         string        // a name from Settings.Classes
	ClassSettings *Class        // the class when the request was read; nil: the current one
	Tenant        string        // a name from Settings.Tenants, or empty; any name if there are no tenants
	Key           uint64        // key of the request's subject, if HasKey
	HasKey        bool
	Retry         bool          // the client has tried before
	Cost          time.Duration // hint: CPU time on a standard core; 0: unknown
	Streaming     bool          // the body is still arriving and is sent to one upstream; Budget starts at BodyComplete
}

// Status is the result of an attempt or a probe.
type Status uint8

// The statuses. Those marked * prove that the request was not executed.
const (
	OK            Status = iota
	Error                // the upstream answered with an error
	Rejected             // * the upstream refused the request without executing it
	Timeout              // no answer in time
	ConnectFailed        // * no connection in time
	Reset                // connection lost
	Cancelled            // ended by Host.Cancel
	NotSent              // * not sent
)

// NeverRan reports whether s proves that the request was not executed.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// LoadField is a set of bits, one for each value of a Load.
type LoadField uint8

// The bits, in the order of the values in Load.
const (
	HasUtil LoadField = 1 << iota
	HasInflight
	HasQueue
	HasServiceTime
	HasRequestRate
	HasErrorRate
)

// Load is a load report of an upstream. Fields tells which values are set.
type Load struct {
	Fields      LoadField
	Util        float64 // CPU utilisation, 0 to 1
	Inflight    float64 // requests in flight
	Queue       float64 // requests waiting
	ServiceTime float64 // recent mean service time in milliseconds
	RequestRate float64 // requests served per second
	ErrorRate   float64 // errors per second
}

// Outcome is the result of one attempt.
type Outcome struct {
	ID           RequestID
	Upstream     UpstreamID
	Attempt      int // index of the attempt among the request's Sends, from 0
	Latency      time.Duration
	Status       Status
	RequestDone  bool // the request needs no further attempts
	BodyConsumed bool // part of a streaming body is gone, so the request cannot be sent again
	Load         Load
}

// ProbeResult is the result of one probe.
type ProbeResult struct {
	Upstream UpstreamID
	Latency  time.Duration
	Status   Status
	Load     Load
}

// Host carries out the actions of a Balancer.
type Host interface {
	// Send starts an attempt, which ends with a Timeout after timeout; 0 sets no limit other than the client's.
	// If earlier attempts of the request may have been executed, each of its attempts must be written to its
	// upstream less than window after the Sends of the others, or not at all. A window of 0 or less sets no limit.
	Send(id RequestID, up UpstreamID, timeout, window time.Duration)
	// Refuse answers that the request was not served and may safely be retried after retryAfter; 0 names no time.
	Refuse(id RequestID, retryAfter time.Duration)
	// Fail answers that the request failed and may have been executed.
	Fail(id RequestID)
	// Cancel ends an attempt, given by its index among the request's Sends.
	Cancel(id RequestID, attempt int)
	// Probe requests the state of an upstream; Events.Probed takes the result.
	Probe(up UpstreamID)
	// Disconnect closes idle connections to an upstream.
	Disconnect(up UpstreamID)
	// Watch subscribes to discovery or ends the subscription.
	Watch(on bool)
	// Fetch requests the whole list from discovery once.
	Fetch()
	// SetTimer calls Events.Timer with token after a delay.
	SetTimer(after time.Duration, token uint64)
	// Log writes a line of text to the log.
	Log(text string)
}

// Events is the set of methods by which the owner of a Balancer passes events to it.
type Events interface {
	// Members applies a list from discovery or, with ListFailed or ListStale, notes that there is none.
	Members(now time.Duration, mode ListMode, list []Upstream)
	// Request accepts a client's request.
	Request(now time.Duration, r Request)
	// BodyComplete notes that the body of a streaming request has arrived.
	BodyComplete(now time.Duration, id RequestID)
	// ResponseStarted notes that a streamed answer has begun; the attempt's Outcome follows when it ends. long
	// tells that the answer may last. If it is not admitted, the request gets another final answer.
	ResponseStarted(now time.Duration, o Outcome, long bool) (admitted bool)
	// Outcome takes the result of an attempt.
	Outcome(now time.Duration, o Outcome)
	// ClientGone drops a request whose client has disconnected; no answer is needed.
	ClientGone(now time.Duration, id RequestID)
	// Probed takes the result of a probe.
	Probed(now time.Duration, p ProbeResult)
	// Timer takes the expiry of a timer set by Host.SetTimer.
	Timer(now time.Duration, token uint64)
	// SetConnLimit limits the number of attempts in flight; 0 sets no limit.
	SetConnLimit(now time.Duration, limit int)
	// SetMaintenance takes an upstream out of service for maintenance, or back in service.
	SetMaintenance(now time.Duration, id UpstreamID, out bool)
	// Reconfigure applies a plan; diff is its difference from the current one.
	Reconfigure(now time.Duration, p *Plan, diff PlanDiff)
}

var _ Events = (*Balancer)(nil)
