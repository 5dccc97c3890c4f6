package entry

import (
	"context"

	"go.uber.org/fx"
)

// Module runs an entry for a Config supplied to the application.
var Module = fx.Module("entry",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, n *Entry) {
		lc.Append(fx.Hook{
			OnStart: func(ctx context.Context) error { return n.Start(ctx) },
			OnStop:  func(ctx context.Context) error { return n.Stop(ctx) },
		})
	}),
)
