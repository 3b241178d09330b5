package clayladder

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrSettings is wrapped by every error that New and NewPlan return for settings.
var ErrSettings = errors.New("bad settings")

// bad reports a setting that is missing or out of range.
func bad(format string, args ...any) error {
	return fmt.Errorf("clayladder: %w: %s", ErrSettings, fmt.Sprintf(format, args...))
}

// amount tells whether x is a finite figure that is not negative.
func amount(x float64) bool { return x >= 0 && !math.IsInf(x, 1) }

// Plan is settings that have been checked, with what is derived from them. It never changes, so any number of Balancers and
// goroutines may share it.
type Plan struct {
	s        Settings // without Classes and Tenants
	classes  map[string]*Class
	tenants  map[string]float64 // quotas
	least    float64            // worth of a class, over nought; infinite: none is worth anything
	safest   Repeat
	shortest time.Duration // aim
	longest  time.Duration // deadline
}

// NewPlan checks settings and makes a plan of them, or an error that names the setting that is wrong. It may be called on
// any goroutine. It calls step after each small part of the work, which grows as the classes and tenants do.
func NewPlan(s Settings, step func()) (*Plan, error) {
	b := NewPlanBuilder()
	for _, c := range s.Classes {
		if err := b.AddClass(c); err != nil {
			return nil, err
		}
		step()
	}
	for _, t := range s.Tenants {
		if err := b.AddTenant(t); err != nil {
			return nil, err
		}
		step()
	}
	return b.Plan(s)
}

// PlanBuilder makes a plan of classes and tenants that come one by one: large allocations take long at a stretch.
type PlanBuilder struct{ p *Plan }

// NewPlanBuilder returns a PlanBuilder of a plan without classes and tenants.
func NewPlanBuilder() *PlanBuilder {
	return &PlanBuilder{&Plan{classes: map[string]*Class{}, tenants: map[string]float64{}, least: math.Inf(1), safest: Unsafe,
		shortest: math.MaxInt64}}
}

// AddClass adds a class, or returns an error that names it.
func (b *PlanBuilder) AddClass(c Class) error {
	p := b.p
	if p.classes[c.Name] != nil {
		return bad("class %q is set twice", c.Name)
	} else if err := c.validate(); err != nil {
		return err
	}
	p.classes[c.Name] = &c
	p.safest, p.shortest, p.longest = min(p.safest, c.Repeat), min(p.shortest, c.Aim), max(p.longest, c.Deadline)
	if c.Worth > 0 {
		p.least = min(p.least, c.Worth)
	}
	return nil
}

// AddTenant adds a tenant, or returns an error that names it.
func (b *PlanBuilder) AddTenant(t Tenant) error {
	if _, twice := b.p.tenants[t.Name]; twice || !amount(t.Quota) {
		return bad("tenant %q is set twice or has a Quota that is negative or not finite", t.Name)
	}
	b.p.tenants[t.Name] = t.Quota
	return nil
}

// Plan returns the plan, with the other settings of s, or an error that names the one that is wrong. The builder must not be
// used any more.
func (b *PlanBuilder) Plan(s Settings) (*Plan, error) {
	if len(b.p.classes) == 0 {
		return nil, bad("Classes is missing or out of range")
	} else if err := s.validate(); err != nil {
		return nil, err
	}
	b.p.s = s
	b.p.s.Classes, b.p.s.Tenants = nil, nil
	return b.p, nil
}

// Settings returns what the plan was made of but for the classes and tenants.
func (p *Plan) Settings() Settings { return p.s }

// Class returns a class, which is not to be changed; nil: there is none of that name.
func (p *Plan) Class(name string) *Class { return p.classes[name] }

// Longest returns the longest deadline of a class.
func (p *Plan) Longest() time.Duration { return p.longest }

// Size returns how many classes and tenants there are.
func (p *Plan) Size() (classes, tenants int) { return len(p.classes), len(p.tenants) }

// Counts is how many names a plan has that an older one lacks, has otherwise, and lacks.
type Counts struct{ Added, Changed, Gone int }

