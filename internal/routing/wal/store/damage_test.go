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

// worked gives a folder in which a store has worked for a while, with what it holds; then it was left as in a kill.
func worked(t *testing.T, d Durability, seed uint64) (*fsys.Mem, *model) {
	t.Helper()
	mem, m := fsys.NewMem(), newModel()
	s, _ := open(t, options(mem, d))
	rng := rand.New(rand.NewPCG(seed, 21))
	for range 150 {
		m.operate(t, s, rng, nothing)
	}
	_, _ = open(t, options(mem, d)) // the manifest lists all of it
	return mem, m
}

// read gives a file's content, write replaces it.
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

// segmentsOf names a folder's segments.
func segmentsOf(t *testing.T, fs fsys.FS) []string {
	t.Helper()
	names, err := fs.List()
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(names, func(n string) bool { return !strings.HasPrefix(n, segPrefix) && !strings.HasPrefix(n, outPrefix) })
}

// A power cut at each step of a compaction, by name: whatever of the folder and its files lasted, all that lived is there and
// nothing else, and the store goes on, to the next compaction.
func TestPowerCutsByName(t *testing.T) {
	type instant struct {
		name string
		op   fsys.Op // the cut comes before it, once the compaction has got there
		file string  // prefix
		loss fsys.Loss
	}
	for _, at := range []instant{
		{"output created, and its name lost", fsys.OpWrite, outPrefix, fsys.LoseUnsynced},
		{"output written, nothing of it lasts", fsys.OpSync, outPrefix, fsys.LoseUnsynced},
		{"output half written", fsys.OpSync, outPrefix, fsys.LoseTail},
		{"output whole, no new manifest", fsys.OpCreate, manifestIn, fsys.LoseNothing},
		{"output whole, its name lost", fsys.OpCreate, manifestIn, fsys.LoseUnsynced},
		{"mid-manifest: written, nothing of it lasts", fsys.OpSync, manifestIn, fsys.LoseUnsynced},
		{"mid-manifest: half written", fsys.OpSync, manifestIn, fsys.LoseTail},
		{"mid-manifest: in any order", fsys.OpSync, manifestIn, fsys.LoseAnyUnsynced},
		{"before the rename", fsys.OpRename, manifestIn, fsys.LoseUnsynced},
		{"mid-rename: done, and lost", fsys.OpSyncDir, "", fsys.LoseUnsynced},
		{"mid-rename: done, and got through by itself", fsys.OpSyncDir, "", fsys.LoseNothing},
		{"mid-rename: some names got through", fsys.OpSyncDir, "", fsys.LoseAnyUnsynced},
		{"before the removal", fsys.OpRemove, segPrefix, fsys.LoseUnsynced},
		{"mid-removal: done, and lost", fsys.OpList, "", fsys.LoseUnsynced},
		{"mid-removal: done, and got through", fsys.OpList, "", fsys.LoseNothing},
	} {
		t.Run(at.name, func(t *testing.T) {
			for seed := range uint64(6) {
				mem, m := worked(t, SyncEach, seed)
				faults := &fsys.FaultFS{FS: mem}
				s, _ := open(t, options(faults, SyncEach))
				for key := uint64(1); key < m.next; key += 2 { // so that something is worth it
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
					_, _ = faults.List() // the instant behind a removal
				}
				if left == nil {
					t.Fatal("the compaction never got there")
				}
				again, got := open(t, options(left, SyncEach))
				if diff := cmp.Diff(m.keys, got); diff != "" {
					t.Fatalf("seed %d:\n%s", seed, diff)
				}
				if again.LastKey() < m.next-1 {
					t.Fatalf("key %d would be used twice", again.LastKey()+1)
				}
				for range 40 {
					m.operate(t, again, rng, nothing)
				}
				if _, got := open(t, options(left, SyncEach)); !cmp.Equal(m.keys, got) {
					t.Fatalf("seed %d, later:\n%s", seed, cmp.Diff(m.keys, got))
				}
			}
		})
	}
}

