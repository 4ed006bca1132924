package controlplane

import (
	"bytes"
	"encoding/gob"
	"errors"
	"fmt"
	"log"
	"math"
	"slices"

	"github.com/zeebo/xxh3"
	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/cluster/changelog"
)

const (
	electionTicks  = 10
	heartbeatTicks = 1
	mostAppend     = 256 << 10 // bytes of one message between founders
	mostInflight   = 64
	snapshotEvery  = 512 // commands between two snapshots
	firstIndex     = 1   // of the snapshot that all founders begin with
	retained       = 64  // commands kept behind a snapshot for founders that are a little late
)

// ID is a founder's number in the Raft group.
func ID(name string) uint64 { return max(1, xxh3.HashString(name)) }

// DurableState is what a core has to keep before it speaks: in this order, and all of it when Save has returned.
type DurableState struct {
	Hard     raftpb.HardState
	Entries  []raftpb.Entry
	Snapshot raftpb.Snapshot // empty for none; replaces everything up to its index,
	Reset    bool            // and behind it too: it came from the leader, and the log here had gone another way
}

// Empty says that there is nothing to keep.
func (d DurableState) Empty() bool {
	return raft.IsEmptyHardState(d.Hard) && len(d.Entries) == 0 && raft.IsEmptySnap(d.Snapshot)
}

// Applied is a command that was carried out, with why it changed nothing if it did not.
type Applied struct {
	Version uint64
	Ticket  uint64 // of who proposed it; see Propose
	Command Command
	Err     error
}

// Step is what a core wants done: Keep first, then Send; Applied and Confirmed are for whoever waits.
type Step struct {
	Persist   DurableState
	Send      []raftpb.Message
	Applied   []Applied
	Confirmed []uint64 // askings of Confirm that are answered
}

// entry is a command as it stands in the log.
type entry struct {
	Ticket  uint64  `cbor:"1,keyasint,omitempty"`
	Command Command `cbor:"2,keyasint,omitzero"`
}

// Core is one founder's part in the Raft group: events go in, Ready gives what to do. It has no clock, no socket and no
// goroutine, and equal events give equal steps but for the chance in Raft's own election timeouts.
type Core struct {
	id      uint64
	name    string
	first   []Voter           // that the settings name
	list    []Voter           // as far as this one knows,
	listed  uint64            // as of this State.Council
	names   map[uint64]string // of list
	node    *raft.RawNode
	storage *raft.MemoryStorage
	conf    raftpb.ConfState
	state   *State
	log     *changelog.Log[Item] // the same, for watchers
	applied uint64
	snapped uint64
	waiting []confirmation // read indices that are not applied yet
	blank   bool           // it began without anything, or has forgotten, and has not met all others since
	empty   bool           // it began without anything
	outside bool           // it is none of the founders
	meet    VoterStatus    // what it has to have before it votes
	muted   bool           // it does not vote
}

// VoterStatus is how far a founder is.
type VoterStatus struct {
	Blank  bool // it has nothing, and does not know whether it ever had
	Term   uint64
	Commit uint64
}

type confirmation struct {
	ticket uint64
	index  uint64
}

// quiet keeps Raft's own log away; what matters of it is in Status.
var quiet = &raft.DefaultLogger{Logger: log.New(discard{}, "", 0)}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// founding is the snapshot that every founder of a group begins with.
func founding(names []string) (raftpb.Snapshot, error) {
	s := raftpb.Snapshot{Metadata: raftpb.SnapshotMetadata{Index: firstIndex, Term: 1}}
	for _, name := range names {
		s.Metadata.ConfState.Voters = append(s.Metadata.ConfState.Voters, ID(name))
	}
	slices.Sort(s.Metadata.ConfState.Voters)
	state := NewState()
	state.Version = firstIndex
	var err error
	s.Data, err = encode(state)
	return s, err
}

// NewCore begins, or goes on, with what an earlier run has kept; kept is empty for none. Founders name the group at its
// beginning; one that was rebuilt or changed has its own. Who is none of them is outside, until the group takes it in.
func NewCore(name string, founders []Voter, kept DurableState) (*Core, error) {
	c := &Core{id: ID(name), name: name, first: founders}
	if err := distinct(append(slices.Clone(founders), Voter{Name: name})); err != nil {
		return nil, err
	}
	var names []string
	for _, f := range founders {
		names = append(names, f.Name)
	}
	c.know(founders, 0)
	c.empty = raft.IsEmptyHardState(kept.Hard) && raft.IsEmptySnap(kept.Snapshot)
	if raft.IsEmptySnap(kept.Snapshot) && !(c.empty && c.outside) {
		var err error
		if kept.Snapshot, err = founding(names); err != nil {
			return nil, err
		}
	}
	if err := c.begin(kept); err != nil {
		return nil, err
	}
	c.blank = c.empty
	c.muted = c.blank && (len(c.names) > 1 || c.outside)
	return c, nil
}

