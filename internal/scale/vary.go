package scale

import (
	"fmt"
	"time"
)

// This file measures the slopes over a running fleet: one quantity is varied while all others are fixed. Each
// point starts a new fleet and measures it at rest, while the list changes at a fixed rate and, for some
// slopes, while the settings change. All balancers are hollow, so that the figures do not include traffic.

const (
	reloadsPerPoint = 3 // measured changes of the settings at each point
	// pointReloadTimeout is the time that each measured reload may take.
	pointReloadTimeout = 4 * time.Second
	// maxBusyShare is the share of the processors' time above which a point is marked as saturated, since its latencies
	// then include waiting for a processor.
	maxBusyShare = 0.8
)

// variation describes a slope: the varied quantity, its values and what is measured.
type variation struct {
	name           string    // value of the flag --slope
	variable       string    // the varied quantity, see Slope.Variable
	x              []float64 // values of the varied quantity, ascending
	size           func(base Size, x float64) Size
	changeRate     func(x float64) float64 // changes of the list per second
	measureReloads bool                    // also measure changes of the settings
	measureBurst   bool                    // at the last point, also measure the loss and the return of a zone
}

// baseSize is the size of the fleet in slopes, apart from the varied quantity and the options of the run.
var baseSize = Size{FleetDimensions: FleetDimensions{Balancers: TargetBalancers, Upstreams: 1000, Zones: 7,
	Classes: 20, Tenants: 100, MaxDiscoveryInterval: 10 * time.Second}, Hollow: 40, DiscoveryServers: 4, Rate: 240}

// releaseRate is the number of list changes per second in a release that replaces all upstreams within an hour, with
// three changes for each upstream.
const releaseRate = 3 * TargetUpstreams / 3600.0

// constantRate returns a change rate that does not depend on the varied quantity.
func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// variations lists the slopes in the order in which they are run.
var variations = []variation{
	{name: "upstreams", variable: "upstreams", x: []float64{1750, 3500, 7000, TargetUpstreams},
		changeRate: constantRate(2), measureReloads: true,
		size: func(s Size, x float64) Size { s.Upstreams, s.Hollow = int(x), 16; return s }},
	{name: "balancers", variable: "hollow balancers", x: []float64{50, 100, 200, 400}, changeRate: constantRate(2),
		size: func(s Size, x float64) Size { s.Hollow = int(x); return s }},
	{name: "tenants", variable: "tenants",
		x:          []float64{TargetTenants / 8, TargetTenants / 4, TargetTenants / 2, TargetTenants},
		changeRate: constantRate(2), measureReloads: true,
		size: func(s Size, x float64) Size { s.Tenants, s.Hollow = int(x), 8; return s }},
	{name: "classes", variable: "classes",
		x:          []float64{TargetClasses / 8, TargetClasses / 4, TargetClasses / 2, TargetClasses},
		changeRate: constantRate(2), measureReloads: true,
		size: func(s Size, x float64) Size { s.Classes, s.Hollow = int(x), 8; return s }},
	{name: "changes", variable: "changes a second",
		x:          []float64{releaseRate / 8, releaseRate / 4, releaseRate / 2, releaseRate},
		size:       func(s Size, _ float64) Size { s.Upstreams, s.Hollow = TargetUpstreams, 8; return s },
		changeRate: func(x float64) float64 { return x }, measureBurst: true},
}

// Point holds the measurements at one point of a slope.
type Point struct {
	X             float64     `json:"x"`
	Size          Size        `json:"size"`
	StartCPU      float64     `json:"start_cpu_ms"` // mean of a hollow balancer until the fleet has settled
	AtRest        ResourceUse `json:"rest"`
	ChangeRate    float64     `json:"changes_per_s"`
	WhileChanging ResourceUse `json:"busy"` // while the list changed
	InForce       InForce     `json:"in_force"`
	CPUPerChange  float64     `json:"cpu_us_per_change"` // of a hollow balancer, in addition to its use at rest
	// Reloads are the changes of the settings. ReloadCPU is the mean processor time of a hollow balancer for one
	// of them, in addition to its use at rest.
	Reloads   []Reload `json:"reloads,omitempty"`
	ReloadCPU float64  `json:"reload_cpu_ms"`
	Bursts    []Burst  `json:"bursts,omitempty"`
	Saturated bool     `json:"loaded"` // the processors were near capacity, so that latencies are overstated
}

