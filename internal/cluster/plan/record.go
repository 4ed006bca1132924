package plan

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
)

// RecordedWindow holds the planner's input of one window and the plan that it proposed.
type RecordedWindow struct {
	Input  Input
	Places Topology // set in the first window
	Config Config
	Begin  *Plan // the plan from which a planner that began with this window continued
	Began  bool
	Plan   *Plan // the proposed plan; nil if none was proposed
}

// Recorder writes windows up to a number of bytes and drops the rest.
type Recorder struct {
	out      *countingWriter
	enc      *gob.Encoder
	maxBytes int64
}

type countingWriter struct {
	out     io.Writer
	written int64
}

func (c *countingWriter) Write(b []byte) (int, error) {
	n, err := c.out.Write(b)
	c.written += int64(n)
	return n, err
}

// NewRecorder returns a recorder that stops after maxBytes.
func NewRecorder(w io.Writer, maxBytes int64) *Recorder {
	out := &countingWriter{out: w}
	return &Recorder{out: out, enc: gob.NewEncoder(out), maxBytes: maxBytes}
}

// Write writes one window. After an error this window and all later ones may be missing.
func (r *Recorder) Write(window RecordedWindow) error {
	if r.out.written >= r.maxBytes {
		return nil
	}
	if err := r.enc.Encode(window); err != nil {
		return fmt.Errorf("plan: write record: %w", err)
	}
	return nil
}

// Replay reads recorded windows and decides each one again with the recorded configuration as changed by edit. For each
// window it calls report with the plan recorded and the plan proposed now; nil is none. Other decisions would have led
// to other health reports: from the first window that differs on, the replay shows what the planner decides for the
// reports that followed the recorded decisions.
func Replay(in io.Reader, edit func(*Config), report func(window int, recorded, plan *Plan)) error {
	dec := gob.NewDecoder(in)
	var p *Planner
	var cfg Config
	var topology Topology
	for number := 1; ; number++ {
		var window RecordedWindow
		switch err := dec.Decode(&window); {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF): // the writer stopped in the middle of a window
			return nil
		case err != nil:
			return fmt.Errorf("plan: read record, window %d: %w", number, err)
		}
		if window.Began {
			cfg, topology = window.Config, window.Places
			edit(&cfg)
			p = NewPlanner(cfg, topology, window.Begin)
		}
		if p == nil {
			return fmt.Errorf("plan: read record, window %d: no planner state precedes it", number)
		}
		plan, changed := p.Step(window.Input)
		if !changed {
			plan = nil
		}
		report(number, window.Plan, plan)
	}
}
