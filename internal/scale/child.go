package scale

import (
	"errors"
	"fmt"
	"io"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// This file starts the run's other processes, calls them over their standard input and output (a line of JSON for each call
// and each reply), watches the memory of all together, and ends them, each by the id it was started with.

// The roles of a child process.
const (
	RoleDiscovery = "discovery"
	RoleHollow    = "hollow"
)

const (
	childrenMost = 300
	// memoryMost is what all processes of a run may hold together, bytes: half of a machine of 24 GB.
	memoryMost  = 12 << 30
	memoryEvery = time.Second
	callMost    = 2 * time.Minute // that a child may take over a call
	endMost     = 10 * time.Second
)

// stdio is a child's side of the calls.
type stdio struct {
	io.ReadCloser
	io.Writer
}

// ServeRole serves a child's calls on standard input and output until the input ends.
func ServeRole(role string) error {
	s := rpc.NewServer()
	var err error
	switch role {
	case RoleDiscovery:
		d := &Discovery{}
		defer d.Stop()
		err = s.Register(d)
	case RoleHollow:
		h := &Hollow{}
		defer h.StopAll()
		err = s.Register(h)
	default:
		err = fmt.Errorf("role %q is unknown", role)
	}
	if err != nil {
		return err
	}
	s.ServeCodec(jsonrpc.NewServerCodec(stdio{os.Stdin, os.Stdout}))
	return nil
}

// child is a process that the run has started.
type child struct {
	name  string
	cmd   *exec.Cmd
	calls *rpc.Client // nil: it takes none
	ended chan struct{}
	err   error // of its end, once ended is closed
}

// call calls a method of a child and waits for the reply.
func (c *child) call(method string, args, reply any) error {
	select {
	case done := <-c.calls.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		if done.Error != nil {
			return fmt.Errorf("%s: %s: %w", c.name, method, done.Error)
		}
		return nil
	case <-c.ended:
		return fmt.Errorf("%s: %s: the process has ended: %v", c.name, method, c.err)
	case <-time.After(callMost):
		return fmt.Errorf("%s: %s: no reply in %v", c.name, method, callMost)
	}
}

// children are the processes of a run.
type children struct {
	dir string // for their logs

	mu   sync.Mutex
	all  []*child
	logs int
	peak int64 // memory of all together, bytes
}

// role starts this program in a role.
func (k *children) role(role, name string) (*child, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	cmd := exec.Command(self, "--role="+role)
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	c, err := k.start(name, cmd)
	if err != nil {
		return nil, err
	}
	c.calls = jsonrpc.NewClient(struct {
		io.Reader
		io.WriteCloser
	}{out, in})
	return c, nil
}

// start starts a process. Its standard error goes into a file of its own, unless it is set already.
func (k *children) start(name string, cmd *exec.Cmd) (*child, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.all) >= childrenMost {
		return nil, fmt.Errorf("starting %s: %d processes are the most", name, childrenMost)
	}
	var log *os.File
	if cmd.Stderr == nil {
		var err error
		k.logs++
		if log, err = os.Create(filepath.Join(k.dir, fmt.Sprintf("%s-%d.log", name, k.logs))); err != nil {
			return nil, fmt.Errorf("starting %s: %w", name, err)
		}
		defer log.Close()
		cmd.Stderr = log
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the run
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	c := &child{name: name, cmd: cmd, ended: make(chan struct{})}
	k.all = append(k.all, c)
	go func() {
		c.err = cmd.Wait()
		close(c.ended)
	}()
	return c, nil
}

// end ends a process: its input is closed, or it gets SIGTERM; SIGKILL if that does not do.
func (k *children) end(c *child) {
	if c.calls != nil {
		c.calls.Close()
	} else {
		c.cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-c.ended:
	case <-time.After(endMost):
		c.cmd.Process.Kill()
		<-c.ended
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for i, x := range k.all {
		if x == c {
			k.all = append(k.all[:i], k.all[i+1:]...)
			return
		}
	}
}

// endAll ends all processes.
func (k *children) endAll() {
	k.mu.Lock()
	all := append([]*child(nil), k.all...)
	k.mu.Unlock()
	var wait sync.WaitGroup
	for _, c := range all {
		wait.Go(func() { k.end(c) })
	}
	wait.Wait()
}

// memory is what all processes of the run hold, this one included. Pages that they share count for each.
func (k *children) memory() int64 {
	k.mu.Lock()
	pids := []int{os.Getpid()}
	for _, c := range k.all {
		pids = append(pids, c.cmd.Process.Pid)
	}
	k.mu.Unlock()
	var sum int64
	for _, pid := range pids {
		if u, err := processUsage(pid); err == nil { // one that has just ended holds none
			sum += u.RSS
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.peak = max(k.peak, sum)
	return sum
}

var errMemory = errors.New("the run holds more memory than it may")

// watch looks after the memory until stop is closed. Over the bound it calls over, once.
func (k *children) watch(stop <-chan struct{}, over func(error)) {
	tick := time.NewTicker(memoryEvery)
	defer tick.Stop()
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if sum := k.memory(); sum > memoryMost {
			over(fmt.Errorf("%w: %d MB of %d", errMemory, sum>>20, memoryMost>>20))
			return
		}
	}
}
