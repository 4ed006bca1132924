package store

import (
	"math/rand/v2"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinbeam/internal/routing/wal/fsys"
)

// Guards against removing either file of a compaction if its manifest may or may not be durable, because the sync of
// the directory has failed.
func TestCompactionWithUncertainManifestLosesNothing(t *testing.T) {
	for _, loss := range []fsys.Loss{fsys.LoseNothing, fsys.LoseUnsynced, fsys.LoseTail, fsys.LoseAnyUnsynced} {
		for seed := range uint64(20) {
			rng := rand.New(rand.NewPCG(seed, 13))
			mem := fsys.NewMem()
			faults := &fsys.FaultFS{FS: mem}
			s, _ := open(t, options(faults, SyncBatch))
			m := newModel()
			for range 120 {
				m.operate(t, s, rng, noCallback)
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

// brokenRename is a directory whose renames succeed but report an error while broken is set; the manifest is then
// unreadable.
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
	if b.unreadable && name == manifestName {
		return nil, syscall.EMFILE
	}
	return b.FS.Open(name)
}

// Guards against removing an output that the manifest lists: its rename succeeded but reported an error, and the
// manifest could not be read to find out.
func TestUnverifiableRenameLosesNothing(t *testing.T) {
	const seeds = 20
	uncertain := 0
	for seed := range uint64(seeds) {
		rng := rand.New(rand.NewPCG(seed, 14))
		mem := fsys.NewMem()
		dir := &brokenRename{FS: mem}
		o := options(dir, SyncNever)
		var reported []string
		o.Report = func(line string) { reported = append(reported, line) }
		s, _ := open(t, o)
		m := newModel()
		for range 120 {
			m.operate(t, s, rng, noCallback)
		}
		s.NoteRefusal()
		dir.broken = true
		for range 3 {
			_, _ = s.Compact(nil)
		}
		dir.unreadable = false
		if _, got := open(t, options(mem.Crash(fsys.LoseNothing, rng), SyncNever)); !cmp.Equal(m.keys, got) {
			t.Fatalf("seed %d, while the manifest is uncertain:\n%s", seed, cmp.Diff(m.keys, got))
		}
		dir.broken = false
		if _, err := s.Compact(nil); err != nil {
			t.Fatal(err)
		}
		for range 40 {
			m.operate(t, s, rng, noCallback)
		}
		if s.compactionBlocked {
			t.Fatalf("seed %d: compaction still suspended although the manifest can be written", seed)
		}
		if strings.Contains(strings.Join(reported, "\n"), "compaction suspended until") {
			uncertain++
		}
		if _, got := open(t, options(mem.Crash(fsys.LoseNothing, rng), SyncNever)); !cmp.Equal(m.keys, got) {
			t.Fatalf("seed %d, afterwards:\n%s", seed, cmp.Diff(m.keys, got))
		}
	}
	if uncertain < seeds/2 {
		t.Errorf("only %d of %d seeds reached an uncertain manifest", uncertain, seeds)
	}
}
