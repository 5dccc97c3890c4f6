package entry

import (
	"encoding/json"
	"io"
	"log/slog"
	"path/filepath"
	"reflect"

	"gopkg.in/natefinch/lumberjack.v2"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

const (
	eventLogFile     = "events.jsonl"
	eventLogMegabyte = 64 // size at which the file is rotated
	eventLogBackups  = 4
)

// recordedEvent is one line of the event log.
type recordedEvent struct {
	Type  string     `json:"type"`
	Event core.Event `json:"event"`
}

// eventLog records the events of the core, bounded and rotated.
type eventLog struct {
	w   io.WriteCloser
	enc *json.Encoder
	log *slog.Logger
}

// newEventLog returns nil if the instance has no data folder.
func newEventLog(folder string, log *slog.Logger) *eventLog {
	if folder == "" {
		return nil
	}
	w := &lumberjack.Logger{
		Filename:   filepath.Join(folder, eventLogFile),
		MaxSize:    eventLogMegabyte,
		MaxBackups: eventLogBackups,
	}
	return &eventLog{w: w, enc: json.NewEncoder(w), log: log}
}

// record appends an event. A failed write is logged and does not stop the
// daemon: the log serves diagnosis, not recovery.
func (l *eventLog) record(e core.Event) {
	err := l.enc.Encode(recordedEvent{Type: reflect.TypeOf(e).Name(), Event: e})
	if err != nil {
		l.log.Warn("event not recorded", "error", err)
	}
}

func (l *eventLog) close() error { return l.w.Close() }
