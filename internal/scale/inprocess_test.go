package scale

import (
	"errors"
	"math"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"garnettide"
	"garnettide/internal/proxy"
)

// TestInProcessMeasurements runs each measurement at its smallest size with short batches.
func TestInProcessMeasurements(t *testing.T) {
	defer func(was time.Duration) { minBatchTime = was }(minBatchTime)
	minBatchTime = time.Millisecond
	seen := map[string]bool{}
	for _, m := range inProcessMeasurements {
		if m.unit == "%" {
			continue // covered by TestOverQuotaPercent
		}
		if seen[m.name+"/"+m.variable] {
			t.Errorf("%s over %s: listed twice", m.name, m.variable)
		}
		seen[m.name+"/"+m.variable] = true
		if len(m.sizes) < 4 || m.sizes[len(m.sizes)-1] < 8*m.sizes[0] {
			t.Errorf("%s over %s: got sizes %v, want at least four that span a factor of 8", m.name, m.variable, m.sizes)
		}
		y, err := m.measure(m.sizes[0])
		if err != nil || math.IsNaN(y) || math.IsInf(y, 0) {
			t.Errorf("%s over %s: got %v, error %v", m.name, m.variable, y, err)
		}
	}
}

func TestFailedMeasurementNotesReason(t *testing.T) {
	m := measurement{name: "x", sizes: []int{1, 2, 4, 8}, measure: func(n int) (float64, error) {
		if n == 4 {
			return 0, errors.New("no room")
		}
		return float64(n), nil
	}}
	if s := m.slope(); len(s.X) != 0 || s.Fit.Form != NoForm || !strings.Contains(s.Note, "not run: at 4: no room") {
		t.Errorf("got %+v, want no points and a note with the reason", s)
	}
	m.sizes = []int{1, 2, 8}
	if s := m.slope(); len(s.X) != 3 || s.Fit.Form != Linear || s.Note != "" {
		t.Errorf("got %+v, want three points with a linear fit", s)
	}
}

func TestSlopeLowestOfTwoRuns(t *testing.T) {
	x := []float64{1, 2, 4, 8}
	first, second := NewSlope("a", "ms", "n", x, []float64{10, 21, 40, 95}),
		NewSlope("a", "ms", "n", x, []float64{12, 20, 44, 80})
	first.Note = "held"
	if s := first.lowest(second); !slices.Equal(s.Y, []float64{10, 20, 40, 80}) || s.Fit != FitPoints(x, s.Y) ||
		s.Note != "held" || first.Y[1] != 21 {
		t.Errorf("got %+v, want the lower values of both runs", s)
	}
	none := Slope{Name: "a", Note: "not run: no room"}
	for _, s := range []Slope{first.lowest(none), none.lowest(first)} {
		if len(s.X)+len(s.Y) > 0 || s.Fit != (Fit{}) || s.Note != none.Note {
			t.Errorf("got %+v, want no points and the note of the run that failed", s)
		}
	}
}

// TestConfigFileHoldsRequestedCounts checks that the generated configuration holds the requested numbers of classes,
// tenants and upstreams.
func TestConfigFileHoldsRequestedCounts(t *testing.T) {
	getenv, remove, err := configFile(5, 7, 11)
	if err != nil {
		t.Fatal(err)
	}
	defer remove()
	c, err := proxy.LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	classes, tenants := c.Plan.Size()
	if classes != 5 || tenants != 7 || len(c.CachedList.Members) != 11 {
		t.Errorf("got %d classes, %d tenants, %d upstreams, want 5, 7, 11", classes, tenants, len(c.CachedList.Members))
	}
}

// allocatedBytes returns how many bytes op allocates, the lowest of several runs.
func allocatedBytes(op func()) float64 {
	op()
	lowest := math.Inf(1)
	for range 5 {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		op()
		runtime.ReadMemStats(&after)
		lowest = min(lowest, float64(after.TotalAlloc-before.TotalAlloc))
	}
	return lowest
}

