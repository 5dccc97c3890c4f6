package soak

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/soak/testdata/tracedisk"
)

const tracedDisk = "github.com/yuccaspindle/yuccaspindle/soak/testdata/tracedisk"

// diskFolders are the packages of the daemon that use files of the data folder.
var diskFolders = []string{"../pkg/ledger", "../pkg/durable", "../pkg/storage", "../pkg/peerstate", "../pkg/crashreport"}

// diskImports are the imports that are replaced in these packages.
var diskImports = map[string]string{
	"\t\"os\"\n": "\tos \"" + tracedDisk + "\"\n",
}

// diskOverlay returns the build arguments that pass the daemon's file calls to package
// tracedisk, and plant a fault if there is one.
func diskOverlay(t *testing.T, planted *plantedFault) []string {
	t.Helper()
	changed := make(map[string]string)
	for _, folder := range diskFolders {
		files, err := filepath.Glob(filepath.Join(folder, "*.go"))
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			source := string(data)
			for from, to := range diskImports {
				source = strings.Replace(source, from, to, 1)
			}
			if source != string(data) {
				changed[file] = source
			}
		}
	}
	if len(changed) == 0 {
		t.Fatal("no package of the daemon uses files")
	}
	if planted != nil {
		planted.apply(t, changed)
	}
	return overlayOf(t, changed)
}

// diskModel computes the possible contents of a data folder after a power loss.
type diskModel struct {
	names  map[string]*nameState
	opened map[fileHandle]*inode
}

type fileHandle struct{ pid, handle int }

// nameState is what a name refers to: nil if there is no such file.
type nameState struct {
	durable *inode
	later   []nameChange // since the last sync of the folder
}

type nameChange struct {
	seq  fileHandle // process and number of the change
	file *inode
}

// inode is a file or, if folder is set, a folder.
type inode struct {
	folder  bool
	synced  []byte
	pending []fileChange // not covered by a successful sync
}

type fileChange struct {
	seq      fileHandle
	off      int64
	data     []byte
	truncate bool
	// failed is set if a sync failed. The system then drops the change from its memory
	// or not, and a later sync says nothing about it.
	failed bool
}

func (n *nameState) current() *inode {
	if len(n.later) > 0 {
		return n.later[len(n.later)-1].file
	}
	return n.durable
}

func (m *diskModel) name(path string) *nameState {
	if m.names[path] == nil {
		m.names[path] = &nameState{}
	}
	return m.names[path]
}

func (m *diskModel) set(path string, r tracedisk.Record, file *inode) {
	n := m.name(path)
	n.later = append(n.later, nameChange{seq: fileHandle{r.PID, r.Seq}, file: file})
}

// covers reports whether a sync covers a change. Changes of an earlier process precede
// all syncs of a later one.
func covers(r tracedisk.Record, seq fileHandle) bool { return seq.pid != r.PID || seq.handle <= r.Upto }

// apply applies one line of the trace.
func (m *diskModel) apply(r tracedisk.Record) {
	handle := fileHandle{r.PID, r.File}
	file := m.opened[handle]
	switch r.Op {
	case "mkdir":
		m.set(r.Path, r, &inode{folder: true})
	case "base":
		m.name(r.Path).durable = &inode{synced: r.Data, folder: r.File != 0}
	case "create":
		m.opened[handle] = &inode{}
		m.set(r.Path, r, m.opened[handle])
	case "open":
		m.opened[handle] = m.name(r.Path).current()
	case "write", "truncate":
		if file != nil {
			file.pending = append(file.pending, fileChange{
				seq: fileHandle{r.PID, r.Seq}, off: r.Off, data: r.Data, truncate: r.Op == "truncate",
			})
		}
	case "rename":
		moved := m.name(r.Path).current()
		m.set(r.To, r, moved)
		m.set(r.Path, r, nil)
	case "remove":
		m.set(r.Path, r, nil)
	case "sync", "syncfail":
		if file != nil {
			file.sync(r)
		}
	case "syncdir":
		m.syncFolder(r)
	}
}

