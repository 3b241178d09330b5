package scale

import (
	"encoding/json"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"time"

	"garnettide"
	"garnettide/internal/proxy"
	"garnettide/internal/wire"
)

// This file measures the loading of configurations and lists, and reloads.

// listDecodeCost measures the decoding of a full list in ms, including the checks of addresses and the
// sorting that the discovery client does. It uses a type of the same shape as the client's entry type, which
// is not exported.
func listDecodeCost(upstreams int) (float64, error) {
	text, err := json.Marshal(listObject(upstreams))
	if err != nil {
		return 0, err
	}
	type entry struct {
		ID        string  `json:"id"`
		HostPort  string  `json:"host_port"`
		Locality  string  `json:"locality"`
		Cell      int     `json:"cell"`
		Phase     string  `json:"phase"`
		Size      float64 `json:"size"`
		UpSinceMS int64   `json:"up_since_ms"`
	}
	perCall := cpuPerCall(func() {
		var l struct {
			Revision uint64  `json:"revision"`
			Complete bool    `json:"complete"`
			Members  []entry `json:"members"`
		}
		if e := json.Unmarshal(text, &l); e != nil {
			err = e
		}
		for _, m := range l.Members {
			if _, e := netip.ParseAddrPort(m.HostPort); e != nil {
				err = e
			}
		}
		slices.SortFunc(l.Members, func(a, b entry) int { return strings.Compare(a.ID, b.ID) })
	})
	return milliseconds(perCall), err
}

// listSizeKB returns the size of an encoded full list in KB.
func listSizeKB(upstreams int) (float64, error) {
	text, err := json.Marshal(listObject(upstreams))
	return float64(len(text)) / 1e3, err
}

// newBalancerCost measures garnettide.New, in ms.
func newBalancerCost(classes, tenants int) (float64, error) {
	s, err := fleetSettings(classes, tenants), error(nil)
	perCall := cpuPerCall(func() {
		if _, e := garnettide.New(s, 1, 0, &recordingHost{}); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// loadConfigCost measures the reading and validation of a configuration file, in ms.
func loadConfigCost(classes, tenants, known int) (float64, error) {
	getenv, remove, err := configFile(classes, tenants, known)
	if err != nil {
		return 0, err
	}
	defer remove()
	perCall := cpuPerCall(func() {
		if _, e := proxy.LoadConfig(getenv); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// loadConfigAllocatedMB returns the total memory in MB that the reading of a configuration file allocates.
func loadConfigAllocatedMB(tenants int) (float64, error) {
	getenv, remove, err := configFile(fixedClasses, tenants, 0)
	if err != nil {
		return 0, err
	}
	defer remove()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = proxy.LoadConfig(getenv)
	runtime.ReadMemStats(&after)
	return float64(after.TotalAlloc-before.TotalAlloc) / 1e6, err
}

// configSizeKB returns the size of a configuration file in KB.
func configSizeKB(classes, tenants, known int) (float64, error) {
	text, err := configJSON(classes, tenants, known)
	return float64(len(text)) / 1e3, err
}

// decodeSettingsCost measures wire.DecodeSettings, in ms.
func decodeSettingsCost(classes, tenants int) (float64, error) {
	text, err := json.Marshal(settingsObject(classes, tenants))
	if err != nil {
		return 0, err
	}
	perCall := cpuPerCall(func() {
		if _, _, e := wire.DecodeSettings(text); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// balancerHeapMB returns the heap in MB that a Balancer keeps alive with its list and its settings, which are
// decoded as the balancer's program decodes them.
func balancerHeapMB(upstreams, classes, tenants int) (float64, error) {
	text, err := json.Marshal(settingsObject(classes, tenants))
	if err != nil {
		return 0, err
	}
	return retainedMB(func() (any, error) {
		s, _, err := wire.DecodeSettings(text)
		if err != nil {
			return nil, err
		}
		b, err := garnettide.New(s, 1, 0, &recordingHost{})
		if err != nil {
			return nil, err
		}
		b.Members(0, garnettide.ListFull, upstreamList(upstreams))
		return b, nil
	})
}

// noYield is a yield function for plans that does nothing.
func noYield() {}

// reloadPlans returns two plans for the given number of sixteenths of the target fleet, which differ in one class and
// one tenant.
func reloadPlans(sixteenths int) (current, next *garnettide.Plan, err error) {
	s := fleetSettings(TargetClasses*sixteenths/16, TargetTenants*sixteenths/16)
	if current, err = garnettide.NewPlan(s, noYield); err != nil {
		return nil, nil, err
	}
	s.Classes[0].Worth++
	s.Tenants[0].Quota++
	next, err = garnettide.NewPlan(s, noYield)
	return current, next, err
}

// newPlanCost measures garnettide.NewPlan, in ms.
func newPlanCost(sixteenths int) (float64, error) {
	s, err := fleetSettings(TargetClasses*sixteenths/16, TargetTenants*sixteenths/16), error(nil)
	perCall := cpuPerCall(func() {
		if _, e := garnettide.NewPlan(s, noYield); e != nil {
			err = e
		}
	})
	return milliseconds(perCall), err
}

// planSinceCost measures the comparison of two plans, in ms.
func planSinceCost(sixteenths int) (float64, error) {
	current, next, err := reloadPlans(sixteenths)
	if err != nil {
		return 0, err
	}
	return milliseconds(cpuPerCall(func() { next.Since(current, noYield) })), nil
}

// reconfigureCost measures the part of a reload that runs on the event loop, in us. Each call makes two changes.
func reconfigureCost(sixteenths int) (float64, error) {
	reconfigure, err := alternatePlans(sixteenths)
	if err != nil {
		return 0, err
	}
	return milliseconds(cpuPerCall(reconfigure)) * 1000, nil
}

// alternatePlans returns a function that reconfigures a Balancer to a second plan and back to the first.
func alternatePlans(sixteenths int) (func(), error) {
	current, next, err := reloadPlans(sixteenths)
	if err != nil {
		return nil, err
	}
	toNext, toCurrent := next.Since(current, noYield), current.Since(next, noYield)
	b := garnettide.NewWithPlan(current, 1, 0, &recordingHost{})
	b.Members(0, garnettide.ListFull, upstreamList(TargetUpstreams*sixteenths/16))
	now := time.Duration(0)
	return func() {
		now += time.Millisecond
		b.Reconfigure(now, next, toNext)
		b.Reconfigure(now, current, toCurrent)
	}, nil
}

// twoPlansHeapMB returns the heap in MB that a Balancer and a new plan keep alive, while the old plan is in force.
func twoPlansHeapMB(sixteenths int) (float64, error) {
	type pair struct {
		b   *garnettide.Balancer
		new *garnettide.Plan
	}
	return retainedMB(func() (any, error) {
		current, next, err := reloadPlans(sixteenths)
		if err != nil {
			return nil, err
		}
		b := garnettide.NewWithPlan(current, 1, 0, &recordingHost{})
		b.Members(0, garnettide.ListFull, upstreamList(TargetUpstreams*sixteenths/16))
		return pair{b, next}, nil
	})
}
