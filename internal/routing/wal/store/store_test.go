package store

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"mulleinbeam/internal/routing/wal/fsys"
)

const testSegment = 4 << 10

func options(m fsys.FS, d Durability) Options {
	return Options{FS: m, MaxBytes: 64 << 10, SegmentBytes: testSegment, Durability: d, Seed: 7}
}

// open opens a store and returns its content: the payloads of each key, in order.
func open(t fataler, o Options) (*Store, map[uint64][]string) {
	got := map[uint64][]string{}
	last := uint64(0)
	s, err := Open(o, func(r Record) {
		if r.Sequence <= last {
			t.Fatalf("record %d after record %d", r.Sequence, last)
		}
		last = r.Sequence
		got[r.Key] = append(got[r.Key], string(r.Payload))
	})
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	return s, got
}

type fataler interface{ Fatalf(string, ...any) }

// used returns the size of a directory's files, in whole blocks.
func used(t fataler, m fsys.FS) int64 {
	names, err := m.List()
	if err != nil {
		t.Fatalf("%v", err)
	}
	total := int64(0)
	for _, name := range names {
		f, err := m.Open(name)
		if err != nil {
			t.Fatalf("%v", err)
		}
		n, _ := f.Size()
		_ = f.Close()
		total += (n + blockSize - 1) / blockSize * blockSize
	}
	return total
}

// model applies the same operations to a plain map.
type model struct {
	keys     map[uint64][]string // of live keys
	deleted  map[uint64]bool
	next     uint64
	refusals int
}

func newModel() *model {
	return &model{keys: map[uint64][]string{}, deleted: map[uint64]bool{}, next: 1}
}

func (m *model) liveKeys() []uint64 {
	var keys []uint64
	for k := range m.keys {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// operate applies one random operation to the store and the model. before is called with the effect of the operation
// on a key as soon as the key is chosen.
func (m *model) operate(t fataler, s *Store, rng *rand.Rand, before func(key uint64, after []string, deletes bool)) {
	live := m.liveKeys()
	body := string(bytes.Repeat([]byte{byte(rng.Uint32())}, 1+rng.IntN(900)))
	switch r := rng.IntN(10); {
	case r < 4 || len(live) == 0:
		key := m.next
		before(key, []string{body}, false)
		_, err := s.Put(key, []byte(body), 100)
		if errors.Is(err, ErrFull) {
			m.refusals++
			return
		} else if err != nil {
			t.Fatalf("put: %v", err)
		}
		m.next++
		m.keys[key] = []string{body}
	case r < 6:
		key := live[rng.IntN(len(live))]
		small := fmt.Sprint("n", rng.IntN(1000))
		before(key, append(slices.Clone(m.keys[key]), small), false)
		if _, err := s.Add(key, []byte(small)); errors.Is(err, ErrFull) {
			m.refusals++
		} else if err != nil {
			t.Fatalf("add: %v", err)
		} else {
			m.keys[key] = append(m.keys[key], small)
		}
	case r < 9:
		key := live[0]
		if r == 8 {
			key = live[rng.IntN(len(live))]
		}
		before(key, nil, true)
		if _, err := s.Delete(key); err != nil {
			t.Fatalf("delete: %v", err)
		}
		delete(m.keys, key)
		m.deleted[key] = true
	default:
		before(0, nil, false)
		if _, err := s.Compact(nil); err != nil {
			t.Fatalf("compact: %v", err)
		}
	}
}

func noCallback(uint64, []string, bool) {}

// compare checks a running store against the model: first records are read again, and the accounting of space may only
// err towards less free space.
func (m *model) compare(t fataler, s *Store) {
	for key, list := range m.keys {
		if got, err := s.First(key); err != nil || string(got) != list[0] {
			t.Fatalf("key %d reads %d bytes for %d, %v", key, len(got), len(list[0]), err)
		}
	}
	exact := s.plannerState()
	exact.Totals = nil
	if quick := s.spaceState(); s.planner.Used(quick) != s.planner.Used(exact) || s.planner.Free(quick) > s.planner.Free(exact) {
		t.Fatalf("used %d for %d, free %d for %d", s.planner.Used(quick), s.planner.Used(exact), s.planner.Free(quick), s.planner.Free(exact))
	}
}

// Guards against lost or surplus records across compactions and restarts, against files that exceed the limit, and
// against a store that keeps refusing after enough keys were deleted.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 4))
		m := newModel()
		mem := fsys.NewMem()
		d := rapid.SampledFrom([]Durability{SyncNever, SyncBatch, SyncEach}).Draw(t, "durability")
		mem.OnChange = func() {
			if n := used(t, mem); n > 64<<10 {
				t.Fatalf("%d bytes on disk", n)
			}
		}
		s, _ := open(t, options(mem, d))
		for range rapid.IntRange(1, 400).Draw(t, "operations") {
			m.operate(t, s, rng, noCallback)
			m.compare(t, s)
			if rng.IntN(60) == 0 {
				if rng.IntN(2) == 0 {
					_ = s.Close()
				}
				var got map[uint64][]string
				if s, got = open(t, options(mem, d)); !cmp.Equal(m.keys, got) {
					t.Fatalf("after a restart:\n%s", cmp.Diff(m.keys, got))
				}
				if s.LastKey() < m.next-1 {
					t.Fatalf("key %d would be used twice", s.LastKey()+1)
				}
			}
		}
		for _, key := range m.liveKeys() {
			if _, err := s.Delete(key); err != nil {
				t.Fatal(err)
			}
		}
		for {
			if did, err := s.Compact(nil); err != nil {
				t.Fatal(err)
			} else if !did {
				break
			}
		}
		if _, err := s.Put(m.next, make([]byte, 900), 100); err != nil {
			t.Fatalf("no key is live, but put failed: %v: %+v", err, s.Stats())
		}
	})
}

