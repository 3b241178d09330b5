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
	reloadWait = 4 * time.Second
	// busyMost is the share of the processors over which a point is marked: what waits for a processor is in its times.
	busyMost = 0.8
)

// variation is a figure to vary.
type variation struct {
	name    string // as the flag names it
	varied  string // what X counts
	x       []float64
	size    func(base Size, x float64) Size
	changes func(x float64) float64 // a second
	reloads bool                    // settings are changed as well
	burst   bool                    // at the last point a zone is lost and comes back as well
}

// baseSize is what is held where nothing else is said.
var baseSize = Size{FleetDimensions: FleetDimensions{Balancers: Balancers, Upstreams: 1000, Zones: 7, Classes: 20, Tenants: 100, MaxDiscoveryInterval: 10 * time.Second},
	Hollow: 40, Machines: 4, Rate: 240}

// releaseRate is the changes a second of a release that replaces all upstreams within an hour: three for each.
const releaseRate = 3 * Upstreams / 3600.0

func held(rate float64) func(float64) float64 { return func(float64) float64 { return rate } }

// variations are the slopes, in the order in which they are run.
var variations = []variation{
	{name: "upstreams", varied: "upstreams", x: []float64{1750, 3500, 7000, Upstreams}, changes: held(2), reloads: true,
		size: func(s Size, x float64) Size { s.Upstreams, s.Hollow = int(x), 16; return s }},
	{name: "balancers", varied: "hollow balancers", x: []float64{50, 100, 200, 400}, changes: held(2),
		size: func(s Size, x float64) Size { s.Hollow = int(x); return s }},
	{name: "tenants", varied: "tenants", x: []float64{Tenants / 8, Tenants / 4, Tenants / 2, Tenants}, changes: held(2), reloads: true,
		size: func(s Size, x float64) Size { s.Tenants, s.Hollow = int(x), 8; return s }},
	{name: "classes", varied: "classes", x: []float64{Classes / 8, Classes / 4, Classes / 2, Classes}, changes: held(2), reloads: true,
		size: func(s Size, x float64) Size { s.Classes, s.Hollow = int(x), 8; return s }},
	{name: "changes", varied: "changes a second", x: []float64{releaseRate / 8, releaseRate / 4, releaseRate / 2, releaseRate},
		size: func(s Size, _ float64) Size { s.Upstreams, s.Hollow = Upstreams, 8; return s }, changes: func(x float64) float64 { return x }, burst: true},
}

// Point is what was measured at one point of a slope.
type Point struct {
	X       float64     `json:"x"`
	Size    Size        `json:"size"`
	Start   float64     `json:"start_cpu_ms"` // processor time of a hollow balancer's start, until the fleet had settled
	Rest    ResourceUse `json:"rest"`
	Changes float64     `json:"changes_per_s"`
	Busy    ResourceUse `json:"busy"` // while the list changed
	InForce InForce     `json:"in_force"`
	PerList float64     `json:"cpu_us_per_change"` // of a hollow balancer, over what it spends at rest
	// Reloads are the settings' changes. ReloadCPU is a hollow balancer's processor time for one, over what it spends at rest.
	Reloads   []Reload `json:"reloads,omitempty"`
	ReloadCPU float64  `json:"reload_cpu_ms"`
	Bursts    []Burst  `json:"bursts,omitempty"`
	Loaded    bool     `json:"loaded"` // the processors were the bound: times are too long
}

// Burst is many upstreams that change at once, in one revision.
type Burst struct {
	Name    string  `json:"name"`
	CPU     float64 `json:"cpu_ms"` // of a hollow balancer, over what it spends at rest
	In      float64 `json:"in_kb"`  // to one balancer, with heads
	InForce InForce `json:"in_force"`
}

// Varied is a slope's points, and the slopes of each figure over them.
type Varied struct {
	Name   string  `json:"name"`
	Points []Point `json:"points"`
	Slopes []Slope `json:"slopes"`
}

// point measures one point, each phase for span.
func (r *Run) point(v variation, x float64, span time.Duration) (p Point, err error) {
	p = Point{X: x, Size: v.size(r.base, x), Changes: v.changes(x)}
	p.Size.Real = 0
	f, err := newFleet(p.Size, r.kids)
	if err != nil {
		return p, err
	}
	defer f.close()
	if err := r.failure(); err != nil {
		return p, err
	}
	settled, err := f.readUsage(true)
	if err != nil {
		return p, err
	}
	for _, u := range settled.hollow {
		p.Start += microseconds(u.CPU) / 1000 / float64(p.Size.Hollow)
	}
	a, err := f.readUsage(false) // without the collection before
	if err != nil {
		return p, err
	}
	if _, err = f.releaseAtRate(0, span); err != nil {
		return p, err
	}
	b, err := f.readUsage(true)
	if err != nil {
		return p, err
	}
	p.Rest = f.resourceUse(a, b)
	if a, err = f.readUsage(false); err != nil {
		return p, err
	}
	made, err := f.releaseAtRate(p.Changes, span)
	if err != nil {
		return p, err
	}
	if p.InForce, err = f.awaitInForce(made, inForceTimeout); err != nil {
		return p, err
	}
	if b, err = f.readUsage(true); err != nil {
		return p, err
	}
	p.Busy = f.resourceUse(a, b)
	if n := float64(len(made)); n > 0 {
		p.PerList = (p.Busy.HollowCPU - p.Rest.HollowCPU) * p.Busy.Seconds / n
	}
	busy := func(s ResourceUse) float64 { return s.HollowCores + s.DiscoveryCPU/1e6 + s.DriverCores + s.OtherCores }
	p.Loaded = max(busy(p.Rest), busy(p.Busy)) > busyMost*float64(r.processors)
	if v.burst && x == v.x[len(v.x)-1] {
		for _, b := range []struct{ name, method string }{{"a zone lost", "Discovery.Lose"}, {"the zone back, cold", "Discovery.Regain"}} {
			if err := r.burst(f, &p, b.name, b.method); err != nil {
				return p, err
			}
		}
	}
	if !v.reloads {
		return p, r.failure()
	}
	return p, r.reloads(f, &p)
}

