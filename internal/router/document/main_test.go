package document

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain seeds the property tests, so that each run generates the same cases.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
