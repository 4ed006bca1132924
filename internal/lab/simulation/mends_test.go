package simulation

import (
	"strings"
	"testing"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// mends is three hundred forwarders before thirty partners that are busy. Connections to all of them need 0.9 s for a while, and
// most forwarders are killed twice with little between, with calls out.
func mends() scenario.Scenario {
	s := small(
		scenario.Fault{Kind: scenario.Connect, At: d(2 * time.Second), Duration: d(9 * time.Second), Share: 1, ConnectTime: d(900 * time.Millisecond)},
		scenario.Fault{Kind: scenario.Kill, At: d(4500 * time.Millisecond), Share: 0.7, MinDowntime: d(600 * time.Millisecond), MaxDowntime: d(time.Second)},
		scenario.Fault{Kind: scenario.Kill, At: d(6500 * time.Millisecond), Share: 0.7, MinDowntime: d(600 * time.Millisecond), MaxDowntime: d(time.Second)},
	)
	s.Name, s.Length, s.Fleet = "mends", d(12*time.Second), scenario.Fleet{Forwarders: 300, Slots: 4, MostHeld: 60}
	p := &s.Destinations[0]
	p.Count, p.Capacity, p.Limit, p.RetryAfter, p.ResetShare = 30, 60, 40, d(600*time.Millisecond), 0.1
	s.Classes[1].KeyTTL, s.Classes[1].Share = d(3*time.Second), 0.5
	s.Traffic.Rate, s.Traffic.DestinationSkew = 1100, 0.5
	return s
}

// Each safeguard that the first trial of the whole fleet brought keeps a rule which breaks without it, and nothing else does.
func TestTheRuleBehindEachMendShowsWithoutIt(t *testing.T) {
	for mend, breaks := range map[scenario.Safeguard]string{
		"": "", scenario.SafeguardKeyTTL: "is repeated behind its key's time", scenario.SafeguardRetryAfter: "within a told wait",
		scenario.SafeguardOutAtKill: "is repeated behind its key's time",
	} {
		t.Run("without "+string(mend), func(t *testing.T) {
			t.Parallel()
			s := mends()
			if mend != "" {
				s.DisabledSafeguards = []scenario.Safeguard{mend}
			}
			r := play(t, s, 1)
			t.Logf("%d events, %d calls, %d held back, %d kills, delivered %.2f", r.Events, r.Calls, r.NotSent, r.Kills, r.Worth.Delivered/r.Worth.Offered)
			if r.NotSent == 0 || r.Kills < 400 || r.OverLimit == 0 {
				t.Errorf("%d calls held back, %d kills, %d refusals: this shows nothing", r.NotSent, r.Kills, r.OverLimit)
			}
			if (breaks == "") != (len(r.Violations) == 0) {
				t.Errorf("broken: %q", r.Violations)
			}
			for _, b := range r.Violations {
				if !strings.Contains(b, breaks) {
					t.Errorf("broke another rule: %s", b)
				}
			}
		})
	}
}
