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
	reloadSlice = 250 * time.Microsecond
	// pieceRead is how much of the file is read, or hashed, between two looks at the time: some 0.1 ms.
	configChunkSize   = 32 << 10
	stepsPerTimeCheck = 16 // small steps between two looks at the time
	configHashBytes   = 6  // bytes of a file's SHA-256 that name it
)

// slicer cuts work that may be long into slices, between which it sleeps; nil never sleeps.
type workSlicer struct {
	steps      int
	sliceStart time.Time
	pause      func(worked time.Duration)
}

// step follows a small part of the work, some microseconds.
func (s *workSlicer) step() {
	if s == nil {
		return
	}
	if s.steps++; s.steps >= stepsPerTimeCheck {
		s.checkTime()
	}
}

// look sleeps for as long as the slice has worked, once it is over.
func (s *workSlicer) checkTime() {
	if s == nil {
		return
	}
	s.steps = 0
	if worked := time.Since(s.sliceStart); worked >= reloadSlice {
		s.pause(min(worked, 4*reloadSlice)) // what is longer was not all work
		s.sliceStart = time.Now()
	}
}

// filePieces are a file, to be read one after another: a buffer of its whole size would be allocated, and paid for to the
// collector, at a stretch.
type fileChunks [][]byte

// Read implements io.Reader.
func (p *fileChunks) Read(b []byte) (int, error) {
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
func readConfig(getenv func(string) string, slicer *workSlicer) (text io.Reader, hash string, err error) {
	path := getenv("RELAY_CONFIG")
	if path == "" {
		return nil, "", errors.New("RELAY_CONFIG is not set")
	}
	f, err := os.Open(path)
	if err != nil {
		return nil, "", fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	defer f.Close()
	var chunks fileChunks
	sum := sha256.New()
	for err == nil {
		chunk, n := make([]byte, configChunkSize), 0
		if n, err = f.Read(chunk); n > 0 {
			chunks = append(chunks, chunk[:n])
		}
		slicer.checkTime()
	}
	if err != io.EOF {
		return nil, "", fmt.Errorf("RELAY_CONFIG: %w", err)
	}
	for _, chunk := range chunks {
		sum.Write(chunk) // never fails
		slicer.checkTime()
	}
	return &chunks, fmt.Sprintf("%x", sum.Sum(nil)[:configHashBytes]), nil
}

// Reload is a configuration that was read again, checked and built: all that is left is to go by it.
type Reload struct {
	Discovery    string
	ConnTimeouts wire.Links
	Plan         *garnettide.Plan
	PlanDiff     garnettide.PlanDiff // over the Reload before
	Hash         string

	signalledAt time.Time
	onApplied   func(hash string, took time.Duration)
	applied     chan time.Duration // how long that took from the signal; it holds one, so the loop never waits
}

// reloaded has the loop, and the frontend if there is one, go by a configuration.
type configReloaded struct {
	Reload
	front *frontend
}

func (e configReloaded) apply(l *loop) {
	l.balancer.Reconfigure(l.now(), e.Plan, e.PlanDiff)
	l.settings = e.Plan.Settings()
	l.transport.timeout, l.upstreamIdleTimeout = e.ConnTimeouts.ConnectTimeout, upstreamIdleTimeout(e.ConnTimeouts)
	if e.front != nil { // last: what it lets pass by the new plan the module knows
		e.front.plan.Store(e.Plan)
	}
	if e.Discovery != l.discoveryClient.address {
		l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery, l.discoveryClient.address))
		l.discoveryClient.shutdown()
		l.discoveryClient, l.revision = newDiscoveryClient(l.ctx, e.Discovery, l.postList), 0
		if l.stopWatch != nil {
			l.balancer.Members(l.now(), garnettide.ListStale, nil)
		}
	}
	took := time.Since(e.signalledAt)
	if e.onApplied != nil {
		e.onApplied(e.Hash, took)
	}
	if e.applied != nil {
		e.applied <- took
	}
}

// idleFor is how long a connection to an upstream may idle.
func upstreamIdleTimeout(timeouts wire.Links) time.Duration {
	return max(timeouts.KeepAlive-idleCloseMargin, timeouts.KeepAlive/2)
}

