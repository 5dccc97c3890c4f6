package main

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/yuccaspindle/yuccaspindle/pkg/edge"
)

// releaseRequest clears a request of crashes through the entry with a metrics
// address, which tells the other processes.
func releaseRequest(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return cli.Exit("usage: yuccaspindled release METRICS-ADDRESS FINGERPRINT", 2)
	}
	if err := release(ctx, cmd.Args().Get(0), cmd.Args().Get(1)); err != nil {
		return cli.Exit(err, 1)
	}
	return nil
}

// maxReason bounds the reason that an entry gives.
const maxReason = 1 << 10

func release(ctx context.Context, address, fingerprint string) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	form := url.Values{"fingerprint": {fingerprint}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+edge.ReleasePath, strings.NewReader(form.Encode()))
	if err != nil {
		return errors.Wrap(err, "release")
	}
	req.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Wrap(err, "release")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNoContent {
		return nil
	}
	reason, err := io.ReadAll(io.LimitReader(resp.Body, maxReason))
	if err != nil {
		return errors.Wrapf(err, "release at %s: %s", address, resp.Status)
	}
	return errors.Errorf("release at %s: %s: %s", address, resp.Status, strings.TrimSpace(string(reason)))
}
