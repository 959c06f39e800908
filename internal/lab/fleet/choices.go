package fleet

// Choices is how the choices of many balancers add up over app nodes, from when views have settled, outside of times in which a fault or
// what follows on it is under way. Spreads are the largest over the mean of app nodes that were sent anything.
type Choices struct {
	PairSpread float64 `json:"pair_spread"` // of the balancers that sent to an app node within a window
	Pairs      float64 `json:"pairs"`       // of balancers and app nodes within one, on the mean
	ConnSpread float64 `json:"conn_spread"` // of connections to an app node, on the mean of a window
	SentSpread float64 `json:"sent_spread"` // of attempts that came to an app node
	JainNodes  float64 `json:"jain_nodes"`  // Jain's index of attempts by app node
	JainServed float64 `json:"jain_served"` // and of answers by balancer
	Windows    int     `json:"windows"`
}

const (
	settledFrom = 10.0 // seconds: a view is believed 5 s after it has heard of others
	window      = 4.0  // in which a balancer with its share of the traffic sends to each of its app nodes
	// unsettled is how long after the begin and the end of a fault the fleet is given: a death is known within 3 s and believed after
	// another 5.
	unsettled = 9.0
)

// choices looks at windows, each after the other.
func (h *History) choices(faults []Fault, end float64) (c Choices) {
	calm := func(from, to float64) bool {
		for _, f := range faults {
			if from < f.From+unsettled && to > f.From || from < f.To+unsettled && to > f.To {
				return false
			}
		}
		return true
	}
	for from := settledFrom; from+window <= end; from += window {
		if !calm(from, from+window) {
			continue
		}
		low, high := h.slotOf(from), h.slotOf(from+window)
		var by, conns, sent, served []float64
		pairs := 0.0
		for n := range h.Nodes {
			if sum(h.Nodes[n][low:high]) == 0 {
				continue
			}
			balancers := 0.0
			for b := range h.pairs {
				if n < len(h.pairs[b]) && sum(h.pairs[b][n][low:high]) > 0 {
					balancers++
				}
			}
			by, sent = append(by, balancers), append(sent, sum(h.Nodes[n][low:high]))
			pairs += balancers
			if n < len(h.conns) {
				conns = append(conns, sum(h.conns[n][low:high]))
			}
		}
		for b := range h.Lanes {
			if of := sum(h.Lanes[b].Served[low:high]); of > 0 {
				served = append(served, of)
			}
		}
		if len(by) == 0 {
			continue
		}
		c.Windows++
		c.PairSpread, c.Pairs, c.ConnSpread = c.PairSpread+overMean(by), c.Pairs+pairs, c.ConnSpread+overMean(conns)
		c.SentSpread, c.JainNodes, c.JainServed = c.SentSpread+overMean(sent), c.JainNodes+jain(sent), c.JainServed+jain(served)
	}
	if n := float64(c.Windows); n > 0 {
		c.PairSpread, c.Pairs, c.ConnSpread = c.PairSpread/n, c.Pairs/n, c.ConnSpread/n
		c.SentSpread, c.JainNodes, c.JainServed = c.SentSpread/n, c.JainNodes/n, c.JainServed/n
	}
	return c
}

// jain is the index of fairness of Jain, Chiu and Hawe (DEC TR-301, 1984): 1 where all have the same.
func jain(of []float64) float64 {
	all, squares := 0.0, 0.0
	for _, v := range of {
		all, squares = all+v, squares+v*v
	}
	if squares == 0 {
		return 1
	}
	return all * all / (float64(len(of)) * squares)
}

// ChoiceRow sums the runs of a case up.
type ChoiceRow struct {
	Choices
	Runs         int
	Conns        float64
	Goodput, Hit float64
	Cold         float64 // the most
	Broken       uint64
	measured     int // that had a window to look at
}

// Add takes a run that counts.
func (r *ChoiceRow) Add(d *Done) {
	r.Runs++
	r.Conns += float64(d.MostConns)
	r.Goodput, r.Hit, r.Cold, r.Broken = r.Goodput+d.Goodput, r.Hit+d.Hit, max(r.Cold, d.ColdShare), r.Broken+d.Broken
	if c := &d.Choices; c.Windows > 0 {
		r.measured++
		r.PairSpread, r.Pairs, r.ConnSpread = r.PairSpread+c.PairSpread, r.Pairs+c.Pairs, r.ConnSpread+c.ConnSpread
		r.SentSpread, r.JainNodes, r.JainServed = r.SentSpread+c.SentSpread, r.JainNodes+c.JainNodes, r.JainServed+c.JainServed
	}
}

// Mean is the row with means in the place of sums.
func (r ChoiceRow) Mean() ChoiceRow {
	if n := float64(r.Runs); n > 0 {
		r.Conns, r.Goodput, r.Hit = r.Conns/n, r.Goodput/n, r.Hit/n
	}
	if n := float64(r.measured); n > 0 {
		r.PairSpread, r.Pairs, r.ConnSpread = r.PairSpread/n, r.Pairs/n, r.ConnSpread/n
		r.SentSpread, r.JainNodes, r.JainServed = r.SentSpread/n, r.JainNodes/n, r.JainServed/n
	}
	return r
}
