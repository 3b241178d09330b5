package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"
)

// stage holds what a case has started, and its record.
type stage struct {
	trouble bool
	dir     string // temporary folder
	began   time.Time
	run     string // command of the deploy file that starts a balancer

	mu        sync.Mutex
	file      *os.File
	record    *bufio.Writer // of file
	balancers []*balancer
}

// newStage opens the record in a folder and makes a temporary folder.
func newStage(folder string, trouble bool) (*stage, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, fmt.Errorf("the case starts at the root of the repository: %w", err)
	}
	command := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if command == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &stage{trouble: trouble, dir: dir, began: time.Now(), run: string(command[1]), file: file,
		record: bufio.NewWriterSize(file, 1<<20)}, nil
}

// close ends the balancers and removes the temporary folder.
func (s *stage) close() {
	s.mu.Lock()
	all := s.balancers
	s.mu.Unlock()
	for _, b := range all {
		b.kill()
	}
	os.RemoveAll(s.dir)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(s.record.Flush(), s.file.Close()); err != nil {
		fmt.Println("record.txt is not whole:", err)
	}
}

// note writes a line to the record, with the time since the start.
func (s *stage) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%8.3f %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (s *stage) say(format string, args ...any) {
	s.note(format, args...)
	fmt.Println(fmt.Sprintf(format, args...))
}

// class is one class of the settings.
type class struct {
	Name     string  `json:"name"`
	Target   int64   `json:"target_us"`
	GiveUp   int64   `json:"give_up_us"`
	Worth    float64 `json:"worth"`
	Late     float64 `json:"late_worth"`
	Repeat   string  `json:"repeat"`
	Group    string  `json:"group"`
	Span     int64   `json:"memory_span_us"`
	Streamed bool    `json:"stream"`
}

// lessonClasses are the two classes of ub-lessons, with the figures of the WIRE page.
var lessonClasses = []class{
	{"view-timetable", 1200000, 5000000, 5, 0.2, "read_like", "all", 5000000, false},
	{"book-lesson", 800000, 2000000, 15, 0.2, "idempotency_key", "all", 1200000, false},
}

// setup is the configuration of one balancer. Figures that are not here are those of the WIRE page's settings.
type setup struct {
	name      string
	discovery string
	operator  string // empty: none
	balancers int
	memoryMB  int
	sockets   int
	classes   []class
	known     listing
	listen    string
}

// write writes the configuration file and returns its path.
func (c setup) write(s *stage) (string, error) {
	object := map[string]any{
		"name": c.name, "listen": c.listen, "discovery": c.discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": c.memoryMB, "sockets": c.sockets},
		"known":  c.known,
		"settings": map[string]any{
			"az": "ub-west", "balancers": c.balancers, "rank": 0, "clients": map[string]any{"marks_retry": false},
			"family": "proxy", "granularity_us": 5000, "kinds": []string{"fast", "standard", "old"},
			"limits": map[string]any{"cancel": true, "connect_timeout_us": 250000, "cpu_us_per_s": 15000,
				"keepalive_us": 30000000, "max_attempts": 3, "max_open": 20000, "max_retry_after_us": 2000000,
				"peers": false, "probes": false, "retry_after": true, "second_copies": true, "streams_per_conn": 1},
			"membership_mode": "on_request",
			"obligations": map[string]any{"answer_slack_us": 20000, "ask_within_us": 10000000, "cold_from": 0.3,
				"drain_grace_us": 2000000, "ramp_time_us": 9000000, "tip_after_us": 3000000, "tip_multiple": 3.0},
			"over_share_worth": 0.1, "profiles": c.classes,
			"reporting": map[string]any{"fields": []string{"load_share", "tps"}, "via": "piggyback"},
			"stage":     0,
			"tenants":   []map[string]any{{"name": "tsagaan", "quota_rps": 560.0, "share": 1.0}},
			"tiers":     []string{"lesson-web"}, "weights": "rough", "worth_by": "request",
			"zones": []string{"ub-east", "ub-west"},
		},
	}
	if c.operator != "" {
		object["operator"] = c.operator
	}
	text, err := json.Marshal(object)
	if err != nil {
		return "", err
	}
	path := filepath.Join(s.dir, c.name+".json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return "", err
	}
	return path, os.Rename(path+".new", path)
}