// Reloader reads a process's configuration again on each signal, and makes a Reload of it.
type Reloader struct {
	getenv       func(string) string
	start        Config           // what can't change
	previousPlan *garnettide.Plan // of the Reload before, or of the start
	lastReload   Reload           // that one, without what it changed
	appliedHash  string           // of the file in force
	pendingSince time.Time        // the first signal since the one that is being followed; zero: none
	log          *slog.Logger
	sleep        func(time.Duration)
}

// NewReloader returns a Reloader for a process that was started with a configuration. getenv is what LoadConfig was given.
func NewReloader(getenv func(string) string, start Config) *Reloader {
	r := &Reloader{getenv: getenv, start: start, previousPlan: start.Plan, appliedHash: start.Hash, log: slog.Default(),
		sleep: time.Sleep}
	r.start.Plan, r.start.CachedList = nil, discoveryList{}
	return r
}

// Follow reads the configuration again on each signal from hangups and hands it to reloads, until ctx ends. A configuration
// that can't be read or is not valid is logged, and the one before stays. Signals that come meanwhile are noted: the file
// is read once more for them. Each configuration goes in force before the next one is read, so the newest counts.
func (r *Reloader) Follow(ctx context.Context, hangups <-chan os.Signal, reloads chan<- Reload) {
	for {
		if r.pendingSince.IsZero() {
			select {
			case <-hangups:
				r.noteSignal()
			case <-ctx.Done():
				return
			}
		}
		signalledAt := r.pendingSince
		r.pendingSince = time.Time{}
		slicer := &workSlicer{sliceStart: time.Now(), pause: func(worked time.Duration) {
			r.pollSignal(hangups)
			r.sleep(worked)
		}}
		reload, err := r.read(slicer)
		r.pollSignal(hangups)
		if err != nil {
			r.log.Error("reading the configuration again: the old one stays", "err", err)
			continue
		}
		reload.signalledAt = signalledAt
		sendTo, took := reloads, time.Duration(-1)
		for took < 0 {
			select {
			case sendTo <- reload:
				sendTo = nil
			case took = <-reload.applied:
			case <-hangups:
				r.noteSignal()
			case <-ctx.Done():
				return
			}
		}
		r.logApplied(reload, took)
	}
}

// note notes a signal.
func (r *Reloader) noteSignal() {
	if r.pendingSince.IsZero() {
		r.pendingSince = time.Now()
	}
}

// look notes a signal if there is one.
func (r *Reloader) pollSignal(hangups <-chan os.Signal) {
	select {
	case <-hangups:
		r.noteSignal()
	default:
	}
}

// read reads, checks and builds the configuration. RELAY_DISCOVERY still names the address of the start, so the file's
// goes before it.
func (r *Reloader) read(slicer *workSlicer) (Reload, error) {
	getenv := func(name string) string {
		if name == "RELAY_DISCOVERY" {
			return ""
		}
		return r.getenv(name)
	}
	text, hash, err := readConfig(getenv, slicer)
	if err != nil {
		return Reload{}, err
	}
	if hash != r.lastReload.Hash {
		c, err := parseConfig(getenv, text, hash, slicer)
		if err != nil {
			return Reload{}, err
		}
		r.warnFixedSettings(&c)
		r.lastReload = Reload{Discovery: c.Discovery, ConnTimeouts: c.ConnTimeouts, Plan: c.Plan, Hash: hash, onApplied: r.start.OnConfigApplied}
	}
	reload := r.lastReload
	reload.PlanDiff, reload.applied = reload.Plan.Since(r.previousPlan, slicer.step), make(chan time.Duration, 1)
	r.previousPlan = reload.Plan
	return reload, nil
}

// keep logs what differs from the start and can't change in a running process.
func (r *Reloader) warnFixedSettings(c *Config) {
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
func (r *Reloader) logApplied(reload Reload, took time.Duration) {
	if reload.Hash == r.appliedHash {
		r.log.Info("configuration in force: the file's bytes are the same as before", "hash", reload.Hash, "took", took)
		return
	}
	r.appliedHash = reload.Hash
	c, t := reload.PlanDiff.Classes, reload.PlanDiff.Tenants
	r.log.Info("configuration in force", "hash", reload.Hash, "took", took, "classes_added", c.Added, "classes_changed", c.Changed,
		"classes_gone", c.Removed, "tenants_added", t.Added, "tenants_changed", t.Changed, "tenants_gone", t.Removed)
}
