package days

import (
	"fmt"
	"io/fs"
	"math"
	"math/rand/v2"
)

// Bounds of a drawn day.
const (
	leastEntries = 4
	mostEntries  = 9
	drawnFrom    = 3.0  // seconds from the start of traffic to the first trouble at the earliest
	drawnUntil   = 27.0 // and to the last at the latest, so that it ends with the traffic
	tenths       = 10.0 // times are rounded to tenths of a second
	drawStream   = 1    // stream of the random source, beside its seed
)

// Draw makes a day of troubles of any kind and variant at any times, the same one for the same seed.
func Draw(folder fs.FS, seed int) (Day, error) {
	kinds, err := loadKinds(folder)
	if err != nil {
		return Day{}, err
	}
	return draw(kinds, seed), nil
}

func draw(kinds []Kind, seed int) Day {
	random := rand.New(rand.NewPCG(uint64(seed), drawStream))
	day := Day{Name: fmt.Sprintf("drawn-%d", seed), Slot: Slot, Seed: seed}
	for range leastEntries + random.IntN(mostEntries-leastEntries+1) {
		kind := kinds[random.IntN(len(kinds))]
		entry := kind.at(drawTime(random), kind.Variants[random.IntN(len(kind.Variants))])
		if kind.Planned {
			day.Plan = append(day.Plan, entry)
		} else {
			day.Faults = append(day.Faults, entry)
		}
	}
	day.Closing = closings[random.IntN(len(closings))]
	return day
}

func drawTime(random *rand.Rand) float64 {
	return math.Round((drawnFrom+random.Float64()*(drawnUntil-drawnFrom))*tenths) / tenths
}
