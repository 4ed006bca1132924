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

// ErrFull is given when a copy finds no room.
var ErrFull = errors.New("copies: no room")

const (
	spaceShares  = 16 // segments that the space for copies is divided into
	leastSegment = 64 << 10
	mostSegment  = 8 << 20
)

// at is what a record on the disk is of.
type at struct {
	life    controlplane.Incarnation
	message uint64
	past    string
}

// Disk keeps what a shelf wants kept, in the journal's store: a key for each message, for each id that is over and for how far a
// copy goes. It is not safe for concurrent use, but for Commit.
type Disk struct {
	store *store.Store
	next  uint64
	keys  map[at]uint64
	lives map[controlplane.Incarnation]map[at]bool
}

// OpenDisk opens a folder and gives what is kept there, in its order. Damaged records are told to report and left out.
func OpenDisk(fs fsys.FS, space int64, d store.Durability, report func(string), give func(DiskRecord)) (*Disk, error) {
	k := &Disk{next: 1, keys: map[at]uint64{}, lives: map[controlplane.Incarnation]map[at]bool{}}
	var err error
	k.store, err = store.Open(store.Options{
		FS: fs, Bound: space, Segment: min(mostSegment, max(leastSegment, space/spaceShares)), Durability: d, Seed: 1, Report: report,
	}, func(r store.Record) {
		kept, err := decode(r.Payload)
		if err != nil {
			report(fmt.Sprintf("copies: record %d: %v, passed over", r.Number, err))
			return
		}
		k.book(at{kept.Life, kept.Message, kept.PastID}, r.Key)
		give(kept)
	})
	if err != nil {
		return nil, fmt.Errorf("copies: %w", err)
	}
	k.next = k.store.LastKey() + 1
	return k, nil
}

func (k *Disk) book(a at, key uint64) {
	k.keys[a] = key
	if k.lives[a.life] == nil {
		k.lives[a.life] = map[at]bool{}
	}
	k.lives[a.life][a] = true
}

// Save writes what a shelf wants kept and gives what Commit needs. ErrFull says that there is no room, and that what is kept of
// that life is of no use any more.
func (k *Disk) Save(list []DiskRecord) (last uint64, err error) {
	for _, kept := range list {
		num, err := k.save(kept)
		if errors.Is(err, store.ErrFull) {
			k.store.Refused()
			return last, ErrFull
		}
		if err != nil {
			return last, fmt.Errorf("copies: %w", err)
		}
		last = max(last, num)
	}
	return last, nil
}

func (k *Disk) save(kept DiskRecord) (num uint64, err error) {
	if kept.Reset {
		for a := range k.lives[kept.Life] {
			if num, err = k.end(a); err != nil {
				return num, err
			}
		}
		delete(k.lives, kept.Life)
		if kept.Index == 0 {
			return num, nil
		}
	}
	a := at{kept.Life, kept.Message, kept.PastID}
	if kept.Delete {
		if num, err = k.end(a); err != nil || kept.Message == 0 {
			return num, err
		}
		a.message, kept.Message = 0, 0 // how far the copy goes is kept beside: it must not fall back
	} else if key, there := k.keys[a]; there && kept.Message != 0 {
		return k.store.Add(key, encode(kept))
	}
	if a.message == 0 && a.past == "" {
		kept.Payload = nil
	}
	if _, err = k.end(a); err != nil {
		return num, err
	}
	key := k.next
	k.next++
	if num, err = k.store.Put(key, encode(kept), 0); err == nil {
		k.book(a, key)
	}
	return num, err
}

func (k *Disk) end(a at) (num uint64, err error) {
	key, there := k.keys[a]
	if !there {
		return 0, nil
	}
	delete(k.keys, a)
	delete(k.lives[a.life], a)
	if num, err = k.store.End(key); errors.Is(err, store.ErrUnknown) {
		return 0, nil
	}
	return num, err
}

// Commit returns once all up to a number outlasts what the store's durability says. It may be called from any goroutine.
func (k *Disk) Commit(num uint64) error { return k.store.Commit(num) }

// Broken is closed once only the next start can keep anything.
func (k *Disk) Broken() <-chan struct{} { return k.store.Broken() }

// Compact gains room where that is worth it. It may be called from any goroutine.
func (k *Disk) Compact() error {
	for {
		if did, err := k.store.Compact(nil); err != nil || !did {
			return err
		}
	}
}

// Stats tells how full it is.
func (k *Disk) Stats() store.Stats { return k.store.Stats() }

// Close closes the folder.
func (k *Disk) Close() error { return k.store.Close() }

func text(b []byte, s string) []byte { return append(binary.AppendUvarint(b, uint64(len(s))), s...) }

func encode(k DiskRecord) []byte {
	b := text(nil, k.Life.Name)
	b = binary.AppendUvarint(binary.AppendUvarint(b, k.Life.Number), k.Index)
	b = binary.AppendVarint(b, int64(k.Skew))
	return append(text(binary.AppendUvarint(b, k.Message), k.PastID), k.Payload...)
}

var errForm = errors.New("record of no known form")

func decode(b []byte) (k DiskRecord, err error) {
	number := func() (v uint64) {
		v, n := binary.Uvarint(b)
		if n <= 0 {
			err, b = errForm, nil
			return 0
		}
		b = b[n:]
		return v
	}
	word := func() string {
		n := number()
		if n > uint64(len(b)) {
			err, b = errForm, nil
			return ""
		}
		s := string(b[:n])
		b = b[n:]
		return s
	}
	k.Life.Name = word()
	k.Life.Number, k.Index = number(), number()
	skew := number()
	k.Skew = time.Duration(int64(skew>>1) ^ -int64(skew&1))
	k.Message, k.PastID = number(), word()
	k.Payload = append([]byte(nil), b...)
	return k, err
}
