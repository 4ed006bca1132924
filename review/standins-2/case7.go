package main

import (
	"context"
	"fmt"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// takeoversInTurn has three forwarders that replicate. The only endpoint of a destination is replaced: it drains, and its
// successor comes some 20 s later. Meanwhile one forwarder after another dies and comes back some seconds later, each time
// the one that owes the messages.
func takeoversInTurn(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	old := &lab.Endpoint{Name: "old"}
	fleet, platform, err := startFleet(ctx, r, old, nil)
	if err != nil {
		return nil, err
	}
	successor := &lab.Endpoint{Name: "new", Group: cluster.Group}
	if err := successor.Listen(); err != nil {
		return nil, err
	}
	platform.set(listed(old, "DRAINING"))
	time.Sleep(200 * time.Millisecond)

	var ids []string
	handed := time.Now()
	for i := range 12 { // of the two classes that have 28 s
		class := lab.Classes[i%2].Name
		id, a := fleet.Hand(0, class, giveUp)
		r.note("client: %s handed to n0, answered %d", id, a.Status)
		if a.Status == 202 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil, fmt.Errorf("no message was accepted")
	}
	if r.trouble {
		if err := killInTurn(ctx, r, fleet); err != nil {
			return nil, err
		}
	}
	time.Sleep(time.Until(handed.Add(21 * time.Second)))
	r.note("the successor of the endpoint is listed")
	platform.set(listed(successor, "SERVING"))
	time.Sleep(time.Until(handed.Add(giveUp + lateEnd)))

	ends := map[string]bool{}
	for _, p := range []*lab.Endpoint{old, successor} {
		for _, a := range p.Arrivals() {
			r.note("endpoint %s: %s run", p.Name, a.ID)
			ends[a.ID] = true
		}
	}
	for id := range platform.reported() {
		ends[id] = true
	}
	var faults []string
	for _, id := range ids {
		if !ends[id] {
			faults = append(faults, fmt.Sprintf("%s was answered 202 and has no end %v after its time: neither delivered nor in a notice", id, lateEnd))
		}
	}
	logs(r, fleet)
	return faults, nil
}

// killInTurn kills the forwarder that owes the messages, starts it again, and repeats that with the one that took them
// over, three times in all.
func killInTurn(ctx context.Context, r *run, fleet *cluster.Fleet) error {
	owner := 0
	for range 3 {
		incarnation, err := fleet.Life(owner)
		if err != nil {
			return err
		}
		r.note("n%d: SIGKILL, incarnation %d", owner, incarnation)
		if err := fleet.Kill(owner); err != nil {
			return err
		}
		time.Sleep(away)
		r.note("n%d: started again", owner)
		if err := fleet.Start(owner); err != nil {
			return err
		}
		if err := fleet.AwaitDone(ctx, owner, fleet.Members[owner].Name, incarnation); err != nil {
			return err
		}
		s, err := fleet.Look(owner)
		if err != nil {
			return err
		}
		next := owner
		for _, j := range s.State.Jobs {
			if j.Life.Name == fleet.Members[owner].Name && j.Life.Number == incarnation {
				next = int(j.Taker.Name[1] - '0')
			}
		}
		r.note("n%d/%d was taken over by n%d", owner, incarnation, next)
		if err := fleet.AwaitCopied(ctx, fleet.All()...); err != nil {
			return err
		}
		owner = next
	}
	return nil
}

func init() { cases["7"] = takeoversInTurn }
