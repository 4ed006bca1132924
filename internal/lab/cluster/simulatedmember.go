package cluster

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/entry"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/lab"
)

// simulatedMember is a fleet member without a data path: it begins an incarnation, renews its lease and follows the
// state of the control plane. It uses the program's control plane client over its own connections.
type simulatedMember struct {
	name   string
	zone   string
	peers  *links.Peers
	client *controlplane.Client
	timing controlplane.Timing
	began  time.Time

	mu          sync.Mutex // other client calls update the view concurrently with renewals
	view        *controlplane.View
	lease       controlplane.Lease
	active      entry.Active // configuration in force, applied as the program does
	incarnation controlplane.Incarnation
	leaseUntil  time.Duration // end of the lease
	// lapses counts leases that expired before their renewal, incarnations the incarnations begun.
	lapses, incarnations int

	token         string                   // token of this process
	previous      controlplane.Incarnation // incarnation of the previous process with this name
	previousToken string                   // and the token of that process
	end           func()                   // stops the member and waits for it

	onChange        func(version uint64) // called for each new state
	recordedVersion uint64               // version up to which latencies are recorded
}

const (
	simulatedRetryInterval = 20 * time.Millisecond
	renewalsOf             = 4 // renewals per lease
)

var errNoIncarnation = errors.New("cluster: no incarnation was granted")

func newSimulatedMember(name, zone string, voters []controlplane.Voter, relays []controlplane.Relay, timing controlplane.Timing) *simulatedMember {
	h := &simulatedMember{
		token: fmt.Sprint(name, time.Now().UnixNano()), end: func() {},
		name: name, zone: zone, peers: &links.Peers{}, timing: timing, began: time.Now(), view: controlplane.NewView(),
		lease: controlplane.Lease{Length: timing.Lease}, onChange: func(uint64) {},
	}
	h.client = controlplane.NewClient(voters, h.peers.At, "", nil)
	h.client.UseRelays(controlplane.RankRelays(relays, name, zone))
	return h
}

func (h *simulatedMember) now() time.Duration { return time.Since(h.began) }

// do sends a request with the watched version and applies the changes in the response.
func (h *simulatedMember) do(ctx context.Context, req controlplane.Request) (r controlplane.Response, more bool, err error) {
	h.mu.Lock()
	req.Watch = h.view.Watch()
	h.mu.Unlock()
	if r, err = h.client.Do(ctx, req); err != nil {
		return r, false, err
	}
	h.mu.Lock()
	configured := h.view.State().Configured
	changed, more, _ := h.view.Apply(r.Changes) // a late response changes nothing
	version := h.view.State().Version
	if h.view.State().Configured != configured {
		h.active.Update(h.view.State().EntryContents(), func(entry.Entry) error { return nil })
	}
	h.mu.Unlock()
	if changed {
		h.onChange(version)
	}
	return r, more, nil
}

// version returns the version of the known state.
func (h *simulatedMember) version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.State().Version
}

// holds reports whether the lease is valid now.
func (h *simulatedMember) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.leaseUntil > h.now()
}

// run joins and renews the lease until ctx ends.
func (h *simulatedMember) run(ctx context.Context) {
	defer h.peers.Close()
	every := h.timing.Lease / renewalsOf
	for ctx.Err() == nil {
		if h.incarnation.Number == 0 {
			if h.join(ctx) != nil {
				lab.Sleep(ctx, simulatedRetryInterval)
			}
			continue
		}
		sent := time.Now()
		more, err := h.renew(ctx)
		if more {
			continue
		}
		wait := every - time.Since(sent)
		if err != nil {
			wait = simulatedRetryInterval
		}
		lab.Sleep(ctx, wait)
	}
}

// join fetches the current state and begins an incarnation.
func (h *simulatedMember) join(ctx context.Context) error {
	for more := true; more || h.version() == 0; {
		var err error
		if _, more, err = h.do(ctx, controlplane.Request{}); err != nil {
			return err
		}
	}
	join := controlplane.Command{
		Kind: controlplane.Join, Life: controlplane.Incarnation{Name: h.name, Number: h.previous.Number}, Whole: h.previous.Number > 0, Token: h.token, Past: h.previousToken,
		Address: "127.0.0.1:1", Zone: h.zone, Version: 1,
	}
	r, _, err := h.do(ctx, controlplane.Request{Command: &join})
	if err != nil {
		return err
	}
	if r.Refused != "" || r.Joined == nil {
		return fmt.Errorf("%w: %s", errNoIncarnation, r.Refused)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.incarnation = controlplane.Incarnation{Name: h.name, Number: r.Joined.Life}
	h.incarnations++
	return nil
}

// renew sends one lease renewal.
func (h *simulatedMember) renew(ctx context.Context) (more bool, err error) {
	h.mu.Lock()
	req := h.lease.Renewal(h.now(), h.incarnation)
	req.Report = &controlplane.ConfigReport{Revision: h.view.State().Configured}
	h.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, h.timing.Lease)
	defer cancel()
	r, more, err := h.do(call, req)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, granted := h.lease.Granted(r)
	if granted {
		if h.leaseUntil > 0 && h.leaseUntil < h.now() {
			h.lapses++
		}
		h.leaseUntil = until
	} else if r.Sequence == 0 || !r.Granted {
		h.incarnation = controlplane.Incarnation{} // the incarnation was fenced
	}
	return more, nil
}
