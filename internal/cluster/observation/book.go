// Package observation is what forwarders tell each other of their partners: a told wait, an outage, a return from one, a limit. It decides
// which of its own sights a forwarder tells, what it believes of others', and for how long. It has no clock, no socket and no
// goroutine: time is the caller's, counted from the process's start, and facts travel with their age, so that no two clocks are
// compared. What a fact lies on its way is not counted: ages are too low by that.
package observation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	mb "mulleinbeam"
)

// Kind says what was seen.
type Kind uint8

// The kinds. Outage and Recovery replace each other: a destination is one of them, or neither.
const (
	RetryAfter Kind = iota + 1 // a partner told a time before which it wants no call
	Outage                     // an outage
	Recovery                   // a return from one, perhaps cold
	RateLimit                  // calls a second, as a partner reports them
)

// String names a kind.
func (k Kind) String() string {
	switch k {
	case RetryAfter:
		return "wait"
	case Outage:
		return "down"
	case Recovery:
		return "back"
	case RateLimit:
		return "limit"
	}
	return "unknown"
}

// slot gathers the kinds that replace each other.
func (k Kind) slot() Kind {
	if k == Recovery {
		return Outage
	}
	return k
}

// Record is what one forwarder has seen, as it travels.
type Record struct {
	Kind        Kind
	Destination int64
	Endpoint    string // of a destination whose routes are apart; "" is all of it
	Origin      string // the forwarder that saw it,
	Life        uint64 // in which life,
	Serial      uint64 // and its how manieth fact
	Age         time.Duration
	Left        time.Duration // of a Wait
	Rate        float64       // of a Limit
}

// Config bounds what is believed.
type Config struct {
	Name          string        // this forwarder's
	Epoch         uint64        // and its life; Rebirth changes it
	HalfLife      time.Duration // how long one forwarder's word alone counts; facts are forgotten after Lives of them
	MaxRetryAfter time.Duration // a told wait that two forwarders agree on is heeded for so long at the most
	MaxKeys       int           // destinations and routes of which something is kept, at the most
}

const (
	// RetainedHalfLives is for how many half-lives a fact is kept.
	RetainedHalfLives = 4
	// witnesses is how many forwarders' facts of one thing are kept. Further ones that say the same are neither kept nor told on, so
	// that a fleet's talk of one outage does not grow with the fleet.
	witnesses  = 4
	agree      = 2                      // witnesses that make a thing believed beyond one's half-life
	sameEnd    = 250 * time.Millisecond // two ends of waits that differ by less are one
	sameRate   = 0.05                   // and two limits that differ by less than this share
	mostRate   = 1e6                    // calls a second that a limit may say
	freshLeast = 4                      // tenths of a half-life for which a fact needs no renewal,
	freshMost  = 9                      // and after which everybody who sees the same renews it: each at another moment, so that few do
	loneTrust  = 0.5                    // of a limit that one forwarder alone has heard
)

// sight is a fact as it is kept, in this process's time.
type sight struct {
	Record
	seen  time.Duration // when its origin saw it, at the latest
	until time.Duration // of a Wait
	alone time.Duration // since when its origin's word has been heeded without another's
}

type key struct {
	slot        Kind
	destination int64
	endpoint    string
}

func (f Record) key() key { return key{f.Kind.slot(), f.Destination, f.Endpoint} }

// fed is what the forwarder was told of a lane; what it shows of that later is not its own sight.
type fed struct {
	until time.Duration // of a wait
	guard time.Duration // when it was told to take care,
	cared bool          // if it was
}

// Counts tell what came of facts.
type Counts struct {
	Own       int64 // told by this forwarder
	News      int64 // of others, kept
	Redundant int64 // that enough others had told before
	Old       int64 // known already, or too old
	Bounded   int64 // with a value that was out of bounds, and cut
	Absurd    int64 // dropped: no such value can be meant
}

// Store is what one forwarder knows. It is not safe for several goroutines at once.
type Store struct {
	cfg      Config
	serial   uint64
	patience time.Duration             // how old others' facts are before it tells its own
	kept     map[key]map[string]*sight // by origin
	fed      map[mbLane]*fed
	Counts   Counts
}

// mbLane names a lane of the module.
type mbLane struct {
	destination int64
	endpoint    string
}

// NewStore is one that knows nothing.
func NewStore(cfg Config) *Store {
	share := time.Duration(xxh3.HashString(cfg.Name) % 1000)
	patience := cfg.HalfLife/10*freshLeast + cfg.HalfLife/10*(freshMost-freshLeast)*share/1000
	return &Store{cfg: cfg, patience: patience, kept: map[key]map[string]*sight{}, fed: map[mbLane]*fed{}}
}

