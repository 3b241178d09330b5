package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"garnettide/internal/proxy"
)

// This file holds hollow balancers: the real loop, module, discovery client and reload path, many in one process, without
// clients. It notes when each had which revision in force. They share a heap and a collector, so a balancer's part of the
// processor time is the process's divided by their number; the collector is less dear for each than in a process of its own,
// where its soft limit and its pace are others. Memory is read as the live heap behind a collection, divided likewise. They
// share the run's processors as well: a change comes to all at one moment, so the last balancer's time until it is in force
// holds the work of the others before it, which a fleet's machines do side by side.

// Hollow is a process's hollow balancers.
type Hollow struct {
	mu   sync.Mutex
	ones map[string]*hollowOne // by the path of their configuration
}

// hollowOne is one balancer. It goes on being noted over restarts.
type hollowOne struct {
	path    string
	end     context.CancelFunc
	control *proxy.ControlLoop // nil: it does not run
	hangups chan os.Signal

	mu       sync.Mutex
	lists    []Made         // revisions that were in force, and when
	settings []settingsMade // those that came into force after the start's, the newest last
}

// settingsMade are settings, by their file's hash, and the Unix time in ns at which they came into force.
type settingsMade struct {
	hash string
	at   int64
}

const settingsKept = 1024

// Start starts a balancer for each path, or starts it again.
func (h *Hollow) Start(paths []string, _ *None) error {
	return h.each(paths, func(o *hollowOne) error {
		if o.control != nil {
			return fmt.Errorf("hollow: %s runs already", o.path)
		}
		return o.start()
	})
}

// Stop ends balancers at once, as a crash does.
func (h *Hollow) Stop(paths []string, _ *None) error {
	return h.each(paths, func(o *hollowOne) error {
		o.stop()
		return nil
	})
}

// Hangup tells balancers to read their files again, as SIGHUP does. One that has not taken the last such call yet takes
// both as one.
func (h *Hollow) Hangup(paths []string, _ *None) error {
	return h.each(paths, func(o *hollowOne) error {
		select {
		case o.hangups <- syscall.SIGHUP:
		default:
		}
		return nil
	})
}

// each does something with each balancer, and makes those that were never seen.
func (h *Hollow) each(paths []string, do func(*hollowOne) error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ones == nil {
		h.ones = map[string]*hollowOne{}
	}
	var failed []error
	for _, path := range paths {
		if h.ones[path] == nil {
			h.ones[path] = &hollowOne{path: path, hangups: make(chan os.Signal, 1)}
		}
		failed = append(failed, do(h.ones[path]))
	}
	return errors.Join(failed...)
}

// StopAll ends all balancers.
func (h *Hollow) StopAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.ones {
		o.stop()
	}
}

func (o *hollowOne) start() error {
	getenv := func(name string) string { return map[string]string{"RELAY_CONFIG": o.path}[name] }
	c, err := proxy.LoadConfig(getenv)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	c.OnListApplied = func(revision uint64) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.lists = append(o.lists, Made{revision, time.Now().UnixNano()})
	}
	c.OnConfigApplied = func(hash string, _ time.Duration) {
		o.mu.Lock()
		defer o.mu.Unlock()
		if len(o.settings) >= settingsKept {
			o.settings = append([]settingsMade(nil), o.settings[1:]...)
		}
		o.settings = append(o.settings, settingsMade{hash, time.Now().UnixNano()})
	}
	ctx, end := context.WithCancel(context.Background())
	reloads := make(chan proxy.Reload)
	o.control, o.end = proxy.StartControlLoop(ctx, c, reloads), end
	go proxy.NewReloader(getenv, c).Follow(ctx, o.hangups, reloads)
	return nil
}

func (o *hollowOne) stop() {
	if o.control != nil {
		o.end()
		o.control.Stop()
		o.control = nil
	}
}

// Delays tells how long changes took to be in force.
type Delays struct {
	Micros  []int64 // one for each balancer and change
	Missing int     // pairs of a balancer and a change that is not in force there
}

// Since replies with the time from each revision's making until each running balancer had it, or a newer one, in force.
func (h *Hollow) Since(made []Made, d *Delays) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.ones {
		if o.control == nil {
			continue
		}
		o.mu.Lock()
		at := 0
		for _, m := range made { // both are in order of time
			for at < len(o.lists) && o.lists[at].Revision < m.Revision {
				at++
			}
			if at == len(o.lists) {
				d.Missing++
			} else {
				d.Micros = append(d.Micros, max(0, o.lists[at].At-m.At)/1000)
			}
		}
		o.mu.Unlock()
	}
	return nil
}

// SettingsTold are settings that balancers were told of at a moment.
type SettingsTold struct {
	At     int64             // Unix ns
	Hashes map[string]string // of the files, by path; of others than this process's too
}

// SettingsSince replies with the time until each of some versions of the settings, in order, or a newer one of them, was in
// force on each running balancer: of those that come faster than they can be taken the newest counts.
func (h *Hollow) SettingsSince(told []SettingsTold, d *Delays) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.ones {
		if o.control == nil {
			continue
		}
		version := map[string]int{}
		for i, x := range told {
			version[x.Hashes[o.path]] = i + 1
		}
		o.mu.Lock()
		for i, x := range told {
			at := slices.IndexFunc(o.settings, func(s settingsMade) bool { return version[s.hash] > i })
			if at < 0 {
				d.Missing++
			} else {
				d.Micros = append(d.Micros, max(0, o.settings[at].at-x.At)/1000)
			}
		}
		o.mu.Unlock()
	}
	return nil
}

// Forget drops what was noted of lists but the newest.
func (h *Hollow) Forget(_ None, _ *None) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, o := range h.ones {
		o.mu.Lock()
		if n := len(o.lists); n > 1 {
			o.lists = append([]Made(nil), o.lists[n-1])
		}
		o.mu.Unlock()
	}
	return nil
}

// Read replies with the process's usage. heap: also with the live heap, at the price of a collection.
func (h *Hollow) Read(heap bool, u *Usage) (err error) {
	*u, err = ownUsage(heap)
	return err
}
