package capacity

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"mulleinbeam/internal/cluster/changelog"
	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/entry"
)

// The configuration: entries as voters apply them, and as a member takes them into its view and puts them into force.

const entriesAtOnce = 1000 // in one command, when a configuration is built

// configEntry is a destination with two endpoints.
func configEntry(i int, capacity float64) entry.Entry {
	d := entry.Destination{Number: int64(i + 1)}
	for k := range 2 {
		d.Endpoints = append(d.Endpoints, entry.Endpoint{
			Name: fmt.Sprintf("endpoint-%07d-%d", i, k), Address: fmt.Sprintf("10.%d.%d.%d:%d", i>>16&255, i>>8&255, i&255, 7000+k),
			Zone: fmt.Sprintf("zone-%02d", (i+k)%22), Capacity: capacity,
		})
	}
	return entry.Entry{Destination: &d}
}

// entryChange is the change that sets it.
func entryChange(i int, capacity float64) (controlplane.EntryChange, error) {
	e := configEntry(i, capacity)
	content, err := e.Encode()
	return controlplane.EntryChange{Key: e.Key(), Content: content}, err
}

// configuredState is a state with so many entries.
func configuredState(entries int) (*controlplane.State, error) {
	s := controlplane.NewState()
	for begin := 0; begin < entries; begin += entriesAtOnce {
		cmd := controlplane.Command{Kind: controlplane.Configure, From: s.Configured}
		for i := begin; i < min(entries, begin+entriesAtOnce); i++ {
			change, err := entryChange(i, 100)
			if err != nil {
				return nil, err
			}
			cmd.Entries = append(cmd.Entries, change)
		}
		if err := s.Apply(s.Version+1, cmd); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// configRecords are all entries of a state as a watcher gets them.
func configRecords(s *controlplane.State) (records []controlplane.Change) {
	for key, e := range s.Entries {
		records = append(records, controlplane.Change{Key: "config/" + key, Revision: e.Revision, Value: controlplane.Item{Entry: e}})
	}
	revision := controlplane.Item{Config: &controlplane.ConfigRevision{Revision: s.Configured}}
	return append(records, controlplane.Change{Key: "configuration", Revision: s.Configured, Value: revision})
}

// probeConfiguration measures a configuration of so many entries.
func probeConfiguration(_ context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("config.apply", "entries", "s", "of a voter to apply a change of one configuration entry")
	t.column("config.learn", "entries", "s", "of a member to take one changed entry into its view and to put it into force")
	t.column("config.memory", "entries", "B", "memory of the configuration at a member, in its view and in force")
	for _, n := range sizes {
		values, err := configurationOf(n, effort)
		if err != nil {
			return nil, err
		}
		t.row(n, values...)
	}
	return t.series, nil
}

func configurationOf(entries int, effort time.Duration) ([]float64, error) {
	voter, err := configuredState(entries)
	if err != nil {
		return nil, err
	}
	records := configRecords(voter)
	before := heap()
	view := controlplane.NewState().With(voter.Version, &changelog.Change[controlplane.Item]{Whole: true, Records: records})
	allowed := func(entry.Entry) error { return nil }
	var active entry.Active
	if _, refused := active.Update(view.EntryContents(), allowed); len(refused) > 0 {
		return nil, fmt.Errorf("%d entries refused, %s", len(refused), refused[0].Why)
	}
	memory := heap() - before
	for _, e := range view.Entries { // contents that the view shares with the voter's state
		memory += float64(len(e.Content))
	}
	var failed error
	rate := 0.0
	change := func() controlplane.EntryChange {
		rate++
		c, err := entryChange(0, rate)
		failed = errors.Join(failed, err)
		return c
	}
	apply := timed(effort, func() {
		cmd := controlplane.Command{Kind: controlplane.Configure, From: voter.Configured, Entries: []controlplane.EntryChange{change()}}
		failed = errors.Join(failed, voter.Apply(voter.Version+1, cmd))
	})
	learn := timed(effort, func() {
		c := change()
		e := &controlplane.ConfigEntry{Content: c.Content, Revision: view.Version + 1}
		record := controlplane.Change{Key: "config/" + c.Key, Revision: e.Revision, Value: controlplane.Item{Entry: e}}
		view = view.With(e.Revision, &changelog.Change[controlplane.Item]{Records: []controlplane.Change{record}})
		if changes, _ := active.Update(view.EntryContents(), allowed); len(changes.Set) != 1 {
			failed = errors.Join(failed, errors.New("a changed entry changes nothing"))
		}
	})
	runtime.KeepAlive(records)
	return []float64{apply, learn, memory}, failed
}
