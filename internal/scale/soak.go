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
	soakUpstreams   = 6
	soakUsers       = 24  // clients with a connection each
	soakCrowd       = 500 // idle connections of a crowd: more than a balancer of 1,024 descriptors takes
	soakReady       = 10 * time.Second
	soakEvents      = 4 // before the restart, at most
	soakEventMost   = 600 * time.Millisecond
	soakKillAfter   = 3700 * time.Millisecond // SIGTERM: 3 s, since the deadline is shorter, and 0.7 s
	soakAfterKill   = 300 * time.Millisecond  // until clients and upstreams have seen all
	soakMoveGrace   = 1500 * time.Millisecond // from SIGHUP until the old discovery closes
	soakClockEvery  = 5 * time.Millisecond
	operatorTimeout = time.Second
)

// SoakResult is what a seed showed.
type SoakResult struct {
	Seed     uint64
	Story    []string // what was done, in order
	Requests int
	Restarts int
	Late     time.Duration // by how much the soak itself was held up at worst
	Faults   []SoakFault
}

// SoakFault is a rule that was broken.
type SoakFault struct {
	Rule string
	ID   string // of the request; empty: of the process
	What string
}

// soakProcess is one process of the balancer.
type soakProcess struct {
	child    *child
	operator string
	termAt   time.Time
}

// closingTime is a time in which a balancer closes connections that it has not read; zero: it does not end.
type closingTime struct{ from, to time.Time }

// soak is a seed's play.
type soak struct {
	SoakResult
	rng       *rand.Rand
	began     time.Time
	dir       string
	program   string
	kids      *processGroup
	listener  *os.File // that processes inherit; nil: each listens itself
	listen    string
	list      *list
	counts    discoveryCounters
	machines  []*machine
	machine   int // that the configuration names
	version   int
	upstreams []*soakUpstream
	ledger    *soakLedger
	clients   *soakClients
	crowd     bool
	announced map[int]time.Time // upstreams that drain, and since when discovery has had it
	outage    bool              // discovery was away
	closing   []closingTime
	processes []*soakProcess
}

// Soak plays one seed against a program of the balancer, with files in dir.
func Soak(program string, seed uint64, dir string) (SoakResult, error) {
	s := &soak{SoakResult: SoakResult{Seed: seed}, rng: rand.New(rand.NewPCG(seed, 0)), began: time.Now(), dir: dir, program: program,
		kids: &processGroup{dir: dir}, ledger: &soakLedger{runs: map[string][]*soakRun{}}, announced: map[int]time.Time{}}
	defer s.kids.stopAll()
	err := s.play()
	for _, m := range s.machines {
		m.setMode(ModeDown)
	}
	for _, u := range s.upstreams {
		u.server.Close()
	}
	return s.SoakResult, err
}

func (s *soak) tell(format string, args ...any) {
	s.Story = append(s.Story, fmt.Sprintf("%.3f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

func (s *soak) fault(rule, id, format string, args ...any) {
	s.Faults = append(s.Faults, SoakFault{rule, id, fmt.Sprintf(format, args...)})
}

func (s *soak) play() error {
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
	clients.Go(func() { s.Late = lateness(ctx) })
	for i := range soakUsers {
		clients.Go(func() { s.clients.use(ctx, rand.New(rand.NewPCG(s.Seed, uint64(i)+1))) })
	}
	if s.crowd {
		s.tell("a crowd of %d idle clients", soakCrowd)
		for range soakCrowd {
			clients.Go(func() { s.clients.idle(ctx) })
		}
	}
	for range 1 + s.rng.IntN(soakEvents) {
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakEventMost))))
		if err := s.event(first); err != nil {
			return err
		}
	}
	last := first
	if s.listener != nil {
		if last, err = s.start(); err != nil {
			return err
		}
		s.tell("another process is ready")
		s.end(first)
		stop() // nobody takes connections from a socket that the platform holds once the last process is told to end
		clients.Wait()
	}
	s.end(last)
	stop()
	clients.Wait()
	time.Sleep(soakAfterKill)
	s.check()
	return nil
}

