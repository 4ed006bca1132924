package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Tracking of the configuration rollout. Each member sends a report with its lease renewals, relays add up the reports
// of their members, and the leader adds up what relays and members send. None of it is committed: a new leader receives
// all of it again within one renewal interval.

// ConfigReport is what a member reports about the configuration it has in force.
type ConfigReport struct {
	Revision uint64         `cbor:"1,keyasint,omitempty"` // the latest configuration revision that the member has processed
	Refused  []RefusedEntry `cbor:"2,keyasint,omitempty"` // at most maxReported
}

// RefusedEntry is an entry that a member does not put into force.
type RefusedEntry struct {
	Key string `cbor:"1,keyasint"`
	Why string `cbor:"2,keyasint"`
}

// ConfigSummary is the sum of several reports.
type ConfigSummary struct {
	Revisions []RevisionCount `cbor:"1,keyasint,omitempty" json:"revisions"` // newest first; the last of maxRevisions includes all older ones
	Refusing  int             `cbor:"2,keyasint,omitempty" json:"refusing"`  // members that refuse an entry
	Refusals  []MemberRefusal `cbor:"3,keyasint,omitempty" json:"refusals"`  // at most maxReported of them
}

// RevisionCount is the number of members at a revision.
type RevisionCount struct {
	Revision uint64 `cbor:"1,keyasint" json:"revision"`
	Members  int    `cbor:"2,keyasint" json:"members"`
}

// MemberRefusal is an entry that one member refuses.
type MemberRefusal struct {
	Life Incarnation `cbor:"1,keyasint" json:"life"`
	Key  string      `cbor:"2,keyasint" json:"key"`
	Why  string      `cbor:"3,keyasint" json:"why"`
}

// Rollout is the progress of the configuration rollout, as the leader knows it.
type Rollout struct {
	Revision uint64        `cbor:"1,keyasint" json:"revision"` // the committed revision
	Members  int           `cbor:"2,keyasint" json:"members"`  // live members
	Summary  ConfigSummary `cbor:"3,keyasint" json:"summary"`  // of the members that have reported
}

// InForce reports whether all live members have processed the committed revision. No report may be behind: a member
// that has just switched relays is counted twice for a moment, and must not make up for another.
func (r Rollout) InForce() bool {
	current := r.Summary.Current(r.Revision)
	return current >= r.Members && current == r.Summary.Members()
}

const (
	maxReported    = 16
	maxRevisions   = 16
	maxReasonBytes = 256
)

// Bounded returns the report cut to what a renewal may carry.
func (r ConfigReport) Bounded() ConfigReport {
	r.Refused = slices.Clone(r.Refused[:min(len(r.Refused), maxReported)])
	for i, refused := range r.Refused {
		r.Refused[i].Key = truncate(refused.Key, maxEntryKey)
		r.Refused[i].Why = truncate(refused.Why, maxReasonBytes)
	}
	return r
}

// truncate shortens text to a number of bytes. The result is valid UTF-8, as a message with any other text can't be
// decoded.
func truncate(text string, limit int) string {
	return strings.ToValidUTF8(text[:min(len(text), limit)], "")
}

// Summarize adds up reports.
func Summarize(reports map[Incarnation]ConfigReport) (out ConfigSummary) {
	counts := map[uint64]int{}
	var refusing []Incarnation
	for incarnation, r := range reports {
		counts[r.Revision]++
		if len(r.Refused) > 0 {
			refusing = append(refusing, incarnation)
		}
	}
	out.setRevisions(counts)
	out.Refusing = len(refusing)
	slices.SortFunc(refusing, compareIncarnations)
	for _, incarnation := range refusing {
		for _, refused := range reports[incarnation].Refused {
			if len(out.Refusals) == maxReported {
				return out
			}
			out.Refusals = append(out.Refusals, MemberRefusal{incarnation, refused.Key, refused.Why})
		}
	}
	return out
}

func compareIncarnations(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Number, b.Number))
}

// add adds the summary of other members.
func (s *ConfigSummary) add(o ConfigSummary) {
	counts := map[uint64]int{}
	for _, list := range [][]RevisionCount{s.Revisions, o.Revisions} {
		for _, c := range list {
			counts[c.Revision] += c.Members
		}
	}
	s.setRevisions(counts)
	s.Refusing += o.Refusing
	room := maxReported - len(s.Refusals)
	s.Refusals = append(s.Refusals, o.Refusals[:min(room, len(o.Refusals))]...)
}

// setRevisions lists counts, newest first; counts beyond the bound are added to the oldest one listed.
func (s *ConfigSummary) setRevisions(counts map[uint64]int) {
	s.Revisions = nil
	revisions := slices.SortedFunc(maps.Keys(counts), func(a, b uint64) int { return cmp.Compare(b, a) })
	for i, revision := range revisions {
		if i < maxRevisions {
			s.Revisions = append(s.Revisions, RevisionCount{revision, counts[revision]})
			continue
		}
		s.Revisions[maxRevisions-1] = RevisionCount{revision, s.Revisions[maxRevisions-1].Members + counts[revision]}
	}
}

// Members returns the number of members that were added up.
func (s ConfigSummary) Members() (sum int) {
	for _, c := range s.Revisions {
		sum += c.Members
	}
	return sum
}

// Current returns the number of members at a revision or a later one.
func (s ConfigSummary) Current(revision uint64) (sum int) {
	for _, c := range s.Revisions {
		if c.Revision >= revision {
			sum += c.Members
		}
	}
	return sum
}

// reportTTL is how long a report is valid: several renewals, so that a member does not seem to lag if one is lost.
const reportTTL = 3 * time.Second

// rolloutSource is the latest summary of one relay or member.
type rolloutSource struct {
	summary ConfigSummary
	at      time.Duration
}

// rollouts is what a leader has received. The zero value is empty.
type rollouts struct {
	sources map[string]rolloutSource
}

// report records the summary of a source.
func (r *rollouts) report(now time.Duration, source string, summary ConfigSummary) {
	if r.sources == nil {
		r.sources = map[string]rolloutSource{}
	}
	r.sources[source] = rolloutSource{summary, now}
}

// expire drops outdated summaries.
func (r *rollouts) expire(now time.Duration) {
	maps.DeleteFunc(r.sources, func(_ string, s rolloutSource) bool { return now-s.at > reportTTL })
}

// sum adds up the summaries that are not outdated.
func (r *rollouts) sum(now time.Duration) (out ConfigSummary) {
	r.expire(now)
	for _, name := range slices.Sorted(maps.Keys(r.sources)) {
		out.add(r.sources[name].summary)
	}
	return out
}

// forget drops everything at the end of a leadership.
func (r *rollouts) forget() { r.sources = nil }

// rollout returns the progress of the configuration rollout.
func (s *Server) rollout() *Rollout {
	state := s.core.State()
	out := &Rollout{Revision: state.Configured, Summary: s.rollouts.sum(s.now())}
	for _, m := range state.Members {
		if m.Alive {
			out.Members++
		}
	}
	return out
}
