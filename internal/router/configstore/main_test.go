package configstore

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain fixes the seed of the property tests, so that each run tests the same cases.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
