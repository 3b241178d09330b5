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

// This file applies changed configurations. A configuration is read, checked and built outside the loop,
// and then handed to the loop as a whole. See docs/RELOAD.md.

const (
	// configChunkSize is how much of the file is read or hashed between two checks of the time.
	configChunkSize = 32 << 10
	configHashBytes = 6 // bytes of a file's SHA-256 shown as its hash
)

// fileChunks is the content of a file in chunks, for reading. A single buffer of the file's size would take
// long to allocate and add to the garbage collector's work all at once.
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

// readConfig reads the whole configuration file before it is decoded, since it may be overwritten, and
// hashes it.
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

// Reload is a changed configuration that has been checked and built, ready to be applied.
type Reload struct {
	Discovery    string // host:port of discovery
	ConnTimeouts wire.ConnTimeouts
	Plan         *garnettide.Plan
	PlanDiff     garnettide.PlanDiff // from the plan of the previous Reload, or of the start
	Hash         string              // as in Config

	signalledAt time.Time
	onApplied   func(hash string, took time.Duration)
	applied     chan time.Duration // buffered; receives the time since the signal once the configuration is in force
}

// configReloaded applies a configuration to the loop and to the frontend. front is nil if there are no
// clients.
type configReloaded struct {
	Reload
	front *frontend
}

func (e configReloaded) apply(l *loop) {
	l.balancer.Reconfigure(l.now(), e.Plan, e.PlanDiff)
	l.settings = e.Plan.Settings()
	l.transport.timeout, l.upstreamIdleTimeout = e.ConnTimeouts.ConnectTimeout, upstreamIdleTimeout(e.ConnTimeouts)
	if e.front != nil { // last: the Balancer must know the plan before requests are read with it
		e.front.plan.Store(e.Plan)
	}
	if e.Discovery != l.discoveryClient.address {
		l.Log(fmt.Sprintf("configuration read again: discovery is at %s, no longer at %s", e.Discovery,
			l.discoveryClient.address))
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

// upstreamIdleTimeout returns how long a connection to an upstream may be idle.
func upstreamIdleTimeout(timeouts wire.ConnTimeouts) time.Duration {
	return max(timeouts.IdleTimeout-idleCloseMargin, timeouts.IdleTimeout/2)
}

// Reloader reads a process's configuration again on each signal and produces a Reload.
type Reloader struct {
	getenv       func(string) string
	start        Config           // configuration of the start, without Plan and CachedList
	previousPlan *garnettide.Plan // plan of the previous Reload, or of the start
	lastReload   Reload           // without PlanDiff and applied
	appliedHash  string           // of the file in force
	pendingSince time.Time        // first signal that has not been handled; zero: none
	log          *slog.Logger
	sleep        func(time.Duration)
}

// NewReloader returns a Reloader for a process that was started with a configuration. getenv is the
// function that was passed to LoadConfig.
func NewReloader(getenv func(string) string, start Config) *Reloader {
	r := &Reloader{getenv: getenv, start: start, previousPlan: start.Plan, appliedHash: start.Hash, log: slog.Default(),
		sleep: time.Sleep}
	r.start.Plan, r.start.CachedList = nil, discoveryList{}
	return r
}

// Follow reads the configuration again on each signal from hangups and sends it to reloads, until ctx ends.
// An invalid or unreadable configuration is logged and the current one stays in force. Signals that arrive
// in the meantime cause one more reading. Each configuration is in force before the next one is read, so the newest counts.
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

// noteSignal records a signal.
func (r *Reloader) noteSignal() {
	if r.pendingSince.IsZero() {
		r.pendingSince = time.Now()
	}
}

// pollSignal records a signal if one has arrived.
func (r *Reloader) pollSignal(hangups <-chan os.Signal) {
	select {
	case <-hangups:
		r.noteSignal()
	default:
	}
}

// read reads, checks and builds the configuration. It ignores RELAY_DISCOVERY, which still holds the address
// of the start.
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
		r.lastReload = Reload{Discovery: c.Discovery, ConnTimeouts: c.ConnTimeouts, Plan: c.Plan, Hash: hash,
			onApplied: r.start.OnConfigApplied}
	}
	reload := r.lastReload
	reload.PlanDiff, reload.applied = reload.Plan.Since(r.previousPlan, slicer.step), make(chan time.Duration, 1)
	r.previousPlan = reload.Plan
	return reload, nil
}

// warnFixedSettings logs the settings that differ from those of the start and cannot change at run time.
func (r *Reloader) warnFixedSettings(c *Config) {
	for _, x := range []struct {
		setting         string
		inForce, inFile any
	}{
		{"name", r.start.Name, c.Name}, {"listen", r.start.Listen, c.Listen}, {"operator", r.start.Operator, c.Operator},
		{"seed", fmt.Sprintf("%x", r.start.Seed), fmt.Sprintf("%x", c.Seed)},
		{"limits.memory_mb", r.start.MemoryMB, c.MemoryMB},
		{"limits.sockets", r.start.Sockets, c.Sockets},
	} {
		if x.inForce != x.inFile {
			r.log.Warn("configuration: a setting takes effect at the next start, and keeps its value", "setting", x.setting,
				"in_force", x.inForce, "in_file", x.inFile)
		}
	}
}

// logApplied logs which configuration is in force.
func (r *Reloader) logApplied(reload Reload, took time.Duration) {
	if reload.Hash == r.appliedHash {
		r.log.Info("configuration in force: the file's bytes are the same as before", "hash", reload.Hash, "took", took)
		return
	}
	r.appliedHash = reload.Hash
	c, t := reload.PlanDiff.Classes, reload.PlanDiff.Tenants
	r.log.Info("configuration in force", "hash", reload.Hash, "took", took,
		"classes_added", c.Added, "classes_changed", c.Changed, "classes_gone", c.Removed,
		"tenants_added", t.Added, "tenants_changed", t.Changed, "tenants_gone", t.Removed)
}
