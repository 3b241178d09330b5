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
	maxChildren = 300
	// memoryMost is what all processes of a run may hold together, bytes: half of a machine of 24 GB.
	maxRunMemoryBytes   = 12 << 30
	memoryCheckInterval = time.Second
	childCallTimeout    = 2 * time.Minute // that a child may take over a call
	childStopTimeout    = 10 * time.Second
)

// stdio is a child's side of the calls.
type stdioConn struct {
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
	s.ServeCodec(jsonrpc.NewServerCodec(stdioConn{os.Stdin, os.Stdout}))
	return nil
}

// child is a process that the run has started.
type child struct {
	name      string
	cmd       *exec.Cmd
	rpcClient *rpc.Client // nil: it takes none
	exited    chan struct{}
	err       error // of its end, once ended is closed
}

// call calls a method of a child and waits for the reply.
func (c *child) call(method string, args, reply any) error {
	select {
	case done := <-c.rpcClient.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		if done.Error != nil {
			return fmt.Errorf("%s: %s: %w", c.name, method, done.Error)
		}
		return nil
	case <-c.exited:
		return fmt.Errorf("%s: %s: the process has ended: %v", c.name, method, c.err)
	case <-time.After(childCallTimeout):
		return fmt.Errorf("%s: %s: no reply in %v", c.name, method, childCallTimeout)
	}
}

// children are the processes of a run.
type processGroup struct {
	dir string // for their logs

	mu              sync.Mutex
	children        []*child
	logCount        int
	peakMemoryBytes int64 // memory of all together, bytes
}

// role starts this program in a role.
func (p *processGroup) startRole(role, name string) (*child, error) {
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
	c, err := p.start(name, cmd)
	if err != nil {
		return nil, err
	}
	c.rpcClient = jsonrpc.NewClient(struct {
		io.Reader
		io.WriteCloser
	}{out, in})
	return c, nil
}

// start starts a process. Its standard error goes into a file of its own, unless it is set already.
func (p *processGroup) start(name string, cmd *exec.Cmd) (*child, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.children) >= maxChildren {
		return nil, fmt.Errorf("starting %s: %d processes are the most", name, maxChildren)
	}
	var logFile *os.File
	if cmd.Stderr == nil {
		var err error
		p.logCount++
		if logFile, err = os.Create(filepath.Join(p.dir, fmt.Sprintf("%s-%d.log", name, p.logCount))); err != nil {
			return nil, fmt.Errorf("starting %s: %w", name, err)
		}
		defer logFile.Close()
		cmd.Stderr = logFile
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none outlives the run
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	c := &child{name: name, cmd: cmd, exited: make(chan struct{})}
	p.children = append(p.children, c)
	go func() {
		c.err = cmd.Wait()
		close(c.exited)
	}()
	return c, nil
}

// end ends a process: its input is closed, or it gets SIGTERM; SIGKILL if that does not do.
func (p *processGroup) stop(c *child) {
	if c.rpcClient != nil {
		c.rpcClient.Close()
	} else {
		c.cmd.Process.Signal(syscall.SIGTERM)
	}
	select {
	case <-c.exited:
	case <-time.After(childStopTimeout):
		c.cmd.Process.Kill()
		<-c.exited
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, other := range p.children {
		if other == c {
			p.children = append(p.children[:i], p.children[i+1:]...)
			return
		}
	}
}

// endAll ends all processes.
func (p *processGroup) stopAll() {
	p.mu.Lock()
	children := append([]*child(nil), p.children...)
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range children {
		wg.Go(func() { p.stop(c) })
	}
	wg.Wait()
}

// memory is what all processes of the run hold, this one included. Pages that they share count for each.
func (p *processGroup) memoryBytes() int64 {
	p.mu.Lock()
	pids := []int{os.Getpid()}
	for _, c := range p.children {
		pids = append(pids, c.cmd.Process.Pid)
	}
	p.mu.Unlock()
	var sum int64
	for _, pid := range pids {
		if u, err := processUsage(pid); err == nil { // one that has just ended holds none
			sum += u.RSS
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMemoryBytes = max(p.peakMemoryBytes, sum)
	return sum
}

var errMemoryLimit = errors.New("the run holds more memory than it may")

// watch looks after the memory until stop is closed. Over the bound it calls over, once.
func (p *processGroup) watchMemory(stop <-chan struct{}, onExceeded func(error)) {
	ticker := time.NewTicker(memoryCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if sum := p.memoryBytes(); sum > maxRunMemoryBytes {
			onExceeded(fmt.Errorf("%w: %d MB of %d", errMemoryLimit, sum>>20, maxRunMemoryBytes>>20))
			return
		}
	}
}
