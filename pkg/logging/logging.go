// Package logging sets up the structured log: one line of key=value pairs per
// event.
package logging

import (
	"io"
	"log/slog"
)

// New returns a logger that writes events of the level and above.
func New(w io.Writer, level slog.Leveler) *slog.Logger {
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level, ReplaceAttr: plainErrors}))
}

// plainErrors logs the message of an error without the stack trace that wrapped
// errors print in their verbose form.
func plainErrors(_ []string, a slog.Attr) slog.Attr {
	if err, ok := a.Value.Any().(error); ok && a.Value.Kind() == slog.KindAny {
		return slog.String(a.Key, err.Error())
	}
	return a
}