// begin makes the Raft node of what is kept; nothing at all makes one that waits for a leader's snapshot.
func (c *Core) begin(kept DurableState) error {
	c.storage, c.state, c.conf, c.applied, c.snapped = raft.NewMemoryStorage(), NewState(), raftpb.ConfState{}, 0, 0
	c.log = changelog.NewLog(0, 0, 2*mostDeletions, changeSize)
	if !raft.IsEmptySnap(kept.Snapshot) {
		if err := c.storage.ApplySnapshot(kept.Snapshot); err != nil {
			return fmt.Errorf("council: snapshot: %w", err)
		}
		if raft.IsEmptyHardState(kept.Hard) {
			kept.Hard = raftpb.HardState{Term: 1}
		}
		kept.Hard.Commit = max(kept.Hard.Commit, kept.Snapshot.Metadata.Index)
		if err := c.storage.SetHardState(kept.Hard); err != nil {
			return fmt.Errorf("council: %w", err)
		}
		if err := c.storage.Append(kept.Entries); err != nil {
			return fmt.Errorf("council: %w", err)
		}
		if err := c.restore(kept.Snapshot); err != nil {
			return err
		}
		if last := c.LastIndex(); kept.Hard.Commit > last { // a folder that lost what it had promised: it must not vote as if it had it
			return fmt.Errorf("council: the log ends at %d, and %d was committed: rolled back or damaged", last, kept.Hard.Commit)
		}
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: c.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: mostAppend, MaxInflightMsgs: mostInflight, CheckQuorum: true, PreVote: true, Logger: quiet,
		MaxUncommittedEntriesSize: 4 << 20, ReadOnlyOption: raft.ReadOnlySafe, StepDownOnRemoval: true,
	})
	if err != nil {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

func (c *Core) restore(s raftpb.Snapshot) error {
	state, err := decodeState(s.Data)
	if err != nil {
		return err
	}
	if c.log, err = state.log(); err != nil {
		return err
	}
	c.state, c.conf = state, s.Metadata.ConfState
	c.applied, c.snapped = s.Metadata.Index, s.Metadata.Index
	c.know(state.Founders, state.Council)
	return nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("council: %w", err)
	}
	return b.Bytes(), nil
}

func decodeState(data []byte) (*State, error) {
	s := NewState()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, fmt.Errorf("council: state: %w", err)
	}
	if s.Members == nil {
		s.Members = map[string]*Member{}
	}
	s.revise()
	return s, nil
}

// Tick is one beat of the group's time.
func (c *Core) Tick() {
	if !c.muted && !c.outside { // it must not ask to lead either
		c.node.Tick()
	}
}

// forgot silences a founder whose folder has less than it once said.
func (c *Core) forgot() { c.muted, c.blank = true, true }

// LastIndex is the index of the latest entry in its log.
func (c *Core) LastIndex() uint64 {
	last, _ := c.storage.LastIndex()
	return last
}

// YieldLeadership has another founder lead, if this one leads and takes one of a number for further along than that says it is: a leader
// never goes back behind what it was told, its successor asks anew.
func (c *Core) YieldLeadership(id, last uint64) {
	if !c.Leads() {
		return
	}
	if c.node.Status().Progress[id].Match > last {
		c.yieldTo(id)
	}
}

// Status tells how far this founder is.
func (c *Core) Status() VoterStatus {
	s := c.node.BasicStatus()
	return VoterStatus{Blank: c.muted, Term: s.Term, Commit: s.Commit}
}

// VotingSuspended says whether this founder still has to meet the others.
func (c *Core) VotingSuspended() bool { return c.muted && !c.outside }

