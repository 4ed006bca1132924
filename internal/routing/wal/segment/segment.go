// Package segment defines the format of the journal's segments: a header followed by checksummed records. It does no
// file I/O and does not interpret records.
//
// The header of a segment names its store and its number there. The header of a record holds the payload's length and
// checksum, and a hash over these, the record's offset and the identity of its segment. A record is therefore valid
// only where it was written: not at another offset, in another segment or store, and not inside a payload that
// contains a copy of a record.
//
// A scan is linear in the number of bytes, whatever they are. Where no valid record header is found, it advances by
// one byte, at the cost of one short hash. Where one is found its length is trusted, and a payload that fails its
// checksum is skipped as a whole, so that no byte is checksummed twice.
package segment

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/zeebo/xxh3"
)

// Version is the version of the format. Segments of a later version are neither read nor modified.
const Version = 1

// Sizes, in bytes.
const (
	HeaderSize       = 40             // of a segment's header
	RecordHeaderSize = 16             // of the header in front of each payload
	MaxPayloadSize   = 1<<20 + 16<<10 // of a payload: a body of 1 MiB and its metadata
	readAhead        = 256 << 10      // size of the scanner's buffer, which grows for larger records
)

var magic = [8]byte{'l', 'a', 'r', 'k', 's', 'e', 'g', '\n'}

// Errors of a segment that cannot be used.
var (
	ErrNotSegment = errors.New("segment: not a segment, or its header is damaged")
	ErrVersion    = errors.New("segment: written by a later version")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header is the header of a segment.
type Header struct {
	StoreID uint64 // random, set when the store is created
	Number  uint64 // unique in the store, also after the segment is removed
}

// AppendHeader appends the header of a segment to b.
func AppendHeader(b []byte, h Header) []byte {
	start := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	b = binary.LittleEndian.AppendUint32(b, 0) // reserved for later versions
	b = binary.LittleEndian.AppendUint64(b, h.StoreID)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	return binary.LittleEndian.AppendUint64(b, xxh3.Hash(b[start:]))
}

// ReadHeader reads the header of a segment. It returns ErrNotSegment or ErrVersion. The version is checked before the
// rest of the header, whose layout a later version may change.
func ReadHeader(b []byte) (Header, error) {
	if len(b) < 12 || [8]byte(b[:8]) != magic {
		return Header{}, ErrNotSegment
	}
	if v := binary.LittleEndian.Uint32(b[8:]); v > Version {
		return Header{}, fmt.Errorf("%w: version %d, this program knows %d", ErrVersion, v, Version)
	}
	if len(b) < HeaderSize || xxh3.Hash(b[:HeaderSize-8]) != binary.LittleEndian.Uint64(b[HeaderSize-8:]) {
		return Header{}, ErrNotSegment
	}
	return Header{StoreID: binary.LittleEndian.Uint64(b[16:]), Number: binary.LittleEndian.Uint64(b[24:])}, nil
}

// recordHash returns the hash that ties a record's header to its position.
func (h Header) recordHash(offset int64, length, sum uint32) uint64 {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], h.StoreID)
	binary.LittleEndian.PutUint64(b[8:], h.Number)
	binary.LittleEndian.PutUint64(b[16:], uint64(offset))
	binary.LittleEndian.PutUint32(b[24:], length)
	binary.LittleEndian.PutUint32(b[28:], sum)
	return xxh3.Hash(b[:])
}

// ErrSize is returned for a payload that is empty or larger than MaxPayloadSize.
var ErrSize = errors.New("segment: payload is empty or too large")

// Append appends to b a record that is to be written at an offset of the segment.
func Append(b []byte, h Header, offset int64, payload []byte) ([]byte, error) {
	if len(payload) == 0 || len(payload) > MaxPayloadSize {
		return b, fmt.Errorf("%w: %d bytes", ErrSize, len(payload))
	}
	length, sum := uint32(len(payload)), crc32.Checksum(payload, castagnoli)
	b = binary.LittleEndian.AppendUint32(b, length)
	b = binary.LittleEndian.AppendUint32(b, sum)
	b = binary.LittleEndian.AppendUint64(b, h.recordHash(offset, length, sum))
	return append(b, payload...), nil
}

// RecordSize returns the size of a record with a payload of so many bytes, its header included.
func RecordSize(payload int) int64 { return int64(RecordHeaderSize + payload) }

// Read reads the record at an offset of the segment. b starts with the record's header; the returned payload is part
// of b.
func Read(b []byte, h Header, offset int64) ([]byte, error) {
	n, sum, ok := h.readRecordHeader(b, offset)
	if !ok || len(b) < RecordHeaderSize+n {
		return nil, fmt.Errorf("segment %d: no record at %d", h.Number, offset)
	}
	payload := b[RecordHeaderSize : RecordHeaderSize+n]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, fmt.Errorf("segment %d: the record at %d is damaged", h.Number, offset)
	}
	return payload, nil
}

