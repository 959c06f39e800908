package selection

import (
	"time"

	"pewterrudder/internal/burst"
)

// Detector recognizes bursts in the arrivals of requests. Times are relative to the first arrival.
type Detector interface {
	// Arrive records the arrival of a request.
	Arrive(now time.Duration)
	// Evaluate reports whether there is a burst now.
	Evaluate(now time.Duration) bool
}

// Parameters of the burst detector.
const (
	burstSamples     = 64               // m, the arrivals in a sample: with fewer the index is too noisy
	burstMinSpan     = time.Second      // a sample that spans less time is widened to 2m
	burstLags        = 8                // lags of the autocorrelation, an eighth of m
	burstTripLevel   = 4.0              // steady random arrivals have an index around 1, which at this m occasionally exceeds 3
	burstHold        = 10 * time.Second // a burst ends after this time even if its end is not detected
	evaluateInterval = 250 * time.Millisecond
)

func newDetector() Detector {
	detector, err := burst.New(burst.Config{
		Samples:   burstSamples,
		MinSpan:   burstMinSpan,
		Lags:      burstLags,
		TripLevel: burstTripLevel,
		Hold:      burstHold,
	})
	if err != nil {
		panic(err) // the parameters are constants
	}
	return detector
}
