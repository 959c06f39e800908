// Package mixedbuilds tests that two builds of the programs work together: routers of both in one fleet, files and
// snapshots of one read by the other, and operators' tools of one at the other. Its tests run with `make mixed`, which
// builds an earlier revision and names the folders of both builds.
package mixedbuilds
