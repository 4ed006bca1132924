package controlplane

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// How far the configuration is in force. Each member reports with its lease renewal, relays add their members' reports up, and the leader adds up what
// relays and members tell it. Nothing of it is committed: a new leader hears all of it again within a renewal.

// ConfigReport is what a member says of the configuration that is in force there.
type ConfigReport struct {
	Revision uint64         `cbor:"1,keyasint,omitempty"` // of the configuration, as far as it was looked at there
	Refused  []RefusedEntry `cbor:"2,keyasint,omitempty"` // at most maxReported
}

// RefusedEntry is an entry that a member does not put into force.
type RefusedEntry struct {
	Key string `cbor:"1,keyasint"`
	Why string `cbor:"2,keyasint"`
}

// ConfigSummary adds up reports.
type ConfigSummary struct {
	Revisions []RevisionCount `cbor:"1,keyasint,omitempty" json:"revisions"` // the newest first; the last of maxRevisions counts all that are older, too
	Refusing  int             `cbor:"2,keyasint,omitempty" json:"refusing"`  // members that refuse an entry
	Refusals  []MemberRefusal `cbor:"3,keyasint,omitempty" json:"refusals"`  // at most maxReported of them
}

// RevisionCount is how many members are at a revision.
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

// Rollout is how far a fleet is, as its leader knows.
type Rollout struct {
	Revision uint64        `cbor:"1,keyasint" json:"revision"` // of what is committed
	Members  int           `cbor:"2,keyasint" json:"members"`  // that live
	Summary  ConfigSummary `cbor:"3,keyasint" json:"summary"`  // of those that were heard
}

// InForce says that all members that live have looked at the revision that is committed. Nobody who was heard may be behind: a member that has just
// changed its relay is counted twice for a moment, and must not stand for another.
func (r Rollout) InForce() bool {
	current := r.Summary.Current(r.Revision)
	return current >= r.Members && current == r.Summary.Members()
}

const (
	maxReported  = 16
	maxRevisions = 16
	maxWhy       = 256 // bytes of a reason
)

// Bounded is the report within what a renewal carries.
func (r ConfigReport) Bounded() ConfigReport {
	r.Refused = slices.Clone(r.Refused[:min(len(r.Refused), maxReported)])
	for i, refused := range r.Refused {
		r.Refused[i].Key = cut(refused.Key, maxEntryKey)
		r.Refused[i].Why = cut(refused.Why, maxWhy)
	}
	return r
}

// cut is a text of so many bytes at the most. It stays valid UTF-8: no answer with another text in it can be decoded.
func cut(text string, most int) string {
	return strings.ToValidUTF8(text[:min(len(text), most)], "")
}

// Summarize adds reports up.
func Summarize(reports map[Incarnation]ConfigReport) (out ConfigSummary) {
	counts := map[uint64]int{}
	var refusing []Incarnation
	for life, r := range reports {
		counts[r.Revision]++
		if len(r.Refused) > 0 {
			refusing = append(refusing, life)
		}
	}
	out.setRevisions(counts)
	out.Refusing = len(refusing)
	slices.SortFunc(refusing, compareLives)
	for _, life := range refusing {
		for _, refused := range reports[life].Refused {
			if len(out.Refusals) == maxReported {
				return out
			}
			out.Refusals = append(out.Refusals, MemberRefusal{life, refused.Key, refused.Why})
		}
	}
	return out
}

func compareLives(a, b Incarnation) int {
	return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Number, b.Number))
}

// add adds another summary, of other members.
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

// setRevisions lists counts, the newest first, and counts those beyond the bound with the oldest that is listed.
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

// Members is how many were added up.
func (s ConfigSummary) Members() (sum int) {
	for _, c := range s.Revisions {
		sum += c.Members
	}
	return sum
}

// Current is how many of them have a revision, or a later one.
func (s ConfigSummary) Current(revision uint64) (sum int) {
	for _, c := range s.Revisions {
		if c.Revision >= revision {
			sum += c.Members
		}
	}
	return sum
}

// rolloutKeep is how long a report counts without another: some renewals, so that one that is lost does not count as lagging.
const rolloutKeep = 3 * time.Second

// rolloutSource is the latest that one relay or member has told.
type rolloutSource struct {
	summary ConfigSummary
	at      time.Duration
}

// rollouts is what a leader has been told. The zero value knows nothing.
type rollouts struct {
	sources map[string]rolloutSource
}

// report takes what a source tells.
func (r *rollouts) report(now time.Duration, source string, summary ConfigSummary) {
	if r.sources == nil {
		r.sources = map[string]rolloutSource{}
	}
	r.sources[source] = rolloutSource{summary, now}
}

// expire drops what was told too long ago.
func (r *rollouts) expire(now time.Duration) {
	maps.DeleteFunc(r.sources, func(_ string, s rolloutSource) bool { return now-s.at > rolloutKeep })
}

// sum adds up what was told of late.
func (r *rollouts) sum(now time.Duration) (out ConfigSummary) {
	r.expire(now)
	for _, name := range slices.Sorted(maps.Keys(r.sources)) {
		out.add(r.sources[name].summary)
	}
	return out
}

// forget drops everything, where a leadership ends.
func (r *rollouts) forget() { r.sources = nil }

// rollout answers an operator who asks how far the configuration is in force.
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
