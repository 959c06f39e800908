package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/tailscale/hujson"
)

// SettingsVariable is the environment variable with the path of the settings file, used if no flag gives one.
const SettingsVariable = "RUDDER_SETTINGS"

// Service holds the settings of an installation, in addition to what its platform provides. They come from a file of
// JSON with comments, in which every key may be left out. deploy/settings.json shows all keys with their defaults.
type Service struct {
	Flow    Flow    `json:"flow"`
	Routes  []Route `json:"routes"` // empty: every request goes to the default pool
	Pools   []Pool  `json:"pools"`  // empty: a single pool with every app node
	Zones   Zones   `json:"zones"`  // for every pool
	Roster  Roster  `json:"roster"`
	Catalog Catalog `json:"catalog"` // routes, pools and tenants in addition to those in the files
	Box     Box     `json:"box"`
	Peers   Peers   `json:"peers"` // the other balancers
}

// Box configures the appliance mode, in which operators' edits are stored in a directory and made through a socket in
// it.
type Box struct {
	State string `json:"state"` // the directory; empty: no appliance mode, as on the platform
}

// Flow limits the bodies that are streamed instead of being buffered whole.
type Flow struct {
	MaxAnswerBytes int64   `json:"max_answer_bytes"` // a longer answer is treated as a failure
	MaxUploadBytes int64   `json:"max_upload_bytes"` // a longer upload is rejected with 413; 0: only buffered uploads pass
	MemoryShare    float64 `json:"memory_share"`     // share of limits.memory_mb for all streamed bodies together
	WaitMs         float64 `json:"wait_ms"`          // for that memory, before the request fails
	StallMs        float64 `json:"stall_ms"`         // for the rest of a stalled answer; 0: learned
	ClientIdleMs   float64 `json:"client_idle_ms"`   // for a client that neither reads nor sends in mid-body
}

// DefaultService returns the settings that apply where the file sets nothing. They let bodies of up to 32 MB pass in
// both directions, as the platform has them, through peers that pause for seconds.
func DefaultService() Service {
	return Service{Roster: defaultRoster(), Catalog: Catalog{Addresses: []string{}}, Peers: defaultPeers(), Flow: Flow{
		MaxAnswerBytes: 40 << 20, // an answer that announces gigabytes is a fault
		MaxUploadBytes: 40 << 20, // no legitimate client uploads 60 MB
		MemoryShare:    0.1875,   // 6 MiB of the smallest machine's 32: 96 slow clients, or 48 answers that begin
		WaitMs:         250,      // buffered data is sent on within milliseconds, unless all clients read slowly
		ClientIdleMs:   10_000,   // peers may take seconds to read
	}}
}

// LoadService reads the settings file at path. With an empty path the defaults apply. An error names the key at fault.
func LoadService(path string) (Service, error) {
	s := DefaultService()
	if path == "" {
		return s, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return s, fmt.Errorf("settings file: %w", err)
	}
	if err := s.read(raw); err != nil {
		return s, fmt.Errorf("settings file: %s: %w", path, err)
	}
	return s, nil
}

func (s *Service) read(raw []byte) error {
	plain, err := hujson.Standardize(bytes.Clone(raw)) // Standardize overwrites comments in place
	if err != nil {
		return err // with line and column
	}
	in := json.NewDecoder(bytes.NewReader(plain))
	in.DisallowUnknownFields()
	s.Roster.Sources = nil // a configured list replaces the default and must not be merged with it
	if err := in.Decode(s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			line := 1 + bytes.Count(plain[:typeErr.Offset], []byte("\n")) // the key alone is ambiguous inside a list
			return fmt.Errorf("line %d: %s: %s is not a %s", line, typeErr.Field, typeErr.Value, typeErr.Type)
		}
		return err
	}
	if s.Roster.Sources == nil {
		s.Roster.Sources = defaultRoster().Sources
	}
	return s.check()
}

func (s *Service) check() error {
	if err := s.Roster.check(); err != nil {
		return err
	}
	f := &s.Flow
	for _, k := range []struct {
		key    string
		v      float64
		lo, hi float64
		reason string
	}{
		{"max_answer_bytes", float64(f.MaxAnswerBytes), 64 << 10, 1 << 40, "bodies up to the minimum are buffered whole"},
		{"max_upload_bytes", float64(f.MaxUploadBytes), 0, 1 << 40, "0 rejects uploads over 64 KiB"},
		{"memory_share", f.MemoryShare, 0.01, 0.5, "the rest of the memory has other uses"},
		{"wait_ms", f.WaitMs, 0, 60_000, "no client waits longer"},
		{"stall_ms", f.StallMs, 0, 600_000, "with 0 it is learned"},
		{"client_idle_ms", f.ClientIdleMs, 10, 600_000, "networks cause shorter pauses"},
	} {
		if !(k.v >= k.lo && k.v <= k.hi) { // NaN fails both
			return fmt.Errorf("flow.%s: %v is outside %v to %v: %s", k.key, k.v, k.lo, k.hi, k.reason)
		}
	}
	if err := s.Zones.check(); err != nil {
		return err
	}
	if err := s.Catalog.check(); err != nil {
		return err
	}
	if err := s.Peers.check(); err != nil {
		return err
	}
	return s.checkRoutes()
}

// Room returns the memory for streamed bodies, in bytes.
func (f Flow) Room(l Limits) int { return int(f.MemoryShare * float64(l.MemoryMB) * (1 << 20)) }

// Wait, Stall and ClientIdle return the times as durations.
func (f Flow) Wait() time.Duration       { return FromMs(f.WaitMs) }
func (f Flow) Stall() time.Duration      { return FromMs(f.StallMs) }
func (f Flow) ClientIdle() time.Duration { return FromMs(f.ClientIdleMs) }
