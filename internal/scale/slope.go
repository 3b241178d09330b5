package scale

// Slope is one figure over another that was varied while all else was held.
type Slope struct {
	Name     string `json:"name"`
	Unit     string `json:"unit"`   // of Y
	Variable string `json:"varied"` // what X counts
	// Note says what was held and how a point was taken: how often, and which of its runs counts.
	Note string    `json:"note,omitempty"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
	Fit  Fit       `json:"fit"`
}

// NewSlope is a slope with its fit.
func NewSlope(name, unit, variable string, x, y []float64) Slope {
	return Slope{Name: name, Unit: unit, Variable: variable, X: x, Y: y, Fit: FitPoints(x, y)}
}

// least is s with the lesser figure of two runs at each point. A run that was not measured leaves the slope unmeasured.
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
