package configstore

// AddressEpoch returns the epoch at which the addresses of the current acceptor set last changed. It is not known while
// the set is joint, while a newer set has been heard of, or before the acceptor of this process has loaded its
// record.
func (store *Store) AddressEpoch() (epoch uint64, known bool) {
	current, newest := store.Current(), store.newestSet.Load()
	if current == nil || newest == nil || !store.isRecordLoaded() {
		return 0, false
	}
	if current.Set.IsJoint() || newest.Epoch > current.Set.Epoch {
		return 0, false
	}
	return current.Set.AddressEpoch, true
}

// isRecordLoaded reports whether the acceptor of this process has loaded its record. It is true without an acceptor.
func (store *Store) isRecordLoaded() bool {
	if store.acceptor == nil {
		return true
	}
	select {
	case <-store.acceptor.recordLoaded:
		return true
	default:
		return false
	}
}
