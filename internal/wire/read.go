// Package wire speaks the text protocol between the simulator and its adapter:
// batches of events in, one reply of actions each out. It decides nothing.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"time"

	"garnettide"
)

// Kind is the kind of an event.
type Kind uint8

// The kinds of events.
const (
	EventAttach Kind = iota
	EventExit
	EventMembers
	EventRequest
	EventResponseStarted
	EventOutcome
	EventClientGone
	EventTimer
	EventProbed
	EventMessage
)

// Event is one event for one instance. Kind tells which fields are set.
type Event struct {
	Kind     Kind
	Instance int
	Seed     uint64
	Settings garnettide.Settings
	Mode     garnettide.ListMode
	List     []garnettide.Upstream
	Request  garnettide.Request
	Outcome  garnettide.Outcome // also Established: ID, Upstream, Attempt, Latency
	Probe    garnettide.ProbeResult
	Token    uint64
}

// Batch is what happened at one moment.
type Batch struct {
	At     time.Duration
	Serial uint64
	Events []Event
}

// banks is how many numbered lists the protocol has.
const bankCount = 16

// Reader reads batches.
type Reader struct {
	in         *bufio.Reader
	line       int
	longLine   []byte
	interned   map[string]string
	lists      [bankCount][]garnettide.Upstream
	received   [bankCount]bool
	lineFields fields
}

// NewReader returns a Reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), interned: map[string]string{}}
}

// Next reads a batch into b, whose events are overwritten. It returns io.EOF at the
// end of input and an error that names line and field if the input is malformed.
func (r *Reader) Next(b *Batch) error {
	line, err := r.readLine()
	if err != nil {
		return err
	}
	if err := r.readFrame(line, b); err != nil {
		return fmt.Errorf("line %d: %w", r.line, err)
	}
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: batch %d ends without eob", r.line, b.Serial)
		}
		if err != nil {
			return err
		}
		if string(line) == "eob" {
			return nil
		}
		if err := r.readEvent(line, b); err != nil {
			return fmt.Errorf("line %d: %w", r.line, err)
		}
	}
}

// next returns the next line without its end. The slice holds until the next call.
func (r *Reader) readLine() ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = append(r.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			line, err = r.in.ReadSlice('\n')
			r.longLine = append(r.longLine, line...)
		}
		line = r.longLine
	}
	switch {
	case errors.Is(err, io.EOF) && len(line) > 0:
		return nil, fmt.Errorf("line %d: cut short", r.line+1)
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("line %d: %w", r.line+1, err)
	}
	r.line++
	return line[:len(line)-1], nil
}

func (r *Reader) readFrame(line []byte, b *Batch) error {
	name, err := r.lineFields.split(line)
	if err != nil {
		return err
	}
	if string(name) != "frame" {
		return fmt.Errorf("message %q where frame was expected", name)
	}
	f := &r.lineFields
	b.At = f.duration("at_time_us", true)
	b.Serial = f.uint("serial", 64, true)
	b.Events = b.Events[:0]
	return f.err
}

func (r *Reader) readEvent(line []byte, b *Batch) error {
	name, err := r.lineFields.split(line)
	if err != nil {
		return err
	}
	f := &r.lineFields
	if string(name) == "sheet" {
		return r.readSheet()
	}
	var e Event
	switch string(name) {
	case "attach":
		e.Kind, e.Seed = EventAttach, f.uint("random_seed", 64, true)
		e.Settings = f.settings("params")
	case "exit":
		e.Kind = EventExit
	case "endpoints":
		e.Kind = EventMembers
		e.Mode = f.mode("mode")
		if e.Mode != garnettide.ListFailed {
			e.List = r.referencedList()
		}
	case "inbound":
		e.Kind = EventRequest
		e.Request = garnettide.Request{ID: garnettide.RequestID(f.hex("id", true)), Budget: f.duration("budget_us", true),
			Class: r.intern(f.text("class", true)), Tenant: r.intern(f.text("org", false)), Key: f.hex("key", false),
			HasKey: f.has("key"), Retry: f.boolean("retry"), Cost: f.duration("cost_guess_us", false)}
	case "established":
		e.Kind = EventResponseStarted
		e.Outcome = f.outcome()
	case "verdict":
		e.Kind = EventOutcome
		e.Outcome = f.outcome()
		e.Outcome.Status, e.Outcome.RequestDone, e.Outcome.Load = f.status("disposition"), f.boolean("over"), f.load("metrics")
	case "lapsed":
		e.Kind = EventClientGone
		e.Request.ID = garnettide.RequestID(f.hex("id", true))
	case "elapsed":
		e.Kind, e.Token = EventTimer, f.uint("ctx", 63, true)
	case "health":
		e.Kind = EventProbed
		e.Probe = garnettide.ProbeResult{Upstream: garnettide.UpstreamID(f.uint("upstream", 32, true)),
			Latency: f.duration("cost_time_us", true), Status: f.status("disposition"), Load: f.load("metrics")}
	case "inbox":
		e.Kind = EventMessage
		f.uint("author", 31, true)
	default:
		return fmt.Errorf("unknown message %q", name)
	}
	e.Instance = int(f.uint("balancer_id", 31, true))
	if f.err != nil {
		return fmt.Errorf("%s: %w", name, f.err)
	}
	b.Events = append(b.Events, e)
	return nil
}

