package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// This file writes a run's results: tables for people, and the same as JSON.

// Table writes the tables.
func (r *Run) Table(w io.Writer) {
	fmt.Fprintf(w, "\nscale run of %s, commit %s, %s, %d cores used, %.0f s, at most %d MB\n", r.Began, r.Commit, r.Go, r.processors, r.Seconds, r.MemoryMB)
	inProcessTable(w, r.InProcess)
	for _, s := range r.Slopes {
		s.table(w)
	}
	for _, s := range r.Scenes {
		s.table(w)
	}
	for _, l := range r.Left {
		fmt.Fprintln(w, "not run:", l)
	}
}

// inProcessTable writes the slopes of one process; nothing where there are none.
func inProcessTable(w io.Writer, slopes []Slope) {
	if len(slopes) == 0 {
		return
	}
	fmt.Fprintf(w, "\nin one process, by calls; the least of %d runs at each point\n", inProcessRuns)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	defer t.Flush()
	for _, s := range slopes {
		fmt.Fprintf(t, "%s\t%s\t", s.Name, s.Unit)
		for i := range s.X {
			fmt.Fprintf(t, "%.5g: %.4g\t", s.X[i], s.Y[i])
		}
		fmt.Fprintf(t, "%s\t%v\t%s\t\n", s.Varied, s.Fit, s.Note)
	}
}

func (x *Varied) table(w io.Writer) {
	fmt.Fprintf(w, "\nslope %s; figures are for one hollow balancer where nothing else is said\n", x.Name)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprint(t, "figure\tunit\t")
	for _, p := range x.Points {
		mark := ""
		if p.Loaded {
			mark = "!"
		}
		fmt.Fprintf(t, "%.5g%s\t", p.X, mark)
	}
	fmt.Fprintln(t, "fit\t")
	for _, s := range x.Slopes {
		fmt.Fprintf(t, "%s\t%s\t", s.Name, s.Unit)
		for _, y := range s.Y {
			fmt.Fprintf(t, "%.4g\t", y)
		}
		fmt.Fprintf(t, "%v\t\n", s.Fit)
	}
	for _, p := range x.Points {
		for _, b := range p.Bursts {
			fmt.Fprintf(t, "at %.5g, %s: %.4g ms of a core and %.4g KB for a balancer, in force p99 %.0f ms, last %.0f, missing %d\t\n", p.X, b.Name,
				b.CPU, b.In, b.InForce.P99, b.InForce.Last, b.InForce.Missing)
		}
		if p.InForce.Missing > 0 {
			fmt.Fprintf(t, "at %.5g: %d changes not in force in time\t\n", p.X, p.InForce.Missing)
		}
		missing := 0
		for _, l := range p.Reloads {
			missing += l.Hollow.Missing
		}
		if missing > 0 {
			fmt.Fprintf(t, "at %.5g: settings not in force on %d\t\n", p.X, missing)
		}
	}
}

func (x *Scene) table(w io.Writer) {
	fmt.Fprintf(w, "\nscene %s: %d hollow and %d real balancers, %d upstreams, %d classes, %d tenants\n", x.Name, x.Size.Hollow, x.Size.Real,
		x.Size.Upstreams, x.Size.Classes, x.Size.Tenants)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "figure\t")
	for _, p := range x.Phases {
		fmt.Fprintf(t, "%s\t", p.Name)
	}
	fmt.Fprintln(t)
	row := func(name string, of func(p Phase) string) {
		fmt.Fprintf(t, "%s\t", name)
		for _, p := range x.Phases {
			fmt.Fprintf(t, "%s\t", of(p))
		}
		fmt.Fprintln(t)
	}
	force := func(of func(p Phase) InForce) func(p Phase) string {
		return func(p Phase) string {
			f := of(p)
			if f.Changes == 0 {
				return "-"
			}
			return fmt.Sprintf("%.0f / %.0f / %.0f, missing %d", f.P50, f.P99, f.Last, f.Missing)
		}
	}
	row("list in force, hollow: p50 / p99 / last ms", force(func(p Phase) InForce { return p.ListInForce }))
	row("settings in force, hollow", force(func(p Phase) InForce { return p.SettingsInForce }))
	for i, program := range x.Programs {
		row("settings served, real, "+program, force(func(p Phase) (f InForce) {
			if i < len(p.SettingsServed) {
				f = p.SettingsServed[i]
			}
			return f
		}))
		row("new class not served, "+program, func(p Phase) string {
			if i >= len(p.NotServed) {
				return "-"
			}
			return counted(p.NotServed[i])
		})
	}
	row("hollow: us of a core a second", func(p Phase) string { return fmt.Sprintf("%.0f", p.ResourceUse.HollowCPU) })
	row("real: us of a core a second", func(p Phase) string { return fmt.Sprintf("%.0f", p.ResourceUse.RealCPU) })
	row("real: MB, the largest", func(p Phase) string { return fmt.Sprintf("%.0f", p.ResourceUse.RealRSS) })
	row("bytes a second in / out, a balancer", func(p Phase) string { return fmt.Sprintf("%.0f / %.0f", p.ResourceUse.In, p.ResourceUse.Out) })
	row("discovery: calls/s, busiest second", func(p Phase) string { return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.Calls, p.BusiestSecond.Calls) })
	row("discovery: KB/s, busiest second", func(p Phase) string {
		return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.DiscoveryOut/1000, p.BusiestSecond.DiscoveryOut/1000)
	})
	row("discovery: us of a core a second, busiest", func(p Phase) string {
		return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.DiscoveryCPU, p.BusiestSecond.DiscoveryCPU)
	})
	row("discovery: whole lists, failed calls", func(p Phase) string { return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.FullLists, p.ResourceUse.Failed) })
	row("cores: hollow, clients and upstreams, others", func(p Phase) string {
		return fmt.Sprintf("%.2f, %.2f, %.2f", p.ResourceUse.HollowCores, p.ResourceUse.DriverCores, p.ResourceUse.OtherCores)
	})
	row("clients: requests, of these moved to another balancer", func(p Phase) string {
		return fmt.Sprintf("%d, %d", p.Clients.Requests, p.Clients.Moved)
	})
	row("clients: answers", func(p Phase) string { return counted(p.Clients.Statuses) })
	row("clients: added p50 / p99 / max ms", func(p Phase) string {
		return fmt.Sprintf("%.2f / %.2f / %.0f", p.Clients.AddedP50, p.Clients.AddedP99, p.Clients.AddedMax)
	})
	for i, program := range x.Programs {
		row("clients of "+program+": added p50 / p99 / max ms", func(p Phase) string {
			if i >= len(p.ClientsByProgram) {
				return "-"
			}
			c := p.ClientsByProgram[i]
			return fmt.Sprintf("%.2f / %.2f / %.0f, not served %d", c.AddedP50, c.AddedP99, c.AddedMax, c.notServed())
		})
	}
	t.Flush()
	for _, name := range slices.Sorted(maps.Keys(x.Figures)) {
		fmt.Fprintf(w, "%s: %.4g\n", name, x.Figures[name])
	}
}

func counted(c map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(c)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, c[name]))
	}
	return strings.Join(parts, ", ")
}

// WriteJSON writes all that was measured into a file.
func (r *Run) WriteJSON(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("encoding the results: %w", err)
	}
	if err := os.WriteFile(path, append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("writing the results: %w", err)
	}
	return nil
}
