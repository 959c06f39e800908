package hollow

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"

	"pewterrudder/internal/lab/kvrig"
)

// Sockets says what is played over loopback.
type Sockets struct {
	Balancers int           `json:"balancers"`
	Whole     int           `json:"balancers_with_the_whole_list"`
	AppNodes  int           `json:"app_nodes"`
	Pools     int           `json:"pools"`
	Every     int           `json:"the_rest_hold_one_in"`
	Steady    time.Duration `json:"steady_ns"`
	Changes   int           `json:"changes"`
	Rolling   int           `json:"rolling_at_a_time"` // balancers of a step
	Restarts  int           `json:"restarts_at_once"`
	Most      time.Duration `json:"most_ns"` // of one wait
}

// startStep is how many start at a time before the first scene: more of them keep one machine's cores from the rest.
const startStep = 50

// speaker is a source to which lines can be said: in this process, or in one of its own.
type speaker func(line string) (string, error)

// Child runs a source in a process of its own; command is the line that starts one.
func Child(command []string) (speaker, func(), error) {
	child := exec.Command(command[0], command[1:]...)
	child.Stderr, child.SysProcAttr = os.Stderr, &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := child.StdoutPipe()
	if err != nil {
		return nil, nil, err
	}
	in, err := child.StdinPipe()
	if err != nil {
		return nil, nil, err
	}
	if err := child.Start(); err != nil {
		return nil, nil, err
	}
	read := bufio.NewReader(out)
	say := func(line string) (string, error) {
		if _, err := io.WriteString(in, line+"\n"); err != nil {
			return "", err
		}
		answer, err := read.ReadString('\n')
		answer = strings.TrimSpace(answer)
		if text, wrong := strings.CutPrefix(answer, "error "); wrong {
			return "", errors.New(text)
		}
		return answer, err
	}
	return say, func() {
		in.Close()
		child.Process.Kill()
		child.Wait()
	}, nil
}

// crowd is all balancers of a play.
type crowd struct {
	plan   Sockets
	folder string
	say    speaker
	whole  string
	part   string
	on     *board
	all    []*balancer
	result *Result
}

// PlaySockets plays all scenes over loopback.
func PlaySockets(plan Sockets, folder string, say speaker, progress func(string)) (*Result, error) {
	if plan.Whole > plan.Balancers || plan.Balancers < 1 || plan.Every < 1 || plan.AppNodes < Zones*plan.Every {
		return nil, fmt.Errorf("hollow: %d balancers, %d of them whole, and one in %d of %d app nodes do not go together",
			plan.Balancers, plan.Whole, plan.Every, plan.AppNodes)
	}
	c := &crowd{plan: plan, folder: folder, say: say, on: newBoard(plan.Balancers), all: make([]*balancer, plan.Balancers),
		result: &Result{Form: "sockets", Sockets: &plan, AppNodes: plan.AppNodes}}
	if err := divide(folder, plan.Pools); err != nil {
		return nil, err
	}
	addresses, err := say("addresses")
	if err != nil {
		return nil, err
	}
	c.whole, c.part, _ = strings.Cut(addresses, " ")
	defer func() {
		for _, b := range c.all {
			if b != nil {
				b.stop()
			}
		}
	}()
	revision := int64(1)
	turn := func(line string) (time.Time, error) {
		at := time.Now()
		answer, err := c.say(line)
		if err == nil {
			revision, err = strconv.ParseInt(answer, 10, 64)
		}
		return at, err
	}
	change := func(name, line string, times, entries int) error {
		return c.scene(name, upTo(0, plan.Balancers), times, entries, func() (time.Time, error) { return turn(line) }, func() int64 { return revision })
	}
	restart := func(name string, indices []int) error {
		return c.scene(name, indices, 1, 0, func() (time.Time, error) {
			at := time.Now()
			return at, c.restart(indices)
		}, func() int64 { return revision })
	}
	progress("first start of all")
	if err := c.rolling("first start of all", startStep, revision); err != nil {
		return nil, err
	}
	progress("steady, nothing changes")
	if err := c.steady(plan.Steady); err != nil {
		return nil, err
	}
	progress("changes")
	if err := change(fmt.Sprintf("%d changes of one app node", plan.Changes), "change", plan.Changes, 1); err != nil {
		return nil, err
	}
	for _, word := range []string{"lose", "return"} {
		progress("a zone: " + word)
		name := map[string]string{"lose": "a zone is lost", "return": "the zone is back"}[word]
		if err := change(name, word+" 4", 1, plan.AppNodes/Zones); err != nil {
			return nil, err
		}
	}
	if plan.Restarts > 0 {
		progress("restarts at once")
		// Those with the whole list come first, so that all of them are among the restarted.
		if err := restart(fmt.Sprintf("%d restarts at once", plan.Restarts), upTo(0, plan.Restarts)); err != nil {
			return nil, err
		}
	}
	if plan.Rolling > 0 {
		progress("rolling restart")
		if err := c.rolling("rolling restart of all", plan.Rolling, revision); err != nil {
			return nil, err
		}
	}
	c.result.finish()
	return c.result, nil
}

