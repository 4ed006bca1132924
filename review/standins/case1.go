//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// The members of the cases. By their names n8 keeps the copies of n3, and n16 or n1 those of n8: each in the other building.
var twoBuildings = options{
	names:    []string{"n0", "n1", "n2", "n3", "n8", "n16"},
	zones:    []string{"budova-a", "budova-b", "budova-a", "budova-b", "budova-a", "budova-b"},
	founders: 3, copies: 2, delay: 80 * time.Millisecond,
}

func init() { cases["1"] = successorDies }

const (
	clumpSize      = 100                    // messages handed in at one forwarder
	clumpPause     = 40 * time.Millisecond  // between two of them
	takes          = 10.0                   // calls a second that the destination takes from all forwarders
	bodySize       = 48 << 10               // of a message
	successorLives = 500 * time.Millisecond // from the takeover's begin to the death of who takes over
)

// jump starts the members and has traffic at one forwarder jump to 2.5 times what the destination takes, for 4 s. It returns
// that forwarder, and the one that holds the copies of what it owes; neither votes in the control plane.
func jump(s *site) (owner, keeper *member, messages []*message, err error) {
	s.endpoints[0].limit(takes)
	if err := s.startAll(); err != nil {
		return nil, nil, nil, err
	}
	keepers, err := s.awaitKeepers(len(s.members))
	if err != nil {
		return nil, nil, nil, err
	}
	s.rec.note("keepers: %v", keepers)
	for _, m := range s.members[s.founders:] {
		k := s.named(keepers[m.name].Keepers[0])
		if next := s.named(keepers[k.name].Keepers[0]); k.index >= s.founders && next != m && next.zone != k.zone && k.zone != m.zone {
			owner, keeper = m, k
		}
	}
	if owner == nil {
		return nil, nil, nil, errors.New("no member has a keeper that may die")
	}
	var group sync.WaitGroup
	messages = make([]*message, clumpSize)
	for i := range messages {
		group.Go(func() {
			messages[i] = s.handIn(owner, fmt.Sprintf("charge-%02d", i), "fee-charge", 28*time.Second, bodySize)
		})
		time.Sleep(clumpPause)
	}
	group.Wait()
	return owner, keeper, messages, nil
}

// awaitTakeover waits until a member has been told to take over from another one.
func (s *site) awaitTakeover(from, by *member) error {
	for until := time.Now().Add(8 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		var lives []life
		if by.query(&lives, "cluster", "lives") != nil {
			continue
		}
		for _, l := range lives {
			if l.Life.Name == from.name && l.Taker.Name == by.name {
				s.rec.note("%s is told to take over from %s, done %v", by.name, from.name, l.Done)
				return nil
			}
		}
	}
	return fmt.Errorf("%s is not told to take over from %s", by.name, from.name)
}

// awaitEnds waits until the time of all messages has been over for a while.
func (s *site) awaitEnds(messages []*message) {
	last := time.Duration(0)
	for _, m := range messages {
		last = max(last, m.sentAt+m.left)
	}
	time.Sleep(last + 1500*time.Millisecond - s.rec.now())
	var lives []life
	_ = s.members[0].query(&lives, "cluster", "lives")
	s.rec.note("lives: %+v", lives)
}

// successorDies: a forwarder dies, the one that takes over from it dies as well before that is decided, and both come back with
// their folders, the first one first. No fee charge may run twice.
func successorDies(rec *record, trouble bool) (broken []string, err error) {
	s, err := open(rec, twoBuildings)
	if err != nil {
		return nil, err
	}
	defer s.close()
	owner, keeper, messages, err := jump(s)
	if err != nil {
		return nil, err
	}
	if trouble {
		owner.kill()
		ownerDied := time.Now()
		if err := s.awaitTakeover(owner, keeper); err != nil {
			return nil, err
		}
		time.Sleep(successorLives)
		keeper.kill()
		keeperDied := time.Now()
		time.Sleep(time.Until(ownerDied.Add(7500 * time.Millisecond)))
		if err := owner.start(); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(keeperDied.Add(7500 * time.Millisecond)))
		if err := keeper.start(); err != nil {
			return nil, err
		}
	}
	s.awaitEnds(messages)
	return s.ranTwice(messages), nil
}
