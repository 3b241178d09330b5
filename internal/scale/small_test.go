package scale

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// These tests run the stand-in discovery and hollow balancers in the process of the test. They check counts
// and bytes and how these grow with the fleet, but no times.

const smallFleetTimeout = 60 * time.Second // for each condition to become true

// smallFleet is a stand-in discovery and hollow balancers in the process of the test.
type smallFleet struct {
	t                  *testing.T
	discovery          Discovery
	discoveryAddresses []string
	hollow             Hollow
	hashes             map[string]string // of the configuration files, by path
	paths              []string          // configuration files
	dimensions         FleetDimensions
	version            int // of the settings
}

// newSmallFleet starts a fleet and waits until each balancer waits in a watch.
func newSmallFleet(t *testing.T, balancers, upstreams int) *smallFleet {
	t.Helper()
	s := &smallFleet{t: t, dimensions: FleetDimensions{Balancers: balancers, Upstreams: upstreams, Zones: 3,
		Classes: 4, Tenants: 10, MaxDiscoveryInterval: 2 * time.Second}}
	t.Cleanup(s.discovery.Stop)
	s.must(s.discovery.Start(DiscoveryConfig{DiscoveryServers: 2, Upstreams: upstreams, Zones: 3,
		UpstreamAddresses: []string{"127.0.0.1:1"}}, &s.discoveryAddresses))
	dir := t.TempDir()
	for i := range balancers {
		s.paths = append(s.paths, filepath.Join(dir, fmt.Sprintf("b%d.json", i)))
	}
	s.configure(0)
	t.Cleanup(s.hollow.StopAll)
	s.must(s.hollow.Start(s.paths, nil))
	s.awaitSettled()
	return s
}

// must fails the test on an error.
func (s *smallFleet) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// configure writes the next version of the settings for all balancers, with the given discovery server.
func (s *smallFleet) configure(server int) {
	s.t.Helper()
	var known Listing
	s.must(s.discovery.Listing(Empty{}, &known))
	s.version++
	template, err := newSettingsTemplate(s.dimensions, s.version, known)
	s.must(err)
	s.hashes = map[string]string{}
	for i, path := range s.paths {
		s.hashes[path], err = template.write(path, BalancerSpec{Name: fmt.Sprintf("b%d", i), Listen: "127.0.0.1:1",
			Discovery: s.discoveryAddresses[server], Zone: zoneName(i % 3), Rank: i, MemoryMB: 64})
		s.must(err)
	}
}

// await waits until met returns true and fails the test after smallFleetTimeout.
func (s *smallFleet) await(what string, met func() bool) {
	s.t.Helper()
	for start := time.Now(); !met(); time.Sleep(2 * time.Millisecond) {
		if time.Since(start) > smallFleetTimeout {
			s.t.Fatalf("%s: not true within %v", what, smallFleetTimeout)
		}
	}
}

// awaitSettled waits until each balancer waits in a watch, so that it has the current revision.
func (s *smallFleet) awaitSettled() {
	s.t.Helper()
	s.await("all balancers wait in a watch",
		func() bool { return s.discovery.counts.waiting.Load() == int64(len(s.paths)) })
}

// applyChange makes a change, waits until it is in force everywhere and returns the counts of discovery for
// it.
func (s *smallFleet) applyChange(makeChange func(*RevisionTime) error) Counts {
	s.t.Helper()
	before := s.discovery.counts.snapshot()
	var revision RevisionTime
	s.must(makeChange(&revision))
	s.await(fmt.Sprintf("revision %d in force everywhere", revision.Revision), func() bool {
		var d Delays
		s.must(s.hollow.Since([]RevisionTime{revision}, &d))
		return d.Missing == 0 && len(d.Micros) == len(s.paths)
	})
	s.awaitSettled()
	return s.discovery.counts.snapshot().sub(before)
}

// release makes the next change of a rolling release.
func (s *smallFleet) release(revision *RevisionTime) error {
	return s.discovery.Release(Empty{}, revision)
}

// want reports an error if got differs from want.
func want(t *testing.T, what string, got, want int64) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d, want %d", what, got, want)
	}
}

