package scale

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// This file plays the scenes: what happens on bad days, on a fleet of hollow balancers with real ones and their clients beside
// them. Each tells whether changes were in force everywhere in time, what discovery had to stand, and what the clients saw.

const (
	zoneAway      = 20 * time.Second // how long a zone is lost
	afterwards    = 12 * time.Second // what is watched behind the end of an event
	busiestWindow = time.Second
	machineAway   = 20 * time.Second
	lostZone      = 0
	lostMachine   = 0
)

// sceneSize is a scene's fleet where nothing else is said: before all upstreams, with as many balancers as two cores bear.
var sceneSize = Size{Shape: Shape{Balancers: Balancers, Upstreams: Upstreams, Zones: 7, Classes: 20, Tenants: 1000, AskWithin: 10 * time.Second},
	Hollow: 24, Real: 8, Machines: 4, Rate: 240}

// Scene is what a scene has shown.
type Scene struct {
	Name     string             `json:"name"`
	Size     Size               `json:"size"`
	Programs []string           `json:"programs"` // of the real balancers, which take turns
	Phases   []Phase            `json:"phases"`
	Figures  map[string]float64 `json:"figures,omitempty"` // what this scene alone has
}

// Phase is a part of a scene.
type Phase struct {
	Name    string    `json:"name"`
	Lists   InForce   `json:"lists"`               // changes of the list on the hollow balancers
	Config  InForce   `json:"settings"`            // changes of the settings on the hollow ones
	Served  []InForce `json:"settings_served"`     // on the real ones, until the new class was served, for each program
	Wrong   []Counted `json:"settings_not_served"` // the last statuses where it never was
	Spent   Spent     `json:"spent"`
	Busiest Spent     `json:"busiest_second"` // of discovery: its second with the most calls
	Clients Seen      `json:"clients"`
	Each    []Seen    `json:"clients_by_program"` // of the real balancer that had the request last
}

// scene is a scene to play.
type scene struct {
	name string
	play func(r *Run, f *fleet, x *Scene) error
}

// scenes are in the order in which they are played.
var scenes = []scene{
	{"settings", playSettings},
	{"zone", playZone},
	{"restart", playRestart},
	{"machine", playMachine},
	{"cut", playCut},
}

// scene plays a scene on a fleet of its own.
func (r *Run) scene(s scene) (Scene, error) {
	x := Scene{Name: s.name, Size: r.options.Size.withDefaults(sceneSize), Programs: r.programNames, Figures: map[string]float64{}}
	r.logProgress("scene %s: %d hollow balancers and %d real ones before %d upstreams, %d classes, %d tenants", s.name, x.Size.Hollow,
		x.Size.Real, x.Size.Upstreams, x.Size.Classes, x.Size.Tenants)
	f, err := newFleet(x.Size, r.processes, r.programs...)
	if err != nil {
		return x, err
	}
	defer f.close()
	if _, err := r.phase(f, &x, "before", func(*Phase) ([]Made, error) { return f.play(0, min(r.options.PhaseDuration, 10*time.Second)) }); err != nil {
		return x, err
	}
	return x, s.play(r, f, &x)
}

// phase measures what do does. Changes of the list that it returns have to be in force.
func (r *Run) phase(f *fleet, x *Scene, name string, do func(p *Phase) ([]Made, error)) (Phase, error) {
	p := Phase{Name: name}
	if err := f.forget(); err != nil {
		return p, err
	}
	if f.traffic != nil {
		f.traffic.take() // what was before
	}
	a, err := f.read(false)
	if err != nil {
		return p, err
	}
	stop, busiest := make(chan struct{}), make(chan Spent, 1)
	go func() { busiest <- f.busiest(stop) }()
	made, err := do(&p)
	if err == nil {
		p.Lists, err = f.inForce(made, inForceMost)
	}
	close(stop)
	p.Busiest = <-busiest
	if err != nil {
		return p, err
	}
	b, err := f.read(false)
	if err != nil {
		return p, err
	}
	p.Spent = f.spent(a, b)
	if f.traffic != nil {
		p.Clients, p.Each = f.traffic.take()
	}
	x.Phases = append(x.Phases, p)
	r.logProgress("  %s: lists in force p99 %.0f ms, last %.0f, missing %d of %d; discovery %.0f calls/s, %.0f KB/s; clients %d, not served %d, added p99 %.2f ms",
		name, p.Lists.P99, p.Lists.Last, p.Lists.Missing, p.Lists.Changes, p.Spent.Calls, p.Spent.Written/1000, p.Clients.Requests,
		p.Clients.unserved(), p.Clients.AddedP99)
	return p, r.abortCause()
}

