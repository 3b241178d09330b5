package wire

import (
	"bytes"
	"fmt"
	"strings"
	"time"

	"garnettide"
)

// settingsJSON is the settings object without the arrays profiles and tenants. Durations are in microseconds.
// Decoder.Field fills it.
type settingsJSON struct {
	Zone           string  `json:"az"`
	Balancers      int     `json:"balancers"`
	Rank           int     `json:"rank"`
	Granularity    int64   `json:"granularity_us"`
	MembershipMode string  `json:"membership_mode"`
	OverQuota      float64 `json:"over_share_worth"`
	Weights        string  `json:"weights"`
	WorthBy        string  `json:"worth_by"`
	Limits         struct {
		Cancel         bool  `json:"cancel"`
		ConnectTimeout int64 `json:"connect_timeout_us"`
		IdleTimeout    int64 `json:"keepalive_us"`
		MaxAttempts    int   `json:"max_attempts"`
		MaxRetryAfter  int64 `json:"max_retry_after_us"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retry_after"`
		Hedging        bool  `json:"second_copies"`
	} `json:"limits"`
	Requirements struct {
		Slack                int64   `json:"answer_slack_us"`
		MaxDiscoveryInterval int64   `json:"ask_within_us"`
		ColdCapacity         float64 `json:"cold_from"`
		DrainGrace           int64   `json:"drain_grace_us"`
		WarmupTime           int64   `json:"ramp_time_us"`
		OverloadWindow       int64   `json:"tip_after_us"`
		OverloadFactor       float64 `json:"tip_multiple"`
	} `json:"obligations"`
	Reporting struct {
		Via string `json:"via"`
	} `json:"reporting"`
}

// classJSON is an element of the array profiles. Durations are in microseconds.
type classJSON struct {
	TotalTimeout int64   `json:"give_up_us"`
	DedupScope   string  `json:"group"`
	LateWorth    float64 `json:"late_worth"`
	DedupWindow  int64   `json:"memory_span_us"`
	Name         string  `json:"name"`
	Idempotency  string  `json:"repeat"`
	Target       int64   `json:"target_us"`
	Worth        float64 `json:"worth"`
}

// Values of settings by their JSON names.
var (
	idempotencyByName = map[string]garnettide.Idempotency{"read_like": garnettide.Idempotent,
		"idempotency_key": garnettide.IdempotentByKey, "non_idempotent": garnettide.NonIdempotent}
	dedupScopeByName = map[string]garnettide.DedupScope{"all": garnettide.DedupAll, "zone": garnettide.DedupZone,
		"cell": garnettide.DedupCell}
	weightKindByName = map[string]garnettide.WeightKind{"silent": garnettide.WeightNone,
		"nominal": garnettide.WeightNominal, "rough": garnettide.WeightApproximate, "live": garnettide.WeightLoadAdjusted}
	reportModeByName = map[string]garnettide.ReportMode{"silent": garnettide.ReportNone,
		"piggyback": garnettide.ReportInResponses, "pull": garnettide.ReportInProbes}
	pollByMembershipMode = map[string]bool{"pushed": false, "on_request": true}
)

// microseconds returns a duration of x microseconds.
func microseconds(x int64) time.Duration { return time.Duration(x) * time.Microsecond }

// settings decodes the settings in a field of an attach message.
func (f *fields) settings(name string) garnettide.Settings {
	s, _, err := DecodeSettings(f.text(name, true))
	if err != nil {
		f.fail(name, err.Error())
	}
	return s
}

// ConnTimeouts holds the timeouts of connections to upstreams. The simulator applies them itself; the load
// balancer has to apply them to its connections.
type ConnTimeouts struct {
	IdleTimeout    time.Duration // upstreams close a connection that has been idle for this long
	ConnectTimeout time.Duration // a connection that is not established within this time has failed
}

// DecodeSettings decodes the settings object of an attach message as a whole. An error about a setting names it.
func DecodeSettings(text []byte) (garnettide.Settings, ConnTimeouts, error) {
	var classes []garnettide.Class
	var tenants []garnettide.Tenant
	d := NewDecoder(bytes.NewReader(text), func() {})
	s, timeouts, err := d.Settings(
		func(c garnettide.Class) error { classes = append(classes, c); return nil },
		func(t garnettide.Tenant) error { tenants = append(tenants, t); return nil })
	if err != nil {
		return s, timeouts, err
	}
	if err := d.End(); err != nil {
		return s, timeouts, fmt.Errorf("settings: %w", err)
	}
	s.Classes, s.Tenants = classes, tenants
	return s, timeouts, nil
}

