package main

import (
	"os"
	"testing"

	"mulleinbeam/internal/lab/live"
	"mulleinbeam/internal/lab/scenario"
)

const liveScenario = `
name = "live"
length = "4s"
[fleet]
forwarders = 2
[[partners]]
count = 3
endpoints = 2
capacity = 60.0
hint = 1.0
service = { kind = "exponential", mean = 15.0 }
limit = 60.0
counts = true
tells = "500ms"
[[classes]]
name = "reading"
effect = "safe"
share = 0.7
worth = 1.0
target = "1s"
give-up = "8s"
[[classes]]
name = "fee"
effect = "unsafe"
share = 0.3
worth = 5.0
target = "3s"
give-up = "8s"
[traffic]
rate = 60.0
returns = 1
[[faults]]
kind = "outage"
at = "1s"
for = "1s"
share = 0.3
[[faults]]
kind = "kill"
at = "1500ms"
share = 0.5
back = "200ms"
until = "600ms"
[rules]
tip-for = "1s"
[learned]
keep = true
interval = "200ms"
`

// Runs a scenario of the laboratory in real time: the program is killed during an outage, no delivery rule is broken,
// and every message ends.
func TestLiveScenario(t *testing.T) {
	t.Parallel()
	s, err := scenario.Parse("live.toml", []byte(liveScenario))
	must(t, err)
	r, err := live.Run{
		Scenario: s, Seed: 1, Program: []string{os.Args[0]}, Env: []string{childProcessEnv + "=1"}, Dir: t.TempDir(), Log: t.Logf,
	}.Play(t.Context())
	must(t, err)
	for _, violation := range r.Violations {
		t.Error("rule broken: " + violation)
	}
	ended := 0
	for _, c := range r.Classes {
		ended += c.Delivered + c.Refused + c.Failed + c.Lost
	}
	if r.Kills != 1 || r.Offered < 50 || ended != r.Offered || r.Worth.Delivered <= 0 {
		t.Errorf("%d kills, %d ends of %d: %+v", r.Kills, ended, r.Offered, r.Worth)
	}
}
