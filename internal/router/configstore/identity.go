package configstore

import (
	"crypto/rand"
	"encoding/hex"
	"slices"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/casregister"
	"pewterrudder/internal/router/disk"
)

// randomSuffixBytes is the number of random bytes in acceptor identities and proposer names.
const randomSuffixBytes = 8

func randomSuffix() string {
	suffix := make([]byte, randomSuffixBytes)
	_, _ = rand.Read(suffix)
	return hex.EncodeToString(suffix)
}

// initialSet returns the acceptor set of the register's initial value: the seeds, each with its address as identity.
// It is zero unless the fleet is being bootstrapped.
func initialSet(options Options) casregister.Set {
	if !options.Bootstrap {
		return casregister.Set{}
	}
	voters := make([]casregister.Acceptor, 0, len(options.Seeds))
	for _, address := range options.Seeds {
		voters = append(voters, casregister.Acceptor{ID: casregister.AcceptorID(address), Address: address})
	}
	return casregister.Set{Voters: voters}
}

// newIdentity returns the identity of an acceptor without a record. Only a seed of a fleet that is being bootstrapped
// gets its address as identity; otherwise a random suffix tells it from an earlier acceptor at the same address.
func newIdentity(options Options) casregister.AcceptorID {
	address := options.Self.Address
	if options.Bootstrap && slices.Contains(options.Seeds, address) {
		return casregister.AcceptorID(address)
	}
	return casregister.AcceptorID(address + "#" + randomSuffix())
}

// openRecord opens the disk and reads the acceptor's record. On an empty disk it creates a record with a new
// identity, and saves it before the identity is used. A volatile acceptor has no disk, and gets a new record in each
// process.
func openRecord(options Options) (*disk.Disk, casregister.Record, error) {
	if options.Self.Volatile {
		return nil, newRecord(options), nil
	}
	files, err := openFileSystem(options)
	if err != nil {
		return nil, casregister.Record{}, err
	}
	recordDisk, content, err := disk.Open(files)
	if err != nil {
		return nil, casregister.Record{}, err
	}
	if content != nil {
		record, err := decodeRecord(content)
		return recordDisk, record, err
	}
	record := newRecord(options)
	if err := saveRecord(recordDisk, record); err != nil {
		return nil, casregister.Record{}, err
	}
	return recordDisk, record, nil
}

// newRecord returns the record of a new acceptor.
func newRecord(options Options) casregister.Record {
	return casregister.Record{ID: newIdentity(options), First: initialSet(options)}
}

func openFileSystem(options Options) (disk.FileSystem, error) {
	if options.Files != nil {
		return options.Files, nil
	}
	return disk.OpenDirectory(options.Directory)
}

func saveRecord(recordDisk *disk.Disk, record casregister.Record) error {
	content, err := msgpack.Marshal(&record)
	if err != nil {
		return errors.Wrap(err, "configstore: encode the acceptor record")
	}
	return recordDisk.Save(content)
}

func decodeRecord(content []byte) (casregister.Record, error) {
	var record casregister.Record
	if err := msgpack.Unmarshal(content, &record); err != nil {
		return record, errors.Wrap(err, "configstore: decode the acceptor record")
	}
	return record, nil
}
