package edge

import (
	"slices"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

// checkHistory returns ErrNotFound if a turn of a conversation belongs to another workspace
// than the request. Turns without one were stored by an older release, or before there were
// workspaces.
func (c *call) checkHistory(chain []*peerv1.TurnRecord) error {
	if !c.hideKey {
		return nil
	}
	own := c.workspaceName()
	i := slices.IndexFunc(chain, func(r *peerv1.TurnRecord) bool { return r.GetWorkspace() != "" && r.GetWorkspace() != own })
	if i < 0 {
		return nil
	}
	return errors.Wrapf(ledger.ErrNotFound, "turn %s belongs to another workspace", chain[i].GetId())
}
