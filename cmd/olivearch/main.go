// Command olivearch is a load balancer for a fleet of HTTP servers. It is configured by a file, which
// RELAY_CONFIG names, and by the other RELAY_ environment variables. It reloads its configuration on
// SIGHUP, and shuts down gracefully on SIGTERM or SIGINT.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"garnettide/internal/proxy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "olivearch:", err)
		os.Exit(1)
	}
}

// run starts the load balancer and returns after a graceful shutdown or with an error.
func run() error {
	// Signal handlers are installed first, so that a signal during the start does not kill the process.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	config, err := proxy.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	// The load balancer runs on one core. A higher GC target saves CPU time; a soft limit bounds the heap growth that it
	// allows.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(config.Capacity(1).CollectorTarget(0))
	config.OnCollectorTarget = func(bytes int64) { debug.SetMemoryLimit(bytes) }
	name := config.Name // copied, so that config and its plan can be freed
	slog.Info("starting", "name", name, "listen", config.Listen, "known", len(config.CachedList.Members),
		"configuration", config.Hash)
	listener, err := proxy.Listen(&config)
	if err != nil {
		return err
	}
	reloads := make(chan proxy.Reload)
	// Reloads continue after SIGTERM, while accepted requests are being answered.
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go proxy.NewReloader(os.Getenv, config).Follow(followCtx, hangups, reloads)
	if err := proxy.Run(ctx, config, listener, reloads); err != nil {
		return err
	}
	slog.Info("stopped", "name", name)
	return nil
}
