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
	healthEvery = 100 * time.Millisecond
	healthMost  = time.Second
	readyMost   = 40 * time.Second
)

// realOne is a real balancer. It keeps its name and its address over restarts.
type realOne struct {
	spec     Spec
	path     string
	program  string
	child    *child
	admitted atomic.Bool  // the front sends it requests
	readyAt  atomic.Int64 // when it first was healthy since its start, Unix ns
}

// startReal starts a balancer's process.
func (f *fleet) startReal(r *realOne) error {
	cmd := exec.Command(r.program)
	tmp := filepath.Join(f.dir, "tmp-"+r.spec.Name)
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return fmt.Errorf("starting %s: %w", r.spec.Name, err)
	}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+r.path, "TMPDIR="+tmp)
	r.readyAt.Store(0)
	var err error
	r.child, err = f.kids.start(r.spec.Name, cmd)
	return err
}

// hangup sends a balancer SIGHUP.
func (r *realOne) hangup() error {
	if err := r.child.cmd.Process.Signal(syscall.SIGHUP); err != nil {
		return fmt.Errorf("%s: SIGHUP: %w", r.spec.Name, err)
	}
	return nil
}

// front asks a balancer's health until ctx ends, and admits it by that.
func (r *realOne) front(ctx context.Context) {
	client := &http.Client{Timeout: healthMost, Transport: &http.Transport{DisableKeepAlives: true}}
	tick := time.NewTicker(healthEvery)
	defer tick.Stop()
	for {
		resp, err := client.Get("http://" + r.spec.Listen + "/healthz")
		well := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			resp.Body.Close()
		}
		if well {
			r.readyAt.CompareAndSwap(0, time.Now().UnixNano())
		}
		r.admitted.Store(well)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// awaitReady waits until a balancer has been healthy since its start.
func (r *realOne) awaitReady() error {
	for began := time.Now(); r.readyAt.Load() == 0; time.Sleep(healthEvery / 5) {
		select {
		case <-r.child.ended:
			return fmt.Errorf("%s has ended: %v", r.spec.Name, r.child.err)
		default:
		}
		if time.Since(began) > readyMost {
			return fmt.Errorf("%s is not healthy after %v", r.spec.Name, readyMost)
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
