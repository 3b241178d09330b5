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

// This file hands service over from one process to the next: the listening socket, what operators have called for, and
// the knowledge that there are two.

const (
	// followEvery is how often a process looks for what the other one was told. A yes waits for two looks, and an
	// operator waits a second.
	ordersPollInterval = 20 * time.Millisecond
	// lockEvery is the time between two tries at the lock, which is held for one read and one write.
	lockRetryInterval = 2 * time.Millisecond
	// ordersMost bounds the file: as many ids as are kept, with names of usual length.
	maxOrdersBytes = 256 << 10
	// overlap is how many processes share the limits: the old one and the new one. More may live, where one that was
	// replaced has not ended yet.
	overlapProcesses = 2
	maxProcesses     = 4
)

// Listen returns the clients' listener: the inherited one if there is one.
func Listen(c *Config) (net.Listener, error) {
	if c.Inherited == 0 {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening for clients: %w", err)
		}
		return l, nil
	}
	// A socket that does not listen would be taken for one, and show only when nobody can be accepted.
	if on, err := syscall.GetsockoptInt(c.Inherited, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("RELAY_INHERITED_FD: descriptor %d is no listening socket: %w", c.Inherited,
			errorOr(err, syscall.EINVAL))
	}
	f := os.NewFile(uintptr(c.Inherited), "inherited listener")
	defer f.Close() // the listener has one of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("RELAY_INHERITED_FD: %w", err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("RELAY_INHERITED_FD: descriptor %d listens on %s, TCP is wanted", c.Inherited, l.Addr().Network())
	}
	return l, nil
}

func errorOr(err, fallback error) error {
	if err != nil {
		return err
	}
	return fallback
}

// orders are what operators have called for and not called back.
type operatorOrders struct {
	OutOfService bool     `json:"out_of_service"`
	Offline      []string `json:"offline"`
}

// stateFile keeps the orders in a file that the processes of one balancer share, one after another and while they overlap.
type stateFile struct {
	path        string
	shared      bool     // another process may live beside this one
	processLock *os.File // locked for as long as this process lives
	slot        int      // which of the files that tell who lives

	current     atomic.Pointer[operatorOrders]
	mu          sync.Mutex  // over changes of held
	currentInfo os.FileInfo // of the file that held was read from
}

// openStateFile reads what the process before has left. A file that can't be used is reported and no more: the start goes on.
func openStateFile(c *Config) (*stateFile, error) {
	s := &stateFile{path: filepath.Join(c.StateDir, "olivearch-"+url.PathEscape(c.Name)+".json"), shared: c.Inherited != 0}
	for try := 0; s.shared && s.processLock == nil && try < 10*maxProcesses; try++ { // another one's look lasts for a moment
		s.slot = try % maxProcesses
		var err error
		if s.processLock, err = tryLock(s.processLockPath(s.slot)); err != nil {
			return nil, fmt.Errorf("orders: %w", err)
		}
		if s.processLock == nil {
			time.Sleep(lockRetryInterval)
		}
	}
	o, _, err := s.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		slog.Info("orders: none are kept", "file", s.path)
	case err != nil:
		slog.Error("orders: what is kept can't be used, nothing counts as called out", "err", err)
	default:
		slog.Info("orders read", "out_of_service", o.OutOfService, "offline", o.Offline)
	}
	s.current.Store(&o)
	return s, nil
}

func (s *stateFile) processLockPath(slot int) string { return fmt.Sprintf("%s.life%d", s.path, slot) }

// close gives up what is locked.
func (s *stateFile) close() {
	if s.processLock != nil {
		s.processLock.Close()
	}
}

// tryLock locks a file if nobody else has. Whoever holds the lock and dies has given it up.
func tryLock(path string) (*os.File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		return nil, nil
	}
	return f, nil
}

// alone tells whether no other process of this balancer lives.
func (s *stateFile) alone() bool {
	for slot := range maxProcesses {
		if !s.shared || slot == s.slot {
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

// read reads the file. Without an error it is whole: it is replaced, never written over.
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
		return operatorOrders{}, info, fmt.Errorf("%s: over %d bytes", s.path, maxOrdersBytes)
	}
	if err := json.Unmarshal(data, &o); err != nil {
		return operatorOrders{}, info, fmt.Errorf("%s: %w", s.path, err)
	}
	return o, info, nil
}

// news looks whether another process was told anything since the last look.
func (s *stateFile) refresh() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	info, err := os.Stat(s.path)
	if err != nil || (s.currentInfo != nil && os.SameFile(info, s.currentInfo) && info.ModTime().Equal(s.currentInfo.ModTime())) {
		return false
	}
	o, info, err := s.read()
	if s.currentInfo = info; err != nil {
		slog.Error("orders: a change can't be read, what held before holds", "err", err)
		return false
	}
	s.current.Store(&o)
	return true
}

// change notes a call, on top of what the other process has noted.
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
	if err != nil { // missing, or spoilt: what this process goes by is the best there is
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
