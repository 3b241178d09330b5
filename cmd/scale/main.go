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
	options := scale.Options{Log: os.Stderr}
	role := pflag.String("role", "", "what this process is in a run: discovery or hollow; the run itself starts these")
	jsonPath := pflag.String("json", "", "file for the results as JSON")
	pflag.StringSliceVar(&options.Slopes, "slope", nil, "slopes to take: all, "+strings.Join(slopes, ", "))
	pflag.BoolVar(&options.Within, "in-process", false, "slopes of one process, by calls; some three minutes")
	pflag.StringSliceVar(&options.Scenes, "scene", nil, "scenes to play: all, "+strings.Join(scenes, ", "))
	pflag.IntVar(&options.Size.Hollow, "balancers", 0, "hollow balancers in scenes and where slopes do not vary them (0: 24 in scenes)")
	pflag.IntVar(&options.Size.Balancers, "fleet", 0, "balancers that the settings name (0: 950)")
	pflag.IntVar(&options.Size.Real, "real", 8, "real balancers in scenes")
	pflag.IntVar(&options.Size.Upstreams, "upstreams", 0, "upstreams that discovery lists (0: 14000 in scenes, 1000 in slopes)")
	pflag.IntVar(&options.Size.Tenants, "tenants", 0, "tenants in the settings (0: 1000 in scenes, 100 in slopes)")
	pflag.IntVar(&options.Size.Classes, "classes", 0, "classes in the settings (0: 20)")
	pflag.IntVar(&options.Size.Machines, "machines", 0, "machines of discovery, 1 to 4 (0: 4)")
	pflag.Float64Var(&options.Size.Rate, "rate", 0, "requests a second to all real balancers together (0: 240)")
	pflag.DurationVar(&options.Size.Costs.Call, "call-cost", 0, "what a call to discovery takes of its machine, served in turn")
	pflag.DurationVar(&options.Size.Costs.Entry, "entry-cost", 0, "and for each entry of its answer")
	pflag.DurationVar(&options.For, "for", 10*time.Second, "length of a slope's phase and of a scene's play")
	pflag.DurationVar(&options.Every, "every", 3*time.Second, "from one change of the settings to the next in the scene settings")
	pflag.DurationVar(&options.Cut, "cut", 3*time.Minute, "how long the scene cut takes discovery away")
	pflag.StringVar(&options.Program, "program", "", "the balancer's program (empty: it is built)")
	pflag.StringVar(&options.Before, "before", "", "an older program of the balancer, for every second real one: before and after in one run")
	soakSeeds := pflag.Int("soak", 0, "seeds of the soak of restarts to play, and nothing else")
	firstSeed := pflag.Uint64("seed", 1, "the first seed of the soak")
	parallelSeeds := pflag.Int("beside", 4, "seeds of the soak that are played at one time")
	pflag.Parse()
	if *role != "" {
		return scale.ServeRole(*role)
	}
	if *soakSeeds > 0 {
		return scale.Soaks(options.Program, *firstSeed, *soakSeeds, *parallelSeeds, os.Stdout)
	}
	if len(options.Slopes)+len(options.Scenes) == 0 && !options.Within {
		options.Slopes, options.Scenes = []string{"all"}, []string{"settings", "zone", "restart"}
	}
	result, err := scale.Start(options)
	if result == nil {
		return err
	}
	result.Table(os.Stdout)
	if *jsonPath != "" {
		if writeErr := result.WriteJSON(*jsonPath); writeErr != nil {
			return writeErr
		}
	}
	return err
}
