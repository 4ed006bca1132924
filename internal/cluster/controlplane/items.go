package controlplane

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"mulleinbeam/internal/cluster/changelog"
)

// The decided state as a change log: every member, takeover, the plan and the voters have a key, and the version of a command is the revision
// of all keys that it has changed.

// Item is what a key stands for; one of its exported fields is set. One that was sealed, or came over a link, is encoded once for all who get
// it.
type Item struct {
	Member   *Member         `cbor:"1,keyasint,omitempty"`
	Takeover *TakeoverTask   `cbor:"2,keyasint,omitempty"`
	Plan     *Plan           `cbor:"3,keyasint,omitempty"`
	Voters   *Voters         `cbor:"4,keyasint,omitempty"`
	Entry    *ConfigEntry    `cbor:"5,keyasint,omitempty"`
	Config   *ConfigRevision `cbor:"6,keyasint,omitempty"`

	encoded []byte
}

// Voters are who holds the control plane, as of a version.
type Voters struct {
	List    []Voter `cbor:"1,keyasint,omitempty"`
	Version uint64  `cbor:"2,keyasint,omitempty"`
}

// Change is one to a key.
type Change = changelog.Record[Item]

// Changes answer a watcher.
type Changes = changelog.Batch[Item]

// The keys.
const (
	memberPrefix      = "member/"
	jobPrefix         = "takeover/"
	planKey           = "plan"
	votersKey         = "voters"
	configPrefix      = "config/"
	configRevisionKey = "configuration"
)

// MemberKey is a member's.
func MemberKey(name string) string { return memberPrefix + name }

func jobKey(l Incarnation) string { return fmt.Sprintf("%s%s/%d", jobPrefix, l.Name, l.Number) }

const (
	// mostDeletions is how many deletions are remembered for watchers that are behind; while they are dropped, up to twice as many.
	mostDeletions = 4096
	// PieceBytes bounds a piece of an answer to a watcher, but for a single change that is larger.
	PieceBytes = 64 << 10
)

// changeSize is about how many bytes a change takes in an answer.
func changeSize(r Change) int {
	const head = 24
	size := head + len(r.Key)
	switch v := r.Value; {
	case v.Member != nil:
		size += 32 + len(v.Member.Token) + len(v.Member.Address) + len(v.Member.Zone) + len(v.Member.Region)
		for _, name := range v.Member.Keepers {
			size += len(name) + 1
		}
	case v.Takeover != nil:
		size += 64
	case v.Plan != nil:
		size += len(v.Plan.Content)
	case v.Entry != nil:
		size += len(v.Entry.Content)
	}
	return size
}

// SelectAll selects the whole state.
var SelectAll = changelog.Selector{All: true}

// SelectMember selects a member by itself, the plan, the voters and the configuration.
func SelectMember(member string) changelog.Selector {
	return changelog.Selector{Keys: []string{MemberKey(member), planKey, votersKey, configRevisionKey}, Prefixes: []string{configPrefix}}
}

// NewMirror has nothing yet; it is for a relay.
func NewMirror() *changelog.Mirror[Item] {
	return changelog.NewMirror(2*mostDeletions, changeSize)
}

// VotersIn are those that a mirror knows of; none is those that the group began with.
func VotersIn(m *changelog.Mirror[Item]) []Voter {
	if item, known := m.Get(votersKey); known && item.Voters != nil {
		return item.Voters.List
	}
	return nil
}

// touch notes that a key has changed at this version.
func (s *State) touch(key string) {
	if s.Revisions == nil {
		s.Revisions = map[string]uint64{}
	}
	s.Revisions[key] = s.Version
	delete(s.Deleted, key)
	s.note(key)
}

// drop notes that a key is no more.
func (s *State) drop(key string) {
	if s.Deleted == nil {
		s.Deleted = map[string]uint64{}
	}
	delete(s.Revisions, key)
	s.Deleted[key] = s.Version
	s.note(key)
	if len(s.Deleted) > 2*mostDeletions {
		s.forgetDeletions()
	}
}

func (s *State) note(key string) {
	if !slices.Contains(s.touched, key) {
		s.touched = append(s.touched, key)
	}
}

// forgetDeletions drops the older half of them, the same ones wherever the same commands were applied.
func (s *State) forgetDeletions() {
	keys := slices.SortedFunc(maps.Keys(s.Deleted), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Deleted[a], s.Deleted[b]), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-mostDeletions] {
		s.Floor = max(s.Floor, s.Deleted[key])
		delete(s.Deleted, key)
	}
}

// changeMember is a member that may be changed, as a copy in the place of the one before.
func (s *State) changeMember(name string) *Member {
	m := *s.Members[name]
	s.Members[name] = &m
	s.touch(MemberKey(name))
	return &m
}

// changeJob is a takeover that may be changed, as a copy in the place of the one before.
func (s *State) changeJob(l Incarnation) *TakeoverTask {
	i := slices.IndexFunc(s.Jobs, func(j *TakeoverTask) bool { return j.Life == l })
	j := *s.Jobs[i]
	s.Jobs[i] = &j
	s.touch(jobKey(l))
	return &j
}

func (s *State) addJob(j *TakeoverTask) {
	s.Jobs = append(s.Jobs, j)
	s.touch(jobKey(j.Life))
}

