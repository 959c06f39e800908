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

// SettingsVariable names the settings file where no flag does.
const SettingsVariable = "RUDDER_SETTINGS"

// Service is what an installation sets for itself, beside what its platform tells it: a file of JSON with comments,
// every key of which may be left out. deploy/settings.json shows them all with their defaults.
type Service struct {
	Flow    Flow    `json:"flow"`
	Routes  []Route `json:"routes"` // none: every call goes to the default pool
	Pools   []Pool  `json:"pools"`  // none: one, with every app node
	Zones   Zones   `json:"zones"`  // of every pool
	Roster  Roster  `json:"roster"`
	Catalog Catalog `json:"catalog"` // what is told of routes, pools and tenants beside the files
	Box     Box     `json:"box"`
	Peers   Peers   `json:"peers"` // the other balancers
}

// Box is what makes the program an appliance: operators' edits are held in a folder, and asked for over a socket in it.
type Box struct {
	State string `json:"state"` // the folder; none: neither is there, as on the platform
}

// Flow bounds the bodies that pass through without being held whole.
type Flow struct {
	MaxAnswerBytes int64   `json:"max_answer_bytes"` // a longer answer counts as broken
	MaxUploadBytes int64   `json:"max_upload_bytes"` // a longer upload is refused with 413; 0: as far as bodies are held
	MemoryShare    float64 `json:"memory_share"`     // of limits.memory_mb, for all that flows together
	WaitMs         float64 `json:"wait_ms"`          // for that memory, before the call is given up
	StallMs        float64 `json:"stall_ms"`         // for the rest of an answer that has stopped; 0: learned
	ClientIdleMs   float64 `json:"client_idle_ms"`   // for a client that takes or sends nothing in the middle of a body
}

// DefaultService is in force where no file says otherwise. Bodies of up to 32 MB pass both ways, since the platform has
// them, by peers that stop for seconds.
func DefaultService() Service {
	return Service{Roster: defaultRoster(), Catalog: Catalog{Addresses: []string{}}, Peers: defaultPeers(), Flow: Flow{
		MaxAnswerBytes: 40 << 20, // what says that it has gigabytes is broken
		MaxUploadBytes: 40 << 20, // and 60 MB are no client's of ours
		MemoryShare:    0.1875,   // 6 MiB of the smallest machine's 32: 96 slow clients, 48 answers at their beginning
		WaitMs:         250,      // what is held passes on within milliseconds, unless all clients read slowly
		ClientIdleMs:   10_000,   // peers take seconds to read
	}}
}

// LoadService reads the settings file at a path; with no path the defaults hold. An error names the key at fault.
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
	plain, err := hujson.Standardize(bytes.Clone(raw)) // it writes over comments in place
	if err != nil {
		return err // with line and column
	}
	in := json.NewDecoder(bytes.NewReader(plain))
	in.DisallowUnknownFields()
	s.Roster.Sources = nil // a list that is told takes the place of the default, and must not be mixed with it
	if err := in.Decode(s); err != nil {
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			line := 1 + bytes.Count(plain[:wrong.Offset], []byte("\n")) // in a list the key alone does not tell the place
			return fmt.Errorf("line %d: %s: %s is no %s", line, wrong.Field, wrong.Value, wrong.Type)
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
		key     string
		v       float64
		lo, hi  float64
		because string
	}{
		{"max_answer_bytes", float64(f.MaxAnswerBytes), 64 << 10, 1 << 40, "what is held whole is the least"},
		{"max_upload_bytes", float64(f.MaxUploadBytes), 0, 1 << 40, "0 turns uploads over 64 KiB away"},
		{"memory_share", f.MemoryShare, 0.01, 0.5, "the rest of the memory has other uses"},
		{"wait_ms", f.WaitMs, 0, 60_000, "no client waits longer"},
		{"stall_ms", f.StallMs, 0, 600_000, "0 has it learned"},
		{"client_idle_ms", f.ClientIdleMs, 10, 600_000, "a shorter pause is a network's"},
	} {
		if !(k.v >= k.lo && k.v <= k.hi) { // NaN fails both
			return fmt.Errorf("flow.%s: %v lies outside %v to %v: %s", k.key, k.v, k.lo, k.hi, k.because)
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

// Room is the memory lent to what flows, in bytes.
func (f Flow) Room(l Limits) int { return int(f.MemoryShare * float64(l.MemoryMB) * (1 << 20)) }

// Wait, Stall and ClientIdle are the times as durations.
func (f Flow) Wait() time.Duration       { return FromMs(f.WaitMs) }
func (f Flow) Stall() time.Duration      { return FromMs(f.StallMs) }
func (f Flow) ClientIdle() time.Duration { return FromMs(f.ClientIdleMs) }
