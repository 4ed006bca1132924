package controlplane

import (
	"errors"
	"fmt"
	"iter"

	configentry "mulleinbeam/internal/cluster/entry"
)

// Configuration entries are values under keys that operators commit and every forwarder puts into force. Package entry
// defines their content; here it is opaque, so that processes pass on entries of versions that they do not know.

// EntryChange sets or deletes the entry of a key.
type EntryChange struct {
	Key     string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint,omitempty"`
	Deleted bool   `cbor:"3,keyasint,omitempty"`
}

// ConfigEntry is a committed entry. It is immutable.
type ConfigEntry struct {
	Content  []byte `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"` // version at which it was set
}

// ConfigRevision is the version at which any entry last changed.
type ConfigRevision struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
}

// Limits of the configuration.
const (
	maxEntryBytes   = configentry.MaxBytes
	maxEntryKey     = 256
	maxEntryChanges = 1024      // in one command
	maxChangeBytes  = 512 << 10 // in one command
	maxEntries      = 65_536
	maxConfigBytes  = 16 << 20 // of all entries
)

// The reasons for which a configuration change is refused, besides ErrConflict.
var (
	ErrNoEntry      = errors.New("controlplane: no such configuration entry")
	ErrConfigTooBig = errors.New("controlplane: the configuration, an entry or a change exceeds its size limit")
	ErrNoChange     = errors.New("controlplane: the change contains no entry, an empty key or a duplicate key")
)

// configure applies a configuration change, either whole or not at all.
func (s *State) configure(c Command) error {
	if c.From != s.Configured {
		return ErrConflict
	}
	if err := s.checkChanges(c.Entries); err != nil {
		return err
	}
	if s.Entries == nil {
		s.Entries = map[string]*ConfigEntry{}
	}
	for _, change := range c.Entries {
		if before := s.Entries[change.Key]; before != nil {
			s.EntryBytes -= len(change.Key) + len(before.Content)
		}
		if change.Deleted {
			delete(s.Entries, change.Key)
			s.markDeleted(configPrefix + change.Key)
			continue
		}
		s.EntryBytes += len(change.Key) + len(change.Content)
		s.Entries[change.Key] = &ConfigEntry{Content: change.Content, Revision: s.Version}
		s.markChanged(configPrefix + change.Key)
	}
	s.Configured = s.Version
	s.markChanged(configRevisionKey)
	return nil
}

// checkChanges returns why changes cannot be applied, or nil.
func (s *State) checkChanges(changes []EntryChange) error {
	if err := checkChangeSizes(changes); err != nil {
		return err
	}
	count, size := len(s.Entries), s.EntryBytes
	seen := make(map[string]bool, len(changes))
	for _, change := range changes {
		if seen[change.Key] {
			return ErrNoChange
		}
		seen[change.Key] = true
		before := s.Entries[change.Key]
		if before != nil {
			count--
			size -= len(change.Key) + len(before.Content)
		}
		switch {
		case change.Deleted && before == nil:
			return ErrNoEntry
		case !change.Deleted:
			count++
			size += len(change.Key) + len(change.Content)
		}
	}
	if count > maxEntries || size > maxConfigBytes {
		return ErrConfigTooBig
	}
	return nil
}

// checkChangeSizes returns an error if the changes themselves exceed a limit. A leader checks this before it proposes
// them, so that nothing oversized gets into the Raft log.
func checkChangeSizes(changes []EntryChange) error {
	if len(changes) == 0 {
		return ErrNoChange
	}
	size := 0
	for _, change := range changes {
		if change.Key == "" {
			return ErrNoChange
		}
		if len(change.Key) > maxEntryKey || len(change.Content) > maxEntryBytes {
			return ErrConfigTooBig
		}
		size += len(change.Key) + len(change.Content)
	}
	if len(changes) > maxEntryChanges || size > maxChangeBytes {
		return ErrConfigTooBig
	}
	return nil
}

// EntryContents iterates over the contents of the committed entries by key, in no particular order.
func (s *State) EntryContents() iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for key, e := range s.Entries {
			if !yield(key, e.Content) {
				return
			}
		}
	}
}

// proposeConfiguration proposes a configuration change if CheckEntry accepts every entry in it.
func (s *Server) proposeConfiguration(cmd Command, reply func(Response)) {
	if err := s.checkEntries(cmd.Entries); err != nil {
		reply(Response{Refused: err.Error(), Version: s.core.State().Version})
		return
	}
	s.propose(cmd, reply)
}

// checkEntries returns why changes may not be proposed, or nil.
func (s *Server) checkEntries(changes []EntryChange) error {
	if err := checkChangeSizes(changes); err != nil {
		return err
	}
	for _, change := range changes {
		if change.Deleted || s.CheckEntry == nil {
			continue
		}
		if err := s.CheckEntry(change.Key, change.Content); err != nil {
			return fmt.Errorf("%s: %w", change.Key, err)
		}
	}
	return nil
}
