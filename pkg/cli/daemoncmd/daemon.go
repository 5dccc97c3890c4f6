// Package daemoncmd holds the commands that run a process of the scheduler or a
// stand-in.
package daemoncmd

import (
	"context"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/entry"
	"github.com/yuccaspindle/yuccaspindle/pkg/frontend"
	"github.com/yuccaspindle/yuccaspindle/pkg/logging"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/transport"
)

const (
	startTimeout = 30 * time.Second
	// stopTimeout bounds a drain. It exceeds the longest call timeout in use,
	// so that a planned stop cuts off no request.
	stopTimeout = 15 * time.Minute
)

const exitCodes = `

Exit codes: 0 stopped on request, 1 failed while running, 2 wrong usage or
settings, 4 an entry was succeeded by another and must be started again.`

// Commands returns entry, sidecar and standin.
func Commands() []*cli.Command {
	return []*cli.Command{entryCommand(), sidecarCommand(), standinCommand()}
}

func settingsFlag() cli.Flag {
	return &cli.StringFlag{Name: "settings", Aliases: []string{"c"}, Required: true, Usage: "INI file with the settings of the process"}
}

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry: the process that callers reach",
		Description: `Example:
   yuccaspindle entry --settings deploy/lango/entry.ini` + exitCodes,
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := load(cmd, config.RoleEntry)
			if err != nil {
				return err
			}
			cfg, err := entryConfig(p)
			if err != nil {
				return cli.Exit(err, 2)
			}
			return run(ctx, cfg.Logger, fx.Supply(cfg), entry.Module)
		},
	}
}

func sidecarCommand() *cli.Command {
	return &cli.Command{
		Name:  "sidecar",
		Usage: "run the sidecar of an upstream",
		Description: `Example:
   yuccaspindle sidecar --settings deploy/lango/sidecar-engine.ini` + exitCodes,
		Flags: []cli.Flag{settingsFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p, err := load(cmd, config.RoleSidecar)
			if err != nil {
				return err
			}
			cfg, err := sidecarConfig(p)
			if err != nil {
				return cli.Exit(err, 2)
			}
			return run(ctx, cfg.Logger, fx.Supply(cfg), sidecar.Module)
		},
	}
}

// load reads the settings and checks that they are for the role.
func load(cmd *cli.Command, role string) (*config.Process, error) {
	p, err := config.LoadProcess(cmd.String("settings"))
	if err != nil {
		return nil, cli.Exit(err, 2)
	}
	if p.Role != role {
		return nil, cli.Exit(fmt.Errorf("%s: the settings are for role %q, this command runs role %q", p.File, p.Role, role), 2)
	}
	return p, nil
}

func logger(p *config.Process) *slog.Logger { return logging.New(os.Stderr, p.Level()) }

// bytesPerMbit converts the settings' Mbit/s to bytes/s.
const bytesPerMbit = 1e6 / 8

// link returns the process's share of the link to other regions.
func link(p *config.Process) *transport.Link {
	if p.CrossRegion == 0 {
		return nil
	}
	return transport.NewLink(p.CrossRegion * bytesPerMbit)
}

// advertise returns the address for peers. With port 0 the kernel chooses the
// port, so only the daemon knows the address.
func advertise(p *config.Process) string {
	if strings.HasSuffix(p.PeerAdvertise, ":0") {
		return ""
	}
	return p.PeerAdvertise
}

func tlsConfig(p *config.Process) (*tls.Config, error) {
	if p.TLSCert == "" {
		return nil, nil
	}
	return transport.LoadTLS(p.TLSCert, p.TLSKey, p.TLSCA)
}

func entryConfig(p *config.Process) (entry.Config, error) {
	tlsCfg, err := tlsConfig(p)
	if err != nil {
		return entry.Config{}, err
	}
	store, err := objectapi.Dial(objectapi.ClientConfig{
		Address: p.StoreAddress, Name: p.Instance, Rate: p.StoreRate, Burst: p.StoreBurst, Timeout: p.StoreTimeout,
	})
	if err != nil {
		return entry.Config{}, errors.Wrap(err, "set up store client")
	}
	cfg := entry.Config{
		Instance:          p.Instance,
		Incarnation:       p.Incarnation(time.Now()),
		Region:            p.Region,
		FailureDomain:     p.FailureDomain,
		HTTPListen:        p.HTTPListen,
		PeerListen:        p.PeerListen,
		PeerAdvertise:     advertise(p),
		Seeds:             p.Seeds,
		Link:              link(p),
		EntryNames:        p.EntryNames,
		TLS:               tlsCfg,
		DataFolder:        p.DataFolder,
		RecordTrace:       p.RecordTrace,
		Operators:         p.Operators,
		TrustCallerHeader: p.TrustCallerHeader,
		Store:             store,
		Logger:            logger(p),
	}
	for _, c := range p.Callers {
		cfg.Callers = append(cfg.Callers, frontend.Caller{Name: c.Name, KeySHA256: hex.EncodeToString(c.SHA256[:])})
	}
	return cfg, nil
}

func sidecarConfig(p *config.Process) (sidecar.Config, error) {
	tlsCfg, err := tlsConfig(p)
	if err != nil {
		return sidecar.Config{}, err
	}
	u := p.Upstream
	token, err := orderToken(u.OrderTokenFile)
	if err != nil {
		return sidecar.Config{}, err
	}
	return sidecar.Config{
		Instance:      p.Instance,
		Incarnation:   string(p.Incarnation(time.Now())),
		Region:        p.Region,
		FailureDomain: p.FailureDomain,
		Listen:        p.PeerListen,
		Advertise:     advertise(p),
		HTTPListen:    p.HTTPListen,
		TLS:           tlsCfg,
		EntryNames:    p.EntryNames,
		Link:          link(p),
		Upstream: sidecar.Upstream{
			ID: u.ID, Kind: u.Kind, Service: u.Service, URL: "http://" + u.Address,
			OutcomeByKey: u.OutcomeByKey, OrderToken: token,
			ChecksOrders: u.ChecksOrders, ChecksFencing: u.ChecksFencing, Slots: u.Slots,
		},
		Logger: logger(p),
	}, nil
}

// orderToken reads the bearer token of engine orders.
func orderToken(file string) (string, error) {
	if file == "" {
		return "", nil
	}
	text, err := os.ReadFile(file)
	return strings.TrimSpace(string(text)), errors.Wrap(err, "read token of engine orders")
}

// run runs an application until a signal or the end of ctx.
func run(ctx context.Context, log *slog.Logger, opts ...fx.Option) error {
	opts = append(opts,
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(stopTimeout),
		fx.WithLogger(func() fxevent.Logger {
			l := &fxevent.SlogLogger{Logger: log}
			l.UseLogLevel(slog.LevelDebug)
			return l
		}),
	)
	app := fx.New(opts...)
	if err := app.Err(); err != nil {
		return cli.Exit(err, 2)
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := app.Start(startCtx); err != nil {
		return cli.Exit(errors.Wrap(err, "start"), 1)
	}
	exitCode := 0
	select {
	case s := <-app.Wait():
		exitCode = s.ExitCode
		log.Info("stop requested", "signal", s.Signal, "exit_code", s.ExitCode)
	case <-ctx.Done():
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		return cli.Exit(errors.Wrap(err, "stop"), 1)
	}
	if exitCode != 0 {
		return cli.Exit("a successor has taken over: start the process again", exitCode)
	}
	return nil
}
