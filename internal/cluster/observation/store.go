// Package observation holds what forwarders report to each other about destinations: retry-after times, outages,
// recoveries and rate limits. It decides which of its own observations a forwarder reports, how much those of others
// count, and for how long. It uses no clock, socket or goroutine: the caller provides the time, counted from the start
// of the process, and records carry their age, so that no two clocks are compared. The transmission time is not
// counted, so ages are too low by it.
package observation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/zeebo/xxh3"

	mb "mulleinbeam"
)

// Kind is the kind of an observation.
type Kind uint8

// Kinds of observations. Outage and Recovery replace each other: a destination has one of them, or neither.
const (
	RetryAfter Kind = iota + 1 // an endpoint requested no calls before a time
	Outage                     // a destination is down
	Recovery                   // a destination is back from an outage, and may need slow start
	RateLimit                  // calls per second, as reported by an endpoint
)

// String returns the name of the kind.
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

// group returns the kind that represents all kinds that replace each other.
func (k Kind) group() Kind {
	if k == Recovery {
		return Outage
	}
	return k
}

// Record is one observation of one forwarder, as it is sent.
type Record struct {
	Kind        Kind
	Destination int64
	Endpoint    string // for a destination with a circuit per endpoint; "" is the whole destination
	Origin      string // the forwarder that made the observation
	Life        uint64 // and its epoch
	Serial      uint64 // number of the observation within the epoch
	Age         time.Duration
	Left        time.Duration // of a RetryAfter: remaining time
	Rate        float64       // of a RateLimit: calls per second
}

// Config holds the name and the limits of a store.
type Config struct {
	Name          string        // of this forwarder
	Epoch         uint64        // of this forwarder; SetEpoch changes it
	HalfLife      time.Duration // how long a single observer counts; records are kept for RetainedHalfLives of them
	MaxRetryAfter time.Duration // longest time for which a retry-after time of two observers counts
	MaxKeys       int           // largest number of destinations and endpoints with records
}

const (
	// RetainedHalfLives is the number of half-lives for which a record is kept.
	RetainedHalfLives = 4
	// maxObservers is the number of observers whose records about one subject are kept. Further records that say the
	// same are neither kept nor forwarded, so that the gossip about one outage does not grow with the fleet.
	maxObservers        = 4
	minObservers        = 2                      // observers that must agree to count beyond one half-life
	waitTolerance       = 250 * time.Millisecond // ends of retry-after times that differ by less are equal
	rateTolerance       = 0.05                   // and rate limits that differ by a smaller share
	maxRate             = 1e6                    // highest rate limit accepted, in calls per second
	minRefreshTenths    = 4                      // tenths of a half-life before which a record is not refreshed,
	maxRefreshTenths    = 9                      // and after which all do; the age varies by forwarder, so that few do
	singleObserverTrust = 0.5                    // trust in a rate limit with a single observer
)

// storedRecord is a record as it is kept, in this process's time.
type storedRecord struct {
	Record
	observedAt time.Duration // latest possible time of the observation
	waitEnd    time.Duration // of a RetryAfter
	aloneSince time.Duration // since when its origin's reports have counted without another observer
}

type recordKey struct {
	group       Kind
	destination int64
	endpoint    string
}

func (r Record) key() recordKey { return recordKey{r.Kind.group(), r.Destination, r.Endpoint} }

// givenAdvice is the advice already given for a circuit: what the circuit shows because of it is not a local
// observation.
type givenAdvice struct {
	waitEnd   time.Duration // of a RetryAfter
	outageAt  time.Duration // when an outage was advised
	hasOutage bool          // whether one was
}

// Counts counts records by what was done with them.
type Counts struct {
	Own       int64 // sent by this forwarder
	News      int64 // of others, kept
	Redundant int64 // not kept, since enough observers had reported the same
	Old       int64 // already known, or too old
	Bounded   int64 // kept with an out-of-range value replaced
	Absurd    int64 // dropped: implausible value
}

