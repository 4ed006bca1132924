// Package controlplane holds what the forwarders of a fleet agree on: the members, the current incarnation of each, the
// in-sync replicas of each journal, and who takes over the messages of a fenced incarnation. A few members are the
// voters of a Raft consensus group; the others follow. No message waits for a decision of the control plane.
//
// State is the committed state. Only commands change it, and it is equal on all processes that have applied the same
// commands. Leases is known to the leader alone. Core runs Raft without a clock, a socket or a goroutine; Server drives
// it.
package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Incarnation identifies one incarnation of a forwarder, from the commit of its Join to its fencing. Number is its
// epoch, which only grows.
type Incarnation struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

func (l Incarnation) String() string { return fmt.Sprintf("%s/%d", l.Name, l.Number) }

// Member is a forwarder of the fleet.
type Member struct {
	Life     uint64   `cbor:"1,keyasint,omitempty"` // epoch of the latest incarnation
	Alive    bool     `cbor:"2,keyasint,omitempty"` // it has not been fenced
	Token    string   `cbor:"3,keyasint,omitempty"` // drawn by the process that joined; distinguishes two processes of one name
	Address  string   `cbor:"4,keyasint,omitempty"` // host:port for other members
	Zone     string   `cbor:"5,keyasint,omitempty"`
	Region   string   `cbor:"6,keyasint,omitempty"`
	Leaving  bool     `cbor:"7,keyasint,omitempty"`  // it is being drained: it stores no copies and is not counted as a replica
	Keepers  []string `cbor:"8,keyasint,omitempty"`  // the in-sync replicas of this incarnation
	Lost     bool     `cbor:"9,keyasint,omitempty"`  // it came back without its folder
	Changed  uint64   `cbor:"10,keyasint,omitempty"` // version at which Keepers was last set
	Version  int      `cbor:"11,keyasint,omitempty"` // of the program
	Capacity int64    `cbor:"12,keyasint,omitempty"` // bytes available for copies; 0 is unknown
}

// TakeoverTask is the takeover of a fenced incarnation's messages.
type TakeoverTask struct {
	Life    Incarnation `cbor:"1,keyasint,omitzero"`
	Keepers []string    `cbor:"2,keyasint,omitempty"` // the in-sync replicas when it was fenced
	Taker   Incarnation `cbor:"3,keyasint,omitzero"`  // the successor; zero while no replica is available
	Done    bool        `cbor:"4,keyasint,omitempty"` // the messages belong to the successor from here on
	At      uint64      `cbor:"5,keyasint,omitempty"` // version at which it was fenced
}

// State is the committed state. Version is that of the last command applied. Members and tasks are replaced, never
// modified in place, as copies of a state share them.
type State struct {
	Version uint64
	Members map[string]*Member
	Jobs    []*TakeoverTask // oldest first
	Plan    Plan            // traffic plan
	// Founders are the voters as of version Council; nil while they are the initial ones.
	Founders []Voter
	Council  uint64
	// Entries are the configuration entries by key, and Configured is the version at which any of them last changed.
	Entries    map[string]*ConfigEntry
	Configured uint64
	EntryBytes int // of keys and contents; maintained only by processes that apply commands
	// Revisions holds the version at which each key last changed, and Deleted the version at which a key was deleted,
	// for every deletion after Floor. See Item.
	Revisions map[string]uint64
	Deleted   map[string]uint64
	Floor     uint64

	changedKeys []string // changed by the latest command
}

// Plan is the traffic plan, whose content package plan defines.
type Plan struct {
	Number     uint64   `cbor:"1,keyasint,omitempty"` // of the plan; 0 is none
	Content    []byte   `cbor:"2,keyasint,omitempty"` // immutable
	Evacuating []string `cbor:"3,keyasint,omitempty"` // places that operators have ordered to evacuate, sorted
	Frozen     bool     `cbor:"4,keyasint,omitempty"` // operators have ordered that the plan must not change
	Ordered    uint64   `cbor:"5,keyasint,omitempty"` // version of the latest order
}

// maxCompletedTasks bounds the completed takeover tasks kept for each name. They link messages to their current owner,
// so they have to outlast the messages held by a forwarder that restarts again and again.
const maxCompletedTasks = 64

