package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// withDescriptorLimit returns a command that runs cmd with a limit on open file descriptors.
func withDescriptorLimit(cmd *exec.Cmd, descriptors int) *exec.Cmd {
	limited := exec.Command("/bin/sh",
		append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh"}, cmd.Args...)...)
	limited.Dir = cmd.Dir
	return limited
}

// TestIdleClientsLeaveDescriptorsForDiscovery checks that clients that hold and reopen idle connections do
// not use up the file descriptors: once discovery is up, the program calls it, applies its list, and sends
// a request to the upstream in the list.
func TestIdleClientsLeaveDescriptorsForDiscovery(t *testing.T) {
	const descriptors = 96
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, "done")
	}))
	defer upstream.Close()
	listen, discovery := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "config.json")
	text := fmt.Sprintf(configFormat, listen, discovery)
	text = strings.Replace(text, `"sockets":1024`, fmt.Sprintf(`"sockets":%d`, descriptors), 1)
	text = strings.Replace(text, `"ask_within_us":10000000`, `"ask_within_us":1000000`, 1)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, log := withDescriptorLimit(command(t), descriptors), &bytes.Buffer{}
	cmd.Env = append(os.Environ(), "RELAY_CONFIG="+path)
	cmd.Stderr = log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	defer func() {
		cmd.Process.Signal(syscall.SIGTERM)
		select {
		case err := <-exited:
			if err != nil {
				t.Errorf("exit after SIGTERM: %v\n%s", err, log)
			}
		case <-time.After(30 * time.Second):
			cmd.Process.Kill()
			t.Errorf("still running 30 s after SIGTERM: %v", <-exited)
		}
	}()
	// statusOf returns the status of the response to a raw request, or 0 if there is none.
	statusOf := func(request string) int {
		c, err := net.DialTimeout("tcp", listen, time.Second)
		if err != nil {
			return 0
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(2 * time.Second))
		io.WriteString(c, request)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return 0
		}
		resp.Body.Close()
		return resp.StatusCode
	}
	waitUntil := func(description string, condition func() bool) {
		t.Helper()
		for !condition() {
			if ctx.Err() != nil {
				t.Fatalf("timed out waiting for %s", description)
			}
		}
	}
	healthRequest := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	waitUntil("a successful health check", func() bool { return statusOf(healthRequest) == http.StatusOK })

	clientsCtx, stopClients := context.WithCancel(ctx)
	var clients sync.WaitGroup
	defer clients.Wait()
	defer stopClients()
	connected := make(chan struct{}, 4*descriptors)
	for i := range 2 * descriptors {
		clients.Go(func() {
			for first := true; clientsCtx.Err() == nil; first = false {
				c, err := (&net.Dialer{}).DialContext(clientsCtx, "tcp", listen)
				if err != nil {
					continue
				}
				release := context.AfterFunc(clientsCtx, func() { c.Close() })
				if i%2 == 0 { // the other half send nothing
					io.WriteString(c, healthRequest)
				}
				if first {
					connected <- struct{}{}
				}
				io.Copy(io.Discard, c) // until the program or the test closes the connection
				release()
				c.Close()
			}
		})
	}
	for range 2 * descriptors {
		<-connected
	}
	listener, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	discoveryCalls, release := make(chan struct{}, 1000), make(chan struct{})
	discoveryServer := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		discoveryCalls <- struct{}{}
		if r.FormValue("since") == "2" {
			<-release
		}
		fmt.Fprintf(w,
			`{"revision":2,"complete":true,"members":[{"id":"s-00000001","host_port":"%s","phase":"up","size":1}]}`,
			upstream.Listener.Addr())
	}))
	discoveryServer.Listener.Close()
	discoveryServer.Listener = listener
	discoveryServer.Start()
	defer discoveryServer.Close()
	defer close(release)
	for range 2 { // the second call shows that the list has been applied
		select {
		case <-discoveryCalls:
		case <-ctx.Done():
			t.Fatal("timed out waiting for a call of discovery")
		}
	}
	requestID := 0
	waitUntil("a successful request", func() bool {
		requestID++
		return statusOf(fmt.Sprintf(
			"POST /c HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\nX-Class: c\r\nContent-Length: 0\r\n\r\n", requestID)) ==
			http.StatusOK
	})
}
