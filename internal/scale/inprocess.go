package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"garnettide"
	"garnettide/internal/proxy"
	"garnettide/internal/wire"
)

// What one process spends, measured by calling the module and the reading of the configuration as the balancer does,
// with no sockets and no other process. The loop round the module is not in these figures: hollow balancers have it.

// What is held while another figure varies: small, so that it does not hide what varies.
const (
	heldUpstreams = 300
	heldClasses   = 3
	heldTenants   = 3
)

const peak = 150000 // requests a second to the whole fleet, from the letter

// batchTime is the processor time of a batch: many times what its reading errs by.
var batchTime = 25 * time.Millisecond

const (
	batchMost = 1 << 16 // calls in a batch
	batches   = 5       // of which the cheapest counts: others use the core too
	liveRuns  = 3       // of which the smallest counts
)

var (
	upstreamSizes = eighths(Upstreams)
	classSizes    = eighths(Classes)
	tenantSizes   = eighths(Tenants)
	sixteenths    = eighths(16)
)

// eighths are five sizes, each twice the one before, up to most.
func eighths(most int) []int { return []int{most / 16, most / 8, most / 4, most / 2, most} }

// inProcessRuns is how often a run takes all of these slopes.
const inProcessRuns = 3

// InProcessSlopes measures all slopes of this file so many times, one after another, a run in less than a minute, and
// takes the least figure of each point: others use the machine too. It tells progress, if that is not nil, which one
// comes. A slope that could not be measured has no points, and its Note says why.
func InProcessSlopes(runs int, progress func(string)) []Slope {
	var slopes []Slope
	for run := range runs {
		for i, m := range inProcess {
			if progress != nil {
				progress(fmt.Sprintf("run %d of %d: %s, over %s", run+1, runs, m.name, m.varied))
			}
			if s := m.slope(); run == 0 {
				slopes = append(slopes, s)
			} else {
				slopes[i] = slopes[i].least(s)
			}
		}
	}
	return slopes
}

// measurement is a slope to take: at gives the figure for one size.
type measurement struct {
	name, unit, varied, note string
	sizes                    []int
	at                       func(n int) (float64, error)
}

func (m measurement) slope() Slope {
	var x, y []float64
	for _, n := range m.sizes {
		v, err := m.at(n)
		if err != nil {
			return Slope{Name: m.name, Unit: m.unit, Varied: m.varied, Note: fmt.Sprintf("not run: at %d: %v", n, err)}
		}
		x, y = append(x, float64(n)), append(y, v)
	}
	s := NewSlope(m.name, m.unit, m.varied, x, y)
	s.Note = m.note
	return s
}

const (
	cheapest  = "processor time with what the collector takes; the cheapest of 5 batches"
	leastLive = "live after a collection, the least of 3"
)

