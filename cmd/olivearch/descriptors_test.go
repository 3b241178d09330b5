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

// fullOf has a program start with so many descriptors.
func withDescriptorLimit(cmd *exec.Cmd, descriptors int) *exec.Cmd {
	limited := exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$@"`, descriptors), "sh"}, cmd.Args...)...)
	limited.Dir = cmd.Dir
	return limited
}

// Idle clients fill the descriptors while discovery is down, and come again as soon as they are closed: when discovery is
// back it is reached, its list is taken, and a request is served by what that names.
func TestIdleClientsLeaveDescriptorsForDiscovery(t *testing.T) {
	const descriptors = 96
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.WriteString(w, "done") }))
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
				t.Errorf("after SIGTERM: %v\n%s", err, log)
			}
		case <-time.After(30 * time.Second):
			cmd.Process.Kill()
			t.Errorf("not ended in time: %v", <-exited)
		}
	}()
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
				t.Fatalf("never: %s", description)
			}
		}
	}
	healthRequest := "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n"
	waitUntil("healthy", func() bool { return statusOf(healthRequest) == http.StatusOK })

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
				over := context.AfterFunc(clientsCtx, func() { c.Close() })
				if i%2 == 0 { // the others say nothing
					io.WriteString(c, healthRequest)
				}
				if first {
					connected <- struct{}{}
				}
				io.Copy(io.Discard, c) // until the balancer or the test closes it
				over()
				c.Close()
			}
		})
	}
	for range 2 * descriptors {
		<-connected
	}
	l, err := net.Listen("tcp", discovery)
	if err != nil {
		t.Fatal(err)
	}
	called, over := make(chan struct{}, 1000), make(chan struct{})
	d := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		called <- struct{}{}
		if r.FormValue("since") == "2" {
			<-over
		}
		fmt.Fprintf(w, `{"revision":2,"complete":true,"members":[{"id":"s-00000001","host_port":"%s","phase":"up","size":1}]}`,
			upstream.Listener.Addr())
	}))
	d.Listener.Close()
	d.Listener = l
	d.Start()
	defer d.Close()
	defer close(over)
	for range 2 { // the second call says that the list has been taken
		select {
		case <-called:
		case <-ctx.Done():
			t.Fatal("discovery is not reached")
		}
	}
	n := 0
	waitUntil("a request is served", func() bool {
		n++
		return statusOf(fmt.Sprintf("POST /c HTTP/1.1\r\nHost: x\r\nX-Request-Id: %d\r\nX-Class: c\r\nContent-Length: 0\r\n\r\n", n)) == http.StatusOK
	})
}
