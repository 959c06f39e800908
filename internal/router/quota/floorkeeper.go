package quota

// floorKeeper is a router's part in storing floor tables on its disk.
type floorKeeper struct {
	// address is the router's address if it has a disk, otherwise empty.
	address string
	// kept is the table on the disk.
	kept FloorTable
	// pending is a table that is still to be written, nil if there is none.
	pending *FloorTable
}

// setKept records the table that is on the disk.
func (k *floorKeeper) setKept(address string, table FloorTable) {
	k.address = address
	k.kept = table
	if k.pending != nil && !k.pending.After(table) {
		k.pending = nil
	}
}

// setPending records the table of a coordinator's answer if it is newer than the one on the disk. It may be nil.
func (k *floorKeeper) setPending(table *FloorTable) {
	if table != nil && table.After(k.kept) {
		k.pending = table
	}
}

// report returns the address and the table for a report to the coordinator of a term. A coordinator that knows the
// router does not need the floors of a table that it made itself.
func (k *floorKeeper) report(term uint64, whole bool) (address string, table FloorTable) {
	table = k.kept
	if table.Term == term && !whole {
		table.Floors = nil
	}
	return k.address, table
}
