// Package controlplane is what the forwarders of a fleet decide in common: who belongs, which life of each is the one that counts,
// who keeps counted copies for whom, and who takes over what an ended life owed. A few of them hold a Raft group for it; the
// rest follow. No message on its way waits for any of this.
//
// State is the decided value, changed by commands alone and equal on all that have applied the same ones. Leases is what only
// the leader knows. Core runs Raft without a clock, a socket or a goroutine; Server drives it.
package controlplane

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/xxh3"
)

// Incarnation names one life of one forwarder: from the council's word that it begins to its word that it has ended. Numbers only grow.
type Incarnation struct {
	Name   string `cbor:"1,keyasint,omitempty"`
	Number uint64 `cbor:"2,keyasint,omitempty"`
}

func (l Incarnation) String() string { return fmt.Sprintf("%s/%d", l.Name, l.Number) }

// Member is a forwarder that belongs to the fleet.
type Member struct {
	Life     uint64   `cbor:"1,keyasint,omitempty"` // the latest
	Alive    bool     `cbor:"2,keyasint,omitempty"` // it has not ended
	Token    string   `cbor:"3,keyasint,omitempty"` // of the folder that it began with; tells two processes of one name apart
	Address  string   `cbor:"4,keyasint,omitempty"` // of its links
	Zone     string   `cbor:"5,keyasint,omitempty"`
	Region   string   `cbor:"6,keyasint,omitempty"`
	Leaving  bool     `cbor:"7,keyasint,omitempty"`  // keeps no copies any more and is counted by nobody
	Keepers  []string `cbor:"8,keyasint,omitempty"`  // whose copies count for this life
	Lost     bool     `cbor:"9,keyasint,omitempty"`  // it came back without its folder
	Changed  uint64   `cbor:"10,keyasint,omitempty"` // at which its keepers were last decided
	Version  int      `cbor:"11,keyasint,omitempty"` // of the program
	Capacity int64    `cbor:"12,keyasint,omitempty"` // bytes that it has for copies; 0 is not told
}

// TakeoverTask is the taking over of what an ended life owed.
type TakeoverTask struct {
	Life    Incarnation `cbor:"1,keyasint,omitzero"`
	Keepers []string    `cbor:"2,keyasint,omitempty"` // whose copies counted at its end
	Taker   Incarnation `cbor:"3,keyasint,omitzero"`  // zero while nobody is left who has a copy
	Done    bool        `cbor:"4,keyasint,omitempty"` // what was owed is the taker's from here on
	At      uint64      `cbor:"5,keyasint,omitempty"` // when it ended
}

// State is what has been decided. Version is the last command applied to it. Members and jobs are replaced when they change, never
// changed in place: copies of a state share them.
type State struct {
	Version uint64
	Members map[string]*Member
	Jobs    []*TakeoverTask // oldest first
	Plan    Plan            // of where traffic goes
	// Founders are who holds the council since that was changed, as of version Council; none where it is as it began.
	Founders []Voter
	Council  uint64
	// Entries are the configuration by key, and Configured the version at which any of them last changed.
	Entries    map[string]*ConfigEntry
	Configured uint64
	EntryBytes int // of keys and contents; only processes that apply commands count them
	// Revisions are the versions at which keys last changed, and Deleted those at which keys ceased to be, as far as that is remembered:
	// every deletion behind Floor. See Item.
	Revisions map[string]uint64
	Deleted   map[string]uint64
	Floor     uint64

	touched []string // keys that the latest command has changed
}

// Plan is what is decided of where traffic goes. What it says is for package plan.
type Plan struct {
	Number     uint64   `cbor:"1,keyasint,omitempty"` // of the plan; 0 is none
	Content    []byte   `cbor:"2,keyasint,omitempty"` // never changed
	Evacuating []string `cbor:"3,keyasint,omitempty"` // places that operators have ordered empty, in their order
	Frozen     bool     `cbor:"4,keyasint,omitempty"` // operators have ordered that it stays as it is
	Ordered    uint64   `cbor:"5,keyasint,omitempty"` // the version of the latest order
}

// mostJobs bounds what is remembered of a name's lives that are done with. A message remembers whose it was by them, so they have to
// last longer than a forwarder that is restarted again and again holds one.
const mostJobs = 64

// NewState is that of a fleet without members.
func NewState() *State {
	return &State{Members: map[string]*Member{}, Entries: map[string]*ConfigEntry{}, Revisions: map[string]uint64{}, Deleted: map[string]uint64{}}
}

// Kind says what a command does.
type Kind int

// The commands.
const (
	Join             Kind = iota + 1 // a process begins a life, and ends the one before
	Fence                            // a life has ended: its lease is over, and it gets no other
	AssignTakeover                   // somebody takes over an ended life
	CompleteTakeover                 // who takes over has all that was owed, with copies of it
	SetReplicas                      // whose copies count is changed
	Drain                            // a member is to be drained, or not any more
	Remove                           // a member that has ended belongs no longer
	SetPlan                          // the next plan of where traffic goes
	Evacuate                         // a place is to be empty of traffic, or not any more
	Freeze                           // the plan stays as it is, or not any more
	ChangeVoters                     // a member belongs to the council's founders, or not any more
	Configure                        // configuration entries are set or deleted
)

