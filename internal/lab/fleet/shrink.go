package fleet

import (
	"encoding/json"
	"os"

	"pewterrudder/internal/lab/scenario"
)

// Player plays a day.
type Player func(sc *scenario.Scenario) (*Done, error)

// Shrink makes a day smaller for as long as it breaks in the same way: without one of its faults, with a balancer fewer, or
// ending earlier. Processes in real time do not break alike at every play, so each step is played up to tries times; one that
// breaks in no play is not taken. It gives the day and how many runs that took.
func Shrink(sc *scenario.Scenario, way string, tries int, play Player) (small *scenario.Scenario, runs int, err error) {
	breaks := func(day *scenario.Scenario) (bool, error) {
		if flaw := day.Check(); flaw != nil { // a step that leaves no day
			return false, nil
		}
		for range tries {
			runs++
			d, err := play(day)
			if err != nil {
				return false, err
			}
			if d.Void == "" && d.Way == way {
				return true, nil
			}
		}
		return false, nil
	}
	for again := true; again; {
		again = false
		for _, day := range smaller(sc) {
			ok, err := breaks(day)
			if err != nil {
				return sc, runs, err
			}
			if ok {
				sc, again = day, true
				break
			}
		}
	}
	return sc, runs, nil
}

// endsAfter is how long a day goes on behind its last fault at the least.
const endsAfter = 2 * scenario.Duration(1e9)

// smaller are the days that are one step smaller.
func smaller(sc *scenario.Scenario) (days []*scenario.Scenario) {
	for i := range sc.Faults {
		day := *sc
		day.Faults = append(append([]scenario.Fault(nil), sc.Faults[:i]...), sc.Faults[i+1:]...)
		days = append(days, &day)
	}
	named, last := 0, scenario.Duration(0)
	for i := range sc.Faults {
		f := &sc.Faults[i]
		last = max(last, f.At[1]+f.For[1])
		for _, b := range f.Balancers {
			named = max(named, b+1)
		}
	}
	if n := sc.Balancers.Count; n > max(1, named) {
		day := *sc
		day.Balancers.Count--
		days = append(days, &day)
	}
	if ends := last + endsAfter; len(sc.Faults) > 0 && sc.Length > ends {
		day := *sc
		day.Length = ends
		days = append(days, &day)
	}
	return days
}

// Write writes a day as a scenario file, which 'rudderlab fleet' plays.
func Write(sc *scenario.Scenario, path string) error {
	raw, err := json.MarshalIndent(sc, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(raw, '\n'), 0o666)
}
