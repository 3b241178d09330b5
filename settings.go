package garnettide

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrInvalidSettings is wrapped by all errors of New, NewPlan and PlanBuilder.
var ErrInvalidSettings = errors.New("invalid settings")

// invalidSetting returns an error that wraps ErrInvalidSettings.
func invalidSetting(format string, args ...any) error {
	return fmt.Errorf("garnettide: %w: %s", ErrInvalidSettings, fmt.Sprintf(format, args...))
}

// finiteNonNegative reports whether x is finite and not negative.
func finiteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Plan holds valid settings and values derived from them. It is immutable and may be shared by Balancers and
// goroutines.
type Plan struct {
	config         Settings // without Classes and Tenants
	classes        map[string]*Class
	tenants        map[string]float64 // quotas by name
	minWorth       float64            // smallest positive worth of a class; +Inf: there is none
	mostIdempotent Idempotency        // smallest Idempotency of a class
	minTarget      time.Duration      // smallest latency target of a class
	maxDeadline    time.Duration      // longest deadline of a class
}

// NewPlan checks settings and returns a plan, or an error that names an invalid setting and wraps
// ErrInvalidSettings. It calls yield after each class and tenant, so that a caller can pause during long lists. It may
// run on any goroutine.
func NewPlan(s Settings, yield func()) (*Plan, error) {
	b := NewPlanBuilder()
	for _, c := range s.Classes {
		if err := b.AddClass(c); err != nil {
			return nil, err
		}
		yield()
	}
	for _, t := range s.Tenants {
		if err := b.AddTenant(t); err != nil {
			return nil, err
		}
		yield()
	}
	return b.Plan(s)
}

// PlanBuilder makes a plan from classes and tenants that are added one by one, which avoids large allocations.
type PlanBuilder struct{ plan *Plan }

// NewPlanBuilder returns a PlanBuilder without classes and tenants.
func NewPlanBuilder() *PlanBuilder {
	return &PlanBuilder{&Plan{classes: map[string]*Class{}, tenants: map[string]float64{}, minWorth: math.Inf(1),
		mostIdempotent: NonIdempotent, minTarget: math.MaxInt64}}
}

// AddClass adds a class. It returns an error if the class is invalid or its name is taken.
func (b *PlanBuilder) AddClass(c Class) error {
	plan := b.plan
	if plan.classes[c.Name] != nil {
		return invalidSetting("class %q is set twice", c.Name)
	} else if err := c.validate(); err != nil {
		return err
	}
	plan.classes[c.Name] = &c
	plan.mostIdempotent, plan.minTarget, plan.maxDeadline = min(plan.mostIdempotent, c.Idempotency),
		min(plan.minTarget, c.LatencyTarget), max(plan.maxDeadline, c.Deadline)
	if c.Worth > 0 {
		plan.minWorth = min(plan.minWorth, c.Worth)
	}
	return nil
}

// AddTenant adds a tenant. It returns an error if the quota is invalid or the name is taken.
func (b *PlanBuilder) AddTenant(t Tenant) error {
	if _, exists := b.plan.tenants[t.Name]; exists || !finiteNonNegative(t.Quota) {
		return invalidSetting("tenant %q is set twice or has a Quota that is negative or not finite", t.Name)
	}
	b.plan.tenants[t.Name] = t.Quota
	return nil
}

// Plan returns a plan with the added classes and tenants and the other settings of s, or an error that names an invalid
// setting. It ignores the classes and tenants of s. The builder must not be used afterwards.
func (b *PlanBuilder) Plan(s Settings) (*Plan, error) {
	if len(b.plan.classes) == 0 {
		return nil, invalidSetting("Classes is missing or out of range")
	} else if err := s.validate(); err != nil {
		return nil, err
	}
	b.plan.config = s
	b.plan.config.Classes, b.plan.config.Tenants = nil, nil
	return b.plan, nil
}

// Settings returns the settings of the plan without the classes and tenants.
func (p *Plan) Settings() Settings { return p.config }

// Class returns the class with a name, or nil if there is none. The class must not be modified.
func (p *Plan) Class(name string) *Class { return p.classes[name] }

// MaxDeadline returns the longest deadline of all classes.
func (p *Plan) MaxDeadline() time.Duration { return p.maxDeadline }

// Size returns the number of classes and tenants.
func (p *Plan) Size() (classes, tenants int) { return len(p.classes), len(p.tenants) }

// DiffCounts counts the entries that were added, changed and removed between two plans.
type DiffCounts struct{ Added, Changed, Removed int }

