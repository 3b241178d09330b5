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

// configFormat is a configuration. It takes the listen address and the address of discovery.
const configFormat = `{"name":"n0","listen":"%s","discovery":"%s","seed":"8c1f30d27a5be964",
"limits":{"cores":1,"memory_mb":192,"sockets":1024},"known":{"revision":1,"complete":true,"members":[]},
"settings":{"az":"z1","balancers":1,"membership_mode":"on_request","weights":"nominal","worth_by":"work",
"limits":{"max_attempts":3,"cancel":true,"connect_timeout_us":100000,"keepalive_us":60000000},
"obligations":{"ask_within_us":10000000,"cold_from":0.3,"ramp_time_us":9000000,"tip_after_us":1500000,"tip_multiple":3},
"profiles":[{"name":"c","target_us":250000,"give_up_us":750000,"repeat":"non_idempotent","worth":1}],
"reporting":{"via":"piggyback"}}}`

// command returns the command that starts the load balancer: the one in the environment variable RUN, in
// the repository's root, or else a program built by this function.
func command(t *testing.T) *exec.Cmd {
	t.Helper()
	if run := os.Getenv("RUN"); run != "" {
		cmd := exec.Command("/bin/sh", "-c", run)
		cmd.Dir = filepath.Join("..", "..")
		return cmd
	}
	path := filepath.Join(t.TempDir(), "olivearch")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		t.Fatalf("building olivearch: %v\n%s", err, out)
	}
	return exec.Command(path)
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// TestSmoke starts the program, waits until it is healthy, reloads an invalid and a valid configuration by
// SIGHUP, and stops it by SIGTERM. RELAY_DISCOVERY and the first configuration name an unreachable
// discovery; after the reload, the program must call the discovery of the valid configuration.
func TestSmoke(t *testing.T) {
	listen := freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig := func(text string) {
		t.Helper()
		if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
	}
	unreachable := freeAddress(t)
	writeConfig(fmt.Sprintf(configFormat, listen, unreachable))
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
			t.Fatalf("exited before it was healthy: %v\n%s", err, &log)
		case <-timeout:
			cmd.Process.Kill()
			t.Fatalf("not healthy within 30 s: %v", <-exited)
		case <-time.After(10 * time.Millisecond):
		}
	}
	waitFor := func(description string, event <-chan struct{}) {
		t.Helper()
		select {
		case <-event:
		case err := <-exited:
			t.Fatalf("exited before %s: %v\n%s", description, err, &log)
		case <-timeout:
			cmd.Process.Kill()
			t.Fatalf("timed out waiting for %s: %v", description, <-exited)
		}
	}
	sendSignal := func(s syscall.Signal) {
		t.Helper()
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	writeConfig("{")
	sendSignal(syscall.SIGHUP)
	waitFor("the log line about the invalid configuration", rejected)
	writeConfig(fmt.Sprintf(configFormat, listen, discovery.Listener.Addr()))
	sendSignal(syscall.SIGHUP)
	discoveryCalled := make(chan struct{})
	go func() { <-discoveryCalls; close(discoveryCalled) }()
	waitFor("a call of the new discovery", discoveryCalled)
	waitFor("the log line about the configuration in force", applied)
	sendSignal(syscall.SIGTERM)
	select {
	case err := <-exited:
		if err != nil {
			t.Errorf("exit after SIGTERM: %v\n%s", err, &log)
		}
	case <-timeout:
		cmd.Process.Kill()
		t.Fatalf("still running 30 s after the start: %v", <-exited)
	}
}

func TestMissingConfigIsReported(t *testing.T) {
	cmd := command(t)
	cmd.Env = append(os.Environ(), "RELAY_CONFIG=")
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState.ExitCode() != 1 || !strings.Contains(string(out), "RELAY_CONFIG") {
		t.Errorf("error %v, output: %s", err, out)
	}
}

// TestInheritedDescriptorMustListen checks that the program exits if RELAY_INHERITED_FD is not a listening
// socket. Otherwise a process that cannot accept connections would seem to be serving.
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
		t.Errorf("error %v, output: %s", err, out)
	}
}

// TestDeployedProgramIsDynamicallyLinked checks that the deployed program is dynamically linked and
// replaces the shell that starts it. Tools that preload a shared library into the process depend on both.
func TestDeployedProgramIsDynamicallyLinked(t *testing.T) {
	root := filepath.Join("..", "..")
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		t.Fatal(err)
	}
	value := func(name string) string {
		found := regexp.MustCompile(`(?m)^` + name + ` = "(.*)"$`).FindSubmatch(text)
		if found == nil {
			t.Fatalf("deploy/balancer.toml has no key %s", name)
		}
		return string(found[1])
	}
	build := exec.Command("/bin/sh", "-c", value("build"))
	build.Dir = root
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("running the deployed build command: %v\n%s", err, out)
	}
	path, ok := strings.CutPrefix(value("run"), "exec ")
	if !ok || strings.ContainsAny(path, " ;&|") {
		t.Fatalf("run does not exec a single program: %s", value("run"))
	}
	path = filepath.Join(root, path)
	binary, err := elf.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer binary.Close()
	hasInterpreter := false
	for _, p := range binary.Progs {
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
		t.Errorf("ELF interpreter: %v, CGO_ENABLED=%s, -ldflags %s; want a dynamically linked program",
			hasInterpreter, settings["CGO_ENABLED"], settings["-ldflags"])
	}
}
