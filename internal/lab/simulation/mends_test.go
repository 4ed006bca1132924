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
		scenario.Fault{Kind: scenario.Connect, At: d(2 * time.Second), For: d(9 * time.Second), Share: 1, Takes: d(900 * time.Millisecond)},
		scenario.Fault{Kind: scenario.Kill, At: d(4500 * time.Millisecond), Share: 0.7, Back: d(600 * time.Millisecond), Until: d(time.Second)},
		scenario.Fault{Kind: scenario.Kill, At: d(6500 * time.Millisecond), Share: 0.7, Back: d(600 * time.Millisecond), Until: d(time.Second)},
	)
	s.Name, s.Length, s.Fleet = "mends", d(12*time.Second), scenario.Fleet{Forwarders: 300, Slots: 4, MostHeld: 60}
	p := &s.Partners[0]
	p.Count, p.Capacity, p.Limit, p.Tells, p.Resets = 30, 60, 40, d(600*time.Millisecond), 0.1
	s.Classes[1].KeyTTL, s.Classes[1].Share = d(3*time.Second), 0.5
	s.Traffic.Rate, s.Traffic.Skew = 1100, 0.5
	return s
}

// Each safeguard that the first trial of the whole fleet brought keeps a rule which breaks without it, and nothing else does.
func TestTheRuleBehindEachMendShowsWithoutIt(t *testing.T) {
	for mend, breaks := range map[scenario.Mend]string{
		"": "", scenario.MendWindow: "is repeated behind its key's time", scenario.MendWait: "within a told wait",
		scenario.MendKill: "is repeated behind its key's time",
	} {
		t.Run("without "+string(mend), func(t *testing.T) {
			t.Parallel()
			s := mends()
			if mend != "" {
				s.Without = []scenario.Mend{mend}
			}
			r := play(t, s, 1)
			t.Logf("%d events, %d calls, %d held back, %d kills, delivered %.2f", r.Events, r.Calls, r.HeldBack, r.Kills, r.Worth.Delivered/r.Worth.Offered)
			if r.HeldBack == 0 || r.Kills < 400 || r.OverLimit == 0 {
				t.Errorf("%d calls held back, %d kills, %d refusals: this shows nothing", r.HeldBack, r.Kills, r.OverLimit)
			}
			if (breaks == "") != (len(r.Broken) == 0) {
				t.Errorf("broken: %q", r.Broken)
			}
			for _, b := range r.Broken {
				if !strings.Contains(b, breaks) {
					t.Errorf("broke another rule: %s", b)
				}
			}
		})
	}
}
