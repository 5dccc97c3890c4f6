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

// folder keeps retained batches in plain files,
// retained/<incarnation>/<object>, and fences as retained/<incarnation>/fenced.
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
	// An earlier process may have ended between the creation of the journal's folder and
	// the sync of its name.
	return errors.Wrap(durable.OS{}.SyncFolder(f.root), "journal: data folder")
}

func (f *folder) remove(inc core.Incarnation, object uint64) { _ = os.Remove(f.file(inc, object)) }

func (f *folder) fence(inc core.Incarnation) error {
	return f.write(filepath.Join(f.dir(inc), fenceFile), nil)
}

func (f *folder) forget(inc core.Incarnation) { _ = os.RemoveAll(f.dir(inc)) }

// load reads what earlier starts kept. A file that is damaged ends the batches
// of its log, and what follows is left out with a warning.
func (f *folder) load(logger *slog.Logger) (map[core.Incarnation]*kept, error) {
	dirs, err := os.ReadDir(f.root)
	if err != nil {
		return nil, errors.Wrap(err, "journal: data folder")
	}
	logs := map[core.Incarnation]*kept{}
	for _, d := range dirs {
		files, err := os.ReadDir(filepath.Join(f.root, d.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "journal: data folder")
		}
		l := &kept{}
		inc := core.Incarnation(d.Name())
		sort.Slice(files, func(i, j int) bool { return files[i].Name() < files[j].Name() })
		for _, file := range files {
			if file.Name() == fenceFile {
				l.fenced = true
				continue
			}
			n, err := strconv.ParseUint(file.Name(), 10, 64)
			if err != nil || n == 0 {
				continue // a temporary file of a write that did not finish
			}
			payload, err := os.ReadFile(f.file(inc, n))
			if err != nil {
				return nil, errors.Wrap(err, "journal: data folder")
			}
			if len(l.held) == 0 {
				l.committed = n - 1
			}
			o, err := Decode(payload)
			if err != nil || n != l.last()+1 || o.Object != n || o.Incarnation != string(inc) {
				logger.Warn("retained batch not loaded", "journal", inc, "object", n, "error", err)
				continue
			}
			l.held = append(l.held, &peerv1.Retain{Incarnation: string(inc), Object: n, Payload: payload})
		}
		logs[inc] = l
	}
	return logs, nil
}
