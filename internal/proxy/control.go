package proxy

import "context"

// ControlLoop is a balancer without clients: its loop, Balancer, discovery client and reloads. A scale run
// starts many of them in one process to measure what a balancer costs without traffic.
type ControlLoop struct {
	cancel context.CancelFunc
	done   chan struct{} // closed when the loop has ended
}

// StartControlLoop starts a ControlLoop, which runs until ctx ends or Stop is called. It applies each
// configuration from reloads, which a Reloader sends.
func StartControlLoop(ctx context.Context, c Config, reloads <-chan Reload) *ControlLoop {
	loopCtx, cancel := context.WithCancel(ctx)
	l := newLoop(loopCtx, &c)
	l.start(&c, nil)
	c.Plan, c.CachedList = nil, discoveryList{} // the loop has the current ones
	control := &ControlLoop{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(control.done)
		l.run()
	}()
	go func() {
		for {
			select {
			case reload := <-reloads:
				l.post(configReloaded{Reload: reload})
			case <-loopCtx.Done():
				return
			}
		}
	}()
	return control
}

// Stop ends the loop and waits for its end. Open calls to discovery are cancelled.
func (c *ControlLoop) Stop() {
	c.cancel()
	<-c.done
}
