// Package scale measures how what a balancer spends grows with the fleet, and fits that growth to a form, so that a
// figure at a size that one machine does not hold is worked out from slopes. Nothing of it is linked into the balancer.
package scale

import (
	"fmt"
	"math"
	"strconv"
)

// Form is how a figure grows with the one that is varied.
type Form string

// The forms, simplest first. NoForm is what no points give.
const (
	NoForm   Form = ""
	Constant Form = "constant"
	Linear   Form = "linear"
	NLogN    Form = "n log n"
	Square   Form = "square"
)

const (
	// fitNoise is the relative error, as a root of the mean square, up to which a form fits: runs of one point differ as
	// much. A simpler form is also taken if it errs by no more than fitMargin times the best one's error.
	fitTolerance      = 0.05
	simplerFormMargin = 1.25
	// WorstAllowed is the relative error from which on a point does not fit, and is shown.
	MaxPointError = 0.25
)

// Fit is the form that a row of points was found to have: A + B*g(n), where g is 0, n, n*ln(n) or n*n.
type Fit struct {
	Form        Form    `json:"form"`
	Intercept   float64 `json:"a"`
	Coefficient float64 `json:"b"`
	RMS         float64 `json:"rms"` // relative error, as a root of the mean square
	// Worst is the largest relative error, (measured - fitted) / measured, without its sign; it is that of the point
	// WorstX, WorstY. Fits is false if it is over WorstAllowed.
	WorstError float64 `json:"worst"`
	WorstX     float64 `json:"worst_x"`
	WorstY     float64 `json:"worst_y"`
	Fits       bool    `json:"fits"`
}

// FitPoints finds the simplest form that fits the points within their noise, by least squares of the relative error: a
// point of a small fleet weighs as much as one of a large fleet. Neither coefficient is below zero, since what is
// spent neither begins there nor shrinks with the fleet; points that do are shown as not fitting. Of x and y the
// shorter one counts. Without points the form is NoForm.
func FitPoints(x, y []float64) Fit {
	n := min(len(x), len(y))
	if n == 0 {
		return Fit{}
	}
	x, y = x[:n], y[:n]
	fits := []Fit{fitForm(Constant, x, y)}
	if n > 1 {
		fits = append(fits, fitForm(Linear, x, y), fitForm(NLogN, x, y), fitForm(Square, x, y))
	}
	best := fits[0].RMS
	for _, f := range fits {
		best = min(best, f.RMS)
	}
	for _, f := range fits {
		if f.RMS <= max(fitTolerance, simplerFormMargin*best) {
			return f
		}
	}
	return fits[0] // only where no error is a number
}

// At is the figure that the fit gives for n.
func (f Fit) At(n float64) float64 { return f.Intercept + f.Coefficient*f.Form.basis(n) }

// String is the fit as tables show it.
func (f Fit) String() string {
	if f.Form == NoForm {
		return "no points"
	}
	text := fmt.Sprintf("%s, worst error %.0f%%", f.formula(), 100*f.WorstError)
	if !f.Fits {
		text += fmt.Sprintf(", does not fit at n=%s (%s)", digits(f.WorstX), digits(f.WorstY))
	}
	return text
}

// formula is A + B*g(n) in words.
func (f Fit) formula() string {
	if f.Form == Constant {
		return "constant " + digits(f.Intercept)
	}
	return fmt.Sprintf("%s %s + %s*%s", f.Form, digits(f.Intercept), digits(f.Coefficient), map[Form]string{Linear: "n", NLogN: "n*ln(n)",
		Square: "n*n"}[f.Form])
}

// digits is x with three significant digits.
func digits(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }

// of is the part of the form that grows.
func (f Form) basis(n float64) float64 {
	switch f {
	case Linear:
		return n
	case NLogN:
		return n * math.Log(max(n, 1))
	case Square:
		return n * n
	}
	return 0
}

// fitted is the best fit of one form. Each point is weighed by the inverse of its square, which makes errors relative;
// one at zero as if it were a thousandth of the largest.
func fitForm(form Form, x, y []float64) Fit {
	largest := 0.0
	for _, v := range y {
		largest = max(largest, math.Abs(v))
	}
	magnitude := func(i int) float64 { return max(math.Abs(y[i]), largest/1000, math.SmallestNonzeroFloat32) }
	var sumW, sumG, sumGG, sumY, sumGY float64 // weighted sums of 1, g, g*g, y, g*y
	for i := range x {
		weight, g := 1/(magnitude(i)*magnitude(i)), form.basis(x[i])
		sumW, sumG, sumGG, sumY, sumGY = sumW+weight, sumG+weight*g, sumGG+weight*g*g, sumY+weight*y[i], sumGY+weight*g*y[i]
	}
	f := Fit{Form: form, Intercept: sumY / sumW}
	if determinant := sumW*sumGG - sumG*sumG; form != Constant && determinant > 0 {
		f.Coefficient = (sumW*sumGY - sumG*sumY) / determinant
		switch f.Intercept = (sumY - f.Coefficient*sumG) / sumW; {
		case f.Coefficient < 0:
			f.Intercept, f.Coefficient = sumY/sumW, 0
		case f.Intercept < 0:
			f.Intercept, f.Coefficient = 0, max(0, sumGY/sumGG)
		}
	}
	f.Intercept = max(f.Intercept, 0)
	sumSquares := 0.0
	for i := range x {
		e := math.Abs(y[i]-f.At(x[i])) / magnitude(i)
		if sumSquares += e * e; i == 0 || e > f.WorstError {
			f.WorstError, f.WorstX, f.WorstY = e, x[i], y[i]
		}
	}
	f.RMS = math.Sqrt(sumSquares / float64(len(x)))
	f.Fits = f.WorstError <= MaxPointError
	return f
}
