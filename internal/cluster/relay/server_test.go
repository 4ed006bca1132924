package relay

import (
	"context"
	"errors"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/links"
	"mulleinbeam/internal/routing/wal/fsys"
)

// serve runs something on a link until the test ends.
func serve(t *testing.T, run func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
}

// refusedKey is that of an entry which voters refuse.
const refusedKey = "class/unusable"

// newVoter runs the only voter of a control plane.
func newVoter(t *testing.T) controlplane.Voter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	voter := controlplane.Voter{Name: "n0", Address: listener.Addr().String()}
	store, kept, err := controlplane.OpenRaftStore(fsys.Dir(t.TempDir()), func(line string) { t.Log(line) })
	if err != nil {
		t.Fatal(err)
	}
	core, err := controlplane.NewCore(voter.Name, []controlplane.Voter{voter}, kept)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	timing := controlplane.Timing{Tick: 10 * time.Millisecond, Lease: time.Minute, Margin: 10 * time.Second}
	server := controlplane.NewServer(core, store, timing, zerolog.Nop())
	server.CheckEntry = func(key string, _ []byte) error {
		if key == refusedKey {
			return errors.New("not usable")
		}
		return nil
	}
	serve(t, server.Run)
	serve(t, func(ctx context.Context) error {
		go func() { <-ctx.Done(); _ = listener.Close() }()
		return links.Serve(listener, map[string]any{"Council": server.RPC()})
	})
	return voter
}

func newRelay(t *testing.T, voters ...controlplane.Voter) controlplane.Relay {
	t.Helper()
	s, err := Open(Config{Listen: "127.0.0.1:0", Voters: voters, Logger: zerolog.Nop()})
	if err != nil {
		t.Fatal(err)
	}
	serve(t, s.Run)
	return controlplane.Relay{Address: s.Address()}
}

// A member that knows relays alone joins, holds its lease and learns what is decided; when its relay's address stands empty it goes to
// another, and with none left to the voters.
func TestAMemberBehindRelays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("world", func(t *testing.T) {
		voter := newVoter(t)
		gone := func() controlplane.Relay {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			return controlplane.Relay{Address: l.Addr().String()}
		}
		for name, relays := range map[string][]controlplane.Relay{
			"one": {newRelay(t, voter)}, "first gone": {gone(), newRelay(t, voter)}, "all gone": {gone(), gone()},
		} {
			peers := &links.Peers{}
			defer peers.Close()
			client := controlplane.NewClient([]controlplane.Voter{voter}, peers.At, "", nil)
			client.UseRelays(relays)
			member(t, client, name)
		}
	})
}

// member joins, renews and follows until it knows of itself.
func member(t *testing.T, client *controlplane.Client, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	view := controlplane.NewView()
	r, err := client.Do(ctx, controlplane.Request{Command: &controlplane.Command{Kind: controlplane.Join, Life: controlplane.Incarnation{Name: name}, Token: name, Address: "a:1"}})
	if err != nil || r.Joined == nil || r.Joined.Life != 1 {
		t.Fatalf("%s: %+v, %v", name, r, err)
	}
	if client.Leader() != "n0" {
		t.Errorf("%s: %q leads, by the answer to a command", name, client.Leader())
	}
	life, lease := controlplane.Incarnation{Name: name, Number: 1}, controlplane.Lease{Length: time.Minute}
	for granted := false; !granted || view.State().Members[name] == nil; {
		req := lease.Renewal(0, life)
		req.Watch = view.Watch()
		if r, err = client.Do(ctx, req); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		if _, _, err := view.Apply(r.Changes); err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		_, granted = lease.Granted(r)
	}
	if client.Leader() != "n0" {
		t.Errorf("%s: %q leads", name, client.Leader())
	}
	req := lease.Renewal(0, controlplane.Incarnation{Name: name, Number: 7})
	if r, err = client.Do(ctx, req); err != nil || r.Granted || r.Refused != controlplane.ErrFenced.Error() {
		t.Errorf("%s: a life that never was: %+v, %v", name, r, err)
	}
}

