// Package lab holds the scenarios that come with the lab, built into its command. It must never hold code that reads
// them: that is pewterrudder/internal/lab/scenario.
package lab

import "embed"

// Suffix of a scenario file: JSON with comments and trailing commas (HuJSON).
const Suffix = ".hujson"

// Files are the scenarios, each named by its file.
//
//go:embed *.hujson
var Files embed.FS