// SetEpoch says that another life of this forwarder begins.
func (b *Store) SetEpoch(life uint64) { b.cfg.Epoch = life }

// LocalUpdates compares what this forwarder has learned with what it has told, and gives what is to be told now.
func (b *Store) LocalUpdates(now time.Duration, lanes []mb.LearnedCircuit) (news []Record) {
	tell := func(f Record, until time.Duration, age time.Duration) {
		k := f.key()
		if b.enough(k, f, until, now, b.patience) {
			return
		}
		b.serial++
		f.Origin, f.Life, f.Serial = b.cfg.Name, b.cfg.Epoch, b.serial
		s := &sight{Record: f, seen: now - age, until: until, alone: now}
		if b.keep(k, s) {
			b.Counts.Own++
			news = append(news, b.travelling(s, now))
		}
	}
	for _, l := range lanes {
		f := Record{Destination: int64(l.Destination), Endpoint: string(l.Endpoint)}
		was := b.fed[mbLane{f.Destination, f.Endpoint}]
		if was == nil {
			was = &fed{}
		}
		if until := now + l.Wait; l.Wait > sameEnd && until > was.until+sameEnd {
			f.Kind = RetryAfter
			if s := b.mine(f.key()); s == nil || until > s.until+sameEnd {
				tell(f, until, 0)
			}
		}
		own := l.LastBad >= 0 && (!was.cared || now-l.LastBad > was.guard) // what it was told raises a guard without a bad call
		switch {
		case own && l.Breaker != mb.BreakerClosed:
			f.Kind = Outage
		case own && l.Guard && l.GuardFrom >= 0:
			f.Kind = Recovery
		default:
			f.Kind = 0
		}
		if f.Kind != 0 {
			age := max(0, l.LastBad)
			if f.Kind == Recovery {
				age = l.GuardFrom
			}
			if s := b.mine(f.key()); s == nil || s.Kind != f.Kind || now-s.seen > b.patience && now-age > s.seen {
				tell(f, 0, age)
			}
		}
		if l.Limit > 0 {
			f.Kind, f.Rate = RateLimit, l.Limit
			if s := b.mine(f.key()); s == nil || !near(s.Rate, l.Limit) || now-s.seen > b.patience && now-l.Seen > s.seen {
				tell(f, 0, max(0, l.Seen))
			}
		}
	}
	return news
}

func near(a, b float64) bool { return math.Abs(a-b) <= sameRate*math.Max(a, b) }

func (b *Store) mine(k key) *sight { return b.kept[k][b.cfg.Name] }

// enough says whether others have told just this, so often that nobody needs it once more.
func (b *Store) enough(k key, f Record, until, now, fresh time.Duration) bool {
	n := 0
	for origin, s := range b.kept[k] {
		if origin == f.Origin || origin == b.cfg.Name && f.Origin == "" {
			continue
		}
		switch {
		case f.Kind == RetryAfter && s.until < until-sameEnd, f.Kind != RetryAfter && now-s.seen > fresh, f.Kind != s.Kind, f.Kind == RateLimit && !near(f.Rate, s.Rate):
		default:
			n++
		}
	}
	return n >= witnesses
}

// keep books a sight; the oldest of too many witnesses goes, and of too many keys the sight itself.
func (b *Store) keep(k key, s *sight) bool {
	by := b.kept[k]
	if by == nil {
		if len(b.kept) >= b.cfg.MaxKeys {
			return false
		}
		by = map[string]*sight{}
		b.kept[k] = by
	}
	if old := by[s.Origin]; old != nil && s.seen < old.alone+RetainedHalfLives*b.cfg.HalfLife {
		s.alone = old.alone // saying it again does not make one's word last
	}
	if by[s.Origin] = s; len(by) <= witnesses {
		return true
	}
	var oldest *sight
	for _, o := range by {
		if oldest == nil || cmp.Or(cmp.Compare(o.seen, oldest.seen), cmp.Compare(o.Origin, oldest.Origin)) < 0 {
			oldest = o
		}
	}
	delete(by, oldest.Origin)
	return oldest != s
}

// travelling is a sight as it is told on.
func (b *Store) travelling(s *sight, now time.Duration) Record {
	f := s.Record
	f.Age, f.Left = now-s.seen, max(0, s.until-now)
	return f
}