// prepare makes the upstreams, discovery with two machines, and the first configuration.
func (s *soak) prepare() error {
	s.crowd = s.rng.IntN(5) == 0
	var addresses []string
	for i := range soakUpstreams {
		u, err := newSoakUpstream(i, s.ledger)
		if err != nil {
			return err
		}
		s.upstreams, addresses = append(s.upstreams, u), append(addresses, u.address)
	}
	s.list = newList(soakUpstreams, 1, addresses)
	for range 2 {
		m, err := newMachine(s.list, &s.counts, "127.0.0.1:0", Costs{})
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
	return s.configure()
}

func (s *soak) config() string { return filepath.Join(s.dir, "config.json") }

// configure puts the configuration as it stands in place.
func (s *soak) configure() error {
	x, err := newSettingsTemplate(FleetDimensions{Balancers: 1, Classes: len(soakKinds) + 1, MaxDiscoveryInterval: 10 * time.Second}, s.version, s.list.listing())
	if err != nil {
		return err
	}
	_, err = x.write(s.config(), BalancerSpec{Name: "b0", Listen: s.listen, Discovery: s.machines[s.machine].address, Zone: zoneName(0),
		MemoryMB: 128})
	return err
}

// start starts a process and waits until it is ready.
func (s *soak) start() (*soakProcess, error) {
	operator, err := freeAddress()
	if err != nil {
		return nil, err
	}
	tmp := filepath.Join(s.dir, "tmp")
	if err := os.MkdirAll(tmp, 0o700); err != nil {
		return nil, fmt.Errorf("starting a balancer: %w", err)
	}
	cmd := exec.Command(s.program)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+s.config(), "TMPDIR="+tmp, "RELAY_OPERATOR="+operator)
	if s.listener != nil {
		cmd.ExtraFiles = []*os.File{s.listener}
		cmd.Env = append(cmd.Env, "RELAY_INHERITED_FD=3")
	}
	c, err := s.kids.start("balancer", cmd)
	if err != nil {
		return nil, err
	}
	p := &soakProcess{child: c, operator: operator}
	s.processes = append(s.processes, p)
	s.tell("process %d starts", cmd.Process.Pid)
	for began := time.Now(); ; time.Sleep(soakPause) {
		if p.call(http.MethodGet, "/control/ready") {
			return p, nil
		}
		select {
		case <-c.exited:
			return nil, fmt.Errorf("the balancer has ended before it was ready: %w", c.err)
		default:
		}
		if time.Since(began) > soakReady {
			s.fault("readiness", "", "not ready within %v", soakReady)
			return p, nil
		}
	}
}

// call makes an operators' call and tells whether the answer is yes.
func (p *soakProcess) call(method, path string) bool {
	r, err := http.NewRequest(method, "http://"+p.operator+path, nil)
	if err != nil {
		return false
	}
	resp, err := (&http.Client{Timeout: operatorTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// lateness measures until ctx ends by how much this process is held up at worst.
func lateness(ctx context.Context) (worst time.Duration) {
	for ctx.Err() == nil {
		began := time.Now()
		time.Sleep(soakClockEvery)
		worst = max(worst, time.Since(began)-soakClockEvery)
	}
	return worst
}

func (s *soak) signal(p *soakProcess, sig syscall.Signal) {
	s.tell("%v to %d", sig, p.child.cmd.Process.Pid)
	p.child.cmd.Process.Signal(sig) // one that has ended takes none
}

// event is one trouble before the restart.
func (s *soak) event(p *soakProcess) error {
	switch s.rng.IntN(6) {
	case 0:
		s.version++
		s.tell("settings, version %d", s.version)
		if err := s.configure(); err != nil {
			return err
		}
		s.signal(p, syscall.SIGHUP)
	case 1:
		s.tell("a broken file")
		if err := os.WriteFile(s.config(), []byte("{"), 0o600); err != nil {
			return fmt.Errorf("writing a broken file: %w", err)
		}
		s.signal(p, syscall.SIGHUP)
		time.Sleep(soakPause)
		return s.configure()
	case 2:
		return s.moveDiscovery(p)
	case 3:
		s.drain()
	case 4:
		s.tell("discovery is away for a moment")
		s.outage = true
		m := s.machines[s.machine]
		if err := m.setMode(ModeDown); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakEventMost))))
		return m.setMode(ModeUp)
	case 5:
		s.tell("out of service for a moment")
		from := time.Now()
		p.call(http.MethodPut, "/control/out-of-service")
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakEventMost))))
		p.call(http.MethodPut, "/control/in-service")
		s.closing = append(s.closing, closingTime{from, time.Now()})
	}
	return nil
}

