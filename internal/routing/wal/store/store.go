// Package store is a log-structured store of records of many keys. Records are appended to the active segment, and
// sealed segments are compacted concurrently. A key is live from its first record until its tombstone is written. The
// next open returns all records of each live key, in their order, and a deleted key stays deleted.
//
// Compaction copies records unchanged, with their sequence numbers, so a copy next to its original has no effect. A
// small manifest lists the segments in use. It is replaced as a whole, and a segment is removed only once a manifest
// without it is durable.
package store

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"

	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/plan"
	"mulleinbeam/internal/routing/wal/segment"
)

// Durability states what a record survives once its append, or its commit, has returned.
type Durability int

// The levels of durability.
const (
	SyncNever Durability = iota // the end of the process; nothing is synced
	SyncBatch                   // a crash of the machine, once Commit has returned
	SyncEach                    // a crash of the machine, once the append has returned
)

// Options configures a store.
type Options struct {
	FS           fsys.FS
	MaxBytes     int64 // total size of all files, each in whole blocks
	SegmentBytes int64 // size at which a segment is sealed
	Durability   Durability
	OtherBytes   int64        // reserved for files that are not the store's
	SpareBytes   int64        // not available to new keys, for further records of live keys
	Seed         uint64       // seed of the store's ID, if the store is new
	Report       func(string) // receives a line for each damaged or truncated part; nil discards them
}

// Record is a record of a key.
type Record struct {
	Key      uint64
	Sequence uint64 // position in the order of the store's records
	Payload  []byte // valid until the visit returns
}

// Errors of a store. Those of the file system are wrapped.
var (
	ErrFull       = errors.New("store: no space")
	ErrUnknownKey = errors.New("store: no such key")
	ErrFailed     = errors.New("store: unusable after a failed sync")
	ErrClosed     = errors.New("store: closed")
)

const (
	blockSize       = 512
	manifestName    = "manifest"
	manifestTemp    = manifestName + fsys.NewSuffix
	segmentPrefix   = "seg-"
	outputPrefix    = "out-"
	maxRecordPrefix = 1 + 2*binary.MaxVarintLen64 // kind, sequence and key in front of a payload
	maxManifestSize = 64 << 10                    // limit on the size of a manifest
)

type recordKind byte

const (
	kindData      recordKind = iota + 1 // a record of a live key
	kindTombstone                       // deletes its key
)

// roundToBlocks returns the size that a file of n bytes is accounted for.
func roundToBlocks(n int64) int64 { return (n + blockSize - 1) / blockSize * blockSize }

// MaxTombstoneSize is the maximum size of a tombstone, the record that deletes a key.
const MaxTombstoneSize = segment.RecordHeaderSize + maxRecordPrefix

// location is the position of a record.
type location struct {
	segment uint64
	offset  int64
	size    int64
}

// keySegment is the number of bytes that a segment holds of a key.
type keySegment struct {
	segment uint64
	bytes   int64
}

// entry is the index entry of a live key, or of a deleted key while segments hold records that its tombstone must
// outlive.
type entry struct {
	segments         []keySegment
	first            location // first record of a live key
	reserved         int64    // for later records of a live key, its tombstone included
	deleted          bool
	tombstoneSegment uint64 // segment that holds the tombstone
	tombstoneSize    int64
}

// segmentFile is a segment in use.
type segmentFile struct {
	number      uint64
	name        string
	size        int64
	liveBytes   int64  // of records that are still needed
	tornBytes   int64  // left after size by a failed write
	sealedAt    uint64 // next sequence number when it was sealed; measures its age in records
	syncedBytes int64  // durable bytes; maintained unless the durability is SyncNever
	replaced    bool   // a compaction's output is in use instead; about to be removed
	refs        int    // uses of the file by readers and syncs
	dropped     bool   // no longer in the index; the last release closes the file
	file        fsys.File
}

// obsoleteFile is a file that is not in use but still exists.
type obsoleteFile struct {
	size  int64
	state obsoleteState
}

// obsoleteState tells what happens to an obsolete file.
type obsoleteState int

const (
	removalPending obsoleteState = iota // left by the compaction that has just ended, to be removed before the next one
	removalOverdue                      // left by a failed create, or its removal has failed; the removal is retried
	possiblyListed                      // the manifest that the next open reads may list it, so it is not removed
)

