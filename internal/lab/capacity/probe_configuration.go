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

// Probe of the configuration: voters apply entries, and a member applies them to its view and activates them.

const entriesPerCommand = 1000 // entries in one command when a configuration is built

// configEntry returns the entry of a destination with two endpoints.
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

// entryChange returns the change that sets such an entry.
func entryChange(i int, capacity float64) (controlplane.EntryChange, error) {
	e := configEntry(i, capacity)
	content, err := e.Encode()
	return controlplane.EntryChange{Key: e.Key(), Content: content}, err
}

// configuredState returns a state with the given number of entries.
func configuredState(entries int) (*controlplane.State, error) {
	s := controlplane.NewState()
	for begin := 0; begin < entries; begin += entriesPerCommand {
		cmd := controlplane.Command{Kind: controlplane.Configure, From: s.Configured}
		for i := begin; i < min(entries, begin+entriesPerCommand); i++ {
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

// configRecords returns all entries of a state as change records for a watcher.
func configRecords(s *controlplane.State) (records []controlplane.Change) {
	for key, e := range s.Entries {
		records = append(records, controlplane.Change{Key: "config/" + key, Revision: e.Revision, Value: controlplane.Item{Entry: e}})
	}
	revision := controlplane.Item{Config: &controlplane.ConfigRevision{Revision: s.Configured}}
	return append(records, controlplane.Change{Key: "configuration", Revision: s.Configured, Value: revision})
}

// probeConfiguration measures how applying entries and their memory grow with the number of entries.
func probeConfiguration(_ context.Context, sizes []int, effort time.Duration) ([]Series, error) {
	var t table
	t.column("config.apply", "entries", "s", "for a voter to apply a change of one configuration entry")
	t.column("config.learn", "entries", "s", "for a member to apply one changed entry to its view and activate it")
	t.column("config.memory", "entries", "B", "memory of the configuration at a member, in its view and active")
	for _, n := range sizes {
		values, err := measureConfiguration(n, effort)
		if err != nil {
			return nil, err
		}
		t.row(n, values...)
	}
	return t.series, nil
}

func measureConfiguration(entries int, effort time.Duration) ([]float64, error) {
	voter, err := configuredState(entries)
	if err != nil {
		return nil, err
	}
	records := configRecords(voter)
	before := liveHeapBytes()
	view := controlplane.NewState().With(voter.Version, &changelog.Change[controlplane.Item]{Whole: true, Records: records})
	allowed := func(entry.Entry) error { return nil }
	var active entry.Active
	if _, refused := active.Update(view.EntryContents(), allowed); len(refused) > 0 {
		return nil, fmt.Errorf("%d entries refused, %s", len(refused), refused[0].Why)
	}
	memory := liveHeapBytes() - before
	for _, e := range view.Entries { // contents are shared with the voter's state, so the heap difference lacks them
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
	apply := medianSeconds(effort, func() {
		cmd := controlplane.Command{Kind: controlplane.Configure, From: voter.Configured, Entries: []controlplane.EntryChange{change()}}
		failed = errors.Join(failed, voter.Apply(voter.Version+1, cmd))
	})
	learn := medianSeconds(effort, func() {
		c := change()
		e := &controlplane.ConfigEntry{Content: c.Content, Revision: view.Version + 1}
		record := controlplane.Change{Key: "config/" + c.Key, Revision: e.Revision, Value: controlplane.Item{Entry: e}}
		view = view.With(e.Revision, &changelog.Change[controlplane.Item]{Records: []controlplane.Change{record}})
		if changes, _ := active.Update(view.EntryContents(), allowed); len(changes.Set) != 1 {
			failed = errors.Join(failed, errors.New("a changed entry produced no change"))
		}
	})
	runtime.KeepAlive(records)
	return []float64{apply, learn, memory}, failed
}
