package controlplane

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// Who holds the council can change while it goes on, one founder at a time. Who is taken in learns first, and votes once it has all that
// is decided: a machine that is slow, or was never there, holds nobody up.

// Voter is one of those who hold the council, or may.
type Voter struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Learns  bool   `cbor:"3,keyasint,omitempty"` // it is told of everything, and does not vote yet
}

// MaxVoters bounds a council: more make it slower and hardly safer.
const MaxVoters = 7

// The reasons for which a council is not changed.
var (
	ErrVoterChange      = errors.New("council: it is one of the founders already, or never was one")
	ErrTooManyVoters    = errors.New("council: there are as many founders as there may be")
	ErrNoMajority       = errors.New("council: the founders that would be left and can be reached are no majority")
	ErrChangeInProgress = errors.New("council: another change of the founders is under way, try again")
)

// distinct says whether founders can be told apart; one that is named twice by the same name can.
func distinct(list []Voter) error {
	seen := map[uint64]string{}
	for _, f := range list {
		if other, twice := seen[ID(f.Name)]; twice && other != f.Name {
			return fmt.Errorf("council: founders %s and %s can't be told apart", f.Name, other)
		}
		seen[ID(f.Name)] = f.Name
	}
	return nil
}

// know takes a later list of founders; none is that of the settings.
func (c *Core) know(list []Voter, version uint64) {
	if version < c.listed {
		return
	}
	if len(list) == 0 {
		list = c.first
	}
	c.list, c.listed, c.names, c.outside = list, version, map[uint64]string{}, true
	for _, f := range list {
		c.names[ID(f.Name)] = f.Name
		c.outside = c.outside && f.Name != c.name
	}
}

// UpdateVoters tells who the founders are, by what was decided up to some version. It is how who is outside, or has lost its folder,
// hears of it.
func (c *Core) UpdateVoters(list []Voter, version uint64) {
	if version <= c.listed {
		return
	}
	c.know(list, version)
	if !c.outside && c.empty && c.blank && slices.ContainsFunc(list, func(f Voter) bool { return f.Name == c.name && f.Learns }) {
		c.blank, c.muted = false, false // it is new: there is nothing that it could have forgotten
	}
}

// Voters are they, as far as this one knows.
func (c *Core) Voters() []Voter { return c.list }

// OutsideGroup says that this is none of them.
func (c *Core) OutsideGroup() bool { return c.outside }

// ChangeVoters proposes that a member is taken in as one who learns, that one who learns votes from here on (On, when it is on the list), or
// that one is a founder no longer; Applied tells what became of it, if anything does. Only a leader may; a leader that is itself to go
// hands that on first.
func (c *Core) ChangeVoters(ticket uint64, f Voter, on bool) error {
	if !c.Leads() {
		return ErrNotLeader
	}
	at := slices.IndexFunc(c.list, func(x Voter) bool { return x.Name == f.Name })
	list := slices.Clone(c.list)
	kind := raftpb.ConfChangeAddLearnerNode
	switch {
	case on && at < 0:
		f.Learns = true
		if err := distinct(append(list, f)); err != nil {
			return err
		}
		if len(list) >= MaxVoters {
			return ErrTooManyVoters
		}
		list = append(list, f)
	case on && list[at].Learns:
		kind = raftpb.ConfChangeAddNode
		list[at].Learns = false
	case !on && at >= 0:
		kind = raftpb.ConfChangeRemoveNode
		if !list[at].Learns && !c.bears(f.Name) {
			return ErrNoMajority
		}
		if f.Name == c.name {
			c.yieldTo(0)
			return ErrNotLeader
		}
		list = slices.Delete(list, at, at+1)
	default:
		return ErrVoterChange
	}
	data, err := encodeEntry(entry{ticket, Command{Kind: ChangeVoters, Life: Incarnation{Name: f.Name}, On: on, From: c.state.Council, Council: list}})
	if err != nil {
		return err
	}
	change := raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: kind, NodeID: ID(f.Name)}}, Context: data}
	if err := c.node.ProposeConfChange(change); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

// bears says whether a majority of those who vote can be reached without one of them.
func (c *Core) bears(without string) bool {
	status := c.node.Status()
	voters, active := 0, 0
	for _, f := range c.list {
		if f.Learns || f.Name == without {
			continue
		}
		voters++
		if id := ID(f.Name); id == c.id || status.Progress[id].RecentActive {
			active++
		}
	}
	return 2*active > voters
}

// CaughtUpLearners names founders who learn and have all that is decided.
func (c *Core) CaughtUpLearners() (out []Voter) {
	if !slices.ContainsFunc(c.list, func(f Voter) bool { return f.Learns }) || !c.Leads() {
		return nil
	}
	status := c.node.Status()
	for _, f := range c.list {
		if p, some := status.Progress[ID(f.Name)]; f.Learns && some && p.RecentActive && p.Match >= status.Commit {
			out = append(out, f)
		}
	}
	return out
}

// yieldTo has another founder lead that votes: the one that is furthest, but for one; 0 is none.
func (c *Core) yieldTo(but uint64) {
	best, match := uint64(0), uint64(0)
	for other, p := range c.node.Status().Progress {
		if other != but && other != c.id && !p.IsLearner && (best == 0 || p.Match > match) {
			best, match = other, p.Match
		}
	}
	if best != raft.None {
		c.node.TransferLeader(best)
	}
}
