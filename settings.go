package garnettide

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrSettings is wrapped by every error that New and NewPlan return for settings.
var ErrInvalidSettings = errors.New("bad settings")

// bad reports a setting that is missing or out of range.
func invalidSetting(format string, args ...any) error {
	return fmt.Errorf("garnettide: %w: %s", ErrInvalidSettings, fmt.Sprintf(format, args...))
}

// amount tells whether x is a finite figure that is not negative.
func finiteNonNegative(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Plan is settings that have been checked, with what is derived from them. It never changes, so any number of Balancers and
// goroutines may share it.
type Plan struct {
	s           Settings // without Classes and Tenants
	classes     map[string]*Class
	tenants     map[string]float64 // quotas
	minWorth    float64            // worth of a class, over nought; infinite: none is worth anything
	safest      Idempotency
	minTarget   time.Duration // aim
	maxDeadline time.Duration // deadline
}

// NewPlan checks settings and makes a plan of them, or an error that names the setting that is wrong. It may be called on
// any goroutine. It calls step after each small part of the work, which grows as the classes and tenants do.
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

// PlanBuilder makes a plan of classes and tenants that come one by one: large allocations take long at a stretch.
type PlanBuilder struct{ plan *Plan }

// NewPlanBuilder returns a PlanBuilder of a plan without classes and tenants.
func NewPlanBuilder() *PlanBuilder {
	return &PlanBuilder{&Plan{classes: map[string]*Class{}, tenants: map[string]float64{}, minWorth: math.Inf(1), safest: NonIdempotent,
		minTarget: math.MaxInt64}}
}

// AddClass adds a class, or returns an error that names it.
func (b *PlanBuilder) AddClass(c Class) error {
	plan := b.plan
	if plan.classes[c.Name] != nil {
		return invalidSetting("class %q is set twice", c.Name)
	} else if err := c.validate(); err != nil {
		return err
	}
	plan.classes[c.Name] = &c
	plan.safest, plan.minTarget, plan.maxDeadline = min(plan.safest, c.Idempotency), min(plan.minTarget, c.LatencyTarget), max(plan.maxDeadline, c.Deadline)
	if c.Worth > 0 {
		plan.minWorth = min(plan.minWorth, c.Worth)
	}
	return nil
}

// AddTenant adds a tenant, or returns an error that names it.
func (b *PlanBuilder) AddTenant(t Tenant) error {
	if _, exists := b.plan.tenants[t.Name]; exists || !finiteNonNegative(t.Quota) {
		return invalidSetting("tenant %q is set twice or has a Quota that is negative or not finite", t.Name)
	}
	b.plan.tenants[t.Name] = t.Quota
	return nil
}

// Plan returns the plan, with the other settings of s, or an error that names the one that is wrong. The builder must not be
// used any more.
func (b *PlanBuilder) Plan(s Settings) (*Plan, error) {
	if len(b.plan.classes) == 0 {
		return nil, invalidSetting("Classes is missing or out of range")
	} else if err := s.validate(); err != nil {
		return nil, err
	}
	b.plan.s = s
	b.plan.s.Classes, b.plan.s.Tenants = nil, nil
	return b.plan, nil
}

// Settings returns what the plan was made of but for the classes and tenants.
func (p *Plan) Settings() Settings { return p.s }

// Class returns a class, which is not to be changed; nil: there is none of that name.
func (p *Plan) Class(name string) *Class { return p.classes[name] }

// Longest returns the longest deadline of a class.
func (p *Plan) MaxDeadline() time.Duration { return p.maxDeadline }

// Size returns how many classes and tenants there are.
func (p *Plan) Size() (classes, tenants int) { return len(p.classes), len(p.tenants) }

// Counts is how many names a plan has that an older one lacks, has otherwise, and lacks.
type DiffCounts struct{ Added, Changed, Removed int }

// Change is what a plan changes over an older one.
type PlanDiff struct {
	Classes, Tenants               DiffCounts
	removedClasses, removedTenants []string
}

// Since compares p with an older plan. It calls step as NewPlan does.
func (p *Plan) Since(old *Plan, yield func()) PlanDiff {
	var c PlanDiff
	if p == old {
		return c
	}
	for name, class := range p.classes {
		if previous := old.classes[name]; previous == nil {
			c.Classes.Added++
		} else if *previous != *class {
			c.Classes.Changed++
		}
		yield()
	}
	for name, quota := range p.tenants {
		if previous, ok := old.tenants[name]; !ok {
			c.Tenants.Added++
		} else if previous != quota {
			c.Tenants.Changed++
		}
		yield()
	}
	for name := range old.classes {
		if p.classes[name] == nil {
			c.removedClasses = append(c.removedClasses, name)
		}
		yield()
	}
	for name := range old.tenants {
		if _, ok := p.tenants[name]; !ok {
			c.removedTenants = append(c.removedTenants, name)
		}
		yield()
	}
	c.Classes.Removed, c.Tenants.Removed = len(c.removedClasses), len(c.removedTenants)
	return c
}

// validate names what is missing or out of range, but for the classes and tenants.
func (s Settings) validate() error {
	r := s.Requirements
	for _, x := range []struct {
		name string
		ok   bool
	}{
		{"Balancers", s.Balancers >= 1},
		{"Rank", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"OverShareWorth", finiteNonNegative(s.OverQuotaWorth)},
		{"Granularity", s.Granularity >= 0},
		{"Weights", s.Weights <= WeightLoadAdjusted},
		{"Reports", s.Reports <= ReportInProbes},
		{"Limits.MaxAttempts", s.Limits.MaxAttempts >= 1},
		{"Rules.TipAfter", r.OverloadWindow > 0},
		{"Rules.RampTime", r.WarmupTime > 0},
		{"Rules.TipMultiple", finiteNonNegative(r.OverloadFactor) && r.OverloadFactor > 0},
		{"Rules.ColdFrom", r.ColdCapacity > 0 && r.ColdCapacity <= 1},
		{"Rules.AskWithin", r.MaxDiscoveryInterval > 0 || (r.MaxDiscoveryInterval == 0 && !s.PollDiscovery)},
	} {
		if !x.ok {
			return invalidSetting("%s is missing or out of range", x.name)
		}
	}
	return nil
}

// validate names what of a class is out of range.
func (c Class) validate() error {
	switch {
	case !finiteNonNegative(c.Worth) || !finiteNonNegative(c.LateWorth):
		return invalidSetting("class %q: Worth and LateWorth must be finite and not negative", c.Name)
	case c.LatencyTarget <= 0:
		return invalidSetting("class %q: Aim must be over zero", c.Name)
	case c.Deadline < c.LatencyTarget:
		return invalidSetting("class %q: Deadline is before Aim", c.Name)
	case c.Idempotency > NonIdempotent:
		return invalidSetting("class %q: Repeat is of no known kind", c.Name)
	case c.Idempotency == IdempotentByKey && c.DedupScope > DedupCell:
		return invalidSetting("class %q: Group is of no known kind", c.Name)
	case c.Idempotency == IdempotentByKey && c.DedupWindow <= 0:
		return invalidSetting("class %q: Memory must be over zero", c.Name)
	}
	return nil
}

// What owners tell while running is not refused but cleaned, so that no figure poisons a mean.

// clean returns l without the values that are negative or not finite.
func (l Load) sanitized() Load {
	for i, x := range []*float64{&l.Util, &l.Inflight, &l.Queue, &l.ServiceTime, &l.RequestRate, &l.ErrorRate} {
		if !finiteNonNegative(*x) || *x > math.MaxInt32 {
			*x, l.Fields = 0, l.Fields&^(1<<i)
		}
	}
	return l
}

// clean returns o with a latency over zero and a clean load.
func (o Outcome) sanitized() Outcome {
	o.Latency, o.Load = max(o.Latency, 1), o.Load.sanitized()
	return o
}

// clean returns u with a weight that can be set against others: 1 if it is not finite or not over zero.
func (u Upstream) sanitized() Upstream {
	if !finiteNonNegative(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}
