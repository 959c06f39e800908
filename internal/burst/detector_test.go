package burst

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func testConfig() Config {
	return Config{Samples: 64, MinSpan: time.Second, Lags: 8, TripLevel: 3, Hold: 10 * time.Second}
}

func newDetector(t *testing.T, config Config) *Detector {
	t.Helper()
	detector, err := New(config)
	assert.NilError(t, err)
	return detector
}

func TestDispersionOfKnownSequences(t *testing.T) {
	const lags, tripLevel = 8, 3.0
	near := func(name string, got, want float64) {
		t.Helper()
		assert.Assert(t, math.Abs(got-want) <= 1e-9, "%s: %v, want %v", name, got, want)
	}
	near("constant", dispersion([]float64{2, 2, 2, 2}, lags), 0)

	// Ten intervals of 1, then ten of 3: mean 2, SCV 1/4. The products at lag k sum to 20-3k of 20, so the correlations over
	// lags 1 to 8 sum to 52/20.
	blocks := make([]float64, 20)
	for i := range blocks {
		blocks[i] = 1 + 2*float64(i/10)
	}
	near("two blocks", dispersion(blocks, lags), 0.25*(1+2*52.0/20))

	// 32 long intervals, then 32 short ones: SCV (47.5/52.5)^2, sum of correlations (64*8-3*36)/64.
	faster := make([]float64, 64)
	for i := range faster {
		faster[i] = []float64{0.1, 0.005}[i/32]
	}
	index := dispersion(faster, lags)
	near("a burst", index, 47.5*47.5/52.5/52.5*(1+2*404.0/64))
	assert.Assert(t, index >= tripLevel)
}

func TestPoissonStreamsRarelyTrip(t *testing.T) {
	const lags, tripLevel = 8, 3.0
	random := rand.New(rand.NewPCG(1, 2))
	intervals := make([]float64, 64)
	trips := 0
	for range 200 {
		for i := range intervals {
			intervals[i] = random.ExpFloat64()
		}
		if dispersion(intervals, lags) > tripLevel {
			trips++
		}
	}
	assert.Assert(t, trips <= 4, "%d of 200 Poisson streams exceed the trip level", trips)
}

// feed records arrivals at a fixed interval, evaluates after each, and returns the last result.
func feed(detector *Detector, now *time.Duration, count int, every time.Duration) (active bool) {
	for range count {
		*now += every
		detector.Arrive(*now)
		active = detector.Evaluate(*now)
	}
	return active
}

func TestRisingRateStartsABurstAndFallingRateEndsIt(t *testing.T) {
	detector, now := newDetector(t, testConfig()), time.Minute
	assert.Assert(t, !feed(detector, &now, 200, 40*time.Millisecond), "a steady stream is no burst")
	assert.Assert(t, feed(detector, &now, 80, 4*time.Millisecond), "ten times the rate is a burst")
	assert.Assert(t, !feed(detector, &now, 60, 40*time.Millisecond), "the return to the former rate ends it")
	assert.Equal(t, detector.Arrivals(), 340)
}

func TestBurstExpiresWhenItsEndIsNotDetected(t *testing.T) {
	config := testConfig()
	detector, now := newDetector(t, config), time.Minute
	feed(detector, &now, 200, 40*time.Millisecond)
	assert.Assert(t, feed(detector, &now, 200, 4*time.Millisecond))
	assert.Assert(t, detector.Evaluate(now+config.Hold/2), "the burst lasts until Hold has passed")
	assert.Assert(t, !detector.Evaluate(now+config.Hold+time.Millisecond), "the burst ends after Hold")
}

func TestFewArrivalsAreNotEvaluated(t *testing.T) {
	config := testConfig()
	detector, now := newDetector(t, config), time.Minute
	assert.Assert(t, !detector.Evaluate(now), "no arrivals")
	feed(detector, &now, config.Samples/4, 40*time.Millisecond)
	// Half of the intervals long, half short, and one too few for an evaluation.
	active := feed(detector, &now, config.Samples/4-1, time.Millisecond)
	assert.Assert(t, !active)
	assert.Assert(t, feed(detector, &now, 2, time.Millisecond), "enough for an evaluation")
}

