package scale

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"os"
	"time"
)

// This file writes the configuration files of balancers. Versions of the settings differ in the name of one
// class and in the quota of one tenant.

// FleetDimensions are the sizes that the settings and the list of upstreams describe. If fewer balancers run
// than Balancers, their ranks are spread evenly.
type FleetDimensions struct {
	Balancers            int           `json:"balancers"` // as set in the settings
	Upstreams            int           `json:"upstreams"`
	Zones                int           `json:"zones"`
	Classes              int           `json:"classes"`
	Tenants              int           `json:"tenants"`
	MaxDiscoveryInterval time.Duration `json:"ask_within_ns"` // ask_within_us of the settings
}

// BalancerSpec holds the parts of a configuration that are specific to one balancer.
type BalancerSpec struct {
	Name      string
	Listen    string
	Discovery string
	Zone      string
	Rank      int
	MemoryMB  int
	Sockets   int // limit of descriptors; 0: defaultSockets
}

// defaultSockets is the limit of descriptors of most balancers.
const defaultSockets = 1024

// settingsTemplate holds the encoded parts of a configuration that all balancers share: one version of the
// settings, without zone and rank, and the list of upstreams known at the start.
type settingsTemplate struct {
	shared []byte
	known  []byte
}

// versionClass returns the name of the class that only this version of the settings has.
func versionClass(version int) string { return fmt.Sprintf("v%d", version) }

// newSettingsTemplate encodes a version of the settings.
func newSettingsTemplate(dimensions FleetDimensions, version int, known Listing) (*settingsTemplate, error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, `"balancers":%d,"granularity_us":1000,"membership_mode":"on_request","weights":"nominal","worth_by":"work",`,
		dimensions.Balancers)
	b.WriteString(`"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":200000,"keepalive_us":60000000,"probes":false,` +
		`"retry_after":true,"max_retry_after_us":2000000,"second_copies":false},`)
	fmt.Fprintf(&b, `"obligations":{"answer_slack_us":50000,"ask_within_us":%d,"cold_from":0.3,"drain_grace_us":500000,`+
		`"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3},"profiles":[`,
		dimensions.MaxDiscoveryInterval.Microseconds())
	for i := range dimensions.Classes - 1 {
		repeat := [...]string{`"read_like"`, `"idempotency_key","group":"all","memory_span_us":9000000`,
			`"non_idempotent"`}[i%3]
		fmt.Fprintf(&b, `{"name":"c%d","target_us":250000,"give_up_us":750000,"worth":1,"repeat":%s},`, i, repeat)
	}
	fmt.Fprintf(&b, `{"name":"%s","target_us":250000,"give_up_us":750000,"worth":1,"repeat":"read_like"}],"tenants":[`,
		versionClass(version))
	for i := range dimensions.Tenants {
		quota := 2.1
		if i == 0 {
			quota += float64(version) / 1000
		}
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"name":"t%d","quota_rps":%g}`, i, quota)
	}
	b.WriteString(`],"reporting":{"via":"piggyback"}}`)
	encoded, err := json.Marshal(known)
	if err != nil {
		return nil, fmt.Errorf("encoding the known list: %w", err)
	}
	return &settingsTemplate{shared: b.Bytes(), known: encoded}, nil
}

// write atomically replaces the configuration file of a balancer. It returns the hash of the file in the form
// that balancers report.
func (s *settingsTemplate) write(path string, spec BalancerSpec) (hash string, err error) {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"name":%q,"listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1,"memory_mb":%d,"sockets":%d},"known":`,
		spec.Name, spec.Listen, spec.Discovery, uint64(spec.Rank+1)*0x9e3779b97f4a7c15, spec.MemoryMB,
		cmp.Or(spec.Sockets, defaultSockets))
	b.Write(s.known)
	fmt.Fprintf(&b, `,"settings":{"az":%q,"rank":%d,`, spec.Zone, spec.Rank)
	b.Write(s.shared)
	b.WriteByte('}')
	if err := os.WriteFile(path+".new", b.Bytes(), 0o600); err != nil {
		return "", fmt.Errorf("writing a configuration: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return "", fmt.Errorf("writing a configuration: %w", err)
	}
	sum := sha256.Sum256(b.Bytes())
	return fmt.Sprintf("%x", sum[:6]), nil
}
