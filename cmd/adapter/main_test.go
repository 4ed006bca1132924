package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	mb "mulleinbeam"
)

const settings = `{"balancers":2,"family-info":{"calls-out":4},"limits":{"max-attempts":3,"most-held":20},
	"services":[{"name":"c","effect":"safe","give-up":6000000,"target":1000000,"credit":1}]}`

// script returns a part that starts an instance, lists an endpoint and submits a message.
func script(instance string) string {
	s := strings.ReplaceAll(settings, "\n", "")
	return fmt.Sprintf(`{"who":%q,"input":[{"type":"provision","random-seed":5,"settings":%s},`+
		`{"type":"catalog","roster-id":0,"rows-in":[{"endpoint":"e","shape":"k","destination":1,"readiness":"SERVING"}]},`+
		`{"type":"members","scope":"Persisted","roster-id":0},`+
		`{"type":"submit","rid":8,"band":"c","left":6000000,"to-exchange":1}]}`, instance, s)
}

// batch returns the line of the nth batch.
func batch(n int, parts ...string) string {
	return fmt.Sprintf(`{"moment":%d,"batch":%d,"parts":[%s]}`, 1000000+5000*n, n, strings.Join(parts, ",")) + "\n"
}

func TestRunAnswersEachBatch(t *testing.T) {
	var out bytes.Buffer
	in := batch(1) + batch(2, script("courier-0")) + batch(3, `{"who":"courier-0","input":[{"type":"destroy"}]}`)
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 3 || lines[0] != `{"batch":1,"parts":[]}` || lines[2] != `{"batch":3,"parts":[]}` {
		t.Fatalf("replies: %q", lines)
	}
	if !strings.Contains(lines[1], `"type":"place","rid":8,"endpoint":"e"`) {
		t.Errorf("no send in %s", lines[1])
	}
}

func TestInstancesShareNothing(t *testing.T) {
	reply := func(parts ...string) string {
		var out bytes.Buffer
		if err := run(strings.NewReader(batch(1, parts...)), &out); err != nil {
			t.Fatal(err)
		}
		return out.String()
	}
	alone, together := reply(script("courier-0")), reply(script("courier-0"), script("courier-1"))
	part := strings.TrimSuffix(strings.TrimPrefix(alone, `{"batch":1,"parts":[`), "]}\n")
	if !strings.Contains(together, part) {
		t.Errorf("the instance acts differently next to another one:\n%s\n%s", alone, together)
	}
}

func TestMalformedInputStopsTheAdapter(t *testing.T) {
	for _, in := range []string{
		"not json\n", batch(1, `{"who":"c","input":[{"type":"what"}]}`),
		batch(1, `{"who":"c","input":[{"type":"provision","random-seed":1,"settings":{"balancers":1}}]}`),
	} {
		var out bytes.Buffer
		if err := run(strings.NewReader(in), &out); err == nil {
			t.Errorf("no error for %q", in)
		}
	}
}

func TestPanicBecomesAFault(t *testing.T) {
	var broken *mb.Decider
	if _, fault := handleRecovering(broken, 1, []mb.Event{mb.Timer{}}); !strings.HasPrefix(fault, "panic: ") {
		t.Errorf("fault %q", fault)
	}
}

// A destroyed and provisioned instance keeps no state: it acts like a new one.
func TestRestartHasNoMemory(t *testing.T) {
	var out bytes.Buffer
	start := script("courier-0")
	restart := strings.Replace(start, `"input":[`, `"input":[{"type":"destroy"},`, 1)
	if err := run(strings.NewReader(batch(1, start)+batch(1, restart)), &out); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 2 || lines[0] != lines[1] {
		t.Errorf("replies differ after a restart: %q", lines)
	}
}
