package scale

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
)

var fitSizes = []float64{875, 1750, 3500, 7000, 14000}

// pointValues returns value at each x, multiplied by 1 plus the relative errors in turn.
func pointValues(x []float64, value func(n float64) float64, errs ...float64) []float64 {
	y := make([]float64, len(x))
	for i, n := range x {
		y[i] = value(n)
		if len(errs) > 0 {
			y[i] *= 1 + errs[i%len(errs)]
		}
	}
	return y
}

func TestFitFindsForm(t *testing.T) {
	noise := []float64{0.03, -0.02, 0.01, -0.03, 0.02}
	for _, c := range []struct {
		name  string
		form  Form
		value func(n float64) float64
		x     []float64
	}{
		{"constant", Constant, func(float64) float64 { return 40 }, fitSizes},
		{"linear", Linear, func(n float64) float64 { return 100 + 0.2*n }, fitSizes},
		{"linear without intercept", Linear, func(n float64) float64 { return 3 * n }, fitSizes},
		{"n log n over a wide range", NLogN,
			func(n float64) float64 { return n * math.Log(n) }, []float64{2, 16, 256, 4096, 65536}},
		{"square", Square, func(n float64) float64 { return 5 + 0.001*n*n }, fitSizes},
	} {
		for _, errs := range [][]float64{nil, noise} {
			f := FitPoints(c.x, pointValues(c.x, c.value, errs...))
			if f.Form != c.form || !f.Fits || f.WorstError > 0.1 {
				t.Errorf("%s with errors %v: %v", c.name, errs, f)
			}
			at := c.x[len(c.x)-1] * 2
			if want := c.value(at); math.Abs(f.At(at)-want) > 0.12*want {
				t.Errorf("%s with errors %v: At(%v) = %v, want about %v", c.name, errs, at, f.At(at), want)
			}
		}
	}
}

func TestFitPrefersSimplerFormWithinTolerance(t *testing.T) {
	y := pointValues(fitSizes, func(n float64) float64 { return 1000 + 0.002*n }, 0.04, -0.04, 0.04, -0.04, 0.04)
	if f := FitPoints(fitSizes, y); f.Form != Constant {
		t.Errorf("growth of 3%% with noise of 4%%: got %v, want constant", f)
	}
}

func TestFitReportsWorstPoint(t *testing.T) {
	y := pointValues(fitSizes, func(n float64) float64 { return n })
	y[2] *= 3
	f := FitPoints(fitSizes, y)
	if f.Fits || f.WorstError <= MaxPointError || !strings.Contains(f.String(), "does not fit at n=") {
		t.Errorf("point at three times the curve: got %v, want not fitting", f)
	}
	f = FitPoints(fitSizes, pointValues(fitSizes, func(n float64) float64 { return n * n * n }))
	if f.Fits || f.Form != Square {
		t.Errorf("cubic growth: got %v, want square, not fitting", f)
	}
	if f := FitPoints(fitSizes, pointValues(fitSizes, func(n float64) float64 { return 1e6 / n })); f.Fits {
		t.Errorf("falling values: got %v, want not fitting", f)
	}
}

func TestFitCoefficientsAreNotNegative(t *testing.T) {
	for _, value := range []func(n float64) float64{
		func(n float64) float64 { return 2*n - 1500 },
		func(n float64) float64 { return 20000 - n },
		func(float64) float64 { return 0 },
		func(n float64) float64 { return -n },
	} {
		if f := FitPoints(fitSizes, pointValues(fitSizes, value)); f.Intercept < 0 || f.Coefficient < 0 || f.At(1) < 0 {
			t.Errorf("got a negative value: %v", f)
		}
	}
}

func TestFitOfFewPoints(t *testing.T) {
	if f := FitPoints(nil, nil); f.Form != NoForm || f.Fits || f.At(9) != 0 || f.String() != "no points" {
		t.Errorf("no points: %+v", f)
	}
	if f := FitPoints([]float64{3, 4}, []float64{7}); f.Form != Constant || f.At(100) != 7 || !f.Fits {
		t.Errorf("one point: %v", f)
	}
	if f := FitPoints([]float64{1, 10}, []float64{10, 100}); f.Form != Linear || math.Abs(f.At(5)-50) > 1e-9 {
		t.Errorf("two points: %v", f)
	}
	if f := FitPoints([]float64{5, 5, 5}, []float64{1, 1.01, 0.99}); f.Form != Constant {
		t.Errorf("three points at one size: %v", f)
	}
}

func TestFitStringAndJSON(t *testing.T) {
	f := FitPoints([]float64{10, 20, 80}, []float64{120, 140, 260})
	if got, want := f.String(), "linear 100 + 2*n, worst error 0%"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	s := NewSlope("step", "ms", "upstreams", []float64{10, 20, 80}, []float64{120, 140, 260})
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	var back Slope
	if err := json.Unmarshal(text, &back); err != nil || back.Fit != s.Fit || back.Name != "step" || len(back.Y) != 3 {
		t.Errorf("JSON %s: decoded %v, error %v", text, back, err)
	}
}
