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

// This file imports the single-file journal of versions before 0.2.0: its live messages are written to the store, and
// the file is removed.

const (
	legacyName       = "messages.wal"
	legacyTempName   = "messages.wal.new"
	legacyHeadBytes  = 8         // size of a record header: length and checksum
	maxLegacyPayload = 256 << 10 // a greater length means that the record is damaged
	searchFactor     = 8         // times the file size: maximum bytes checksummed in search of records after damage
)

var checksums = crc32.MakeTable(crc32.Castagnoli)

// parseLegacyRecord reads the record at the start of b: its payload and its total size, which is 0 if there is no valid
// record; tried is the number of bytes that were checksummed.
func parseLegacyRecord(b []byte) (payload []byte, size, tried int) {
	if len(b) < legacyHeadBytes {
		return nil, 0, 0
	}
	n := binary.LittleEndian.Uint32(b)
	if n < 2 || n > maxLegacyPayload || int(n) > len(b)-legacyHeadBytes {
		return nil, 0, 0
	}
	payload = b[legacyHeadBytes : legacyHeadBytes+int(n)]
	if crc32.Checksum(payload, checksums) != binary.LittleEndian.Uint32(b[4:]) {
		return nil, 0, int(n)
	}
	return payload, legacyHeadBytes + int(n), int(n)
}

// importLegacy writes the live messages of a legacy file to the store. If it is interrupted, the next start repeats it:
// messages that are already in the store get the same records again, which changes nothing.
func (l *Log) importLegacy(dir string) error {
	path := filepath.Join(dir, legacyName)
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	} else if err != nil {
		return fmt.Errorf("wal: legacy journal: %w", err)
	}
	legacy := &Log{state: state{live: map[uint64]*Message{}, nextSeq: 1, bodyLimit: math.MaxInt64}, report: l.report}
	legacy.replayLegacy(data)
	live := legacy.Live()
	for _, m := range live {
		stored := l.live[m.Seq] != nil
		if !stored {
			if _, err := l.store.Put(m.Seq, appendAccepted(nil, m), endReserve); err != nil {
				return fmt.Errorf("wal: legacy journal: %w", err)
			}
		}
		progress := *m
		if m.inFlight {
			progress.Attempts--
		}
		if err := l.write(m.Seq, appendProgress(nil, &progress)); err != nil {
			return fmt.Errorf("wal: legacy journal: %w", err)
		}
		if m.inFlight {
			if err := l.write(m.Seq, appendStarted(nil, m.Seq, m.inFlightSince, m.inFlightZone, bootclock.Stamp{})); err != nil {
				return fmt.Errorf("wal: legacy journal: %w", err)
			}
		}
		if m.Status != Pending {
			if err := l.write(m.Seq, appendEnded(nil, m.Seq, m.Status, m.RetryAfter)); err != nil {
				return fmt.Errorf("wal: legacy journal: %w", err)
			}
		}
		if stored {
			l.bodyBytes -= int64(len(l.live[m.Seq].Body))
		}
		if m.Status == Pending {
			l.cacheBody(m)
		}
		l.live[m.Seq] = m
	}
	l.nextSeq = max(l.nextSeq, legacy.nextSeq)
	if err := os.Remove(path); err != nil {
		return fmt.Errorf("wal: legacy journal: %w", err)
	}
	if err := os.Remove(filepath.Join(dir, legacyTempName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("wal: legacy journal: %w", err)
	}
	l.report(fmt.Sprintf("journal: %d messages of an older version's file imported", len(live)))
	return nil
}

// replayLegacy applies all readable records of a legacy file. Unreadable bytes are skipped up to the next readable
// record; if none follows, they are a torn tail. The search has a budget, because a crafted file could make it
// arbitrarily expensive.
func (l *Log) replayLegacy(data []byte) {
	budget := searchFactor * len(data)
	for offset := 0; offset < len(data); {
		payload, size, _ := parseLegacyRecord(data[offset:])
		if size > 0 {
			if err := l.apply(payload); err != nil {
				l.report(fmt.Sprintf("journal: record at %d of %d bytes has no known form, passed over", offset, size))
			}
			offset += size
			continue
		}
		damagedFrom := offset
		for offset++; offset < len(data) && budget > 0; offset++ {
			var tried int
			if _, size, tried = parseLegacyRecord(data[offset:]); size > 0 {
				break
			}
			budget -= tried
		}
		if size > 0 {
			l.report(fmt.Sprintf("journal: %d damaged bytes at %d passed over", offset-damagedFrom, damagedFrom))
		} else {
			l.report(fmt.Sprintf("journal: torn tail of %d bytes at %d cut off", len(data)-damagedFrom, damagedFrom))
			return
		}
	}
}
