// Package proxy connects the routing decisions of package garnettide to TCP: it serves clients, sends their
// requests to upstreams and follows discovery. Which upstream receives a request, and whether it is retried
// or refused, is decided by the Balancer.
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

// minInheritedFD is the first descriptor after standard input, output and error.
const minInheritedFD = 3

// Config is the configuration with which a balancer starts.
type Config struct {
	Name         string
	Listen       string        // host:port for clients
	Discovery    string        // host:port of discovery
	Operator     string        // host:port for operators; empty: no admin listener
	StateDir     string        // directory of the state file
	InheritedFD  int           // descriptor of the clients' listening socket; 0: the process opens its own
	Seed         uint64        // of the Balancer's random numbers
	MemoryMB     int           // memory limit, in MiB
	Sockets      int           // limit of open sockets
	CachedList   discoveryList // last known upstreams, possibly out of date
	Plan         *garnettide.Plan
	ConnTimeouts wire.ConnTimeouts
	Hash         string // first twelve hexadecimal digits of the file's SHA-256
	// OnConfigApplied, if set, is called on the loop when a reloaded configuration is in force, with its hash
	// and the time since its signal.
	OnConfigApplied func(hash string, took time.Duration)
	// OnCollectorTarget, if set, is called on the loop when the memory above which garbage is to be collected at any
	// cost changes, with that memory in bytes.
	OnCollectorTarget func(bytes int64)
	// OnListApplied, if set, is called on the loop after each list from discovery, with its revision. It must
	// not block.
	OnListApplied func(revision uint64)
}

// configFile is the configuration file without the keys known and settings, which are decoded one element
// at a time.
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

// LoadConfig reads the file that RELAY_CONFIG names. The other RELAY_ variables override its values.
func LoadConfig(getenv func(string) string) (Config, error) {
	text, hash, err := readConfig(getenv, nil)
	if err != nil {
		return Config{}, err
	}
	return parseConfig(getenv, text, hash, nil)
}

// parseConfig decodes and checks a configuration, overridden by the RELAY_ variables. slicer may be nil.
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
			return Config{}, fmt.Errorf("RELAY_INHERITED_FD: %q is not a valid descriptor of a listening socket", fd)
		}
	}
	return c, nil
}

// decodeConfig decodes and checks a configuration. override may change the values of all keys but known and
// settings before they are checked.
func decodeConfig(text io.Reader, slicer *workSlicer, override func(*configFile)) (Config, error) {
	var c Config
	var f configFile
	var settings garnettide.Settings
	var builder *garnettide.PlanBuilder
	d := wire.NewDecoder(text, slicer.step)
	err := d.Object(func(key string) (err error) {
		switch {
		case strings.EqualFold(key, "known"):
			err = decodeKnown(d, &c.CachedList)
		case strings.EqualFold(key, "settings"):
			builder = garnettide.NewPlanBuilder()
			settings, c.ConnTimeouts, err = d.Settings(builder.AddClass, builder.AddTenant)
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
	if builder == nil {
		return c, errors.New("settings are missing")
	}
	if c.ConnTimeouts.IdleTimeout <= 0 || c.ConnTimeouts.ConnectTimeout <= 0 {
		return c, errors.New("settings: limits: keepalive_us and connect_timeout_us must be greater than zero")
	}
	if c.Plan, err = builder.Plan(settings); err != nil {
		return c, fmt.Errorf("settings: %w", err)
	}
	return c, nil
}

// decodeKnown decodes and checks the cached list of upstreams.
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
			return errors.New("members appears more than once")
		}
		known.Members = []member{}
		return d.Array(func(int) error {
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

// validateInto stores the values in c and checks them.
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
		return fmt.Errorf("limits: memory_mb is %d, must be at least 16", c.MemoryMB)
	}
	if c.Sockets < 64 {
		return fmt.Errorf("limits: sockets is %d, must be at least 64", c.Sockets)
	}
	return nil
}

// Capacity returns what one of several processes that share the limits may use.
func (c *Config) Capacity(processes int) garnettide.Capacity {
	return garnettide.ProcessLimits{Memory: int64(c.MemoryMB) << 20, Sockets: c.Sockets, AdminSockets: c.adminSockets(),
		Processes: processes}.Capacity()
}

// adminSockets returns the number of sockets for the admin listener and its connections.
func (c *Config) adminSockets() int {
	if c.Operator == "" {
		return 0
	}
	return 1 + maxAdminConns
}
