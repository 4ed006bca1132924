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

// Timing is the group's.
type Timing struct {
	Tick   time.Duration // of Raft's clock: a leader is missed after 10 to 20 of them
	Lease  time.Duration // how long a life may act after it has asked for its lease
	Margin time.Duration // by which the council waits longer
}

// paused is how many ticks may be missed before a leader takes itself for one that slept: everybody's askings may lie unread.
const paused = 3

// ErrNoLeader is given while nobody can be found who leads.
var ErrNoLeader = errors.New("council: no leader")

// stepFor bounds a message between founders; a snapshot is the longest.
const stepFor = 2 * time.Second

// answerFor bounds how long a request waits at the leader.
const answerFor = 3 * time.Second

// Server is a founder's part: it owns the core, in the goroutine of Run.
type Server struct {
	core   *Core
	keeper *RaftStore
	timing Timing
	logger zerolog.Logger
	// Dial makes the way to a founder's address, which is this server's from then on: nothing else delays Raft's messages.
	Dial func(address string) *links.Peer
	// FurthestReplica asks keepers how far their copies of a life go, and names the one that is furthest; "" is none. It is called in a
	// goroutine of its own.
	FurthestReplica func(ctx context.Context, life Incarnation, keepers []string, s *State) string
	// CheckEntry says why a configuration entry can't be committed; nil is none. It must not wait.
	CheckEntry func(key string, content []byte) error

	began       time.Time
	events      chan func()
	done        chan struct{}
	token       uint64 // of this process
	ticket      uint64
	leases      Leases
	rollouts    rollouts
	ticked      time.Duration
	waiting     map[uint64]func(Applied)  // by ticket
	unconfirmed map[uint64][]leaseRequest // by ticket of their confirmation
	fresh       []leaseRequest            // not confirmed for yet
	joining     map[string]*joining       // by name
	ticks       int                       // in this leadership
	looking     map[Incarnation]bool      // jobs whose keepers are being asked
	lanes       map[uint64]*lane
	seen        []Voter        // to whom the lanes are
	carried     sync.WaitGroup // lanes
	changed     time.Duration  // until when a change of the founders may be under way
	meeting     bool
	said        string // the leader of whom the log has told
}

// lane is the way to another founder.
type lane struct {
	Voter
	peer *links.Peer
	out  chan []raftpb.Message
	end  context.CancelFunc
}

// joining is a process that waits for an earlier life of its name to be over.
type joining struct {
	cmd   Command
	since time.Duration
	tell  func(Response)
}

