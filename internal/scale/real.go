package scale

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// This file runs real balancers: processes of the balancer program that receive client requests while
// /healthz answers 200.

const (
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
	readyTimeout        = 40 * time.Second
)

// realBalancer is a real balancer. Its name and address stay the same across restarts.
type realBalancer struct {
	spec     BalancerSpec
	path     string // of the configuration file
	program  string // path
	child    *child
	admitted atomic.Bool  // its last health check passed, so clients use it
	readyAt  atomic.Int64 // first successful health check since its start, Unix time in ns; 0: none
}

// balancerCommand returns the command that starts a balancer's program with a configuration file. It creates the
// program's directory for temporary files.
func balancerCommand(program, configPath, tempDir string) (*exec.Cmd, error) {
	if err := os.MkdirAll(tempDir, 0o700); err != nil {
		return nil, fmt.Errorf("starting a balancer: %w", err)
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+configPath, "TMPDIR="+tempDir)
	return cmd, nil
}

// startRealBalancer starts the process of a balancer.
func (f *fleet) startRealBalancer(r *realBalancer) error {
	cmd, err := balancerCommand(r.program, r.path, filepath.Join(f.dir, "tmp-"+r.spec.Name))
	if err != nil {
		return err
	}
	r.readyAt.Store(0)
	r.child, err = f.processes.start(r.spec.Name, cmd)
	return err
}

// hangup sends SIGHUP to the balancer.
func (r *realBalancer) hangup() error {
	if err := r.child.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("%s: SIGHUP: %w", r.spec.Name, err)
	}
	return nil
}

// checkHealth polls /healthz until ctx ends and updates admitted and readyAt.
func (r *realBalancer) checkHealth(ctx context.Context) {
	client := &http.Client{Timeout: healthCheckTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		resp, err := client.Get("http://" + r.spec.Listen + "/healthz")
		healthy := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		if healthy {
			r.readyAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		r.admitted.Store(healthy)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// awaitReady waits until the balancer has passed a health check since its start. It fails if the process
// exits or after readyTimeout.
func (r *realBalancer) awaitReady() error {
	for start := time.Now(); r.readyAt.Load() == 0; time.Sleep(healthCheckInterval / 5) {
		select {
		case <-r.child.exited:
			return fmt.Errorf("%s has exited: %v", r.spec.Name, r.child.err)
		default:
		}
		if time.Since(start) > readyTimeout {
			return fmt.Errorf("%s is not healthy after %v", r.spec.Name, readyTimeout)
		}
	}
	return nil
}
