package main

import (
	"cmp"
	"context"
	"os/exec"
	"strings"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

const (
	giveUp       = 28 * time.Second        // how long a message of record-extract and fee-charge may be delivered
	slack        = 350 * time.Millisecond  // after its time a message is lost so much later: 300 ms, and 50 ms for every limit on sockets
	lateEnd      = 3 * time.Second         // how long after its time a message's end is waited for, far more than the rules allow
	away         = 3500 * time.Millisecond // how long a forwarder that died stays away; the pages say 2 to 7.8 s
	restartAfter = 600 * time.Millisecond  // between SIGKILL and the next start of a restart
)

// listed returns the platform's entry of an endpoint.
func listed(p *lab.Endpoint, status string) entry {
	return entry{Name: p.Name, Address: p.Address(), Zone: cmp.Or(p.Zone, "z"), Type: "k", Group: cluster.Group, Status: status, Weight: 50}
}

// startFleet starts three forwarders that replicate, with the given partner as the only endpoint, and waits until each has
// its replica. Unless it is nil, change changes the setup.
func startFleet(ctx context.Context, r *run, partner *lab.Endpoint, change func(*cluster.Setup)) (*cluster.Fleet, *agent, error) {
	lab.Classes = vltaviceClasses
	platform, err := startAgent(r)
	if err != nil {
		return nil, nil, err
	}
	setup := cluster.Setup{Members: 3, Alone: alone, Program: deployCommand, Dir: r.dir, Seed: 1, Direct: true}
	setup.Amend = func(configuration map[string]any) {
		configuration["settings"].(map[string]any)["balancers"] = setup.Members
		configuration["discovery"], configuration["known"] = platform.address, platform.known()
	}
	if change != nil {
		change(&setup)
	}
	fleet, err := cluster.Open(setup, partner)
	if err != nil {
		return nil, nil, err
	}
	r.onEnd(fleet.Close)
	platform.set(listed(partner, "SERVING"))
	if err := fleet.Start(fleet.All()...); err != nil {
		return nil, nil, err
	}
	if err := fleet.AwaitCopied(ctx, fleet.All()...); err != nil {
		return nil, nil, err
	}
	r.note("%d forwarders are ready and replicate", setup.Members)
	return fleet, platform, nil
}

// logs writes the logs of the members to the record.
func logs(r *run, fleet *cluster.Fleet) {
	for i, m := range fleet.Members {
		r.note("log of n%d since its last start:\n%s", i, m.Log())
	}
}

// operate runs one of the operators' commands at a member.
func operate(r *run, at string, args ...string) error {
	args = append(append([]string{"cluster"}, args...), "--at", at)
	out, err := exec.Command("bin/larkreach", args...).CombinedOutput()
	r.note("larkreach %s: %v\n%s", strings.Join(args, " "), err, strings.TrimSpace(string(out)))
	return err
}

// show records what each member says of the voters and the members.
func show(r *run, fleet *cluster.Fleet) {
	for _, m := range fleet.Members {
		_ = operate(r, m.Links, "founders")
		_ = operate(r, m.Links, "members")
	}
}
