package enginelab

import (
	"flag"
	"sync"
	"testing"
)

var seedCount = flag.Int("enginelab.seeds", 4, "seeds of each day in BenchmarkPolicy")

// BenchmarkPolicy plays the days on several seeds; "-benchtime 1x" is enough.
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
		b.Run(played.name, func(b *testing.B) {
			for b.Loop() {
				report(b, playSeeds(played.day))
			}
		})
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
