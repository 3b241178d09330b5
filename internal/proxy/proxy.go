package proxy

import (
	"context"
	"net"
)

// Run serves the clients of listener until ctx ends, then shuts down gracefully: it returns when every
// accepted request has its response. It returns early, with an error, if the start or a listener fails. It
// applies each configuration from reloads, which a Reloader sends.
func Run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Reload) error {
	return run(ctx, c, listener, reloads, func(*loop) {})
}

// run implements Run. onLoop is called with the loop before it starts.
func run(ctx context.Context, c Config, listener net.Listener, reloads <-chan Reload, onLoop func(*loop)) error {
	loopCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	adminListener, err := listenAdmin(c.Operator)
	if err != nil {
		return err
	}
	l := newLoop(loopCtx, &c)
	onLoop(l)
	front := newFrontend(&c, listener, l)
	var state *stateFile
	var savedOrders operatorOrders
	if adminListener != nil { // without an admin listener there are no orders to keep
		state = openStateFile(&c)
		defer state.close()
		savedOrders = *state.current.Load()
		if state.shared {
			l.shareRequestIDs(state.path + ".requests")
		}
	}
	l.start(&c, savedOrders.Offline)
	c.Plan, c.CachedList = nil, discoveryList{} // the loop has the current ones
	front.drain(savedOrders.OutOfService)
	go l.run()
	mayAccept := make(chan struct{})
	serveErrs := make(chan error, 2)
	if adminListener != nil {
		admin := newAdminServer(l, front, state)
		defer admin.stop()
		go func() { serveErrs <- admin.serve(adminListener) }()
		if state.shared {
			go admin.followOrders(loopCtx, &c, mayAccept)
		} else {
			close(mayAccept)
		}
	} else {
		close(mayAccept)
	}
	go func() { // while an older process runs, this one accepts connections only once it is ready
		select {
		case <-mayAccept:
			serveErrs <- front.serve()
		case <-ctx.Done():
		}
	}()
	done, stopped := ctx.Done(), make(chan struct{})
	for {
		select {
		case reload := <-reloads: // also during shutdown, since the address of discovery may change
			l.post(configReloaded{reload, front})
		case err := <-serveErrs:
			if done != nil {
				return err
			}
		case <-done:
			done = nil
			go func() { front.stop(); close(stopped) }()
		case <-stopped:
			return nil
		}
	}
}
