package garnettide

import (
	"math"
	"testing"
	"time"
)

// This file tests the bands of utilisation and the shares that follow from them.

// Guards against a wrong mean, or the sample deviation in place of the population deviation.
func TestMeanAndDeviationOfReadings(t *testing.T) {
	mean, dev := meanAndDeviation([]float64{0.2, 0.4, 0.4, 0.4, 0.5, 0.5, 0.7, 0.9})
	if math.Abs(mean-0.5) > 1e-9 || math.Abs(dev-0.2) > 1e-9 { // squared differences sum to 0.32
		t.Errorf("got mean %v, deviation %v; want 0.5, 0.2", mean, dev)
	}
}

// Guards against a band area that depends on the number of readings instead of their duration.
func TestBandAreaIsIntegratedOverTimeNotReadings(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	u.utilDev, u.utilMean, u.integratedAt = 0.1, 0.3, time.Hour
	b.integrateBand(u, time.Hour+250*ms)
	b.integrateBand(u, time.Hour+500*ms)
	if want := 2 * bandHalfWidth * 0.1 * 0.5; math.Abs(u.bandArea-want) > 1e-9 {
		t.Errorf("got band area %v, want %v", u.bandArea, want)
	}
}

// Guards against an upstream at constant full load that keeps its share because its readings do not vary,
// and against one that loses its share at once or never regains it.
func TestSaturatedUpstreamLosesShareGraduallyAndRegainsIt(t *testing.T) {
	b, _ := start(t, settings(), fleet(3))
	runPeriods := func(n int) {
		for range n {
			for _, u := range b.upstreams {
				u.readings, u.utilMean = bandWindow, 0.3
			}
			b.upstreams[0].utilMean = 1 // constant readings at full load have no deviation
			b.endPeriod(b.periodStart + bandPeriod)
		}
	}
	runPeriods(2)
	earlyFactor := b.upstreams[0].shareFactor
	runPeriods(40)
	if earlyFactor >= 1 || earlyFactor < minCutFactor*minCutFactor ||
		b.upstreams[0].shareFactor != minShareFactor || b.upstreams[1].shareFactor != 1 {
		t.Errorf("got share factor %v after 2 periods, %v after 42, %v of another upstream; want 0.64 to 1, 0.1, 1",
			earlyFactor, b.upstreams[0].shareFactor, b.upstreams[1].shareFactor)
	}
	for range 80 {
		b.upstreams[0].utilMean = 0.3
		b.endPeriod(b.periodStart + bandPeriod)
	}
	if b.upstreams[0].shareFactor != 1 {
		t.Errorf("got share factor %v after recovery, want 1", b.upstreams[0].shareFactor)
	}
}

// Guards against shares that are reduced when the load of all upstreams rises.
func TestFleetWideRiseReducesNoShares(t *testing.T) {
	b, _ := start(t, settings(), fleet(4))
	for range 10 {
		for _, u := range b.upstreams {
			u.readings, u.utilMean, u.utilDev = bandWindow, 0.95, 0.2
		}
		b.endPeriod(b.periodStart + bandPeriod)
	}
	for _, u := range b.upstreams {
		if u.shareFactor != 1 {
			t.Errorf("upstream %d: got share factor %v, want 1", u.ID, u.shareFactor)
		}
	}
}

// Guards against a report that is counted as a new reading in each response that repeats it.
func TestRepeatedReportIsIgnored(t *testing.T) {
	b, _ := start(t, settings(), fleet(1))
	u := b.upstreams[0]
	for i, util := range []float64{0.5, 0.5, 0.6, 0.6, 0.5} {
		b.recordLoad(u, Load{Fields: HasUtil, Util: util}, true, 0, time.Hour+time.Duration(i)*ms)
	}
	if u.readings != 3 {
		t.Errorf("got %d readings, want 3", u.readings)
	}
}

// Guards against utilisation readings from the wrong value of a report, or from latency although there are
// reports.
func TestUtilisationReadingSources(t *testing.T) {
	for _, c := range []struct {
		name         string
		reports      ReportMode
		load         Load
		latencyRatio float64 // latency divided by the latency target
		want         float64
	}{
		{"utilisation", ReportInResponses, Load{Fields: HasUtil | HasQueue, Util: 0.7, Queue: 9}, 0.2, 0.7},
		{"requests in flight", ReportInResponses, Load{Fields: HasInflight, Inflight: 3}, 0.2, 0.75},
		{"queue", ReportInResponses, Load{Fields: HasQueue, Queue: 1}, 0.2, 0.5},
		{"no reports: latency relative to the target", ReportNone, Load{}, 0.2, 0.2},
	} {
		s := settings()
		s.Reports = c.reports
		b, _ := start(t, s, fleet(1))
		if b.recordLoad(
			b.upstreams[0], c.load, true, c.latencyRatio, time.Hour); math.Abs(b.upstreams[0].utilMean-c.want) > 1e-9 {
			t.Errorf("%s: got reading %v, want %v", c.name, b.upstreams[0].utilMean, c.want)
		}
	}
}
