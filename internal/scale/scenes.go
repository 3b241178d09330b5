package scale

import (
	"fmt"
	"slices"
	"syscall"
	"time"
)

// This file plays scenes, such as a lost zone or an unreachable discovery, on a fleet of hollow balancers and
// real balancers with clients. A scene measures how long changes took to be in force, the load on discovery
// and what clients saw.

const (
	zoneOutage       = 20 * time.Second // how long the zone is lost
	recoveryTime     = 12 * time.Second // measured after the end of an outage or a restart
	busiestWindow    = time.Second      // interval at which busiestSecond samples discovery
	serverSilentTime = 20 * time.Second // how long the discovery server is silent
	lostZone         = 0                // index of the zone that is lost
	silentServer     = 0                // index of the discovery server that is silent
)

// sceneSize is the default size of a scene's fleet: all upstreams of the target fleet, but only as many
// balancers as two cores can run.
var sceneSize = Size{FleetDimensions: FleetDimensions{Balancers: TargetBalancers, Upstreams: TargetUpstreams,
	Zones: 7, Classes: 20, Tenants: 1000, MaxDiscoveryInterval: 10 * time.Second},
	Hollow: 24, Real: 8, DiscoveryServers: 4, Rate: 240}

// Scene is the result of a scene.
type Scene struct {
	Name     string             `json:"name"`
	Size     Size               `json:"size"`
	Programs []string           `json:"programs"` // names of the programs of real balancers, assigned in rotation
	Phases   []Phase            `json:"phases"`
	Figures  map[string]float64 `json:"figures,omitempty"` // specific to this scene, by name
}

// Phase is the result of one phase of a scene.
type Phase struct {
	Name             string         `json:"name"`
	ListInForce      InForce        `json:"lists"`               // changes of the list on hollow balancers
	SettingsInForce  InForce        `json:"settings"`            // changes of the settings on hollow balancers
	SettingsServed   []InForce      `json:"settings_served"`     // until real balancers served the new class, by program
	NotServed        []StatusCounts `json:"settings_not_served"` // last status on each balancer that never did, by program
	ResourceUse      ResourceUse    `json:"spent"`
	BusiestSecond    ResourceUse    `json:"busiest_second"` // the second with the most calls to discovery
	Clients          ClientStats    `json:"clients"`
	ClientsByProgram []ClientStats  `json:"clients_by_program"` // by program of the last balancer tried
}

// scene is the name of a scene and the function that plays it.
type scene struct {
	name string
	play func(r *Run, f *fleet, result *Scene) error
}

// scenes lists all scenes in the order in which they are played.
var scenes = []scene{
	{"settings", playSettings},
	{"zone", playZone},
	{"restart", playRestart},
	{"machine", playSilentServer},
	{"cut", playCut},
}

// playScene plays a scene on a new fleet.
func (r *Run) playScene(s scene) (Scene, error) {
	result := Scene{Name: s.name, Size: r.options.Size.withDefaults(sceneSize), Programs: r.programNames,
		Figures: map[string]float64{}}
	r.logProgress("scene %s: starting %d hollow and %d real balancers with %d upstreams, %d classes, %d tenants",
		s.name, result.Size.Hollow, result.Size.Real, result.Size.Upstreams, result.Size.Classes, result.Size.Tenants)
	f, err := newFleet(result.Size, r.processes, r.programs...)
	if err != nil {
		return result, err
	}
	defer f.close()
	if _, err := r.measurePhase(f, &result, "before", func(*Phase) ([]RevisionTime, error) {
		return f.releaseAtRate(0, min(r.options.PhaseDuration, 10*time.Second))
	}); err != nil {
		return result, err
	}
	return result, s.play(r, f, &result)
}

// measurePhase measures a phase while do runs and until the revisions that do returns are in force or
// inForceTimeout is over, and adds the phase to result.
func (r *Run) measurePhase(f *fleet, result *Scene, name string,
	do func(p *Phase) ([]RevisionTime, error)) (Phase, error) {
	p := Phase{Name: name}
	if err := f.forgetChanges(); err != nil {
		return p, err
	}
	if f.traffic != nil {
		f.traffic.takeStats() // drop the requests before this phase
	}
	before, err := f.readUsage(false)
	if err != nil {
		return p, err
	}
	stop, busiestSecond := make(chan struct{}), make(chan ResourceUse, 1)
	go func() { busiestSecond <- f.busiestSecond(stop) }()
	revisions, err := do(&p)
	if err == nil {
		p.ListInForce, err = f.awaitInForce(revisions, inForceTimeout)
	}
	close(stop)
	p.BusiestSecond = <-busiestSecond
	if err != nil {
		return p, err
	}
	after, err := f.readUsage(false)
	if err != nil {
		return p, err
	}
	p.ResourceUse = f.resourceUse(before, after)
	if f.traffic != nil {
		p.Clients, p.ClientsByProgram = f.traffic.takeStats()
	}
	result.Phases = append(result.Phases, p)
	r.logProgress(
		"  %s: lists in force p99 %.0f ms, last %.0f ms, missing %d of %d; discovery %.0f calls/s, %.0f KB/s; clients %d, not served %d, added p99 %.2f ms",
		name, p.ListInForce.P99, p.ListInForce.Last, p.ListInForce.Missing, p.ListInForce.Changes, p.ResourceUse.Calls,
		p.ResourceUse.DiscoveryOut/1000, p.Clients.Requests, p.Clients.notServed(), p.Clients.AddedP99)
	return p, r.abortCause()
}

