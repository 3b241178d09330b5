// Package wire implements the text protocol between the simulator and its adapter. A Reader parses batches
// of events, and a Writer writes one reply of actions to each batch. The package also decodes the JSON
// settings of the simulator and of the load balancer's configuration.
//
// A message is one line: its name, followed by name=value fields that are separated by spaces. Unknown
// fields are ignored.
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

// The kinds of events, with the names of their messages. Most correspond to a method of garnettide.Events.
const (
	EventAttach          Kind = iota // attach: an instance starts
	EventExit                        // exit: an instance ends
	EventMembers                     // endpoints
	EventRequest                     // inbound
	EventResponseStarted             // established
	EventOutcome                     // verdict
	EventClientGone                  // lapsed
	EventTimer                       // elapsed
	EventProbed                      // health
	EventMessage                     // inbox: its content is dropped
)

// Event is one event for one balancer instance. Kind tells which fields are set besides Kind and Instance.
type Event struct {
	Kind     Kind
	Instance int                    // balancer_id
	Seed     uint64                 // EventAttach
	Settings garnettide.Settings    // EventAttach
	Mode     garnettide.ListMode    // EventMembers
	List     []garnettide.Upstream  // EventMembers; nil if Mode is ListFailed
	Request  garnettide.Request     // EventRequest; EventClientGone: ID only
	Outcome  garnettide.Outcome     // EventOutcome; EventResponseStarted: ID, Upstream, Attempt and Latency only
	Probe    garnettide.ProbeResult // EventProbed
	Token    uint64                 // EventTimer: token of Host.SetTimer
}

// Batch holds the events that occur at one time.
type Batch struct {
	At     time.Duration // time on the simulator's clock
	Serial uint64        // number of the batch, repeated in the reply
	Events []Event
}

// bankCount is the number of banks. A sheet message stores a list of upstreams in a bank, and endpoints
// messages refer to it.
const bankCount = 16

// Reader reads batches of events. It must not be used by several goroutines at once.
type Reader struct {
	in         *bufio.Reader
	line       int                              // number of the last line read, from 1
	longLine   []byte                           // buffer for lines that exceed the buffer of in
	interned   map[string]string                // see intern
	lists      [bankCount][]garnettide.Upstream // by bank
	received   [bankCount]bool                  // banks that have been filled
	lineFields fields                           // fields of the current line
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(r, 1<<16), interned: map[string]string{}}
}

// Next reads a batch into b and overwrites its events. It returns io.EOF at the end of the input, and an
// error that gives the line number and the cause if the input is malformed.
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

// readLine returns the next line without its newline. The slice is valid until the next call.
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
		return nil, fmt.Errorf("line %d: no newline at the end of the input", r.line+1)
	case errors.Is(err, io.EOF):
		return nil, io.EOF
	case err != nil:
		return nil, fmt.Errorf("line %d: %w", r.line+1, err)
	}
	r.line++
	return line[:len(line)-1], nil
}

// readFrame parses a frame message, which begins a batch.
func (r *Reader) readFrame(line []byte, b *Batch) error {
	name, err := r.lineFields.split(line)
	if err != nil {
		return err
	}
	if string(name) != "frame" {
		return fmt.Errorf("unexpected message %q, want frame", name)
	}
	f := &r.lineFields
	b.At = f.duration("at_time_us", true)
	b.Serial = f.uint("serial", 64, true)
	b.Events = b.Events[:0]
	return f.err
}

// readEvent parses a message within a batch. It appends an event to b, unless the message is a sheet.
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
		e.Outcome.Status, e.Outcome.RequestDone, e.Outcome.Load =
			f.status("disposition"), f.boolean("over"), f.load("metrics")
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

