package proxy

import (
	"context"
	"net"
)

// Run serves the clients of listener until ctx ends, and then until all that was taken is answered. Each
// configuration from reloads, which a Reloader makes, takes the place of the one before.
func Run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Reload) error {
	return run(ctx, c, listener, reloads, func(*loop) {})
}

// run is Run; made is told of the loop before it turns.
func run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Reload, made func(*loop)) error {
	life, end := context.WithCancel(context.Background())
	defer end()
	operators, err := listenAdmin(c.Operator)
	if err != nil {
		return err
	}
	l := newLoop(life, &c)
	made(l)
	f := newFrontend(&c, listener, l)
	var b *stateFile
	var held operatorOrders
	if operators != nil { // who can be given no orders keeps none
		if b, err = openStateFile(&c); err != nil {
			return err
		}
		defer b.close()
		held = *b.current.Load()
	}
	l.start(&c, held.Offline)
	c.Plan, c.Known = nil, listing{} // others hold what is in force
	f.drain(held.OutOfService)
	go l.run()
	began := make(chan struct{})
	served := make(chan error, 2)
	if operators != nil {
		d := newAdminServer(l, f, b)
		defer d.stop()
		go func() { served <- d.serve(operators) }()
		if b.shared {
			go d.followOrders(life, &c, began)
		} else {
			close(began)
		}
	} else {
		close(began)
	}
	go func() { // beside an older process this one takes connections once it is ready
		select {
		case <-began:
			served <- f.serve()
		case <-ctx.Done():
		}
	}()
	done, stopped := ctx.Done(), make(chan struct{})
	for {
		select {
		case x := <-reloads: // also while what was taken is answered: discovery may be moving just then
			l.post(reloaded{x, f})
		case err := <-served:
			if done != nil {
				return err
			}
		case <-done:
			done = nil
			go func() { f.stop(); close(stopped) }()
		case <-stopped:
			return nil
		}
	}
}
