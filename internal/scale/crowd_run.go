package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"
)

// This file runs the crowd test: a real balancer process with little memory serves ordinary clients while a crowd holds
// as many connections as it can. The crowd may neither take the process over its memory limit nor keep the ordinary
// clients from their responses.

const (
	crowdUpstreams      = 9
	crowdMemoryInterval = 20 * time.Millisecond // between two readings of the balancer's memory
	crowdSettleTime     = time.Second           // without a crowd, before and after it
	// crowdMinServedShare is the share of ordinary requests that must be served: what the gate of the standing test
	// requires of a day.
	crowdMinServedShare = 0.5
	minRandomCrowd      = 100 // clients of random cases
	maxRandomCrowd      = 1000
	randomCrowdDuration = 15 * time.Second
	maxCrowdFaultLines  = 20      // faults that an error lists
	maxCrowdLogBytes    = 4 << 10 // of the balancer's log that an error quotes
)

// CrowdCase describes a run of the crowd test.
type CrowdCase struct {
	Name       string
	MemoryMB   int // limits of the balancer
	Sockets    int
	Clients    int // of the crowd
	Behaviours []CrowdBehaviour
	Duration   time.Duration // for which the crowd is there
	Seed       uint64
}

// CrowdResult is the result of a run.
type CrowdResult struct {
	Case         CrowdCase
	PeakMemory   int64 // highest resident memory of the balancer, in bytes
	CPU          time.Duration
	Requests     int         // of ordinary clients
	Statuses     map[int]int // number of these requests by the status of their response; 0: no response
	SlowestReply time.Duration
	MaxDelay     time.Duration // longest scheduling delay of the test's own process
	Faults       []SoakFault
	LogPath      string // of the balancer
}

// crowdRun is the state of a run.
type crowdRun struct {
	dir       string
	processes *processGroup
	listen    string
	balancer  *child
	discovery *discoveryServer

	mu       sync.Mutex // guards the fields below
	result   CrowdResult
	requests []*ordinaryRequest
	serial   uint64
}

// RunCrowd runs a case against the balancer's program at the given path, with files in dir.
func RunCrowd(program string, c CrowdCase, dir string) (CrowdResult, error) {
	r := &crowdRun{dir: dir, processes: &processGroup{dir: dir}, result: CrowdResult{Case: c, Statuses: map[int]int{}}}
	defer r.processes.stopAll()
	upstream := &http.Server{Handler: http.HandlerFunc(serveCrowdUpstream)}
	defer upstream.Close()
	if err := r.start(program, upstream); err != nil {
		return r.result, err
	}
	defer r.discovery.setMode(ModeDown)
	r.run()
	return r.result, nil
}

// run plays the case and checks the result.
func (r *crowdRun) run() {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var running sync.WaitGroup
	maxDelay := time.Duration(0)
	running.Go(func() { maxDelay = maxSchedulingDelay(ctx) })
	running.Go(func() { r.watchMemory(ctx) })
	for i := range ordinaryClients {
		running.Go(func() { r.sendOrdinaryRequests(ctx, rand.New(rand.NewPCG(r.result.Case.Seed+1, uint64(i)))) })
	}
	time.Sleep(crowdSettleTime)
	c := r.result.Case
	crowdCtx, stopCrowd := context.WithTimeout(ctx, c.Duration)
	defer stopCrowd()
	(&crowd{r.listen, c.Clients, c.Behaviours, c.Seed, r.newRequestID}).run(crowdCtx)
	time.Sleep(crowdSettleTime)
	if usage, err := processUsage(r.balancer.cmd.Process.Pid); err == nil {
		r.result.CPU = usage.CPU
	}
	stop()
	running.Wait()
	r.result.MaxDelay = maxDelay
	r.checkOrdinary()
}

// newRequestID returns a new request ID.
func (r *crowdRun) newRequestID() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.serial++
	return fmt.Sprintf("%08x%08x", r.result.Case.Seed, r.serial)
}

// fault records a violation of a rule.
func (r *crowdRun) fault(rule, id, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Faults = append(r.result.Faults, SoakFault{rule, id, fmt.Sprintf(format, args...)})
}

// start starts the upstreams, discovery and the balancer, and waits until the balancer is healthy.
func (r *crowdRun) start(program string, upstream *http.Server) error {
	var addresses []string
	for range crowdUpstreams {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("opening an upstream listener: %w", err)
		}
		go upstream.Serve(l)
		addresses = append(addresses, l.Addr().String())
	}
	list := newList(crowdUpstreams, 1, addresses)
	var err error
	if r.discovery, err = newDiscoveryServer(list, &discoveryCounters{}, "127.0.0.1:0", Costs{}); err != nil {
		return err
	}
	if r.listen, err = r.processes.reserveAddress(); err != nil {
		return err
	}
	path := filepath.Join(r.dir, "config.json")
	template, err := newSettingsTemplate(soakDimensions, 0, list.listing())
	if err != nil {
		return err
	}
	if _, err := template.write(path, BalancerSpec{Name: "b0", Listen: r.listen, Discovery: r.discovery.address,
		Zone: zoneName(0), MemoryMB: r.result.Case.MemoryMB, Sockets: r.result.Case.Sockets}); err != nil {
		return err
	}
	cmd, err := balancerCommand(program, path, filepath.Join(r.dir, "tmp"))
	if err != nil {
		return err
	}
	if r.balancer, err = r.processes.start(balancerChild, cmd); err != nil {
		return err
	}
	r.result.LogPath = filepath.Join(r.dir, "balancer-1.log")
	return r.awaitHealthy()
}

