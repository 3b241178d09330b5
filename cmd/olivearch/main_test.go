package main

import (
	"bufio"
	"bytes"
	"debug/buildinfo"
	"debug/elf"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

const configFormat = `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"az":"z1","balancers":1,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":100000,"keepalive_us":60000000},
"obligations":{"ask_within_us":10000000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3},
"profiles":[{"name":"c","target_us":250000,"give_up_us":750000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}}`

// program returns the command to start: the deployed one if RUN names it, from the root, or else one built here.
func command(t *testing.T) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	path := filepath.Join(t.TempDir(), "olivearch")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	return exec.Command(path)
}

// free returns an address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestSmoke starts the program, waits until it is healthy, sends SIGHUP with a bad and with a good configuration, and
// ends it by SIGTERM. The first discovery is down, also in RELAY_DISCOVERY; the second must be asked.
func TestSmoke(t *testing.T) {
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	configure := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	unreachable := freeAddress(t)
	configure(fmt.Sprintf(configFormat, listen, unreachable))
	discoveryCalls := make(chan string, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		discoveryCalls <- r.URL.Path
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer discovery.Close()
	cmd := command(t)
	var log bytes.Buffer
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_DISCOVERY="+unreachable)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited, rejected, applied := make(chan error, 1), make(chan struct{}), make(chan struct{})
	go func() {
		var rejectedOnce, appliedOnce sync.Once
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			log.WriteString(lines.Text() + "\n")
			if strings.Contains(lines.Text(), "the old one stays") {
				rejectedOnce.Do(func() { close(rejected) })
			}
			if strings.Contains(lines.Text(), "configuration in force") && strings.Contains(lines.Text(), "hash=") {
				appliedOnce.Do(func() { close(applied) })
			}
		}
		exited <- cmd.Wait()
	}()
	timeout := time.After(30 * time.Second)
	for healthy := false; !healthy; {
		resp, err := http.Get("http://" + listen + "/healthz")
		if err == nil {
			resp.Body.Close()
			healthy = resp.StatusCode == http.StatusOK
		}
		select {
		case err := <-exited:
			t.Fatalf("ended early: %v\n%s", err, &log)
		case <-timeout:
			cmd.Process.Kill()
			t.Fatalf("not healthy in time: %v", <-exited)
		case <-time.After(10 * time.Millisecond):
		}
	}
	waitFor := func(description string, happened <-chan struct{}) {
		t.Helper()
		select {
		case <-happened:
		case err := <-exited:
			t.Fatalf("ended before %s: %v\n%s", description, err, &log)
		case <-timeout:
			cmd.Process.Kill()
			t.Fatalf("%s: not in time: %v", description, <-exited)
		}
	}
	signal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	configure("{")
	signal(syscall.SIGHUP)
	waitFor("a bad configuration is logged", rejected)
	configure(fmt.Sprintf(configFormat, listen, discovery.Listener.Addr()))
	signal(syscall.SIGHUP)
	discoveryCalled := make(chan struct{})
	go func() { <-discoveryCalls; close(discoveryCalled) }()
	waitFor("the new discovery is asked", discoveryCalled)
	waitFor("the log says which configuration is in force", applied)
	signal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("after SIGTERM: %v\n%s", err, &log)
		}
	case <-timeout:
		cmd.Process.Kill()
		t.Fatalf("not ended in time: %v", <-exited)
	}
}

func TestMissingConfigIsReported(t *testing.T) {
	cmd := command(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "RELAY_CONFIG") {
		t.Errorf("got %v, %s", err, out)
	}
}

// A descriptor that is no listening socket must end the start: the process would be taken for one that serves.
func TestInheritedDescriptorMustListen(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, fmt.Appendf(nil, configFormat, freeAddress(t), freeAddress(t)), 0o600); err != nil {
		t.Fatal(err)
	}
	file, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	cmd := command(t)
	cmd.ExtraFiles = []*os.File{file}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_INHERITED_FD=3")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "RELAY_INHERITED_FD") {
		t.Errorf("got %v, %s", err, out)
	}
}

// The fleet bench loads a library into the balancer: run has to end in one process of a dynamically linked program.
func TestDeployedProgramIsDynamicallyLinked(t *testing.T) {
	root := filepath.Join("..", "..")
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	key := func(name string) string {
		found := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
		if found == nil {
			t.Fatalf("deploy/balancer.toml names no %s", name)
		}
		return string(found[1])
	}
	build := exec.Command("/bin/sh", "-c", key("build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	path, ok := strings.CutPrefix(key("run"), "exec ")
	if !ok || strings.ContainsAny(path, " ;&|") {
		t.Fatalf("run does not end by exec in one program: %s", key("run"))
	}
	path = filepath.Join(root, path)
	program, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	hasInterpreter := false
	for _, p := range program.Progs {
		hasInterpreter = hasInterpreter || p.Type == elf.PT_INTERP
	}
	info, err := buildinfo.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	settings := map[string]string{}
	for _, s := range info.Settings {
		settings[s.Key] = s.Value
	}
	if !hasInterpreter || settings["CGO_ENABLED"] != "1" || !strings.Contains(settings["-ldflags"], "-linkmode=external") {
		t.Errorf("the build has an ELF interpreter: %v, CGO_ENABLED=%s, -ldflags %s", hasInterpreter, settings["CGO_ENABLED"],
			settings["-ldflags"])
	}
}
