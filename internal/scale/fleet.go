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

// This file puts a fleet together: a discovery, hollow balancers, real ones with upstreams and clients. It reads what all of
// them have used between two moments, for each balancer, and how long changes took to be in force.

// Size is the size of a fleet as it is run, beside the one that its settings name.
type Size struct {
	Shape
	Hollow   int     `json:"hollow"`
	Real     int     `json:"real"`
	Machines int     `json:"machines"` // of discovery
	Costs    Costs   `json:"costs"`    // of a call to discovery
	Rate     float64 `json:"rate"`     // requests a second to the real balancers together
}

const (
	hollowShare = 200 // hollow balancers in one process
	settleMost  = 90 * time.Second
	inForceMost = 11 * time.Second // the users' figure
	memoryMB    = 256              // the users' figure, told to balancers as their limit
)

// fleet is a running fleet.
type fleet struct {
	size      Size
	dir       string   // of its files
	programs  []string // the real balancers', which take turns
	kids      *children
	discovery *child
	addresses []string // of discovery's machines
	hollow    []*child
	paths     [][]string // of the hollow ones' files, by process
	specs     map[string]Spec
	reals     []*realOne
	upstreams *upstreams
	traffic   *traffic
	version   int               // of the settings
	hashes    map[string]string // of the files of this version
	told      []SettingsTold    // the versions that balancers were told of since the last forget
	end       context.CancelFunc
}

// newFleet starts a fleet and waits until it has settled. Where it fails, what it has started is ended.
func newFleet(size Size, kids *children, programs ...string) (f *fleet, err error) {
	f = &fleet{size: size, kids: kids, programs: programs, specs: map[string]Spec{}}
	ctx, end := context.WithCancel(context.Background())
	f.end = end
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if f.dir, err = os.MkdirTemp(kids.dir, "fleet-"); err != nil {
		return f, fmt.Errorf("a fleet's files: %w", err)
	}
	if f.upstreams, err = newUpstreams(size.Zones); err != nil {
		return f, err
	}
	if f.discovery, err = kids.role(RoleDiscovery, "discovery"); err != nil {
		return f, err
	}
	if err = f.discovery.call("Discovery.Start", DiscoveryStart{Machines: size.Machines, Upstreams: size.Upstreams, Zones: size.Zones,
		Addresses: f.upstreams.address, Costs: size.Costs}, &f.addresses); err != nil {
		return f, err
	}
	if err = f.name(); err != nil {
		return f, err
	}
	if err = f.writeFiles(); err != nil {
		return f, err
	}
	for i, paths := range f.paths {
		c, err := kids.role(RoleHollow, fmt.Sprintf("hollow-%d", i+1))
		if err != nil {
			return f, err
		}
		f.hollow = append(f.hollow, c)
		if err := c.call("Hollow.Start", paths, &None{}); err != nil {
			return f, err
		}
	}
	for _, r := range f.reals {
		if err = f.startReal(r); err != nil {
			return f, err
		}
		go r.front(ctx)
	}
	for _, r := range f.reals {
		if err = r.awaitReady(); err != nil {
			return f, err
		}
	}
	if len(f.reals) > 0 {
		f.traffic = newTraffic(f.reals, len(f.programs), size.Shape)
		go f.traffic.run(ctx, size.Rate)
	}
	return f, f.settle()
}

// name gives each balancer a name, a rank and a machine of discovery. Ranks are spread over those that the settings name.
func (f *fleet) name() error {
	all := f.size.Hollow + f.size.Real
	for i := range all {
		s := Spec{Name: fmt.Sprintf("b%d", i), Listen: "127.0.0.1:1", Discovery: f.addresses[i%len(f.addresses)],
			Zone: zoneName(i % f.size.Zones), Rank: i * f.size.Balancers / all, MemoryMB: memoryMB}
		path := filepath.Join(f.dir, s.Name+".json")
		if i >= f.size.Hollow {
			var err error
			if s.Listen, err = freeAddress(); err != nil {
				return err
			}
			f.reals = append(f.reals, &realOne{spec: s, path: path, program: f.programs[len(f.reals)%len(f.programs)]})
		} else {
			if i%hollowShare == 0 {
				f.paths = append(f.paths, nil)
			}
			f.paths[len(f.paths)-1] = append(f.paths[len(f.paths)-1], path)
		}
		f.specs[path] = s
	}
	return nil
}

