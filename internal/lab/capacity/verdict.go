package capacity

import "fmt"

// Row is a line of the table: what something comes to at the site.
type Row struct {
	Role   string  `json:"role"`
	Kind   string  `json:"kind"` // state, messages, CPU, memory, time
	What   string  `json:"what"`
	Amount Amount  `json:"amount"`
	Unit   string  `json:"unit"`
	Budget float64 `json:"budget"` // in the same unit; 0: none was announced
	From   string  `json:"from"`   // the slopes, or the arithmetic
	By     string  `json:"by"`     // the mechanism that carries it; none: Gap says what is missing
	Gap    string  `json:"gap,omitempty"`
}

// Verdict on a row.
type Verdict string

const (
	Kept       Verdict = "kept"
	Missed     Verdict = "missed"
	Missing    Verdict = "missing" // no mechanism carries it
	NotGiven   Verdict = "no budget"
	Unmeasured Verdict = "not measured"
)

// Verdict says whether the budget is kept. Where no mechanism carries a thing, that goes before any figure.
func (r Row) Verdict() Verdict {
	switch {
	case r.By == "":
		return Missing
	case !r.Amount.Known:
		return Unmeasured
	case r.Budget == 0:
		return NotGiven
	case r.Amount.Value > r.Budget:
		return Missed
	}
	return Kept
}

// Off says in words how far from its budget a row is.
func (r Row) Off() string {
	if !r.Amount.Known || r.Budget == 0 {
		return ""
	}
	switch share := r.Amount.Value / r.Budget; {
	case share > 1.005:
		return fmt.Sprintf("%.3g times the budget", share)
	case share > 1:
		return "just over the budget"
	default:
		return fmt.Sprintf("%.0f %% of it", 100*share)
	}
}
