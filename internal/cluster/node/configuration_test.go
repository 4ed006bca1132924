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

// unusedCaller is a caller and notifier that is never called.
type unusedCaller struct{}

func (unusedCaller) Call(context.Context, routing.Attempt) routing.Result { return routing.Result{} }
func (unusedCaller) CloseIdle(string)                                     {}
func (unusedCaller) Notify(routing.DeliveryReport)                        {}

// newSingleVoter opens a member that is the only voter and runs only its control plane server and its router.
func newSingleVoter(t *testing.T) *Node {
	t.Helper()
	address := "127.0.0.1:0"
	n, err := Open(Config{
		Name: "n0", Listen: address, Founders: []controlplane.Voter{{Name: "n0", Address: address}}, Copies: 1, Folder: t.TempDir(),
		Timing: controlplane.Timing{Tick: 10 * time.Millisecond, Lease: time.Minute, Margin: 10 * time.Second}, Logger: zerolog.Nop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	journal, err := wal.Open(t.TempDir(), wal.Options{MaxBytes: 3e6}, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	classes := []mb.Class{{Name: "safe", Target: time.Second, DeliveryTimeout: time.Minute, Worth: 1, Effect: mb.Safe}}
	n.router, err = routing.New(routing.Config{
		Settings: mb.Settings{Forwarders: 1, Slots: 4, LongSlots: 1, MostHeld: 10, MaxAttempts: 6, MaxRetryAfter: time.Second, Classes: classes},
		Log:      journal, Caller: unusedCaller{}, Notifier: unusedCaller{}, Logger: zerolog.Nop(),
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

// Guards against an incarnation that starts before the committed configuration is in force: join applies it by itself.
func TestConfigurationIsInForceBeforeIncarnationStarts(t *testing.T) {
	n := newSingleVoter(t)
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
	if err := n.join(ctx); err != nil {
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
		t.Errorf("an invalid entry was accepted: %+v, %v", r, err)
	}
}

// Guards against a changed rate limit that refills the burst, and against a removed one that still limits.
func TestLimits(t *testing.T) {
	var l limits
	if !l.Allows("safe") {
		t.Error("a class without a rate limit is limited")
	}
	safe := func(perSecond float64) []entry.Entry {
		return []entry.Entry{{Class: &entry.Class{Name: "safe", Rate: perSecond}}}
	}
	l.apply(entry.Changes{Set: safe(0.001)})
	if !l.Allows("safe") || l.Allows("safe") {
		t.Error("a low rate does not allow a burst of exactly one message")
	}
	l.apply(entry.Changes{Set: safe(0.002)})
	if l.Allows("safe") {
		t.Error("a changed rate refills the burst")
	}
	l.apply(entry.Changes{Removed: safe(0.002)})
	for range 2 {
		if !l.Allows("safe") {
			t.Error("a removed rate still limits")
		}
	}
}
