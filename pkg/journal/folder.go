package journal

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"sort"
	"strconv"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/api/peerv1"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/durable"
)

// folder stores each retained batch in a file retained/<incarnation>/<object>,
// and each fence as an empty file retained/<incarnation>/fenced.
type folder struct{ root string }

const fenceFile = "fenced"

func openFolder(data string) (*folder, error) {
	f := &folder{filepath.Join(data, "retained")}
	return f, errors.Wrap(durable.MakeFolders(durable.OS{}, f.root), "journal: data folder")
}

func (f *folder) dir(inc core.Incarnation) string { return filepath.Join(f.root, string(inc)) }

func (f *folder) file(inc core.Incarnation, object uint64) string {
	return filepath.Join(f.dir(inc), fmt.Sprintf("%0*d", numberWidth, object))
}

func (f *folder) save(m *peerv1.Retain) error {
	return f.write(f.file(core.Incarnation(m.Incarnation), m.Object), m.Payload)
}

// write makes a file durable before it becomes visible under its name.
func (f *folder) write(name string, data []byte) error {
	if err := durable.MakeFolders(durable.OS{}, filepath.Dir(name)); err != nil {
		return errors.Wrap(err, "journal: data folder")
	}
	if err := durable.WriteFile(name, data); err != nil {
		return errors.Wrap(err, "journal: data folder")
	}
	// An earlier process may have ended after it created the journal's folder
	// and before it synced the parent folder.
	return errors.Wrap(durable.OS{}.SyncFolder(f.root), "journal: data folder")
}

func (f *folder) remove(inc core.Incarnation, object uint64) { _ = os.Remove(f.file(inc, object)) }

func (f *folder) fence(inc core.Incarnation) error {
	return f.write(filepath.Join(f.dir(inc), fenceFile), nil)
}

func (f *folder) removeLog(inc core.Incarnation) { _ = os.RemoveAll(f.dir(inc)) }

// load reads the batches and fences that earlier processes saved. It skips
// a damaged batch with a warning, and with it the later batches of the journal.
func (f *folder) load(logger *slog.Logger) (map[core.Incarnation]*retainedLog, error) {
	dirs, err := os.ReadDir(f.root)
	if err != nil {
		return nil, errors.Wrap(err, "journal: data folder")
	}
	logs := map[core.Incarnation]*retainedLog{}
	for _, d := range dirs {
		files, err := os.ReadDir(filepath.Join(f.root, d.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "journal: data folder")
		}
		l := &retainedLog{}
		begun := false
		inc := core.Incarnation(d.Name())
		sort.Slice(files, func(i, j int) bool { return files[i].Name() < files[j].Name() })
		for _, file := range files {
			if file.Name() == fenceFile {
				l.fenced = true
				continue
			}
			n, err := strconv.ParseUint(file.Name(), 10, 64)
			if err != nil || n == 0 {
				continue // temporary file of an interrupted write
			}
			payload, err := os.ReadFile(f.file(inc, n))
			if err != nil {
				return nil, errors.Wrap(err, "journal: data folder")
			}
			if !begun {
				// Only what precedes the first file was appended to the store.
				l.committed, begun = n-1, true
			}
			o, err := Decode(payload)
			if err != nil || n != l.lastObject()+1 || o.Object != n || o.Incarnation != string(inc) {
				logger.Warn("retained batch not loaded", "journal", inc, "object", n, "error", err)
				continue
			}
			l.held = append(l.held, &peerv1.Retain{Incarnation: string(inc), Object: n, Payload: payload})
		}
		logs[inc] = l
	}
	return logs, nil
}