// Store holds the records that one forwarder knows. It is not safe for concurrent use.
type Store struct {
	cfg        Config
	serial     uint64
	refreshAge time.Duration                          // age of records from which it reports its own
	entries    map[recordKey]map[string]*storedRecord // by origin
	given      map[circuitKey]*givenAdvice
	Counts     Counts
}

// circuitKey identifies a circuit of the decision module.
type circuitKey struct {
	destination int64
	endpoint    string
}

// NewStore returns an empty store.
func NewStore(cfg Config) *Store {
	share := time.Duration(xxh3.HashString(cfg.Name) % 1000)
	refreshAge := cfg.HalfLife/10*minRefreshTenths + cfg.HalfLife/10*(maxRefreshTenths-minRefreshTenths)*share/1000
	return &Store{cfg: cfg, refreshAge: refreshAge, entries: map[recordKey]map[string]*storedRecord{}, given: map[circuitKey]*givenAdvice{}}
}

// SetEpoch sets the epoch of this forwarder's next records.
func (s *Store) SetEpoch(epoch uint64) { s.cfg.Epoch = epoch }

// LocalUpdates compares what this forwarder has learned with what it has reported, and returns the records to send now.
func (s *Store) LocalUpdates(now time.Duration, circuits []mb.LearnedCircuit) (updates []Record) {
	report := func(record Record, waitEnd time.Duration, age time.Duration) {
		key := record.key()
		if s.isRedundant(key, record, waitEnd, now, s.refreshAge) {
			return
		}
		s.serial++
		record.Origin, record.Life, record.Serial = s.cfg.Name, s.cfg.Epoch, s.serial
		entry := &storedRecord{Record: record, observedAt: now - age, waitEnd: waitEnd, aloneSince: now}
		if s.insert(key, entry) {
			s.Counts.Own++
			updates = append(updates, s.outgoing(entry, now))
		}
	}
	for _, circuit := range circuits {
		record := Record{Destination: int64(circuit.Destination), Endpoint: string(circuit.Endpoint)}
		given := s.given[circuitKey{record.Destination, record.Endpoint}]
		if given == nil {
			given = &givenAdvice{}
		}
		if waitEnd := now + circuit.Wait; circuit.Wait > waitTolerance && waitEnd > given.waitEnd+waitTolerance {
			record.Kind = RetryAfter
			if entry := s.local(record.key()); entry == nil || waitEnd > entry.waitEnd+waitTolerance {
				report(record, waitEnd, 0)
			}
		}
		// Advice also raises a guard, but without a failed call of its own.
		observed := circuit.LastBad >= 0 && (!given.hasOutage || now-circuit.LastBad > given.outageAt)
		switch {
		case observed && circuit.Breaker != mb.BreakerClosed:
			record.Kind = Outage
		case observed && circuit.Guard && circuit.GuardFrom >= 0:
			record.Kind = Recovery
		default:
			record.Kind = 0
		}
		if record.Kind != 0 {
			age := max(0, circuit.LastBad)
			if record.Kind == Recovery {
				age = circuit.GuardFrom
			}
			if entry := s.local(record.key()); entry == nil || entry.Kind != record.Kind || now-entry.observedAt > s.refreshAge && now-age > entry.observedAt {
				report(record, 0, age)
			}
		}
		if circuit.Limit > 0 {
			record.Kind, record.Rate = RateLimit, circuit.Limit
			if entry := s.local(record.key()); entry == nil || !nearlyEqual(entry.Rate, circuit.Limit) || now-entry.observedAt > s.refreshAge && now-circuit.Seen > entry.observedAt {
				report(record, 0, max(0, circuit.Seen))
			}
		}
	}
	return updates
}

func nearlyEqual(x, y float64) bool { return math.Abs(x-y) <= rateTolerance*math.Max(x, y) }

// local returns this forwarder's own record of a subject.
func (s *Store) local(key recordKey) *storedRecord { return s.entries[key][s.cfg.Name] }

