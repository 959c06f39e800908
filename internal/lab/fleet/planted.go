package fleet

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"pewterrudder/internal/lab/fleet/shaky"
	"pewterrudder/internal/lab/planted"
	"pewterrudder/internal/lab/rebuilt"
	"pewterrudder/internal/lab/scenario"
)

// Defect is a change to the balancer that one process alone does not show, and the cases on which the rig is to find it.
type Defect struct {
	planted.Fault
	Cases []string // of Cases, or where the defect is of peers, of PeerCases
	Peers bool
	// More and Bolt are what else has to be otherwise, in the source and in the store's library, so that it does not cover for it.
	More []planted.Fault
	Bolt []shaky.Bolt
}

// Defects are those that the rig must find. Each is of a kind that a change in good faith could bring.
var Defects = []Defect{
	{Fault: planted.Fault{Name: "asks-at-once", About: "after a failed call discovery is asked again at once", File: "brain/discovery.go",
		Old: `n.arm(&n.askArmed, time.Second/2+time.Duration(n.rng.Float64()*float64(time.Second)), cookieAsk)`,
		New: `n.arm(&n.askArmed, 20*time.Millisecond, cookieAsk)`}, Cases: []string{"power-loss", "damaged-list"}},
	{Fault: planted.Fault{Name: "asks-in-step", About: "all balancers wait alike before they ask discovery, as long as it is down", File: "brain/discovery.go",
		Old: `n.arm(&n.askArmed, time.Second/2+time.Duration(n.rng.Float64()*float64(time.Second)), cookieAsk)`,
		New: `n.arm(&n.askArmed, time.Second-n.now%time.Second, cookieAsk)`}, Cases: []string{"power-loss", "power-loss-blank"}},
	{Fault: planted.Fault{Name: "cold-share-unshared", About: "each balancer gives a cold app node what it bears from all of them", File: "brain/slowstart.go",
		Old: `	rate := n.answerRate * s.size * warmth` + "\n",
		New: `	rate := n.answerRate * s.size * warmth * n.sharers()` + "\n"}, Cases: []string{"half-cold"}},
	{Fault: planted.Fault{Name: "cold-room-from-warm-alone", About: "room at cold app nodes is learned where one is warm, and else there is none",
		File: "brain/slowstart.go",
		Old:  `	n.answerRate += (1 - math.Exp(-dt/timeConstant)) * (allowed/dt - n.answerRate)`,
		New:  `	if warmSize > 0 {` + "\n" + `		n.answerRate += (1 - math.Exp(-dt/timeConstant)) * (allowed/dt - n.answerRate)` + "\n" + `	}`},
		Cases: []string{"power-loss-blank", "power-loss"}},
	{Fault: planted.Fault{Name: "late-repeat", About: "a keyed repeat goes out on a connection that came up after the key's window",
		File: "internal/reducer/delegations.go",
		Old:  `	return class.Repeat == brain.Keyed && slices.ContainsFunc(`,
		New:  `	return class.Repeat == brain.Safe && slices.ContainsFunc(`}, Cases: []string{"late-lines"}},
	{Fault: planted.Fault{Name: "no-spare", About: "a connection that finds no descriptor waits in the kernel", File: "internal/acceptor/clients.go",
		Old: `		case !isOutOfDescriptors(err):`,
		New: `		case true:`}, Cases: []string{"descriptors"}},
	{Fault: planted.Fault{Name: "ready-without-a-list", About: "a balancer is ready before it knows of an app node", File: "internal/reducer/servers.go",
		Old: `	if !r.readySent && r.readyServers > 0 {`,
		New: `	if !r.readySent {`}, Cases: []string{"damaged-list", "power-loss-blank"}},
	{Fault: planted.Fault{Name: "forgets-its-list", About: "the list that a balancer is started with is passed over", File: "cmd/pewterrudder/main.go",
		Old: `	if len(cfg.Known) > 0 {`,
		New: `	if len(cfg.Known) > 1<<30 {`}, Cases: []string{"list-only"}},
	{Fault: planted.Fault{Name: "stall-unseen", About: "an app node that shows no sign of life is sent on", File: "brain/picking.go",
		Old: `	if s.failedProbes >= maxFailedProbes || n.stalled(h) || h.onTrial && h.inFlight > 0 {`,
		New: `	if s.failedProbes >= maxFailedProbes || h.onTrial && h.inFlight > 0 {`}, Cases: []string{"some-stall-full", "some-stall-bare"}},
	{Fault: planted.Fault{Name: "first-call-at-once", About: "balancers that start ask discovery at once, all of them", File: "brain/discovery.go",
		Old: `		n.arm(&n.askArmed, time.Duration(n.rng.Float64()*float64(maxDelay)), cookieAsk)`,
		New: `		n.arm(&n.askArmed, maxDelay/1e6, cookieAsk)`}, Cases: []string{"all-start"}},
	{Fault: planted.Fault{Name: "silence-unseen", About: "a watch on which nothing comes any more is waited on for an hour, and no call goes out beside it",
		File: "internal/registry/registry.go",
		Old:  `	silence = 4 * time.Second`,
		New:  `	silence = time.Hour`}, Cases: []string{"discovery-half-open"},
		More: []planted.Fault{{Name: "silence-unseen", File: "internal/registry/registry.go",
			Old: `			beside.Reset(besideAfter)`, New: `			beside.Reset(time.Hour)`}}},
	{Fault: planted.Fault{Name: "dials-without-end", About: "a connection that does not come up is waited for", File: "internal/reducer/delegations.go",
		Old: `	r.emit(Dial{cn.id, att.srv.address, r.cfg.ConnectTimeout})`,
		New: `	r.emit(Dial{cn.id, att.srv.address, 20 * r.cfg.ConnectTimeout})`}, Cases: []string{"some-cut-full"}},
	{Fault: planted.Fault{Name: "edit-unsynced", About: "an edit is answered before it is on the disk", File: "internal/store/store.go",
		Old: `NoStatistics: true,`,
		New: `NoStatistics: true, NoSync: true,`}, Cases: []string{"disk-power"}},
	{Fault: planted.Fault{Name: "refusal-unheard", About: "an edit that the disk has turned down is answered as made", File: "cmd/pewterrudder/box.go",
		Old: `	return k.Append(store.Record{Revision: revision, Data: record})`,
		New: `	k.Append(store.Record{Revision: revision, Data: record})` + "\n" + `	return nil`}, Cases: []string{"disk-readonly"}},
	{Fault: planted.Fault{Name: "never-forgives", About: "an app node that has failed is left out for an hour", File: "brain/health.go",
		Old: `	h.ejectedUntil = n.now + min(ejectBase<<min(h.ejections, 5), ejectMax)`,
		New: `	h.ejectedUntil = n.now + time.Hour`}, Cases: []string{"fail-in-turn"}},
	{Fault: planted.Fault{Name: "lost-for-good", About: "nobody looks for those that are lost", File: "internal/fleet/peers/peers.go",
		Old: `		if to := p.missing(); to != "" {`,
		New: `		if to := p.missing(); to != "" && first {`}, Peers: true, Cases: []string{"peers-minute"}},
	{Fault: planted.Fault{Name: "believed-at-once", About: "a view is believed before it has settled", File: "internal/fleet/view/view.go",
		Old: `		believes: now + b.Settle,`,
		New: `		believes: now,`}, Peers: true, Cases: []string{"peers-calm"}},
	{Fault: planted.Fault{Name: "dead-count", About: "those that are lost still count in the crowd", File: "internal/fleet/view/view.go",
		Old: `		p.state, p.since = gone, v.now` + "\n" + `		v.live--`,
		New: `		p.state, p.since = gone, v.now` + "\n" + `		v.live -= 0`}, Peers: true, Cases: []string{"peers-third"}},
	{Fault: planted.Fault{Name: "suspects-at-once", About: "a life that is suspected has a sixth of a second to say that it runs", File: "internal/fleet/peers/peers.go",
		Old: `	suspicion   = 6 `,
		New: `	suspicion   = 1 `}, Peers: true, Cases: []string{"peers-rough"}},
	{Fault: planted.Fault{Name: "probes-tire", About: "where probes fail there are fewer of them", File: "internal/fleet/peers/peers.go",
		Old: `	probeSlower = 1`,
		New: `	probeSlower = 8`}, Peers: true, Cases: []string{"peers-few-left"}},
	{Fault: planted.Fault{Name: "folder-shared", About: "a state folder that another process has is taken all the same", File: "internal/store/lock.go",
		Old: `syscall.LOCK_EX|syscall.LOCK_NB); err != nil {`,
		New: `syscall.LOCK_SH|syscall.LOCK_NB); err != nil {`}, Cases: []string{"other-name"},
		More: []planted.Fault{{Name: "folder-shared", File: "internal/boxd/socket.go", Old: `	if there, err := os.Lstat(path); err == nil {`,
			New: `	os.Remove(path)` + "\n" + `	if there, err := os.Lstat(path); err == nil {`}},
		Bolt: []shaky.Bolt{{File: "bolt_unix.go", Old: "	flag := syscall.LOCK_NB\n", New: "	flag := syscall.LOCK_NB\n	exclusive = false\n"}}},
}

