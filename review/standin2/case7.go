package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	slowMemoryMB = 32
	slowSockets  = 1024
	slowClients  = slowSockets / 3
	slowBody     = 4 << 20
	slowPiece    = 16 << 10               // of a body
	slowPause    = 250 * time.Millisecond // between pieces: 64 kB a second
	slowTime     = 30 * time.Second
	shortBody    = 1 << 10
)

func init() { cases["7"] = slowBodies }

// slowBodies plays case 7: a third of the descriptors' clients send long bodies slowly. The platform kills a balancer
// that takes more memory than its limit.
func slowBodies(s *stage) ([]string, error) {
	p, err := s.open(setup{memoryMB: slowMemoryMB, sockets: slowSockets, classes: lessonClasses}, 9,
		func(int) answerFunc { return answerAfter(20 * time.Millisecond) })
	if err != nil {
		return nil, err
	}
	body := shortBody
	if s.trouble {
		body = slowBody
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	outcomes := map[string]int{}
	for i := range slowClients {
		running.Go(func() {
			time.Sleep(time.Duration(i) * 5 * time.Millisecond) // they come over 1.7 s
			for {
				select {
				case <-stop:
					return
				default:
				}
				outcome := sendSlowly(s, p.balancer.listen, body, stop)
				mu.Lock()
				outcomes[outcome]++
				mu.Unlock()
			}
		})
	}
	var breaks []string
	peak := 0
	for began := time.Now(); time.Since(began) < slowTime && breaks == nil; time.Sleep(50 * time.Millisecond) {
		used, err := p.balancer.privateMemory()
		if err != nil && !p.balancer.ended() {
			return nil, err
		}
		if used > peak {
			peak = used
			s.note("balancer: %d KiB of private memory", used)
		}
		if used > slowMemoryMB<<10 {
			breaks = append(breaks, fmt.Sprintf("the balancer took %d KiB of private memory alone, its limit is %d KiB: the platform kills it",
				used, slowMemoryMB<<10))
			p.balancer.cmd.Process.Kill()
		}
		if p.balancer.ended() && breaks == nil {
			breaks = append(breaks, fmt.Sprintf("the balancer ended: %v", p.balancer.err))
		}
	}
	time.Sleep(500 * time.Millisecond)
	close(stop)
	running.Wait()
	s.say("at most %d KiB of private memory; requests by outcome: %v", peak, outcomes)
	return breaks, nil
}

// sendSlowly sends one request with a body in pieces and returns the status of the answer or what went wrong.
func sendSlowly(s *stage, address string, size int, stop <-chan struct{}) string {
	r := newRequest("book-lesson", time.Second)
	c, err := dial(address)
	if err != nil {
		time.Sleep(slowPause)
		return "not connected"
	}
	defer c.Close()
	s.note("client: %s begins, %d bytes of body", r.id, size)
	if _, err := io.WriteString(c, r.head(size)); err != nil {
		return "broken"
	}
	piece := make([]byte, slowPiece)
	for sent := 0; sent < size; sent += len(piece) {
		if _, err := c.Write(piece[:min(len(piece), size-sent)]); err != nil {
			s.note("client: %s broke after %d bytes: %v", r.id, sent, err)
			return "broken"
		}
		select {
		case <-stop:
			return "under way at the end"
		case <-time.After(slowPause):
		}
	}
	got := c.read(time.Now().Add(r.deadline + time.Second))
	s.note("client: %s answered %d %v", r.id, got.status, got.err)
	return strconv.Itoa(got.status)
}

// privateMemory returns the memory in KiB that the process alone has written, without the program's file and other
// pages that could be shared.
func (b *balancer) privateMemory() (int, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", b.cmd.Process.Pid))
	if err != nil {
		return 0, err
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		if text, found := strings.CutPrefix(lines.Text(), "RssAnon:"); found {
			return strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(text, "kB")))
		}
	}
	return 0, errors.New("the system does not tell the memory of a process")
}
