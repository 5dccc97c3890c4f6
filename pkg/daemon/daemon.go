// Package daemon runs one process of a deployment. It loads the settings, sets
// up logging, handles signals and reloads the settings when they change.
package daemon

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/yuccaspindle/yuccaspindle/pkg/logging"
	"github.com/yuccaspindle/yuccaspindle/platform"
)

const (
	// reloadInterval is how often the settings file is checked for changes, which
	// may come without a SIGHUP.
	reloadInterval = 2 * time.Second
	// goMemoryShare is the fraction of the process's memory limit that is set as
	// the soft memory limit of the Go runtime.
	goMemoryShare = 0.6
	bytesPerMB    = 1 << 20
	// startTimeout and minStopTimeout bound the start and stop hooks of fx.
	startTimeout   = 30 * time.Second
	minStopTimeout = 30 * time.Second
)

// stopTimeout returns the limit of the stop hook. It exceeds the platform's grace period:
// when the hook times out, the process ends with requests under way.
func stopTimeout(s *platform.Settings) time.Duration {
	return max(minStopTimeout, 2*s.StopGrace)
}

// Process is the long-running service of a daemon.
type Process interface {
	// Run serves until stop is canceled.
	Run(stop context.Context) error
	// SetStoreAddress changes the address of the platform's store.
	SetStoreAddress(address string)
}

// Run builds a process with fx and runs it until SIGTERM or SIGINT arrives or
// the process ends.
func Run[P Process](build func(*platform.Settings, *slog.Logger) (P, error)) error {
	// Without a channel these signals end the process at once, also while it starts and
	// while it answers its last requests.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.Errorf("environment variable %s is not set: it must name the settings file", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(settings.MemoryMB) * bytesPerMB))
	}
	logOutput := logging.NewAsync(os.Stdout)
	defer logOutput.Close()
	logger := logging.New(logOutput, slog.LevelInfo)
	var runErr error
	done := make(chan struct{})
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Supply(settings, logger),
		fx.Provide(build),
		fx.Invoke(func(lifecycle fx.Lifecycle, p P) {
			stop, cancel := context.WithCancel(context.Background())
			lifecycle.Append(fx.Hook{
				OnStart: func(context.Context) error {
					go watchSettings(stop, hup, path, p, logger)
					go func() {
						defer close(done)
						if runErr = p.Run(stop); runErr != nil {
							logger.Error("stopped", "err", runErr)
						}
					}()
					return nil
				},
				OnStop: func(context.Context) error {
					cancel()
					<-done
					return nil
				},
			})
		}),
	)
	if err := startAndStop(app, settings, term, done); err != nil {
		return err
	}
	logger.Info("ended", "log_lines_dropped", logOutput.Dropped())
	return runErr
}

// startAndStop runs the hooks of a process around the wait for a signal or for its end.
func startAndStop(app *fx.App, s *platform.Settings, term <-chan os.Signal, done <-chan struct{}) error {
	start, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(start); err != nil {
		return err
	}
	select {
	case <-term:
	case <-done:
	}
	stop, cancel := context.WithTimeout(context.Background(), stopTimeout(s))
	defer cancel()
	return app.Stop(stop)
}

// watchSettings reloads the settings file when its modification time changes or
// on SIGHUP, and passes the store address to the process.
func watchSettings(ctx context.Context, hup <-chan os.Signal, path string, p Process, logger *slog.Logger) {
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	var lastModified time.Time
	for {
		forced := false
		select {
		case <-ctx.Done():
			return
		case <-hup:
			forced = true
		case <-t.C:
		}
		info, err := os.Stat(path)
		if err != nil {
			logger.Warn("settings not reloaded", "err", err)
			continue
		}
		if info.ModTime().Equal(lastModified) && !forced {
			continue
		}
		lastModified = info.ModTime()
		settings, err := platform.LoadSettings(path)
		if err != nil {
			logger.Warn("settings not reloaded", "err", err)
			continue
		}
		p.SetStoreAddress(settings.StoreAddress)
		logger.Info("settings reloaded", "signal", forced, "store", settings.StoreAddress)
	}
}
