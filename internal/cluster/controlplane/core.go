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
	electionTicks       = 10
	heartbeatTicks      = 1
	maxMessageBytes     = 256 << 10 // of one Raft message
	maxInflightMessages = 64
	entriesPerSnapshot  = 512 // commands between two snapshots
	firstIndex          = 1   // index of the snapshot that every voter starts with
	retainedEntries     = 64  // entries kept before a snapshot, for voters that lag slightly
)

// ID returns the Raft node ID of the voter with a name.
func ID(name string) uint64 { return max(1, xxh3.HashString(name)) }

// DurableState is what has to be on disk before the messages of the same step are sent.
type DurableState struct {
	Hard     raftpb.HardState
	Entries  []raftpb.Entry
	Snapshot raftpb.Snapshot // empty for none; replaces all entries up to its index,
	Reset    bool            // and those after it too: it came from the leader, and the local log has diverged
}

// Empty reports whether there is nothing to save.
func (d DurableState) Empty() bool {
	return raft.IsEmptyHardState(d.Hard) && len(d.Entries) == 0 && raft.IsEmptySnap(d.Snapshot)
}

// Applied is a committed command that was applied, with the reason if it changed nothing.
type Applied struct {
	Version uint64
	Ticket  uint64 // set by the proposer; see Propose
	Command Command
	Err     error
}

// Step is the work that results from Raft's progress: Persist has to be saved before Send is sent. Applied and
// Confirmed complete pending requests.
type Step struct {
	Persist   DurableState
	Send      []raftpb.Message
	Applied   []Applied
	Confirmed []uint64 // tickets of ConfirmLeadership that have been answered
}

// entry is a command as stored in the Raft log.
type entry struct {
	Ticket  uint64  `cbor:"1,keyasint,omitempty"`
	Command Command `cbor:"2,keyasint,omitzero"`
}

// Core is one voter's part of the consensus group: a state machine that takes events and returns work from Ready. It
// has no clock, no socket and no goroutine. Equal events give equal steps, except for Raft's randomized election
// timeouts.
type Core struct {
	id              uint64
	name            string
	configured      []Voter           // from the settings
	voters          []Voter           // the latest voters known here,
	votersVersion   uint64            // as of this State.Council
	nameByID        map[uint64]string // of voters
	node            *raft.RawNode
	storage         *raft.MemoryStorage
	conf            raftpb.ConfState
	state           *State
	log             *changelog.Log[Item] // the same state, for watchers
	applied         uint64
	snapshotIndex   uint64
	confirmations   []confirmation // read indices that are not applied yet
	needsRejoin     bool           // it started empty, or has lost state, and has not heard from all other voters since
	empty           bool           // it started with an empty folder
	outsideGroup    bool           // it is not in the list of voters
	required        VoterStatus    // what it has to have before it may vote
	votingSuspended bool           // it neither votes nor campaigns
}

// VoterStatus is how far a voter is.
type VoterStatus struct {
	Blank  bool // its state is lost, or it started empty and does not know whether it ever had any
	Term   uint64
	Commit uint64
}

type confirmation struct {
	ticket uint64
	index  uint64
}

