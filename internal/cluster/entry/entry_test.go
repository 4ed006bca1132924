package entry

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"strings"
	"testing"

	gocmp "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
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
		var invalid *InvalidError
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
		if err != nil || !gocmp.Equal(got, e) {
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
		changes, refused := active.Update(maps.All(committed), allowed)
		if changes.Empty() == step.changed || !gocmp.Equal(refused, step.refused) || !gocmp.Equal(active.Entries(), step.want) {
			t.Errorf("step %d: changes %v, refused %v, in force %v", i, changes, refused, active.Entries())
		}
	}
	swapped := map[string][]byte{}
	other := Endpoint{Name: "p1", Address: "127.0.0.1:4001", Capacity: 60}
	for _, e := range []Entry{destination(7, usable), destination(8, other)} {
		swapped[e.Key()] = encoded(t, e)
	}
	active.Update(maps.All(swapped), allowed)
	for _, e := range []Entry{destination(7, other), destination(8, usable)} {
		swapped[e.Key()] = encoded(t, e)
	}
	if _, refused := active.Update(maps.All(swapped), allowed); len(refused) > 0 {
		t.Errorf("names that change their destinations in one change are refused: %v", refused)
	}
	third := destination(9, usable)
	swapped[third.Key()] = encoded(t, third)
	if _, refused := active.Update(maps.All(swapped), allowed); len(refused) != 1 || refused[0].Key != third.Key() {
		t.Errorf("an endpoint of two destinations: %v", refused)
	}
	delete(swapped, DestinationKey(8)) // it had the endpoint
	changes, refused := active.Update(maps.All(swapped), allowed)
	if want := []Entry{destination(7, other), third}; changes.Empty() || len(refused) > 0 || !gocmp.Equal(active.Entries(), want) {
		t.Errorf("the endpoint is free: changes %v, refused %v, in force %v", changes, refused, active.Entries())
	}
	_, refused = active.Update(maps.All(map[string][]byte{"weather/today": []byte(`{"weather":{"sun":1}}`)}), allowed) // of a later version
	if len(refused) != 1 || refused[0].Key != "weather/today" {
		t.Errorf("an entry of a kind that is not known here: %v", refused)
	}
}

// In whatever steps entries are committed: what is refused, and why, goes by what is committed alone, and what is not refused is in force.
func TestUpdatesInStepsGiveTheSame(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"p0", "p1", "p2", "p3"}
		draw := rapid.Custom(func(t *rapid.T) Entry {
			if rapid.IntRange(0, 3).Draw(t, "class") == 0 {
				return Entry{Class: &Class{Name: rapid.SampledFrom(names).Draw(t, "name"), Rate: float64(rapid.IntRange(1, 4).Draw(t, "rate"))}}
			}
			d := &Destination{Number: rapid.Int64Range(1, 4).Draw(t, "number")}
			for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, 2, rapid.ID[string]).Draw(t, "names") {
				d.Endpoints = append(d.Endpoints, Endpoint{Name: name, Address: "h:1", Capacity: float64(rapid.IntRange(1, 3).Draw(t, "capacity"))})
			}
			return Entry{Destination: d}
		})
		allowed := func(e Entry) error {
			if e.Class != nil && e.Class.Rate > 3 {
				return ErrInvalid
			}
			return nil
		}
		var active Active
		committed, followed := map[string][]byte{}, map[string]Entry{}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			for _, e := range rapid.SliceOfN(draw, 0, 3).Draw(t, "set") {
				content, err := e.Encode()
				if err != nil {
					t.Fatal(err)
				}
				committed[e.Key()] = content
			}
			for _, number := range rapid.SliceOfN(rapid.Int64Range(1, 4), 0, 1).Draw(t, "deleted") {
				delete(committed, DestinationKey(number))
			}
			changes, refused := active.Update(maps.All(committed), allowed)
			for _, e := range changes.Removed {
				delete(followed, e.Key())
			}
			for _, e := range changes.Set {
				followed[e.Key()] = e
			}
			var atOnce Active
			_, want := atOnce.Update(maps.All(committed), allowed)
			if diff := gocmp.Diff(want, refused); diff != "" {
				t.Fatalf("refused:\n%s", diff)
			}
			inForce := map[string]Entry{}
			for _, e := range active.Entries() {
				inForce[e.Key()] = e
			}
			if diff := gocmp.Diff(inForce, followed); diff != "" {
				t.Fatalf("changes followed:\n%s", diff)
			}
			for _, e := range atOnce.Entries() {
				if !gocmp.Equal(inForce[e.Key()], e) {
					t.Fatalf("%s: %v in force, want %v", e.Key(), inForce[e.Key()], e)
				}
			}
			if again, _ := active.Update(maps.All(committed), allowed); !again.Empty() {
				t.Fatal("the same again changes something")
			}
		}
	})
}
