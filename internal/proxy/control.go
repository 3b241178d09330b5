package proxy

import "context"

// Control is a balancer's control alone: its loop, its module and its client of discovery, with the reload path and without
// clients. A scale run holds many of them in one process, to measure what a balancer spends without traffic.
type ControlLoop struct {
	cancel context.CancelFunc
	done   chan struct{} // closed once the loop has ended
}

// StartControl starts control as Run does. It ends with ctx or by Stop. Each configuration from reloads, which a Reloader
// makes, takes the place of the one before.
func StartControlLoop(ctx context.Context, c Config, reloads <-chan Reload) *ControlLoop {
	loopCtx, cancel := context.WithCancel(ctx)
	l := newLoop(loopCtx, &c)
	l.start(&c, nil)
	c.Plan, c.CachedList = nil, discoveryList{} // others hold what is in force
	control := &ControlLoop{cancel: cancel, done: make(chan struct{})}
	go func() {
		defer close(control.done)
		l.run()
	}()
	go func() {
		for {
			select {
			case x := <-reloads:
				l.post(configReloaded{Reload: x})
			case <-loopCtx.Done():
				return
			}
		}
	}()
	return control
}

// Stop ends control and waits until its loop has ended. Calls to discovery that are open break off.
func (c *ControlLoop) Stop() {
	c.cancel()
	<-c.done
}
