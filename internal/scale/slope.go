package scale

// Slope is a figure measured at several values of one varied quantity, with all others fixed, and the fitted curve.
type Slope struct {
	Name     string `json:"name"`
	Unit     string `json:"unit"`   // of Y
	Variable string `json:"varied"` // the varied quantity, X
	// Note tells what was fixed and how a point was measured, or why the slope was not measured.
	Note string    `json:"note,omitempty"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
	Fit  Fit       `json:"fit"`
}

// NewSlope returns a slope with a curve fitted to its points.
func NewSlope(name, unit, variable string, x, y []float64) Slope {
	return Slope{Name: name, Unit: unit, Variable: variable, X: x, Y: y, Fit: FitPoints(x, y)}
}

// lowest returns s with the lower value of two runs at each point. If either run was not measured, the result has no
// points and the note of that run.
func (s Slope) lowest(other Slope) Slope {
	if len(s.Y) == 0 || len(other.Y) != len(s.Y) {
		other.Y, other.X, other.Fit = nil, nil, Fit{}
		if len(s.Y) == 0 {
			other.Note = s.Note
		}
		return other
	}
	y := make([]float64, len(s.Y))
	for i := range y {
		y[i] = min(s.Y[i], other.Y[i])
	}
	lowest := NewSlope(s.Name, s.Unit, s.Variable, s.X, y)
	lowest.Note = s.Note
	return lowest
}