// Settings decodes the settings object of an attach message or of a load balancer's configuration. It
// passes each class and tenant to addClass and addTenant instead of returning them in s. An error about a
// setting names it.
func (d *Decoder) Settings(addClass func(garnettide.Class) error, addTenant func(garnettide.Tenant) error) (
	s garnettide.Settings, timeouts ConnTimeouts, err error) {
	var parsed settingsJSON
	seen := map[string]bool{}
	if err := d.Object(func(key string) error {
		listKey := strings.ToLower(key)
		decodeElement := map[string]func() error{
			"profiles": func() error { return d.addClass(addClass) },
			"tenants":  func() error { return d.addTenant(addTenant) },
		}[listKey]
		if decodeElement == nil {
			return d.Field(key, &parsed)
		} else if seen[listKey] {
			return fmt.Errorf("%s is set twice", listKey)
		}
		seen[listKey] = true
		if err := d.Array(func(int) error { return decodeElement() }); err != nil {
			return fmt.Errorf("%s: %w", listKey, err)
		}
		return nil
	}); err != nil {
		return s, timeouts, fmt.Errorf("settings: %w", err)
	}
	s.Zone, s.Balancers, s.Rank, s.OverQuotaWorth = parsed.Zone, parsed.Balancers, parsed.Rank, parsed.OverQuota
	s.WorthByWork, s.Granularity = parsed.WorthBy == "work", microseconds(parsed.Granularity)
	s.Limits = garnettide.Limits{Cancel: parsed.Limits.Cancel, Probes: parsed.Limits.Probes,
		Hedging:    parsed.Limits.Hedging,
		RetryAfter: parsed.Limits.RetryAfter, MaxRetryAfter: microseconds(parsed.Limits.MaxRetryAfter),
		MaxAttempts: parsed.Limits.MaxAttempts}
	s.Requirements = garnettide.Requirements{
		MaxDiscoveryInterval: microseconds(parsed.Requirements.MaxDiscoveryInterval),
		ColdCapacity:         parsed.Requirements.ColdCapacity, WarmupTime: microseconds(parsed.Requirements.WarmupTime),
		OverloadFactor: parsed.Requirements.OverloadFactor, OverloadWindow: microseconds(parsed.Requirements.OverloadWindow),
		DrainGrace:  microseconds(parsed.Requirements.DrainGrace),
		AnswerSlack: microseconds(parsed.Requirements.Slack)}
	timeouts = ConnTimeouts{IdleTimeout: microseconds(parsed.Limits.IdleTimeout),
		ConnectTimeout: microseconds(parsed.Limits.ConnectTimeout)}
	var ok bool
	if s.PollDiscovery, ok = pollByMembershipMode[parsed.MembershipMode]; !ok {
		return s, timeouts, fmt.Errorf("settings: membership_mode: unknown value %q", parsed.MembershipMode)
	}
	if s.Weights, ok = weightKindByName[parsed.Weights]; !ok {
		return s, timeouts, fmt.Errorf("settings: weights: unknown value %q", parsed.Weights)
	}
	if s.Reports, ok = reportModeByName[parsed.Reporting.Via]; !ok {
		return s, timeouts, fmt.Errorf("settings: reporting.via: unknown value %q", parsed.Reporting.Via)
	}
	return s, timeouts, nil
}

// addClass decodes an element of the array profiles and passes it to add.
func (d *Decoder) addClass(add func(garnettide.Class) error) error {
	var p classJSON
	if err := d.Decode(&p); err != nil {
		return fmt.Errorf("%q: %w", p.Name, unexpectedEOF(err))
	}
	c := garnettide.Class{Name: p.Name, LatencyTarget: microseconds(p.Target),
		Deadline: microseconds(p.TotalTimeout), DedupWindow: microseconds(p.DedupWindow),
		Worth: p.Worth, LateWorth: p.LateWorth}
	var ok bool
	if c.Idempotency, ok = idempotencyByName[p.Idempotency]; !ok {
		return fmt.Errorf("%q: repeat: unknown value %q", p.Name, p.Idempotency)
	}
	if c.DedupScope, ok = dedupScopeByName[p.DedupScope]; !ok && c.Idempotency == garnettide.IdempotentByKey {
		return fmt.Errorf("%q: group: unknown value %q", p.Name, p.DedupScope)
	}
	return add(c)
}

// addTenant decodes an element of the array tenants and passes it to add.
func (d *Decoder) addTenant(add func(garnettide.Tenant) error) error {
	var t struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_rps"`
	}
	if err := d.Decode(&t); err != nil {
		return fmt.Errorf("%q: %w", t.Name, unexpectedEOF(err))
	}
	return add(garnettide.Tenant{Name: t.Name, Quota: t.Quota})
}
