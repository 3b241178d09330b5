package proxy

import (
	"context"
	"fmt"
)

// Control is a balancer's control alone: its loop, its module and its client of discovery, with the reload path and without
// clients. A scale run holds many of them in one process, to measure what a balancer spends without traffic.
type Control struct {
	end  context.CancelFunc
	done chan struct{} // closed once the loop has ended
}

// StartControl starts control as Run does. It ends with ctx or by Stop. Each configuration from reloads takes the place of
// the one before. The error is that of settings which the module refuses.
func StartControl(ctx context.Context, c Config, reloads <-chan Config) (*Control, error) {
	life, end := context.WithCancel(ctx)
	l := newLoop(life, &c)
	if err := l.start(&c, nil); err != nil {
		end()
		return nil, fmt.Errorf("starting control: %w", err)
	}
	control := &Control{end: end, done: make(chan struct{})}
	go func() {
		defer close(control.done)
		l.run()
	}()
	go func() {
		for {
			select {
			case c := <-reloads:
				l.post(reloaded{c})
			case <-life.Done():
				return
			}
		}
	}()
	return control, nil
}

// Stop ends control and waits until its loop has ended. Calls to discovery that are open break off.
func (c *Control) Stop() {
	c.end()
	<-c.done
}