// NewServer is a founder with what it had kept.
func NewServer(core *Core, keeper *RaftStore, t Timing, logger zerolog.Logger) *Server {
	return &Server{
		core: core, keeper: keeper, timing: t, Dial: links.NewPeer, logger: logger, began: time.Now(), events: make(chan func(), 256),
		done: make(chan struct{}), token: rand.Uint64(), ticket: rand.Uint64(), leases: Leases{Lease: t.Lease, Margin: t.Margin},
		waiting: map[uint64]func(Applied){}, unconfirmed: map[uint64][]leaseRequest{}, joining: map[string]*joining{},
		looking: map[Incarnation]bool{}, lanes: map[uint64]*lane{},
	}
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// Run serves until ctx ends; an error is one of the disk that does not pass, after which this founder must not speak.
func (s *Server) Run(ctx context.Context) (err error) {
	defer s.carried.Wait()
	defer close(s.done)
	defer func() {
		if r := recover(); r != nil { // Raft's own word for a log that can't be
			err = fmt.Errorf("council: %v", r)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tick := time.NewTicker(s.timing.Tick)
	defer tick.Stop()
	for {
		s.roster(ctx)
		select {
		case f := <-s.events:
			f()
		case <-tick.C:
			s.tick(ctx)
		case <-ctx.Done():
			return nil
		}
		for n := len(s.events); n > 0; n-- { // all that waits shares a step, and a sync
			(<-s.events)()
		}
		if s.core.VotingSuspended() && !s.meeting {
			s.meeting = true
			s.logger.Warn().Str("part", "council").Msg("this founder has nothing, or less than it once said: it does not vote before it has met all others")
			go s.meet(ctx, s.core.LastIndex(), s.others())
		}
		s.confirm()
		for s.core.HasReady() {
			if err := s.step(ctx); ctx.Err() != nil {
				return nil
			} else if err != nil {
				return err
			}
		}
	}
}

// roster has a lane to each of the other founders, and to nobody else.
func (s *Server) roster(ctx context.Context) {
	if slices.Equal(s.seen, s.core.Voters()) {
		return // as at almost every event
	}
	s.seen = s.core.Voters()
	keep := map[uint64]bool{}
	for _, f := range s.seen {
		id := ID(f.Name)
		if id == s.core.id || s.core.OutsideGroup() {
			continue
		}
		keep[id] = true
		if l := s.lanes[id]; l != nil && l.Address == f.Address {
			continue
		} else if l != nil {
			l.end()
		}
		l := &lane{Voter: f, peer: s.Dial(f.Address), out: make(chan []raftpb.Message, 64)}
		var its context.Context
		its, l.end = context.WithCancel(ctx)
		s.lanes[id] = l
		s.carried.Go(func() { s.carry(its, id, l) })
	}
	for id, l := range s.lanes {
		if !keep[id] {
			l.end()
			delete(s.lanes, id)
		}
	}
}

// others are the ways to all other founders.
func (s *Server) others() (out []*links.Peer) {
	for _, l := range s.lanes {
		out = append(out, l.peer)
	}
	return out
}

// meet asks all other founders how far they are, until all have answered. It ends where others are the founders by then: the server
// begins again.
func (s *Server) meet(ctx context.Context, last uint64, peers []*links.Peer) {
	defer s.post(func() { s.meeting = false })
	for ctx.Err() == nil {
		var all []VoterStatus
		for _, peer := range peers {
			var st VoterStatus
			call, cancel := context.WithTimeout(ctx, stepFor)
			if peer.Call(call, "Council.Meet", RejoinRequest{s.core.id, last, s.token}, &st) == nil {
				all = append(all, st)
			}
			cancel()
		}
		done := make(chan bool, 1)
		s.post(func() {
			now := s.others()
			over := len(now) != len(peers) || slices.ContainsFunc(now, func(p *links.Peer) bool { return !slices.Contains(peers, p) })
			if !over && len(all) == len(peers) {
				if err := s.core.Rejoin(all); err != nil {
					s.logger.Error().Str("part", "council").Err(err).Msg("a founder that can't begin")
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
			} // until it has what they know, it asks again: a leader may have to yield for it
		case <-s.done:
			return
		}
		select {
		case <-time.After(s.timing.Tick):
		case <-ctx.Done():
		}
	}
}

// carry brings messages to one founder, one behind the other.
func (s *Server) carry(ctx context.Context, id uint64, l *lane) {
	defer l.peer.Close()
	for {
		select {
		case batch := <-l.out:
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
			call, cancel := context.WithTimeout(ctx, stepFor)
			err := l.peer.Call(call, "Council.Step", raw, new(bool))
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

// step does what the core wants done.
func (s *Server) step(ctx context.Context) error {
	step, done, err := s.core.Ready()
	if err != nil {
		return err
	}
	if err := s.keep(ctx, step.Persist); err != nil {
		return err
	}
	batches := map[uint64][]raftpb.Message{}
	for _, m := range step.Send {
		batches[m.To] = append(batches[m.To], m)
	}
	for id, batch := range batches {
		var out chan<- []raftpb.Message
		if l := s.lanes[id]; l != nil {
			out = l.out
		}
		select {
		case out <- batch:
		default: // it is far behind, or gone; Raft sends again
			s.core.Unreachable(id)
		}
	}
	done()
	for _, a := range step.Applied {
		s.decided(a)
	}
	for _, t := range step.Confirmed {
		for _, a := range s.unconfirmed[t] {
			s.grant(a)
		}
		delete(s.unconfirmed, t)
	}
	s.follow()
	return nil
}

// keepAgain is the pause between two tries to keep a step's part.
const keepAgain = 20 * time.Millisecond

// keep keeps a step's part, and tries for as long as the disk does not take it: nothing may be said before. A sync that has failed is
// final for this process.
func (s *Server) keep(ctx context.Context, d DurableState) error {
	for tries := 1; ; tries++ {
		err := s.keeper.Save(d)
		switch {
		case err == nil && tries > 1:
			s.logger.Info().Str("part", "council").Int("tries", tries).Msg("this founder speaks again")
			return nil
		case err == nil || errors.Is(err, store.ErrFailed) || ctx.Err() != nil:
			return err
		case tries == 1:
			s.logger.Warn().Str("part", "council").Err(err).Msg("not kept, tried again: this founder is silent meanwhile")
		}
		select {
		case <-time.After(keepAgain):
		case <-ctx.Done():
		}
	}
}

// decided tells of a command that was carried out.
func (s *Server) decided(a Applied) {
	if c := a.Command; a.Err == nil && c.Kind > 0 && c.Kind != SetPlan {
		line := s.logger.Info().Str("part", "council").Uint64("version", a.Version)
		switch c.Kind {
		case Join:
			m := s.core.State().Members[c.Life.Name]
			s.track(Incarnation{c.Life.Name, m.Life})
			line.Stringer("life", Incarnation{c.Life.Name, m.Life}).Str("zone", c.Zone).Bool("folder lost", m.Lost).Msg("life begins")
		case Fence:
			line.Stringer("life", c.Life).Msg("life has ended")
		case AssignTakeover:
			line.Stringer("life", c.Life).Stringer("taker", c.Taker).Msg("taken over")
		case CompleteTakeover:
			line.Stringer("life", c.Life).Stringer("taker", c.Taker).Msg("taking over is done")
		case SetReplicas:
			line.Stringer("life", c.Life).Strs("keepers", c.Set).Msg("copies that count")
		case Evacuate, Freeze:
			line.Str("place", c.Place).Bool("on", c.On).Bool("freeze", c.Kind == Freeze).Msg("operators' order")
		case ChangeVoters:
			s.changed = 0
			var votes, learn []string
			for _, f := range s.core.Voters() {
				if f.Learns {
					learn = append(learn, f.Name)
				} else {
					votes = append(votes, f.Name)
				}
			}
			line.Str("name", c.Life.Name).Bool("on", c.On).Strs("founders", votes).Strs("learning", learn).Msg("the council's founders")
		case Drain, Remove:
			line.Str("name", c.Life.Name).Bool("leaving", c.Kind == Drain && c.On).Bool("removed", c.Kind == Remove).Msg("member")
		}
	}
	if tell := s.waiting[a.Ticket]; tell != nil {
		delete(s.waiting, a.Ticket)
		tell(a)
	}
}

// track watches over the lease of a life that has just begun, as if it had asked for it just now: it gets to ask.
func (s *Server) track(life Incarnation) {
	if s.leases.Renew(s.now(), life) {
		s.leases.Track(life)
	}
}

// elected counts all leases anew.
func (s *Server) elected() {
	s.leases.Elected(s.now())
	for name, m := range s.core.State().Members {
		if m.Alive {
			s.leases.Track(Incarnation{name, m.Life})
		}
	}
}

// follow notices who leads.
func (s *Server) follow() {
	if leads := s.core.Leads(); leads != s.leases.Leads() {
		if leads {
			s.elected()
		} else {
			s.leases.Deposed()
			s.rollouts.forget()
			s.refuseAll()
		}
	}
	if leader := s.core.Leader(); leader != s.said {
		s.said = leader
		s.logger.Info().Str("part", "council").Str("leader", leader).Uint64("term", s.core.Term()).Msg("leader")
	}
}

// refuseAll sends everybody who waits to the next leader.
func (s *Server) refuseAll() {
	no := Response{Refused: ErrNotLeader.Error()}
	for t, list := range s.unconfirmed {
		for _, a := range list {
			a.tell(no)
		}
		delete(s.unconfirmed, t)
	}
	for name, j := range s.joining {
		j.tell(no)
		delete(s.joining, name)
	}
	clear(s.waiting) // their askers' time ends; whether it is decided they learn from the next
	clear(s.looking)
}

// tick is a beat: Raft's, the leases' and the jobs'.
func (s *Server) tick(ctx context.Context) {
	now := s.now()
	slept := s.ticked > 0 && now-s.ticked > paused*s.timing.Tick+s.timing.Margin
	s.ticked = now
	s.core.Tick()
	if !s.leases.Leads() {
		return
	}
	if slept { // what others sent meanwhile is read first
		s.elected()
		return
	}
	state := s.core.State()
	if s.ticks++; s.ticks%forgetTicks == 0 {
		s.leases.Forget(state.Alive)
		s.rollouts.expire(now)
	}
	s.admit(now, state)
	s.endDue(now, state)
	for _, f := range s.core.CaughtUpLearners() {
		if s.changed <= now {
			s.change(f, true, nil)
		}
	}
	for _, j := range state.Jobs {
		if !j.Done && j.Taker.Number == 0 && !s.looking[j.Life] && s.FurthestReplica != nil {
			s.look(ctx, j, state)
		}
	}
}

const (
	forgetTicks = 100         // between two looks for leases of lives that are over
	endAgain    = time.Second // until the end of a life is proposed again, if it was not decided
)

// admit begins the lives of processes that wait for an earlier life of their name to be over.
func (s *Server) admit(now time.Duration, state *State) {
	for name, j := range s.joining {
		m := state.Members[name]
		if m == nil {
			continue
		}
		life := Incarnation{name, m.Life}
		if m.Alive && now < s.leases.Expiry(life) {
			continue
		}
		delete(s.joining, name)
		if !m.Alive || s.leases.MayFence(now, life) {
			j.cmd.Fenced = true
			s.propose(j.cmd, j.tell)
		} else {
			j.tell(Response{Refused: ErrNotLeader.Error()})
		}
	}
}

// endDue proposes the end of lives whose leases are over.
func (s *Server) endDue(now time.Duration, state *State) {
	for _, life := range s.leases.Expired(now) {
		if state.Alive(life) && s.leases.MayFence(now, life) {
			s.leases.TrackAt(life, now+endAgain)
			s.propose(Command{Kind: Fence, Life: life}, nil)
		}
	}
}

// look finds who takes an ended life's messages up.
func (s *Server) look(ctx context.Context, j *TakeoverTask, state *State) {
	life := j.Life
	keepers := slices.DeleteFunc(slices.Clone(j.Keepers), func(name string) bool {
		m := state.Members[name]
		return m == nil || !m.Alive
	})
	if len(keepers) == 0 {
		return // until one of them is back
	}
	s.looking[life] = true
	state = state.Clone()
	go func() {
		name := s.FurthestReplica(ctx, life, keepers, state)
		s.post(func() {
			delete(s.looking, life)
			if m := s.core.State().Members[name]; m != nil && m.Alive && s.leases.Leads() {
				s.propose(Command{Kind: AssignTakeover, Life: life, Taker: Incarnation{name, m.Life}}, nil)
			}
		})
	}()
}
