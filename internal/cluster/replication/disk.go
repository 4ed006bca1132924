package replication

import (
	"encoding/binary"
	"errors"
	"fmt"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/routing/wal/fsys"
	"mulleinbeam/internal/routing/wal/store"
)

// ErrFull is returned when the space for replicas is used up.
var ErrFull = errors.New("replication: no space left for replicas")

const (
	segmentsPerDisk = 16 // segments that the space for replicas is divided into, within the sizes below
	minSegmentBytes = 64 << 10
	maxSegmentBytes = 8 << 20
)

// recordKey identifies what a stored record describes: a message, a completed message ID, or, with neither, the
// position of a replica.
type recordKey struct {
	incarnation controlplane.Incarnation
	message     uint64
	pastID      string
}

// Disk persists the records of a Store in the journal's storage engine, under one key for each message, each completed
// message ID and the position of each replica. Commit and Compact may be called from any goroutine; the other methods
// are not safe for concurrent use.
type Disk struct {
	store         *store.Store
	nextKey       uint64
	keys          map[recordKey]uint64
	byIncarnation map[controlplane.Incarnation]map[recordKey]bool
}

// OpenDisk opens a folder and passes each stored record to restore, in the order of writing. Unreadable records are
// passed to report and skipped.
func OpenDisk(fs fsys.FS, space int64, durability store.Durability, report func(string), restore func(DiskRecord)) (*Disk, error) {
	d := &Disk{nextKey: 1, keys: map[recordKey]uint64{}, byIncarnation: map[controlplane.Incarnation]map[recordKey]bool{}}
	var err error
	d.store, err = store.Open(store.Options{
		FS: fs, MaxBytes: space, SegmentBytes: min(maxSegmentBytes, max(minSegmentBytes, space/segmentsPerDisk)), Durability: durability, Seed: 1, Report: report,
	}, func(stored store.Record) {
		record, err := decode(stored.Payload)
		if err != nil {
			report(fmt.Sprintf("replication: record %d: %v, skipped", stored.Sequence, err))
			return
		}
		d.index(recordKey{record.Life, record.Message, record.PastID}, stored.Key)
		restore(record)
	})
	if err != nil {
		return nil, fmt.Errorf("replication: %w", err)
	}
	d.nextKey = d.store.LastKey() + 1
	return d, nil
}

// index remembers the storage key of a record.
func (d *Disk) index(record recordKey, key uint64) {
	d.keys[record] = key
	if d.byIncarnation[record.incarnation] == nil {
		d.byIncarnation[record.incarnation] = map[recordKey]bool{}
	}
	d.byIncarnation[record.incarnation][record] = true
}

// Save writes records and returns the number to pass to Commit. ErrFull means that there is no space for them; what is
// stored of the replica concerned may then be incomplete and must not be used.
func (d *Disk) Save(list []DiskRecord) (last uint64, err error) {
	for _, record := range list {
		num, err := d.saveRecord(record)
		if errors.Is(err, store.ErrFull) {
			d.store.NoteRefusal()
			return last, ErrFull
		}
		if err != nil {
			return last, fmt.Errorf("replication: %w", err)
		}
		last = max(last, num)
	}
	return last, nil
}

func (d *Disk) saveRecord(record DiskRecord) (num uint64, err error) {
	if record.Reset {
		for stored := range d.byIncarnation[record.Life] {
			if num, err = d.deleteRecord(stored); err != nil {
				return num, err
			}
		}
		delete(d.byIncarnation, record.Life)
		if record.Index == 0 {
			return num, nil
		}
	}
	target := recordKey{record.Life, record.Message, record.PastID}
	if record.Delete {
		if num, err = d.deleteRecord(target); err != nil || record.Message == 0 {
			return num, err
		}
		target.message, record.Message = 0, 0 // stores the position separately, so that the last index does not go back
	} else if key, there := d.keys[target]; there && record.Message != 0 {
		return d.store.Add(key, encode(record))
	}
	if target.message == 0 && target.pastID == "" {
		record.Payload = nil
	}
	if _, err = d.deleteRecord(target); err != nil {
		return num, err
	}
	key := d.nextKey
	d.nextKey++
	if num, err = d.store.Put(key, encode(record), 0); err == nil {
		d.index(target, key)
	}
	return num, err
}

func (d *Disk) deleteRecord(record recordKey) (num uint64, err error) {
	key, there := d.keys[record]
	if !there {
		return 0, nil
	}
	delete(d.keys, record)
	delete(d.byIncarnation[record.incarnation], record)
	if num, err = d.store.Delete(key); errors.Is(err, store.ErrUnknownKey) {
		return 0, nil
	}
	return num, err
}

// Commit returns once all records up to a number are as durable as the disk's durability setting demands. It may be
// called from any goroutine.
func (d *Disk) Commit(num uint64) error { return d.store.Commit(num) }

// Broken returns a channel that is closed when the disk has failed and can store nothing until the next start.
func (d *Disk) Broken() <-chan struct{} { return d.store.Broken() }

// Compact reclaims space where that is worthwhile. It may be called from any goroutine.
func (d *Disk) Compact() error {
	for {
		if did, err := d.store.Compact(nil); err != nil || !did {
			return err
		}
	}
}

// Stats returns the space in use and other figures of the storage engine.
func (d *Disk) Stats() store.Stats { return d.store.Stats() }

// Close closes the folder.
func (d *Disk) Close() error { return d.store.Close() }

func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func encode(record DiskRecord) []byte {
	b := appendString(nil, record.Life.Name)
	b = binary.AppendUvarint(binary.AppendUvarint(b, record.Life.Number), record.Index)
	b = binary.AppendVarint(b, int64(record.Skew))
	return append(appendString(binary.AppendUvarint(b, record.Message), record.PastID), record.Payload...)
}

var errMalformedRecord = errors.New("malformed record")

func decode(b []byte) (record DiskRecord, err error) {
	readUvarint := func() (v uint64) {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			err, b = errMalformedRecord, nil
			return 0
		}
		b = b[n:]
		return v
	}
	readString := func() string {
		n := readUvarint()
		if n > uint64(len(b)) {
			err, b = errMalformedRecord, nil
			return ""
		}
		s := string(b[:n])
		b = b[n:]
		return s
	}
	record.Life.Name = readString()
	record.Life.Number, record.Index = readUvarint(), readUvarint()
	skew := readUvarint()
	record.Skew = time.Duration(int64(skew>>1) ^ -int64(skew&1))
	record.Message, record.PastID = readUvarint(), readString()
	record.Payload = append([]byte(nil), b...)
	return record, err
}
