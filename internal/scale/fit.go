// Package scale measures how a balancer's resource use grows with the size of the fleet. It fits a growth
// curve to the measurements, from which the use at sizes beyond one machine is extrapolated. It also has a
// soak test of restarts. The balancer's program does not import this package.
package scale

import (
	"fmt"
	"math"
	"strconv"
)

// Form is the kind of curve by which a figure grows with the varied quantity.
type Form string

// The forms, simplest first. NoForm is the form of a fit without points.
const (
	NoForm   Form = ""
	Constant Form = "constant"
	Linear   Form = "linear"
	NLogN    Form = "n log n"
	Square   Form = "square"
)

const (
	// fitTolerance is the relative root mean square error up to which a form is accepted. A form is also accepted if
	// its error is at most simplerFormMargin times the smallest one.
	fitTolerance      = 0.05
	simplerFormMargin = 1.25
	// MaxPointError is the relative error above which a point is reported as not fitting.
	MaxPointError = 0.25
)

// Fit is the curve fitted to a series of points: Intercept + Coefficient*g(n), where g(n) is 0, n, n*ln(n) or n*n,
// depending on the form.
type Fit struct {
	Form        Form    `json:"form"`
	Intercept   float64 `json:"a"`
	Coefficient float64 `json:"b"`
	RMS         float64 `json:"rms"` // root mean square of the relative errors
	// WorstError is the largest absolute value of (measured - fitted) / measured, found at the point WorstX, WorstY.
	// Fits reports whether it is at most MaxPointError.
	WorstError float64 `json:"worst"`
	WorstX     float64 `json:"worst_x"`
	WorstY     float64 `json:"worst_y"`
	Fits       bool    `json:"fits"`
}

// FitPoints returns the simplest form that fits the points within the tolerance, by least squares of the relative
// error, so that points of small and large fleets have the same weight. Intercept and Coefficient are never negative,
// since resource use is not negative and does not fall with the size of the fleet; points that contradict this are
// reported as not fitting. If x and y differ in length, the excess is ignored. Without points the form is NoForm.
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
	return fits[0] // reached only if all errors are NaN
}

// At returns the fitted value at n.
func (f Fit) At(n float64) float64 { return f.Intercept + f.Coefficient*f.Form.basis(n) }

// String returns the fit as text for the result tables.
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

// formula returns the fitted curve as text, such as "linear 100 + 2*n".
func (f Fit) formula() string {
	if f.Form == Constant {
		return "constant " + digits(f.Intercept)
	}
	return fmt.Sprintf("%s %s + %s*%s", f.Form, digits(f.Intercept), digits(f.Coefficient),
		map[Form]string{Linear: "n", NLogN: "n*ln(n)", Square: "n*n"}[f.Form])
}

// digits formats x with three significant digits.
func digits(x float64) string { return strconv.FormatFloat(x, 'g', 3, 64) }

// basis returns g(n) of the form, see Fit.
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

// fitForm returns the least-squares fit of one form. Each point is weighted by the inverse of its squared
// value, which makes errors relative. Values below a thousandth of the largest are weighted as if they were
// that large.
func fitForm(form Form, x, y []float64) Fit {
	largest := 0.0
	for _, v := range y {
		largest = max(largest, math.Abs(v))
	}
	magnitude := func(i int) float64 { return max(math.Abs(y[i]), largest/1000, math.SmallestNonzeroFloat32) }
	var sumW, sumG, sumGG, sumY, sumGY float64 // weighted sums of 1, g, g*g, y and g*y
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
