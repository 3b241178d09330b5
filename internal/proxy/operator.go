package proxy

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// callWait is how long an operator waits for a yes or a no. What takes longer has no one to hear it.
	adminCallTimeout = time.Second
	// adminConns bounds the calls that are open at once: the few of an operator, and as many that never finish.
	adminConns = 8
	// writeWait is the time between two looks whether a request is still on its way to an upstream that is taken out.
	writePollInterval = 5 * time.Millisecond
	maxAdminHeadBytes = 4 << 10 // a call has a short path and no fields that matter
)

// adminServer answers the operators' calls, each on a connection of its own, at an address that clients do not have.
type adminServer struct {
	server http.Server
	loop   *loop
	front  *frontend
	state  *stateFile

	mu    sync.Mutex
	conns []net.Conn // open, the oldest first
}

func newAdminServer(l *loop, f *frontend, file *stateFile) *adminServer {
	s := &adminServer{loop: l, front: f, state: file}
	s.server = http.Server{Handler: s, ReadTimeout: adminCallTimeout, WriteTimeout: 2 * adminCallTimeout, MaxHeaderBytes: maxAdminHeadBytes,
		DisableGeneralOptionsHandler: true, ConnState: s.trackConn, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// count keeps the calls within their bound: the oldest, which had the most time, gives way.
func (s *adminServer) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.conns = append(s.conns, c); len(s.conns) > adminConns {
			s.conns[0].Close()
			s.conns = slices.Delete(s.conns, 0, 1)
		}
	case http.StateClosed:
		s.conns = slices.DeleteFunc(s.conns, func(x net.Conn) bool { return x == c })
	}
}

// no is a call's answer where it is not a yes.
type adminRefusal struct {
	status int
	reason string
}

func (r *adminRefusal) Error() string { return r.reason }

