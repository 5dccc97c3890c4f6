package entry

import (
	"context"

	"go.uber.org/fx"
)

// Module runs an entry for a Config supplied to the application.
var Module = fx.Module("entry",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, sd fx.Shutdowner, n *Entry) {
		lc.Append(fx.Hook{
			OnStart: func(ctx context.Context) error {
				go endWhenFenced(sd, n)
				return n.Start(ctx)
			},
			OnStop: func(ctx context.Context) error { return n.Stop(ctx) },
		})
	}),
)

// exitFenced is the exit code after a successor has sealed the journal: the
// platform starts the process again as a new incarnation.
const exitFenced = 4

func endWhenFenced(sd fx.Shutdowner, n *Entry) {
	select {
	case <-n.Fenced():
		// An error means that the application is stopping already.
		_ = sd.Shutdown(fx.ExitCode(exitFenced))
	case <-n.ctx.Done():
	}
}