// busiestSecond samples discovery until stop is closed and returns the second with the most calls.
func (f *fleet) busiestSecond(stop <-chan struct{}) ResourceUse {
	var busiest ResourceUse
	before, err := f.readDiscovery()
	at := time.Now()
	for err == nil {
		select {
		case <-stop:
			return busiest
		case <-time.After(busiestWindow):
		}
		var now DiscoveryReading
		if now, err = f.readDiscovery(); err != nil {
			break
		}
		nowAt := time.Now()
		use := (&fleet{size: f.size}).resourceUse(usageReading{at: at, discovery: before},
			usageReading{at: nowAt, discovery: now})
		if use.Calls >= busiest.Calls {
			busiest = use
		}
		before, at = now, nowAt
	}
	return busiest
}

// playSettings changes the settings repeatedly. On hollow balancers a version counts as in force once it or a
// newer one is. Real balancers have to serve a request of the version's own class within nine tenths of the
// interval between versions, or within inForceTimeout for the last one.
func playSettings(r *Run, f *fleet, result *Scene) error {
	_, err := r.measurePhase(f, result, fmt.Sprintf("a change of the settings each %v", r.options.SettingsInterval),
		func(p *Phase) ([]RevisionTime, error) {
			realDelays := make([]Delays, len(f.programs))
			for range f.programs {
				p.NotServed = append(p.NotServed, StatusCounts{})
			}
			changes := 0
			for start, last := time.Now(), false; !last; changes++ {
				next := time.Now().Add(r.options.SettingsInterval)
				last = time.Since(start)+r.options.SettingsInterval >= r.options.PhaseDuration
				timeout := r.options.SettingsInterval - r.options.SettingsInterval/10
				if last {
					timeout = inForceTimeout
				}
				change, err := f.reload(timeout)
				if err != nil {
					return nil, err
				}
				for i, d := range change.servedDelays {
					realDelays[i].Micros, realDelays[i].Missing = append(realDelays[i].Micros, d.Micros...),
						realDelays[i].Missing+d.Missing
					for status, n := range change.NotServed[i] {
						p.NotServed[i][status] += n
					}
				}
				if !last {
					time.Sleep(time.Until(next))
				}
			}
			hollowDelays, err := f.collectDelays("Hollow.SettingsSince", f.delivered)
			if err != nil {
				return nil, err
			}
			p.SettingsInForce = summarise(changes, hollowDelays)
			r.logProgress("  settings in force on hollow balancers: p99 %.0f ms, last %.0f ms, missing %d",
				p.SettingsInForce.P99, p.SettingsInForce.Last, p.SettingsInForce.Missing)
			for i, d := range realDelays {
				s := summarise(changes, d)
				p.SettingsServed = append(p.SettingsServed, s)
				r.logProgress("  new class served by real balancers of program %d: p99 %.0f ms, last %.0f ms, missing %d %v",
					i+1, s.P99, s.Last, s.Missing, p.NotServed[i])
			}
			return nil, nil
		})
	return err
}

// playZone stops a zone with its balancers and upstreams, and starts it again.
func playZone(r *Run, f *fleet, result *Scene) error {
	zone := Zone{Name: zoneName(lostZone)}
	paths := f.selectPaths(func(s BalancerSpec) bool { return s.Zone == zone.Name })
	var realBalancers []*realBalancer
	for _, b := range f.realBalancers {
		if b.spec.Zone == zone.Name {
			realBalancers = append(realBalancers, b)
		}
	}
	result.Figures["balancers lost"] = float64(len(slices.Concat(paths...)) + len(realBalancers))
	_, err := r.measurePhase(f, result, "zone lost", func(*Phase) ([]RevisionTime, error) {
		f.upstreamServers.stopZone(lostZone)
		for _, b := range realBalancers {
			b.child.cmd.Process.Kill()
		}
		if err := f.callHollow("Hollow.Stop", paths); err != nil {
			return nil, err
		}
		var revision RevisionTime
		if err := f.discovery.call("Discovery.Lose", zone, &revision); err != nil {
			return nil, err
		}
		time.Sleep(zoneOutage)
		return []RevisionTime{revision}, nil
	})
	if err != nil {
		return err
	}
	_, err = r.measurePhase(f, result, "zone back, cold", func(*Phase) ([]RevisionTime, error) {
		if err := f.upstreamServers.startZone(lostZone); err != nil {
			return nil, err
		}
		var revision RevisionTime
		if err := f.discovery.call("Discovery.Regain", zone, &revision); err != nil {
			return nil, err
		}
		for _, b := range realBalancers {
			f.processes.stop(b.child)
			if err := f.startRealBalancer(b); err != nil {
				return nil, err
			}
		}
		if err := f.callHollow("Hollow.Start", paths); err != nil {
			return nil, err
		}
		time.Sleep(recoveryTime)
		return []RevisionTime{revision}, nil
	})
	return err
}

