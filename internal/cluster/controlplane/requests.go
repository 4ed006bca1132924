package controlplane

import (
	"slices"
	"time"

	"mulleinbeam/internal/cluster/changelog"
)

// Requests of members and relays to a voter, and their handling.

// Watch is how far a watcher has read the committed state, and which keys it wants.
type Watch struct {
	Cursor   changelog.Cursor   `cbor:"1,keyasint,omitzero"`
	Selector changelog.Selector `cbor:"2,keyasint,omitzero"`
}

// Request is a request to a voter or a relay. Command proposes a command. Renew renews the lease of one incarnation,
// and Batch, sent by relays, the leases of many. With Watch, the response to any request also contains what has
// changed.
type Request struct {
	Command  *Command       `cbor:"1,keyasint,omitempty"`
	Renew    *Incarnation   `cbor:"2,keyasint,omitempty"`
	Sequence uint64         `cbor:"3,keyasint,omitempty"` // numbers the renewals of an incarnation, or the batches of a relay
	Watch    *Watch         `cbor:"4,keyasint,omitempty"`
	Batch    []Incarnation  `cbor:"5,keyasint,omitempty"`
	Report   *ConfigReport  `cbor:"6,keyasint,omitempty"` // with Renew: the report of that member
	Summary  *ConfigSummary `cbor:"7,keyasint,omitempty"` // with Batch: the sum of the reports of the relay's members,
	Relay    string         `cbor:"8,keyasint,omitempty"` // and the relay that sends it
	Rollout  bool           `cbor:"9,keyasint,omitempty"` // asks at how many members the configuration is in force
}

// Response is the response to a Request.
type Response struct {
	Leader          string        `cbor:"1,keyasint,omitempty"`  // the leader, as far as is known
	Refused         string        `cbor:"2,keyasint,omitempty"`  // why the request was not carried out
	Granted         bool          `cbor:"3,keyasint,omitempty"`  // the lease; of a batch, all leases except those in Fenced
	Sequence        uint64        `cbor:"4,keyasint,omitempty"`  // of the request: a lease counts from when that request was sent
	VotingSuspended bool          `cbor:"5,keyasint,omitempty"`  // this voter's vote is suspended: it has lost state, and has not heard from all other voters since
	Voters          []Voter       `cbor:"6,keyasint,omitempty"`  // the voters as far as is known, if this one is not the leader
	Version         uint64        `cbor:"7,keyasint,omitempty"`  // of the committed state known here; after a command, the version at which it was applied
	Joined          *Member       `cbor:"8,keyasint,omitempty"`  // after a Join: the member with its new incarnation
	Changes         *Changes      `cbor:"9,keyasint,omitempty"`  // with Watch; nil if there are none
	Fenced          []Incarnation `cbor:"10,keyasint,omitempty"` // of a batch: incarnations that get no further lease
	Rollout         *Rollout      `cbor:"11,keyasint,omitempty"` // if it was requested
}

// leaseRequest is the leases that one request renews.
type leaseRequest struct {
	incarnations []Incarnation
	batch        bool // sent by a relay, whose response lists the fenced incarnations
	reply        func(Response)
}

// propose proposes a command and reports its outcome.
func (s *Server) propose(cmd Command, reply func(Response)) {
	s.proposeWithTicket(reply, func(ticket uint64) error { return s.core.Propose(ticket, cmd) })
}

// proposeVoterChange proposes a change of the voters, one at a time. A change that got lost blocks others for
// answerTimeout only.
func (s *Server) proposeVoterChange(v Voter, on bool, reply func(Response)) {
	s.proposeWithTicket(reply, func(ticket uint64) error {
		now := s.now()
		if s.voterChangeUntil > now {
			return ErrChangeInProgress
		}
		err := s.core.ChangeVoters(ticket, v, on)
		if err == nil {
			s.voterChangeUntil = now + answerTimeout
		}
		return err
	})
}

// proposeWithTicket proposes something under a new ticket and reports the outcome.
func (s *Server) proposeWithTicket(reply func(Response), propose func(ticket uint64) error) {
	s.ticket++
	ticket := s.ticket
	if reply != nil {
		s.pendingCommands[ticket] = func(a Applied) {
			r := Response{Version: a.Version}
			if a.Err != nil {
				r.Refused = a.Err.Error()
			} else if a.Command.Kind == Join {
				r.Joined = s.core.State().Members[a.Command.Life.Name]
			}
			reply(r)
		}
	}
	if err := propose(ticket); err != nil {
		delete(s.pendingCommands, ticket)
		if reply != nil {
			reply(Response{Refused: err.Error(), Leader: s.core.Leader()})
		}
	}
}

// changeVoters adds a member to the voters, or removes a voter.
func (s *Server) changeVoters(cmd Command, reply func(Response)) {
	v := Voter{Name: cmd.Life.Name}
	if m := s.core.State().Members[v.Name]; cmd.On {
		switch {
		case m == nil || !m.Alive:
			reply(Response{Refused: ErrUnknown.Error()})
			return
		case slices.ContainsFunc(s.core.Voters(), func(x Voter) bool { return x.Name == v.Name }):
			reply(Response{Refused: ErrVoterChange.Error()})
			return
		}
		v.Address = m.Address
	}
	s.proposeVoterChange(v, cmd.On, reply)
}

// UpdateVoters sets the voters as committed at a version. Processes outside the group, and voters that have lost their
// folder, learn of changes this way.
func (s *Server) UpdateVoters(list []Voter, version uint64) {
	s.post(func() { s.core.UpdateVoters(list, version) })
}

