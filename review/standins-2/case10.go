package main

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

const (
	cutFor   = 6 * time.Second  // how long one forwarder is cut off from the others
	longLeft = 20 * time.Second // how long the long message may be delivered
	longWait = 10 * time.Second // how much longer its client waits for an answer
)

// longBodyAtCutMember has three forwarders that replicate and pass on long bodies. A client hands a long body to one, whose
// endpoint answers it after some seconds. That forwarder is cut off from the other two for a while; it runs on, and so does
// the client's connection.
func longBodyAtCutMember(r *run) ([]string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	partner := &lab.Endpoint{Name: "p", Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		r.note("endpoint: %s has come whole", c.ID)
		time.Sleep(10 * time.Second)
		return c.Answer(200, "") == nil
	}}
	fleet, platform, err := startFleet(ctx, r, partner, func(s *cluster.Setup) { s.Direct, s.Settings = false, "[bodies]\n" })
	if err != nil {
		return nil, err
	}
	answers := make(chan lab.Answer, 1)
	handed := time.Now()
	go func() {
		c, err := lab.Dial(fleet.Members[0].Address())
		if err != nil {
			answers <- lab.Answer{Err: err}
			return
		}
		answers <- c.Hand(lab.Handover{
			ID: "long-1", Key: "key-1", Class: "fee-charge", Destination: cluster.Group, Left: longLeft, Body: lab.Content{Seed: 1, Size: 1 << 20},
		}, nil)
	}()
	time.Sleep(time.Second)
	if r.trouble {
		fleet.Split(0)
		r.note("n0 is cut off from the others")
		time.Sleep(cutFor)
		fleet.Heal()
		r.note("n0 is no longer cut off")
	}
	var faults []string
	select {
	case a := <-answers:
		r.note("client: long-1 answered %d after %v, %v", a.Status, time.Since(handed).Round(time.Millisecond), a.Err)
		if a.Status == 0 {
			faults = append(faults, "long-1: the connection ended without an answer")
		}
	case <-time.After(time.Until(handed.Add(longLeft + longWait))):
		faults = append(faults, fmt.Sprintf("long-1, handed in with %v left, has no answer after %v on a connection that is still open", longLeft, longLeft+longWait))
	}
	r.note("notices: %v", platform.reported())
	ended := make(chan error, 1)
	stopped := time.Now()
	if err := fleet.Members[0].Signal(syscall.SIGTERM); err != nil {
		return nil, err
	}
	go func() { ended <- fleet.Members[0].Wait() }()
	select {
	case err := <-ended:
		r.note("n0 ended %v after SIGTERM: %v", time.Since(stopped).Round(time.Millisecond), err)
	case <-time.After(10 * time.Second):
		r.note("n0 has not ended 10 s after SIGTERM") // told for completeness; the verdict goes by the answer alone
	}
	logs(r, fleet)
	return faults, nil
}

func init() { cases["10"] = longBodyAtCutMember }
