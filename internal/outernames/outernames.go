// Package outernames checks docs/outer-names.md: the names that leave the process must still stand in the sources that
// write or read them. The check is its test.
package outernames