// writeFiles writes the next version of the settings for all balancers.
func (f *fleet) writeFiles() error {
	var known Listing
	if err := f.discovery.call("Discovery.Listing", None{}, &known); err != nil {
		return err
	}
	f.version++
	f.hashes = map[string]string{}
	s, err := newSettings(f.size.Shape, f.version, known)
	if err != nil {
		return err
	}
	for path, spec := range f.specs {
		if f.hashes[path], err = s.write(path, spec); err != nil {
			return err
		}
	}
	return nil
}

// hangup has all balancers read their files again.
func (f *fleet) hangup() error {
	for i, c := range f.hollow {
		if err := c.call("Hollow.Hangup", f.paths[i], &None{}); err != nil {
			return err
		}
	}
	for _, r := range f.reals {
		if err := r.hangup(); err != nil {
			return err
		}
	}
	return nil
}

// settle waits until each balancer waits in a watch of the newest revision.
func (f *fleet) settle() error {
	want := int64(f.size.Hollow + f.size.Real)
	for began := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		r, err := f.readDiscovery()
		if err != nil {
			return err
		}
		if r.Waiting >= want {
			return nil
		}
		if time.Since(began) > settleMost {
			return fmt.Errorf("after %v %d of %d balancers wait in a watch", settleMost, r.Waiting, want)
		}
	}
}

func (f *fleet) close() {
	f.end()
	for _, r := range f.reals {
		if r.child != nil {
			f.kids.end(r.child)
		}
	}
	for _, c := range append(slices.Clone(f.hollow), f.discovery) {
		if c != nil {
			f.kids.end(c)
		}
	}
	if f.upstreams != nil {
		f.upstreams.close()
	}
	if err := os.RemoveAll(f.dir); err != nil {
		slog.Warn("a fleet's files stay", "err", err)
	}
}

// --- What it uses ---

// reading is what all have used at a moment.
type reading struct {
	at        time.Time
	discovery DiscoveryReading
	hollow    []Usage
	real      []Usage
	own       Usage         // of the run's own process, with the clients and the upstreams
	cores     time.Duration // that the processors which the run may use were busy, with whatever
	memory    int64
}

func (f *fleet) readDiscovery() (DiscoveryReading, error) {
	var r DiscoveryReading
	err := f.discovery.call("Discovery.Read", None{}, &r)
	return r, err
}

// read reads all. heap: with the hollow ones' live heap.
func (f *fleet) read(heap bool) (reading, error) {
	x := reading{hollow: make([]Usage, len(f.hollow)), real: make([]Usage, len(f.reals)), memory: f.kids.memory()}
	var failed []error
	for i, c := range f.hollow {
		failed = append(failed, c.call("Hollow.Read", heap, &x.hollow[i]))
	}
	for i, r := range f.reals {
		select {
		case <-r.child.ended: // with its zone: nothing is read
			continue
		default:
		}
		var err error
		x.real[i], err = processUsage(r.child.cmd.Process.Pid)
		failed = append(failed, err)
	}
	var err error
	x.discovery, err = f.readDiscovery()
	failed = append(failed, err)
	x.own, err = ownUsage(false)
	failed = append(failed, err)
	x.cores, err = processorBusyTime()
	x.at = time.Now()
	return x, errors.Join(append(failed, err)...)
}

