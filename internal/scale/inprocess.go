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
	fixedUpstreams = 300
	fixedClasses   = 3
	fixedTenants   = 3
)

const fleetRequestRate = 150000 // requests a second to the whole fleet, from the letter

// batchTime is the processor time of a batch: many times what its reading errs by.
var minBatchTime = 25 * time.Millisecond

const (
	maxBatchCalls = 1 << 16 // calls in a batch
	batchCount    = 5       // of which the cheapest counts: others use the core too
	heapRuns      = 3       // of which the smallest counts
)

var (
	upstreamSizes  = doublingSizes(Upstreams)
	classSizes     = doublingSizes(Classes)
	tenantSizes    = doublingSizes(Tenants)
	sixteenthSizes = doublingSizes(16)
)

// eighths are five sizes, each twice the one before, up to most.
func doublingSizes(largest int) []int {
	return []int{largest / 16, largest / 8, largest / 4, largest / 2, largest}
}

// inProcessRuns is how often a run takes all of these slopes.
const inProcessRuns = 3

// InProcessSlopes measures all slopes of this file so many times, one after another, a run in less than a minute, and
// takes the least figure of each point: others use the machine too. It tells progress, if that is not nil, which one
// comes. A slope that could not be measured has no points, and its Note says why.
func InProcessSlopes(runs int, progress func(string)) []Slope {
	var slopes []Slope
	for run := range runs {
		for i, m := range inProcessMeasurements {
			if progress != nil {
				progress(fmt.Sprintf("run %d of %d: %s, over %s", run+1, runs, m.name, m.variable))
			}
			if s := m.slope(); run == 0 {
				slopes = append(slopes, s)
			} else {
				slopes[i] = slopes[i].lowest(s)
			}
		}
	}
	return slopes
}

// measurement is a slope to take: at gives the figure for one size.
type measurement struct {
	name, unit, variable, note string
	sizes                      []int
	measure                    func(n int) (float64, error)
}

func (m measurement) slope() Slope {
	var x, y []float64
	for _, n := range m.sizes {
		v, err := m.measure(n)
		if err != nil {
			return Slope{Name: m.name, Unit: m.unit, Variable: m.variable, Note: fmt.Sprintf("not run: at %d: %v", n, err)}
		}
		x, y = append(x, float64(n)), append(y, v)
	}
	s := NewSlope(m.name, m.unit, m.variable, x, y)
	s.Note = m.note
	return s
}

const (
	lowestBatchNote = "processor time with what the collector takes; the cheapest of 5 batches"
	lowestHeapNote  = "live after a collection, the least of 3"
)

