package scale

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// This file runs a fleet of discovery, hollow balancers and real balancers with upstreams and clients. It
// measures the resources that the fleet uses and how long changes take to be in force.

// Size is what runs in a fleet, together with the dimensions that its settings describe.
type Size struct {
	FleetDimensions
	Hollow           int     `json:"hollow"`   // hollow balancers
	Real             int     `json:"real"`     // real balancers
	DiscoveryServers int     `json:"machines"` // servers of the stand-in discovery
	Costs            Costs   `json:"costs"`    // of a call to discovery
	Rate             float64 `json:"rate"`     // requests per second to all real balancers together
}

const (
	hollowPerProcess = 200 // hollow balancers in one process, at most
	settleTimeout    = 90 * time.Second
	inForceTimeout   = 11 * time.Second // a change has to be in force everywhere within this time
	balancerMemoryMB = 256              // memory limit in the configuration of a balancer
)

// fleet is a running fleet: discovery, hollow and real balancers, upstreams and clients.
type fleet struct {
	size               Size
	dir                string   // configuration files and temporary directories
	programs           []string // of the real balancers, assigned in rotation
	processes          *processGroup
	discovery          *child
	discoveryAddresses []string                // of the discovery servers
	hollow             []*child                // processes of hollow balancers
	hollowPaths        [][]string              // configuration files of the hollow balancers by process
	specs              map[string]BalancerSpec // by path of the configuration file
	realBalancers      []*realBalancer
	upstreamServers    *upstreamServers
	traffic            *traffic           // nil without real balancers
	settingsVersion    int                // last version written
	fileHashes         map[string]string  // hashes of the configuration files of this version, by path
	delivered          []SettingsDelivery // versions delivered since the last forgetChanges
	stop               context.CancelFunc // ends health checks and client requests
}

// newFleet starts a fleet and waits until it has settled. If it fails, it stops what it has started.
func newFleet(size Size, processes *processGroup, programs ...string) (f *fleet, err error) {
	f = &fleet{size: size, processes: processes, programs: programs, specs: map[string]BalancerSpec{}}
	ctx, stop := context.WithCancel(context.Background())
	f.stop = stop
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp(processes.dir, "fleet-"); err != nil {
		return f, fmt.Errorf("creating the directory of a fleet: %w", err)
	}
	if f.upstreamServers, err = newUpstreamServers(size.Zones); err != nil {
		return f, err
	}
	if f.discovery, err = processes.startRole(RoleDiscovery, "discovery"); err != nil {
		return f, err
	}
	if err = f.discovery.call("Discovery.Start", DiscoveryConfig{DiscoveryServers: size.DiscoveryServers,
		Upstreams: size.Upstreams, Zones: size.Zones, UpstreamAddresses: f.upstreamServers.hostPorts,
		Costs: size.Costs}, &f.discoveryAddresses); err != nil {
		return f, err
	}
	if err = f.assignSpecs(); err != nil {
		return f, err
	}
	if err = f.writeConfigurations(); err != nil {
		return f, err
	}
	for i, hollowPaths := range f.hollowPaths {
		c, err := processes.startRole(RoleHollow, fmt.Sprintf("hollow-%d", i+1))
		if err != nil {
			return f, err
		}
		f.hollow = append(f.hollow, c)
		if err := c.call("Hollow.Start", hollowPaths, &Empty{}); err != nil {
			return f, err
		}
	}
	for _, r := range f.realBalancers {
		if err = f.startRealBalancer(r); err != nil {
			return f, err
		}
		go r.checkHealth(ctx)
	}
	for _, r := range f.realBalancers {
		if err = r.awaitReady(); err != nil {
			return f, err
		}
	}
	if len(f.realBalancers) > 0 {
		f.traffic = newTraffic(f.realBalancers, len(f.programs), size.FleetDimensions)
		go f.traffic.run(ctx, size.Rate)
	}
	return f, f.awaitSettled()
}

// assignSpecs gives each balancer a name, a zone, a discovery server and a rank. Ranks are spread over
// those of the settings.
func (f *fleet) assignSpecs() error {
	total := f.size.Hollow + f.size.Real
	for i := range total {
		s := BalancerSpec{Name: fmt.Sprintf("b%d", i), Listen: "127.0.0.1:1",
			Discovery: f.discoveryAddresses[i%len(f.discoveryAddresses)],
			Zone:      zoneName(i % f.size.Zones), Rank: i * f.size.Balancers / total, MemoryMB: balancerMemoryMB}
		path := filepath.Join(f.dir, s.Name+".json")
		if i >= f.size.Hollow {
			var err error
			if s.Listen, err = f.processes.reserveAddress(); err != nil {
				return err
			}
			f.realBalancers = append(f.realBalancers, &realBalancer{spec: s, path: path,
				program: f.programs[len(f.realBalancers)%len(f.programs)]})
		} else {
			if i%hollowPerProcess == 0 {
				f.hollowPaths = append(f.hollowPaths, nil)
			}
			f.hollowPaths[len(f.hollowPaths)-1] = append(f.hollowPaths[len(f.hollowPaths)-1], path)
		}
		f.specs[path] = s
	}
	return nil
}

