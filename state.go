package clayladder

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// The types that the decisions in balancer.go keep, and what is decided over quotas and budgets.

// tenant counts one customer's requests against this balancer's part of its quota: rate, a second.
type tenant struct{ quota, rate, level, at float64 }

// over counts a request that is within its tenant's quota, and reports whether this one is over it. What is over the
// quota is not counted, or a tenant that asks for more than its share would be left none.
func (t *tenant) over(now time.Duration) bool {
	t.level, t.at = max(0, t.level-t.rate*(now.Seconds()-t.at)), now.Seconds()
	if t.level+1 > max(t.rate+quotaChance*math.Sqrt(t.rate), 1) {
		return true
	}
	t.level++
	return false
}

// class is one kind of request, what the cheapest one is worth set against it, its usual latency, ns, and the usual
// budget of a try, with the votes for that.
type class struct {
	Class
	stake  float64
	lat    float64
	budget time.Duration
	votes  int
}

// usual takes a try's budget and reports whether it is the usual one, by a majority vote that forgets. The longest
// budget is none to go by: a client's last try may have all of the deadline that is left.
func (c *class) usual(budget time.Duration) bool {
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
	class            *class
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
	classes                 map[string]*class
	tenants                 map[string]*tenant
	safest                  Repeat
	requests                map[RequestID]*request
	byID                    map[UpstreamID]*upstream
	ups                     []*upstream         // in order of arrival
	near                    []*upstream         // the subset, and what left it with attempts still out
	off                     map[UpstreamID]bool // in maintenance, listed or not
	stale                   bool                // the list may lack what soon counts as told
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
	tick, stepAt, watchWait time.Duration
	tightAt                 time.Duration // last time that no upstream could take a request
	logged                  map[string]time.Duration
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
