package controlplane

import (
	"slices"
	"time"

	"mulleinbeam/internal/cluster/changelog"
)

// What members and relays ask of a voter, and how it is answered.

// Watch is how far a watcher of what is decided has read, and what it wants.
type Watch struct {
	Cursor   changelog.Cursor   `cbor:"1,keyasint,omitzero"`
	Selector changelog.Selector `cbor:"2,keyasint,omitzero"`
}

// Request is one to the voters or a relay. With a Command it asks for that; with a life in Renew for its lease; with a Batch, as relays send
// it, for the leases of many. With a Watch the answer brings what has changed, whatever else it is.
type Request struct {
	Command  *Command       `cbor:"1,keyasint,omitempty"`
	Renew    *Incarnation   `cbor:"2,keyasint,omitempty"`
	Sequence uint64         `cbor:"3,keyasint,omitempty"` // of the renewal, among those of its life; of the batch, among those of its relay
	Watch    *Watch         `cbor:"4,keyasint,omitempty"`
	Batch    []Incarnation  `cbor:"5,keyasint,omitempty"`
	Report   *ConfigReport  `cbor:"6,keyasint,omitempty"` // with Renew: of that member
	Summary  *ConfigSummary `cbor:"7,keyasint,omitempty"` // with Batch: of the relay's members,
	Relay    string         `cbor:"8,keyasint,omitempty"` // and which relay's
	Rollout  bool           `cbor:"9,keyasint,omitempty"` // asks how far the configuration is in force
}

// Response answers it.
type Response struct {
	Leader          string        `cbor:"1,keyasint,omitempty"`  // who leads, as far as is known
	Refused         string        `cbor:"2,keyasint,omitempty"`  // why nothing came of it
	Granted         bool          `cbor:"3,keyasint,omitempty"`  // the lease; of a batch all but those in Ended
	Sequence        uint64        `cbor:"4,keyasint,omitempty"`  // of the request: a lease counts from when that one was sent
	VotingSuspended bool          `cbor:"5,keyasint,omitempty"`  // this founder does not vote: it has not met all others since it lost what it had
	Voters          []Voter       `cbor:"6,keyasint,omitempty"`  // who they are, as far as is known, where it was not this founder to ask
	Version         uint64        `cbor:"7,keyasint,omitempty"`  // of what is decided as far as is known here; behind a command, as of which it was carried out
	Joined          *Member       `cbor:"8,keyasint,omitempty"`  // behind a Join: the life that has begun
	Changes         *Changes      `cbor:"9,keyasint,omitempty"`  // with a Watch; nil is none
	Fenced          []Incarnation `cbor:"10,keyasint,omitempty"` // of a batch: lives that get no lease any more
	Rollout         *Rollout      `cbor:"11,keyasint,omitempty"` // where it was asked for
}

// leaseRequest is leases that were asked for in one request.
type leaseRequest struct {
	lives []Incarnation
	batch bool // of a relay, which is told of each
	tell  func(Response)
}

// propose asks for a command and tells what came of it.
func (s *Server) propose(cmd Command, tell func(Response)) {
	s.asked(tell, func(ticket uint64) error { return s.core.Propose(ticket, cmd) })
}

