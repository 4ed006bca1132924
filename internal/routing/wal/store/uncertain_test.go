package store

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinbeam/internal/routing/wal/fsys"
)

// Guards against the removal of either file of a compaction whose manifest may or may not last.
func TestACompactionWithAnUncertainManifestLosesNothing(t *testing.T) {
	for _, loss := range []fsys.Loss{fsys.LoseNothing, fsys.LoseUnsynced, fsys.LoseTail, fsys.LoseAnyUnsynced} {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 13))
			mem := fsys.NewMem()
			faults := &fsys.FaultFS{FS: mem}
			s, _ := open(t, options(faults, SyncBatch))
			m := newModel()
			for range 120 {
				m.operate(t, s, rng, nothing)
			}
			if err := s.Commit(1 << 60); err != nil {
				t.Fatal(err)
			}
			renamed := false
			faults.Set(func(op fsys.Op, name string, n int) (int, error) {
				renamed = renamed || op == fsys.OpRename
				if renamed && op == fsys.OpSyncDir {
					return 0, syscall.EIO
				}
				return n, nil
			})
			s.NoteRefusal()
			for range 3 {
				_, _ = s.Compact(nil)
			}
			left := mem.Crash(loss, rng)
			if _, got := open(t, options(left, SyncBatch)); !cmp.Equal(m.keys, got) {
				t.Fatalf("loss %v, seed %d:\n%s", loss, seed, cmp.Diff(m.keys, got))
			}
		}
	}
}

// brokenRename is a folder whose renames of the manifest are made, told as failed, and not to be looked at while broken is set.
type brokenRename struct {
	fsys.FS
	broken, unreadable bool
}

func (b *brokenRename) Rename(from, to string) error {
	err := b.FS.Rename(from, to)
	if b.broken {
		b.unreadable = true
		return syscall.EIO
	}
	return err
}

func (b *brokenRename) Open(name string) (fsys.File, error) {
	if b.unreadable && name == manifest {
		return nil, syscall.EMFILE
	}
	return b.FS.Open(name)
}

// Guards against the removal of an output that a manifest lists, because its rename was made, told as failed and could not be looked at.
func TestARenameThatCannotBeLookedAtLosesNothing(t *testing.T) {
	const seeds = 20
	uncertain := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 14))
		mem := fsys.NewMem()
		folder := &brokenRename{FS: mem}
		o := options(folder, SyncNever)
		var reported []string
		o.Report = func(line string) { reported = append(reported, line) }
		s, _ := open(t, o)
		m := newModel()
		for range 120 {
			m.operate(t, s, rng, nothing)
		}
		s.NoteRefusal()
		folder.broken = true
		for range 3 {
			_, _ = s.Compact(nil)
		}
		folder.unreadable = false
		if _, got := open(t, options(mem.Crash(fsys.LoseNothing, rng), SyncNever)); !cmp.Equal(m.keys, got) {
			t.Fatalf("seed %d, while it is not known:\n%s", seed, cmp.Diff(m.keys, got))
		}
		folder.broken = false
		if _, err := s.Compact(nil); err != nil {
			t.Fatal(err)
		}
		for range 40 {
			m.operate(t, s, rng, nothing)
		}
		if s.stuck {
			t.Fatalf("seed %d: no compaction though the manifest can be written", seed)
		}
		if strings.Contains(strings.Join(reported, "\n"), "no compaction until") {
			uncertain++
		}
		if _, got := open(t, options(mem.Crash(fsys.LoseNothing, rng), SyncNever)); !cmp.Equal(m.keys, got) {
			t.Fatalf("seed %d, afterwards:\n%s", seed, cmp.Diff(m.keys, got))
		}
	}
	if uncertain < seeds/2 {
		t.Errorf("only %d of %d seeds came to an uncertain manifest", uncertain, seeds)
	}
}
