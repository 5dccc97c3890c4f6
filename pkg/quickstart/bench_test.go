package quickstart

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	model "github.com/yuccaspindle/yuccaspindle/pkg/standin/engine/model"
)

// instantEngine produces the first token without a noticeable delay, so that
// the time to the first token is the cost of the path.
func instantEngine() model.Options {
	o := model.Defaults()
	o.Models = []string{"m"}
	o.PrefillRate = 1e9
	o.DecodeRate = 2000
	return o
}

// BenchmarkFirstToken compares the time to the first token of a stream sent to
// the engine itself with that through entry and sidecar. The calls alternate, so
// that both see the same machine. It reports quantiles of the difference.
func BenchmarkFirstToken(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	d, err := Start(ctx, Options{
		Shared:  []byte(testShared),
		Engines: []EngineSpec{{Name: "engine-1", Place: east, Model: instantEngine()}},
		Entries: []EntrySpec{{Name: "entry-1", Place: east}},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = d.Stop(ctx) }()
	id := openForBench(b, d)
	direct := "http://" + d.Engines["engine-1"].Addr()
	path := "http://" + d.Entry("entry-1").HTTPAddr()
	var directTimes, pathTimes []time.Duration
	n := 0
	for b.Loop() {
		n++
		directTimes = append(directTimes, firstToken(b, direct, fmt.Sprintf("direct-%d", n), ""))
		pathTimes = append(pathTimes, firstToken(b, path, fmt.Sprintf("path-%d", n), id))
	}
	for _, q := range []float64{0.50, 0.99} {
		x, y := quantile(directTimes, q), quantile(pathTimes, q)
		b.ReportMetric(float64((y - x).Microseconds()), fmt.Sprintf("added-p%.0f-us", q*100))
		b.ReportMetric(float64(x.Microseconds()), fmt.Sprintf("direct-p%.0f-us", q*100))
	}
}

func openForBench(b *testing.B, d *Deployment) string {
	b.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+d.Entry("entry-1").HTTPAddr()+"/v1/programs", strings.NewReader(`{}`))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Yucca-Caller", "lango")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.Header.Get("Yucca-Program")
}

func firstToken(b *testing.B, url, requestID, program string) time.Duration {
	b.Helper()
	body := fmt.Sprintf(`{"model":"m","max_tokens":8,"stream":true,"request_id":%q,"standin_output_tokens":8,"messages":[{"role":"user","content":"q"}]}`, requestID)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	req.Header.Set("Yucca-Caller", "lango")
	if program != "" {
		req.Header.Set("Yucca-Program", program)
	}
	start := time.Now()
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	var first time.Duration
	for lines.Scan() {
		if first == 0 && strings.HasPrefix(lines.Text(), "data: ") {
			first = time.Since(start)
		}
	}
	if first == 0 {
		b.Fatal("no token")
	}
	return first
}

func quantile(times []time.Duration, q float64) time.Duration {
	s := slices.Clone(times)
	slices.Sort(s)
	return s[int(float64(len(s)-1)*q)]
}

// BenchmarkRefusal measures how soon a caller learns that a program is not
// admitted, while the only engine is overloaded. The goal is 10 ms.
func BenchmarkRefusal(b *testing.B) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	slow := model.Defaults()
	slow.Models = []string{"m"}
	slow.Slots = 2
	slow.DecodeRate = 2
	d, err := Start(ctx, Options{
		Shared:  []byte(testShared),
		Engines: []EngineSpec{{Name: "engine-1", Place: east, Model: slow}},
		Entries: []EntrySpec{{Name: "entry-1", Place: east}, {Name: "entry-2", Place: east}},
	})
	if err != nil {
		b.Fatal(err)
	}
	url := "http://" + d.Entry("entry-1").HTTPAddr()
	for i := range 40 {
		go func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/chat/completions",
				strings.NewReader(`{"model":"m","max_tokens":400,"standin_output_tokens":400,"messages":[{"role":"user","content":"q"}]}`))
			req.Header.Set("Yucca-Caller", fmt.Sprintf("caller-%d", i%4))
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
	}
	time.Sleep(3 * time.Second)
	var refused []time.Duration
	admitted := 0
	for b.Loop() {
		start := time.Now()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/v1/programs", strings.NewReader(`{}`))
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Yucca-Caller", fmt.Sprintf("caller-%d", len(refused)%4))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusServiceUnavailable {
			refused = append(refused, time.Since(start))
		} else {
			admitted++
		}
	}
	b.ReportMetric(float64(admitted), "admitted")
	if len(refused) == 0 {
		b.Fatal("no program was refused")
	}
	b.ReportMetric(float64(quantile(refused, 0.5).Microseconds()), "refusal-p50-us")
	b.ReportMetric(float64(quantile(refused, 0.99).Microseconds()), "refusal-p99-us")
	for _, name := range sortedNames(d.Entries) {
		d.KillEntry(name)
	}
}
