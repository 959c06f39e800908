package lease

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain makes the random cases of rapid the same in each run.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
