package entry

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func destination(number int64, endpoints ...Endpoint) Entry {
	return Entry{Destination: &Destination{Number: number, Endpoints: endpoints}}
}

var usable = Endpoint{Name: "p0", Address: "127.0.0.1:4000", Zone: "z0", Capacity: 60}

// What can't be meant is refused with the field at fault, when it is encoded as when it is decoded.
func TestUnusableEntries(t *testing.T) {
	with := func(change func(*Endpoint)) Entry {
		e := usable
		change(&e)
		return destination(7, usable, e)
	}
	long := make([]Endpoint, maxEndpoints+1)
	large := make([]Endpoint, maxEndpoints)
	for i := range large {
		large[i] = Endpoint{Name: fmt.Sprint("p", i), Address: strings.Repeat("h", 100) + ":1", Zone: strings.Repeat("z", 100), Capacity: 1}
	}
	for name, c := range map[string]struct {
		entry Entry
		field string
		index int
	}{
		"nothing":          {Entry{}, "kind", -1},
		"both":             {Entry{Destination: &Destination{}, Class: &Class{}}, "kind", -1},
		"number":           {destination(-7, usable), "destination", -1},
		"no endpoint":      {destination(7), "endpoint", -1},
		"too many":         {destination(7, long...), "endpoint", -1},
		"too large":        {destination(7, large...), "size", -1},
		"same name":        {destination(7, usable, usable), "name", 1},
		"no name":          {with(func(e *Endpoint) { e.Name = "" }), "name", 1},
		"name with spaces": {with(func(e *Endpoint) { e.Name = "a b" }), "name", 1},
		"long name":        {with(func(e *Endpoint) { e.Name = strings.Repeat("n", maxName+1) }), "name", 1},
		"no port":          {with(func(e *Endpoint) { e.Name, e.Address = "p1", "127.0.0.1" }), "address", 1},
		"no host":          {with(func(e *Endpoint) { e.Name, e.Address = "p1", ":80" }), "address", 1},
		"zone":             {with(func(e *Endpoint) { e.Name, e.Zone = "p1", "z\n" }), "zone", 1},
		"kind of endpoint": {with(func(e *Endpoint) { e.Name, e.Kind = "p1", "k k" }), "kind", 1},
		"no capacity":      {with(func(e *Endpoint) { e.Name, e.Capacity = "p1", 0 }), "capacity", 1},
		"absurd capacity":  {with(func(e *Endpoint) { e.Name, e.Capacity = "p1", math.Inf(1) }), "capacity", 1},
		"no number":        {with(func(e *Endpoint) { e.Name, e.Capacity = "p1", math.NaN() }), "capacity", 1},
		"class":            {Entry{Class: &Class{Rate: 1}}, "class", -1},
		"rate":             {Entry{Class: &Class{Name: "safe", Rate: -1}}, "rate", -1},
	} {
		_, err := c.entry.Encode()
		var invalid *Invalid
		if !errors.As(err, &invalid) || invalid.Field != c.field || invalid.Index != c.index || !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func encoded(t *testing.T, e Entry) []byte {
	t.Helper()
	content, err := e.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// An entry is read as it was written; one under another's key, damaged or too large is an error.
func TestDecode(t *testing.T) {
	second := Endpoint{Name: "p1", Address: "h:1", Kind: "shared", Capacity: 0.5, Draining: true}
	for _, e := range []Entry{destination(7, usable, second), {Class: &Class{Name: "safe", Rate: 12.5}}} {
		content := encoded(t, e)
		got, err := Decode(e.Key(), content)
		if err != nil || !cmp.Equal(got, e) {
			t.Errorf("%+v: %+v, %v", e, got, err)
		}
		for name, bad := range map[string][]byte{"cut": content[:len(content)-1], "empty": nil, "large": make([]byte, MaxBytes+1), "twice": append(content, content...), "text": []byte("p0")} {
			if _, err := Decode(e.Key(), bad); !errors.Is(err, ErrInvalid) {
				t.Errorf("%s: %v", name, err)
			}
		}
		if _, err := Decode("destination/8", content); !errors.Is(err, ErrInvalid) {
			t.Errorf("under another key: %v", err)
		}
	}
}

// A forwarder that refuses an entry goes on with the one before, says why as long as it is committed, and takes the rest.
func TestARefusedEntryLeavesTheOneBefore(t *testing.T) {
	errClass := errors.New("no such class here")
	allowed := func(e Entry) error {
		if e.Class != nil && e.Class.Rate > 100 {
			return errClass
		}
		return nil
	}
	class := func(rate float64) Entry { return Entry{Class: &Class{Name: "safe", Rate: rate}} }
	seven := destination(7, usable)
	var active Active
	for i, step := range []struct {
		committed []Entry
		changed   bool
		refused   []Refusal
		want      []Entry
	}{
		{nil, false, nil, []Entry{}},
		{[]Entry{class(50)}, true, nil, []Entry{class(50)}},
		{[]Entry{class(50)}, false, nil, []Entry{class(50)}},
		{[]Entry{class(500), seven}, true, []Refusal{{"class/safe", errClass.Error()}}, []Entry{class(50), seven}},
		{[]Entry{class(500), seven}, false, []Refusal{{"class/safe", errClass.Error()}}, []Entry{class(50), seven}},
		{[]Entry{class(60)}, true, nil, []Entry{class(60)}},
		{nil, true, nil, []Entry{}},
	} {
		committed := map[string][]byte{}
		for _, e := range step.committed {
			committed[e.Key()] = encoded(t, e)
		}
		changed, refused := active.Update(committed, allowed)
		if changed != step.changed || !cmp.Equal(refused, step.refused) || !cmp.Equal(active.Entries(), step.want) {
			t.Errorf("step %d: changed %v, refused %v, in force %v", i, changed, refused, active.Entries())
		}
	}
	swapped := map[string][]byte{}
	other := Endpoint{Name: "p1", Address: "127.0.0.1:4001", Capacity: 60}
	for _, e := range []Entry{destination(7, usable), destination(8, other)} {
		swapped[e.Key()] = encoded(t, e)
	}
	active.Update(swapped, allowed)
	for _, e := range []Entry{destination(7, other), destination(8, usable)} {
		swapped[e.Key()] = encoded(t, e)
	}
	if _, refused := active.Update(swapped, allowed); len(refused) > 0 {
		t.Errorf("names that change their destinations in one change are refused: %v", refused)
	}
	third := destination(9, usable)
	swapped[third.Key()] = encoded(t, third)
	if _, refused := active.Update(swapped, allowed); len(refused) != 1 || refused[0].Key != third.Key() {
		t.Errorf("an endpoint of two destinations: %v", refused)
	}
	_, refused := active.Update(map[string][]byte{"weather/today": []byte(`{"weather":{"sun":1}}`)}, allowed) // of a later version
	if len(refused) != 1 || refused[0].Key != "weather/today" {
		t.Errorf("an entry of a kind that is not known here: %v", refused)
	}
}
