package capacity

import "time"

// Site is a size to plan for, as operators announce one.
type Site struct {
	Balancers int
	Nodes     int // app nodes
	Pools     int // one for each service
	Routes    int
	Tenants   int
	Calls     float64 // a second, over all balancers
	Regions   int
	Zones     int
	Machines  int // of control, on which the store of settings runs
	Changes   int // of settings, a day

	Control Control // what the control work of one balancer may take
	Added   float64 // milliseconds that a call may take longer at 99 %
	Within  time.Duration
}

// Control is the budget of what a balancer does beside carrying calls.
type Control struct {
	Core   float64 // share of a core
	Memory float64 // MB
	Bytes  float64 // a second
}

// Coming is the size that is coming, as it was announced.
var Coming = Site{Balancers: 3000, Nodes: 26_000, Pools: 550, Routes: 10_000, Tenants: 300_000, Calls: 670_000, Regions: 3, Zones: 9, Machines: 12,
	Changes: 2600, Control: Control{Core: 0.019, Memory: 64, Bytes: 4000}, Added: 4.1, Within: 4 * time.Second}

// Event is something that a day brings. Most of what one moves is the announcement's; what is not is said in Taken.
type Event struct {
	Name     string
	Day      float64 // how often a day
	Entries  int     // of the list of app nodes that change, all told
	Keys     int     // of the settings that change
	Fellows  int     // other balancers that go, or come back
	Peak     float64 // of it a second at the busiest, or 0: one comes alone
	Taken    string  // what we took where nothing was announced
	Restarts int     // balancers that start and read everything
}

const (
	perMachine = 10  // app nodes to a machine: not announced
	perRack    = 40  // machines to a rack: not announced
	ways       = 2   // a thing that goes and comes back is told twice
	perRelease = 3   // one drains, it goes, another comes
	workday    = 8.0 // hours in which a day's planned work is done
)

// Events of a day at a site.
func (s Site) Events() []Event {
	zone := (s.Nodes + s.Zones - 1) / s.Zones
	fellows := (s.Balancers + s.Zones - 1) / s.Zones
	away := s.Nodes - s.Nodes/s.Regions
	apart := s.Balancers - s.Balancers/s.Regions
	perSecond := func(day float64) float64 { return day / (workday * 3600) }
	return []Event{
		{Name: "a change of settings", Day: float64(s.Changes), Keys: 1, Peak: perSecond(float64(s.Changes)),
			Taken: "all within 8 hours"},
		{Name: "an app node is restarted or replaced", Day: 8100, Entries: perRelease, Peak: perSecond(8100),
			Taken: "told three times: it drains, it goes, another comes; all within 8 hours"},
		{Name: "a machine fails", Day: 110, Entries: ways * perMachine, Taken: "10 app nodes to a machine; they come back"},
		{Name: "a rack or switch", Day: 1.0 / 7, Entries: ways * perMachine * perRack, Taken: "40 machines to a rack, 10 app nodes to a machine"},
		{Name: "a zone goes and comes back", Day: 1.5 / 365, Entries: ways * zone, Fellows: ways * fellows, Restarts: fellows,
			Taken: "a ninth of the app nodes and of the balancers, all told at once"},
		{Name: "the regions are apart for 3 minutes", Day: 1.0 / 365, Entries: ways * away, Fellows: ways * apart,
			Taken: "once a year; each region loses sight of the other two and gets all back at once"},
	}
}
