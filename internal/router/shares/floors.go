package shares

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"pewterrudder/internal/router/periodic"
	"pewterrudder/internal/router/quota"
)

// FloorStore persists an encoded quota.FloorTable. Its calls may block for as long as the disk hangs.
type FloorStore interface {
	// Load returns the content that was saved last, or nil if there is none.
	Load() ([]byte, error)
	// Save replaces the stored content.
	Save(content []byte) error
}

// floorRetryDelay is the pause after a failed read or write of the floor table.
const floorRetryDelay = time.Second

// runFloors persists the floor tables that the coordinator sends, until the context ends. The router confirms no table before
// it has read the one on its disk.
func (s *Shares) runFloors(ctx context.Context) {
	for {
		err := s.loadFloors()
		if err == nil {
			break
		}
		s.options.Log.WithError(err).Warn("cannot read quota floors, retrying")
		if !periodic.Sleep(ctx, floorRetryDelay) {
			return
		}
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.floorWake:
		}
		if err := s.saveFloors(); err != nil {
			s.options.Log.WithError(err).Warn("cannot save quota floors")
			if !periodic.Sleep(ctx, floorRetryDelay) {
				return
			}
		}
	}
}

func (s *Shares) loadFloors() error {
	content, err := s.options.Floors.Load()
	if err != nil {
		return err
	}
	var table quota.FloorTable
	if content != nil {
		if err := msgpack.Unmarshal(content, &table); err != nil {
			return errors.Wrap(err, "decode quota floors")
		}
	}
	s.confirmFloors(table)
	return nil
}

// saveFloors writes the table that the coordinator wants stored, if any, and triggers a report that confirms it.
func (s *Shares) saveFloors() error {
	s.local.Lock()
	table := s.local.admission.PendingFloors()
	s.local.Unlock()
	if table == nil {
		return nil
	}
	content, err := msgpack.Marshal(table)
	if err != nil {
		return errors.Wrap(err, "encode quota floors")
	}
	if err := s.options.Floors.Save(content); err != nil {
		return err
	}
	s.confirmFloors(*table)
	s.wakeExchangeIf(true)
	return nil
}

// confirmFloors notes that the table is on this router's disk, so that the next report says so.
func (s *Shares) confirmFloors(table quota.FloorTable) {
	s.local.Lock()
	defer s.local.Unlock()
	s.local.admission.SetKeptFloors(s.options.Address, table)
}

// wakeFloors makes runFloors save the table that the coordinator wants stored.
func (s *Shares) wakeFloors() {
	select {
	case s.floorWake <- struct{}{}:
	default:
	}
}