// Burst measures a change of many upstreams in one revision.
type Burst struct {
	Name    string  `json:"name"`
	CPU     float64 `json:"cpu_ms"` // of a hollow balancer, in addition to its use at rest
	In      float64 `json:"in_kb"`  // received by one balancer, with HTTP headers
	InForce InForce `json:"in_force"`
}

// SlopeResult holds the points of a slope and, for each figure, the curve fitted over them.
type SlopeResult struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
	Slopes []Slope `json:"slopes"`
}

// measurePoint measures one point, with phases of the given duration.
func (r *Run) measurePoint(v variation, x float64, phaseDuration time.Duration) (p Point, err error) {
	p = Point{X: x, Size: v.size(r.base, x), ChangeRate: v.changeRate(x)}
	p.Size.Real = 0
	f, err := newFleet(p.Size, r.processes)
	if err != nil {
		return p, err
	}
	defer f.close()
	if err := r.abortCause(); err != nil {
		return p, err
	}
	settled, err := f.readUsage(true)
	if err != nil {
		return p, err
	}
	for _, u := range settled.hollow {
		p.StartCPU += microseconds(u.CPU) / 1000 / float64(p.Size.Hollow)
	}
	before, err := f.readUsage(false) // a second reading, so that the garbage collection of the first is left out
	if err != nil {
		return p, err
	}
	if _, err = f.releaseAtRate(0, phaseDuration); err != nil {
		return p, err
	}
	after, err := f.readUsage(true)
	if err != nil {
		return p, err
	}
	p.AtRest = f.resourceUse(before, after)
	if before, err = f.readUsage(false); err != nil {
		return p, err
	}
	revisions, err := f.releaseAtRate(p.ChangeRate, phaseDuration)
	if err != nil {
		return p, err
	}
	if p.InForce, err = f.awaitInForce(revisions, inForceTimeout); err != nil {
		return p, err
	}
	if after, err = f.readUsage(true); err != nil {
		return p, err
	}
	p.WhileChanging = f.resourceUse(before, after)
	if count := float64(len(revisions)); count > 0 {
		p.CPUPerChange = (p.WhileChanging.HollowCPU - p.AtRest.HollowCPU) * p.WhileChanging.Seconds / count
	}
	usedCores := func(s ResourceUse) float64 { return s.HollowCores + s.DiscoveryCPU/1e6 + s.DriverCores + s.OtherCores }
	p.Saturated = max(usedCores(p.AtRest), usedCores(p.WhileChanging)) > maxBusyShare*float64(r.processors)
	if v.measureBurst && x == v.x[len(v.x)-1] {
		for _, event := range []struct{ name, method string }{{"a zone lost", "Discovery.Lose"},
			{"the zone back, cold", "Discovery.Regain"}} {
			if err := r.measureBurst(f, &p, event.name, event.method); err != nil {
				return p, err
			}
		}
	}
	if !v.measureReloads {
		return p, r.abortCause()
	}
	return p, r.measureReloads(f, &p)
}

// measureBurst measures the loss or the return of a zone, as made by a method of Discovery.
func (r *Run) measureBurst(f *fleet, p *Point, name, method string) error {
	if err := f.awaitSettled(); err != nil {
		return err
	}
	before, err := f.readUsage(false)
	if err != nil {
		return err
	}
	var revision RevisionTime
	if err := f.discovery.call(method, Zone{Name: zoneName(lostZone)}, &revision); err != nil {
		return err
	}
	b := Burst{Name: name}
	if b.InForce, err = f.awaitInForce([]RevisionTime{revision}, inForceTimeout); err != nil {
		return err
	}
	if err := f.awaitSettled(); err != nil {
		return err
	}
	after, err := f.readUsage(false)
	if err != nil {
		return err
	}
	use := f.resourceUse(before, after)
	b.CPU, b.In = (use.HollowCPU-p.AtRest.HollowCPU)*use.Seconds/1000, use.In*use.Seconds/1000
	p.Bursts = append(p.Bursts, b)
	return r.abortCause()
}

