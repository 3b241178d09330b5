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
	Slopes  []string // names, or "all"
	Scenes  []string
	Within  bool          // the slopes of one process, by calls
	Size    Size          // zero figures: the base's
	For     time.Duration // a phase of a slope, or a scene's play
	Every   time.Duration // from one change of the settings to the next, in the first scene
	Cut     time.Duration // how long discovery is cut off in the last scene
	Program string        // the real balancers'; empty: built
	Before  string        // a program that every second real balancer runs in its place, from an older commit; empty: none
	Log     io.Writer     // progress
}

const forMost = 10 * time.Minute

// Run is a run and what it has measured.
type Run struct {
	Command   string   `json:"command"`
	Commit    string   `json:"commit"`
	Go        string   `json:"go"`
	Cores     int      `json:"cores"`
	Began     string   `json:"began"`
	Seconds   float64  `json:"seconds"`
	MemoryMB  int64    `json:"peak_memory_mb"` // of all processes, pages that they share counted for each
	Base      Size     `json:"base"`
	Slopes    []Varied `json:"slopes"`
	Scenes    []Scene  `json:"scenes"`
	Left      []string `json:"left"` // what was to be run and was not, and why
	InProcess []Slope  `json:"in_process,omitempty"`

	options    Options
	base       Size
	kids       *processGroup
	programs   []string
	names      []string // of these
	processors int
	log        io.Writer
	began      time.Time

	mu   sync.Mutex
	over error // why the run has to end
}

// Names are the slopes and scenes that there are.
func Names() (slopes, played []string) {
	for _, v := range variations {
		slopes = append(slopes, v.name)
	}
	for _, s := range scenes {
		played = append(played, s.name)
	}
	return slopes, played
}

// wanted tells which of names are asked for.
func wanted(asked, names []string) ([]string, error) {
	if slices.Contains(asked, "all") {
		return names, nil
	}
	for _, a := range asked {
		if !slices.Contains(names, a) {
			return nil, fmt.Errorf("%q is none of %s", a, strings.Join(names, ", "))
		}
	}
	return asked, nil
}

// Start runs what o asks for and returns what was measured, also where an error cut it short.
func Start(o Options) (*Run, error) {
	slopes, played := Names()
	var err error
	if o.Slopes, err = wanted(o.Slopes, slopes); err != nil {
		return nil, fmt.Errorf("slope: %w", err)
	}
	if o.Scenes, err = wanted(o.Scenes, played); err != nil {
		return nil, fmt.Errorf("scene: %w", err)
	}
	if o.For <= 0 || o.For > forMost || o.Cut > forMost || o.Every < time.Second && slices.Contains(o.Scenes, "settings") {
		return nil, fmt.Errorf("a time is over zero and at most %v, and between two changes of the settings is a second", forMost)
	}
	dir, err := os.MkdirTemp("", "scale-")
	if err != nil {
		return nil, fmt.Errorf("the run's files: %w", err)
	}
	defer os.RemoveAll(dir)
	r := &Run{Command: strings.Join(os.Args[1:], " "), Commit: commit(), Go: runtime.Version(), Cores: runtime.NumCPU(),
		Began: time.Now().UTC().Format(time.RFC3339), options: o, base: o.Size.over(baseSize), kids: &processGroup{dir: dir},
		processors: runtime.GOMAXPROCS(0), log: o.Log, began: time.Now()}
	r.Base = r.base
	defer r.kids.stopAll()
	stop := make(chan struct{})
	defer close(stop)
	go r.kids.watchMemory(stop, r.giveUp)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	defer signal.Stop(signals)
	go func() {
		select {
		case s := <-signals:
			r.giveUp(fmt.Errorf("a signal: %v", s))
		case <-stop:
		}
	}()
	err = r.all()
	r.Seconds = time.Since(r.began).Seconds()
	r.kids.memoryBytes()
	r.MemoryMB = r.kids.peakMemoryBytes >> 20
	return r, err
}

// over takes what s says in place of base's.
func (s Size) over(base Size) Size {
	for _, x := range []struct{ to, from *int }{{&base.Balancers, &s.Balancers}, {&base.Upstreams, &s.Upstreams}, {&base.Zones, &s.Zones},
		{&base.Classes, &s.Classes}, {&base.Tenants, &s.Tenants}, {&base.Hollow, &s.Hollow}, {&base.Machines, &s.Machines}, {&base.Real, &s.Real}} {
		if *x.from > 0 {
			*x.to = *x.from
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

// BuildBalancer builds the balancer's program into dir and returns its path.
func BuildBalancer(dir string) (string, error) {
	program := filepath.Join(dir, "olivearch")
	if out, err := exec.Command("go", "build", "-o", program, "garnettide/cmd/olivearch").CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the balancer: %w: %s", err, out)
	}
	return program, nil
}

func (r *Run) all() error {
	program := r.options.Program
	if program == "" && len(r.options.Scenes) > 0 {
		r.progress("building the balancer")
		var err error
		if program, err = BuildBalancer(r.kids.dir); err != nil {
			return err
		}
	}
	r.programs, r.names = []string{program}, []string{"this program"}
	if r.options.Before != "" {
		r.programs, r.names = append(r.programs, r.options.Before), append(r.names, "the program before")
	}
	if r.options.Within {
		r.InProcess = InProcessSlopes(inProcessRuns, func(name string) { r.progress("%s", name) })
	}
	var failed []error
	for _, v := range variations {
		if !slices.Contains(r.options.Slopes, v.name) {
			continue
		}
		if err := r.failure(); err != nil {
			r.Left = append(r.Left, fmt.Sprintf("slope %s: %v", v.name, err))
			continue
		}
		x, err := r.vary(v, r.options.For)
		if r.Slopes = append(r.Slopes, x); err != nil {
			failed = append(failed, err)
			r.progress("%v", err)
		}
	}
	for _, s := range scenes {
		if !slices.Contains(r.options.Scenes, s.name) {
			continue
		}
		if err := r.failure(); err != nil {
			r.Left = append(r.Left, fmt.Sprintf("scene %s: %v", s.name, err))
			continue
		}
		x, err := r.playScene(s)
		if r.Scenes = append(r.Scenes, x); err != nil {
			failed = append(failed, fmt.Errorf("scene %s: %w", s.name, err))
			r.progress("%v", err)
		}
	}
	return errors.Join(append(failed, r.failure())...)
}

// progress tells what the run is at.
func (r *Run) progress(format string, args ...any) {
	fmt.Fprintf(r.log, "%7.1fs  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// giveUp ends the run as soon as what is begun has come to its end; the processes end at once.
func (r *Run) giveUp(why error) {
	r.mu.Lock()
	r.over = why
	r.mu.Unlock()
	r.progress("ending: %v", why)
	r.kids.stopAll()
}

// failure is why the run has to end; nil: it goes on.
func (r *Run) failure() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.over
}

// commit is the commit of the tree that the run was started in, if that is one.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
