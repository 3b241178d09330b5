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

// This file measures what the decision module and the loading of configurations cost in one process, without sockets.
// The cost of the event loop that calls the module is not included; hollow balancers include it.

// Quantities that are fixed while another one varies. They are small, so that their cost is low.
const (
	fixedUpstreams = 300
	fixedClasses   = 3
	fixedTenants   = 3
)

const fleetRequestRate = 150000 // peak requests per second to the whole target fleet

// minBatchTime is the processor time that a batch takes at least, well above the resolution of getrusage. Batches of
// maxBatchCalls may take less.
var minBatchTime = 25 * time.Millisecond

const (
	maxBatchCalls = 1 << 16
	batchCount    = 5 // the lowest cost is taken, since other processes use the processors too
	heapRuns      = 3 // the smallest heap is taken
)

// Sizes at which slopes are measured, up to those of the target fleet.
var (
	upstreamSizes  = doublingSizes(TargetUpstreams)
	classSizes     = doublingSizes(TargetClasses)
	tenantSizes    = doublingSizes(TargetTenants)
	sixteenthSizes = doublingSizes(16)
)

// doublingSizes returns five sizes up to largest, each about twice the one before.
func doublingSizes(largest int) []int {
	return []int{largest / 16, largest / 8, largest / 4, largest / 2, largest}
}

// inProcessRuns is how often a run measures all in-process slopes.
const inProcessRuns = 3

// InProcessSlopes measures all in-process slopes the given number of times and takes the lowest figure at
// each point, since other processes use the machine too. If progress is not nil, it is called with the name
// of each slope before it is measured. A slope that could not be measured has no points, and its Note holds
// the reason.
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

// measurement describes an in-process slope. The function measure returns the figure for one size.
type measurement struct {
	name, unit, variable, note string
	sizes                      []int
	measure                    func(n int) (float64, error)
}

// slope measures all sizes and fits the slope. If one of them fails, the slope has no points.
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

// Notes of slopes on how a point was measured.
const (
	lowestBatchNote = "processor time with what the collector takes; the cheapest of 5 batches"
	lowestHeapNote  = "live after a collection, the least of 3"
)