// Change is what a plan changes over an older one.
type Change struct {
	Classes, Tenants         Counts
	goneClasses, goneTenants []string
}

// Since compares p with an older plan. It calls step as NewPlan does.
func (p *Plan) Since(old *Plan, step func()) Change {
	var c Change
	if p == old {
		return c
	}
	for name, class := range p.classes {
		if was := old.classes[name]; was == nil {
			c.Classes.Added++
		} else if *was != *class {
			c.Classes.Changed++
		}
		step()
	}
	for name, quota := range p.tenants {
		if was, ok := old.tenants[name]; !ok {
			c.Tenants.Added++
		} else if was != quota {
			c.Tenants.Changed++
		}
		step()
	}
	for name := range old.classes {
		if p.classes[name] == nil {
			c.goneClasses = append(c.goneClasses, name)
		}
		step()
	}
	for name := range old.tenants {
		if _, ok := p.tenants[name]; !ok {
			c.goneTenants = append(c.goneTenants, name)
		}
		step()
	}
	c.Classes.Gone, c.Tenants.Gone = len(c.goneClasses), len(c.goneTenants)
	return c
}

// validate names what is missing or out of range, but for the classes and tenants.
func (s Settings) validate() error {
	r := s.Rules
	for _, x := range []struct {
		name string
		ok   bool
	}{
		{"Balancers", s.Balancers >= 1},
		{"Rank", s.Rank >= 0 && s.Rank < max(s.Balancers, 1)},
		{"OverShareWorth", amount(s.OverShareWorth)},
		{"Granularity", s.Granularity >= 0},
		{"Weights", s.Weights <= WeightLive},
		{"Reports", s.Reports <= ReportProbes},
		{"Limits.MaxAttempts", s.Limits.MaxAttempts >= 1},
		{"Rules.TipAfter", r.TipAfter > 0},
		{"Rules.RampTime", r.RampTime > 0},
		{"Rules.TipMultiple", amount(r.TipMultiple) && r.TipMultiple > 0},
		{"Rules.ColdFrom", r.ColdFrom > 0 && r.ColdFrom <= 1},
		{"Rules.AskWithin", r.AskWithin > 0 || (r.AskWithin == 0 && !s.OnRequest)},
	} {
		if !x.ok {
			return bad("%s is missing or out of range", x.name)
		}
	}
	return nil
}

// validate names what of a class is out of range.
func (c Class) validate() error {
	switch {
	case !amount(c.Worth) || !amount(c.LateWorth):
		return bad("class %q: Worth and LateWorth must be finite and not negative", c.Name)
	case c.Aim <= 0:
		return bad("class %q: Aim must be over zero", c.Name)
	case c.Deadline < c.Aim:
		return bad("class %q: Deadline is before Aim", c.Name)
	case c.Repeat > Unsafe:
		return bad("class %q: Repeat is of no known kind", c.Name)
	case c.Repeat == Keyed && c.Group > GroupCell:
		return bad("class %q: Group is of no known kind", c.Name)
	case c.Repeat == Keyed && c.Memory <= 0:
		return bad("class %q: Memory must be over zero", c.Name)
	}
	return nil
}

// What owners tell while running is not refused but cleaned, so that no figure poisons a mean.

// clean returns l without the values that are negative or not finite.
func (l Load) clean() Load {
	for i, x := range []*float64{&l.Util, &l.Inflight, &l.Queue, &l.Service, &l.Rate, &l.Errors} {
		if !amount(*x) || *x > math.MaxInt32 {
			*x, l.Fields = 0, l.Fields&^(1<<i)
		}
	}
	return l
}

// clean returns o with a latency over zero and a clean load.
func (o Outcome) clean() Outcome {
	o.Latency, o.Load = max(o.Latency, 1), o.Load.clean()
	return o
}

// clean returns u with a weight that can be set against others: 1 if it is not finite or not over zero.
func (u Upstream) clean() Upstream {
	if !amount(u.Weight) || u.Weight == 0 || u.Weight > math.MaxInt32 {
		u.Weight = 1
	}
	return u
}
