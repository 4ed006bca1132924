package cluster

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/entry"
	"mulleinbeam/internal/lab"
)

// Configuration changes in a large fleet: submitted through any member and awaited until every member reports them in
// force.

// configKeys is the number of destinations that the changes rotate over.
const configKeys = 50

// decide submits a command through a member; a refusal is returned as an error.
func (h *simulatedMember) decide(ctx context.Context, cmd controlplane.Command) (controlplane.Response, error) {
	r, err := h.client.Do(ctx, controlplane.Request{Command: &cmd})
	if err == nil && r.Refused != "" {
		err = errors.New(r.Refused)
	}
	return r, err
}

// configureOne sets one destination through a member. A command whose response was lost may have been decided, so on a
// conflict the destination is set again from the current revision.
func (f *simulatedFleet) configureOne(ctx context.Context, h *simulatedMember, i int) (controlplane.Response, error) {
	number := i%configKeys + 1
	endpoint := entry.Endpoint{Name: fmt.Sprint("endpoint-", number), Address: "127.0.0.1:1", Zone: zoneName(number), Capacity: float64(i + 1)}
	e := entry.Entry{Destination: &entry.Destination{Number: int64(number), Endpoints: []entry.Endpoint{endpoint}}}
	content, err := e.Encode()
	if err != nil {
		return controlplane.Response{}, err
	}
	for {
		now, err := h.client.Rollout(ctx)
		if err != nil {
			return controlplane.Response{}, err
		}
		cmd := controlplane.Command{Kind: controlplane.Configure, From: now.Revision, Entries: []controlplane.EntryChange{{Key: e.Key(), Content: content}}}
		r, err := h.decide(ctx, cmd)
		if err == nil || err.Error() != controlplane.ErrConflict.Error() {
			return r, err
		}
	}
}

// awaitRollout waits until every member, including voters, reports the latest revision in force, and returns
// the time taken.
func (f *simulatedFleet) awaitRollout(ctx context.Context) (took time.Duration, err error) {
	began := time.Now()
	for {
		r, err := f.members[0].client.Rollout(ctx)
		if err == nil && r.InForce() {
			return time.Since(began), nil
		}
		if !lab.Sleep(ctx, simulatedRetryInterval) {
			return 0, fmt.Errorf("%d of %d members report revision %d: %w", r.Summary.Current(r.Revision), r.Members, r.Revision, errors.Join(err, ctx.Err()))
		}
	}
}
