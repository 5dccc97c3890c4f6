package daemoncmd

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/logging"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/engine"
	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
	standinstore "github.com/yuccaspindle/yuccaspindle/pkg/standin/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/weights"
)

// standin is a started stand-in.
type standin interface {
	Start(ctx context.Context) error
	Addr() string
	Close() error
}

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a small stand-in of an outside system, for trials and tests",
		Description: `Stand-ins speak the protocols of docs/design.md section 14 and docs/objectapi.md.
Their faults are set at /admin endpoints.` + exitCodes,
		Commands: []*cli.Command{standinEngine(), standinService(), standinStore(), standinWeights()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "host:port; port 0 lets the kernel choose"}
}

func standinEngine() *cli.Command {
	return &cli.Command{
		Name:        "engine",
		Usage:       "model engine with continuous batching and a prefix cache",
		Description: "Example:\n   yuccaspindle standin engine --listen 127.0.0.1:9001 --model gate-8b",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "id", Value: "engine", Usage: "upstream id"},
			&cli.StringSliceFlag{Name: "model", Value: []string{"gate-8b"}, Usage: "loaded model, may be repeated"},
			&cli.IntFlag{Name: "slots", Value: 16, Usage: "largest batch"},
			&cli.IntFlag{Name: "cache-tokens", Value: 400_000, Usage: "memory of the prefix cache, in tokens"},
			&cli.FloatFlag{Name: "prefill-rate", Value: 8_000, Usage: "prompt tokens per second"},
			&cli.FloatFlag{Name: "decode-rate", Value: 50, Usage: "generated tokens per second of one sequence"},
			&cli.BoolFlag{Name: "fencing", Usage: "refuse orders with an old fencing number"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			o := model.Defaults()
			o.ID = core.UpstreamID(cmd.String("id"))
			o.Models = cmd.StringSlice("model")
			o.Slots = cmd.Int("slots")
			o.CacheTokens = int64(cmd.Int("cache-tokens"))
			o.PrefillRate = cmd.Float("prefill-rate")
			o.DecodeRate = cmd.Float("decode-rate")
			o.Fencing = cmd.Bool("fencing")
			log := standinLogger()
			s, err := engine.New(engine.Config{Listen: cmd.String("listen"), Model: o, Logger: log})
			if err != nil {
				return cli.Exit(err, 2)
			}
			return runStandin(ctx, log, s)
		},
	}
}

func standinService() *cli.Command {
	return &cli.Command{
		Name:        "service",
		Usage:       "plain service that counts how often each key ran",
		Description: "Example:\n   yuccaspindle standin service --listen 127.0.0.1:9101",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.BoolFlag{Name: "no-outcomes", Usage: "do not answer questions for an outcome by key"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := standinLogger()
			s, err := service.New(service.Config{Listen: cmd.String("listen"), NoOutcomes: cmd.Bool("no-outcomes"), Logger: log})
			if err != nil {
				return cli.Exit(err, 2)
			}
			return runStandin(ctx, log, s)
		},
	}
}

func standinStore() *cli.Command {
	return &cli.Command{
		Name:  "objectapi",
		Usage: "object API with the instance list",
		Description: `The instance list is read from a JSON file with an array of
{"id","role","address","region","failure_domain","state"}.

Example:
   yuccaspindle standin objectapi --listen 127.0.0.1:9000 --instances instances.json`,
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "instances", Usage: "file with the instance list"},
			&cli.DurationFlag{Name: "lag", Value: 5 * time.Second, Usage: "age of the instance list"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := standinLogger()
			s := standinstore.New(standinstore.Options{Listen: cmd.String("listen"), InstanceLag: cmd.Duration("lag"), Logger: log})
			if file := cmd.String("instances"); file != "" {
				list, err := readInstances(file)
				if err != nil {
					return cli.Exit(err, 2)
				}
				s.Memory().SetInstances(list)
			}
			return runStandin(ctx, log, s)
		},
	}
}

func standinWeights() *cli.Command {
	return &cli.Command{
		Name:        "weights",
		Usage:       "rate-limited weight store",
		Description: "Example:\n   yuccaspindle standin weights --listen 127.0.0.1:9200",
		Flags:       []cli.Flag{listenFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			log := standinLogger()
			return runStandin(ctx, log, weights.New(weights.Options{Listen: cmd.String("listen"), Logger: log}))
		},
	}
}

func readInstances(file string) ([]objectapi.Instance, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read instance list")
	}
	var list []objectapi.Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, errors.Wrapf(err, "decode instance list %s", file)
	}
	return list, nil
}

func standinLogger() *slog.Logger { return logging.New(os.Stderr, slog.LevelInfo) }

// runStandin serves until a signal or the end of ctx.
func runStandin(ctx context.Context, log *slog.Logger, s standin) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := s.Start(ctx); err != nil {
		return cli.Exit(err, 1)
	}
	log.Info("stand-in serves", "addr", s.Addr())
	<-ctx.Done()
	return s.Close()
}