// NewState returns the state of a fleet without members.
func NewState() *State {
	return &State{Members: map[string]*Member{}, Entries: map[string]*ConfigEntry{}, Revisions: map[string]uint64{}, Deleted: map[string]uint64{}}
}

// Kind is the kind of a command.
type Kind int

// The kinds of commands.
const (
	Join             Kind = iota + 1 // start an incarnation, and fence the previous one
	Fence                            // fence an incarnation whose lease is over; it gets no other
	AssignTakeover                   // assign a takeover task to a successor
	CompleteTakeover                 // complete a takeover: the successor has all messages, and replicas of them
	SetReplicas                      // set the in-sync replicas of an incarnation
	Drain                            // start or stop draining a member
	Remove                           // remove a fenced member
	SetPlan                          // set the next traffic plan
	Evacuate                         // evacuate a place, or stop that
	Freeze                           // freeze or thaw the plan
	ChangeVoters                     // add a member to the voters, promote a learner, or remove a voter
	Configure                        // set or delete configuration entries
)

// Command is a requested change. Only the fields that name its kind are used.
type Command struct {
	Kind    Kind        `cbor:"1,keyasint,omitempty"`
	Life    Incarnation `cbor:"2,keyasint,omitzero"`   // Join: Number is the epoch stored in its folder, 0 for none
	Whole   bool        `cbor:"3,keyasint,omitempty"`  // Join: the folder still has the journal of that incarnation
	Fenced  bool        `cbor:"4,keyasint,omitempty"`  // Join: the previous incarnation can no longer act; if false, Join is refused while it is alive
	Token   string      `cbor:"5,keyasint,omitempty"`  // Join: drawn at random by the process
	Past    string      `cbor:"6,keyasint,omitempty"`  // Join: Token of the process that last had the folder
	Address string      `cbor:"7,keyasint,omitempty"`  // Join
	Zone    string      `cbor:"8,keyasint,omitempty"`  // Join
	Region  string      `cbor:"9,keyasint,omitempty"`  // Join
	Version int         `cbor:"10,keyasint,omitempty"` // Join
	Space   int64       `cbor:"11,keyasint,omitempty"` // Join
	Taker   Incarnation `cbor:"12,keyasint,omitzero"`  // AssignTakeover, CompleteTakeover
	// From is the version that the request is based on. SetReplicas: Changed. SetPlan: the plan's number. Evacuate,
	// Freeze: Ordered. ChangeVoters: Council. Configure: Configured.
	From    uint64        `cbor:"13,keyasint,omitempty"`
	Set     []string      `cbor:"14,keyasint,omitempty"` // SetReplicas
	On      bool          `cbor:"15,keyasint,omitempty"` // Drain, Evacuate, Freeze, ChangeVoters
	Number  uint64        `cbor:"16,keyasint,omitempty"` // SetPlan
	Content []byte        `cbor:"17,keyasint,omitempty"` // SetPlan
	Place   string        `cbor:"18,keyasint,omitempty"` // Evacuate
	Council []Voter       `cbor:"19,keyasint,omitempty"` // ChangeVoters: the complete new list
	Entries []EntryChange `cbor:"20,keyasint,omitempty"` // Configure: each key once
}

// The reasons for which a command changes nothing. Command line programs of all versions compare the text of
// ErrConflict, which must not change.
var (
	ErrNameInUse = errors.New("controlplane: the name is in use by another process")
	ErrUnknown   = errors.New("controlplane: no such member or incarnation")
	ErrFenced    = errors.New("controlplane: the incarnation has been fenced")
	ErrConflict  = errors.New("council: something else was decided before")
)