// burst measures what a zone costs that goes or comes back at once.
func (r *Run) burst(f *fleet, p *Point, name, method string) error {
	if err := f.awaitSettled(); err != nil {
		return err
	}
	a, err := f.readUsage(false)
	if err != nil {
		return err
	}
	var made RevisionTime
	if err := f.discovery.call(method, Zone{Name: zoneName(lostZone)}, &made); err != nil {
		return err
	}
	b := Burst{Name: name}
	if b.InForce, err = f.awaitInForce([]RevisionTime{made}, inForceTimeout); err != nil {
		return err
	}
	if err := f.awaitSettled(); err != nil {
		return err
	}
	c, err := f.readUsage(false)
	if err != nil {
		return err
	}
	s := f.resourceUse(a, c)
	b.CPU, b.In = (s.HollowCPU-p.Rest.HollowCPU)*s.Seconds/1000, s.In*s.Seconds/1000
	p.Bursts = append(p.Bursts, b)
	return r.failure()
}

// reloads changes the settings some times and measures what each costs.
func (r *Run) reloads(f *fleet, p *Point) error {
	for range reloadsPerPoint {
		a, err := f.readUsage(false)
		if err != nil {
			return err
		}
		x, err := f.reload(reloadWait)
		if err != nil {
			return err
		}
		b, err := f.readUsage(false)
		if err != nil {
			return err
		}
		s := f.resourceUse(a, b)
		p.Reloads = append(p.Reloads, x)
		p.ReloadCPU += (s.HollowCPU - p.Rest.HollowCPU) * s.Seconds / 1000 / reloadsPerPoint
	}
	return r.failure()
}

// vary takes all points of a slope.
func (r *Run) vary(v variation, span time.Duration) (Varied, error) {
	x := Varied{Name: v.name}
	for _, at := range v.x {
		r.progress("slope %s: %s = %.4g", v.name, v.varied, at)
		p, err := r.point(v, at, span)
		if err != nil {
			return x, fmt.Errorf("slope %s at %.4g: %w", v.name, at, err)
		}
		x.Points = append(x.Points, p)
		r.progress("  at rest %.0f us/s of a core, %.2f MB live; %.3g changes/s: %.0f us a change, %.0f B/s in, in force p99 %.0f ms, last %.0f, missing %d",
			p.Rest.HollowCPU, p.Rest.HollowHeap, p.Changes, p.PerList, p.Busy.In, p.InForce.P99, p.InForce.Last, p.InForce.Missing)
	}
	x.fit(v)
	return x, nil
}

// figures are what is fitted over a slope's points.
var figures = []struct {
	name, unit string
	reload     bool
	of         func(p Point) float64
}{
	{"control at rest", "us of a core a second", false, func(p Point) float64 { return p.Rest.HollowCPU }},
	{"control while the list changes", "us of a core a second", false, func(p Point) float64 { return p.Busy.HollowCPU }},
	{"one change of the list", "us of a core", false, func(p Point) float64 { return p.PerList }},
	{"live heap", "MB", false, func(p Point) float64 { return p.Rest.HollowHeap }},
	{"resident memory", "MB", false, func(p Point) float64 { return p.Busy.HollowRSS }},
	{"a start", "ms of a core", false, func(p Point) float64 { return p.Start }},
	{"bytes in at rest", "B/s", false, func(p Point) float64 { return p.Rest.In }},
	{"bytes in while the list changes", "B/s", false, func(p Point) float64 { return p.Busy.In }},
	{"bytes out while the list changes", "B/s", false, func(p Point) float64 { return p.Busy.Out }},
	{"change in force, p50", "ms", false, func(p Point) float64 { return p.InForce.P50 }},
	{"change in force, p99", "ms", false, func(p Point) float64 { return p.InForce.P99 }},
	{"change in force, the last balancer", "ms", false, func(p Point) float64 { return p.InForce.Last }},
	{"discovery's processor time while the list changes", "us of a core a second", false, func(p Point) float64 { return p.Busy.DiscoveryCPU }},
	{"discovery's calls while the list changes", "calls/s", false, func(p Point) float64 { return p.Busy.Calls }},
	{"discovery's bytes out while the list changes", "B/s", false, func(p Point) float64 { return p.Busy.DiscoveryOut }},
	{"cores that others used", "cores", false, func(p Point) float64 { return p.Busy.OtherCores }},
	{"a change of the settings", "ms of a core", true, func(p Point) float64 { return p.ReloadCPU }},
}

// fit finds the form of each figure.
func (x *Varied) fit(v variation) {
	for _, g := range figures {
		if g.reload && !v.reloads {
			continue
		}
		var at, y []float64
		note := ""
		for _, p := range x.Points {
			at, y = append(at, p.X), append(y, g.of(p))
			if p.Loaded {
				note += fmt.Sprintf("at %.4g the processors were the bound; ", p.X)
			}
		}
		s := NewSlope(g.name, g.unit, v.varied, at, y)
		s.Note = note
		x.Slopes = append(x.Slopes, s)
	}
}
