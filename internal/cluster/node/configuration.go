package node

import (
	"context"
	"fmt"
	"sync"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/entry"
	"mulleinbeam/internal/routing"
)

// The committed configuration, put into force at this forwarder: package entry with the control plane's view and the router.

// checkEntry is what a voter asks before an entry is committed.
func checkEntry(key string, content []byte) error {
	_, err := entry.Decode(key, content)
	return err
}

// configuring is a node's part in it.
type configuring struct {
	changed chan struct{} // another configuration may be committed
	limits  limits

	mu     sync.Mutex // held while a configuration is put into force
	active entry.Active
}

// configure puts what is committed into force until ctx ends.
func (n *Node) configure(ctx context.Context) {
	for {
		select {
		case <-n.configuring.changed:
			n.putIntoForce()
		case <-ctx.Done():
			return
		}
	}
}

// putIntoForce has the router go by what is committed, as far as is known here. What is handed in from here on goes by it.
func (n *Node) putIntoForce() {
	c := &n.configuring
	c.mu.Lock()
	defer c.mu.Unlock()
	_, state := n.latest()
	changes, refused := c.active.Update(state.EntryContents(), n.allows)
	n.router.Configure(destinations(changes))
	c.limits.change(changes)
	report := controlplane.ConfigReport{Revision: state.Configured}
	for _, r := range refused {
		report.Refused = append(report.Refused, controlplane.RefusedEntry{Key: r.Key, Why: r.Why})
	}
	report = report.Bounded()
	n.mu.Lock()
	before := n.reported
	n.reported = report
	n.mu.Unlock()
	n.logConfiguration(before, report)
}

// allows says why this forwarder can't have an entry in force; nil is none.
func (n *Node) allows(e entry.Entry) error {
	if e.Class != nil && !n.router.HasClass(e.Class.Name) {
		return fmt.Errorf("node: class %q is not one of this forwarder's", e.Class.Name)
	}
	return nil
}

// destinations are the changes of destinations in the router's terms.
func destinations(changes entry.Changes) map[int64][]routing.Endpoint {
	out := map[int64][]routing.Endpoint{}
	for _, e := range changes.Removed {
		if e.Destination != nil {
			out[e.Destination.Number] = nil
		}
	}
	for _, e := range changes.Set {
		if e.Destination != nil {
			out[e.Destination.Number] = endpoints(*e.Destination)
		}
	}
	return out
}

func endpoints(d entry.Destination) []routing.Endpoint {
	out := make([]routing.Endpoint, 0, len(d.Endpoints))
	for _, e := range d.Endpoints {
		state := mb.Serving
		if e.Draining {
			state = mb.Draining
		}
		out = append(out, routing.Endpoint{
			Name: e.Name, Address: e.Address, Destination: d.Number, Zone: e.Zone, Kind: e.Kind, Weight: e.Capacity, State: state,
		})
	}
	return out
}

// logConfiguration tells of what is in force now, and of entries that are refused for the first time.
func (n *Node) logConfiguration(before, now controlplane.ConfigReport) {
	if now.Revision != before.Revision {
		n.cfg.Logger.Info().Str("part", "configuration").Uint64("revision", now.Revision).Int("refused", len(now.Refused)).Msg("configuration in force")
	}
	known := map[controlplane.RefusedEntry]bool{}
	for _, r := range before.Refused {
		known[r] = true
	}
	for _, r := range now.Refused {
		if !known[r] {
			n.cfg.Logger.Warn().Str("part", "configuration").Str("key", r.Key).Str("why", r.Why).Msg("entry refused: the one before stays in force")
		}
	}
}

// reconfigure has configure look again.
func (n *Node) reconfigure() {
	select {
	case n.configuring.changed <- struct{}{}:
	default:
	}
}

// configReport is what goes with a lease renewal.
func (n *Node) configReport() *controlplane.ConfigReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	report := n.reported
	return &report
}
