package proxy

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"time"

	"garnettide"
	"garnettide/internal/wire"
)

// This file puts a configuration in force that has changed: it is read, checked and built away from the loop, and handed
// over whole. docs/RELOAD.md tells why it is done so.

const (
	// slice is how long the work of a reload goes on before it lets everything else run for as long. The process has one
	// core, and the loop waits for the end of a slice; 3.6 ms is all that may be added to a request.
	slice = 250 * time.Microsecond
	// pieceRead is how much of the file is read, or hashed, between two looks at the time: some 0.1 ms.
	pieceRead = 32 << 10
	stepsLook = 16 // small steps between two looks at the time
	hashShown = 6  // bytes of a file's SHA-256 that name it
)

// slicer cuts work that may be long into slices, between which it sleeps; nil never sleeps.
type slicer struct {
	steps int
	began time.Time
	pause func(worked time.Duration)
}

// step follows a small part of the work, some microseconds.
func (s *slicer) step() {
	if s == nil {
		return
	}
	if s.steps++; s.steps >= stepsLook {
		s.look()
	}
}

// look sleeps for as long as the slice has worked, once it is over.
func (s *slicer) look() {
	if s == nil {
		return
	}
	s.steps = 0
	if worked := time.Since(s.began); worked >= slice {
		s.pause(min(worked, 4*slice)) // what is longer was not all work
		s.began = time.Now()
	}
}

// filePieces are a file, to be read one after another: a buffer of its whole size would be allocated, and paid for to the
// collector, at a stretch.
type filePieces [][]byte

// Read implements io.Reader.
func (p *filePieces) Read(b []byte) (int, error) {
	if len(*p) == 0 {
		return 0, io.EOF
	}
	n := copy(b, (*p)[0])
	if (*p)[0] = (*p)[0][n:]; len((*p)[0]) == 0 {
		*p = (*p)[1:]
	}
	return n, nil
}

// readConfig reads the configuration file at one go, which may be written over later, and hashes it.
func readConfig(getenv func(string) string, work *slicer) (text io.Reader, hash string, err error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, "", errors.New("RELAY_CONFIG is not set")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, "", fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	defer f.Close()
	var all filePieces
	sum := sha256.New()
	for err == nil {
		piece, n := make([]byte, pieceRead), 0
		if n, err = f.Read(piece); n > 0 {
			all = append(all, piece[:n])
		}
		work.look()
	}
	if err != io.EOF {
		return nil, "", fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	for _, piece := range all {
		sum.Write(piece) // never fails
		work.look()
	}
	return &all, fmt.Sprintf("%x", sum.Sum(nil)[:hashShown]), nil
}

// Reload is a configuration that was read again, checked and built: all that is left is to go by it.
type Reload struct {
	Discovery string
	Links     wire.ConnTimeouts
	Plan      *garnettide.Plan
	PlanDiff  garnettide.PlanDiff // over the Reload before
	Hash      string

	signal  time.Time
	told    func(hash string, took time.Duration)
	inForce chan time.Duration // how long that took from the signal; it holds one, so the loop never waits
}

// reloaded has the loop, and the frontend if there is one, go by a configuration.
type reloaded struct {
	Reload
	front *frontend
}

func (e reloaded) apply(l *loop) {
	l.balancer.Reconfigure(l.now(), e.Plan, e.PlanDiff)
	l.settings = e.Plan.Settings()
	l.dial.timeout, l.idleFor = e.Links.ConnectTimeout, idleFor(e.Links)
	if e.front != nil { // last: what it lets pass by the new plan the module knows
		e.front.plan.Store(e.Plan)
	}
	if e.Discovery != l.discovery.address {
		l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery, l.discovery.address))
		l.discovery.end()
		l.discovery, l.revision = newDiscovery(l.ctx, e.Discovery, l.list), 0
		if l.stopWatch != nil {
			l.balancer.Members(l.now(), garnettide.ListStale, nil)
		}
	}
	took := time.Since(e.signal)
	if e.told != nil {
		e.told(e.Hash, took)
	}
	if e.inForce != nil {
		e.inForce <- took
	}
}

// idleFor is how long a connection to an upstream may idle.
func idleFor(links wire.ConnTimeouts) time.Duration {
	return max(links.IdleTimeout-spareIdle, links.IdleTimeout/2)
}

// Reloader reads a process's configuration again on each signal, and makes a Reload of it.
type Reloader struct {
	getenv func(string) string
	start  Config           // what can't change
	plan   *garnettide.Plan // of the Reload before, or of the start
	last   Reload           // that one, without what it changed
	hash   string           // of the file in force
	noted  time.Time        // the first signal since the one that is being followed; zero: none
	log    *slog.Logger
	sleep  func(time.Duration)
}