// noLog discards Raft's own log; what matters of it is available through the core.
var noLog = &raft.DefaultLogger{Logger: log.New(discard{}, "", 0)}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// initialSnapshot returns the initial snapshot that all voters of a new group start with.
func initialSnapshot(names []string) (raftpb.Snapshot, error) {
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

// NewCore starts a voter with the state that an earlier run has stored; stored is empty if there is none. voters are
// the initial voters of the group; a group that was rebuilt or changed has stored its own. A process that is not among
// the voters stays outside the group until the group adds it.
func NewCore(name string, voters []Voter, stored DurableState) (*Core, error) {
	c := &Core{id: ID(name), name: name, configured: voters}
	if err := checkDistinct(append(slices.Clone(voters), Voter{Name: name})); err != nil {
		return nil, err
	}
	var names []string
	for _, v := range voters {
		names = append(names, v.Name)
	}
	c.setVoters(voters, 0)
	c.empty = raft.IsEmptyHardState(stored.Hard) && raft.IsEmptySnap(stored.Snapshot)
	if raft.IsEmptySnap(stored.Snapshot) && !(c.empty && c.outsideGroup) {
		var err error
		if stored.Snapshot, err = initialSnapshot(names); err != nil {
			return nil, err
		}
	}
	if err := c.start(stored); err != nil {
		return nil, err
	}
	c.needsRejoin = c.empty
	c.votingSuspended = c.needsRejoin && (len(c.nameByID) > 1 || c.outsideGroup)
	return c, nil
}

// start creates the Raft node from stored state. Without any it waits for a snapshot of the leader.
func (c *Core) start(stored DurableState) error {
	c.storage, c.state, c.conf, c.applied, c.snapshotIndex = raft.NewMemoryStorage(), NewState(), raftpb.ConfState{}, 0, 0
	c.log = changelog.NewLog(0, 0, 2*maxDeletions, changeSize)
	if !raft.IsEmptySnap(stored.Snapshot) {
		if err := c.storage.ApplySnapshot(stored.Snapshot); err != nil {
			return fmt.Errorf("controlplane: snapshot: %w", err)
		}
		if raft.IsEmptyHardState(stored.Hard) {
			stored.Hard = raftpb.HardState{Term: 1}
		}
		stored.Hard.Commit = max(stored.Hard.Commit, stored.Snapshot.Metadata.Index)
		if err := c.storage.SetHardState(stored.Hard); err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		if err := c.storage.Append(stored.Entries); err != nil {
			return fmt.Errorf("controlplane: %w", err)
		}
		if err := c.restore(stored.Snapshot); err != nil {
			return err
		}
		if last := c.LastIndex(); stored.Hard.Commit > last { // the folder has lost entries that this voter acknowledged, so it must not vote
			return fmt.Errorf("controlplane: the log ends at %d, but %d was committed: rolled back or damaged", last, stored.Hard.Commit)
		}
	}
	var err error
	c.node, err = raft.NewRawNode(&raft.Config{
		ID: c.id, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: c.storage, Applied: c.applied,
		MaxSizePerMsg: maxMessageBytes, MaxInflightMsgs: maxInflightMessages, CheckQuorum: true, PreVote: true, Logger: noLog,
		MaxUncommittedEntriesSize: 4 << 20, ReadOnlyOption: raft.ReadOnlySafe, StepDownOnRemoval: true,
	})
	if err != nil {
		return fmt.Errorf("controlplane: %w", err)
	}
	return nil
}

func (c *Core) restore(s raftpb.Snapshot) error {
	state, err := decodeState(s.Data)
	if err != nil {
		return err
	}
	if c.log, err = state.changeLog(); err != nil {
		return err
	}
	c.state, c.conf = state, s.Metadata.ConfState
	c.applied, c.snapshotIndex = s.Metadata.Index, s.Metadata.Index
	c.setVoters(state.Founders, state.Council)
	return nil
}

func encode(v any) ([]byte, error) {
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		return nil, fmt.Errorf("controlplane: %w", err)
	}
	return b.Bytes(), nil
}

func decodeState(data []byte) (*State, error) {
	s := NewState()
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(s); err != nil {
		return nil, fmt.Errorf("controlplane: state: %w", err)
	}
	if s.Members == nil {
		s.Members = map[string]*Member{}
	}
	s.assignRevisions()
	return s, nil
}

// Tick advances Raft's clock by one tick.
func (c *Core) Tick() {
	if !c.votingSuspended && !c.outsideGroup { // ticking could start an election
		c.node.Tick()
	}
}

// suspendVoting suspends voting after the folder turned out to have less than this voter has acknowledged.
func (c *Core) suspendVoting() { c.votingSuspended, c.needsRejoin = true, true }

// LastIndex returns the index of the last entry in the log.
func (c *Core) LastIndex() uint64 {
	last, _ := c.storage.LastIndex()
	return last
}

// YieldLeadership transfers leadership away if this voter leads and has a voter's log further along than last, the
// index that the voter itself reports. A Raft leader never lowers what a follower has acknowledged; its successor
// probes anew.
func (c *Core) YieldLeadership(id, last uint64) {
	if !c.Leads() {
		return
	}
	if c.node.Status().Progress[id].Match > last {
		c.transferLeadership(id)
	}
}

// Status returns how far this voter is.
func (c *Core) Status() VoterStatus {
	s := c.node.BasicStatus()
	return VoterStatus{Blank: c.votingSuspended, Term: s.Term, Commit: s.Commit}
}

// VotingSuspended reports whether this voter still has to hear from all other voters before it may vote.
func (c *Core) VotingSuspended() bool { return c.votingSuspended && !c.outsideGroup }