// readSheet stores a list of upstreams in a bank. The current line is the sheet message; the m messages of
// its upstreams follow.
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
			return fmt.Errorf("sheet: items=%d, but only %d entries follow: %w", items, len(list), err)
		}
		name, err := f.split(line)
		if err != nil {
			return err
		}
		if string(name) != "m" {
			return fmt.Errorf("sheet: items=%d, but only %d entries follow", items, len(list))
		}
		u := garnettide.Upstream{ID: garnettide.UpstreamID(f.uint("upstream", 32, true)),
			Cell: int(f.uint("block", 62, false)),
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

// referencedList returns the list of the bank that the current line names. Lists are never modified once
// stored.
func (r *Reader) referencedList() []garnettide.Upstream {
	bank := r.lineFields.uint("bank", 31, true)
	if bank >= bankCount || !r.received[bank] {
		r.lineFields.fail("bank", "no list has been stored in this bank")
		return nil
	}
	return r.lists[bank]
}

// intern returns b as a string. It allocates only the first time that it sees a value.
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

// fields holds the name=value fields of one line. Its methods record an error if a field is invalid, or
// absent although it is required; their result must not be used then. Absent optional fields are zero
// unless stated otherwise.
type fields struct {
	pairs [][2][]byte // names and values
	err   error       // the first error since split
}

// split parses a line and returns the name of the message.
func (f *fields) split(line []byte) ([]byte, error) {
	f.pairs, f.err = f.pairs[:0], nil
	name, rest, more := bytes.Cut(line, []byte{' '})
	for more {
		var pair []byte
		equals := bytes.IndexByte(rest, '=')
		if equals > 0 && (string(rest[:equals]) == "params" || string(rest[:equals]) == "note_text") {
			pair, more = rest, false // free text extends to the end of the line
		} else {
			pair, rest, more = bytes.Cut(rest, []byte{' '})
			equals = bytes.IndexByte(pair, '=')
		}
		if equals <= 0 {
			return nil, fmt.Errorf("%s: field %q is not name=value", name, pair)
		}
		f.pairs = append(f.pairs, [2][]byte{pair[:equals], pair[equals+1:]})
	}
	return name, nil
}

// fail records an error about a field, unless there is an earlier one.
func (f *fields) fail(name, reason string) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", name, reason)
	}
}

// has reports whether the line has a field of this name.
func (f *fields) has(name string) bool {
	for i := range f.pairs {
		if string(f.pairs[i][0]) == name {
			return true
		}
	}
	return false
}

// text returns the value of a field, or nil if the field is absent.
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

// uint returns an unsigned decimal number of at most the given number of bits.
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

// parseDigits parses an unsigned decimal number. It allocates nothing for numbers of up to 18 digits.
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

// duration returns a duration that is given in microseconds and may be negative.
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
		f.fail(name, fmt.Sprintf("%q is not a time in microseconds", v))
		return 0
	}
	return sign * time.Duration(x) * time.Microsecond
}

// hex returns a number of 16 lower-case hexadecimal digits.
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
		f.fail(name, fmt.Sprintf("%q is not 16 hexadecimal digits", v))
	}
	return x
}

// boolean returns true for 1, and false for 0 or if the field is absent.
func (f *fields) boolean(name string) bool {
	v := f.text(name, false)
	if v != nil && string(v) != "1" && string(v) != "0" {
		f.fail(name, fmt.Sprintf("%q is not 1 or 0", v))
	}
	return string(v) == "1"
}

// real returns a floating-point number, or defaultValue if the field is absent.
func (f *fields) real(name string, defaultValue float64) float64 {
	v := f.text(name, false)
	if v == nil {
		return defaultValue
	}
	return f.parseFloat(name, v)
}

// parseFloat parses the value v of a field as a floating-point number, and records an error unless it is finite.
func (f *fields) parseFloat(name string, v []byte) float64 {
	x, err := strconv.ParseFloat(string(v), 64)
	if err != nil || math.IsNaN(x) || math.IsInf(x, 0) {
		f.fail(name, fmt.Sprintf("%q is not a finite number", v))
	}
	return x
}

// outcome returns the fields that established and verdict messages have in common.
func (f *fields) outcome() garnettide.Outcome {
	return garnettide.Outcome{ID: garnettide.RequestID(f.hex("id", true)),
		Upstream: garnettide.UpstreamID(f.uint("upstream", 32, true)),
		Attempt:  int(f.uint("go", 31, true)), Latency: f.duration("cost_time_us", true)}
}

// mode returns a list mode from its letter.
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

// state returns the state of an upstream from its name.
func (f *fields) state(name string) garnettide.State {
	switch string(f.text(name, true)) {
	case "active":
		return garnettide.Active
	case "leaving":
		return garnettide.Draining
	case "left":
		return garnettide.Removed
	}
	f.fail(name, "unknown upstream state")
	return 0
}

// status returns the status of an attempt or a probe from its number.
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

// load returns a load report of name:value pairs that are separated by commas. Unknown names are ignored.
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

// SetLoadValue sets one value of a load report. The name is the simulator's or that of the X-Load header;
// unknown names are ignored.
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
