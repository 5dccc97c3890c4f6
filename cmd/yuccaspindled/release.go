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

// releaseRequest lifts the quarantine of a request at the edge with the given metrics
// address, which informs the other processes.
func releaseRequest(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return cli.Exit("usage: yuccaspindled release METRICS-ADDRESS FINGERPRINT", 2)
	}
	if err := release(ctx, cmd.Args().Get(0), cmd.Args().Get(1)); err != nil {
		return cli.Exit(err, 1)
	}
	return nil
}

// maxErrorBytes bounds the error message of an edge.
const maxErrorBytes = 1 << 10

// release posts the fingerprint of a request to the edge at address.
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
	reason, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	if err != nil {
		return errors.Wrapf(err, "release at %s: %s", address, resp.Status)
	}
	return errors.Errorf("release at %s: %s: %s", address, resp.Status, strings.TrimSpace(string(reason)))
}
