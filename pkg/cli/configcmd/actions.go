package configcmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// fault is one fault of a file in the JSON output.
type fault struct {
	File     string `json:"file"`
	Line     int    `json:"line"`
	Key      string `json:"key,omitempty"`
	Expected string `json:"expected"`
	Got      string `json:"got,omitempty"`
}

func check(_ context.Context, c *cli.Command) error {
	if err := args(c, 1, 1); err != nil {
		return err
	}
	name := c.Args().First()
	data, err := os.ReadFile(name)
	if err != nil {
		return fail(err)
	}
	if c.Bool("process") {
		_, err = config.ParseProcess(name, data)
	} else {
		_, err = config.ParseShared(name, data)
	}
	faults := []fault{}
	for _, e := range config.Errors(err) {
		faults = append(faults, fault(*e))
	}
	perr := print(c, map[string]any{"file": name, "valid": err == nil, "faults": faults}, func(w io.Writer) {
		if err == nil {
			fmt.Fprintf(w, "%s is valid\n", name)
		}
	})
	if err != nil {
		return fail(err)
	}
	return perr
}

func diff(ctx context.Context, c *cli.Command) error {
	if err := args(c, 1, 2); err != nil {
		return err
	}
	var texts [2][]byte
	files := c.Args().Slice()
	if len(files) == 1 {
		s, done, err := openStore(c)
		if err != nil {
			return err
		}
		defer done()
		cur, err := s.Current(ctx)
		if err != nil {
			return fail(err)
		}
		texts[0] = cur.Text
	}
	for i, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return fail(err)
		}
		if _, err := config.ParseShared(f, data); err != nil {
			return fail(err)
		}
		texts[2-len(files)+i] = data
	}
	changes := config.Diff(texts[0], texts[1])
	if changes == nil {
		changes = []config.Change{}
	}
	err := print(c, changes, func(w io.Writer) {
		for _, ch := range changes {
			fmt.Fprintln(w, ch)
		}
	})
	if err == nil && len(changes) > 0 {
		return cli.Exit("", ExitDiffers)
	}
	return err
}

func apply(ctx context.Context, c *cli.Command) error {
	if err := args(c, 1, 1); err != nil {
		return err
	}
	data, err := os.ReadFile(c.Args().First())
	if err != nil {
		return fail(err)
	}
	if _, err := config.ParseShared(c.Args().First(), data); err != nil {
		return fail(err)
	}
	s, done, err := openStore(c)
	if err != nil {
		return err
	}
	defer done()
	v, err := s.Apply(ctx, c.Uint64("base"), data, c.String("who"), c.String("why"))
	if err != nil {
		return fail(err)
	}
	return printVersions(c, []config.Versioned{v})
}

func rollback(ctx context.Context, c *cli.Command) error {
	if err := args(c, 1, 1); err != nil {
		return err
	}
	to, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil || to == 0 {
		return usage("config rollback: %q is not a version", c.Args().First())
	}
	s, done, err := openStore(c)
	if err != nil {
		return err
	}
	defer done()
	v, err := s.Rollback(ctx, to, c.String("who"))
	if err != nil {
		return fail(err)
	}
	return printVersions(c, []config.Versioned{v})
}

func history(ctx context.Context, c *cli.Command) error {
	if err := args(c, 0, 0); err != nil {
		return err
	}
	s, done, err := openStore(c)
	if err != nil {
		return err
	}
	defer done()
	h, err := s.History(ctx)
	if err != nil {
		return fail(err)
	}
	return printVersions(c, h)
}

func printVersions(c *cli.Command, vs []config.Versioned) error {
	if vs == nil {
		vs = []config.Versioned{}
	}
	return print(c, vs, func(w io.Writer) {
		for _, v := range vs {
			fmt.Fprintf(w, "version %d by %s at %s: %s\n", v.Version, v.Who, v.At.Format(time.RFC3339), v.Why)
		}
	})
}

// shared reads the configuration from a file, if one is named, or the one in
// force.
func shared(ctx context.Context, c *cli.Command, file string) (core.Config, error) {
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return core.Config{}, fail(err)
		}
		cfg, err := config.ParseShared(file, data)
		return cfg, fail(err)
	}
	s, done, err := openStore(c)
	if err != nil {
		return core.Config{}, err
	}
	defer done()
	v, err := s.Current(ctx)
	if err != nil {
		return core.Config{}, fail(err)
	}
	if v.Version == 0 {
		return core.Config{}, usage("profile: no configuration is in force")
	}
	cfg, err := v.Parse()
	return cfg, fail(err)
}

func profileList(ctx context.Context, c *cli.Command) error {
	if err := args(c, 0, 1); err != nil {
		return err
	}
	cfg, err := shared(ctx, c, c.Args().First())
	if err != nil {
		return err
	}
	list := make([]core.Profile, 0, len(cfg.Profiles))
	for _, p := range cfg.Profiles {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b core.Profile) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return print(c, list, func(w io.Writer) {
		for _, p := range list {
			mark := ""
			if p.Name == cfg.DefaultProfileName {
				mark = " default=true"
			}
			fmt.Fprintf(w, "%s class=%s priority=%d latency_weight=%g cache_weight=%g%s\n",
				p.Name, p.Class, p.Priority, p.LatencyWeight, p.CacheWeight, mark)
		}
	})
}

func profileShow(ctx context.Context, c *cli.Command) error {
	if err := args(c, 1, 2); err != nil {
		return err
	}
	cfg, err := shared(ctx, c, c.Args().Get(1))
	if err != nil {
		return err
	}
	p, ok := cfg.Profiles[c.Args().First()]
	if !ok {
		return usage("profile %q does not exist", c.Args().First())
	}
	return print(c, p, func(w io.Writer) { fmt.Fprint(w, config.FormatProfile(p)) })
}
