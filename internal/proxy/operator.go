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
	callWait = time.Second
	// adminConns bounds the calls that are open at once: the few of an operator, and as many that never finish.
	adminConns = 8
	// writeWait is the time between two looks whether a request is still on its way to an upstream that is taken out.
	writeWait = 5 * time.Millisecond
	doorHead  = 4 << 10 // a call has a short path and no fields that matter
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

func newAdminServer(l *loop, f *frontend, b *stateFile) *adminServer {
	d := &adminServer{loop: l, front: f, state: b}
	d.server = http.Server{Handler: d, ReadTimeout: callWait, WriteTimeout: 2 * callWait, MaxHeaderBytes: doorHead,
		DisableGeneralOptionsHandler: true, ConnState: d.count, ErrorLog: slog.NewLogLogger(slog.Default().Handler(), slog.LevelWarn)}
	d.server.SetKeepAlivesEnabled(false)
	return d
}

// count keeps the calls within their bound: the oldest, which had the most time, gives way.
func (d *adminServer) count(c net.Conn, s http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch s {
	case http.StateNew:
		if d.conns = append(d.conns, c); len(d.conns) > adminConns {
			d.conns[0].Close()
			d.conns = slices.Delete(d.conns, 0, 1)
		}
	case http.StateClosed:
		d.conns = slices.DeleteFunc(d.conns, func(x net.Conn) bool { return x == c })
	}
}

// no is a call's answer where it is not a yes.
type no struct {
	status int
	why    string
}

func (n *no) Error() string { return n.why }