func (f *inode) sync(r tracedisk.Record) {
	kept := f.pending[:0]
	for _, c := range f.pending {
		switch {
		case !covers(r, c.seq) || c.failed:
		case r.Op == "syncfail":
			c.failed = true
		default:
			f.synced = c.applyTo(f.synced, len(c.data))
			continue
		}
		kept = append(kept, c)
	}
	f.pending = kept
}

func (m *diskModel) syncFolder(r tracedisk.Record) {
	for path, n := range m.names {
		if filepath.Dir(path) != filepath.Clean(r.Path) {
			continue
		}
		for len(n.later) > 0 && covers(r, n.later[0].seq) {
			n.durable, n.later = n.later[0].file, n.later[1:]
		}
	}
}

// applyTo returns the content with the first n bytes of a change.
func (c fileChange) applyTo(content []byte, n int) []byte {
	if c.truncate {
		if int(c.off) <= len(content) {
			return content[:c.off]
		}
		return append(content, make([]byte, int(c.off)-len(content))...)
	}
	if end := int(c.off) + n; end > len(content) {
		content = append(content, make([]byte, end-len(content))...)
	}
	copy(content[c.off:], c.data[:n])
	return content
}

// afterPowerLoss returns a content that the file may have.
func (f *inode) afterPowerLoss(rng *rand.Rand, allGone bool) []byte {
	content := slices.Clone(f.synced)
	for _, c := range f.pending {
		kind := rng.IntN(3)
		torn := 0
		if len(c.data) > 0 {
			torn = rng.IntN(len(c.data))
		}
		switch {
		case allGone || kind == 0:
		case kind == 1:
			content = c.applyTo(content, len(c.data))
		case !c.truncate:
			content = c.applyTo(content, torn)
		}
	}
	return content
}

// simulatedDisk is the simulated disk of one storage process.
type simulatedDisk struct{ dir, side string }

