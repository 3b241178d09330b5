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

// This file writes the results of a run as text tables and as JSON.

// WriteTables writes the results as text tables.
func (r *Run) WriteTables(w io.Writer) {
	fmt.Fprintf(w, "\nscale run of %s, commit %s, %s, %d cores used, %.0f s, at most %d MB\n", r.Started, r.Commit,
		r.GoVersion, r.processors, r.Seconds, r.PeakMemoryMB)
	writeInProcessTable(w, r.InProcess)
	for _, s := range r.Slopes {
		s.writeTable(w)
	}
	for _, s := range r.Scenes {
		s.writeTable(w)
	}
	for _, l := range r.NotRun {
		fmt.Fprintln(w, "not run:", l)
	}
}

// writeInProcessTable writes the table of in-process slopes. It writes nothing if there are none.
func writeInProcessTable(w io.Writer, slopes []Slope) {
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
		fmt.Fprintf(t, "%s\t%v\t%s\t\n", s.Variable, s.Fit, s.Note)
	}
}

// writeTable writes a table with a column for each point and a row for each figure. Columns of saturated points are
// marked with an exclamation mark.
func (r *SlopeResult) writeTable(w io.Writer) {
	fmt.Fprintf(w, "\nslope %s; figures are for one hollow balancer where nothing else is said\n", r.Name)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	defer t.Flush()
	fmt.Fprint(t, "figure\tunit\t")
	for _, p := range r.Points {
		mark := ""
		if p.Saturated {
			mark = "!"
		}
		fmt.Fprintf(t, "%.5g%s\t", p.X, mark)
	}
	fmt.Fprintln(t, "fit\t")
	for _, s := range r.Slopes {
		fmt.Fprintf(t, "%s\t%s\t", s.Name, s.Unit)
		for _, y := range s.Y {
			fmt.Fprintf(t, "%.4g\t", y)
		}
		fmt.Fprintf(t, "%v\t\n", s.Fit)
	}
	for _, p := range r.Points {
		for _, b := range p.Bursts {
			fmt.Fprintf(t, "at %.5g, %s: %.4g ms of a core and %.4g KB for a balancer, in force p99 %.0f ms, last %.0f, missing %d\t\n",
				p.X, b.Name, b.CPU, b.In, b.InForce.P99, b.InForce.Last, b.InForce.Missing)
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

// writeTable writes a table with a column for each phase, followed by the figures of the scene.
func (s *Scene) writeTable(w io.Writer) {
	fmt.Fprintf(w, "\nscene %s: %d hollow and %d real balancers, %d upstreams, %d classes, %d tenants\n", s.Name,
		s.Size.Hollow, s.Size.Real, s.Size.Upstreams, s.Size.Classes, s.Size.Tenants)
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(t, "figure\t")
	for _, p := range s.Phases {
		fmt.Fprintf(t, "%s\t", p.Name)
	}
	fmt.Fprintln(t)
	row := func(name string, value func(p Phase) string) {
		fmt.Fprintf(t, "%s\t", name)
		for _, p := range s.Phases {
			fmt.Fprintf(t, "%s\t", value(p))
		}
		fmt.Fprintln(t)
	}
	delays := func(value func(p Phase) InForce) func(p Phase) string {
		return func(p Phase) string {
			f := value(p)
			if f.Changes == 0 {
				return "-"
			}
			return fmt.Sprintf("%.0f / %.0f / %.0f, missing %d", f.P50, f.P99, f.Last, f.Missing)
		}
	}
	row("list in force, hollow: p50 / p99 / last ms", delays(func(p Phase) InForce { return p.ListInForce }))
	row("settings in force, hollow", delays(func(p Phase) InForce { return p.SettingsInForce }))
	for i, program := range s.Programs {
		row("settings served, real, "+program, delays(func(p Phase) (f InForce) {
			if i < len(p.SettingsServed) {
				f = p.SettingsServed[i]
			}
			return f
		}))
		row("new class not served, "+program, func(p Phase) string {
			if i >= len(p.NotServed) {
				return "-"
			}
			return formatCounts(p.NotServed[i])
		})
	}
	row("hollow: us of a core a second", func(p Phase) string { return fmt.Sprintf("%.0f", p.ResourceUse.HollowCPU) })
	row("real: us of a core a second", func(p Phase) string { return fmt.Sprintf("%.0f", p.ResourceUse.RealCPU) })
	row("real: MB, the largest", func(p Phase) string { return fmt.Sprintf("%.0f", p.ResourceUse.RealRSS) })
	row("bytes a second in / out, a balancer",
		func(p Phase) string { return fmt.Sprintf("%.0f / %.0f", p.ResourceUse.In, p.ResourceUse.Out) })
	row("discovery: calls/s, busiest second",
		func(p Phase) string { return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.Calls, p.BusiestSecond.Calls) })
	row("discovery: KB/s, busiest second", func(p Phase) string {
		return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.DiscoveryOut/1000, p.BusiestSecond.DiscoveryOut/1000)
	})
	row("discovery: us of a core a second, busiest", func(p Phase) string {
		return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.DiscoveryCPU, p.BusiestSecond.DiscoveryCPU)
	})
	row("discovery: whole lists, failed calls",
		func(p Phase) string { return fmt.Sprintf("%.0f, %.0f", p.ResourceUse.FullLists, p.ResourceUse.Failed) })
	row("cores: hollow, clients and upstreams, others", func(p Phase) string {
		return fmt.Sprintf("%.2f, %.2f, %.2f", p.ResourceUse.HollowCores, p.ResourceUse.DriverCores, p.ResourceUse.OtherCores)
	})
	row("clients: requests, of these moved to another balancer", func(p Phase) string {
		return fmt.Sprintf("%d, %d", p.Clients.Requests, p.Clients.Moved)
	})
	row("clients: answers", func(p Phase) string { return formatCounts(p.Clients.Statuses) })
	row("clients: added p50 / p99 / max ms", func(p Phase) string {
		return fmt.Sprintf("%.2f / %.2f / %.0f", p.Clients.AddedP50, p.Clients.AddedP99, p.Clients.AddedMax)
	})
	for i, program := range s.Programs {
		row("clients of "+program+": added p50 / p99 / max ms", func(p Phase) string {
			if i >= len(p.ClientsByProgram) {
				return "-"
			}
			c := p.ClientsByProgram[i]
			return fmt.Sprintf("%.2f / %.2f / %.0f, not served %d", c.AddedP50, c.AddedP99, c.AddedMax, c.notServed())
		})
	}
	t.Flush()
	for _, name := range slices.Sorted(maps.Keys(s.Figures)) {
		fmt.Fprintf(w, "%s: %.4g\n", name, s.Figures[name])
	}
}

// formatCounts returns counts as "name: count" pairs, sorted by name.
func formatCounts(counts map[string]int) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s: %d", name, counts[name]))
	}
	return strings.Join(parts, ", ")
}

// WriteJSON writes the results to a file as indented JSON.
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
