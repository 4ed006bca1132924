package node

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"

	mb "mulleinbeam"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/entry"
	"mulleinbeam/internal/routing"
	"mulleinbeam/internal/routing/wal"
)

// silent is a caller and a notifier that is never asked.
type silent struct{}

func (silent) Call(context.Context, routing.Attempt) routing.Result { return routing.Result{} }
func (silent) CloseIdle(string)                                     {}
func (silent) Notify(routing.DeliveryReport)                        {}

// newAlone opens a member that is the only voter, with its control plane running and nothing else.
func newAlone(t *testing.T) *Node {
	t.Helper()
	address := "127.0.0.1:0"
	n, err := Open(Config{
		Name: "n0", Listen: address, Founders: []controlplane.Voter{{Name: "n0", Address: address}}, Copies: 1, Folder: t.TempDir(),
		Timing: controlplane.Timing{Tick: 10 * time.Millisecond, Lease: time.Minute, Margin: 10 * time.Second}, Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	journal, err := wal.Open(t.TempDir(), wal.Options{Most: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	classes := []mb.Class{{Name: "safe", Target: time.Second, DeliveryTimeout: time.Minute, Worth: 1, Effect: mb.Safe}}
	n.router, err = routing.New(routing.Config{
		Settings: mb.Settings{Forwarders: 1, Slots: 4, LongSlots: 1, MostHeld: 10, MaxAttempts: 6, MaxRetryAfter: time.Second, Classes: classes},
		Log:      journal, Caller: silent{}, Notifier: silent{}, Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- n.server.Run(ctx) }()
	go func() { ended <- n.router.Run(ctx, func() {}) }()
	t.Cleanup(func() {
		cancel()
		for range cap(ended) {
			if err := <-ended; err != nil {
				t.Error(err)
			}
		}
		if err := n.Close(); err != nil {
			t.Error(err)
		}
		if err := journal.Close(); err != nil {
			t.Error(err)
		}
	})
	return n
}

// What is committed is in force before a life begins, without anybody else having put it there.
func TestConfigurationIsInForceBeforeALifeBegins(t *testing.T) {
	n := newAlone(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	cmd := controlplane.Command{Kind: controlplane.Configure}
	for _, e := range []entry.Entry{{Class: &entry.Class{Name: "safe", Rate: 0.01}}, {Class: &entry.Class{Name: "unheard", Rate: 1}}} {
		content, err := e.Encode()
		if err != nil {
			t.Fatal(err)
		}
		cmd.Entries = append(cmd.Entries, controlplane.EntryChange{Key: e.Key(), Content: content})
	}
	committed, err := n.client.Do(ctx, controlplane.Request{Command: &cmd})
	if err != nil || committed.Refused != "" {
		t.Fatalf("%+v, %v", committed, err)
	}
	if err := n.begin(ctx); err != nil {
		t.Fatal(err)
	}
	limiter := n.Limiter()
	if !limiter.Allows("safe") || limiter.Allows("safe") || !limiter.Allows("other") {
		t.Error("the class's rate is not in force")
	}
	report := n.configReport()
	if report.Revision != committed.Version || len(report.Refused) != 1 || report.Refused[0].Key != entry.ClassKey("unheard") {
		t.Errorf("report %+v, committed at %d", report, committed.Version)
	}
	bad := controlplane.Command{Kind: controlplane.Configure, From: committed.Version, Entries: []controlplane.EntryChange{{Key: "class/safe", Content: []byte("{}")}}}
	if r, err := n.client.Do(ctx, controlplane.Request{Command: &bad}); err != nil || r.Refused == "" {
		t.Errorf("an entry that can't be used: %+v, %v", r, err)
	}
}

// A class's rate that changes keeps what was used of it; one that is no longer configured does not limit.
func TestLimits(t *testing.T) {
	var l limits
	if !l.Allows("safe") {
		t.Error("a class without a rate")
	}
	safe := func(perSecond float64) []entry.Entry {
		return []entry.Entry{{Class: &entry.Class{Name: "safe", Rate: perSecond}}}
	}
	l.change(entry.Changes{Set: safe(0.001)})
	if !l.Allows("safe") || l.Allows("safe") {
		t.Error("one message is what a low rate gives at once")
	}
	l.change(entry.Changes{Set: safe(0.002)})
	if l.Allows("safe") {
		t.Error("another rate gives the used message back")
	}
	l.change(entry.Changes{Removed: safe(0.002)})
	for range 2 {
		if !l.Allows("safe") {
			t.Error("a rate that is gone")
		}
	}
}
