package edge

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccaspindle/yuccaspindle/platform"
)

// bootstrapDelay is how long a restarted edge waits for state from another edge
// before it reads the store once: a few round trips within a region.
const bootstrapDelay = 80 * time.Millisecond

// bootstrap reads the deployment from the store if no other edge has sent it soon
// after the start. After a power loss of all processes the edges to follow are not
// back yet, and callers are waiting.
func (v *view) bootstrap(ctx context.Context) {
	select {
	case <-v.loaded:
		return
	case <-ctx.Done():
		return
	case <-time.After(bootstrapDelay):
	}
	store := v.e.store.Load()
	var configs, upstreams, nodes []platform.Object
	g, lctx := errgroup.WithContext(ctx)
	list := func(kind string, to *[]platform.Object) {
		g.Go(func() (err error) {
			*to, _, err = store.List(lctx, kind)
			return err
		})
	}
	list(platform.KindConfig, &configs)
	list(platform.KindUpstreams, &upstreams)
	list(platform.KindNodes, &nodes)
	if err := g.Wait(); err != nil {
		v.e.logger.Info("initial read of the deployment from the store failed", "err", err)
		return
	}
	if v.isLoaded() {
		return // a feed delivered the state meanwhile, and it may be newer
	}
	for _, o := range configs {
		configHandler{v}.put(o)
	}
	v.replaceUpstreams(upstreams, 0)
	for _, o := range nodes {
		v.putNode(o)
	}
	v.markNodesLoaded()
	v.e.logger.Info("deployment read from the store", "upstreams", len(upstreams), "nodes", len(nodes))
}
