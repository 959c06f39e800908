package fleet

import (
	"math"
	"slices"

	"pewterrudder/internal/lab/oracle"
)

// Figures are what a day on the rig came to. Times are in seconds.
type Figures struct {
	Goodput float64 `json:"goodput"` // worth in time over worth asked for, all day
	Calm    float64 `json:"calm"`    // the same before the first fault
	Worst   float64 `json:"worst"`   // the lowest second from the first fault on
	Hit     float64 `json:"hit"`     // the same while faults last
	// First is from the end of the last fault to the first answer that was served; Return to the second from which on
	// goodput was 0.95 of calm for as long as it was looked at. Below 0: not within the day.
	First  float64 `json:"first_s"`
	Return float64 `json:"return_s"`
	// LoadSpread is the most that one app node was sent over the mean of all that were sent anything, and ServedSpread the
	// same of what balancers served, while nothing was hit.
	LoadSpread   float64 `json:"load_spread"`
	ServedSpread float64 `json:"served_spread"`
	Choices
	MostConns   int     `json:"most_conns"` // at one app node
	MostCalls   uint64  `json:"most_calls"` // to discovery in one second
	InStep      int     `json:"in_step"`    // calls to discovery in a tenth of a second, the most
	ColdShare   float64 `json:"cold_share"` // of the bound on work for a cold app node
	Lost        uint64  `json:"lost"`       // requests without an answer
	Twice       uint64  `json:"twice"`      // effects had twice
	DrainBreaks uint64  `json:"drain_breaks"`
}

// lookFor is how long a return has to hold, and of what part of calm it is.
const (
	lookFor  = 2 // seconds
	returned = 0.95
)

func judge(h *History, faults []Fault, c *oracle.Counts) Figures {
	end := float64(h.length) * h.Slot
	first, last := end, 0.0
	for _, f := range faults {
		first, last = min(first, f.From), max(last, f.To)
	}
	f := Figures{Goodput: h.goodput(0, end), Calm: h.goodput(0, first), Worst: 1, Hit: math.NaN(), First: -1, Return: -1,
		MostConns: c.MostConns, MostCalls: c.MostCalls, ColdShare: c.ColdShare, Lost: c.Lost, Twice: c.Duplicated, DrainBreaks: c.DrainBreaks}
	for at := first; at+1 <= end; at += h.Slot {
		f.Worst = min(f.Worst, h.goodput(at, at+1))
	}
	if last > first {
		f.Hit = h.goodput(first, last)
	} else {
		f.Hit = h.goodput(first, min(end, first+1))
	}
	for _, at := range h.answersAt {
		if s := since(at); s >= last && (f.First < 0 || s-last < f.First) {
			f.First = s - last
		}
	}
	for at := last; at+1 <= end; at += h.Slot {
		holds := true
		for from := at; from+1 <= min(end, at+lookFor); from += h.Slot {
			holds = holds && h.goodput(from, from+1) >= returned*f.Calm
		}
		if holds {
			f.Return = at - last
			break
		}
	}
	f.InStep = slices.Max(h.Calls)
	f.LoadSpread, f.ServedSpread = h.spreads(first)
	f.Choices = h.choices(faults, end)
	return f
}

// goodput of what came up between two moments; with nothing asked for it is 1.
func (h *History) goodput(from, to float64) float64 {
	asked, got := 0.0, 0.0
	for i := h.slotOf(from); i < min(h.slotOf(to), h.length); i++ {
		asked, got = asked+h.Asked[i], got+h.InTime[i]
	}
	if asked == 0 {
		return 1
	}
	return got / asked
}

func (h *History) slotOf(s float64) int { return max(0, int(math.Round(s/h.Slot))) }

// spreads looks at the time before the first fault.
func (h *History) spreads(first float64) (load, served float64) {
	until := min(h.slotOf(first), h.length)
	var nodes, lanes []float64
	for _, n := range h.Nodes {
		nodes = append(nodes, sum(n[:until]))
	}
	for i := range h.Lanes {
		lanes = append(lanes, sum(h.Lanes[i].Served[:until]))
	}
	return overMean(nodes), overMean(lanes)
}

func sum[T int | uint16](of []T) (s float64) {
	for _, n := range of {
		s += float64(n)
	}
	return s
}

// overMean is the largest over the mean.
func overMean(of []float64) float64 {
	most, all := 0.0, 0.0
	for _, v := range of {
		most, all = max(most, v), all+v
	}
	if all == 0 {
		return 0
	}
	return most * float64(len(of)) / all
}
