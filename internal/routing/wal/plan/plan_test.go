package plan

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation models a journal that follows the planner: messages arrive and complete, and a worker compacts at the
// given rate.
type simulation struct {
	t           fataler
	config      Config
	rng         *rand.Rand
	now         time.Duration
	next        uint64
	active      uint64
	sizes       map[uint64]int64
	sealedAt    map[uint64]time.Duration
	live        map[uint64]map[int]int64 // bytes by segment and message
	liveBytes   map[uint64]int64         // live bytes by segment
	segmentOf   map[int]uint64
	victim      uint64
	outputBytes int64
	movedIDs    map[int]bool
	budget      float64
	rate        float64
	appended    int64
	copied      int64
	accepted    int64
	lastID      int
	refused     bool
}

type fataler interface {
	Fatalf(format string, args ...any)
}

const completionSize = 64 // bytes of a record that completes a message

func newSimulation(t fataler, c Config, seed uint64) *simulation {
	s := &simulation{
		t: t, config: c, rng: rand.New(rand.NewPCG(seed, 5)), sizes: map[uint64]int64{}, sealedAt: map[uint64]time.Duration{},
		live: map[uint64]map[int]int64{}, liveBytes: map[uint64]int64{}, segmentOf: map[int]uint64{}, movedIDs: map[int]bool{},
	}
	s.open()
	return s
}

func (s *simulation) open() {
	s.next++
	s.active = s.next
	s.sizes[s.active], s.live[s.active] = s.config.HeaderSize, map[int]int64{}
}

func (s *simulation) segment(n uint64) Segment {
	return Segment{Number: n, Size: s.sizes[n], LiveBytes: s.liveBytes[n], Age: s.now - s.sealedAt[n]}
}

func (s *simulation) state() State {
	state := State{ActiveBytes: s.sizes[s.active], OutputBytes: s.outputBytes, ReservedBytes: int64(len(s.segmentOf)) * 2 * completionSize, AppendRate: s.rate}
	for n := range s.sizes {
		switch n {
		case s.active:
		case s.victim:
			seg := s.segment(n)
			state.Victim = &seg
		default:
			state.Sealed = append(state.Sealed, s.segment(n))
		}
	}
	return state
}

// check fails the test if the files exceed the limit.
func (s *simulation) check() {
	if used := s.config.Used(s.state()); used > s.config.MaxBytes {
		s.t.Fatalf("%d bytes used of %d", used, s.config.MaxBytes)
	}
}

func (s *simulation) append(n int64) {
	if s.config.ShouldSeal(s.state(), n) {
		s.sealedAt[s.active] = s.now
		s.open()
	}
	s.sizes[s.active] += n
	s.appended += n
	s.check()
}

// accept adds a message; false means that it was refused.
func (s *simulation) accept(n int64) bool {
	if !s.config.Admit(s.state(), n, 2*completionSize) {
		s.refused = true
		return false
	}
	s.lastID++
	s.append(n)
	s.accepted += n
	s.live[s.active][s.lastID], s.segmentOf[s.lastID] = n, s.active
	s.liveBytes[s.active] += n
	return true
}

// complete completes a message; its record must always find space.
func (s *simulation) complete(id int) {
	s.append(completionSize)
	s.liveBytes[s.segmentOf[id]] -= s.live[s.segmentOf[id]][id]
	delete(s.live[s.segmentOf[id]], id)
	delete(s.segmentOf, id)
	s.refused = false // space may be available now
}

// compact advances the clock and lets the worker compact meanwhile.
func (s *simulation) compact(d time.Duration) {
	s.now += d
	for {
		if s.victim == 0 {
			seg, ok := s.config.PickVictim(s.state(), s.refused)
			if !ok {
				s.budget = 0
				return
			}
			s.victim, s.outputBytes, s.movedIDs = seg.Number, 0, map[int]bool{}
		}
		rate := s.config.CompactionRate(s.state(), s.refused)
		if s.budget += rate * d.Seconds(); math.IsInf(rate, 1) {
			s.budget = math.Inf(1)
		}
		for id, n := range s.live[s.victim] {
			if s.movedIDs[id] {
				continue
			}
			if s.budget < float64(n) {
				return
			}
			s.budget -= float64(n)
			if s.outputBytes == 0 {
				s.outputBytes = s.config.HeaderSize
			}
			s.outputBytes += n
			s.copied += n
			s.movedIDs[id] = true
			s.check()
		}
		// The output replaces the victim.
		s.next++
		out := map[int]int64{}
		for id, n := range s.live[s.victim] {
			out[id], s.segmentOf[id] = n, s.next
			s.liveBytes[s.next] += n
		}
		if s.outputBytes > 0 {
			s.sizes[s.next], s.live[s.next], s.sealedAt[s.next] = s.outputBytes, out, s.now
		}
		delete(s.sizes, s.victim)
		delete(s.live, s.victim)
		delete(s.liveBytes, s.victim)
		s.victim, s.outputBytes = 0, 0
		s.refused = false
		s.check()
		if d = 0; math.IsInf(s.budget, 1) {
			s.budget = 0
		}
	}
}