// measureReloads measures reloadsPerPoint changes of the settings.
func (r *Run) measureReloads(f *fleet, p *Point) error {
	for range reloadsPerPoint {
		before, err := f.readUsage(false)
		if err != nil {
			return err
		}
		result, err := f.reload(pointReloadTimeout)
		if err != nil {
			return err
		}
		after, err := f.readUsage(false)
		if err != nil {
			return err
		}
		use := f.resourceUse(before, after)
		p.Reloads = append(p.Reloads, result)
		p.ReloadCPU += (use.HollowCPU - p.AtRest.HollowCPU) * use.Seconds / 1000 / reloadsPerPoint
	}
	return r.abortCause()
}

// measureSlope measures all points of a slope and fits its curves. If it fails, the result holds the points so far.
func (r *Run) measureSlope(v variation, phaseDuration time.Duration) (SlopeResult, error) {
	result := SlopeResult{Name: v.name}
	for _, value := range v.x {
		r.logProgress("slope %s: %s = %.4g", v.name, v.variable, value)
		p, err := r.measurePoint(v, value, phaseDuration)
		if err != nil {
			return result, fmt.Errorf("slope %s at %.4g: %w", v.name, value, err)
		}
		result.Points = append(result.Points, p)
		r.logProgress("  at rest %.0f us/s of a core, %.2f MB live heap; at %.3g changes/s %.0f us per change, %.0f B/s in, in force p99 %.0f ms, last %.0f, missing %d",
			p.AtRest.HollowCPU, p.AtRest.HollowHeap, p.ChangeRate, p.CPUPerChange, p.WhileChanging.In, p.InForce.P99,
			p.InForce.Last, p.InForce.Missing)
	}
	result.fit(v)
	return result, nil
}

// slopeFigures lists the figures that are fitted over the points of a slope. Those with reloadOnly are left out of
// slopes that do not measure reloads.
var slopeFigures = []struct {
	name, unit string
	reloadOnly bool
	value      func(p Point) float64
}{
	{"control at rest", "us of a core a second", false, func(p Point) float64 { return p.AtRest.HollowCPU }},
	{"control while the list changes", "us of a core a second", false,
		func(p Point) float64 { return p.WhileChanging.HollowCPU }},
	{"one change of the list", "us of a core", false, func(p Point) float64 { return p.CPUPerChange }},
	{"live heap", "MB", false, func(p Point) float64 { return p.AtRest.HollowHeap }},
	{"resident memory", "MB", false, func(p Point) float64 { return p.WhileChanging.HollowRSS }},
	{"a start", "ms of a core", false, func(p Point) float64 { return p.StartCPU }},
	{"bytes in at rest", "B/s", false, func(p Point) float64 { return p.AtRest.In }},
	{"bytes in while the list changes", "B/s", false, func(p Point) float64 { return p.WhileChanging.In }},
	{"bytes out while the list changes", "B/s", false, func(p Point) float64 { return p.WhileChanging.Out }},
	{"change in force, p50", "ms", false, func(p Point) float64 { return p.InForce.P50 }},
	{"change in force, p99", "ms", false, func(p Point) float64 { return p.InForce.P99 }},
	{"change in force, the last balancer", "ms", false, func(p Point) float64 { return p.InForce.Last }},
	{"discovery's processor time while the list changes", "us of a core a second", false,
		func(p Point) float64 { return p.WhileChanging.DiscoveryCPU }},
	{"discovery's calls while the list changes", "calls/s", false, func(p Point) float64 { return p.WhileChanging.Calls }},
	{"discovery's bytes out while the list changes", "B/s", false,
		func(p Point) float64 { return p.WhileChanging.DiscoveryOut }},
	{"cores that others used", "cores", false, func(p Point) float64 { return p.WhileChanging.OtherCores }},
	{"a change of the settings", "ms of a core", true, func(p Point) float64 { return p.ReloadCPU }},
}

// fit fits a curve to each figure of the slope that v describes and adds it to Slopes.
func (r *SlopeResult) fit(v variation) {
	for _, figure := range slopeFigures {
		if figure.reloadOnly && !v.measureReloads {
			continue
		}
		var x, y []float64
		note := ""
		for _, p := range r.Points {
			x, y = append(x, p.X), append(y, figure.value(p))
			if p.Saturated {
				note += fmt.Sprintf("at %.4g the processors were the bound; ", p.X)
			}
		}
		s := NewSlope(figure.name, figure.unit, v.variable, x, y)
		s.Note = note
		r.Slopes = append(r.Slopes, s)
	}
}
