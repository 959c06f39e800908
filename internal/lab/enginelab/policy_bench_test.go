package enginelab

import (
	"flag"
	"sync"
	"testing"
	"time"

	"pewterrudder/internal/router/balance"
)

var seedCount = flag.Int("enginelab.seeds", 4, "seeds of each day in BenchmarkPolicy")

// arm is one way to pick.
type arm struct {
	name   string
	change func(*Setup)
}

func withWeights(change func(*balance.Weights)) func(*Setup) {
	return func(day *Setup) {
		weights := balance.DefaultWeights
		change(&weights)
		day.Selection.Weights = &weights
	}
}

func arms() []arm {
	return []arm{
		{"in service", func(*Setup) {}},
		{"no stream set", func(day *Setup) { day.Selection.NoStreamSet = true }},
		{"no homes", func(day *Setup) { *day = withoutHomes(*day) }},
		{"read again 0", withWeights(func(w *balance.Weights) { w.DuplicatePrefill = 0 })},
		{"read again 3", withWeights(func(w *balance.Weights) { w.DuplicatePrefill = 3 })},
		{"read again 30", withWeights(func(w *balance.Weights) { w.DuplicatePrefill = 30 })},
		{"engine occupancy 0", withWeights(func(w *balance.Weights) { w.EngineOccupancy = 0 })},
		{"engine occupancy 2", withWeights(func(w *balance.Weights) { w.EngineOccupancy = 2 })},
		{"ths 2", func(day *Setup) { *day = withWidths(*day, balance.Widths{Normal: 2, BurstShare: 0.5}) }},
		{"thl 1", func(day *Setup) { *day = withWidths(*day, balance.Widths{Normal: 1}) }},
		{"sightings of 20 s", func(day *Setup) { day.SightingsAgain = 20 * time.Second }},
	}
}

// BenchmarkPolicy plays the days with each arm on several seeds; "-benchtime 1x" is enough.
func BenchmarkPolicy(b *testing.B) {
	days := []struct {
		name string
		day  func(seed uint64) Setup
	}{
		{"quiet", func(seed uint64) Setup { return mixedDay(479, seed) }},
		{"busy", busyDay},
		{"leaving", leavingDay},
	}
	for _, played := range days {
		for _, arm := range arms() {
			b.Run(played.name+"/"+arm.name, func(b *testing.B) {
				changed := func(seed uint64) Setup {
					day := played.day(seed)
					arm.change(&day)
					return day
				}
				for b.Loop() {
					report(b, playSeeds(changed))
				}
			})
		}
	}
}

func playSeeds(day func(seed uint64) Setup) []*Result {
	results := make([]*Result, *seedCount)
	var playing sync.WaitGroup
	for i := range results {
		playing.Go(func() { results[i] = Run(day(uint64(i + 1))) })
	}
	playing.Wait()
	return results
}

func report(b *testing.B, results []*Result) {
	count := float64(len(results))
	mean := func(figure func(*Result) float64) float64 {
		sum := 0.0
		for _, result := range results {
			sum += figure(result)
		}
		return sum / count
	}
	for name := range results[0].Kinds {
		b.ReportMetric(mean(func(r *Result) float64 { return r.Kinds[name].Late() }), name+"-late")
		b.ReportMetric(mean(func(r *Result) float64 { return float64(r.Kinds[name].LateFirst) }), name+"-late-first")
		b.ReportMetric(mean(func(r *Result) float64 { return float64(r.Kinds[name].Refused) }), name+"-refused")
	}
	b.ReportMetric(mean(func(r *Result) float64 { return r.ReadAgain / 1e6 }), "Mtokens-read-again")
	b.ReportMetric(mean(func(r *Result) float64 { return r.Busiest }), "busiest")
}