// sheet reads a numbered list and its entries.
func (r *Reader) readSheet() error {
	f := &r.lineFields
	bank, items := f.uint("bank", 31, true), f.uint("items", 31, true)
	if f.err == nil && bank >= bankCount {
		f.fail("bank", "out of range")
	}
	if f.err != nil {
		return fmt.Errorf("sheet: %w", f.err)
	}
	list := make([]garnettide.Upstream, 0, min(items, 1<<12))
	for range items {
		line, err := r.readLine()
		if err != nil {
			return fmt.Errorf("sheet: items=%d, but %d follow: %w", items, len(list), err)
		}
		name, err := f.split(line)
		if err != nil {
			return err
		}
		if string(name) != "m" {
			return fmt.Errorf("sheet: items=%d, but %d follow", items, len(list))
		}
		u := garnettide.Upstream{ID: garnettide.UpstreamID(f.uint("upstream", 32, true)), Cell: int(f.uint("block", 62, false)),
			Zone: r.intern(f.text("region_part", false)), Weight: f.real("nominal", 1),
			StartedAt: f.duration("came_up_us", false), State: f.state("availability")}
		if f.err != nil {
			return fmt.Errorf("m: %w", f.err)
		}
		list = append(list, u)
	}
	r.lists[bank], r.received[bank] = list, true
	return nil
}

func (r *Reader) referencedList() []garnettide.Upstream {
	bank := r.lineFields.uint("bank", 31, true)
	if bank >= bankCount || !r.received[bank] {
		r.lineFields.fail("bank", "no such list")
		return nil
	}
	return r.lists[bank]
}

// name returns b as a string, the same one each time, so that requests allocate none.
func (r *Reader) intern(b []byte) string {
	if len(b) == 0 {
		return ""
	}
	s, ok := r.interned[string(b)]
	if !ok {
		s = string(b)
		r.interned[s] = s
	}
	return s
}

// fields holds the name=value parts of one line; the first error stays.
type fields struct {
	pairs [][2][]byte
	err   error
}

// split takes a line apart and returns the message's name.
func (f *fields) split(line []byte) ([]byte, error) {
	f.pairs, f.err = f.pairs[:0], nil
	name, rest, more := bytes.Cut(line, []byte{' '})
	for more {
		var pair []byte
		equals := bytes.IndexByte(rest, '=')
		if equals > 0 && (string(rest[:equals]) == "params" || string(rest[:equals]) == "note_text") {
			pair, more = rest, false // text runs to the end of the line
		} else {
			pair, rest, more = bytes.Cut(rest, []byte{' '})
			equals = bytes.IndexByte(pair, '=')
		}
		if equals <= 0 {
			return nil, fmt.Errorf("%s: part %q is not name=value", name, pair)
		}
		f.pairs = append(f.pairs, [2][]byte{pair[:equals], pair[equals+1:]})
	}
	return name, nil
}

func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", name, reason)
	}
}

func (f *fields) has(name string) bool {
	for i := range f.pairs {
		if string(f.pairs[i][0]) == name {
			return true
		}
	}
	return false
}

func (f *fields) text(name string, required bool) []byte {
	for i := range f.pairs {
		if string(f.pairs[i][0]) == name {
			return f.pairs[i][1]
		}
	}
	if required {
		f.fail(name, "missing")
	}
	return nil
}

func (f *fields) uint(name string, bits int, required bool) uint64 {
	v := f.text(name, required)
	if v == nil {
		return 0
	}
	x, ok := parseDigits(v)
	if !ok || (bits < 64 && x>>bits != 0) {
		f.fail(name, fmt.Sprintf("%q is not a number in range", v))
	}
	return x
}

func parseDigits(v []byte) (uint64, bool) {
	if len(v) == 0 || len(v) > 20 {
		return 0, false
	}
	if len(v) > 18 {
		x, err := strconv.ParseUint(string(v), 10, 64)
		return x, err == nil
	}
	var x uint64
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		x = x*10 + uint64(c-'0')
	}
	return x, true
}

