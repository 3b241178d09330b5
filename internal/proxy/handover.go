package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file hands service over from one process of a balancer to the next: the listening socket, the
// operators' orders, and the detection of other running processes.

const (
	// ordersPollInterval is how often a process checks for orders stored by another one. A call waits for
	// two checks within adminCallTimeout.
	ordersPollInterval = 20 * time.Millisecond
	// lockRetryInterval is the time between two attempts to lock the state file. The lock is held for one
	// read and one write.
	lockRetryInterval = 2 * time.Millisecond
	// maxOrdersBytes limits the size of the state file. 14,000 upstream IDs of usual length fit.
	maxOrdersBytes = 256 << 10
	// overlapProcesses is how many processes share the limits: the old one and the new one. Up to
	// maxProcesses may run if earlier ones have not ended yet.
	overlapProcesses = 2
	maxProcesses     = 4
)

// Listen returns the listener for clients. If c.InheritedFD is set, it duplicates that descriptor, which must
// be a listening TCP socket, and closes the original; otherwise it listens on c.Listen.
func Listen(c *Config) (net.Listener, error) {
	if c.InheritedFD == 0 {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("client listener: %w", err)
		}
		return l, nil
	}
	// net.FileListener accepts a socket that is not listening; only Accept would fail.
	if on, err := syscall.GetsockoptInt(c.InheritedFD, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("RELAY_INHERITED_FD: descriptor %d is not a listening socket: %w", c.InheritedFD,
			errorOr(err, syscall.EINVAL))
	}
	f := os.NewFile(uintptr(c.InheritedFD), "inherited listener")
	defer f.Close() // net.FileListener duplicates the descriptor
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("RELAY_INHERITED_FD: %w", err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("RELAY_INHERITED_FD: descriptor %d listens on %s, not TCP", c.InheritedFD, l.Addr().Network())
	}
	return l, nil
}

// errorOr returns err, or fallback if err is nil.
func errorOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// operatorOrders are the orders of operators that are in force, as stored in the state file. Offline holds
// discovery IDs.
type operatorOrders struct {
	OutOfService bool     `json:"out_of_service"`
	Offline      []string `json:"offline"`
}

// stateFile stores the orders in a file that successive and overlapping processes of one balancer share.
type stateFile struct {
	path   string
	shared bool // other processes of this balancer may be running

	slotMu      sync.Mutex // held while processLock and slot change
	processLock *os.File   // locked while this process runs; nil: not shared, or no slot could be locked
	slot        int        // number of the lock file of this process, below maxProcesses

	current     atomic.Pointer[operatorOrders]
	mu          sync.Mutex  // held while current and currentInfo change
	currentInfo os.FileInfo // of the file that current was last read from or written to
}

// openStateFile reads the orders stored by earlier processes. A file that can't be used is logged and does
// not prevent the start. If other processes may be running, it also locks a slot for this one.
func openStateFile(c *Config) *stateFile {
	s := &stateFile{path: filepath.Join(c.StateDir, "olivearch-"+url.PathEscape(c.Name)+".json"),
		shared: c.InheritedFD != 0}
	// The method alone, in another process, locks free slots for a moment, so each slot is tried several times.
	for try := 0; s.shared && s.processLock == nil && try < 10*maxProcesses; try++ {
		locked, err := s.lockSlot(try % maxProcesses)
		if err != nil { // the folder may be full for a while: followOrders tries again
			slog.Error("orders: locking the process file failed: other processes do not see this one yet", "err", err)
			break
		}
		if !locked {
			time.Sleep(lockRetryInterval)
		}
	}
	o, _, err := s.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		slog.Info("orders: no state file", "file", s.path)
	case err != nil:
		slog.Error("orders: reading the state file failed: starting in service with no upstream offline", "err", err)
	default:
		slog.Info("orders read", "out_of_service", o.OutOfService, "offline", o.Offline)
	}
	s.current.Store(&o)
	return s
}

