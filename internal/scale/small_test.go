package scale

import (
	"fmt"
	"path/filepath"
	"testing"
	"time"
)

// This file is the scale run's small form, for every change of the code: the stand-in discovery and hollow balancers in the
// test's own process. It asserts counts, bytes and how they grow, never times: what is waited for is bounded by patience alone.

const patience = 60 * time.Second

// small is a small fleet in this process.
type small struct {
	t         *testing.T
	discovery Discovery
	addresses []string
	hollow    Hollow
	hashes    map[string]string
	paths     []string
	shape     Shape
	version   int
}

// newSmall starts balancers and waits until each waits in a watch.
func newSmall(t *testing.T, balancers, upstreams int) *small {
	t.Helper()
	s := &small{t: t, shape: Shape{Balancers: balancers, Upstreams: upstreams, Zones: 3, Classes: 4, Tenants: 10, AskWithin: 2 * time.Second}}
	t.Cleanup(s.discovery.Stop)
	s.must(s.discovery.Start(DiscoveryStart{Machines: 2, Upstreams: upstreams, Zones: 3, Addresses: []string{"127.0.0.1:1"}}, &s.addresses))
	dir := t.TempDir()
	for i := range balancers {
		s.paths = append(s.paths, filepath.Join(dir, fmt.Sprintf("b%d.json", i)))
	}
	s.configure(0)
	t.Cleanup(s.hollow.StopAll)
	s.must(s.hollow.Start(s.paths, nil))
	s.settle()
	return s
}

func (s *small) must(err error) {
	s.t.Helper()
	if err != nil {
		s.t.Fatal(err)
	}
}

// configure writes the next version of the settings, with a machine of discovery.
func (s *small) configure(machine int) {
	s.t.Helper()
	var known Listing
	s.must(s.discovery.Listing(None{}, &known))
	s.version++
	x, err := newSettings(s.shape, s.version, known)
	s.must(err)
	s.hashes = map[string]string{}
	for i, path := range s.paths {
		s.hashes[path], err = x.write(path, Spec{Name: fmt.Sprintf("b%d", i), Listen: "127.0.0.1:1", Discovery: s.addresses[machine],
			Zone: zoneName(i % 3), Rank: i, MemoryMB: 64})
		s.must(err)
	}
}

