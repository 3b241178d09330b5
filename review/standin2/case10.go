package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	staleClients   = 4
	stalePause     = 100 * time.Millisecond  // between a client's requests
	staleTold      = 4 * time.Second         // from the drain, which the watch tells, to the replacement
	staleReady     = 6 * time.Second         // by which the new process has to say yes
	staleGrace     = 2050 * time.Millisecond // drain_grace_us, and 50 ms on sockets
	staleNews      = 2 * time.Second         // from the new process's yes to when news counts as told
	staleOutage    = 12 * time.Second        // from the start of the new process
	staleTermLimit = 3700 * time.Millisecond // from SIGTERM to SIGKILL
)

func init() { cases["10"] = staleList }

// staleList plays case 10: an upstream drains, and later the balancer's process is replaced while discovery is down.
func staleList(s *stage) ([]string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	c := setup{mode: "on_request", memoryMB: 64, sockets: 384, classes: lessonClasses, listen: l.Addr().String()}
	if c.listener, err = l.(*net.TCPListener).File(); err != nil {
		return nil, err
	}
	l.Close()
	defer c.listener.Close()
	if c.tmp, err = os.MkdirTemp(s.dir, "shared"); err != nil {
		return nil, err
	}
	if c.operator, err = freeAddress(); err != nil {
		return nil, err
	}
	p, err := s.open(c, 3, func(int) answerFunc { return answerAfter(20 * time.Millisecond) })
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range staleClients {
		running.Go(func() { askAgainAndAgain(s, c.listen, stop) })
	}
	time.Sleep(2 * time.Second)
	drained := p.upstreams[1]
	p.discovery.setPhase(drained.id, "draining")
	told := time.Now()
	time.Sleep(staleTold)
	if last := lastArrival(drained); last.Sub(told) > staleGrace {
		return nil, errors.New("the first process did not stop its sends: not what this case is about")
	}
	if s.trouble {
		p.discovery.setDown(true)
	}
	began := time.Now()
	yes, err := replace(p.balancer)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(began.Add(staleOutage)))
	close(stop)
	running.Wait()
	late := 0
	var breaks []string
	for _, a := range drained.all() {
		if a.first.Sub(told) > staleGrace {
			late++
		}
		if a.first.Sub(told) > staleGrace && a.first.Sub(yes) > staleNews+staleGrace {
			breaks = append(breaks, fmt.Sprintf("%s was sent to %s %.3f s after the balancer was told of its drain and %.3f s after the yes",
				a.id, a.upstream, a.first.Sub(told).Seconds(), a.first.Sub(yes).Seconds()))
		}
	}
	s.say("%d sends later than %v after the drain was told, %d of them also later than %v after the yes", late, staleGrace,
		len(breaks), staleNews+staleGrace)
	return breaks, nil
}

// askAgainAndAgain sends a client's requests, each on a new connection, until stop is closed.
func askAgainAndAgain(s *stage, address string, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(stalePause):
		}
		r := newRequest("view-timetable", 2500*time.Millisecond)
		s.note("client: %s sent", r.id)
		got := ask(address, r)
		s.note("client: %s answered %d %v", r.id, got.status, got.err)
	}
}

// lastArrival returns when the first byte of the last request at an upstream arrived.
func lastArrival(u *upstream) (last time.Time) {
	for _, a := range u.all() {
		if a.first.After(last) {
			last = a.first
		}
	}
	return last
}

// replace starts a second process of a balancer as the platform does, waits for its yes and ends the first one. It
// returns the time of the yes.
func replace(b *balancer) (yes time.Time, err error) {
	c := b.setup
	if c.operator, err = freeAddress(); err != nil {
		return yes, err
	}
	began := time.Now()
	next, err := b.stage.start(c)
	if err != nil {
		return yes, err
	}
	for next.operate(http.MethodGet, "/control/ready") != http.StatusOK {
		if time.Since(began) > staleReady {
			return yes, errors.New("the new process was not ready in time")
		}
		time.Sleep(50 * time.Millisecond)
	}
	yes = time.Now()
	b.signal(syscall.SIGTERM)
	select {
	case <-b.exited:
	case <-time.After(staleTermLimit):
		b.cmd.Process.Kill()
	}
	return yes, nil
}
