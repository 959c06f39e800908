package days

import (
	"bytes"
	"slices"

	"github.com/BurntSushi/toml"
	"github.com/pkg/errors"
)

// Variant says how a deployment differs from the site that it is made from.
type Variant struct {
	Name string `toml:"name"`
	// Disks is how many machines have a disk, in the order of the site; AllDisks leaves them as they are.
	Disks int `toml:"disks"`
	// MachinesWithDisk is the number of machines of each group with a disk, zero to leave it.
	MachinesWithDisk int `toml:"machines_with_disk"`
	// Tolerate is how many machines that count may be lost at once.
	Tolerate int `toml:"tolerate"`
	// OneZone puts everything into the first zone.
	OneZone bool `toml:"one_zone"`
	// WithoutClosings lists the final faults that the deployment can't bear; days that end with one end without.
	WithoutClosings []string `toml:"without_closings"`
	// WithoutFaults lists the kinds of trouble that the deployment can't bear.
	WithoutFaults []string `toml:"without_faults"`
}

// AllDisks stands for the disks of the site.
const AllDisks = -1

// site is a site file, of which only some parts are known here.
type site = map[string]any

// ReadVariant reads the file of a variant.
func ReadVariant(content []byte) (Variant, error) {
	variant := Variant{Disks: AllDisks}
	meta, err := toml.Decode(string(content), &variant)
	if err != nil {
		return variant, errors.Wrap(err, "variant")
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return variant, errors.Errorf("variant: unknown key %s", unknown[0])
	}
	return variant, nil
}

// Apply makes the variant's site file from another one.
func (v Variant) Apply(content []byte) ([]byte, error) {
	var base site
	if err := toml.Unmarshal(content, &base); err != nil {
		return nil, errors.Wrap(err, "site")
	}
	base["name"] = v.Name
	v.changeMachines(base)
	if tolerate, ok := base["tolerate"].(site); ok {
		tolerate["machines"] = v.Tolerate
	}
	v.dropTroubles(base)
	if v.OneZone {
		base = joinZones(base)
	}
	var buffer bytes.Buffer
	if err := toml.NewEncoder(&buffer).Encode(base); err != nil {
		return nil, errors.Wrap(err, "variant")
	}
	return buffer.Bytes(), nil
}

// changeMachines takes disks away and changes the numbers of machines that have one.
func (v Variant) changeMachines(base site) {
	left := v.Disks
	for _, machine := range tables(base["machines"]) {
		if machine["disk"] == nil {
			continue
		}
		if left == 0 {
			delete(machine, "disk")
			delete(machine, "counted")
			continue
		}
		if left > 0 {
			left--
		}
		if v.MachinesWithDisk > 0 {
			machine["count"] = v.MachinesWithDisk
		}
	}
}

// dropTroubles takes away what the deployment can't bear.
func (v Variant) dropTroubles(base site) {
	isDropped := func(entry site) bool {
		kind, _ := entry["kind"].(string)
		return slices.Contains(v.WithoutFaults, kind)
	}
	base["troubles"] = slices.DeleteFunc(tables(base["troubles"]), isDropped)
	for _, day := range tables(base["day"]) {
		if closing, ok := day["closing"].(site); ok && slices.Contains(v.WithoutClosings, closing["kind"].(string)) {
			delete(day, "closing")
		}
		for _, list := range []string{"faults", "plan"} {
			if day[list] != nil {
				day[list] = slices.DeleteFunc(tables(day[list]), isDropped)
			}
		}
	}
}

// joinZones gives everything the name of the first zone.
func joinZones(base site) site {
	zones := tables(base["zones"])
	if len(zones) == 0 {
		return base
	}
	first, _ := zones[0]["name"].(string)
	isZone := map[string]bool{}
	for _, zone := range zones {
		name, _ := zone["name"].(string)
		isZone[name] = true
	}
	base["zones"] = zones[:1]
	joined, _ := renameZones(base, isZone, first).(site)
	return joined
}

// renameZones replaces each string that names a zone.
func renameZones(value any, isZone map[string]bool, name string) any {
	switch value := value.(type) {
	case string:
		if isZone[value] {
			return name
		}
	case site:
		for key := range value {
			value[key] = renameZones(value[key], isZone, name)
		}
	case []site:
		for index := range value {
			value[index], _ = renameZones(value[index], isZone, name).(site)
		}
	case []any:
		for index := range value {
			value[index] = renameZones(value[index], isZone, name)
		}
	}
	return value
}

// tables returns a list of tables, however it was written.
func tables(value any) []site {
	if list, ok := value.([]site); ok {
		return list
	}
	entries, _ := value.([]any)
	list := make([]site, 0, len(entries))
	for _, entry := range entries {
		if table, ok := entry.(site); ok {
			list = append(list, table)
		}
	}
	return list
}
