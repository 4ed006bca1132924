package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

const (
	rounds    = 5
	perMember = 32                    // messages that each forwarder holds when the leader dies
	step      = 40 * time.Millisecond // between the times of two of them
	firstOver = 800 * time.Millisecond
)

// heldAt is a message that a forwarder has accepted, and when its time is up.
type heldAt struct {
	id   string
	at   int
	over time.Time
}

// leaderDies has three forwarders that replicate, and messages at those two that do not lead the control plane. Their
// destination's only endpoint drains, so that they end by a notice when their time is up. The leader dies and comes back
// some seconds later; the other two run on. That is repeated with the next leader.
func leaderDies(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	partner := &lab.Endpoint{Name: "old"}
	fleet, platform, err := startFleet(ctx, r, partner, nil)
	if err != nil {
		return nil, err
	}
	platform.set(listed(partner, "DRAINING"))
	var faults []string
	for range rounds {
		messages, err := leaderRound(ctx, r, fleet)
		if err != nil {
			return nil, err
		}
		reported := platform.reported()
		for _, m := range messages {
			at, known := reported[m.id]
			switch late := at.Sub(m.over); {
			case !known:
				faults = append(faults, fmt.Sprintf("%s, accepted by n%d, which ran on, has no end", m.id, m.at))
			case late > slack:
				faults = append(faults, fmt.Sprintf("%s, accepted by n%d, which ran on, ended %v after its time", m.id, m.at, late.Round(time.Millisecond)))
			}
		}
	}
	logs(r, fleet)
	return faults, nil
}

// leaderRound hands messages to the forwarders that do not lead, kills the leader and starts it again.
func leaderRound(ctx context.Context, r *run, fleet *cluster.Fleet) (messages []heldAt, err error) {
	leader := ""
	if err := fleet.Await(ctx, 0, "a leader", func(s node.Status) bool { leader = s.Leader; return leader != "" }); err != nil {
		return nil, err
	}
	dies := int(leader[1] - '0')
	time.Sleep(2 * time.Second) // a restarted forwarder is excused for 1.5 s after it is ready
	dead := time.Now().Add(time.Second)
	for i := range fleet.Members {
		for k := range perMember {
			if i == dies {
				continue
			}
			sent := time.Now()
			left := dead.Add(firstOver + time.Duration(k)*step).Sub(sent).Truncate(time.Millisecond)
			id, a := fleet.Hand(i, lab.Classes[k%len(lab.Classes)].Name, left)
			r.note("client: %s handed to n%d with %v left, answered %d", id, i, left, a.Status)
			if a.Status == 202 {
				messages = append(messages, heldAt{id, i, sent.Add(left)})
			}
		}
	}
	if len(messages) == 0 {
		return nil, errors.New("no message was accepted")
	}
	time.Sleep(time.Until(dead))
	if !r.trouble {
		time.Sleep(4 * time.Second)
		return messages, nil
	}
	r.note("n%d, the leader: SIGKILL", dies)
	if err := fleet.Kill(dies); err != nil {
		return nil, err
	}
	time.Sleep(away)
	r.note("n%d: started again", dies)
	if err := fleet.Start(dies); err != nil {
		return nil, err
	}
	return messages, fleet.AwaitCopied(ctx, fleet.All()...)
}

func init() { cases["10"] = leaderDies }
