// How the connections to upstreams are divided between short exchanges and long transfers.

package garnettide

import "time"

// maxTransferShare is the share of the connections that long transfers may hold. Each may last for minutes; the
// rest is for exchanges that end soon.
const maxTransferShare = 3.0 / 4

// transferRetryAfter is how long a client should wait where transfers hold all the connections that they may: most last
// for longer.
const transferRetryAfter = time.Second

// connUsage counts the attempts that hold a connection to an upstream.
type connUsage struct {
	limit     int // of inFlight; 0: none
	inFlight  int
	transfers int // of them: with a body that arrives bit by bit, or a long response that is being passed on
}

// full reports whether no connection is left.
func (c *connUsage) full() bool { return c.limit > 0 && c.inFlight >= c.limit }

// transfersFull reports whether no connection is left for a further transfer.
func (c *connUsage) transfersFull() bool {
	return c.limit > 0 && float64(c.transfers) >= maxTransferShare*float64(c.limit)
}

// begin counts an attempt.
func (c *connUsage) begin(a *attempt) {
	c.inFlight++
	if a.req.Streaming {
		c.markTransfer(a)
	}
}

// markTransfer counts an attempt in flight as a transfer.
func (c *connUsage) markTransfer(a *attempt) {
	if !a.transfer {
		a.transfer = true
		c.transfers++
	}
}

// end takes back an attempt.
func (c *connUsage) end(a *attempt) {
	c.inFlight--
	if a.transfer {
		c.transfers--
	}
}

// SetConnLimit limits the connections to all upstreams together. Attempts in flight above the limit go on.
func (b *Balancer) SetConnLimit(now time.Duration, limit int) {
	b.conns.limit = limit
	b.dispatch(now)
}

// AdmitsTransfers reports whether a streamed request would be sent or queued. The proxy need not read one that would not.
func (b *Balancer) AdmitsTransfers() bool { return !b.conns.transfersFull() }

// TransferRetryAfter returns how long a client should wait whose streamed request is not admitted. It is 0 if the settings
// allow no Retry-After.
func (p *Plan) TransferRetryAfter() time.Duration {
	if !p.config.Limits.RetryAfter {
		return 0
	}
	return min(transferRetryAfter, p.config.Limits.MaxRetryAfter)
}

// isExcessTransfer reports whether r, which is in no attempt, would be a transfer too many. It is not queued: a
// transfer may last far longer than it could wait.
func (b *Balancer) isExcessTransfer(r *request) bool { return r.Streaming && b.conns.transfersFull() }
