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

// Applies the committed configuration on this forwarder: connects package entry with the view of the control plane's
// state and the router.

// checkEntry checks that a voter can decode an entry before it is committed.
func checkEntry(key string, content []byte) error {
	_, err := entry.Decode(key, content)
	return err
}

// configuration is a node's state of the committed configuration.
type configuration struct {
	changed chan struct{} // signals that another configuration may have been committed
	limits  limits

	mu     sync.Mutex // held while a configuration is applied
	active entry.Active
}

// configure applies each newly committed configuration until ctx ends.
func (n *Node) configure(ctx context.Context) {
	for {
		select {
		case <-n.configuration.changed:
			n.applyConfiguration()
		case <-ctx.Done():
			return
		}
	}
}

// applyConfiguration applies the committed configuration, as far as it is known here, to messages that are submitted
// from now on.
func (n *Node) applyConfiguration() {
	c := &n.configuration
	c.mu.Lock()
	defer c.mu.Unlock()
	_, state := n.currentState()
	changes, refused := c.active.Update(state.EntryContents(), n.checkSupported)
	n.router.Configure(endpointChanges(changes))
	c.limits.apply(changes)
	report := controlplane.ConfigReport{Revision: state.Configured}
	for _, r := range refused {
		report.Refused = append(report.Refused, controlplane.RefusedEntry{Key: r.Key, Why: r.Why})
	}
	report = report.Bounded()
	n.mu.Lock()
	before := n.configReported
	n.configReported = report
	n.mu.Unlock()
	n.logConfiguration(before, report)
}

// checkSupported returns an error if this forwarder cannot apply an entry.
func (n *Node) checkSupported(e entry.Entry) error {
	if e.Class != nil && !n.router.HasClass(e.Class.Name) {
		return fmt.Errorf("node: class %q is not one of this forwarder's", e.Class.Name)
	}
	return nil
}

// endpointChanges converts changes of destinations to the router's form; no endpoints mean that a destination was
// removed.
func endpointChanges(changes entry.Changes) map[int64][]routing.Endpoint {
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

// logConfiguration logs a new revision in force, and entries that are refused for the first time.
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
			n.cfg.Logger.Warn().Str("part", "configuration").Str("key", r.Key).Str("why", r.Why).Msg("entry refused: the previous entry stays in force")
		}
	}
}

// signalConfiguration wakes configure.
func (n *Node) signalConfiguration() {
	select {
	case n.configuration.changed <- struct{}{}:
	default:
	}
}

// configReport returns the report that is sent with a lease renewal.
func (n *Node) configReport() *controlplane.ConfigReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	report := n.configReported
	return &report
}
