package virtual

import "testing"

// A calm day of a small site: 3 balancers, 8 app nodes, 250 requests a second. The figure that counts is the
// time of the day over the time that it takes.
func BenchmarkCalm(b *testing.B) {
	sc := load(b, "calm")
	b.ReportAllocs()
	asked, seconds := 0.0, 0.0
	for i := range b.N {
		rec, err := Run(sc, Options{Seed: uint64(i) + 1})
		if err != nil {
			b.Fatal(err)
		}
		asked += float64(rec.Counts.Wishes)
		seconds += sc.Length.D().Seconds()
	}
	b.ReportMetric(seconds/b.Elapsed().Seconds(), "day/time")
	b.ReportMetric(asked/b.Elapsed().Seconds(), "requests/s")
}
