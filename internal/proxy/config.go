// Package proxy is the real balancer round the decision module: clients, upstreams
// and discovery on TCP sockets. It decides nothing; what is sent where, again or
// not at all is the module's to say.
package proxy

import (
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"garnettide"
	"garnettide/internal/wire"
)

// firstInherited is the first descriptor behind standard input, output and error.
const minInheritedFD = 3

// Config is what a balancer is told at its start.
type Config struct {
	Name         string
	Listen       string // host:port for clients
	Discovery    string // host:port of discovery
	Operator     string // host:port for operators; empty: no admin listener
	StateDir     string // where what operators called for is kept
	InheritedFD  int    // descriptor of the clients' listening socket; 0: this process listens itself
	Seed         uint64
	MemoryMB     int
	Sockets      int
	CachedList   discoveryList // the upstreams as last held, maybe stale
	Plan         *garnettide.Plan
	ConnTimeouts wire.Links
	Hash         string // of the file as it was read: the first twelve hex digits of its SHA-256
	// SettingsInForce, if set, is called on the loop when a configuration that was read again is in force, with its Hash
	// and the time since its signal.
	OnConfigApplied func(hash string, took time.Duration)
	// Overlap, if set, is called when another process of this balancer begins or ends to live beside this one.
	OnOverlap func(on bool)
	// ListInForce, if set, is called on the loop each time a list of discovery has been applied, with its revision. It must
	// not wait.
	OnListApplied func(revision uint64)
}

// file is the configuration file's form, but for what is decoded part by part.
type configFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Operator  string `json:"operator"`
	Seed      string `json:"seed"`
	Limits    struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
}

// LoadConfig reads the file that RELAY_CONFIG names. The other RELAY_ variables go before what it says.
func LoadConfig(getenv func(string) string) (Config, error) {
	text, hash, err := readConfig(getenv, nil)
	if err != nil {
		return Config{}, err
	}
	return parseConfig(getenv, text, hash, nil)
}

// parseConfig checks a configuration, in slices.
func parseConfig(getenv func(string) string, text io.Reader, hash string, slicer *workSlicer) (Config, error) {
	path := getenv("RELAY_CONFIG")
	c, err := decodeConfig(text, slicer, func(f *configFile) {
		for name, to := range map[string]*string{"RELAY_NAME": &f.Name, "RELAY_LISTEN": &f.Listen,
			"RELAY_DISCOVERY": &f.Discovery, "RELAY_OPERATOR": &f.Operator} {
			if v := getenv(name); v != "" {
				*to = v
			}
		}
	})
	if err != nil {
		return Config{}, fmt.Errorf("%s: %w", path, err)
	}
	c.Hash = hash
	if c.StateDir = getenv("TMPDIR"); c.StateDir == "" {
		c.StateDir = os.TempDir()
	}
	if fd := getenv("RELAY_INHERITED_FD"); fd != "" {
		if c.InheritedFD, err = strconv.Atoi(fd); err != nil || c.InheritedFD < minInheritedFD {
			return Config{}, fmt.Errorf("RELAY_INHERITED_FD: %q is no descriptor of a listening socket", fd)
		}
	}
	return c, nil
}

// decodeConfig decodes and checks a configuration, with what goes before the file's own words put in by override.
func decodeConfig(text io.Reader, slicer *workSlicer, override func(*configFile)) (Config, error) {
	var c Config
	var f configFile
	var settings garnettide.Settings
	var plan *garnettide.PlanBuilder
	d := wire.NewDecoder(text, slicer.step)
	err := d.Object(func(key string) (err error) {
		switch {
		case strings.EqualFold(key, "known"):
			err = decodeKnown(d, &c.CachedList)
		case strings.EqualFold(key, "settings"):
			plan = garnettide.NewPlanBuilder()
			settings, c.ConnTimeouts, err = d.Settings(plan.AddClass, plan.AddTenant)
		default:
			err = d.Field(key, &f)
		}
		return err
	})
	if err == nil {
		err = d.End()
	}
	if err != nil {
		return c, err
	}
	override(&f)
	if err := f.validateInto(&c); err != nil {
		return c, err
	}
	if plan == nil {
		return c, errors.New("settings are missing")
	}
	if c.ConnTimeouts.KeepAlive <= 0 || c.ConnTimeouts.ConnectTimeout <= 0 {
		return c, errors.New("settings: limits: keepalive_us and connect_timeout_us must be over zero")
	}
	if c.Plan, err = plan.Plan(settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// decodeKnown decodes and checks the list that was last held.
func decodeKnown(d *wire.Decoder, known *discoveryList) error {
	var head struct {
		Revision uint64 `json:"revision"`
		Complete bool   `json:"complete"`
	}
	err := d.Object(func(key string) error {
		if !strings.EqualFold(key, "members") {
			return d.Field(key, &head)
		}
		if known.Members != nil {
			return errors.New("members is there twice")
		}
		known.Members = []member{}
		return d.List(func(int) error {
			var m member
			if err := d.Decode(&m); err != nil {
				return err
			}
			known.Members = append(known.Members, m)
			return m.validate()
		})
	})
	if known.Revision, known.Complete = head.Revision, head.Complete; err != nil {
		return fmt.Errorf("known: %w", err)
	}
	return nil
}

// check checks what was read and puts it into c.
func (f *configFile) validateInto(c *Config) error {
	c.Name, c.Listen, c.Discovery, c.Operator = f.Name, f.Listen, f.Discovery, f.Operator
	c.MemoryMB, c.Sockets = f.Limits.MemoryMB, f.Limits.Sockets
	var err error
	if _, err = netip.ParseAddrPort(c.Listen); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if _, err = netip.ParseAddrPort(c.Discovery); err != nil {
		return fmt.Errorf("discovery: %w", err)
	}
	if c.Operator != "" {
		if _, err = netip.ParseAddrPort(c.Operator); err != nil {
			return fmt.Errorf("operator: %w", err)
		}
	}
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return fmt.Errorf("seed: %w", err)
	}
	if c.MemoryMB < 16 {
		return fmt.Errorf("limits: memory_mb is %d; at least 16 is needed", c.MemoryMB)
	}
	if c.Sockets < 64 {
		return fmt.Errorf("limits: sockets is %d; at least 64 are needed", c.Sockets)
	}
	return nil
}

// Descriptors: clients hold a third at most for requests, so upstreams need no more. A reserve is for the listener,
// discovery, the admin listener and what is being closed. The rest is for clients, whose connections are more than
// their requests.

func (c *Config) maxUpstreamConns() int { return c.Sockets / 3 }
func (c *Config) maxClientConns() int {
	return c.Sockets - c.maxUpstreamConns() - max(c.Sockets/16, 16) - c.adminConns()
}

// adminConns is what the admin listener may hold: its listener and its calls.
func (c *Config) adminConns() int {
	if c.Operator == "" {
		return 0
	}
	return 1 + adminConns
}

// held is how much of bodies may be held at once: a quarter of the memory, beside the program, its connections and what
// the collector leaves lying.
func (c *Config) bodyMemory() int64 { return int64(c.MemoryMB) << 20 / 4 }