// Rejoin tells a founder that began with an empty folder how far all the others are. One that lost its folder has forgotten whom it
// voted for and what it said it had; so it hears nobody before it knows of all, and votes only when it has whatever any of them
// knows to be decided. Where all are blank the group begins; else who has nothing takes all it has from the leader, the
// group's founders as well: the settings may name others by now.
func (c *Core) Rejoin(others []VoterStatus) error {
	if !c.muted || c.outside || len(others) < len(c.names)-1 {
		return nil
	}
	c.meet = VoterStatus{}
	begun := false
	for _, o := range others {
		if !o.Blank {
			begun = begun || o.Commit > firstIndex // by a majority that was one without this founder
			c.meet.Term, c.meet.Commit = max(c.meet.Term, o.Term), max(c.meet.Commit, o.Commit)
		}
	}
	if begun && c.empty && c.blank {
		if err := c.begin(DurableState{}); err != nil {
			return err
		}
	}
	c.blank = false
	c.speak()
	return nil
}

// speak ends the muting once this founder has what it needs.
func (c *Core) speak() {
	if c.muted && !c.blank && c.applied >= c.meet.Commit {
		c.muted = false
	}
}

// Receive takes a message of another founder; one that can't be meant is dropped.
func (c *Core) Receive(m raftpb.Message) {
	if _, known := c.names[m.From]; !known || c.outside || m.To != c.id || raft.IsLocalMsg(m.Type) {
		return
	}
	if last, _ := c.storage.LastIndex(); m.Type == raftpb.MsgHeartbeat && m.Commit > last {
		c.forgot() // nobody is told of more than it has said it has: this folder is an older copy of itself
		return
	}
	if c.muted && (c.blank || m.Term < c.meet.Term || m.Type == raftpb.MsgVote || m.Type == raftpb.MsgPreVote) {
		return
	}
	_ = c.node.Step(m) // what it says of a message that is late or stray changes nothing here
}

// Unreachable says that a message to a founder got lost.
func (c *Core) Unreachable(id uint64) { c.node.ReportUnreachable(id) }

// SnapshotSent says what became of a snapshot that was sent.
func (c *Core) SnapshotSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// ErrNotLeader is given by what only the leader may do.
var ErrNotLeader = errors.New("council: not the leader")

// Propose asks for a command; Applied tells, by the ticket, what became of it, if anything does.
func (c *Core) Propose(ticket uint64, cmd Command) error {
	if !c.Leads() {
		return ErrNotLeader
	}
	data, err := encodeEntry(entry{ticket, cmd})
	if err != nil {
		return err
	}
	if err := c.node.Propose(data); err != nil {
		return fmt.Errorf("council: %w", err)
	}
	return nil
}

// ConfirmLeadership asks whether this founder still leads; Confirmed names the ticket once a majority has said so after now, and all that
// was decided before is applied.
func (c *Core) ConfirmLeadership(ticket uint64) error {
	if !c.Leads() {
		return ErrNotLeader
	}
	c.node.ReadIndex(fmt.Appendf(nil, "%d", ticket))
	return nil
}

// Leads says whether this founder takes itself for the leader.
func (c *Core) Leads() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// Leader is the leader's name as far as this founder knows, or "".
func (c *Core) Leader() string { return c.names[c.node.BasicStatus().Lead] }

// Term is the group's present term.
func (c *Core) Term() uint64 { return c.node.BasicStatus().Term }

// State is what has been decided; it is the core's own.
func (c *Core) State() *State { return c.state }

// Log is the same as a change log; it is the core's own.
func (c *Core) Log() *changelog.Log[Item] { return c.log }

// HasReady says whether Ready has something.
func (c *Core) HasReady() bool { return c.node.HasReady() }

