package observation

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/zeebo/xxh3"
)

// hash names a fact.
func (f Record) hash() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, byte(f.Kind))
	for _, v := range []uint64{uint64(f.Destination), f.Life, f.Serial} {
		b = binary.LittleEndian.AppendUint64(b, v)
	}
	b = append(append(append(b, f.Endpoint...), 0), f.Origin...)
	return xxh3.Hash(b)
}

// How facts spread. Each is pushed to Fanout members chosen by chance at a beat, until it was pushed ln(n)+extra times from here:
// where every member that learns of it does so, all but some e^-(ln n+extra) of them are reached, one in twenty fleets misses one.
// Whoever is missed hears of it when books are compared.
const (
	fanout   = 3
	extra    = 3
	mostPush = 256 // facts in one push
	evenEach = 50  // beats between two comparisons of books
	askEach  = 10  // beats after which somebody is asked anyway, to see whether it is there
)

// rumour is a fact that is still being told.
type rumour struct {
	id   uint64
	key  key
	from string
	left int
}

// Gossip decides what is told to whom at each beat. It is not safe for several goroutines at once.
type Gossip struct {
	book  *Store
	rng   *rand.Rand
	hot   []rumour
	beats int
	fresh bool // nothing was compared yet: who has just come asks somebody for all
}

// NewGossip is one for a book.
func NewGossip(book *Store, seed uint64) *Gossip {
	return &Gossip{book: book, rng: rand.New(rand.NewPCG(seed, 0)), beats: int(seed % evenEach), fresh: true} // not all compare at one beat
}

// Push goes to one member. Compare says that its answer is to hold all that it knows where the digest differs from its own.
type Push struct {
	To      string
	Facts   []Record
	Compare bool
	Digest  uint64
}

// Enqueue has facts that are new here be told on.
func (s *Gossip) Enqueue(members int, facts ...Record) {
	times := int(math.Ceil(math.Log(float64(max(1, members))))) + extra
	for _, f := range facts {
		s.hot = append(s.hot, rumour{f.hash(), f.key(), f.Origin, times})
	}
}

// Tick gives what is to be sent now to some of the members, who are all but this one.
func (s *Gossip) Tick(now time.Duration, members []string) (out []Push) {
	s.beats++
	compare := s.beats%evenEach == 0 || s.fresh
	ask := s.beats%askEach == 0
	if len(members) == 0 || len(s.hot) == 0 && !compare && !ask {
		return nil
	}
	s.fresh = false
	to := slices.Clone(members)
	n := min(fanout, len(to))
	for i := range n {
		j := i + s.rng.IntN(len(to)-i)
		to[i], to[j] = to[j], to[i]
	}
	if len(s.hot) == 0 {
		n = 1
	}
	for i := range n {
		p := Push{To: to[i], Facts: s.take(now)}
		if compare && i == 0 {
			p.Compare, p.Digest = true, s.book.Digest(now)
		}
		if len(p.Facts) > 0 || p.Compare || ask {
			out = append(out, p)
		}
	}
	return out
}

// take gives what one push carries; what has been replaced or forgotten meanwhile is told no more.
func (s *Gossip) take(now time.Duration) (facts []Record) {
	rest := s.hot[:0]
	for _, r := range s.hot {
		kept := s.book.kept[r.key][r.from]
		if kept == nil || kept.Record.hash() != r.id || s.book.over(kept, now) {
			continue
		}
		if len(facts) < mostPush {
			facts = append(facts, s.book.travelling(kept, now))
			r.left--
		}
		if r.left > 0 {
			rest = append(rest, r)
		}
	}
	s.hot = rest
	return facts
}
