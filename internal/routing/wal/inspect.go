package wal

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

// Inspect reads the journal in a folder without changing it; a running program may have it open. It calls visit, unless
// that is nil, with each message that is not completed, in no particular order.
func Inspect(dir string, visit func(*Message)) (store.Inspection, error) {
	s := state{live: map[uint64]*Message{}, nextSeq: 1}
	unknown := 0
	inspection, err := store.Inspect(fsys.Dir(dir), func(r store.Record) {
		if s.apply(r.Payload) != nil { // the limit of 0 keeps no bodies in memory
			unknown++
		}
	})
	if err != nil {
		return inspection, fmt.Errorf("wal: %w", err)
	}
	if unknown > 0 {
		inspection.Findings = append(inspection.Findings, fmt.Sprintf("%d records have no known form", unknown))
	}
	if legacy, err := filepath.Glob(filepath.Join(dir, legacyName)); err == nil && len(legacy) > 0 {
		inspection.Findings = append(inspection.Findings, "an older version's file is present and will be imported at the next start")
	}
	for _, m := range s.live {
		if visit != nil {
			visit(m)
		}
	}
	return inspection, nil
}

// Compact compacts the journal in a folder that no program has open, until compaction gains no more space.
func Compact(dir string, o Options, report func(string)) (segments int, err error) {
	l, err := Open(dir, o, report)
	if err != nil {
		return 0, err
	}
	for {
		l.store.NoteRefusal() // makes any gain worth a compaction
		compacted, err := l.store.Compact(nil)
		if err != nil || !compacted {
			return segments, errors.Join(err, l.Close())
		}
		segments++
	}
}

var statusNames = map[Status]string{Pending: "held", Refused: "refused", Failed: "failed", Closed: "closed"}

// BodySize returns the size in bytes of the body of a message that Inspect visits.
func (m *Message) BodySize() int { return m.bodySize }

// String describes a message on one line, without its key and its body.
func (m *Message) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d id=%q class=%q destination=%d %s deadline=%s attempts=%d body=%d", m.Seq, m.ID, m.Class, m.Destination,
		statusNames[m.Status], m.Deadline.UTC().Format(time.RFC3339Nano), m.Attempts, m.bodySize)
	if m.Long {
		b.WriteString(" long")
	}
	if m.MayHaveRun || m.inFlight {
		b.WriteString(" may-have-run")
	}
	return b.String()
}