// Found is what the rig says of a defect.
type Found struct {
	Defect string   `json:"defect"`
	About  string   `json:"about"`
	By     []string `json:"by"` // cases and figures; empty: not found
	Runs   int      `json:"runs"`
	Void   int      `json:"void"`
	Error  string   `json:"error,omitempty"`
}

// Bounds past which a figure of a case is worse than that of the sound program. They lie outside what two series of the
// sound program differ by.
const (
	worseGoodput = 0.02 // less, of the day
	worseHit     = 0.05 // less, while hit
	laterReturn  = 1.5  // seconds, the middle one
	timesCalls   = 1.8  // as many calls to discovery in a second
	timesInStep  = 1.5  // as many in a tenth of a second, and six
	timesCold    = 1.6  // as much work to a cold app node, and half of what the rule bears
)

// Bounds of days with peers.
const (
	laterDeaths = 1.0 // seconds, 99 in 100
	laterAgree  = 5.0 // seconds
	crowdWorse  = 0.5 // balancers, on the mean of the day
)

// worseTrust names what of a day with peers is worse than the sound program's.
func worseTrust(sound, now *TrustRow) (by []string) {
	say := func(what string, was, is float64) {
		by = append(by, fmt.Sprintf("%s: %s %.3g for %.3g", now.Name, what, is, was))
	}
	for _, c := range []struct {
		what    string
		was, is int
	}{{"wrong words", sound.Wrong, now.Wrong}, {"crowds that fell without a loss", sound.Acted, now.Acted}, {"deaths and stalls missed", sound.Missed, now.Missed}} {
		if c.is > c.was {
			say(c.what, float64(c.was), float64(c.is))
		}
	}
	if was, is := Share(sound.Deaths, 0.99), Share(now.Deaths, 0.99); is > was+laterDeaths {
		say("seconds until 99 in 100 deaths are known", was, is)
	}
	if sound.Agree >= 0 && (now.Agree < 0 || now.Agree > sound.Agree+laterAgree) {
		say("seconds until all agree", sound.Agree, now.Agree)
	}
	if now.CrowdOff > sound.CrowdOff+crowdWorse {
		say("balancers that the crowd is off by", sound.CrowdOff, now.CrowdOff)
	}
	return by
}

