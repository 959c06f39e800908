package eureka

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

// Pacing are the figures of a Pacer. Zero takes the default.
type Pacing struct {
	Every    time.Duration // between polls that are answered
	Gap      time.Duration // without an answer, until a further attempt is begun beside the first
	Pause    time.Duration // the longest pause after a call that failed outright
	Patience time.Duration // the first attempt is kept open for so long
	Alone    time.Duration // the longest that an address which failed is left alone while another may answer

	// Balancers share a registry that serves Served calls a second, where both are known: polls and further attempts
	// are then spread so that all of them together ask no more than that. 0: not known.
	Balancers int
	Served    float64
}

const (
	defaultEvery = 5 * time.Second // what a list has to tell counts as told after 6 s
	// defaultGap and defaultPause bound how long a registry that is well again goes unasked.
	defaultGap   = 1100 * time.Millisecond
	defaultPause = time.Second
	// defaultPatience lets a registry that serves five calls a second work through a thousand: a call that is given
	// up has waited for nothing, and has the next one wait behind it all the same.
	defaultPatience = 5 * time.Minute
	defaultAlone    = 30 * time.Second

	mostDoubled   = 4                      // so that six or seven attempts are out at most, each a socket
	shortestPause = 200 * time.Millisecond // also with many addresses
	firstAlone    = 2 * time.Second        // doubled with each failure
	// longestGap is kept to a registry whose answers are known to take long.
	longestGap = 30 * time.Second
	// longestRetryAfter is what a Retry-After is believed up to: a proxy before a registry that is down gives it too,
	// and the registry may be well a second later. To refuse a call a second costs it little.
	longestRetryAfter = 1200 * time.Millisecond
)

func (s *Pacing) defaults() {
	set := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	set(&s.Every, defaultEvery)
	set(&s.Gap, defaultGap)
	set(&s.Pause, defaultPause)
	set(&s.Patience, defaultPatience)
	set(&s.Alone, defaultAlone)
}

// Pacer decides when which address is asked, and when an attempt is given up. It is pure: time and randomness are
// handed in, and it opens nothing.
//
// Two troubles look the same from outside, and want the opposite. Behind a registry that has stopped, an old attempt is
// worth nothing and a new one must begin within a second of its recovery. Behind one that works through a crowd in
// turn, the oldest attempt is next, and each new one makes the queue longer. So the first attempt is kept (Patience),
// further ones begin beside it (Gap) and live for 2, 4, 2, 8, 2, 4, 2, 16 ... 32 gaps: there are always young ones, some
// old ones, and never many. Where the last two answers both took long it is a queue, and
// the gap grows with them.
type Pacer struct {
	set       Pacing
	rnd       *rand.Rand
	addresses []standing
	current   int // the address that answered last, or is tried first
	ring      int // the address that was tried last
	tries     []try
	ids       int
	raced     int           // further attempts since the last end of all
	nextAt    time.Duration // the next poll, while none is out
	raceAt    time.Duration // the next further attempt, while one is out
	failed    int           // calls that failed, since the last answer
	took      [2]time.Duration
	answered  int
}

type standing struct {
	failed int
	until  time.Duration // left alone
}

type try struct {
	id, at      int
	began, ends time.Duration
	head        time.Duration // from its beginning to its answer's head; 0: none yet
	reading     bool
	hung        bool // a further attempt has begun beside it
}

// Begin is an attempt to be made.
type Begin struct{ ID, Address int }

// Step is what is to be done at once; with no attempt to begin, the next step is due at Wake.
type Step struct {
	Stop  []int // attempts to be given up
	Begin *Begin
	Wake  time.Duration
	Hung  bool // the attempt that is out has been silent for so long that another begins: said once
}

// NewPacer makes a pacer for so many addresses, whose first poll is due at once.
func NewPacer(set Pacing, addresses int, rnd *rand.Rand) *Pacer {
	set.defaults()
	return &Pacer{set: set, rnd: rnd, addresses: make([]standing, addresses), ring: -1}
}

// around draws from d, more or less a share of it.
func (p *Pacer) around(d time.Duration, share float64) time.Duration {
	return time.Duration(float64(d) * (1 - share + 2*share*p.rnd.Float64()))
}

// crowd is how long all who share the registry take to ask it once.
func (p *Pacer) crowd() time.Duration {
	if p.set.Served <= 0 {
		return 0
	}
	return time.Duration(float64(p.set.Balancers) / p.set.Served * float64(time.Second))
}

// slow is how long answers are known to take: the shorter of the last two, so that one answer at the end of an outage
// is not taken for a queue.
func (p *Pacer) slow() time.Duration { return min(p.took[0], p.took[1]) }

func (p *Pacer) gap() time.Duration {
	d := p.set.Gap
	if n := len(p.addresses); n > 1 {
		d = max(d/time.Duration(n), shortestPause)
	}
	return p.around(max(d, min(3*p.slow(), longestGap), p.crowd()), 0.15)
}