// await waits for a condition.
func (s *small) await(what string, met func() bool) {
	s.t.Helper()
	for began := time.Now(); !met(); time.Sleep(2 * time.Millisecond) {
		if time.Since(began) > patience {
			s.t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// settle waits until each balancer waits in a watch of the newest revision.
func (s *small) settle() {
	s.t.Helper()
	s.await("all wait in a watch", func() bool { return s.discovery.counts.waiting.Load() == int64(len(s.paths)) })
}

// change makes a change and returns what discovery was asked and told until it was in force everywhere.
func (s *small) change(do func(*Made) error) Counts {
	s.t.Helper()
	before := s.discovery.counts.read()
	var made Made
	s.must(do(&made))
	s.await(fmt.Sprintf("revision %d in force everywhere", made.Revision), func() bool {
		var d Delays
		s.must(s.hollow.Since([]Made{made}, &d))
		return d.Missing == 0 && len(d.Micros) == len(s.paths)
	})
	s.settle()
	return s.discovery.counts.read().sub(before)
}

func (s *small) release(made *Made) error { return s.discovery.Release(None{}, made) }

func want(t *testing.T, what string, got, want int64) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d, want %d", what, got, want)
	}
}

// One change of the list costs each balancer one answer with one entry, whatever the number of upstreams, and discovery as
// many as there are balancers.
func TestWorkOfOneChange(t *testing.T) {
	var upstreams, bytes, balancers, answers []float64
	for _, n := range []int{60, 120, 240, 480} {
		s := newSmall(t, 12, n)
		for i := range 3 { // drain, remove, replace
			c := s.change(s.release)
			want(t, fmt.Sprintf("%d upstreams, change %d: answers", n, i), c.News, 12)
			want(t, "entries", c.Entries, 12)
			want(t, "whole lists", c.Whole, 0)
			want(t, "failed calls", c.Failed, 0)
			if i == 0 {
				upstreams, bytes = append(upstreams, float64(n)), append(bytes, float64(c.Body)/12)
			}
		}
		s.hollow.StopAll()
		s.await("watches end with their balancers", func() bool { return s.discovery.counts.waiting.Load() == 0 })
	}
	if f := FitPoints(upstreams, bytes); f.Form != Constant || f.WorstError > 0.02 {
		t.Errorf("bytes of a change over upstreams %v: %v, %v; want them constant", upstreams, bytes, f)
	}
	for _, n := range []int{6, 12, 24, 48} {
		s := newSmall(t, n, 60)
		c := s.change(s.release)
		balancers, answers = append(balancers, float64(n)), append(answers, float64(c.News))
		want(t, fmt.Sprintf("%d balancers: entries", n), c.Entries, int64(n))
		s.hollow.StopAll()
	}
	if f := FitPoints(balancers, answers); f.Form != Linear || f.WorstError > 0.001 || f.At(1) > 1.001 {
		t.Errorf("answers for a change over balancers %v: %v, %v; want one each", balancers, answers, f)
	}
}

// A zone that goes at once, and comes back cold, is one answer for each balancer, with an entry for each upstream.
func TestWorkOfAZone(t *testing.T) {
	s := newSmall(t, 12, 60)
	c := s.change(func(m *Made) error { return s.discovery.Lose(Zone{Name: zoneName(1)}, m) })
	want(t, "lost: answers", c.News, 12)
	want(t, "lost: entries", c.Entries, 12*20)
	c = s.change(func(m *Made) error { return s.discovery.Regain(Zone{Name: zoneName(1)}, m) })
	want(t, "back: answers", c.News, 12)
	want(t, "back: entries", c.Entries, 12*20)
	var list Listing
	s.must(s.discovery.Listing(None{}, &list))
	want(t, "upstreams in the end", int64(len(list.Members)), 60)
}

// Two reloads that move discovery: each balancer asks the new machine for the whole list once, and follows it from there.
func TestWorkOfAMovedDiscovery(t *testing.T) {
	const balancers, upstreams = 12, 60
	s := newSmall(t, balancers, upstreams)
	for i, machine := range []int{1, 0} {
		before := s.discovery.counts.read()
		s.configure(machine)
		s.must(s.hollow.Hangup(s.paths, nil))
		s.await("all wait at the new machine", func() bool {
			return s.discovery.machines[machine].waiting.Load() == balancers && s.discovery.machines[1-machine].waiting.Load() == 0
		})
		c := s.discovery.counts.read().sub(before)
		want(t, fmt.Sprintf("reload %d: whole lists", i), c.Whole, balancers)
		want(t, "entries", c.Entries, balancers*upstreams)
		if each := float64(c.Body) / float64(c.Entries); each > 200 {
			t.Errorf("reload %d: %.0f bytes an entry, want 200 at most", i, each)
		}
		c = s.change(s.release)
		want(t, "answers for a change behind it", c.News, balancers)
	}
}

// A balancer that dies and starts again from a file that is old by some changes is told these alone, and has them in force.
func TestWorkOfARestart(t *testing.T) {
	s := newSmall(t, 12, 60)
	for range 3 {
		s.change(s.release)
	}
	s.must(s.hollow.Stop(s.paths[:2], nil))
	s.await("two have gone", func() bool { return s.discovery.counts.waiting.Load() == 10 })
	before := s.discovery.counts.read()
	s.must(s.hollow.Start(s.paths[:2], nil))
	s.settle()
	c := s.discovery.counts.read().sub(before)
	want(t, "answers", c.News, 2)
	want(t, "entries: one upstream gone, one new", c.Entries, 2*2)
	want(t, "whole lists", c.Whole, 0)
	want(t, "answers for a change behind it", s.change(s.release).News, 12)
}

// Two changes of the settings are in force on every balancer, and cost discovery nothing.
func TestWorkOfChangedSettings(t *testing.T) {
	s := newSmall(t, 12, 60)
	before := s.discovery.counts.read()
	for range 2 {
		s.configure(0)
		s.must(s.hollow.Hangup(s.paths, nil))
		s.await("settings in force everywhere", func() bool {
			var d Delays
			s.must(s.hollow.SettingsSince([]SettingsTold{{time.Now().UnixNano(), s.hashes}}, &d))
			return d.Missing == 0 && len(d.Micros) == len(s.paths)
		})
	}
	c := s.discovery.counts.read().sub(before)
	want(t, "answers", c.News, 0)
	want(t, "whole lists", c.Whole, 0)
	want(t, "entries", c.Entries, 0)
	want(t, "answers for a change behind them", s.change(s.release).News, 12)
}