// inProcessMeasurements lists the in-process slopes in the order in which they are measured.
var inProcessMeasurements = []measurement{
	{"step: the module each second, at rest", "ms", "upstreams", lowestBatchNote, upstreamSizes,
		func(n int) (float64, error) { return stepCost(n, fixedTenants, false) }},
	{"step: the module each second, with an answer that reports its server's rate", "ms", "tenants", lowestBatchNote,
		tenantSizes, func(n int) (float64, error) { return stepCost(fixedUpstreams, n, true) }},
	{"tick: the module between steps, at rest", "ms", "upstreams", lowestBatchNote, upstreamSizes, tickCost},
	{"change: one upstream drains or is up again", "ms", "upstreams",
		lowestBatchNote + "; the module alone, not the loop", upstreamSizes, changeCost},
	{"whole list: applied by the module, nothing changed", "ms", "upstreams", lowestBatchNote, upstreamSizes,
		fullListCost},
	{"whole list: decoded", "ms", "upstreams",
		lowestBatchNote + "; entries of the client's shape, checked and sorted as it does", upstreamSizes, listDecodeCost},
	{"whole list: size", "KB", "upstreams", "as discovery would write it, not indented", upstreamSizes, listSizeKB},
	{"request: taken, sent and answered", "us", "upstreams", lowestBatchNote + "; the module alone", upstreamSizes,
		requestCost},
	{"New", "ms", "classes", lowestBatchNote, classSizes,
		func(n int) (float64, error) { return newBalancerCost(n, fixedTenants) }},
	{"New", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return newBalancerCost(fixedClasses, n) }},
	{"settings: LoadConfig", "ms", "classes", lowestBatchNote, classSizes,
		func(n int) (float64, error) { return loadConfigCost(n, fixedTenants, 0) }},
	{"settings: LoadConfig", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return loadConfigCost(fixedClasses, n, 0) }},
	{"settings: wire.DecodeSettings", "ms", "classes", lowestBatchNote, classSizes,
		func(n int) (float64, error) { return decodeSettingsCost(n, fixedTenants) }},
	{"settings: wire.DecodeSettings", "ms", "tenants", lowestBatchNote, tenantSizes,
		func(n int) (float64, error) { return decodeSettingsCost(fixedClasses, n) }},
	{"settings: size of the file", "KB", "classes", "compact", classSizes,
		func(n int) (float64, error) { return configSizeKB(n, fixedTenants, 0) }},
	{"settings: size of the file", "KB", "tenants", "compact", tenantSizes,
		func(n int) (float64, error) { return configSizeKB(fixedClasses, n, 0) }},
	{"settings: allocated by LoadConfig", "MB", "tenants", "what is allocated in all, freed meanwhile or not",
		tenantSizes, loadConfigAllocatedMB},
	{"memory: Balancer with its list", "MB", "upstreams", lowestHeapNote, upstreamSizes,
		func(n int) (float64, error) { return balancerHeapMB(n, fixedClasses, fixedTenants) }},
	{"memory: Balancer with its settings", "MB", "classes", lowestHeapNote, classSizes,
		func(n int) (float64, error) { return balancerHeapMB(fixedUpstreams, n, fixedTenants) }},
	{"memory: Balancer with its settings", "MB", "tenants", lowestHeapNote, tenantSizes,
		func(n int) (float64, error) { return balancerHeapMB(fixedUpstreams, fixedClasses, n) }},
	{"whole configuration: LoadConfig", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		func(n int) (float64, error) {
			return loadConfigCost(TargetClasses*n/16, TargetTenants*n/16, TargetUpstreams*n/16)
		}},
	{"whole configuration: size of the file", "KB", "sixteenths of the fleet ahead", "compact, with the list",
		sixteenthSizes,
		func(n int) (float64, error) {
			return configSizeKB(TargetClasses*n/16, TargetTenants*n/16, TargetUpstreams*n/16)
		}},
	{"whole configuration: New", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		func(n int) (float64, error) { return newBalancerCost(TargetClasses*n/16, TargetTenants*n/16) }},
	{"whole configuration: memory of the Balancer", "MB", "sixteenths of the fleet ahead", lowestHeapNote, sixteenthSizes,
		func(n int) (float64, error) {
			return balancerHeapMB(TargetUpstreams*n/16, TargetClasses*n/16, TargetTenants*n/16)
		}},
	{"reload: NewPlan, away from the loop", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		newPlanCost},
	{"reload: Plan.Since, away from the loop", "ms", "sixteenths of the fleet ahead", lowestBatchNote, sixteenthSizes,
		planSinceCost},
	{"reload: Reconfigure, on the loop", "us", "sixteenths of the fleet ahead",
		lowestBatchNote + "; two of them, one class and one tenant changed to and fro", sixteenthSizes, reconfigureCost},
	{"reload: memory of the Balancer with the old plan and the new one", "MB", "sixteenths of the fleet ahead",
		lowestHeapNote, sixteenthSizes, twoPlansHeapMB},
	{"quota: taken for over it, requests through all of n balancers", "%", "balancers", quotaNote,
		[]int{1, 3, 14, 30, 135, 950}, func(n int) (float64, error) { return overQuotaPercent(n, n, quotaDuration) }},
	{"quota: taken for over it, requests through n of 950 balancers", "%", "balancers used", quotaNote,
		[]int{8, 30, 135, 950},
		func(n int) (float64, error) { return overQuotaPercent(TargetBalancers, n, quotaDuration) }},
}

const quotaNote = "a tenant with a quota of 2.1/s that asks for 80% of it, by chance and evenly; the same each time"

// --- Measuring ---

// processCPUTime returns the processor time that this process has used.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0 // getrusage fails only for invalid arguments
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuPerCall returns the mean processor time of a call of op in the cheapest of several batches, including
// that of the garbage collector.
func cpuPerCall(op func()) time.Duration {
	op() // leaves out one-time costs of the first call
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

// milliseconds returns d in ms.
func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// retainedMB returns the size of the heap in MB that the result of build keeps alive, the smallest of several runs.
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

// liveHeapMB returns the size of the live heap in MB of 10^6 bytes.
func liveHeapMB() float64 {
	runtime.GC()
	runtime.GC() // frees what finalizers and pools kept alive during the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / 1e6
}

// recordingHost is a garnettide.Host that counts sent and refused requests and records the last request that
// was sent.
type recordingHost struct {
	sent, refused int // numbers of calls
	id            garnettide.RequestID
	upstream      garnettide.UpstreamID
	tickToken     uint64 // token of the first timer that was set, which is that of the module's ticks
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
		h.tickToken = token
	}
}