// PlanDiff is the difference between a plan and an older one.
type PlanDiff struct {
	Classes, Tenants               DiffCounts
	removedClasses, removedTenants []string
}

// Since returns the difference between p and an older plan. It calls yield after each class and tenant compared.
func (p *Plan) Since(old *Plan, yield func()) PlanDiff {
	var diff PlanDiff
	if p == old {
		return diff
	}
	for name, class := range p.classes {
		if previous := old.classes[name]; previous == nil {
			diff.Classes.Added++
		} else if *previous != *class {
			diff.Classes.Changed++
		}
		yield()
	}
	for name, quota := range p.tenants {
		if previous, ok := old.tenants[name]; !ok {
			diff.Tenants.Added++
		} else if previous != quota {
			diff.Tenants.Changed++
		}
		yield()
	}
	for name := range old.classes {
		if p.classes[name] == nil {
			diff.removedClasses = append(diff.removedClasses, name)
		}
		yield()
	}
	for name := range old.tenants {
		if _, ok := p.tenants[name]; !ok {
			diff.removedTenants = append(diff.removedTenants, name)
		}
		yield()
	}
	diff.Classes.Removed, diff.Tenants.Removed = len(diff.removedClasses), len(diff.removedTenants)
	return diff
}

// validate checks all settings except the classes and tenants.
func (s Settings) validate() error {
	r := s.Requirements
	for _, x := range []struct {
		name string
		ok   bool
	}{
		{"Balancers", s.Balancers >= 1},
		{"Rank", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"OverQuotaWorth", finiteNonNegative(s.OverQuotaWorth)},
		{"Granularity", s.Granularity >= 0},
		{"Weights", s.Weights <= WeightLoadAdjusted},
		{"Reports", s.Reports <= ReportInProbes},
		{"Limits.MaxAttempts", s.Limits.MaxAttempts >= 1},
		{"Requirements.OverloadWindow", r.OverloadWindow > 0},
		{"Requirements.WarmupTime", r.WarmupTime > 0},
		{"Requirements.OverloadFactor", finiteNonNegative(r.OverloadFactor) && r.OverloadFactor > 0},
		{"Requirements.ColdCapacity", r.ColdCapacity > 0 && r.ColdCapacity <= 1},
		{"Requirements.MaxDiscoveryInterval",
			r.MaxDiscoveryInterval > 0 || (r.MaxDiscoveryInterval == 0 && !s.PollDiscovery)},
	} {
		if !x.ok {
			return invalidSetting("%s is missing or out of range", x.name)
		}
	}
	return nil
}

// validate checks the settings of a class.
func (c Class) validate() error {
	switch {
	case !finiteNonNegative(c.Worth) || !finiteNonNegative(c.LateWorth):
		return invalidSetting("class %q: Worth and LateWorth must be finite and not negative", c.Name)
	case c.LatencyTarget <= 0:
		return invalidSetting("class %q: LatencyTarget must be greater than zero", c.Name)
	case c.Deadline < c.LatencyTarget:
		return invalidSetting("class %q: Deadline must not be shorter than LatencyTarget", c.Name)
	case c.Idempotency > NonIdempotent:
		return invalidSetting("class %q: Idempotency is not a known value", c.Name)
	case c.Idempotency == IdempotentByKey && c.DedupScope > DedupCell:
		return invalidSetting("class %q: DedupScope is not a known value", c.Name)
	case c.Idempotency == IdempotentByKey && c.DedupWindow <= 0:
		return invalidSetting("class %q: DedupWindow must be greater than zero", c.Name)
	}
	return nil
}

// Invalid values in events are replaced rather than rejected, to keep them out of running means.

// sanitised returns l without values that are negative, not finite or larger than math.MaxInt32. The order of the
// values is that of the bits of LoadField.
func (l Load) sanitised() Load {
	for i, x := range []*float64{&l.Util, &l.Inflight, &l.Queue, &l.ServiceTime, &l.RequestRate, &l.ErrorRate} {
		if !finiteNonNegative(*x) || *x > math.MaxInt32 {
			*x, l.Fields = 0, l.Fields&^(1<<i)
		}
	}
	return l
}

// sanitised returns o with a latency of at least 1 ns and a sanitised load.
func (o Outcome) sanitised() Outcome {
	o.Latency, o.Load = max(o.Latency, 1), o.Load.sanitised()
	return o
}

// sanitised returns u with a weight of 1 if its weight is not finite, not greater than zero or larger than
// math.MaxInt32.
func (u Upstream) sanitised() Upstream {
	if !finiteNonNegative(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}
