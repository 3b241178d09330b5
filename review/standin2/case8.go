package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	restingBalancers = 3
	restingClients   = 450                    // of each balancer
	restingTime      = time.Second            // longest rest of a connection between two requests
	restingPlay      = 80 * time.Second       // at most
	restingBreaks    = 5                      // breaks after which the case is decided
	inServiceTime    = 800 * time.Millisecond // between the drains of a balancer
	drainTime        = 600 * time.Millisecond
)

func init() { cases["8"] = restingConnections }

// restingConnections plays case 8: balancers are drained and put back into service while clients use resting
// connections.
func restingConnections(s *stage) ([]string, error) {
	clients := &keptClients{stage: s, answered: map[int]int{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	failures := make(chan error, restingBalancers)
	for i := range restingBalancers {
		operator, err := freeAddress()
		if err != nil {
			return nil, err
		}
		p, err := s.open(setup{name: fmt.Sprintf("n%d", i+1), memoryMB: 128, sockets: 1024,
			classes: lessonClasses, operator: operator}, 4, func(int) answerFunc { return answerAfter(5 * time.Millisecond) })
		if err != nil {
			return nil, err
		}
		for range restingClients {
			running.Go(func() { clients.run(p.balancer.listen, restingTime, stop) })
		}
		if s.trouble {
			running.Go(func() { failures <- drainAgainAndAgain(p.balancer, stop) })
		}
	}
	for began := time.Now(); time.Since(began) < restingPlay && clients.lostCount() < restingBreaks; {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	running.Wait()
	close(failures)
	for err := range failures {
		if err != nil {
			return nil, err
		}
	}
	return clients.breaks(), nil
}

// drainAgainAndAgain takes a balancer out of service and back until stop is closed.
func drainAgainAndAgain(b *balancer, stop <-chan struct{}) error {
	for {
		for _, step := range []struct {
			wait time.Duration
			call string
		}{{inServiceTime, "/control/out-of-service"}, {drainTime, "/control/in-service"}} {
			select {
			case <-stop:
				return nil
			case <-time.After(step.wait):
			}
			if b.operate(http.MethodPut, step.call) != http.StatusOK {
				return fmt.Errorf("%s was not answered yes", step.call)
			}
		}
	}
}
