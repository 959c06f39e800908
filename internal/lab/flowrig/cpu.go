package flowrig

import (
	"fmt"
	"io"
	"strings"
)

// Cost compares the CPU time of two balancers for one call of a small answer.
type Cost struct {
	New     string   `json:"new"`
	Old     string   `json:"old"`
	Bytes   int      `json:"bytes"`
	Conns   int      `json:"conns"`
	Calls   int      `json:"calls"` // of a round
	Rounds  int      `json:"rounds"`
	NewUs   Spread   `json:"new_us_per_call"`
	OldUs   Spread   `json:"old_us_per_call"`
	Ratio   Interval `json:"ratio"` // new over old
	ByRound Spread   `json:"by_round"`
}

// MeasureCost runs the same closed loop against both by turns; the app node has its own process.
func MeasureCost(program, old string, size, conns, calls, rounds int, progress io.Writer) (*Cost, error) {
	node, err := StartRole("flow", "node", "--addresses", "4")
	if err != nil {
		return nil, err
	}
	defer node.Stop()
	var sides [2]*Process
	for i, path := range []string{program, old} {
		if sides[i], err = StartBalancer(path, Setup{Nodes: strings.Split(node.Addr, ","), Classes: []Class{Bulk}, MemoryMB: 192,
			Sockets: 1024, Attempts: 2}); err != nil {
			return nil, err
		}
		defer sides[i].Stop()
	}
	stock, us := new(Stock), [2][]float64{}
	for _, p := range sides {
		if err := Settle(p.Addr, stock); err != nil {
			return nil, err
		}
	}
	c := &Cost{New: program, Old: old, Bytes: size, Conns: conns, Calls: calls, Rounds: rounds}
	for round := -1; round < rounds; round++ { // the first warms up and is not counted
		for turn := range 2 {
			which := (round + 1 + turn) % 2
			p := sides[which]
			before, err := p.CPU()
			if err != nil {
				return nil, err
			}
			if _, err := (Load{Addr: p.Addr, Conns: conns, Calls: calls, Bytes: size, Stock: stock, Check: round < 0}).Run(); err != nil {
				return nil, fmt.Errorf("%s: %w: %s", []string{program, old}[which], err, p.Log())
			}
			after, err := p.CPU()
			if err != nil {
				return nil, err
			}
			if round >= 0 {
				us[which] = append(us[which], (after-before).Seconds()*1e6/float64(calls))
			}
		}
		if round%10 == 9 {
			fmt.Fprintf(progress, "round %d: %.1f us and %.1f us\n", round+1, us[0][round], us[1][round])
		}
	}
	c.NewUs, c.OldUs, c.Ratio, c.ByRound = spread(us[0]), spread(us[1]), pairedRatio(us[0], us[1]), spread(over(us[0], us[1]))
	return c, nil
}

// Table writes the figures for people.
func (c *Cost) Table(w io.Writer) {
	fmt.Fprintf(w, "%s against %s: answers of %d bytes, %d kept connections, %d rounds of %d calls\n",
		c.New, c.Old, c.Bytes, c.Conns, c.Rounds, c.Calls)
	fmt.Fprintf(w, "CPU a call: %.2f us (%.2f-%.2f) against %.2f us (%.2f-%.2f)\n", c.NewUs.Median, c.NewUs.Min, c.NewUs.Max,
		c.OldUs.Median, c.OldUs.Min, c.OldUs.Max)
	fmt.Fprintf(w, "ratio %.4f, 95 %% interval %.4f-%.4f; by round %.4f (%.4f-%.4f)\n", c.Ratio.Ratio, c.Ratio.Low, c.Ratio.High,
		c.ByRound.Median, c.ByRound.Min, c.ByRound.Max)
}
