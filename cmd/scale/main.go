// Command scale runs fleets of hollow and real balancers on this machine and measures what control costs: slopes, one figure
// varied at a time, and scenes. It uses loopback only and ends all processes that it has started.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/spf13/pflag"

	"garnettide/internal/scale"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "scale:", err)
		os.Exit(1)
	}
}

func run() error {
	slopes, scenes := scale.Names()
	o := scale.Options{Log: os.Stderr}
	role := pflag.String("role", "", "what this process is in a run: discovery or hollow; the run itself starts these")
	json := pflag.String("json", "", "file for the results as JSON")
	pflag.StringSliceVar(&o.Slopes, "slope", nil, "slopes to take: all, "+strings.Join(slopes, ", "))
	pflag.BoolVar(&o.Within, "in-process", false, "slopes of one process, by calls; some three minutes")
	pflag.StringSliceVar(&o.Scenes, "scene", nil, "scenes to play: all, "+strings.Join(scenes, ", "))
	pflag.IntVar(&o.Size.Hollow, "balancers", 0, "hollow balancers in scenes and where slopes do not vary them (0: 24 in scenes)")
	pflag.IntVar(&o.Size.Balancers, "fleet", 0, "balancers that the settings name (0: 950)")
	pflag.IntVar(&o.Size.Real, "real", 8, "real balancers in scenes")
	pflag.IntVar(&o.Size.Upstreams, "upstreams", 0, "upstreams that discovery lists (0: 14000 in scenes, 1000 in slopes)")
	pflag.IntVar(&o.Size.Tenants, "tenants", 0, "tenants in the settings (0: 1000 in scenes, 100 in slopes)")
	pflag.IntVar(&o.Size.Classes, "classes", 0, "classes in the settings (0: 20)")
	pflag.IntVar(&o.Size.Machines, "machines", 0, "machines of discovery, 1 to 4 (0: 4)")
	pflag.Float64Var(&o.Size.Rate, "rate", 0, "requests a second to all real balancers together (0: 240)")
	pflag.DurationVar(&o.Size.Costs.Call, "call-cost", 0, "what a call to discovery takes of its machine, served in turn")
	pflag.DurationVar(&o.Size.Costs.Entry, "entry-cost", 0, "and for each entry of its answer")
	pflag.DurationVar(&o.For, "for", 10*time.Second, "length of a slope's phase and of a scene's play")
	pflag.DurationVar(&o.Every, "every", 3*time.Second, "from one change of the settings to the next in the scene settings")
	pflag.DurationVar(&o.Cut, "cut", 3*time.Minute, "how long the scene cut takes discovery away")
	pflag.StringVar(&o.Program, "program", "", "the balancer's program (empty: it is built)")
	pflag.StringVar(&o.Before, "before", "", "an older program of the balancer, for every second real one: before and after in one run")
	soaks := pflag.Int("soak", 0, "seeds of the soak of restarts to play, and nothing else")
	seed := pflag.Uint64("seed", 1, "the first seed of the soak")
	beside := pflag.Int("beside", 4, "seeds of the soak that are played at one time")
	pflag.Parse()
	if *role != "" {
		return scale.ServeRole(*role)
	}
	if *soaks > 0 {
		return scale.Soaks(o.Program, *seed, *soaks, *beside, os.Stdout)
	}
	if len(o.Slopes)+len(o.Scenes) == 0 && !o.Within {
		o.Slopes, o.Scenes = []string{"all"}, []string{"settings", "zone", "restart"}
	}
	r, err := scale.Start(o)
	if r == nil {
		return err
	}
	r.Table(os.Stdout)
	if *json != "" {
		if failed := r.WriteJSON(*json); failed != nil {
			return failed
		}
	}
	return err
}