// readRecordHeader reads and verifies the header of a record.
func (h Header) readRecordHeader(b []byte, offset int64) (length int, sum uint32, ok bool) {
	if len(b) < RecordHeaderSize {
		return 0, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || n > MaxPayloadSize {
		return 0, 0, false
	}
	sum = binary.LittleEndian.Uint32(b[4:])
	return int(n), sum, h.recordHash(offset, n, sum) == binary.LittleEndian.Uint64(b[8:])
}

// Record is a record found by a scan.
type Record struct {
	Offset  int64
	Payload []byte // valid until the next call of Next
}

// Finding is a range of bytes in which no record is readable.
type Finding struct {
	Offset, Bytes int64
	Tail          bool // no readable record follows, as after a process or machine crash during a write
}

// String returns the finding as text for operators.
func (f Finding) String() string {
	if f.Tail {
		return fmt.Sprintf("torn tail of %d bytes at %d", f.Bytes, f.Offset)
	}
	return fmt.Sprintf("%d damaged bytes at %d", f.Bytes, f.Offset)
}

// Scanner reads the records of a segment in order. Its buffer is at most MaxPayloadSize and readAhead large, plus a
// record header.
type Scanner struct {
	header      Header
	reader      io.Reader
	buf         []byte
	start, end  int   // unread bytes are buf[start:end]
	offset      int64 // of buf[start] in the segment
	eof         bool
	damageStart int64 // where the present unreadable range starts; negative if there is none
	findings    []Finding
	err         error
}

// NewScanner returns a scanner that reads a segment from its first byte. It returns an error of ReadHeader or of the
// reader.
func NewScanner(r io.Reader) (*Scanner, error) {
	s := &Scanner{reader: r, buf: make([]byte, readAhead), damageStart: -1}
	s.fill(HeaderSize)
	if s.err != nil {
		return nil, s.err
	}
	header, err := ReadHeader(s.buf[:s.end])
	if err != nil {
		return nil, err
	}
	s.header, s.start, s.offset = header, HeaderSize, HeaderSize
	return s, nil
}

// Header returns the header of the segment.
func (s *Scanner) Header() Header { return s.header }

// Err returns the error of a failed read, which ends the scan early.
func (s *Scanner) Err() error { return s.err }

// Findings returns the unreadable ranges skipped so far.
func (s *Scanner) Findings() []Finding { return s.findings }

// End returns the offset at which the last readable record ends, once Next has returned false.
func (s *Scanner) End() int64 {
	if n := len(s.findings); n > 0 && s.findings[n-1].Tail {
		return s.findings[n-1].Offset
	}
	return s.offset
}

// fill reads until at least n bytes are unread, or the input ends.
func (s *Scanner) fill(n int) {
	if s.end-s.start >= n || s.eof {
		return
	}
	if s.start+n > len(s.buf) {
		buf := s.buf
		if n > len(buf) {
			buf = make([]byte, n+readAhead)
		}
		s.end = copy(buf, s.buf[s.start:s.end])
		s.start, s.buf = 0, buf
	}
	for s.end-s.start < n && !s.eof {
		m, err := s.reader.Read(s.buf[s.end:])
		s.end += m
		if err != nil {
			if s.eof = true; !errors.Is(err, io.EOF) {
				s.err = fmt.Errorf("segment: read: %w", err)
			}
		}
	}
}

func (s *Scanner) skip(n int) {
	s.start += n
	s.offset += int64(n)
}

// Next returns the next record. It returns false at the end of the segment or after a failed read.
func (s *Scanner) Next() (Record, bool) {
	for {
		s.fill(RecordHeaderSize)
		if s.err != nil {
			return Record{}, false
		}
		if s.end == s.start {
			s.endDamage(true)
			return Record{}, false
		}
		n, sum, ok := s.header.readRecordHeader(s.buf[s.start:s.end], s.offset)
		if ok {
			s.fill(RecordHeaderSize + n)
		}
		switch {
		case s.err != nil:
			return Record{}, false
		case !ok:
			s.startDamage()
			s.skip(1)
			continue
		case s.end-s.start < RecordHeaderSize+n: // the record extends beyond the end of the segment
			s.startDamage()
			s.skip(s.end - s.start)
			continue
		}
		payload := s.buf[s.start+RecordHeaderSize : s.start+RecordHeaderSize+n]
		if crc32.Checksum(payload, castagnoli) != sum {
			s.startDamage()
			s.skip(RecordHeaderSize + n)
			continue
		}
		s.endDamage(false)
		rec := Record{Offset: s.offset, Payload: payload}
		s.skip(RecordHeaderSize + n)
		return rec, true
	}
}

func (s *Scanner) startDamage() {
	if s.damageStart < 0 {
		s.damageStart = s.offset
	}
}

// endDamage adds the current unreadable range, if any, to the findings.
func (s *Scanner) endDamage(tail bool) {
	if s.damageStart >= 0 {
		s.findings = append(s.findings, Finding{Offset: s.damageStart, Bytes: s.offset - s.damageStart, Tail: tail})
		s.damageStart = -1
	}
}