var inProcessMeasurements = []measurement{
	{"step: the module each second, at rest", "ms", "upstreams", lowestBatchNote, upstreamSizes,
		func(n int) (float64, error) { return stepCost(n, fixedTenants, false) }},
	{"step: the module each second, with an answer that reports its server's rate", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return stepCost(fixedUpstreams, n, true) }},
	{"tick: the module between steps, at rest", "ms", "upstreams", lowestBatchNote, upstreamSizes, tick},
	{"change: one upstream drains or is up again", "ms", "upstreams", lowestBatchNote + "; the module alone, not the loop", upstreamSizes, changeCost},
	{"whole list: applied by the module, nothing changed", "ms", "upstreams", lowestBatchNote, upstreamSizes, fullListCost},
	{"whole list: decoded", "ms", "upstreams", lowestBatchNote + "; entries of the client's shape, checked and sorted as it does", upstreamSizes,
		listDecodeCost},
	{"whole list: size", "KB", "upstreams", "as discovery would write it, not indented", upstreamSizes, listSizeKB},
	{"request: taken, sent and answered", "us", "upstreams", lowestBatchNote + "; the module alone", upstreamSizes, requestCost},
	{"New", "ms", "classes", lowestBatchNote, classSizes, func(n int) (float64, error) { return newBalancerCost(n, fixedTenants) }},
	{"New", "ms", "tenants", lowestBatchNote, tenantSizes, func(n int) (float64, error) { return newBalancerCost(fixedClasses, n) }},
	{"settings: LoadConfig", "ms", "classes", lowestBatchNote, classSizes, func(n int) (float64, error) { return loadConfigCost(n, fixedTenants, 0) }},
	{"settings: LoadConfig", "ms", "tenants", lowestBatchNote, tenantSizes, func(n int) (float64, error) { return loadConfigCost(fixedClasses, n, 0) }},
	{"settings: wire.DecodeSettings", "ms", "classes", lowestBatchNote, classSizes, func(n int) (float64, error) { return decodeSettingsCost(n, fixedTenants) }},
	{"settings: wire.DecodeSettings", "ms", "tenants", lowestBatchNote, tenantSizes, func(n int) (float64, error) { return decodeSettingsCost(fixedClasses, n) }},
	{"settings: size of the file", "KB", "classes", "compact", classSizes, func(n int) (float64, error) { return configSizeKB(n, fixedTenants, 0) }},
	{"settings: size of the file", "KB", "tenants", "compact", tenantSizes, func(n int) (float64, error) { return configSizeKB(fixedClasses, n, 0) }},
	{"settings: allocated by LoadConfig", "MB", "tenants", "what is allocated in all, freed meanwhile or not", tenantSizes, loadConfigAllocatedMB},
	{"memory: Balancer with its list", "MB", "upstreams", lowestHeapNote, upstreamSizes,
		func(n int) (float64, error) { return balancerHeapMB(n, fixedClasses, fixedTenants) }},
	{"memory: Balancer with its settings", "MB", "classes", lowestHeapNote, classSizes,
		func(n int) (float64, error) { return balancerHeapMB(fixedUpstreams, n, fixedTenants) }},
	{"memory: Balancer with its settings", "MB", "tenants", lowestHeapNote, tenantSizes,
		func(n int) (float64, error) { return balancerHeapMB(fixedUpstreams, fixedClasses, n) }},
	{"whole configuration: LoadConfig", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		func(n int) (float64, error) { return loadConfigCost(Classes*n/16, Tenants*n/16, Upstreams*n/16) }},
	{"whole configuration: size of the file", "KB", "sixteenths of the fleet ahead", "compact, with the list", sixteenthSizes,
		func(n int) (float64, error) { return configSizeKB(Classes*n/16, Tenants*n/16, Upstreams*n/16) }},
	{"whole configuration: New", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		func(n int) (float64, error) { return newBalancerCost(Classes*n/16, Tenants*n/16) }},
	{"whole configuration: memory of the Balancer", "MB", "sixteenths of the fleet ahead", lowestHeapNote, sixteenthSizes,
		func(n int) (float64, error) { return balancerHeapMB(Upstreams*n/16, Classes*n/16, Tenants*n/16) }},
	{"reload: NewPlan, away from the loop", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes, newPlanCost},
	{"reload: Plan.Since, away from the loop", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes, planSinceCost},
	{"reload: Reconfigure, on the loop", "us", "sixteenths of the fleet ahead", lowestBatchNote + "; two of them, one class and one tenant changed to and fro", sixteenthSizes,
		reconfigureCost},
	{"reload: memory of the Balancer with the old plan and the new one", "MB", "sixteenths of the fleet ahead", lowestHeapNote, sixteenthSizes, twoPlansHeapMB},
	{"quota: taken for over it, requests through all of n balancers", "%", "balancers", quotaNote, []int{1, 3, 14, 30, 135, 950},
		func(n int) (float64, error) { return overQuotaPercent(n, n, quotaDuration) }},
	{"quota: taken for over it, requests through n of 950 balancers", "%", "balancers used", quotaNote, []int{8, 30, 135, 950},
		func(n int) (float64, error) { return overQuotaPercent(Balancers, n, quotaDuration) }},
}

const quotaNote = "a tenant with a quota of 2.1/s that asks for 80% of it, by chance and evenly; the same each time"

// --- The means of measuring ---

