package controlplane

import (
	"context"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// RPC is what other processes call.
type RPC struct{ s *Server }

// RPC gives the service of a founder, to be registered as Council.
func (s *Server) RPC() RPC { return RPC{s} }

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
			r.s.core.Receive(m)
		}
	}) {
		return ErrNoLeader
	}
	return nil
}

// RejoinRequest is what a founder says of itself that has to meet the others.
type RejoinRequest struct {
	ID    uint64
	Last  uint64 // index of the latest entry in its log
	Token uint64 // of its process
}

// Meet tells how far this founder is.
func (r RPC) Meet(m RejoinRequest, out *VoterStatus) error {
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
	known := false
	if to != nil { // whoever is at that founder's address: another process of its name changes nothing
		var token uint64
		call, cancel := context.WithTimeout(context.Background(), stepFor/2)
		known = to.peer.Call(call, "Council.Who", true, &token) == nil && token == m.Token
		cancel()
	}
	answer := make(chan VoterStatus, 1)
	if !r.s.post(func() {
		if known {
			r.s.core.YieldLeadership(m.ID, m.Last)
		}
		answer <- r.s.core.Status()
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
	*out = r.s.Handle(req)
	return nil
}