// Apply applies a command at a version, which only grows. An error is the reason why nothing has changed.
func (s *State) Apply(version uint64, c Command) error {
	if version <= s.Version {
		return nil // already applied
	}
	s.Version = version
	s.changedKeys = nil
	switch c.Kind {
	case Join:
		return s.join(c)
	case Fence:
		m := s.Members[c.Life.Name]
		if m == nil || m.Life != c.Life.Number {
			return ErrUnknown
		}
		if m.Alive {
			s.fence(c.Life.Name, m)
		}
	case AssignTakeover:
		j, successor := s.TakeoverTask(c.Life), s.Members[c.Taker.Name]
		switch {
		case j == nil || successor == nil:
			return ErrUnknown
		case !successor.Alive || successor.Life != c.Taker.Number:
			return ErrFenced
		case j.Done || j.Taker.Number > 0 && j.Taker != c.Taker:
			return ErrConflict
		}
		s.editTask(c.Life).Taker = c.Taker
	case CompleteTakeover:
		j, successor := s.TakeoverTask(c.Life), s.Members[c.Taker.Name]
		switch {
		case j == nil || successor == nil:
			return ErrUnknown
		case j.Taker != c.Taker:
			return ErrConflict
		case !successor.Alive || successor.Life != c.Taker.Number:
			return ErrFenced
		}
		s.editTask(c.Life).Done = true
	case SetReplicas:
		m := s.Members[c.Life.Name]
		switch {
		case m == nil || m.Life != c.Life.Number || !m.Alive:
			return ErrFenced
		case m.Changed != c.From:
			return ErrConflict
		}
		m = s.editMember(c.Life.Name)
		m.Keepers, m.Changed = slices.Clone(c.Set), version
	case Drain:
		m := s.Members[c.Life.Name]
		if m == nil {
			return ErrUnknown
		}
		s.editMember(c.Life.Name).Leaving = c.On
	case Remove:
		m := s.Members[c.Life.Name]
		if m == nil {
			return ErrUnknown
		}
		if m.Alive || slices.ContainsFunc(s.Jobs, func(j *TakeoverTask) bool { return j.Life.Name == c.Life.Name && !j.Done }) {
			return ErrConflict
		}
		delete(s.Members, c.Life.Name)
		s.markDeleted(MemberKey(c.Life.Name))
	case SetPlan:
		if c.From != s.Plan.Number || c.Number <= c.From {
			return ErrConflict
		}
		s.Plan.Number, s.Plan.Content = c.Number, c.Content
		s.markChanged(planKey)
	case Evacuate, Freeze:
		if c.From != s.Plan.Ordered { // of two concurrent orders one wins, and the other operator is told
			return ErrConflict
		}
		s.Plan.Ordered = version
		s.markChanged(planKey)
		if c.Kind == Freeze {
			s.Plan.Frozen = c.On
			break
		}
		s.Plan.Evacuating = slices.DeleteFunc(slices.Clone(s.Plan.Evacuating), func(p string) bool { return p == c.Place })
		if c.On {
			s.Plan.Evacuating = append(s.Plan.Evacuating, c.Place)
			slices.Sort(s.Plan.Evacuating)
		}
	case ChangeVoters:
		if c.From != s.Council {
			return ErrConflict
		}
		s.Founders, s.Council = c.Council, version // never modified in place
		s.markChanged(votersKey)
	case Configure:
		return s.configure(c)
	default: // of a later version: only its version is recorded
	}
	return nil
}

// join starts an incarnation. Epochs grow even if the folder is lost. What an earlier incarnation left unfinished goes
// to the new one if that has its journal, since no copy is more complete.
func (s *State) join(c Command) error {
	name := c.Life.Name
	m := s.Members[name]
	previous := Incarnation{name, c.Life.Number}
	switch {
	case m == nil:
		m = &Member{Life: s.lastEpoch(name)}
		if c.Whole && s.TakeoverTask(previous) == nil { // it belonged to an earlier group, in which nobody took it over
			s.addTask(&TakeoverTask{Life: previous, At: s.Version})
		}
	case m.Alive && m.Token == c.Token: // a retry of the same process, which did not receive the first response
		return nil
	case m.Alive && !c.Fenced:
		return ErrNameInUse
	case m.Alive:
		s.fence(name, m)
	}
	s.Members[name] = &Member{
		Life: max(m.Life, c.Life.Number) + 1, Alive: true, Token: c.Token, Address: c.Address, Zone: c.Zone, Region: c.Region,
		Leaving: m.Leaving, Lost: !c.Whole && m.Life > 0, Changed: s.Version, Version: c.Version, Capacity: c.Space,
	}
	s.markChanged(MemberKey(name))
	s.inheritTasks(previous, Incarnation{name, s.Members[name].Life}, c.Whole)
	return nil
}

// lastEpoch returns the highest epoch of a name among the takeover tasks. A name that was removed and comes back
// continues from there; otherwise two of its incarnations would be identical.
func (s *State) lastEpoch(name string) (number uint64) {
	for _, j := range s.Jobs {
		if j.Life.Name == name {
			number = max(number, j.Life.Number)
		}
	}
	return number
}