// Guards against broken guarantees after a crash. The crash is simulated at every file operation and with every kind
// of loss: the store must open, durable records must be there, deleted keys must stay deleted, and nothing may be
// duplicated or torn.
func TestCrashAtEveryOperation(t *testing.T) {
	states := 0
	for _, d := range []Durability{SyncNever, SyncBatch, SyncEach} {
		for seed := range uint64(2) {
			rng := rand.New(rand.NewPCG(seed, uint64(d)))
			crashes := rand.New(rand.NewPCG(seed, 99))
			mem := fsys.NewMem()
			m := newModel()
			durable, deletedDurably := map[uint64][]string{}, map[uint64]bool{} // as of the last commit
			var touched map[uint64]bool                                         // keys changed since then
			touched = map[uint64]bool{}
			var inKey uint64
			var inAfter []string
			var inDeletes bool
			check := func() {
				for _, loss := range []fsys.Loss{fsys.LoseNothing, fsys.LoseUnsynced, fsys.LoseTail, fsys.LoseAnyUnsynced, fsys.LoseAnyUnsynced} {
					if d == SyncNever && loss != fsys.LoseNothing {
						continue
					}
					states++
					left := mem.Crash(loss, crashes)
					s, got := open(t, options(left, d))
					for key, list := range got {
						now, lives := m.keys[key]
						ok := lives && slices.Equal(now, list) || key == inKey && !inDeletes && slices.Equal(inAfter, list)
						if loss != fsys.LoseNothing && d == SyncBatch && touched[key] { // any of its records since the commit may be lost
							all := now
							if key == inKey && !inDeletes {
								all = inAfter
							}
							ok = ok || subset(list, all) || m.deleted[key] || inDeletes && key == inKey
							ok = ok && (len(durable[key]) == 0 || len(list) >= len(durable[key]) && slices.Equal(list[:len(durable[key])], durable[key]))
						}
						if !ok || deletedDurably[key] {
							t.Fatalf("seed %d, durability %d, loss %d: key %d has %d records, %d wanted; deleted %v",
								seed, d, loss, key, len(list), len(now), deletedDurably[key])
						}
					}
					want := m.keys
					if d == SyncBatch && loss != fsys.LoseNothing {
						want = durable
					}
					for key := range want {
						if _, there := got[key]; !there && !(key == inKey && inDeletes) && !(d == SyncBatch && m.deleted[key]) {
							t.Fatalf("seed %d, durability %d, loss %d: key %d is lost", seed, d, loss, key)
						}
					}
					if err := s.Close(); err != nil {
						t.Fatal(err)
					}
				}
			}
			s, _ := open(t, options(mem, d))
			mem.OnChange = check
			for i := range 120 {
				m.operate(t, s, rng, func(key uint64, after []string, deletes bool) {
					inKey, inAfter, inDeletes = key, after, deletes
					if key > 0 {
						touched[key] = true
					}
				})
				inKey, inAfter, inDeletes = 0, nil, false
				if d == SyncBatch && i%7 == 0 {
					if err := s.Commit(1 << 60); err != nil {
						t.Fatal(err)
					}
					durable, touched = map[uint64][]string{}, map[uint64]bool{}
					for key, list := range m.keys {
						durable[key] = slices.Clone(list)
					}
					for key := range m.deleted {
						deletedDurably[key] = true
					}
				}
				if d != SyncBatch {
					for key := range m.deleted {
						deletedDurably[key] = true
					}
				}
			}
			if st := s.Stats(); st.Compactions == 0 {
				t.Errorf("seed %d, durability %d: no compaction in the workload", seed, d)
			}
		}
	}
	if t.Logf("%d states", states); states < 2000 {
		t.Errorf("only %d states", states)
	}
}

