package controlplane

import (
	"errors"
	"fmt"
	"slices"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

// The voters can change while the group runs, one at a time. A new one is a learner first and votes once it has caught
// up, so that a slow or absent machine does not hold up the group.

// Voter is a voter or learner of the consensus group.
type Voter struct {
	Name    string `cbor:"1,keyasint,omitempty"`
	Address string `cbor:"2,keyasint,omitempty"`
	Learns  bool   `cbor:"3,keyasint,omitempty"` // a learner: it receives the log, but has no vote yet
}

// MaxVoters bounds the group: more voters make it slower and hardly more reliable.
const MaxVoters = 7

// The reasons for which a change of the voters is refused.
var (
	ErrVoterChange      = errors.New("controlplane: already a voter, or not one")
	ErrTooManyVoters    = errors.New("controlplane: the group already has the maximum number of voters")
	ErrNoMajority       = errors.New("controlplane: the remaining reachable voters would not be a majority")
	ErrChangeInProgress = errors.New("controlplane: another change of the voters is in progress, try again")
)

// checkDistinct returns an error if two names have the same Raft ID. The same name may be in the list twice.
func checkDistinct(list []Voter) error {
	seen := map[uint64]string{}
	for _, v := range list {
		if other, twice := seen[ID(v.Name)]; twice && other != v.Name {
			return fmt.Errorf("controlplane: voters %s and %s have the same ID", v.Name, other)
		}
		seen[ID(v.Name)] = v.Name
	}
	return nil
}

// setVoters sets a later list of voters; an empty one means those of the settings.
func (c *Core) setVoters(list []Voter, version uint64) {
	if version < c.votersVersion {
		return
	}
	if len(list) == 0 {
		list = c.configured
	}
	c.voters, c.votersVersion, c.nameByID, c.outsideGroup = list, version, map[uint64]string{}, true
	for _, v := range list {
		c.nameByID[ID(v.Name)] = v.Name
		c.outsideGroup = c.outsideGroup && v.Name != c.name
	}
}

// UpdateVoters sets the voters as committed at a version. Processes outside the group, and voters that have lost their
// folder, learn of changes this way.
func (c *Core) UpdateVoters(list []Voter, version uint64) {
	if version <= c.votersVersion {
		return
	}
	c.setVoters(list, version)
	if !c.outsideGroup && c.empty && c.needsRejoin && slices.ContainsFunc(list, func(v Voter) bool { return v.Name == c.name && v.Learns }) {
		c.needsRejoin, c.votingSuspended = false, false // it is new, so it has no state that it could have lost
	}
}

// Voters returns the voters and learners, as far as this process knows.
func (c *Core) Voters() []Voter { return c.voters }

// OutsideGroup reports whether this process is neither a voter nor a learner.
func (c *Core) OutsideGroup() bool { return c.outsideGroup }

// ChangeVoters proposes to add a member as a learner, to promote a learner to a voter (on, if it is already listed), or
// to remove a voter. If the change is committed, Applied returns its outcome. Only a leader can propose it; a leader
// that is to be removed transfers leadership first.
func (c *Core) ChangeVoters(ticket uint64, v Voter, on bool) error {
	if !c.Leads() {
		return ErrNotLeader
	}
	at := slices.IndexFunc(c.voters, func(x Voter) bool { return x.Name == v.Name })
	list := slices.Clone(c.voters)
	kind := raftpb.ConfChangeAddLearnerNode
	switch {
	case on && at < 0:
		v.Learns = true
		if err := checkDistinct(append(list, v)); err != nil {
			return err
		}
		if len(list) >= MaxVoters {
			return ErrTooManyVoters
		}
		list = append(list, v)
	case on && list[at].Learns:
		kind = raftpb.ConfChangeAddNode
		list[at].Learns = false
	case !on && at >= 0:
		kind = raftpb.ConfChangeRemoveNode
		if !list[at].Learns && !c.majorityWithout(v.Name) {
			return ErrNoMajority
		}
		if v.Name == c.name {
			c.transferLeadership(0)
			return ErrNotLeader
		}
		list = slices.Delete(list, at, at+1)
	default:
		return ErrVoterChange
	}
	data, err := encodeEntry(entry{ticket, Command{Kind: ChangeVoters, Life: Incarnation{Name: v.Name}, On: on, From: c.state.Council, Council: list}})
	if err != nil {
		return err
	}
	change := raftpb.ConfChangeV2{Changes: []raftpb.ConfChangeSingle{{Type: kind, NodeID: ID(v.Name)}}, Context: data}
	if err := c.node.ProposeConfChange(change); err != nil {
		return fmt.Errorf("controlplane: %w", err)
	}
	return nil
}

// majorityWithout reports whether a majority of the voters can be reached without one of them.
func (c *Core) majorityWithout(without string) bool {
	status := c.node.Status()
	voters, active := 0, 0
	for _, v := range c.voters {
		if v.Learns || v.Name == without {
			continue
		}
		voters++
		if id := ID(v.Name); id == c.id || status.Progress[id].RecentActive {
			active++
		}
	}
	return 2*active > voters
}

// CaughtUpLearners returns the learners that have every committed entry.
func (c *Core) CaughtUpLearners() (out []Voter) {
	if !slices.ContainsFunc(c.voters, func(v Voter) bool { return v.Learns }) || !c.Leads() {
		return nil
	}
	status := c.node.Status()
	for _, v := range c.voters {
		if p, known := status.Progress[ID(v.Name)]; v.Learns && known && p.RecentActive && p.Match >= status.Commit {
			out = append(out, v)
		}
	}
	return out
}

// transferLeadership transfers leadership to the voter with the longest log, except exclude; 0 excludes none.
func (c *Core) transferLeadership(exclude uint64) {
	best, match := uint64(0), uint64(0)
	for other, p := range c.node.Status().Progress {
		if other != exclude && other != c.id && !p.IsLearner && (best == 0 || p.Match > match) {
			best, match = other, p.Match
		}
	}
	if best != raft.None {
		c.node.TransferLeader(best)
	}
}
