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

// This file starts the child processes of a run, calls them by JSON-RPC over their standard input and output,
// limits their total memory and stops them.

// Roles of a child process that runs this program.
const (
	RoleDiscovery = "discovery"
	RoleHollow    = "hollow"
)

// balancerChild is the name of the children that run a balancer.
const balancerChild = "balancer"

const (
	maxChildren = 300
	// maxRunMemoryBytes limits the resident memory of all processes of a run together. It is half of the memory
	// of a host with 24 GiB.
	maxRunMemoryBytes   = 12 << 30
	memoryCheckInterval = time.Second
	childCallTimeout    = 2 * time.Minute
	childStopTimeout    = 10 * time.Second
)

// stdioConn is the child's end of the RPC connection.
type stdioConn struct {
	io.ReadCloser
	io.Writer
}

// ServeRole serves RPC calls for a role on standard input and output until the input ends. An unknown role is
// an error.
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
		err = fmt.Errorf("unknown role %q", role)
	}
	if err != nil {
		return err
	}
	s.ServeCodec(jsonrpc.NewServerCodec(stdioConn{os.Stdin, os.Stdout}))
	return nil
}

// child is a process started by the run.
type child struct {
	name      string
	cmd       *exec.Cmd
	rpcClient *rpc.Client   // nil if the process serves no RPC
	exited    chan struct{} // closed when the process has exited
	err       error         // result of Wait; valid once exited is closed
}

// call calls an RPC method of the child and waits for the reply, at most childCallTimeout.
func (c *child) call(method string, args, reply any) error {
	select {
	case done := <-c.rpcClient.Go(method, args, reply, make(chan *rpc.Call, 1)).Done:
		if done.Error != nil {
			return fmt.Errorf("%s: %s: %w", c.name, method, done.Error)
		}
		return nil
	case <-c.exited:
		return fmt.Errorf("%s: %s: process exited: %v", c.name, method, c.err)
	case <-time.After(childCallTimeout):
		return fmt.Errorf("%s: %s: no reply within %v", c.name, method, childCallTimeout)
	}
}

// processGroup holds the child processes of a run. Its methods may be called from any goroutine.
type processGroup struct {
	dir string // of log files and the directories of fleets

	mu              sync.Mutex
	children        []*child
	reserved        []reservedAddress // that children listen on
	logCount        int               // log files created so far
	peakMemoryBytes int64             // highest result of memoryBytes
}

// startRole starts this program in a role and connects to its RPC service.
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

// start starts cmd as a child. Standard error goes to a new log file unless cmd has set it. It is an error if
// there are maxChildren children already.
func (p *processGroup) start(name string, cmd *exec.Cmd) (*child, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.children) >= maxChildren {
		return nil, fmt.Errorf("starting %s: limit of %d processes reached", name, maxChildren)
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // children are killed if this process ends
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

// stop stops a child by closing its RPC connection or, without one, by SIGTERM, and by SIGKILL after
// childStopTimeout. It returns when the process has exited.
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

// reserveAddress reserves an address, until stopAll, for a child that is to listen there.
func (p *processGroup) reserveAddress() (string, error) {
	r, err := reserveAddress()
	if err != nil {
		return "", err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved = append(p.reserved, r)
	return r.address, nil
}

// stopAll stops all children at the same time, and then releases the reserved addresses.
func (p *processGroup) stopAll() {
	p.mu.Lock()
	children, reserved := append([]*child(nil), p.children...), p.reserved
	p.reserved = nil
	p.mu.Unlock()
	var wg sync.WaitGroup
	for _, c := range children {
		wg.Go(func() { p.stop(c) })
	}
	wg.Wait()
	for _, r := range reserved {
		r.release()
	}
}

// memoryBytes returns the resident memory of all processes of the run, including this one, and records the
// peak. Shared pages count once for each process.
func (p *processGroup) memoryBytes() int64 {
	p.mu.Lock()
	pids := []int{os.Getpid()}
	for _, c := range p.children {
		pids = append(pids, c.cmd.Process.Pid)
	}
	p.mu.Unlock()
	var sum int64
	for _, pid := range pids {
		if u, err := processUsage(pid); err == nil { // a process that has just exited uses none
			sum += u.RSS
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peakMemoryBytes = max(p.peakMemoryBytes, sum)
	return sum
}

// balancersMemory returns the memory of all balancer processes that have not exited, without counting twice the pages of
// their program.
func (p *processGroup) balancersMemory() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var private, program int64
	for _, c := range p.children {
		if memory, err := processMemory(c.cmd.Process.Pid); c.name == balancerChild && err == nil {
			private += memory.private
			program = max(program, memory.file)
		}
	}
	return private + program
}

// errMemoryLimit is the reason for aborting a run that exceeds maxRunMemoryBytes.
var errMemoryLimit = errors.New("memory limit of the run exceeded")

// watchMemory checks the memory at intervals until stop is closed. When the limit is exceeded it calls
// onExceeded once and returns.
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
			onExceeded(fmt.Errorf("%w: %d MB, limit %d MB", errMemoryLimit, sum>>20, maxRunMemoryBytes>>20))
			return
		}
	}
}
