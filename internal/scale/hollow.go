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
	mu        sync.Mutex
	balancers map[string]*hollowBalancer // by the path of their configuration
}

// hollowOne is one balancer. It goes on being noted over restarts.
type hollowBalancer struct {
	path    string
	cancel  context.CancelFunc
	control *proxy.Control // nil: it does not run
	hangups chan os.Signal

	mu              sync.Mutex
	listsInForce    []RevisionTime // revisions that were in force, and when
	settingsInForce []settingsTime // those that came into force after the start's, the newest last
}

// settingsMade are settings, by their file's hash, and the Unix time in ns at which they came into force.
type settingsTime struct {
	hash string
	at   int64
}

const maxSettingsTimes = 1024

// Start starts a balancer for each path, or starts it again.
func (h *Hollow) Start(paths []string, _ *Empty) error {
	return h.forEach(paths, func(b *hollowBalancer) error {
		if b.control != nil {
			return fmt.Errorf("hollow: %s runs already", b.path)
		}
		return b.start()
	})
}

// Stop ends balancers at once, as a crash does.
func (h *Hollow) Stop(paths []string, _ *Empty) error {
	return h.forEach(paths, func(b *hollowBalancer) error {
		b.stop()
		return nil
	})
}

// Hangup tells balancers to read their files again, as SIGHUP does. One that has not taken the last such call yet takes
// both as one.
func (h *Hollow) Hangup(paths []string, _ *Empty) error {
	return h.forEach(paths, func(b *hollowBalancer) error {
		select {
		case b.hangups <- syscall.SIGHUP:
		default:
		}
		return nil
	})
}

// each does something with each balancer, and makes those that were never seen.
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

// StopAll ends all balancers.
func (h *Hollow) StopAll() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.balancers {
		b.stop()
	}
}

func (b *hollowBalancer) start() error {
	getenv := func(name string) string { return map[string]string{"RELAY_CONFIG": b.path}[name] }
	c, err := proxy.LoadConfig(getenv)
	if err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	c.ListInForce = func(revision uint64) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.listsInForce = append(b.listsInForce, RevisionTime{revision, time.Now().UnixNano()})
	}
	c.SettingsInForce = func(hash string, _ time.Duration) {
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.settingsInForce) >= maxSettingsTimes {
			b.settingsInForce = append([]settingsTime(nil), b.settingsInForce[1:]...)
		}
		b.settingsInForce = append(b.settingsInForce, settingsTime{hash, time.Now().UnixNano()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	reloads := make(chan proxy.Reload)
	b.control, b.cancel = proxy.StartControl(ctx, c, reloads), cancel
	go proxy.NewReloader(getenv, c).Follow(ctx, b.hangups, reloads)
	return nil
}

func (b *hollowBalancer) stop() {
	if b.control != nil {
		b.cancel()
		b.control.Stop()
		b.control = nil
	}
}

// Delays tells how long changes took to be in force.
type Delays struct {
	Micros  []int64 // one for each balancer and change
	Missing int     // pairs of a balancer and a change that is not in force there
}

// Since replies with the time from each revision's making until each running balancer had it, or a newer one, in force.
func (h *Hollow) Since(revisions []RevisionTime, d *Delays) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.balancers {
		if b.control == nil {
			continue
		}
		b.mu.Lock()
		index := 0
		for _, revision := range revisions { // both are in order of time
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

// SettingsTold are settings that balancers were told of at a moment.
type SettingsDelivery struct {
	At     int64             // Unix ns
	Hashes map[string]string // of the files, by path; of others than this process's too
}

// SettingsSince replies with the time until each of some versions of the settings, in order, or a newer one of them, was in
// force on each running balancer: of those that come faster than they can be taken the newest counts.
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
			at := slices.IndexFunc(b.settingsInForce, func(s settingsTime) bool { return versionByHash[s.hash] > i })
			if at < 0 {
				d.Missing++
			} else {
				d.Micros = append(d.Micros, max(0, b.settingsInForce[at].at-delivery.At)/1000)
			}
		}
		b.mu.Unlock()
	}
	return nil
}

// Forget drops what was noted of lists but the newest.
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

// Read replies with the process's usage. heap: also with the live heap, at the price of a collection.
func (h *Hollow) Read(withHeap bool, u *Usage) (err error) {
	*u, err = ownUsage(withHeap)
	return err
}