// balancer is a process of the balancer.
type balancer struct {
	setup
	stage  *stage
	cmd    *exec.Cmd
	exited chan struct{}
	err    error // valid once exited is closed
}

// start starts a balancer by the deploy file's command.
func (s *stage) start(c setup) (*balancer, error) {
	path, err := c.write(s)
	if err != nil {
		return nil, err
	}
	tmp, err := os.MkdirTemp(s.dir, "tmp")
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", s.run)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_NAME="+c.name, "RELAY_LISTEN="+c.listen,
		"RELAY_DISCOVERY="+c.discovery, "TMPDIR="+tmp)
	if c.operator != "" {
		cmd.Env = append(cmd.Env, "RELAY_OPERATOR="+c.operator)
	}
	log, err := os.OpenFile(filepath.Join(s.dir, c.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	b := &balancer{setup: c, stage: s, cmd: cmd, exited: make(chan struct{})}
	s.mu.Lock()
	s.balancers = append(s.balancers, b)
	s.mu.Unlock()
	s.note("balancer %s: process %d started", c.name, cmd.Process.Pid)
	go func() {
		b.err = cmd.Wait()
		s.note("balancer %s: process %d ended: %v", c.name, cmd.Process.Pid, b.err)
		close(b.exited)
	}()
	return b, nil
}

// kill ends the process and writes its log into the record.
func (b *balancer) kill() {
	b.cmd.Process.Kill()
	<-b.exited
	if log, err := os.ReadFile(filepath.Join(b.stage.dir, b.name+".log")); err == nil {
		b.stage.note("log of balancer %s:\n%s", b.name, log)
	}
}

// ended reports whether the process has ended.
func (b *balancer) ended() bool {
	select {
	case <-b.exited:
		return true
	default:
		return false
	}
}

// awaitHealthy waits until GET /healthz returns 200.
func (b *balancer) awaitHealthy() error {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); time.Since(start) < 30*time.Second; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + b.listen + "/healthz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				b.stage.note("balancer %s: healthy", b.name)
				return nil
			}
		}
		if b.ended() {
			return fmt.Errorf("balancer %s ended before it was healthy: %w", b.name, b.err)
		}
	}
	return fmt.Errorf("balancer %s was not healthy within 30 s", b.name)
}

// operate makes an operator's call and returns the status; 0 stands for no answer within 1 s.
func (b *balancer) operate(method, path string) int {
	r, err := http.NewRequest(method, "http://"+b.operator+path, nil)
	if err != nil {
		return 0
	}
	resp, err := (&http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	status := 0
	if err == nil {
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		status = resp.StatusCode
	}
	b.stage.note("balancer %s: %s %s: %d", b.name, method, path, status)
	return status
}

// play is a day with one balancer: its upstreams and discovery, all running.
type play struct {
	*stage
	upstreams []*upstream
	discovery *discovery
	balancer  *balancer
}

// open starts upstreams that answer each by a function of its own, discovery and a balancer, and waits until it is
// healthy. c needs neither addresses nor a list.
func (s *stage) open(c setup, upstreams int, answer func(index int) answerFunc) (*play, error) {
	p := &play{stage: s}
	var members []member
	for i := range upstreams {
		u, err := newUpstream(s, fmt.Sprintf("s-%08x", 0x1000+i), answer(i))
		if err != nil {
			return nil, err
		}
		p.upstreams = append(p.upstreams, u)
		members = append(members, u.member())
	}
	var err error
	if p.discovery, err = newDiscovery(s, members); err != nil {
		return nil, err
	}
	if c.listen, err = freeAddress(); err != nil {
		return nil, err
	}
	c.name, c.balancers = cmp.Or(c.name, "n1"), cmp.Or(c.balancers, 2)
	c.discovery, c.known = p.discovery.address, p.discovery.list()
	if p.balancer, err = s.start(c); err != nil {
		return nil, err
	}
	return p, p.balancer.awaitHealthy()
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
