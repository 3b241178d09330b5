package garnettide_test

import (
	"fmt"
	"time"

	"garnettide"
)

// proxy carries out the actions of a Balancer. The embedded Host stands for the methods that are not shown.
type proxy struct{ garnettide.Host }

func (proxy) Send(id garnettide.RequestID, up garnettide.UpstreamID, timeout, _ time.Duration) {
	fmt.Printf("request %d goes to upstream %d\n", id, up)
}

func (proxy) SetTimer(after time.Duration, token uint64) {} // a real Host calls b.Timer(now, token) after the delay

func Example() {
	settings := garnettide.Settings{
		Balancers: 1,
		Classes: []garnettide.Class{{Name: "lookup", LatencyTarget: 300 * time.Millisecond,
			Deadline: time.Second, Idempotency: garnettide.Idempotent, Worth: 1}},
		Limits: garnettide.Limits{MaxAttempts: 3, Cancel: true},
		Requirements: garnettide.Requirements{ColdCapacity: 0.3, WarmupTime: 9 * time.Second,
			OverloadFactor: 3, OverloadWindow: 2 * time.Second},
	}
	b, err := garnettide.New(settings, 1, 0, proxy{})
	if err != nil {
		panic(err)
	}
	b.Members(0, garnettide.ListFull, []garnettide.Upstream{{ID: 7, Weight: 1}})
	b.Request(time.Millisecond, garnettide.Request{ID: 1, Class: "lookup", Budget: time.Second})
	b.Outcome(21*time.Millisecond, garnettide.Outcome{ID: 1, Upstream: 7, Latency: 20 * time.Millisecond,
		Status: garnettide.OK, RequestDone: true})
	// Output: request 1 goes to upstream 7
}
