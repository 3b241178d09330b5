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
	"sync"
	"time"
)

// This file runs the soak test of restarts: real balancer processes serve clients over loopback, with
// upstreams and discovery in the test's own process. A seed determines a series of signals and changes, which
// ends with a restart or a shutdown. Clients go on using their open connections while a balancer shuts down.

const (
	soakUpstreams   = 6
	soakClientCount = 24 // clients, each with one connection
	// soakCrowdClients is the number of clients of a crowd, in runs that have one. It is more than a balancer accepts while
	// it shares its limit of 1,024 sockets with its successor.
	soakCrowdClients  = 500
	soakCrowdOneIn    = 3  // one in so many runs has a crowd
	soakCrowdSlowdown = 10 // factor on the pauses of other clients in these runs
	soakReadyTimeout  = 10 * time.Second
	soakMaxEvents     = 4 // largest number of random events before the restart
	soakMaxEventTime  = 600 * time.Millisecond
	// soakKillDelay is the time from SIGTERM to SIGKILL: the longest deadline of a class and 0.7 s, the earliest that the
	// protocol allows.
	soakKillDelay       = soakRequestDeadline + 700*time.Millisecond
	soakSettleTime      = 300 * time.Millisecond  // after the end of the last process, for late records
	soakMoveOverlap     = 1500 * time.Millisecond // from SIGHUP until the previous discovery server stops
	soakClockInterval   = 5 * time.Millisecond
	soakOperatorTimeout = time.Second
)

// soakDimensions are the sizes that the settings of a soak test describe. The last class is that of a version of the
// settings.
var soakDimensions = FleetDimensions{Balancers: 1, Classes: len(soakRequestClasses) + 1,
	MaxDiscoveryInterval: 10 * time.Second}

// soakMemoryMB is the memory limit of balancers without a crowd, and soakCrowdMemoryMB holds those with one.
const soakMemoryMB = 128

var soakCrowdMemoryMB = []int{32, 48, 96}

// SoakResult is the result of one seed.
type SoakResult struct {
	Seed       uint64
	Events     []string // log lines of the run, in order
	Requests   int
	Restarts   int
	MaxDelay   time.Duration // longest scheduling delay of the soak test's own process
	PeakMemory int64         // highest memory of all balancer processes together, in bytes
	Faults     []SoakFault
}

// SoakFault is a violation of a rule.
type SoakFault struct {
	Rule      string
	RequestID string // empty if the fault is not about a request
	Details   string
}

// soakBalancer is one balancer process.
type soakBalancer struct {
	child           *child
	operatorAddress string
	terminatedAt    time.Time
}

// soakCloseWindow is a period in which a balancer may close connections without reading their requests. If to
// is zero, the period does not end.
type soakCloseWindow struct{ from, to time.Time }

// soak is the state of the run of one seed.
type soak struct {
	SoakResult
	faultsMu         sync.Mutex // guards Faults and PeakMemory
	rng              *rand.Rand
	startTime        time.Time
	dir              string // of the configuration and temporary files
	program          string // path of the balancer's program
	processes        *processGroup
	listener         *os.File // inherited by the balancers; nil if each opens its own
	listen           string   // address of the balancers
	list             *list
	discoveryCounts  discoveryCounters
	discoveryServers []*discoveryServer
	serverIndex      int // index of the server in the configuration
	settingsVersion  int
	upstreams        []*soakUpstream
	arrivals         *soakArrivalLog
	clients          *soakClients
	crowd            []CrowdBehaviour  // behaviours of the crowd; empty: this run has none
	memoryMB         int               // limit of the balancers
	drainAnnouncedAt map[int]time.Time // when discovery got the drain of an upstream, by index
	discoveryOutage  bool              // discovery was unavailable or moved at some time in the run
	closeWindows     []soakCloseWindow
	balancers        []*soakBalancer
}

// RunSoak runs one seed against the balancer's program at the given path, with files in dir.
func RunSoak(program string, seed uint64, dir string) (SoakResult, error) {
	s := &soak{SoakResult: SoakResult{Seed: seed}, rng: rand.New(rand.NewPCG(seed, 0)), startTime: time.Now(),
		dir: dir, program: program, processes: &processGroup{dir: dir},
		arrivals:         &soakArrivalLog{byRequest: map[string][]*soakArrival{}},
		drainAnnouncedAt: map[int]time.Time{}}
	defer s.processes.stopAll()
	err := s.run()
	for _, d := range s.discoveryServers {
		d.setMode(ModeDown)
	}
	for _, u := range s.upstreams {
		u.server.Close()
	}
	return s.SoakResult, err
}

