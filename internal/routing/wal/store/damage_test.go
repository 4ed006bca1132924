package store

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulleinbeam/internal/routing/wal/fsys"
)

// dirAfterWorkload returns a directory as left by a kill after a random workload, with the expected content.
func dirAfterWorkload(t *testing.T, d Durability, seed uint64) (*fsys.Mem, *model) {
	t.Helper()
	mem, m := fsys.NewMem(), newModel()
	s, _ := open(t, options(mem, d))
	rng := rand.New(rand.NewPCG(seed, 21))
	for range 150 {
		m.operate(t, s, rng, noCallback)
	}
	_, _ = open(t, options(mem, d)) // the manifest lists all segments
	return mem, m
}

// read returns the content of a file; write replaces it.
func read(t *testing.T, fs fsys.FS, name string) []byte {
	t.Helper()
	f, err := fs.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	n, _ := f.Size()
	data, err := io.ReadAll(io.NewSectionReader(f, 0, n))
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func write(t *testing.T, fs fsys.FS, name string, data []byte) {
	t.Helper()
	_ = fs.Remove(name)
	f, err := fs.Create(name)
	if err == nil {
		_, err = f.Write(data)
	}
	if err != nil {
		t.Fatal(err)
	}
}

// segmentsOf returns the names of a directory's segments.
func segmentsOf(t *testing.T, fs fsys.FS) []string {
	t.Helper()
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(names, func(n string) bool {
		return !strings.HasPrefix(n, segmentPrefix) && !strings.HasPrefix(n, outputPrefix)
	})
}

// Guards against loss after a power failure during a compaction. The failure is simulated at each step, with different
// sets of surviving files and entries: the store must hold all live records and nothing else, and continue up to its
// next compaction.
func TestPowerFailureAtCompactionSteps(t *testing.T) {
	type instant struct {
		name string
		op   fsys.Op // the failure comes before the first such operation of the compaction
		file string  // prefix of the name
		loss fsys.Loss
	}
	for _, at := range []instant{
		{"output created, and its name lost", fsys.OpWrite, outputPrefix, fsys.LoseUnsynced},
		{"output written, nothing of it lasts", fsys.OpSync, outputPrefix, fsys.LoseUnsynced},
		{"output half written", fsys.OpSync, outputPrefix, fsys.LoseTail},
		{"output whole, no new manifest", fsys.OpCreate, manifestTemp, fsys.LoseNothing},
		{"output whole, its name lost", fsys.OpCreate, manifestTemp, fsys.LoseUnsynced},
		{"mid-manifest: written, nothing of it lasts", fsys.OpSync, manifestTemp, fsys.LoseUnsynced},
		{"mid-manifest: half written", fsys.OpSync, manifestTemp, fsys.LoseTail},
		{"mid-manifest: in any order", fsys.OpSync, manifestTemp, fsys.LoseAnyUnsynced},
		{"before the rename", fsys.OpRename, manifestTemp, fsys.LoseUnsynced},
		{"mid-rename: done, and lost", fsys.OpSyncDir, "", fsys.LoseUnsynced},
		{"mid-rename: done, and got through by itself", fsys.OpSyncDir, "", fsys.LoseNothing},
		{"mid-rename: some names got through", fsys.OpSyncDir, "", fsys.LoseAnyUnsynced},
		{"before the removal", fsys.OpRemove, segmentPrefix, fsys.LoseUnsynced},
		{"mid-removal: done, and lost", fsys.OpList, "", fsys.LoseUnsynced},
		{"mid-removal: done, and got through", fsys.OpList, "", fsys.LoseNothing},
	} {
		t.Run(at.name, func(t *testing.T) {
			for seed := range uint64(6) {
				mem, m := dirAfterWorkload(t, SyncEach, seed)
				faults := &fsys.FaultFS{FS: mem}
				s, _ := open(t, options(faults, SyncEach))
				for key := uint64(1); key < m.next; key += 2 { // so that a compaction is worthwhile
					if _, lives := m.keys[key]; lives {
						if _, err := s.Delete(key); err != nil {
							t.Fatal(err)
						}
						delete(m.keys, key)
					}
				}
				var left *fsys.Mem
				rng := rand.New(rand.NewPCG(seed, 3))
				cut := func(op fsys.Op, name string, n int) (int, error) {
					if left == nil && op == at.op && strings.HasPrefix(name, at.file) {
						left = mem.Crash(at.loss, rng)
					}
					return n, nil
				}
				faults.Set(cut)
				for did := true; did && left == nil; {
					var err error
					s.NoteRefusal()
					if did, err = s.Compact(nil); err != nil {
						t.Fatal(err)
					}
					_, _ = faults.List() // the moment after a removal
				}
				if left == nil {
					t.Fatal("the compaction never reached this step")
				}
				again, got := open(t, options(left, SyncEach))
				if diff := cmp.Diff(m.keys, got); diff != "" {
					t.Fatalf("seed %d:\n%s", seed, diff)
				}
				if again.LastKey() < m.next-1 {
					t.Fatalf("key %d would be used twice", again.LastKey()+1)
				}
				for range 40 {
					m.operate(t, again, rng, noCallback)
				}
				if _, got := open(t, options(left, SyncEach)); !cmp.Equal(m.keys, got) {
					t.Fatalf("seed %d, later:\n%s", seed, cmp.Diff(m.keys, got))
				}
			}
		})
	}
}

// Guards against damage that spreads. Files are removed, swapped, truncated, duplicated or changed by another program:
// only records in the damaged bytes may be lost, the damage must be reported, and nothing may be read that was never
// written.
func TestDamage(t *testing.T) {
	damages := map[string]func(t *testing.T, fs fsys.FS, rng *rand.Rand) (files []string){
		"missing": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			slices.SortFunc(list, func(a, b string) int { return strings.Compare(a[len(segmentPrefix):], b[len(segmentPrefix):]) })
			name := list[rng.IntN(len(list)-1)] // the last one is still empty
			if err := fs.Remove(name); err != nil {
				t.Fatal(err)
			}
			return []string{name}
		},
		"swapped": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			a, b := list[0], list[1+rng.IntN(len(list)-1)]
			content := read(t, fs, a)
			write(t, fs, a, read(t, fs, b))
			write(t, fs, b, content)
			return []string{a, b}
		},
		"cut": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			name := list[rng.IntN(len(list))]
			content := read(t, fs, name)
			write(t, fs, name, content[:rng.IntN(len(content))])
			return []string{name}
		},
		"doubled": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			write(t, fs, segmentName(1<<40), read(t, fs, list[rng.IntN(len(list))]))
			return nil
		},
		"doubled in itself": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			name := list[rng.IntN(len(list))]
			content := read(t, fs, name)
			write(t, fs, name, slices.Concat(content, content))
			return nil
		},
		"bit flipped": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			name := list[rng.IntN(len(list))]
			content := read(t, fs, name)
			content[rng.IntN(len(content))] ^= 1 << rng.IntN(8)
			write(t, fs, name, content)
			return []string{name}
		},
	}
	for name, f := range damages {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(25) {
				mem, m := dirAfterWorkload(t, SyncNever, seed)
				damaged := map[uint64]bool{} // keys with a record or tombstone in a damaged file
				rng := rand.New(rand.NewPCG(seed, 17))
				before := fsys.NewMem()
				for _, n := range segmentsOf(t, mem) {
					write(t, before, n, read(t, mem, n))
				}
				for _, n := range f(t, mem, rng) {
					number := max(first(parseSegmentName(n, segmentPrefix)), first(parseSegmentName(n, outputPrefix)))
					file, err := before.Open(n)
					if err != nil {
						t.Fatal(err)
					}
					if _, _, _, err := scanSegment(file, n, number, 0, func(_ recordKind, _, key uint64, _ []byte, _, _ int64) { damaged[key] = true }); err != nil {
						t.Fatal(err)
					}
				}
				var reported []string
				reads := 0
				faults := &fsys.FaultFS{FS: mem}
				faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
					if op == fsys.OpRead {
						reads += n
					}
					return n, nil
				})
				o := options(faults, SyncNever)
				o.Report = func(line string) { reported = append(reported, line) }
				s, got := open(t, o)
				for key, list := range got {
					switch {
					case !damaged[key] && !slices.Equal(list, m.keys[key]):
						t.Fatalf("seed %d: key %d has %d records, %d wanted", seed, key, len(list), len(m.keys[key]))
					case damaged[key] && !m.deleted[key] && !subset(list, m.keys[key]):
						t.Fatalf("seed %d: key %d has records that were never written", seed, key)
					}
				}
				for key, list := range m.keys {
					if !damaged[key] && !slices.Equal(list, got[key]) {
						t.Fatalf("seed %d: key %d is lost, but was not damaged", seed, key)
					}
				}
				if len(reported) == 0 && name != "cut" && name != "bit flipped" { // a cut at the end of a record cannot be detected
					t.Errorf("seed %d: nothing reported", seed)
				}
				if most := 6*(256<<10) + 4*int(used(t, mem)); reads > most {
					t.Errorf("%d bytes read for %d on disk", reads, used(t, mem))
				}
				for range 40 { // the store must remain usable
					key := s.LastKey() + 1
					if _, err := s.Put(key, []byte("new"), 10); err != nil && !errors.Is(err, ErrFull) {
						t.Fatal(err)
					} else if err == nil {
						if _, err := s.Delete(key); err != nil {
							t.Fatal(err)
						}
					}
				}
			}
		})
	}
}

