// Package commonprefix finds the prompt prefixes that many requests to a fleet of routers have in common, and decides
// how many instances should cache each of them.
//
// Each router counts the prefixes of the requests that it sends in a Counter, which keeps a Space-Saving summary of
// bounded size for each tenant. The coordinator, the router that holds the lease, merges the latest reports of all
// routers in a Merger, and derives the next Set with SelectPrefixes and a Placer. The set is part of the replicated
// state. Set.Replicas and Set.Assign derive from it how many and which instances of a backend should cache a prefix.
//
// The package is pure: it reads no clock, starts no goroutine and does no I/O. Times are durations since an arbitrary
// fixed moment.
package commonprefix
