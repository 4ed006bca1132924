package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"mulleinbeam/internal/routing/wal"
)

// journalCmd contains the tools for a journal's folder. All but compact only read, and also work while the program
// runs.
type journalCmd struct {
	Stat    statCmd    `cmd:"" help:"Show what a journal contains and how its space is used."`
	Verify  verifyCmd  `cmd:"" help:"Read a whole journal; exit status 1 and a line for each finding if something can't be read."`
	Dump    dumpCmd    `cmd:"" help:"List the messages that have not ended."`
	Compact compactCmd `cmd:"" help:"Compact a journal that no program has open."`
}

type folder struct {
	Dir  string `arg:"" type:"existingdir" help:"The state folder."`
	JSON bool   `name:"json" help:"Print JSON: one document, or one a line."`
}

func (io streams) json(v any) error {
	raw, err := json.Marshal(v)
	if err == nil {
		_, err = fmt.Fprintf(io.out, "%s\n", raw)
	}
	return err
}

type statCmd struct{ folder }

// Run prints the segments and the number of messages.
func (c statCmd) Run(io streams) error {
	inspection, err := wal.Inspect(c.Dir, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return io.json(inspection)
	}
	fmt.Fprintf(io.out, "%d messages not over, %d records, %d bytes on disk, %d findings\n", inspection.LiveKeys, inspection.Records, inspection.Bytes, len(inspection.Findings))
	for _, s := range inspection.Segments {
		note := ""
		if !s.Referenced {
			note = "  unused, removed at the next start"
		}
		fmt.Fprintf(io.out, "%s  %9d bytes  %7d records  %3d%% live%s\n", s.Name, s.Bytes, s.Records, 100*s.LiveBytes/max(1, s.Bytes), note)
	}
	return nil
}

type verifyCmd struct{ folder }

// Run reads the whole journal and prints its findings.
func (c verifyCmd) Run(io streams) error {
	inspection, err := wal.Inspect(c.Dir, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := io.json(inspection.Findings); err != nil {
			return err
		}
	} else {
		for _, finding := range inspection.Findings {
			fmt.Fprintln(io.out, finding)
		}
	}
	if len(inspection.Findings) > 0 {
		return errFindings
	}
	return nil
}

// errFindings makes verify exit with status 1; the findings themselves are printed before.
var errFindings = errors.New("journal: verify found problems")

type dumpCmd struct{ folder }

// Run lists the messages that have not ended.
func (c dumpCmd) Run(io streams) error {
	var list []*wal.Message
	if _, err := wal.Inspect(c.Dir, func(m *wal.Message) { list = append(list, m) }); err != nil {
		return err
	}
	slices.SortFunc(list, func(a, b *wal.Message) int { return int(int64(a.Seq) - int64(b.Seq)) })
	for _, m := range list {
		if !c.JSON {
			fmt.Fprintln(io.out, m)
		} else if err := io.json(map[string]any{
			"seq": m.Seq, "id": m.ID, "class": m.Class, "destination": m.Destination, "deadline": m.Deadline, "attempts": m.Attempts,
			"may_have_run": m.MayHaveRun, "long": m.Long, "body_bytes": m.BodySize(), "ending": m.Status,
		}); err != nil {
			return err
		}
	}
	return nil
}

type compactCmd struct {
	folder
	Disk float64 `default:"3" help:"Maximum size of the folder in MB, like disk_mb."`
}

// Run compacts the journal.
func (c compactCmd) Run(io streams) error {
	n, err := wal.Compact(c.Dir, wal.Options{MaxBytes: int64(c.Disk * 1e6)}, func(line string) { fmt.Fprintln(io.err, line) })
	if err != nil {
		return err
	}
	if c.JSON {
		return io.json(map[string]int{"segments": n})
	}
	fmt.Fprintf(io.out, "%d segments compacted\n", n)
	return nil
}
