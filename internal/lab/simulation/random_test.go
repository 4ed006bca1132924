package simulation

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"mulleinbeam/internal/lab/scenario"
)

// Random combinations of faults and settings violate no rule. A longer run:
//
//	go test ./internal/lab/simulation -run RandomScenarios -rapid.checks=2000
func TestRandomScenarios(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := small()
		s.Length = d(time.Duration(rapid.IntRange(3, 12).Draw(t, "seconds")) * time.Second)
		s.Fleet.Forwarders = rapid.IntRange(1, 5).Draw(t, "forwarders")
		s.Fleet.Slots = rapid.SampledFrom([]int{1, 4, 24}).Draw(t, "slots")
		s.Fleet.MostHeld = rapid.SampledFrom([]int{5, 50, 500}).Draw(t, "held")
		s.Traffic.Rate = rapid.Float64Range(1, 150).Draw(t, "rate")
		s.Learned.Enabled = rapid.Bool().Draw(t, "learned")
		p := &s.Destinations[0]
		p.Count, p.Endpoints = rapid.IntRange(1, 4).Draw(t, "partners"), rapid.IntRange(1, 3).Draw(t, "endpoints")
		p.Limit = rapid.SampledFrom([]float64{0, 3, 40}).Draw(t, "limit")
		p.RefusalsCount = rapid.Bool().Draw(t, "counts")
		p.RetryAfter = d(rapid.SampledFrom([]time.Duration{0, 200 * time.Millisecond, 4 * time.Second}).Draw(t, "tells"))
		p.ResetShare = rapid.SampledFrom([]float64{0, 0.02, 0.3}).Draw(t, "resets")
		p.CapacityHint = rapid.SampledFrom([]float64{0, 0.5, 1, 3}).Draw(t, "hint")
		p.ServiceTime.Kind = rapid.SampledFrom([]string{"constant", "exponential", "lognormal", "gamma"}).Draw(t, "service")
		for range rapid.IntRange(0, 4).Draw(t, "faults") {
			s.Faults = append(s.Faults, scenario.Fault{
				Kind: rapid.SampledFrom([]string{
					scenario.Outage, scenario.Silence, scenario.Slow, scenario.Limit, scenario.Load, scenario.Kill, scenario.Drain,
				}).Draw(t, "kind"),
				At: d(time.Duration(rapid.IntRange(0, 10_000).Draw(t, "at")) * time.Millisecond), Share: rapid.Float64Range(0, 1).Draw(t, "share"),
				Duration: d(time.Duration(rapid.IntRange(0, 6000).Draw(t, "for")) * time.Millisecond), Factor: rapid.Float64Range(0.2, 8).Draw(t, "by"),
				MinDowntime: d(100 * time.Millisecond), MaxDowntime: d(time.Duration(rapid.IntRange(100, 5000).Draw(t, "until")) * time.Millisecond),
			})
		}
		sim, err := New(s, rapid.Uint64().Draw(t, "seed"))
		if err != nil {
			t.Fatal(err)
		}
		if r := sim.Run(); len(r.Violations) > 0 {
			t.Fatalf("%q", r.Violations)
		}
	})
}
