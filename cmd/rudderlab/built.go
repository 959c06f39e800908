package main

import (
	"os"

	"pewterrudder/internal/lab/rebuilt"
)

// built has a variant of the balancer built from the source around us, into a folder that remove takes away.
func built(build func(root, dir string) (program string, err error)) (program string, remove func(), err error) {
	root, err := rebuilt.Root(".")
	if err != nil {
		return "", nil, misuseError{err}
	}
	dir, err := os.MkdirTemp("", "rudderlab-built-")
	if err != nil {
		return "", nil, err
	}
	remove = func() { os.RemoveAll(dir) }
	if program, err = build(root, dir); err != nil {
		remove()
		return "", nil, err
	}
	return program, remove, nil
}
