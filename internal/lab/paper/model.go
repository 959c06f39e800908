// Package paper owns the experiments of "Burstiness-aware load balancing" (the static and the online rule between greedy
// and random), run again in virtual mode with the balancer's own reducer: its two tables, our figures beside the
// paper's, and a verdict on each row. It must never tune a policy to a row, nor call a row lost or won that the interval
// over the seeds does not tell apart.
//
// # What is run
//
// One balancer, N sites that each serve one job at a time in order of arrival and turn nobody away, and nothing else: no
// network to speak of, no deadlines that bind, no faults. Jobs arrive by a two-state MMPP of a given index of
// dispersion. Every D all sites are asked for the jobs that they hold, all at one moment. Nobody probes for it: the lab
// hands each poll to the decider as the answer to a probe, past the reducer, whose platform has no probes. This is the
// same for all policies. Random looks at no report. Greedy (Qlen) and static K go by the polls alone. Ours has the polls
// and, as always, its own count of what it has out.
//
// # Time
//
// The paper's D is 1 s, the module's own window D is 250 ms, so that one second there is 250 ms here: the windows, and
// the module's other constants to them, keep the proportion they were set in. All figures are told in the paper's
// seconds. Where D is varied the module's window stays as it is, since it is a constant of ours and no setting.
//
// # What the paper leaves open
//
// The mean time between arrivals is 10 s, which with 16 sites at half load gives a mean service of 80 s. The paper says
// nothing of the distribution. As responses its Table I fits no such service (7.6 s is less than one), but as times of
// waiting both tables do. Without bursts random is then N queues M/M/1, which wait 80 s (80.5 there); a burst that comes
// all at once makes random wait S (1 + (I-1)/N) = 1640 s (1520.9); and random's 1089, 1109 and 1148 s at 8, 16 and 32
// sites grow by far less than the 40, 80 and 160 s that services would add. So services are exponential here, both times
// are told, and the paper's figure stands beside the wait. Services of other kinds are in the table of variations.
//
// Of the bursts the paper tells I for Table I, and for Table II a mean length of 6 s and 51 % of the jobs. The rest is read
// back from its own figures; see table1 and table2.
package paper

import (
	"fmt"
	"math"
	"time"

	"pewterrudder/internal/lab/scenario"
)

// scale is seconds here for one of the paper's: the module's window D over the paper's.
const scale = 0.25

// gap is the paper's mean time between arrivals, in its seconds.
const gap = 10.0

// System is one setting of the experiment. Times are the paper's seconds.
type System struct {
	Sites      int     `json:"sites"`
	Delay      float64 `json:"delay_s"` // D: between polls
	Load       float64 `json:"load"`
	Dispersion float64 `json:"dispersion"`
	Burst      float64 `json:"burst_s"`     // mean length of a burst
	Share      float64 `json:"burst_share"` // of the jobs that come in bursts
	Service    string  `json:"service"`     // distribution, as in scenario files
	CV         float64 `json:"cv,omitempty"`
	Gap        float64 `json:"gap_s"` // mean time between arrivals
	Balancers  int     `json:"balancers"`
}

// Mean is the mean service time.
func (s *System) Mean() float64 { return s.Load * float64(s.Sites) * s.Gap }

// states gives the MMPP's rate in bursts, over the mean rate, and the share of the time that they take. With m the mean
// rate, d the mean length of a burst, f the share of the jobs in bursts and p that of the time, the rates are a = m f/p
// and b = m (1-f)/(1-p), and the formula at chance.NewMMPP becomes I - 1 = 2 m d (f-p)^2 / p, of whose two roots the
// smaller has a > b.
func (s *System) states() (high, share float64) {
	if s.Dispersion <= 1 {
		return 1, 0.5
	}
	c := (s.Dispersion - 1) / (2 * s.Burst / s.Gap)
	sum := 2*s.Share + c
	p := 2 * s.Share * s.Share / (sum + math.Sqrt(sum*sum-4*s.Share*s.Share))
	return s.Share / p, p
}

// patience is longer than any wait, so that nobody leaves and no answer is late: a burst of the mean size on one site
// takes I/2 services, bursts are exponential, services may scatter by more, and a site that is loaded otherwise works
// it all off the slower. A run's clock goes on for so long after the last job, so it is no longer than it must be.
func (s *System) patience() time.Duration {
	return 10*time.Minute + time.Duration(5*(s.Dispersion+s.CV*s.CV)*s.Mean()/(1-s.Load)*scale*float64(time.Second))
}

func seconds(paper float64) scenario.Duration {
	return scenario.Duration(paper * scale * float64(time.Second))
}

// scenario makes the day on which so many jobs are expected.
func (s *System) scenario(jobs int) (*scenario.Scenario, error) {
	d := scenario.Default()
	sc := &d
	sc.Name = "paper"
	sc.Length = seconds(float64(jobs) * s.Gap)
	sc.Balancers.Count, sc.Balancers.Sockets = s.Balancers, 1<<28
	sc.Nodes = []scenario.Nodes{{Count: s.Sites, Kind: "site", Size: 1, CellSize: 1, Cores: 1, Queue: -1, Speed: scenario.Range{1, 1},
		ColdFrom: scenario.Range{1, 1}}}
	patience := scenario.Duration(s.patience())
	every := seconds(s.Delay)
	sc.Reports = scenario.Reports{Columns: []string{"held"}, How: "polled", Every: scenario.Span{every, every}}
	work := 1000 * s.Mean() * scale
	sc.Classes = []scenario.Class{{Name: "job", Share: 1, Repeat: "safe", Scope: "all", Worth: 1, Late: 1, Bytes: scenario.Range{1, 1},
		Work: scenario.Work{Mean: scenario.Range{work, work}, Dist: s.Service, CV: s.CV},
		Aim:  patience, Deadline: patience}}
	rate := 1 / (s.Gap * scale)
	sc.Traffic = scenario.Traffic{Rate: scenario.Range{rate, rate}, Process: "poisson"}
	if s.Dispersion > 1 {
		sc.Traffic.Process, sc.Traffic.Dispersion = "mmpp", s.Dispersion
		sc.Traffic.High, sc.Traffic.Share = s.states()
	}
	sc.Clients.Churn, sc.Clients.Connections = 0, 1<<20
	instant := scenario.Span{scenario.Duration(time.Microsecond), scenario.Duration(time.Microsecond)}
	sc.Network.Same, sc.Network.Cross, sc.Network.Client, sc.Network.Jitter = instant, instant, instant, 0
	sc.Limits.MaxAttempts, sc.Limits.SecondCopies = 1, false
	// Connections wait through a queue, and a close for want of use means nothing here.
	sc.Limits.IdleClose = patience
	sc.Limits.ConnectTimeout = scenario.Duration(time.Second)
	sc.Rules.ColdFor = 0
	if flaw := sc.Check(); flaw != nil {
		return nil, fmt.Errorf("paper: %s %s", flaw.Key, flaw.Text)
	}
	return sc, nil
}