// Without a voter a relay answers, within a member's patience, that there is no leader.
func TestARelayWithoutVoters(t *testing.T) {
	gone := controlplane.Voter{Name: "n0", Address: "127.0.0.1:1"}
	peers := &links.Peers{}
	defer peers.Close()
	peer := peers.At(newRelay(t, gone).Address)
	for _, req := range []controlplane.Request{{}, renewalOf(a1, 1), {Command: &controlplane.Command{Kind: controlplane.Drain}}} {
		var r controlplane.Response
		if err := peer.Call(t.Context(), "Council.Ask", req, &r); err != nil || r.Refused != controlplane.ErrNoLeader.Error() {
			t.Errorf("%+v, %v", r, err)
		}
	}
}

// An operator behind a relay commits an entry and hears how far it is in force, by the relay's own sums; what a voter refuses is not committed.
// A member whose relay is of a version that sums nothing up counts as not heard.
func TestConfigurationThroughARelay(t *testing.T) {
	voter := newVoter(t)
	peers := &links.Peers{}
	defer peers.Close()
	clients := map[string]*controlplane.Client{}
	for _, name := range []string{"a", "b", "c"} {
		clients[name] = controlplane.NewClient([]controlplane.Voter{voter}, peers.At, "", nil)
		if name != "c" {
			clients[name].UseRelays([]controlplane.Relay{newRelay(t, voter)})
		}
		member(t, clients[name], name)
	}
	operator := clients["a"]
	configure := func(from uint64, key string) controlplane.Response {
		t.Helper()
		cmd := controlplane.Command{Kind: controlplane.Configure, From: from, Entries: []controlplane.EntryChange{{Key: key, Content: []byte{1}}}}
		r, err := operator.Do(t.Context(), controlplane.Request{Command: &cmd})
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	if r := configure(0, refusedKey); !strings.Contains(r.Refused, "not usable") {
		t.Errorf("an unusable entry: %+v", r)
	}
	committed := configure(0, "class/safe")
	if committed.Refused != "" {
		t.Fatal(committed.Refused)
	}
	if r := configure(0, "class/safe"); r.Refused != controlplane.ErrConflict.Error() {
		t.Errorf("a second operator: %+v", r)
	}
	refusal := controlplane.RefusedEntry{Key: "class/safe", Why: "no such class"}
	lease := controlplane.Lease{Length: time.Minute}
	var got controlplane.Rollout
	for got.Summary.Current(committed.Version) < 3 {
		for name, client := range clients {
			req := lease.Renewal(0, controlplane.Incarnation{Name: name, Number: 1})
			if req.Report = (&controlplane.ConfigReport{Revision: committed.Version}); name == "b" {
				req.Report.Refused = []controlplane.RefusedEntry{refusal}
			}
			if _, err := client.Do(t.Context(), req); err != nil {
				t.Fatal(err)
			}
		}
		r, err := operator.Do(t.Context(), controlplane.Request{Rollout: true})
		if err != nil || r.Rollout == nil {
			t.Fatalf("%+v, %v", r, err)
		}
		got = *r.Rollout
	}
	if got.Revision != committed.Version || got.Members != 3 || got.Summary.Members() != 3 || got.Summary.Refusing != 1 {
		t.Errorf("%+v", got)
	}
	if list := got.Summary.Refusals; len(list) != 1 || list[0].Life.Name != "b" || list[0].Key != refusal.Key || list[0].Why != refusal.Why {
		t.Errorf("refusals: %+v", list)
	}
}

// A member that has gone to another relay, or has ended, is counted no longer.
func TestReportsAreForgotten(t *testing.T) {
	var r reports
	if r.summary(0) != nil {
		t.Error("a summary of nobody")
	}
	r.take(0, a1, controlplane.ConfigReport{Revision: 3})
	r.take(reportKeep, b1, controlplane.ConfigReport{Revision: 4})
	if sum := r.summary(reportKeep); sum.Members() != 2 || sum.Current(4) != 1 {
		t.Errorf("%+v", sum)
	}
	if sum := r.summary(reportKeep + 1); sum.Members() != 1 || sum.Current(4) != 1 {
		t.Errorf("%+v", sum)
	}
}
