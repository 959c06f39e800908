package scenario

import (
	"fmt"
	"slices"
	"strconv"
)

// Check finds what no world can be made of. Ranges are judged by both ends.
func (s *Scenario) Check() *Flaw {
	for _, check := range []func() *Flaw{s.checkSite, s.checkNodes, s.checkClasses, s.checkTraffic, s.checkRest,
		s.checkFaults} {
		if flaw := check(); flaw != nil {
			return flaw
		}
	}
	return nil
}

func bad(key string, v any) *Flaw { return &Flaw{Key: key, Text: fmt.Sprintf("%v is out of range", v)} }

func at(list string, i int, key string) string { return list + "[" + strconv.Itoa(i) + "]." + key }

func oneOf(key, value string, words ...string) *Flaw {
	if slices.Contains(words, value) {
		return nil
	}
	return &Flaw{Key: key, Text: fmt.Sprintf("%q is none of %q", value, words)}
}

func (s *Scenario) checkSite() *Flaw {
	switch {
	case s.Name == "":
		return &Flaw{Key: "name", Text: "is missing"}
	case s.Length <= 0:
		return bad("length", s.Length.D())
	case len(s.Zones) == 0:
		return &Flaw{Key: "zones", Text: "is empty"}
	case s.Balancers.Count < 1 || s.Balancers.Count > 10_000:
		return bad("balancers.count", s.Balancers.Count)
	case s.Balancers.Subset < 0 || s.Balancers.Subset > 0 && !s.Balancers.Peers:
		return bad("balancers.subset", s.Balancers.Subset)
	case s.Balancers.Told < 0:
		return bad("balancers.told", s.Balancers.Told)
	case s.Balancers.Sockets < 48: // the balancer's own least
		return bad("balancers.sockets", s.Balancers.Sockets)
	}
	return oneOf("balancers.known", s.Balancers.Known, "last", "none")
}

func (s *Scenario) checkNodes() *Flaw {
	if len(s.Nodes) == 0 {
		return &Flaw{Key: "nodes", Text: "is empty"}
	}
	for i := range s.Nodes {
		n := &s.Nodes[i]
		key := func(k string) string { return at("nodes", i, k) }
		switch {
		case n.Count < 1 || n.Count > 1_000_000:
			return bad(key("count"), n.Count)
		case n.Zone != "" && !slices.Contains(s.Zones, n.Zone):
			return &Flaw{Key: key("zone"), Text: fmt.Sprintf("%q is none of the zones", n.Zone)}
		case n.Cores < 1:
			return bad(key("cores"), n.Cores)
		case n.Slots < 0:
			return bad(key("slots"), n.Slots)
		case n.CellSize < 1:
			return bad(key("cell_size"), n.CellSize)
		case n.Speed[0] <= 0:
			return bad(key("speed"), n.Speed[0])
		case n.ColdFrom[0] <= 0 || n.ColdFrom[1] > 1:
			return bad(key("cold_from"), n.ColdFrom)
		case n.CrowdLoss < 0:
			return bad(key("crowd_loss"), n.CrowdLoss)
		case n.CrowdLoss > 0 && n.CrowdFrom <= 0:
			return bad(key("crowd_from"), n.CrowdFrom)
		case n.ConnTax < 0 || n.ConnTax >= 1:
			return bad(key("conn_tax"), n.ConnTax)
		case n.Handshake < 0:
			return bad(key("handshake_ms"), n.Handshake)
		case n.Errors[0] < 0 || n.Errors[1] > 1:
			return bad(key("errors"), n.Errors)
		case n.HangFor[1] > 0 && n.HangEvery[0] <= 0:
			return bad(key("hang_every"), n.HangEvery[0].D())
		}
	}
	for i, c := range s.Reports.Columns {
		if flaw := oneOf("reports.columns["+strconv.Itoa(i)+"]", c, Columns...); flaw != nil {
			return flaw
		}
	}
	return nil
}

