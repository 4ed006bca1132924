package wal

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"

	"mulleinbeam/internal/routing/wal/fsys"
)

// promised is what the journal has promised of one message.
type promised struct {
	ended    bool // End was called
	told     bool // and was known to be written
	out      bool // an attempt was let go, and has no outcome yet
	mayRun   bool // an outcome said so
	attempts int
}

// flaky is a folder on which operations that write fail by chance, some of them with a part of a write left and not told of.
type flaky struct {
	fsys.FaultFS
	mu     sync.Mutex
	rng    *rand.Rand
	chance float64
}

func newFlaky(folder fsys.FS, seed uint64) *flaky {
	f := &flaky{FaultFS: fsys.FaultFS{FS: folder, HidePartialWrites: true}, rng: rand.New(rand.NewPCG(seed, 4))}
	f.Set(f.fail)
	return f
}

func (f *flaky) become(chance float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chance = chance
}

func (f *flaky) fail(op fsys.Op, _ string, n int) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case op == fsys.OpRead || op == fsys.OpOpen || op == fsys.OpList || f.rng.Float64() >= f.chance:
		return n, nil
	case n > 0 && f.rng.IntN(2) == 0:
		return f.rng.IntN(n), syscall.EIO
	}
	return 0, syscall.ENOSPC
}

// Guards against a life that goes on with what has ended, forgets what was taken on, or takes an attempt that was out for one that
// never ran, when its process is killed while writes fail and come back (incident 10321).
func TestAKillWhileWritesFailKeepsWhatWasPromised(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		folder := fsys.NewMem()
		want := map[uint64]*promised{}
		for life := range 6 {
			disk := newFlaky(folder, seed+uint64(life))
			l, err := Open(t.TempDir(), Options{MaxBytes: disk512, FS: disk}, func(string) {})
			if err != nil {
				t.Fatalf("seed %d, life %d: %v", seed, life, err)
			}
			checkPromises(t, fmt.Sprintf("seed %d, life %d", seed, life), l, want)
			for range 150 {
				if rng.IntN(10) == 0 {
					disk.become([]float64{0, 0.3, 0.9}[rng.IntN(3)])
				}
				step(l, rng, want)
			}
			disk.become(1) // what the process had not written is lost with it
			_ = l.Close()
		}
	}
}

const disk512 = 512 << 10

// step does one thing to the journal, as the router would.
func step(l *Log, rng *rand.Rand, want map[uint64]*promised) {
	var open []uint64
	for seq, p := range want {
		if !p.ended {
			open = append(open, seq)
		}
	}
	const few = 3 // messages at once, so that records of one meet
	if what := rng.IntN(6); what < 2 && len(open) < few || len(open) == 0 {
		m := &Message{Seq: l.NextSeq(), Deadline: epoch, Destination: 7, ID: fmt.Sprint("id", l.NextSeq()), Class: "c", Body: make([]byte, rng.IntN(600))}
		if l.Fits(m) && l.Accept(m) == nil {
			want[m.Seq] = &promised{}
		}
		return
	}
	seq := open[rng.IntN(len(open))]
	p := want[seq]
	switch what := rng.IntN(4); {
	case p.out:
		p.out = false
		ran := rng.IntN(2) == 0
		p.mayRun = p.mayRun || ran
		_ = l.Outcome(seq, ran)
	case what < 2:
		if l.Started(seq, epoch, "z") == nil {
			p.out = true
			p.attempts++
		}
	case what == 2:
		p.ended = true
		_ = l.End(seq, Failed, 0)
		l.AfterMessageCommit(seq, func(error) { p.told = true })
	default:
		p.ended = true
		_ = l.End(seq, Completed, 0)
		l.AfterMessageCommit(seq, func(error) { p.told = true })
	}
}

// checkPromises holds what a life finds against what the one before it had promised, and goes on from what it finds.
func checkPromises(t *testing.T, when string, l *Log, want map[uint64]*promised) {
	t.Helper()
	found := map[uint64]*Message{}
	for _, m := range l.Live() {
		found[m.Seq] = m
		if want[m.Seq] == nil {
			t.Errorf("%s: message %d lives, and was refused", when, m.Seq)
		}
	}
	for seq, p := range maps.All(want) {
		m := found[seq]
		switch {
		case p.told && m != nil && m.Status == Pending:
			t.Errorf("%s: message %d goes on, and its end was told", when, seq)
		case m == nil && !p.ended:
			t.Errorf("%s: message %d is gone, and was owed", when, seq)
		case m != nil && m.Status == Pending && p.mayRun && !m.MayHaveRun:
			t.Errorf("%s: message %d may have run, and that is not known", when, seq)
		case m != nil && m.Status == Pending && p.out && !m.MayHaveRun:
			t.Errorf("%s: message %d was out, and that is not known", when, seq)
		case m != nil && m.Status == Pending && m.Attempts != p.attempts:
			t.Errorf("%s: message %d has %d attempts, %d were let go", when, seq, m.Attempts, p.attempts)
		}
		if m == nil {
			delete(want, seq)
			continue
		}
		if m.Status != Pending {
			*p = promised{ended: true, told: true}
			continue
		}
		*p = promised{mayRun: m.MayHaveRun, attempts: m.Attempts} // an end that was not told is another life's to tell
	}
}
