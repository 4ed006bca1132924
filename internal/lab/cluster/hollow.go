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

// hollow is a member of a fleet without a data path: it begins a life, holds its lease and follows what is decided, with the program's own
// control client, over connections of its own.
type hollow struct {
	name   string
	zone   string
	peers  *links.Peers
	client *controlplane.Client
	timing controlplane.Timing
	began  time.Time

	mu     sync.Mutex // client calls that end beside the renewals learn as well
	view   *controlplane.View
	lease  controlplane.Lease
	active entry.Active // the configuration, as the program's own put it into force
	life   controlplane.Incarnation
	until  time.Duration // of the lease
	// lapses counts leases that had ended before the next came, and lives those that were begun.
	lapses, lives int

	token string                   // of this process
	had   controlplane.Incarnation // of the process before it in its folder,
	past  string                   // and its token
	end   func()                   // ends it and returns when it has

	learned func(version uint64) // is told of each state
	booked  uint64               // the version up to which the measurement has booked it
}

const (
	hollowRetry = 20 * time.Millisecond
	renewalsOf  = 4 // in one lease
)

var errNoLife = errors.New("cluster: no life was given")

func newHollow(name, zone string, voters []controlplane.Voter, relays []controlplane.Relay, timing controlplane.Timing) *hollow {
	h := &hollow{
		token: fmt.Sprint(name, time.Now().UnixNano()), end: func() {},
		name: name, zone: zone, peers: &links.Peers{}, timing: timing, began: time.Now(), view: controlplane.NewView(),
		lease: controlplane.Lease{Length: timing.Lease}, learned: func(uint64) {},
	}
	h.client = controlplane.NewClient(voters, h.peers.At, "", nil)
	h.client.UseRelays(controlplane.RankRelays(relays, name, zone))
	return h
}

func (h *hollow) now() time.Duration { return time.Since(h.began) }

// ask asks with what is known here, and learns from the answer.
func (h *hollow) ask(ctx context.Context, req controlplane.Request) (r controlplane.Response, more bool, err error) {
	h.mu.Lock()
	req.Watch = h.view.Watch()
	h.mu.Unlock()
	if r, err = h.client.Do(ctx, req); err != nil {
		return r, false, err
	}
	h.mu.Lock()
	configured := h.view.State().Configured
	news, more, _ := h.view.Apply(r.Changes) // an answer that is late changes nothing
	version := h.view.State().Version
	if h.view.State().Configured != configured {
		h.active.Update(h.view.State().EntryContents(), func(entry.Entry) error { return nil })
	}
	h.mu.Unlock()
	if news {
		h.learned(version)
	}
	return r, more, nil
}

// version is that of what is known.
func (h *hollow) version() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.State().Version
}

// holds says whether the lease holds now.
func (h *hollow) holds() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.until > h.now()
}

// run lives until ctx ends.
func (h *hollow) run(ctx context.Context) {
	defer h.peers.Close()
	every := h.timing.Lease / renewalsOf
	for ctx.Err() == nil {
		if h.life.Number == 0 {
			if h.join(ctx) != nil {
				lab.Sleep(ctx, hollowRetry)
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
			wait = hollowRetry
		}
		lab.Sleep(ctx, wait)
	}
}

// join catches up and begins a life.
func (h *hollow) join(ctx context.Context) error {
	for more := true; more || h.version() == 0; {
		var err error
		if _, more, err = h.ask(ctx, controlplane.Request{}); err != nil {
			return err
		}
	}
	join := controlplane.Command{
		Kind: controlplane.Join, Life: controlplane.Incarnation{Name: h.name, Number: h.had.Number}, Whole: h.had.Number > 0, Token: h.token, Past: h.past,
		Address: "127.0.0.1:1", Zone: h.zone, Version: 1,
	}
	r, _, err := h.ask(ctx, controlplane.Request{Command: &join})
	if err != nil {
		return err
	}
	if r.Refused != "" || r.Joined == nil {
		return fmt.Errorf("%w: %s", errNoLife, r.Refused)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.life = controlplane.Incarnation{Name: h.name, Number: r.Joined.Life}
	h.lives++
	return nil
}

// renew asks for the lease once.
func (h *hollow) renew(ctx context.Context) (more bool, err error) {
	h.mu.Lock()
	req := h.lease.Renewal(h.now(), h.life)
	req.Report = &controlplane.ConfigReport{Revision: h.view.State().Configured}
	h.mu.Unlock()
	call, cancel := context.WithTimeout(ctx, h.timing.Lease)
	defer cancel()
	r, more, err := h.ask(call, req)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	until, granted := h.lease.Granted(r)
	if granted {
		if h.until > 0 && h.until < h.now() {
			h.lapses++
		}
		h.until = until
	} else if r.Sequence == 0 || !r.Granted {
		h.life = controlplane.Incarnation{} // it was ended
	}
	return more, nil
}
