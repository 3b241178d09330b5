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
	// adminCallTimeout is how long an operator waits for the result of a call.
	adminCallTimeout = time.Second
	// maxAdminConns limits the open connections of operators. It leaves room for calls that never finish.
	maxAdminConns = 8
	// writePollInterval is the time between two checks whether a request is still being written to an
	// upstream that is taken offline.
	writePollInterval = 5 * time.Millisecond
	maxAdminHeadBytes = 4 << 10 // calls have short paths and need few header fields
)

// adminServer serves operators' calls on the admin listener, each on a connection of its own.
type adminServer struct {
	server http.Server
	loop   *loop
	front  *frontend
	state  *stateFile

	mu    sync.Mutex
	conns []net.Conn // open connections, the oldest first
}

// newAdminServer returns a server for the given loop, frontend and state file. Connections are served once
// serve is called.
func newAdminServer(l *loop, f *frontend, file *stateFile) *adminServer {
	s := &adminServer{loop: l, front: f, state: file}
	s.server = http.Server{Handler: s, ReadTimeout: adminCallTimeout, WriteTimeout: 2 * adminCallTimeout,
		MaxHeaderBytes: maxAdminHeadBytes, DisableGeneralOptionsHandler: true, ConnState: s.trackConn,
		ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}
	s.server.SetKeepAlivesEnabled(false)
	return s
}

// trackConn keeps the open connections within maxAdminConns by closing the oldest.
func (s *adminServer) trackConn(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		if s.conns = append(s.conns, c); len(s.conns) > maxAdminConns {
			s.conns[0].Close()
			s.conns = slices.Delete(s.conns, 0, 1)
		}
	case http.StateClosed:
		s.conns = slices.DeleteFunc(s.conns, func(x net.Conn) bool { return x == c })
	}
}

// adminRefusal is an error with the status and text of the response to a call.
type adminRefusal struct {
	status int
	reason string
}

func (r *adminRefusal) Error() string { return r.reason }

// ServeHTTP serves one call.
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

// route returns the method and the handler of a path; a nil handler means that the path is unknown.
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

// adminLoopCall is an event that runs a function on the loop and then closes done.
type adminLoopCall struct {
	fn   func(l *loop)
	done chan struct{}
}

func (e adminLoopCall) apply(l *loop) {
	e.fn(l)
	close(e.done)
}

// runOnLoop runs fn on the loop and waits until it has returned.
func (s *adminServer) runOnLoop(ctx context.Context, fn func(l *loop)) error {
	e := adminLoopCall{fn, make(chan struct{})}
	select {
	case s.loop.adminCalls <- e:
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

// ready returns nil once this process can serve, and otherwise an error that says what is missing.
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

// drain takes the balancer out of service or puts it back in service.
func (s *adminServer) drain(ctx context.Context, on bool) error {
	return s.updateOrders(ctx, func(o *operatorOrders) { o.OutOfService = on })
}

// setOffline takes an upstream offline for maintenance, or back online.
func (s *adminServer) setOffline(ctx context.Context, id string, offline bool) error {
	var known bool
	if err := s.runOnLoop(ctx, func(l *loop) { known = l.knowsUpstream(id) }); err != nil {
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

// updateOrders changes the stored orders and applies them. If another process is running, it also waits long
// enough for that process to apply them.
func (s *adminServer) updateOrders(ctx context.Context, modify func(*operatorOrders)) error {
	if err := s.state.update(ctx, modify); err != nil {
		return err
	}
	if err := s.applyOrders(ctx); err != nil || s.state.alone() {
		return err
	}
	select {
	case <-time.After(2*ordersPollInterval + writePollInterval):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the other process may not have heard of it: %w", ctx.Err())
	}
}

// applyOrders applies the orders that are current when the loop runs it. They may be newer than those that the
// same call has stored: the loop may already have applied those of a later call. It waits until no request is
// being written to an upstream that is offline.
func (s *adminServer) applyOrders(ctx context.Context) error {
	for {
		var written bool
		if err := s.runOnLoop(ctx, func(l *loop) {
			o := s.state.current.Load()
			s.front.drain(o.OutOfService)
			written = l.applyMaintenance(o.Offline)
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

// followOrders applies the orders that another process has stored, and shares the limits while another process
// runs. It closes mayAccept once this process may accept connections: when it is ready, or when there is no
// other process.
func (s *adminServer) followOrders(ctx context.Context, c *Config, mayAccept chan<- struct{}) {
	ticker := time.NewTicker(ordersPollInterval)
	defer ticker.Stop()
	sharing, acceptPending := false, true
	for {
		s.state.retryLock()
		if s.state.refresh() {
			if err := s.applyOrders(ctx); err != nil && ctx.Err() == nil {
				slog.Error("applying the orders of the other process failed", "err", err)
			}
		}
		if alone := s.state.alone(); alone == sharing {
			sharing = !alone
			s.shareLimits(ctx, c, sharing)
		}
		if acceptPending {
			var missing string
			if err := s.runOnLoop(ctx, func(l *loop) { missing = l.missing() }); !sharing || (err == nil && missing == "") {
				close(mayAccept)
				acceptPending = false
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// shareLimits restricts this process to its part of the limits on connections while another process runs,
// or lifts that.
func (s *adminServer) shareLimits(ctx context.Context, c *Config, on bool) {
	processes := 1
	if on {
		processes = overlapProcesses
	}
	slog.Info("descriptor and memory limits divided between processes", "processes", processes)
	capacity := c.Capacity(processes)
	s.front.setConnLimit(capacity.ClientConns)
	s.loop.memory.setLimit(capacity.BodyBytes)
	s.loop.headMemory.setLimit(capacity.HeadBytes)
	if err := s.runOnLoop(ctx, func(l *loop) {
		l.setCapacity(capacity)
	}); err != nil && ctx.Err() == nil {
		slog.Error("dividing the descriptor limit failed", "err", err)
	}
}

// serve serves calls until stop is called.
func (s *adminServer) serve(l net.Listener) error {
	listener := &persistentListener{l, "operators", func() { s.loop.traffic.count(acceptFailed, "") }}
	if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serving the admin listener: %w", err)
	}
	return nil
}

// stop closes the listener and all connections.
func (s *adminServer) stop() { s.server.Close() }

// listenAdmin opens the admin listener. It returns nil without an address.
func listenAdmin(address string) (net.Listener, error) {
	if strings.TrimSpace(address) == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("admin listener: %w", err)
	}
	return l, nil
}
