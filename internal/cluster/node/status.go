package node

import (
	"context"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/routing/wal/store"
)

// Status is a member's view of the fleet and of itself, for operators.
type Status struct {
	Name     string                   `json:"name"`
	Life     controlplane.Incarnation `json:"life"`
	MayAct   bool                     `json:"may_act"`
	Silent   bool                     `json:"silent"`      // a voter that does not vote yet
	Knows    bool                     `json:"knows_ended"` // the ids of messages that ended in the previous incarnation are known
	Leader   string                   `json:"leader"`      // leader of the control plane as known here; only voters know it
	State    *controlplane.State      `json:"state"`
	Founders []controlplane.Voter     `json:"founders"`  // voters of the control plane as known here
	Unheard  map[string]float64       `json:"unheard_s"` // seconds since each unresponsive member stopped answering this one
	Keepers  []ReplicaStatus          `json:"keepers"`
	Copies   []CopyStatus             `json:"copies"`
	Disk     store.Stats              `json:"disk"`
	Figures  Counters                 `json:"figures"`
}

// ReplicaStatus is the progress of a replica of this member's journal.
type ReplicaStatus struct {
	Name    string  `json:"name"`
	Counts  bool    `json:"counts"`
	Has     uint64  `json:"has"`      // index up to which the replica has the log
	Of      uint64  `json:"of"`       // index of the latest record of the log
	Missed  float64 `json:"missed_s"` // seconds for which it has been unreachable; 0 if it is reachable
	Refuses bool    `json:"full"`
}

// CopyStatus describes a replica that this member stores for another.
type CopyStatus struct {
	Life     controlplane.Incarnation `json:"life"`
	Has      uint64                   `json:"has"`
	Messages int                      `json:"messages"`
	Past     int                      `json:"past"`
	Unknown  int                      `json:"unknown_records"`
	SkewMS   float64                  `json:"skew_ms"`
}

// Status returns this member's present status.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{Name: n.cfg.Name, Life: n.current, State: n.view.State(), Figures: n.counters}
	if n.owner != nil {
		names := n.owner.InSync()
		inSync := map[string]bool{}
		for _, name := range names {
			inSync[name] = true
		}
		if m := n.view.State().Members[n.cfg.Name]; m != nil {
			names = append(append([]string(nil), names...), n.candidates(m)...)
		}
		for _, name := range names {
			k := ReplicaStatus{Name: name, Counts: inSync[name], Has: n.owner.MatchIndex(name), Of: n.owner.LastIndex(), Refuses: n.owner.Full(name)}
			if since, unreachable := n.unreachable[name]; unreachable {
				k.Missed = time.Since(since).Seconds()
			}
			s.Keepers = append(s.Keepers, k)
		}
	}
	n.mu.Unlock()
	s.MayAct, s.Knows = n.MayAct(), n.knowsEnded.Load()
	r := n.server.Handle(controlplane.Request{})
	s.Leader, s.Silent = r.Leader, r.VotingSuspended
	s.Founders = n.cfg.Founders
	if len(s.State.Founders) > 0 {
		s.Founders = s.State.Founders
	}
	s.Unheard = map[string]float64{}
	n.observations.mu.Lock()
	for name, since := range n.observations.unanswered {
		s.Unheard[name] = time.Since(since).Seconds()
	}
	n.observations.mu.Unlock()
	n.replicasMu.Lock()
	defer n.replicasMu.Unlock()
	for _, incarnation := range n.replicas.Incarnations() {
		replica := n.replicas.Replica(incarnation)
		s.Copies = append(s.Copies, CopyStatus{
			Life: incarnation, Has: replica.LastIndex, Messages: len(replica.Content.Messages()), Past: len(replica.Content.CompletedIDs()), Unknown: replica.Unknown,
			SkewMS: float64(replica.Skew) / float64(time.Millisecond),
		})
	}
	s.Disk = n.disk.Stats()
	return s
}

// statusRPC serves operators' calls.
type statusRPC struct{ n *Node }

// Get returns this member's status.
func (s statusRPC) Get(_ bool, out *Status) error {
	*out = s.n.Status()
	return nil
}

// Command passes an operator's command to the control plane.
func (s statusRPC) Command(c controlplane.Command, out *controlplane.Response) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := s.n.client.Do(ctx, controlplane.Request{Command: &c})
	*out = r
	return err
}

// get calls a method of the member at an address and returns its answer.
func get[T any](ctx context.Context, address, method string) (s T, err error) {
	p := links.NewPeer(address)
	defer p.Close()
	return s, p.Call(ctx, method, true, &s)
}

// GetStatus requests the status of the member at an address.
func GetStatus(ctx context.Context, address string) (Status, error) {
	return get[Status](ctx, address, "Status.Get")
}

// GetObservations requests what the member at an address knows about destinations.
func GetObservations(ctx context.Context, address string) (ObservationStatus, error) {
	return get[ObservationStatus](ctx, address, "Status.Facts")
}

// SendCommand sends a command to the control plane through the member at an address.
func SendCommand(ctx context.Context, address string, c controlplane.Command) (r controlplane.Response, err error) {
	p := links.NewPeer(address)
	defer p.Close()
	return r, p.Call(ctx, "Status.Command", c, &r)
}

// Rollout asks the control plane's leader how far the configuration is in force in the fleet.
func (s statusRPC) Rollout(_ bool, out *controlplane.Rollout) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	r, err := s.n.client.Rollout(ctx)
	*out = r
	return err
}

// GetRollout asks, through the member at an address, how far the configuration is in force in the fleet.
func GetRollout(ctx context.Context, address string) (controlplane.Rollout, error) {
	return get[controlplane.Rollout](ctx, address, "Status.Rollout")
}

// GetPlan requests the traffic plan and its state at the member at an address.
func GetPlan(ctx context.Context, address string) (PlanStatus, error) {
	return get[PlanStatus](ctx, address, "Status.Plan")
}
