package reducer

import (
	"slices"
	"time"

	"pewterrudder/brain"
	"pewterrudder/internal/patience"
)

// Settings change while calls are open. A call keeps the class that it arrived with: each class has a slot, whose index
// identifies it to calls, the decider and the learned stall timeouts. A class whose definition changes moves to another
// slot, and its old slot is marked as Gone: no new call uses it. A slot is reused once no call refers to it and none can
// still be on its way here.

// classSlotRest is how long a slot that is Gone stays unused: a call read with its index has arrived by then, or never
// does.
const classSlotRest = time.Minute

// classSlot is the state of a class apart from its settings.
type classSlot struct {
	openCalls int           // calls of the class, including those that wait or have attempts outstanding
	removedAt time.Duration // when the class was marked as Gone
}

// SettingsChanged tells the acceptor and the code that drives connections to app nodes which settings are in force.
type SettingsChanged struct {
	ClassSlots map[string]int // slot index by name, of the classes that new calls may have
	Classes    []brain.Class  // by slot index
	Tag        any            // from Reloaded
}

func (SettingsChanged) effect() {}

func (r *Reducer) onRetuned(next brain.Settings, tag any) {
	classes := slices.Clone(r.cfg.Classes)
	slots := map[string]int{}
	for _, c := range next.Classes {
		if i := slices.Index(classes, c); i >= 0 {
			slots[c.Name] = i
		}
	}
	for i := range classes {
		if at, ok := slots[classes[i].Name]; !classes[i].Gone && (!ok || at != i) {
			classes[i].Gone = true
			r.classSlots[i].removedAt = r.now
		}
	}
	for _, c := range next.Classes {
		if _, ok := slots[c.Name]; ok {
			continue
		}
		i := r.reusableSlot(classes)
		if i < 0 {
			i = len(classes)
			classes, r.classSlots, r.stallEstimators = append(classes, c), append(r.classSlots, classSlot{}), append(r.stallEstimators, nil)
		}
		classes[i], r.classSlots[i], r.stallEstimators[i] = c, classSlot{}, r.newStallEstimator(&c)
		slots[c.Name] = i
	}
	next.Classes = classes
	next.AskDiscovery = r.cfg.AskDiscovery // fixed at the start
	if r.peerView != nil {
		r.applyViewOutput(r.peerView.Want(next.Nodes))
		next.Nodes = r.peerView.Crowd()
	}
	r.cfg, r.settingsChanged = next, true
	r.retuneAll(SettingsChanged{slots, classes, tag})
}

// maxRetunesPerEvent bounds the pools that one event sends settings to: some 25 us each, so that an event takes less
// than a millisecond.
const maxRetunesPerEvent = 20

// nextRetuneSlice continues with the next slice of the pools.
type nextRetuneSlice struct{}

func (nextRetuneSlice) event() {}

// retuneAll sends the settings in force to the deciders of all pools and then emits the effect then, if it is not nil.
// The order matters: a call with a new class must not reach a pool whose decider does not know it. Newer settings
// restart the round, and their effect replaces the earlier one.
func (r *Reducer) retuneAll(then Effect) {
	if r.nextRetuned = 0; then != nil {
		r.afterRetune = then
	}
	if !r.retuning { // otherwise the next slice is already scheduled
		r.retuneNextSlice()
	}
}

func (r *Reducer) retuneNextSlice() {
	for n := maxRetunesPerEvent; n > 0 && r.nextRetuned < len(r.pools); r.nextRetuned++ {
		if p := r.pools[r.nextRetuned]; p != nil {
			r.retunePool(p)
			n--
		}
	}
	if r.retuning = r.nextRetuned < len(r.pools); r.retuning {
		r.emit(StartTimer{0, nextRetuneSlice{}})
	} else if r.afterRetune != nil {
		r.emit(r.afterRetune)
		r.afterRetune = nil
	}
}

// reusableSlot returns the index of a slot that can be reused, or -1.
func (r *Reducer) reusableSlot(classes []brain.Class) int {
	for i := range classes {
		if p := &r.classSlots[i]; classes[i].Gone && p.openCalls == 0 && r.now-p.removedAt > classSlotRest {
			return i
		}
	}
	return -1
}

// retunePool sends the settings to the decider of a pool. Only that of discoveryPool asks for the list.
func (r *Reducer) retunePool(p *pool) {
	poolCfg := r.cfg
	poolCfg.AskDiscovery = poolCfg.AskDiscovery && p == r.discoveryPool
	if p.subset != nil && p.subset.Balancers() > 1 {
		poolCfg.Nodes = p.subset.Sharing(poolCfg.Nodes)
		// All of the subset: an app node left out by its balancers would get no calls.
		poolCfg.Sample, _ = p.subset.Count()
	}
	r.notify(p, &brain.Retuned{Settings: poolCfg})
}

// newStallEstimator creates the estimator of a class's stall timeout.
func (r *Reducer) newStallEstimator(c *brain.Class) *patience.Estimator {
	if r.fixedStall > 0 {
		return patience.Fixed(r.fixedStall)
	}
	fraction := func(of time.Duration, share float64) time.Duration { return time.Duration(share * float64(of)) }
	ceiling := fraction(c.Deadline, maxStallShare)
	return patience.New(min(fraction(c.Aim, initialStallShare), ceiling), min(fraction(c.Aim, minStallShare), ceiling), ceiling)
}