func first(n uint64, _ bool) uint64 { return n }

// Guards against appends that block during a sync, and against commits that each do a sync of their own.
func TestGroupCommit(t *testing.T) {
	const n = 50
	faults := &fsys.FaultFS{FS: fsys.NewMem()}
	s, _ := open(t, options(faults, SyncBatch))
	first, err := s.Put(1, []byte("x"), 10)
	if err != nil {
		t.Fatal(err)
	}
	began, goOn := make(chan struct{}), make(chan struct{})
	var once sync.Once
	faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
		if op == fsys.OpSync {
			once.Do(func() { close(began); <-goOn })
		}
		return n, nil
	})
	before := s.Stats().Syncs
	errs := make(chan error, n)
	go func() { errs <- s.Commit(first) }()
	<-began
	var last uint64
	for key := uint64(2); key <= n; key++ { // while the sync is blocked
		if last, err = s.Put(key, []byte("x"), 10); err != nil {
			t.Fatal(err)
		}
	}
	for range n - 1 {
		go func() { errs <- s.Commit(last) }()
	}
	if s.DurableSequence() >= first {
		t.Error("durable before its sync has ended")
	}
	close(goOn)
	for range n {
		if err := <-errs; err != nil {
			t.Fatal(err)
		}
	}
	if syncs := s.Stats().Syncs - before; syncs != 2 || s.DurableSequence() < last {
		t.Errorf("%d syncs for %d commits; durable up to %d of %d", syncs, n, s.DurableSequence(), last)
	}
}

