package controlplane

import (
	"fmt"
	"testing"
	"time"
)

// Members prefer relays of their own zone and spread over them; one that goes moves only its own members, and spreads them over the others.
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
			t.Errorf("%s is the first of %d", address, n)
		}
	}
	if len(second) != 2 || second["r3"] < members/9 || second["r5"] < members/9 {
		t.Errorf("members of r1 go to %v", second)
	}
}

// A relay without an answer is passed over, tried again later for a short time only, and preferred again once it answers. One that took no
// connection is tried again soon.
func TestARelayThatIsSilentIsPassedOver(t *testing.T) {
	a, b := Relay{Address: "a"}, Relay{Address: "b"}
	r := NewRoute([]Relay{a, b})
	at := time.Duration(0)
	next := func(want Relay, patience time.Duration) {
		t.Helper()
		if step, got, wait := r.Next(at, 0); step != AskRelay || got != want || wait != patience {
			t.Errorf("at %v: %v, %v for %v", at, step, got, wait)
		}
	}
	next(a, relayPatience)
	r.TimedOut(a, at, 0)
	next(b, relayPatience)
	at += silentAside/2 - 1
	next(b, relayPatience)
	at++
	next(a, returnPatience)
	r.TimedOut(a, at, 1)
	at += silentAside
	next(b, relayPatience)
	at += silentAside / 2
	next(a, returnPatience)
	r.Answered(a)
	next(a, relayPatience)
	r.Unreachable(a, at, 1)
	at += goneAside
	next(b, relayPatience)
	at += goneAside / 2
	next(a, relayPatience)
}

// While relays answer that there is no leader, voters are not asked: only silence of all relays leads to them, and members come one behind
// the other.
func TestVotersAreAskedOnlyWhileAllRelaysAreSilent(t *testing.T) {
	a, b := Relay{Address: "a"}, Relay{Address: "b"}
	r := NewRoute([]Relay{a, b})
	r.NoLeader(a, 0)
	if step, got, _ := r.Next(1, 0); step != AskRelay || got != b {
		t.Errorf("%v, %v", step, got)
	}
	r.TimedOut(b, 1, 0)
	if step, got, _ := r.Next(2, 0); step != AskRelay || got != a {
		t.Errorf("%v, %v: it refused, and answers", step, got)
	}
	r.TimedOut(a, 2, 0)
	for at, want := range map[time.Duration]RouteStep{3: Wait, 3 + directWithin/2: Wait, 4 + directWithin/2: AskVoters} {
		if step, _, _ := r.Next(3, 0.5); step != Wait {
			t.Errorf("%v at first", step)
		}
		if step, _, _ := r.Next(at, 1); step != want {
			t.Errorf("at %v: %v", at, step)
		}
	}
	r.Answered(a)
	if step, got, _ := r.Next(directWithin, 0); step != AskRelay || got != a {
		t.Errorf("%v, %v", step, got)
	}
	r.TimedOut(a, 2, 1)
	r.TimedOut(b, 2, 1)
	if step, _, _ := r.Next(3, 1); step != Wait {
		t.Errorf("%v: the time to ask voters is counted anew", step)
	}
	if step, _, _ := NewRoute(nil).Next(0, 0); step != AskVoters {
		t.Error("a relay where there is none")
	}
}

// With all relays silent those that have been left alone for the longest are tried once more, in turn with the voters: a relay that was stopped
// and went on again was passed over for ten seconds while the other one had stopped.
func TestSilentRelaysAreTriedAgainWhenThereIsNoOther(t *testing.T) {
	a, b := Relay{Address: "a"}, Relay{Address: "b"}
	r := NewRoute([]Relay{a, b})
	r.TimedOut(a, 1, 1)
	at := goneAside
	r.TimedOut(b, at, 1)
	at++
	for _, want := range []struct {
		step  RouteStep
		relay Relay
	}{{AskRelay, a}, {AskVoters, Relay{}}, {AskRelay, b}, {AskVoters, Relay{}}, {AskRelay, a}} {
		step, relay, patience := r.Next(at, 0)
		if step == Wait { // for its turn at the voters
			at += 2
			step, relay, patience = r.Next(at, 0)
		}
		if step != want.step || relay != want.relay || step == AskRelay && patience != returnPatience {
			t.Fatalf("at %v: %v of %q, wanted %v of %q", at, step, relay.Address, want.step, want.relay.Address)
		}
		if step == AskRelay {
			r.TimedOut(relay, at, 1)
		}
		at += goneAside
	}
	r.Answered(a)
	if step, relay, _ := r.Next(at, 0); step != AskRelay || relay != a {
		t.Errorf("%v of %q", step, relay.Address)
	}
}