// Columns are the words for the values of a load report.
var Columns = []string{"held", "waiting", "busy", "took_ms", "per_second", "errors_per_second"}

func (s *Scenario) checkClasses() *Flaw {
	if len(s.Classes) == 0 {
		return &Flaw{Key: "classes", Text: "is empty"}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		key := func(k string) string { return at("classes", i, k) }
		if flaw := oneOf(key("repeat"), c.Repeat, "safe", "keyed", "unsafe"); flaw != nil {
			return flaw
		}
		if flaw := oneOf(key("scope"), c.Scope, "all", "zone", "cell"); flaw != nil {
			return flaw
		}
		if flaw := oneOf(key("work.dist"), c.Work.Dist, "constant", "exponential", "lognormal", "hyperexponential",
			"trace"); flaw != nil {
			return flaw
		}
		switch {
		case c.Name == "":
			return &Flaw{Key: key("name"), Text: "is missing"}
		case slices.ContainsFunc(s.Classes[:i], func(o Class) bool { return o.Name == c.Name }):
			return &Flaw{Key: key("name"), Text: fmt.Sprintf("%q is there twice", c.Name)}
		case c.Share <= 0:
			return bad(key("share"), c.Share)
		case c.Work.Dist == "trace" && len(c.Work.Trace) == 0:
			return &Flaw{Key: key("work.trace"), Text: "is empty"}
		case c.Work.Dist != "trace" && c.Work.Mean[0] <= 0:
			return bad(key("work.mean"), c.Work.Mean[0])
		case slices.ContainsFunc(c.Work.Trace, func(v float64) bool { return v <= 0 }):
			return &Flaw{Key: key("work.trace"), Text: "holds a figure that is not above zero"}
		case c.Work.Dist == "lognormal" && c.Work.CV <= 0, c.Work.Dist == "hyperexponential" && c.Work.CV < 1:
			return bad(key("work.cv"), c.Work.CV)
		case c.Aim <= 0:
			return bad(key("aim"), c.Aim.D())
		case c.Deadline < c.Aim:
			return &Flaw{Key: key("deadline"), Text: "is before the aim"}
		case c.Repeat == "keyed" && c.Window <= 0:
			return bad(key("window"), c.Window.D())
		case c.Late < 0 || c.Late > 1:
			return bad(key("late"), c.Late)
		case c.Bytes[0] < 1:
			return bad(key("bytes"), c.Bytes[0])
		case c.Upload[0] < 0:
			return bad(key("upload"), c.Upload[0])
		}
	}
	for i := range s.Tenants {
		t := &s.Tenants[i]
		switch {
		case t.Name == "":
			return &Flaw{Key: at("tenants", i, "name"), Text: "is missing"}
		case t.Share <= 0:
			return bad(at("tenants", i, "share"), t.Share)
		case t.Quota < 0:
			return bad(at("tenants", i, "quota"), t.Quota)
		}
	}
	return nil
}

func (s *Scenario) checkTraffic() *Flaw {
	t := &s.Traffic
	if flaw := oneOf("traffic.process", t.Process, "steady", "poisson", "mmpp", "recorded"); flaw != nil {
		return flaw
	}
	switch {
	case t.Process == "recorded":
		if len(t.Times) == 0 {
			return &Flaw{Key: "traffic.times", Text: "is empty"}
		}
		for i, v := range t.Times {
			if v < 0 || i > 0 && v < t.Times[i-1] {
				return &Flaw{Key: "traffic.times[" + strconv.Itoa(i) + "]", Text: "does not rise"}
			}
		}
	case t.Rate[0] <= 0 && t.Load[0] <= 0:
		return &Flaw{Key: "traffic", Text: "needs a rate or a load"}
	case t.Rate[1] > 0 && t.Load[1] > 0:
		return &Flaw{Key: "traffic", Text: "has both a rate and a load"}
	case t.Process == "mmpp" && t.Dispersion < 1:
		return bad("traffic.dispersion", t.Dispersion)
	case t.Process == "mmpp" && (t.Share <= 0 || t.Share >= 1):
		return bad("traffic.share", t.Share)
	case t.Process == "mmpp" && (t.High < 1 || t.High*t.Share > 1):
		return &Flaw{Key: "traffic.high", Text: "times the share of the time in bursts must lie under 1"}
	}
	for i, p := range t.Shape {
		if p.At < 0 || i > 0 && p.At <= t.Shape[i-1].At {
			return &Flaw{Key: at("traffic.shape", i, "at"), Text: "does not rise"}
		}
		if p.Times < 0 {
			return bad(at("traffic.shape", i, "times"), p.Times)
		}
	}
	return nil
}

