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

// Inspect looks at the journal in a folder without changing it; a running program may have it open. Each message that is
// not over goes to visit, unless that is nil, in no order.
func Inspect(dir string, visit func(*Message)) (store.Inspection, error) {
	s := state{live: map[uint64]*Message{}, next: 1}
	spoilt := 0
	in, err := store.Inspect(fsys.Dir(dir), func(r store.Record) {
		if s.apply(r.Payload) != nil { // bodies are not kept
			spoilt++
		}
	})
	if err != nil {
		return in, fmt.Errorf("wal: %w", err)
	}
	if spoilt > 0 {
		in.Findings = append(in.Findings, fmt.Sprintf("%d records have no known form", spoilt))
	}
	if old, err := filepath.Glob(filepath.Join(dir, oldName)); err == nil && len(old) > 0 {
		in.Findings = append(in.Findings, "an older version's file is there, and is taken over at the next start")
	}
	for _, m := range s.live {
		if visit != nil {
			visit(m)
		}
	}
	return in, nil
}

// Compact compacts the journal in a folder that no program has open, until nothing is gained any more.
func Compact(dir string, o Options, report func(string)) (segments int, err error) {
	l, err := Open(dir, o, report)
	if err != nil {
		return 0, err
	}
	for {
		l.store.NoteRefusal() // whatever is gained counts
		did, err := l.store.Compact(nil)
		if err != nil || !did {
			return segments, errors.Join(err, l.Close())
		}
		segments++
	}
}

var endings = map[Status]string{Pending: "held", Refused: "refused", Failed: "failed", Closed: "closed"}

// BodySize is the bytes of a message's body, of one that Inspect gives.
func (m *Message) BodySize() int { return m.size }

// String is a message on one line, without its key and its body.
func (m *Message) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%d id=%q class=%q destination=%d %s deadline=%s attempts=%d body=%d", m.Seq, m.ID, m.Class, m.Destination,
		endings[m.Status], m.Deadline.UTC().Format(time.RFC3339Nano), m.Attempts, m.size)
	if m.Long {
		b.WriteString(" long")
	}
	if m.MayHaveRun || m.out {
		b.WriteString(" may-have-run")
	}
	return b.String()
}