// awaitHealthy waits until the balancer's health check succeeds.
func (r *crowdRun) awaitHealthy() error {
	for waitStart := time.Now(); time.Since(waitStart) < soakReadyTimeout; time.Sleep(soakPause) {
		resp, err := http.Get("http://" + r.listen + "/healthz")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the balancer did not become healthy")
}

// watchMemory reads the balancer's memory until ctx ends. It records a fault if the process ends, and one if it exceeds
// its limit.
func (r *crowdRun) watchMemory(ctx context.Context) {
	limit := int64(r.result.Case.MemoryMB) << 20
	for ctx.Err() == nil {
		sleepUntilDone(ctx, crowdMemoryInterval)
		select {
		case <-r.balancer.exited:
			r.fault("crash", "", "the balancer ended: %v", r.balancer.err)
			return
		default:
		}
		usage, err := processUsage(r.balancer.cmd.Process.Pid)
		if err != nil {
			continue // the process has just ended
		}
		if usage.RSS > limit && r.result.PeakMemory <= limit {
			r.fault("memory", "", "%d KiB of resident memory, the limit is %d KiB", usage.RSS>>10, limit>>10)
		}
		r.result.PeakMemory = max(r.result.PeakMemory, usage.RSS)
	}
}

// serveCrowdUpstream reads a request and responds with a body of the size that it asks for.
func serveCrowdUpstream(w http.ResponseWriter, req *http.Request) {
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	time.Sleep(soakUpstreamTime)
	w.Header().Set("X-Load", "util=0.30,qps=20")
	size, err := strconv.Atoi(req.Header.Get(crowdBodySizeHeader))
	if err != nil {
		io.WriteString(w, soakResponseBody(req.Header.Get("X-Request-Id")))
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	for piece := make([]byte, crowdPiece); size > 0; size -= crowdPiece {
		if _, err := w.Write(piece[:min(size, crowdPiece)]); err != nil {
			return
		}
	}
}

// errCrowd is returned for cases with faults.
var errCrowd = errors.New("crowd test found faults")

// Err returns nil if there are no faults. Otherwise the error lists the first of them and the end of the balancer's log.
func (r CrowdResult) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	text := fmt.Sprintf("%v: %d faults", r, len(r.Faults))
	for _, f := range r.Faults[:min(len(r.Faults), maxCrowdFaultLines)] {
		text += fmt.Sprintf("\n  %s: request %s: %s", f.Rule, f.RequestID, f.Details)
	}
	if log, err := os.ReadFile(r.LogPath); err == nil {
		text += "\n" + string(log[max(0, len(log)-maxCrowdLogBytes):])
	}
	return fmt.Errorf("%w: %s", errCrowd, text)
}

// String describes the case and what was measured.
func (r CrowdResult) String() string {
	return fmt.Sprintf("%s, seed %d, %d clients, %d MB, %d sockets: at most %d KiB, %.1f s of CPU, %d ordinary requests by status %v, "+
		"slowest %v, scheduling delays of up to %v", r.Case.Name, r.Case.Seed, r.Case.Clients, r.Case.MemoryMB, r.Case.Sockets,
		r.PeakMemory>>10, r.CPU.Seconds(), r.Requests, r.Statuses, r.SlowestReply.Round(time.Millisecond),
		r.MaxDelay.Round(time.Millisecond))
}

// randomCrowdCase returns a case that a seed determines.
func randomCrowdCase(seed uint64) CrowdCase {
	rng := rand.New(rand.NewPCG(seed, 0))
	memoryMB := []int{32, 48, 64, 96, 128}
	sockets := []int{256, 512, 1024}
	behaviours := CrowdBehaviours()
	rng.Shuffle(len(behaviours), func(i, j int) { behaviours[i], behaviours[j] = behaviours[j], behaviours[i] })
	behaviours = behaviours[:1+rng.IntN(len(behaviours))]
	return CrowdCase{Name: fmt.Sprint(behaviours), MemoryMB: memoryMB[rng.IntN(len(memoryMB))],
		Sockets: sockets[rng.IntN(len(sockets))], Clients: minRandomCrowd + rng.IntN(maxRandomCrowd-minRandomCrowd),
		Behaviours: behaviours, Duration: randomCrowdDuration, Seed: seed}
}

// RunCrowds runs random cases as RunSoaks runs seeds of the soak test.
func RunCrowds(program string, first uint64, seeds, parallel int, out io.Writer) error {
	failed, err := runSeeds(program, first, seeds, parallel, out, func(program string, seed uint64, dir string) (string, error) {
		result, err := RunCrowd(program, randomCrowdCase(seed), dir)
		if err == nil {
			err = result.Err()
		}
		return result.String(), err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d crowds from seed %d on: %d failed\n", seeds, first, failed)
	if failed > 0 {
		return errCrowd
	}
	return nil
}
