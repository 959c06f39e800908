// Package disk stores one small document durably in a directory. Each version of it is a separate file.
//
// A version is written to a temporary file, which is synced and renamed to its final name; then the directory is
// synced, and only then is the version saved. The newest two versions are retained, older ones are removed. Each file
// contains a checksum, and Open selects the newest valid file. As a version is removed only after the directory was
// synced for two later ones, a loss of power at any step leaves the last saved version or the one that was being saved.
//
// A process may end between the rename and the sync of the directory. Open therefore syncs the version that it finds,
// and the directory, before it returns it.
//
// A failed write (a full disk, an I/O error) leaves the last saved version current, and the next write reuses the same
// version number, so that files of failed writes don't accumulate.
package disk
