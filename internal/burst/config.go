package burst

import (
	"errors"
	"fmt"
	"time"
)

// ErrConfig is wrapped by every error that New returns.
var ErrConfig = errors.New("burst: invalid configuration")

// Config holds the parameters of a Detector.
type Config struct {
	Samples   int           // intervals in a sample; with fewer than half of them nothing is evaluated
	MinSpan   time.Duration // a sample that spans less time is widened to twice as many intervals
	Lags      int           // autocorrelation lags of the index of dispersion
	TripLevel float64       // index of dispersion above which the arrival rate counts as changed
	Hold      time.Duration // a burst ends at the latest this long after the index was last above TripLevel
}

// check returns an error that names the first invalid field.
func (c *Config) check() error {
	if c.Samples < 2 {
		return fmt.Errorf("%w: %d samples, want 2 or more", ErrConfig, c.Samples)
	}
	if c.Lags < 0 {
		return fmt.Errorf("%w: %d lags, want 0 or more", ErrConfig, c.Lags)
	}
	if !(c.TripLevel > 0) {
		return fmt.Errorf("%w: trip level %v, want above 0", ErrConfig, c.TripLevel)
	}
	if c.MinSpan < 0 || c.Hold < 0 {
		return fmt.Errorf("%w: negative duration (%v, %v)", ErrConfig, c.MinSpan, c.Hold)
	}
	return nil
}
