// Command scale measures the cost of the load balancer's control plane. It runs a fleet on this machine:
// real balancers, which are processes of their own and serve clients, and hollow ones, which share
// processes and have no clients. A slope varies one quantity, such as the number of upstreams, and a scene
// plays a scenario, such as the loss of a zone. With --soak it runs the soak test of restarts, with --crowds
// the crowd test instead. The command uses the loopback interface only and ends all processes that it has started.
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
	role := pflag.String("role", "", "role of a child process, discovery or hollow; set by the command itself")
	jsonPath := pflag.String("json", "", "file to which to write the results as JSON")
	pflag.StringSliceVar(&options.Slopes, "slope", nil, "slopes to measure: all, "+strings.Join(slopes, ", "))
	pflag.BoolVar(&options.MeasureInProcess, "in-process", false,
		"measure the slopes of calls within one process; takes about three minutes")
	pflag.StringSliceVar(&options.Scenes, "scene", nil, "scenes to run: all, "+strings.Join(scenes, ", "))
	pflag.IntVar(&options.Size.Hollow, "balancers", 0,
		"number of hollow balancers in scenes, and in slopes that do not vary it (0: 24 in scenes)")
	pflag.IntVar(&options.Size.Balancers, "fleet", 0, "number of balancers in the settings (0: 950)")
	pflag.IntVar(&options.Size.Real, "real", 8, "number of real balancers in scenes")
	pflag.IntVar(&options.Size.Upstreams, "upstreams", 0,
		"number of upstreams in the list of discovery (0: 14000 in scenes, 1000 in slopes)")
	pflag.IntVar(&options.Size.Tenants, "tenants", 0,
		"number of tenants in the settings (0: 1000 in scenes, 100 in slopes)")
	pflag.IntVar(&options.Size.Classes, "classes", 0, "number of classes in the settings (0: 20)")
	pflag.IntVar(&options.Size.DiscoveryServers, "machines", 0, "number of discovery servers, 1 to 4 (0: 4)")
	pflag.Float64Var(&options.Size.Rate, "rate", 0, "requests per second, over all real balancers (0: 240)")
	pflag.DurationVar(&options.Size.Costs.Call, "call-cost", 0,
		"time that a discovery server takes for each call; calls are served one at a time")
	pflag.DurationVar(&options.Size.Costs.Entry, "entry-cost", 0,
		"additional time that a discovery server takes for each entry of its response")
	pflag.DurationVar(&options.PhaseDuration, "for", 10*time.Second,
		"duration of each phase of a slope, and of the changes in the scene settings")
	pflag.DurationVar(&options.SettingsInterval, "every", 3*time.Second,
		"interval between changes of the settings in the scene settings")
	pflag.DurationVar(&options.CutDuration, "cut", 3*time.Minute, "how long discovery is unavailable in the scene cut")
	pflag.StringVar(&options.Program, "program", "", "path of the olivearch program (empty: build it)")
	pflag.StringVar(&options.OlderProgram, "before", "",
		"path of an older olivearch program, run by every second real balancer for comparison")
	soakSeeds := pflag.Int("soak", 0,
		"number of seeds for which to run the soak test of restarts, instead of slopes and scenes")
	crowds := pflag.Int("crowds", 0, "number of seeds for which to run the crowd test, instead of slopes and scenes")
	firstSeed := pflag.Uint64("seed", 1, "first seed of the soak test or the crowd test")
	parallelSeeds := pflag.Int("beside", 4, "number of seeds that run at the same time")
	pflag.Parse()
	if *role != "" {
		return scale.ServeRole(*role)
	}
	if *soakSeeds > 0 {
		return scale.RunSoaks(options.Program, *firstSeed, *soakSeeds, *parallelSeeds, os.Stdout)
	}
	if *crowds > 0 {
		return scale.RunCrowds(options.Program, *firstSeed, *crowds, *parallelSeeds, os.Stdout)
	}
	if len(options.Slopes)+len(options.Scenes) == 0 && !options.MeasureInProcess {
		options.Slopes, options.Scenes = []string{"all"}, []string{"settings", "zone", "restart"}
	}
	result, err := scale.Start(options)
	if result == nil {
		return err
	}
	result.WriteTables(os.Stdout)
	if *jsonPath != "" {
		if writeErr := result.WriteJSON(*jsonPath); writeErr != nil {
			return writeErr
		}
	}
	return err
}