var inProcess = []measurement{
	{"step: the module each second, at rest", "ms", "upstreams", cheapest, upstreamSizes,
		func(n int) (float64, error) { return secondly(n, heldTenants, false) }},
	{"step: the module each second, with an answer that reports its server's rate", "ms", "tenants", cheapest, tenantSizes,
		func(n int) (float64, error) { return secondly(heldUpstreams, n, true) }},
	{"tick: the module between steps, at rest", "ms", "upstreams", cheapest, upstreamSizes, tick},
	{"change: one upstream drains or is up again", "ms", "upstreams", cheapest + "; the module alone, not the loop", upstreamSizes, change},
	{"whole list: applied by the module, nothing changed", "ms", "upstreams", cheapest, upstreamSizes, wholeList},
	{"whole list: decoded", "ms", "upstreams", cheapest + "; entries of the client's shape, checked and sorted as it does", upstreamSizes,
		listDecode},
	{"whole list: size", "KB", "upstreams", "as discovery would write it, not indented", upstreamSizes, listSize},
	{"request: taken, sent and answered", "us", "upstreams", cheapest + "; the module alone", upstreamSizes, requestCost},
	{"New", "ms", "classes", cheapest, classSizes, func(n int) (float64, error) { return newCost(n, heldTenants) }},
	{"New", "ms", "tenants", cheapest, tenantSizes, func(n int) (float64, error) { return newCost(heldClasses, n) }},
	{"settings: LoadConfig", "ms", "classes", cheapest, classSizes, func(n int) (float64, error) { return loadCost(n, heldTenants, 0) }},
	{"settings: LoadConfig", "ms", "tenants", cheapest, tenantSizes, func(n int) (float64, error) { return loadCost(heldClasses, n, 0) }},
	{"settings: wire.DecodeSettings", "ms", "classes", cheapest, classSizes, func(n int) (float64, error) { return decodeCost(n, heldTenants) }},
	{"settings: wire.DecodeSettings", "ms", "tenants", cheapest, tenantSizes, func(n int) (float64, error) { return decodeCost(heldClasses, n) }},
	{"settings: size of the file", "KB", "classes", "compact", classSizes, func(n int) (float64, error) { return fileSize(n, heldTenants, 0) }},
	{"settings: size of the file", "KB", "tenants", "compact", tenantSizes, func(n int) (float64, error) { return fileSize(heldClasses, n, 0) }},
	{"settings: allocated by LoadConfig", "MB", "tenants", "what is allocated in all, freed meanwhile or not", tenantSizes, loadAllocated},
	{"memory: Balancer with its list", "MB", "upstreams", leastLive, upstreamSizes,
		func(n int) (float64, error) { return liveMemory(n, heldClasses, heldTenants) }},
	{"memory: Balancer with its settings", "MB", "classes", leastLive, classSizes,
		func(n int) (float64, error) { return liveMemory(heldUpstreams, n, heldTenants) }},
	{"memory: Balancer with its settings", "MB", "tenants", leastLive, tenantSizes,
		func(n int) (float64, error) { return liveMemory(heldUpstreams, heldClasses, n) }},
	{"whole configuration: LoadConfig", "ms", "sixteenths of the fleet ahead", cheapest, sixteenths,
		func(n int) (float64, error) { return loadCost(Classes*n/16, Tenants*n/16, Upstreams*n/16) }},
	{"whole configuration: size of the file", "KB", "sixteenths of the fleet ahead", "compact, with the list", sixteenths,
		func(n int) (float64, error) { return fileSize(Classes*n/16, Tenants*n/16, Upstreams*n/16) }},
	{"whole configuration: New", "ms", "sixteenths of the fleet ahead", cheapest, sixteenths,
		func(n int) (float64, error) { return newCost(Classes*n/16, Tenants*n/16) }},
	{"whole configuration: memory of the Balancer", "MB", "sixteenths of the fleet ahead", leastLive, sixteenths,
		func(n int) (float64, error) { return liveMemory(Upstreams*n/16, Classes*n/16, Tenants*n/16) }},
	{"reload: NewPlan, away from the loop", "ms", "sixteenths of the fleet ahead", cheapest, sixteenths, planCost},
	{"reload: Plan.Since, away from the loop", "ms", "sixteenths of the fleet ahead", cheapest, sixteenths, compareCost},
	{"reload: Reconfigure, on the loop", "us", "sixteenths of the fleet ahead", cheapest + "; two of them, one class and one tenant changed to and fro", sixteenths,
		reconfigureCost},
	{"reload: memory of the Balancer with the old plan and the new one", "MB", "sixteenths of the fleet ahead", leastLive, sixteenths, twoPlans},
	{"quota: taken for over it, requests through all of n balancers", "%", "balancers", quotaNote, []int{1, 3, 14, 30, 135, 950},
		func(n int) (float64, error) { return quotaShare(n, n, quotaFor) }},
	{"quota: taken for over it, requests through n of 950 balancers", "%", "balancers used", quotaNote, []int{8, 30, 135, 950},
		func(n int) (float64, error) { return quotaShare(Balancers, n, quotaFor) }},
}

const quotaNote = "a tenant with a quota of 2.1/s that asks for 80% of it, by chance and evenly; the same each time"

// --- The means of measuring ---

// spent is the processor time that this process has had.
func spent() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // it fails for wrong arguments only
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is the processor time of one call of op, what the collector takes for it included: the cheapest batch's mean.
func cost(op func()) time.Duration {
	op() // what the first call alone costs is no slope
	best := time.Duration(0)
	for calls, run := 1, 0; run < batches; {
		runtime.GC()
		from := spent()
		for range calls {
			op()
		}
		took := spent() - from
		if took < batchTime && calls < batchMost {
			calls *= 2
			continue
		}
		if each := took / time.Duration(calls); run == 0 || each < best {
			best = each
		}
		run++
	}
	return best
}

