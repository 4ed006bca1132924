package council

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"go.etcd.io/raft/v3/raftpb"

	"mulleinbeam/internal/cluster/links"
)

// Timing is the group's.
type Timing struct {
	Tick   time.Duration // of Raft's clock: a leader is missed after 10 to 20 of them
	Lease  time.Duration // how long a life may act after it has asked for its lease
	Margin time.Duration // by which the council waits longer
}

// paused is how many ticks may be missed before a leader takes itself for one that slept: everybody's askings may lie unread.
const paused = 3

// Request is one to the council. With a Command it asks for that; with a Life in Renew for its lease; Known is the version that
// the asker has of what was decided.
type Request struct {
	Command *Command
	Renew   *Life
	Known   uint64
}

// Response answers it. State is set where the asker's version is older, and always behind a command.
type Response struct {
	Leader  string // who leads, as far as is known; where Refused says that it was not this founder
	Refused string // why nothing came of it
	Granted bool   // the lease
	Silent  bool   // this founder does not vote: it has not met all others since it lost what it had
	State   *State
}

// ErrNoLeader is given while nobody can be found who leads.
var ErrNoLeader = errors.New("council: no leader")

// stepFor bounds a message between founders; a snapshot is the longest.
const stepFor = 2 * time.Second

// answerFor bounds how long a request waits at the leader.
const answerFor = 3 * time.Second

// Server is a founder's part: it owns the core, in the goroutine of Run.
type Server struct {
	core   *Core
	keeper *Keeper
	timing Timing
	peers  map[uint64]*links.Peer
	logger zerolog.Logger
	// Furthest asks keepers how far their copies of a life go, and names the one that is furthest; "" is none. It is called in a
	// goroutine of its own.
	Furthest func(ctx context.Context, life Life, keepers []string, s *State) string

	began   time.Time
	events  chan func()
	done    chan struct{}
	token   uint64 // of this process
	ticket  uint64
	leases  Leases
	ticked  time.Duration
	waiting map[uint64]func(Applied) // by ticket
	asking  map[uint64][]asking      // by ticket of their confirmation
	fresh   []asking                 // not confirmed for yet
	joining map[string]*joining      // by name
	looking map[Life]bool            // jobs whose keepers are being asked
	out     map[uint64]chan []raftpb.Message
	meeting bool
	said    string // the leader of whom the log has told
}

// asking is a lease that was asked for.
type asking struct {
	life  Life
	known uint64
	tell  func(Response)
}

// joining is a process that waits for an earlier life of its name to be over.
type joining struct {
	cmd   Command
	since time.Duration
	tell  func(Response)
}

