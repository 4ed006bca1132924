package controlplane

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/routing/wal/store"
)

// Timing is the timing of the consensus group.
type Timing struct {
	Tick   time.Duration // Raft's tick: an election starts after 10 to 20 of them without a leader
	Lease  time.Duration // how long an incarnation may act after it has sent a lease renewal request
	Margin time.Duration // how much longer the control plane waits before it fences the incarnation
}

// maxMissedTicks is the number of ticks that may be missed before a leader assumes that its process was suspended:
// renewal requests of all members may then be waiting unread.
const maxMissedTicks = 3

// ErrNoLeader is returned while no leader can be found. Peers of all versions compare its text, which must not change.
var ErrNoLeader = errors.New("council: no leader")

// messageTimeout is the timeout of a message between voters; a snapshot takes the longest.
const messageTimeout = 2 * time.Second

// answerTimeout bounds how long a request waits at the leader.
const answerTimeout = 3 * time.Second

// Server runs a voter. The goroutine of Run owns the core.
type Server struct {
	core   *Core
	store  *RaftStore
	timing Timing
	logger zerolog.Logger
	// Dial creates the connection to a voter's address, for this server alone, so that nothing else delays Raft
	// messages.
	Dial func(address string) *links.Peer
	// FurthestReplica asks replicas how far their copies of an incarnation's journal go, and returns the one with the
	// most, or "". It is called in a goroutine of its own.
	FurthestReplica func(ctx context.Context, incarnation Incarnation, replicas []string, s *State) string
	// CheckEntry returns why a configuration entry can't be committed, or nil. It must not block.
	CheckEntry func(key string, content []byte) error

	started             time.Time
	events              chan func()
	done                chan struct{}
	token               uint64 // identifies this process
	ticket              uint64
	leases              Leases
	rollouts            rollouts
	lastTick            time.Duration
	pendingCommands     map[uint64]func(Applied)  // by ticket
	pendingConfirmation map[uint64][]leaseRequest // by ticket of the confirmation
	newLeaseRequests    []leaseRequest            // not sent for confirmation yet
	pendingJoins        map[string]*pendingJoin   // by member name
	ticks               int                       // during this leadership
	selecting           map[Incarnation]bool      // takeover tasks whose replicas are being asked
	senders             map[uint64]*voterSender
	senderVoters        []Voter        // the voters that senders are for
	senderGroup         sync.WaitGroup // goroutines of senders
	voterChangeUntil    time.Duration  // until then a change of the voters may be in progress
	rejoining           bool
	loggedLeader        string // the leader that was last logged
}

// voterSender is the outgoing queue and connection to another voter.
type voterSender struct {
	Voter
	peer   *links.Peer
	out    chan []raftpb.Message
	cancel context.CancelFunc
}

// pendingJoin is a process that waits for the previous incarnation of its name to be fenced.
type pendingJoin struct {
	cmd   Command
	since time.Duration
	reply func(Response)
}

// NewServer returns a server for a core and the store that its state was loaded from.
func NewServer(core *Core, raftStore *RaftStore, t Timing, logger zerolog.Logger) *Server {
	return &Server{
		core: core, store: raftStore, timing: t, Dial: links.NewPeer, logger: logger, started: time.Now(), events: make(chan func(), 256),
		done: make(chan struct{}), token: rand.Uint64(), ticket: rand.Uint64(), leases: Leases{Lease: t.Lease, Margin: t.Margin},
		pendingCommands: map[uint64]func(Applied){}, pendingConfirmation: map[uint64][]leaseRequest{}, pendingJoins: map[string]*pendingJoin{},
		selecting: map[Incarnation]bool{}, senders: map[uint64]*voterSender{},
	}
}

func (s *Server) now() time.Duration { return time.Since(s.started) }

