package config

import (
	"encoding/hex"
	"fmt"
	"log/slog"
	"net/url"
	"os"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// The roles of a process.
const (
	RoleEntry   = "entry"
	RoleSidecar = "sidecar"
)

// Process holds the settings of one process.
type Process struct {
	File string

	Instance      string
	Start         uint64 // start number; 0: chosen from the clock, see Incarnation
	Role          string
	Region        string
	FailureDomain string

	HTTPListen        string
	TrustCallerHeader bool
	Operators         []string // callers that may give operators' orders

	PeerListen    string
	PeerAdvertise string   // address under which peers reach this process
	Seeds         []string // peers to ask before the instance list can be read
	CrossRegion   float64  // this process's share of the link to other regions, Mbit/s; 0: not limited
	EntryNames    []string // certificate names of the entries, with TLS
	TLSCert       string
	TLSKey        string
	TLSCA         string

	StoreAddress string
	StoreRate    float64 // calls per second
	StoreBurst   int
	StoreTimeout time.Duration

	LogLevel      string
	MetricsListen string // empty: on the HTTP listener
	DataFolder    string // empty: the process keeps no data
	RecordTrace   int    // programs to record as a trace in the data folder

	Callers []CallerKey

	Upstream *Upstream // set for sidecars
}

// CallerKey is the key of one caller.
type CallerKey struct {
	Name   string
	SHA256 [32]byte // of the key that the caller sends
}

// Upstream describes the upstream of a sidecar.
type Upstream struct {
	ID             string
	Kind           core.CallKind
	Service        string
	Address        string
	Models         []string
	Adapters       []string
	Slots          int
	CacheTokens    int64
	PrefillRate    float64
	DecodeRate     float64
	ChecksOrders   bool
	ChecksFencing  bool
	OutcomeByKey   bool
	OrderTokenFile string // file with the bearer token of orders; empty: none
}

// Incarnation returns the incarnation of a process that starts at the time: its
// start number, or the milliseconds of the clock if the settings name none.
func (p *Process) Incarnation(now time.Time) core.Incarnation {
	start := p.Start
	if start == 0 {
		start = uint64(now.UnixMilli())
	}
	return core.Incarnation(fmt.Sprintf("%s.%d", p.Instance, start))
}

// Level returns the log level.
func (p *Process) Level() slog.Level {
	var l slog.Level
	_ = l.UnmarshalText([]byte(p.LogLevel)) // checked by parsing
	return l
}

// Info returns the description of the upstream that the sidecar announces.
func (p *Process) Info(incarnation uint64) core.UpstreamInfo {
	u := p.Upstream
	return core.UpstreamInfo{
		ID: core.UpstreamID(u.ID), Kind: u.Kind, Service: u.Service, Models: u.Models, Adapters: u.Adapters,
		Region: p.Region, FailureDomain: p.FailureDomain, Sidecar: p.PeerAdvertise, Incarnation: incarnation,
		Slots: u.Slots, CacheTokens: u.CacheTokens, PrefillRate: u.PrefillRate, DecodeRate: u.DecodeRate,
		ChecksOrders: u.ChecksOrders, ChecksFencing: u.ChecksFencing,
	}
}

type processSection struct {
	name  string
	specs []spec[Process]
}

var processSections = []processSection{
	{"instance", []spec[Process]{
		{name: "id", required: true, example: "dar-coast-a-entry-1", help: "Name of the instance, unique in the deployment.",
			value: nameOf(func(p *Process) *string { return &p.Instance })},
		{name: "start", def: "0", example: "42", help: "Start number, higher than that of every earlier start of the instance. 0 takes the milliseconds of the clock.",
			value: integer(0, 1<<53, func(p *Process) *uint64 { return &p.Start })},
		{name: "role", required: true, example: "entry", help: "What the process does.",
			value: oneOf(func(p *Process) *string { return &p.Role }, RoleEntry, RoleSidecar)},
		{name: "region", required: true, example: "dar-coast", help: "Region of the instance.",
			value: nameOf(func(p *Process) *string { return &p.Region })},
		{name: "failure_domain", required: true, example: "dar-coast-a", help: "Failure domain of the instance.",
			value: nameOf(func(p *Process) *string { return &p.FailureDomain })},
	}},
	{"http", []spec[Process]{
		{name: "listen", required: true, example: "10.20.1.11:8080", help: "Address for callers, health checks, metrics and status.",
			value: hostPort(func(p *Process) *string { return &p.HTTPListen })},
		{name: "trust_caller_header", def: "false", example: "true", help: "Takes the caller from Yucca-Caller without a key. Allowed on a loopback address only.",
			value: boolean(func(p *Process) *bool { return &p.TrustCallerHeader })},
		{name: "operators", example: "ops", help: "Callers that may use /v1/admin: status of the fleet, drain, quarantine.",
			value: list("names", plainName, func(p *Process) *[]string { return &p.Operators })},
	}},
	{"peer", []spec[Process]{
		{name: "listen", required: true, example: "10.20.1.11:7070", help: "Address for sessions of other processes.",
			value: hostPort(func(p *Process) *string { return &p.PeerListen })},
		{name: "advertise", example: "10.20.1.11:7070", help: "Address under which other processes reach this one, if it differs from listen.",
			value: hostPort(func(p *Process) *string { return &p.PeerAdvertise })},
		{name: "seeds", example: "10.20.1.12:7070, 10.20.2.11:7070", help: "Entries to ask for the configuration while the instance list cannot be read.",
			value: list("host:port", validHostPort, func(p *Process) *[]string { return &p.Seeds })},
		{name: "cross_region_rate", def: "0", unit: "Mbit/s", example: "6", help: "Share of the link to other regions that this process may send. Control and history never wait for it, calls come next, KV cache gets at most half. 0: not limited.",
			value: number(0, 100000, func(p *Process) *float64 { return &p.CrossRegion })},
		{name: "entries", example: "dar-a-entry-1, dar-b-entry-1", help: "Certificate names of the entries. Only they may forward calls, hand over slots and push configurations, and only from them does a sidecar take calls and orders. Needed with TLS.",
			value: list("names", plainName, func(p *Process) *[]string { return &p.EntryNames })},
		{name: "tls_cert", example: "/etc/yuccaspindle/peer.crt", help: "Certificate file (PEM) for mutual TLS. Needed unless listen is a loopback address.",
			value: nonEmpty("a file name", func(p *Process) *string { return &p.TLSCert })},
		{name: "tls_key", example: "/etc/yuccaspindle/peer.key", help: "Key file (PEM) of tls_cert.",
			value: nonEmpty("a file name", func(p *Process) *string { return &p.TLSKey })},
		{name: "tls_ca", example: "/etc/yuccaspindle/ca.crt", help: "File (PEM) of the authority that signs the certificates of peers.",
			value: nonEmpty("a file name", func(p *Process) *string { return &p.TLSCA })},
	}},
	{"store", []spec[Process]{
		{name: "address", required: true, example: "http://10.20.0.5:8400", help: "Address of the object API.",
			value: text("host:port or an http(s) URL", validStore, func(p *Process) *string { return &p.StoreAddress })},
		{name: "rate", def: "100", unit: "calls/s", example: "60", help: "Calls that this process may make. The sum over all processes must stay below the store's limit.",
			value: number(1, 10000, func(p *Process) *float64 { return &p.StoreRate })},
		{name: "burst", def: "50", unit: "calls", example: "30", help: "Calls that may be made at once.",
			value: integer(1, 10000, func(p *Process) *int { return &p.StoreBurst })},
		{name: "timeout", def: "2s", unit: "duration", example: "2s", help: "Longest wait for the answer of one call.",
			value: duration(10*time.Millisecond, time.Minute, func(p *Process) *time.Duration { return &p.StoreTimeout })},
	}},
	{"log", []spec[Process]{
		{name: "level", def: "info", example: "debug", help: "Lowest level that is logged.",
			value: oneOf(func(p *Process) *string { return &p.LogLevel }, "debug", "info", "warn", "error")},
	}},
	{"metrics", []spec[Process]{
		{name: "listen", example: "10.20.1.11:9090", help: "Address for /metrics, if it must not be on the HTTP address.",
			value: hostPort(func(p *Process) *string { return &p.MetricsListen })},
	}},
	{"data", []spec[Process]{
		{name: "folder", example: "/var/lib/yuccaspindle", help: "Folder for retained batches, recorded events and the newest configuration. Without it the process keeps no data.",
			value: nonEmpty("a folder name", func(p *Process) *string { return &p.DataFolder })},
		{name: "record_trace", def: "0", unit: "programs", example: "5000", help: "Programs that an entry records as a trace without content, written to the folder when it stops.",
			value: integer(0, 100000, func(p *Process) *int { return &p.RecordTrace })},
	}},
}

var upstreamSpecs = []spec[Upstream]{
	{name: "id", required: true, example: "dar-coast-a-engine-1", help: "Name of the upstream, unique in the deployment.",
		value: nameOf(func(u *Upstream) *string { return &u.ID })},
	{name: "kind", required: true, example: "model", help: "Kind of the upstream.",
		value: oneOf(func(u *Upstream) *core.CallKind { return &u.Kind }, core.KindModel, core.KindService)},
	{name: "service", example: "booking", help: "Name of the service. Needed for kind service.",
		value: nameOf(func(u *Upstream) *string { return &u.Service })},
	{name: "address", required: true, example: "127.0.0.1:9001", help: "Address of the upstream's HTTP interface.",
		value: hostPort(func(u *Upstream) *string { return &u.Address })},
	{name: "models", example: "gate-9b", help: "Models that the engine has loaded. Needed for kind model.",
		value: list("names", func(s string) bool { return s != "" }, func(u *Upstream) *[]string { return &u.Models })},
	{name: "adapters", example: "orders", help: "Adapters that the engine has loaded.",
		value: list("names", func(s string) bool { return s != "" }, func(u *Upstream) *[]string { return &u.Adapters })},
	{name: "slots", def: "16", unit: "requests", example: "32", help: "Largest batch of an engine or largest concurrency of a service.",
		value: integer(1, 100000, func(u *Upstream) *int { return &u.Slots })},
	{name: "cache_tokens", def: "0", unit: "tokens", example: "400000", help: "Capacity of the engine's prefix cache.",
		value: integer(0, 1<<40, func(u *Upstream) *int64 { return &u.CacheTokens })},
	{name: "prefill_rate", def: "0", unit: "tokens/s", example: "8000", help: "Rate of prompt processing.",
		value: number(0, 1e9, func(u *Upstream) *float64 { return &u.PrefillRate })},
	{name: "decode_rate", def: "0", unit: "tokens/s", example: "40", help: "Rate of one generated sequence.",
		value: number(0, 1e6, func(u *Upstream) *float64 { return &u.DecodeRate })},
	{name: "checks_orders", def: "false", example: "true", help: "The upstream authenticates who sends an order. If false, only the sidecar may have a network route to it.",
		value: boolean(func(u *Upstream) *bool { return &u.ChecksOrders })},
	{name: "checks_fencing", def: "false", example: "true", help: "The upstream refuses an order with an old fencing number.",
		value: boolean(func(u *Upstream) *bool { return &u.ChecksFencing })},
	{name: "outcome_by_key", def: "false", example: "true", help: "The service answers GET /outcomes/{key}.",
		value: boolean(func(u *Upstream) *bool { return &u.OutcomeByKey })},
	{name: "order_token_file", example: "/etc/yuccaspindle/engine.token", help: "File with the bearer token that the engine expects with an order.",
		value: nonEmpty("a file name", func(u *Upstream) *string { return &u.OrderTokenFile })},
}

// ProcessKeys documents the settings of a process.
func ProcessKeys() []Key {
	var out []Key
	for _, s := range processSections {
		out = append(out, describe(s.name, s.specs)...)
	}
	out = append(out, Key{Section: "callers", Name: "NAME", Expected: expectedSHA256,
		Example: "lango-app = 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae",
		Help:    "Key of the caller NAME: the SHA-256 of the key that it sends, in hexadecimal."})
	return append(out, describe("upstream", upstreamSpecs)...)
}

const expectedSHA256 = "64 hexadecimal digits, the SHA-256 of the caller's key"

func validStore(v string) bool {
	if validHostPort(v) {
		return true
	}
	u, err := url.Parse(v)
	return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != "" && u.RawQuery == "" && u.Fragment == ""
}

// LoadProcess reads the settings of a process from a file.
func LoadProcess(path string) (*Process, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "config: read settings")
	}
	return ParseProcess(path, data)
}

