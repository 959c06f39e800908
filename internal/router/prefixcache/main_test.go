package prefixcache

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain runs the property tests with a fixed seed, so that every run tests the same cases.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
