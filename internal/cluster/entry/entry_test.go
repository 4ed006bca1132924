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

var validEndpoint = Endpoint{Name: "p0", Address: "127.0.0.1:4000", Zone: "z0", Capacity: 60}

// Invalid entries are rejected with the field at fault. The check runs when an entry is encoded.
func TestInvalidEntries(t *testing.T) {
	withEndpoint := func(modify func(*Endpoint)) Entry {
		e := validEndpoint
		modify(&e)
		return destination(7, validEndpoint, e)
	}
	manyEndpoints := make([]Endpoint, maxEndpoints+1)
	largeEndpoints := make([]Endpoint, maxEndpoints)
	for i := range largeEndpoints {
		largeEndpoints[i] = Endpoint{Name: fmt.Sprint("p", i), Address: strings.Repeat("h", 100) + ":1", Zone: strings.Repeat("z", 100), Capacity: 1}
	}
	for name, c := range map[string]struct {
		entry Entry
		field string
		index int
	}{
		"empty":             {Entry{}, "kind", -1},
		"both":              {Entry{Destination: &Destination{}, Class: &Class{}}, "kind", -1},
		"number":            {destination(-7, validEndpoint), "destination", -1},
		"no endpoint":       {destination(7), "endpoint", -1},
		"too many":          {destination(7, manyEndpoints...), "endpoint", -1},
		"too large":         {destination(7, largeEndpoints...), "size", -1},
		"same name":         {destination(7, validEndpoint, validEndpoint), "name", 1},
		"no name":           {withEndpoint(func(e *Endpoint) { e.Name = "" }), "name", 1},
		"name with spaces":  {withEndpoint(func(e *Endpoint) { e.Name = "a b" }), "name", 1},
		"long name":         {withEndpoint(func(e *Endpoint) { e.Name = strings.Repeat("n", maxNameBytes+1) }), "name", 1},
		"no port":           {withEndpoint(func(e *Endpoint) { e.Name, e.Address = "p1", "127.0.0.1" }), "address", 1},
		"no host":           {withEndpoint(func(e *Endpoint) { e.Name, e.Address = "p1", ":80" }), "address", 1},
		"zone":              {withEndpoint(func(e *Endpoint) { e.Name, e.Zone = "p1", "z\n" }), "zone", 1},
		"kind of endpoint":  {withEndpoint(func(e *Endpoint) { e.Name, e.Kind = "p1", "k k" }), "kind", 1},
		"no capacity":       {withEndpoint(func(e *Endpoint) { e.Name, e.Capacity = "p1", 0 }), "capacity", 1},
		"infinite capacity": {withEndpoint(func(e *Endpoint) { e.Name, e.Capacity = "p1", math.Inf(1) }), "capacity", 1},
		"NaN capacity":      {withEndpoint(func(e *Endpoint) { e.Name, e.Capacity = "p1", math.NaN() }), "capacity", 1},
		"class":             {Entry{Class: &Class{Rate: 1}}, "class", -1},
		"rate":              {Entry{Class: &Class{Name: "safe", Rate: -1}}, "rate", -1},
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

// A decoded entry equals the encoded one. A truncated, oversized or otherwise damaged entry, or one stored under the
// key of another, is an error.
func TestDecode(t *testing.T) {
	second := Endpoint{Name: "p1", Address: "h:1", Kind: "shared", Capacity: 0.5, Draining: true}
	for _, e := range []Entry{destination(7, validEndpoint, second), {Class: &Class{Name: "safe", Rate: 12.5}}} {
		content := encoded(t, e)
		got, err := Decode(e.Key(), content)
		if err != nil || !gocmp.Equal(got, e) {
			t.Errorf("%+v: %+v, %v", e, got, err)
		}
		for name, bad := range map[string][]byte{"truncated": content[:len(content)-1], "empty": nil, "large": make([]byte, MaxBytes+1), "twice": append(content, content...), "text": []byte("p0")} {
			if _, err := Decode(e.Key(), bad); !errors.Is(err, ErrInvalid) {
				t.Errorf("%s: %v", name, err)
			}
		}
		if _, err := Decode("destination/8", content); !errors.Is(err, ErrInvalid) {
			t.Errorf("under another key: %v", err)
		}
	}
}

// A refused entry leaves the previous one in force, is reported with its reason as long as it is committed, and does
// not keep other entries from being applied.
func TestRefusedEntryKeepsPrevious(t *testing.T) {
	errClass := errors.New("unknown class")
	allowed := func(e Entry) error {
		if e.Class != nil && e.Class.Rate > 100 {
			return errClass
		}
		return nil
	}
	class := func(rate float64) Entry { return Entry{Class: &Class{Name: "safe", Rate: rate}} }
	destination7 := destination(7, validEndpoint)
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
		{[]Entry{class(500), destination7}, true, []Refusal{{"class/safe", errClass.Error()}}, []Entry{class(50), destination7}},
		{[]Entry{class(500), destination7}, false, []Refusal{{"class/safe", errClass.Error()}}, []Entry{class(50), destination7}},
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
	committed := map[string][]byte{}
	otherEndpoint := Endpoint{Name: "p1", Address: "127.0.0.1:4001", Capacity: 60}
	for _, e := range []Entry{destination(7, validEndpoint), destination(8, otherEndpoint)} {
		committed[e.Key()] = encoded(t, e)
	}
	active.Update(maps.All(committed), allowed)
	for _, e := range []Entry{destination(7, otherEndpoint), destination(8, validEndpoint)} {
		committed[e.Key()] = encoded(t, e)
	}
	if _, refused := active.Update(maps.All(committed), allowed); len(refused) > 0 {
		t.Errorf("endpoints swapped between destinations in one update are refused: %v", refused)
	}
	conflicting := destination(9, validEndpoint)
	committed[conflicting.Key()] = encoded(t, conflicting)
	if _, refused := active.Update(maps.All(committed), allowed); len(refused) != 1 || refused[0].Key != conflicting.Key() {
		t.Errorf("endpoint of two destinations: refused %v", refused)
	}
	delete(committed, DestinationKey(8)) // destination 8 owned the endpoint
	changes, refused := active.Update(maps.All(committed), allowed)
	if want := []Entry{destination(7, otherEndpoint), conflicting}; changes.Empty() || len(refused) > 0 || !gocmp.Equal(active.Entries(), want) {
		t.Errorf("after the owner of the endpoint is deleted: changes %v, refused %v, in force %v", changes, refused, active.Entries())
	}
	_, refused = active.Update(maps.All(map[string][]byte{"weather/today": []byte(`{"weather":{"sun":1}}`)}), allowed) // as a later version may commit
	if len(refused) != 1 || refused[0].Key != "weather/today" {
		t.Errorf("entry of an unknown kind: refused %v", refused)
	}
}

// Refusals depend only on what is committed, not on the steps in which it was committed, and every entry that is not
// refused is in force. Applying the reported changes one after the other gives the entries in force.
func TestUpdateIsIndependentOfSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"p0", "p1", "p2", "p3"}
		entries := rapid.Custom(func(t *rapid.T) Entry {
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
		committed, tracked := map[string][]byte{}, map[string]Entry{}
		for range rapid.IntRange(1, 8).Draw(t, "steps") {
			for _, e := range rapid.SliceOfN(entries, 0, 3).Draw(t, "set") {
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
				delete(tracked, e.Key())
			}
			for _, e := range changes.Set {
				tracked[e.Key()] = e
			}
			var singleUpdate Active
			_, want := singleUpdate.Update(maps.All(committed), allowed)
			if diff := gocmp.Diff(want, refused); diff != "" {
				t.Fatalf("refused:\n%s", diff)
			}
			inForce := map[string]Entry{}
			for _, e := range active.Entries() {
				inForce[e.Key()] = e
			}
			if diff := gocmp.Diff(inForce, tracked); diff != "" {
				t.Fatalf("entries tracked by changes:\n%s", diff)
			}
			for _, e := range singleUpdate.Entries() {
				if !gocmp.Equal(inForce[e.Key()], e) {
					t.Fatalf("%s: %v in force, want %v", e.Key(), inForce[e.Key()], e)
				}
			}
			if again, _ := active.Update(maps.All(committed), allowed); !again.Empty() {
				t.Fatal("repeating an update reports changes")
			}
		}
	})
}