// ParseProcess reads the settings of a process. Its errors hold one *Error for
// each fault, see Errors.
func ParseProcess(name string, data []byte) (*Process, error) {
	d := parse(name, data)
	if err := d.err(); err != nil {
		return nil, err
	}
	p := &Process{File: name}
	known := []string{"callers", "upstream"}
	for _, s := range processSections {
		known = append(known, s.name)
		apply(d, s.name, d.find(s.name), s.specs, p)
	}
	for _, s := range d.sections {
		if !slices.Contains(known, s.name) {
			d.fault(s.line, s.name, fmt.Sprintf("one of the sections %v", known), "")
		}
	}
	if s := d.find("callers"); s != nil {
		for _, e := range s.keys {
			k := CallerKey{Name: e.key}
			if n, err := hex.Decode(k.SHA256[:], []byte(e.value[:min(len(e.value), 64)])); err != nil || n != 32 || len(e.value) != 64 {
				d.fault(e.line, "callers."+e.key, expectedSHA256, e.value)
				continue
			}
			p.Callers = append(p.Callers, k)
		}
	}
	p.check(d)
	if err := d.err(); err != nil {
		return nil, err
	}
	if p.PeerAdvertise == "" {
		p.PeerAdvertise = p.PeerListen
	}
	return p, nil
}

