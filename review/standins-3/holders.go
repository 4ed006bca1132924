package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/lab"
	"mulleinbeam/internal/lab/cluster"
)

// The figures of two-holders.
const (
	holderMembers  = 4
	ownerIndex     = 3 // the member whose messages are looked at; no voter
	keeperAway     = 2 * time.Second
	ownerAway      = 2 * time.Second // at least; forwarders that died come back after 2 to 7.8 s
	ownerAwayMost  = 7 * time.Second
	afterFirstCall = 300 * time.Millisecond // from the successor's first call to the owner's return, if that is later
	handInterval   = 20 * time.Millisecond
	handedMessages = 60
	messageLife    = 19 * time.Second
	stepTimeout    = 30 * time.Second
)

// openCall is a call that a partner system has not answered and whose connection is open.
type openCall struct{ id, from string }

// callLog is what the partner system of two-holders sees.
type callLog struct {
	mu    sync.Mutex
	open  map[openCall]int
	twice map[string]bool // messages of which two calls were out at once
	begun int             // calls so far
}

// begin records a call and returns whether another one with its message is out.
func (l *callLog) begin(id, from string) (second bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, n := range l.open {
		second = second || c.id == id && n > 0
	}
	l.begun++
	l.open[openCall{id, from}]++
	if second {
		l.twice[id] = true
	}
	return second
}

func (l *callLog) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.begun
}

func (l *callLog) end(id, from string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[openCall{id, from}]--
}

// twoHolders checks that at most one forwarder acts for a message while members of a fleet are restarted one after
// another and the partner system hangs.
func twoHolders(r *run) (int, error) {
	calls := &callLog{open: map[openCall]int{}, twice: map[string]bool{}}
	partner := &lab.Endpoint{Name: "s-1", Weight: 50, Handle: func(c *lab.Call) bool {
		if c.ReadAll(0) != nil {
			return false
		}
		from := c.Conn.RemoteAddr().String()
		second := calls.begin(c.ID, from)
		r.note("partner: call of %s from %s begins, another one is out: %v", c.ID, from, second)
		_ = c.Conn.SetReadDeadline(time.Now().Add(18 * time.Second)) // it hangs: no answer while the caller waits
		_, _ = c.Conn.Read(make([]byte, 1))
		calls.end(c.ID, from)
		r.note("partner: call of %s from %s has ended", c.ID, from)
		return false
	}}
	f, err := cluster.Open(cluster.Setup{
		Members: holderMembers, Founders: 3, Copies: 2, Alone: []string{"safe"}, Direct: true, Dir: filepath.Join(r.folder, "fleet"),
		Program: []string{"/bin/sh", "-c", "exec bin/larkreach"},
	}, partner)
	if err != nil {
		return notRun, err
	}
	defer f.Close()
	f.Agent.Told = func(n lab.Notice) { r.note("notice %s %s", n.Message, n.Outcome) }
	if err := f.Start(f.All()...); err != nil {
		return notRun, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
	defer cancel()
	if err := f.AwaitCopied(ctx, f.All()...); err != nil {
		return notRun, err
	}
	status, err := f.Look(ownerIndex)
	if err != nil || len(status.Keepers) == 0 {
		return notRun, fmt.Errorf("n%d names no keeper: %w", ownerIndex, err)
	}
	keeper := 0
	for i, m := range f.Members {
		if m.Name == status.Keepers[0].Name {
			keeper = i
		}
	}
	r.note("n%d is the owner, n%d keeps its copies", ownerIndex, keeper)
	if r.trouble {
		r.note("n%d is killed", keeper)
		if err := f.Kill(keeper); err != nil {
			return notRun, err
		}
	}
	began := time.Now()
	var clients sync.WaitGroup
	for range handedMessages {
		clients.Go(func() {
			id, answer := f.Hand(ownerIndex, "safe", messageLife)
			r.note("client: %s at n%d: %d", id, ownerIndex, answer.Status)
		})
		time.Sleep(handInterval)
	}
	clients.Wait()
	time.Sleep(time.Until(began.Add(keeperAway)))
	if r.trouble {
		r.note("n%d is started again", keeper)
		if err := f.Start(keeper); err != nil {
			return notRun, err
		}
	}
	if err := f.AwaitCopied(ctx, ownerIndex); err != nil {
		return notRun, err
	}
	incarnation, err := f.Life(ownerIndex)
	if err != nil {
		return notRun, err
	}
	if r.trouble {
		r.note("n%d is killed", ownerIndex)
		if err := f.Kill(ownerIndex); err != nil {
			return notRun, err
		}
	}
	away, before := time.Now(), calls.count()
	if r.trouble {
		if err := f.AwaitDone(ctx, 0, f.Members[ownerIndex].Name, incarnation); err != nil {
			return notRun, err
		}
		r.note("another member has taken over from n%d", ownerIndex)
	}
	time.Sleep(time.Until(away.Add(ownerAway)))
	for r.trouble && calls.count() == before && time.Since(away) < ownerAwayMost-afterFirstCall {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(afterFirstCall)
	if r.trouble {
		r.note("n%d is started again", ownerIndex)
		if err := f.Start(ownerIndex); err != nil {
			return notRun, err
		}
		if err := f.Await(ctx, ownerIndex, "lease", func(s node.Status) bool { return s.MayAct }); err != nil {
			return notRun, err
		}
	}
	time.Sleep(6 * time.Second)
	calls.mu.Lock()
	defer calls.mu.Unlock()
	r.say("%d messages were out twice at once, by two forwarders", len(calls.twice))
	if len(calls.twice) > 0 {
		return broken, nil
	}
	return held, nil
}
