package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	pushedOutage    = 8 * time.Second // at least; it ends behind the next call that fails
	pushedOutageMax = 15 * time.Second
	pushedClients   = 4
	pushedPause     = 100 * time.Millisecond  // between a client's requests
	pushedGrace     = 2050 * time.Millisecond // drain_grace_us, and 50 ms on sockets
	pushedWatch     = 6 * time.Second         // for how long sends are looked for
)

func init() { cases["10"] = pushedDrain }

// pushedDrain plays case 10: where lists are pushed, an upstream begins to drain at the return of discovery.
func pushedDrain(s *stage) ([]string, error) {
	p, err := s.open(setup{mode: "pushed", memoryMB: 64, sockets: 384, classes: lessonClasses}, 3,
		func(int) answerFunc { return answerAfter(20 * time.Millisecond) })
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range pushedClients {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(pushedPause):
				}
				r := newRequest("view-timetable", 2500*time.Millisecond)
				s.note("client: %s sent", r.id)
				got := ask(p.balancer.listen, r)
				s.note("client: %s answered %d %v", r.id, got.status, got.err)
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		p.discovery.outage(pushedOutage, pushedOutageMax)
	}
	drained := p.upstreams[1]
	p.discovery.setPhase(drained.id, "draining")
	told := time.Now() // discovery is up and has the change
	time.Sleep(pushedWatch)
	close(stop)
	running.Wait()
	var breaks []string
	for _, a := range drained.all() {
		if since := a.first.Sub(told); since > pushedGrace {
			breaks = append(breaks, fmt.Sprintf("%s was sent to %s %.3f s after discovery, which is up, had its drain", a.id,
				a.upstream, since.Seconds()))
		}
	}
	return breaks, nil
}