// lockSlot locks a slot for this process, and reports whether it was free.
func (s *stateFile) lockSlot(slot int) (locked bool, err error) {
	s.slotMu.Lock()
	defer s.slotMu.Unlock()
	s.slot = slot
	s.processLock, err = tryLock(s.processLockPath(slot))
	return s.processLock != nil, err
}

// ownSlot returns the slot of this process, and whether it is locked.
func (s *stateFile) ownSlot() (slot int, locked bool) {
	s.slotMu.Lock()
	defer s.slotMu.Unlock()
	return s.slot, s.processLock != nil
}

// retryLock tries to lock a slot if none could be locked so far.
func (s *stateFile) retryLock() {
	slot, locked := s.ownSlot()
	if !s.shared || locked {
		return
	}
	if locked, _ = s.lockSlot((slot + 1) % maxProcesses); locked { // an error was logged before
		slog.Info("orders: other processes see this one now")
	}
}

// processLockPath returns the lock file of a slot.
func (s *stateFile) processLockPath(slot int) string { return fmt.Sprintf("%s.life%d", s.path, slot) }

// close releases the slot of this process.
func (s *stateFile) close() {
	s.slotMu.Lock()
	defer s.slotMu.Unlock()
	if s.processLock != nil {
		s.processLock.Close()
	}
}

// tryLock opens and locks a file. It returns nil without an error if the file is locked. The lock ends with
// the process.
func tryLock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := retryInterrupted(func() error { return syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) }); err != nil {
		f.Close()
		return nil, nil
	}
	return f, nil
}

// alone reports whether no other process of this balancer is running.
func (s *stateFile) alone() bool {
	own, locked := s.ownSlot()
	for slot := range maxProcesses {
		if !s.shared || locked && slot == own {
			continue
		}
		f, err := tryLock(s.processLockPath(slot))
		if err == nil && f == nil {
			return false
		}
		if f != nil {
			f.Close()
		}
	}
	return true
}

// read reads the state file. The file is always replaced by renaming, so it is never read half written.
func (s *stateFile) read() (operatorOrders, os.FileInfo, error) {
	var o operatorOrders
	f, err := os.Open(s.path)
	if err != nil {
		return o, nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return o, nil, err
	}
	data, err := io.ReadAll(io.LimitReader(f, maxOrdersBytes+1))
	if err != nil {
		return o, info, err
	}
	if len(data) > maxOrdersBytes {
		return operatorOrders{}, info, fmt.Errorf("%s: larger than %d bytes", s.path, maxOrdersBytes)
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return operatorOrders{}, info, fmt.Errorf("%s: %w", s.path, err)
	}
	return o, info, nil
}

// refresh reads the state file if it has changed, and reports whether it has read orders.
func (s *stateFile) refresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.path)
	if err != nil || (s.currentInfo != nil && os.SameFile(info, s.currentInfo) &&
		info.ModTime().Equal(s.currentInfo.ModTime())) {
		return false
	}
	o, info, err := s.read()
	if s.currentInfo = info; err != nil {
		slog.Error("orders: reading the changed state file failed: the previous orders stay", "err", err)
		return false
	}
	s.current.Store(&o)
	return true
}

// update applies modify to the stored orders, including those of other processes, and writes them back.
func (s *stateFile) update(ctx context.Context, modify func(*operatorOrders)) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	lock, err := tryLock(s.path + ".lock")
	for err == nil && lock == nil {
		select {
		case <-ctx.Done():
			return fmt.Errorf("orders: the lock is held: %w", ctx.Err())
		case <-time.After(lockRetryInterval):
			lock, err = tryLock(s.path + ".lock")
		}
	}
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	defer lock.Close()
	o, _, err := s.read()
	if err != nil { // missing or invalid: start from the orders of this process
		o = *s.current.Load()
	}
	o.Offline = slices.Clone(o.Offline)
	modify(&o)
	var data bytes.Buffer
	if err := json.NewEncoder(&data).Encode(o); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	if err := os.WriteFile(s.path+".new", data.Bytes(), 0o600); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	if err := os.Rename(s.path+".new", s.path); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	s.current.Store(&o)
	s.currentInfo, _ = os.Stat(s.path)
	return nil
}