// writeConfigurations writes the next version of the settings for all balancers.
func (f *fleet) writeConfigurations() error {
	var known Listing
	if err := f.discovery.call("Discovery.Listing", Empty{}, &known); err != nil {
		return err
	}
	f.settingsVersion++
	f.fileHashes = map[string]string{}
	s, err := newSettingsTemplate(f.size.FleetDimensions, f.settingsVersion, known)
	if err != nil {
		return err
	}
	for path, spec := range f.specs {
		if f.fileHashes[path], err = s.write(path, spec); err != nil {
			return err
		}
	}
	return nil
}

// hangup has all balancers read their configuration files again.
func (f *fleet) hangup() error {
	for i, c := range f.hollow {
		if err := c.call("Hollow.Hangup", f.hollowPaths[i], &Empty{}); err != nil {
			return err
		}
	}
	for _, r := range f.realBalancers {
		if err := r.hangup(); err != nil {
			return err
		}
	}
	return nil
}

// awaitSettled waits until each balancer waits in a watch, so that it has the current revision.
func (f *fleet) awaitSettled() error {
	want := int64(f.size.Hollow + f.size.Real)
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		r, err := f.readDiscovery()
		if err != nil {
			return err
		}
		if r.Waiting >= want {
			return nil
		}
		if time.Since(start) > settleTimeout {
			return fmt.Errorf("after %v, %d of %d balancers wait in a watch", settleTimeout, r.Waiting, want)
		}
	}
}

// close stops the fleet and removes its files.
func (f *fleet) close() {
	f.stop()
	for _, r := range f.realBalancers {
		if r.child != nil {
			f.processes.stop(r.child)
		}
	}
	for _, c := range append(slices.Clone(f.hollow), f.discovery) {
		if c != nil {
			f.processes.stop(c)
		}
	}
	if f.upstreamServers != nil {
		f.upstreamServers.close()
	}
	if err := os.RemoveAll(f.dir); err != nil {
		slog.Warn("removing the directory of a fleet failed", "err", err)
	}
}

// --- Resource usage ---

// usageReading is the usage of all parts of a fleet at one time.
type usageReading struct {
	at          time.Time
	discovery   DiscoveryReading
	hollow      []Usage       // by process
	real        []Usage       // by balancer; zero if it has exited
	driver      Usage         // the process of the run itself, with clients and upstreams
	busyTime    time.Duration // total busy time of the processors available to the run
	memoryBytes int64
}

// readDiscovery reads the counts and the usage of discovery.
func (f *fleet) readDiscovery() (DiscoveryReading, error) {
	var r DiscoveryReading
	err := f.discovery.call("Discovery.Read", Empty{}, &r)
	return r, err
}

// readUsage reads the usage of all parts. With withHeap it includes the live heap of hollow balancers.
func (f *fleet) readUsage(withHeap bool) (usageReading, error) {
	result := usageReading{hollow: make([]Usage, len(f.hollow)), real: make([]Usage, len(f.realBalancers)),
		memoryBytes: f.processes.memoryBytes()}
	var errs []error
	for i, c := range f.hollow {
		errs = append(errs, c.call("Hollow.Read", withHeap, &result.hollow[i]))
	}
	for i, r := range f.realBalancers {
		select {
		case <-r.child.exited: // stopped with its zone
			continue
		default:
		}
		var err error
		result.real[i], err = processUsage(r.child.cmd.Process.Pid)
		errs = append(errs, err)
	}
	var err error
	result.discovery, err = f.readDiscovery()
	errs = append(errs, err)
	result.driver, err = ownUsage(false)
	errs = append(errs, err)
	result.busyTime, err = processorBusyTime()
	result.at = time.Now()
	return result, errors.Join(append(errs, err)...)
}