// loadModel reads the trace.
func (d simulatedDisk) loadModel() (*diskModel, error) {
	m := &diskModel{names: make(map[string]*nameState), opened: make(map[fileHandle]*inode)}
	f, err := os.Open(filepath.Join(d.side, "trace"))
	if errors.Is(err, fs.ErrNotExist) {
		return m, nil
	}
	if err != nil {
		return nil, err
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	lines.Buffer(nil, 256<<20)
	for lines.Scan() {
		var r tracedisk.Record
		// The last line of a process that was killed may be incomplete.
		if json.Unmarshal(lines.Bytes(), &r) == nil {
			m.apply(r)
		}
	}
	return m, lines.Err()
}

// powerLoss replaces the data folder by one that a power loss may leave. If allGone is
// set, it keeps nothing that was not synced. It returns the names that were lost, for the
// log.
func (d simulatedDisk) powerLoss(rng *rand.Rand, allGone bool) ([]string, error) {
	m, err := d.loadModel()
	if err != nil {
		return nil, err
	}
	if err := os.RemoveAll(d.dir); err != nil {
		return nil, err
	}
	paths := make([]string, 0, len(m.names))
	for path := range m.names {
		paths = append(paths, path)
	}
	slices.Sort(paths) // a folder precedes its files, and the order of the draws repeats
	var lost []string
	var base bytes.Buffer
	for _, path := range paths {
		n := m.names[path]
		file := n.durable
		if k := rng.IntN(2 * max(len(n.later), 1)); !allGone && k < len(n.later) {
			file = n.later[len(n.later)-1-k].file
		}
		if file != n.current() {
			lost = append(lost, "name "+filepath.Base(path))
		}
		if file == nil {
			continue
		}
		if file.folder {
			err = os.Mkdir(path, 0o755)
		} else if _, statErr := os.Stat(filepath.Dir(path)); statErr == nil {
			content := file.afterPowerLoss(rng, allGone)
			err = os.WriteFile(path, content, 0o644)
			file = &inode{synced: content}
		} else {
			continue // the folder is lost
		}
		if err != nil {
			return nil, err
		}
		r := tracedisk.Record{Op: "base", Path: path, Data: file.synced}
		if file.folder {
			r.File = 1
		}
		base.Write(append(mustJSON(r), '\n'))
	}
	return lost, os.WriteFile(filepath.Join(d.side, "trace"), base.Bytes(), 0o644)
}

// wipe replaces the disk by an empty one, whose data folder exists.
func (d simulatedDisk) wipe() error {
	if err := os.RemoveAll(d.dir); err != nil {
		return err
	}
	if err := os.RemoveAll(d.side); err != nil {
		return err
	}
	if err := os.MkdirAll(d.side, 0o755); err != nil {
		return err
	}
	if err := os.Mkdir(d.dir, 0o755); err != nil {
		return err
	}
	base := append(mustJSON(tracedisk.Record{Op: "base", Path: d.dir, File: 1}), '\n')
	return os.WriteFile(filepath.Join(d.side, "trace"), base, 0o644)
}

// fault begins a fault of the disk: "full", "failsync" or "slow".
func (d simulatedDisk) fault(name, value string) error {
	return os.WriteFile(filepath.Join(d.side, name), []byte(value), 0o644)
}

// repair ends a fault.
func (d simulatedDisk) repair(name string) { _ = os.Remove(filepath.Join(d.side, name)) }

// Guards against a simulated disk that keeps what a power loss may take, or takes what a
// sync has covered.
func TestSimulatedDisk(t *testing.T) {
	root := t.TempDir()
	d := simulatedDisk{dir: filepath.Join(root, "data"), side: filepath.Join(root, "side")}
	file := func(name string) string { return filepath.Join(d.dir, name) }
	trace := []tracedisk.Record{
		{Seq: 1, PID: 1, Op: "create", Path: file("a"), File: 1},
		{Seq: 2, PID: 1, Op: "write", File: 1, Data: []byte("old")},
		{PID: 1, Op: "sync", File: 1, Upto: 2},
		{PID: 1, Op: "syncdir", Path: d.dir, Upto: 2},
		{Seq: 3, PID: 1, Op: "write", File: 1, Off: 3, Data: []byte("new")},
		{Seq: 4, PID: 1, Op: "create", Path: file("b"), File: 2},
		{Seq: 5, PID: 1, Op: "write", File: 2, Data: []byte("b")},
		{PID: 1, Op: "sync", File: 2, Upto: 5},
		{Seq: 6, PID: 1, Op: "create", Path: file("c"), File: 3},
		{PID: 1, Op: "syncdir", Path: d.dir, Upto: 3}, // covers neither b nor c
		{Seq: 7, PID: 1, Op: "write", File: 3, Data: []byte("lost")},
		{PID: 1, Op: "syncfail", File: 3, Upto: 7},
		{PID: 1, Op: "sync", File: 3, Upto: 7}, // does not cover what the failed sync did
		{PID: 1, Op: "syncdir", Path: d.dir, Upto: 3},
	}
	seen := make(map[string]bool)
	for seed := range uint64(300) {
		if err := d.wipe(); err != nil {
			t.Fatal(err)
		}
		var lines bytes.Buffer
		lines.Write(mustJSON(tracedisk.Record{Op: "base", Path: d.dir, File: 1}))
		for _, r := range trace {
			lines.Write(append([]byte{'\n'}, mustJSON(r)...))
		}
		lines.WriteString("\n{\"Op\":\"wri") // the process was killed
		if err := os.WriteFile(filepath.Join(d.side, "trace"), lines.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
		if _, err := d.powerLoss(rand.New(rand.NewPCG(seed, 1)), seed%3 == 0); err != nil {
			t.Fatal(err)
		}
		for _, name := range []string{"a", "b", "c"} {
			data, err := os.ReadFile(file(name))
			if err != nil {
				data = []byte("-")
			}
			seen[name+"="+string(data)] = true
		}
	}
	for _, want := range []string{"a=old", "a=oldne", "a=oldnew", "b=b", "b=-", "c=", "c=lost", "c=los", "c=-"} {
		if !seen[want] {
			t.Errorf("%q was never seen", want)
		}
	}
	for got := range seen {
		if strings.HasPrefix(got, "a=") && !strings.HasPrefix(got, "a=old") || strings.HasPrefix(got, "b=") && got != "b=b" && got != "b=-" {
			t.Errorf("%q contradicts a sync", got)
		}
	}
}
