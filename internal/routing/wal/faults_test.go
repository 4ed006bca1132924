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

// guarantees holds what the journal has guaranteed about one message.
type guarantees struct {
	ended      bool // End was called
	reported   bool // the end was reported as written
	inFlight   bool // an attempt was started and has no outcome yet
	mayHaveRun bool // an outcome said that the attempt may have run
	attempts   int
}

// faultyFS is a folder in which write operations fail at random; some failed writes leave a partial write behind
// without reporting it.
type faultyFS struct {
	fsys.FaultFS
	mu     sync.Mutex
	rng    *rand.Rand
	chance float64
}

func newFaultyFS(folder fsys.FS, seed uint64) *faultyFS {
	f := &faultyFS{FaultFS: fsys.FaultFS{FS: folder, HidePartialWrites: true}, rng: rand.New(rand.NewPCG(seed, 4))}
	f.Set(f.fail)
	return f
}

func (f *faultyFS) setChance(chance float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.chance = chance
}

func (f *faultyFS) fail(op fsys.Op, _ string, n int) (int, error) {
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

// After a kill while writes fail and recover (incident 10321), the next process must not resume messages that have
// ended, forget accepted messages, or treat an attempt that was in flight as one that never ran.
func TestKillDuringWriteFailuresKeepsGuarantees(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		folder := fsys.NewMem()
		want := map[uint64]*guarantees{}
		for run := range 6 {
			disk := newFaultyFS(folder, seed+uint64(run))
			l, err := Open(t.TempDir(), Options{MaxBytes: smallDiskBytes, FS: disk}, func(string) {})
			if err != nil {
				t.Fatalf("seed %d, run %d: %v", seed, run, err)
			}
			checkGuarantees(t, fmt.Sprintf("seed %d, run %d", seed, run), l, want)
			for range 150 {
				if rng.IntN(10) == 0 {
					disk.setChance([]float64{0, 0.3, 0.9}[rng.IntN(3)])
				}
				randomStep(l, rng, want)
			}
			disk.setChance(1) // what the process had not written is lost when it is killed
			_ = l.Close()
		}
	}
}

const smallDiskBytes = 512 << 10

// randomStep performs one random operation on the journal, as the router would.
func randomStep(l *Log, rng *rand.Rand, want map[uint64]*guarantees) {
	var open []uint64
	for seq, p := range want {
		if !p.ended {
			open = append(open, seq)
		}
	}
	const maxOpen = 3 // messages at once, so that several records of one message are queued
	if choice := rng.IntN(6); choice < 2 && len(open) < maxOpen || len(open) == 0 {
		m := &Message{Seq: l.NextSeq(), Deadline: epoch, Destination: 7, ID: fmt.Sprint("id", l.NextSeq()), Class: "c", Body: make([]byte, rng.IntN(600))}
		if l.Fits(m) && l.Accept(m) == nil {
			want[m.Seq] = &guarantees{}
		}
		return
	}
	seq := open[rng.IntN(len(open))]
	p := want[seq]
	switch choice := rng.IntN(4); {
	case p.inFlight:
		p.inFlight = false
		mayHaveRun := rng.IntN(2) == 0
		p.mayHaveRun = p.mayHaveRun || mayHaveRun
		_ = l.Outcome(seq, mayHaveRun)
	case choice < 2:
		if l.Started(seq, epoch, "z") == nil {
			p.inFlight = true
			p.attempts++
		}
	case choice == 2:
		p.ended = true
		_ = l.End(seq, Failed, 0)
		l.AfterMessageCommit(seq, func(error) { p.reported = true })
	default:
		p.ended = true
		_ = l.End(seq, Completed, 0)
		l.AfterMessageCommit(seq, func(error) { p.reported = true })
	}
}

// checkGuarantees compares what a process finds in the journal with what the previous one guaranteed, and updates the
// guarantees to what it found.
func checkGuarantees(t *testing.T, when string, l *Log, want map[uint64]*guarantees) {
	t.Helper()
	found := map[uint64]*Message{}
	for _, m := range l.Live() {
		found[m.Seq] = m
		if want[m.Seq] == nil {
			t.Errorf("%s: message %d is live, but was refused", when, m.Seq)
		}
	}
	for seq, p := range maps.All(want) {
		m := found[seq]
		switch {
		case p.reported && m != nil && m.Status == Pending:
			t.Errorf("%s: message %d is pending, but its end was reported", when, seq)
		case m == nil && !p.ended:
			t.Errorf("%s: message %d is lost", when, seq)
		case m != nil && m.Status == Pending && p.mayHaveRun && !m.MayHaveRun:
			t.Errorf("%s: message %d may have run, but is not marked so", when, seq)
		case m != nil && m.Status == Pending && p.inFlight && !m.MayHaveRun:
			t.Errorf("%s: message %d was in flight, but is not marked as one that may have run", when, seq)
		case m != nil && m.Status == Pending && m.Attempts != p.attempts:
			t.Errorf("%s: message %d has %d attempts, %d were started", when, seq, m.Attempts, p.attempts)
		}
		if m == nil {
			delete(want, seq)
			continue
		}
		if m.Status != Pending {
			*p = guarantees{ended: true, reported: true}
			continue
		}
		*p = guarantees{mayHaveRun: m.MayHaveRun, attempts: m.Attempts} // an unreported end is left to the next run
	}
}
