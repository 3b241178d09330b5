package proxy

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
	"unsafe"

	"garnettide"
)

// This file keeps the IDs of requests that must not run twice. A client that has left may come again with the same ID
// while the first request, or what is left of it, runs at an upstream; also at the other process of an upgrade, which
// shares the table through a file.

const (
	// idRetention is how long the ID of a request that may have run is kept after its end.
	idRetention = time.Minute
	// maxOpenTime is how long an ID is kept at most if the process ends while the request is open: longer than the
	// slowest client takes for the longest body.
	maxOpenTime = 20 * time.Minute
	// idSlots is the size of the table. Where more IDs are to be kept, those that end first are dropped.
	idSlots = 16 << 10
	// idProbes is how many slots an ID may be in.
	idProbes = 16
)

// idSlot holds an ID. Both fields are 0 in a slot that has never been used.
type idSlot struct {
	hash  atomic.Uint64
	until atomic.Int64 // by the table's clock, in nanoseconds; the slot is free from then on
}

// requestIDTable holds the IDs of requests that are open or may have run. Several processes may use it at a time.
type requestIDTable struct {
	slots []idSlot // nil: not needed so far
	// clockOffset is added to times of the loop's clock. Times in a shared table are by a clock that all processes have.
	clockOffset time.Duration
}

// uptimeFile holds the time since the machine was started, in seconds, as its first field.
const uptimeFile = "/proc/uptime"

// readUptime returns the time since the machine was started. It goes on when the system's clock is set, and is the same
// for all processes.
func readUptime() (time.Duration, error) {
	text, err := os.ReadFile(uptimeFile)
	if err != nil {
		return 0, fmt.Errorf("uptime: %w", err)
	}
	seconds, _, _ := strings.Cut(string(text), " ")
	uptime, err := time.ParseDuration(strings.TrimSpace(seconds) + "s")
	if err != nil {
		return 0, fmt.Errorf("uptime: %w", err)
	}
	return uptime, nil
}

// openSharedIDs returns a table in a file, which is created if there is none.
func openSharedIDs(path string) (*requestIDTable, error) {
	const size = idSlots * int(unsafe.Sizeof(idSlot{}))
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("request IDs: %w", err)
	}
	defer f.Close() // the mapping stays
	if err := f.Truncate(int64(size)); err != nil {
		return nil, fmt.Errorf("request IDs: %w", err)
	}
	if err := reserveSpace(f, int64(size)); err != nil {
		return nil, fmt.Errorf("request IDs: %w", err)
	}
	memory, err := syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("request IDs: %w", err)
	}
	return &requestIDTable{slots: unsafe.Slice((*idSlot)(unsafe.Pointer(&memory[0])), idSlots)}, nil
}

// reserveSpace reserves the space of a file's first bytes. Without it, a write to the file's mapping ends the process while
// the file system is full. It does nothing where the system or the file system cannot reserve space.
func reserveSpace(f *os.File, size int64) error {
	err := retryInterrupted(func() error { return syscall.Fallocate(int(f.Fd()), 0, 0, size) })
	if errors.Is(err, errors.ErrUnsupported) {
		return nil
	}
	return err
}

// shareRequestIDs shares the table of IDs with the other processes of this balancer, if the file can be used. It is
// called before start.
func (l *loop) shareRequestIDs(path string) {
	table, err := openSharedIDs(path)
	uptime, uptimeErr := l.uptime()
	if err = cmp.Or(err, uptimeErr); err != nil {
		slog.Error("the other process of an upgrade will not know which requests have run", "err", err)
		return
	}
	table.clockOffset = uptime - l.now()
	l.requestIDs = table
}

// hashRequestID returns a hash of an ID that is the same in all processes.
func hashRequestID(id string) uint64 {
	sum := sha256.Sum256([]byte(id))
	return max(1, binary.LittleEndian.Uint64(sum[:])) // 0 stands for no ID
}

// claim stores an ID until a time and reports true, or reports false if it is stored already. Times are by the loop's
// clock.
func (t *requestIDTable) claim(id string, now, until time.Duration) bool {
	if t.slots == nil {
		t.slots = make([]idSlot, idSlots)
	}
	hash := hashRequestID(id)
	for {
		free, found := t.find(hash, now)
		if found {
			return false
		}
		if old := free.hash.Load(); free.hash.CompareAndSwap(old, hash) { // fails if another process was first
			free.until.Store(int64(until + t.clockOffset))
			return true
		}
	}
}

// setUntil changes the time until which a claimed ID is stored.
func (t *requestIDTable) setUntil(id string, now, until time.Duration) {
	if slot, found := t.find(hashRequestID(id), now); found {
		slot.until.Store(int64(until + t.clockOffset))
	}
}

// find returns the slot of an ID, or else the slot that the ID would take.
func (t *requestIDTable) find(hash uint64, now time.Duration) (slot *idSlot, found bool) {
	now += t.clockOffset
	for i := range uint64(idProbes) {
		s := &t.slots[(hash+i)%idSlots]
		if s.hash.Load() == hash && s.until.Load() > int64(now) {
			return s, true
		}
		if slot == nil || max(s.until.Load(), int64(now)) < max(slot.until.Load(), int64(now)) {
			slot = s
		}
	}
	return slot, false
}

// claimID reports whether a request may be served, and if so keeps its ID until it ends. The upstream could not tell
// two open requests with one ID apart, so the earlier one goes on. One that may not simply be repeated is not served
// again after it may have run.
func (l *loop) claimID(r *request) bool {
	if l.openIDs[r.clientRequestID] {
		return false
	}
	if r.unsafe() {
		now := l.now()
		if !l.requestIDs.claim(r.clientRequestID, now, now+maxOpenTime) {
			return false
		}
		r.idClaimed = true
	}
	l.openIDs[r.clientRequestID] = true
	return true
}

// releaseRequestID forgets the ID of a request that has ended, or keeps it for some time if the request may have run and
// its client is not known to have the response.
func (l *loop) releaseRequestID(r *request) {
	delete(l.openIDs, r.clientRequestID)
	if !r.idClaimed {
		return
	}
	now := l.now()
	until := now
	if !r.responseDelivered && r.mayHaveRun() {
		until += idRetention
	}
	l.requestIDs.setUntil(r.clientRequestID, now, until)
}

// mayHaveRun reports whether an attempt that has ended may have been executed.
func (r *request) mayHaveRun() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// responseDelivered reports that a response is written and its client is still connected, so that the client has no
// reason to send the request again.
type responseDelivered struct{ *request }

func (e responseDelivered) apply(l *loop) {
	r := e.request
	r.responseDelivered = true
	if _, open := l.requests[r.ID]; !open {
		l.releaseRequestID(r)
	}
}

// unsafe reports whether the request may not simply be repeated.
func (r *request) unsafe() bool {
	return r.ClassSettings != nil && r.ClassSettings.Idempotency != garnettide.Idempotent
}

// responseLost reports that the write of a response has failed after responseDelivered was posted.
type responseLost struct{ *request }

func (e responseLost) apply(l *loop) {
	r := e.request
	r.responseDelivered = false
	if now := l.now(); r.idClaimed && r.mayHaveRun() && !l.openIDs[r.clientRequestID] {
		l.requestIDs.claim(r.clientRequestID, now, now+idRetention) // another process may have claimed it since
	}
}
