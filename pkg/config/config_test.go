package config

import (
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

const sampleShared = `
[cluster]
regions = munster, leinster
default_profile = advice   ; short questions

[profile advice]
class = interactive
cache_weight = 3

[service orders]
non_idempotent = create, cancel
default_profile = advice
`

// Guards against defaults that are not applied and values that land in the
// wrong field.
func TestParseShared(t *testing.T) {
	cfg, err := ParseShared("sample", []byte(sampleShared))
	if err != nil {
		t.Fatal(err)
	}
	p := cfg.Profiles["advice"]
	if cfg.SlotCount != 256 || cfg.Policy != "default" || len(cfg.Regions) != 2 || cfg.DefaultProfileName != "advice" {
		t.Errorf("cluster = %+v", cfg)
	}
	if p.CacheWeight != 3 || p.LatencyWeight != 1 || p.CallTimeout != 60*time.Second || p.Name != "advice" {
		t.Errorf("profile = %+v", p)
	}
	if s := cfg.Services["orders"]; len(s.NonIdempotent) != 2 || s.DefaultProfile != "advice" {
		t.Errorf("service = %+v", s)
	}
}

// Guards against a fault that is reported without its place, or that lets the
// rest of the text take effect.
func TestFaultsNameTheirPlace(t *testing.T) {
	for _, c := range []struct{ change, with, want string }{
		{"cache_weight = 3", "cache_weight = many", `f:8: profile advice.cache_weight: expected a number from 0 to 1000, got "many"`},
		{"cache_weight = 3", "cash_weight = 3", "f:8: profile advice.cash_weight: expected one of the keys class"},
		{"default_profile = advice   ; short questions", "default_profile = advise", `f:4: cluster.default_profile: expected one of the profiles advice, got "advise"`},
		{"class = interactive", "", "f:6: profile advice.class: expected one of interactive"},
		{"[service orders]", "[servce orders]", "f:10: servce orders: expected one of the sections"},
		{"class = interactive", "class = batch\nclass = interactive", "f:8: profile advice.class: expected each key once; the first is on line 7"},
		{"[service orders]", "[profile advice]", "f:10: profile advice: expected each section once; the first is on line 6"},
		{"class = interactive", "class", "f:7: expected key = value"},
		{"cache_weight = 3", "cache_weight = 0\nlatency_weight = 0", "f:9: profile advice.latency_weight: expected latency_weight or cache_weight above 0"},
	} {
		text := strings.Replace(sampleShared, c.change, c.with, 1)
		cfg, err := ParseShared("f", []byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.with, err, c.want)
		}
		if len(Errors(err)) == 0 || cfg.SlotCount != 0 {
			t.Errorf("%q: %d faults, config %+v", c.with, len(Errors(err)), cfg)
		}
	}
}

const sampleProcess = `
[instance]
id = dar-a-side-1
role = sidecar
region = dar-coast
failure_domain = dar-a
[http]
listen = 127.0.0.1:0
[peer]
listen = 127.0.0.1:0
[store]
address = http://127.0.0.1:8400
[callers]
lango-app = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae
[upstream]
id = dar-a-engine-1
kind = model
address = 127.0.0.1:9001
models = gate-diag-8b
checks_fencing = true
`

// Guards against settings that are read wrongly and against combinations that
// would open a process to everybody.
func TestParseProcess(t *testing.T) {
	p, err := ParseProcess("f", []byte(sampleProcess))
	if err != nil {
		t.Fatal(err)
	}
	if p.Upstream.Models[0] != "gate-diag-8b" || !p.Upstream.ChecksFencing || p.Callers[0].SHA256[0] != 0x2c {
		t.Errorf("process = %+v, upstream %+v", p, p.Upstream)
	}
	if inc := p.Incarnation(time.UnixMilli(99)); inc != "dar-a-side-1.99" {
		t.Errorf("Incarnation = %s", inc)
	}
	for _, c := range []struct{ change, with, want string }{
		{"listen = 127.0.0.1:0\n[peer]", "listen = 10.0.0.1:80\ntrust_caller_header = true\n[peer]", "f:9: http.trust_caller_header: expected false"},
		{"[peer]\nlisten = 127.0.0.1:0", "[peer]\nlisten = 10.0.0.1:70", "f:10: peer.tls_cert: expected tls_cert, tls_key and tls_ca"},
		{"role = sidecar", "role = entry", "f:15: upstream: expected no upstream section"},
		{"models = gate-diag-8b", "", "f:15: upstream.models: expected at least one model"},
		{"lango-app = 2c26", "lango-app = 2c", "f:14: callers.lango-app: expected 64 hexadecimal digits"},
		{"id = dar-a-side-1", "id = dar/1", "f:3: instance.id: expected a name"},
	} {
		_, err := ParseProcess("f", []byte(strings.Replace(sampleProcess, c.change, c.with, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got %v, want %s", c.with, err, c.want)
		}
	}
}

// Guards against texts that the line scan and the INI parser read differently.
func FuzzParse(f *testing.F) {
	f.Add([]byte(sampleShared))
	f.Add([]byte(sampleProcess))
	f.Add([]byte(`{"version":3,"who":"asha","why":"x","at":"2026-01-02T03:04:05Z","text":"[cluster]"}`))
	f.Add([]byte("[a]\nb = \"c\" # d\n[x y]\n'z' = 1\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		if d := parse("f", text); len(d.errs) == 0 {
			keys := 0
			for _, s := range d.sections {
				keys += len(s.keys)
			}
			if keys > strings.Count(string(text), "=") {
				t.Errorf("%d keys in %q", keys, text)
			}
		}
		_, _ = ParseShared("f", text)
		_, _ = ParseProcess("f", text)
		if v, err := decodeVersioned(objectapi.Object{Key: ObjectKey, Value: text}); err == nil && v.Version == 0 {
			t.Errorf("%q has no version", text)
		}
	})
}

// Guards against worked deployments that a release no longer accepts, keys
// without documentation, and a profile that changes when it is printed.
func TestDeploymentsAndDocumentation(t *testing.T) {
	doc, err := os.ReadFile("../../docs/configuration.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range append(ProcessKeys(), SharedKeys()...) {
		def := k.Default
		if k.Required {
			def = "required"
		}
		row := fmt.Sprintf("| `%s` | %s | %s | `%s` | %s |", k.Name, cmp.Or(k.Unit, "-"), cmp.Or(def, "-"), k.Example, k.Help)
		if !strings.Contains(string(doc), row) {
			t.Errorf("docs/configuration.md lacks %s", row)
		}
	}
	files, err := filepath.Glob("../../deploy/*/*.ini")
	if err != nil || len(files) != 8 {
		t.Fatalf("files %v, %v", files, err)
	}
	for _, f := range files {
		if filepath.Base(f) != "shared.ini" {
			if _, err := LoadProcess(f); err != nil {
				t.Error(err)
			}
			continue
		}
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		cfg, err := ParseShared(f, data)
		if err != nil {
			t.Error(err)
		}
		for name, p := range cfg.Profiles {
			again, err := ParseShared("printed", []byte("[cluster]\nregions = a\ndefault_profile = "+name+"\n"+FormatProfile(p)))
			if err != nil || again.Profiles[name] != p {
				t.Errorf("%s: profile %s is printed as\n%s%v", f, name, FormatProfile(p), err)
			}
		}
	}
}
