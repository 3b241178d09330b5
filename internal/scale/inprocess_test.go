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

// Every measurement gives a figure, here at its smallest size and in short batches.
func TestInProcessMeasurements(t *testing.T) {
	defer func(was time.Duration) { minBatchTime = was }(minBatchTime)
	minBatchTime = time.Millisecond
	seen := map[string]bool{}
	for _, m := range inProcessMeasurements {
		if m.unit == "%" {
			continue // the quotas' own test has them
		}
		if seen[m.name+"/"+m.variable] {
			t.Errorf("%s over %s is there twice", m.name, m.variable)
		}
		seen[m.name+"/"+m.variable] = true
		if len(m.sizes) < 4 || m.sizes[len(m.sizes)-1] < 8*m.sizes[0] {
			t.Errorf("%s over %s: sizes %v are no four over a factor of eight", m.name, m.variable, m.sizes)
		}
		y, err := m.measure(m.sizes[0])
		if err != nil || math.IsNaN(y) || math.IsInf(y, 0) {
			t.Errorf("%s over %s: %v, %v", m.name, m.variable, y, err)
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
		t.Errorf("%+v", s)
	}
	m.sizes = []int{1, 2, 8}
	if s := m.slope(); len(s.X) != 3 || s.Fit.Form != Linear || s.Note != "" {
		t.Errorf("%+v", s)
	}
}

func TestSlopeLowestOfTwoRuns(t *testing.T) {
	x := []float64{1, 2, 4, 8}
	first, second := NewSlope("a", "ms", "n", x, []float64{10, 21, 40, 95}), NewSlope("a", "ms", "n", x, []float64{12, 20, 44, 80})
	first.Note = "held"
	if s := first.lowest(second); !slices.Equal(s.Y, []float64{10, 20, 40, 80}) || s.Fit != FitPoints(x, s.Y) || s.Note != "held" || first.Y[1] != 21 {
		t.Errorf("%+v", s)
	}
	none := Slope{Name: "a", Note: "not run: no room"}
	for _, s := range []Slope{first.lowest(none), none.lowest(first)} {
		if len(s.X)+len(s.Y) > 0 || s.Fit != (Fit{}) || s.Note != none.Note {
			t.Errorf("%+v", s)
		}
	}
}

// What is measured is what it is said to be: the configuration holds so many of each, and they arrive.
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
	if classes != 5 || tenants != 7 || len(c.Known.Members) != 11 {
		t.Errorf("%d classes, %d tenants, %d upstreams", classes, tenants, len(c.Known.Members))
	}
}

// allocated is how many bytes op allocates, the least of some runs.
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

// What the module does for a change, for a second and for its settings grows no more steeply than the list or the
// settings. It is judged by the bytes that it allocates, which no other process changes.
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
				b.Timer(now, h.tick)
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

// What a change of the settings costs the loop does not grow with what the settings hold.
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
		t.Errorf("%.0f bytes for 1,062 classes and 4,500 tenants, %.0f for eight times as many", bytes[0], bytes[1])
	}
}

// A request that is sent asks one thing of the Host, however long the list is.
func TestRequestIsSentOnceForAnyListLength(t *testing.T) {
	for _, n := range []int{500, 4000} {
		b, h, err := newListedBalancer(n, 2, 2)
		if err != nil {
			t.Fatal(err)
		}
		b.Request(time.Minute, garnettide.Request{ID: 1, Budget: time.Second, Class: className(0)})
		b.Outcome(time.Minute+time.Millisecond, garnettide.Outcome{ID: 1, Upstream: h.upstream, Latency: time.Millisecond})
		if h.sent != 1 || h.refused != 0 {
			t.Errorf("%d upstreams: sent %d times, refused %d times", n, h.sent, h.refused)
		}
	}
}

// The share taken for over a quota goes by the requests' own clock alone, so it is the same each time. One balancer
// lets nearly all pass; these are upper bounds, and what mends the quotas of a fleet lowers them.
func TestOverQuotaPercent(t *testing.T) {
	const duration = 5000 * time.Second
	for _, c := range []struct {
		balancers, usedBalancers int
		maxPercent               float64 // percent
	}{{1, 1, 10}, {3, 3, 20}, {30, 30, 50}, {Balancers, 8, 99.5}} {
		first, err := overQuotaPercent(c.balancers, c.usedBalancers, duration)
		if err != nil {
			t.Fatal(err)
		}
		second, _ := overQuotaPercent(c.balancers, c.usedBalancers, duration)
		if first > c.maxPercent || first != second {
			t.Errorf("%d of %d balancers: %.1f%%, then %.1f%%, at most %.1f%%", c.usedBalancers, c.balancers, first, second, c.maxPercent)
		}
	}
}
