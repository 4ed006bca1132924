package controlplane

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"mulleinbeam/internal/cluster/changelog"
)

// The committed state as a change log: every member, takeover task and configuration entry, the plan and the voters
// have a key. The version of a command is the revision of all keys that it has changed.

// Item is the value of a key; exactly one of its exported fields is set. An item that was sealed, or was decoded, keeps
// its encoding, so that it is encoded once for all watchers.
type Item struct {
	Member   *Member         `cbor:"1,keyasint,omitempty"`
	Takeover *TakeoverTask   `cbor:"2,keyasint,omitempty"`
	Plan     *Plan           `cbor:"3,keyasint,omitempty"`
	Voters   *Voters         `cbor:"4,keyasint,omitempty"`
	Entry    *ConfigEntry    `cbor:"5,keyasint,omitempty"`
	Config   *ConfigRevision `cbor:"6,keyasint,omitempty"`

	encoded []byte
}

// Voters are the voters and learners as of a version.
type Voters struct {
	List    []Voter `cbor:"1,keyasint,omitempty"`
	Version uint64  `cbor:"2,keyasint,omitempty"`
}

// Change is a change of a key.
type Change = changelog.Record[Item]

// Changes is a response to a watcher.
type Changes = changelog.Batch[Item]

// Keys and key prefixes.
const (
	memberPrefix      = "member/"
	takeoverPrefix    = "takeover/"
	planKey           = "plan"
	votersKey         = "voters"
	configPrefix      = "config/"
	configRevisionKey = "configuration"
)

// MemberKey returns the key of a member.
func MemberKey(name string) string { return memberPrefix + name }

func taskKey(l Incarnation) string { return fmt.Sprintf("%s%s/%d", takeoverPrefix, l.Name, l.Number) }

const (
	// maxDeletions bounds the deletions that are kept for watchers that lag; pruning starts at twice as many.
	maxDeletions = 4096
	// PieceBytes bounds one piece of a response to a watcher, unless a single change is larger.
	PieceBytes = 64 << 10
)

// changeSize returns the approximate encoded size of a change.
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

// SelectMember selects one member, the plan, the voters and the configuration.
func SelectMember(member string) changelog.Selector {
	return changelog.Selector{Keys: []string{MemberKey(member), planKey, votersKey, configRevisionKey}, Prefixes: []string{configPrefix}}
}

// NewMirror returns an empty mirror, for a relay.
func NewMirror() *changelog.Mirror[Item] {
	return changelog.NewMirror(2*maxDeletions, changeSize)
}

// VotersIn returns the voters in a mirror; nil if they have not changed since the group started.
func VotersIn(m *changelog.Mirror[Item]) []Voter {
	if item, known := m.Get(votersKey); known && item.Voters != nil {
		return item.Voters.List
	}
	return nil
}

// markChanged records that a key has changed at the current version.
func (s *State) markChanged(key string) {
	if s.Revisions == nil {
		s.Revisions = map[string]uint64{}
	}
	s.Revisions[key] = s.Version
	delete(s.Deleted, key)
	s.recordChanged(key)
}

// markDeleted records that a key was deleted.
func (s *State) markDeleted(key string) {
	if s.Deleted == nil {
		s.Deleted = map[string]uint64{}
	}
	delete(s.Revisions, key)
	s.Deleted[key] = s.Version
	s.recordChanged(key)
	if len(s.Deleted) > 2*maxDeletions {
		s.pruneDeletions()
	}
}

func (s *State) recordChanged(key string) {
	if !slices.Contains(s.changedKeys, key) {
		s.changedKeys = append(s.changedKeys, key)
	}
}

// pruneDeletions drops the oldest deletions. It is deterministic, so every voter drops the same ones.
func (s *State) pruneDeletions() {
	keys := slices.SortedFunc(maps.Keys(s.Deleted), func(a, b string) int {
		return cmp.Or(cmp.Compare(s.Deleted[a], s.Deleted[b]), cmp.Compare(a, b))
	})
	for _, key := range keys[:len(keys)-maxDeletions] {
		s.Floor = max(s.Floor, s.Deleted[key])
		delete(s.Deleted, key)
	}
}

// editMember replaces a member with a copy that may be modified, and returns the copy.
func (s *State) editMember(name string) *Member {
	m := *s.Members[name]
	s.Members[name] = &m
	s.markChanged(MemberKey(name))
	return &m
}