// moveDiscovery has the configuration name the other machine. The one before closes some time after the signal.
func (s *soak) moveDiscovery(p *soakProcess) error {
	s.tell("discovery moves")
	s.outage = true
	before := s.machines[s.machine]
	s.machine = 1 - s.machine
	next := s.machines[s.machine]
	if err := next.setMode(ModeUp); err != nil {
		return err
	}
	if err := s.configure(); err != nil {
		return err
	}
	s.signal(p, syscall.SIGHUP)
	time.Sleep(soakMoveGrace)
	return before.setMode(ModeDown)
}

// drain has an upstream drain until the end, once it has been announced. Half of them always serve.
func (s *soak) drain() {
	i := s.rng.IntN(soakUpstreams / 2)
	if _, drains := s.announced[i]; drains {
		return
	}
	s.tell("upstream %d drains", i)
	s.list.publish(func() []Member {
		for _, m := range s.list.members {
			if m.HostPort == s.upstreams[i].address {
				m.Phase = "draining"
				return []Member{m}
			}
		}
		return nil
	})
	s.announced[i] = time.Now()
	s.upstreams[i].draining.Store(true)
}

// end ends a process as the platform does: SIGTERM, at times with more in the same moment, and SIGKILL when that is due.
func (s *soak) end(p *soakProcess) {
	s.Restarts++
	p.termAt = time.Now()
	s.closing = append(s.closing, closingTime{from: p.termAt})
	s.signal(p, syscall.SIGTERM)
	wait := time.Duration(s.rng.Int64N(int64(soakEventMost / 2)))
	switch s.rng.IntN(4) {
	case 0:
		time.Sleep(wait)
		s.signal(p, syscall.SIGTERM)
	case 1:
		time.Sleep(wait)
		s.signal(p, syscall.SIGHUP)
	case 2:
		s.tell("out of service in that moment: %v", p.call(http.MethodPut, "/control/out-of-service"))
	}
	select {
	case <-p.child.exited:
		s.tell("process %d has ended: %v", p.child.cmd.Process.Pid, p.child.err)
		if p.child.err != nil {
			s.fault("crash", "", "process %d: %v", p.child.cmd.Process.Pid, p.child.err)
		}
	case <-time.After(time.Until(p.termAt.Add(soakKillAfter))):
		s.signal(p, syscall.SIGKILL)
		<-p.child.exited
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
		text += fmt.Sprintf("\n  %s: request %s: %s", f.Rule, f.ID, f.What)
	}
	for _, line := range r.Story {
		text += "\n  " + line
	}
	return fmt.Errorf("%w: %s", errSoak, text)
}

// Soaks plays seeds, some beside each other, and prints a line for each and the faults of those that fail. The program is
// built where it is empty.
func Soaks(program string, first uint64, seeds, beside int, out io.Writer) error {
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
	requests, restarts, failed, late := 0, 0, 0, 0
	places := make(chan struct{}, beside)
	for seed := first; seed < first+uint64(seeds); seed++ {
		places <- struct{}{}
		running.Go(func() {
			defer func() { <-places }()
			result, err := soakIn(program, seed, dir)
			mu.Lock()
			defer mu.Unlock()
			requests, restarts = requests+result.Requests, restarts+result.Restarts
			fmt.Fprintf(out, "seed %d: %d requests, %d restarts\n", seed, result.Requests, result.Restarts)
			if result.Late > soakSeen {
				late++
				fmt.Fprintf(out, "seed %d was held up for %v: rules of time not judged\n", seed, result.Late)
			}
			if err != nil {
				failed++
				fmt.Fprintln(out, err)
			}
		})
	}
	running.Wait()
	fmt.Fprintf(out, "%d seeds from %d on, %d failed, %d held up; %d requests, %d restarts\n", seeds, first, failed, late, requests,
		restarts)
	if failed > 0 {
		return errSoak
	}
	return nil
}

// soakIn plays a seed in a folder of its own.
func soakIn(program string, seed uint64, dir string) (SoakResult, error) {
	own := filepath.Join(dir, fmt.Sprint(seed))
	if err := os.Mkdir(own, 0o700); err != nil {
		return SoakResult{}, fmt.Errorf("a seed's folder: %w", err)
	}
	result, err := Soak(program, seed, own)
	if err == nil {
		err = result.Err()
	}
	return result, err
}
