package store

import (
	"errors"
	"fmt"
	"io"
	"slices"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/segment"
)

// scanSegment passes each record of a segment to visit, in order, and returns a line for each part that is unreadable.
// A later format version, or a failed read, is an error; a file that is not a segment of the store is a finding. A
// storeID of 0 matches any store.
func scanSegment(f fsys.File, name string, number, storeID uint64,
	visit func(kind recordKind, sequence, key uint64, data []byte, offset, size int64)) (header segment.Header, size int64, findings []string, err error) {
	if size, err = f.Size(); err != nil {
		return header, 0, nil, fmt.Errorf("store: size: %w", err)
	}
	scanner, err := segment.NewScanner(io.NewSectionReader(f, 0, size))
	switch {
	case errors.Is(err, segment.ErrNotSegment):
		if size > 0 { // an empty file holds no record: the process ended before writing its header
			findings = append(findings, fmt.Sprintf("segment %s: %v; %d bytes passed over", name, err, size))
		}
		return header, size, findings, nil
	case err != nil:
		return header, size, nil, fmt.Errorf("store: %s: %w", name, err)
	case scanner.Header().Number != number || storeID != 0 && scanner.Header().StoreID != storeID:
		return header, size, []string{fmt.Sprintf("segment %s belongs to another store or segment; %d bytes passed over", name, size)}, nil
	}
	for rec, ok := scanner.Next(); ok; rec, ok = scanner.Next() {
		kind, sequence, key, data, err := decodeRecord(rec.Payload)
		if err != nil {
			findings = append(findings, fmt.Sprintf("segment %s: record at %d has no known form, passed over", name, rec.Offset))
			continue
		}
		visit(kind, sequence, key, data, rec.Offset, segment.RecordSize(len(rec.Payload)))
	}
	if err := scanner.Err(); err != nil {
		return header, size, findings, fmt.Errorf("store: %s: %w", name, err)
	}
	for _, finding := range scanner.Findings() {
		findings = append(findings, fmt.Sprintf("segment %s: %v passed over", name, finding))
	}
	return scanner.Header(), size, findings, nil
}

// SegmentInfo describes a segment.
type SegmentInfo struct {
	Name       string `json:"name"`
	Referenced bool   `json:"counts"` // in use according to the manifest; otherwise the next open removes it
	Bytes      int64  `json:"bytes"`
	Records    int    `json:"records"`
	LiveBytes  int64  `json:"live"` // of records of live keys
}

// Inspection is the result of inspecting a store's directory.
type Inspection struct {
	Segments []SegmentInfo `json:"segments"`
	LiveKeys int           `json:"living"`
	Records  int           `json:"records"` // in segments that are in use
	Bytes    int64         `json:"bytes"`   // size of all files, in whole blocks
	Findings []string      `json:"findings"`
}

// Inspect reads a store's directory without changing anything. The store may be open in another process; a concurrent
// change may be seen before or after it. The records of live keys are passed to visit in sequence order, unless visit
// is nil.
func Inspect(dir fsys.FS, visit func(Record)) (Inspection, error) {
	names, err := dir.List()
	if err != nil {
		return Inspection{}, fmt.Errorf("store: list: %w", err)
	}
	s := &Store{options: Options{FS: dir}, nextSegment: 1, segments: map[uint64]*segmentFile{}}
	defer s.closeFiles()
	listed, err := s.readManifest(names)
	if err != nil {
		return Inspection{}, err
	}
	inspection := Inspection{}
	for name := range listed {
		if !slices.Contains(names, name) {
			inspection.Findings = append(inspection.Findings, fmt.Sprintf("segment %s is missing", name))
		}
	}
	var runs [][]recordRef
	deleted := map[uint64]bool{}
	for _, name := range names {
		number, isSegment := parseSegmentName(name, segmentPrefix)
		outputNumber, isOutput := parseSegmentName(name, outputPrefix)
		seg := &segmentFile{number: max(number, outputNumber), name: name}
		if seg.file, err = dir.Open(name); err != nil {
			continue // removed meanwhile: its records are in another segment
		}
		size, _ := seg.file.Size()
		inspection.Bytes += roundToBlocks(size)
		if !isSegment && !isOutput {
			_ = seg.file.Close()
			continue
		}
		s.segments[seg.number] = seg // kept open, so that it can be read to its end even if it is removed
		var refs []recordRef
		info := SegmentInfo{Name: name, Referenced: listed[name] || isSegment && number >= s.nextSegment}
		header, size, findings, err := scanSegment(seg.file, name, seg.number, s.storeID, func(kind recordKind, sequence, key uint64, _ []byte, offset, size int64) {
			if info.Records++; kind == kindTombstone {
				deleted[key] = true
			} else {
				refs = append(refs, recordRef{key, sequence, seg, uint32(offset), uint32(size)})
			}
		})
		if err != nil {
			return inspection, err
		}
		if len(refs) > 0 {
			runs = append(runs, refs)
		}
		if s.storeID == 0 { // there is no manifest
			s.storeID = header.StoreID
		}
		seg.size = size
		if info.Bytes = size; info.Referenced {
			inspection.Findings = append(inspection.Findings, findings...)
			inspection.Records += info.Records
		}
		inspection.Segments = append(inspection.Segments, info)
	}
	return inspection, s.inspectLive(&inspection, runs, deleted, visit)
}

// inspectLive counts the live keys and passes their records to visit.
func (s *Store) inspectLive(inspection *Inspection, runs [][]recordRef, deleted map[uint64]bool, visit func(Record)) error {
	segments := map[string]*SegmentInfo{}
	for i := range inspection.Segments {
		segments[inspection.Segments[i].Name] = &inspection.Segments[i]
	}
	liveKeys := map[uint64]bool{}
	refs := slices.DeleteFunc(sortBySequence(runs), func(ref recordRef) bool { return deleted[ref.key] })
	for _, ref := range refs {
		liveKeys[ref.key] = true
		segments[ref.segment.name].LiveBytes += int64(ref.size)
	}
	inspection.LiveKeys = len(liveKeys)
	return s.visitRecords(refs, visit)
}
