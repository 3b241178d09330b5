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
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// This file is a soak of restarts: real processes of the balancer with clients, upstreams and discovery on loopback, and by
// seed a series of signals, changes and a restart among them. Clients use every open connection until SIGKILL.

const (
	soakUpstreams       = 6
	soakClientCount     = 24  // clients with a connection each
	soakIdleClients     = 500 // idle connections of a crowd: more than a balancer of 1,024 descriptors takes
	soakReadyTimeout    = 10 * time.Second
	soakMaxEvents       = 4 // before the restart, at most
	soakMaxEventTime    = 600 * time.Millisecond
	soakKillDelay       = 3700 * time.Millisecond // SIGTERM: 3 s, since the deadline is shorter, and 0.7 s
	soakSettleTime      = 300 * time.Millisecond  // until clients and upstreams have seen all
	soakMoveOverlap     = 1500 * time.Millisecond // from SIGHUP until the old discovery closes
	soakClockInterval   = 5 * time.Millisecond
	soakOperatorTimeout = time.Second
)

// SoakResult is what a seed showed.
type SoakResult struct {
	Seed     uint64
	Events   []string // what was done, in order
	Requests int
	Restarts int
	MaxDelay time.Duration // by how much the soak itself was held up at worst
	Faults   []SoakFault
}

// SoakFault is a rule that was broken.
type SoakFault struct {
	Rule      string
	RequestID string // of the request; empty: of the process
	Details   string
}

// soakProcess is one process of the balancer.
type soakBalancer struct {
	child           *child
	operatorAddress string
	terminatedAt    time.Time
}

// closingTime is a time in which a balancer closes connections that it has not read; zero: it does not end.
type soakCloseWindow struct{ from, to time.Time }

// soak is a seed's play.
type soak struct {
	SoakResult
	rng              *rand.Rand
	startTime        time.Time
	dir              string
	program          string
	processes        *children
	listener         *os.File // that processes inherit; nil: each listens itself
	listen           string
	list             *list
	discoveryCounts  counters
	machines         []*machine
	machine          int // that the configuration names
	settingsVersion  int
	upstreams        []*soakUpstream
	arrivals         *soakArrivalLog
	clients          *soakClients
	idleCrowd        bool
	drainAnnouncedAt map[int]time.Time // upstreams that drain, and since when discovery has had it
	discoveryOutage  bool              // discovery was away
	closeWindows     []soakCloseWindow
	balancers        []*soakBalancer
}

// Soak plays one seed against a program of the balancer, with files in dir.
func RunSoak(program string, seed uint64, dir string) (SoakResult, error) {
	s := &soak{SoakResult: SoakResult{Seed: seed}, rng: rand.New(rand.NewPCG(seed, 0)), startTime: time.Now(), dir: dir, program: program,
		processes: &children{dir: dir}, arrivals: &soakArrivalLog{byRequest: map[string][]*soakArrival{}}, drainAnnouncedAt: map[int]time.Time{}}
	defer s.processes.endAll()
	err := s.run()
	for _, m := range s.machines {
		m.set(ModeDown)
	}
	for _, u := range s.upstreams {
		u.server.Close()
	}
	return s.SoakResult, err
}

func (s *soak) logEvent(format string, args ...any) {
	s.Events = append(s.Events, fmt.Sprintf("%.3f s: ", time.Since(s.startTime).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) fault(rule, id, format string, args ...any) {
	s.Faults = append(s.Faults, SoakFault{rule, id, fmt.Sprintf(format, args...)})
}

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
	if s.idleCrowd {
		s.logEvent("a crowd of %d idle clients", soakIdleClients)
		for range soakIdleClients {
			clients.Go(func() { s.clients.holdIdleConns(ctx) })
		}
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
		s.logEvent("another process is ready")
		s.terminate(first)
		stop() // nobody takes connections from a socket that the platform holds once the last process is told to end
		clients.Wait()
	}
	s.terminate(last)
	stop()
	clients.Wait()
	time.Sleep(soakSettleTime)
	s.check()
	return nil
}

// prepare makes the upstreams, discovery with two machines, and the first configuration.
func (s *soak) prepare() error {
	s.idleCrowd = s.rng.IntN(5) == 0
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
		m, err := newMachine(s.list, &s.discoveryCounts, "127.0.0.1:0", Costs{})
		if err != nil {
			return err
		}
		s.machines = append(s.machines, m)
	}
	if s.rng.IntN(2) == 0 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("the clients' socket: %w", err)
		}
		defer l.Close()
		s.listen = l.Addr().String()
		if s.listener, err = l.(*net.TCPListener).File(); err != nil {
			return fmt.Errorf("the clients' socket: %w", err)
		}
	} else {
		var err error
		if s.listen, err = freeAddress(); err != nil {
			return err
		}
	}
	s.clients = &soakClients{address: s.listen, seed: s.Seed}
	return s.writeConfig()
}

