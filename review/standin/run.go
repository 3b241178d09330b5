package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// run is the state of one play of a case.
type run struct {
	root    string // of the project
	tmp     string // temporary folder of this play
	trouble bool
	start   time.Time

	mu        sync.Mutex
	record    *os.File
	balancers []*balancer
}

// play plays a case and returns the exit status.
func play(name, root, recordPath string) int {
	record, err := os.Create(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	tmp, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(tmp)
	r := &run{root: root, tmp: tmp, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	r.log("case %s, with the disruption: %v", name, r.trouble)
	done := make(chan error, 1)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() { <-stop; done <- errors.New("interrupted") }()
	go func() {
		time.Sleep(115 * time.Second)
		done <- errors.New("the play took too long")
	}()
	go func() { done <- cases[name](r) }()
	err = <-done
	r.mu.Lock()
	balancers := r.balancers
	r.mu.Unlock()
	for _, b := range balancers {
		b.kill()
		r.logBalancer(b)
	}
	switch {
	case errors.Is(err, errBroken):
		r.log("result: BROKEN: %v", err)
		fmt.Println("BROKEN:", err)
		return 1
	case err != nil:
		r.log("result: could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	r.log("result: held")
	fmt.Println("held")
	return 0
}

// log writes a line to the record, with the time since the start of the play.
func (r *run) log(format string, args ...any) {
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record.WriteString(line)
}

// freeAddress returns a loopback address with a free port.
func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// balancer is one process of the balancer's program.
type balancer struct {
	name, listen string
	cmd          *exec.Cmd
	logPath      string
	exited       chan struct{}
	exitErr      error
}

// runCommand returns the command of the deploy file that starts one balancer.
func (r *run) runCommand() (string, error) {
	text, err := os.ReadFile(filepath.Join(r.root, "deploy/balancer.toml"))
	if err != nil {
		return "", err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if m == nil {
		return "", errors.New("the deploy file names no command `run`")
	}
	return string(m[1]), nil
}

// startBalancer starts a balancer with a configuration file and waits until its health check succeeds.
func (r *run) startBalancer(name, listen, discovery, config string) (*balancer, error) {
	command, err := r.runCommand()
	if err != nil {
		return nil, err
	}
	b := &balancer{name: name, listen: listen, exited: make(chan struct{})}
	tmp, err := os.MkdirTemp(r.tmp, "balancer")
	if err != nil {
		return nil, err
	}
	b.logPath = filepath.Join(tmp, "..", filepath.Base(tmp)+".log")
	logFile, err := os.Create(b.logPath)
	if err != nil {
		return nil, err
	}
	defer logFile.Close()
	b.cmd = exec.Command("/bin/sh", "-c", command)
	b.cmd.Dir, b.cmd.Stdout, b.cmd.Stderr = r.root, logFile, logFile
	b.cmd.Env = append(os.Environ(), "RELAY_CONFIG="+config, "RELAY_LISTEN="+listen, "RELAY_DISCOVERY="+discovery,
		"RELAY_NAME="+name, "TMPDIR="+tmp)
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { b.exitErr = b.cmd.Wait(); close(b.exited) }()
	r.mu.Lock()
	r.balancers = append(r.balancers, b)
	r.mu.Unlock()
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for begin := time.Now(); time.Since(begin) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		if resp, err := client.Get("http://" + listen + "/healthz"); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				r.log("balancer %s is healthy", name)
				return b, nil
			}
		}
		select {
		case <-b.exited:
			return nil, fmt.Errorf("balancer %s ended at its start: %v", name, b.exitErr)
		default:
		}
	}
	return nil, fmt.Errorf("balancer %s is not healthy after 20 s", name)
}

// kill ends the process if it still runs.
func (b *balancer) kill() {
	b.cmd.Process.Kill()
	<-b.exited
}

// logBalancer copies the end of a balancer's log to the record.
func (r *run) logBalancer(b *balancer) {
	text, err := os.ReadFile(b.logPath)
	if err != nil {
		return
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	lines = lines[max(0, len(lines)-20):]
	for _, line := range lines {
		r.log("log of %s: %s", b.name, strings.ReplaceAll(line, r.tmp, "TMP"))
	}
}