// Rejoin takes the status of all other voters for one whose state is lost or empty. A voter that lost its folder has
// forgotten its votes and what it acknowledged. So it processes no message before all others have reported, and votes
// only once it has everything that any of them knows to be committed. If all are blank, the group starts. Otherwise a
// voter without any state takes all of it from the leader, also the list of voters, since the settings may be outdated.
func (c *Core) Rejoin(others []VoterStatus) error {
	if !c.votingSuspended || c.outsideGroup || len(others) < len(c.nameByID)-1 {
		return nil
	}
	c.required = VoterStatus{}
	groupStarted := false
	for _, o := range others {
		if !o.Blank {
			groupStarted = groupStarted || o.Commit > firstIndex // by a majority that did not include this voter
			c.required.Term, c.required.Commit = max(c.required.Term, o.Term), max(c.required.Commit, o.Commit)
		}
	}
	if groupStarted && c.empty && c.needsRejoin {
		if err := c.start(DurableState{}); err != nil {
			return err
		}
	}
	c.needsRejoin = false
	c.resumeVoting()
	return nil
}

// resumeVoting resumes voting once this voter has what it needs.
func (c *Core) resumeVoting() {
	if c.votingSuspended && !c.needsRejoin && c.applied >= c.required.Commit {
		c.votingSuspended = false
	}
}

// Receive processes a message of another voter. Messages that are not meant for this one are dropped.
func (c *Core) Receive(m raftpb.Message) {
	if _, known := c.nameByID[m.From]; !known || c.outsideGroup || m.To != c.id || raft.IsLocalMsg(m.Type) {
		return
	}
	if last, _ := c.storage.LastIndex(); m.Type == raftpb.MsgHeartbeat && m.Commit > last {
		c.suspendVoting() // no voter is told of more than it has acknowledged, so this folder is an older copy of itself
		return
	}
	if c.votingSuspended && (c.needsRejoin || m.Term < c.required.Term || m.Type == raftpb.MsgVote || m.Type == raftpb.MsgPreVote) {
		return
	}
	_ = c.node.Step(m) // errors are about late or stray messages, which change nothing here
}

// Unreachable reports that a message to a voter was lost.
func (c *Core) Unreachable(id uint64) { c.node.ReportUnreachable(id) }

// SnapshotSent reports whether a snapshot was delivered.
func (c *Core) SnapshotSent(id uint64, ok bool) {
	status := raft.SnapshotFinish
	if !ok {
		status = raft.SnapshotFailure
	}
	c.node.ReportSnapshot(id, status)
}

// ErrNotLeader is returned for what only the leader can do. Peers of all versions compare its text, which must not
// change.
var ErrNotLeader = errors.New("council: not the leader")

// Propose proposes a command. If it is committed, Applied returns its outcome under the same ticket.
func (c *Core) Propose(ticket uint64, cmd Command) error {
	if !c.Leads() {
		return ErrNotLeader
	}
	data, err := encodeEntry(entry{ticket, cmd})
	if err != nil {
		return err
	}
	if err := c.node.Propose(data); err != nil {
		return fmt.Errorf("controlplane: %w", err)
	}
	return nil
}

// ConfirmLeadership asks a majority whether this voter still leads. Confirmed contains the ticket once a majority has
// agreed after this call and everything committed before it is applied.
func (c *Core) ConfirmLeadership(ticket uint64) error {
	if !c.Leads() {
		return ErrNotLeader
	}
	c.node.ReadIndex(fmt.Appendf(nil, "%d", ticket))
	return nil
}

// Leads reports whether this voter considers itself the leader.
func (c *Core) Leads() bool { return c.node.BasicStatus().RaftState == raft.StateLeader }

// Leader returns the name of the leader as far as this voter knows, or "".
func (c *Core) Leader() string { return c.nameByID[c.node.BasicStatus().Lead] }

// Term returns the current Raft term.
func (c *Core) Term() uint64 { return c.node.BasicStatus().Term }

// State returns the committed state, which belongs to the core.
func (c *Core) State() *State { return c.state }

// Log returns the same state as a change log, which belongs to the core.
func (c *Core) Log() *changelog.Log[Item] { return c.log }

// HasReady reports whether Ready has work.
func (c *Core) HasReady() bool { return c.node.HasReady() }