// editTask replaces a takeover task with a copy that may be modified, and returns the copy.
func (s *State) editTask(l Incarnation) *TakeoverTask {
	i := slices.IndexFunc(s.Jobs, func(j *TakeoverTask) bool { return j.Life == l })
	j := *s.Jobs[i]
	s.Jobs[i] = &j
	s.markChanged(taskKey(l))
	return &j
}

func (s *State) addTask(j *TakeoverTask) {
	s.Jobs = append(s.Jobs, j)
	s.markChanged(taskKey(j.Life))
}

// item returns the current value of a key, and whether it has one.
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
		if taskKey(j.Life) == key {
			return Item{Takeover: j}.sealed(), true
		}
	}
	return Item{}, false
}

// records returns the records of all keys, including the deletions that are kept.
func (s *State) records() (out []Change) {
	tasks := make(map[string]*TakeoverTask, len(s.Jobs))
	for _, j := range s.Jobs {
		tasks[taskKey(j.Life)] = j
	}
	for key, revision := range s.Revisions {
		if j := tasks[key]; j != nil {
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

// assignRevisions assigns revisions to a state stored by a version without them: all keys get the version of the state.
func (s *State) assignRevisions() {
	if len(s.Revisions) > 0 || s.Version <= firstIndex {
		return
	}
	for name := range s.Members {
		s.markChanged(MemberKey(name))
	}
	for _, j := range s.Jobs {
		s.markChanged(taskKey(j.Life))
	}
	s.markChanged(planKey)
	s.markChanged(votersKey)
	s.Floor, s.changedKeys = s.Version, nil
}

// changeLog returns the state as a change log.
func (s *State) changeLog() (*changelog.Log[Item], error) {
	log, err := changelog.Restore(s.records(), s.Version, s.Floor, 2*maxDeletions, changeSize)
	if err != nil {
		return nil, fmt.Errorf("controlplane: change log: %w", err)
	}
	return log, nil
}

// publish appends what the latest command has changed to a log.
func (s *State) publish(log *changelog.Log[Item]) error {
	for _, key := range s.changedKeys {
		v, known := s.item(key)
		if err := log.Put(Change{Key: key, Revision: s.Version, Deleted: !known, Value: v}); err != nil {
			return fmt.Errorf("controlplane: change log: %w", err)
		}
	}
	return log.Advance(s.Version)
}

// With returns a watcher's state after a change to its view, as of a version. The receiver is not modified.
func (s *State) With(version uint64, change *changelog.Change[Item]) *State {
	out := NewState()
	if !change.Whole {
		out = s.cloneForChange(change)
	}
	out.Version, out.Revisions, out.Deleted = version, nil, nil
	tasks := map[Incarnation]*TakeoverTask{}
	for _, j := range out.Jobs {
		tasks[j.Life] = j
	}
	changed := false
	for _, r := range change.Records {
		changed = out.applyChange(r, tasks) || changed
	}
	if changed {
		out.Jobs = slices.SortedFunc(maps.Values(tasks), compareTasks)
	}
	return out
}

// cloneForChange returns a copy to which a change can be applied. It shares the configuration entries unless the change
// modifies them: there may be far more of these than of anything else.
func (s *State) cloneForChange(change *changelog.Change[Item]) *State {
	changesEntries := slices.ContainsFunc(change.Records, func(r Change) bool { return strings.HasPrefix(r.Key, configPrefix) })
	if changesEntries {
		return s.Clone()
	}
	without := *s
	without.Entries = nil
	out := without.Clone()
	out.Entries = s.Entries
	return out
}

// compareTasks orders takeover tasks by age.
func compareTasks(a, b *TakeoverTask) int {
	return cmp.Or(cmp.Compare(a.At, b.At), compareIncarnations(a.Life, b.Life))
}

// applyChange applies one change to a watcher's state, and reports whether it was one of a takeover task.
func (s *State) applyChange(r Change, tasks map[Incarnation]*TakeoverTask) bool {
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
		tasks[v.Takeover.Life] = v.Takeover
		return true
	case r.Deleted:
		for incarnation := range tasks {
			if taskKey(incarnation) == r.Key {
				delete(tasks, incarnation)
				return true
			}
		}
	}
	return false
}
