package objectapi

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"

	"github.com/yuccaspindle/yuccaspindle/pkg/objectapi"
)

// BenchmarkInstances measures one reading of the instance list over HTTP, both
// ends, and its bytes. Every entry reads it once per second.
func BenchmarkInstances(b *testing.B) {
	for _, n := range []int{30, 300, 3410} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			s := New(Options{Logger: slog.New(slog.DiscardHandler)})
			if err := s.Start(b.Context()); err != nil {
				b.Fatal(err)
			}
			list := make([]objectapi.Instance, n)
			for i := range list {
				list[i] = objectapi.Instance{
					ID: fmt.Sprintf("sidecar-engine-%04d", i), Role: "sidecar", Address: fmt.Sprintf("10.20.%d.%d:7400", i/250, i%250),
					Region: "dar-coast", FailureDomain: "dar-coast-a", State: "live", Incarnation: fmt.Sprintf("sidecar-engine-%04d.1", i),
				}
			}
			s.Memory().SetInstances(list)
			c, err := objectapi.Dial(objectapi.ClientConfig{Address: s.Addr(), Name: "bench"})
			if err != nil {
				b.Fatal(err)
			}
			text, err := json.Marshal(list)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for b.Loop() {
				if got, err := c.Instances(b.Context()); err != nil || len(got) != n {
					b.Fatal(len(got), err)
				}
			}
			b.ReportMetric(float64(len(text))/float64(n), "B/instance")
		})
	}
}
