package simulation

import (
	"strings"
	"testing"
	"time"

	"mulleinbeam/internal/lab/scenario"
)

// safeguards is three hundred forwarders with thirty busy destinations. For a while connections to all of them take
// 0.9 s to set up, and most forwarders are killed twice in short succession with calls in progress.
func safeguards() scenario.Scenario {
	s := small(
		scenario.Fault{Kind: scenario.Connect, At: d(2 * time.Second), Duration: d(9 * time.Second), Share: 1, ConnectTime: d(900 * time.Millisecond)},
		scenario.Fault{Kind: scenario.Kill, At: d(4500 * time.Millisecond), Share: 0.7, MinDowntime: d(600 * time.Millisecond), MaxDowntime: d(time.Second)},
		scenario.Fault{Kind: scenario.Kill, At: d(6500 * time.Millisecond), Share: 0.7, MinDowntime: d(600 * time.Millisecond), MaxDowntime: d(time.Second)},
	)
	s.Name, s.Length, s.Fleet = "safeguards", d(12*time.Second), scenario.Fleet{Forwarders: 300, Slots: 4, MostHeld: 60}
	p := &s.Destinations[0]
	p.Count, p.Capacity, p.Limit, p.RetryAfter, p.ResetShare = 30, 60, 40, d(600*time.Millisecond), 0.1
	s.Classes[1].KeyTTL, s.Classes[1].Share = d(3*time.Second), 0.5
	s.Traffic.Rate, s.Traffic.DestinationSkew = 1100, 0.5
	return s
}

// Each safeguard protects one rule: with all safeguards no rule is violated, and without one of them only its rule is.
func TestRuleViolatedWithoutSafeguard(t *testing.T) {
	for safeguard, violation := range map[scenario.Safeguard]string{
		"": "", scenario.SafeguardKeyTTL: "is repeated after its key expired", scenario.SafeguardRetryAfter: "within a retry-after",
		scenario.SafeguardOutAtKill: "is repeated after its key expired",
	} {
		t.Run("without "+string(safeguard), func(t *testing.T) {
			t.Parallel()
			s := safeguards()
			if safeguard != "" {
				s.DisabledSafeguards = []scenario.Safeguard{safeguard}
			}
			r := play(t, s, 1)
			t.Logf("%d events, %d calls, %d not sent, %d kills, delivered %.2f", r.Events, r.Calls, r.NotSent, r.Kills, r.Worth.Delivered/r.Worth.Offered)
			if r.NotSent == 0 || r.Kills < 400 || r.OverLimit == 0 {
				t.Errorf("%d calls not sent, %d kills, %d refusals: the scenario does not exercise the safeguards", r.NotSent, r.Kills, r.OverLimit)
			}
			if (violation == "") != (len(r.Violations) == 0) {
				t.Errorf("violations: %q", r.Violations)
			}
			for _, b := range r.Violations {
				if !strings.Contains(b, violation) {
					t.Errorf("violated another rule: %s", b)
				}
			}
		})
	}
}