func TestNewRejectsInvalidConfigurations(t *testing.T) {
	for name, change := range map[string]func(*Config){
		"no samples":     func(c *Config) { c.Samples = 0 },
		"one sample":     func(c *Config) { c.Samples = 1 },
		"negative lags":  func(c *Config) { c.Lags = -1 },
		"no trip level":  func(c *Config) { c.TripLevel = 0 },
		"trip level NaN": func(c *Config) { c.TripLevel = math.NaN() },
		"negative span":  func(c *Config) { c.MinSpan = -1 },
		"negative hold":  func(c *Config) { c.Hold = -1 },
		"the zero value": func(c *Config) { *c = Config{} },
	} {
		config := testConfig()
		change(&config)
		_, err := New(config)
		assert.ErrorIs(t, err, ErrConfig, name)
	}
}

// referenceDetector follows the definition directly: it keeps all arrivals and recomputes every sum.
type referenceDetector struct {
	config    Config
	times     []time.Duration
	active    bool
	trippedAt time.Duration
}

func (m *referenceDetector) intervals(count int) []float64 {
	var intervals []float64
	for i := len(m.times) - count; i < len(m.times); i++ {
		intervals = append(intervals, (m.times[i] - m.times[i-1]).Seconds())
	}
	return intervals
}

func (m *referenceDetector) evaluate(now time.Duration) bool {
	count := min(m.config.Samples, len(m.times)-1)
	if count < m.config.Samples/2 {
		return m.active
	}
	intervals := m.intervals(count)
	span := 0.0
	for _, interval := range intervals {
		span += interval
	}
	if span < m.config.MinSpan.Seconds() && len(m.times) > 2*m.config.Samples {
		intervals = m.intervals(2 * m.config.Samples)
	}
	older, newer := 0.0, 0.0
	for i, interval := range intervals {
		if i < len(intervals)/2 {
			older += interval
		} else {
			newer += interval
		}
	}
	if m.dispersion(intervals) > m.config.TripLevel {
		m.active, m.trippedAt = newer < older, now
	} else if m.active && now-m.trippedAt > m.config.Hold {
		m.active = false
	}
	return m.active
}

func (m *referenceDetector) dispersion(intervals []float64) float64 {
	mean, square := 0.0, 0.0
	for _, interval := range intervals {
		mean += interval
	}
	mean /= float64(len(intervals))
	for _, interval := range intervals {
		square += (interval - mean) * (interval - mean)
	}
	if mean <= 0 || square <= 0 {
		return 0
	}
	rho := 0.0
	for lag := 1; lag <= m.config.Lags && lag < len(intervals); lag++ {
		products := 0.0
		for i := lag; i < len(intervals); i++ {
			products += (intervals[i] - mean) * (intervals[i-lag] - mean)
		}
		rho += products / square
	}
	return max(0, square/float64(len(intervals))/(mean*mean)*(1+2*rho))
}

// On random streams, with rate changes of up to a factor of 1000, pauses and simultaneous arrivals, every evaluation
// must match the reference detector.
func TestRandomStreamsMatchReferenceDetector(t *testing.T) {
	begun, ended := 0, 0
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 3))
		config := testConfig()
		if seed%2 == 1 {
			config = randomConfig(random)
		}
		detector, model := newDetector(t, config), &referenceDetector{config: config}
		now, mean, was := time.Minute, 40*time.Millisecond, false
		for step := range 10_000 {
			if random.IntN(150) == 0 {
				mean = time.Duration(math.Pow(10, 5+3*random.Float64())) // 0.1 to 100 ms
			}
			now += time.Duration(random.ExpFloat64() * float64(mean))
			if random.IntN(1_000) == 0 {
				now += time.Duration(random.IntN(20)) * time.Second
			}
			detector.Arrive(now)
			model.times = append(model.times, now)
			if random.IntN(4) > 0 {
				continue
			}
			got, want := detector.Evaluate(now), model.evaluate(now)
			assert.Equal(t, got, want, "seed %d, step %d, %+v", seed, step, config)
			if got && !was {
				begun++
			} else if was && !got {
				ended++
			}
			was = got
		}
	}
	assert.Assert(t, begun > 200 && ended > 200, "only %d bursts begun and %d ended, want more than 200 of each", begun, ended)
}

func randomConfig(random *rand.Rand) Config {
	return Config{
		Samples:   2 + random.IntN(100),
		MinSpan:   time.Duration(random.IntN(3)) * time.Second,
		Lags:      random.IntN(12),
		TripLevel: 0.5 + 4*random.Float64(),
		Hold:      time.Duration(random.IntN(20)) * time.Second,
	}
}

func BenchmarkEvaluate(b *testing.B) {
	detector, err := New(testConfig())
	assert.NilError(b, err)
	now := time.Duration(0)
	for range 200 {
		now += time.Millisecond
		detector.Arrive(now)
	}
	b.ReportAllocs()
	for b.Loop() {
		detector.Evaluate(now)
	}
}
