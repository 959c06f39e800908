package capacity

import (
	"fmt"
	"regexp"
	"strings"
	"time"

	"pewterrudder/internal/lab/flowrig"
)

const (
	// readyFor bounds a start: 300,000 tenants take seconds.
	readyFor = 30 * time.Second
	// quietEach is a look at the processor time, and quietMost how long work is waited for to end: a change has to be in force
	// by then.
	quietEach = 100 * time.Millisecond
	quietMost = 4 * time.Second
	// quietLooks in a row with no more than the resting share, and a little for what a look finds by chance, mean that it has.
	quietLooks = 3
	quietSlack = 2 * time.Millisecond
	restFor    = 700 * time.Millisecond
	// roomy is a limit on memory that the collector never comes near, so that what is held shows.
	roomy = 4096
	// asInstalled is the default limit: the smallest machine's.
	asInstalled = 192
)

// balancer is a process of the program that is measured, with its installation.
type balancer struct {
	*flowrig.Process
	installation
	rest float64 // share of a core at rest
}

// start a balancer, and wait until it has taken up what it was told.
func start(program string, n installation) (*balancer, error) {
	addr, err := flowrig.FreeAddr()
	if err != nil {
		return nil, err
	}
	if n.memoryMB == 0 {
		n.memoryMB = roomy
	}
	p, err := flowrig.StartConfigured(program, addr, n.config(addr, 0), n.settings(0), readyFor)
	if err != nil {
		return nil, err
	}
	b := &balancer{Process: p, installation: n}
	if err = b.settle(); err == nil {
		b.rest, err = b.idle(restFor)
	}
	if err != nil {
		p.Stop()
		return nil, err
	}
	return b, nil
}

// idle is the share of a core that it takes for a while.
func (b *balancer) idle(during time.Duration) (share float64, err error) {
	before, err := b.CPU()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	time.Sleep(during)
	after, err := b.CPU()
	return (after - before).Seconds() / time.Since(began).Seconds(), err
}

// settle waits until the process does no more than it does at rest, or the patience is over.
func (b *balancer) settle() error {
	last, err := b.CPU()
	quiet := 0
	for until := time.Now().Add(quietMost); err == nil && quiet < quietLooks && time.Now().Before(until); {
		time.Sleep(quietEach)
		var now time.Duration
		now, err = b.CPU()
		if quiet++; now-last > time.Duration(1.5*b.rest*float64(quietEach))+quietSlack {
			quiet = 0
		}
		last = now
	}
	return err
}

// spent is the processor time of something that is done to the process, beyond what it takes at rest.
func (b *balancer) spent(do func() error) (time.Duration, error) {
	before, err := b.CPU()
	if err != nil {
		return 0, err
	}
	began := time.Now()
	if err := do(); err != nil {
		return 0, err
	}
	if err := b.settle(); err != nil {
		return 0, err
	}
	after, err := b.CPU()
	return max(0, after-before-time.Duration(b.rest*float64(time.Since(began)))), err
}

// reload changes a tenant's quota, or a route, and gives the processor time and the most memory, in MB, that it took, and the
// share of a core that the process takes from then on.
func (b *balancer) reload() (took time.Duration, peak, rest float64, err error) {
	if err = b.Configure(b.config(b.Addr, 1), b.settings(1)); err != nil {
		return 0, 0, 0, err
	}
	if err = b.ForgetPeak(); err != nil {
		return 0, 0, 0, err
	}
	before := strings.Count(b.Log(), "reload: ")
	took, err = b.spent(func() error {
		if err := b.Reload(); err != nil {
			return err
		}
		for until := time.Now().Add(readyFor); strings.Count(b.Log(), "reload: ") <= before; time.Sleep(5 * time.Millisecond) {
			if time.Now().After(until) {
				return fmt.Errorf("no reload: %s", b.Log())
			}
		}
		return nil
	})
	if err != nil {
		return 0, 0, 0, err
	}
	if strings.Contains(b.Log(), "the old configuration stays") {
		return 0, 0, 0, fmt.Errorf("the reload was refused: %s", b.Log())
	}
	if peak, err = b.peak(); err == nil {
		rest, err = b.idle(restFor)
	}
	return took, peak, rest, err
}

// soFar is the processor time since the start and the most resident memory, in MB.
func (b *balancer) soFar() (took time.Duration, peak float64, err error) {
	if took, err = b.CPU(); err == nil {
		peak, err = b.peak()
	}
	return took, peak, err
}

// peak is the most resident memory so far, in MB.
func (b *balancer) peak() (float64, error) {
	_, most, err := b.Memory()
	return float64(most) / 1024, err
}

// paths are of this machine, and no part of why a program refuses something.
var paths = regexp.MustCompile(`(^| )/\S*:`)

// refusal is the last line of what a program said that did not start.
func refusal(err error) string {
	lines := strings.Split(strings.TrimSpace(err.Error()), "\n")
	text := lines[len(lines)-1]
	if _, rest, ok := strings.Cut(text, "pewterrudder: "); ok {
		text = rest
	}
	text = paths.ReplaceAllString(text, "")
	const most = 160
	if len(text) > most {
		text = text[:most]
	}
	return text
}
