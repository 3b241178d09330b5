package scale

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// This file runs real balancers, processes of the operators' program, as the page on deployment says. What each uses is read
// by procfs; whether it serves, from /healthz, as a front does.

const (
	healthCheckInterval = 100 * time.Millisecond
	healthCheckTimeout  = time.Second
	readyTimeout        = 40 * time.Second
)

// realOne is a real balancer. It keeps its name and its address over restarts.
type realBalancer struct {
	spec     BalancerSpec
	path     string
	program  string
	child    *child
	admitted atomic.Bool  // the front sends it requests
	readyAt  atomic.Int64 // when it first was healthy since its start, Unix ns
}

// startReal starts a balancer's process.
func (f *fleet) startRealBalancer(r *realBalancer) error {
	cmd := exec.Command(r.program)
	tmp := filepath.Join(f.dir, "tmp-"+r.spec.Name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("starting %s: %w", r.spec.Name, err)
	}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.path, "TMPDIR="+tmp)
	r.readyAt.Store(0)
	var err error
	r.child, err = f.processes.start(r.spec.Name, cmd)
	return err
}

// hangup sends a balancer SIGHUP.
func (r *realBalancer) hangup() error {
	if err := r.child.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("%s: SIGHUP: %w", r.spec.Name, err)
	}
	return nil
}

// front asks a balancer's health until ctx ends, and admits it by that.
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

// awaitReady waits until a balancer has been healthy since its start.
func (r *realBalancer) awaitReady() error {
	for start := time.Now(); r.readyAt.Load() == 0; time.Sleep(healthCheckInterval / 5) {
		select {
		case <-r.child.exited:
			return fmt.Errorf("%s has ended: %v", r.spec.Name, r.child.err)
		default:
		}
		if time.Since(start) > readyTimeout {
			return fmt.Errorf("%s is not healthy after %v", r.spec.Name, readyTimeout)
		}
	}
	return nil
}

// freeAddress is a loopback address on which nothing listens just now.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("looking for a free address: %w", err)
	}
	defer l.Close()
	return l.Addr().String(), nil
}
