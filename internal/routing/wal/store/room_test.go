package store

import (
	"math/rand/v2"
	"syscall"
	"testing"

	"mulleinbeam/internal/routing/wal/fsys"
)

// fill puts keys until there is no room, and ends some of them; it gives how many were put.
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

// Guards against room that was told to be there and is gone at the next call because a compaction has gone on in between.
func TestACompactionNeverLowersTheFreeRoom(t *testing.T) {
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
			if taken := used(t, faults.FS); taken > options(nil, SyncNever).MaxBytes {
				t.Errorf("seed %d: %d bytes on the disk at %s of %s", seed, taken, op, name)
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
				t.Errorf("seed %d: %d bytes free behind a compaction, %d before", seed, now, free)
			}
		}
		if s.Stats().Compactions == 0 && !failing {
			t.Errorf("seed %d: no compaction", seed)
		}
	}
}

// Guards against an output that passes the bound because the file that an earlier one has replaced cannot be removed.
func TestFilesThatCannotBeRemovedStayWithinTheBound(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 12))
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		s, _ := open(t, options(faults, SyncNever))
		next := fill(t, s, rng)
		check := func(when string) {
			if taken := used(t, mem); taken > options(nil, SyncNever).MaxBytes {
				t.Fatalf("seed %d: %d bytes on the disk %s", seed, taken, when)
			}
		}
		faults.Set(func(op fsys.Op, name string, n int) (int, error) {
			check("before a " + string(op))
			if op == fsys.OpRemove && name != manifestIn {
				return 0, syscall.EIO
			}
			return n, nil
		})
		for key := uint64(1); key <= next; key++ {
			if _, err := s.Compact(nil); err != nil {
				t.Fatal(err)
			}
			_, _ = s.Delete(key)
			check("behind an end")
		}
		faults.Set(nil)
		for range 100 {
			s.NoteRefusal()
			_, _ = s.Compact(nil)
		}
		if !s.Fits(1000, 64) {
			t.Fatalf("seed %d: no room though all has ended: %+v", seed, s.Stats())
		}
	}
}

// Guards against reserved room that others get, that is not given back, or that is gone with a failing disk.
func TestReservedRoomIsThere(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 15))
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		s, _ := open(t, options(faults, SyncNever))
		next := fill(t, s, rng)
		faults.Set(func(op fsys.Op, name string, n int) (int, error) {
			if op == fsys.OpRemove && name != manifestIn && seed%2 == 0 {
				return 0, syscall.EIO
			}
			return n, nil
		})
		before := s.Stats().Free
		given, fits := s.Reserve(100, 64)
		kept, both := s.Reserve(1000, 64)
		if !fits || !both {
			t.Fatalf("seed %d: no room in a store with %d bytes free", seed, before)
		}
		given.Release()
		given.Release()
		for refused := 0; refused < 20; { // others take all there is
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
		if s.reserved != 0 {
			t.Errorf("seed %d: %d bytes stay reserved", seed, s.reserved)
		}
		if taken := used(t, mem); taken > options(nil, SyncNever).MaxBytes {
			t.Errorf("seed %d: %d bytes on the disk", seed, taken)
		}
	}
}
