package garnettide

import (
	"fmt"
	"strings"
	"time"
)

// recorder is a Host that records each action as a line of text and passes it to onAction, if that is set.
type recorder struct {
	lines    []string
	onAction func(kind string, id RequestID, up UpstreamID, d time.Duration, n uint64)
}

func (h *recorder) record(kind string, id RequestID, up UpstreamID, duration time.Duration, number uint64) {
	h.lines = append(h.lines, fmt.Sprintf("%s id=%d up=%d d=%v n=%d", kind, id, up, duration, number))
	if h.onAction != nil {
		h.onAction(kind, id, up, duration, number)
	}
}

func (h *recorder) Send(id RequestID, up UpstreamID, d, _ time.Duration) {
	h.record("send", id, up, d, 0)
}
func (h *recorder) Refuse(id RequestID, d time.Duration) { h.record("refuse", id, 0, d, 0) }
func (h *recorder) Fail(id RequestID)                    { h.record("fail", id, 0, 0, 0) }
func (h *recorder) Cancel(id RequestID, n int)           { h.record("cancel", id, 0, 0, uint64(n)) }
func (h *recorder) Probe(up UpstreamID)                  { h.record("probe", 0, up, 0, 0) }
func (h *recorder) Disconnect(up UpstreamID)             { h.record("disconnect", 0, up, 0, 0) }
func (h *recorder) Watch(on bool)                        { h.record("watch", 0, 0, 0, 0) }
func (h *recorder) Fetch()                               { h.record("fetch", 0, 0, 0, 0) }
func (h *recorder) SetTimer(d time.Duration, n uint64)   { h.record("timer", 0, 0, d, n) }
func (h *recorder) Log(text string)                      { h.record("log: "+text, 0, 0, 0, 0) }

// count returns the number of recorded lines that begin with prefix.
func (h *recorder) count(prefix string) int {
	n := 0
	for _, l := range h.lines {
		if strings.HasPrefix(l, prefix) {
			n++
		}
	}
	return n
}

const ms = time.Millisecond

// settings returns valid settings with one class of each Idempotency.
func settings() Settings {
	return Settings{
		Zone: "near", Balancers: 2, OverQuotaWorth: 0.1, WorthByWork: true,
		Classes: []Class{
			{Name: "read", LatencyTarget: 300 * ms, Deadline: time.Second, Idempotency: Idempotent, Worth: 1,
				LateWorth: 0.5},
			{Name: "keyed", LatencyTarget: 300 * ms, Deadline: time.Second, Idempotency: IdempotentByKey,
				DedupScope: DedupZone, DedupWindow: 400 * ms, Worth: 3},
			{Name: "write", LatencyTarget: 300 * ms, Deadline: time.Second, Idempotency: NonIdempotent, Worth: 2},
		},
		Tenants: []Tenant{{Name: "big", Quota: 200}, {Name: "small", Quota: 20}},
		Limits:  Limits{Cancel: true, Probes: true, MaxAttempts: 4},
		Requirements: Requirements{MaxDiscoveryInterval: 10 * time.Second, ColdCapacity: 0.3,
			WarmupTime: 9 * time.Second, OverloadFactor: 3, OverloadWindow: 1500 * ms,
			DrainGrace: time.Second, AnswerSlack: 20 * ms},
		Weights:     WeightNominal,
		Reports:     ReportInResponses,
		Granularity: 5 * ms,
	}
}

// fleet returns n warm, active upstreams in two zones and three cells.
func fleet(n int) []Upstream {
	list := make([]Upstream, n)
	for i := range list {
		list[i] = Upstream{ID: UpstreamID(i + 1), Zone: []string{"near", "far"}[i%2], Cell: i % 3, Weight: 1}
	}
	return list
}