// restart ends some and starts them anew, each with no list.
func (c *crowd) restart(indices []int) error {
	for _, i := range indices {
		if c.all[i] != nil {
			c.all[i].stop()
			c.all[i] = nil
		}
		c.on.forget(i)
	}
	for _, i := range indices {
		at := c.part
		if i < c.plan.Whole {
			at = c.whole
		}
		b, err := start(c.folder, i, c.plan.Balancers, at, c.on)
		if err != nil {
			return err
		}
		c.all[i] = b
	}
	return nil
}

func (c *crowd) load() (l Load, err error) {
	answer, err := c.say("load")
	if err != nil {
		return l, err
	}
	return l, json.Unmarshal([]byte(answer), &l)
}

// scene does something so many times, and waits each time until those that it is for have what it made.
func (c *crowd) scene(name string, among []int, often, entries int, do func() (time.Time, error), revision func() int64) error {
	if _, err := c.load(); err != nil {
		return err
	}
	cpu, ends, begun := processCPU(), c.ends(), time.Now()
	var times []time.Duration
	for range often {
		at, err := do()
		if err != nil {
			return err
		}
		times = append(times, c.on.wait(among, revision(), at, c.plan.Most)...)
	}
	after, err := c.load()
	if err != nil {
		return err
	}
	n := float64(len(among) * often)
	c.result.add(Scene{Name: name, Entries: entries, Reached: len(times), Of: len(among) * often, Lasts: summarize(times),
		CPUMsEach: ms(processCPU()-cpu) / n, BytesEach: float64(after.Bytes) / n, Source: after, WatchesEnded: c.ends() - ends,
		PeakResidentMB: kvrig.Resident("VmHWM"), Seconds: time.Since(begun).Seconds()})
	return nil
}

func (c *crowd) ends() int {
	c.on.mu.Lock()
	defer c.on.mu.Unlock()
	return c.on.ends
}

// steady lets all watch while nothing happens, and counts what that takes.
func (c *crowd) steady(last time.Duration) error {
	if _, err := c.load(); err != nil {
		return err
	}
	cpu, ends, at := processCPU(), c.ends(), time.Now()
	time.Sleep(last) // a measured while: nothing is waited for
	after, err := c.load()
	if err != nil {
		return err
	}
	n, took := float64(c.plan.Balancers), time.Since(at)
	c.result.add(Scene{Name: "steady, nothing changes", Steady: true, Seconds: took.Seconds(),
		CPUMsEach: ms(processCPU()-cpu) / n, CoreShare: (processCPU() - cpu).Seconds() / took.Seconds() / n,
		BytesEach: float64(after.Bytes) / n, BytesSecondEach: float64(after.Bytes) / n / took.Seconds(),
		Source: after, WatchesEnded: c.ends() - ends, PeakResidentMB: kvrig.Resident("VmHWM")})
	return nil
}

// rolling restarts all, some at a time: the next step comes when the last one has its lists. The times are those of a step.
func (c *crowd) rolling(name string, step int, revision int64) error {
	if _, err := c.load(); err != nil {
		return err
	}
	cpu, ends, begun := processCPU(), c.ends(), time.Now()
	var times []time.Duration
	for from := 0; from < c.plan.Balancers; from += step {
		indices := upTo(from, min(from+step, c.plan.Balancers))
		at := time.Now()
		if err := c.restart(indices); err != nil {
			return err
		}
		times = append(times, c.on.wait(indices, revision, at, c.plan.Most)...)
	}
	after, err := c.load()
	if err != nil {
		return err
	}
	n := float64(c.plan.Balancers)
	c.result.add(Scene{Name: fmt.Sprintf("%s, %d at a time", name, step), Reached: len(times), Of: c.plan.Balancers,
		Lasts: summarize(times), CPUMsEach: ms(processCPU()-cpu) / n, BytesEach: float64(after.Bytes) / n, Source: after,
		WatchesEnded: c.ends() - ends, PeakResidentMB: kvrig.Resident("VmHWM"), Seconds: time.Since(begun).Seconds()})
	return nil
}
