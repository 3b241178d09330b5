package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"garnettide"
)

// This file makes the settings, lists and configurations with which the module and its loading are measured.

// recordingHost is a garnettide.Host that counts sent and refused requests and records the last request that
// was sent.
type recordingHost struct {
	sent, refused int // numbers of calls
	id            garnettide.RequestID
	upstream      garnettide.UpstreamID
	tickToken     uint64 // token of the first timer that was set, which is that of the module's ticks
	timerCount    int
}

var _ garnettide.Host = (*recordingHost)(nil)

func (h *recordingHost) Send(id garnettide.RequestID, upstream garnettide.UpstreamID, _, _ time.Duration) {
	h.sent, h.id, h.upstream = h.sent+1, id, upstream
}
func (h *recordingHost) Refuse(garnettide.RequestID, time.Duration) { h.refused++ }
func (h *recordingHost) Fail(garnettide.RequestID)                  {}
func (h *recordingHost) Cancel(garnettide.RequestID, int)           {}
func (h *recordingHost) Probe(garnettide.UpstreamID)                {}
func (h *recordingHost) Disconnect(garnettide.UpstreamID)           {}
func (h *recordingHost) Watch(bool)                                 {}
func (h *recordingHost) Fetch()                                     {}
func (h *recordingHost) Log(string)                                 {}
func (h *recordingHost) SetTimer(_ time.Duration, token uint64) {
	if h.timerCount++; h.timerCount == 1 {
		h.tickToken = token
	}
}

// fleetSettings returns settings of the target fleet with the given numbers of classes and tenants.
func fleetSettings(classes, tenants int) garnettide.Settings {
	s := garnettide.Settings{Zone: "z1", Balancers: TargetBalancers, Rank: 17, OverQuotaWorth: 0.1, PollDiscovery: true,
		Weights: garnettide.WeightNominal, Reports: garnettide.ReportInResponses, Granularity: 5 * time.Millisecond,
		Limits: garnettide.Limits{Cancel: true, Hedging: true, RetryAfter: true, MaxRetryAfter: 2 * time.Second,
			MaxAttempts: 3},
		Requirements: garnettide.Requirements{MaxDiscoveryInterval: 10 * time.Second, ColdCapacity: 0.3,
			WarmupTime: 9 * time.Second, OverloadFactor: 3,
			OverloadWindow: 3 * time.Second, DrainGrace: 2 * time.Second, AnswerSlack: 20 * time.Millisecond}}
	for i := range classes {
		s.Classes = append(s.Classes, garnettide.Class{Name: className(i), LatencyTarget: 300 * time.Millisecond,
			Deadline: time.Second, Idempotency: garnettide.Idempotency(i % 2), DedupWindow: 400 * time.Millisecond,
			Worth: float64(1 + i%7), LateWorth: 0.2})
	}
	for i := range tenants {
		s.Tenants = append(s.Tenants, garnettide.Tenant{Name: tenantName(i), Quota: 2.1})
	}
	return s
}

// className returns the name of the class with index i.
func className(i int) string { return fmt.Sprintf("svc-%03d-route-%05d", i%950, i) }

// tenantName returns the name of the tenant with index i.
func tenantName(i int) string { return fmt.Sprintf("customer-%06d", i) }

// upstreamList returns n upstreams that are all up.
func upstreamList(n int) []garnettide.Upstream {
	list := make([]garnettide.Upstream, n)
	for i := range list {
		list[i] = garnettide.Upstream{ID: garnettide.UpstreamID(i)*2654435761 + 1, Zone: zoneOfIndex(i), Cell: i % 11,
			Weight: 1}
	}
	return list
}

// zoneOfIndex returns the zone of the upstream with index i, out of seven zones.
func zoneOfIndex(i int) string { return "z" + strconv.Itoa(1+i%7) }

// newListedBalancer returns a Balancer that has received a full list of upstreams, and its Host.
func newListedBalancer(upstreams, classes, tenants int) (*garnettide.Balancer, *recordingHost, error) {
	h := &recordingHost{}
	b, err := garnettide.New(fleetSettings(classes, tenants), 1, 0, h)
	if err != nil {
		return nil, nil, err
	}
	b.Members(0, garnettide.ListFull, upstreamList(upstreams))
	return b, h, nil
}

// Types for JSON objects with the keys of the wire formats.
type (
	jsonObject  map[string]any
	jsonObjects []jsonObject
)

// settingsObject returns the settings object of a configuration.
func settingsObject(classes, tenants int) jsonObject {
	profiles, customers := make(jsonObjects, classes), make(jsonObjects, tenants)
	for i := range profiles {
		profiles[i] = jsonObject{"give_up_us": 1000000, "group": "all", "late_worth": 0.2, "memory_span_us": 400000,
			"name":   className(i),
			"repeat": []string{"read_like", "idempotency_key"}[i%2], "stream": false, "target_us": 300000, "worth": 1 + i%7}
	}
	for i := range customers {
		customers[i] = jsonObject{"name": tenantName(i), "quota_rps": 2.1, "share": 0.0000138}
	}
	return jsonObject{"az": "z1", "balancers": TargetBalancers, "rank": 17, "granularity_us": 5000,
		"membership_mode":  "on_request",
		"over_share_worth": 0.1, "weights": "nominal", "worth_by": "request", "profiles": profiles, "tenants": customers,
		"limits": jsonObject{"cancel": true, "connect_timeout_us": 250000, "keepalive_us": 30000000, "max_attempts": 3,
			"max_retry_after_us": 2000000, "probes": false, "retry_after": true, "second_copies": true},
		"obligations": jsonObject{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.3,
			"drain_grace_us": 2000000, "ramp_time_us": 9000000, "tip_after_us": 3000000, "tip_multiple": 3.0},
		"reporting": jsonObject{"fields": []string{"load_share", "tps"}, "via": "piggyback"}}
}

// listObject returns a full list of n upstreams as discovery sends it.
func listObject(n int) jsonObject {
	members := make(jsonObjects, n)
	for i := range members {
		members[i] = jsonObject{"id": fmt.Sprintf("s-%08x", uint32(i)*2654435761),
			"host_port": fmt.Sprintf("10.%d.%d.%d:7070", i>>16, i>>8&255, i&255),
			"locality":  zoneOfIndex(i), "flavor": "m2", "cell": i % 11, "phase": "up", "size": 1.0,
			"up_since_ms": 1790000000000 + i}
	}
	return jsonObject{"revision": 41, "complete": true, "members": members}
}

// configJSON returns a configuration file with a known list of the given number of upstreams.
func configJSON(classes, tenants, known int) ([]byte, error) {
	return json.Marshal(jsonObject{"name": "n1", "listen": "127.0.0.1:7070", "discovery": "127.0.0.1:8500",
		"seed":   "8c1f30d27a5be964",
		"limits": jsonObject{"cores": 1.0, "memory_mb": 256, "sockets": 1024}, "known": listObject(known),
		"settings": settingsObject(classes, tenants)})
}

// configFile writes a configuration to a temporary file. It returns a function that looks up the environment
// variables that refer to it, and one that removes it.
func configFile(classes, tenants, known int) (getenv func(string) string, remove func(), err error) {
	text, err := configJSON(classes, tenants, known)
	if err != nil {
		return nil, nil, err
	}
	dir, err := os.MkdirTemp("", "scale")
	if err != nil {
		return nil, nil, err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		os.RemoveAll(dir)
		return nil, nil, err
	}
	return func(name string) string { return map[string]string{"RELAY_CONFIG": path, "TMPDIR": dir}[name] },
		func() { os.RemoveAll(dir) }, nil
}
