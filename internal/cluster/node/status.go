package node

import (
	"context"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/routing/wal/store"
)

// Status is what a member knows, for operators.
type Status struct {
	Name     string                   `json:"name"`
	Life     controlplane.Incarnation `json:"life"`
	MayAct   bool                     `json:"may_act"`
	Silent   bool                     `json:"silent"`      // a founder that does not vote yet
	Knows    bool                     `json:"knows_ended"` // the ids that were over in the life before this one
	Leader   string                   `json:"leader"`      // of the council, as far as this member knows; only founders do
	State    *controlplane.State      `json:"state"`
	Founders []controlplane.Voter     `json:"founders"`  // of the council, as far as this member knows
	Unheard  map[string]float64       `json:"unheard_s"` // seconds for which a member has not answered this one
	Keepers  []ReplicaStatus          `json:"keepers"`
	Copies   []CopyStatus             `json:"copies"`
	Disk     store.Stats              `json:"disk"`
	Figures  Counters                 `json:"figures"`
}

// ReplicaStatus is how far one that keeps copies for this member is.
type ReplicaStatus struct {
	Name    string  `json:"name"`
	Counts  bool    `json:"counts"`
	Has     uint64  `json:"has"`      // the log up to this index,
	Of      uint64  `json:"of"`       // of so many
	Missed  float64 `json:"missed_s"` // seconds for which it has been out of reach; 0 is reached
	Refuses bool    `json:"full"`
}

// CopyStatus is one that this member keeps.
type CopyStatus struct {
	Life     controlplane.Incarnation `json:"life"`
	Has      uint64                   `json:"has"`
	Messages int                      `json:"messages"`
	Past     int                      `json:"past"`
	Unknown  int                      `json:"unknown_records"`
	SkewMS   float64                  `json:"skew_ms"`
}

// Status is what this member knows now.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{Name: n.cfg.Name, Life: n.mine, State: n.view.State(), Figures: n.figures}
	if n.owner != nil {
		names := n.owner.InSync()
		counted := map[string]bool{}
		for _, name := range names {
			counted[name] = true
		}
		if m := n.view.State().Members[n.cfg.Name]; m != nil {
			names = append(append([]string(nil), names...), n.wanted(m)...)
		}
		for _, name := range names {
			k := ReplicaStatus{Name: name, Counts: counted[name], Has: n.owner.MatchIndex(name), Of: n.owner.LastIndex(), Refuses: n.owner.Full(name)}
			if since, away := n.missed[name]; away {
				k.Missed = time.Since(since).Seconds()
			}
			s.Keepers = append(s.Keepers, k)
		}
	}
	n.mu.Unlock()
	s.MayAct, s.Knows = n.MayAct(), n.knows.Load()
	r := n.server.Handle(controlplane.Request{})
	s.Leader, s.Silent = r.Leader, r.VotingSuspended
	s.Founders = n.cfg.Founders
	if len(s.State.Founders) > 0 {
		s.Founders = s.State.Founders
	}
	s.Unheard = map[string]float64{}
	n.talk.mu.Lock()
	for name, since := range n.talk.unheard {
		s.Unheard[name] = time.Since(since).Seconds()
	}
	n.talk.mu.Unlock()
	n.shelfMu.Lock()
	defer n.shelfMu.Unlock()
	for _, life := range n.shelf.Incarnations() {
		h := n.shelf.Replica(life)
		s.Copies = append(s.Copies, CopyStatus{
			Life: life, Has: h.LastIndex, Messages: len(h.Content.Messages()), Past: len(h.Content.Past()), Unknown: h.Unknown,
			SkewMS: float64(h.Skew) / float64(time.Millisecond),
		})
	}
	s.Disk = n.disk.Stats()
	return s
}

// statusRPC is what operators call.
type statusRPC struct{ n *Node }

// Get tells what this member knows.
func (s statusRPC) Get(_ bool, out *Status) error {
	*out = s.n.Status()
	return nil
}

// Command passes an operator's command to the council.
func (s statusRPC) Command(c controlplane.Command, out *controlplane.Response) error {
	ctx, cancel := context.WithTimeout(context.Background(), askFor)
	defer cancel()
	r, err := s.n.client.Do(ctx, controlplane.Request{Command: &c})
	*out = r
	return err
}

// look asks the member at an address.
func look[T any](ctx context.Context, address, method string) (s T, err error) {
	p := links.NewPeer(address)
	defer p.Close()
	return s, p.Call(ctx, method, true, &s)
}

// GetStatus asks the member at an address what it knows.
func GetStatus(ctx context.Context, address string) (Status, error) {
	return look[Status](ctx, address, "Status.Get")
}

// GetObservations asks the member at an address what it knows of partners.
func GetObservations(ctx context.Context, address string) (ObservationStatus, error) {
	return look[ObservationStatus](ctx, address, "Status.Facts")
}

// SendCommand has the member at an address ask the council for a command.
func SendCommand(ctx context.Context, address string, c controlplane.Command) (r controlplane.Response, err error) {
	p := links.NewPeer(address)
	defer p.Close()
	return r, p.Call(ctx, "Status.Command", c, &r)
}

// Rollout passes an operator's question on to whoever leads: how far the configuration is in force.
func (s statusRPC) Rollout(_ bool, out *controlplane.Rollout) error {
	ctx, cancel := context.WithTimeout(context.Background(), askFor)
	defer cancel()
	r, err := s.n.client.Rollout(ctx)
	*out = r
	return err
}

// GetRollout asks the member at an address how far the configuration is in force in the fleet.
func GetRollout(ctx context.Context, address string) (controlplane.Rollout, error) {
	return look[controlplane.Rollout](ctx, address, "Status.Rollout")
}

// GetPlan asks the member at an address where traffic goes.
func GetPlan(ctx context.Context, address string) (PlanStatus, error) {
	return look[PlanStatus](ctx, address, "Status.Plan")
}
