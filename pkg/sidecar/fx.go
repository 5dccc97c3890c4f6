package sidecar

import (
	"context"

	"go.uber.org/fx"
)

// Module runs a Sidecar in an fx application that provides a Config. The stop
// timeout of the application bounds the drain.
var Module = fx.Module("sidecar",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, s *Sidecar) {
		lc.Append(fx.Hook{
			OnStart: s.Start,
			OnStop:  func(ctx context.Context) error { return s.Stop(ctx) },
		})
	}),
)
