package segment

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var testHeader = Header{StoreID: 0x1234, Number: 7}

// build returns a segment and the offsets of its records.
func build(t testing.TB, h Header, payloads ...[]byte) (b []byte, at []int64) {
	t.Helper()
	b = AppendHeader(nil, h)
	for _, p := range payloads {
		at = append(at, int64(len(b)))
		var err error
		if b, err = Append(b, h, int64(len(b)), p); err != nil {
			t.Fatal(err)
		}
	}
	return b, at
}

// scan reads all records of a segment.
func scan(t testing.TB, r io.Reader) (got map[int64]string, s *Scanner) {
	t.Helper()
	s, err := NewScanner(r)
	if err != nil {
		t.Fatal(err)
	}
	got = map[int64]string{}
	for {
		rec, ok := s.Next()
		if !ok {
			return got, s
		}
		got[rec.Offset] = string(rec.Payload)
	}
}

// Guards against records that are lost or changed when a reader returns the bytes in pieces of any size, and checks
// reads of single records, payload limits and failed reads.
func TestRecordsWithAnyReadSize(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var payloads [][]byte
	for _, n := range []int{1, 2, 300, 16 << 10, MaxPayloadSize, 1, MaxPayloadSize - 1, 77} {
		p := make([]byte, n)
		for i := range p {
			p[i] = byte(rng.Uint32())
		}
		payloads = append(payloads, p)
	}
	b, at := build(t, testHeader, payloads...)
	want := map[int64]string{}
	for i, p := range payloads {
		want[at[i]] = string(p)
		if got, err := Read(b[at[i]:], testHeader, at[i]); err != nil || !bytes.Equal(got, p) {
			t.Errorf("record %d alone: %v", i, err)
		}
	}
	for name, r := range map[string]io.Reader{
		"whole": bytes.NewReader(b), "halves": iotest.HalfReader(bytes.NewReader(b)), "data with its end": iotest.DataErrReader(bytes.NewReader(b)),
	} {
		got, s := scan(t, r)
		if !cmp.Equal(want, got) || len(s.Findings()) != 0 || s.End() != int64(len(b)) || s.Header() != testHeader || s.Err() != nil {
			t.Errorf("%s: %d records, %v, end %d of %d", name, len(got), s.Findings(), s.End(), len(b))
		}
	}
	for _, n := range []int{0, MaxPayloadSize + 1} {
		if _, err := Append(nil, testHeader, 0, make([]byte, n)); !errors.Is(err, ErrSize) {
			t.Errorf("a payload of %d bytes: %v", n, err)
		}
	}
	s, err := NewScanner(io.MultiReader(bytes.NewReader(b[:100]), iotest.ErrReader(errors.New("bad disk"))))
	if err != nil {
		t.Fatal(err)
	}
	for _, ok := s.Next(); ok; _, ok = s.Next() {
	}
	if s.Err() == nil {
		t.Error("a failed read was reported as the end")
	}
}

// Guards against damage that spreads: one flipped bit may cost only the record that contains it, or the whole segment
// if it is in the header.
func TestBitFlips(t *testing.T) {
	b, at := build(t, testHeader, []byte("first"), []byte("second record"), []byte("third"))
	ends := append(at[1:len(at):len(at)], int64(len(b)))
	for i := range b {
		for bit := range 8 {
			damaged := bytes.Clone(b)
			damaged[i] ^= 1 << bit
			if i < HeaderSize {
				if _, err := NewScanner(bytes.NewReader(damaged)); !errors.Is(err, ErrNotSegment) && !errors.Is(err, ErrVersion) {
					t.Fatalf("byte %d: %v", i, err)
				}
				continue
			}
			got, s := scan(t, bytes.NewReader(damaged))
			lost := 0
			for r := range at {
				if _, ok := got[at[r]]; !ok {
					if lost++; int64(i) < at[r] || int64(i) >= ends[r] {
						t.Fatalf("byte %d: the record at %d is lost", i, at[r])
					}
				}
			}
			if lost != 1 || len(s.Findings()) != 1 {
				t.Fatalf("byte %d, bit %d: %d records lost, %v", i, bit, lost, s.Findings())
			}
		}
	}
}

// Guards against losing complete records of a truncated segment. The rest has to be reported as a tail.
func TestTruncationAtEveryOffset(t *testing.T) {
	b, at := build(t, testHeader, []byte("first"), []byte("second record"))
	for cut := HeaderSize; cut <= len(b); cut++ {
		got, s := scan(t, bytes.NewReader(b[:cut]))
		whole := 0
		end := int64(HeaderSize)
		for i, size := range []int64{RecordSize(5), RecordSize(13)} {
			if at[i]+size <= int64(cut) {
				whole, end = whole+1, at[i]+size
			}
		}
		if len(got) != whole || s.End() != end || (int64(cut) > end) != (len(s.Findings()) == 1 && s.Findings()[0].Tail) {
			t.Fatalf("cut at %d: %d records, end %d, %v", cut, len(got), s.End(), s.Findings())
		}
	}
	for cut := range HeaderSize {
		if _, err := NewScanner(bytes.NewReader(b[:cut])); !errors.Is(err, ErrNotSegment) {
			t.Errorf("a header of %d bytes: %v", cut, err)
		}
	}
}

