package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/segment"
)

// scanFile reads a segment: each record in order, and a line for whatever can't be read. A later version, or a read that
// fails, is an error; a file that is no segment of the store is a finding. store 0 stands for any.
func scanFile(f fsys.File, name string, number, store uint64,
	each func(k kind, num, key uint64, data []byte, offset, size int64)) (head segment.Header, size int64, findings []string, err error) {
	if size, err = f.Size(); err != nil {
		return head, 0, nil, fmt.Errorf("store: size: %w", err)
	}
	sc, err := segment.NewScanner(io.NewSectionReader(f, 0, size))
	switch {
	case errors.Is(err, segment.ErrNotSegment):
		if size > 0 { // of an empty one nothing was promised: the process ended between its create and its head
			findings = append(findings, fmt.Sprintf("segment %s: %v; %d bytes passed over", name, err, size))
		}
		return head, size, findings, nil
	case err != nil:
		return head, size, nil, fmt.Errorf("store: %s: %w", name, err)
	case sc.Header().Number != number || store != 0 && sc.Header().StoreID != store:
		return head, size, []string{fmt.Sprintf("segment %s belongs elsewhere; %d bytes passed over", name, size)}, nil
	}
	for rec, ok := sc.Next(); ok; rec, ok = sc.Next() {
		k, num, key, data, err := decode(rec.Payload)
		if err != nil {
			findings = append(findings, fmt.Sprintf("segment %s: record at %d has no known form, passed over", name, rec.Offset))
			continue
		}
		each(k, num, key, data, rec.Offset, segment.RecordSize(len(rec.Payload)))
	}
	if err := sc.Err(); err != nil {
		return head, size, findings, fmt.Errorf("store: %s: %w", name, err)
	}
	for _, finding := range sc.Findings() {
		findings = append(findings, fmt.Sprintf("segment %s: %v passed over", name, finding))
	}
	return sc.Header(), size, findings, nil
}

// SegmentInfo tells of one segment.
type SegmentInfo struct {
	Name    string `json:"name"`
	Referenced  bool   `json:"counts"` // by the manifest; else it goes at the next start
	Bytes   int64  `json:"bytes"`
	Records int    `json:"records"`
	LiveBytes    int64  `json:"live"` // bytes of living keys' records
}

// Inspection is what a look at a store's folder finds, without changing anything.
type Inspection struct {
	Segments []SegmentInfo `json:"segments"`
	LiveKeys   int           `json:"living"`  // keys
	Records  int           `json:"records"` // of all segments that count
	Bytes    int64         `json:"bytes"`   // of all files, in whole blocks
	Findings []string      `json:"findings"`
}

// Inspect looks at a store, which may be open elsewhere and go on meanwhile: what it changes during the look may be seen
// before or after. Living keys' records go to visit, unless that is nil, in their order.
func Inspect(f fsys.FS, visit func(Record)) (Inspection, error) {
	names, err := f.List()
	if err != nil {
		return Inspection{}, fmt.Errorf("store: list: %w", err)
	}
	s := &Store{o: Options{FS: f}, next: 1, files: map[uint64]*file{}}
	defer s.closeFiles()
	listed, err := s.readManifest(names)
	if err != nil {
		return Inspection{}, err
	}
	in := Inspection{}
	for name := range listed {
		if !slices.Contains(names, name) {
			in.Findings = append(in.Findings, fmt.Sprintf("segment %s is missing", name))
		}
	}
	var runs [][]item
	ends := map[uint64]bool{}
	for _, name := range names {
		n, seg := number(name, segPrefix)
		m, out := number(name, outPrefix)
		g := &file{number: max(n, m), name: name}
		if g.f, err = f.Open(name); err != nil {
			continue // gone during the look: what was in it is in another
		}
		size, _ := g.f.Size()
		in.Bytes += blocks(size)
		if !seg && !out {
			_ = g.f.Close()
			continue
		}
		s.files[g.number] = g // kept open, so that it can be read to the end though it goes
		var items []item
		info := SegmentInfo{Name: name, Referenced: listed[name] || seg && n >= s.next}
		head, size, findings, err := scanFile(g.f, name, g.number, s.head, func(k kind, num, key uint64, _ []byte, at, size int64) {
			if info.Records++; k == kindEnd {
				ends[key] = true
			} else {
				items = append(items, item{key, num, g, uint32(at), uint32(size)})
			}
		})
		if err != nil {
			return in, err
		}
		if len(items) > 0 {
			runs = append(runs, items)
		}
		if s.head == 0 { // no manifest yet
			s.head = head.StoreID
		}
		g.size = size
		if info.Bytes = size; info.Referenced {
			in.Findings = append(in.Findings, findings...)
			in.Records += info.Records
		}
		in.Segments = append(in.Segments, info)
	}
	return in, s.inspectLiving(&in, runs, ends, visit)
}

// inspectLiving tells of the keys that live, and gives their records out.
func (s *Store) inspectLiving(in *Inspection, runs [][]item, ends map[uint64]bool, visit func(Record)) error {
	at := map[string]*SegmentInfo{}
	for i := range in.Segments {
		at[in.Segments[i].Name] = &in.Segments[i]
	}
	living := map[uint64]bool{}
	items := slices.DeleteFunc(inOrder(runs), func(it item) bool { return ends[it.key] })
	for _, it := range items {
		living[it.key] = true
		at[it.seg.name].LiveBytes += int64(it.size)
	}
	in.LiveKeys = len(living)
	return s.give(items, visit)
}
