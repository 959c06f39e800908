package disk

import (
	"cmp"
	"slices"
)

// retainedVersions is the number of versions that remain in the directory.
const retainedVersions = 2

// Step is a step of Save.
type Step string

// The steps of Save in their order. A failure of StepClean is ignored; obsolete files are removed after a later save.
const (
	StepCreateTemporary Step = "create temporary file"
	StepWriteTemporary  Step = "write temporary file"
	StepSyncTemporary   Step = "sync temporary file"
	StepRename          Step = "rename"
	StepSyncDirectory   Step = "sync directory"
	StepClean           Step = "clean"
)

// SaveError is the failure of a step of Save. The last saved version remains the current one.
type SaveError struct {
	Step Step
	Err  error
}

// Error returns the step and its cause.
func (err *SaveError) Error() string { return "disk: " + string(err.Step) + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *SaveError) Unwrap() error { return err.Err }

// Disk saves versions of one document in a directory. It is not safe for concurrent use.
type Disk struct {
	files   FileSystem
	version uint64
}

// Open returns a Disk and the content of the newest valid version, nil if there is none.
func Open(files FileSystem) (*Disk, []byte, error) {
	names, err := files.List()
	if err != nil {
		return nil, nil, err
	}
	disk := &Disk{files: files}
	content, err := disk.readNewest(names)
	if err != nil {
		return nil, nil, err
	}
	if content == nil {
		return disk, nil, nil
	}
	if err := disk.syncExisting(versionName(disk.version)); err != nil {
		return nil, nil, err
	}
	disk.removeObsolete()
	return disk, content, nil
}

// Save stores the content as the newest version. It returns nil once that version is durable, and otherwise a *SaveError.
func (disk *Disk) Save(content []byte) error {
	next := disk.version + 1
	temporary := temporaryName(next)
	if err := disk.writeTemporary(temporary, encodeFile(next, content)); err != nil {
		_ = disk.files.Remove(temporary)
		return err
	}
	if err := disk.files.Rename(temporary, versionName(next)); err != nil {
		_ = disk.files.Remove(temporary)
		return &SaveError{Step: StepRename, Err: err}
	}
	if err := disk.files.SyncDirectory(); err != nil {
		return &SaveError{Step: StepSyncDirectory, Err: err}
	}
	disk.version = next
	disk.removeObsolete()
	return nil
}

// writeTemporary creates a file with the content and syncs it.
func (disk *Disk) writeTemporary(name string, content []byte) error {
	file, err := disk.files.Create(name)
	if err != nil {
		return &SaveError{Step: StepCreateTemporary, Err: err}
	}
	if _, err := file.Write(content); err != nil {
		_ = file.Close()
		return &SaveError{Step: StepWriteTemporary, Err: err}
	}
	if err := syncAndClose(file); err != nil {
		return &SaveError{Step: StepSyncTemporary, Err: err}
	}
	return nil
}

// syncExisting syncs a version found by Open, and the directory: the process that wrote it may have ended before its
// sync.
func (disk *Disk) syncExisting(name string) error {
	file, err := disk.files.Open(name)
	if err != nil {
		return err
	}
	if err := syncAndClose(file); err != nil {
		return err
	}
	return disk.files.SyncDirectory()
}

// readNewest returns the content of the newest valid version, nil if there is none. A version that cannot be read is an
// error unless a newer one is valid.
func (disk *Disk) readNewest(names []string) ([]byte, error) {
	for _, version := range listVersions(names) {
		file, err := disk.files.Read(versionName(version))
		if err != nil {
			return nil, err
		}
		content, isValid := decodeFile(version, file)
		if !isValid {
			continue
		}
		disk.version = version
		return content, nil
	}
	return nil, nil
}

// removeObsolete removes temporary files and all versions except the newest two. A file that cannot be removed now is
// removed after a later save.
func (disk *Disk) removeObsolete() {
	names, err := disk.files.List()
	if err != nil {
		return
	}
	for _, name := range names {
		if disk.isObsolete(name) {
			_ = disk.files.Remove(name)
		}
	}
}

func (disk *Disk) isObsolete(name string) bool {
	if isTemporaryName(name) {
		return true
	}
	version, isVersion := parseVersionName(name)
	return isVersion && version+retainedVersions <= disk.version
}

// listVersions returns the versions among the names, the newest first.
func listVersions(names []string) []uint64 {
	var versions []uint64
	for _, name := range names {
		if version, isVersion := parseVersionName(name); isVersion {
			versions = append(versions, version)
		}
	}
	slices.SortFunc(versions, func(left, right uint64) int { return cmp.Compare(right, left) })
	return versions
}
