package proxy

import (
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"garnettide"
	"garnettide/internal/wire"
)

// This file reads upstreams' load reports, in responses and by probes.

// maxUtil is the largest CPU utilisation accepted in a load report. All cores busy is 1, and the measure is
// noisy.
const maxUtil = 2

// parseLoad parses a load report of comma-separated name=value pairs. It returns a zero Load unless there
// is exactly one report and every pair is valid: a report that is read in part must not change shares.
func parseLoad(reports []string) garnettide.Load {
	var load garnettide.Load
	if len(reports) != 1 {
		return load
	}
	seen := map[string]bool{}
	for pair := range strings.SplitSeq(reports[0], ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || name == "" || seen[name] || !(value >= 0 && value <= math.MaxInt32) {
			return garnettide.Load{}
		}
		seen[name] = true
		wire.SetLoadValue(&load, name, value)
	}
	if load.Util > maxUtil {
		return garnettide.Load{}
	}
	return load
}

// probe requests an upstream's load report, or its health if load is not set.
func (t upstreamTransport) probe(p *probe) (r attemptResult) {
	c, err := t.connect(p.conn, p.address, func() bool { return true })
	if err != nil {
		return attemptResult{status: garnettide.ConnectFailed}
	}
	path := "/healthz"
	if p.load {
		path = "/load"
	}
	c.SetDeadline(time.Now().Add(t.timeout))
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: "+p.address+"\r\n\r\n"); err != nil {
		c.Close()
		return attemptResult{status: garnettide.ConnectFailed}
	}
	r = t.receiveResponse(&attempt{conn: c})
	defer t.memory.free(r.body)
	if p.load && r.status == garnettide.OK {
		if l := parseLoad([]string{strings.TrimSpace(string(r.body))}); l.Fields != 0 {
			r.load = l
		}
	}
	return r
}

// probe is a load or health probe of an upstream.
type probe struct {
	upstream *upstream
	sentAt   time.Duration
	address  string
	load     bool // request the load report; false: the health
	conn     *conn
}
