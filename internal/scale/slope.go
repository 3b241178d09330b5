package scale

// Slope is one figure over another that was varied while all else was held.
type Slope struct {
	Name   string `json:"name"`
	Unit   string `json:"unit"`   // of Y
	Varied string `json:"varied"` // what X counts
	// Note says what was held and how a point was taken: how often, and which of its runs counts.
	Note string    `json:"note,omitempty"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
	Fit  Fit       `json:"fit"`
}

// NewSlope is a slope with its fit.
func NewSlope(name, unit, varied string, x, y []float64) Slope {
	return Slope{Name: name, Unit: unit, Varied: varied, X: x, Y: y, Fit: FitPoints(x, y)}
}

// least is s with the lesser figure of two runs at each point. A run that was not measured leaves the slope unmeasured.
func (s Slope) least(again Slope) Slope {
	if len(s.Y) == 0 || len(again.Y) != len(s.Y) {
		again.Y, again.X, again.Fit = nil, nil, Fit{}
		if len(s.Y) == 0 {
			again.Note = s.Note
		}
		return again
	}
	y := make([]float64, len(s.Y))
	for i := range y {
		y[i] = min(s.Y[i], again.Y[i])
	}
	least := NewSlope(s.Name, s.Unit, s.Varied, s.X, y)
	least.Note = s.Note
	return least
}