// Spent is what was spent between two readings. Figures of balancers are for one balancer.
type Spent struct {
	Seconds float64 `json:"seconds"`

	HollowCPU  float64 `json:"hollow_cpu_us_per_s"`    // µs of processor time a second, for one hollow balancer
	HollowBusy float64 `json:"hollow_cores"`           // processors that the hollow processes kept busy together
	RealCPU    float64 `json:"real_cpu_us_per_s"`      // for one real one, its clients' requests included
	HollowRSS  float64 `json:"hollow_rss_mb"`          // the process's, divided
	HollowHeap float64 `json:"hollow_heap_mb"`         // live, divided; 0: not read
	RealRSS    float64 `json:"real_rss_mb"`            // the largest
	In         float64 `json:"in_bytes_per_s"`         // from discovery, for one balancer, with heads
	Out        float64 `json:"out_bytes_per_s"`        // to discovery
	Discovery  float64 `json:"discovery_cpu_us_per_s"` // of all its machines, in one process
	Calls      float64 `json:"calls_per_s"`
	News       float64 `json:"news_per_s"`
	Whole      float64 `json:"whole_lists"`
	Failed     float64 `json:"failed_calls"`
	Written    float64 `json:"discovery_out_bytes_per_s"`
	DiscRSS    float64 `json:"discovery_rss_mb"`
	Memory     float64 `json:"memory_mb"` // of all processes
	// Driver is what the run's own process used, clients and upstreams with it. Others is what was used by no process of the
	// run, on the processors that it may use, in processors: where it is not small, times are too long.
	Driver float64 `json:"driver_cores"`
	Others float64 `json:"others_cores"`
}

const mb = 1 << 20

// spent is what was spent from a to b.
func (f *fleet) spent(a, b reading) Spent {
	d, s := b.discovery.Counts.sub(a.discovery.Counts), b.at.Sub(a.at).Seconds()
	all := float64(f.size.Hollow + f.size.Real)
	x := Spent{Seconds: s, In: float64(d.BytesOut) / s / all, Out: float64(d.BytesIn) / s / all,
		Discovery: micros(b.discovery.CPU-a.discovery.CPU) / s, Calls: float64(d.Calls) / s, News: float64(d.News) / s, Whole: float64(d.Whole),
		Failed: float64(d.Failed), Written: float64(d.BytesOut) / s, DiscRSS: float64(b.discovery.RSS) / mb, Memory: float64(b.memory) / mb}
	for i := range b.hollow {
		x.HollowCPU += micros(b.hollow[i].CPU-a.hollow[i].CPU) / s
		x.HollowRSS += float64(b.hollow[i].RSS) / mb
		x.HollowHeap += float64(b.hollow[i].Heap) / mb
	}
	x.HollowBusy = x.HollowCPU / 1e6
	if n := float64(f.size.Hollow); n > 0 {
		x.HollowCPU, x.HollowRSS, x.HollowHeap = x.HollowCPU/n, x.HollowRSS/n, x.HollowHeap/n
	}
	counted, reals := 0.0, 0.0
	for i := range b.real {
		if used := b.real[i].CPU - a.real[i].CPU; used >= 0 { // a restarted one begins anew
			reals, counted = reals+micros(used)/s, counted+1
		}
		x.RealRSS = max(x.RealRSS, float64(b.real[i].RSS)/mb)
	}
	x.RealCPU = reals / max(counted, 1)
	x.Driver = micros(b.own.CPU-a.own.CPU) / s / 1e6
	x.Others = max(0, micros(b.cores-a.cores)/s/1e6-x.Driver-x.HollowBusy-(x.Discovery+reals)/1e6)
	return x
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

// --- How long changes take ---

// InForce is how long changes took to be in force, from when they were made, on balancers that could tell.
type InForce struct {
	Changes int     `json:"changes"`
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	Last    float64 `json:"last_ms"` // the slowest change on the slowest balancer
	Missing int     `json:"missing"` // pairs of a change and a balancer where it was not in force in time
}

// summary is the quantiles of delays.
func summary(changes int, d Delays) InForce {
	h := hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3)
	last := int64(0)
	for _, us := range d.Micros {
		h.RecordValue(max(us, 1)) // an hour is more than any run
		last = max(last, us)
	}
	return InForce{Changes: changes, P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000,
		Last: float64(last) / 1000, Missing: d.Missing}
}