// ResourceUse is the resource use between two readings. Figures of balancers are for one balancer, on
// average, unless stated otherwise. An MB is 2^20 bytes.
type ResourceUse struct {
	Seconds float64 `json:"seconds"`

	HollowCPU    float64 `json:"hollow_cpu_us_per_s"`    // processor time in µs per second, for one hollow balancer
	HollowCores  float64 `json:"hollow_cores"`           // processors used by all hollow balancers together
	RealCPU      float64 `json:"real_cpu_us_per_s"`      // for one real balancer, including the requests of clients
	HollowRSS    float64 `json:"hollow_rss_mb"`          // resident memory of the processes divided by the balancers
	HollowHeap   float64 `json:"hollow_heap_mb"`         // live heap divided by the balancers; 0: not read
	RealRSS      float64 `json:"real_rss_mb"`            // the largest of the real balancers
	In           float64 `json:"in_bytes_per_s"`         // from discovery to one balancer, including headers
	Out          float64 `json:"out_bytes_per_s"`        // from one balancer to discovery, including headers
	DiscoveryCPU float64 `json:"discovery_cpu_us_per_s"` // of all discovery servers, which share one process
	Calls        float64 `json:"calls_per_s"`            // to discovery
	Updates      float64 `json:"news_per_s"`             // watches answered with a newer revision
	FullLists    float64 `json:"whole_lists"`
	Failed       float64 `json:"failed_calls"`
	DiscoveryOut float64 `json:"discovery_out_bytes_per_s"`
	DiscoveryRSS float64 `json:"discovery_rss_mb"`
	Memory       float64 `json:"memory_mb"` // resident memory of all processes
	// DriverCores is the use of the run's own process, with clients and upstreams. OtherCores is the use of
	// the processors available to the run by other processes; if it is not small, measured times are too
	// long.
	DriverCores float64 `json:"driver_cores"`
	OtherCores  float64 `json:"others_cores"`
}

const bytesPerMB = 1 << 20 // in the figures of fleets

// resourceUse returns the resource use between two readings.
func (f *fleet) resourceUse(before, after usageReading) ResourceUse {
	counts, seconds := after.discovery.Counts.sub(before.discovery.Counts), after.at.Sub(before.at).Seconds()
	balancers := float64(f.size.Hollow + f.size.Real)
	use := ResourceUse{Seconds: seconds, In: float64(counts.BytesOut) / seconds / balancers,
		Out:          float64(counts.BytesIn) / seconds / balancers,
		DiscoveryCPU: microseconds(after.discovery.CPU-before.discovery.CPU) / seconds,
		Calls:        float64(counts.Calls) / seconds, Updates: float64(counts.Updates) / seconds,
		FullLists: float64(counts.FullLists), Failed: float64(counts.Failed),
		DiscoveryOut: float64(counts.BytesOut) / seconds,
		DiscoveryRSS: float64(after.discovery.RSS) / bytesPerMB, Memory: float64(after.memoryBytes) / bytesPerMB}
	for i := range after.hollow {
		use.HollowCPU += microseconds(after.hollow[i].CPU-before.hollow[i].CPU) / seconds
		use.HollowRSS += float64(after.hollow[i].RSS) / bytesPerMB
		use.HollowHeap += float64(after.hollow[i].Heap) / bytesPerMB
	}
	use.HollowCores = use.HollowCPU / 1e6
	if n := float64(f.size.Hollow); n > 0 {
		use.HollowCPU, use.HollowRSS, use.HollowHeap = use.HollowCPU/n, use.HollowRSS/n, use.HollowHeap/n
	}
	counted, realCPU := 0.0, 0.0
	for i := range after.real {
		if used := after.real[i].CPU - before.real[i].CPU; used >= 0 { // negative if the balancer was restarted
			realCPU, counted = realCPU+microseconds(used)/seconds, counted+1
		}
		use.RealRSS = max(use.RealRSS, float64(after.real[i].RSS)/bytesPerMB)
	}
	use.RealCPU = realCPU / max(counted, 1)
	use.DriverCores = microseconds(after.driver.CPU-before.driver.CPU) / seconds / 1e6
	use.OtherCores = max(0, microseconds(after.busyTime-before.busyTime)/seconds/1e6-use.DriverCores-use.HollowCores-
		(use.DiscoveryCPU+realCPU)/1e6)
	return use
}

