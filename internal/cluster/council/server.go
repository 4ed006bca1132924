package council

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

	"mulleinbeam/internal/cluster/changelog"
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

// Watch is how far a watcher of what is decided has read, and what it wants.
type Watch struct {
	Cursor   changelog.Cursor
	Selector changelog.Selector
}

// Request is one to the council. With a Command it asks for that; with a life in Renew for its lease. With a Watch the answer brings what
// has changed, whatever else it is.
type Request struct {
	Command  *Command
	Renew    *Life
	Sequence uint64 // of the renewal, among those of its life
	Watch    *Watch
}

// Response answers it.
type Response struct {
	Leader   string    // who leads, as far as is known; where Refused says that it was not this founder
	Refused  string    // why nothing came of it
	Granted  bool      // the lease,
	Sequence uint64    // to the renewal of this number: a lease counts from when that one was sent
	Silent   bool      // this founder does not vote: it has not met all others since it lost what it had
	Council  []Founder // who they are, as far as is known, where it was not this founder to ask
	Version  uint64    // of what is decided as far as is known here; behind a command, as of which it was carried out
	Joined   *Member   // behind a Join: the life that has begun
	Changes  *Changes  // with a Watch; nil is none
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
	logger zerolog.Logger
	// Dial makes the way to a founder's address, which is this server's from then on: nothing else delays Raft's messages.
	Dial func(address string) *links.Peer
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
	ticks   int                      // in this leadership
	looking map[Life]bool            // jobs whose keepers are being asked
	lanes   map[uint64]*lane
	seen    []Founder      // to whom the lanes are
	carried sync.WaitGroup // lanes
	changed time.Duration  // until when a change of the founders may be under way
	meeting bool
	said    string // the leader of whom the log has told
}

// lane is the way to another founder.
type lane struct {
	Founder
	peer *links.Peer
	out  chan []raftpb.Message
	end  context.CancelFunc
}

// asking is a lease that was asked for.
type asking struct {
	life     Life
	sequence uint64
	tell     func(Response)
}

// joining is a process that waits for an earlier life of its name to be over.
type joining struct {
	cmd   Command
	since time.Duration
	tell  func(Response)
}

// NewServer is a founder with what it had kept.
func NewServer(core *Core, keeper *Keeper, t Timing, logger zerolog.Logger) *Server {
	return &Server{
		core: core, keeper: keeper, timing: t, Dial: links.NewPeer, logger: logger, began: time.Now(), events: make(chan func(), 256),
		done: make(chan struct{}), token: rand.Uint64(), ticket: rand.Uint64(), leases: Leases{Lease: t.Lease, Margin: t.Margin},
		waiting: map[uint64]func(Applied){}, asking: map[uint64][]asking{}, joining: map[string]*joining{},
		looking: map[Life]bool{}, lanes: map[uint64]*lane{},
	}
}

func (s *Server) now() time.Duration { return time.Since(s.began) }

// Run serves until ctx ends; an error is one of the disk, after which this founder must not speak.
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
		if s.core.Muted() && !s.meeting {
			s.meeting = true
			s.logger.Warn().Str("part", "council").Msg("this founder has nothing, or less than it once said: it does not vote before it has met all others")
			go s.meet(ctx, s.core.Last(), s.others())
		}
		s.confirm()
		for s.core.HasReady() {
			if err := s.step(); err != nil {
				return err
			}
		}
	}
}