// inForce tells how long changes of the list took on the hollow ones. It waits for the last of them, at most until the
// time that the users allow is over.
func (f *fleet) inForce(made []Made, within time.Duration) (InForce, error) {
	if len(made) == 0 || len(f.hollow) == 0 {
		return InForce{}, nil
	}
	until := time.Unix(0, made[len(made)-1].At).Add(within)
	for {
		all, err := f.delays("Hollow.Since", made)
		if err != nil || all.Missing == 0 || time.Now().After(until) {
			return summary(len(made), all), err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// delays asks all hollow processes.
func (f *fleet) delays(method string, args any) (Delays, error) {
	var mu sync.Mutex
	var all Delays
	var failed []error
	var wait sync.WaitGroup
	for _, c := range f.hollow {
		wait.Go(func() {
			var d Delays
			err := c.call(method, args, &d)
			mu.Lock()
			defer mu.Unlock()
			all.Micros, all.Missing, failed = append(all.Micros, d.Micros...), all.Missing+d.Missing, append(failed, err)
		})
	}
	wait.Wait()
	return all, errors.Join(failed...)
}

// forget drops what the hollow ones have noted of changes so far.
func (f *fleet) forget() error {
	f.told = nil
	for _, c := range f.hollow {
		if err := c.call("Hollow.Forget", None{}, &None{}); err != nil {
			return err
		}
	}
	return nil
}

// play makes changes of a release at a rate, for a time, and returns them. At the rate 0 it only waits.
func (f *fleet) play(rate float64, span time.Duration) ([]Made, error) {
	var made []Made
	began := time.Now()
	for span > time.Since(began) {
		due := time.Duration(float64(len(made)) / max(rate, 1e-9) * float64(time.Second))
		if rate == 0 || due >= span {
			time.Sleep(span - time.Since(began))
			break
		}
		time.Sleep(due - time.Since(began))
		var m Made
		if err := f.discovery.call("Discovery.Release", None{}, &m); err != nil {
			return made, err
		}
		made = append(made, m)
	}
	return made, nil
}

// --- Settings ---

// Reload is a change of the settings on all balancers.
type Reload struct {
	Hollow InForce   `json:"hollow"` // until the settings were in force, by the balancers' word
	Real   []InForce `json:"real"`   // until a request of the class that is new was served, for each program
	Wrong  []Counted `json:"wrong"`  // the last statuses of these requests where it never was, for each program

	served []Delays
}

// Counted counts by name.
type Counted map[string]int

// reload writes a new version of the settings, has all read it, and waits until it is in force or within is over. The time
// counts from when the first is told; that the files are there by then is the deliverer's.
func (f *fleet) reload(within time.Duration) (Reload, error) {
	if err := f.writeFiles(); err != nil {
		return Reload{}, err
	}
	began := time.Now()
	if err := f.hangup(); err != nil {
		return Reload{}, err
	}
	told := SettingsTold{began.UnixNano(), f.hashes}
	f.told = append(f.told, told)
	until := began.Add(within)
	x := Reload{served: make([]Delays, len(f.programs))}
	for range f.programs {
		x.Wrong = append(x.Wrong, Counted{})
	}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i := range f.reals {
		n := i % len(f.programs)
		wait.Go(func() {
			at, status := f.traffic.probe(i, versionClass(f.version), until)
			mu.Lock()
			defer mu.Unlock()
			if at.IsZero() {
				x.served[n].Missing++
				x.Wrong[n][status]++
			} else {
				x.served[n].Micros = append(x.served[n].Micros, at.Sub(began).Microseconds())
			}
		})
	}
	var hollow Delays
	var err error
	for len(f.hollow) > 0 {
		if hollow, err = f.delays("Hollow.SettingsSince", []SettingsTold{told}); err != nil || hollow.Missing == 0 || time.Now().After(until) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	wait.Wait()
	x.Hollow = summary(1, hollow)
	for _, d := range x.served {
		x.Real = append(x.Real, summary(1, d))
	}
	return x, err
}