// Store is an open store. Its methods are safe for concurrent use. An append never waits for the I/O of a compaction,
// nor for a sync other than its own.
type Store struct {
	options Options
	planner plan.Config

	mu                sync.Mutex
	storeID           uint64
	segments          map[uint64]*segmentFile
	active            *segmentFile
	nextSegment       uint64
	nextSequence      uint64
	keys              map[uint64]*entry
	reservedForKeys   int64 // for further records and tombstones of live keys
	reservedForPuts   int64 // by reservations, for keys that are not put yet
	victim            *segmentFile
	outputBytes       int64 // written by the running compaction
	refused           bool  // work was refused for lack of space since the last compaction or delete
	failure           error
	broken            chan struct{} // closed once the store can continue only after it is opened again
	closed            bool
	buf               []byte
	durable           uint64       // records up to this sequence number are durable
	dirUnsynced       bool         // files were created whose directory entries are not durable
	sealedTotals      *plan.Totals // of the sealed segments; nil if not computed
	compactions       int
	syncs             int
	compactionBlocked bool                    // it is unknown which manifest the next open reads
	obsolete          map[string]obsoleteFile // by name
	lastKey           uint64

	commitMu sync.Mutex // held during a commit; locked before mu
}

// Open opens a store, creating it if the directory has none, and passes the records of live keys to visit in sequence
// order.
func Open(options Options, visit func(Record)) (*Store, error) {
	if options.Report == nil {
		options.Report = func(string) {}
	}
	s := &Store{
		options: options, broken: make(chan struct{}), segments: map[uint64]*segmentFile{}, keys: map[uint64]*entry{}, obsolete: map[string]obsoleteFile{}, nextSegment: 1, nextSequence: 1,
		planner: plan.Config{MaxBytes: options.MaxBytes - options.OtherBytes, SegmentBytes: options.SegmentBytes, BlockSize: blockSize, HeaderSize: segment.HeaderSize},
	}
	if options.MaxBytes-options.OtherBytes < 4*(options.SegmentBytes+blockSize) || options.SegmentBytes < segment.HeaderSize+MaxTombstoneSize {
		return nil, fmt.Errorf("store: a limit of %d bytes is too small for segments of %d bytes", options.MaxBytes-options.OtherBytes, options.SegmentBytes)
	}
	if err := s.load(visit); err != nil {
		s.closeFiles()
		return nil, err
	}
	return s, nil
}

func segmentName(n uint64) string { return fmt.Sprintf("%s%016x", segmentPrefix, n) }
func outputName(n uint64) string  { return fmt.Sprintf("%s%016x", outputPrefix, n) }

// parseSegmentName returns the segment number in a file name.
func parseSegmentName(name, prefix string) (uint64, bool) {
	hex, ok := strings.CutPrefix(name, prefix)
	if !ok || len(hex) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(hex, 16, 64)
	return n, err == nil
}

// load finds the segments in use, removes other segment files, and reads those in use.
func (s *Store) load(visit func(Record)) error {
	names, err := s.options.FS.List()
	if err != nil {
		return fmt.Errorf("store: list: %w", err)
	}
	listed, err := s.readManifest(names)
	if err != nil {
		return err
	}
	for _, name := range names {
		number, isSegment := parseSegmentName(name, segmentPrefix)
		outputNumber, isOutput := parseSegmentName(name, outputPrefix)
		switch {
		case isSegment && (listed[name] || number >= s.nextSegment), isOutput && (listed[name] || listed == nil):
			number = max(number, outputNumber)
			s.segments[number] = &segmentFile{number: number, name: name}
		case isSegment, isOutput, name == manifestTemp: // replaced, or incomplete
			if err := s.options.FS.Remove(name); err != nil {
				return fmt.Errorf("store: remove obsolete file: %w", err)
			}
		}
	}
	for name := range listed {
		if !slices.Contains(names, name) {
			s.options.Report(fmt.Sprintf("journal: segment %s is missing", name))
		}
	}
	if err := s.scanSegments(visit); err != nil {
		return err
	}
	s.durable = s.nextSequence - 1
	for number := range s.segments {
		s.nextSegment = max(s.nextSegment, number+1)
	}
	if s.storeID == 0 {
		s.storeID = rand.New(rand.NewPCG(s.options.Seed, 1)).Uint64() | 1
	}
	if err := s.replaceManifest(s.encodeManifest()); err != nil {
		return err
	}
	return s.openActive()
}

// tombstone is the record that deletes a key.
type tombstone struct {
	sequence uint64
	segment  *segmentFile
	size     int64
}

// recordRef refers to a record while a store is being opened. There may be millions.
type recordRef struct {
	key, sequence uint64
	segment       *segmentFile
	offset, size  uint32 // segments are smaller than 4 GiB
}