// Guards against records that the next open finds although their commit has failed, even if only the process ended.
// What was durable before must be found.
func TestFailedSyncTruncates(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 6))
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		s, _ := open(t, options(faults, SyncBatch))
		m := newModel()
		for range 40 {
			m.operate(t, s, rng, noCallback)
		}
		if err := s.Commit(1 << 60); err != nil {
			t.Fatal(err)
		}
		durable := map[uint64][]string{}
		for key, list := range m.keys {
			durable[key] = slices.Clone(list)
		}
		next := m.next
		for range 10 {
			if _, err := s.Put(m.next, []byte("never promised"), 10); errors.Is(err, ErrFull) {
				break
			} else if err != nil {
				t.Fatal(err)
			}
			m.next++
		}
		faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
			if op == fsys.OpSync {
				return 0, syscall.EIO
			}
			return n, nil
		})
		if err := s.Commit(1 << 60); m.next > next && !errors.Is(err, ErrFailed) {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if m.next == next {
			continue
		}
		if _, err := s.Compact(nil); !errors.Is(err, ErrFailed) {
			t.Errorf("seed %d: compaction after a failed sync: %v", seed, err)
		}
		for _, loss := range []fsys.Loss{fsys.LoseNothing, fsys.LoseUnsynced} {
			if _, got := open(t, options(mem.Crash(loss, rng), SyncBatch)); !cmp.Equal(durable, got) {
				t.Fatalf("seed %d, loss %d:\n%s", seed, loss, cmp.Diff(durable, got))
			}
		}
	}
}

// Guards against refusals where the file size limit is below the segment size: segments must stay smaller instead.
func TestFilesOfLimitedSize(t *testing.T) {
	const most = testSegment / 2
	mem := fsys.NewMem()
	faults := &fsys.FaultFS{FS: mem}
	faults.Set(func(op fsys.Op, name string, n int) (int, error) {
		if op != fsys.OpWrite {
			return n, nil
		}
		f, err := mem.Open(name)
		if err != nil {
			return 0, err
		}
		if size, _ := f.Size(); size+int64(n) > most {
			return int(most - size), syscall.EFBIG
		}
		return n, nil
	})
	s, _ := open(t, options(faults, SyncNever))
	want := map[uint64][]string{}
	for key := uint64(1); key <= 300; key++ {
		body := strings.Repeat("x", 200+int(key)%300)
		if _, err := s.Put(key, []byte(body), 50); err != nil {
			t.Fatalf("key %d: %v", key, err)
		}
		if want[key] = []string{body}; key > 20 {
			if _, err := s.Delete(key - 20); err != nil {
				t.Fatal(err)
			}
			delete(want, key-20)
		}
		if _, err := s.Compact(nil); err != nil {
			t.Fatal(fmt.Errorf("key %d: %w", key, err))
		}
	}
	if _, got := open(t, options(mem, SyncNever)); !cmp.Equal(want, got) {
		t.Error(cmp.Diff(want, got))
	}
}
