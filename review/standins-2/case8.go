package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// lostFirstVoter has three forwarders that replicate. The control plane began with one voter, which the settings of all name,
// and was grown to three by the operators' command. The first voter's machine is lost: it comes back under its name and
// address with an empty folder. Some seconds later another forwarder, which holds fee charges, is restarted. Their
// destination's only endpoint is being replaced meanwhile.
func lostFirstVoter(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	old := &lab.Endpoint{Name: "old"}
	fleet, platform, err := startFleet(ctx, r, old, func(s *cluster.Setup) { s.Founders = 1 })
	if err != nil {
		return nil, err
	}
	for i, name := range []string{"n1", "n2"} {
		if err := operate(r, fleet.Members[0].Links, "found", name); err != nil {
			return nil, err
		}
		err := fleet.Await(ctx, 0, "voters", func(s node.Status) bool {
			return len(s.Founders) == i+2 && !slices.ContainsFunc(s.Founders, func(v controlplane.Voter) bool { return v.Learns })
		})
		if err != nil {
			return nil, err
		}
	}
	show(r, fleet)
	platform.set(listed(old, "DRAINING"))
	time.Sleep(200 * time.Millisecond)
	if r.trouble {
		r.note("n0: SIGKILL, its folder is lost")
		if err := errors.Join(fleet.Kill(0), fleet.LoseFolder(0)); err != nil {
			return nil, err
		}
		time.Sleep(away)
		r.note("n0: started again with an empty folder")
		if err := fleet.Start(0); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	show(r, fleet)

	holder := 1 // of the two others the one that does not lead
	if s, err := fleet.Look(1); err == nil && s.Leader == "n1" {
		holder = 2
	}
	var ids []string
	handed := time.Now()
	for range 6 {
		id, a := fleet.Hand(holder, "fee-charge", giveUp)
		r.note("client: %s handed to n%d, answered %d", id, holder, a.Status)
		if a.Status == 202 {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return nil, errors.New("no message was accepted")
	}
	if r.trouble {
		r.note("n%d: SIGKILL", holder)
		if err := fleet.Kill(holder); err != nil {
			return nil, err
		}
		time.Sleep(restartAfter)
		r.note("n%d: started again", holder)
		if err := fleet.Start(holder); err != nil {
			return nil, err
		}
	}
	time.Sleep(8 * time.Second)
	show(r, fleet)
	successor := &lab.Endpoint{Name: "new", Group: cluster.Group, Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		r.note("endpoint new: %s has come whole on connection %d", c.ID, c.Connection)
		time.Sleep(120 * time.Millisecond)
		return c.Answer(200, "") == nil
	}}
	if err := successor.Listen(); err != nil {
		return nil, err
	}
	r.note("the successor of the endpoint is listed")
	platform.set(listed(successor, "SERVING"))
	time.Sleep(time.Until(handed.Add(giveUp + lateEnd)))
	runs := map[string]int{}
	for _, a := range successor.Arrivals() {
		runs[a.ID]++
	}
	var faults []string
	for _, id := range ids {
		if runs[id] > 1 {
			faults = append(faults, fmt.Sprintf("%s ran %d times", id, runs[id]))
		}
	}
	logs(r, fleet)
	return faults, nil
}

func init() { cases["8"] = lostFirstVoter }