// scanSegments reads all segments in two passes: one that collects the records, and one, in sequence order, that reads
// the payloads if visit is not nil. Both read sequentially in large pieces.
func (s *Store) scanSegments(visit func(Record)) error {
	var runs [][]recordRef // records by segment
	tombstones := map[uint64]tombstone{}
	for _, seg := range s.sortedSegments() {
		var err error
		if seg.file, err = s.options.FS.Open(seg.name); err != nil {
			return fmt.Errorf("store: open: %w", err)
		}
		var refs []recordRef
		header, size, findings, err := scanSegment(seg.file, seg.name, seg.number, s.storeID, func(kind recordKind, sequence, key uint64, _ []byte, offset, size int64) {
			s.nextSequence, s.lastKey = max(s.nextSequence, sequence+1), max(s.lastKey, key)
			if kind != kindTombstone {
				refs = append(refs, recordRef{key, sequence, seg, uint32(offset), uint32(size)})
			} else if last, found := tombstones[key]; !found || last.sequence < sequence {
				tombstones[key] = tombstone{sequence, seg, size}
			}
		})
		if err != nil {
			return err
		}
		for _, finding := range findings {
			s.options.Report("journal: " + finding)
		}
		if s.options.Durability != SyncNever { // a power failure must not undo what later records build on
			if err := seg.file.Sync(); err != nil {
				return fmt.Errorf("store: %s: %w", seg.name, err)
			}
		}
		if seg.syncedBytes = size; len(refs) > 0 {
			runs = append(runs, refs)
		}
		if seg.size = size; s.storeID == 0 {
			s.storeID = header.StoreID
		}
	}
	return s.buildIndex(sortBySequence(runs), tombstones, visit)
}

// sortBySequence returns the records of all segments in sequence order. A compaction preserves the order of a
// segment's records and puts them into one segment, so sorting the segments by their first record is usually enough.
func sortBySequence(runs [][]recordRef) []recordRef {
	slices.SortStableFunc(runs, func(a, b []recordRef) int { return cmp.Compare(a[0].sequence, b[0].sequence) })
	sorted := slices.Concat(runs...)
	bySequence := func(a, b recordRef) int { return cmp.Compare(a.sequence, b.sequence) }
	if !slices.IsSortedFunc(sorted, bySequence) { // for example copies next to their originals
		slices.SortStableFunc(sorted, bySequence)
	}
	return sorted
}

// buildIndex adds records, given in sequence order, to the index and passes those of live keys to visit.
func (s *Store) buildIndex(refs []recordRef, tombstones map[uint64]tombstone, visit func(Record)) error {
	live := refs[:0]
	for _, ref := range refs {
		tomb, deleted := tombstones[ref.key]
		e := s.keys[ref.key]
		if e == nil {
			e = &entry{deleted: deleted, tombstoneSize: tomb.size}
			if s.keys[ref.key] = e; deleted {
				e.tombstoneSegment = tomb.segment.number
			} else {
				e.first = location{ref.segment.number, int64(ref.offset), int64(ref.size)}
			}
		}
		s.addBytes(e, ref.segment, int64(ref.size), !deleted)
		if !deleted {
			live = append(live, ref)
		}
	}
	for key, tomb := range tombstones {
		e := s.keys[key]
		switch {
		case e == nil: // the segments with its records are gone; only the tombstone is left
		case s.tombstoneNeeded(e):
			tomb.segment.liveBytes += e.tombstoneSize
		default:
			delete(s.keys, key)
		}
	}
	return s.visitRecords(live, visit)
}

// visitRecords passes records to visit, in their order, unless visit is nil. A copy next to its original is passed
// once.
func (s *Store) visitRecords(live []recordRef, visit func(Record)) error {
	if visit == nil {
		return nil
	}
	var window readWindow
	for i, ref := range live {
		if i > 0 && ref.sequence == live[i-1].sequence {
			continue
		}
		b, err := window.read(ref.segment, int64(ref.offset), int64(ref.size))
		if err != nil {
			return err
		}
		data, err := s.parseRecord(ref.segment, int64(ref.offset), b)
		if err != nil {
			return err
		}
		visit(Record{Key: ref.key, Sequence: ref.sequence, Payload: data})
	}
	return nil
}

// readWindow reads adjacent records in large pieces.
type readWindow struct {
	segment *segmentFile
	offset  int64
	buf     []byte
	length  int
}

const windowSize = 1 << 20 // bytes read at once

// read returns the bytes of a record, which are valid until the next read.
func (w *readWindow) read(seg *segmentFile, offset, size int64) ([]byte, error) {
	if w.segment != seg || offset < w.offset || offset+size > w.offset+int64(w.length) {
		if bufSize := max(size, windowSize); int64(len(w.buf)) < bufSize {
			w.buf = make([]byte, bufSize)
		}
		n, err := seg.file.ReadAt(w.buf[:min(int64(len(w.buf)), max(size, seg.size-offset))], offset)
		if err != nil && !errors.Is(err, io.EOF) {
			return nil, fmt.Errorf("store: %s: %w", seg.name, err)
		}
		if w.segment, w.offset, w.length = seg, offset, n; int64(n) < size {
			return nil, fmt.Errorf("store: %s: record at %d is truncated", seg.name, offset)
		}
	}
	return w.buf[offset-w.offset:][:size], nil
}