// Command is a change that is asked for. Fields that its kind does not name are ignored.
type Command struct {
	Kind    Kind          `cbor:"1,keyasint,omitempty"`
	Life    Incarnation   `cbor:"2,keyasint,omitzero"`   // Join: Number is the one in its folder, 0 for none
	Whole   bool          `cbor:"3,keyasint,omitempty"`  // Join: its folder still has the journal of that life
	Fenced  bool          `cbor:"4,keyasint,omitempty"`  // Join: the life before can do nothing any more; else Join is refused while that lives
	Token   string        `cbor:"5,keyasint,omitempty"`  // Join: drawn by the process
	Past    string        `cbor:"6,keyasint,omitempty"`  // Join: that of the process which last had its folder
	Address string        `cbor:"7,keyasint,omitempty"`  // Join
	Zone    string        `cbor:"8,keyasint,omitempty"`  // Join
	Region  string        `cbor:"9,keyasint,omitempty"`  // Join
	Version int           `cbor:"10,keyasint,omitempty"` // Join
	Space   int64         `cbor:"11,keyasint,omitempty"` // Join
	Taker   Incarnation   `cbor:"12,keyasint,omitzero"`  // Assign, Done
	From    uint64        `cbor:"13,keyasint,omitempty"` // Keepers: Changed of what it replaces. Propose: the plan's number. Evacuate, Freeze: Ordered, as the operator saw it. Found: Council. Configure: Configured, as the operator saw it
	Set     []string      `cbor:"14,keyasint,omitempty"` // Keepers
	On      bool          `cbor:"15,keyasint,omitempty"` // Leave, Evacuate, Freeze, Found
	Number  uint64        `cbor:"16,keyasint,omitempty"` // Propose
	Content []byte        `cbor:"17,keyasint,omitempty"` // Propose
	Place   string        `cbor:"18,keyasint,omitempty"` // Evacuate
	Council []Voter       `cbor:"19,keyasint,omitempty"` // Found: all, as they are to be
	Entries []EntryChange `cbor:"20,keyasint,omitempty"` // Configure: each key once
}

// The reasons for which a command changes nothing.
var (
	ErrNameInUse = errors.New("council: that name's life goes on in another process")
	ErrUnknown   = errors.New("council: no such life")
	ErrFenced    = errors.New("council: that life has ended")
	ErrConflict  = errors.New("council: something else was decided before")
)

// Apply carries a command out at a version, which only grows. An error says why nothing was changed.
func (s *State) Apply(version uint64, c Command) error {
	if version <= s.Version {
		return nil // it is in here already
	}
	s.Version = version
	s.touched = nil
	switch c.Kind {
	case Join:
		return s.join(c)
	case Fence:
		m := s.Members[c.Life.Name]
		if m == nil || m.Life != c.Life.Number {
			return ErrUnknown
		}
		if m.Alive {
			s.end(c.Life.Name, m)
		}
	case AssignTakeover:
		j, taker := s.TakeoverTask(c.Life), s.Members[c.Taker.Name]
		switch {
		case j == nil || taker == nil:
			return ErrUnknown
		case !taker.Alive || taker.Life != c.Taker.Number:
			return ErrFenced
		case j.Done || j.Taker.Number > 0 && j.Taker != c.Taker:
			return ErrConflict
		}
		s.changeJob(c.Life).Taker = c.Taker
	case CompleteTakeover:
		j, taker := s.TakeoverTask(c.Life), s.Members[c.Taker.Name]
		switch {
		case j == nil || taker == nil:
			return ErrUnknown
		case j.Taker != c.Taker:
			return ErrConflict
		case !taker.Alive || taker.Life != c.Taker.Number:
			return ErrFenced
		}
		s.changeJob(c.Life).Done = true
	case SetReplicas:
		m := s.Members[c.Life.Name]
		switch {
		case m == nil || m.Life != c.Life.Number || !m.Alive:
			return ErrFenced
		case m.Changed != c.From:
			return ErrConflict
		}
		m = s.changeMember(c.Life.Name)
		m.Keepers, m.Changed = slices.Clone(c.Set), version
	case Drain:
		m := s.Members[c.Life.Name]
		if m == nil {
			return ErrUnknown
		}
		s.changeMember(c.Life.Name).Leaving = c.On
	case Remove:
		m := s.Members[c.Life.Name]
		if m == nil {
			return ErrUnknown
		}
		if m.Alive || slices.ContainsFunc(s.Jobs, func(j *TakeoverTask) bool { return j.Life.Name == c.Life.Name && !j.Done }) {
			return ErrConflict
		}
		delete(s.Members, c.Life.Name)
		s.drop(MemberKey(c.Life.Name))
	case SetPlan:
		if c.From != s.Plan.Number || c.Number <= c.From {
			return ErrConflict
		}
		s.Plan.Number, s.Plan.Content = c.Number, c.Content
		s.touch(planKey)
	case Evacuate, Freeze:
		if c.From != s.Plan.Ordered { // of two operators at once one wins, and the other is told
			return ErrConflict
		}
		s.Plan.Ordered = version
		s.touch(planKey)
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
		s.Founders, s.Council = c.Council, version // never changed in place
		s.touch(votersKey)
	case Configure:
		return s.configure(c)
	default: // of a later version: counted, not understood
	}
	return nil
}

