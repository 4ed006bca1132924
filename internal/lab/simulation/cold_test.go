package simulation

import (
	"fmt"
	"testing"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// cold is a fleet before partners that are all down for a while and come back cold. What they bear then is the users' budget, and
// twice its root and two calls more for chance.
func cold(forwarders, partners int, capacity, rate float64) scenario.Scenario {
	s := small(scenario.Fault{Kind: scenario.Outage, At: d(8 * time.Second), Duration: d(6 * time.Second), Share: 1})
	s.Name, s.Length = "cold", d(32*time.Second)
	s.Fleet = scenario.Fleet{Forwarders: forwarders, Slots: max(4, 60/forwarders), MostHeld: max(40, 1200/forwarders)}
	p := &s.Destinations[0]
	p.Count, p.Capacity, p.Limit = partners, capacity, 0
	s.Traffic = scenario.Traffic{Rate: rate, DestinationSkew: 0.6, MaxRetries: 2}
	s.Rules = scenario.Rules{
		ColdFrom: 0.3, WarmWithin: d(12 * time.Second), OverloadFactor: 1.5, OverloadWindow: d(1500 * time.Millisecond), OverloadDowntime: d(3 * time.Second),
		ChanceFactor: 2,
	}
	return s
}

// All that saw an outage send together no more than what a cold partner bears, however many they are, however little each sees,
// behind a restart that most of them have forgotten it with, and with uneven traffic. What they hold is delivered all the same.
func TestAFleetPushesNoColdPartnerOver(t *testing.T) {
	for name, c := range map[string]struct {
		s    scenario.Scenario
		odd  func(*scenario.Scenario)
		goes float64 // share of the worth that is delivered, at the least
	}{
		"two":                     {cold(2, 6, 40, 150), nil, 0.88},
		"eight":                   {cold(8, 6, 40, 150), nil, 0.86},
		"eight, small partners":   {cold(8, 20, 8, 110), nil, 0.8},
		"twenty, small partners":  {cold(20, 20, 8, 110), nil, 0.75},
		"thirty, small partners":  {cold(30, 20, 8, 110), nil, 0.75},
		"twenty, uneven":          {cold(20, 6, 40, 150), func(s *scenario.Scenario) { s.Traffic.ForwarderSkew = 1 }, 0.77},
		"thirty, silent partners": {cold(30, 6, 40, 150), func(s *scenario.Scenario) { s.Faults[0].Kind = scenario.Silence }, 0.77},
		"thirty, restarted": {cold(30, 6, 40, 150), func(s *scenario.Scenario) {
			s.Faults = append(s.Faults, scenario.Fault{
				Kind: scenario.Kill, At: d(12 * time.Second), Share: 0.7, MinDowntime: d(600 * time.Millisecond), MaxDowntime: d(1500 * time.Millisecond),
			})
		}, 0.82},
		"thirty, waits told": {cold(30, 6, 40, 150), func(s *scenario.Scenario) {
			s.Destinations[0].Limit, s.Destinations[0].RefusalsCount, s.Destinations[0].RetryAfter = 44, true, d(900*time.Millisecond)
		}, 0.75},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.odd != nil {
				c.odd(&c.s)
			}
			for seed := range uint64(3) {
				r := play(t, c.s, seed)
				share := r.Worth.Delivered / r.Worth.Offered
				if told := fmt.Sprintf("seed %d: %d fell, %.2f of what one bears at the most, %.3f of the worth delivered",
					seed, r.Overloads, r.PeakColdLoad, share); r.InformedOverloads > 0 || share < c.goes {
					t.Errorf("%s; %d were pushed by those that knew", told, r.InformedOverloads)
				} else {
					t.Log(told)
				}
				for _, b := range r.Violations {
					t.Error(b)
				}
			}
		})
	}
}
