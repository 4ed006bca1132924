package plan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// store plays a journal by the planner's word: messages come and die, and a worker compacts at the pace it is told.
type store struct {
	t        fataler
	c        Config
	rng      *rand.Rand
	now      time.Duration
	next     uint64
	active   uint64
	sizes    map[uint64]int64
	sealedAt map[uint64]time.Duration
	live     map[uint64]map[int]int64 // by segment: message and bytes
	bytes    map[uint64]int64         // the sum of these
	where    map[int]uint64
	victim   uint64
	written  int64
	moved    map[int]bool
	budget   float64
	rate     float64
	appended int64
	copied   int64
	accepted int64
	id       int
	refused  bool
}

type fataler interface {
	Fatalf(format string, args ...any)
}

const endSize = 64 // of what ends a message

func newStore(t fataler, c Config, seed uint64) *store {
	s := &store{
		t: t, c: c, rng: rand.New(rand.NewPCG(seed, 5)), sizes: map[uint64]int64{}, sealedAt: map[uint64]time.Duration{},
		live: map[uint64]map[int]int64{}, bytes: map[uint64]int64{}, where: map[int]uint64{}, moved: map[int]bool{},
	}
	s.open()
	return s
}

func (s *store) open() {
	s.next++
	s.active = s.next
	s.sizes[s.active], s.live[s.active] = s.c.HeaderSize, map[int]int64{}
}

func (s *store) segment(n uint64) Segment {
	return Segment{Number: n, Size: s.sizes[n], LiveBytes: s.bytes[n], Age: s.now - s.sealedAt[n]}
}

func (s *store) state() State {
	st := State{ActiveBytes: s.sizes[s.active], OutputBytes: s.written, ReservedBytes: int64(len(s.where)) * 2 * endSize, AppendRate: s.rate}
	for n := range s.sizes {
		switch n {
		case s.active:
		case s.victim:
			g := s.segment(n)
			st.Victim = &g
		default:
			st.Sealed = append(st.Sealed, s.segment(n))
		}
	}
	return st
}

// check holds the bound, and that what was set aside is there.
func (s *store) check() {
	if used := s.c.Used(s.state()); used > s.c.MaxBytes {
		s.t.Fatalf("%d bytes used of %d", used, s.c.MaxBytes)
	}
}

func (s *store) append(n int64) {
	if s.c.ShouldSeal(s.state(), n) {
		s.sealedAt[s.active] = s.now
		s.open()
	}
	s.sizes[s.active] += n
	s.appended += n
	s.check()
}

// accept hands a message in; false is refused.
func (s *store) accept(n int64) bool {
	if !s.c.Admit(s.state(), n, 2*endSize) {
		s.refused = true
		return false
	}
	s.id++
	s.append(n)
	s.accepted += n
	s.live[s.active][s.id], s.where[s.id] = n, s.active
	s.bytes[s.active] += n
	return true
}

// end ends a message; its record must always find room.
func (s *store) end(id int) {
	s.append(endSize)
	s.bytes[s.where[id]] -= s.live[s.where[id]][id]
	delete(s.live[s.where[id]], id)
	delete(s.where, id)
	s.refused = false // room may be there now
}

// work lets the worker go on for a time.
func (s *store) work(d time.Duration) {
	s.now += d
	for {
		if s.victim == 0 {
			g, ok := s.c.PickVictim(s.state(), s.refused)
			if !ok {
				s.budget = 0
				return
			}
			s.victim, s.written, s.moved = g.Number, 0, map[int]bool{}
		}
		pace := s.c.CompactionRate(s.state(), s.refused)
		if s.budget += pace * d.Seconds(); math.IsInf(pace, 1) {
			s.budget = math.Inf(1)
		}
		for id, n := range s.live[s.victim] {
			if s.moved[id] {
				continue
			}
			if s.budget < float64(n) {
				return
			}
			s.budget -= float64(n)
			if s.written == 0 {
				s.written = s.c.HeaderSize
			}
			s.written += n
			s.copied += n
			s.moved[id] = true
			s.check()
		}
		// The output takes the victim's place.
		s.next++
		out := map[int]int64{}
		for id, n := range s.live[s.victim] {
			out[id], s.where[id] = n, s.next
			s.bytes[s.next] += n
		}
		if s.written > 0 {
			s.sizes[s.next], s.live[s.next], s.sealedAt[s.next] = s.written, out, s.now
		}
		delete(s.sizes, s.victim)
		delete(s.live, s.victim)
		delete(s.bytes, s.victim)
		s.victim, s.written = 0, 0
		s.refused = false
		s.check()
		if d = 0; math.IsInf(s.budget, 1) {
			s.budget = 0
		}
	}
}

func config(bound, segment int64) Config {
	return Config{MaxBytes: bound, SegmentBytes: segment, BlockSize: 512, HeaderSize: 40}
}

