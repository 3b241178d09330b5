// Package garnettide makes the decisions of a load-balancing proxy for fleets of HTTP servers: which upstream gets a
// request, whether it is sent again, held, refused or failed, and how the upstream list is followed. It does no I/O.
//
// # Contract
//
// One Balancer is one proxy instance. Its owner calls a method per event, from one goroutine at a time, with now on
// any monotonic origin and never going back. The Balancer answers by calling its Host during that call, never outside
// it. It reads no clock, starts no goroutine and shares no state with other Balancers; the same events with the same
// seed give the same actions.
//
// Events arrive in order: a request's Request first, then one Outcome for each Send, at most one Gone. An Outcome may
// follow the request's final answer. Ids that are not held are passed over. Memory is bounded by what the owner has
// open (requests, attempts and listed upstreams) and by the classes and tenants of the settings.
//
// Settings change while it runs: NewPlan checks them on any goroutine, and Reconfigure puts the plan in force. A request
// that has been taken ends by the terms under which it was read. A class or tenant that is gone takes nothing new.
//
// Every request gets exactly one final answer: a successful Outcome, Refuse or Fail. Refuse promises the client that
// another try is harmless.
package garnettide

import "time"

// RequestID names one try of a client's request; ids are never reused.
type RequestID uint64

// UpstreamID names an upstream. It carries no meaning and survives restarts.
type UpstreamID uint32

// Repeat says whether a class may run more than once, safest first.
type Idempotency uint8

const (
	Idempotent      Idempotency = iota // may run any number of times
	IdempotentByKey                    // a group of upstreams drops repeats for Class.Memory
	NonIdempotent                      // must never run twice
)

// Group says which upstreams drop a keyed request's repeats.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class is one kind of request.
type Class struct {
	Name          string
	LatencyTarget time.Duration // answers within it earn full worth
	Deadline      time.Duration // the client's total wait
	Idempotency   Idempotency
	DedupScope    DedupScope    // for Keyed
	DedupWindow   time.Duration // for Keyed: how long repeats are dropped
	Worth         float64
	LateWorth     float64 // fraction of Worth between Aim and Deadline
}

// Tenant is a customer with a share of the service.
type Tenant struct {
	Name  string
	Quota float64 // requests a second over all balancers
}

// Limits is what the site permits.
type Limits struct {
	Cancel        bool
	Probes        bool
	Hedging       bool
	RetryAfter    bool
	MaxRetryAfter time.Duration // longest wait a client honours
	MaxAttempts   int
}

// Rules holds the figures of the drain and cold-start rules.
type Requirements struct {
	MaxDiscoveryInterval time.Duration // discovery on request: ask at least this often
	ColdCapacity         float64       // an upstream starts at this share of capacity or more
	WarmupTime           time.Duration // and is warm no later than this
	OverloadFactor       float64       // sent more than this multiple of present capacity
	OverloadWindow       time.Duration // for this long, a cold upstream falls over
	DrainGrace           time.Duration // sends to a draining upstream must cease within this
	AnswerSlack          time.Duration // slack of a final answer after the client's deadline
}

// WeightKind says what Upstream.Weight means.
type WeightKind uint8

const (
	WeightNone         WeightKind = iota // always one
	WeightNominal                        // size
	WeightApproximate                    // size, approximately
	WeightLoadAdjusted                   // size lowered by load some time ago
)

// ReportVia says how load reports arrive.
type ReportMode uint8

const (
	ReportNone        ReportMode = iota
	ReportInResponses            // within outcomes and probe results
	ReportInProbes               // within probe results only
)

// Settings is what a Balancer is told at its start, and again whenever they change.
type Settings struct {
	Zone           string
	Balancers      int // instances in this tier
	Rank           int // of this instance among them, from 0
	Classes        []Class
	Tenants        []Tenant
	OverQuotaWorth float64 // worth of traffic over a tenant's quota
	WorthByWork    bool    // worth counts per unit of work, not per request
	Limits         Limits
	Requirements   Requirements
	PollDiscovery  bool // discovery answers only when asked
	Weights        WeightKind
	Reports        ReportMode
	Granularity    time.Duration // least spacing of event batches
}

// State is what discovery says of an upstream.
type State uint8

const (
	Active State = iota
	Draining
	Removed
)

