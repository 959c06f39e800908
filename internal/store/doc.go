// Package store is a durable log of opaque records with increasing revisions, plus a snapshot, in a folder that one process
// uses at a time. It holds the operators' edits. An append is acknowledged once it is on the disk. After a crash at any
// moment the store holds every acknowledged record, no rejected one, and of the appends in flight a prefix (possibly
// empty), each append whole. It must never interpret a record, never show one that a crash could still undo, never let a
// damaged file or a failing disk end the process, and never delete a file that it cannot read.
//
// It is built on go.etcd.io/bbolt 1.5.0, which is maintained elsewhere and whose file can be opened with any bbolt tool.
// The alternative was a log of our own (plainLog in bench_test.go): frames with checksums, synced after each batch, read
// completely at the start. Measured on an amd64 virtual machine, four cores of it, ext4; records of some 130 bytes, three
// runs each. Sizes and memory are those of the balancer's program, idle, with one or the other linked in; without either it
// has 11.35 MB (7.83 without symbols) and a peak of 9.18 to 9.36 MB:
//
//	                                            bbolt (this package)      log
//	append with its sync, median                159 to 191 µs             78 to 88 µs
//	append with its sync, 99 %                  4.6 to 5.4 ms             0.6 to 1.1 ms
//	64 appenders at once, for each append       23 to 49 µs               not built
//	start with 10,000 records, median           9.5 to 11.5 ms            2.4 to 2.7 ms
//	start with 10,000 records, 99 %             24 to 31 ms               7.8 to 16 ms
//	snapshot over 10,000 records, 1,000 kept    8.5 to 9.2 ms             not built
//	file of 10,000 records                      2.10 MB                   1.43 MB
//	program (without symbols)                   +0.61 MB (+0.42)          +0.02 MB (+0.02)
//	peak memory, linked and unused              9.38 to 9.58 MB           9.22 to 9.25 MB
//	peak memory, 10,000 records open            15.8 to 16.1 MB           12.1 to 12.2 MB
//
// Of the 0.61 MB, bbolt alone accounts for 0.38. A sync of the disk takes about 0.1 ms here; bbolt needs two for a commit
// and the log one, so on a disk with syncs of 5 ms an edit takes 10 ms instead of 5, which an operator does not notice. The
// log is better in every figure. The reasons for bbolt are that its file format and commits have been tested by ten years
// of use elsewhere, that a snapshot, a migration or an import is an ordinary transaction, and that a record is found
// without reading the others. Its disadvantages, and how this package deals with them:
//
//   - It maps its file into memory, and a page that cannot be read raises a fault: all access to bbolt runs in catchFaults.
//   - It trusts what it reads: a page that lists itself as its child makes it loop forever. verifyPages walks the file
//     first.
//   - Its data pages have no checksums: each value of this package has one, and the number of records is stored with them.
//   - A commit is readable before its last sync, and one whose last sync failed may remain: reads end at the newest
//     acknowledged revision, and rollBackFailedCommit removes the rest before anything else is written.
//   - Its file never shrinks and is not created atomically: replaceFile writes a new file and renames it over the old one.
//
// Testing: TestCrash records each system call of real processes on the folder (tracer_linux_amd64_test.go), replays them on
// a model of a disk (package crashdisk) and opens what a crash at a random moment may leave, with unsynced data lost, torn
// or reordered, and appends to it; in every second run the disk also returns errors. 12,000 crash points take 15 to 70 s:
//
//	go test ./internal/store -run TestCrash -crashes 12000 -crash.seed 7
//
// The seed determines the load, the faults and what a crash leaves; which appends share a batch depends on the scheduler.
//
// Known limit: if the newer of bbolt's two meta pages is corrupted after it was synced, the last change is lost. The store
// cannot tell this from a crash in the middle of a change, so Open logs it (store_head_lost) and continues.
package store
