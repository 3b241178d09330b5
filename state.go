package garnettide

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The types that the decisions in balancer.go keep, and what is decided over quotas, budgets and changed settings.

// tenant counts one customer's requests against this balancer's part of its quota.
type tenant struct{ level, at float64 }

// over counts a request that is within its tenant's quota, of which rate a second is this balancer's part, and reports
// whether this one is over it. What is over the quota is not counted, or a tenant that asks for more than its share
// would be left none.
func (t *tenant) over(now time.Duration, rate float64) bool {
	t.level, t.at = max(0, t.level-rate*(now.Seconds()-t.at)), now.Seconds()
	if t.level+1 > max(rate+quotaChance*math.Sqrt(rate), 1) {
		return true
	}
	t.level++
	return false
}

// classStatistics are what a class's requests have shown: their usual latency, ns, and the usual budget of a try, with the votes
// for that.
type classStatistics struct {
	lat    float64
	budget time.Duration
	votes  int
}

// stake sets what the cheapest class is worth, of those that are worth anything, against one of a worth: at most 1.
func (p *Plan) stake(worth float64) float64 {
	if p.minWorth < worth {
		return p.minWorth / worth
	}
	return 1
}

// knows tells whether requests may name a tenant: any, where none is set.
func (p *Plan) knows(tenant string) bool {
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
func (c *classStatistics) usual(budget time.Duration) bool {
	if c.votes == 0 {
		c.budget = budget
	}
	if (budget - c.budget).Abs() <= c.budget/budgetNoise {
		c.votes = min(c.votes+1, budgetVotes)
		return true
	}
	c.votes--
	return false
}

// attempt is one send of a request.
type attempt struct {
	r               *request
	up              *upstream
	sentAt          time.Duration
	ended, neverRan bool
	passed          int  // later attempts at its upstream that were answered before it
	lost            bool // its answer is not expected any more
	begun           bool // its answer passes on
}

// request is an entry of the ledger; it stays until its last attempt has ended.
type request struct {
	Request
	class            class
	tenant           *tenant       // who it counts for; nil: nobody
	worth, units     float64       // worth per unit of work; work in mean requests
	sendBy, deadline time.Duration // sent after sendBy, an answer would come late
	attempts         []*attempt
	out              int
	done, held       bool
	over             bool // its tenant's quota
	coming, spent    bool // its body still comes; is gone
}

// upstream is what this balancer knows of one server.
type upstream struct {
	Upstream
	cold, silent                bool
	member                      bool   // in the subset
	place                       uint64 // on the ring of all upstreams
	coldAt, trialAt             time.Duration
	answeredAt, cutAt, probedAt time.Duration
	freeAt                      time.Duration // its turns are skipped until then
	backAt                      time.Duration // end of its maintenance
	turnedAway                  int           // requests in a row
	presumedUntil               time.Duration // end of its being left out as one that drains
	wait                        time.Duration // growing wait between trials or failed connects
	due                         float64       // its next turn, in turns of the whole fleet
	weight, factor              float64       // size; share left after cuts
	window                      [bandWindow]float64
	readings                    int
	mean, dev, area             float64 // of the window; band gap integrated since the last step
	readAt, spentAt             time.Duration
	last                        Load
	outs                        []*attempt // in order of sending
	lat, latDev, units          float64    // usual latency, its mean deviation, ns; usual work of its answers
	least, slow, calm           float64    // least latency for the work seen; its slow mean; the least of that
	bound, most                 float64    // attempts that may be out at once; its top this period
	answers                     float64    // in this period
	carried, work, spent        float64    // work sent this period; its mean; leaky count while cold
	periods                     float64    // in the mean of the work
	crowding                    float64    // balancers that use it, over the usual number of them; 0: none is cold
}

// idle tells that no answer of a's upstream is awaited: the request still comes, or the answer already passes on.
func (a *attempt) idle() bool { return a.begun || a.r.coming }

// places counts the attempts out that hold a place: all but the lost ones and those at which nothing is worked.
func (u *upstream) places() (n int) {
	for _, a := range u.outs {
		if !a.lost && !a.idle() {
			n++
		}
	}
	return n
}

// Balancer decides for one proxy instance. See the package comment for the contract.
type Balancer struct {
	s                       Settings
	host                    Host
	rng                     *rand.Rand
	plan                    *Plan // in force
	safest                  Idempotency
	classes                 map[string]*classStatistics // learnt, since the first use
	tenants                 map[string]*tenant          // likewise
	gone                    []PlanDiff                  // of which something is still to be forgotten
	requests                map[RequestID]*request
	byID                    map[UpstreamID]*upstream
	ups                     []*upstream         // in order of arrival
	near                    []*upstream         // the subset, and what left it with attempts still out
	off                     map[UpstreamID]bool // in maintenance, listed or not
	stale                   bool                // the list may lack what soon counts as told
	listInDoubt             bool                // it has not been heard since the start, or since a call failed
	held                    []*request          // by worth, then newest first
	turn                    float64             // virtual time of the interleave
	lat, cost               float64             // usual latency, mean cost hint
	sends, pace             float64             // attempts in this period; a second, of late
	start                   float64             // an upstream's bound before anything is learnt
	ceiling                 float64             // the fleet's middle level: what all carry is no one's excess
	carry                   float64             // work a period that warm upstreams carry for their weight and use
	least, calm             float64             // those of an upstream, as a good part of the fleet has them
	doubt                   float64             // part of the overdue attempts that were answered after all
	part                    float64             // of what the upstreams answer, as far as their reports tell
	quotaPart               float64             // of the whole traffic, likewise; 0: no report has told
	tick, stepAt, watchWait time.Duration
	askedAt                 time.Duration // last call of discovery that is known of
	tightAt                 time.Duration // last time that no upstream could take a request
	logged                  map[string]time.Duration
}

// adopt takes what a plan says apart from classes and tenants, which are looked up there.
func (b *Balancer) adopt(p *Plan) {
	b.plan, b.s, b.safest = p, p.s, p.safest
	b.tick = max(p.s.Granularity, p.minTarget/ticksPerAim, time.Millisecond)
}

// Plan returns the plan in force.
func (b *Balancer) Plan() *Plan { return b.plan }

// Reconfigure goes by another plan from now on; c is what that changes, for what is gone to be forgotten. What has been
// taken keeps its terms, and what has been learnt stays. The work does not grow with what the plan holds.
func (b *Balancer) Reconfigure(now time.Duration, p *Plan, c PlanDiff) {
	moved := p.s.Balancers != b.s.Balancers || p.s.Rank != b.s.Rank
	b.adopt(p)
	if len(c.removedClasses)+len(c.removedTenants) > 0 {
		b.gone = append(b.gone, c)
	}
	if moved { // another stretch of the ring
		b.gather(now)
		b.dispatch(now)
	}
}

// forget drops what was learnt of some of the classes and tenants that are gone. One that is back keeps all of it.
func (b *Balancer) forget() {
	for left := forgetMost * len(b.gone); left > 0 && len(b.gone) > 0; left-- { // faster where more is left to forget
		c := &b.gone[0]
		if n := len(c.removedClasses); n > 0 {
			name := c.removedClasses[n-1]
			if c.removedClasses = c.removedClasses[:n-1]; b.plan.classes[name] == nil {
				delete(b.classes, name)
			}
		} else if n := len(c.removedTenants); n > 0 {
			name := c.removedTenants[n-1]
			c.removedTenants = c.removedTenants[:n-1]
			if _, back := b.plan.tenants[name]; !back {
				delete(b.tenants, name)
			}
		} else {
			b.gone[0] = PlanDiff{}
			b.gone = b.gone[1:]
		}
	}
}

// class is a class as it stands, by the terms given, or else those in force.
func (b *Balancer) class(name string, terms *Class) class {
	if terms == nil {
		terms = b.plan.classes[name]
	}
	h := b.classes[name]
	if h == nil {
		h = &classStatistics{}
		b.classes[name] = h
	}
	return class{terms, h}
}

// rate is this balancer's part of a tenant's quota, a second: no less than an even one.
func (b *Balancer) rate(quota float64) float64 {
	if b.quotaPart == 0 {
		return quota / float64(b.s.Balancers)
	}
	return quota * max(b.quotaPart, 1/float64(b.s.Balancers))
}

// over counts r for its tenant, and reports whether it is over the quota. Who has no quota is never over it.
func (b *Balancer) over(r *request, now time.Duration) bool {
	quota, ok := b.plan.tenants[r.Tenant]
	if !ok {
		return false
	}
	if r.tenant = b.tenants[r.Tenant]; r.tenant == nil {
		r.tenant = &tenant{at: now.Seconds()}
		b.tenants[r.Tenant] = r.tenant
	}
	return r.tenant.over(now, b.rate(quota))
}

// mixed is a fixed hash of x, so that neither numbering nor time of listing orders the ring.
func mixed(x uint64) uint64 {
	x = (x + 1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>29) * 0xbf58476d1ce4e5b9
	return x ^ x>>32
}

// follow moves a running mean; the first sample sets it.
func follow(mean *float64, x, weight float64) {
	if *mean == 0 {
		*mean = x
	}
	*mean += weight * (x - *mean)
}

// log writes a line of a kind, at most one in a while.
func (b *Balancer) log(now time.Duration, kind, format string, args ...any) {
	if at, ok := b.logged[kind]; !ok || now-at >= logEvery {
		b.logged[kind] = now
		b.host.Log(fmt.Sprintf(format, args...))
	}
}
