package main

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	longAnswerSize    = 100 << 10
	shortAnswerSize   = 1 << 10
	longAnswerClients = 24
	longAnswerTime    = 60 * time.Second // at most
	longAnswerCount   = 200000           // requests, at most
	longAnswerBreaks  = 5                // breaks after which the case is decided
)

func init() { cases["6"] = longAnswer }

// longAnswer plays case 6: clients send their next request as soon as an answer over 64 KiB has come whole.
func longAnswer(s *stage) ([]string, error) {
	size := shortAnswerSize
	if s.trouble {
		size = longAnswerSize
	}
	body := strings.Repeat("a", size)
	p, err := s.open(setup{memoryMB: 64, sockets: 384, classes: lessonClasses}, 4,
		func(int) answerFunc {
			return func(c net.Conn, _ *http.Request) error { return writeAnswer(c, body) }
		})
	if err != nil {
		return nil, err
	}
	clients := keptClients{stage: s, answered: map[int]int{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range longAnswerClients {
		running.Go(func() { clients.run(p.balancer.listen, 0, stop) })
	}
	for began := time.Now(); time.Since(began) < longAnswerTime && serial.Load() < longAnswerCount &&
		clients.lostCount() < longAnswerBreaks; {
		time.Sleep(100 * time.Millisecond)
	}
	close(stop)
	running.Wait()
	return clients.breaks(), nil
}
