package eureka

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"

	"pewterrudder/internal/roster"
)

// status as Eureka knows it, in the order of the names, which is that of the hash code.
type status uint8

const (
	down status = iota
	outOfService
	starting
	unknown
	up
	statuses
)

var statusNames = [statuses]string{"DOWN", "OUT_OF_SERVICE", "STARTING", "UNKNOWN", "UP"}

// statusOf reads a name; any other name counts as UNKNOWN, as in the published client.
func statusOf(name string) status {
	if i := slices.Index(statusNames[:], strings.ToUpper(name)); i >= 0 {
		return status(i)
	}
	return unknown
}

// state is what a status means for calls.
func (s status) state() roster.State {
	switch s {
	case up:
		return roster.Up
	case starting:
		return roster.Gone // in no service yet, and what was open to a process before it leads nowhere
	}
	// DOWN: its own check fails, and what it still answers may count. OUT_OF_SERVICE: taken out by hand or by itself,
	// while it works on. UNKNOWN, or a status of another's: nobody says that it may have calls.
	return roster.Draining
}

// Keys name the metadata that entries are made of. An empty key takes nothing.
type Keys struct {
	ID      string // in place of the instance's id
	Zone    string // else the availability zone of the data centre's own information
	Kind    string
	Cell    string
	Weight  string
	Started string // Unix ms on the app node's clock, in place of what the registry says
	Labels  []string
}

// DefaultKeys are what Spring Cloud's clients and ours write.
func DefaultKeys() Keys {
	return Keys{Zone: "zone", Kind: "kind", Cell: "cell", Weight: "weight"}
}

const (
	amazonZone = "availability-zone"
	amazonID   = "instance-id"
)

// wants says whether a metadata key is of use: the others are not held.
func (k *Keys) wants(key string) bool {
	return key != "" && (key == k.ID || key == k.Zone || key == k.Kind || key == k.Cell || key == k.Weight ||
		key == k.Started || slices.Contains(k.Labels, key))
}

// instance is what an answer says of one, as far as it is of use.
type instance struct {
	app, id, host, ip string
	status            status
	action            string
	port, securePort  int
	plain, secure     bool
	updated, up       int64 // Unix ms on the registry's clock
	amazonID, zone    string
	meta              map[string]string
}

// name is the id as the published client finds it.
func (in *instance) name() string { return cmp.Or(in.id, in.amazonID, in.host) }

// key is what the registry keeps it under: ids are its app's own.
func (in *instance) key() string { return in.app + "/" + in.name() }

// entry makes the list's entry. An error says why no call can go there; flaw names a value that was passed over.
func (in *instance) entry(k *Keys, byHost bool) (e roster.Entry, flaw, err error) {
	e = roster.Entry{ID: in.name(), Zone: in.zone, Weight: 1, State: in.status.state()}
	if id := in.meta[k.ID]; k.ID != "" && id != "" {
		e.ID = id
	}
	host := cmp.Or(in.ip, in.host)
	if byHost {
		host = cmp.Or(in.host, in.ip)
	}
	switch {
	case host == "" || strings.ContainsAny(host, " /@?#"):
		return e, nil, fmt.Errorf("%s has no usable host: %q", in.key(), host)
	case !in.plain:
		return e, nil, fmt.Errorf("%s has no plain port", in.key()) // app nodes are called without TLS
	case in.port < 1 || in.port > 65535:
		return e, nil, fmt.Errorf("%s: port %d is out of range", in.key(), in.port)
	}
	e.Address = net.JoinHostPort(strings.Trim(host, "[]"), strconv.Itoa(in.port))
	if zone := in.meta[k.Zone]; zone != "" {
		e.Zone = zone
	}
	e.Kind = in.meta[k.Kind]
	if text := in.meta[k.Cell]; text != "" {
		cell, err := strconv.Atoi(text)
		if err != nil {
			flaw = fmt.Errorf("%s: %s: %q is no number", in.key(), k.Cell, text)
		} else {
			e.Cell = cell
		}
	}
	if text := in.meta[k.Weight]; text != "" {
		w, err := strconv.ParseFloat(text, 64)
		if err != nil || !(w > 0 && w <= math.MaxInt32) {
			flaw = fmt.Errorf("%s: %s: %q is no weight", in.key(), k.Weight, text)
		} else {
			e.Weight = w
		}
	}
	for _, key := range k.Labels {
		if v, ok := in.meta[key]; ok {
			if e.Labels == nil {
				e.Labels = map[string]string{}
			}
			e.Labels[key] = v
		}
	}
	return e, flaw, nil
}

func same(a, b *roster.Entry) bool {
	return a.ID == b.ID && a.Address == b.Address && a.Zone == b.Zone && a.Kind == b.Kind && a.Cell == b.Cell &&
		a.Weight == b.Weight && a.Started == b.Started && a.State == b.State && maps.Equal(a.Labels, b.Labels)
}