// spent is the processor time that this process has had.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // it fails for wrong arguments only
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cost is the processor time of one call of op, what the collector takes for it included: the cheapest batch's mean.
func cpuPerCall(op func()) time.Duration {
	op() // what the first call alone costs is no slope
	lowest := time.Duration(0)
	for calls, run := 1, 0; run < batchCount; {
		runtime.GC()
		start := processCPUTime()
		for range calls {
			op()
		}
		used := processCPUTime() - start
		if used < minBatchTime && calls < maxBatchCalls {
			calls *= 2
			continue
		}
		if mean := used / time.Duration(calls); run == 0 || mean < lowest {
			lowest = mean
		}
		run++
	}
	return lowest
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// live is what made holds, in MB, after a collection.
func retainedMB(build func() (any, error)) (float64, error) {
	lowest := 0.0
	for run := range heapRuns {
		before := liveHeapMB()
		value, err := build()
		if err != nil {
			return 0, err
		}
		retained := liveHeapMB() - before
		runtime.KeepAlive(value)
		if run == 0 || retained < lowest {
			lowest = retained
		}
	}
	return lowest, nil
}

// heap is the live heap in MB.
func liveHeapMB() float64 {
	runtime.GC()
	runtime.GC() // what finalizers and pools held on to
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// host is a garnettide.Host that does nothing but note what was asked last.
type recordingHost struct {
	sent, refused int // how often
	id            garnettide.RequestID
	upstream      garnettide.UpstreamID
	tick          uint64 // token of the first timer: the row of ticks
	timerCount    int
}

var _ garnettide.Host = (*recordingHost)(nil)

func (h *recordingHost) Send(id garnettide.RequestID, upstream garnettide.UpstreamID, _, _ time.Duration) {
	h.sent, h.id, h.upstream = h.sent+1, id, upstream
}
func (h *recordingHost) Refuse(garnettide.RequestID, time.Duration) { h.refused++ }
func (h *recordingHost) Fail(garnettide.RequestID)                  {}
func (h *recordingHost) Cancel(garnettide.RequestID, int)           {}
func (h *recordingHost) Probe(garnettide.UpstreamID)                {}
func (h *recordingHost) Disconnect(garnettide.UpstreamID)           {}
func (h *recordingHost) Watch(bool)                                 {}
func (h *recordingHost) Fetch()                                     {}
func (h *recordingHost) Log(string)                                 {}
func (h *recordingHost) SetTimer(_ time.Duration, token uint64) {
	if h.timerCount++; h.timerCount == 1 {
		h.tick = token
	}
}

// --- What is fed to it ---

// settingsOf are settings of the fleet ahead with so many classes and tenants.
func fleetSettings(classes, tenants int) garnettide.Settings {
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
	list := make([]garnettide.Upstream, n)
	for i := range list {
		list[i] = garnettide.Upstream{ID: garnettide.UpstreamID(i)*2654435761 + 1, Zone: zoneOfIndex(i), Cell: i % 11, Weight: 1}
	}
	return list
}

func zoneOfIndex(i int) string { return "z" + strconv.Itoa(1+i%7) }

// balancer is a Balancer with its list, and its Host.
func newListedBalancer(upstreams, classes, tenants int) (*garnettide.Balancer, *recordingHost, error) {
	h := &recordingHost{}
	b, err := garnettide.New(fleetSettings(classes, tenants), 1, 0, h)
	if err != nil {
		return nil, nil, err
	}
	b.Members(0, garnettide.ListFull, upstreamList(upstreams))
	return b, h, nil
}

// The configuration as the operators write it. Its parts are named by the pages of the wire and of deployment.
type (
	jsonObject  map[string]any
	jsonObjects []jsonObject
)

// settingsText is the settings object of a configuration.
func settingsObject(classes, tenants int) jsonObject {
	profiles, customers := make(jsonObjects, classes), make(jsonObjects, tenants)
	for i := range profiles {
		profiles[i] = jsonObject{"give_up_us": 1000000, "group": "all", "late_worth": 0.2, "memory_span_us": 400000, "name": className(i),
			"repeat": []string{"read_like", "idempotency_key"}[i%2], "stream": false, "target_us": 300000, "worth": 1 + i%7}
	}
	for i := range customers {
		customers[i] = jsonObject{"name": tenantName(i), "quota_rps": 2.1, "share": 0.0000138}
	}
	return jsonObject{"az": "z1", "balancers": Balancers, "rank": 17, "granularity_us": 5000, "membership_mode": "on_request",
		"over_share_worth": 0.1, "weights": "nominal", "worth_by": "request", "profiles": profiles, "tenants": customers,
		"limits": jsonObject{"cancel": true, "connect_timeout_us": 250000, "keepalive_us": 30000000, "max_attempts": 3,
			"max_retry_after_us": 2000000, "probes": false, "retry_after": true, "second_copies": true},
		"obligations": jsonObject{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.3, "drain_grace_us": 2000000,
			"ramp_time_us": 9000000, "tip_after_us": 3000000, "tip_multiple": 3.0},
		"reporting": jsonObject{"fields": []string{"load_share", "tps"}, "via": "piggyback"}}
}

// listText is a whole list in discovery's form.
func listObject(n int) jsonObject {
	members := make(jsonObjects, n)
	for i := range members {
		members[i] = jsonObject{"id": fmt.Sprintf("s-%08x", uint32(i)*2654435761), "host_port": fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255),
			"locality": zoneOfIndex(i), "flavor": "m2", "cell": i % 11, "phase": "up", "size": 1.0, "up_since_ms": 1790000000000 + i}
	}
	return jsonObject{"revision": 41, "complete": true, "members": members}
}

// configText is a whole configuration file.
func configJSON(classes, tenants, known int) ([]byte, error) {
	return json.Marshal(jsonObject{"name": "n1", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500", "seed": "8c1f30d27a5be964",
		"limits": jsonObject{"cores": 1.0, "memory_mb": 256, "sockets": 1024}, "known": listObject(known),
		"settings": settingsObject(classes, tenants)})
}

// --- The figures ---

// secondly is what the module's step costs, that comes once a second. With reports one answer a second tells its
// server's rate, by which quotas follow the traffic.
func stepCost(upstreams, tenants int, withReports bool) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, tenants)
	if err != nil {
		return 0, err
	}
	now, id := time.Duration(0), garnettide.RequestID(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Second
		if withReports {
			id++
			b.Request(now, garnettide.Request{ID: id, Budget: time.Second, Class: className(0)})
			b.Outcome(now, garnettide.Outcome{ID: id, Upstream: h.upstream, Latency: 10 * time.Millisecond,
				Load: garnettide.Load{Fields: garnettide.HasUtil | garnettide.HasRequestRate, Util: 0.3, RequestRate: 10}})
		}
		b.Timer(now, h.tick)
	})), nil
}