// NewServer is a founder with what it had kept.
func NewServer(core *Core, keeper *Keeper, t Timing, peers map[uint64]*links.Peer, logger zerolog.Logger) *Server {
	return &Server{
		core: core, keeper: keeper, timing: t, peers: peers, logger: logger, began: time.Now(), events: make(chan func(), 256),
		done: make(chan struct{}), token: rand.Uint64(), ticket: rand.Uint64(), leases: Leases{Lease: t.Lease, Margin: t.Margin},
		waiting: map[uint64]func(Applied){}, asking: map[uint64][]asking{}, joining: map[string]*joining{},
		looking: map[Life]bool{}, out: map[uint64]chan []raftpb.Message{},
	}
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// Run serves until ctx ends; an error is one of the disk, after which this founder must not speak.
func (s *Server) Run(ctx context.Context) (err error) {
	defer close(s.done)
	defer func() {
		if r := recover(); r != nil { // Raft's own word for a log that can't be
			err = fmt.Errorf("council: %v", r)
		}
	}()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for id, peer := range s.peers {
		lane := make(chan []raftpb.Message, 64)
		s.out[id] = lane
		go s.carry(ctx, id, peer, lane)
	}
	tick := time.NewTicker(s.timing.Tick)
	defer tick.Stop()
	for {
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
		if s.core.Muted() && !s.meeting {
			s.meeting = true
			s.logger.Warn().Str("part", "council").Msg("this founder has nothing, or less than it once said: it does not vote before it has met all others")
			go s.meet(ctx, s.core.Last())
		}
		s.confirm()
		for s.core.HasReady() {
			if err := s.step(); err != nil {
				return err
			}
		}
	}
}

// meet asks all other founders how far they are, until all have answered.
func (s *Server) meet(ctx context.Context, last uint64) {
	defer s.post(func() { s.meeting = false })
	for ctx.Err() == nil {
		var all []Standing
		for _, peer := range s.peers {
			var st Standing
			call, cancel := context.WithTimeout(ctx, stepFor)
			if peer.Call(call, "Council.Meet", Meeting{s.core.id, last, s.token}, &st) == nil {
				all = append(all, st)
			}
			cancel()
		}
		if len(all) == len(s.peers) {
			done := make(chan bool, 1)
			s.post(func() {
				s.core.Met(all)
				last = s.core.Last()
				done <- !s.core.Muted()
			})
			select {
			case over := <-done:
				if over {
					return
				} // until it has what they know, it asks again: a leader may have to yield for it
			case <-s.done:
				return
			}
		}
		select {
		case <-time.After(s.timing.Tick):
		case <-ctx.Done():
		}
	}
}

// carry brings messages to one founder, one behind the other.
func (s *Server) carry(ctx context.Context, id uint64, peer *links.Peer, lane <-chan []raftpb.Message) {
	for {
		select {
		case batch := <-lane:
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
			err := peer.Call(call, "Council.Step", raw, new(bool))
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
func (s *Server) step() error {
	step, done, err := s.core.Ready()
	if err != nil {
		return err
	}
	if err := s.keeper.Save(step.Keep); err != nil {
		return err
	}
	batches := map[uint64][]raftpb.Message{}
	for _, m := range step.Send {
		batches[m.To] = append(batches[m.To], m)
	}
	for id, batch := range batches {
		select {
		case s.out[id] <- batch:
		default: // it is far behind, or gone; Raft sends again
			s.core.Unreachable(id)
		}
	}
	done()
	for _, a := range step.Applied {
		s.decided(a)
	}
	for _, t := range step.Confirmed {
		for _, a := range s.asking[t] {
			s.grant(a)
		}
		delete(s.asking, t)
	}
	s.follow()
	return nil
}

// decided tells of a command that was carried out.
func (s *Server) decided(a Applied) {
	if c := a.Command; a.Err == nil && c.Kind > 0 && c.Kind != Propose {
		line := s.logger.Info().Str("part", "council").Uint64("version", a.Version)
		switch c.Kind {
		case Join:
			m := s.core.State().Members[c.Life.Name]
			line.Stringer("life", Life{c.Life.Name, m.Life}).Str("zone", c.Zone).Bool("folder lost", m.Lost).Msg("life begins")
		case End:
			line.Stringer("life", c.Life).Msg("life has ended")
		case Assign:
			line.Stringer("life", c.Life).Stringer("taker", c.Taker).Msg("taken over")
		case Done:
			line.Stringer("life", c.Life).Stringer("taker", c.Taker).Msg("taking over is done")
		case Keepers:
			line.Stringer("life", c.Life).Strs("keepers", c.Set).Msg("copies that count")
		case Evacuate, Freeze:
			line.Str("place", c.Place).Bool("on", c.On).Bool("freeze", c.Kind == Freeze).Msg("operators' order")
		case Leave, Remove:
			line.Str("name", c.Life.Name).Bool("leaving", c.Kind == Leave && c.On).Bool("removed", c.Kind == Remove).Msg("member")
		}
	}
	if tell := s.waiting[a.Ticket]; tell != nil {
		delete(s.waiting, a.Ticket)
		tell(a)
	}
}

// follow notices who leads.
func (s *Server) follow() {
	if leads := s.core.Leads(); leads != s.leases.Leads() {
		if leads {
			s.leases.Elected(s.now())
		} else {
			s.leases.Deposed()
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
	for t, list := range s.asking {
		for _, a := range list {
			a.tell(no)
		}
		delete(s.asking, t)
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
		s.leases.Elected(now)
		return
	}
	state := s.core.State()
	s.leases.Forget(state.Alive)
	for _, name := range state.Names() {
		m := state.Members[name]
		life := Life{name, m.Life}
		if j := s.joining[name]; j != nil && (!m.Alive || now >= s.leases.Over(life)) {
			delete(s.joining, name)
			if !m.Alive || s.leases.MayEnd(now, life) {
				j.cmd.Fenced = true
				s.propose(j.cmd, j.tell)
			} else {
				j.tell(Response{Refused: ErrNotLeader.Error()})
			}
			continue
		}
		if m.Alive && s.leases.MayEnd(now, life) {
			s.propose(Command{Kind: End, Life: life}, nil)
		}
	}
	for _, j := range state.Jobs {
		if !j.Done && j.Taker.Number == 0 && !s.looking[j.Life] && s.Furthest != nil {
			s.look(ctx, j, state.Clone())
		}
	}
}

// look finds who takes an ended life's messages up.
func (s *Server) look(ctx context.Context, j *Job, state *State) {
	life := j.Life
	keepers := slices.DeleteFunc(slices.Clone(j.Keepers), func(name string) bool {
		m := state.Members[name]
		return m == nil || !m.Alive
	})
	if len(keepers) == 0 {
		return // until one of them is back
	}
	s.looking[life] = true
	go func() {
		name := s.Furthest(ctx, life, keepers, state)
		s.post(func() {
			delete(s.looking, life)
			if m := s.core.State().Members[name]; m != nil && m.Alive && s.leases.Leads() {
				s.propose(Command{Kind: Assign, Life: life, Taker: Life{name, m.Life}}, nil)
			}
		})
	}()
}

// propose asks for a command and tells what came of it.
func (s *Server) propose(cmd Command, tell func(Response)) {
	s.ticket++
	ticket := s.ticket
	if tell != nil {
		s.waiting[ticket] = func(a Applied) {
			r := Response{State: s.core.State().Clone()}
			if a.Err != nil {
				r.Refused = a.Err.Error()
			}
			tell(r)
		}
	}
	if err := s.core.Propose(ticket, cmd); err != nil {
		delete(s.waiting, ticket)
		if tell != nil {
			tell(Response{Refused: err.Error(), Leader: s.core.Leader()})
		}
	}
}

// confirm asks a majority once for all leases that were asked for since.
func (s *Server) confirm() {
	if len(s.fresh) == 0 {
		return
	}
	s.ticket++
	if err := s.core.Confirm(s.ticket); err != nil {
		for _, a := range s.fresh {
			a.tell(Response{Refused: err.Error(), Leader: s.core.Leader()})
		}
	} else {
		s.asking[s.ticket] = s.fresh
	}
	s.fresh = nil
}

// grant answers a lease that a majority has confirmed.
func (s *Server) grant(a asking) {
	state := s.core.State()
	r := Response{Granted: state.Alive(a.life) && s.leases.Leads() && !s.leases.ending[a.life]}
	if !r.Granted {
		r.Refused = ErrEnded.Error()
	}
	if state.Version > a.known {
		r.State = state.Clone()
	}
	a.tell(r)
}

// Ask answers a request, in any goroutine.
func (s *Server) Ask(req Request) Response {
	answer := make(chan Response, 1)
	tell := func(r Response) {
		select {
		case answer <- r:
		default:
		}
	}
	if !s.post(func() { s.ask(req, tell) }) {
		return Response{Refused: ErrNoLeader.Error()}
	}
	late := time.NewTimer(answerFor)
	defer late.Stop()
	select {
	case r := <-answer:
		return r
	case <-late.C:
		return Response{Refused: ErrNoLeader.Error()}
	case <-s.done:
		return Response{Refused: ErrNoLeader.Error()}
	}
}

func (s *Server) ask(req Request, tell func(Response)) {
	switch {
	case req.Command == nil && req.Renew == nil: // what is decided, as far as this founder knows
		r := Response{Leader: s.core.Leader(), Silent: s.core.Muted()}
		if s.core.State().Version > req.Known {
			r.State = s.core.State().Clone()
		}
		tell(r)
	case !s.core.Leads() || !s.leases.Leads():
		tell(Response{Refused: ErrNotLeader.Error(), Leader: s.core.Leader()})
	case req.Renew != nil:
		if j := s.joining[req.Renew.Name]; j != nil { // the life goes on: whoever came under its name is another process
			delete(s.joining, req.Renew.Name)
			j.tell(Response{Refused: ErrTaken.Error(), State: s.core.State().Clone()})
		}
		s.leases.Asked(s.now(), *req.Renew)
		s.fresh = append(s.fresh, asking{*req.Renew, req.Known, tell})
	case req.Command.Kind == Join:
		s.join(*req.Command, tell)
	default:
		s.propose(*req.Command, tell)
	}
}

// join begins a life at once where the one before can do nothing any more: its process had this folder and this address, which
// one process has at a time. Else it waits until that one's lease is over; if it is renewed meanwhile, the name is taken.
func (s *Server) join(cmd Command, tell func(Response)) {
	m := s.core.State().Members[cmd.Life.Name]
	switch {
	case m == nil || !m.Alive || m.Token == cmd.Token:
		s.propose(cmd, tell)
	case m.Token == cmd.Past && m.Address == cmd.Address:
		cmd.Fenced = true
		s.propose(cmd, tell)
	default:
		if old := s.joining[cmd.Life.Name]; old != nil && old.cmd.Token != cmd.Token {
			old.tell(Response{Refused: ErrTaken.Error()})
		}
		s.joining[cmd.Life.Name] = &joining{cmd, s.now(), tell}
	}
}

// RPC is what other processes call.
type RPC struct{ s *Server }

// Calls gives the service of a founder, to be registered as Council.
func (s *Server) Calls() RPC { return RPC{s} }

// Step takes messages of another founder.
func (r RPC) Step(raw [][]byte, _ *bool) error {
	var batch []raftpb.Message
	for _, b := range raw {
		var m raftpb.Message
		if err := m.Unmarshal(b); err != nil {
			return fmt.Errorf("council: message: %w", err)
		}
		batch = append(batch, m)
	}
	if !r.s.post(func() {
		for _, m := range batch {
			r.s.core.Hear(m)
		}
	}) {
		return ErrNoLeader
	}
	return nil
}

// Meeting is what a founder says of itself that has to meet the others.
type Meeting struct {
	ID    uint64
	Last  uint64 // index of the latest entry in its log
	Token uint64 // of its process
}

// Meet tells how far this founder is.
func (r RPC) Meet(m Meeting, out *Standing) error {
	real := false
	if peer := r.s.peers[m.ID]; peer != nil { // whoever is at that founder's address: another process of its name changes nothing
		var token uint64
		call, cancel := context.WithTimeout(context.Background(), stepFor/2)
		real = peer.Call(call, "Council.Who", true, &token) == nil && token == m.Token
		cancel()
	}
	answer := make(chan Standing, 1)
	if !r.s.post(func() {
		if real {
			r.s.core.Yield(m.ID, m.Last)
		}
		answer <- r.s.core.Standing()
	}) {
		return ErrNoLeader
	}
	select {
	case *out = <-answer:
		return nil
	case <-r.s.done:
		return ErrNoLeader
	}
}

// Who tells this founder's process from another of its name.
func (r RPC) Who(_ bool, out *uint64) error {
	*out = r.s.token
	return nil
}

// Ask answers a request.
func (r RPC) Ask(req Request, out *Response) error {
	*out = r.s.Ask(req)
	return nil
}
