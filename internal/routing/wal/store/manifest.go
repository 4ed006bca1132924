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

// The manifest: which segments count.

const manifestMark = "larkreach journal manifest 1\n"

// readManifest reads which segments count. Without one all that are there do: the store is new, or its making was cut
// short. Where it can't be read, nil says that all count which are there, outputs too: what is in two of them is the same record,
// and a key whose end went with a compaction comes back with its own records, which say that it may have run.
func (s *Store) readManifest(names []string) (map[string]bool, error) {
	if !slices.Contains(names, manifest) {
		return map[string]bool{}, nil
	}
	f, err := s.o.FS.Open(manifest)
	if err != nil {
		return nil, fmt.Errorf("store: manifest: %w", err)
	}
	defer f.Close()
	raw, err := io.ReadAll(io.NewSectionReader(f, 0, mostPaper))
	if err != nil {
		return nil, fmt.Errorf("store: manifest: %w", err)
	}
	damaged := func(err error) (map[string]bool, error) {
		s.next, s.record, s.lastKey = 1, 1, 0
		s.o.Report(fmt.Sprintf("journal: manifest: %v; all segments that are there count", err))
		return nil, nil
	}
	sc, err := segment.NewScanner(strings.NewReader(string(raw)))
	if err != nil {
		return damaged(err)
	}
	rec, ok := sc.Next()
	text, marked := strings.CutPrefix(string(rec.Payload), manifestMark)
	if !ok || !marked {
		return damaged(segment.ErrNotSegment)
	}
	listed := map[string]bool{}
	for i, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		if i > 0 {
			listed[line] = true
			continue
		}
		if _, err := fmt.Sscanf(line, "next %d record %d key %d", &s.next, &s.record, &s.lastKey); err != nil {
			return damaged(err)
		}
	}
	s.head = sc.Header().StoreID
	return listed, nil
}

// manifestBytes is a manifest that lists the present segments; s.mu is held, or nobody else is there yet.
func (s *Store) manifestBytes() []byte {
	text := []byte(manifestMark)
	text = fmt.Appendf(text, "next %d record %d key %d\n", s.next, s.record, s.lastKey)
	for _, g := range s.ordered() {
		text = fmt.Appendf(text, "%s\n", g.name)
	}
	return text
}

// replaceManifest replaces the manifest whole.
func (s *Store) replaceManifest(text []byte) error {
	h := segment.Header{StoreID: s.head}
	b := segment.AppendHeader(nil, h)
	b, err := segment.Append(b, h, int64(len(b)), text)
	if err != nil {
		return fmt.Errorf("store: manifest: %w", err)
	}
	there, err := fsys.Replace(s.o.FS, manifest, b, s.o.Durability != SyncNever)
	switch {
	case err != nil && there:
		return fmt.Errorf("store: manifest: %w: %w", errUncertain, err)
	case err != nil:
		return fmt.Errorf("store: manifest: %w", err)
	}
	return nil
}

// errUncertain says that either manifest may be found by the next start.
var errUncertain = errors.New("replaced, and perhaps not for good")