// NewReloader returns a Reloader for a process that was started with a configuration. getenv is what LoadConfig was given.
func NewReloader(getenv func(string) string, start Config) *Reloader {
	r := &Reloader{getenv: getenv, start: start, plan: start.Plan, hash: start.Hash, log: slog.Default(),
		sleep: time.Sleep}
	r.start.Plan, r.start.Known = nil, listing{}
	return r
}

// Follow reads the configuration again on each signal from hangups and hands it to reloads, until ctx ends. A configuration
// that can't be read or is not valid is logged, and the one before stays. Signals that come meanwhile are noted: the file
// is read once more for them. Each configuration goes in force before the next one is read, so the newest counts.
func (r *Reloader) Follow(ctx context.Context, hangups <-chan os.Signal, reloads chan<- Reload) {
	for {
		if r.noted.IsZero() {
			select {
			case <-hangups:
				r.note()
			case <-ctx.Done():
				return
			}
		}
		signal := r.noted
		r.noted = time.Time{}
		work := &slicer{began: time.Now(), pause: func(worked time.Duration) {
			r.look(hangups)
			r.sleep(worked)
		}}
		x, err := r.read(work)
		r.look(hangups)
		if err != nil {
			r.log.Error("reading the configuration again: the old one stays", "err", err)
			continue
		}
		x.signal = signal
		sent, took := reloads, time.Duration(-1)
		for took < 0 {
			select {
			case sent <- x:
				sent = nil
			case took = <-x.inForce:
			case <-hangups:
				r.note()
			case <-ctx.Done():
				return
			}
		}
		r.report(x, took)
	}
}

// note notes a signal.
func (r *Reloader) note() {
	if r.noted.IsZero() {
		r.noted = time.Now()
	}
}

// look notes a signal if there is one.
func (r *Reloader) look(hangups <-chan os.Signal) {
	select {
	case <-hangups:
		r.note()
	default:
	}
}

// read reads, checks and builds the configuration. RELAY_DISCOVERY still names the address of the start, so the file's
// goes before it.
func (r *Reloader) read(work *slicer) (Reload, error) {
	getenv := func(name string) string {
		if name == "RELAY_DISCOVERY" {
			return ""
		}
		return r.getenv(name)
	}
	text, hash, err := readConfig(getenv, work)
	if err != nil {
		return Reload{}, err
	}
	if hash != r.last.Hash {
		c, err := parseConfig(getenv, text, hash, work)
		if err != nil {
			return Reload{}, err
		}
		r.keep(&c)
		r.last = Reload{Discovery: c.Discovery, Links: c.Links, Plan: c.Plan, Hash: hash, told: r.start.SettingsInForce}
	}
	x := r.last
	x.PlanDiff, x.inForce = x.Plan.Since(r.plan, work.step), make(chan time.Duration, 1)
	r.plan = x.Plan
	return x, nil
}

// keep logs what differs from the start and can't change in a running process.
func (r *Reloader) keep(c *Config) {
	for _, x := range []struct {
		setting         string
		inForce, inFile any
	}{
		{"name", r.start.Name, c.Name}, {"listen", r.start.Listen, c.Listen}, {"operator", r.start.Operator, c.Operator},
		{"seed", fmt.Sprintf("%x", r.start.Seed), fmt.Sprintf("%x", c.Seed)}, {"limits.memory_mb", r.start.MemoryMB, c.MemoryMB},
		{"limits.sockets", r.start.Sockets, c.Sockets},
	} {
		if x.inForce != x.inFile {
			r.log.Warn("configuration: a setting takes effect at the next start, and keeps its value", "setting", x.setting,
				"in_force", x.inForce, "in_file", x.inFile)
		}
	}
}

// report logs which configuration is in force.
func (r *Reloader) report(x Reload, took time.Duration) {
	if x.Hash == r.hash {
		r.log.Info("configuration in force: the file's bytes are the same as before", "hash", x.Hash, "took", took)
		return
	}
	r.hash = x.Hash
	c, t := x.PlanDiff.Classes, x.PlanDiff.Tenants
	r.log.Info("configuration in force", "hash", x.Hash, "took", took, "classes_added", c.Added, "classes_changed", c.Changed,
		"classes_gone", c.Removed, "tenants_added", t.Added, "tenants_changed", t.Changed, "tenants_gone", t.Removed)
}
