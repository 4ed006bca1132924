// Package segment is the format of the journal's segments: a head and checksummed records behind it. It knows no file and
// no meaning of a record.
//
// A segment's head names the store that it belongs to and its number there. Each record's own head has the payload's
// length and checksum, and a hash over these, the place of the record and its segment's head. So a record reads only
// where it was written: not at another offset, in another segment or in another store's, and not out of a payload that
// somebody handed in.
//
// A scan is linear in the bytes whatever they are. Where no record's head verifies it goes on by one byte, at the cost of
// one short hash; where one does, its length is trusted, and a payload that fails its checksum is passed over whole, so
// that no byte is checksummed twice.
package segment

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"github.com/zeebo/xxh3"
)

// Version is the format's. A segment of a later one is not read, and not touched.
const Version = 1

// Sizes, in bytes.
const (
	HeaderSize   = 40             // of a segment's head
	RecordHeaderSize = 16             // in front of each payload
	MaxPayloadSize = 1<<20 + 16<<10 // of a payload: a body of 1 MiB with what goes with it
	readAhead  = 256 << 10      // of the scanner's buffer, which a larger record makes grow
)

var magic = [8]byte{'l', 'a', 'r', 'k', 's', 'e', 'g', '\n'}

// The errors of a segment that can't be used.
var (
	ErrNotSegment = errors.New("segment: not a segment, or its head is damaged")
	ErrVersion    = errors.New("segment: written by a later version")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Header is a segment's.
type Header struct {
	StoreID  uint64 // drawn by chance when the store was made
	Number uint64 // no other segment of the store has or had it
}

// AppendHeader writes a segment's head.
func AppendHeader(b []byte, h Header) []byte {
	at := len(b)
	b = append(b, magic[:]...)
	b = binary.LittleEndian.AppendUint32(b, Version)
	b = binary.LittleEndian.AppendUint32(b, 0) // for later versions
	b = binary.LittleEndian.AppendUint64(b, h.StoreID)
	b = binary.LittleEndian.AppendUint64(b, h.Number)
	return binary.LittleEndian.AppendUint64(b, xxh3.Hash(b[at:]))
}

// ReadHeader reads a segment's head. Its errors are ErrNotSegment and ErrVersion, which comes first where the magic stands: a
// later version may have another head.
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

// seal is the hash that binds a record's head to its place.
func (h Header) seal(offset int64, length, sum uint32) uint64 {
	var b [32]byte
	binary.LittleEndian.PutUint64(b[0:], h.StoreID)
	binary.LittleEndian.PutUint64(b[8:], h.Number)
	binary.LittleEndian.PutUint64(b[16:], uint64(offset))
	binary.LittleEndian.PutUint32(b[24:], length)
	binary.LittleEndian.PutUint32(b[28:], sum)
	return xxh3.Hash(b[:])
}

// ErrSize is given for a payload that is empty or over MostRecord.
var ErrSize = errors.New("segment: a record of that size can't be")

// Append writes a record that will stand at an offset of the segment.
func Append(b []byte, h Header, offset int64, payload []byte) ([]byte, error) {
	if len(payload) == 0 || len(payload) > MaxPayloadSize {
		return b, fmt.Errorf("%w: %d bytes", ErrSize, len(payload))
	}
	length, sum := uint32(len(payload)), crc32.Checksum(payload, castagnoli)
	b = binary.LittleEndian.AppendUint32(b, length)
	b = binary.LittleEndian.AppendUint32(b, sum)
	b = binary.LittleEndian.AppendUint64(b, h.seal(offset, length, sum))
	return append(b, payload...), nil
}

// RecordSize is what a record takes with its head.
func RecordSize(payload int) int64 { return int64(RecordHeaderSize + payload) }

// Read reads the one record that stands at an offset; b holds it from its head on. The payload lies in b.
func Read(b []byte, h Header, offset int64) ([]byte, error) {
	n, sum, ok := h.recordHead(b, offset)
	if !ok || len(b) < RecordHeaderSize+n {
		return nil, fmt.Errorf("segment %d: no record at %d", h.Number, offset)
	}
	payload := b[RecordHeaderSize : RecordHeaderSize+n]
	if crc32.Checksum(payload, castagnoli) != sum {
		return nil, fmt.Errorf("segment %d: the record at %d is damaged", h.Number, offset)
	}
	return payload, nil
}

// recordHead verifies a record's head.
func (h Header) recordHead(b []byte, offset int64) (length int, sum uint32, ok bool) {
	if len(b) < RecordHeaderSize {
		return 0, 0, false
	}
	n := binary.LittleEndian.Uint32(b)
	if n == 0 || n > MaxPayloadSize {
		return 0, 0, false
	}
	sum = binary.LittleEndian.Uint32(b[4:])
	return int(n), sum, h.seal(offset, n, sum) == binary.LittleEndian.Uint64(b[8:])
}

// Record is one that a scan found.
type Record struct {
	Offset  int64
	Payload []byte // holds until the scanner's next move
}

// Finding is a run of bytes in which no record can be read.
type Finding struct {
	Offset, Bytes int64
	Tail          bool // nothing readable follows: the mark of a process, or a machine, that ended while it wrote
}

// String is the finding as a line for operators.
func (f Finding) String() string {
	if f.Tail {
		return fmt.Sprintf("torn tail of %d bytes at %d", f.Bytes, f.Offset)
	}
	return fmt.Sprintf("%d damaged bytes at %d", f.Bytes, f.Offset)
}

// Scanner reads a segment's records in order. Its buffer grows to MostRecord and readAhead at the most.
type Scanner struct {
	head     Header
	r        io.Reader
	buf      []byte
	from, to int   // unread: buf[from:to]
	offset   int64 // of buf[from] in the segment
	eof      bool
	bad      int64 // where unreadable bytes began; negative: there are none
	findings []Finding
	err      error
}

// NewScanner reads a segment from its first byte on. Its error is ReadHead's, or the reader's.
func NewScanner(r io.Reader) (*Scanner, error) {
	s := &Scanner{r: r, buf: make([]byte, readAhead), bad: -1}
	s.fill(HeaderSize)
	if s.err != nil {
		return nil, s.err
	}
	head, err := ReadHeader(s.buf[:s.to])
	if err != nil {
		return nil, err
	}
	s.head, s.from, s.offset = head, HeaderSize, HeaderSize
	return s, nil
}

// Header is the segment's.
func (s *Scanner) Header() Header { return s.head }

// Err is a read that failed, which ends a scan early.
func (s *Scanner) Err() error { return s.err }

// Findings are the runs of unreadable bytes passed over so far.
func (s *Scanner) Findings() []Finding { return s.findings }

// End is where the last readable record ends, once Next has given all.
func (s *Scanner) End() int64 {
	if n := len(s.findings); n > 0 && s.findings[n-1].Tail {
		return s.findings[n-1].Offset
	}
	return s.offset
}

// fill tries to have n unread bytes.
func (s *Scanner) fill(n int) {
	if s.to-s.from >= n || s.eof {
		return
	}
	if s.from+n > len(s.buf) {
		room := s.buf
		if n > len(room) {
			room = make([]byte, n+readAhead)
		}
		s.to = copy(room, s.buf[s.from:s.to])
		s.from, s.buf = 0, room
	}
	for s.to-s.from < n && !s.eof {
		m, err := s.r.Read(s.buf[s.to:])
		s.to += m
		if err != nil {
			if s.eof = true; !errors.Is(err, io.EOF) {
				s.err = fmt.Errorf("segment: read: %w", err)
			}
		}
	}
}

func (s *Scanner) skip(n int) {
	s.from += n
	s.offset += int64(n)
}

// Next gives the next record; false says that there is none, or that a read failed.
func (s *Scanner) Next() (Record, bool) {
	for {
		s.fill(RecordHeaderSize)
		if s.err != nil {
			return Record{}, false
		}
		if s.to == s.from {
			s.found(true)
			return Record{}, false
		}
		n, sum, ok := s.head.recordHead(s.buf[s.from:s.to], s.offset)
		if ok {
			s.fill(RecordHeaderSize + n)
		}
		switch {
		case s.err != nil:
			return Record{}, false
		case !ok:
			s.spoilt()
			s.skip(1)
			continue
		case s.to-s.from < RecordHeaderSize+n: // it goes beyond the end
			s.spoilt()
			s.skip(s.to - s.from)
			continue
		}
		payload := s.buf[s.from+RecordHeaderSize : s.from+RecordHeaderSize+n]
		if crc32.Checksum(payload, castagnoli) != sum {
			s.spoilt()
			s.skip(RecordHeaderSize + n)
			continue
		}
		s.found(false)
		rec := Record{Offset: s.offset, Payload: payload}
		s.skip(RecordHeaderSize + n)
		return rec, true
	}
}

func (s *Scanner) spoilt() {
	if s.bad < 0 {
		s.bad = s.offset
	}
}

// found notes the unreadable bytes up to here, if there are any.
func (s *Scanner) found(tail bool) {
	if s.bad >= 0 {
		s.findings = append(s.findings, Finding{Offset: s.bad, Bytes: s.offset - s.bad, Tail: tail})
		s.bad = -1
	}
}
