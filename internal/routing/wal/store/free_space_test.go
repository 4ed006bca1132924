package store

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"mulleinbeam/internal/routing/wal/fsys"
)

// fill puts keys until the store is full and deletes some of them. It returns the number of keys put.
func fill(t *testing.T, s *Store, rng *rand.Rand) (puts uint64) {
	t.Helper()
	for s.Fits(1000, 64) {
		puts++
		if _, err := s.Put(puts, make([]byte, 200+rng.IntN(800)), 64); err != nil {
			t.Fatal(err)
		}
	}
	for key := uint64(1); key <= puts; key++ {
		if rng.IntN(3) == 0 {
			if _, err := s.Delete(key); err != nil {
				t.Fatal(err)
			}
		}
	}
	return puts
}

// Guards against free space that was reported and is gone at the next call because a compaction has proceeded in
// between.
func TestCompactionNeverLowersFreeSpace(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 11))
		faults := &fsys.FaultFS{FS: fsys.NewMem()}
		s, _ := open(t, options(faults, SyncNever))
		fill(t, s, rng)
		free := s.Stats().Free
		failing := rng.IntN(3) == 0
		faults.Set(func(op fsys.Op, name string, n int) (int, error) {
			now := s.Stats()
			if now.Free < free {
				t.Errorf("seed %d: %d bytes free at %s of %s, %d before", seed, now.Free, op, name, free)
			}
			if size := used(t, faults.FS); size > options(nil, SyncNever).MaxBytes {
				t.Errorf("seed %d: %d bytes on the disk at %s of %s", seed, size, op, name)
			}
			free = max(free, now.Free)
			if failing && op != fsys.OpRemove && op != fsys.OpRead && rng.IntN(4) == 0 {
				return n, syscall.ENOSPC
			}
			return n, nil
		})
		for range 20 {
			_, _ = s.Compact(nil)
			if now := s.Stats().Free; now < free {
				t.Errorf("seed %d: %d bytes free after a compaction, %d before", seed, now, free)
			}
		}
		if s.Stats().Compactions == 0 && !failing {
			t.Errorf("seed %d: no compaction", seed)
		}
	}
}

// Guards against a compaction output that exceeds the limit because the file that an earlier compaction replaced
// cannot be removed.
func TestUnremovableFilesStayWithinLimit(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 12))
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		s, _ := open(t, options(faults, SyncNever))
		next := fill(t, s, rng)
		check := func(when string) {
			if size := used(t, mem); size > options(nil, SyncNever).MaxBytes {
				t.Fatalf("seed %d: %d bytes on the disk %s", seed, size, when)
			}
		}
		faults.Set(func(op fsys.Op, name string, n int) (int, error) {
			check("before a " + string(op))
			if op == fsys.OpRemove && name != manifestTemp {
				return 0, syscall.EIO
			}
			return n, nil
		})
		for key := uint64(1); key <= next; key++ {
			if _, err := s.Compact(nil); err != nil {
				t.Fatal(err)
			}
			_, _ = s.Delete(key)
			check("after a delete")
		}
		faults.Set(nil)
		for range 100 {
			s.NoteRefusal()
			_, _ = s.Compact(nil)
		}
		if !s.Fits(1000, 64) {
			t.Fatalf("seed %d: no space although all keys are deleted: %+v", seed, s.Stats())
		}
	}
}

// Guards against reserved space that other keys use, that is never returned, or that is lost after a disk failure.
func TestReservedSpaceIsAvailable(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 15))
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		s, _ := open(t, options(faults, SyncNever))
		next := fill(t, s, rng)
		faults.Set(func(op fsys.Op, name string, n int) (int, error) {
			if op == fsys.OpRemove && name != manifestTemp && seed%2 == 0 {
				return 0, syscall.EIO
			}
			return n, nil
		})
		before := s.Stats().Free
		given, fits := s.Reserve(100, 64)
		kept, both := s.Reserve(1000, 64)
		if !fits || !both {
			t.Fatalf("seed %d: no space in a store with %d bytes free", seed, before)
		}
		given.Release()
		given.Release()
		for refused := 0; refused < 20; { // other keys use all remaining space
			if next++; rng.IntN(3) == 0 {
				_, _ = s.Compact(nil)
			}
			if _, err := s.Put(next, make([]byte, rng.IntN(1000)), 64); err != nil {
				refused++
			}
		}
		next++
		if _, err := s.PutReserved(kept, next, make([]byte, 1000), 64); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		kept.Release()
		if s.reservedForPuts != 0 {
			t.Errorf("seed %d: %d bytes stay reserved", seed, s.reservedForPuts)
		}
		if size := used(t, mem); size > options(nil, SyncNever).MaxBytes {
			t.Errorf("seed %d: %d bytes on the disk", seed, size)
		}
	}
}