// isRedundant reports whether enough other observers have recently reported the same.
func (s *Store) isRedundant(key recordKey, record Record, waitEnd, now, maxAge time.Duration) bool {
	n := 0
	for origin, entry := range s.entries[key] {
		if origin == record.Origin || origin == s.cfg.Name && record.Origin == "" {
			continue
		}
		switch {
		case record.Kind == RetryAfter && entry.waitEnd < waitEnd-waitTolerance, record.Kind != RetryAfter && now-entry.observedAt > maxAge, record.Kind != entry.Kind, record.Kind == RateLimit && !nearlyEqual(record.Rate, entry.Rate):
		default:
			n++
		}
	}
	return n >= maxObservers
}

// insert stores a record. With too many observers the oldest record is dropped; with too many keys the new one is not
// stored.
func (s *Store) insert(key recordKey, entry *storedRecord) bool {
	byOrigin := s.entries[key]
	if byOrigin == nil {
		if len(s.entries) >= s.cfg.MaxKeys {
			return false
		}
		byOrigin = map[string]*storedRecord{}
		s.entries[key] = byOrigin
	}
	if previous := byOrigin[entry.Origin]; previous != nil && entry.observedAt < previous.aloneSince+RetainedHalfLives*s.cfg.HalfLife {
		entry.aloneSince = previous.aloneSince // repeating a report does not make it count for longer
	}
	if byOrigin[entry.Origin] = entry; len(byOrigin) <= maxObservers {
		return true
	}
	var oldest *storedRecord
	for _, candidate := range byOrigin {
		if oldest == nil || cmp.Or(cmp.Compare(candidate.observedAt, oldest.observedAt), cmp.Compare(candidate.Origin, oldest.Origin)) < 0 {
			oldest = candidate
		}
	}
	delete(byOrigin, oldest.Origin)
	return oldest != entry
}

// outgoing returns the stored record as it is sent now.
func (s *Store) outgoing(entry *storedRecord, now time.Duration) Record {
	record := entry.Record
	record.Age, record.Left = now-entry.observedAt, max(0, entry.waitEnd-now)
	return record
}

// Problem describes an invalid value of a record.
type Problem string

// Problems of records.
const (
	Valid         Problem = ""
	NegativeAge   Problem = "an age below zero"
	ExcessiveWait Problem = "a wait longer than any that is heeded"
	InvalidRate   Problem = "a limit that is no rate"
)

// Add adds a record received from another forwarder. IsNew reports that it should be forwarded; problem is what is
// wrong with it, if anything. The caller checks first that the origin is a member of the fleet with that epoch.
func (s *Store) Add(now time.Duration, record Record) (isNew bool, problem Problem) {
	if record.Origin == s.cfg.Name || record.Kind < RetryAfter || record.Kind > RateLimit {
		s.Counts.Old++ // its own record, or a kind that a later program version knows
		return false, Valid
	}
	if record.Age < 0 {
		record.Age, problem = 0, NegativeAge
		s.Counts.Bounded++
	}
	if record.Kind == RateLimit && !(record.Rate > 0 && record.Rate <= maxRate) {
		s.Counts.Absurd++
		return false, InvalidRate
	}
	if record.Kind == RetryAfter && record.Left > s.cfg.MaxRetryAfter {
		record.Left, problem = s.cfg.HalfLife, ExcessiveWait
		s.Counts.Bounded++
	}
	if record.Age > RetainedHalfLives*s.cfg.HalfLife || record.Kind == RetryAfter && record.Left <= 0 {
		s.Counts.Old++
		return false, problem
	}
	key := record.key()
	if previous := s.entries[key][record.Origin]; previous != nil && (record.Life < previous.Life || record.Life == previous.Life && record.Serial <= previous.Serial) {
		s.Counts.Old++
		return false, problem
	}
	entry := &storedRecord{Record: record, observedAt: now - record.Age, aloneSince: now}
	if record.Kind == RetryAfter {
		entry.waitEnd = now + record.Left
	}
	if s.isRedundant(key, record, entry.waitEnd, now, minRefreshTenths*s.cfg.HalfLife/10) || !s.insert(key, entry) {
		s.Counts.Redundant++
		return false, problem
	}
	s.Counts.News++
	return true, problem
}

