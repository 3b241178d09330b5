package scale

import (
	"fmt"
	"testing"
)

// TestSoakOfRestarts runs a fixed set of seeds of the soak test. Other seeds are run with cmd/scale, see README.
func TestSoakOfRestarts(t *testing.T) {
	program, err := BuildBalancer(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for seed := uint64(1); seed <= 8; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			result, err := RunSoak(program, seed, t.TempDir())
			if err != nil {
				t.Fatal(err)
			}
			if err := result.Err(); err != nil {
				t.Error(err)
			}
			t.Logf("%d requests, %d restarts, at most %d KiB, scheduling delays of up to %v", result.Requests, result.Restarts, result.PeakMemory>>10, result.MaxDelay)
		})
	}
}
