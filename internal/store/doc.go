// Package store is the durable side of what operators want: opaque records by rising revision, a snapshot, and a folder
// that one process has at a time. An append is answered once it is on the disk. After a crash at any moment the store
// holds every record that was answered, none that was refused, and of those in flight the first ones or none, each append
// whole. It must never look into a record, never show one that a crash could still take back, never let a file's damage
// or a failing disk end the process, and never throw away a file that it cannot read.
package store