// roster has a lane to each of the other founders, and to nobody else.
func (s *Server) roster(ctx context.Context) {
	if slices.Equal(s.seen, s.core.Founders()) {
		return // as at almost every event
	}
	s.seen = s.core.Founders()
	keep := map[uint64]bool{}
	for _, f := range s.seen {
		id := ID(f.Name)
		if id == s.core.id || s.core.Outside() {
			continue
		}
		keep[id] = true
		if l := s.lanes[id]; l != nil && l.Address == f.Address {
			continue
		} else if l != nil {
			l.end()
		}
		l := &lane{Founder: f, peer: s.Dial(f.Address), out: make(chan []raftpb.Message, 64)}
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
		var all []Standing
		for _, peer := range peers {
			var st Standing
			call, cancel := context.WithTimeout(ctx, stepFor)
			if peer.Call(call, "Council.Meet", Meeting{s.core.id, last, s.token}, &st) == nil {
				all = append(all, st)
			}
			cancel()
		}
		done := make(chan bool, 1)
		s.post(func() {
			now := s.others()
			over := len(now) != len(peers) || slices.ContainsFunc(now, func(p *links.Peer) bool { return !slices.Contains(peers, p) })
			if !over && len(all) == len(peers) {
				if err := s.core.Met(all); err != nil {
					s.logger.Error().Str("part", "council").Err(err).Msg("a founder that can't begin")
				}
				over = !s.core.Muted()
			}
			last = s.core.Last()
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
			s.track(Life{c.Life.Name, m.Life})
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
		case Found:
			s.changed = 0
			var votes, learn []string
			for _, f := range s.core.Founders() {
				if f.Learns {
					learn = append(learn, f.Name)
				} else {
					votes = append(votes, f.Name)
				}
			}
			line.Str("name", c.Life.Name).Bool("on", c.On).Strs("founders", votes).Strs("learning", learn).Msg("the council's founders")
		case Leave, Remove:
			line.Str("name", c.Life.Name).Bool("leaving", c.Kind == Leave && c.On).Bool("removed", c.Kind == Remove).Msg("member")
		}
	}
	if tell := s.waiting[a.Ticket]; tell != nil {
		delete(s.waiting, a.Ticket)
		tell(a)
	}
}

// track watches over the lease of a life that has just begun, as if it had asked for it just now: it gets to ask.
func (s *Server) track(life Life) {
	if s.leases.Asked(s.now(), life) {
		s.leases.Track(life)
	}
}

// elected counts all leases anew.
func (s *Server) elected() {
	s.leases.Elected(s.now())
	for name, m := range s.core.State().Members {
		if m.Alive {
			s.leases.Track(Life{name, m.Life})
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
		s.elected()
		return
	}
	state := s.core.State()
	if s.ticks++; s.ticks%forgetTicks == 0 {
		s.leases.Forget(state.Alive)
	}
	s.admit(now, state)
	s.endDue(now, state)
	for _, f := range s.core.Level() {
		if s.changed <= now {
			s.change(f, true, nil)
		}
	}
	for _, j := range state.Jobs {
		if !j.Done && j.Taker.Number == 0 && !s.looking[j.Life] && s.Furthest != nil {
			s.look(ctx, j, state.Clone())
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
		life := Life{name, m.Life}
		if m.Alive && now < s.leases.Over(life) {
			continue
		}
		delete(s.joining, name)
		if !m.Alive || s.leases.MayEnd(now, life) {
			j.cmd.Fenced = true
			s.propose(j.cmd, j.tell)
		} else {
			j.tell(Response{Refused: ErrNotLeader.Error()})
		}
	}
}

// endDue proposes the end of lives whose leases are over.
func (s *Server) endDue(now time.Duration, state *State) {
	for _, life := range s.leases.Due(now) {
		if state.Alive(life) && s.leases.MayEnd(now, life) {
			s.leases.TrackAt(life, now+endAgain)
			s.propose(Command{Kind: End, Life: life}, nil)
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
	s.asked(tell, func(ticket uint64) error { return s.core.Propose(ticket, cmd) })
}

// change asks for a change of the founders, one at a time; a change that got lost is not waited for for long.
func (s *Server) change(f Founder, on bool, tell func(Response)) {
	s.asked(tell, func(ticket uint64) error {
		now := s.now()
		if s.changed > now {
			return ErrChanging
		}
		err := s.core.Change(ticket, f, on)
		if err == nil {
			s.changed = now + answerFor
		}
		return err
	})
}

// asked proposes something under a ticket and tells what came of it.
func (s *Server) asked(tell func(Response), propose func(ticket uint64) error) {
	s.ticket++
	ticket := s.ticket
	if tell != nil {
		s.waiting[ticket] = func(a Applied) {
			r := Response{Version: a.Version}
			if a.Err != nil {
				r.Refused = a.Err.Error()
			} else if a.Command.Kind == Join {
				r.Joined = s.core.State().Members[a.Command.Life.Name]
			}
			tell(r)
		}
	}
	if err := propose(ticket); err != nil {
		delete(s.waiting, ticket)
		if tell != nil {
			tell(Response{Refused: err.Error(), Leader: s.core.Leader()})
		}
	}
}

// found takes a member into the council, or lets a founder go.
func (s *Server) found(cmd Command, tell func(Response)) {
	f := Founder{Name: cmd.Life.Name}
	if m := s.core.State().Members[f.Name]; cmd.On {
		switch {
		case m == nil || !m.Alive:
			tell(Response{Refused: ErrUnknown.Error()})
			return
		case slices.ContainsFunc(s.core.Founders(), func(x Founder) bool { return x.Name == f.Name }):
			tell(Response{Refused: ErrFounder.Error()})
			return
		}
		f.Address = m.Address
	}
	s.change(f, cmd.On, tell)
}

// Roster tells who the founders are, as decided up to a version: how one that is none of them, or has lost its folder, hears of it.
func (s *Server) Roster(list []Founder, version uint64) {
	s.post(func() { s.core.Know(list, version) })
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
	r := Response{Granted: state.Alive(a.life) && s.leases.Leads() && !s.leases.ending[a.life], Sequence: a.sequence, Version: state.Version}
	if !r.Granted {
		r.Refused = ErrEnded.Error()
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

func (s *Server) ask(req Request, answer func(Response)) {
	tell := func(r Response) {
		if req.Watch != nil {
			r.Changes = s.changes(*req.Watch)
		}
		answer(r)
	}
	switch {
	case req.Command == nil && req.Renew == nil: // what is decided, as far as this founder knows
		r := Response{Leader: s.core.Leader(), Silent: s.core.Muted(), Version: s.core.State().Version}
		if req.Watch != nil && (r.Leader == "" || s.behind(req.Watch.Cursor)) {
			r.Refused = ErrNoLeader.Error() // others may know more
		}
		tell(r)
	case !s.core.Leads() || !s.leases.Leads():
		tell(Response{Refused: ErrNotLeader.Error(), Leader: s.core.Leader(), Council: s.core.Founders()})
	case req.Renew != nil:
		if j := s.joining[req.Renew.Name]; j != nil { // the life goes on: whoever came under its name is another process
			delete(s.joining, req.Renew.Name)
			j.tell(Response{Refused: ErrTaken.Error()})
		}
		s.leases.Asked(s.now(), *req.Renew)
		s.fresh = append(s.fresh, asking{*req.Renew, req.Sequence, tell})
	case req.Command.Kind == Join:
		s.join(*req.Command, tell)
	case req.Command.Kind == Found:
		s.found(*req.Command, tell)
	default:
		s.propose(*req.Command, tell)
	}
}

// behind says whether a watcher has more than this founder.
func (s *Server) behind(c changelog.Cursor) bool {
	return c.Newest() > s.core.Log().Revision()
}

// changes are what a watcher does not have yet, or the next piece of it; nil is nothing.
func (s *Server) changes(w Watch) *Changes {
	b, err := s.core.Log().Read(w.Cursor, w.Selector, PieceBytes)
	if err != nil || b.To == w.Cursor {
		return nil
	}
	return &b
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
	way := make(chan *lane, 1)
	if !r.s.post(func() { way <- r.s.lanes[m.ID] }) {
		return ErrNoLeader
	}
	var to *lane
	select {
	case to = <-way:
	case <-r.s.done:
		return ErrNoLeader
	}
	real := false
	if to != nil { // whoever is at that founder's address: another process of its name changes nothing
		var token uint64
		call, cancel := context.WithTimeout(context.Background(), stepFor/2)
		real = to.peer.Call(call, "Council.Who", true, &token) == nil && token == m.Token
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