func (s *Scenario) checkRest() *Flaw {
	for _, w := range []struct {
		key, value string
		words      []string
	}{{"reports.how", s.Reports.How, []string{"answers", "polled"}},
		{"front.spread", s.Front.Spread, []string{"random", "in_turn"}},
		{"discovery.weights", s.Discovery.Weights, []string{"off", "nominal", "rough", "live"}},
		{"rules.worth_by", s.Rules.WorthBy, []string{"work", "request"}}} {
		if flaw := oneOf(w.key, w.value, w.words...); flaw != nil {
			return flaw
		}
	}
	switch c, d, n, l, r := &s.Clients, &s.Discovery, &s.Network, &s.Limits, &s.Rules; {
	case c.Retries < 0:
		return bad("clients.retries", c.Retries)
	case c.Growth < 1:
		return bad("clients.growth", c.Growth)
	case c.Honour < 0 || c.Honour > 1:
		return bad("clients.honour", c.Honour)
	case c.Impatient < 0 || c.Impatient > 1:
		return bad("clients.impatient", c.Impatient)
	case c.Connections < 1:
		return bad("clients.connections", c.Connections)
	case c.Churn < 0 || c.Churn > 1:
		return bad("clients.churn", c.Churn)
	case c.Patience[0] <= 0 || c.Patience[1] > 1:
		return bad("clients.patience", c.Patience)
	case d.Capacity <= 0:
		return bad("discovery.capacity", d.Capacity)
	case d.Patience <= 0:
		return bad("discovery.patience", d.Patience.D())
	case d.Blank <= 0:
		return bad("discovery.blank", d.Blank.D())
	case d.History < 0:
		return bad("discovery.history", d.History)
	case n.Same[0] <= 0:
		return bad("network.same", n.Same[0].D())
	case n.Cross[0] <= 0:
		return bad("network.cross", n.Cross[0].D())
	case n.Client[0] <= 0:
		return bad("network.client", n.Client[0].D())
	case n.Jitter < 0 || n.Jitter >= 1:
		return bad("network.jitter", n.Jitter)
	case n.Grain[0] < 0:
		return bad("network.grain", n.Grain[0].D())
	case s.Reports.How == "polled" && s.Reports.Every[0] <= 0:
		return bad("reports.every", s.Reports.Every[0].D())
	case n.Rate <= 0:
		return bad("network.rate", n.Rate)
	case l.MaxAttempts < 1:
		return bad("limits.max_attempts", l.MaxAttempts)
	case l.ConnectTimeout <= 0:
		return bad("limits.connect_timeout", l.ConnectTimeout.D())
	case l.IdleClose <= 0:
		return bad("limits.idle_close", l.IdleClose.D())
	case r.ColdFor > 0 && (r.ColdFrom <= 0 || r.ColdFrom > 1):
		return bad("rules.cold_from", r.ColdFrom)
	case r.ColdFor > 0 && r.OverloadFactor <= 0:
		return bad("rules.overload_factor", r.OverloadFactor)
	case r.FallFor <= 0:
		return bad("rules.fall_for", r.FallFor.D())
	}
	return nil
}

