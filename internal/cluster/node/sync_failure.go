package node

import (
	"context"
	"errors"
)

// errSyncFailed makes the process exit so that its supervisor restarts it.
var errSyncFailed = errors.New("node: a sync has failed; a restart is required")

// exitOnSyncFailure returns an error, which ends the process, when a sync of one of the node's folders has failed. It
// is unknown then which data is on disk.
func (n *Node) exitOnSyncFailure(ctx context.Context) error {
	part := "council"
	select {
	case <-n.raftStore.Broken():
	case <-n.disk.Broken():
		part = "copies"
	case <-ctx.Done():
		return nil
	}
	n.cfg.Logger.Error().Str("part", part).Msg("a sync has failed: this process ends, and the next goes on with what lasts")
	return errSyncFailed
}