// Problem says what was wrong with a fact.
type Problem string

// What can be wrong.
const (
	Valid         Problem = ""
	NegativeAge   Problem = "an age below zero"
	ExcessiveWait Problem = "a wait longer than any that is heeded"
	InvalidRate   Problem = "a limit that is no rate"
)

// Add hears a fact. News says that it is to be told on; why says what is wrong with it, if anything. Whether its origin belongs to
// the fleet, and is in that life, is for the caller to ask first.
func (b *Store) Add(now time.Duration, f Record) (news bool, why Problem) {
	if f.Origin == b.cfg.Name || f.Kind < RetryAfter || f.Kind > RateLimit {
		b.Counts.Old++ // or of a later version, which knows more kinds
		return false, Valid
	}
	if f.Age < 0 {
		f.Age, why = 0, NegativeAge
		b.Counts.Bounded++
	}
	if f.Kind == RateLimit && !(f.Rate > 0 && f.Rate <= mostRate) {
		b.Counts.Absurd++
		return false, InvalidRate
	}
	if f.Kind == RetryAfter && f.Left > b.cfg.MaxRetryAfter {
		f.Left, why = b.cfg.HalfLife, ExcessiveWait
		b.Counts.Bounded++
	}
	if f.Age > RetainedHalfLives*b.cfg.HalfLife || f.Kind == RetryAfter && f.Left <= 0 {
		b.Counts.Old++
		return false, why
	}
	k := f.key()
	if old := b.kept[k][f.Origin]; old != nil && (f.Life < old.Life || f.Life == old.Life && f.Serial <= old.Serial) {
		b.Counts.Old++
		return false, why
	}
	s := &sight{Record: f, seen: now - f.Age, alone: now}
	if f.Kind == RetryAfter {
		s.until = now + f.Left
	}
	if b.enough(k, f, s.until, now, freshLeast*b.cfg.HalfLife/10) || !b.keep(k, s) {
		b.Counts.Redundant++
		return false, why
	}
	b.Counts.News++
	return true, why
}

// over says whether a sight has nothing to say any more. A wait that is over is kept for a while: its origin's next one is then known
// for what it is.
func (b *Store) over(s *sight, now time.Duration) bool {
	return now-s.seen > RetainedHalfLives*b.cfg.HalfLife || s.Kind == RetryAfter && s.until <= now
}

// Expire drops what is too old, and what members told that the fleet does not know any more.
func (b *Store) Expire(now time.Duration, known func(origin string, life uint64) bool) {
	for k, by := range b.kept {
		for origin, s := range by {
			if now-s.seen > RetainedHalfLives*b.cfg.HalfLife && now-s.alone > RetainedHalfLives*b.cfg.HalfLife || origin != b.cfg.Name && known != nil && !known(origin, s.Life) {
				delete(by, origin)
			}
		}
		if len(by) == 0 {
			delete(b.kept, k)
		}
	}
	for l, f := range b.fed {
		if f.until <= now && (!f.cared || now-f.guard > RetainedHalfLives*b.cfg.HalfLife) {
			delete(b.fed, l)
		}
	}
}

// Records are the facts that are kept, as they travel, by destination, kind and origin.
func (b *Store) Records(now time.Duration) (out []Record) {
	for _, by := range b.kept {
		for _, s := range by {
			if !b.over(s, now) {
				out = append(out, b.travelling(s, now))
			}
		}
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Destination, y.Destination), cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Origin, y.Origin))
	})
	return out
}

// Digest is the same for two books that know the same facts.
func (b *Store) Digest(now time.Duration) (sum uint64) {
	for _, by := range b.kept {
		for _, s := range by {
			if !b.over(s, now) {
				sum += s.Record.hash()
			}
		}
	}
	return sum
}

