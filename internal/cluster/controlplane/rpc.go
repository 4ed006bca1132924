package controlplane

import (
	"context"
	"fmt"

	"go.etcd.io/raft/v3/raftpb"
)

// RPC is the net/rpc service of a voter.
type RPC struct{ s *Server }

// RPC returns the service, to be registered under the name Council.
func (s *Server) RPC() RPC { return RPC{s} }

// Step delivers Raft messages of another voter.
func (r RPC) Step(raw [][]byte, _ *bool) error {
	var batch []raftpb.Message
	for _, b := range raw {
		var m raftpb.Message
		if err := m.Unmarshal(b); err != nil {
			return fmt.Errorf("controlplane: message: %w", err)
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

// RejoinRequest is sent by a voter that has lost its state, or started empty, to all others.
type RejoinRequest struct {
	ID    uint64
	Last  uint64 // index of the last entry in its log
	Token uint64 // identifies its process
}

// Meet returns how far this voter is.
func (r RPC) Meet(m RejoinRequest, out *VoterStatus) error {
	result := make(chan *voterSender, 1)
	if !r.s.post(func() { result <- r.s.senders[m.ID] }) {
		return ErrNoLeader
	}
	var target *voterSender
	select {
	case target = <-result:
	case <-r.s.done:
		return ErrNoLeader
	}
	known := false
	if target != nil { // ask the process at that voter's address: another process with its name must not change anything
		var token uint64
		call, cancel := context.WithTimeout(context.Background(), messageTimeout/2)
		known = target.peer.Call(call, "Council.Who", true, &token) == nil && token == m.Token
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

// Who returns the token of this process, which distinguishes it from another one with the same name.
func (r RPC) Who(_ bool, out *uint64) error {
	*out = r.s.token
	return nil
}

// Ask responds to a request.
func (r RPC) Ask(req Request, out *Response) error {
	*out = r.s.Handle(req)
	return nil
}
