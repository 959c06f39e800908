package hollow

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"

	"pewterrudder/internal/config"
	"pewterrudder/internal/reducer"
	"pewterrudder/internal/registry"
)

// Cost is what one balancer's list takes, by its parts. Bytes are those on the heap that stay reachable, times are CPU.
type Cost struct {
	AppNodes       int     `json:"app_nodes"`
	Pools          int     `json:"pools"`
	WireBytes      int     `json:"wire_bytes"`
	DecodedBytes   int64   `json:"decoded_bytes"` // the list as decoded, before the reducer has it
	HeldBytes      int64   `json:"held_bytes"`    // reducer and module with the list in force, and nothing else
	EmptyBytes     int64   `json:"empty_bytes"`   // reducer and module without a list
	DecodeMs       float64 `json:"decode_ms"`
	TakeMs         float64 `json:"take_ms"` // until it is in force
	AgainMs        float64 `json:"again_ms"`
	ChangeUs       float64 `json:"change_us"`        // one entry: decoded and in force
	DecodePeakMB   float64 `json:"decode_peak_mb"`   // allocated by the decoding, garbage included
	LongestBlockMs float64 `json:"longest_block_ms"` // the longest event of a whole list
}

// started maps Unix milliseconds on a clock that begins when the list does.
func started(ms float64) time.Duration { return clockStart + config.FromMs(ms-float64(epoch)) }

// onCPU is the time that this thread has had; the goroutine must be locked to it.
func onCPU() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		panic(err) // every Linux has this clock
	}
	return time.Duration(t.Nano())
}

func reachable() (held int64, ever uint64) {
	runtime.GC()
	runtime.GC() // the first leaves what finalizers and pools hold
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc), m.TotalAlloc
}

// Measure takes the cost of one balancer's list apart, in a folder of the caller's.
func Measure(folder string, nodes, pools int) (*Cost, error) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	l := newList(nodes, 1, pools)
	if err := divide(folder, pools); err != nil {
		return nil, err
	}
	c := &Cost{AppNodes: nodes, Pools: pools, WireBytes: len(l.whole)}
	for range 2 { // the first makes what is made once
		before, _ := reachable()
		cfg, err := configure(folder, 0, Balancers, nowhere)
		if err != nil {
			return nil, err
		}
		red, err := state(cfg)
		if err != nil {
			return nil, err
		}
		b := &replica{red: red}
		b.alone()
		b.take(reducer.Started{Discovery: cfg.Discovery})
		empty, ever := reachable()
		c.EmptyBytes = empty - before
		from := onCPU()
		told, err := registry.Decode(l.whole, started)
		c.DecodeMs = ms(onCPU() - from)
		if err != nil {
			return nil, err
		}
		decoded, after := reachable()
		c.DecodedBytes, c.DecodePeakMB = decoded-empty, float64(after-ever)/(1<<20)
		b.longest = 0
		c.TakeMs = ms(b.take(reducer.Listed{Watch: b.watch, List: told}))
		c.LongestBlockMs = ms(b.longest)
		told = reducer.List{}
		held, _ := reachable()
		c.HeldBytes = held - empty
		if told, err = registry.Decode(l.whole, started); err != nil {
			return nil, err
		}
		c.AgainMs = ms(b.take(reducer.Listed{Watch: b.watch, List: told}))
		from = onCPU()
		const changes = 50
		for i := range changes {
			one := *l
			one.revision += int64(i) + 1
			one.nodes[i].since += 1000
			told, err := registry.Decode(one.text(false, []int{i}), started)
			if err != nil {
				return nil, err
			}
			b.take(reducer.Listed{Watch: b.watch, List: told})
		}
		c.ChangeUs = ms(onCPU()-from) * 1000 / changes
		runtime.KeepAlive(b)
	}
	return c, nil
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