// logEvent adds a line to the log of the run, with the time since its start.
func (s *soak) logEvent(format string, args ...any) {
	s.Events = append(s.Events, fmt.Sprintf("%.3f s: ", time.Since(s.startTime).Seconds())+fmt.Sprintf(format, args...))
}

// fault records a violation of a rule. It may be called from any goroutine.
func (s *soak) fault(rule, id, format string, args ...any) {
	s.faultsMu.Lock()
	defer s.faultsMu.Unlock()
	s.Faults = append(s.Faults, SoakFault{rule, id, fmt.Sprintf(format, args...)})
}

// run starts a balancer and its clients, plays random events, restarts the balancer if its successor can inherit the
// listener, ends it, and checks the rules.
func (s *soak) run() error {
	if err := s.prepare(); err != nil {
		return err
	}
	first, err := s.start()
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	var clients sync.WaitGroup
	clients.Go(func() { s.MaxDelay = maxSchedulingDelay(ctx) })
	for i := range soakClientCount {
		clients.Go(func() { s.clients.sendRequests(ctx, rand.New(rand.NewPCG(s.Seed, uint64(i)+1))) })
	}
	clients.Go(func() { s.watchMemory(ctx) })
	if len(s.crowd) > 0 {
		s.logEvent("a crowd of %d connects: %v; the memory limit is %d MB", soakCrowdClients, s.crowd, s.memoryMB)
		c := crowd{s.listen, soakCrowdClients, s.crowd, s.Seed, s.clients.newCrowdID}
		clients.Go(func() { c.run(ctx) })
	}
	for range 1 + s.rng.IntN(soakMaxEvents) {
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakMaxEventTime))))
		if err := s.randomEvent(first); err != nil {
			return err
		}
	}
	last := first
	if s.listener != nil {
		if last, err = s.start(); err != nil {
			return err
		}
		s.logEvent("second process is ready")
		s.terminate(first)
		stop() // once the last process drains, no process accepts connections from the inherited socket
		clients.Wait()
	}
	s.terminate(last)
	stop()
	clients.Wait()
	time.Sleep(soakSettleTime)
	s.check()
	return nil
}

// prepare starts the upstreams and two discovery servers and writes the first configuration.
func (s *soak) prepare() error {
	s.drawCrowd()
	var addresses []string
	for i := range soakUpstreams {
		u, err := newSoakUpstream(i, s.arrivals)
		if err != nil {
			return err
		}
		s.upstreams, addresses = append(s.upstreams, u), append(addresses, u.address)
	}
	s.list = newList(soakUpstreams, 1, addresses)
	for range 2 {
		server, err := newDiscoveryServer(s.list, &s.discoveryCounts, "127.0.0.1:0", Costs{})
		if err != nil {
			return err
		}
		s.discoveryServers = append(s.discoveryServers, server)
	}
	if s.rng.IntN(2) == 0 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("opening the client listener: %w", err)
		}
		defer l.Close()
		s.listen = l.Addr().String()
		if s.listener, err = l.(*net.TCPListener).File(); err != nil {
			return fmt.Errorf("opening the client listener: %w", err)
		}
	} else {
		var err error
		if s.listen, err = s.processes.reserveAddress(); err != nil {
			return err
		}
	}
	s.clients = &soakClients{address: s.listen, seed: s.Seed, pause: soakPause}
	if len(s.crowd) > 0 {
		s.clients.pause *= soakCrowdSlowdown
	}
	return s.writeConfig()
}

// drawCrowd decides whether the run has a crowd, how its clients behave, and the memory limit of the balancers.
func (s *soak) drawCrowd() {
	s.memoryMB = soakMemoryMB
	if s.rng.IntN(soakCrowdOneIn) > 0 {
		return
	}
	s.memoryMB = soakCrowdMemoryMB[s.rng.IntN(len(soakCrowdMemoryMB))]
	s.crowd = CrowdBehaviours()
	s.rng.Shuffle(len(s.crowd), func(i, j int) { s.crowd[i], s.crowd[j] = s.crowd[j], s.crowd[i] })
	s.crowd = s.crowd[:1+s.rng.IntN(len(s.crowd))]
}

// watchMemory reads the memory of all balancer processes until ctx ends, and records a fault if they exceed their limit.
func (s *soak) watchMemory(ctx context.Context) {
	limit := int64(s.memoryMB) << 20
	for exceeded := false; ctx.Err() == nil; sleepUntilDone(ctx, crowdMemoryInterval) {
		used := s.processes.balancersMemory()
		s.faultsMu.Lock()
		s.PeakMemory = max(s.PeakMemory, used)
		s.faultsMu.Unlock()
		if used > limit && !exceeded {
			exceeded = true
			s.fault("memory", "", "%d KiB of memory, the limit is %d KiB", used>>10, limit>>10)
		}
	}
}