// worse names what of a case is worse than the sound program's.
func worse(sound, now *Row) (by []string) {
	say := func(what string, was, is float64) {
		by = append(by, fmt.Sprintf("%s: %s %.3g for %.3g", now.Name, what, is, was))
	}
	if now.Broken > sound.Broken {
		say("rules broken", float64(sound.Broken), float64(now.Broken))
	}
	if now.Goodput < sound.Goodput-worseGoodput {
		say("goodput", sound.Goodput, now.Goodput)
	}
	if now.Hit < sound.Hit-worseHit {
		say("goodput while hit", sound.Hit, now.Hit)
	}
	if sound.Return >= 0 && (now.Return < 0 || now.Return > sound.Return+laterReturn) {
		say("seconds to return", sound.Return, now.Return)
	}
	if float64(now.Calls) > timesCalls*float64(sound.Calls) {
		say("calls to discovery", float64(sound.Calls), float64(now.Calls))
	}
	if float64(now.InStep) > timesInStep*float64(sound.InStep) && now.InStep >= 6 {
		say("calls at one moment", float64(sound.InStep), float64(now.InStep))
	}
	if now.Cold > timesCold*sound.Cold && now.Cold > 0.5 {
		say("work to a cold app node", sound.Cold, now.Cold)
	}
	return by
}

