package plan

import (
	"encoding/gob"
	"errors"
	"fmt"
	"io"
)

// RecordedWindow is one window as a planner was told of it, and what it made of it.
type RecordedWindow struct {
	Input  Input
	Places Topology // with the first
	Config Config   //
	Begin  *Plan    // where a planner began with this window: what it went on from
	Began  bool
	Plan   *Plan // as proposed; nil: nothing was
}

// Recorder writes windows, up to a number of bytes; more are left out.
type Recorder struct {
	out  *counted
	enc  *gob.Encoder
	most int64
}

type counted struct {
	w io.Writer
	n int64
}

func (c *counted) Write(b []byte) (int, error) {
	n, err := c.w.Write(b)
	c.n += int64(n)
	return n, err
}

// NewRecorder is one that writes so many bytes at the most.
func NewRecorder(w io.Writer, most int64) *Recorder {
	out := &counted{w: w}
	return &Recorder{out: out, enc: gob.NewEncoder(out), most: most}
}

// Write writes one. An error says that it, and all behind it, may be missing.
func (r *Recorder) Write(w RecordedWindow) error {
	if r.out.n >= r.most {
		return nil
	}
	if err := r.enc.Encode(w); err != nil {
		return fmt.Errorf("plan: record: %w", err)
	}
	return nil
}

// Replay goes through a record, deciding each window anew by the settings that edit makes of those recorded, and tells of each
// window what was proposed and what would have been; nil is nothing. Other decisions would have led to other evidence: from the first
// window that differs on, what follows is what the planner says to the evidence of what was decided then.
func Replay(in io.Reader, edit func(*Config), tell func(window int, then, now *Plan)) error {
	dec := gob.NewDecoder(in)
	var p *Planner
	var cfg Config
	var places Topology
	for n := 1; ; n++ {
		var w RecordedWindow
		switch err := dec.Decode(&w); {
		case errors.Is(err, io.EOF):
			return nil
		case errors.Is(err, io.ErrUnexpectedEOF): // the writer ended in the middle
			return nil
		case err != nil:
			return fmt.Errorf("plan: record, window %d: %w", n, err)
		}
		if w.Began {
			cfg, places = w.Config, w.Places
			edit(&cfg)
			p = NewPlanner(cfg, places, w.Begin)
		}
		if p == nil {
			return fmt.Errorf("plan: record, window %d: no planner has begun", n)
		}
		now, changed := p.Step(w.Input)
		if !changed {
			now = nil
		}
		tell(n, w.Plan, now)
	}
}
