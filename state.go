// The types that a Balancer keeps, the learnt statistics of classes, tenant quotas and changes of settings.

package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	quotaDevs       = 2.0             // permitted excess over a quota, in standard deviations of a second's arrivals
	budgetTolerance = 16              // a budget within 1/budgetTolerance of the usual one counts as equal
	maxBudgetVotes  = 64              // most votes for the usual budget; other budgets have to outvote them
	removalsPerTick = 256             // names that are forgotten in a tick, for each pending change of settings
	logInterval     = 5 * time.Second // smallest interval between log lines of one kind
)

// tenant is the leaky bucket of a tenant's quota: its level in requests, and the time in seconds when it
// was updated.
type tenant struct{ level, updatedAt float64 }

// overQuota reports whether a request exceeds the quota, of which this balancer's part is rate requests per
// second, and counts the request if it does not. Requests over the quota are not counted, so that a tenant
// that sends too much still gets its quota.
func (t *tenant) overQuota(now time.Duration, rate float64) bool {
	t.level, t.updatedAt = max(0, t.level-rate*(now.Seconds()-t.updatedAt)), now.Seconds()
	if t.level+1 > max(rate+quotaDevs*math.Sqrt(rate), 1) {
		return true
	}
	t.level++
	return false
}

// classStatistics holds the mean latency of a class in nanoseconds, and the usual budget of its requests
// with the votes for it.
type classStatistics struct {
	latency float64
	budget  time.Duration
	votes   int
}

// worthRatio returns the smallest positive worth of a class divided by a worth, but at most 1.
func (p *Plan) worthRatio(worth float64) float64 {
	if p.minWorth < worth {
		return p.minWorth / worth
	}
	return 1
}

// acceptsTenant reports whether requests may name a tenant. Any name is accepted if no tenants are set.
func (p *Plan) acceptsTenant(tenant string) bool {
	if tenant == "" || len(p.tenants) == 0 {
		return true
	}
	_, ok := p.tenants[tenant]
	return ok
}

// class holds the class settings of a request and the learnt statistics of the class.
type class struct {
	*Class
	*classStatistics
}

// observeBudget counts the budget of a request and reports whether it is the usual one, which is found by a
// majority vote with a bounded count. The longest budget is not used, as a client's last try may have the
// whole rest of its deadline.
func (c *classStatistics) observeBudget(budget time.Duration) bool {
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
	ended, neverRan bool // the Outcome has come; it proves that the request was not executed
	overtakes       int  // later attempts at the upstream that were answered first
	lost            bool // no answer is expected any more
	responseStarted bool // the answer is being passed on to the client
	transfer        bool // it is counted in connUsage.transfers
}

// request is an open request. It is kept until its last attempt has ended.
type request struct {
	Request
	class                     class
	tenant                    *tenant       // whose quota it counts against; nil: none
	worth, workUnits          float64       // worth per unit of work; work in units of a mean request
	sendBy, deadline          time.Duration // latest time to leave the queue; end of the client's wait
	attempts                  []*attempt
	attemptsInFlight          int
	done, queued              bool // needs no further attempts; is in Balancer.queued
	overQuota                 bool
	bodyPending, bodyConsumed bool // the body is still arriving; it is gone, so that it cannot be sent again
}

// upstream holds the state and the statistics of one upstream. Latencies are in nanoseconds, work is in
// units of a mean request.
type upstream struct {
	Upstream
	cold, unresponsive                    bool // in slow start; gets trial requests only
	inSubset                              bool
	ringHash                              uint64        // position on the hash ring
	coldSince, nextTrialAt                time.Duration // start of the slow start; next trial while unresponsive
	lastAnswerAt, limitCutAt, lastProbeAt time.Duration
	pausedUntil                           time.Duration // gets no requests before
	failedAt                              time.Duration // time of the last failed connection for which it was paused
	maintenanceEndedAt                    time.Duration
	consecutiveRejections                 int
	presumedDrainingUntil                 time.Duration
	backoff                               time.Duration // wait after the next trial or failed connection

	// Share and utilisation.
	nextTurn                    float64 // its next turn in the round robin, in virtual time
	weight, shareFactor         float64 // weight from discovery; share left after cuts
	utilWindow                  [bandWindow]float64
	readings                    int           // number of readings so far
	utilMean, utilDev, bandArea float64       // mean and deviation of utilWindow; band width integrated over the period
	integratedAt, coldLevelAt   time.Duration // time of the latest change of bandArea; of coldLevel
	lastLoad                    Load

	// Latency and concurrency limit.
	inFlight                                     []*attempt // in order of sending
	latency, latencyDev, workUnits               float64    // running means: latency, its mean deviation, work per answer
	minLatency, smoothedLatency, baselineLatency float64    // per unit of work: minimum; running mean; minimum of that
	limit, maxLimit                              float64    // concurrency limit; its upper bound in this period
	answers                                      float64    // successful attempts in this period

	// Work and slow start.
	periodWork, meanWork, coldLevel float64 // work sent in this period; its running mean; leaky bucket while cold
	workPeriods                     float64 // number of periods in meanWork
	sharingRatio                    float64 // balancers that use it, relative to the usual number; 0: none is cold
}

