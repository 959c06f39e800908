package instances

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain makes the random test cases the same in each run.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
