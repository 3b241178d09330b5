package wire

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"garnettide"
)

// Writer gathers the actions of one reply.
type Writer struct {
	out io.Writer
	buf []byte
}

// NewWriter returns a Writer to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// Done ends the reply to a batch and writes it out.
func (w *Writer) EndReply(serial uint64) error {
	w.buf = append(w.buf, "ok serial="...)
	w.buf = strconv.AppendUint(w.buf, serial, 10)
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// Port writes the actions of one instance. It is that instance's Host.
type InstanceWriter struct {
	reply         *Writer
	instanceField string
}

// NewPort returns the Port of an instance.
func NewInstanceWriter(reply *Writer, instance int) *InstanceWriter {
	return &InstanceWriter{reply: reply, instanceField: " balancer_id=" + strconv.Itoa(instance)}
}

var _ garnettide.Host = (*InstanceWriter)(nil)

func (iw *InstanceWriter) beginAction(name string) {
	iw.reply.buf = append(iw.reply.buf, name...)
	iw.reply.buf = append(iw.reply.buf, iw.instanceField...)
}

func (iw *InstanceWriter) endAction() { iw.reply.buf = append(iw.reply.buf, '\n') }

func (iw *InstanceWriter) number(name string, x uint64) {
	iw.reply.buf = append(iw.reply.buf, name...)
	iw.reply.buf = strconv.AppendUint(iw.reply.buf, x, 10)
}

func (iw *InstanceWriter) duration(name string, d time.Duration) {
	if d != 0 {
		iw.reply.buf = append(iw.reply.buf, name...)
		iw.reply.buf = strconv.AppendInt(iw.reply.buf, d.Microseconds(), 10)
	}
}

func (iw *InstanceWriter) id(id garnettide.RequestID) {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(id >> (56 - 8*i))
	}
	iw.reply.buf = append(iw.reply.buf, " id="...)
	iw.reply.buf = hex.AppendEncode(iw.reply.buf, raw[:])
}

// text writes s as one line.
func (iw *InstanceWriter) text(name, s string) {
	iw.reply.buf = append(iw.reply.buf, name...)
	iw.reply.buf = append(iw.reply.buf, strings.Join(strings.Fields(s), " ")...)
}

// Send writes an attempt. It is sent at once there, so no window is over by then.
func (iw *InstanceWriter) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, _ time.Duration) {
	iw.beginAction("submit_to")
	iw.id(id)
	iw.number(" upstream=", uint64(up))
	iw.duration(" patience_us=", timeout)
	iw.endAction()
}

// Refuse writes a refusal.
func (iw *InstanceWriter) Refuse(id garnettide.RequestID, retryAfter time.Duration) {
	iw.beginAction("bounce")
	iw.id(id)
	iw.duration(" hold_off_us=", retryAfter)
	iw.endAction()
}

// Fail writes a failure.
func (iw *InstanceWriter) Fail(id garnettide.RequestID) {
	iw.beginAction("report_failure")
	iw.id(id)
	iw.endAction()
}

// Cancel writes the end of waiting for an attempt.
func (iw *InstanceWriter) Cancel(id garnettide.RequestID, attempt int) {
	iw.beginAction("withdraw")
	iw.id(id)
	iw.number(" go=", uint64(attempt))
	iw.endAction()
}

// Probe writes a probe.
func (iw *InstanceWriter) Probe(up garnettide.UpstreamID) {
	iw.beginAction("ping")
	iw.number(" upstream=", uint64(up))
	iw.endAction()
}

// Disconnect writes the closing of idle connections.
func (iw *InstanceWriter) Disconnect(up garnettide.UpstreamID) {
	iw.beginAction("disconnect")
	iw.number(" upstream=", uint64(up))
	iw.endAction()
}

// Watch writes a subscription to discovery, or its end.
func (iw *InstanceWriter) Watch(on bool) {
	iw.beginAction("keep_informed")
	if on {
		iw.number(" active=", 1)
	} else {
		iw.number(" active=", 0)
	}
	iw.endAction()
}

// Fetch writes a call for the whole list.
func (iw *InstanceWriter) Fetch() {
	iw.beginAction("query_all")
	iw.endAction()
}

// SetTimer writes a timer.
func (iw *InstanceWriter) SetTimer(after time.Duration, token uint64) {
	iw.beginAction("timer")
	iw.number(" from_now_us=", uint64(max(after, 0).Microseconds()))
	iw.number(" ctx=", token)
	iw.endAction()
}

// Log writes a report line.
func (iw *InstanceWriter) Log(text string) {
	iw.beginAction("write_log")
	iw.text(" note_text=", text)
	iw.endAction()
}

// Crash writes that the decision code has failed.
func (iw *InstanceWriter) Crash(text string) {
	iw.beginAction("crash")
	iw.text(" note_text=", text)
	iw.endAction()
}