// change asks for a change of the founders, one at a time; a change that got lost is not waited for for long.
func (s *Server) change(f Voter, on bool, tell func(Response)) {
	s.asked(tell, func(ticket uint64) error {
		now := s.now()
		if s.changed > now {
			return ErrChangeInProgress
		}
		err := s.core.ChangeVoters(ticket, f, on)
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
	f := Voter{Name: cmd.Life.Name}
	if m := s.core.State().Members[f.Name]; cmd.On {
		switch {
		case m == nil || !m.Alive:
			tell(Response{Refused: ErrUnknown.Error()})
			return
		case slices.ContainsFunc(s.core.Voters(), func(x Voter) bool { return x.Name == f.Name }):
			tell(Response{Refused: ErrVoterChange.Error()})
			return
		}
		f.Address = m.Address
	}
	s.change(f, cmd.On, tell)
}

// UpdateVoters tells who the founders are, as decided up to a version: how one that is none of them, or has lost its folder, hears of it.
func (s *Server) UpdateVoters(list []Voter, version uint64) {
	s.post(func() { s.core.UpdateVoters(list, version) })
}

// confirm asks a majority once for all leases that were asked for since.
func (s *Server) confirm() {
	if len(s.fresh) == 0 {
		return
	}
	s.ticket++
	if err := s.core.ConfirmLeadership(s.ticket); err != nil {
		for _, a := range s.fresh {
			a.tell(Response{Refused: err.Error(), Leader: s.core.Leader()})
		}
	} else {
		s.unconfirmed[s.ticket] = s.fresh
	}
	s.fresh = nil
}

// grant answers a lease that a majority has confirmed.
func (s *Server) grant(a leaseRequest) {
	if !s.leases.Leads() {
		a.tell(Response{Refused: ErrNotLeader.Error(), Leader: s.core.Leader()})
		return
	}
	state := s.core.State()
	var ended []Incarnation
	for _, life := range a.lives {
		if !state.Alive(life) || s.leases.ending[life] {
			ended = append(ended, life)
		}
	}
	r := Response{Granted: true, Version: state.Version, Leader: s.core.Leader()}
	switch {
	case a.batch:
		r.Fenced = ended
	case len(ended) > 0:
		r.Granted, r.Refused = false, ErrFenced.Error()
	}
	a.tell(r)
}

// Handle answers a request, in any goroutine.
func (s *Server) Handle(req Request) Response {
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
			r.Changes = ChangesFor(s.core.Log(), *req.Watch)
		}
		r.Sequence = req.Sequence
		answer(r)
	}
	switch {
	case req.Command == nil && req.Renew == nil && len(req.Batch) == 0 && !req.Rollout: // what is decided, as far as this founder knows
		r := Response{Leader: s.core.Leader(), VotingSuspended: s.core.VotingSuspended(), Version: s.core.State().Version}
		if req.Watch != nil && (r.Leader == "" || s.behind(req.Watch.Cursor)) {
			r.Refused = ErrNoLeader.Error() // others may know more
		}
		tell(r)
	case !s.core.Leads() || !s.leases.Leads():
		tell(Response{Refused: ErrNotLeader.Error(), Leader: s.core.Leader(), Voters: s.core.Voters()})
	case req.Rollout:
		tell(Response{Leader: s.core.Leader(), Version: s.core.State().Version, Rollout: s.rollout()})
	case len(req.Batch) > 0:
		if req.Summary != nil {
			s.rollouts.report(s.now(), req.Relay, *req.Summary)
		}
		s.renew(leaseRequest{req.Batch, true, tell})
	case req.Renew != nil:
		if req.Report != nil {
			s.rollouts.report(s.now(), req.Renew.String(), Summarize(map[Incarnation]ConfigReport{*req.Renew: req.Report.Bounded()}))
		}
		s.renew(leaseRequest{[]Incarnation{*req.Renew}, false, tell})
	case req.Command.Kind == Join:
		s.join(*req.Command, tell)
	case req.Command.Kind == ChangeVoters:
		s.found(*req.Command, tell)
	case req.Command.Kind == Configure:
		s.proposeConfiguration(*req.Command, tell)
	default:
		s.propose(*req.Command, tell)
	}
}

// renew books leases that were asked for; they are granted once a majority has confirmed who leads.
func (s *Server) renew(a leaseRequest) {
	now := s.now()
	for _, life := range a.lives {
		if j := s.joining[life.Name]; j != nil { // the life goes on: whoever came under its name is another process
			delete(s.joining, life.Name)
			j.tell(Response{Refused: ErrNameInUse.Error()})
		}
		s.leases.Renew(now, life)
	}
	s.fresh = append(s.fresh, a)
}

// behind says whether a watcher has more than this founder.
func (s *Server) behind(c changelog.Cursor) bool {
	return c.RequiredRevision() > s.core.Log().Revision()
}

// ChangesFor are what a watcher does not have yet, or the next piece of it; nil is nothing, also where the watcher has more than the log.
func ChangesFor(log *changelog.Log[Item], w Watch) *Changes {
	b, err := log.Read(w.Cursor, w.Selector, PieceBytes)
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
			old.tell(Response{Refused: ErrNameInUse.Error()})
		}
		s.joining[cmd.Life.Name] = &joining{cmd, s.now(), tell}
	}
}