// Ready returns the work to do. The returned function has to be called after Persist is saved and Send is handed over.
func (c *Core) Ready() (Step, func(), error) {
	rd := c.node.Ready()
	step := Step{Persist: DurableState{Hard: rd.HardState, Entries: rd.Entries, Snapshot: rd.Snapshot}, Send: rd.Messages}
	if step.Persist.Reset = !raft.IsEmptySnap(rd.Snapshot); step.Persist.Reset {
		if err := c.storage.ApplySnapshot(rd.Snapshot); err != nil {
			return step, nil, fmt.Errorf("controlplane: snapshot: %w", err)
		}
		if err := c.restore(rd.Snapshot); err != nil {
			return step, nil, err
		}
	}
	if err := c.storage.Append(rd.Entries); err != nil {
		return step, nil, fmt.Errorf("controlplane: %w", err)
	}
	if !raft.IsEmptyHardState(rd.HardState) {
		if err := c.storage.SetHardState(rd.HardState); err != nil {
			return step, nil, fmt.Errorf("controlplane: %w", err)
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
				return step, nil, fmt.Errorf("controlplane: change %d: %w", e.Index, err)
			}
			data = change.Context
		}
		if len(data) == 0 {
			continue // a new leader's first entry
		}
		var in entry
		a := Applied{Version: e.Index}
		if err := decodeEntry(data, &in); err != nil {
			a.Err = fmt.Errorf("controlplane: command %d: %w", e.Index, err) // the same error on all voters
		} else {
			a.Ticket, a.Command = in.Ticket, in.Command
			a.Err = c.state.Apply(e.Index, in.Command)
			if err := c.state.publish(c.log); err != nil {
				return step, nil, err
			}
		}
		if e.Type == raftpb.EntryConfChangeV2 && a.Err == nil {
			c.conf, changed = *c.node.ApplyConfChange(change), true
			c.setVoters(c.state.Founders, c.state.Council)
		}
		step.Applied = append(step.Applied, a)
	}
	for _, r := range rd.ReadStates {
		var ticket uint64
		if _, err := fmt.Sscan(string(r.RequestCtx), &ticket); err == nil {
			c.confirmations = append(c.confirmations, confirmation{ticket, r.Index})
		}
	}
	c.confirmations = slices.DeleteFunc(c.confirmations, func(w confirmation) bool {
		if w.index > c.applied {
			return false
		}
		step.Confirmed = append(step.Confirmed, w.ticket)
		return true
	})
	c.resumeVoting()
	snap, err := c.snapshot(changed)
	if err != nil {
		return step, nil, err
	}
	if !raft.IsEmptySnap(snap) {
		step.Persist.Snapshot = snap // more recent than a snapshot received in this step, if any
	}
	return step, func() { c.node.Advance(rd) }, nil
}

// snapshot creates a snapshot and compacts the log at intervals, and after every change of the voters: a new voter then
// starts from a snapshot that contains it, and a restart does not depend on the voters in the settings.
func (c *Core) snapshot(changed bool) (raftpb.Snapshot, error) {
	if !changed && c.applied-c.snapshotIndex < entriesPerSnapshot {
		return raftpb.Snapshot{}, nil
	}
	data, err := encode(c.state)
	if err != nil {
		return raftpb.Snapshot{}, err
	}
	s, err := c.storage.CreateSnapshot(c.applied, &c.conf, data)
	if err != nil {
		return s, fmt.Errorf("controlplane: %w", err)
	}
	c.snapshotIndex = c.applied
	if c.applied > retainedEntries {
		if err := c.storage.Compact(c.applied - retainedEntries); err != nil && !errors.Is(err, raft.ErrCompacted) {
			return s, fmt.Errorf("controlplane: %w", err)
		}
	}
	return s, nil
}

// Rebuild turns the stored state of one voter into the start of a new group, for an operator who has permanently lost a
// majority. Everything that this voter knows to be committed is kept; what only the lost voters knew is gone, so the
// voter with the longest log should be used. Versions jump, so that nothing of the old group is taken for newer.
func Rebuild(stored DurableState, voters []string) (DurableState, error) {
	if raft.IsEmptySnap(stored.Snapshot) { // its log goes back to the start of the group
		var err error
		if stored.Snapshot, err = initialSnapshot(voters); err != nil {
			return DurableState{}, err
		}
	}
	state, err := decodeState(stored.Snapshot.Data)
	if err != nil {
		return DurableState{}, err
	}
	index, term := stored.Snapshot.Metadata.Index, max(stored.Hard.Term, stored.Snapshot.Metadata.Term)
	for _, e := range stored.Entries { // also entries of which it is unknown whether they were committed: somebody requested them
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
		return DurableState{}, errors.New("controlplane: no versions left")
	}
	s, err := initialSnapshot(voters)
	if err != nil {
		return DurableState{}, err
	}
	s.Metadata.Index, s.Metadata.Term = index+1<<20, term+1<<10
	state.Version, state.Founders, state.Council = s.Metadata.Index, nil, s.Metadata.Index // nil: those of the settings
	state.Deleted, state.Floor = nil, s.Metadata.Index                                     // watchers may know what only the lost voters knew
	state.markChanged(votersKey)
	if s.Data, err = encode(state); err != nil {
		return DurableState{}, err
	}
	return DurableState{Hard: raftpb.HardState{Term: s.Metadata.Term, Commit: s.Metadata.Index}, Snapshot: s}, nil
}