// Ready gives what is to be done. Done must be called once Keep is kept and Send is on its way.
func (c *Core) Ready() (Step, func(), error) {
	rd := c.node.Ready()
	step := Step{Persist: DurableState{Hard: rd.HardState, Entries: rd.Entries, Snapshot: rd.Snapshot}, Send: rd.Messages}
	if step.Persist.Reset = !raft.IsEmptySnap(rd.Snapshot); step.Persist.Reset {
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return step, nil, fmt.Errorf("council: snapshot: %w", err)
		}
		if err := c.restore(rd.Snapshot); err != nil {
			return step, nil, err
		}
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return step, nil, fmt.Errorf("council: %w", err)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := c.storage.SetHardState(rd.HardState); err != nil {
			return step, nil, fmt.Errorf("council: %w", err)
		}
	}
	changed := false
	for _, e := range rd.CommittedEntries {
		if e.Index <= c.applied {
			continue
		}
		c.applied = e.Index
		data, change := e.Data, raftpb.ConfChangeV2{}
		if e.Type == raftpb.EntryConfChangeV2 {
			if err := change.Unmarshal(e.Data); err != nil {
				return step, nil, fmt.Errorf("council: change %d: %w", e.Index, err)
			}
			data = change.Context
		}
		if len(data) == 0 {
			continue // a new leader's first entry
		}
		var in entry
		a := Applied{Version: e.Index}
		if err := decodeEntry(data, &in); err != nil {
			a.Err = fmt.Errorf("council: command %d: %w", e.Index, err) // on all founders alike
		} else {
			a.Ticket, a.Command = in.Ticket, in.Command
			a.Err = c.state.Apply(e.Index, in.Command)
			if err := c.state.publish(c.log); err != nil {
				return step, nil, err
			}
		}
		if e.Type == raftpb.EntryConfChangeV2 && a.Err == nil {
			c.conf, changed = *c.node.ApplyConfChange(change), true
			c.know(c.state.Founders, c.state.Council)
		}
		step.Applied = append(step.Applied, a)
	}
	for _, r := range rd.ReadStates {
		var ticket uint64
		if _, err := fmt.Sscan(string(r.RequestCtx), &ticket); err == nil {
			c.waiting = append(c.waiting, confirmation{ticket, r.Index})
		}
	}
	c.waiting = slices.DeleteFunc(c.waiting, func(w confirmation) bool {
		if w.index > c.applied {
			return false
		}
		step.Confirmed = append(step.Confirmed, w.ticket)
		return true
	})
	c.speak()
	snap, err := c.snapshot(changed)
	if err != nil {
		return step, nil, err
	}
	if !raft.IsEmptySnap(snap) {
		step.Persist.Snapshot = snap // later than one that came with this very step, if one did
	}
	return step, func() { c.node.Advance(rd) }, nil
}

// snapshot shortens the log now and then, and where the group was changed: whoever is new to it begins with a snapshot that
// names it, and a start needs no word of the settings on who the founders are.
func (c *Core) snapshot(changed bool) (raftpb.Snapshot, error) {
	if !changed && c.applied-c.snapped < snapshotEvery {
		return raftpb.Snapshot{}, nil
	}
	data, err := encode(c.state)
	if err != nil {
		return raftpb.Snapshot{}, err
	}
	s, err := c.storage.CreateSnapshot(c.applied, &c.conf, data)
	if err != nil {
		return s, fmt.Errorf("council: %w", err)
	}
	c.snapped = c.applied
	if c.applied > retained {
		if err := c.storage.Compact(c.applied - retained); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return s, fmt.Errorf("council: %w", err)
		}
	}
	return s, nil
}

// Rebuild makes what a founder has kept the beginning of a new group: for the operator who has lost a majority for good. All
// that this founder knows as decided stays; what only the lost ones knew is gone, so the founder that knows most is the one to
// take. Versions jump, so that nothing of the old group is taken for newer.
func Rebuild(kept DurableState, founders []string) (DurableState, error) {
	if raft.IsEmptySnap(kept.Snapshot) { // its log goes back to the group's beginning
		var err error
		if kept.Snapshot, err = founding(founders); err != nil {
			return DurableState{}, err
		}
	}
	state, err := decodeState(kept.Snapshot.Data)
	if err != nil {
		return DurableState{}, err
	}
	index, term := kept.Snapshot.Metadata.Index, max(kept.Hard.Term, kept.Snapshot.Metadata.Term)
	for _, e := range kept.Entries { // whatever is there, also where nobody knows whether it was decided: it was asked for
		if e.Index <= index {
			continue
		}
		index, term = e.Index, max(term, e.Term)
		var in entry
		if e.Type == raftpb.EntryNormal && len(e.Data) > 0 && decodeEntry(e.Data, &in) == nil {
			_ = state.Apply(e.Index, in.Command)
		}
	}
	if index > math.MaxUint64/2 {
		return DurableState{}, errors.New("council: versions are used up")
	}
	s, err := founding(founders)
	if err != nil {
		return DurableState{}, err
	}
	s.Metadata.Index, s.Metadata.Term = index+1<<20, term+1<<10
	state.Version, state.Founders, state.Council = s.Metadata.Index, nil, s.Metadata.Index // those of the settings
	state.Deleted, state.Floor = nil, s.Metadata.Index                                     // watchers may know what only the lost ones knew
	state.touch(votersKey)
	if s.Data, err = encode(state); err != nil {
		return DurableState{}, err
	}
	return DurableState{Hard: raftpb.HardState{Term: s.Metadata.Term, Commit: s.Metadata.Index}, Snapshot: s}, nil
}
