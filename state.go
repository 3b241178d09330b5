package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The types that the decisions in balancer.go keep, and what is decided over quotas, budgets and changed settings.

// tenant counts one customer's requests against this balancer's part of its quota.
type tenant struct{ level, updatedAt float64 }

// over counts a request that is within its tenant's quota, of which rate a second is this balancer's part, and reports
// whether this one is over it. What is over the quota is not counted, or a tenant that asks for more than its share
// would be left none.
func (t *tenant) overQuota(now time.Duration, rate float64) bool {
	t.level, t.updatedAt = max(0, t.level-rate*(now.Seconds()-t.updatedAt)), now.Seconds()
	if t.level+1 > max(rate+quotaDevs*math.Sqrt(rate), 1) {
		return true
	}
	t.level++
	return false
}

// classStatistics are what a class's requests have shown: their usual latency, ns, and the usual budget of a try, with the votes
// for that.
type classStatistics struct {
	latency float64
	budget  time.Duration
	votes   int
}

// stake sets what the cheapest class is worth, of those that are worth anything, against one of a worth: at most 1.
func (p *Plan) worthRatio(worth float64) float64 {
	if p.minWorth < worth {
		return p.minWorth / worth
	}
	return 1
}

// knows tells whether requests may name a tenant: any, where none is set.
func (p *Plan) acceptsTenant(tenant string) bool {
	if tenant == "" || len(p.tenants) == 0 {
		return true
	}
	_, ok := p.tenants[tenant]
	return ok
}

// class is a class as a request met it: the terms that held, and what is learnt of it.
type class struct {
	*Class
	*classStatistics
}

// usual takes a try's budget and reports whether it is the usual one, by a majority vote that forgets. The longest
// budget is none to go by: a client's last try may have all of the deadline that is left.
func (c *classStatistics) isUsualBudget(budget time.Duration) bool {
	if c.votes == 0 {
		c.budget = budget
	}
	if (budget - c.budget).Abs() <= c.budget/budgetTolerance {
		c.votes = min(c.votes+1, maxBudgetVotes)
		return true
	}
	c.votes--
	return false
}

// attempt is one send of a request.
type attempt struct {
	req             *request
	up              *upstream
	sentAt          time.Duration
	ended, neverRan bool
	overtakes       int  // later attempts at its upstream that were answered before it
	lost            bool // its answer is not expected any more
	responseStarted bool // its answer passes on
}

// request is an entry of the ledger; it stays until its last attempt has ended.
type request struct {
	Request
	class                     class
	tenant                    *tenant       // who it counts for; nil: nobody
	worth, workUnits          float64       // worth per unit of work; work in mean requests
	sendBy, deadline          time.Duration // sent after sendBy, an answer would come late
	attempts                  []*attempt
	attemptsInFlight          int
	done, queued              bool
	overQuota                 bool // its tenant's quota
	bodyPending, bodyConsumed bool // its body still comes; is gone
}

// upstream is what this balancer knows of one server.
type upstream struct {
	Upstream
	cold, unresponsive                           bool
	inSubset                                     bool   // in the subset
	ringHash                                     uint64 // on the ring of all upstreams
	coldSince, nextTrialAt                       time.Duration
	lastAnswerAt, limitCutAt, lastProbeAt        time.Duration
	pausedUntil                                  time.Duration // its turns are skipped until then
	maintenanceEndedAt                           time.Duration // end of its maintenance
	consecutiveRejections                        int           // requests in a row
	presumedDrainingUntil                        time.Duration // end of its being left out as one that drains
	backoff                                      time.Duration // growing wait between trials or failed connects
	nextTurn                                     float64       // its next turn, in turns of the whole fleet
	weight, shareFactor                          float64       // size; share left after cuts
	utilWindow                                   [bandWindow]float64
	readings                                     int
	utilMean, utilDev, bandArea                  float64 // of the window; band gap integrated since the last step
	integratedAt, coldLevelAt                    time.Duration
	lastLoad                                     Load
	inFlight                                     []*attempt // in order of sending
	latency, latencyDev, workUnits               float64    // usual latency, its mean deviation, ns; usual work of its answers
	minLatency, smoothedLatency, baselineLatency float64    // least latency for the work seen; its slow mean; the least of that
	limit, maxLimit                              float64    // attempts that may be out at once; its top this period
	answers                                      float64    // in this period
	periodWork, meanWork, coldLevel              float64    // work sent this period; its mean; leaky count while cold
	workPeriods                                  float64    // in the mean of the work
	sharingRatio                                 float64    // balancers that use it, over the usual number of them; 0: none is cold
}

// idle tells that no answer of a's upstream is awaited: the request still comes, or the answer already passes on.
func (a *attempt) transferring() bool { return a.responseStarted || a.req.bodyPending }

// places counts the attempts out that hold a place: all but the lost ones and those at which nothing is worked.
func (u *upstream) activeAttempts() (n int) {
	for _, a := range u.inFlight {
		if !a.lost && !a.transferring() {
			n++
		}
	}
	return n
}