// confirmLeases asks a majority once for all leases requested since the last call.
func (s *Server) confirmLeases() {
	if len(s.newLeaseRequests) == 0 {
		return
	}
	s.ticket++
	if err := s.core.ConfirmLeadership(s.ticket); err != nil {
		for _, a := range s.newLeaseRequests {
			a.reply(Response{Refused: err.Error(), Leader: s.core.Leader()})
		}
	} else {
		s.pendingConfirmation[s.ticket] = s.newLeaseRequests
	}
	s.newLeaseRequests = nil
}

// grantLeases responds to lease requests that a majority has confirmed.
func (s *Server) grantLeases(a leaseRequest) {
	if !s.leases.Leads() {
		a.reply(Response{Refused: ErrNotLeader.Error(), Leader: s.core.Leader()})
		return
	}
	state := s.core.State()
	var fenced []Incarnation
	for _, incarnation := range a.incarnations {
		if !state.Alive(incarnation) || s.leases.fencing[incarnation] {
			fenced = append(fenced, incarnation)
		}
	}
	r := Response{Granted: true, Version: state.Version, Leader: s.core.Leader()}
	switch {
	case a.batch:
		r.Fenced = fenced
	case len(fenced) > 0:
		r.Granted, r.Refused = false, ErrFenced.Error()
	}
	a.reply(r)
}

// Handle responds to a request. It may be called from any goroutine.
func (s *Server) Handle(req Request) Response {
	answer := make(chan Response, 1)
	reply := func(r Response) {
		select {
		case answer <- r:
		default:
		}
	}
	if !s.post(func() { s.handle(req, reply) }) {
		return Response{Refused: ErrNoLeader.Error()}
	}
	late := time.NewTimer(answerTimeout)
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

func (s *Server) handle(req Request, answer func(Response)) {
	reply := func(r Response) {
		if req.Watch != nil {
			r.Changes = ChangesFor(s.core.Log(), *req.Watch)
		}
		r.Sequence = req.Sequence
		answer(r)
	}
	switch {
	case req.Command == nil && req.Renew == nil && len(req.Batch) == 0 && !req.Rollout: // the committed state, as far as this voter knows
		r := Response{Leader: s.core.Leader(), VotingSuspended: s.core.VotingSuspended(), Version: s.core.State().Version}
		if req.Watch != nil && (r.Leader == "" || s.isBehind(req.Watch.Cursor)) {
			r.Refused = ErrNoLeader.Error() // others may know more
		}
		reply(r)
	case !s.core.Leads() || !s.leases.Leads():
		reply(Response{Refused: ErrNotLeader.Error(), Leader: s.core.Leader(), Voters: s.core.Voters()})
	case req.Rollout:
		reply(Response{Leader: s.core.Leader(), Version: s.core.State().Version, Rollout: s.rollout()})
	case len(req.Batch) > 0:
		if req.Summary != nil {
			s.rollouts.report(s.now(), req.Relay, *req.Summary)
		}
		s.renewLeases(leaseRequest{req.Batch, true, reply})
	case req.Renew != nil:
		if req.Report != nil {
			s.rollouts.report(s.now(), req.Renew.String(), Summarize(map[Incarnation]ConfigReport{*req.Renew: req.Report.Bounded()}))
		}
		s.renewLeases(leaseRequest{[]Incarnation{*req.Renew}, false, reply})
	case req.Command.Kind == Join:
		s.join(*req.Command, reply)
	case req.Command.Kind == ChangeVoters:
		s.changeVoters(*req.Command, reply)
	case req.Command.Kind == Configure:
		s.proposeConfiguration(*req.Command, reply)
	default:
		s.propose(*req.Command, reply)
	}
}

// renewLeases records lease renewals; they are granted once a majority has confirmed the leadership.
func (s *Server) renewLeases(a leaseRequest) {
	now := s.now()
	for _, incarnation := range a.incarnations {
		if j := s.pendingJoins[incarnation.Name]; j != nil { // the incarnation is alive, so the process that wants to join under its name is another one
			delete(s.pendingJoins, incarnation.Name)
			j.reply(Response{Refused: ErrNameInUse.Error()})
		}
		s.leases.Renew(now, incarnation)
	}
	s.newLeaseRequests = append(s.newLeaseRequests, a)
}

// isBehind reports whether a watcher has more than this voter.
func (s *Server) isBehind(c changelog.Cursor) bool {
	return c.RequiredRevision() > s.core.Log().Revision()
}

// ChangesFor returns the changes that a watcher does not have yet, or the next piece of them. It returns nil if there
// are none, or if the watcher is ahead of the log.
func ChangesFor(log *changelog.Log[Item], w Watch) *Changes {
	b, err := log.Read(w.Cursor, w.Selector, PieceBytes)
	if err != nil || b.To == w.Cursor {
		return nil
	}
	return &b
}

// join starts an incarnation at once if the previous one can no longer act: its process had the same folder and
// address, which only one process has at a time. Otherwise it waits for that lease to expire; a renewal before then
// means that the name is in use.
func (s *Server) join(cmd Command, reply func(Response)) {
	m := s.core.State().Members[cmd.Life.Name]
	switch {
	case m == nil || !m.Alive || m.Token == cmd.Token:
		s.propose(cmd, reply)
	case m.Token == cmd.Past && m.Address == cmd.Address:
		cmd.Fenced = true
		s.propose(cmd, reply)
	default:
		if old := s.pendingJoins[cmd.Life.Name]; old != nil && old.cmd.Token != cmd.Token {
			old.reply(Response{Refused: ErrNameInUse.Error()})
		}
		s.pendingJoins[cmd.Life.Name] = &pendingJoin{cmd, s.now(), reply}
	}
}
