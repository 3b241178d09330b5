package proxy

import "context"

// Control is a balancer's control alone: its loop, its module and its client of discovery, with the reload path and without
// clients. A scale run holds many of them in one process, to measure what a balancer spends without traffic.
type Control struct {
	end  context.CancelFunc
	done chan struct{} // closed once the loop has ended
}

// StartControl starts control as Run does. It ends with ctx or by Stop. Each configuration from reloads, which a Reloader
// makes, takes the place of the one before.
func StartControl(ctx context.Context, c Config, reloads <-chan Reload) *Control {
	life, end := context.WithCancel(ctx)
	l := newLoop(life, &c)
	l.start(&c, nil)
	c.Plan, c.Known = nil, listing{} // others hold what is in force
	control := &Control{end: end, done: make(chan struct{})}
	go func() {
		defer close(control.done)
		l.run()
	}()
	go func() {
		for {
			select {
			case x := <-reloads:
				l.post(reloaded{Reload: x})
			case <-life.Done():
				return
			}
		}
	}()
	return control
}

// Stop ends control and waits until its loop has ended. Calls to discovery that are open break off.
func (c *Control) Stop() {
	c.end()
	<-c.done
}