// parseRecord returns the payload of the record at an offset of a segment.
func (s *Store) parseRecord(seg *segmentFile, offset int64, b []byte) (data []byte, err error) {
	payload, err := segment.Read(b, segment.Header{StoreID: s.storeID, Number: seg.number}, offset)
	if err == nil {
		_, _, _, data, err = decodeRecord(payload)
	}
	if err != nil {
		return nil, fmt.Errorf("store: %s: record at %d: %w", seg.name, offset, err)
	}
	return data, nil
}

// First reads the first record of a live key again. It is safe for concurrent use with all other methods.
func (s *Store) First(key uint64) ([]byte, error) {
	s.mu.Lock()
	e := s.keys[key]
	if e == nil || e.deleted {
		s.mu.Unlock()
		return nil, ErrUnknownKey
	} else if s.closed {
		s.mu.Unlock()
		return nil, ErrClosed
	}
	loc, seg := e.first, s.segments[e.first.segment]
	if seg == nil { // the record was unreadable when its segment was compacted
		s.mu.Unlock()
		return nil, fmt.Errorf("store: first record of key %d is lost", key)
	}
	seg.refs++
	s.mu.Unlock()
	defer s.releaseFile(seg)
	b := make([]byte, loc.size)
	if _, err := seg.file.ReadAt(b, loc.offset); err != nil && !errors.Is(err, io.EOF) {
		return nil, fmt.Errorf("store: %s: %w", seg.name, err)
	}
	return s.parseRecord(seg, loc.offset, b)
}

// releaseFile ends a use of a segment file.
func (s *Store) releaseFile(seg *segmentFile) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seg.unref()
}

// unref ends a use; the store's mu is held.
func (seg *segmentFile) unref() {
	if seg.refs--; seg.dropped && seg.refs == 0 {
		_ = seg.file.Close()
	}
}

// dropFile marks a file as no longer in the index and closes it once it is unused; s.mu is held, or the store is not
// shared yet.
func (s *Store) dropFile(seg *segmentFile) {
	if seg.dropped = true; seg.refs == 0 && seg.file != nil {
		_ = seg.file.Close()
	}
}

// sortedSegments returns the segments in order of their numbers.
func (s *Store) sortedSegments() []*segmentFile {
	list := make([]*segmentFile, 0, len(s.segments))
	for _, seg := range s.segments {
		list = append(list, seg)
	}
	slices.SortFunc(list, func(a, b *segmentFile) int { return cmp.Compare(a.number, b.number) })
	return list
}

// addBytes adds bytes of a key in a segment to the index.
func (s *Store) addBytes(e *entry, seg *segmentFile, bytes int64, live bool) {
	if live {
		seg.liveBytes += bytes
	}
	for i := range e.segments {
		if e.segments[i].segment == seg.number {
			e.segments[i].bytes += bytes
			return
		}
	}
	e.segments = append(e.segments, keySegment{seg.number, bytes})
}

// tombstoneNeeded reports whether a segment other than the tombstone's own holds records of a deleted key, so that the
// tombstone has to be kept.
func (s *Store) tombstoneNeeded(e *entry) bool {
	return slices.ContainsFunc(e.segments, func(p keySegment) bool { return p.segment != e.tombstoneSegment })
}

func decodeRecord(payload []byte) (kind recordKind, sequence, key uint64, data []byte, err error) {
	if len(payload) < 3 {
		return 0, 0, 0, nil, errors.New("store: record too short")
	}
	kind = recordKind(payload[0])
	sequence, n := binary.Uvarint(payload[1:])
	if n <= 0 || kind != kindData && kind != kindTombstone {
		return 0, 0, 0, nil, errors.New("store: unknown record format")
	}
	key, m := binary.Uvarint(payload[1+n:])
	if m <= 0 {
		return 0, 0, 0, nil, errors.New("store: unknown record format")
	}
	return kind, sequence, key, payload[1+n+m:], nil
}

func (s *Store) syncDir() error {
	if s.options.Durability == SyncNever {
		return nil
	}
	return s.options.FS.Sync()
}

// Broken returns a channel that is closed once the store can continue only after it is opened again: a sync has
// failed, and it is unknown which part of the segments, or which manifest, is on the disk. Open reads and syncs what
// is there.
func (s *Store) Broken() <-chan struct{} { return s.broken }

// markBroken closes broken; s.mu is held.
func (s *Store) markBroken() {
	select {
	case <-s.broken:
	default:
		close(s.broken)
	}
}

func (s *Store) closeFiles() {
	for _, seg := range s.segments {
		s.dropFile(seg)
	}
}
