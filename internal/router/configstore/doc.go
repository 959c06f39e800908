// Package configstore stores the fleet's configuration in a replicated compare-and-swap register (package
// casregister). It runs this process's acceptor with its disk, proposals, quorum reads, and changes of the acceptor
// set.
//
// One goroutine owns the acceptor and writes its disk, with one sync for a batch of requests; nothing else in the
// process waits for the disk. A process runs one proposal at a time. The newest state that is known to be chosen is
// kept in an atomic pointer and never replaced by an older one. A state counts as chosen only after a quorum has
// accepted it, or when another router that observed this reports it.
package configstore