// tick is what the module's look at its subset costs, that comes some times in each aim.
func tick(upstreams int) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	b.Timer(time.Second, h.tick) // the step; none follows, as the clock stands still
	return milliseconds(cpuPerCall(func() { b.Timer(time.Second, h.tick) })), nil
}

// change is what one changed entry costs the module: an upstream drains, or is up again.
func changeCost(upstreams int) (float64, error) {
	b, _, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	entry, now := upstreamList(upstreams)[upstreams/2:upstreams/2+1], time.Duration(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Millisecond
		entry[0].State = garnettide.Draining - entry[0].State // to and fro
		b.Members(now, garnettide.ListDelta, entry)
	})), nil
}

// wholeList is what a whole list costs the module in which nothing is new, as after a watch that had failed.
func fullListCost(upstreams int) (float64, error) {
	b, _, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	all, now := upstreamList(upstreams), time.Duration(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Millisecond
		b.Members(now, garnettide.ListFull, all)
	})), nil
}

// listDecode is what the reading of a whole list costs: the decoding, the look at each address and the order that the
// discovery client gives it, over entries of the same shape. The client's own are not to be had from outside.
func listDecodeCost(upstreams int) (float64, error) {
	text, err := json.Marshal(listObject(upstreams))
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
	perCall := cpuPerCall(func() {
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
	return milliseconds(perCall), err
}

func listSizeKB(upstreams int) (float64, error) {
	text, err := json.Marshal(listObject(upstreams))
	return float64(len(text)) / 1e3, err
}

// requestCost is what a request costs the module, in us: taken, sent at once, and answered, at a balancer's mean rate.
func requestCost(upstreams int) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	now, id, interval := time.Duration(0), garnettide.RequestID(0), time.Second*Balancers/fleetRequestRate
	perCall := cpuPerCall(func() {
		id++
		now += interval / 2
		b.Request(now, garnettide.Request{ID: id, Budget: time.Second, Class: className(0), Tenant: tenantName(0)})
		now += interval / 2
		if h.id == id {
			b.Outcome(now, garnettide.Outcome{ID: id, Upstream: h.upstream, Latency: interval / 2, Load: garnettide.Load{
				Fields: garnettide.HasUtil | garnettide.HasRequestRate, Util: 0.3 + float64(id%8)/100, RequestRate: 10}})
		}
	})
	if h.sent < int(id)*9/10 {
		return 0, fmt.Errorf("only %d of %d requests were sent at once", h.sent, id)
	}
	return milliseconds(perCall) * 1000, nil
}

func newBalancerCost(classes, tenants int) (float64, error) {
	s, err := fleetSettings(classes, tenants), error(nil)
	perCall := cpuPerCall(func() {
		if _, e := garnettide.New(s, 1, 0, &recordingHost{}); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// loadCost is what the reading and checking of a configuration file costs.
func loadConfigCost(classes, tenants, known int) (float64, error) {
	getenv, remove, err := configFile(classes, tenants, known)
	if err != nil {
		return 0, err
	}
	defer remove()
	perCall := cpuPerCall(func() {
		if _, e := proxy.LoadConfig(getenv); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// loadAllocated is how much memory the reading of a configuration file allocates in all, in MB.
func loadConfigAllocatedMB(tenants int) (float64, error) {
	getenv, remove, err := configFile(fixedClasses, tenants, 0)
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
	text, err := configJSON(classes, tenants, known)
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

func configSizeKB(classes, tenants, known int) (float64, error) {
	text, err := configJSON(classes, tenants, known)
	return float64(len(text)) / 1e3, err
}

func decodeSettingsCost(classes, tenants int) (float64, error) {
	text, err := json.Marshal(settingsObject(classes, tenants))
	if err != nil {
		return 0, err
	}
	perCall := cpuPerCall(func() {
		if _, _, e := wire.DecodeSettings(text); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// liveMemory is what a Balancer holds with its list and its settings, read as the balancer reads them.
func balancerHeapMB(upstreams, classes, tenants int) (float64, error) {
	text, err := json.Marshal(settingsObject(classes, tenants))
	if err != nil {
		return 0, err
	}
	return retainedMB(func() (any, error) {
		s, _, err := wire.DecodeSettings(text)
		if err != nil {
			return nil, err
		}
		b, err := garnettide.New(s, 1, 0, &recordingHost{})
		if err != nil {
			return nil, err
		}
		b.Members(0, garnettide.ListFull, upstreamList(upstreams))
		return b, nil
	})
}

// --- Reload ---

func noYield() {}

// plans are two plans of a part of the fleet ahead, that differ in one class and one tenant.
func reloadPlans(sixteenths int) (current, next *garnettide.Plan, err error) {
	s := fleetSettings(Classes*sixteenths/16, Tenants*sixteenths/16)
	if current, err = garnettide.NewPlan(s, noYield); err != nil {
		return nil, nil, err
	}
	s.Classes[0].Worth++
	s.Tenants[0].Quota++
	next, err = garnettide.NewPlan(s, noYield)
	return current, next, err
}

func newPlanCost(sixteenths int) (float64, error) {
	s, err := fleetSettings(Classes*sixteenths/16, Tenants*sixteenths/16), error(nil)
	perCall := cpuPerCall(func() {
		if _, e := garnettide.NewPlan(s, noYield); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

func planSinceCost(sixteenths int) (float64, error) {
	current, next, err := reloadPlans(sixteenths)
	if err != nil {
		return 0, err
	}
	return milliseconds(cpuPerCall(func() { next.Since(current, noYield) })), nil
}

// reconfigureCost is what is left on the loop of a change of the settings, in us.
func reconfigureCost(sixteenths int) (float64, error) {
	reconfigure, err := alternatePlans(sixteenths)
	if err != nil {
		return 0, err
	}
	return milliseconds(cpuPerCall(reconfigure)) * 1000, nil
}

// reconfigured has a Balancer go by two plans in turn.
func alternatePlans(sixteenths int) (func(), error) {
	current, next, err := reloadPlans(sixteenths)
	if err != nil {
		return nil, err
	}
	toNext, toCurrent := next.Since(current, noYield), current.Since(next, noYield)
	b := garnettide.NewWithPlan(current, 1, 0, &recordingHost{})
	b.Members(0, garnettide.ListFull, upstreamList(Upstreams*sixteenths/16))
	now := time.Duration(0)
	return func() {
		now += time.Millisecond
		b.Reconfigure(now, next, toNext)
		b.Reconfigure(now, current, toCurrent)
	}, nil
}

// twoPlans is what is held while a new plan stands ready and the old one is in force.
func twoPlansHeapMB(sixteenths int) (float64, error) {
	type pair struct {
		b   *garnettide.Balancer
		new *garnettide.Plan
	}
	return retainedMB(func() (any, error) {
		current, next, err := reloadPlans(sixteenths)
		if err != nil {
			return nil, err
		}
		b := garnettide.NewWithPlan(current, 1, 0, &recordingHost{})
		b.Members(0, garnettide.ListFull, upstreamList(Upstreams*sixteenths/16))
		return pair{b, next}, nil
	})
}

// --- Quotas ---

const (
	tenantQuota      = 2.1
	quotaUtilization = 0.8
	quotaWarmup      = 3000 * time.Second // many times what a count of one takes to run out at a 950th of the quota
	quotaDuration    = 20000 * time.Second
)

// quotaShare is the share, in percent, of requests within a tenant's quota that are taken for over it, where its
// requests come evenly through used of a fleet of balancers, for so long. No clock but the requests' own is in it.
//
// The module tells nobody what it takes a request for. So the balancers here have no upstreams, what is over the quota
// has no worth, and every request may wait for longer than all this takes: one that is over its quota is refused at
// once, and any other is held.
func overQuotaPercent(balancers, usedBalancers int, duration time.Duration) (float64, error) {
	s := fleetSettings(1, 0)
	longDeadline := 100 * (quotaWarmup + duration)
	s.Balancers, s.OverQuotaWorth, s.PollDiscovery = balancers, 0, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = longDeadline, longDeadline
	s.Tenants = []garnettide.Tenant{{Name: "t", Quota: tenantQuota}}
	hosts, fleet := make([]recordingHost, usedBalancers), make([]*garnettide.Balancer, usedBalancers)
	for i := range fleet {
		var err error
		s.Rank = i
		if fleet[i], err = garnettide.New(s, uint64(i), 0, &hosts[i]); err != nil {
			return 0, err
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	counted, overQuota, elapsed := 0, 0, 0.0
	for id := garnettide.RequestID(1); ; id++ {
		elapsed += rng.ExpFloat64() / (tenantQuota * quotaUtilization)
		now := time.Duration(elapsed * float64(time.Second))
		if now > quotaWarmup+duration {
			return 100 * float64(overQuota) / float64(counted), nil
		}
		i := rng.IntN(usedBalancers)
		before := hosts[i].refused
		fleet[i].Request(now, garnettide.Request{ID: id, Budget: longDeadline, Class: s.Classes[0].Name, Tenant: "t"})
		if now > quotaWarmup {
			counted, overQuota = counted+1, overQuota+hosts[i].refused-before
		}
	}
}
