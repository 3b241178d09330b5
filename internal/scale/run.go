package scale

import (
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file holds the options of a run and runs the selected slopes and scenes in order.

// Options select what to run.
type Options struct {
	Slopes           []string      // names, or "all"
	Scenes           []string      // names, or "all"
	MeasureInProcess bool          // also measure the slopes of calls within one process
	Size             Size          // fields that are zero take the defaults of the slope or scene
	PhaseDuration    time.Duration // of each phase of a slope, and of the changes in the scene settings
	SettingsInterval time.Duration // between changes of the settings in the scene settings
	CutDuration      time.Duration // how long discovery is unavailable in the scene cut
	Program          string        // path of the balancer's program; if empty, it is built
	OlderProgram     string        // path of an older program, run by every second real balancer; if empty, none
	Log              io.Writer     // receives progress messages
}

// maxPlayDuration limits Options.PhaseDuration and Options.CutDuration.
const maxPlayDuration = 10 * time.Minute

// Run holds the state and the results of a run. The exported fields are written as JSON.
type Run struct {
	Command      string        `json:"command"`
	Commit       string        `json:"commit"`
	GoVersion    string        `json:"go"`
	Cores        int           `json:"cores"`
	Started      string        `json:"began"`
	Seconds      float64       `json:"seconds"`
	PeakMemoryMB int64         `json:"peak_memory_mb"` // sum over all processes; pages that they share count in each
	Base         Size          `json:"base"`           // same as base
	Slopes       []SlopeResult `json:"slopes"`
	Scenes       []Scene       `json:"scenes"`
	NotRun       []string      `json:"left"` // selected slopes and scenes that were not run, with the reason
	InProcess    []Slope       `json:"in_process,omitempty"`

	options      Options
	base         Size // size of the fleet in slopes, apart from the varied quantity
	processes    *processGroup
	programs     []string
	programNames []string // names in the results, by index of programs
	processors   int      // that the run may use
	log          io.Writer
	startTime    time.Time

	mu       sync.Mutex
	abortErr error // reason for ending the run early, or nil; guarded by mu
}

// Names returns the names of all slopes and scenes, in the order in which they are run.
func Names() (slopeNames, sceneNames []string) {
	for _, v := range variations {
		slopeNames = append(slopeNames, v.name)
	}
	for _, s := range scenes {
		sceneNames = append(sceneNames, s.name)
	}
	return slopeNames, sceneNames
}

// selectNames returns the names that are requested, or all names if "all" is among the requested ones. It returns an
// error for a name that does not exist.
func selectNames(requested, names []string) ([]string, error) {
	if slices.Contains(requested, "all") {
		return names, nil
	}
	for _, name := range requested {
		if !slices.Contains(names, name) {
			return nil, fmt.Errorf("unknown name %q, want one of %s", name, strings.Join(names, ", "))
		}
	}
	return requested, nil
}

// Start runs the slopes and scenes that o selects. If a run fails part of the way, Start returns the results so far
// together with the error. The result is nil if the options are invalid or the run could not begin.
func Start(o Options) (*Run, error) {
	slopeNames, sceneNames := Names()
	var err error
	if o.Slopes, err = selectNames(o.Slopes, slopeNames); err != nil {
		return nil, fmt.Errorf("slope: %w", err)
	}
	if o.Scenes, err = selectNames(o.Scenes, sceneNames); err != nil {
		return nil, fmt.Errorf("scene: %w", err)
	}
	if o.PhaseDuration <= 0 || o.PhaseDuration > maxPlayDuration || o.CutDuration > maxPlayDuration ||
		o.SettingsInterval < time.Second && slices.Contains(o.Scenes, "settings") {
		return nil, fmt.Errorf("phases must be longer than zero, durations at most %v, and changes of the settings at least a second apart",
			maxPlayDuration)
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return nil, fmt.Errorf("creating the directory of the run: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &Run{Command: strings.Join(os.Args[1:], " "), Commit: describeCommit(), GoVersion: runtime.Version(),
		Cores:   runtime.NumCPU(),
		Started: time.Now().UTC().Format(time.RFC3339), options: o, base: o.Size.withDefaults(baseSize),
		processes:  &processGroup{dir: dir},
		processors: runtime.GOMAXPROCS(0), log: o.Log, startTime: time.Now()}
	r.Base = r.base
	defer r.processes.stopAll()
	stop := make(chan struct{})
	defer close(stop)
	go r.processes.watchMemory(stop, r.abort)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		select {
		case s := <-signals:
			r.abort(fmt.Errorf("received signal: %v", s))
		case <-stop:
		}
	}()
	err = r.runAll()
	r.Seconds = time.Since(r.startTime).Seconds()
	r.processes.memoryBytes()
	r.PeakMemoryMB = r.processes.peakMemoryBytes >> 20
	return r, err
}

// withDefaults returns base with the fields that are set in s.
func (s Size) withDefaults(base Size) Size {
	for _, field := range []struct{ to, from *int }{{&base.Balancers, &s.Balancers}, {&base.Upstreams, &s.Upstreams},
		{&base.Zones, &s.Zones}, {&base.Classes, &s.Classes}, {&base.Tenants, &s.Tenants}, {&base.Hollow, &s.Hollow},
		{&base.DiscoveryServers, &s.DiscoveryServers}, {&base.Real, &s.Real}} {
		if *field.from > 0 {
			*field.to = *field.from
		}
	}
	if s.MaxDiscoveryInterval > 0 {
		base.MaxDiscoveryInterval = s.MaxDiscoveryInterval
	}
	if s.Rate > 0 {
		base.Rate = s.Rate
	}
	if s.Costs != (Costs{}) {
		base.Costs = s.Costs
	}
	return base
}

// BuildBalancer builds the balancer's program in dir and returns its path.
func BuildBalancer(dir string) (string, error) {
	program := filepath.Join(dir, "olivearch")
	if out, err := exec.Command("go", "build", "-o", program, "garnettide/cmd/olivearch").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the balancer: %w: %s", err, out)
	}
	return program, nil
}

