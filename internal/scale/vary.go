package scale

import (
	"fmt"
	"time"
)

// This file takes the slopes over a running fleet: one figure is varied, all others are held. At each point a new fleet starts;
// it is measured at rest, while the list changes at a fixed rate, and where it matters while the settings change. Hollow
// balancers alone are run, so that no traffic is in the figures.

const (
	reloadsPerPoint = 3
	// reloadWait is how long a reload's work is measured where nothing tells that it is in force.
	reloadMeasureTime = 4 * time.Second
	// busyMost is the share of the processors over which a point is marked: what waits for a processor is in its times.
	maxBusyShare = 0.8
)

// variation is a figure to vary.
type variation struct {
	name           string // as the flag names it
	variable       string // what X counts
	x              []float64
	size           func(base Size, x float64) Size
	changeRate     func(x float64) float64 // a second
	measureReloads bool                    // settings are changed as well
	measureBurst   bool                    // at the last point a zone is lost and comes back as well
}

// baseSize is what is held where nothing else is said.
var baseSize = Size{Shape: Shape{Balancers: Balancers, Upstreams: 1000, Zones: 7, Classes: 20, Tenants: 100, AskWithin: 10 * time.Second},
	Hollow: 40, Machines: 4, Rate: 240}

// releaseRate is the changes a second of a release that replaces all upstreams within an hour: three for each.
const releaseRate = 3 * Upstreams / 3600.0

func constantRate(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// variations are the slopes, in the order in which they are run.
var variations = []variation{
	{name: "upstreams", variable: "upstreams", x: []float64{1750, 3500, 7000, Upstreams}, changeRate: constantRate(2), measureReloads: true,
		size: func(s Size, x float64) Size { s.Upstreams, s.Hollow = int(x), 16; return s }},
	{name: "balancers", variable: "hollow balancers", x: []float64{50, 100, 200, 400}, changeRate: constantRate(2),
		size: func(s Size, x float64) Size { s.Hollow = int(x); return s }},
	{name: "tenants", variable: "tenants", x: []float64{Tenants / 8, Tenants / 4, Tenants / 2, Tenants}, changeRate: constantRate(2), measureReloads: true,
		size: func(s Size, x float64) Size { s.Tenants, s.Hollow = int(x), 8; return s }},
	{name: "classes", variable: "classes", x: []float64{Classes / 8, Classes / 4, Classes / 2, Classes}, changeRate: constantRate(2), measureReloads: true,
		size: func(s Size, x float64) Size { s.Classes, s.Hollow = int(x), 8; return s }},
	{name: "changes", variable: "changes a second", x: []float64{releaseRate / 8, releaseRate / 4, releaseRate / 2, releaseRate},
		size: func(s Size, _ float64) Size { s.Upstreams, s.Hollow = Upstreams, 8; return s }, changeRate: func(x float64) float64 { return x }, measureBurst: true},
}

// Point is what was measured at one point of a slope.
type Point struct {
	X             float64 `json:"x"`
	Size          Size    `json:"size"`
	StartCPU      float64 `json:"start_cpu_ms"` // processor time of a hollow balancer's start, until the fleet had settled
	AtRest        Spent   `json:"rest"`
	ChangeRate    float64 `json:"changes_per_s"`
	WhileChanging Spent   `json:"busy"` // while the list changed
	InForce       InForce `json:"in_force"`
	CPUPerChange  float64 `json:"cpu_us_per_change"` // of a hollow balancer, over what it spends at rest
	// Reloads are the settings' changes. ReloadCPU is a hollow balancer's processor time for one, over what it spends at rest.
	Reloads   []Reload `json:"reloads,omitempty"`
	ReloadCPU float64  `json:"reload_cpu_ms"`
	Bursts    []Burst  `json:"bursts,omitempty"`
	Saturated bool     `json:"loaded"` // the processors were the bound: times are too long
}

// Burst is many upstreams that change at once, in one revision.
type Burst struct {
	Name    string  `json:"name"`
	CPU     float64 `json:"cpu_ms"` // of a hollow balancer, over what it spends at rest
	In      float64 `json:"in_kb"`  // to one balancer, with heads
	InForce InForce `json:"in_force"`
}

// Varied is a slope's points, and the slopes of each figure over them.
type SlopeResult struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
	Slopes []Slope `json:"slopes"`
}