// inheritTasks assigns the unfinished tasks of earlier incarnations to a new one, as far as its folder has their
// messages.
func (s *State) inheritTasks(previous, current Incarnation, whole bool) {
	for _, j := range s.Jobs {
		switch {
		case j.Life.Name != current.Name || j.Done:
		case j.Life == previous && whole:
			s.editTask(j.Life).Taker = current
		case j.Life.Number > previous.Number && len(j.Keepers) == 0:
			// The folder belongs to an earlier incarnation, and this one never had a replica: it was fenced before it
			// had replicated what it found, or lost its folder. None of its messages are left to take over.
			settled := s.editTask(j.Life)
			settled.Taker, settled.Done = current, true
		}
	}
}

func (s *State) fence(name string, m *Member) {
	incarnation := Incarnation{name, m.Life}
	for _, j := range s.Jobs { // any replica may take over what it had not finished
		if j.Taker == incarnation && !j.Done {
			s.editTask(j.Life).Taker = Incarnation{}
		}
	}
	s.addTask(&TakeoverTask{Life: incarnation, Keepers: m.Keepers, At: s.Version})
	fenced := s.editMember(name)
	fenced.Alive, fenced.Keepers = false, nil
	s.pruneTasks(name)
}

// pruneTasks drops the oldest completed takeover tasks of a name beyond the bound.
func (s *State) pruneTasks(name string) {
	done := 0
	for i := len(s.Jobs) - 1; i >= 0; i-- {
		if j := s.Jobs[i]; j.Life.Name == name && j.Done {
			if done++; done > maxCompletedTasks {
				s.markDeleted(taskKey(j.Life))
				s.Jobs = slices.Delete(s.Jobs, i, i+1)
			}
		}
	}
}

// TakeoverTask returns the task of an incarnation; nil if that was not fenced, or if its task was pruned.
func (s *State) TakeoverTask(l Incarnation) *TakeoverTask {
	for _, j := range s.Jobs {
		if j.Life == l {
			return j
		}
	}
	return nil
}

// CurrentOwner returns the incarnation that owns the messages of l now: l itself while it is alive, else its successor,
// or the successor of that. It is zero while a takeover is not completed, and if the task was pruned.
func (s *State) CurrentOwner(l Incarnation) Incarnation {
	for range len(s.Jobs) + 1 {
		if s.Alive(l) {
			return l
		}
		j := s.TakeoverTask(l)
		if j == nil || !j.Done {
			return Incarnation{}
		}
		l = j.Taker
	}
	return Incarnation{}
}

// Alive reports whether an incarnation has not been fenced.
func (s *State) Alive(l Incarnation) bool {
	m := s.Members[l.Name]
	return m != nil && m.Alive && m.Life == l.Number
}

// Clone returns a copy to which commands can be applied without changing the original.
func (s *State) Clone() *State {
	out := *s
	out.Members, out.Revisions, out.Deleted = maps.Clone(s.Members), maps.Clone(s.Revisions), maps.Clone(s.Deleted)
	out.Entries = maps.Clone(s.Entries)
	out.Jobs, out.changedKeys = slices.Clone(s.Jobs), nil
	return &out
}

// Names returns the names of the members, sorted.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.Members)) }

// RankReplicas returns the candidates for a member's replicas, best first. They are ranked by rendezvous hashing, so
// that a change of the fleet moves few copies, with the best one of another zone in front. Members that are fenced,
// leaving or refused by usable are left out.
func (s *State) RankReplicas(owner string, usable func(string) bool) []string {
	own := s.Members[owner]
	if own == nil {
		return nil
	}
	type candidate struct {
		name   string
		weight uint64
	}
	var candidates []candidate
	for name, m := range s.Members {
		if name != owner && m.Alive && !m.Leaving && (usable == nil || usable(name)) {
			candidates = append(candidates, candidate{name, xxh3.HashString(owner + "\x00" + name)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.name, b.name)) })
	list := make([]string, len(candidates))
	for i, c := range candidates {
		list[i] = c.name
	}
	for i, name := range list {
		if s.Members[name].Zone != own.Zone {
			list = slices.Insert(slices.Delete(list, i, i+1), 0, name)
			break
		}
	}
	return list
}