// Balancer decides for one proxy instance. See the package comment for the contract.
type Balancer struct {
	config                                      Settings
	host                                        Host
	rng                                         *rand.Rand
	plan                                        *Plan // in force
	mostIdempotent                              Idempotency
	classes                                     map[string]*classStatistics // learnt, since the first use
	tenants                                     map[string]*tenant          // likewise
	pendingRemovals                             []PlanDiff                  // of which something is still to be forgotten
	requests                                    map[RequestID]*request
	byID                                        map[UpstreamID]*upstream
	upstreams                                   []*upstream         // in order of arrival
	inUse                                       []*upstream         // the subset, and what left it with attempts still out
	inMaintenance                               map[UpstreamID]bool // in maintenance, listed or not
	mayMissChanges                              bool                // the list may lack what soon counts as told
	listUnconfirmed                             bool                // it has not been heard since the start, or since a call failed
	queued                                      []*request          // by worth, then newest first
	virtualTime                                 float64             // virtual time of the interleave
	latency, meanCost                           float64             // usual latency, mean cost hint
	periodSends, sendRate                       float64             // attempts in this period; a second, of late
	initialLimit                                float64             // an upstream's bound before anything is learnt
	medianUtil                                  float64             // the fleet's middle level: what all carry is no one's excess
	capacityPerWeight                           float64             // work a period that warm upstreams carry for their weight and use
	minLatency, baselineLatency                 float64             // those of an upstream, as a good part of the fleet has them
	lateAnswerRatio                             float64             // part of the overdue attempts that were answered after all
	trafficShare                                float64             // of what the upstreams answer, as far as their reports tell
	quotaShare                                  float64             // of the whole traffic, likewise; 0: no report has told
	tickInterval, periodStart, discoveryBackoff time.Duration
	discoveryCalledAt                           time.Duration // last call of discovery that is known of
	lastQueuedAt                                time.Duration // last time that no upstream could take a request
	lastLogged                                  map[string]time.Duration
}

// adopt takes what a plan says apart from classes and tenants, which are looked up there.
func (b *Balancer) applyPlan(p *Plan) {
	b.plan, b.config, b.mostIdempotent = p, p.config, p.mostIdempotent
	b.tickInterval = max(p.config.Granularity, p.minTarget/ticksPerTarget, time.Millisecond)
}

// Plan returns the plan in force.
func (b *Balancer) Plan() *Plan { return b.plan }

// Reconfigure goes by another plan from now on; c is what that changes, for what is gone to be forgotten. What has been
// taken keeps its terms, and what has been learnt stays. The work does not grow with what the plan holds.
func (b *Balancer) Reconfigure(now time.Duration, p *Plan, diff PlanDiff) {
	positionChanged := p.config.Balancers != b.config.Balancers || p.config.Rank != b.config.Rank
	b.applyPlan(p)
	if len(diff.removedClasses)+len(diff.removedTenants) > 0 {
		b.pendingRemovals = append(b.pendingRemovals, diff)
	}
	if positionChanged { // another stretch of the ring
		b.selectSubset(now)
		b.dispatch(now)
	}
}

// forget drops what was learnt of some of the classes and tenants that are gone. One that is back keeps all of it.
func (b *Balancer) forgetRemoved() {
	for remaining := removalsPerTick * len(b.pendingRemovals); remaining > 0 && len(b.pendingRemovals) > 0; remaining-- { // faster where more is left to forget
		diff := &b.pendingRemovals[0]
		if n := len(diff.removedClasses); n > 0 {
			name := diff.removedClasses[n-1]
			if diff.removedClasses = diff.removedClasses[:n-1]; b.plan.classes[name] == nil {
				delete(b.classes, name)
			}
		} else if n := len(diff.removedTenants); n > 0 {
			name := diff.removedTenants[n-1]
			diff.removedTenants = diff.removedTenants[:n-1]
			if _, exists := b.plan.tenants[name]; !exists {
				delete(b.tenants, name)
			}
		} else {
			b.pendingRemovals[0] = PlanDiff{}
			b.pendingRemovals = b.pendingRemovals[1:]
		}
	}
}

// class is a class as it stands, by the terms given, or else those in force.
func (b *Balancer) class(name string, settings *Class) class {
	if settings == nil {
		settings = b.plan.classes[name]
	}
	stats := b.classes[name]
	if stats == nil {
		stats = &classStatistics{}
		b.classes[name] = stats
	}
	return class{settings, stats}
}

// rate is this balancer's part of a tenant's quota, a second: no less than an even one.
func (b *Balancer) localQuota(quota float64) float64 {
	if b.quotaShare == 0 {
		return quota / float64(b.config.Balancers)
	}
	return quota * max(b.quotaShare, 1/float64(b.config.Balancers))
}

// over counts r for its tenant, and reports whether it is over the quota. Who has no quota is never over it.
func (b *Balancer) overQuota(r *request, now time.Duration) bool {
	quota, ok := b.plan.tenants[r.Tenant]
	if !ok {
		return false
	}
	if r.tenant = b.tenants[r.Tenant]; r.tenant == nil {
		r.tenant = &tenant{updatedAt: now.Seconds()}
		b.tenants[r.Tenant] = r.tenant
	}
	return r.tenant.overQuota(now, b.localQuota(quota))
}

// mixed is a fixed hash of x, so that neither numbering nor time of listing orders the ring.
func hashID(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// follow moves a running mean; the first sample sets it.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// log writes a line of a kind, at most one in a while.
func (b *Balancer) log(now time.Duration, kind, format string, args ...any) {
	if at, ok := b.lastLogged[kind]; !ok || now-at >= logInterval {
		b.lastLogged[kind] = now
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