func inMS(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// live is what made holds, in MB, after a collection.
func live(made func() (any, error)) (float64, error) {
	best := 0.0
	for run := range liveRuns {
		before := heap()
		x, err := made()
		if err != nil {
			return 0, err
		}
		held := heap() - before
		runtime.KeepAlive(x)
		if run == 0 || held < best {
			best = held
		}
	}
	return best, nil
}

// heap is the live heap in MB.
func heap() float64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held on to
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// host is a garnettide.Host that does nothing but note what was asked last.
type host struct {
	sent, refused int // how often
	id            garnettide.RequestID
	up            garnettide.UpstreamID
	tick          uint64 // token of the first timer: the row of ticks
	timers        int
}

var _ garnettide.Host = (*host)(nil)

func (h *host) Send(id garnettide.RequestID, up garnettide.UpstreamID, _, _ time.Duration) {
	h.sent, h.id, h.up = h.sent+1, id, up
}
func (h *host) Refuse(garnettide.RequestID, time.Duration) { h.refused++ }
func (h *host) Fail(garnettide.RequestID)                  {}
func (h *host) Cancel(garnettide.RequestID, int)           {}
func (h *host) Probe(garnettide.UpstreamID)                {}
func (h *host) Disconnect(garnettide.UpstreamID)           {}
func (h *host) Watch(bool)                                 {}
func (h *host) Fetch()                                     {}
func (h *host) Log(string)                                 {}
func (h *host) SetTimer(_ time.Duration, token uint64) {
	if h.timers++; h.timers == 1 {
		h.tick = token
	}
}

// --- What is fed to it ---

// settingsOf are settings of the fleet ahead with so many classes and tenants.
func settingsOf(classes, tenants int) garnettide.Settings {
	s := garnettide.Settings{Zone: "z1", Balancers: Balancers, Rank: 17, OverQuotaWorth: 0.1, PollDiscovery: true,
		Weights: garnettide.WeightNominal, Reports: garnettide.ReportInResponses, Granularity: 5 * time.Millisecond,
		Limits: garnettide.Limits{Cancel: true, Hedging: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second, MaxAttempts: 3},
		Requirements: garnettide.Requirements{MaxDiscoveryInterval: 10 * time.Second, ColdCapacity: 0.3, WarmupTime: 9 * time.Second, OverloadFactor: 3,
			OverloadWindow: 3 * time.Second, DrainGrace: 2 * time.Second, AnswerSlack: 20 * time.Millisecond}}
	for i := range classes {
		s.Classes = append(s.Classes, garnettide.Class{Name: className(i), LatencyTarget: 300 * time.Millisecond, Deadline: time.Second,
			Idempotency: garnettide.Idempotency(i % 2), DedupWindow: 400 * time.Millisecond, Worth: float64(1 + i%7), LateWorth: 0.2})
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, garnettide.Tenant{Name: tenantName(i), Quota: 2.1})
	}
	return s
}

func className(i int) string  { return fmt.Sprintf("svc-%03d-route-%05d", i%950, i) }
func tenantName(i int) string { return fmt.Sprintf("customer-%06d", i) }

// upstreamList are n upstreams that all are up.
func upstreamList(n int) []garnettide.Upstream {
	ups := make([]garnettide.Upstream, n)
	for i := range ups {
		ups[i] = garnettide.Upstream{ID: garnettide.UpstreamID(i)*2654435761 + 1, Zone: zone(i), Cell: i % 11, Weight: 1}
	}
	return ups
}

func zone(i int) string { return "z" + strconv.Itoa(1+i%7) }

// balancer is a Balancer with its list, and its Host.
func balancer(upstreams, classes, tenants int) (*garnettide.Balancer, *host, error) {
	h := &host{}
	b, err := garnettide.New(settingsOf(classes, tenants), 1, 0, h)
	if err != nil {
		return nil, nil, err
	}
	b.Members(0, garnettide.ListFull, upstreamList(upstreams))
	return b, h, nil
}

// The configuration as the operators write it. Its parts are named by the pages of the wire and of deployment.
type (
	obj     map[string]any
	entries []obj
)

