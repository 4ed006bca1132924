package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

const (
	killRounds  = 3
	perRound    = 3
	readingLeft = 6 * time.Second // how long a station reading may be delivered
)

// killBehindAnswer has three forwarders that replicate, and a destination whose only endpoint drains, so that its messages end
// by a notice. One forwarder dies and comes back some seconds later. Clients use it as soon as it is ready, and it is killed
// right behind the answers that take their messages on, and restarted. That is repeated.
func killBehindAnswer(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	old := &lab.Endpoint{Name: "old"}
	fleet, platform, err := startFleet(ctx, r, old, nil)
	if err != nil {
		return nil, err
	}
	platform.set(listed(old, "DRAINING"))
	time.Sleep(200 * time.Millisecond)
	var ids []string
	var last time.Time
	for range killRounds {
		if err := dieAndReturn(r, fleet, away); err != nil {
			return nil, err
		}
		for range perRound {
			id, a := fleet.Hand(0, "station-reading", readingLeft)
			last = time.Now()
			r.note("client: %s handed to n0, answered %d", id, a.Status)
			if a.Status == 202 {
				ids = append(ids, id)
			}
		}
		if err := dieAndReturn(r, fleet, restartAfter); err != nil {
			return nil, err
		}
		if err := fleet.AwaitCopied(ctx, fleet.All()...); err != nil {
			return nil, err
		}
		time.Sleep(settle)
	}
	if len(ids) == 0 {
		return nil, errors.New("no message was accepted")
	}
	time.Sleep(time.Until(last.Add(readingLeft + lateEnd)))
	reported := platform.reported()
	var faults []string
	for _, id := range ids {
		if _, known := reported[id]; !known && len(old.Arrivals()) == 0 {
			faults = append(faults, fmt.Sprintf("%s was answered 202 and has no end %v after its time: neither delivered nor in a notice", id, lateEnd))
		}
	}
	logs(r, fleet)
	return faults, nil
}

// dieAndReturn kills n0 and starts it again in its folder after some time, unless the disruption is left out.
func dieAndReturn(r *run, fleet *cluster.Fleet, after time.Duration) error {
	if !r.trouble {
		time.Sleep(after)
		return nil
	}
	r.note("n0: SIGKILL")
	if err := fleet.Kill(0); err != nil {
		return err
	}
	time.Sleep(after)
	if err := fleet.Start(0); err != nil {
		return err
	}
	r.note("n0: ready again after %v", after)
	return nil
}

func init() { cases["9"] = killBehindAnswer }