// span reads a time in microseconds; it may be below zero.
func (f *fields) duration(name string, required bool) time.Duration {
	v := f.text(name, required)
	if v == nil {
		return 0
	}
	sign := time.Duration(1)
	if len(v) > 1 && v[0] == '-' {
		sign, v = -1, v[1:]
	}
	x, ok := parseDigits(v)
	if !ok || x > math.MaxInt64/uint64(time.Microsecond) {
		f.fail(name, fmt.Sprintf("%q is not a time", v))
		return 0
	}
	return sign * time.Duration(x) * time.Microsecond
}

func (f *fields) hex(name string, required bool) uint64 {
	v := f.text(name, required)
	if v == nil {
		return 0
	}
	var x uint64
	ok := len(v) == 16
	for _, c := range v {
		switch {
		case '0' <= c && c <= '9':
			x = x<<4 | uint64(c-'0')
		case 'a' <= c && c <= 'f':
			x = x<<4 | uint64(c-'a'+10)
		default:
			ok = false
		}
	}
	if !ok {
		f.fail(name, fmt.Sprintf("%q is not 16 hex digits", v))
	}
	return x
}

func (f *fields) boolean(name string) bool {
	v := f.text(name, false)
	if v != nil && string(v) != "1" && string(v) != "0" {
		f.fail(name, fmt.Sprintf("%q is not 1 or 0", v))
	}
	return string(v) == "1"
}

func (f *fields) real(name string, defaultValue float64) float64 {
	v := f.text(name, false)
	if v == nil {
		return defaultValue
	}
	return f.parseFloat(name, v)
}

func (f *fields) parseFloat(name string, v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(name, fmt.Sprintf("%q is not a number", v))
	}
	return x
}

func (f *fields) outcome() garnettide.Outcome {
	return garnettide.Outcome{ID: garnettide.RequestID(f.hex("id", true)), Upstream: garnettide.UpstreamID(f.uint("upstream", 32, true)),
		Attempt: int(f.uint("go", 31, true)), Latency: f.duration("cost_time_us", true)}
}

func (f *fields) mode(name string) garnettide.ListMode {
	switch string(f.text(name, true)) {
	case "D":
		return garnettide.ListDelta
	case "F":
		return garnettide.ListFull
	case "C":
		return garnettide.ListCached
	case "X":
		return garnettide.ListFailed
	}
	f.fail(name, "unknown list mode")
	return 0
}

func (f *fields) state(name string) garnettide.State {
	switch string(f.text(name, true)) {
	case "active":
		return garnettide.Active
	case "leaving":
		return garnettide.Draining
	case "left":
		return garnettide.Removed
	}
	f.fail(name, "unknown state")
	return 0
}

func (f *fields) status(name string) garnettide.Status {
	switch x := f.uint(name, 31, true); x {
	case 0:
		return garnettide.OK
	case 255:
		return garnettide.Error
	case 254:
		return garnettide.Rejected
	case 253:
		return garnettide.Timeout
	case 252:
		return garnettide.ConnectFailed
	case 251:
		return garnettide.Reset
	case 250:
		return garnettide.Cancelled
	case 249:
		return garnettide.NotSent
	default:
		f.fail(name, fmt.Sprintf("unknown status %d", x))
		return 0
	}
}

// load reads a report: name:value pairs. Values of other names are passed over.
func (f *fields) load(name string) garnettide.Load {
	var l garnettide.Load
	rest := f.text(name, false)
	for len(rest) > 0 {
		var pair []byte
		pair, rest, _ = bytes.Cut(rest, []byte{','})
		key, v, ok := bytes.Cut(pair, []byte{':'})
		if !ok {
			f.fail(name, fmt.Sprintf("%q is not name:value", pair))
			return l
		}
		x := f.parseFloat(name, v)
		SetLoadValue(&l, string(key), x)
	}
	return l
}

// SetLoad puts one value of a load report into l, by its name in the settings or the short one that upstreams use.
// Values of other names are passed over.
func SetLoadValue(l *garnettide.Load, name string, value float64) {
	switch name {
	case "load_share", "util":
		l.Util, l.Fields = value, l.Fields|garnettide.HasUtil
	case "concurrent", "inflight":
		l.Inflight, l.Fields = value, l.Fields|garnettide.HasInflight
	case "depth", "queue":
		l.Queue, l.Fields = value, l.Fields|garnettide.HasQueue
	case "mean_ms", "latency_ms":
		l.ServiceTime, l.Fields = value, l.Fields|garnettide.HasServiceTime
	case "tps", "qps":
		l.RequestRate, l.Fields = value, l.Fields|garnettide.HasRequestRate
	case "err_ps", "eps":
		l.ErrorRate, l.Fields = value, l.Fields|garnettide.HasErrorRate
	}
}
