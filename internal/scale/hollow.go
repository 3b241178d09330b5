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

// Hollow runs the hollow balancers of a process. A hollow balancer has the control loop, module, discovery
// client and configuration reload of a real one, but no clients; many run in one process. Hollow records when
// each had which revision and which settings in force.
//
// The processor time and the live heap of one balancer are those of the process divided by the number of
// balancers. Because the balancers share a heap, garbage collection costs each of them less than in a process
// of its own, which has its own memory limit and garbage collector pacing. A change reaches all of them at
// once, so the time until the last one has it in force includes the work of the others, which separate
// machines would do in parallel.
type Hollow struct {
	mu        sync.Mutex                 // guards balancers
	balancers map[string]*hollowBalancer // by path of the configuration file
}

// hollowBalancer is one hollow balancer. Its records are kept across restarts.
type hollowBalancer struct {
	path    string
	cancel  context.CancelFunc
	control *proxy.ControlLoop // nil: not running
	hangups chan os.Signal

	mu              sync.Mutex     // guards listsInForce and settingsInForce
	listsInForce    []RevisionTime // when each revision came into force, oldest first
	settingsInForce []settingsTime // settings that came into force after the initial ones, oldest first
}

// settingsTime is when settings came into force.
type settingsTime struct {
	hash string // of the configuration file
	at   int64  // Unix time in ns
}

const maxSettingsTimes = 1024 // kept for each balancer

// Start starts the balancer of each configuration file. It is an error if one is already running.
func (h *Hollow) Start(paths []string, _ *Empty) error {
	return h.forEach(paths, func(b *hollowBalancer) error {
		if b.control != nil {
			return fmt.Errorf("hollow: %s is already running", b.path)
		}
		return b.start()
	})
}

// Stop stops balancers immediately, as in a crash.
func (h *Hollow) Stop(paths []string, _ *Empty) error {
	return h.forEach(paths, func(b *hollowBalancer) error {
		b.stop()
		return nil
	})
}

// Hangup has balancers read their files again, as SIGHUP does. It has no effect on a balancer that has not
// handled an earlier call yet.
func (h *Hollow) Hangup(paths []string, _ *Empty) error {
	return h.forEach(paths, func(b *hollowBalancer) error {
		select {
		case b.hangups <- syscall.SIGHUP:
		default:
		}
		return nil
	})
}

// forEach calls apply for the balancer of each path, which it creates if needed, and joins the errors.
func (h *Hollow) forEach(paths []string, apply func(*hollowBalancer) error) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.balancers == nil {
		h.balancers = map[string]*hollowBalancer{}
	}
	var errs []error
	for _, path := range paths {
		if h.balancers[path] == nil {
			h.balancers[path] = &hollowBalancer{path: path, hangups: make(chan os.Signal, 1)}
		}
		errs = append(errs, apply(h.balancers[path]))
	}
	return errors.Join(errs...)
}

// StopAll stops all balancers.
func (h *Hollow) StopAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.balancers {
		b.stop()
	}
}

// start starts the balancer with its configuration file. The caller holds Hollow.mu.
func (b *hollowBalancer) start() error {
	getenv := func(name string) string { return map[string]string{"RELAY_CONFIG": b.path}[name] }
	c, err := proxy.LoadConfig(getenv)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	c.OnListApplied = func(revision uint64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.listsInForce = append(b.listsInForce, RevisionTime{revision, time.Now().UnixNano()})
	}
	c.OnConfigApplied = func(hash string, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.settingsInForce) >= maxSettingsTimes {
			b.settingsInForce = append([]settingsTime(nil), b.settingsInForce[1:]...)
		}
		b.settingsInForce = append(b.settingsInForce, settingsTime{hash, time.Now().UnixNano()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	reloads := make(chan proxy.Reload)
	b.control, b.cancel = proxy.StartControlLoop(ctx, c, reloads), cancel
	go proxy.NewReloader(getenv, c).Follow(ctx, b.hangups, reloads)
	return nil
}

// stop stops the balancer if it is running. The caller holds Hollow.mu.
func (b *hollowBalancer) stop() {
	if b.control != nil {
		b.cancel()
		b.control.Stop()
		b.control = nil
	}
}

// Delays are the times until changes were in force on balancers.
type Delays struct {
	Micros  []int64 // microseconds, one for each pair of a balancer and a change
	Missing int     // pairs of a balancer and a change not in force there yet
}

// Since replies with the time from the publication of each revision, oldest first, until each running
// balancer had it or a newer one in force.
func (h *Hollow) Since(revisions []RevisionTime, d *Delays) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.balancers {
		if b.control == nil {
			continue
		}
		b.mu.Lock()
		index := 0
		for _, revision := range revisions { // both slices are in order of time
			for index < len(b.listsInForce) && b.listsInForce[index].Revision < revision.Revision {
				index++
			}
			if index == len(b.listsInForce) {
				d.Missing++
			} else {
				d.Micros = append(d.Micros, max(0, b.listsInForce[index].At-revision.At)/1000)
			}
		}
		b.mu.Unlock()
	}
	return nil
}

// SettingsDelivery is a version of the settings and when balancers were first signalled to read it.
type SettingsDelivery struct {
	At     int64             // Unix time in ns
	Hashes map[string]string // of the files by path; paths of other processes are ignored
}

// SettingsSince replies with the time from each delivery, oldest first, until its settings or those of a
// later delivery were in force on each running balancer. A balancer may skip versions that are replaced
// before it reads them.
func (h *Hollow) SettingsSince(deliveries []SettingsDelivery, d *Delays) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.balancers {
		if b.control == nil {
			continue
		}
		versionByHash := map[string]int{}
		for i, delivery := range deliveries {
			versionByHash[delivery.Hashes[b.path]] = i + 1
		}
		b.mu.Lock()
		for i, delivery := range deliveries {
			index := slices.IndexFunc(b.settingsInForce, func(s settingsTime) bool { return versionByHash[s.hash] > i })
			if index < 0 {
				d.Missing++
			} else {
				d.Micros = append(d.Micros, max(0, b.settingsInForce[index].at-delivery.At)/1000)
			}
		}
		b.mu.Unlock()
	}
	return nil
}

// Forget drops the recorded revisions of each balancer except the newest.
func (h *Hollow) Forget(_ Empty, _ *Empty) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.balancers {
		b.mu.Lock()
		if n := len(b.listsInForce); n > 1 {
			b.listsInForce = append([]RevisionTime(nil), b.listsInForce[n-1])
		}
		b.mu.Unlock()
	}
	return nil
}

// Read replies with the usage of this process. With withHeap it runs a garbage collection to read the live
// heap as well.
func (h *Hollow) Read(withHeap bool, u *Usage) (err error) {
	*u, err = ownUsage(withHeap)
	return err
}
