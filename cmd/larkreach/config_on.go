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

// fleetConfigCmds contains the commands that show or change the configuration of a whole fleet, through any member.
type fleetConfigCmds struct {
	Apply  configApplyCmd  `cmd:"" help:"Commit the entries of a file: each replaces the entry of its destination or class; other entries stay."`
	Get    configGetCmd    `cmd:"" help:"Print committed entries as a file that apply reads."`
	Remove configRemoveCmd `cmd:"" help:"Delete entries: the destination is served from the discovery list again, the class is not limited."`
	Status configStatusCmd `cmd:"" help:"Show the fleet's revision, how many members lag, and which members refuse an entry and why."`
}

// errNotInForce reports that a configuration is not in force on all members.
var errNotInForce = errors.New("not in force on all members")

// configChange contains the flags of commands that change the configuration.
type configChange struct {
	memberFlags
	Revision *uint64       `name:"revision" placeholder:"N" help:"Commit only if the configuration is at this revision (status prints it); default: the current one."`
	Wait     time.Duration `name:"wait" help:"How long to wait until the change is in force on all members; exit status 1 if it is not."`
}

// commit commits changes if the configuration is at the expected revision, and with --wait waits until they are in
// force.
func (c configChange) commit(io streams, changes []controlplane.EntryChange) error {
	status, err := c.status()
	if err != nil {
		return err
	}
	cmd := controlplane.Command{Kind: controlplane.Configure, From: status.State.Configured, Entries: changes}
	if c.Revision != nil {
		cmd.From = *c.Revision
	}
	switch err := c.sendCommand(cmd); {
	case err != nil && err.Error() == controlplane.ErrConflict.Error():
		return fmt.Errorf("nothing was committed: the configuration is no longer at revision %d, check it again", cmd.From)
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

// rolloutPollInterval is the pause between two requests for the progress of a change.
const rolloutPollInterval = 50 * time.Millisecond

// await waits until a revision after previous is in force on all members.
func (c configChange) await(io streams, previous uint64) error {
	started := time.Now()
	for {
		r, err := query(c.memberFlags, node.GetRollout)
		if err == nil && r.Revision > previous && r.Summary.Refusing == 0 && r.InForce() {
			fmt.Fprintf(io.out, "revision %d is in force on all %d members after %v\n", r.Revision, r.Members, time.Since(started).Round(time.Millisecond))
			return nil
		}
		if time.Since(started) > c.Wait {
			if err != nil {
				return fmt.Errorf("committed; %w: %w", errNotInForce, err)
			}
			return fmt.Errorf("committed as revision %d; %w: %d of %d members have it, %d refuse an entry (config status)",
				r.Revision, errNotInForce, r.Summary.Current(r.Revision), r.Members, r.Summary.Refusing)
		}
		time.Sleep(rolloutPollInterval)
	}
}

type configApplyCmd struct {
	configChange
	File string `arg:"" help:"File of entries: [destination.NUMBER] with its [[destination.NUMBER.endpoint]], and [class.NAME]."`
}

// Run commits the entries of a file.
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
	memberFlags
	Keys []string `arg:"" optional:"" name:"key" help:"destination/NUMBER or class/NAME; default: all entries."`
}

// Run prints entries.
func (c configGetCmd) Run(io streams) error {
	status, err := c.status()
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

type configStatusCmd struct{ memberFlags }

// configStatus is the JSON output of the status command.
type configStatus struct {
	controlplane.Rollout
	Entries map[string]uint64 `json:"entries"` // revision at which each committed entry was set
}

// Run prints how far the configuration is in force.
func (c configStatusCmd) Run(io streams) error {
	r, err := query(c.memberFlags, node.GetRollout)
	if err != nil {
		return err
	}
	status, err := c.status()
	if err != nil {
		return err
	}
	out := configStatus{Rollout: r, Entries: map[string]uint64{}}
	for key, e := range status.State.Entries {
		out.Entries[key] = e.Revision
	}
	return c.print(io, out, out.rows())
}

// rows returns the status as a table.
func (s configStatus) rows() [][]string {
	heard, current := s.Summary.Members(), s.Summary.Current(s.Revision)
	rows := [][]string{
		{fmt.Sprintf("revision %d: %d of %d members have processed it, %d lag, %d have not reported, %d refuse an entry",
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
