package scale

import (
	"math/rand/v2"
	"time"

	"garnettide"
)

// This file measures how often requests within their quota are taken for ones over it.

const quotaNote = "a tenant with a quota of 2.1/s that asks for 80% of it, by chance and evenly; the same each time"

const (
	tenantQuota      = 2.1                // requests per second
	quotaUtilisation = 0.8                // share of the quota that the tenant requests
	quotaWarmup      = 3000 * time.Second // several times the mean interval of requests at 1/950 of the quota
	quotaDuration    = 20000 * time.Second
)

// overQuotaPercent returns the percentage of requests that are treated as over quota although their tenant is
// within its quota. The requests are spread evenly over usedBalancers of the fleet. Time is simulated, so
// results are repeatable.
//
// The module does not report whether a request is over quota. The balancers therefore have no upstreams,
// requests over quota have no worth, and deadlines are longer than the simulation: requests over quota are
// refused at once, and all others are queued.
func overQuotaPercent(balancers, usedBalancers int, duration time.Duration) (float64, error) {
	s := fleetSettings(1, 0)
	longDeadline := 100 * (quotaWarmup + duration)
	s.Balancers, s.OverQuotaWorth, s.PollDiscovery = balancers, 0, false
	s.Classes[0].LatencyTarget, s.Classes[0].Deadline = longDeadline, longDeadline
	s.Tenants = []garnettide.Tenant{{Name: "t", Quota: tenantQuota}}
	hosts, fleet := make([]recordingHost, usedBalancers), make([]*garnettide.Balancer, usedBalancers)
	for i := range fleet {
		var err error
		s.Rank = i
		if fleet[i], err = garnettide.New(s, uint64(i), 0, &hosts[i]); err != nil {
			return 0, err
		}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	counted, overQuota, elapsed := 0, 0, 0.0 // elapsed is in seconds
	for id := garnettide.RequestID(1); ; id++ {
		elapsed += rng.ExpFloat64() / (tenantQuota * quotaUtilisation)
		now := time.Duration(elapsed * float64(time.Second))
		if now > quotaWarmup+duration {
			return 100 * float64(overQuota) / float64(counted), nil
		}
		i := rng.IntN(usedBalancers)
		before := hosts[i].refused
		fleet[i].Request(now, garnettide.Request{ID: id, Budget: longDeadline, Class: s.Classes[0].Name, Tenant: "t"})
		if now > quotaWarmup {
			counted, overQuota = counted+1, overQuota+hosts[i].refused-before
		}
	}
}
