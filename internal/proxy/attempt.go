package proxy

import (
	"sync/atomic"
	"time"

	"garnettide"
)

// This file holds the state of an attempt, which the loop and the goroutine that makes the attempt share.

// The stages of an attempt. The loop may drop a waiting attempt. A claimed one counts as sent.
const (
	attemptWaiting int32 = iota
	attemptDropped
	attemptClaimed
	attemptWritten
)

// attempt is one send of a request to an upstream.
type attempt struct {
	req                *request
	index              int // index among the request's attempts, from 0
	upstream           *upstream
	sentAt             time.Duration // time of Send or, if it arrives later, of the request's last byte
	address            string
	message            *message      // a copy; nil once it is written, unless the request is streaming
	responseTimeout    time.Duration // from Send, or from the request's last byte if that was pending
	responseDeadline   time.Duration // 0: the request's last byte was pending at Send
	writeDeadline      atomic.Int64  // loop's clock; latest time for writing, if other attempts may run; 0: none
	stage              atomic.Int32
	readDeadline       atomicTime    // end of reading; none: not set by the loop
	uploadDone         chan struct{} // closed when the upload has ended; nil: the request is not streaming
	uploadConn         *uploadConn   // the connection, as the upload writes to it
	uploadStage        atomic.Int32
	uploadComplete     atomic.Bool // the whole body was written
	uploadAborted      atomic.Bool // the upload failed because of the client
	conn               *conn       // the loop reads it only after the attempt is claimed
	reported           bool        // loop only: the Balancer has the outcome
	awaitsLateResponse bool        // loop only: kept open for a late response
	aborted            bool        // loop only: abort was called
	streamStarted      bool        // loop only: the response is being streamed to the client
	neverRan           bool        // loop only: the request was not executed
}

// writeBefore lowers the deadline for writing the request. Only the loop calls it.
func (a *attempt) writeBefore(at time.Duration) {
	if writeDeadline := a.writeDeadline.Load(); writeDeadline == 0 || int64(at) < writeDeadline {
		a.writeDeadline.Store(int64(at))
	}
}

// setReadDeadline ends the reading of the response at a time.
func (a *attempt) setReadDeadline(readDeadline time.Time) {
	a.readDeadline.store(readDeadline)
	a.conn.SetReadDeadline(readDeadline)
}

// abort ends a claimed attempt at once from the upstream's point of view. The reading goroutine closes the
// connection, which may happen after another attempt has been written.
func (a *attempt) abort() {
	if halfCloser, ok := a.conn.Conn.(interface{ CloseWrite() error }); ok {
		halfCloser.CloseWrite() // fails only if the connection is already broken
	}
	a.setReadDeadline(longAgo)
}

// awaitBody waits until a part of the response's body has arrived, or its end. It reports false if nothing has by the
// given time.
func (a *attempt) awaitBody(body bodyReader, until time.Time) bool {
	a.conn.SetReadDeadline(until)
	err := body.await()
	a.conn.SetReadDeadline(time.Time{})
	if at, isSet := a.readDeadline.load(); isSet { // by the loop in the meantime
		a.conn.SetReadDeadline(at)
	}
	return !isDeadlineError(err)
}

// drop prevents a waiting attempt from being written, and reports whether it did.
func (a *attempt) drop() bool { return a.stage.CompareAndSwap(attemptWaiting, attemptDropped) }

// isWanted reports whether a waiting attempt may still be written.
func (a *attempt) isWanted() bool {
	return a.stage.Load() == attemptWaiting && !a.req.clientGone.Load()
}

// attemptResult is the result of an attempt or a probe. conn is its connection if it can be reused, or nil.
type attemptResult struct {
	status      garnettide.Status
	load        garnettide.Load
	body        []byte // memory of the budget
	contentType string
	conn        *conn
}