// Plant builds each defect into the balancer and plays its cases, beside the sound program's. told hears of each as it is done.
func Plant(ctx context.Context, root, balancer string, only []string, seeds []uint64, beside int, told func(*Found)) error {
	dir, err := os.MkdirTemp("", "rudderlab-fleet-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	opt := Options{Balancer: balancer}
	if opt.Peers, err = BuildPeers(root, dir); err != nil {
		return err
	}
	if opt.InHand, err = shaky.Build(root, dir, "in-hand", nil); err != nil {
		return err
	}
	sound, trusted := map[string]*Row{}, map[string]*TrustRow{}
	for i := range Defects {
		d := &Defects[i]
		if len(only) > 0 && !slices.Contains(only, d.Name) {
			continue
		}
		f := &Found{Defect: d.Name, About: d.About}
		if d.Peers {
			err = d.findPeers(ctx, root, dir, opt, seeds, beside, trusted, f)
		} else {
			err = d.find(ctx, root, dir, opt, seeds, beside, sound, f)
		}
		if err != nil {
			if ctx.Err() != nil {
				return err
			}
			f.Error = err.Error()
		}
		told(f)
	}
	return nil
}

// Texts are the changed files of the source by their paths.
func (d *Defect) Texts(root string) (map[string][]byte, error) {
	texts := map[string][]byte{}
	for _, f := range append([]planted.Fault{d.Fault}, d.More...) {
		path := filepath.Join(root, f.File)
		text, err := texts[path], error(nil)
		if text == nil {
			if text, err = os.ReadFile(path); err != nil {
				return nil, err
			}
		}
		if texts[path], err = f.ApplyTo(text); err != nil {
			return nil, err
		}
	}
	return texts, nil
}

func (d *Defect) find(ctx context.Context, root, dir string, opt Options, seeds []uint64, beside int, sound map[string]*Row, f *Found) error {
	changed, err := d.Texts(root)
	if err != nil {
		return err
	}
	with := Options{}
	if with.Balancer, err = rebuilt.Programs(root, dir, d.Name, "./cmd/pewterrudder", changed); err == nil {
		if with.InHand, err = shaky.Build(root, dir, d.Name+".in-hand", changed, d.Bolt...); len(d.Bolt) > 0 {
			with.Balancer = with.InHand
		}
	}
	if err != nil {
		return err
	}
	if err := rows(ctx, opt, d.Cases, seeds, beside, sound); err != nil {
		return err
	}
	worseRows := map[string]*Row{}
	if err := rows(ctx, with, d.Cases, seeds, beside, worseRows); err != nil {
		return err
	}
	for _, name := range d.Cases {
		r := worseRows[name]
		f.Runs, f.Void = f.Runs+r.Runs, f.Void+r.Void
		if r.Runs > 0 && sound[name].Runs > 0 {
			f.By = append(f.By, worse(sound[name], r)...)
		}
	}
	return nil
}

func (d *Defect) findPeers(ctx context.Context, root, dir string, opt Options, seeds []uint64, beside int, sound map[string]*TrustRow, f *Found) error {
	changed, err := d.Texts(root)
	if err != nil {
		return err
	}
	with := Options{}
	if with.Peers, err = rebuilt.Programs(root, dir, d.Name, "./cmd/pewterrudder", changed, "-tags=peers"); err != nil {
		return err
	}
	now := map[string]*TrustRow{}
	for _, s := range []struct {
		opt  Options
		rows map[string]*TrustRow
	}{{opt, sound}, {with, now}} {
		var days []*scenario.Scenario
		for _, name := range d.Cases {
			if s.rows[name] != nil {
				continue
			}
			i := slices.IndexFunc(PeerCases, func(c Case) bool { return c.Name == name })
			if i < 0 {
				return fmt.Errorf("no case of peers is called %q", name)
			}
			sc, err := PeerCases[i].PeerDay(plantedPeers...)
			if err != nil {
				return err
			}
			days = append(days, sc)
		}
		all, err := Series(ctx, days, seeds, beside, s.opt, nil)
		if err != nil {
			return err
		}
		for i, runs := range all {
			r := TrustOf(days[i].Name, runs)
			s.rows[r.Name] = &r
		}
	}
	for _, name := range d.Cases {
		r := now[name]
		f.Runs, f.Void = f.Runs+r.Runs, f.Void+r.Void
		if r.Runs > 0 && sound[name].Runs > 0 {
			f.By = append(f.By, worseTrust(sound[name], r)...)
		}
	}
	return nil
}

// plantedPeers keeps days with peers cheap: what they are to show does not hang on traffic.
var plantedPeers = []string{"traffic.load=0.1"}

// rows plays the cases that are not there yet.
func rows(ctx context.Context, opt Options, names []string, seeds []uint64, beside int, rows map[string]*Row) error {
	var days []*scenario.Scenario
	for _, name := range names {
		if rows[name] != nil {
			continue
		}
		c := CaseOf(name)
		if c == nil {
			return fmt.Errorf("no case is called %q", name)
		}
		sc, err := c.Day()
		if err != nil {
			return err
		}
		days = append(days, sc)
	}
	all, err := Series(ctx, days, seeds, beside, opt, nil)
	if err != nil {
		return err
	}
	for i, runs := range all {
		r := RowOf(days[i].Name, runs)
		rows[r.Name] = &r
	}
	return nil
}
