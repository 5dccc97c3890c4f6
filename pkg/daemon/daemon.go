// Package daemon runs a process of the platform's deployment: settings, log,
// signals and the reload of settings.
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
	// reloadInterval is how often the settings file is looked at; it may change
	// without a signal.
	reloadInterval = 2 * time.Second
	// memoryShare is the share of the process's limit that the Go heap aims to
	// stay below.
	memoryShare = 0.6
	bytesPerMB  = 1 << 20
	// startTimeout and stopTimeout bound the hooks of fx, which do not wait for
	// the process.
	startTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
)

// Process is what a daemon runs.
type Process interface {
	Run(stop context.Context) error
	SetStore(address string)
}

// Run builds a process with fx and runs it until SIGTERM or SIGINT.
func Run[P Process](build func(*platform.Settings, *slog.Logger) (P, error)) error {
	path := os.Getenv(platform.SettingsVariable)
	if path == "" {
		return errors.Errorf("the variable %s names no settings file", platform.SettingsVariable)
	}
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if settings.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(settings.MemoryLimitMB) * bytesPerMB))
	}
	out := logging.NewAsync(os.Stdout)
	defer out.Close()
	logger := logging.New(out, slog.LevelInfo)
	var runErr error
	app := fx.New(
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout),
		fx.Supply(settings, logger),
		fx.Provide(build),
		fx.Invoke(func(lc fx.Lifecycle, sd fx.Shutdowner, p P) {
			stop, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			lc.Append(fx.Hook{
				OnStart: func(context.Context) error {
					go reload(stop, path, p, logger)
					go func() {
						defer close(done)
						if runErr = p.Run(stop); runErr != nil {
							logger.Error("stopped", "err", runErr)
						}
						if err := sd.Shutdown(); err != nil {
							logger.Error("shutdown failed", "err", err)
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
	app.Run()
	if err := app.Err(); err != nil {
		return err
	}
	logger.Info("ended", "log_lines_dropped", out.Dropped())
	return runErr
}

// reload follows the settings file.
func reload(ctx context.Context, path string, p Process, logger *slog.Logger) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	var seen time.Time
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
		if info.ModTime().Equal(seen) && !forced {
			continue
		}
		seen = info.ModTime()
		settings, err := platform.LoadSettings(path)
		if err != nil {
			logger.Warn("settings not reloaded", "err", err)
			continue
		}
		p.SetStore(settings.StoreAddress)
		logger.Info("settings reloaded", "signal", forced, "store", settings.StoreAddress)
	}
}
