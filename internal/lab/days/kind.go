package days

import (
	"maps"
	"strings"
)

// Kind is one kind of trouble with the strength at which our days bring it.
type Kind struct {
	Name     string   `toml:"name"`
	Planned  bool     `toml:"planned"` // planned work; anything else is a fault
	Entry    Entry    `toml:"entry"`
	Variants []string `toml:"variants"` // values of the field "how"; "" leaves it out
}

// Times of a day in seconds from the start of traffic.
const (
	aloneAt       = 8.0
	firstAt       = 6.0
	secondAt      = 17.0
	besideFirst   = 8.0
	besideSecond  = 18.0
	changeDelay   = 0.3  // from the trouble to the change: within it
	laterDelay    = 2.0  // from the trouble to a further change: at the edge of it
	raceDelay     = 0.05 // from the second trouble to two changes on the same revision
	racePairs     = 2
	racePause     = 0.5
	closingDownS  = 1.0
	firstSeed     = 1000
	planKindField = "kind"
)

// changes are the variants of a change of the configuration, taken in turn.
var changes = []string{"route", "weights", "timeout", "tenant", "quota", "idle"}

// closings are the final faults, taken in turn.
var closings = []Entry{
	{"kind": "power_off_all", "down_s": closingDownS},
	{"kind": "wipe_after_ack", "down_s": closingDownS, "how": "aimed"},
	{"kind": "kill_all", "down_s": closingDownS},
	{"kind": "wipe_after_ack", "down_s": closingDownS, "how": "timed"},
	{"kind": "wipe_after_ack", "down_s": closingDownS, "how": "taken"},
	{"kind": "power_off_all", "down_s": closingDownS, "how": "timed"},
}

// expand makes three days of each variant of each kind.
func expand(kinds []Kind) []Day {
	var days []Day
	for _, kind := range kinds {
		for _, variant := range kind.Variants {
			days = append(days, kind.days(variant, len(days))...)
		}
	}
	return days
}

// days makes the days of one variant; number counts the days made before and picks seeds, changes and final faults.
func (k Kind) days(variant string, number int) []Day {
	turn := number / 3
	name := dayName(k.Name, variant)
	alone := k.day(name+"-alone", firstSeed+number, k.at(aloneAt, variant))
	twice := k.day(name+"-twice", firstSeed+number+1, k.at(firstAt, variant), k.at(secondAt, variant))
	twice.Closing = closings[turn%len(closings)]
	beside := k.day(name+"-beside-changes", firstSeed+number+2, k.at(besideFirst, variant), k.at(besideSecond, variant))
	beside.Plan = append(beside.Plan,
		Entry{planKindField: "config_change", "at": besideFirst + changeDelay, "how": changes[turn%len(changes)]},
		Entry{planKindField: "config_change", "at": besideFirst + laterDelay, "how": changes[(turn+1)%len(changes)]},
		Entry{planKindField: "config_race", "at": besideSecond + raceDelay, "count": racePairs, "gap_s": racePause})
	return []Day{alone, twice, beside}
}

func (k Kind) day(name string, seed int, entries ...Entry) Day {
	day := Day{Name: name, Slot: Slot, Seed: seed}
	if k.Planned {
		day.Plan = entries
	} else {
		day.Faults = entries
	}
	return day
}

// at returns the kind's entry at a time, in one variant.
func (k Kind) at(seconds float64, variant string) Entry {
	entry := maps.Clone(k.Entry)
	entry["at"] = seconds
	if variant != "" {
		entry["how"] = variant
	}
	return entry
}

func dayName(kind, variant string) string {
	words := append([]string{kind}, strings.Fields(variant)...)
	return strings.ReplaceAll(strings.Join(words, "-"), "_", "-")
}