// microseconds returns d in µs.
func microseconds(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// --- Time until changes are in force ---

// InForce summarises how long changes took to be in force on balancers, counted from when they were made.
type InForce struct {
	Changes int     `json:"changes"` // 0: none measured
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Last    float64 `json:"last_ms"` // the longest time of any change on any balancer
	Missing int     `json:"missing"` // pairs of a change and a balancer where it was not in force before the timeout
}

// summarise computes quantiles of the delays of a number of changes.
func summarise(changes int, delays Delays) InForce {
	histogram := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	last := int64(0)
	for _, us := range delays.Micros {
		histogram.RecordValue(max(us, 1)) // delays are shorter than the maximum of an hour
		last = max(last, us)
	}
	return InForce{Changes: changes, P50: float64(histogram.ValueAtQuantile(50)) / 1000,
		P99: float64(histogram.ValueAtQuantile(99)) / 1000, Last: float64(last) / 1000, Missing: delays.Missing}
}

// awaitInForce returns how long revisions of the list took to be in force on the hollow balancers. It waits
// until all are in force or timeout has passed since the last one was published.
func (f *fleet) awaitInForce(revisions []RevisionTime, timeout time.Duration) (InForce, error) {
	if len(revisions) == 0 || len(f.hollow) == 0 {
		return InForce{}, nil
	}
	deadline := time.Unix(0, revisions[len(revisions)-1].At).Add(timeout)
	for {
		combined, err := f.collectDelays("Hollow.Since", revisions)
		if err != nil || combined.Missing == 0 || time.Now().After(deadline) {
			return summarise(len(revisions), combined), err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// collectDelays calls an RPC method on all hollow processes and combines the delays they reply with.
func (f *fleet) collectDelays(method string, args any) (Delays, error) {
	var mu sync.Mutex
	var combined Delays
	var errs []error
	var wg sync.WaitGroup
	for _, c := range f.hollow {
		wg.Go(func() {
			var d Delays
			err := c.call(method, args, &d)
			mu.Lock()
			defer mu.Unlock()
			combined.Micros, combined.Missing, errs = append(combined.Micros, d.Micros...), combined.Missing+d.Missing,
				append(errs, err)
		})
	}
	wg.Wait()
	return combined, errors.Join(errs...)
}

// forgetChanges drops the records of delivered settings here and of list revisions on the hollow balancers.
func (f *fleet) forgetChanges() error {
	f.delivered = nil
	for _, c := range f.hollow {
		if err := c.call("Hollow.Forget", Empty{}, &Empty{}); err != nil {
			return err
		}
	}
	return nil
}

// releaseAtRate makes the changes of a rolling release, rate of them per second, for duration and returns
// their revisions. With rate 0 it only waits.
func (f *fleet) releaseAtRate(rate float64, duration time.Duration) ([]RevisionTime, error) {
	var revisions []RevisionTime
	start := time.Now()
	for duration > time.Since(start) {
		due := time.Duration(float64(len(revisions)) / max(rate, 1e-9) * float64(time.Second))
		if rate == 0 || due >= duration {
			time.Sleep(duration - time.Since(start))
			break
		}
		time.Sleep(due - time.Since(start))
		var revision RevisionTime
		if err := f.discovery.call("Discovery.Release", Empty{}, &revision); err != nil {
			return revisions, err
		}
		revisions = append(revisions, revision)
	}
	return revisions, nil
}

// --- Settings ---

// Reload is the result of a change of the settings on all balancers.
type Reload struct {
	Hollow    InForce        `json:"hollow"` // until the settings were in force, as reported by the balancers
	Real      []InForce      `json:"real"`   // until a request of the new class was served, by program
	NotServed []StatusCounts `json:"wrong"`  // last status on each balancer that served none, by program

	servedDelays []Delays // summarised in Real, by program
}

// StatusCounts counts requests by status.
type StatusCounts map[string]int

// reload writes a new version of the settings, has all balancers read it, and waits until it is in force or
// timeout is over. Times count from when the files are written and the first balancer is signalled.
func (f *fleet) reload(timeout time.Duration) (Reload, error) {
	if err := f.writeConfigurations(); err != nil {
		return Reload{}, err
	}
	start := time.Now()
	if err := f.hangup(); err != nil {
		return Reload{}, err
	}
	delivered := SettingsDelivery{start.UnixNano(), f.fileHashes}
	f.delivered = append(f.delivered, delivered)
	deadline := start.Add(timeout)
	result := Reload{servedDelays: make([]Delays, len(f.programs))}
	for range f.programs {
		result.NotServed = append(result.NotServed, StatusCounts{})
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range f.realBalancers {
		program := i % len(f.programs)
		wg.Go(func() {
			servedAt, status := f.traffic.awaitClass(i, versionClass(f.settingsVersion), deadline)
			mu.Lock()
			defer mu.Unlock()
			if servedAt.IsZero() {
				result.servedDelays[program].Missing++
				result.NotServed[program][status]++
			} else {
				result.servedDelays[program].Micros = append(result.servedDelays[program].Micros,
					servedAt.Sub(start).Microseconds())
			}
		})
	}
	var hollow Delays
	var err error
	for len(f.hollow) > 0 {
		if hollow, err = f.collectDelays("Hollow.SettingsSince", []SettingsDelivery{delivered}); err != nil ||
			hollow.Missing == 0 || time.Now().After(deadline) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	wg.Wait()
	result.Hollow = summarise(1, hollow)
	for _, d := range result.servedDelays {
		result.Real = append(result.Real, summarise(1, d))
	}
	return result, err
}