// --- Inputs ---

// fleetSettings returns settings of the target fleet with the given numbers of classes and tenants.
func fleetSettings(classes, tenants int) garnettide.Settings {
	s := garnettide.Settings{Zone: "z1", Balancers: TargetBalancers, Rank: 17, OverQuotaWorth: 0.1, PollDiscovery: true,
		Weights: garnettide.WeightNominal, Reports: garnettide.ReportInResponses, Granularity: 5 * time.Millisecond,
		Limits: garnettide.Limits{Cancel: true, Hedging: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MaxAttempts: 3},
		Requirements: garnettide.Requirements{MaxDiscoveryInterval: 10 * time.Second, ColdCapacity: 0.3,
			WarmupTime: 9 * time.Second, OverloadFactor: 3,
			OverloadWindow: 3 * time.Second, DrainGrace: 2 * time.Second, AnswerSlack: 20 * time.Millisecond}}
	for i := range classes {
		s.Classes = append(s.Classes, garnettide.Class{Name: className(i), LatencyTarget: 300 * time.Millisecond,
			Deadline: time.Second, Idempotency: garnettide.Idempotency(i % 2), DedupWindow: 400 * time.Millisecond,
			Worth: float64(1 + i%7), LateWorth: 0.2})
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, garnettide.Tenant{Name: tenantName(i), Quota: 2.1})
	}
	return s
}

// className returns the name of the class with index i.
func className(i int) string { return fmt.Sprintf("svc-%03d-route-%05d", i%950, i) }

// tenantName returns the name of the tenant with index i.
func tenantName(i int) string { return fmt.Sprintf("customer-%06d", i) }

// upstreamList returns n upstreams that are all up.
func upstreamList(n int) []garnettide.Upstream {
	list := make([]garnettide.Upstream, n)
	for i := range list {
		list[i] = garnettide.Upstream{ID: garnettide.UpstreamID(i)*2654435761 + 1, Zone: zoneOfIndex(i), Cell: i % 11,
			Weight: 1}
	}
	return list
}

// zoneOfIndex returns the zone of the upstream with index i, out of seven zones.
func zoneOfIndex(i int) string { return "z" + strconv.Itoa(1+i%7) }

// newListedBalancer returns a Balancer that has received a full list of upstreams, and its Host.
func newListedBalancer(upstreams, classes, tenants int) (*garnettide.Balancer, *recordingHost, error) {
	h := &recordingHost{}
	b, err := garnettide.New(fleetSettings(classes, tenants), 1, 0, h)
	if err != nil {
		return nil, nil, err
	}
	b.Members(0, garnettide.ListFull, upstreamList(upstreams))
	return b, h, nil
}

// Types for JSON objects with the keys of the wire formats.
type (
	jsonObject  map[string]any
	jsonObjects []jsonObject
)

// settingsObject returns the settings object of a configuration.
func settingsObject(classes, tenants int) jsonObject {
	profiles, customers := make(jsonObjects, classes), make(jsonObjects, tenants)
	for i := range profiles {
		profiles[i] = jsonObject{"give_up_us": 1000000, "group": "all", "late_worth": 0.2, "memory_span_us": 400000,
			"name":   className(i),
			"repeat": []string{"read_like", "idempotency_key"}[i%2], "stream": false, "target_us": 300000, "worth": 1 + i%7}
	}
	for i := range customers {
		customers[i] = jsonObject{"name": tenantName(i), "quota_rps": 2.1, "share": 0.0000138}
	}
	return jsonObject{"az": "z1", "balancers": TargetBalancers, "rank": 17, "granularity_us": 5000,
		"membership_mode":  "on_request",
		"over_share_worth": 0.1, "weights": "nominal", "worth_by": "request", "profiles": profiles, "tenants": customers,
		"limits": jsonObject{"cancel": true, "connect_timeout_us": 250000, "keepalive_us": 30000000, "max_attempts": 3,
			"max_retry_after_us": 2000000, "probes": false, "retry_after": true, "second_copies": true},
		"obligations": jsonObject{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.3,
			"drain_grace_us": 2000000, "ramp_time_us": 9000000, "tip_after_us": 3000000, "tip_multiple": 3.0},
		"reporting": jsonObject{"fields": []string{"load_share", "tps"}, "via": "piggyback"}}
}