// ServeHTTP answers one call.
func (d *adminServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, do := d.call(r.URL.EscapedPath())
	ctx, cancel := context.WithTimeout(r.Context(), callWait)
	defer cancel()
	var err error
	switch {
	case do == nil:
		err = &no{http.StatusNotFound, "no such call"}
	case r.Method != method:
		w.Header().Set("Allow", method)
		err = &no{http.StatusMethodNotAllowed, "the method is " + method}
	case r.ContentLength != 0:
		err = &no{http.StatusBadRequest, "a call has no body"}
	default:
		err = do(ctx)
	}
	if said := (*no)(nil); err == nil {
		fmt.Fprintln(w, "ok")
	} else if errors.As(err, &said) {
		http.Error(w, said.why, said.status)
	} else {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

// call tells what a path asks for; nil: it is no call.
func (d *adminServer) call(path string) (method string, do func(context.Context) error) {
	switch path {
	case "/control/ready":
		return http.MethodGet, d.ready
	case "/control/out-of-service":
		return http.MethodPut, func(ctx context.Context) error { return d.drain(ctx, true) }
	case "/control/in-service":
		return http.MethodPut, func(ctx context.Context) error { return d.drain(ctx, false) }
	}
	rest, ok := strings.CutPrefix(path, "/control/upstreams/")
	escaped, verb, _ := strings.Cut(rest, "/")
	id, err := url.PathUnescape(escaped)
	if !ok || err != nil || (verb != "offline" && verb != "online") {
		return "", nil
	}
	return http.MethodPut, func(ctx context.Context) error { return d.maintain(ctx, id, verb == "offline") }
}

// called is a call's part on the loop.
type called struct {
	do   func(l *loop)
	done chan struct{}
}

func (e called) apply(l *loop) {
	e.do(l)
	close(e.done)
}

// turn has the loop do something, and waits until that is done.
func (d *adminServer) turn(ctx context.Context, do func(l *loop)) error {
	e := called{do, make(chan struct{})}
	select {
	case d.loop.adminCalls <- e:
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
func (d *adminServer) ready(ctx context.Context) error {
	var missing string
	if err := d.turn(ctx, func(l *loop) { missing = l.missing() }); err != nil {
		return err
	}
	if missing == "" && !d.front.serves() {
		missing = "no connections are taken"
	}
	if missing != "" {
		return &no{http.StatusServiceUnavailable, missing}
	}
	return nil
}

// drain begins or ends a drain.
func (d *adminServer) drain(ctx context.Context, on bool) error {
	return d.order(ctx, func(o *orders) { o.OutOfService = on })
}

// maintain leaves an upstream out, or ends that.
func (d *adminServer) maintain(ctx context.Context, id string, out bool) error {
	var known bool
	if err := d.turn(ctx, func(l *loop) {
		_, off := l.inMaintenance[id]
		known = off || l.recentIDs.known[id]
	}); err != nil {
		return err
	}
	if !known {
		return &no{http.StatusNotFound, "no list has named this upstream"}
	}
	return d.order(ctx, func(o *orders) {
		o.Offline = slices.DeleteFunc(o.Offline, func(x string) bool { return x == id })
		if out {
			o.Offline = append(o.Offline, id)
		}
	})
}

// order notes a call and has it obeyed, by the other process too if there is one.
func (d *adminServer) order(ctx context.Context, by func(*orders)) error {
	if err := d.state.change(ctx, by); err != nil {
		return err
	}
	if err := d.obey(ctx); err != nil || d.state.alone() {
		return err
	}
	select {
	case <-time.After(2*followEvery + writeWait):
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the other process may not have heard of it: %w", ctx.Err())
	}
}

// obey goes by the orders as they are at its turn: those that a call has noted may be older than what a later call, whose
// turn came first, was told yes for. It waits for what has begun to be written to an upstream that is left out.
func (d *adminServer) obey(ctx context.Context) error {
	for {
		var written bool
		if err := d.turn(ctx, func(l *loop) {
			o := d.state.held.Load()
			d.front.drain(o.OutOfService)
			written = l.applyMaintenance(o.Offline)
		}); err != nil || written {
			return err
		}
		select {
		case <-time.After(writeWait):
		case <-ctx.Done():
			return fmt.Errorf("a request is still being written to an upstream: %w", ctx.Err())
		}
	}
}

// follow goes by what another process was told, and keeps to a part of the limits while there is one. began is closed
// once this process may take connections: when it is ready, or there is nobody else.
func (d *adminServer) follow(ctx context.Context, c *Config, began chan<- struct{}) {
	look := time.NewTicker(followEvery)
	defer look.Stop()
	shares, waits := false, true
	for {
		if d.state.news() {
			if err := d.obey(ctx); err != nil && ctx.Err() == nil {
				slog.Error("orders of the other process", "err", err)
			}
		}
		if alone := d.state.alone(); alone == shares {
			shares = !alone
			d.share(ctx, c, shares)
		}
		if waits {
			var missing string
			if err := d.turn(ctx, func(l *loop) { missing = l.missing() }); !shares || (err == nil && missing == "") {
				close(began)
				waits = false
			}
		}
		select {
		case <-look.C:
		case <-ctx.Done():
			return
		}
	}
}

// share keeps this process to its half of the limits, or ends that.
func (d *adminServer) share(ctx context.Context, c *Config, on bool) {
	parts := 1
	if on {
		parts = overlap
	}
	slog.Info("descriptors and memory are shared", "processes", parts)
	d.front.limit(c.maxClientConns() / parts)
	if err := d.turn(ctx, func(l *loop) { l.setConnLimit(c.maxUpstreamConns() / parts) }); err != nil && ctx.Err() == nil {
		slog.Error("sharing descriptors", "err", err)
	}
	if c.OnOverlap != nil {
		c.OnOverlap(on)
	}
}

// serve answers calls until end.
func (d *adminServer) serve(l net.Listener) error {
	if err := d.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("the admin listener: %w", err)
	}
	return nil
}

func (d *adminServer) end() { d.server.Close() }

// listenForOperators opens the admin listener; no address, none.
func listenForOperators(address string) (net.Listener, error) {
	if strings.TrimSpace(address) == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listening for operators: %w", err)
	}
	return l, nil
}