// Damage from outside costs what was in the damaged bytes and nothing else, is told of, and is never read as anything that
// was not written.
func TestDamage(t *testing.T) {
	spoil := map[string]func(t *testing.T, fs fsys.FS, rng *rand.Rand) (files []string){
		"missing": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			slices.SortFunc(list, func(a, b string) int { return strings.Compare(a[len(segPrefix):], b[len(segPrefix):]) })
			name := list[rng.IntN(len(list)-1)] // the last has nothing in it yet
			if err := fs.Remove(name); err != nil {
				t.Fatal(err)
			}
			return []string{name}
		},
		"swapped": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			a, b := list[0], list[1+rng.IntN(len(list)-1)]
			was := read(t, fs, a)
			write(t, fs, a, read(t, fs, b))
			write(t, fs, b, was)
			return []string{a, b}
		},
		"cut": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			name := list[rng.IntN(len(list))]
			was := read(t, fs, name)
			write(t, fs, name, was[:rng.IntN(len(was))])
			return []string{name}
		},
		"doubled": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			write(t, fs, segName(1<<40), read(t, fs, list[rng.IntN(len(list))]))
			return nil
		},
		"doubled in itself": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			name := list[rng.IntN(len(list))]
			was := read(t, fs, name)
			write(t, fs, name, slices.Concat(was, was))
			return nil
		},
		"bit flipped": func(t *testing.T, fs fsys.FS, rng *rand.Rand) []string {
			list := segmentsOf(t, fs)
			name := list[rng.IntN(len(list))]
			was := read(t, fs, name)
			was[rng.IntN(len(was))] ^= 1 << rng.IntN(8)
			write(t, fs, name, was)
			return []string{name}
		},
	}
	for name, f := range spoil {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(25) {
				mem, m := worked(t, SyncNever, seed)
				hurt := map[uint64]bool{} // keys with a record, or their end, in a spoilt file
				rng := rand.New(rand.NewPCG(seed, 17))
				before := fsys.NewMem()
				for _, n := range segmentsOf(t, mem) {
					write(t, before, n, read(t, mem, n))
				}
				for _, n := range f(t, mem, rng) {
					number := max(first(number(n, segPrefix)), first(number(n, outPrefix)))
					file, err := before.Open(n)
					if err != nil {
						t.Fatal(err)
					}
					if _, _, _, err := scanFile(file, n, number, 0, func(_ kind, _, key uint64, _ []byte, _, _ int64) { hurt[key] = true }); err != nil {
						t.Fatal(err)
					}
				}
				var told []string
				reads := 0
				faults := &fsys.FaultFS{FS: mem}
				faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
					if op == fsys.OpRead {
						reads += n
					}
					return n, nil
				})
				o := options(faults, SyncNever)
				o.Report = func(line string) { told = append(told, line) }
				s, got := open(t, o)
				for key, list := range got {
					switch {
					case !hurt[key] && !slices.Equal(list, m.keys[key]):
						t.Fatalf("seed %d: key %d has %d records, %d wanted", seed, key, len(list), len(m.keys[key]))
					case hurt[key] && !m.ended[key] && !subset(list, m.keys[key]):
						t.Fatalf("seed %d: key %d has what was never written", seed, key)
					}
				}
				for key, list := range m.keys {
					if !hurt[key] && !slices.Equal(list, got[key]) {
						t.Fatalf("seed %d: key %d is lost, and was nowhere near", seed, key)
					}
				}
				if len(told) == 0 && name != "cut" && name != "bit flipped" { // a cut behind a record takes nothing that can be missed
					t.Errorf("seed %d: nothing told", seed)
				}
				if most := 6*(256<<10) + 4*int(used(t, mem)); reads > most {
					t.Errorf("%d bytes read for %d on disk", reads, used(t, mem))
				}
				for range 40 { // and it goes on
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

// While a sync is out appends go on, and all that wait for the next one share it.
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
	for key := uint64(2); key <= n; key++ { // with the sync held up
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
		t.Errorf("%d syncs for %d that waited; durable to %d of %d", syncs, n, s.DurableSequence(), last)
	}
}

// What was not durable when a sync failed is not found by the next start either, though the process alone ended: nobody was
// promised it. What was durable is.
func TestFailedSyncTakesBack(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, 6))
		mem := fsys.NewMem()
		faults := &fsys.FaultFS{FS: mem}
		s, _ := open(t, options(faults, SyncBatch))
		m := newModel()
		for range 40 {
			m.operate(t, s, rng, nothing)
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
			t.Errorf("seed %d: a compaction went on: %v", seed, err)
		}
		for _, loss := range []fsys.Loss{fsys.LoseNothing, fsys.LoseUnsynced} {
			if _, got := open(t, options(mem.Crash(loss, rng), SyncBatch)); !cmp.Equal(durable, got) {
				t.Fatalf("seed %d, loss %d:\n%s", seed, loss, cmp.Diff(durable, got))
			}
		}
	}
}

// Where files may not grow to a segment's size, segments stay smaller, and nothing is refused for it.
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