// expired reports whether a record no longer counts. An expired retry-after time stays in the store for a while, so
// that the origin's next one is recognized as a repetition.
func (s *Store) expired(entry *storedRecord, now time.Duration) bool {
	return now-entry.observedAt > RetainedHalfLives*s.cfg.HalfLife || entry.Kind == RetryAfter && entry.waitEnd <= now
}

// Expire drops the records that are too old, and those of origins that are no longer members.
func (s *Store) Expire(now time.Duration, known func(origin string, epoch uint64) bool) {
	for key, byOrigin := range s.entries {
		for origin, entry := range byOrigin {
			if now-entry.observedAt > RetainedHalfLives*s.cfg.HalfLife && now-entry.aloneSince > RetainedHalfLives*s.cfg.HalfLife || origin != s.cfg.Name && known != nil && !known(origin, entry.Life) {
				delete(byOrigin, origin)
			}
		}
		if len(byOrigin) == 0 {
			delete(s.entries, key)
		}
	}
	for circuit, given := range s.given {
		if given.waitEnd <= now && (!given.hasOutage || now-given.outageAt > RetainedHalfLives*s.cfg.HalfLife) {
			delete(s.given, circuit)
		}
	}
}

// Records returns the current records as they are sent, sorted by destination, endpoint, kind and origin.
func (s *Store) Records(now time.Duration) (out []Record) {
	for _, byOrigin := range s.entries {
		for _, entry := range byOrigin {
			if !s.expired(entry, now) {
				out = append(out, s.outgoing(entry, now))
			}
		}
	}
	slices.SortFunc(out, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Destination, y.Destination), cmp.Compare(x.Endpoint, y.Endpoint), cmp.Compare(x.Kind, y.Kind), cmp.Compare(x.Origin, y.Origin))
	})
	return out
}

// Digest returns the same value for two stores with the same records.
func (s *Store) Digest(now time.Duration) (sum uint64) {
	for _, byOrigin := range s.entries {
		for _, entry := range byOrigin {
			if !s.expired(entry, now) {
				sum += entry.Record.hash()
			}
		}
	}
	return sum
}

// Advice returns what this forwarder should apply now of other forwarders' observations, as circuits of the decision
// module: retry-after times, rate limits where it knows none, and slow start after outages. All of it makes a forwarder
// more careful, except for a rate limit above the configured one, which lasts for one half-life. Advice that is no
// longer returned has lapsed.
//
// A retry-after time applies to its end, up to MaxRetryAfter, if two forwarders report it. From a single forwarder it
// applies for one half-life, and then not again for RetainedHalfLives of them. An outage or a recovery needs two
// observers, and does not count if calls of this forwarder have succeeded since.
func (s *Store) Advice(now time.Duration, circuits []mb.LearnedCircuit) (out []mb.LearnedCircuit) {
	own := make(map[circuitKey]*mb.LearnedCircuit, len(circuits))
	for i := range circuits {
		own[circuitKey{int64(circuits[i].Destination), string(circuits[i].Endpoint)}] = &circuits[i]
	}
	byCircuit := map[circuitKey]*mb.LearnedCircuit{}
	adviceFor := func(key recordKey) *mb.LearnedCircuit {
		circuitID := circuitKey{key.destination, key.endpoint}
		if byCircuit[circuitID] == nil {
			byCircuit[circuitID] = &mb.LearnedCircuit{Destination: mb.DestinationID(key.destination), Endpoint: mb.EndpointID(key.endpoint), GuardFrom: -1, LastBad: -1, LastOK: -1}
		}
		return byCircuit[circuitID]
	}
	givenFor := func(key recordKey) *givenAdvice {
		circuitID := circuitKey{key.destination, key.endpoint}
		if s.given[circuitID] == nil {
			s.given[circuitID] = &givenAdvice{}
		}
		return s.given[circuitID]
	}
	for key, byOrigin := range s.entries {
		local := own[circuitKey{key.destination, key.endpoint}]
		switch key.group {
		case RetryAfter:
			if waitEnd := s.effectiveWait(now, byOrigin); waitEnd > now {
				adviceFor(key).Wait = waitEnd - now
				givenFor(key).waitEnd = max(givenFor(key).waitEnd, waitEnd)
			}
		case Outage:
			since, from, ok := s.confirmedOutage(now, byOrigin, local)
			if given := s.given[circuitKey{key.destination, key.endpoint}]; !ok || given != nil && given.hasOutage && now-given.outageAt < 2*s.cfg.HalfLife {
				continue // once per outage; from then on its own calls decide
			}
			circuit := adviceFor(key)
			circuit.Guard, circuit.GuardSince, circuit.GuardFrom = true, since, from
			givenFor(key).outageAt, givenFor(key).hasOutage = now, true
		case RateLimit:
			if local != nil && local.Limit > 0 {
				continue // its own observation comes first
			}
			if rate, trust := s.effectiveLimit(now, byOrigin); trust > 0 {
				circuit := adviceFor(key)
				circuit.Limit, circuit.Trust = rate, trust
			}
		}
	}
	for _, circuit := range byCircuit {
		out = append(out, *circuit)
	}
	slices.SortFunc(out, func(x, y mb.LearnedCircuit) int {
		return cmp.Or(cmp.Compare(x.Destination, y.Destination), cmp.Compare(x.Endpoint, y.Endpoint))
	})
	return out
}