func (s *Scenario) checkFaults() *Flaw {
	nodes := 0
	for i := range s.Nodes {
		nodes += s.Nodes[i].Count
	}
	for i := range s.Faults {
		f := &s.Faults[i]
		key := func(k string) string { return at("faults", i, k) }
		k := KindOf(f.Kind)
		if k == nil {
			names := make([]string, len(Kinds))
			for i := range Kinds {
				names[i] = Kinds[i].Name
			}
			return oneOf(key("kind"), f.Kind, names...)
		}
		if f.When.Event != "" {
			if flaw := oneOf(key("when.event"), f.When.Event, Events...); flaw != nil {
				return flaw
			}
		}
		switch {
		case f.When.Count < 0 || f.When.Event == "" && (f.When.Count > 0 || len(f.When.Balancers) > 0):
			return &Flaw{Key: key("when.count"), Text: "counts an event from 1 on"}
		case f.When.Event != "" && (f.Times != Range{1, 1}):
			return &Flaw{Key: key("times"), Text: "what waits for an event comes once"}
		case k.Name == "other_name" && len(f.Balancers) < 2:
			return &Flaw{Key: key("balancers"), Text: "the one that runs is wanted, and then those that take its name"}
		case f.At[0] < 0:
			return bad(key("at"), f.At[0].D())
		case k.Lasts && f.For[0] <= 0:
			return &Flaw{Key: key("for"), Text: "is missing, or not above zero"}
		case k.Every && f.Every[0] <= 0:
			return &Flaw{Key: key("every"), Text: "is missing, or not above zero"}
		case k.Size != "" && (f.Size[0] < k.Min || f.Size[1] > k.Max):
			return &Flaw{Key: key("size"), Text: fmt.Sprintf("%v is out of range (%s, %v to %v)", f.Size, k.Size, k.Min, k.Max)}
		case f.Part[0] < 0 || f.Part[1] > 1:
			return bad(key("part"), f.Part)
		case f.Count[0] < 0:
			return bad(key("count"), f.Count)
		case f.Chance < 0 || f.Chance > 1:
			return bad(key("chance"), f.Chance)
		case f.Zone != "" && !slices.Contains(s.Zones, f.Zone):
			return &Flaw{Key: key("zone"), Text: fmt.Sprintf("%q is none of the zones", f.Zone)}
		case f.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == f.Class }):
			return &Flaw{Key: key("class"), Text: fmt.Sprintf("%q is none of the classes", f.Class)}
		case k.Name == "dark" && f.Zone == "":
			return &Flaw{Key: key("zone"), Text: "is missing"}
		case (k.On == "network" || k.On == "lines") && k.Name != "dark" && (f.From == "" || f.To == ""):
			return &Flaw{Key: key("from"), Text: "from and to are needed"}
		case k.On == "lines" && f.From != "balancers" && f.To != "balancers":
			return &Flaw{Key: key("from"), Text: "each line has balancers at one end, and balancers, nodes, discovery or clients at the other"}
		case k.Packets() && f.From != f.To:
			return &Flaw{Key: key("from"), Text: "packets pass between balancers alone"}
		case k.On == "lines" && f.From == f.To && !s.Balancers.Peers:
			return &Flaw{Key: key("from"), Text: "between balancers there are lines where they are peers"}
		}
		for _, end := range []struct{ key, value string }{{"from", f.From}, {"to", f.To}} {
			if end.value != "" && !slices.Contains(s.Zones, end.value) {
				if flaw := oneOf(key(end.key), end.value, "balancers", "nodes", "clients", "discovery"); flaw != nil {
					return flaw
				}
			}
		}
		for j, n := range f.Nodes {
			if n < 0 || n >= nodes {
				return bad(key("nodes")+"["+strconv.Itoa(j)+"]", n)
			}
		}
		for _, list := range []struct {
			key   string
			named []int
		}{{"balancers", f.Balancers}, {"when.balancers", f.When.Balancers}} {
			for j, n := range list.named {
				if n < 0 || n >= s.Balancers.Count {
					return bad(key(list.key)+"["+strconv.Itoa(j)+"]", n)
				}
			}
		}
	}
	return nil
}
