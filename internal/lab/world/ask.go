package world

import "time"

// Op is what a client wants, over all its tries: the world counts worth, latency and effects by it.
type Op struct {
	Serial  uint64
	Class   int
	Tenant  int // -1: none
	Zone    int // of the client
	Work    float64
	Key     string
	Due     time.Duration // when the first try was due; latency counts from here
	Until   time.Duration // when the client's patience ends, over all tries
	Tries   int
	Out     int // tries not yet over
	Settled bool
	Worth   float64 // of an answer in time
	Lent    int     // tries and jobs that refer to it
	Runs    []Run   // where it may have had its effect; kept for classes that may not be repeated freely
}

// Run is one group of app nodes at which an Op was taken, which drops repeats for the class's window.
type Run struct {
	Zone  int
	At    time.Duration // when the first attempt of the group came
	Began bool
}