// listObject returns a full list of n upstreams as discovery sends it.
func listObject(n int) jsonObject {
	members := make(jsonObjects, n)
	for i := range members {
		members[i] = jsonObject{"id": fmt.Sprintf("s-%08x", uint32(i)*2654435761),
			"host_port": fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255),
			"locality":  zoneOfIndex(i), "flavor": "m2", "cell": i % 11, "phase": "up", "size": 1.0,
			"up_since_ms": 1790000000000 + i}
	}
	return jsonObject{"revision": 41, "complete": true, "members": members}
}

// configJSON returns a configuration file with a known list of the given number of upstreams.
func configJSON(classes, tenants, known int) ([]byte, error) {
	return json.Marshal(jsonObject{"name": "n1", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500",
		"seed":   "8c1f30d27a5be964",
		"limits": jsonObject{"cores": 1.0, "memory_mb": 256, "sockets": 1024}, "known": listObject(known),
		"settings": settingsObject(classes, tenants)})
}

// --- Figures ---

// stepCost measures the module's step, which runs once a second, in ms. If withReports is set, each step follows a
// response that reports the request rate of its upstream, so that the step also estimates the balancer's
// share of the traffic, which scales quotas.
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
		b.Timer(now, h.tickToken)
	})), nil
}

// tickCost measures the module's check of its upstreams between steps, in ms. The check runs several times
// within a latency target.
func tickCost(upstreams int) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	b.Timer(time.Second, h.tickToken) // runs the step; the measured calls have the same time, so they run none
	return milliseconds(cpuPerCall(func() { b.Timer(time.Second, h.tickToken) })), nil
}

// changeCost measures the module's handling of one changed entry, in ms: an upstream drains, or is up again.
func changeCost(upstreams int) (float64, error) {
	b, _, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	entry, now := upstreamList(upstreams)[upstreams/2:upstreams/2+1], time.Duration(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Millisecond
		entry[0].State = garnettide.Draining - entry[0].State // alternates between Draining and the original state
		b.Members(now, garnettide.ListDelta, entry)
	})), nil
}

// fullListCost measures the module's handling of a full list without changes, such as after a failed watch, in ms.
func fullListCost(upstreams int) (float64, error) {
	b, _, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	list, now := upstreamList(upstreams), time.Duration(0)
	return milliseconds(cpuPerCall(func() {
		now += time.Millisecond
		b.Members(now, garnettide.ListFull, list)
	})), nil
}

// listDecodeCost measures the decoding of a full list in ms, including the checks of addresses and the
// sorting that the discovery client does. It uses a type of the same shape as the client's entry type, which
// is not exported.
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

// listSizeKB returns the size of an encoded full list in KB.
func listSizeKB(upstreams int) (float64, error) {
	text, err := json.Marshal(listObject(upstreams))
	return float64(len(text)) / 1e3, err
}