// runAll runs the selected slopes and scenes. It goes on after one that fails, unless the run is aborted.
func (r *Run) runAll() error {
	program := r.options.Program
	if program == "" && len(r.options.Scenes) > 0 {
		r.logProgress("building the balancer")
		var err error
		if program, err = BuildBalancer(r.processes.dir); err != nil {
			return err
		}
	}
	r.programs, r.programNames = []string{program}, []string{"this program"}
	if r.options.OlderProgram != "" {
		r.programs, r.programNames = append(r.programs, r.options.OlderProgram), append(r.programNames, "the program before")
	}
	if r.options.MeasureInProcess {
		r.InProcess = InProcessSlopes(inProcessRuns, func(name string) { r.logProgress("%s", name) })
	}
	var errs []error
	for _, v := range variations {
		if !slices.Contains(r.options.Slopes, v.name) {
			continue
		}
		if err := r.abortCause(); err != nil {
			r.NotRun = append(r.NotRun, fmt.Sprintf("slope %s: %v", v.name, err))
			continue
		}
		result, err := r.measureSlope(v, r.options.PhaseDuration)
		if r.Slopes = append(r.Slopes, result); err != nil {
			errs = append(errs, err)
			r.logProgress("%v", err)
		}
	}
	for _, s := range scenes {
		if !slices.Contains(r.options.Scenes, s.name) {
			continue
		}
		if err := r.abortCause(); err != nil {
			r.NotRun = append(r.NotRun, fmt.Sprintf("scene %s: %v", s.name, err))
			continue
		}
		result, err := r.playScene(s)
		if r.Scenes = append(r.Scenes, result); err != nil {
			errs = append(errs, fmt.Errorf("scene %s: %w", s.name, err))
			r.logProgress("%v", err)
		}
	}
	return errors.Join(append(errs, r.abortCause())...)
}

// logProgress writes a progress message with the time since the start of the run.
func (r *Run) logProgress(format string, args ...any) {
	fmt.Fprintf(r.log, "%7.1fs  %s\n", time.Since(r.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// abort stops all processes and makes the run end after its current step.
func (r *Run) abort(cause error) {
	r.mu.Lock()
	r.abortErr = cause
	r.mu.Unlock()
	r.logProgress("aborting: %v", cause)
	r.processes.stopAll()
}

// abortCause returns the reason why the run was aborted, or nil if it was not.
func (r *Run) abortCause() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.abortErr
}

// describeCommit returns the commit of the Git repository in the working directory, or "unknown".
func describeCommit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
