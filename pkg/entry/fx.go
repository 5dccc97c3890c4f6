package entry

import (
	"context"

	"go.uber.org/fx"
)

// Module runs an entry with the Config that is supplied to the application.
var Module = fx.Module("entry",
	fx.Provide(New),
	fx.Invoke(func(lc fx.Lifecycle, sd fx.Shutdowner, n *Entry) {
		lc.Append(fx.Hook{
			OnStart: func(ctx context.Context) error {
				go shutDownWhenFenced(sd, n)
				return n.Start(ctx)
			},
			OnStop: func(ctx context.Context) error { return n.Stop(ctx) },
		})
	}),
)

// exitCodeFenced is the exit code after another entry has sealed the journal. The
// platform then restarts the process as a new incarnation.
const exitCodeFenced = 4

// shutDownWhenFenced shuts the application down with exitCodeFenced when another
// entry has sealed the journal.
func shutDownWhenFenced(sd fx.Shutdowner, n *Entry) {
	select {
	case <-n.Fenced():
		// An error means that the application is already stopping.
		_ = sd.Shutdown(fx.ExitCode(exitCodeFenced))
	case <-n.ctx.Done():
	}
}