// Advice is what this forwarder should heed now of what others have told, in the module's terms: told waits, limits where it knows
// none, and care at what may be out of order. All of it makes a forwarder more careful, but for a limit above what the list
// says, which lasts for a half-life. What was told before and is missing now has lapsed.
//
// A told wait is heeded to its end, or Longest, where two forwarders tell of it; one forwarder's word for a half-life, and then not
// again for Lives of them. An outage or a return needs two, and counts for nothing where own calls have succeeded since.
func (b *Store) Advice(now time.Duration, lanes []mb.LearnedCircuit) (out []mb.LearnedCircuit) {
	own := make(map[mbLane]*mb.LearnedCircuit, len(lanes))
	for i := range lanes {
		own[mbLane{int64(lanes[i].Destination), string(lanes[i].Endpoint)}] = &lanes[i]
	}
	byLane := map[mbLane]*mb.LearnedCircuit{}
	lane := func(k key) *mb.LearnedCircuit {
		at := mbLane{k.destination, k.endpoint}
		if byLane[at] == nil {
			byLane[at] = &mb.LearnedCircuit{Destination: mb.DestinationID(k.destination), Endpoint: mb.EndpointID(k.endpoint), GuardFrom: -1, LastBad: -1, LastOK: -1}
		}
		return byLane[at]
	}
	fedTo := func(k key) *fed {
		at := mbLane{k.destination, k.endpoint}
		if b.fed[at] == nil {
			b.fed[at] = &fed{}
		}
		return b.fed[at]
	}
	for k, by := range b.kept {
		mine := own[mbLane{k.destination, k.endpoint}]
		switch k.slot {
		case RetryAfter:
			if until := b.heededWait(now, by); until > now {
				lane(k).Wait = until - now
				fedTo(k).until = max(fedTo(k).until, until)
			}
		case Outage:
			since, from, ok := b.heededOutage(now, by, mine)
			if f := b.fed[mbLane{k.destination, k.endpoint}]; !ok || f != nil && f.cared && now-f.guard < 2*b.cfg.HalfLife {
				continue // once for one outage: its own eyes see from there
			}
			l := lane(k)
			l.Guard, l.GuardSince, l.GuardFrom = true, since, from
			fedTo(k).guard, fedTo(k).cared = now, true
		case RateLimit:
			if mine != nil && mine.Limit > 0 {
				continue // its own eyes
			}
			if rate, trust := b.heededLimit(now, by); trust > 0 {
				l := lane(k)
				l.Limit, l.Trust = rate, trust
			}
		}
	}
	for _, l := range byLane {
		out = append(out, *l)
	}
	slices.SortFunc(out, func(x, y mb.LearnedCircuit) int {
		return cmp.Or(cmp.Compare(x.Destination, y.Destination), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}

// heededWait is until when a wait is heeded: the end that two agree on, or one's for a half-life.
func (b *Store) heededWait(now time.Duration, by map[string]*sight) (until time.Duration) {
	var first, second time.Duration
	for _, s := range by {
		end := min(s.until, s.seen+b.cfg.MaxRetryAfter)
		if end > first {
			first, second = end, first
		} else {
			second = max(second, end)
		}
		if s.Origin != b.cfg.Name {
			until = max(until, min(end, s.alone+b.cfg.HalfLife))
		}
	}
	return max(until, second)
}

// heededOutage says whether two others tell of an outage, or a return, that own calls have not disproved: how long ago it began,
// and how long ago the return; below zero is none.
func (b *Store) heededOutage(now time.Duration, by map[string]*sight, mine *mb.LearnedCircuit) (since, from time.Duration, ok bool) {
	n := 0
	from = -1
	for _, s := range by {
		ago := now - s.seen
		if s.Origin == b.cfg.Name || ago > 2*b.cfg.HalfLife || mine != nil && mine.LastOK >= 0 && mine.LastOK < ago {
			continue
		}
		n++
		if since = max(since, ago); s.Kind == Recovery {
			from = max(from, ago)
		}
	}
	if mine != nil && (mine.Guard || mine.Breaker != mb.BreakerClosed) {
		return 0, 0, false // it knows
	}
	return since, from, n >= agree
}

// heededLimit is the limit that most tell of, weighed by age, the more careful on a tie, and how far it is believed.
func (b *Store) heededLimit(now time.Duration, by map[string]*sight) (rate, trust float64) {
	type vote struct{ rate, weight float64 }
	var votes []vote
	sum, youngest := 0.0, 0.0
	for _, s := range by {
		if age := now - s.seen; s.Origin != b.cfg.Name && age <= b.cfg.HalfLife {
			w := math.Exp2(-float64(age) / float64(b.cfg.HalfLife))
			votes = append(votes, vote{s.Rate, w})
			sum += w
			youngest = math.Max(youngest, w)
		}
	}
	slices.SortFunc(votes, func(x, y vote) int { return cmp.Compare(x.rate, y.rate) })
	up := 0.0
	for _, v := range votes {
		if up += v.weight; up >= sum/2 {
			rate = v.rate
			break
		}
	}
	switch {
	case len(votes) == 0:
		return 0, 0
	case len(votes) < agree:
		return rate, loneTrust * youngest
	}
	return rate, youngest
}