// point measures one point, each phase for span.
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
	settled, err := f.read(true)
	if err != nil {
		return p, err
	}
	for _, u := range settled.hollow {
		p.StartCPU += micros(u.CPU) / 1000 / float64(p.Size.Hollow)
	}
	before, err := f.read(false) // without the collection before
	if err != nil {
		return p, err
	}
	if _, err = f.play(0, phaseDuration); err != nil {
		return p, err
	}
	after, err := f.read(true)
	if err != nil {
		return p, err
	}
	p.AtRest = f.spent(before, after)
	if before, err = f.read(false); err != nil {
		return p, err
	}
	revisions, err := f.play(p.ChangeRate, phaseDuration)
	if err != nil {
		return p, err
	}
	if p.InForce, err = f.inForce(revisions, inForceMost); err != nil {
		return p, err
	}
	if after, err = f.read(true); err != nil {
		return p, err
	}
	p.WhileChanging = f.spent(before, after)
	if count := float64(len(revisions)); count > 0 {
		p.CPUPerChange = (p.WhileChanging.HollowCPU - p.AtRest.HollowCPU) * p.WhileChanging.Seconds / count
	}
	usedCores := func(s Spent) float64 { return s.HollowBusy + s.Discovery/1e6 + s.Driver + s.Others }
	p.Saturated = max(usedCores(p.AtRest), usedCores(p.WhileChanging)) > maxBusyShare*float64(r.processors)
	if v.measureBurst && x == v.x[len(v.x)-1] {
		for _, event := range []struct{ name, method string }{{"a zone lost", "Discovery.Lose"}, {"the zone back, cold", "Discovery.Regain"}} {
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

// burst measures what a zone costs that goes or comes back at once.
func (r *Run) measureBurst(f *fleet, p *Point, name, method string) error {
	if err := f.settle(); err != nil {
		return err
	}
	before, err := f.read(false)
	if err != nil {
		return err
	}
	var revision Made
	if err := f.discovery.call(method, Zone{Name: zoneName(lostZone)}, &revision); err != nil {
		return err
	}
	b := Burst{Name: name}
	if b.InForce, err = f.inForce([]Made{revision}, inForceMost); err != nil {
		return err
	}
	if err := f.settle(); err != nil {
		return err
	}
	after, err := f.read(false)
	if err != nil {
		return err
	}
	use := f.spent(before, after)
	b.CPU, b.In = (use.HollowCPU-p.AtRest.HollowCPU)*use.Seconds/1000, use.In*use.Seconds/1000
	p.Bursts = append(p.Bursts, b)
	return r.abortCause()
}

// reloads changes the settings some times and measures what each costs.
func (r *Run) measureReloads(f *fleet, p *Point) error {
	for range reloadsPerPoint {
		before, err := f.read(false)
		if err != nil {
			return err
		}
		result, err := f.reload(reloadMeasureTime)
		if err != nil {
			return err
		}
		after, err := f.read(false)
		if err != nil {
			return err
		}
		use := f.spent(before, after)
		p.Reloads = append(p.Reloads, result)
		p.ReloadCPU += (use.HollowCPU - p.AtRest.HollowCPU) * use.Seconds / 1000 / reloadsPerPoint
	}
	return r.abortCause()
}

// vary takes all points of a slope.
func (r *Run) measureSlope(v variation, phaseDuration time.Duration) (SlopeResult, error) {
	result := SlopeResult{Name: v.name}
	for _, at := range v.x {
		r.logProgress("slope %s: %s = %.4g", v.name, v.variable, at)
		p, err := r.measurePoint(v, at, phaseDuration)
		if err != nil {
			return result, fmt.Errorf("slope %s at %.4g: %w", v.name, at, err)
		}
		result.Points = append(result.Points, p)
		r.logProgress("  at rest %.0f us/s of a core, %.2f MB live; %.3g changes/s: %.0f us a change, %.0f B/s in, in force p99 %.0f ms, last %.0f, missing %d",
			p.AtRest.HollowCPU, p.AtRest.HollowHeap, p.ChangeRate, p.CPUPerChange, p.WhileChanging.In, p.InForce.P99, p.InForce.Last, p.InForce.Missing)
	}
	result.fit(v)
	return result, nil
}

// figures are what is fitted over a slope's points.
var slopeFigures = []struct {
	name, unit string
	reloadOnly bool
	value      func(p Point) float64
}{
	{"control at rest", "us of a core a second", false, func(p Point) float64 { return p.AtRest.HollowCPU }},
	{"control while the list changes", "us of a core a second", false, func(p Point) float64 { return p.WhileChanging.HollowCPU }},
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
	{"discovery's processor time while the list changes", "us of a core a second", false, func(p Point) float64 { return p.WhileChanging.Discovery }},
	{"discovery's calls while the list changes", "calls/s", false, func(p Point) float64 { return p.WhileChanging.Calls }},
	{"discovery's bytes out while the list changes", "B/s", false, func(p Point) float64 { return p.WhileChanging.Written }},
	{"cores that others used", "cores", false, func(p Point) float64 { return p.WhileChanging.Others }},
	{"a change of the settings", "ms of a core", true, func(p Point) float64 { return p.ReloadCPU }},
}

// fit finds the form of each figure.
func (r *SlopeResult) fit(v variation) {
	for _, figure := range slopeFigures {
		if figure.reloadOnly && !v.measureReloads {
			continue
		}
		var sizes, y []float64
		note := ""
		for _, p := range r.Points {
			sizes, y = append(sizes, p.X), append(y, figure.value(p))
			if p.Saturated {
				note += fmt.Sprintf("at %.4g the processors were the bound; ", p.X)
			}
		}
		s := NewSlope(figure.name, figure.unit, v.variable, sizes, y)
		s.Note = note
		r.Slopes = append(r.Slopes, s)
	}
}
