package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

const (
	killAfter = 3700 * time.Millisecond // from SIGTERM to SIGKILL in a planned restart
	settle    = 2 * time.Second         // between two restarts
)

// removedMember has four forwarders that replicate, three of them the voters. The fourth is taken out as the operators' page
// says. Then the other three are restarted one after another, while the first holds messages whose destination's only
// endpoint is being replaced.
func removedMember(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	old := &lab.Endpoint{Name: "old"}
	fleet, platform, err := startFleet(ctx, r, old, func(s *cluster.Setup) { s.Members = 4 })
	if err != nil {
		return nil, err
	}
	if err := takeOut(ctx, r, fleet, 3); err != nil {
		return nil, err
	}
	show(r, fleet)
	platform.set(listed(old, "DRAINING"))
	time.Sleep(200 * time.Millisecond)
	var ids []string
	handed := time.Now()
	for i := range 12 { // of the two classes that have 28 s
		id, a := fleet.Hand(0, lab.Classes[i%2].Name, giveUp)
		r.note("client: %s handed to n0, answered %d", id, a.Status)
		if a.Status == 202 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil, errors.New("no message was accepted")
	}
	if r.trouble {
		for i := range 3 {
			if err := restart(r, fleet, i); err != nil {
				return nil, err
			}
			time.Sleep(settle)
		}
	}
	successor := &lab.Endpoint{Name: "new", Group: cluster.Group}
	if err := successor.Listen(); err != nil {
		return nil, err
	}
	time.Sleep(time.Until(handed.Add(21 * time.Second)))
	r.note("the successor of the endpoint is listed")
	platform.set(listed(successor, "SERVING"))
	time.Sleep(time.Until(handed.Add(giveUp + lateEnd)))
	ends := map[string]bool{}
	for _, a := range successor.Arrivals() {
		r.note("endpoint new: %s run", a.ID)
		ends[a.ID] = true
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
	show(r, fleet)
	logs(r, fleet)
	return faults, nil
}

// takeOut takes a member out of the fleet for good: it is drained, stopped once it is nobody's replica, and removed once it is
// fenced.
func takeOut(ctx context.Context, r *run, fleet *cluster.Fleet, i int) error {
	name, at := fleet.Members[i].Name, fleet.Members[0].Links
	if err := operate(r, at, "drain", name); err != nil {
		return err
	}
	err := fleet.Await(ctx, 0, "other replicas", func(s node.Status) bool {
		for _, m := range s.State.Members {
			if slices.Contains(m.Keepers, name) {
				return false
			}
		}
		return true
	})
	if err != nil {
		return err
	}
	if err := fleet.Stop(i); err != nil {
		return err
	}
	r.note("%s: ended after SIGTERM", name)
	if err := fleet.AwaitDone(ctx, 0, name, 1); err != nil {
		return err
	}
	return operate(r, at, "remove", name)
}

// restart is a planned restart: SIGTERM, SIGKILL if the process has not ended in time, and another start.
func restart(r *run, fleet *cluster.Fleet, i int) error {
	m := fleet.Members[i]
	r.note("n%d: SIGTERM", i)
	if err := m.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.AfterFunc(killAfter, func() { _ = m.Signal(syscall.SIGKILL) })
	err := m.Wait()
	timer.Stop()
	r.note("n%d: ended, %v", i, err)
	time.Sleep(restartAfter)
	if err := fleet.Start(i); err != nil {
		return err
	}
	r.note("n%d: ready again", i)
	return nil
}

func init() { cases["6"] = removedMember }
