package store

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/segment"
)

// The manifest lists the segments in use.

const manifestMagic = "larkreach journal manifest 1\n"

// readManifest returns the names of the segments in use. Without a manifest this is empty, and all segments are in
// use: the store is new, or its creation was interrupted. If the manifest is unreadable the result is nil, and all
// existing segments and outputs are in use: a record that is in two of them is the same record, and a key whose
// tombstone was removed by a compaction reappears with its own records, which mark the message as may-have-run.
func (s *Store) readManifest(names []string) (map[string]bool, error) {
	if !slices.Contains(names, manifestName) {
		return map[string]bool{}, nil
	}
	f, err := s.options.FS.Open(manifestName)
	if err != nil {
		return nil, fmt.Errorf("store: manifest: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.NewSectionReader(f, 0, maxManifestSize))
	if err != nil {
		return nil, fmt.Errorf("store: manifest: %w", err)
	}
	damaged := func(err error) (map[string]bool, error) {
		s.nextSegment, s.nextSequence, s.lastKey = 1, 1, 0
		s.options.Report(fmt.Sprintf("journal: manifest: %v; all existing segments are used", err))
		return nil, nil
	}
	scanner, err := segment.NewScanner(strings.NewReader(string(raw)))
	if err != nil {
		return damaged(err)
	}
	record, ok := scanner.Next()
	text, hasMagic := strings.CutPrefix(string(record.Payload), manifestMagic)
	if !ok || !hasMagic {
		return damaged(segment.ErrNotSegment)
	}
	listed := map[string]bool{}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if i > 0 {
			listed[line] = true
			continue
		}
		if _, err := fmt.Sscanf(line, "next %d record %d key %d", &s.nextSegment, &s.nextSequence, &s.lastKey); err != nil {
			return damaged(err)
		}
	}
	s.storeID = scanner.Header().StoreID
	return listed, nil
}

// encodeManifest returns a manifest that lists the present segments; s.mu is held, or the store is not shared yet.
func (s *Store) encodeManifest() []byte {
	text := []byte(manifestMagic)
	text = fmt.Appendf(text, "next %d record %d key %d\n", s.nextSegment, s.nextSequence, s.lastKey)
	for _, seg := range s.sortedSegments() {
		text = fmt.Appendf(text, "%s\n", seg.name)
	}
	return text
}

// replaceManifest replaces the manifest as a whole.
func (s *Store) replaceManifest(text []byte) error {
	header := segment.Header{StoreID: s.storeID}
	b := segment.AppendHeader(nil, header)
	b, err := segment.Append(b, header, int64(len(b)), text)
	if err != nil {
		return fmt.Errorf("store: manifest: %w", err)
	}
	replaced, err := fsys.Replace(s.options.FS, manifestName, b, s.options.Durability != SyncNever)
	switch {
	case err != nil && replaced:
		return fmt.Errorf("store: manifest: %w: %w", errManifestUncertain, err)
	case err != nil:
		return fmt.Errorf("store: manifest: %w", err)
	}
	return nil
}

// errManifestUncertain means that the next open may read either the old or the new manifest.
var errManifestUncertain = errors.New("replacement may not be durable")
