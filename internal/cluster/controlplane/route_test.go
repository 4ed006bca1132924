package controlplane

import (
	"fmt"
	"testing"
	"time"
)

// Members prefer relays of their own zone and spread over them. Only the members of a failed relay move, and they
// spread over the remaining ones.
func TestRelaysAreRankedByZoneAndSpread(t *testing.T) {
	var relays []Relay
	for i := range 6 {
		relays = append(relays, Relay{Zone: fmt.Sprint("z", i%2), Address: fmt.Sprint("r", i)})
	}
	first, second := map[string]int{}, map[string]int{}
	const members = 3000
	for i := range members {
		ranked := RankRelays(relays, fmt.Sprint("m", i), "z1")
		for k, r := range ranked {
			if (r.Zone == "z1") != (k < 3) {
				t.Fatalf("%v", ranked)
			}
		}
		first[ranked[0].Address]++
		if ranked[0].Address == "r1" {
			second[ranked[1].Address]++
		}
	}
	for _, address := range []string{"r1", "r3", "r5"} {
		if n := first[address]; n < members/4 || n > members/2 {
			t.Errorf("%s is preferred by %d", address, n)
		}
	}
	if len(second) != 2 || second["r3"] < members/9 || second["r5"] < members/9 {
		t.Errorf("members of r1 move to %v", second)
	}
}

// A relay that times out is skipped, retried later with a short timeout, and preferred again once it answers. One that
// refuses the connection is retried soon.
func TestUnresponsiveRelayIsSkipped(t *testing.T) {
	a, b := Relay{Address: "a"}, Relay{Address: "b"}
	r := NewRoute([]Relay{a, b})
	at := time.Duration(0)
	next := func(want Relay, timeout time.Duration) {
		t.Helper()
		if step, got, wait := r.Next(at, 0); step != AskRelay || got != want || wait != timeout {
			t.Errorf("at %v: %v, %v for %v", at, step, got, wait)
		}
	}
	next(a, relayTimeout)
	r.TimedOut(a, at, 0)
	next(b, relayTimeout)
	at += timeoutSkip/2 - 1
	next(b, relayTimeout)
	at++
	next(a, retryTimeout)
	r.TimedOut(a, at, 1)
	at += timeoutSkip
	next(b, relayTimeout)
	at += timeoutSkip / 2
	next(a, retryTimeout)
	r.Answered(a)
	next(a, relayTimeout)
	r.Unreachable(a, at, 1)
	at += unreachableSkip
	next(b, relayTimeout)
	at += unreachableSkip / 2
	next(a, relayTimeout)
}

// Voters are not asked while relays answer that there is no leader, only if no relay answers. Members then spread their
// requests to the voters over time.
func TestVotersAreAskedOnlyIfNoRelayAnswers(t *testing.T) {
	a, b := Relay{Address: "a"}, Relay{Address: "b"}
	r := NewRoute([]Relay{a, b})
	r.NoLeader(a, 0)
	if step, got, _ := r.Next(1, 0); step != AskRelay || got != b {
		t.Errorf("%v, %v", step, got)
	}
	r.TimedOut(b, 1, 0)
	if step, got, _ := r.Next(2, 0); step != AskRelay || got != a {
		t.Errorf("%v, %v: it found no leader, but it answers", step, got)
	}
	r.TimedOut(a, 2, 0)
	for at, want := range map[time.Duration]RouteStep{3: Wait, 3 + voterSpread/2: Wait, 4 + voterSpread/2: AskVoters} {
		if step, _, _ := r.Next(3, 0.5); step != Wait {
			t.Errorf("%v at first", step)
		}
		if step, _, _ := r.Next(at, 1); step != want {
			t.Errorf("at %v: %v", at, step)
		}
	}
	r.Answered(a)
	if step, got, _ := r.Next(voterSpread, 0); step != AskRelay || got != a {
		t.Errorf("%v, %v", step, got)
	}
	r.TimedOut(a, 2, 1)
	r.TimedOut(b, 2, 1)
	if step, _, _ := r.Next(3, 1); step != Wait {
		t.Errorf("%v: the wait before asking voters does not start anew", step)
	}
	if step, _, _ := NewRoute(nil).Next(0, 0); step != AskVoters {
		t.Error("a route without relays does not ask voters")
	}
}

// If no relay answers, the one whose last attempt is the longest ago is retried early, in turn with the voters.
// Otherwise a relay that was suspended and resumed is skipped for ten seconds even though the other one has stopped.
func TestUnresponsiveRelaysAreRetriedEarlyIfThereIsNoOther(t *testing.T) {
	a, b := Relay{Address: "a"}, Relay{Address: "b"}
	r := NewRoute([]Relay{a, b})
	r.TimedOut(a, 1, 1)
	at := unreachableSkip
	r.TimedOut(b, at, 1)
	at++
	for _, want := range []struct {
		step  RouteStep
		relay Relay
	}{{AskRelay, a}, {AskVoters, Relay{}}, {AskRelay, b}, {AskVoters, Relay{}}, {AskRelay, a}} {
		step, relay, timeout := r.Next(at, 0)
		if step == Wait { // until the voters may be asked
			at += 2
			step, relay, timeout = r.Next(at, 0)
		}
		if step != want.step || relay != want.relay || step == AskRelay && timeout != retryTimeout {
			t.Fatalf("at %v: %v of %q, wanted %v of %q", at, step, relay.Address, want.step, want.relay.Address)
		}
		if step == AskRelay {
			r.TimedOut(relay, at, 1)
		}
		at += unreachableSkip
	}
	r.Answered(a)
	if step, relay, _ := r.Next(at, 0); step != AskRelay || relay != a {
		t.Errorf("%v of %q", step, relay.Address)
	}
}