// settingsText is the settings object of a configuration.
func settingsText(classes, tenants int) obj {
	profiles, customers := make(entries, classes), make(entries, tenants)
	for i := range profiles {
		profiles[i] = obj{"give_up_us": 1000000, "group": "all", "late_worth": 0.2, "memory_span_us": 400000, "name": className(i),
			"repeat": []string{"read_like", "idempotency_key"}[i%2], "stream": false, "target_us": 300000, "worth": 1 + i%7}
	}
	for i := range customers {
		customers[i] = obj{"name": tenantName(i), "quota_rps": 2.1, "share": 0.0000138}
	}
	return obj{"az": "z1", "balancers": Balancers, "rank": 17, "granularity_us": 5000, "membership_mode": "on_request",
		"over_share_worth": 0.1, "weights": "nominal", "worth_by": "request", "profiles": profiles, "tenants": customers,
		"limits": obj{"cancel": true, "connect_timeout_us": 250000, "keepalive_us": 30000000, "max_attempts": 3,
			"max_retry_after_us": 2000000, "probes": false, "retry_after": true, "second_copies": true},
		"obligations": obj{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.3, "drain_grace_us": 2000000,
			"ramp_time_us": 9000000, "tip_after_us": 3000000, "tip_multiple": 3.0},
		"reporting": obj{"fields": []string{"load_share", "tps"}, "via": "piggyback"}}
}

// listText is a whole list in discovery's form.
func listText(n int) obj {
	members := make(entries, n)
	for i := range members {
		members[i] = obj{"id": fmt.Sprintf("s-%08x", uint32(i)*2654435761), "host_port": fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255),
			"locality": zone(i), "flavor": "m2", "cell": i % 11, "phase": "up", "size": 1.0, "up_since_ms": 1790000000000 + i}
	}
	return obj{"revision": 41, "complete": true, "members": members}
}

// configText is a whole configuration file.
func configText(classes, tenants, known int) ([]byte, error) {
	return json.Marshal(obj{"name": "n1", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
		"limits": obj{"cores": 1.0, "memory_mb": 256, "sockets": 1024}, "known": listText(known),
		"settings": settingsText(classes, tenants)})
}

// --- The figures ---

// secondly is what the module's step costs, that comes once a second. With reports one answer a second tells its
// server's rate, by which quotas follow the traffic.
func secondly(upstreams, tenants int, reports bool) (float64, error) {
	b, h, err := balancer(upstreams, heldClasses, tenants)
	if err != nil {
		return 0, err
	}
	now, id := time.Duration(0), garnettide.RequestID(0)
	return inMS(cost(func() {
		now += time.Second
		if reports {
			id++
			b.Request(now, garnettide.Request{ID: id, Budget: time.Second, Class: className(0)})
			b.Outcome(now, garnettide.Outcome{ID: id, Upstream: h.up, Latency: 10 * time.Millisecond,
				Load: garnettide.Load{Fields: garnettide.HasUtil | garnettide.HasRequestRate, Util: 0.3, RequestRate: 10}})
		}
		b.Timer(now, h.tick)
	})), nil
}

// tick is what the module's look at its subset costs, that comes some times in each aim.
func tick(upstreams int) (float64, error) {
	b, h, err := balancer(upstreams, heldClasses, heldTenants)
	if err != nil {
		return 0, err
	}
	b.Timer(time.Second, h.tick) // the step; none follows, as the clock stands still
	return inMS(cost(func() { b.Timer(time.Second, h.tick) })), nil
}

// change is what one changed entry costs the module: an upstream drains, or is up again.
func change(upstreams int) (float64, error) {
	b, _, err := balancer(upstreams, heldClasses, heldTenants)
	if err != nil {
		return 0, err
	}
	entry, now := upstreamList(upstreams)[upstreams/2:upstreams/2+1], time.Duration(0)
	return inMS(cost(func() {
		now += time.Millisecond
		entry[0].State = garnettide.Draining - entry[0].State // to and fro
		b.Members(now, garnettide.ListDelta, entry)
	})), nil
}

// wholeList is what a whole list costs the module in which nothing is new, as after a watch that had failed.
func wholeList(upstreams int) (float64, error) {
	b, _, err := balancer(upstreams, heldClasses, heldTenants)
	if err != nil {
		return 0, err
	}
	all, now := upstreamList(upstreams), time.Duration(0)
	return inMS(cost(func() {
		now += time.Millisecond
		b.Members(now, garnettide.ListFull, all)
	})), nil
}

