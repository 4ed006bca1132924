package simulation

import (
	"testing"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// limitedFleet is eighty forwarders with a few destinations that lower their rate limits for a while. Each forwarder
// makes one or two calls per second to each destination; refusals have no retry-after and count towards the limit.
func limitedFleet() scenario.Scenario {
	s := small(scenario.Fault{Kind: scenario.Limit, At: d(8 * time.Second), Duration: d(9 * time.Second), Factor: 0.7, Share: 1})
	s.Name, s.Fleet = "fleet", scenario.Fleet{Forwarders: 80, Slots: 4, MostHeld: 60}
	s.Destinations[0].Capacity, s.Destinations[0].Limit, s.Destinations[0].RetryAfter = 140, 100, 0
	s.Traffic.Rate, s.Traffic.DestinationSkew = 340, 0.3
	return s
}

// A fleet that has reached a rate limit keeps using it: each forwarder limits its rate in proportion to its own demand,
// so that the sum falls to the limit and no lower. Forwarders configured with too small a fleet size each apply nearly
// the whole limit, which restrains none of them.
func TestFleetSharesRateLimit(t *testing.T) {
	share := func(r Result) float64 { return r.Worth.Delivered / r.Worth.Offered }
	for seed := range uint64(3) {
		s := limitedFleet()
		configured := play(t, s, seed)
		s.Fleet.ConfiguredForwarders = 4
		understated := play(t, s, seed)
		t.Logf("seed %d: delivered %.2f, %d refused; with the understated fleet size %.2f, %d refused", seed, share(configured), configured.OverLimit, share(understated), understated.OverLimit)
		for _, b := range configured.Violations {
			t.Errorf("seed %d: %s", seed, b)
		}
		if share(configured) < 0.84 || share(understated) > 0.7 || configured.OverLimit > understated.OverLimit/3 {
			t.Errorf("seed %d: delivered %.2f of the worth with %d refusals, with the understated fleet size %.2f with %d",
				seed, share(configured), configured.OverLimit, share(understated), understated.OverLimit)
		}
	}
}
