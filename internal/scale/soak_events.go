package scale

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"
)

// This file plays the events of a soak test: signals, operators' calls, and changes of settings, discovery and upstreams.

// signal sends a signal to a balancer process.
func (s *soak) signal(b *soakBalancer, sig syscall.Signal) {
	s.logEvent("%v sent to process %d", sig, b.child.cmd.Process.Pid)
	b.child.cmd.Process.Signal(sig) // the error is ignored: the process may have ended
}

// randomEvent plays one event that the seed determines.
func (s *soak) randomEvent(b *soakBalancer) error {
	switch s.rng.IntN(6) {
	case 0:
		s.settingsVersion++
		s.logEvent("settings change to version %d", s.settingsVersion)
		if err := s.writeConfig(); err != nil {
			return err
		}
		s.signal(b, syscall.SIGHUP)
	case 1:
		s.logEvent("configuration file becomes invalid")
		if err := os.WriteFile(s.configPath(), []byte("{"), 0o600); err != nil {
			return fmt.Errorf("writing an invalid configuration: %w", err)
		}
		s.signal(b, syscall.SIGHUP)
		time.Sleep(soakPause)
		return s.writeConfig()
	case 2:
		return s.moveDiscovery(b)
	case 3:
		s.drainUpstream()
	case 4:
		s.logEvent("discovery is unavailable for a short time")
		s.discoveryOutage = true
		server := s.discoveryServers[s.serverIndex]
		if err := server.setMode(ModeDown); err != nil {
			return err
		}
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakMaxEventTime))))
		return server.setMode(ModeUp)
	case 5:
		s.logEvent("balancer is out of service for a short time")
		from := time.Now()
		b.callOperator(http.MethodPut, "/control/out-of-service")
		time.Sleep(time.Duration(s.rng.Int64N(int64(soakMaxEventTime))))
		b.callOperator(http.MethodPut, "/control/in-service")
		s.closeWindows = append(s.closeWindows, soakCloseWindow{from, time.Now()})
	}
	return nil
}

// moveDiscovery changes the configuration to the other discovery server. The previous one stops
// soakMoveOverlap after the balancer has been signalled.
func (s *soak) moveDiscovery(b *soakBalancer) error {
	s.logEvent("discovery moves to the other server")
	s.discoveryOutage = true
	before := s.discoveryServers[s.serverIndex]
	s.serverIndex = 1 - s.serverIndex
	next := s.discoveryServers[s.serverIndex]
	if err := next.setMode(ModeUp); err != nil {
		return err
	}
	if err := s.writeConfig(); err != nil {
		return err
	}
	s.signal(b, syscall.SIGHUP)
	time.Sleep(soakMoveOverlap)
	return before.setMode(ModeDown)
}

// drainUpstream announces the drain of an upstream, which lasts until the end of the run. Only half of the
// upstreams are candidates, so the others always serve.
func (s *soak) drainUpstream() {
	i := s.rng.IntN(soakUpstreams / 2)
	if _, announced := s.drainAnnouncedAt[i]; announced {
		return
	}
	s.logEvent("upstream %d starts to drain", i)
	s.list.publish(func() []Member {
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

// terminate ends a process with SIGTERM, in some cases followed by another signal or an operator's call, and
// with SIGKILL after soakKillDelay.
func (s *soak) terminate(b *soakBalancer) {
	s.Restarts++
	b.terminatedAt = time.Now()
	s.closeWindows = append(s.closeWindows, soakCloseWindow{from: b.terminatedAt})
	s.signal(b, syscall.SIGTERM)
	wait := time.Duration(s.rng.Int64N(int64(soakMaxEventTime / 2)))
	switch s.rng.IntN(4) {
	case 0:
		time.Sleep(wait)
		s.signal(b, syscall.SIGTERM)
	case 1:
		time.Sleep(wait)
		s.signal(b, syscall.SIGHUP)
	case 2:
		s.logEvent("out-of-service call during shutdown succeeded: %v",
			b.callOperator(http.MethodPut, "/control/out-of-service"))
	}
	select {
	case <-b.child.exited:
		s.logEvent("process %d ended: %v", b.child.cmd.Process.Pid, b.child.err)
		if b.child.err != nil {
			s.fault("crash", "", "process %d: %v", b.child.cmd.Process.Pid, b.child.err)
		}
	case <-time.After(time.Until(b.terminatedAt.Add(soakKillDelay))):
		s.signal(b, syscall.SIGKILL)
		<-b.child.exited
	}
}