// listDecode is what the reading of a whole list costs: the decoding, the look at each address and the order that the
// discovery client gives it, over entries of the same shape. The client's own are not to be had from outside.
func listDecode(upstreams int) (float64, error) {
	text, err := json.Marshal(listText(upstreams))
	if err != nil {
		return 0, err
	}
	type entry struct {
		ID        string  `json:"id"`
		HostPort  string  `json:"host_port"`
		Locality  string  `json:"locality"`
		Cell      int     `json:"cell"`
		Phase     string  `json:"phase"`
		Size      float64 `json:"size"`
		UpSinceMS int64   `json:"up_since_ms"`
	}
	each := cost(func() {
		var l struct {
			Revision uint64  `json:"revision"`
			Complete bool    `json:"complete"`
			Members  []entry `json:"members"`
		}
		if e := json.Unmarshal(text, &l); e != nil {
			err = e
		}
		for _, m := range l.Members {
			if _, e := netip.ParseAddrPort(m.HostPort); e != nil {
				err = e
			}
		}
		slices.SortFunc(l.Members, func(a, b entry) int { return strings.Compare(a.ID, b.ID) })
	})
	return inMS(each), err
}

func listSize(upstreams int) (float64, error) {
	text, err := json.Marshal(listText(upstreams))
	return float64(len(text)) / 1e3, err
}

// requestCost is what a request costs the module, in us: taken, sent at once, and answered, at a balancer's mean rate.
func requestCost(upstreams int) (float64, error) {
	b, h, err := balancer(upstreams, heldClasses, heldTenants)
	if err != nil {
		return 0, err
	}
	now, id, every := time.Duration(0), garnettide.RequestID(0), time.Second*Balancers/peak
	each := cost(func() {
		id++
		now += every / 2
		b.Request(now, garnettide.Request{ID: id, Budget: time.Second, Class: className(0), Tenant: tenantName(0)})
		now += every / 2
		if h.id == id {
			b.Outcome(now, garnettide.Outcome{ID: id, Upstream: h.up, Latency: every / 2, Load: garnettide.Load{
				Fields: garnettide.HasUtil | garnettide.HasRequestRate, Util: 0.3 + float64(id%8)/100, RequestRate: 10}})
		}
	})
	if h.sent < int(id)*9/10 {
		return 0, fmt.Errorf("only %d of %d requests were sent at once", h.sent, id)
	}
	return inMS(each) * 1000, nil
}

func newCost(classes, tenants int) (float64, error) {
	s, err := settingsOf(classes, tenants), error(nil)
	each := cost(func() {
		if _, e := garnettide.New(s, 1, 0, &host{}); e != nil {
			err = e
		}
	})
	return inMS(each), err
}

// loadCost is what the reading and checking of a configuration file costs.
func loadCost(classes, tenants, known int) (float64, error) {
	getenv, remove, err := configFile(classes, tenants, known)
	if err != nil {
		return 0, err
	}
	defer remove()
	each := cost(func() {
		if _, e := proxy.LoadConfig(getenv); e != nil {
			err = e
		}
	})
	return inMS(each), err
}

// loadAllocated is how much memory the reading of a configuration file allocates in all, in MB.
func loadAllocated(tenants int) (float64, error) {
	getenv, remove, err := configFile(heldClasses, tenants, 0)
	if err != nil {
		return 0, err
	}
	defer remove()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = proxy.LoadConfig(getenv)
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / 1e6, err
}

// configFile writes a configuration to a file of its own, and gives the environment that names it.
func configFile(classes, tenants, known int) (getenv func(string) string, remove func(), err error) {
	text, err := configText(classes, tenants, known)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	return func(name string) string { return map[string]string{"RELAY_CONFIG": path, "TMPDIR": dir}[name] },
		func() { os.RemoveAll(dir) }, nil
}

func fileSize(classes, tenants, known int) (float64, error) {
	text, err := configText(classes, tenants, known)
	return float64(len(text)) / 1e3, err
}

func decodeCost(classes, tenants int) (float64, error) {
	text, err := json.Marshal(settingsText(classes, tenants))
	if err != nil {
		return 0, err
	}
	each := cost(func() {
		if _, _, e := wire.DecodeSettings(text); e != nil {
			err = e
		}
	})
	return inMS(each), err
}

// liveMemory is what a Balancer holds with its list and its settings, read as the balancer reads them.
func liveMemory(upstreams, classes, tenants int) (float64, error) {
	text, err := json.Marshal(settingsText(classes, tenants))
	if err != nil {
		return 0, err
	}
	return live(func() (any, error) {
		s, _, err := wire.DecodeSettings(text)
		if err != nil {
			return nil, err
		}
		b, err := garnettide.New(s, 1, 0, &host{})
		if err != nil {
			return nil, err
		}
		b.Members(0, garnettide.ListFull, upstreamList(upstreams))
		return b, nil
	})
}