// ServeHTTP answers one call.
func (s *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, handler := s.route(r.URL.EscapedPath())
	ctx, cancel := context.WithTimeout(r.Context(), adminCallTimeout)
	defer cancel()
	var err error
	switch {
	case handler == nil:
		err = &adminRefusal{http.StatusNotFound, "no such call"}
	case r.Method != method:
		w.Header().Set("Allow", method)
		err = &adminRefusal{http.StatusMethodNotAllowed, "the method is " + method}
	case r.ContentLength != 0:
		err = &adminRefusal{http.StatusBadRequest, "a call has no body"}
	default:
		err = handler(ctx)
	}
	if refused := (*adminRefusal)(nil); err == nil {
		fmt.Fprintln(w, "ok")
	} else if errors.As(err, &refused) {
		http.Error(w, refused.reason, refused.status)
	} else {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// call tells what a path asks for; nil: it is no call.
func (s *adminServer) route(path string) (method string, handler func(context.Context) error) {
	switch path {
	case "/control/ready":
		return http.MethodGet, s.ready
	case "/control/out-of-service":
		return http.MethodPut, func(ctx context.Context) error { return s.drain(ctx, true) }
	case "/control/in-service":
		return http.MethodPut, func(ctx context.Context) error { return s.drain(ctx, false) }
	}
	rest, ok := strings.CutPrefix(path, "/control/upstreams/")
	escaped, verb, _ := strings.Cut(rest, "/")
	id, err := url.PathUnescape(escaped)
	if !ok || err != nil || (verb != "offline" && verb != "online") {
		return "", nil
	}
	return http.MethodPut, func(ctx context.Context) error { return s.setOffline(ctx, id, verb == "offline") }
}

// called is a call's part on the loop.
type adminLoopCall struct {
	fn   func(l *loop)
	done chan struct{}
}

func (e adminLoopCall) apply(l *loop) {
	e.fn(l)
	close(e.done)
}

// turn has the loop do something, and waits until that is done.
func (s *adminServer) runOnLoop(ctx context.Context, fn func(l *loop)) error {
	e := adminLoopCall{fn, make(chan struct{})}
	select {
	case s.loop.calls <- e:
	case <-ctx.Done():
		return fmt.Errorf("the call's turn did not come: %w", ctx.Err())
	}
	select {
	case <-e.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the call is under way: %w", ctx.Err())
	}
}

// ready says yes once this process can serve.
func (s *adminServer) ready(ctx context.Context) error {
	var missing string
	if err := s.runOnLoop(ctx, func(l *loop) { missing = l.missing() }); err != nil {
		return err
	}
	if missing == "" && !s.front.acceptsClients() {
		missing = "no connections are taken"
	}
	if missing != "" {
		return &adminRefusal{http.StatusServiceUnavailable, missing}
	}
	return nil
}

// drain begins or ends a drain.
func (s *adminServer) drain(ctx context.Context, on bool) error {
	return s.updateOrders(ctx, func(o *operatorOrders) { o.OutOfService = on })
}

// maintain leaves an upstream out, or ends that.
func (s *adminServer) setOffline(ctx context.Context, id string, offline bool) error {
	var known bool
	if err := s.runOnLoop(ctx, func(l *loop) {
		_, off := l.off[id]
		known = off || l.ids.known[id]
	}); err != nil {
		return err
	}
	if !known {
		return &adminRefusal{http.StatusNotFound, "no list has named this upstream"}
	}
	return s.updateOrders(ctx, func(o *operatorOrders) {
		o.Offline = slices.DeleteFunc(o.Offline, func(x string) bool { return x == id })
		if offline {
			o.Offline = append(o.Offline, id)
		}
	})
}

// order notes a call and has it obeyed, by the other process too if there is one.
func (s *adminServer) updateOrders(ctx context.Context, modify func(*operatorOrders)) error {
	if err := s.state.update(ctx, modify); err != nil {
		return err
	}
	if err := s.enforceOrders(ctx); err != nil || s.state.alone() {
		return err
	}
	select {
	case <-time.After(2*ordersPollInterval + writePollInterval):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the other process may not have heard of it: %w", ctx.Err())
	}
}

// obey goes by the orders as they are at its turn: those that a call has noted may be older than what a later call, whose
// turn came first, was told yes for. It waits for what has begun to be written to an upstream that is left out.
func (s *adminServer) enforceOrders(ctx context.Context) error {
	for {
		var written bool
		if err := s.runOnLoop(ctx, func(l *loop) {
			o := s.state.current.Load()
			s.front.drain(o.OutOfService)
			written = l.obey(o.Offline)
		}); err != nil || written {
			return err
		}
		select {
		case <-time.After(writePollInterval):
		case <-ctx.Done():
			return fmt.Errorf("a request is still being written to an upstream: %w", ctx.Err())
		}
	}
}

// follow goes by what another process was told, and keeps to a part of the limits while there is one. began is closed
// once this process may take connections: when it is ready, or there is nobody else.
func (s *adminServer) followOrders(ctx context.Context, c *Config, mayAccept chan<- struct{}) {
	ticker := time.NewTicker(ordersPollInterval)
	defer ticker.Stop()
	sharing, pending := false, true
	for {
		if s.state.refresh() {
			if err := s.enforceOrders(ctx); err != nil && ctx.Err() == nil {
				slog.Error("orders of the other process", "err", err)
			}
		}
		if alone := s.state.alone(); alone == sharing {
			sharing = !alone
			s.shareLimits(ctx, c, sharing)
		}
		if pending {
			var missing string
			if err := s.runOnLoop(ctx, func(l *loop) { missing = l.missing() }); !sharing || (err == nil && missing == "") {
				close(mayAccept)
				pending = false
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// share keeps this process to its half of the limits, or ends that.
func (s *adminServer) shareLimits(ctx context.Context, c *Config, on bool) {
	processes := 1
	if on {
		processes = overlapProcesses
	}
	slog.Info("descriptors and memory are shared", "processes", processes)
	s.front.limit(c.clientConns() / processes)
	if err := s.runOnLoop(ctx, func(l *loop) { l.limit(c.upstreamConns() / processes) }); err != nil && ctx.Err() == nil {
		slog.Error("sharing descriptors", "err", err)
	}
	if c.Overlap != nil {
		c.Overlap(on)
	}
}

// serve answers calls until end.
func (s *adminServer) serve(l net.Listener) error {
	if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("the admin listener: %w", err)
	}
	return nil
}

func (s *adminServer) stop() { s.server.Close() }

// listenForOperators opens the admin listener; no address, none.
func listenAdmin(address string) (net.Listener, error) {
	if strings.TrimSpace(address) == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	return l, nil
}
