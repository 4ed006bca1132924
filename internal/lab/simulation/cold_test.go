package simulation

import (
	"fmt"
	"testing"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// coldRecovery is a fleet whose destinations all have an outage and are cold on recovery. They tolerate the number of
// calls n that their capacity and the overload factor give, plus 2 * (sqrt(n) + 1) for chance.
func coldRecovery(forwarders, partners int, capacity, rate float64) scenario.Scenario {
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

// during changes the kind and the length of the outage.
func during(kind string, length time.Duration) func(*scenario.Scenario) {
	return func(s *scenario.Scenario) { s.Faults[0].Kind, s.Faults[0].Duration = kind, d(length) }
}

// checkColdRecovery plays a scenario with some seeds.
func checkColdRecovery(t *testing.T, s scenario.Scenario, minShare float64) {
	t.Helper()
	for seed := range uint64(3) {
		r := play(t, s, seed)
		share := r.Worth.Delivered / r.Worth.Offered
		if summary := fmt.Sprintf("seed %d: %d overloads, peak load %.2f of the tolerated, %.3f of the worth delivered",
			seed, r.Overloads, r.PeakColdLoad, share); r.InformedOverloads > 0 || share < minShare {
			t.Errorf("%s; %d overloads were caused by forwarders that knew of the outage", summary, r.InformedOverloads)
		} else {
			t.Log(summary)
		}
		for _, b := range r.Violations {
			t.Error(b)
		}
	}
}

// Forwarders that know of an outage together send no more than a cold destination tolerates. This holds for any fleet
// size, with little traffic at each forwarder, with uneven traffic, and after a restart in which most forwarders lose
// their knowledge of the outage. The held messages must still be delivered.
func TestFleetDoesNotOverloadColdDestinations(t *testing.T) {
	for name, c := range map[string]struct {
		s        scenario.Scenario
		change   func(*scenario.Scenario)
		minShare float64 // minimum share of the worth that is delivered
	}{
		"two":                         {coldRecovery(2, 6, 40, 150), nil, 0.88},
		"eight":                       {coldRecovery(8, 6, 40, 150), nil, 0.86},
		"eight, small destinations":   {coldRecovery(8, 20, 8, 110), nil, 0.8},
		"twenty, small destinations":  {coldRecovery(20, 20, 8, 110), nil, 0.75},
		"thirty, small destinations":  {coldRecovery(30, 20, 8, 110), nil, 0.75},
		"twenty, uneven":              {coldRecovery(20, 6, 40, 150), func(s *scenario.Scenario) { s.Traffic.ForwarderSkew = 1 }, 0.77},
		"thirty, silent destinations": {coldRecovery(30, 6, 40, 150), func(s *scenario.Scenario) { s.Faults[0].Kind = scenario.Silence }, 0.77},
		"fifty, shut destinations":    {coldRecovery(50, 8, 30, 120), during(scenario.Shut, 12*time.Second), 0.4},
		"fifty, errors":               {coldRecovery(50, 8, 30, 120), during(scenario.Errors, 12*time.Second), 0.4},
		"fifty, silent for long":      {coldRecovery(50, 20, 60, 900), during(scenario.Silence, 12*time.Second), 0.4},
		"thirty, restarted": {coldRecovery(30, 6, 40, 150), func(s *scenario.Scenario) {
			s.Faults = append(s.Faults, scenario.Fault{
				Kind: scenario.Kill, At: d(12 * time.Second), Share: 0.7, MinDowntime: d(600 * time.Millisecond), MaxDowntime: d(1500 * time.Millisecond),
			})
		}, 0.82},
		"thirty, retry-after": {coldRecovery(30, 6, 40, 150), func(s *scenario.Scenario) {
			s.Destinations[0].Limit, s.Destinations[0].RefusalsCount, s.Destinations[0].RetryAfter = 44, true, d(900*time.Millisecond)
		}, 0.75},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if c.change != nil {
				c.change(&c.s)
			}
			checkColdRecovery(t, c.s, c.minShare)
		})
	}
}

// The same where destinations accept calls and answer none for so long that all slots of a fleet wait for them: a few calls more than
// the rest can bear, or than small destinations can.
func TestFleetDoesNotOverloadAfterLongSilence(t *testing.T) {
	for name, s := range map[string]scenario.Scenario{
		"ten destinations": coldRecovery(50, 10, 60, 450), "small destinations": coldRecovery(50, 20, 8, 110),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			during(scenario.Silence, 12*time.Second)(&s)
			if r := s.Rules; r.OverloadFactor*r.ColdFrom*s.Destinations[0].Capacity*r.OverloadWindow.D().Seconds() < 30 {
				s.Rules.ChanceFactor = 3 // few calls vary more
			}
			checkColdRecovery(t, s, 0.4)
		})
	}
}