// Guards against accepting a record in another place: at another offset, in another segment or store, or inside a
// payload.
func TestRecordsAreBoundToTheirPosition(t *testing.T) {
	b, at := build(t, testHeader, []byte("first"), []byte("second"))
	for name, other := range map[string]Header{"segment": {testHeader.StoreID, 8}, "store": {0x1235, testHeader.Number}} {
		moved := append(AppendHeader(nil, other), b[HeaderSize:]...)
		if got, s := scan(t, bytes.NewReader(moved)); len(got) != 0 || len(s.Findings()) != 1 {
			t.Errorf("in another %s: %v", name, got)
		}
	}
	doubled := append(bytes.Clone(b), b[at[0]:]...)
	if got, s := scan(t, bytes.NewReader(doubled)); len(got) != 2 || s.End() != int64(len(b)) {
		t.Errorf("doubled: %v", got)
	}
	inner, _ := build(t, testHeader, []byte("handed in"))
	outer, _ := build(t, testHeader, inner[HeaderSize:])
	outer[HeaderSize] ^= 1 // damages the outer record's length, so that its payload is searched for records
	if got, _ := scan(t, bytes.NewReader(outer)); len(got) != 0 {
		t.Errorf("out of a payload: %v", got)
	}
}

// Guards against reading a segment of a later version; the error has to be ErrVersion.
func TestLaterVersion(t *testing.T) {
	b, _ := build(t, testHeader, []byte("x"))
	binary.LittleEndian.PutUint32(b[8:], Version+1)
	if _, err := NewScanner(bytes.NewReader(b)); !errors.Is(err, ErrVersion) {
		t.Errorf("%v", err)
	}
}

// Guards against reading anything that was not written, after any damage. Every byte has to be part of a record or a
// finding.
func TestRandomDamage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3))
		var payloads [][]byte
		for range rng.IntN(20) {
			payloads = append(payloads, bytes.Repeat([]byte{byte(rng.Uint32())}, 1+rng.IntN(3000)))
		}
		b := AppendHeader(nil, testHeader)
		want := map[int64]string{}
		for _, p := range payloads {
			want[int64(len(b))] = string(p)
			b, _ = Append(b, testHeader, int64(len(b)), p)
		}
		for range rapid.IntRange(0, 6).Draw(t, "damages") {
			at := HeaderSize + rng.IntN(len(b)-HeaderSize+1)
			n := min(rng.IntN(500), len(b)-at)
			switch rng.IntN(4) {
			case 0:
				for i := range n {
					b[at+i] = byte(rng.Uint32())
				}
			case 1:
				clear(b[at : at+n])
			case 2: // a part is removed
				b = append(b[:at:at], b[at+n:]...)
			case 3: // a part is duplicated
				b = append(b[:at+n:at+n], b[at:]...)
			}
		}
		s, err := NewScanner(bytes.NewReader(b))
		if err != nil {
			t.Fatal(err)
		}
		covered := int64(HeaderSize)
		for {
			rec, ok := s.Next()
			if !ok {
				break
			}
			if got, ok := want[rec.Offset]; !ok || got != string(rec.Payload) {
				t.Fatalf("the record at %d was not written there", rec.Offset)
			}
			covered += RecordSize(len(rec.Payload))
		}
		for _, f := range s.Findings() {
			covered += f.Bytes
		}
		if covered != int64(len(b)) {
			t.Fatalf("%d bytes of %d accounted for", covered, len(b))
		}
	})
}

// FuzzScanner scans arbitrary bytes after a valid header: no input may cause a panic, and all bytes have to be
// accounted for.
func FuzzScanner(f *testing.F) {
	good, _ := build(f, testHeader, []byte("first"), []byte("second"))
	f.Add(good[HeaderSize:])
	f.Add([]byte{1, 0, 0, 0, 0, 0, 0, 0})
	f.Add(good[HeaderSize+3:])
	f.Fuzz(func(t *testing.T, tail []byte) {
		b := append(AppendHeader(nil, testHeader), tail...)
		got, s := scan(t, bytes.NewReader(b))
		covered := int64(HeaderSize)
		for _, p := range got {
			covered += RecordSize(len(p))
		}
		for _, f := range s.Findings() {
			covered += f.Bytes
		}
		if covered != int64(len(b)) {
			t.Fatalf("%d bytes of %d accounted for", covered, len(b))
		}
	})
}

// BenchmarkScan measures scans of valid records and of crafted damage: record headers that would each cause a checksum
// over all following bytes if their hashes were not checked first.
func BenchmarkScan(b *testing.B) {
	const size = 3 << 20
	small := AppendHeader(nil, testHeader)
	for len(small) < size {
		small, _ = Append(small, testHeader, int64(len(small)), bytes.Repeat([]byte("x"), 300))
	}
	crafted := AppendHeader(nil, testHeader)
	for len(crafted) < size {
		crafted = binary.LittleEndian.AppendUint32(crafted, 200<<10)
		crafted = binary.LittleEndian.AppendUint32(crafted, crc32.Checksum(nil, castagnoli))
	}
	for name, data := range map[string][]byte{"records of 300 bytes": small, "crafted damage": crafted} {
		b.Run(fmt.Sprint(name), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				s, err := NewScanner(bytes.NewReader(data))
				if err != nil {
					b.Fatal(err)
				}
				for _, ok := s.Next(); ok; _, ok = s.Next() {
				}
			}
		})
	}
}