// Step says what is due.
func (p *Pacer) Step(now time.Duration) Step {
	var s Step
	kept := p.tries[:0]
	for _, t := range p.tries {
		if now < t.ends || t.reading {
			kept = append(kept, t)
			continue
		}
		s.Stop = append(s.Stop, t.id)
		p.blame(now, t.at)
	}
	p.tries = kept
	switch {
	case len(p.tries) == 0:
		if len(s.Stop) > 0 { // the last one has used up its patience
			p.nextAt = now
		}
		if now < p.nextAt {
			s.Wake = p.nextAt
			return s
		}
		s.Begin = p.begin(now, p.set.Patience)
		p.raced = 0
	case p.reads():
		s.Wake = now + time.Hour // reading is bounded by whoever reads
		return s
	case now >= p.raceAt:
		s.Hung = !p.tries[0].hung
		for i := range p.tries {
			if t := &p.tries[i]; !t.hung {
				t.hung = true
				p.blame(now, t.at)
			}
		}
		p.raced++
		lives := min(p.set.Gap<<(1+min(bits.TrailingZeros(uint(p.raced)), mostDoubled)), p.set.Patience)
		s.Begin = p.begin(now, max(lives, p.crowd()))
	}
	s.Wake = p.raceAt
	for _, t := range p.tries {
		s.Wake = min(s.Wake, t.ends)
	}
	return s
}

func (p *Pacer) reads() bool {
	return slices.ContainsFunc(p.tries, func(t try) bool { return t.reading })
}

func (p *Pacer) begin(now, lives time.Duration) *Begin {
	at := p.choose(now)
	p.ids++
	p.ring = at
	p.tries = append(p.tries, try{id: p.ids, at: at, began: now, ends: now + lives})
	p.raceAt = now + p.gap()
	return &Begin{p.ids, at}
}

// choose takes the address that answered last, unless it is to be left alone or an attempt there is still out; else the
// next one in turn that is not left alone; else, since all have failed, the next one in turn: each is then asked as often.
func (p *Pacer) choose(now time.Duration) int {
	if now >= p.addresses[p.current].until && !slices.ContainsFunc(p.tries, func(t try) bool { return t.at == p.current }) {
		return p.current
	}
	n := len(p.addresses)
	for i := range n {
		if at := (p.ring + 1 + i) % n; now >= p.addresses[at].until {
			return at
		}
	}
	return (p.ring + 1) % n
}

func (p *Pacer) blame(now time.Duration, at int) {
	a := &p.addresses[at]
	a.failed++
	a.until = now + p.around(min(firstAlone<<min(a.failed-1, 10), p.set.Alone), 0.25)
}

func (p *Pacer) find(id int) int {
	return slices.IndexFunc(p.tries, func(t try) bool { return t.id == id })
}

// Reading says that an attempt has its answer's head and reads on (or, with false, that it asks again): nothing is
// begun beside it meanwhile, and whoever reads bounds the time.
func (p *Pacer) Reading(now time.Duration, id int, on bool) {
	i := p.find(id)
	if i < 0 {
		return
	}
	t := &p.tries[i]
	t.reading = on
	if t.head == 0 {
		t.head = now - t.began
	}
	t.ends = max(t.ends, now+2*p.set.Gap)
	p.raceAt = now + p.gap()
}

// Answered says that an attempt has given the list. All others are to be given up.
func (p *Pacer) Answered(now time.Duration, id int) (stop []int) {
	i := p.find(id)
	if i < 0 {
		return nil
	}
	good := p.tries[i]
	for _, t := range p.tries {
		if t.id == id {
			continue
		}
		stop = append(stop, t.id)
		if t.at != good.at && t.began < good.began {
			p.blame(now, t.at)
		}
	}
	p.tries = p.tries[:0]
	p.addresses[good.at] = standing{}
	p.current, p.failed = good.at, 0
	took := good.head // what reading takes is the list's size, and says nothing of a queue
	if took == 0 {
		took = now - good.began
	}
	p.took[p.answered%2] = took
	if p.answered == 0 {
		p.took[1] = took
	}
	p.answered++
	p.nextAt = now + p.around(max(p.set.Every, p.slow(), p.crowd()), 0.1)
	return stop
}

// Failed says that an attempt has failed outright; after is what the registry asked to be left alone for, or 0.
func (p *Pacer) Failed(now time.Duration, id int, after time.Duration) {
	i := p.find(id)
	if i < 0 {
		return
	}
	at, spent := p.tries[i].at, now-p.tries[i].began
	p.tries = slices.Delete(p.tries, i, i+1)
	p.blame(now, at)
	p.failed++
	a := &p.addresses[at]
	after = min(after, longestRetryAfter)
	if after > 0 {
		a.until = max(a.until, now+p.around(after, 0.1))
	}
	n := time.Duration(len(p.addresses))
	pause := max(min(p.set.Pause>>2<<min(p.failed, 3), p.set.Pause)/n, shortestPause)
	pause = max(p.around(pause, 0.25)-spent, p.around(shortestPause/2, 0.5), p.around(min(p.crowd(), longestGap), 0.5))
	if slices.ContainsFunc(p.addresses, func(a standing) bool { return now >= a.until }) {
		pause = p.around(shortestPause/2, 0.9) // another may answer
	} else if n == 1 {
		pause = max(pause, p.around(after, 0.1))
	}
	p.nextAt = now + pause
	if len(p.tries) > 0 {
		p.raceAt = min(p.raceAt, p.nextAt)
	}
}