// --- Reload ---

func noStep() {}

// plans are two plans of a part of the fleet ahead, that differ in one class and one tenant.
func plans(part int) (one, two *garnettide.Plan, err error) {
	s := settingsOf(Classes*part/16, Tenants*part/16)
	if one, err = garnettide.NewPlan(s, noStep); err != nil {
		return nil, nil, err
	}
	s.Classes[0].Worth++
	s.Tenants[0].Quota++
	two, err = garnettide.NewPlan(s, noStep)
	return one, two, err
}

func planCost(part int) (float64, error) {
	s, err := settingsOf(Classes*part/16, Tenants*part/16), error(nil)
	each := cost(func() {
		if _, e := garnettide.NewPlan(s, noStep); e != nil {
			err = e
		}
	})
	return inMS(each), err
}

func compareCost(part int) (float64, error) {
	one, two, err := plans(part)
	if err != nil {
		return 0, err
	}
	return inMS(cost(func() { two.Since(one, noStep) })), nil
}

// reconfigureCost is what is left on the loop of a change of the settings, in us.
func reconfigureCost(part int) (float64, error) {
	reconfigure, err := reconfigured(part)
	if err != nil {
		return 0, err
	}
	return inMS(cost(reconfigure)) * 1000, nil
}

// reconfigured has a Balancer go by two plans in turn.
func reconfigured(part int) (func(), error) {
	one, two, err := plans(part)
	if err != nil {
		return nil, err
	}
	forth, back := two.Since(one, noStep), one.Since(two, noStep)
	b := garnettide.NewWithPlan(one, 1, 0, &host{})
	b.Members(0, garnettide.ListFull, upstreamList(Upstreams*part/16))
	now := time.Duration(0)
	return func() {
		now += time.Millisecond
		b.Reconfigure(now, two, forth)
		b.Reconfigure(now, one, back)
	}, nil
}

// twoPlans is what is held while a new plan stands ready and the old one is in force.
func twoPlans(part int) (float64, error) {
	type pair struct {
		b   *garnettide.Balancer
		new *garnettide.Plan
	}
	return live(func() (any, error) {
		one, two, err := plans(part)
		if err != nil {
			return nil, err
		}
		b := garnettide.NewWithPlan(one, 1, 0, &host{})
		b.Members(0, garnettide.ListFull, upstreamList(Upstreams*part/16))
		return pair{b, two}, nil
	})
}

// --- Quotas ---

const (
	quota     = 2.1
	quotaUse  = 0.8
	quotaWarm = 3000 * time.Second // many times what a count of one takes to run out at a 950th of the quota
	quotaFor  = 20000 * time.Second
)

// quotaShare is the share, in percent, of requests within a tenant's quota that are taken for over it, where its
// requests come evenly through used of a fleet of balancers, for so long. No clock but the requests' own is in it.
//
// The module tells nobody what it takes a request for. So the balancers here have no upstreams, what is over the quota
// has no worth, and every request may wait for longer than all this takes: one that is over its quota is refused at
// once, and any other is held.
func quotaShare(balancers, used int, lasts time.Duration) (float64, error) {
	s := settingsOf(1, 0)
	long := 100 * (quotaWarm + lasts)
	s.Balancers, s.OverQuotaWorth, s.PollDiscovery = balancers, 0, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = long, long
	s.Tenants = []garnettide.Tenant{{Name: "t", Quota: quota}}
	hosts, fleet := make([]host, used), make([]*garnettide.Balancer, used)
	for i := range fleet {
		var err error
		s.Rank = i
		if fleet[i], err = garnettide.New(s, uint64(i), 0, &hosts[i]); err != nil {
			return 0, err
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	asked, over, at := 0, 0, 0.0
	for id := garnettide.RequestID(1); ; id++ {
		at += rng.ExpFloat64() / (quota * quotaUse)
		now := time.Duration(at * float64(time.Second))
		if now > quotaWarm+lasts {
			return 100 * float64(over) / float64(asked), nil
		}
		i := rng.IntN(used)
		before := hosts[i].refused
		fleet[i].Request(now, garnettide.Request{ID: id, Budget: long, Class: s.Classes[0].Name, Tenant: "t"})
		if now > quotaWarm {
			asked, over = asked+1, over+hosts[i].refused-before
		}
	}
}
