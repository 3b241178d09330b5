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
	followEvery = 20 * time.Millisecond
	// lockEvery is the time between two tries at the lock, which is held for one read and one write.
	lockEvery = 2 * time.Millisecond
	// ordersMost bounds the file: as many ids as are kept, with names of usual length.
	ordersMost = 256 << 10
	// overlap is how many processes share the limits: the old one and the new one. More may live, where one that was
	// replaced has not ended yet.
	overlap   = 2
	livesMost = 4
)

// Listen returns the clients' listener: the inherited one if there is one.
func Listen(c *Config) (net.Listener, error) {
	if c.InheritedFD == 0 {
		l, err := net.Listen("tcp", c.Listen)
		if err != nil {
			return nil, fmt.Errorf("listening for clients: %w", err)
		}
		return l, nil
	}
	// A socket that does not listen would be taken for one, and show only when nobody can be accepted.
	if on, err := syscall.GetsockoptInt(c.InheritedFD, syscall.SOL_SOCKET, syscall.SO_ACCEPTCONN); err != nil || on == 0 {
		return nil, fmt.Errorf("RELAY_INHERITED_FD: descriptor %d is no listening socket: %w", c.InheritedFD,
			cmpError(err, syscall.EINVAL))
	}
	f := os.NewFile(uintptr(c.InheritedFD), "inherited listener")
	defer f.Close() // the listener has one of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("RELAY_INHERITED_FD: %w", err)
	}
	if _, ok := l.(*net.TCPListener); !ok {
		l.Close()
		return nil, fmt.Errorf("RELAY_INHERITED_FD: descriptor %d listens on %s, TCP is wanted", c.InheritedFD, l.Addr().Network())
	}
	return l, nil
}

func cmpError(err, otherwise error) error {
	if err != nil {
		return err
	}
	return otherwise
}

// orders are what operators have called for and not called back.
type orders struct {
	OutOfService bool     `json:"out_of_service"`
	Offline      []string `json:"offline"`
}

// stateFile keeps the orders in a file that the processes of one balancer share, one after another and while they overlap.
type stateFile struct {
	path   string
	shared bool     // another process may live beside this one
	life   *os.File // locked for as long as this process lives
	place  int      // which of the files that tell who lives

	held atomic.Pointer[orders]
	mu   sync.Mutex  // over changes of held
	seen os.FileInfo // of the file that held was read from
}

// openStateFile reads what the process before has left. A file that can't be used is reported and no more: the start goes on.
func openStateFile(c *Config) (*stateFile, error) {
	b := &stateFile{path: filepath.Join(c.StateDir, "olivearch-"+url.PathEscape(c.Name)+".json"), shared: c.InheritedFD != 0}
	for try := 0; b.shared && b.life == nil && try < 10*livesMost; try++ { // another one's look lasts for a moment
		b.place = try % livesMost
		var err error
		if b.life, err = tryLock(b.lifePath(b.place)); err != nil {
			return nil, fmt.Errorf("orders: %w", err)
		}
		if b.life == nil {
			time.Sleep(lockEvery)
		}
	}
	o, _, err := b.read()
	switch {
	case errors.Is(err, fs.ErrNotExist):
		slog.Info("orders: none are kept", "file", b.path)
	case err != nil:
		slog.Error("orders: what is kept can't be used, nothing counts as called out", "err", err)
	default:
		slog.Info("orders read", "out_of_service", o.OutOfService, "offline", o.Offline)
	}
	b.held.Store(&o)
	return b, nil
}

func (b *stateFile) lifePath(place int) string { return fmt.Sprintf("%s.life%d", b.path, place) }

// close gives up what is locked.
func (b *stateFile) close() {
	if b.life != nil {
		b.life.Close()
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
func (b *stateFile) alone() bool {
	for place := range livesMost {
		if !b.shared || place == b.place {
			continue
		}
		f, err := tryLock(b.lifePath(place))
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
func (b *stateFile) read() (orders, os.FileInfo, error) {
	var o orders
	f, err := os.Open(b.path)
	if err != nil {
		return o, nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return o, nil, err
	}
	text, err := io.ReadAll(io.LimitReader(f, ordersMost+1))
	if err != nil {
		return o, info, err
	}
	if len(text) > ordersMost {
		return orders{}, info, fmt.Errorf("%s: over %d bytes", b.path, ordersMost)
	}
	if err := json.Unmarshal(text, &o); err != nil {
		return orders{}, info, fmt.Errorf("%s: %w", b.path, err)
	}
	return o, info, nil
}

// news looks whether another process was told anything since the last look.
func (b *stateFile) news() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	info, err := os.Stat(b.path)
	if err != nil || (b.seen != nil && os.SameFile(info, b.seen) && info.ModTime().Equal(b.seen.ModTime())) {
		return false
	}
	o, info, err := b.read()
	if b.seen = info; err != nil {
		slog.Error("orders: a change can't be read, what held before holds", "err", err)
		return false
	}
	b.held.Store(&o)
	return true
}

// change notes a call, on top of what the other process has noted.
func (b *stateFile) change(ctx context.Context, by func(*orders)) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	lock, err := tryLock(b.path + ".lock")
	for err == nil && lock == nil {
		select {
		case <-ctx.Done():
			return fmt.Errorf("orders: the lock is held: %w", ctx.Err())
		case <-time.After(lockEvery):
			lock, err = tryLock(b.path + ".lock")
		}
	}
	if err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	defer lock.Close()
	o, _, err := b.read()
	if err != nil { // missing, or spoilt: what this process goes by is the best there is
		o = *b.held.Load()
	}
	o.Offline = slices.Clone(o.Offline)
	by(&o)
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(o); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	if err := os.WriteFile(b.path+".new", text.Bytes(), 0o600); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	if err := os.Rename(b.path+".new", b.path); err != nil {
		return fmt.Errorf("orders: %w", err)
	}
	b.held.Store(&o)
	b.seen, _ = os.Stat(b.path)
	return nil
}