func (s *soak) configPath() string { return filepath.Join(s.dir, "config.json") }

// configure puts the configuration as it stands in place.
func (s *soak) writeConfig() error {
	template, err := newSettings(Shape{Balancers: 1, Classes: len(soakRequestClasses) + 1, AskWithin: 10 * time.Second}, s.settingsVersion, s.list.listing())
	if err != nil {
		return err
	}
	_, err = template.write(s.configPath(), Spec{Name: "b0", Listen: s.listen, Discovery: s.machines[s.machine].address, Zone: zoneName(0),
		MemoryMB: 128})
	return err
}

// start starts a process and waits until it is ready.
func (s *soak) start() (*soakBalancer, error) {
	operatorAddress, err := freeAddress()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, fmt.Errorf("starting a balancer: %w", err)
	}
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+s.configPath(), "TMPDIR="+tmp, "RELAY_OPERATOR="+operatorAddress)
	if s.listener != nil {
		cmd.ExtraFiles = []*os.File{s.listener}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	c, err := s.processes.start("balancer", cmd)
	if err != nil {
		return nil, err
	}
	p := &soakBalancer{child: c, operatorAddress: operatorAddress}
	s.balancers = append(s.balancers, p)
	s.logEvent("process %d starts", cmd.Process.Pid)
	for waitStart := time.Now(); ; time.Sleep(soakPause) {
		if p.callOperator(http.MethodGet, "/control/ready") {
			return p, nil
		}
		select {
		case <-c.ended:
			return nil, fmt.Errorf("the balancer has ended before it was ready: %w", c.err)
		default:
		}
		if time.Since(waitStart) > soakReadyTimeout {
			s.fault("readiness", "", "not ready within %v", soakReadyTimeout)
			return p, nil
		}
	}
}

// call makes an operators' call and tells whether the answer is yes.
func (p *soakBalancer) callOperator(method, path string) bool {
	r, err := http.NewRequest(method, "http://"+p.operatorAddress+path, nil)
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

// lateness measures until ctx ends by how much this process is held up at worst.
func maxSchedulingDelay(ctx context.Context) (worst time.Duration) {
	for ctx.Err() == nil {
		start := time.Now()
		time.Sleep(soakClockInterval)
		worst = max(worst, time.Since(start)-soakClockInterval)
	}
	return worst
}

func (s *soak) signal(p *soakBalancer, sig syscall.Signal) {
	s.logEvent("%v to %d", sig, p.child.cmd.Process.Pid)
	p.child.cmd.Process.Signal(sig) // one that has ended takes none
}

// event is one trouble before the restart.
func (s *soak) randomEvent(p *soakBalancer) error {
	switch s.rng.IntN(6) {
	case 0:
		s.settingsVersion++
		s.logEvent("settings, version %d", s.settingsVersion)
		if err := s.writeConfig(); err != nil {
			return err
		}
		s.signal(p, syscall.SIGHUP)
	case 1:
		s.logEvent("a broken file")
		if err := os.WriteFile(s.configPath(), []byte("{"), 0o600); err != nil {
			return fmt.Errorf("writing a broken file: %w", err)
		}
		s.signal(p, syscall.SIGHUP)
		time.Sleep(soakPause)
		return s.writeConfig()
	case 2:
		return s.moveDiscovery(p)
	case 3:
		s.drainUpstream()
	case 4:
		s.logEvent("discovery is away for a moment")
		s.discoveryOutage = true
		m := s.machines[s.machine]
		if err := m.set(ModeDown); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakMaxEventTime))))
		return m.set(ModeUp)
	case 5:
		s.logEvent("out of service for a moment")
		from := time.Now()
		p.callOperator(http.MethodPut, "/control/out-of-service")
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakMaxEventTime))))
		p.callOperator(http.MethodPut, "/control/in-service")
		s.closeWindows = append(s.closeWindows, soakCloseWindow{from, time.Now()})
	}
	return nil
}

