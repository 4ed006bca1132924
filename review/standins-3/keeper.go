package main

import (
	"context"
	"fmt"
	"os/exec"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
)

// The figures of case 9.
const (
	linkDelay = 10 * time.Millisecond // one way between two members
	// linkBytesPerSecond is what a link between two members carries in each direction: 20 Mbit a second.
	linkBytesPerSecond = 2_500_000
	afterChange        = time.Second           // from the change of the keeper to the loss of the owner
	chargeInterval     = 50 * time.Millisecond // between two messages
	chargeBytes        = 60_000                // of a body, within 64 KiB
	fleetMembers       = 4
	ownerIndex         = 3 // the member that the messages are handed in at; no voter
	chargeLife         = 19 * time.Second
	beforeDrain        = 3 * time.Second
	withoutDrain       = 3700 * time.Millisecond // as long as the change of the keeper takes
	chargesAfter       = 500 * time.Millisecond  // how long the partner system stays shut after the loss
	ownerBack          = 5 * time.Second
	lateSlack          = 350 * time.Millisecond // a notice may come so long after a message's time
)

// chargeLog is what the partner system, the platform and the clients see of messages.
type chargeLog struct {
	mu    sync.Mutex
	taken map[string]time.Time // answered 202, and when their time is up
	ran   map[string]int
	ended map[string]time.Time // first delivery or notice
}

func (l *chargeLog) end(id string) {
	if _, known := l.ended[id]; !known {
		l.ended[id] = time.Now()
	}
}

// drainedKeeper checks that messages that were answered 202 outlive their forwarder while the member that keeps their
// copies is drained. The partner system is shut meanwhile, so that they are held.
func drainedKeeper(r *run) (int, error) {
	charges := &chargeLog{taken: map[string]time.Time{}, ran: map[string]int{}, ended: map[string]time.Time{}}
	var open atomic.Bool
	partner := &lab.Endpoint{Name: "s-1", Weight: 50, Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		if !open.Load() {
			return c.Answer(503, "") == nil
		}
		time.Sleep(60 * time.Millisecond)
		charges.mu.Lock()
		charges.ran[c.ID]++
		charges.end(c.ID)
		charges.mu.Unlock()
		r.note("partner ran %s", c.ID)
		return c.Answer(200, "") == nil
	}}
	partner.Group = destination
	if err := partner.Listen(); err != nil {
		return notRun, err
	}
	defer partner.Close()
	agent := &lab.Agent{}
	agent.Told = func(n lab.Notice) {
		r.note("notice %s %s", n.Message, n.Outcome)
		charges.mu.Lock()
		defer charges.mu.Unlock()
		charges.end(n.Message)
	}
	if err := agent.Listen(partner); err != nil {
		return notRun, err
	}
	defer agent.Close()
	f, err := r.openDelayedFleet(fleetMembers, agent, linkDelay)
	if err != nil {
		return notRun, err
	}
	defer f.close()
	if err := f.start(); err != nil {
		return notRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
	defer cancel()
	for i := range f.members {
		if err := f.await(ctx, i, "in-sync copy", func(s node.Status) bool {
			return s.MayAct && !s.Silent && len(s.Keepers) == 1 && s.Keepers[0].Counts && s.Keepers[0].Has == s.Keepers[0].Of
		}); err != nil {
			return notRun, err
		}
	}
	status, err := node.GetStatus(ctx, f.members[ownerIndex].links)
	if err != nil {
		return notRun, err
	}
	incarnation, keeper := status.Life, status.Keepers[0].Name
	r.note("n%d is the owner, %s keeps its copies", ownerIndex, keeper)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var number atomic.Int64
	clients.Go(func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(chargeInterval):
			}
			clients.Go(func() {
				sent := time.Now()
				id, answer := hand(f.members[ownerIndex].Address(), int(number.Add(1)))
				r.note("client: %s at n%d: %d", id, ownerIndex, answer.Status)
				if answer.Status == 202 {
					charges.mu.Lock()
					charges.taken[id] = sent.Add(chargeLife)
					charges.mu.Unlock()
				}
			})
		}
	})
	time.Sleep(beforeDrain)
	if r.trouble {
		r.note("larkreach cluster drain %s", keeper)
		drain := exec.Command("bin/larkreach", "cluster", "drain", keeper, "--at", f.members[0].links)
		if out, err := drain.CombinedOutput(); err != nil {
			return notRun, fmt.Errorf("drain: %w: %s", err, out)
		}
		var to []string
		if err := f.await(ctx, ownerIndex, "another keeper", func(s node.Status) bool {
			to = s.State.Members[incarnation.Name].Keepers
			return len(to) > 0 && !slices.Contains(to, keeper)
		}); err != nil {
			return notRun, err
		}
		r.note("%v keep the copies from here on", to)
	} else {
		time.Sleep(withoutDrain)
	}
	time.Sleep(afterChange)
	f.kill(ownerIndex)
	lost := time.Now()
	r.note("n%d is killed", ownerIndex)
	close(stop)
	clients.Wait()
	time.Sleep(chargesAfter)
	open.Store(true)
	time.Sleep(time.Until(lost.Add(ownerBack)))
	r.note("n%d is started again, with its folder", ownerIndex)
	if err := f.members[ownerIndex].Start(); err != nil {
		return notRun, err
	}
	time.Sleep(time.Until(lost.Add(chargeLife + 3*time.Second)))
	return charges.verdict(r), nil
}

// verdict counts the messages that were taken on and never ended, or ended too late, or that ran twice.
func (l *chargeLog) verdict(r *run) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	never, late, twice := 0, 0, 0
	for id, until := range l.taken {
		ended, known := l.ended[id]
		switch {
		case !known:
			never++
			r.note("%s was answered 202 and has no end", id)
		case ended.After(until.Add(lateSlack)):
			late++
			r.note("%s ended %v after its time", id, ended.Sub(until))
		}
	}
	for id, n := range l.ran {
		if n > 1 {
			twice++
			r.note("%s ran %d times", id, n)
		}
	}
	r.say("%d messages were answered 202; %d have no end, %d ended too late, %d ran twice", len(l.taken), never, late, twice)
	if never+late+twice > 0 {
		return broken
	}
	return held
}

// destination is the number of the partner system's destination.
const destination = 7

// hand submits a fee charge as a client does, which waits 400 ms for the answer.
func hand(address string, number int) (id string, answer lab.Answer) {
	id = fmt.Sprintf("charge-%d", number)
	client, err := lab.Dial(address)
	if err != nil {
		return id, lab.Answer{Err: err}
	}
	defer client.Close()
	_ = client.Conn.SetDeadline(time.Now().Add(400 * time.Millisecond))
	return id, client.Hand(lab.Handover{
		ID: id, Class: "fee-charge", Destination: destination, Left: chargeLife, Body: lab.Content{Seed: uint64(number), Size: chargeBytes},
	}, nil)
}