// join begins a life. Numbers grow over lost folders too; what an earlier life of it owed goes to the new one where that
// has the journal, since no copy is fuller.
func (s *State) join(c Command) error {
	name := c.Life.Name
	m := s.Members[name]
	had := Incarnation{name, c.Life.Number}
	switch {
	case m == nil:
		m = &Member{Life: s.lastLife(name)}
		if c.Whole && s.TakeoverTask(had) == nil { // it belonged to a council that is gone: nobody here took anything over
			s.addJob(&TakeoverTask{Life: had, At: s.Version})
		}
	case m.Alive && m.Token == c.Token: // asked twice by one process, whose first answer was lost
		return nil
	case m.Alive && !c.Fenced:
		return ErrNameInUse
	case m.Alive:
		s.end(name, m)
	}
	s.Members[name] = &Member{
		Life: max(m.Life, c.Life.Number) + 1, Alive: true, Token: c.Token, Address: c.Address, Zone: c.Zone, Region: c.Region,
		Leaving: m.Leaving, Lost: !c.Whole && m.Life > 0, Changed: s.Version, Version: c.Version, Capacity: c.Space,
	}
	s.touch(MemberKey(name))
	s.inherit(had, Incarnation{name, s.Members[name].Life}, c.Whole)
	return nil
}

// lastLife is the highest number of a life of a name whose takeover is remembered: a name that was removed and comes back goes on from there,
// or two of its lives would be taken for one.
func (s *State) lastLife(name string) (number uint64) {
	for _, j := range s.Jobs {
		if j.Life.Name == name {
			number = max(number, j.Life.Number)
		}
	}
	return number
}

// inherit gives a new life what earlier lives of its name still owe, as far as its folder says so.
func (s *State) inherit(had, mine Incarnation, whole bool) {
	for _, j := range s.Jobs {
		switch {
		case j.Life.Name != mine.Name || j.Done:
		case j.Life == had && whole:
			s.changeJob(j.Life).Taker = mine
		case j.Life.Number > had.Number && len(j.Keepers) == 0:
			// The folder is not that life's, and nobody else ever had a copy: it ended before it had settled what it found, or with
			// its folder. Nothing is left of it that anybody could take over.
			settled := s.changeJob(j.Life)
			settled.Taker, settled.Done = mine, true
		}
	}
}

func (s *State) end(name string, m *Member) {
	life := Incarnation{name, m.Life}
	for _, j := range s.Jobs { // what it had not finished is anybody's who has a copy
		if j.Taker == life && !j.Done {
			s.changeJob(j.Life).Taker = Incarnation{}
		}
	}
	s.addJob(&TakeoverTask{Life: life, Keepers: m.Keepers, At: s.Version})
	ended := s.changeMember(name)
	ended.Alive, ended.Keepers = false, nil
	s.forgetJobs(name)
}

// forgetJobs drops the oldest takeovers of a name that are done with, beyond the bound.
func (s *State) forgetJobs(name string) {
	done := 0
	for i := len(s.Jobs) - 1; i >= 0; i-- {
		if j := s.Jobs[i]; j.Life.Name == name && j.Done {
			if done++; done > mostJobs {
				s.drop(jobKey(j.Life))
				s.Jobs = slices.Delete(s.Jobs, i, i+1)
			}
		}
	}
}

// TakeoverTask is the taking over of a life; nil where that has not ended, or is long done with.
func (s *State) TakeoverTask(l Incarnation) *TakeoverTask {
	for _, j := range s.Jobs {
		if j.Life == l {
			return j
		}
	}
	return nil
}

// CurrentOwner is the life that has what a life owed by now: itself while it goes on, else whoever took over, and took over from that. It
// is zero while a taking over is not done, and where nobody remembers.
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

// Alive says whether a life goes on.
func (s *State) Alive(l Incarnation) bool {
	m := s.Members[l.Name]
	return m != nil && m.Alive && m.Life == l.Number
}

// Clone is a copy that can be changed by commands without changing this one.
func (s *State) Clone() *State {
	out := *s
	out.Members, out.Revisions, out.Deleted = maps.Clone(s.Members), maps.Clone(s.Revisions), maps.Clone(s.Deleted)
	out.Entries = maps.Clone(s.Entries)
	out.Jobs, out.touched = slices.Clone(s.Jobs), nil
	return &out
}

// Names are the members' in their order.
func (s *State) Names() []string { return slices.Sorted(maps.Keys(s.Members)) }

// RankReplicas is who should keep copies for a member, the best first: rendezvous hashing, so that a change of the fleet moves few
// copies, with the best of another zone in front. Who is dead, leaving or refused by usable is not in it.
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
