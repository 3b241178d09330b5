package scale

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
)

// This file runs tests of real balancers by seed, some at the same time.

// seedTest runs one seed against the balancer's program, with files in dir. It returns a line that describes the run.
type seedTest func(program string, seed uint64, dir string) (line string, err error)

// runSeeds runs the given number of seeds from first on, up to parallel of them at a time. It writes the line of each to
// out, with the error of those that fail, and returns how many have failed. If program is empty, it is built.
func runSeeds(program string, first uint64, seeds, parallel int, out io.Writer, test seedTest) (failed int, err error) {
	dir, err := os.MkdirTemp("", "seeds")
	if err != nil {
		return 0, fmt.Errorf("creating the directory of the test: %w", err)
	}
	defer os.RemoveAll(dir)
	if program == "" {
		if program, err = BuildBalancer(dir); err != nil {
			return 0, err
		}
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for seed := first; seed < first+uint64(seeds); seed++ {
		slots <- struct{}{}
		running.Go(func() {
			defer func() { <-slots }()
			line, err := runSeedInDir(program, seed, filepath.Join(dir, fmt.Sprint(seed)), test)
			mu.Lock()
			defer mu.Unlock()
			fmt.Fprintln(out, line)
			if err != nil {
				failed++
				fmt.Fprintln(out, err)
			}
		})
	}
	running.Wait()
	return failed, nil
}

// runSeedInDir runs a seed in a directory that it creates.
func runSeedInDir(program string, seed uint64, dir string, test seedTest) (line string, err error) {
	if err := os.Mkdir(dir, 0o700); err != nil {
		return "", fmt.Errorf("creating the directory of a seed: %w", err)
	}
	return test(program, seed, dir)
}