// transferring reports whether the request's body is still arriving or the answer is already being passed
// on, so that the upstream does not have to answer.
func (a *attempt) transferring() bool { return a.responseStarted || a.req.bodyPending }

// activeAttempts returns the number of attempts in flight that count against the limit: all that are
// neither lost nor transferring.
func (u *upstream) activeAttempts() (n int) {
	for _, a := range u.inFlight {
		if !a.lost && !a.transferring() {
			n++
		}
	}
	return n
}

// Balancer makes the decisions for one proxy instance. See the package comment for its contract.
type Balancer struct {
	config          Settings // of the plan, without Classes and Tenants
	host            Host
	rng             *rand.Rand
	plan            *Plan                       // in force
	mostIdempotent  Idempotency                 // smallest Idempotency of a class
	classes         map[string]*classStatistics // created at first use
	tenants         map[string]*tenant          // created at first use
	pendingRemovals []PlanDiff                  // with removed classes and tenants that are still to be forgotten
	requests        map[RequestID]*request
	byID            map[UpstreamID]*upstream
	upstreams       []*upstream         // in order of arrival
	inUse           []*upstream         // the subset, and former members that have attempts in flight
	inMaintenance   map[UpstreamID]bool // listed or not
	mayMissChanges  bool                // the watch may have missed changes
	listUnconfirmed bool                // the latest list is from a cache, or discovery has failed or moved since
	queued          []*request          // highest worth first, then newest first
	conns           connUsage
	virtualTime     float64 // of the round robin

	// Statistics of all upstreams.
	latency, meanCost           float64 // running means: latency in nanoseconds, cost hint in nanoseconds
	periodSends, sendRate       float64 // attempts in this period; running mean per second
	initialLimit                float64 // concurrency limit of an upstream without statistics
	medianUtil                  float64 // median of the upstreams' mean utilisation
	capacityPerWeight           float64 // work in a period of a fully used warm upstream, per unit of weight
	minLatency, baselineLatency float64 // lower quartiles of the upstreams' values
	lateAnswerRatio             float64 // share of overdue attempts that were answered after all
	trafficShare                float64 // share of the subset's traffic that comes from this balancer; 0: unknown
	quotaShare                  float64 // share of the whole traffic; 0: unknown

	// Times. discoveryBackoff is the wait after a failed call of discovery; lastLogged is by kind of log line.
	tickInterval, periodStart, discoveryBackoff time.Duration
	discoveryCalledAt                           time.Duration // start of the last call, or time of the last list
	lastListAt                                  time.Duration // when discovery last sent a list or changes; 0: never
	lastQueuedAt                                time.Duration // when a request was last queued; at first, the start
	lastLogged                                  map[string]time.Duration
}

// applyPlan puts the settings of a plan in force. Classes and tenants are looked up in the plan.
func (b *Balancer) applyPlan(p *Plan) {
	b.plan, b.config, b.mostIdempotent = p, p.config, p.mostIdempotent
	b.tickInterval = max(p.config.Granularity, p.minTarget/ticksPerTarget, time.Millisecond)
}

// Plan returns the plan in force.
func (b *Balancer) Plan() *Plan { return b.plan }

// Reconfigure applies a plan; diff is its difference from the current one. Accepted requests keep their
// class settings, and statistics are kept. The time that it takes does not depend on the size of the plan.
func (b *Balancer) Reconfigure(now time.Duration, p *Plan, diff PlanDiff) {
	positionChanged := p.config.Balancers != b.config.Balancers || p.config.Rank != b.config.Rank
	b.applyPlan(p)
	if len(diff.removedClasses)+len(diff.removedTenants) > 0 {
		b.pendingRemovals = append(b.pendingRemovals, diff)
	}
	if positionChanged { // the subset depends on the rank
		b.selectSubset(now)
		b.dispatch(now)
	}
}

// forgetRemoved drops the statistics of some of the removed classes and tenants. A name that has been added
// again keeps its statistics. The more changes are pending, the more names are dropped at once.
func (b *Balancer) forgetRemoved() {
	for remaining := removalsPerTick * len(b.pendingRemovals); remaining > 0 && len(b.pendingRemovals) > 0; remaining-- {
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

// class returns the class with a name, with the given settings or, if they are nil, the current ones.
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

// localQuota returns this balancer's part of a tenant's quota, in requests per second: its share of the
// traffic, but at least an even share.
func (b *Balancer) localQuota(quota float64) float64 {
	if b.quotaShare == 0 {
		return quota / float64(b.config.Balancers)
	}
	return quota * max(b.quotaShare, 1/float64(b.config.Balancers))
}

// overQuota reports whether r exceeds the quota of its tenant, and counts it if it does not. A request of a
// tenant without a quota exceeds none.
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

// hashID hashes an upstream's id to its position on the ring. The hash is the same for all balancers, and makes
// the order of the ring independent of the numbering.
func hashID(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// updateMean adds a sample to an exponential moving average. A sample replaces an average of 0.
func updateMean(mean *float64, sample, weight float64) {
	if *mean == 0 {
		*mean = sample
	}
	*mean += weight * (sample - *mean)
}

// log writes a log line, but at most one of each kind in a logInterval.
func (b *Balancer) log(now time.Duration, kind, format string, args ...any) {
	if at, ok := b.lastLogged[kind]; !ok || now-at >= logInterval {
		b.lastLogged[kind] = now
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
