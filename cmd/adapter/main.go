// Command adapter runs instances of the decision module on the JSON lines of package wire: it reads batches from
// standard input and writes one reply per batch to standard output.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	mb "mulleinbeam"
	"mulleinbeam/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// host holds the running instances by name and the endpoint lists by id.
type host struct {
	instances map[string]*mb.Decider
	lists     map[int][]mb.Entry
}

func run(in io.Reader, out io.Writer) error {
	h := &host{instances: map[string]*mb.Decider{}, lists: map[int][]mb.Entry{}}
	r := bufio.NewReaderSize(in, 1<<20)
	w := bufio.NewWriter(out)
	enc := json.NewEncoder(w)
	for {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 && !(len(line) == 1 && line[0] == '\n') {
			reply, handleErr := h.handle(line)
			if handleErr != nil {
				return handleErr
			}
			if err := enc.Encode(reply); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
			if err := w.Flush(); err != nil {
				return fmt.Errorf("write reply: %w", err)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read batch: %w", err)
		}
	}
}

// handle returns the reply to one batch.
func (h *host) handle(line []byte) (*wire.Reply, error) {
	batch, err := wire.ParseBatch(line)
	if err != nil {
		return nil, err
	}
	reply := &wire.Reply{Batch: batch.Batch, Parts: []wire.ReplyPart{}}
	for _, part := range batch.Parts {
		decisions, err := h.handlePart(batch.Moment, part)
		if err != nil {
			return nil, fmt.Errorf("batch %d, %s: %w", batch.Batch, part.Instance, err)
		}
		if len(decisions) > 0 {
			reply.Parts = append(reply.Parts, wire.ReplyPart{Instance: part.Instance, Decisions: decisions})
		}
	}
	return reply, nil
}

// handlePart feeds the input of one instance to it and returns the instance's decisions.
func (h *host) handlePart(moment int64, part wire.Part) ([]any, error) {
	var decisions []any
	var events []mb.Event
	flush := func() error {
		d := h.instances[part.Instance]
		if d == nil || len(events) == 0 {
			events = nil
			return nil
		}
		actions, fault := handleRecovering(d, moment, events)
		events = nil
		if fault != "" {
			decisions = append(decisions, wire.Bug(fault))
			return nil
		}
		for _, a := range actions {
			enc, err := wire.EncodeAction(a)
			if err != nil {
				return err
			}
			decisions = append(decisions, enc)
		}
		return nil
	}
	for _, raw := range part.Input {
		ev, err := wire.ParseEvent(raw)
		if err != nil {
			return nil, err
		}
		switch ev := ev.(type) {
		case wire.Provision:
			d, err := mb.New(ev.Settings, ev.Seed)
			if err != nil {
				return nil, err
			}
			decisions, events = nil, nil
			h.instances[part.Instance] = d
		case wire.Destroy:
			decisions, events = nil, nil
			delete(h.instances, part.Instance)
		case wire.Catalog:
			h.lists[ev.ID] = ev.Entries
		case wire.ListRef:
			update := mb.EndpointUpdate{Scope: ev.Scope}
			if ev.Scope != mb.ListError {
				update.Entries = h.lists[ev.List]
			}
			events = append(events, update)
		case mb.Event:
			events = append(events, ev)
		}
	}
	if err := flush(); err != nil {
		return nil, err
	}
	return decisions, nil
}

// handleRecovering passes events to the decision module and returns the text of a panic as fault.
func handleRecovering(d *mb.Decider, moment int64, events []mb.Event) (actions []mb.Action, fault string) {
	defer func() {
		if p := recover(); p != nil {
			actions, fault = nil, fmt.Sprint("panic: ", p)
		}
	}()
	return d.Handle(wire.Moment(moment), events), ""
}