// line returns the line of a key, or of its section.
func (d *document) line(sec, key string) int {
	s := d.find(sec)
	if s == nil {
		return 0
	}
	if e := s.find(key); e != nil {
		return e.line
	}
	return s.line
}

// check tests the rules that concern more than one key.
func (p *Process) check(d *document) {
	up := d.find("upstream")
	switch {
	case p.Role == RoleSidecar:
		p.Upstream = new(Upstream)
		apply(d, "upstream", up, upstreamSpecs, p.Upstream)
		if p.Upstream.Kind == core.KindService && p.Upstream.Service == "" {
			d.fault(d.line("upstream", "service"), "upstream.service", "the name of the service, because kind is service", "nothing")
		}
		if p.Upstream.Kind == core.KindModel && len(p.Upstream.Models) == 0 {
			d.fault(d.line("upstream", "models"), "upstream.models", "at least one model, because kind is model", "nothing")
		}
	case up != nil && p.Role != "":
		d.fault(up.line, "upstream", "no upstream section, because role is "+p.Role, "")
	}
	if p.TrustCallerHeader && !loopback(p.HTTPListen) {
		d.fault(d.line("http", "trust_caller_header"), "http.trust_caller_header",
			"false, because http.listen is not a loopback address", "true")
	}
	set := 0
	for _, f := range []string{p.TLSCert, p.TLSKey, p.TLSCA} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		d.fault(d.line("peer", ""), "peer.tls_cert", "tls_cert, tls_key and tls_ca together", "")
	}
	if set == 3 && len(p.EntryNames) == 0 {
		d.fault(d.line("peer", "entries"), "peer.entries", "the certificate names of the entries, because the process uses TLS", "nothing")
	}
	if set == 0 && p.PeerListen != "" && !loopback(p.PeerListen) {
		d.fault(d.line("peer", "listen"), "peer.tls_cert",
			"tls_cert, tls_key and tls_ca, because peer.listen is not a loopback address", "nothing")
	}
}