// requestCost measures the module's handling of a request that is accepted, sent at once and answered, in us.
// Requests come at the mean rate of one balancer.
func requestCost(upstreams int) (float64, error) {
	b, h, err := newListedBalancer(upstreams, fixedClasses, fixedTenants)
	if err != nil {
		return 0, err
	}
	now, id, interval := time.Duration(0), garnettide.RequestID(0), time.Second*TargetBalancers/fleetRequestRate
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

// newBalancerCost measures garnettide.New, in ms.
func newBalancerCost(classes, tenants int) (float64, error) {
	s, err := fleetSettings(classes, tenants), error(nil)
	perCall := cpuPerCall(func() {
		if _, e := garnettide.New(s, 1, 0, &recordingHost{}); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// loadConfigCost measures the reading and validation of a configuration file, in ms.
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

// loadConfigAllocatedMB returns the total memory in MB that the reading of a configuration file allocates.
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

// configFile writes a configuration to a temporary file. It returns a function that looks up the environment
// variables that refer to it, and one that removes it.
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

// configSizeKB returns the size of a configuration file in KB.
func configSizeKB(classes, tenants, known int) (float64, error) {
	text, err := configJSON(classes, tenants, known)
	return float64(len(text)) / 1e3, err
}

// decodeSettingsCost measures wire.DecodeSettings, in ms.
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

// balancerHeapMB returns the heap in MB that a Balancer keeps alive with its list and its settings, which are
// decoded as the balancer's program decodes them.
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

// noYield is a yield function for plans that does nothing.
func noYield() {}

// reloadPlans returns two plans for the given number of sixteenths of the target fleet, which differ in one class and
// one tenant.
func reloadPlans(sixteenths int) (current, next *garnettide.Plan, err error) {
	s := fleetSettings(TargetClasses*sixteenths/16, TargetTenants*sixteenths/16)
	if current, err = garnettide.NewPlan(s, noYield); err != nil {
		return nil, nil, err
	}
	s.Classes[0].Worth++
	s.Tenants[0].Quota++
	next, err = garnettide.NewPlan(s, noYield)
	return current, next, err
}

// newPlanCost measures garnettide.NewPlan, in ms.
func newPlanCost(sixteenths int) (float64, error) {
	s, err := fleetSettings(TargetClasses*sixteenths/16, TargetTenants*sixteenths/16), error(nil)
	perCall := cpuPerCall(func() {
		if _, e := garnettide.NewPlan(s, noYield); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// planSinceCost measures the comparison of two plans, in ms.
func planSinceCost(sixteenths int) (float64, error) {
	current, next, err := reloadPlans(sixteenths)
	if err != nil {
		return 0, err
	}
	return milliseconds(cpuPerCall(func() { next.Since(current, noYield) })), nil
}

// reconfigureCost measures the part of a reload that runs on the event loop, in us. Each call makes two changes.
func reconfigureCost(sixteenths int) (float64, error) {
	reconfigure, err := alternatePlans(sixteenths)
	if err != nil {
		return 0, err
	}
	return milliseconds(cpuPerCall(reconfigure)) * 1000, nil
}

// alternatePlans returns a function that reconfigures a Balancer to a second plan and back to the first.
func alternatePlans(sixteenths int) (func(), error) {
	current, next, err := reloadPlans(sixteenths)
	if err != nil {
		return nil, err
	}
	toNext, toCurrent := next.Since(current, noYield), current.Since(next, noYield)
	b := garnettide.NewWithPlan(current, 1, 0, &recordingHost{})
	b.Members(0, garnettide.ListFull, upstreamList(TargetUpstreams*sixteenths/16))
	now := time.Duration(0)
	return func() {
		now += time.Millisecond
		b.Reconfigure(now, next, toNext)
		b.Reconfigure(now, current, toCurrent)
	}, nil
}

// twoPlansHeapMB returns the heap in MB that a Balancer and a new plan keep alive, while the old plan is in force.
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
		b.Members(0, garnettide.ListFull, upstreamList(TargetUpstreams*sixteenths/16))
		return pair{b, next}, nil
	})
}

// --- Quotas ---

const (
	tenantQuota      = 2.1                // requests per second
	quotaUtilisation = 0.8                // share of the quota that the tenant requests
	quotaWarmup      = 3000 * time.Second // several times the mean interval of requests at 1/950 of the quota
	quotaDuration    = 20000 * time.Second
)

// overQuotaPercent returns the percentage of requests that are treated as over quota although their tenant is
// within its quota. The requests are spread evenly over usedBalancers of the fleet. Time is simulated, so
// results are repeatable.
//
// The module does not report whether a request is over quota. The balancers therefore have no upstreams,
// requests over quota have no worth, and deadlines are longer than the simulation: requests over quota are
// refused at once, and all others are queued.
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
	counted, overQuota, elapsed := 0, 0, 0.0 // elapsed is in seconds
	for id := garnettide.RequestID(1); ; id++ {
		elapsed += rng.ExpFloat64() / (tenantQuota * quotaUtilisation)
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
