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

// This file is the run as a whole: what is to be run, in which order, with which bounds.

// Options say what to run.
type Options struct {
	Slopes           []string // names, or "all"
	Scenes           []string
	MeasureInProcess bool          // the slopes of one process, by calls
	Size             Size          // zero figures: the base's
	PhaseDuration    time.Duration // a phase of a slope, or a scene's play
	SettingsInterval time.Duration // from one change of the settings to the next, in the first scene
	CutDuration      time.Duration // how long discovery is cut off in the last scene
	Program          string        // the real balancers'; empty: built
	OlderProgram     string        // a program that every second real balancer runs in its place, from an older commit; empty: none
	Log              io.Writer     // progress
}

const maxPlayDuration = 10 * time.Minute

// Run is a run and what it has measured.
type Run struct {
	Command      string        `json:"command"`
	Commit       string        `json:"commit"`
	GoVersion    string        `json:"go"`
	Cores        int           `json:"cores"`
	Started      string        `json:"began"`
	Seconds      float64       `json:"seconds"`
	PeakMemoryMB int64         `json:"peak_memory_mb"` // of all processes, pages that they share counted for each
	Base         Size          `json:"base"`
	Slopes       []SlopeResult `json:"slopes"`
	Scenes       []Scene       `json:"scenes"`
	NotRun       []string      `json:"left"` // what was to be run and was not, and why
	InProcess    []Slope       `json:"in_process,omitempty"`

	options      Options
	base         Size
	processes    *children
	programs     []string
	programNames []string // of these
	processors   int
	log          io.Writer
	startTime    time.Time

	mu       sync.Mutex
	abortErr error // why the run has to end
}

// Names are the slopes and scenes that there are.
func Names() (slopeNames, sceneNames []string) {
	for _, v := range variations {
		slopeNames = append(slopeNames, v.name)
	}
	for _, s := range scenes {
		sceneNames = append(sceneNames, s.name)
	}
	return slopeNames, sceneNames
}

// wanted tells which of names are asked for.
func selectNames(requested, names []string) ([]string, error) {
	if slices.Contains(requested, "all") {
		return names, nil
	}
	for _, a := range requested {
		if !slices.Contains(names, a) {
			return nil, fmt.Errorf("%q is none of %s", a, strings.Join(names, ", "))
		}
	}
	return requested, nil
}

// Start runs what o asks for and returns what was measured, also where an error cut it short.
func Start(o Options) (*Run, error) {
	slopeNames, sceneNames := Names()
	var err error
	if o.Slopes, err = selectNames(o.Slopes, slopeNames); err != nil {
		return nil, fmt.Errorf("slope: %w", err)
	}
	if o.Scenes, err = selectNames(o.Scenes, sceneNames); err != nil {
		return nil, fmt.Errorf("scene: %w", err)
	}
	if o.PhaseDuration <= 0 || o.PhaseDuration > maxPlayDuration || o.CutDuration > maxPlayDuration || o.SettingsInterval < time.Second && slices.Contains(o.Scenes, "settings") {
		return nil, fmt.Errorf("a time is over zero and at most %v, and between two changes of the settings is a second", maxPlayDuration)
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return nil, fmt.Errorf("the run's files: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &Run{Command: strings.Join(os.Args[1:], " "), Commit: describeCommit(), GoVersion: runtime.Version(), Cores: runtime.NumCPU(),
		Started: time.Now().UTC().Format(time.RFC3339), options: o, base: o.Size.withDefaults(baseSize), processes: &children{dir: dir},
		processors: runtime.GOMAXPROCS(0), log: o.Log, startTime: time.Now()}
	r.Base = r.base
	defer r.processes.endAll()
	stop := make(chan struct{})
	defer close(stop)
	go r.processes.watch(stop, r.abort)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		select {
		case s := <-signals:
			r.abort(fmt.Errorf("a signal: %v", s))
		case <-stop:
		}
	}()
	err = r.runAll()
	r.Seconds = time.Since(r.startTime).Seconds()
	r.processes.memory()
	r.PeakMemoryMB = r.processes.peak >> 20
	return r, err
}

// over takes what s says in place of base's.
func (s Size) withDefaults(base Size) Size {
	for _, field := range []struct{ to, from *int }{{&base.Balancers, &s.Balancers}, {&base.Upstreams, &s.Upstreams}, {&base.Zones, &s.Zones},
		{&base.Classes, &s.Classes}, {&base.Tenants, &s.Tenants}, {&base.Hollow, &s.Hollow}, {&base.Machines, &s.Machines}, {&base.Real, &s.Real}} {
		if *field.from > 0 {
			*field.to = *field.from
		}
	}
	if s.AskWithin > 0 {
		base.AskWithin = s.AskWithin
	}
	if s.Rate > 0 {
		base.Rate = s.Rate
	}
	if s.Costs != (Costs{}) {
		base.Costs = s.Costs
	}
	return base
}

// BuildBalancer builds the balancer's program into dir and returns its path.
func BuildBalancer(dir string) (string, error) {
	program := filepath.Join(dir, "olivearch")
	if out, err := exec.Command("go", "build", "-o", program, "garnettide/cmd/olivearch").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the balancer: %w: %s", err, out)
	}
	return program, nil
}

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
		result, err := r.scene(s)
		if r.Scenes = append(r.Scenes, result); err != nil {
			errs = append(errs, fmt.Errorf("scene %s: %w", s.name, err))
			r.logProgress("%v", err)
		}
	}
	return errors.Join(append(errs, r.abortCause())...)
}

// progress tells what the run is at.
func (r *Run) logProgress(format string, args ...any) {
	fmt.Fprintf(r.log, "%7.1fs  %s\n", time.Since(r.startTime).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends the run as soon as what is begun has come to its end; the processes end at once.
func (r *Run) abort(cause error) {
	r.mu.Lock()
	r.abortErr = cause
	r.mu.Unlock()
	r.logProgress("ending: %v", cause)
	r.processes.endAll()
}

// failure is why the run has to end; nil: it goes on.
func (r *Run) abortCause() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.abortErr
}

// commit is the commit of the tree that the run was started in, if that is one.
func describeCommit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