// subset reports whether a list is a subsequence of another.
func subset(part, all []string) bool {
	i := 0
	for _, v := range all {
		if i < len(part) && part[i] == v {
			i++
		}
	}
	return i == len(part)
}

// Guards against loss of accepted records, or a partial record in front of the next, after a file operation has failed
// entirely or halfway. The store must accept writes again once the disk does, without a restart.
func TestDiskFails(t *testing.T) {
	for _, why := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EIO} {
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 8))
			mem := &fsys.FaultFS{FS: fsys.NewMem()}
			s, _ := open(t, options(mem, SyncNever))
			m := newModel()
			for range 250 {
				mem.Set(nil)
				if rng.IntN(3) == 0 {
					after := rng.IntN(4)
					mem.Set(func(op fsys.Op, _ string, n int) (int, error) {
						if after--; after >= 0 || op == fsys.OpRead {
							return n, nil
						}
						return rng.IntN(n + 1), why
					})
				}
				key, body := m.next, string(bytes.Repeat([]byte("x"), 1+rng.IntN(700)))
				live := m.liveKeys()
				var err error
				switch r := rng.IntN(10); {
				case r < 5 || len(live) == 0:
					if _, err = s.Put(key, []byte(body), 100); err == nil {
						m.keys[key] = []string{body}
						m.next++
					}
				case r < 8:
					if _, err = s.Delete(live[0]); err == nil {
						delete(m.keys, live[0])
					}
				default:
					_, _ = s.Compact(nil)
				}
				if errors.Is(err, ErrFailed) {
					t.Fatalf("%v, seed %d: %v", why, seed, err)
				}
			}
			mem.Set(nil)
			if live := m.liveKeys(); len(live) > 0 {
				if _, err := s.Delete(live[0]); err != nil {
					t.Fatalf("%v, seed %d, after the faults: %v", why, seed, err)
				}
				delete(m.keys, live[0])
			}
			if _, got := open(t, options(mem, SyncNever)); !cmp.Equal(m.keys, got) {
				t.Fatalf("%v, seed %d:\n%s", why, seed, cmp.Diff(m.keys, got))
			}
		}
	}
}

// Guards against successful commits after a failed sync. What was durable before must be found by the next open.
func TestSyncFails(t *testing.T) {
	mem := fsys.NewMem()
	faults := &fsys.FaultFS{FS: mem}
	s, _ := open(t, options(faults, SyncBatch))
	sequence, err := s.Put(1, []byte("kept"), 100)
	if err != nil || s.Commit(sequence) != nil {
		t.Fatal(err)
	}
	faults.Set(func(op fsys.Op, _ string, n int) (int, error) {
		if op == fsys.OpSync {
			return 0, syscall.EIO
		}
		return n, nil
	})
	if sequence, err = s.Put(2, []byte("lost"), 100); err != nil {
		t.Fatal(err)
	}
	if err := s.Commit(sequence); !errors.Is(err, ErrFailed) || !errors.Is(err, syscall.EIO) {
		t.Errorf("commit: %v", err)
	}
	faults.Set(nil)
	if err := s.Commit(sequence); !errors.Is(err, ErrFailed) {
		t.Errorf("commit after a failed sync: %v", err)
	}
	if _, err := s.Put(3, nil, 0); !errors.Is(err, ErrFailed) {
		t.Errorf("put: %v", err)
	}
	left := mem.Crash(fsys.LoseUnsynced, rand.New(rand.NewPCG(1, 1)))
	if _, got := open(t, options(left, SyncBatch)); !cmp.Equal(map[uint64][]string{1: {"kept"}}, got) {
		t.Errorf("%v", got)
	}
}

// Guards against modifying segments of a later version: opening the store must fail with a clear error.
func TestLaterVersionIsNotModified(t *testing.T) {
	mem := fsys.NewMem()
	s, _ := open(t, options(mem, SyncNever))
	if _, err := s.Put(1, []byte("x"), 0); err != nil {
		t.Fatal(err)
	}
	_ = s.Close()
	f, err := mem.Create(segmentName(1 << 40))
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.Write([]byte("larkseg\n\x02\x00\x00\x00something else"))
	if _, err := Open(options(mem, SyncNever), nil); err == nil || !bytes.Contains([]byte(err.Error()), []byte("later version")) {
		t.Fatalf("%v", err)
	}
	if n, _ := f.Size(); n != 26 {
		t.Errorf("%d bytes are left", n)
	}
}
