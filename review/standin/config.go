package main

import (
	"encoding/json"
	"os"
	"path/filepath"
)

// class is a class of requests. Times are in microseconds.
type class struct {
	Name       string  `json:"name"`
	Group      string  `json:"group"`
	Repeat     string  `json:"repeat"`
	GiveUp     int64   `json:"give_up_us"`
	Target     int64   `json:"target_us"`
	MemorySpan int64   `json:"memory_span_us"`
	LateWorth  float64 `json:"late_worth"`
	Worth      float64 `json:"worth"`
	Stream     bool    `json:"stream"`
}

// The classes of the site ub-lessons.
var (
	viewTimetable = class{"view-timetable", "all", "read_like", 5000000, 1200000, 5000000, 0.2, 5, false}
	bookLesson    = class{"book-lesson", "all", "idempotency_key", 2000000, 800000, 1200000, 0.2, 15, false}
)

// config is the configuration file of a balancer.
type config struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Seed      string         `json:"seed"`
	Limits    map[string]any `json:"limits"`
	Known     listing        `json:"known"`
	Settings  map[string]any `json:"settings"`
}

// newConfig returns a configuration with the settings of the site ub-lessons, as the page of the wire shows them.
func newConfig(listen, discovery string, known listing, classes ...class) *config {
	const settings = `{"az": "ub-west", "balancers": 2, "clients": {"marks_retry": false}, "family": "proxy",
 "family_info": {"warm_keys": true}, "granularity_us": 5000, "kinds": ["fast", "standard", "old"],
 "limits": {"cancel": true, "connect_timeout_us": 250000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 15000,
  "keepalive_us": 30000000, "max_attempts": 3, "max_open": 20000, "max_retry_after_us": 2000000, "peers": false,
  "probes": false, "retry_after": true, "second_copies": true, "streams_per_conn": 1},
 "membership_mode": "on_request",
 "obligations": {"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.3, "drain_grace_us": 2000000,
  "ramp_time_us": 9000000, "tip_after_us": 3000000, "tip_multiple": 3.0},
 "over_share_worth": 0.1, "rank": 1, "reporting": {"fields": ["load_share", "tps"], "via": "piggyback"},
 "stage": 0,
 "tenants": [{"name": "tsagaan", "quota_rps": 56.0, "share": 0.54}, {"name": "morin-khuur", "quota_rps": 38.0,
  "share": 0.37}, {"name": "naran", "quota_rps": 9.0, "share": 0.09}],
 "tiers": ["lesson-web"], "weights": "rough", "worth_by": "request", "zones": ["ub-east", "ub-west"]}`
	c := &config{Name: "n1", Listen: listen, Discovery: discovery, Seed: "8c1f30d27a5be964",
		Limits: map[string]any{"cores": 1.0, "memory_mb": 128, "sockets": 1024}, Known: known}
	if err := json.Unmarshal([]byte(settings), &c.Settings); err != nil {
		panic(err) // the text is constant
	}
	c.Settings["profiles"] = classes
	return c
}

// write writes the configuration to a file of the play and returns its path.
func (c *config) write(r *run, name string) (string, error) {
	text, err := json.Marshal(c)
	if err != nil {
		return "", err
	}
	path := filepath.Join(r.tmp, name)
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}
