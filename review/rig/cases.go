//go:build review

package main

// cases are the scripts' checks by name. Each reports whether the rule was broken.
var cases = map[string]func(environment, *record) (bool, error){
	"memory": memoryCase,
	"quota":  quotaCase,
	"drain":  drainCase,
	"keys":   keysCase,
}