func config(maxBytes, segmentBytes int64) Config {
	return Config{MaxBytes: maxBytes, SegmentBytes: segmentBytes, BlockSize: 512, HeaderSize: 40}
}

// Guards against files that exceed the limit, a compaction that cannot finish, records without space that complete
// messages, and refusals with nothing live, under random schedules.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxBytes := rapid.SampledFrom([]int64{400 << 10, 3e6, 32e6}).Draw(t, "bound")
		c := config(maxBytes, max(64<<10, maxBytes/rapid.Int64Range(16, 64).Draw(t, "segments")))
		s := newSimulation(t, c, rapid.Uint64().Draw(t, "seed"))
		s.rate = rapid.Float64Range(1e3, 1e8).Draw(t, "rate")
		var ids []int
		for range 600 {
			switch r := s.rng.IntN(100); {
			case r < 55:
				if n := 100 + s.rng.Int64N(rapid.SampledFrom([]int64{300, 16 << 10, 60 << 10}).Draw(t, "size")); s.accept(n) {
					ids = append(ids, s.lastID)
				}
			case r < 85 && len(ids) > 0:
				i := s.rng.IntN(len(ids))
				if r < 70 {
					i = 0
				}
				s.complete(ids[i])
				ids = append(ids[:i], ids[i+1:]...)
			case r < 86: // nearly all complete at once
				for len(ids) > 3 {
					s.complete(ids[0])
					ids = ids[1:]
				}
			default:
				s.compact(time.Duration(s.rng.IntN(100)) * time.Millisecond)
			}
		}
		for len(ids) > 0 {
			s.complete(ids[0])
			ids = ids[1:]
		}
		for range 100 {
			s.refused = true
			s.compact(time.Second)
		}
		if !s.accept(c.SegmentBytes / 2) {
			t.Fatalf("refused with nothing live: %+v", s.state())
		}
	})
}

// steady keeps a share of the limit live while messages complete in random order. It returns the bytes written per
// accepted byte, and the number of refusals.
func steady(t *testing.T, c Config, share float64, size int64) (amplification float64, refused int) {
	t.Helper()
	s := newSimulation(t, c, 9)
	s.rate = 1e6
	var ids []int
	liveBytes := int64(0)
	for s.accepted < 6*c.MaxBytes {
		for float64(liveBytes+size) > share*float64(c.MaxBytes) {
			i := s.rng.IntN(len(ids))
			s.complete(ids[i])
			ids[i] = ids[len(ids)-1]
			ids = ids[:len(ids)-1]
			liveBytes -= size
		}
		if s.accept(size) {
			ids = append(ids, s.lastID)
			liveBytes += size
		} else {
			refused++
		}
		s.compact(time.Duration(float64(size) / s.rate * float64(time.Second)))
	}
	return float64(s.appended+s.copied) / float64(s.accepted), refused
}

// Guards against a loss of usable space or of write efficiency: at least 80% of the limit can be live, and at 50%
// fewer than 2 bytes are written per accepted byte.
func TestUsableShareAndAmplification(t *testing.T) {
	for _, maxBytes := range []int64{3e6, 32e6} {
		c := config(maxBytes, max(64<<10, maxBytes/48))
		for _, size := range []int64{maxBytes / 1000, maxBytes / 180} {
			if a, refused := steady(t, c, 0.5, size); a >= 2 || refused > 0 {
				t.Errorf("%d bytes of disk, %d a message, half of it live: %.2f bytes written for each, %d refused", maxBytes, size, a, refused)
			}
			s := newSimulation(t, c, 1)
			for s.accept(size) {
			}
			held := int64(len(s.segmentOf)) * size
			if share := float64(held) / float64(maxBytes); share < 0.8 {
				t.Errorf("%d bytes of disk, %d a message: %.2f of it can be live", maxBytes, size, share)
			}
		}
	}
}

// Checks the selection: nothing while space is plentiful, segments without live records always, then by gain and age,
// and by gain alone if space is very short.
func TestPickVictim(t *testing.T) {
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
		if seg, ok := c.PickVictim(k.s, k.refused); seg.Number != k.want || ok != (k.want > 0) {
			t.Errorf("%s: segment %d, %v", name, seg.Number, ok)
		}
	}
	s := State{Victim: &cold, AppendRate: 50e6, OtherBytes: 80 << 20}
	slow := c.CompactionRate(s, false)
	s.OtherBytes = 96 << 20
	if fast := c.CompactionRate(s, false); !(slow < fast) || !math.IsInf(c.CompactionRate(s, true), 1) {
		t.Errorf("rate %v with much space, %v with little", slow, fast)
	}
}