// Upstream is one entry of a discovery list.
type Upstream struct {
	ID        UpstreamID
	Zone      string
	Cell      int
	Weight    float64
	StartedAt time.Duration // latest start on the owner's clock; 0: long past
	State     State
}

// ListMode says how a list relates to the one held.
type ListMode uint8

// The list modes.
const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the whole list; what it lacks is gone
	ListCached                 // the whole list as last held, maybe stale
	ListFailed                 // the call failed or the watch dropped; no entries
	ListStale                  // a watch has fallen silent or discovery has moved: what is missed soon counts as told; no entries
)

// Request is a client's request.
type Request struct {
	ID            RequestID
	Budget        time.Duration // the client gives up this try after it
	Class         string        // a name from Settings.Classes
	ClassSettings *Class        // the class as the plan had it by which it was read; nil: as it is in force
	Tenant        string        // a name from Settings.Tenants, or empty; where there are none, any
	Key           uint64        // subject of the request, if HasKey
	HasKey        bool
	Retry         bool
	Cost          time.Duration // hint: work on a standard core; 0: unknown
	Streaming     bool          // its body still comes and passes to one upstream; Budget counts from Whole
}

// Status is how an attempt or probe ended.
type Status uint8

// The statuses. Those marked * prove that the request never ran.
const (
	OK            Status = iota
	Error                // the upstream answered with an error
	Rejected             // * turned away unseen
	Timeout              // no answer in time
	ConnectFailed        // * no connection in time
	Reset                // connection lost
	Cancelled            // stopped by Cancel
	NotSent              // * never sent
)

// NeverRan tells whether s proves that the request never ran.
func (s Status) NeverRan() bool { return s == Rejected || s == ConnectFailed || s == NotSent }

// LoadField is a bit for each value that a Load holds.
type LoadField uint8

const (
	HasUtil LoadField = 1 << iota
	HasInflight
	HasQueue
	HasServiceTime
	HasRequestRate
	HasErrorRate
)

// Load is an upstream's load report; Fields tells which values it holds.
type Load struct {
	Fields      LoadField
	Util        float64 // share of CPU busy
	Inflight    float64 // requests held
	Queue       float64 // requests waiting
	ServiceTime float64 // recent service time, ms
	RequestRate float64 // requests served a second
	ErrorRate   float64 // errors a second
}

// Outcome is the end of one attempt.
type Outcome struct {
	ID           RequestID
	Upstream     UpstreamID
	Attempt      int // order of the request's Sends, from 0
	Latency      time.Duration
	Status       Status
	RequestDone  bool // the request is finished, now or earlier
	BodyConsumed bool // what was sent of an open request can't be sent again
	Load         Load
}

// ProbeResult is the end of one probe.
type ProbeResult struct {
	Upstream UpstreamID
	Latency  time.Duration
	Status   Status
	Load     Load
}

// Host carries out a Balancer's actions.
type Host interface {
	// Send makes an attempt; timeout 0: until the client quits. Beside another one that may run it is written within window
	// of that one's Send or not at all, and so is that one beside this, if it is still to be written; up to 0: no bound.
	Send(id RequestID, up UpstreamID, timeout, window time.Duration)
	Refuse(id RequestID, retryAfter time.Duration) // retryAfter 0: no advice
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	Probe(up UpstreamID)
	Disconnect(up UpstreamID) // close idle connections
	Watch(on bool)            // subscribe to discovery
	Fetch()                   // ask discovery for the whole list once
	SetTimer(after time.Duration, token uint64)
	Log(text string)
}

// Events is the set of methods by which an owner drives a Balancer.
type Events interface {
	Members(now time.Duration, mode ListMode, list []Upstream)
	Request(now time.Duration, r Request)
	BodyComplete(now time.Duration, id RequestID) // the last byte of an open request has come
	ResponseStarted(now time.Duration, o Outcome) // an answer has begun that passes on as it comes; its Outcome follows
	Outcome(now time.Duration, o Outcome)
	ClientGone(now time.Duration, id RequestID) // the client left, nothing more is owed
	Probed(now time.Duration, p ProbeResult)
	Timer(now time.Duration, token uint64)
	SetMaintenance(now time.Duration, id UpstreamID, out bool) // operators leave an upstream out, or use it again
	Reconfigure(now time.Duration, p *Plan, c PlanDiff)        // p is in force from now on, and c what it changes
}

var _ Events = (*Balancer)(nil)
