package wire

import (
	"encoding/hex"
	"io"
	"strconv"
	"strings"
	"time"

	"garnettide"
)

// Writer collects the actions of a reply and writes it. It must not be used by several goroutines at once.
type Writer struct {
	out io.Writer
	buf []byte // the reply so far
}

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{out: w} }

// EndReply ends the reply to the batch with this serial number and writes it.
func (w *Writer) EndReply(serial uint64) error {
	w.buf = append(w.buf, "ok serial="...)
	w.buf = strconv.AppendUint(w.buf, serial, 10)
	w.buf = append(w.buf, '\n')
	_, err := w.out.Write(w.buf)
	w.buf = w.buf[:0]
	return err
}

// InstanceWriter is the garnettide.Host of one instance. It adds the instance's actions to the reply of a
// Writer.
type InstanceWriter struct {
	reply         *Writer
	instanceField string // balancer_id field, with a space in front
}

// NewInstanceWriter returns an InstanceWriter that adds the actions of an instance to reply.
func NewInstanceWriter(reply *Writer, instance int) *InstanceWriter {
	return &InstanceWriter{reply: reply, instanceField: " balancer_id=" + strconv.Itoa(instance)}
}

var _ garnettide.Host = (*InstanceWriter)(nil)

// beginAction adds the name of an action and the instance's id.
func (iw *InstanceWriter) beginAction(name string) {
	iw.reply.buf = append(iw.reply.buf, name...)
	iw.reply.buf = append(iw.reply.buf, iw.instanceField...)
}

// endAction ends the line of an action.
func (iw *InstanceWriter) endAction() { iw.reply.buf = append(iw.reply.buf, '\n') }

// The following methods add one field. Their argument name includes the space before the name and the equals
// sign after it.

// number adds x as a decimal number.
func (iw *InstanceWriter) number(name string, x uint64) {
	iw.reply.buf = append(iw.reply.buf, name...)
	iw.reply.buf = strconv.AppendUint(iw.reply.buf, x, 10)
}

// duration adds d in microseconds, unless it is zero.
func (iw *InstanceWriter) duration(name string, d time.Duration) {
	if d != 0 {
		iw.reply.buf = append(iw.reply.buf, name...)
		iw.reply.buf = strconv.AppendInt(iw.reply.buf, d.Microseconds(), 10)
	}
}

// id adds a request's id as 16 hexadecimal digits.
func (iw *InstanceWriter) id(id garnettide.RequestID) {
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(id >> (56 - 8*i))
	}
	iw.reply.buf = append(iw.reply.buf, " id="...)
	iw.reply.buf = hex.AppendEncode(iw.reply.buf, raw[:])
}

// text adds s as a single line: runs of white space become one space.
func (iw *InstanceWriter) text(name, s string) {
	iw.reply.buf = append(iw.reply.buf, name...)
	iw.reply.buf = append(iw.reply.buf, strings.Join(strings.Fields(s), " ")...)
}

// Send writes a submit_to action. The simulator sends the attempt at once, so the window is ignored.
func (iw *InstanceWriter) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, _ time.Duration) {
	iw.beginAction("submit_to")
	iw.id(id)
	iw.number(" upstream=", uint64(up))
	iw.duration(" patience_us=", timeout)
	iw.endAction()
}

// Refuse writes a bounce action.
func (iw *InstanceWriter) Refuse(id garnettide.RequestID, retryAfter time.Duration) {
	iw.beginAction("bounce")
	iw.id(id)
	iw.duration(" hold_off_us=", retryAfter)
	iw.endAction()
}

// Fail writes a report_failure action.
func (iw *InstanceWriter) Fail(id garnettide.RequestID) {
	iw.beginAction("report_failure")
	iw.id(id)
	iw.endAction()
}

// Cancel writes a withdraw action.
func (iw *InstanceWriter) Cancel(id garnettide.RequestID, attempt int) {
	iw.beginAction("withdraw")
	iw.id(id)
	iw.number(" go=", uint64(attempt))
	iw.endAction()
}

// Probe writes a ping action.
func (iw *InstanceWriter) Probe(up garnettide.UpstreamID) {
	iw.beginAction("ping")
	iw.number(" upstream=", uint64(up))
	iw.endAction()
}

// Disconnect writes a disconnect action.
func (iw *InstanceWriter) Disconnect(up garnettide.UpstreamID) {
	iw.beginAction("disconnect")
	iw.number(" upstream=", uint64(up))
	iw.endAction()
}

// Watch writes a keep_informed action.
func (iw *InstanceWriter) Watch(on bool) {
	iw.beginAction("keep_informed")
	if on {
		iw.number(" active=", 1)
	} else {
		iw.number(" active=", 0)
	}
	iw.endAction()
}

// Fetch writes a query_all action.
func (iw *InstanceWriter) Fetch() {
	iw.beginAction("query_all")
	iw.endAction()
}

// SetTimer writes a timer action. A negative delay is written as 0.
func (iw *InstanceWriter) SetTimer(after time.Duration, token uint64) {
	iw.beginAction("timer")
	iw.number(" from_now_us=", uint64(max(after, 0).Microseconds()))
	iw.number(" ctx=", token)
	iw.endAction()
}

// Log writes a write_log action.
func (iw *InstanceWriter) Log(text string) {
	iw.beginAction("write_log")
	iw.text(" note_text=", text)
	iw.endAction()
}

// Crash writes a crash action, which reports why the instance has failed.
func (iw *InstanceWriter) Crash(text string) {
	iw.beginAction("crash")
	iw.text(" note_text=", text)
	iw.endAction()
}