// Run serves until ctx ends. An error is a permanent disk failure, after which this voter must not send anything.
func (s *Server) Run(ctx context.Context) (err error) {
	defer s.senderGroup.Wait()
	defer close(s.done)
	defer func() {
		if r := recover(); r != nil { // Raft panics on an inconsistent log
			err = fmt.Errorf("controlplane: %v", r)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(s.timing.Tick)
	defer tick.Stop()
	for {
		s.syncSenders(ctx)
		select {
		case f := <-s.events:
			f()
		case <-tick.C:
			s.tick(ctx)
		case <-ctx.Done():
			return nil
		}
		for n := len(s.events); n > 0; n-- { // all waiting events share one step, and one sync
			(<-s.events)()
		}
		if s.core.VotingSuspended() && !s.rejoining {
			s.rejoining = true
			s.logger.Warn().Str("part", "council").Msg("this voter's stored state is missing or incomplete: it does not vote until it has reached all other voters")
			go s.rejoin(ctx, s.core.LastIndex(), s.otherPeers())
		}
		s.confirmLeases()
		for s.core.HasReady() {
			if err := s.step(ctx); ctx.Err() != nil {
				return nil
			} else if err != nil {
				return err
			}
		}
	}
}

// syncSenders keeps a sender to each of the other voters, and to nobody else.
func (s *Server) syncSenders(ctx context.Context) {
	if slices.Equal(s.senderVoters, s.core.Voters()) {
		return // the common case
	}
	s.senderVoters = s.core.Voters()
	keep := map[uint64]bool{}
	for _, v := range s.senderVoters {
		id := ID(v.Name)
		if id == s.core.id || s.core.OutsideGroup() {
			continue
		}
		keep[id] = true
		if sender := s.senders[id]; sender != nil && sender.Address == v.Address {
			continue
		} else if sender != nil {
			sender.cancel()
		}
		sender := &voterSender{Voter: v, peer: s.Dial(v.Address), out: make(chan []raftpb.Message, 64)}
		var senderCtx context.Context
		senderCtx, sender.cancel = context.WithCancel(ctx)
		s.senders[id] = sender
		s.senderGroup.Go(func() { s.sendMessages(senderCtx, id, sender) })
	}
	for id, sender := range s.senders {
		if !keep[id] {
			sender.cancel()
			delete(s.senders, id)
		}
	}
}

// otherPeers returns the connections to all other voters.
func (s *Server) otherPeers() (out []*links.Peer) {
	for _, sender := range s.senders {
		out = append(out, sender.peer)
	}
	return out
}

// rejoin asks all other voters for their status until all have answered. It returns if the voters change meanwhile; Run
// then starts it again.
func (s *Server) rejoin(ctx context.Context, last uint64, peers []*links.Peer) {
	defer s.post(func() { s.rejoining = false })
	for ctx.Err() == nil {
		var all []VoterStatus
		for _, peer := range peers {
			var st VoterStatus
			call, cancel := context.WithTimeout(ctx, messageTimeout)
			if peer.Call(call, "Council.Meet", RejoinRequest{s.core.id, last, s.token}, &st) == nil {
				all = append(all, st)
			}
			cancel()
		}
		done := make(chan bool, 1)
		s.post(func() {
			now := s.otherPeers()
			over := len(now) != len(peers) || slices.ContainsFunc(now, func(p *links.Peer) bool { return !slices.Contains(peers, p) })
			if !over && len(all) == len(peers) {
				if err := s.core.Rejoin(all); err != nil {
					s.logger.Error().Str("part", "council").Err(err).Msg("restarting Raft without stored state failed")
				}
				over = !s.core.VotingSuspended()
			}
			last = s.core.LastIndex()
			done <- over
		})
		select {
		case over := <-done:
			if over {
				return
			} // keep asking until this voter has what the others know: a leader may have to yield for it
		case <-s.done:
			return
		}
		select {
		case <-time.After(s.timing.Tick):
		case <-ctx.Done():
		}
	}
}

// sendMessages sends messages to one voter, in order.
func (s *Server) sendMessages(ctx context.Context, id uint64, sender *voterSender) {
	defer sender.peer.Close()
	for {
		select {
		case batch := <-sender.out:
			var raw [][]byte
			snapshot := false
			for _, m := range batch {
				b, err := m.Marshal()
				if err != nil {
					continue
				}
				raw = append(raw, b)
				snapshot = snapshot || m.Type == raftpb.MsgSnap
			}
			call, cancel := context.WithTimeout(ctx, messageTimeout)
			err := sender.peer.Call(call, "Council.Step", raw, new(bool))
			cancel()
			if err != nil || snapshot {
				s.post(func() {
					if snapshot {
						s.core.SnapshotSent(id, err == nil)
					}
					if err != nil {
						s.core.Unreachable(id)
					}
				})
			}
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) post(f func()) bool {
	select {
	case s.events <- f:
		return true
	case <-s.done:
		return false
	}
}

// step does the work that the core has.
func (s *Server) step(ctx context.Context) error {
	step, done, err := s.core.Ready()
	if err != nil {
		return err
	}
	if err := s.persist(ctx, step.Persist); err != nil {
		return err
	}
	batches := map[uint64][]raftpb.Message{}
	for _, m := range step.Send {
		batches[m.To] = append(batches[m.To], m)
	}
	for id, batch := range batches {
		var out chan<- []raftpb.Message
		if sender := s.senders[id]; sender != nil {
			out = sender.out
		}
		select {
		case out <- batch:
		default: // the voter is far behind or unreachable; Raft sends again
			s.core.Unreachable(id)
		}
	}
	done()
	for _, a := range step.Applied {
		s.handleApplied(a)
	}
	for _, t := range step.Confirmed {
		for _, a := range s.pendingConfirmation[t] {
			s.grantLeases(a)
		}
		delete(s.pendingConfirmation, t)
	}
	s.checkLeader()
	return nil
}

// saveRetryDelay is the pause between two attempts to save a step's state.
const saveRetryDelay = 20 * time.Millisecond

// persist saves a step's state, and retries while the disk refuses it: nothing may be sent before. A failed sync is
// final for this process.
func (s *Server) persist(ctx context.Context, d DurableState) error {
	for tries := 1; ; tries++ {
		err := s.store.Save(d)
		switch {
		case err == nil && tries > 1:
			s.logger.Info().Str("part", "council").Int("tries", tries).Msg("saving state succeeded after a retry: this voter resumes")
			return nil
		case err == nil || errors.Is(err, store.ErrFailed) || ctx.Err() != nil:
			return err
		case tries == 1:
			s.logger.Warn().Str("part", "council").Err(err).Msg("saving state failed, retrying: this voter sends nothing until it succeeds")
		}
		select {
		case <-time.After(saveRetryDelay):
		case <-ctx.Done():
		}
	}
}

// handleApplied logs a command that was applied, and responds to the request it came from.
func (s *Server) handleApplied(a Applied) {
	if c := a.Command; a.Err == nil && c.Kind > 0 && c.Kind != SetPlan {
		line := s.logger.Info().Str("part", "council").Uint64("version", a.Version)
		switch c.Kind {
		case Join:
			m := s.core.State().Members[c.Life.Name]
			s.trackLease(Incarnation{c.Life.Name, m.Life})
			line.Stringer("life", Incarnation{c.Life.Name, m.Life}).Str("zone", c.Zone).Bool("folder lost", m.Lost).Msg("incarnation started")
		case Fence:
			line.Stringer("life", c.Life).Msg("incarnation fenced")
		case AssignTakeover:
			line.Stringer("life", c.Life).Stringer("taker", c.Taker).Msg("takeover assigned")
		case CompleteTakeover:
			line.Stringer("life", c.Life).Stringer("taker", c.Taker).Msg("takeover completed")
		case SetReplicas:
			line.Stringer("life", c.Life).Strs("keepers", c.Set).Msg("in-sync replicas changed")
		case Evacuate, Freeze:
			line.Str("place", c.Place).Bool("on", c.On).Bool("freeze", c.Kind == Freeze).Msg("operator order applied")
		case ChangeVoters:
			s.voterChangeUntil = 0
			var votes, learn []string
			for _, v := range s.core.Voters() {
				if v.Learns {
					learn = append(learn, v.Name)
				} else {
					votes = append(votes, v.Name)
				}
			}
			line.Str("name", c.Life.Name).Bool("on", c.On).Strs("founders", votes).Strs("learning", learn).Msg("voters changed")
		case Drain, Remove:
			line.Str("name", c.Life.Name).Bool("leaving", c.Kind == Drain && c.On).Bool("removed", c.Kind == Remove).Msg("member changed")
		}
	}
	if reply := s.pendingCommands[a.Ticket]; reply != nil {
		delete(s.pendingCommands, a.Ticket)
		reply(a)
	}
}

// trackLease starts tracking the lease of an incarnation that has just started as if it had just been renewed, so that
// the incarnation has time to request it.
func (s *Server) trackLease(incarnation Incarnation) {
	if s.leases.Renew(s.now(), incarnation) {
		s.leases.Track(incarnation)
	}
}

// restartLeases restarts the count of all leases.
func (s *Server) restartLeases() {
	s.leases.Elected(s.now())
	for name, m := range s.core.State().Members {
		if m.Alive {
			s.leases.Track(Incarnation{name, m.Life})
		}
	}
}

// checkLeader handles changes of the leader.
func (s *Server) checkLeader() {
	if leads := s.core.Leads(); leads != s.leases.Leads() {
		if leads {
			s.restartLeases()
		} else {
			s.leases.Deposed()
			s.rollouts.forget()
			s.refusePending()
		}
	}
	if leader := s.core.Leader(); leader != s.loggedLeader {
		s.loggedLeader = leader
		s.logger.Info().Str("part", "council").Str("leader", leader).Uint64("term", s.core.Term()).Msg("leader changed")
	}
}

// refusePending redirects all pending requests to the next leader.
func (s *Server) refusePending() {
	no := Response{Refused: ErrNotLeader.Error()}
	for t, list := range s.pendingConfirmation {
		for _, a := range list {
			a.reply(no)
		}
		delete(s.pendingConfirmation, t)
	}
	for name, j := range s.pendingJoins {
		j.reply(no)
		delete(s.pendingJoins, name)
	}
	clear(s.pendingCommands) // these requests time out; the next leader reports whether the command was committed
	clear(s.selecting)
}

// tick advances Raft, the leases and the takeover tasks.
func (s *Server) tick(ctx context.Context) {
	now := s.now()
	suspended := s.lastTick > 0 && now-s.lastTick > maxMissedTicks*s.timing.Tick+s.timing.Margin
	s.lastTick = now
	s.core.Tick()
	if !s.leases.Leads() {
		return
	}
	if suspended { // first process what others sent meanwhile
		s.restartLeases()
		return
	}
	state := s.core.State()
	if s.ticks++; s.ticks%pruneTicks == 0 {
		s.leases.Forget(state.Alive)
		s.rollouts.expire(now)
	}
	s.admitPending(now, state)
	s.fenceExpired(now, state)
	for _, v := range s.core.CaughtUpLearners() {
		if s.voterChangeUntil <= now {
			s.proposeVoterChange(v, true, nil)
		}
	}
	for _, j := range state.Jobs {
		if !j.Done && j.Taker.Number == 0 && !s.selecting[j.Life] && s.FurthestReplica != nil {
			s.selectSuccessor(ctx, j, state)
		}
	}
}

const (
	pruneTicks      = 100         // between two removals of the leases of fenced incarnations
	fenceRetryDelay = time.Second // before fencing is proposed again, if it was not committed
)

// admitPending starts incarnations of processes that wait for the previous one of their name to be fenced.
func (s *Server) admitPending(now time.Duration, state *State) {
	for name, j := range s.pendingJoins {
		m := state.Members[name]
		if m == nil {
			continue
		}
		incarnation := Incarnation{name, m.Life}
		if m.Alive && now < s.leases.Expiry(incarnation) {
			continue
		}
		delete(s.pendingJoins, name)
		if !m.Alive || s.leases.MayFence(now, incarnation) {
			j.cmd.Fenced = true
			s.propose(j.cmd, j.reply)
		} else {
			j.reply(Response{Refused: ErrNotLeader.Error()})
		}
	}
}

// fenceExpired proposes to fence the incarnations whose leases are over.
func (s *Server) fenceExpired(now time.Duration, state *State) {
	for _, incarnation := range s.leases.Expired(now) {
		if state.Alive(incarnation) && s.leases.MayFence(now, incarnation) {
			s.leases.TrackAt(incarnation, now+fenceRetryDelay)
			s.propose(Command{Kind: Fence, Life: incarnation}, nil)
		}
	}
}

// selectSuccessor finds the replica to take over a fenced incarnation's messages.
func (s *Server) selectSuccessor(ctx context.Context, j *TakeoverTask, state *State) {
	incarnation := j.Life
	replicas := slices.DeleteFunc(slices.Clone(j.Keepers), func(name string) bool {
		m := state.Members[name]
		return m == nil || !m.Alive
	})
	if len(replicas) == 0 {
		return // wait for one of them to come back
	}
	s.selecting[incarnation] = true
	state = state.Clone()
	go func() {
		name := s.FurthestReplica(ctx, incarnation, replicas, state)
		s.post(func() {
			delete(s.selecting, incarnation)
			if m := s.core.State().Members[name]; m != nil && m.Alive && s.leases.Leads() {
				s.propose(Command{Kind: AssignTakeover, Life: incarnation, Taker: Incarnation{name, m.Life}}, nil)
			}
		})
	}()
}