// effectiveWait returns the end of the retry-after time: the one that two observers agree on, or one observer's for a
// half-life.
func (s *Store) effectiveWait(now time.Duration, byOrigin map[string]*storedRecord) (waitEnd time.Duration) {
	var first, second time.Duration
	for _, entry := range byOrigin {
		end := min(entry.waitEnd, entry.observedAt+s.cfg.MaxRetryAfter)
		if end > first {
			first, second = end, first
		} else {
			second = max(second, end)
		}
		if entry.Origin != s.cfg.Name {
			waitEnd = max(waitEnd, min(end, entry.aloneSince+s.cfg.HalfLife))
		}
	}
	return max(waitEnd, second)
}

// confirmedOutage reports whether two other forwarders observed an outage or recovery that this forwarder's own calls
// have not disproved. Since and from tell how long ago the outage and the recovery began; from is negative without a
// recovery.
func (s *Store) confirmedOutage(now time.Duration, byOrigin map[string]*storedRecord, local *mb.LearnedCircuit) (since, from time.Duration, ok bool) {
	observers := 0
	from = -1
	for _, entry := range byOrigin {
		age := now - entry.observedAt
		if entry.Origin == s.cfg.Name || age > 2*s.cfg.HalfLife || local != nil && local.LastOK >= 0 && local.LastOK < age {
			continue
		}
		observers++
		if since = max(since, age); entry.Kind == Recovery {
			from = max(from, age)
		}
	}
	if local != nil && (local.Guard || local.Breaker != mb.BreakerClosed) {
		return 0, 0, false // known from its own calls
	}
	return since, from, observers >= minObservers
}

// effectiveLimit returns the median of the rate limits, weighted by age, the lower one on a tie, and the trust in it.
func (s *Store) effectiveLimit(now time.Duration, byOrigin map[string]*storedRecord) (rate, trust float64) {
	type vote struct{ rate, weight float64 }
	var votes []vote
	sum, youngest := 0.0, 0.0
	for _, entry := range byOrigin {
		if age := now - entry.observedAt; entry.Origin != s.cfg.Name && age <= s.cfg.HalfLife {
			weight := math.Exp2(-float64(age) / float64(s.cfg.HalfLife))
			votes = append(votes, vote{entry.Rate, weight})
			sum += weight
			youngest = math.Max(youngest, weight)
		}
	}
	slices.SortFunc(votes, func(x, y vote) int { return cmp.Compare(x.rate, y.rate) })
	cumulative := 0.0
	for _, v := range votes {
		if cumulative += v.weight; cumulative >= sum/2 {
			rate = v.rate
			break
		}
	}
	switch {
	case len(votes) == 0:
		return 0, 0
	case len(votes) < minObservers:
		return rate, singleObserverTrust * youngest
	}
	return rate, youngest
}
