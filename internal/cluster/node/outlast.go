package node

import (
	"context"
	"errors"
)

// errBroken ends the process where its supervisor's next start is the way out.
var errBroken = errors.New("node: a sync has failed, which the next start gets over")

// outlast ends the node's process where a sync of its folders has failed.
func (n *Node) outlast(ctx context.Context) error {
	part := "council"
	select {
	case <-n.keeper.Broken():
	case <-n.disk.Broken():
		part = "copies"
	case <-ctx.Done():
		return nil
	}
	n.cfg.Logger.Error().Str("part", part).Msg("a sync has failed: this process ends, and the next goes on with what lasts")
	return errBroken
}
