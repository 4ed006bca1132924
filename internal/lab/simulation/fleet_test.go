package simulation

import (
	"testing"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// fleet is eighty forwarders before a few partners that lower their limits for a while. Each forwarder sees a call or two a
// second of each, partners tell no waits, and what they refuse counts for the limit.
func fleet() scenario.Scenario {
	s := small(scenario.Fault{Kind: scenario.Limit, At: d(8 * time.Second), Duration: d(9 * time.Second), Factor: 0.7, Share: 1})
	s.Name, s.Fleet = "fleet", scenario.Fleet{Forwarders: 80, Slots: 4, MostHeld: 60}
	s.Destinations[0].Capacity, s.Destinations[0].Limit, s.Destinations[0].RetryAfter = 140, 100, 0
	s.Traffic.Rate, s.Traffic.DestinationSkew = 340, 0.3
	return s
}

// A fleet keeps using a limit that it has reached: each forwarder paces itself by what it is asked for, so that the sum comes
// down to the limit and no lower. Forwarders that take themselves for a few pace by the whole limit, which binds none of them.
func TestAFleetSharesALimit(t *testing.T) {
	share := func(r Result) float64 { return r.Worth.Delivered / r.Worth.Offered }
	for seed := range uint64(3) {
		s := fleet()
		told := play(t, s, seed)
		s.Fleet.ConfiguredForwarders = 4
		few := play(t, s, seed)
		t.Logf("seed %d: delivers %.2f, %d refused; as a few %.2f, %d refused", seed, share(told), told.OverLimit, share(few), few.OverLimit)
		for _, b := range told.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if share(told) < 0.84 || share(few) > 0.7 || told.OverLimit > few.OverLimit/3 {
			t.Errorf("seed %d: delivers %.2f of the worth with %d refusals, as a few forwarders %.2f with %d",
				seed, share(told), told.OverLimit, share(few), few.OverLimit)
		}
	}
}