// A change of the list costs each balancer one response with one entry, whatever the number of upstreams.
// Discovery sends as many responses as there are balancers.
func TestCostOfListChange(t *testing.T) {
	var upstreams, bytes, balancers, responses []float64
	for _, n := range []int{60, 120, 240, 480} {
		s := newSmallFleet(t, 12, n)
		for i := range 3 { // drain, remove, replace
			c := s.applyChange(s.release)
			want(t, fmt.Sprintf("%d upstreams, change %d: responses", n, i), c.Updates, 12)
			want(t, "entries", c.Entries, 12)
			want(t, "full lists", c.FullLists, 0)
			want(t, "failed calls", c.Failed, 0)
			if i == 0 {
				upstreams, bytes = append(upstreams, float64(n)), append(bytes, float64(c.BodyBytes)/12)
			}
		}
		s.hollow.StopAll()
		s.await("watches of stopped balancers end", func() bool { return s.discovery.counts.waiting.Load() == 0 })
	}
	if f := FitPoints(upstreams, bytes); f.Form != Constant || f.WorstError > 0.02 {
		t.Errorf("bytes per change for %v upstreams: %v, %v; want a constant", upstreams, bytes, f)
	}
	for _, n := range []int{6, 12, 24, 48} {
		s := newSmallFleet(t, n, 60)
		c := s.applyChange(s.release)
		balancers, responses = append(balancers, float64(n)), append(responses, float64(c.Updates))
		want(t, fmt.Sprintf("%d balancers: entries", n), c.Entries, int64(n))
		s.hollow.StopAll()
	}
	if f := FitPoints(balancers, responses); f.Form != Linear || f.WorstError > 0.001 || f.At(1) > 1.001 {
		t.Errorf("responses per change for %v balancers: %v, %v; want one for each balancer", balancers, responses, f)
	}
}

// The loss of a zone, and its return, cost each balancer one response with an entry for each upstream of the
// zone.
func TestCostOfZoneLossAndReturn(t *testing.T) {
	s := newSmallFleet(t, 12, 60)
	c := s.applyChange(func(m *RevisionTime) error { return s.discovery.Lose(Zone{Name: zoneName(1)}, m) })
	want(t, "zone lost: responses", c.Updates, 12)
	want(t, "zone lost: entries", c.Entries, 12*20)
	c = s.applyChange(func(m *RevisionTime) error { return s.discovery.Regain(Zone{Name: zoneName(1)}, m) })
	want(t, "zone back: responses", c.Updates, 12)
	want(t, "zone back: entries", c.Entries, 12*20)
	var list Listing
	s.must(s.discovery.Listing(Empty{}, &list))
	want(t, "upstreams after the return", int64(len(list.Members)), 60)
}

// After a reload with another address of discovery each balancer gets the full list from there once, and then
// only changes.
func TestCostOfMovedDiscovery(t *testing.T) {
	const balancers, upstreams = 12, 60
	s := newSmallFleet(t, balancers, upstreams)
	for i, server := range []int{1, 0} {
		before := s.discovery.counts.snapshot()
		s.configure(server)
		s.must(s.hollow.Hangup(s.paths, nil))
		s.await("all balancers wait at the new server", func() bool {
			return s.discovery.servers[server].waiting.Load() == balancers && s.discovery.servers[1-server].waiting.Load() == 0
		})
		c := s.discovery.counts.snapshot().sub(before)
		want(t, fmt.Sprintf("reload %d: full lists", i), c.FullLists, balancers)
		want(t, "entries", c.Entries, balancers*upstreams)
		if each := float64(c.BodyBytes) / float64(c.Entries); each > 200 {
			t.Errorf("reload %d: %.0f bytes per entry, want at most 200", i, each)
		}
		c = s.applyChange(s.release)
		want(t, "responses for a change after the move", c.Updates, balancers)
	}
}

// A balancer that restarts with an old list in its configuration gets only the changes since, not the full
// list.
func TestCostOfRestart(t *testing.T) {
	s := newSmallFleet(t, 12, 60)
	for range 3 {
		s.applyChange(s.release)
	}
	s.must(s.hollow.Stop(s.paths[:2], nil))
	s.await("two balancers have stopped", func() bool { return s.discovery.counts.waiting.Load() == 10 })
	before := s.discovery.counts.snapshot()
	s.must(s.hollow.Start(s.paths[:2], nil))
	s.awaitSettled()
	c := s.discovery.counts.snapshot().sub(before)
	want(t, "responses", c.Updates, 2)
	want(t, "entries: one upstream removed, one added", c.Entries, 2*2)
	want(t, "full lists", c.FullLists, 0)
	want(t, "responses for a change after the restart", s.applyChange(s.release).Updates, 12)
}

// Changes of the settings come into force on every balancer without a response from discovery.
func TestCostOfSettingsChange(t *testing.T) {
	s := newSmallFleet(t, 12, 60)
	before := s.discovery.counts.snapshot()
	for range 2 {
		s.configure(0)
		s.must(s.hollow.Hangup(s.paths, nil))
		s.await("settings in force everywhere", func() bool {
			var d Delays
			s.must(s.hollow.SettingsSince([]SettingsDelivery{{time.Now().UnixNano(), s.hashes}}, &d))
			return d.Missing == 0 && len(d.Micros) == len(s.paths)
		})
	}
	c := s.discovery.counts.snapshot().sub(before)
	want(t, "responses", c.Updates, 0)
	want(t, "full lists", c.FullLists, 0)
	want(t, "entries", c.Entries, 0)
	want(t, "responses for a change after the reloads", s.applyChange(s.release).Updates, 12)
}
