package result

import (
	"errors"
	"math"
	"slices"
)

// Merge makes one record of several runs of one scenario under one policy: counts and series are added up, latencies
// are those of all requests together, peaks the highest. Faults of one kind and time are one, of whatever target.
// Void runs are left out.
func Merge(records []Record) (Record, error) {
	var m Record
	for i := range records {
		r := records[i].clone()
		if r.Void {
			continue
		}
		if m.Runs == 0 {
			m = r
			continue
		}
		if r.Scenario != m.Scenario || r.Policy != m.Policy || r.On != m.On {
			return m, errors.New("result: runs of " + m.Scenario + " and " + r.Scenario + ", " + m.Policy + " and " + r.Policy +
				", on " + m.On + " and " + r.On + " cannot be merged")
		}
		if err := m.take(&r); err != nil {
			return m, err
		}
	}
	if m.Runs == 0 {
		return m, errors.New("result: nothing to merge, all runs are void")
	}
	m.Latency = m.Times.Latency()
	m.Goodput = m.goodput()
	if m.Runs > 1 {
		m.Digest = ""
	}
	return m, nil
}

func (m *Record) take(r *Record) error {
	for m.Width < r.Width*0.75 { // widths are powers of two apart
		m.widen()
		m.Width *= 2
	}
	for r.Width < m.Width*0.75 {
		r.widen()
		r.Width *= 2
	}
	if math.Abs(m.Width-r.Width) > 1e-9 {
		return errors.New("result: windows whose widths are no power of two apart")
	}
	m.Runs += r.Runs
	for _, c := range [][2]*int64{{&m.Offered, &r.Offered}, {&m.Served, &r.Served}, {&m.Refused, &r.Refused},
		{&m.Failed, &r.Failed}, {&m.Lost, &r.Lost}, {&m.Duplicated, &r.Duplicated}, {&m.DrainBreaks, &r.DrainBreaks},
		{&m.ColdBreaks, &r.ColdBreaks}, {&m.Leaked, &r.Leaked}, {&m.AfterAim, &r.AfterAim}} {
		*c[0] += *c[1]
	}
	for _, c := range [][2]*int64{{&m.HottestNode, &r.HottestNode}, {&m.MostConns, &r.MostConns}, {&m.MostCalls, &r.MostCalls}} {
		*c[0] = max(*c[0], *c[1])
	}
	m.ColdShare = max(m.ColdShare, r.ColdShare)
	m.PeakPressure = max(m.PeakPressure, r.PeakPressure)
	m.Speedup = min(m.Speedup, r.Speedup)
	m.Times.Merge(r.Times.Histogram)
	for i := range r.Windows {
		if i == len(m.Windows) {
			m.Windows = append(m.Windows, Window{})
		}
		m.Windows[i].add(&r.Windows[i])
	}
	for i := range r.Loads {
		k := slices.IndexFunc(m.Loads, func(l Load) bool { return l.Nodes == r.Loads[i].Nodes })
		if k < 0 {
			m.Loads = append(m.Loads, r.Loads[i])
		} else {
			m.Loads[k].add(&r.Loads[i])
		}
	}
	for _, f := range r.Faults {
		k := slices.IndexFunc(m.Faults, func(o Fault) bool { return o.What == f.What && o.From == f.From && o.To == f.To })
		if k < 0 {
			m.Faults = append(m.Faults, f)
		} else if m.Faults[k].Target != f.Target {
			m.Faults[k].Target = "varies"
		}
	}
	return nil
}

// clone copies what merging changes.
func (r *Record) clone() Record {
	c := *r
	c.Windows = slices.Clone(r.Windows)
	c.Loads = slices.Clone(r.Loads)
	c.Faults = slices.Clone(r.Faults)
	for i := range c.Loads {
		c.Loads[i].Looks, c.Loads[i].Sum = slices.Clone(c.Loads[i].Looks), slices.Clone(c.Loads[i].Sum)
	}
	if r.Times.Histogram != nil {
		c.Times.Histogram = r.Times.Clone()
	} else {
		c.Times = newTimes()
	}
	return c
}