// configPath returns the path of the balancers' configuration file.
func (s *soak) configPath() string { return filepath.Join(s.dir, "config.json") }

// writeConfig writes the current configuration to the configuration file.
func (s *soak) writeConfig() error {
	template, err := newSettingsTemplate(soakDimensions, s.settingsVersion, s.list.listing())
	if err != nil {
		return err
	}
	_, err = template.write(s.configPath(), BalancerSpec{Name: "b0", Listen: s.listen,
		Discovery: s.discoveryServers[s.serverIndex].address, Zone: zoneName(0), MemoryMB: s.memoryMB})
	return err
}

// start starts a balancer process and waits until it is ready. It records a fault if that takes too long.
func (s *soak) start() (*soakBalancer, error) {
	operatorAddress, err := s.processes.reserveAddress()
	if err != nil {
		return nil, err
	}
	cmd, err := balancerCommand(s.program, s.configPath(), filepath.Join(s.dir, "tmp"))
	if err != nil {
		return nil, err
	}
	cmd.Env = append(cmd.Env, "RELAY_OPERATOR="+operatorAddress)
	if s.listener != nil {
		cmd.ExtraFiles = []*os.File{s.listener}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	c, err := s.processes.start(balancerChild, cmd)
	if err != nil {
		return nil, err
	}
	b := &soakBalancer{child: c, operatorAddress: operatorAddress}
	s.balancers = append(s.balancers, b)
	s.logEvent("process %d started", cmd.Process.Pid)
	for waitStart := time.Now(); ; time.Sleep(soakPause) {
		if b.callOperator(http.MethodGet, "/control/ready") {
			return b, nil
		}
		select {
		case <-c.exited:
			return nil, fmt.Errorf("balancer ended before it was ready: %w", c.err)
		default:
		}
		if time.Since(waitStart) > soakReadyTimeout {
			s.fault("readiness", "", "not ready within %v", soakReadyTimeout)
			return b, nil
		}
	}
}

// callOperator sends a request to the operator's listener and reports whether the response has status 200.
func (b *soakBalancer) callOperator(method, path string) bool {
	r, err := http.NewRequest(method, "http://"+b.operatorAddress+path, nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Client{Timeout: soakOperatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// maxSchedulingDelay returns the longest delay of a wake-up in this process until ctx ends.
func maxSchedulingDelay(ctx context.Context) (worst time.Duration) {
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(soakClockInterval)
		worst = max(worst, time.Since(start)-soakClockInterval)
	}
	return worst
}

// errSoak is returned for seeds with faults.
var errSoak = errors.New("soak test found faults")

// Err returns nil if there are no faults. Otherwise the error lists them with the command that runs the seed
// again, the request IDs and the log of the run.
func (r SoakResult) Err() error {
	if len(r.Faults) == 0 {
		return nil
	}
	text := fmt.Sprintf("go run ./cmd/scale --soak 1 --seed %d: %d faults", r.Seed, len(r.Faults))
	for _, f := range r.Faults {
		text += fmt.Sprintf("\n  %s: request %s: %s", f.Rule, f.RequestID, f.Details)
	}
	for _, line := range r.Events {
		text += "\n  " + line
	}
	return fmt.Errorf("%w: %s", errSoak, text)
}

// RunSoaks runs the given number of seeds from first on, up to parallel of them at a time. It writes a line
// for each seed and the faults of those that fail to out, and returns an error if any fails. If program is
// empty, it is built.
func RunSoaks(program string, first uint64, seeds, parallel int, out io.Writer) error {
	var mu sync.Mutex
	requests, restarts, delayed := 0, 0, 0
	failed, err := runSeeds(program, first, seeds, parallel, out, func(program string, seed uint64, dir string) (string, error) {
		result, err := RunSoak(program, seed, dir)
		if err == nil {
			err = result.Err()
		}
		mu.Lock()
		defer mu.Unlock()
		requests, restarts = requests+result.Requests, restarts+result.Restarts
		line := fmt.Sprintf("seed %d: %d requests, %d restarts, at most %d KiB", seed, result.Requests, result.Restarts,
			result.PeakMemory>>10)
		if result.MaxDelay > soakDelayTolerance {
			delayed++
			line += fmt.Sprintf("; scheduling delays of up to %v: timing rules not checked", result.MaxDelay)
		}
		return line, err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d seeds from %d on: %d failed, %d delayed; %d requests, %d restarts\n", seeds, first, failed,
		delayed, requests, restarts)
	if failed > 0 {
		return errSoak
	}
	return nil
}
