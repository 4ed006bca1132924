package controlplane

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"testing"

	"mulleinbeam/internal/cluster/changelog"
)

// overLink encodes and decodes a value like a link does.
func overLink[T any](t *testing.T, v T) (out T) {
	t.Helper()
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(v); err != nil {
		t.Fatal(err)
	}
	if err := gob.NewDecoder(&b).Decode(&out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Requests and responses are the same after a link has encoded and decoded them.
func TestRequestAndResponseEncoding(t *testing.T) {
	incarnation := Incarnation{"a", 3}
	cursor := changelog.Cursor{SelectorGeneration: 1, ViewRevision: 2, Revision: 3, SnapshotRevision: 4, SourceRevision: 5, Restart: true}
	for _, req := range []Request{
		{},
		{Renew: &incarnation, Sequence: 7, Watch: &Watch{Cursor: cursor, Selector: changelog.Selector{Prefixes: []string{"p"}, Keys: []string{"k"}, Mirror: true}}},
		{Command: &Command{Kind: Join, Life: incarnation, Whole: true, Token: "t", Set: []string{"b"}, Content: []byte{0, 1}, Council: []Voter{{"f", "a:1", true}}}},
	} {
		if got := overLink(t, req); !reflect.DeepEqual(got, req) {
			t.Errorf("%+v arrived as %+v", req, got)
		}
	}
	member := Member{Life: 3, Alive: true, Keepers: []string{"b"}, Address: "a:1"}
	batch := Changes{
		From: cursor, To: changelog.Cursor{ViewRevision: 9, Revision: 9}, Reset: true, More: true, Floor: 4,
		Records: []Change{
			{Key: MemberKey("a"), Revision: 8, Value: Item{Member: &member}.sealed()},
			{Key: MemberKey("b"), Revision: 9, Deleted: true},
		},
	}
	got := overLink(t, Response{Leader: "n0", Granted: true, Sequence: 7, Voters: []Voter{{Name: "f"}}, Version: 9, Joined: &member, Changes: &batch})
	if !got.Granted || got.Leader != "n0" || got.Sequence != 7 || got.Version != 9 || !reflect.DeepEqual(*got.Joined, member) || len(got.Voters) != 1 {
		t.Errorf("%+v", got)
	}
	if !reflect.DeepEqual(*got.Changes, batch) {
		t.Errorf("%+v arrived as %+v", batch, *got.Changes)
	}
}

// Malformed input from a peer is an error.
func TestMalformedRequestsAreErrors(t *testing.T) {
	for _, b := range [][]byte{nil, {0xff}, {0x9f}, []byte("nonsense"), {0xa1, 0x02, 0x01}} {
		if req := (Request{}); req.GobDecode(b) == nil {
			t.Errorf("%x was read as %+v", b, req)
		}
	}
}

// Entries of the Raft log are read whether this version or an earlier one wrote them.
func TestEntriesOfEarlierVersions(t *testing.T) {
	want := entry{5, Command{Kind: Fence, Life: Incarnation{"a", 1}, Set: []string{"b"}}}
	old, err := encode(want)
	if err != nil {
		t.Fatal(err)
	}
	now, err := encodeEntry(want)
	if err != nil {
		t.Fatal(err)
	}
	for name, data := range map[string][]byte{"gob": old, "cbor": now} {
		var got entry
		if err := decodeEntry(data, &got); err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: %+v, %v", name, got, err)
		}
	}
	if decodeEntry([]byte{entryCBOR, 0xff}, new(entry)) == nil || decodeEntry([]byte("x"), new(entry)) == nil {
		t.Error("damaged entries were decoded")
	}
}