// Whatever comes and dies: the bound holds, a compaction finishes, what ends messages finds room, and once enough has died
// work is taken again.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		bound := rapid.SampledFrom([]int64{400 << 10, 3e6, 32e6}).Draw(t, "bound")
		c := config(bound, max(64<<10, bound/rapid.Int64Range(16, 64).Draw(t, "segments")))
		s := newStore(t, c, rapid.Uint64().Draw(t, "seed"))
		s.rate = rapid.Float64Range(1e3, 1e8).Draw(t, "rate")
		var ids []int
		for range 600 {
			switch r := s.rng.IntN(100); {
			case r < 55:
				if n := 100 + s.rng.Int64N(rapid.SampledFrom([]int64{300, 16 << 10, 60 << 10}).Draw(t, "size")); s.accept(n) {
					ids = append(ids, s.id)
				}
			case r < 85 && len(ids) > 0:
				i := s.rng.IntN(len(ids))
				if r < 70 {
					i = 0
				}
				s.end(ids[i])
				ids = append(ids[:i], ids[i+1:]...)
			case r < 86: // a storm's end: nearly all at once
				for len(ids) > 3 {
					s.end(ids[0])
					ids = ids[1:]
				}
			default:
				s.work(time.Duration(s.rng.IntN(100)) * time.Millisecond)
			}
		}
		for len(ids) > 0 {
			s.end(ids[0])
			ids = ids[1:]
		}
		for range 100 {
			s.refused = true
			s.work(time.Second)
		}
		if !s.accept(c.SegmentBytes / 2) {
			t.Fatalf("refused with nothing live: %+v", s.state())
		}
	})
}

// steady keeps a share of the bound live, with random deaths, and tells how many bytes were written for each accepted.
func steady(t *testing.T, c Config, share float64, size int64) (amplification float64, refused int) {
	t.Helper()
	s := newStore(t, c, 9)
	s.rate = 1e6
	var ids []int
	liveBytes := int64(0)
	for s.accepted < 6*c.MaxBytes {
		for float64(liveBytes+size) > share*float64(c.MaxBytes) {
			i := s.rng.IntN(len(ids))
			s.end(ids[i])
			ids[i] = ids[len(ids)-1]
			ids = ids[:len(ids)-1]
			liveBytes -= size
		}
		if s.accept(size) {
			ids = append(ids, s.id)
			liveBytes += size
		} else {
			refused++
		}
		s.work(time.Duration(float64(size) / s.rate * float64(time.Second)))
	}
	return float64(s.appended+s.copied) / float64(s.accepted), refused
}

// Four fifths of the disk can hold live messages, and at half of it fewer than two bytes are written for each accepted.
func TestUsableShareAndAmplification(t *testing.T) {
	for _, bound := range []int64{3e6, 32e6} {
		c := config(bound, max(64<<10, bound/48))
		for _, size := range []int64{bound / 1000, bound / 180} {
			if a, refused := steady(t, c, 0.5, size); a >= 2 || refused > 0 {
				t.Errorf("%d bytes of disk, %d a message, half of it live: %.2f bytes written for each, %d refused", bound, size, a, refused)
			}
			s := newStore(t, c, 1)
			for s.accept(size) {
			}
			held := int64(len(s.where)) * size
			if share := float64(held) / float64(bound); share < 0.8 {
				t.Errorf("%d bytes of disk, %d a message: %.2f of it can be live", bound, size, share)
			}
		}
	}
}

// Which is taken: nothing while room is plenty, what is dead always, then by cost and age, and by cost alone in haste.
func TestPick(t *testing.T) {
	c := config(100<<20, 1<<20)
	cold := Segment{Number: 1, Size: 1 << 20, LiveBytes: 700 << 10, Age: time.Hour}
	young := Segment{Number: 2, Size: 1 << 20, LiveBytes: 500 << 10, Age: time.Second}
	full := Segment{Number: 3, Size: 1 << 20, LiveBytes: 1<<20 - 600, Age: 10 * time.Hour}
	dead := Segment{Number: 4, Size: 1 << 20}
	for name, k := range map[string]struct {
		s       State
		refused bool
		want    uint64
	}{
		"plenty":           {State{Sealed: []Segment{cold, young}}, false, 0},
		"plenty, dead":     {State{Sealed: []Segment{cold, dead}}, false, 4},
		"short":            {State{Sealed: []Segment{cold, young, full}, OtherBytes: 80 << 20}, false, 1},
		"very short":       {State{Sealed: []Segment{cold, young, full}, OtherBytes: 94 << 20}, false, 2},
		"refused":          {State{Sealed: []Segment{full, cold}}, true, 1},
		"little to gain":   {State{Sealed: []Segment{full}, OtherBytes: 94 << 20}, false, 0},
		"one is under way": {State{Sealed: []Segment{dead}, Victim: &cold}, true, 0},
	} {
		if g, ok := c.PickVictim(k.s, k.refused); g.Number != k.want || ok != (k.want > 0) {
			t.Errorf("%s: segment %d, %v", name, g.Number, ok)
		}
	}
	s := State{Victim: &cold, AppendRate: 50e6, OtherBytes: 80 << 20}
	slow := c.CompactionRate(s, false)
	s.OtherBytes = 96 << 20
	if fast := c.CompactionRate(s, false); !(slow < fast) || !math.IsInf(c.CompactionRate(s, true), 1) {
		t.Errorf("pace %v with room, %v with little", slow, fast)
	}
}