// busiest is discovery's second with the most calls, until stop is closed.
func (f *fleet) busiest(stop <-chan struct{}) Spent {
	var most Spent
	before, err := f.readDiscovery()
	at := time.Now()
	for err == nil {
		select {
		case <-stop:
			return most
		case <-time.After(busiestWindow):
		}
		var now DiscoveryReading
		if now, err = f.readDiscovery(); err != nil {
			break
		}
		then := time.Now()
		s := (&fleet{size: f.size}).spent(reading{at: at, discovery: before}, reading{at: then, discovery: now})
		if s.Calls >= most.Calls {
			most = s
		}
		before, at = now, then
	}
	return most
}

// playSettings changes the settings again and again. On hollow balancers a version is in force once it or a newer one is. On the real ones
// a request of its own class has to be served before the next one comes; the last one has all the time that the users allow.
func playSettings(r *Run, f *fleet, x *Scene) error {
	_, err := r.phase(f, x, fmt.Sprintf("a change of the settings each %v", r.options.SettingsInterval), func(p *Phase) ([]Made, error) {
		real := make([]Delays, len(f.programs))
		for range f.programs {
			p.Wrong = append(p.Wrong, Counted{})
		}
		changes := 0
		for began, last := time.Now(), false; !last; changes++ {
			next := time.Now().Add(r.options.SettingsInterval)
			last = time.Since(began)+r.options.SettingsInterval >= r.options.PhaseDuration
			within := r.options.SettingsInterval - r.options.SettingsInterval/10
			if last { // no other follows it
				within = inForceMost
			}
			c, err := f.reload(within)
			if err != nil {
				return nil, err
			}
			for i, d := range c.served {
				real[i].Micros, real[i].Missing = append(real[i].Micros, d.Micros...), real[i].Missing+d.Missing
				for status, n := range c.Wrong[i] {
					p.Wrong[i][status] += n
				}
			}
			if !last {
				time.Sleep(time.Until(next))
			}
		}
		hollow, err := f.delays("Hollow.SettingsSince", f.told)
		if err != nil {
			return nil, err
		}
		p.Config = summary(changes, hollow)
		r.logProgress("  settings in force on hollow ones p99 %.0f ms, last %.0f, missing %d", p.Config.P99, p.Config.Last, p.Config.Missing)
		for i, d := range real {
			s := summary(changes, d)
			p.Served = append(p.Served, s)
			r.logProgress("  served by real ones of program %d p99 %.0f ms, last %.0f, missing %d %v", i+1, s.P99, s.Last, s.Missing, p.Wrong[i])
		}
		return nil, nil
	})
	return err
}

// playZone loses a zone with its balancers and upstreams, and gets it back, cold.
func playZone(r *Run, f *fleet, x *Scene) error {
	zone := Zone{Name: zoneName(lostZone)}
	hollow := f.pathsOf(func(s Spec) bool { return s.Zone == zone.Name })
	var reals []*realOne
	for _, one := range f.reals {
		if one.spec.Zone == zone.Name {
			reals = append(reals, one)
		}
	}
	x.Figures["balancers lost"] = float64(len(slices.Concat(hollow...)) + len(reals))
	_, err := r.phase(f, x, "zone lost", func(*Phase) ([]Made, error) {
		f.upstreams.down(lostZone)
		for _, one := range reals {
			one.child.cmd.Process.Kill()
		}
		if err := f.tell("Hollow.Stop", hollow); err != nil {
			return nil, err
		}
		var made Made
		if err := f.discovery.call("Discovery.Lose", zone, &made); err != nil {
			return nil, err
		}
		time.Sleep(zoneAway)
		return []Made{made}, nil
	})
	if err != nil {
		return err
	}
	_, err = r.phase(f, x, "zone back, cold", func(*Phase) ([]Made, error) {
		if err := f.upstreams.up(lostZone); err != nil {
			return nil, err
		}
		var made Made
		if err := f.discovery.call("Discovery.Regain", zone, &made); err != nil {
			return nil, err
		}
		for _, one := range reals {
			f.kids.end(one.child)
			if err := f.startReal(one); err != nil {
				return nil, err
			}
		}
		if err := f.tell("Hollow.Start", hollow); err != nil {
			return nil, err
		}
		time.Sleep(afterwards)
		return []Made{made}, nil
	})
	return err
}