// item is what a key stands for now; false: nothing.
func (s *State) item(key string) (Item, bool) {
	switch name, isMember := strings.CutPrefix(key, memberPrefix); {
	case isMember:
		m := s.Members[name]
		return Item{Member: m}.sealed(), m != nil
	case key == planKey:
		plan := s.Plan
		return Item{Plan: &plan}.sealed(), true
	case key == votersKey:
		return Item{Voters: &Voters{s.Founders, s.Council}}.sealed(), true
	case key == configRevisionKey:
		return Item{Config: &ConfigRevision{s.Configured}}.sealed(), true
	}
	if name, isEntry := strings.CutPrefix(key, configPrefix); isEntry {
		e := s.Entries[name]
		return Item{Entry: e}.sealed(), e != nil
	}
	for _, j := range s.Jobs {
		if jobKey(j.Life) == key {
			return Item{Takeover: j}.sealed(), true
		}
	}
	return Item{}, false
}

// records are all keys, the deleted ones that are remembered among them.
func (s *State) records() (out []Change) {
	jobs := make(map[string]*TakeoverTask, len(s.Jobs))
	for _, j := range s.Jobs {
		jobs[jobKey(j.Life)] = j
	}
	for key, revision := range s.Revisions {
		if j := jobs[key]; j != nil {
			out = append(out, Change{Key: key, Revision: revision, Value: Item{Takeover: j}.sealed()})
		} else if v, known := s.item(key); known {
			out = append(out, Change{Key: key, Revision: revision, Value: v})
		}
	}
	for key, revision := range s.Deleted {
		out = append(out, Change{Key: key, Revision: revision, Deleted: true})
	}
	return out
}

// revise gives revisions to a state that was kept by a program which had none: all keys change at its version.
func (s *State) revise() {
	if len(s.Revisions) > 0 || s.Version <= firstIndex {
		return
	}
	for name := range s.Members {
		s.touch(MemberKey(name))
	}
	for _, j := range s.Jobs {
		s.touch(jobKey(j.Life))
	}
	s.touch(planKey)
	s.touch(votersKey)
	s.Floor, s.touched = s.Version, nil
}

// log is the state as a change log.
func (s *State) log() (*changelog.Log[Item], error) {
	log, err := changelog.Restore(s.records(), s.Version, s.Floor, 2*mostDeletions, changeSize)
	if err != nil {
		return nil, fmt.Errorf("council: change log: %w", err)
	}
	return log, nil
}

// publish adds what the latest command has changed to a log.
func (s *State) publish(log *changelog.Log[Item]) error {
	for _, key := range s.touched {
		v, known := s.item(key)
		if err := log.Put(Change{Key: key, Revision: s.Version, Deleted: !known, Value: v}); err != nil {
			return fmt.Errorf("council: change log: %w", err)
		}
	}
	return log.Advance(s.Version)
}

// With is a state as a watcher has it after a change of its view, at a version. This one stays as it is.
func (s *State) With(version uint64, change *changelog.Change[Item]) *State {
	out := NewState()
	if !change.Whole {
		out = s.cloneFor(change)
	}
	out.Version, out.Revisions, out.Deleted = version, nil, nil
	jobs := map[Incarnation]*TakeoverTask{}
	for _, j := range out.Jobs {
		jobs[j.Life] = j
	}
	changed := false
	for _, r := range change.Records {
		changed = out.take(r, jobs) || changed
	}
	if changed {
		out.Jobs = slices.SortedFunc(maps.Values(jobs), compareJobs)
	}
	return out
}

// cloneFor is a copy to which a change can be applied. Entries are shared where it has none: there may be far more of them than of all else.
func (s *State) cloneFor(change *changelog.Change[Item]) *State {
	configures := slices.ContainsFunc(change.Records, func(r Change) bool { return strings.HasPrefix(r.Key, configPrefix) })
	if configures {
		return s.Clone()
	}
	without := *s
	without.Entries = nil
	out := without.Clone()
	out.Entries = s.Entries
	return out
}

// compareJobs orders them by their age.
func compareJobs(a, b *TakeoverTask) int {
	return cmp.Or(cmp.Compare(a.At, b.At), compareLives(a.Life, b.Life))
}

// take puts one change into a watcher's state; true says that it was one of a takeover.
func (s *State) take(r Change, jobs map[Incarnation]*TakeoverTask) bool {
	if name, isMember := strings.CutPrefix(r.Key, memberPrefix); isMember {
		if r.Deleted || r.Value.Member == nil {
			delete(s.Members, name)
		} else {
			s.Members[name] = r.Value.Member
		}
		return false
	}
	if key, isEntry := strings.CutPrefix(r.Key, configPrefix); isEntry {
		if r.Deleted || r.Value.Entry == nil {
			delete(s.Entries, key)
		} else {
			s.Entries[key] = r.Value.Entry
		}
		return false
	}
	switch v := r.Value; {
	case v.Config != nil:
		s.Configured = v.Config.Revision
	case v.Plan != nil:
		s.Plan = *v.Plan
	case v.Voters != nil:
		s.Founders, s.Council = v.Voters.List, v.Voters.Version
	case v.Takeover != nil:
		jobs[v.Takeover.Life] = v.Takeover
		return true
	case r.Deleted:
		for life := range jobs {
			if jobKey(life) == r.Key {
				delete(jobs, life)
				return true
			}
		}
	}
	return false
}