// playRestart restarts a tenth of the balancers at once and makes one change of the list.
func playRestart(r *Run, f *fleet, result *Scene) error {
	n := 0
	paths := f.selectPaths(func(BalancerSpec) bool { n++; return n%10 == 1 })
	realBalancers := f.realBalancers[:(len(f.realBalancers)+9)/10]
	result.Figures["balancers restarted"] = float64(len(slices.Concat(paths...)) + len(realBalancers))
	_, err := r.measurePhase(f, result, "a tenth restarted at once", func(*Phase) ([]RevisionTime, error) {
		for _, b := range realBalancers {
			b.child.cmd.Process.Signal(syscall.SIGTERM)
		}
		if err := f.callHollow("Hollow.Stop", paths); err != nil {
			return nil, err
		}
		start := time.Now()
		for _, b := range realBalancers {
			f.processes.stop(b.child)
			if err := f.startRealBalancer(b); err != nil {
				return nil, err
			}
		}
		if err := f.callHollow("Hollow.Start", paths); err != nil {
			return nil, err
		}
		var revision RevisionTime
		if err := f.discovery.call("Discovery.Release", Empty{}, &revision); err != nil {
			return nil, err
		}
		for _, b := range realBalancers {
			if err := b.awaitReady(); err != nil {
				return nil, err
			}
			result.Figures["last real one ready, s"] = max(result.Figures["last real one ready, s"],
				time.Unix(0, b.readyAt.Load()).Sub(start).Seconds())
		}
		time.Sleep(recoveryTime)
		return []RevisionTime{revision}, nil
	})
	return err
}

// playSilentServer makes one discovery server silent while the list changes, and brings it back.
func playSilentServer(r *Run, f *fleet, result *Scene) error {
	result.Figures["balancers at the machine"] = float64(len(slices.Concat(f.selectPaths(func(s BalancerSpec) bool {
		return s.Discovery == f.discoveryAddresses[silentServer]
	})...)))
	setMode := func(mode Mode) error {
		return f.discovery.call("Discovery.Set", ServerMode{silentServer, mode}, &Empty{})
	}
	if _, err := r.measurePhase(f, result, "one machine of discovery silent", func(*Phase) ([]RevisionTime, error) {
		if err := setMode(ModeSilent); err != nil {
			return nil, err
		}
		return f.releaseAtRate(1, serverSilentTime)
	}); err != nil {
		return err
	}
	_, err := r.measurePhase(f, result, "the machine back", func(*Phase) ([]RevisionTime, error) {
		if err := setMode(ModeUp); err != nil {
			return nil, err
		}
		return f.releaseAtRate(1, recoveryTime)
	})
	return err
}

// playCut makes all discovery servers silent while the list changes, brings them back and makes another
// change.
func playCut(r *Run, f *fleet, result *Scene) error {
	setMode := func(mode Mode) error {
		for i := range f.discoveryAddresses {
			if err := f.discovery.call("Discovery.Set", ServerMode{i, mode}, &Empty{}); err != nil {
				return err
			}
		}
		return nil
	}
	if _, err := r.measurePhase(f, result, fmt.Sprintf("discovery cut off for %v", r.options.CutDuration),
		func(*Phase) ([]RevisionTime, error) {
			if err := setMode(ModeSilent); err != nil {
				return nil, err
			}
			_, err := f.releaseAtRate(1, r.options.CutDuration)
			return nil, err
		}); err != nil {
		return err
	}
	_, err := r.measurePhase(f, result, "discovery back", func(*Phase) ([]RevisionTime, error) {
		if err := setMode(ModeUp); err != nil {
			return nil, err
		}
		var revision RevisionTime
		if err := f.discovery.call("Discovery.Release", Empty{}, &revision); err != nil {
			return nil, err
		}
		time.Sleep(recoveryTime)
		return []RevisionTime{revision}, nil
	})
	return err
}

// selectPaths returns the configuration files of the matching hollow balancers by process.
func (f *fleet) selectPaths(matches func(BalancerSpec) bool) [][]string {
	selected := make([][]string, len(f.hollowPaths))
	for i, hollowPaths := range f.hollowPaths {
		for _, path := range hollowPaths {
			if matches(f.specs[path]) {
				selected[i] = append(selected[i], path)
			}
		}
	}
	return selected
}

// callHollow calls an RPC method on each hollow process with its paths, and skips processes without any.
func (f *fleet) callHollow(method string, paths [][]string) error {
	for i, c := range f.hollow {
		if len(paths[i]) > 0 {
			if err := c.call(method, paths[i], &Empty{}); err != nil {
				return err
			}
		}
	}
	return nil
}
