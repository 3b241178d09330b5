// Command standin2 plays the cases 6 to 10 of the second review: it starts balancers as the deploy file says, takes
// the place of clients, upstreams, discovery and the platform on loopback addresses, and checks one rule in each case.
//
// It is called as "standin2 CASE FOLDER" from the root of the repository and writes FOLDER/record.txt. It exits with
// 0 if the rule held, 1 if it was broken and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// caseTimeout ends a case that hangs; a case may take 120 s at most.
	caseTimeout = 110 * time.Second
)

// cases holds the cases by their number; the file of each case adds it. A case returns the breaks of its rule.
var cases = map[string]func(*stage) ([]string, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

// runCase runs a case and returns the exit status.
func runCase(run func(*stage) ([]string, error), folder string) int {
	s, err := newStage(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("NOT RUN:", err)
		return exitNotRun
	}
	defer s.close()
	type result struct {
		breaks []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		breaks, err := run(s)
		done <- result{breaks, err}
	}()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, os.Interrupt)
	// Without this a closed standard output would end the program before its balancers.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGPIPE)
	var r result
	select {
	case r = <-done:
	case <-time.After(caseTimeout):
		r.err = fmt.Errorf("not done within %v", caseTimeout)
	case sig := <-stopped:
		r.err = fmt.Errorf("ended by %v", sig)
	}
	if r.err != nil {
		s.say("NOT RUN: %v", r.err)
		return exitNotRun
	}
	for _, b := range r.breaks {
		s.say("BROKEN: %s", b)
	}
	if len(r.breaks) > 0 {
		return exitBroken
	}
	s.say("HELD")
	return exitHeld
}
