package controlplane

import (
	"errors"
	"fmt"
	"iter"

	configentry "mulleinbeam/internal/cluster/entry"
)

// Configuration entries: values under keys that operators commit and every forwarder puts into force. What is in an entry is package entry's; here
// it is opaque, so that processes of different versions pass on what they do not know.

// EntryChange sets the entry of a key, or deletes it.
type EntryChange struct {
	Key     string `cbor:"1,keyasint"`
	Content []byte `cbor:"2,keyasint,omitempty"`
	Deleted bool   `cbor:"3,keyasint,omitempty"`
}

// ConfigEntry is a committed entry. It is never changed in place.
type ConfigEntry struct {
	Content  []byte `cbor:"1,keyasint,omitempty"`
	Revision uint64 `cbor:"2,keyasint,omitempty"` // at which it was set
}

// ConfigRevision is the version at which any entry last changed.
type ConfigRevision struct {
	Revision uint64 `cbor:"1,keyasint,omitempty"`
}

// Bounds of the configuration.
const (
	maxEntryBytes   = configentry.MaxBytes
	maxEntryKey     = 256
	maxEntryChanges = 1024      // in one command
	maxChangeBytes  = 512 << 10 // of one command
	maxEntries      = 65_536
	maxConfigBytes  = 16 << 20 // of all entries
)

// The reasons for which a change of the configuration is refused, besides ErrLater.
var (
	ErrNoEntry      = errors.New("council: no such configuration entry")
	ErrConfigTooBig = errors.New("council: the configuration, an entry or a change of it would be too large")
	ErrNoChange     = errors.New("council: the change names no entry, or one twice")
)

// configure applies a change of the configuration, all of it or nothing.
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
			s.drop(configPrefix + change.Key)
			continue
		}
		s.EntryBytes += len(change.Key) + len(change.Content)
		s.Entries[change.Key] = &ConfigEntry{Content: change.Content, Revision: s.Version}
		s.touch(configPrefix + change.Key)
	}
	s.Configured = s.Version
	s.touch(configRevisionKey)
	return nil
}

// checkChanges says why changes can't be applied.
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

// checkChangeSizes says whether changes are too large by themselves. A leader asks before it proposes them, so that nothing large gets into
// the log.
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

// EntryContents goes through the committed entries' contents by key, in no order.
func (s *State) EntryContents() iter.Seq2[string, []byte] {
	return func(yield func(string, []byte) bool) {
		for key, e := range s.Entries {
			if !yield(key, e.Content) {
				return
			}
		}
	}
}

// proposeConfiguration has a change of the configuration committed if every entry in it passes the check of this program.
func (s *Server) proposeConfiguration(cmd Command, tell func(Response)) {
	if err := s.checkEntries(cmd.Entries); err != nil {
		tell(Response{Refused: err.Error(), Version: s.core.State().Version})
		return
	}
	s.propose(cmd, tell)
}

// checkEntries says why changes may not be proposed.
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
