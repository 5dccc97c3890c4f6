package quickstart

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/config"
	"github.com/yuccaspindle/yuccaspindle/pkg/core"
	"github.com/yuccaspindle/yuccaspindle/pkg/entry"
	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
	"github.com/yuccaspindle/yuccaspindle/pkg/sidecar"
	"github.com/yuccaspindle/yuccaspindle/pkg/standin/service"
)

// The benchmarks of this file measure the slopes of docs/CAPACITY.md. Most of
// them measure an interval of real time, since periodic work is what they are
// about; run them with -benchtime 1x.

// cpuTime returns the processor time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// inUse returns the heap and the stacks in use after a collection.
func inUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// meteredConn counts the bytes of a connection in both directions.
type meteredConn struct {
	net.Conn
	sent, received *atomic.Int64
}

func (c *meteredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// fleet is a set of processes that share an in-process store.
type fleet struct {
	ctx      context.Context
	store    *objectapi.Memory
	url      string // of the service behind every sidecar
	sidecars []*sidecar.Sidecar
	entries  []*entry.Entry
	list     []objectapi.Instance

	sent, received atomic.Int64 // by entries on the connections they dialed
}

func newFleet(b *testing.B) *fleet {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleet{ctx: ctx, store: objectapi.NewMemory(objectapi.MemoryOptions{})}
	s, err := service.New(service.Config{Logger: testLogger()})
	if err != nil {
		b.Fatal(err)
	}
	if err := s.Start(ctx); err != nil {
		b.Fatal(err)
	}
	f.url = "http://" + s.Addr()
	f.apply(b, 0, testShared)
	b.Cleanup(func() {
		for _, e := range f.entries {
			e.Kill()
		}
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		defer stop()
		for _, s := range f.sidecars {
			_ = s.Stop(ctx)
		}
		cancel()
	})
	return f
}

func (f *fleet) apply(b *testing.B, base uint64, text string) uint64 {
	b.Helper()
	v, err := config.NewStore(f.store).Apply(f.ctx, base, []byte(text), "operator", "capacity")
	if err != nil {
		b.Fatal(err)
	}
	return v.Version
}

func (f *fleet) startSidecars(b *testing.B, n int) {
	b.Helper()
	for i := range n {
		name := fmt.Sprintf("service-%d", i)
		s, err := sidecar.New(sidecar.Config{
			Instance: "sidecar-" + name, Incarnation: "sidecar-" + name + ".1", Region: east.Region, FailureDomain: east.FailureDomain,
			Upstream: sidecar.Upstream{ID: name, Kind: core.KindService, Service: "bookings", URL: f.url, Slots: serviceSlots},
			Logger:   testLogger(),
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := s.Start(f.ctx); err != nil {
			b.Fatal(err)
		}
		f.sidecars = append(f.sidecars, s)
		f.addToList(objectapi.Instance{
			ID: "sidecar-" + name, Role: config.RoleSidecar, Address: s.Addr(),
			State: "live", Incarnation: "sidecar-" + name + ".1",
		})
	}
}

func (f *fleet) addToList(in objectapi.Instance) {
	in.Region, in.FailureDomain = east.Region, east.FailureDomain
	f.list = append(f.list, in)
	f.store.SetInstances(append([]objectapi.Instance(nil), f.list...))
}

func (f *fleet) startEntries(b *testing.B, n int) {
	b.Helper()
	for i := range n {
		name := fmt.Sprintf("entry-%d", i)
		e, err := entry.New(entry.Config{
			Instance: name, Incarnation: core.Incarnation(name + ".1"), Region: east.Region, FailureDomain: east.FailureDomain,
			Store: f.store, Logger: testLogger(), TrustCallerHeader: true, Dialer: f.dial, Seed: 1,
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := e.Start(f.ctx); err != nil {
			b.Fatal(err)
		}
		f.entries = append(f.entries, e)
		f.addToList(objectapi.Instance{
			ID: name, Role: config.RoleEntry, Address: e.PeerAddr(), State: "live", Incarnation: name + ".1",
		})
	}
	f.await(b, "every entry to be ready and connected", func() bool {
		for _, e := range f.entries {
			if e.Ready() != nil || e.Summary().Upstreams < len(f.sidecars) {
				return false
			}
		}
		return true
	})
}

func (f *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &meteredConn{c, &f.sent, &f.received}, nil
}

func (f *fleet) storeCalls() int64 { return int64(f.store.Counts().Total()) }

func (f *fleet) await(b *testing.B, what string, done func() bool) {
	b.Helper()
	for end := time.Now().Add(time.Minute); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.Fatalf("no end of the wait for %s", what)
		}
	}
}

// BenchmarkHeartbeatExchange measures an idle entry with its sidecars for 4 s:
// the processor time of both ends above that of the sidecars alone, the bytes
// on the connections with the framing of yamux and without that of TCP, and the
// memory of both ends of the sessions.
func BenchmarkHeartbeatExchange(b *testing.B) {
	const interval = 4 * time.Second
	for _, peers := range []int{1, 8, 32, 128} {
		b.Run(fmt.Sprintf("peers=%d", peers), func(b *testing.B) {
			var alone, exchange time.Duration
			var memory, sent, received, calls float64
			for range b.N {
				f := newFleet(b)
				f.startSidecars(b, peers)
				time.Sleep(time.Second) // the first probes
				before := cpuTime(b)
				time.Sleep(interval)
				idle := cpuTime(b) - before
				heap := inUse()
				f.startEntries(b, 1)
				time.Sleep(time.Second) // the first heartbeats
				memory += inUse() - heap
				s, r, stored := f.sent.Load(), f.received.Load(), f.storeCalls()
				before = cpuTime(b)
				time.Sleep(interval)
				exchange += cpuTime(b) - before - idle
				alone += idle
				sent += float64(f.sent.Load() - s)
				received += float64(f.received.Load() - r)
				calls += float64(f.storeCalls() - stored)
			}
			seconds := interval.Seconds() * float64(b.N)
			b.ReportMetric(exchange.Seconds()*1e6/seconds, "cpu-us/s")
			b.ReportMetric(alone.Seconds()*1e6/seconds/float64(peers), "sidecar-cpu-us/s/peer")
			b.ReportMetric(sent/seconds/float64(peers), "sent-B/s/peer")
			b.ReportMetric(received/seconds/float64(peers), "received-B/s/peer")
			b.ReportMetric(memory/float64(b.N), "B")
			b.ReportMetric(calls/seconds, "store-calls/s")
		})
	}
}

// BenchmarkConfigInForce measures the time from the acceptance of a change by
// the store until it is in force in every process. A tenth of the processes
// are entries.
func BenchmarkConfigInForce(b *testing.B) {
	const changes = 5
	for _, processes := range []int{3, 10, 30, 100} {
		b.Run(fmt.Sprintf("processes=%d", processes), func(b *testing.B) {
			entries := max(processes/10, 1)
			var total, longest time.Duration
			var bytes int64
			var cpu time.Duration
			for range b.N {
				f := newFleet(b)
				f.startSidecars(b, processes-entries)
				f.startEntries(b, entries)
				version := uint64(1)
				inForce := func() bool {
					for _, e := range f.entries {
						if e.Summary().ConfigVersion < version {
							return false
						}
					}
					for _, s := range f.sidecars {
						if s.Status().ConfigVersion < version {
							return false
						}
					}
					return true
				}
				f.await(b, "the first version", inForce)
				for i := range changes {
					moved, used := f.sent.Load()+f.received.Load(), cpuTime(b)
					start := time.Now()
					version = f.apply(b, version, fmt.Sprintf("%s\n# change %d\n", testShared, i))
					f.await(b, "the change", inForce)
					took := time.Since(start)
					total += took
					longest = max(longest, took)
					cpu += cpuTime(b) - used
					bytes += f.sent.Load() + f.received.Load() - moved
				}
			}
			n := float64(changes * b.N)
			b.ReportMetric(total.Seconds()*1e3/n, "ms/change")
			b.ReportMetric(longest.Seconds()*1e3, "longest-ms")
			b.ReportMetric(float64(bytes)/n/float64(processes), "B/change/process")
			b.ReportMetric(cpu.Seconds()*1e6/n/float64(processes), "cpu-us/change/process")
		})
	}
}

// BenchmarkStreamToken measures the processor time per streamed token of entry
// and sidecar together: the time of streams through the path less that of the
// same streams taken from the engine itself, which includes caller and engine.
// "owner" is a call received by the owner, "forwarded" by another entry.
func BenchmarkStreamToken(b *testing.B) {
	for _, streams := range []int{4, 16, 64} {
		for receiver, name := range map[string]string{"entry-1": "owner", "entry-2": "forwarded"} {
			b.Run(fmt.Sprintf("%s/streams=%d", name, streams), func(b *testing.B) { benchStreams(b, streams, receiver) })
		}
	}
}

func benchStreams(b *testing.B, streams int, receiver string) {
	const tokens = 200
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	o := instantEngine()
	o.Slots, o.DecodeRate, o.CacheTokens = streams, 100, 4_000_000
	d, err := Start(ctx, Options{
		Shared:  []byte(testShared),
		Engines: []EngineSpec{{Name: "engine-1", Place: east, Model: o}},
		Entries: []EntrySpec{{Name: "entry-1", Place: east}, {Name: "entry-2", Place: east}},
		Logger:  testLogger(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = d.Stop(ctx) }()
	programs := make([]string, streams)
	for i := range programs {
		programs[i] = openForBench(b, d) // at entry-1, which owns its slot
	}
	direct := "http://" + d.Engines["engine-1"].Addr()
	path := "http://" + d.Entry(receiver).HTTPAddr()
	var alone, through time.Duration
	for i := range b.N {
		alone += streamAll(b, direct, fmt.Sprintf("direct-%d", i), make([]string, streams), tokens)
		through += streamAll(b, path, fmt.Sprintf("path-%d", i), programs, tokens)
	}
	n := float64(streams * tokens * b.N)
	b.ReportMetric((through-alone).Seconds()*1e6/n, "added-cpu-us/token")
	b.ReportMetric(alone.Seconds()*1e6/n, "direct-cpu-us/token")
}

// streamAll reads one stream per program at once and returns the processor time
// used meanwhile.
func streamAll(b *testing.B, url, prefix string, programs []string, tokens int) time.Duration {
	b.Helper()
	before := cpuTime(b)
	var wg sync.WaitGroup
	for i, program := range programs {
		wg.Go(func() {
			body := fmt.Sprintf(`{"model":"m","max_tokens":%d,"stream":true,"request_id":"%s-%d","standin_output_tokens":%d,"messages":[{"role":"user","content":"q"}]}`,
				tokens, prefix, i, tokens)
			if n, err := readStream(url, program, body); err != nil || n < int64(tokens*40) {
				b.Errorf("stream of %d bytes, %v", n, err)
			}
		})
	}
	wg.Wait()
	return cpuTime(b) - before
}

func readStream(url, program, body string) (int64, error) {
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Yucca-Caller", "lango")
	if program != "" {
		req.Header.Set("Yucca-Program", program)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d", resp.StatusCode)
	}
	return n, err
}

// BenchmarkServiceCall compares a service call sent to the service itself with
// one through entry and sidecar, in turns. The call "ask" is idempotent and has
// no claim, "book" is claimed in the journal first.
func BenchmarkServiceCall(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{
		Shared:   []byte(testShared),
		Services: []ServiceSpec{{Name: "bookings-1", Service: "bookings", Outcomes: true, Place: east}},
		Entries:  []EntrySpec{{Name: "entry-1", Place: east}},
		Logger:   testLogger(),
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = d.Stop(ctx) }()
	id := openForBench(b, d)
	direct := "http://" + d.Services["bookings-1"].Addr()
	path := "http://" + d.Entry("entry-1").HTTPAddr() + "/v1/services/bookings"
	for _, op := range []string{"ask", "book"} {
		b.Run(op, func(b *testing.B) {
			var alone, through []time.Duration
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				key := fmt.Sprintf("%s-%d-%d", op, b.N, i)
				alone = append(alone, callService(b, direct+"/"+op, "direct-"+key, ""))
				through = append(through, callService(b, path+"/"+op, "path-"+key, id))
			}
			for _, q := range []float64{0.50, 0.99} {
				x, y := quantile(alone, q), quantile(through, q)
				b.ReportMetric(float64((y - x).Microseconds()), fmt.Sprintf("added-p%.0f-us", q*100))
				b.ReportMetric(float64(x.Microseconds()), fmt.Sprintf("direct-p%.0f-us", q*100))
			}
		})
	}
}

func callService(b *testing.B, url, key, program string) time.Duration {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(`{"gate":7}`))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Yucca-Caller", "lango")
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Request-Id", key)
	if program != "" {
		req.Header.Set("Yucca-Program", program)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if text, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d: %s, %v", resp.StatusCode, text, err)
	}
	return time.Since(start)
}