// TestControlAllocationsGrowAtMostLinearly guards against superlinear cost of list changes, steps and settings. It
// compares allocated bytes, which do not depend on the load of the machine.
func TestControlAllocationsGrowAtMostLinearly(t *testing.T) {
	const small, times, margin = 200, 8, 1.5
	for _, c := range []struct {
		name  string
		newOp func(n int) func()
	}{
		{"change", func(n int) func() {
			b, _, err := newListedBalancer(n, 2, 2)
			if err != nil {
				t.Fatal(err)
			}
			entry, now := upstreamList(n)[:1], time.Duration(0)
			return func() {
				now += time.Millisecond
				entry[0].State = garnettide.Draining - entry[0].State
				b.Members(now, garnettide.ListDelta, entry)
			}
		}},
		{"step", func(n int) func() {
			b, h, err := newListedBalancer(n, 2, 2)
			if err != nil {
				t.Fatal(err)
			}
			now := time.Duration(0)
			return func() {
				now += time.Second
				b.Timer(now, h.tickToken)
			}
		}},
		{"New over classes", func(n int) func() {
			s := fleetSettings(n, 2)
			return func() {
				if _, err := garnettide.New(s, 1, 0, &recordingHost{}); err != nil {
					t.Fatal(err)
				}
			}
		}},
		{"New over tenants", func(n int) func() {
			s := fleetSettings(2, n)
			return func() {
				if _, err := garnettide.New(s, 1, 0, &recordingHost{}); err != nil {
					t.Fatal(err)
				}
			}
		}},
	} {
		base, grown := allocatedBytes(c.newOp(small)), allocatedBytes(c.newOp(small*times))
		if grown > times*margin*base {
			t.Errorf("%s: %.0f bytes at %d, %.0f at %d", c.name, base, small, grown, small*times)
		}
	}
}

// TestReconfigureCostIndependentOfSettingsSize guards against work on the event loop that grows with the settings.
func TestReconfigureCostIndependentOfSettingsSize(t *testing.T) {
	var bytes [2]float64
	for i, sixteenths := range []int{1, 8} {
		reconfigure, err := alternatePlans(sixteenths)
		if err != nil {
			t.Fatal(err)
		}
		bytes[i] = allocatedBytes(reconfigure)
	}
	if bytes[1] > bytes[0]+4096 {
		t.Errorf("got %.0f bytes for 1,062 classes and 4,500 tenants, %.0f for eight times as many", bytes[0], bytes[1])
	}
}

// TestRequestIsSentOnceForAnyListLength checks that a request leads to a single Send of the Host.
func TestRequestIsSentOnceForAnyListLength(t *testing.T) {
	for _, n := range []int{500, 4000} {
		b, h, err := newListedBalancer(n, 2, 2)
		if err != nil {
			t.Fatal(err)
		}
		b.Request(time.Minute, garnettide.Request{ID: 1, Budget: time.Second, Class: className(0)})
		b.Outcome(time.Minute+time.Millisecond, garnettide.Outcome{ID: 1, Upstream: h.upstream, Latency: time.Millisecond})
		if h.sent != 1 || h.refused != 0 {
			t.Errorf("%d upstreams: sent %d times, refused %d times, want 1 and 0", n, h.sent, h.refused)
		}
	}
}

// TestOverQuotaPercent checks that the percentage of requests wrongly treated as over quota is repeatable and
// stays below an upper bound for several fleets.
func TestOverQuotaPercent(t *testing.T) {
	const duration = 5000 * time.Second
	for _, c := range []struct {
		balancers, usedBalancers int
		maxPercent               float64
	}{{1, 1, 10}, {3, 3, 20}, {30, 30, 50}, {TargetBalancers, 8, 99.5}} {
		first, err := overQuotaPercent(c.balancers, c.usedBalancers, duration)
		if err != nil {
			t.Fatal(err)
		}
		second, _ := overQuotaPercent(c.balancers, c.usedBalancers, duration)
		if first > c.maxPercent || first != second {
			t.Errorf("%d of %d balancers: got %.1f%%, then %.1f%%, want equal values of at most %.1f%%", c.usedBalancers,
				c.balancers, first, second, c.maxPercent)
		}
	}
}