// playRestart restarts a tenth of the fleet at once while a change is made.
func playRestart(r *Run, f *fleet, x *Scene) error {
	n := 0
	hollow := f.pathsOf(func(Spec) bool { n++; return n%10 == 1 })
	reals := f.reals[:(len(f.reals)+9)/10]
	x.Figures["balancers restarted"] = float64(len(slices.Concat(hollow...)) + len(reals))
	_, err := r.phase(f, x, "a tenth restarted at once", func(*Phase) ([]Made, error) {
		for _, one := range reals {
			one.child.cmd.Process.Signal(syscall.SIGTERM)
		}
		if err := f.tell("Hollow.Stop", hollow); err != nil {
			return nil, err
		}
		began := time.Now()
		for _, one := range reals {
			f.kids.end(one.child)
			if err := f.startReal(one); err != nil {
				return nil, err
			}
		}
		if err := f.tell("Hollow.Start", hollow); err != nil {
			return nil, err
		}
		var made Made
		if err := f.discovery.call("Discovery.Release", None{}, &made); err != nil {
			return nil, err
		}
		for _, one := range reals {
			if err := one.awaitReady(); err != nil {
				return nil, err
			}
			x.Figures["last real one ready, s"] = max(x.Figures["last real one ready, s"], time.Unix(0, one.readyAt.Load()).Sub(began).Seconds())
		}
		time.Sleep(afterwards)
		return []Made{made}, nil
	})
	return err
}

// playMachine loses one machine of discovery while the list changes, and gets it back.
func playMachine(r *Run, f *fleet, x *Scene) error {
	x.Figures["balancers at the machine"] = float64(len(slices.Concat(f.pathsOf(func(s Spec) bool { return s.Discovery == f.addresses[lostMachine] })...)))
	set := func(m Mode) error {
		return f.discovery.call("Discovery.Set", MachineMode{lostMachine, m}, &None{})
	}
	if _, err := r.phase(f, x, "one machine of discovery silent", func(*Phase) ([]Made, error) {
		if err := set(ModeSilent); err != nil {
			return nil, err
		}
		return f.play(1, machineAway)
	}); err != nil {
		return err
	}
	_, err := r.phase(f, x, "the machine back", func(*Phase) ([]Made, error) {
		if err := set(ModeUp); err != nil {
			return nil, err
		}
		return f.play(1, afterwards)
	})
	return err
}

// playCut cuts discovery off, and gets it back with a change that was made meanwhile.
func playCut(r *Run, f *fleet, x *Scene) error {
	set := func(m Mode) error {
		for i := range f.addresses {
			if err := f.discovery.call("Discovery.Set", MachineMode{i, m}, &None{}); err != nil {
				return err
			}
		}
		return nil
	}
	if _, err := r.phase(f, x, fmt.Sprintf("discovery cut off for %v", r.options.CutDuration), func(*Phase) ([]Made, error) {
		if err := set(ModeSilent); err != nil {
			return nil, err
		}
		_, err := f.play(1, r.options.CutDuration)
		return nil, err
	}); err != nil {
		return err
	}
	_, err := r.phase(f, x, "discovery back", func(*Phase) ([]Made, error) {
		if err := set(ModeUp); err != nil {
			return nil, err
		}
		var made Made
		if err := f.discovery.call("Discovery.Release", None{}, &made); err != nil {
			return nil, err
		}
		time.Sleep(afterwards)
		return []Made{made}, nil
	})
	return err
}

// pathsOf are the files of the hollow balancers that which picks, by process.
func (f *fleet) pathsOf(which func(Spec) bool) [][]string {
	picked := make([][]string, len(f.paths))
	for i, paths := range f.paths {
		for _, path := range paths {
			if which(f.specs[path]) {
				picked[i] = append(picked[i], path)
			}
		}
	}
	return picked
}

// tell calls a method of each hollow process with its part of paths.
func (f *fleet) tell(method string, paths [][]string) error {
	for i, c := range f.hollow {
		if len(paths[i]) > 0 {
			if err := c.call(method, paths[i], &None{}); err != nil {
				return err
			}
		}
	}
	return nil
}
