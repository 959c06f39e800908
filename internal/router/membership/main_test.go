package membership

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain fixes the seed of the randomized tests, so that each run has the same cases.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
