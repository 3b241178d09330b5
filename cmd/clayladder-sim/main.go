// Command clayladder-sim connects the routing module to the simulator. It reads batches of events from
// standard input, passes them to the balancer instances that they name, and writes their actions to
// standard output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"garnettide"
	"garnettide/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "clayladder-sim:", err)
		os.Exit(1)
	}
}

// run reads batches from in and writes a reply to each to out, until the end of the input.
func run(in io.Reader, out io.Writer) error {
	reader, writer := wire.NewReader(in), wire.NewWriter(out)
	instances := map[int]*garnettide.Balancer{}
	var batch wire.Batch
	for {
		err := reader.Next(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		for i := range batch.Events {
			deliver(instances, writer, batch.At, &batch.Events[i])
		}
		if err := writer.EndReply(batch.Serial); err != nil {
			return fmt.Errorf("writing the reply: %w", err)
		}
	}
}

// deliver passes an event to its instance. It ignores events for unknown instances. If the instance panics,
// deliver removes it and writes a crash action with the panic's text.
func deliver(instances map[int]*garnettide.Balancer, w *wire.Writer, now time.Duration, event *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			wire.NewInstanceWriter(w, event.Instance).Crash(fmt.Sprint(p))
			delete(instances, event.Instance)
		}
	}()
	if event.Kind == wire.EventAttach {
		host := wire.NewInstanceWriter(w, event.Instance)
		b, err := garnettide.New(event.Settings, event.Seed, now, host)
		if err != nil {
			host.Crash(err.Error())
			return
		}
		instances[event.Instance] = b
		return
	}
	b := instances[event.Instance]
	if b == nil {
		return
	}
	switch event.Kind {
	case wire.EventExit:
		delete(instances, event.Instance)
	case wire.EventMembers:
		b.Members(now, event.Mode, event.List)
	case wire.EventRequest:
		b.Request(now, event.Request)
	case wire.EventResponseStarted:
		b.ResponseStarted(now, event.Outcome, false)
	case wire.EventOutcome:
		b.Outcome(now, event.Outcome)
	case wire.EventClientGone:
		b.ClientGone(now, event.Request.ID)
	case wire.EventTimer:
		b.Timer(now, event.Token)
	case wire.EventProbed:
		b.Probed(now, event.Probe)
	}
}
