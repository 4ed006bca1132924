package wire

import (
	"encoding/json"
	"errors"
	"testing"
	"time"

	mb "mulleinbeam"
)

func TestMalformedInputIsAnError(t *testing.T) {
	for _, line := range []string{"", "{", "[]", `{"moment":1}`, `{"moment":1,"batch":"x","parts":[]}`} {
		if _, err := ParseBatch([]byte(line)); !errors.Is(err, ErrMalformed) {
			t.Errorf("batch %q: %v, want ErrMalformed", line, err)
		}
	}
	for _, ev := range []string{
		`{"type":"no-such-type"}`, `{}`, `7`, `{"type":"submit"}`, `{"type":"answer","rid":1,"outcome":999}`,
		`{"type":"members","scope":"Odd"}`, `{"type":"provision","random-seed":1}`,
		`{"type":"catalog","rows-in":[{"endpoint":"a","readiness":"?"}]}`, `{"type":"gone","rid":-4}`,
		`{"type":"provision","random-seed":1,"settings":{"services":[{"name":"c","effect":"odd"}]}}`,
	} {
		if _, err := ParseEvent(json.RawMessage(ev)); !errors.Is(err, ErrMalformed) {
			t.Errorf("event %s: %v, want ErrMalformed", ev, err)
		}
	}
}

func TestEvents(t *testing.T) {
	for _, c := range []struct {
		in   string
		want any
	}{
		{`{"type":"submit","rid":5,"band":"b","path-key":3,"left":2000,"to-exchange":57,"new-field":[1]}`,
			mb.Submit{ID: 5, Class: "b", Key: 3, TimeLeft: 2 * time.Millisecond, Destination: 57}},
		{`{"type":"answer","rid":5,"n":1,"endpoint":"e","outcome":302,"delay-seen":1500,"wait-ms":250}`,
			mb.Answer{ID: 5, Attempt: 1, Endpoint: "e", Outcome: mb.Refused, Latency: 1500 * time.Microsecond, RetryAfter: 250 * time.Millisecond}},
		{`{"type":"answer","rid":5,"endpoint":"e","outcome":307,"wait-ms":1}`, mb.Answer{ID: 5, Endpoint: "e", Outcome: mb.NotSent}},
		{`{"type":"timer","cookie":77}`, mb.Timer{Cookie: 77}},
		{`{"type":"gone","rid":9}`, mb.MessageCancelled{ID: 9}},
		{`{"type":"destroy"}`, Destroy{}},
		{`{"type":"members","scope":"Persisted","gen":41,"roster-id":2}`, ListRef{Scope: mb.ListSaved, List: 2}},
		{`{"type":"under-way","rid":1}`, nil},
	} {
		got, err := ParseEvent(json.RawMessage(c.in))
		if err != nil || got != c.want {
			t.Errorf("%s: %+v, %v; want %+v", c.in, got, err, c.want)
		}
	}
}

func TestSettingsSkipUnknownAndKeepKnown(t *testing.T) {
	s, err := ParseSettings(json.RawMessage(`{"balancers":3,"unknown":{"a":1},"azs":["z"],"kinds":["k"],
		"family-info":{"calls-out":9,"separate-routes":[true],"toll":[0.5],"fades":"by_half","batch-by-kind":[2]},
		"limits":{"max-attempts":4,"most-held":50},"rules":{"turn-gap":1000},"weight-source":"rough",
		"services":[{"name":"c","effect":"keyed","give-up":1000,"target":500,"key-ttl":100,"group":"zone"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	if s.Forwarders != 3 || s.Slots != 9 || !s.SeparateRoutes["k"] || s.ZoneFee["z"] != 0.5 || s.Decay != mb.DecayExponential ||
		s.MaxAttempts != 4 || s.MostHeld != 50 || s.TurnGap != time.Millisecond || !s.RoughCapacityHints ||
		!s.Classes[0].SameZoneOnly || s.BatchByKind["k"] != 2 {
		t.Errorf("settings: %+v", s)
	}
}

func TestActions(t *testing.T) {
	for _, c := range []struct {
		a    mb.Action
		want string
	}{
		{mb.Send{ID: 7, Endpoint: "e", CutAt: time.Second}, `{"type":"place","rid":7,"endpoint":"e","cut-at":1000000}`},
		{mb.Refuse{ID: 7}, `{"type":"busy","rid":7}`},
		{mb.Refuse{ID: 7, RetryAfter: time.Second}, `{"type":"busy","rid":7,"backoff":1000000}`},
		{mb.Fail{ID: 7}, `{"type":"drop-request","rid":7}`},
		{mb.Cancel{ID: 7, Attempt: 2}, `{"type":"withdraw","rid":7,"n":2}`},
		{mb.Probe{Endpoint: "e"}, `{"type":"sound-out","endpoint":"e"}`},
		{mb.CloseIdle{Endpoint: "e"}, `{"type":"hang-up","endpoint":"e"}`},
		{mb.Subscribe{}, `{"type":"keep-informed","on":true}`},
		{mb.SetTimer{After: time.Millisecond, Cookie: 3}, `{"type":"notify-me","wait":1000,"cookie":3}`},
		{mb.Log{Text: "x"}, `{"type":"emit","what":"x"}`},
	} {
		enc, err := EncodeAction(c.a)
		if err != nil {
			t.Fatal(err)
		}
		got, _ := json.Marshal(enc)
		if string(got) != c.want {
			t.Errorf("%T: %s, want %s", c.a, got, c.want)
		}
	}
	if _, err := EncodeAction(nil); err == nil {
		t.Error("no error for an unknown action")
	}
}
