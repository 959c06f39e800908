package summary

import (
	"testing"

	"pewterrudder/internal/lab/walks"
)

// TestMain uses fixed random seeds, so that each run draws the same test cases.
func TestMain(m *testing.M) { walks.Main(m, 0, 0) }
