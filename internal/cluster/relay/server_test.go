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

// serve calls run, and at the end of the test cancels its context and waits for it.
func serve(t *testing.T, run func(ctx context.Context) error) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
}

// refusedKey is the key of an entry that voters refuse.
const refusedKey = "class/unusable"

// newVoter starts the only voter of a control plane.
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
			return errors.New("invalid entry")
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

// A member that only knows relays joins, renews its lease and receives committed changes. If its relay is
// unreachable, it switches to another, and if all are, to the voters.
func TestMemberBehindRelays(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	t.Run("members", func(t *testing.T) {
		voter := newVoter(t)
		unreachable := func() controlplane.Relay {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			return controlplane.Relay{Address: l.Addr().String()}
		}
		for name, relays := range map[string][]controlplane.Relay{
			"one": {newRelay(t, voter)}, "first unreachable": {unreachable(), newRelay(t, voter)}, "all unreachable": {unreachable(), unreachable()},
		} {
			peers := &links.Peers{}
			defer peers.Close()
			client := controlplane.NewClient([]controlplane.Voter{voter}, peers.At, "", nil)
			client.UseRelays(relays)
			runMember(t, client, name)
		}
	})
}

// runMember joins a member and renews its lease until its view contains the member.
func runMember(t *testing.T, client *controlplane.Client, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	view := controlplane.NewView()
	r, err := client.Do(ctx, controlplane.Request{Command: &controlplane.Command{Kind: controlplane.Join, Life: controlplane.Incarnation{Name: name}, Token: name, Address: "a:1"}})
	if err != nil || r.Joined == nil || r.Joined.Life != 1 {
		t.Fatalf("%s: %+v, %v", name, r, err)
	}
	if client.Leader() != "n0" {
		t.Errorf("%s: leader %q in the answer to a command", name, client.Leader())
	}
	incarnation, lease := controlplane.Incarnation{Name: name, Number: 1}, controlplane.Lease{Length: time.Minute}
	for granted := false; !granted || view.State().Members[name] == nil; {
		req := lease.Renewal(0, incarnation)
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
		t.Errorf("%s: leader %q", name, client.Leader())
	}
	req := lease.Renewal(0, controlplane.Incarnation{Name: name, Number: 7})
	if r, err = client.Do(ctx, req); err != nil || r.Granted || r.Refused != controlplane.ErrFenced.Error() {
		t.Errorf("%s: unknown incarnation: %+v, %v", name, r, err)
	}
}

// A relay that reaches no voter answers that there is no leader, and does so before the member times out.
func TestRelayWithoutVoters(t *testing.T) {
	unreachable := controlplane.Voter{Name: "n0", Address: "127.0.0.1:1"}
	peers := &links.Peers{}
	defer peers.Close()
	peer := peers.At(newRelay(t, unreachable).Address)
	for _, req := range []controlplane.Request{{}, renewalOf(a1, 1), {Command: &controlplane.Command{Kind: controlplane.Drain}}} {
		var r controlplane.Response
		if err := peer.Call(t.Context(), "Council.Ask", req, &r); err != nil || r.Refused != controlplane.ErrNoLeader.Error() {
			t.Errorf("%+v, %v", r, err)
		}
	}
}

// An operator behind a relay commits an entry and can see its rollout from the summaries of the relays. An entry that
// the voters refuse is not committed. Members of a relay whose version sends no summary would not be counted.
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
		runMember(t, clients[name], name)
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
	if r := configure(0, refusedKey); !strings.Contains(r.Refused, "invalid entry") {
		t.Errorf("invalid entry: %+v", r)
	}
	committed := configure(0, "class/safe")
	if committed.Refused != "" {
		t.Fatal(committed.Refused)
	}
	if r := configure(0, "class/safe"); r.Refused != controlplane.ErrConflict.Error() {
		t.Errorf("conflicting change: %+v", r)
	}
	refusedEntry := controlplane.RefusedEntry{Key: "class/safe", Why: "no such class"}
	lease := controlplane.Lease{Length: time.Minute}
	var got controlplane.Rollout
	for got.Summary.Current(committed.Version) < 3 {
		for name, client := range clients {
			req := lease.Renewal(0, controlplane.Incarnation{Name: name, Number: 1})
			if req.Report = (&controlplane.ConfigReport{Revision: committed.Version}); name == "b" {
				req.Report.Refused = []controlplane.RefusedEntry{refusedEntry}
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
	if list := got.Summary.Refusals; len(list) != 1 || list[0].Life.Name != "b" || list[0].Key != refusedEntry.Key || list[0].Why != refusedEntry.Why {
		t.Errorf("refusals: %+v", list)
	}
}

// The report of a member that has switched to another relay, or has ended, expires.
func TestReportsExpire(t *testing.T) {
	var r memberReports
	if r.summary(0) != nil {
		t.Error("summary without reports")
	}
	r.record(0, a1, controlplane.ConfigReport{Revision: 3})
	r.record(reportTTL, b1, controlplane.ConfigReport{Revision: 4})
	if sum := r.summary(reportTTL); sum.Members() != 2 || sum.Current(4) != 1 {
		t.Errorf("%+v", sum)
	}
	if sum := r.summary(reportTTL + 1); sum.Members() != 1 || sum.Current(4) != 1 {
		t.Errorf("%+v", sum)
	}
}
