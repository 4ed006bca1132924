package cluster

import (
	"context"
	"errors"
	"time"

	"mulleinbeam/internal/lab"
)

// phase is one part of the measurement of a fleet size.
type phase struct {
	name   string
	length time.Duration
	fault  func(ctx context.Context, w *scaleRun) error // nil for no fault
}

// phases returns the calm phase and, if Faults is set, one phase per fault.
func (s Scale) phases() []phase {
	out := []phase{{"calm", s.Length, nil}}
	if !s.Faults {
		return out
	}
	half := s.Length / 2
	if s.Relays > 0 {
		out = append(out,
			phase{"a relay is killed", half, killRelay}, phase{"it comes back", half, startRelay},
			phase{"a relay is stopped for 3 s", half, pauseRelay}, phase{"all relays are replaced", half, replaceRelays})
	}
	return append(out,
		phase{"a voter is stopped for 3 s", half, pauseVoter}, phase{"the leader is killed", half, killLeader}, phase{"a zone restarts", half, restartZone})
}

func killRelay(_ context.Context, w *scaleRun) error { w.voters.KillRelay(0); return nil }

func startRelay(_ context.Context, w *scaleRun) error { return w.voters.StartRelay(0) }

func pauseRelay(ctx context.Context, w *scaleRun) error {
	last := len(w.voters.relays) - 1
	err := w.voters.PauseRelay(last)
	lab.Sleep(ctx, pauseDuration)
	return errors.Join(err, w.voters.WakeRelay(last))
}

func replaceRelays(_ context.Context, w *scaleRun) error {
	for _, r := range w.voters.relays {
		r.kill()
	}
	var err error
	for _, r := range w.voters.relays {
		err = errors.Join(err, r.start())
	}
	return err
}

func pauseVoter(ctx context.Context, w *scaleRun) error {
	leader, err := w.voters.leaderNumber()
	if err != nil {
		return err
	}
	other := (leader + 1) % scaleVoters
	err = w.voters.Pause(other)
	lab.Sleep(ctx, pauseDuration)
	return errors.Join(err, w.voters.Wake(other))
}

func killLeader(_ context.Context, w *scaleRun) error {
	leader, err := w.voters.leaderNumber()
	if err != nil {
		return err
	}
	return errors.Join(w.voters.Kill(leader), w.voters.Start(leader))
}

func restartZone(_ context.Context, w *scaleRun) error {
	w.fleet.restartZone(zoneName(0))
	return nil
}
