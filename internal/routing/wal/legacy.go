package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"math"
	"os"
	"path/filepath"

	"mulleinbeam/internal/bootclock"
)

// This file reads the one-file journal of versions before 0.2.0, once: what lives in it is put into the store, and the
// file goes.

const (
	oldName     = "messages.wal"
	oldNewName  = "messages.wal.new"
	oldHead     = 8         // bytes of a record's head: length and checksum
	oldPayload  = 256 << 10 // a length above it is damage
	searchShare = 8         // times the file's size: bytes that are checksummed in search of records among damage
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// unseal reads the record at the start of b: its payload and its whole size, or 0 where there is none; tried is how many
// bytes were checksummed.
func unseal(b []byte) (payload []byte, size, tried int) {
	if len(b) < oldHead {
		return nil, 0, 0
	}
	n := binary.LittleEndian.Uint32(b)
	if n < 2 || n > oldPayload || int(n) > len(b)-oldHead {
		return nil, 0, 0
	}
	payload = b[oldHead : oldHead+int(n)]
	if crc32.Checksum(payload, checksums) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, int(n)
	}
	return payload, oldHead + int(n), int(n)
}

// takeOver puts what lives in an old file into the store. Cut short, it is done again: what is there already gets the same
// records once more, which changes nothing.
func (l *Log) takeOver(dir string) error {
	path := filepath.Join(dir, oldName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return fmt.Errorf("wal: old journal: %w", err)
	}
	old := &Log{state: state{live: map[uint64]*Message{}, next: 1, memory: math.MaxInt64}, report: l.report}
	old.replay(data)
	live := old.Live()
	for _, m := range live {
		there := l.live[m.Seq] != nil
		if !there {
			if _, err := l.store.Put(m.Seq, appendAccepted(nil, m), owedFor); err != nil {
				return fmt.Errorf("wal: old journal: %w", err)
			}
		}
		done := *m
		if m.out {
			done.Attempts--
		}
		if err := l.write(m.Seq, appendProgress(nil, &done)); err != nil {
			return fmt.Errorf("wal: old journal: %w", err)
		}
		if m.out {
			if err := l.write(m.Seq, appendStarted(nil, m.Seq, m.outAt, m.outZone, bootclock.Stamp{})); err != nil {
				return fmt.Errorf("wal: old journal: %w", err)
			}
		}
		if m.Status != Pending {
			if err := l.write(m.Seq, appendEnded(nil, m.Seq, m.Status, m.RetryAfter)); err != nil {
				return fmt.Errorf("wal: old journal: %w", err)
			}
		}
		if there {
			l.kept -= int64(len(l.live[m.Seq].Body))
		}
		if m.Status == Pending {
			l.keep(m)
		}
		l.live[m.Seq] = m
	}
	l.next = max(l.next, old.next)
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("wal: old journal: %w", err)
	}
	if err := os.Remove(filepath.Join(dir, oldNewName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("wal: old journal: %w", err)
	}
	l.report(fmt.Sprintf("journal: %d messages of an older version's file taken over", len(live)))
	return nil
}

// replay applies all readable records of an old file. Unreadable bytes are passed over up to the next readable record;
// where none follows they are a torn tail. The search is given up once it has cost so much that the damage was made to.
func (l *Log) replay(data []byte) {
	budget := searchShare * len(data)
	for at := 0; at < len(data); {
		payload, size, _ := unseal(data[at:])
		if size > 0 {
			if err := l.apply(payload); err != nil {
				l.report(fmt.Sprintf("journal: record at %d of %d bytes has no known form, passed over", at, size))
			}
			at += size
			continue
		}
		from := at
		for at++; at < len(data) && budget > 0; at++ {
			var tried int
			if _, size, tried = unseal(data[at:]); size > 0 {
				break
			}
			budget -= tried
		}
		if size > 0 {
			l.report(fmt.Sprintf("journal: %d damaged bytes at %d passed over", at-from, from))
		} else {
			l.report(fmt.Sprintf("journal: torn tail of %d bytes at %d cut off", len(data)-from, from))
			return
		}
	}
}
