//go:build cluster

package main

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"mulleinbeam/internal/cluster/controlplane"
	"mulleinbeam/internal/cluster/entry"
	"mulleinbeam/internal/cluster/node"
	"mulleinbeam/internal/settings"
)

// fleetConfigCmds look at the configuration that a fleet decides in common, and change it, through any member.
type fleetConfigCmds struct {
	Apply  configApplyCmd  `cmd:"" help:"Commit the entries of a file: each replaces the one of its destination or class; others stay."`
	Get    configGetCmd    `cmd:"" help:"Print committed entries as a file that apply reads."`
	Remove configRemoveCmd `cmd:"" help:"Delete entries: what discovery lists for the destination counts again, the class is not limited."`
	Status configStatusCmd `cmd:"" help:"In which revision the fleet is, how many members lag, and who refuses an entry and why."`
}

// errNotInForce says that a configuration is not in force everywhere.
var errNotInForce = errors.New("not in force everywhere")

// configChange is what commands that change the configuration share.
type configChange struct {
	at
	Revision *uint64       `name:"revision" placeholder:"N" help:"The revision that the change is for (status prints it); without it, the present one."`
	Wait     time.Duration `name:"wait" help:"Wait so long until the change is in force everywhere; status 1 if it is not."`
}

// commit has a change decided as of a revision, and waits until it is in force where that is asked for.
func (c configChange) commit(io streams, changes []controlplane.EntryChange) error {
	status, err := c.look()
	if err != nil {
		return err
	}
	cmd := controlplane.Command{Kind: controlplane.Configure, From: status.State.Configured, Entries: changes}
	if c.Revision != nil {
		cmd.From = *c.Revision
	}
	switch err := c.decide(cmd); {
	case err != nil && err.Error() == controlplane.ErrConflict.Error():
		return fmt.Errorf("nothing was committed: the configuration is not at revision %d any more, look again", cmd.From)
	case err != nil:
		return fmt.Errorf("nothing was committed: %w", err)
	}
	for _, change := range changes {
		done := "set"
		if change.Deleted {
			done = "removed"
		}
		fmt.Fprintln(io.out, change.Key, done)
	}
	if c.Wait <= 0 {
		return nil
	}
	return c.await(io, cmd.From)
}

// rolloutGap is between two looks at how far a change is.
const rolloutGap = 50 * time.Millisecond

// await waits until a revision behind one is in force everywhere.
func (c configChange) await(io streams, behind uint64) error {
	began := time.Now()
	for {
		r, err := ask(c.at, node.GetRollout)
		if err == nil && r.Revision > behind && r.Summary.Refusing == 0 && r.InForce() {
			fmt.Fprintf(io.out, "revision %d is in force at all %d members after %v\n", r.Revision, r.Members, time.Since(began).Round(time.Millisecond))
			return nil
		}
		if time.Since(began) > c.Wait {
			if err != nil {
				return fmt.Errorf("committed; %w: %w", errNotInForce, err)
			}
			return fmt.Errorf("committed as revision %d; %w: %d of %d members have it, %d refuse an entry (config status)",
				r.Revision, errNotInForce, r.Summary.Current(r.Revision), r.Members, r.Summary.Refusing)
		}
		time.Sleep(rolloutGap)
	}
}

type configApplyCmd struct {
	configChange
	File string `arg:"" help:"The file of entries: [destination.NUMBER] with its [[destination.NUMBER.endpoint]], and [class.NAME]."`
}

// Run commits a file.
func (c configApplyCmd) Run(io streams) error {
	entries, err := settings.LoadEntries(c.File)
	if err != nil {
		return err
	}
	var changes []controlplane.EntryChange
	for _, e := range entries {
		content, err := e.Encode()
		if err != nil {
			return err
		}
		changes = append(changes, controlplane.EntryChange{Key: e.Key(), Content: content})
	}
	return c.commit(io, changes)
}

type configRemoveCmd struct {
	configChange
	Keys []string `arg:"" name:"key" help:"destination/NUMBER or class/NAME, as status prints them."`
}

// Run deletes entries.
func (c configRemoveCmd) Run(io streams) error {
	var changes []controlplane.EntryChange
	for _, key := range c.Keys {
		changes = append(changes, controlplane.EntryChange{Key: key, Deleted: true})
	}
	return c.commit(io, changes)
}

type configGetCmd struct {
	at
	Keys []string `arg:"" optional:"" name:"key" help:"destination/NUMBER or class/NAME; all without one."`
}

// Run prints entries.
func (c configGetCmd) Run(io streams) error {
	status, err := c.look()
	if err != nil {
		return err
	}
	contents := maps.Collect(status.State.EntryContents())
	keys := c.Keys
	if len(keys) == 0 {
		keys = slices.Sorted(maps.Keys(contents))
	}
	var entries []entry.Entry
	for _, key := range keys {
		content, committed := contents[key]
		if !committed {
			return fmt.Errorf("%s: no such entry is committed", key)
		}
		e, err := entry.Decode(key, content)
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
		entries = append(entries, e)
	}
	if c.JSON {
		return c.print(io, entries, nil)
	}
	text, err := settings.FormatEntries(entries)
	if err != nil {
		return err
	}
	fmt.Fprintf(io.out, "# revision %d\n%s", status.State.Configured, text)
	return nil
}

type configStatusCmd struct{ at }

// configStatus is what status prints as JSON.
type configStatus struct {
	controlplane.Rollout
	Entries map[string]uint64 `json:"entries"` // committed, with the revisions at which they were set
}

// Run prints how far the configuration is in force.
func (c configStatusCmd) Run(io streams) error {
	r, err := ask(c.at, node.GetRollout)
	if err != nil {
		return err
	}
	status, err := c.look()
	if err != nil {
		return err
	}
	out := configStatus{Rollout: r, Entries: map[string]uint64{}}
	for key, e := range status.State.Entries {
		out.Entries[key] = e.Revision
	}
	return c.print(io, out, out.rows())
}

// rows are the status as a table.
func (s configStatus) rows() [][]string {
	heard, current := s.Summary.Members(), s.Summary.Current(s.Revision)
	rows := [][]string{
		{fmt.Sprintf("revision %d: %d of %d members have looked at it, %d lag, %d were not heard, %d refuse an entry",
			s.Revision, current, s.Members, heard-current, max(0, s.Members-heard), s.Summary.Refusing)},
		{""}, {"REVISION", "MEMBERS"},
	}
	for _, count := range s.Summary.Revisions {
		rows = append(rows, []string{fmt.Sprint(count.Revision), fmt.Sprint(count.Members)})
	}
	if len(s.Summary.Refusals) > 0 {
		rows = append(rows, []string{""}, []string{"MEMBER", "REFUSES", "WHY"})
	}
	for _, refusal := range s.Summary.Refusals {
		rows = append(rows, []string{refusal.Life.String(), refusal.Key, refusal.Why})
	}
	rows = append(rows, []string{""}, []string{"ENTRY", "SET AT"})
	for _, key := range slices.Sorted(maps.Keys(s.Entries)) {
		rows = append(rows, []string{key, fmt.Sprint(s.Entries[key])})
	}
	return rows
}