// moveDiscovery has the configuration name the other machine. The one before closes some time after the signal.
func (s *soak) moveDiscovery(p *soakBalancer) error {
	s.logEvent("discovery moves")
	s.discoveryOutage = true
	before := s.machines[s.machine]
	s.machine = 1 - s.machine
	next := s.machines[s.machine]
	if err := next.set(ModeUp); err != nil {
		return err
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.signal(p, syscall.SIGHUP)
	time.Sleep(soakMoveOverlap)
	return before.set(ModeDown)
}

// drain has an upstream drain until the end, once it has been announced. Half of them always serve.
func (s *soak) drainUpstream() {
	i := s.rng.IntN(soakUpstreams / 2)
	if _, announced := s.drainAnnouncedAt[i]; announced {
		return
	}
	s.logEvent("upstream %d drains", i)
	s.list.change(func() []Member {
		for _, m := range s.list.members {
			if m.HostPort == s.upstreams[i].address {
				m.Phase = "draining"
				return []Member{m}
			}
		}
		return nil
	})
	s.drainAnnouncedAt[i] = time.Now()
	s.upstreams[i].draining.Store(true)
}

// end ends a process as the platform does: SIGTERM, at times with more in the same moment, and SIGKILL when that is due.
func (s *soak) terminate(p *soakBalancer) {
	s.Restarts++
	p.terminatedAt = time.Now()
	s.closeWindows = append(s.closeWindows, soakCloseWindow{from: p.terminatedAt})
	s.signal(p, syscall.SIGTERM)
	wait := time.Duration(s.rng.Int64N(int64(soakMaxEventTime / 2)))
	switch s.rng.IntN(4) {
	case 0:
		time.Sleep(wait)
		s.signal(p, syscall.SIGTERM)
	case 1:
		time.Sleep(wait)
		s.signal(p, syscall.SIGHUP)
	case 2:
		s.logEvent("out of service in that moment: %v", p.callOperator(http.MethodPut, "/control/out-of-service"))
	}
	select {
	case <-p.child.ended:
		s.logEvent("process %d has ended: %v", p.child.cmd.Process.Pid, p.child.err)
		if p.child.err != nil {
			s.fault("crash", "", "process %d: %v", p.child.cmd.Process.Pid, p.child.err)
		}
	case <-time.After(time.Until(p.terminatedAt.Add(soakKillDelay))):
		s.signal(p, syscall.SIGKILL)
		<-p.child.ended
	}
}

var errSoak = errors.New("the soak has found faults")

// Err is an error where faults were found, with the command that plays the seed again and the requests' ids.
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

// Soaks plays seeds, some beside each other, and prints a line for each and the faults of those that fail. The program is
// built where it is empty.
func RunSoaks(program string, first uint64, seeds, parallel int, out io.Writer) error {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return fmt.Errorf("a soak's folder: %w", err)
	}
	defer os.RemoveAll(dir)
	if program == "" {
		if program, err = BuildBalancer(dir); err != nil {
			return err
		}
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	requests, restarts, failed, delayed := 0, 0, 0, 0
	slots := make(chan struct{}, parallel)
	for seed := first; seed < first+uint64(seeds); seed++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			result, err := runSoakInDir(program, seed, dir)
			mu.Lock()
			defer mu.Unlock()
			requests, restarts = requests+result.Requests, restarts+result.Restarts
			fmt.Fprintf(out, "seed %d: %d requests, %d restarts\n", seed, result.Requests, result.Restarts)
			if result.MaxDelay > soakDelayTolerance {
				delayed++
				fmt.Fprintf(out, "seed %d was held up for %v: rules of time not judged\n", seed, result.MaxDelay)
			}
			if err != nil {
				failed++
				fmt.Fprintln(out, err)
			}
		})
	}
	running.Wait()
	fmt.Fprintf(out, "%d seeds from %d on, %d failed, %d held up; %d requests, %d restarts\n", seeds, first, failed, delayed, requests,
		restarts)
	if failed > 0 {
		return errSoak
	}
	return nil
}

// soakIn plays a seed in a folder of its own.
func runSoakInDir(program string, seed uint64, dir string) (SoakResult, error) {
	seedDir := filepath.Join(dir, fmt.Sprint(seed))
	if err := os.Mkdir(seedDir, 0o700); err != nil {
		return SoakResult{}, fmt.Errorf("a seed's folder: %w", err)
	}
	result, err := RunSoak(program, seed, seedDir)
	if err == nil {
		err = result.Err()
	}
	return result, err
}
