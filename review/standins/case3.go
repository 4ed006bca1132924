//go:build review

package main

import "time"

func init() { cases["3"] = successorRestarts }

// successorRestarts: a forwarder dies, and the one that takes over from it is restarted before that is decided. Both come back
// with their folders. No message that was taken on may be lost.
func successorRestarts(rec *record, trouble bool) (broken []string, err error) {
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
		time.Sleep(600 * time.Millisecond)
		if err := keeper.start(); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(ownerDied.Add(7500 * time.Millisecond)))
		if err := owner.start(); err != nil {
			return nil, err
		}
	}
	s.awaitEnds(messages)
	return s.lost(messages), nil
}
