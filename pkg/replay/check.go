package replay

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/yuccaspindle/yuccaspindle/pkg/core/policy"
	"github.com/yuccaspindle/yuccaspindle/pkg/report"
	"github.com/yuccaspindle/yuccaspindle/pkg/trace"
)

func quantiles(values []float64) Quantiles {
	v := slices.Clone(values)
	slices.Sort(v)
	q := Quantiles{P50: report.Quantile(v, 0.5), P95: report.Quantile(v, 0.95), P99: report.Quantile(v, 0.99)}
	for _, x := range v {
		q.Mean += x / float64(len(v))
	}
	return q
}

// Miss is a stated outcome that a result does not meet.
type Miss struct {
	Policy string      `json:"policy"`
	Trace  string      `json:"trace"`
	Bound  trace.Bound `json:"bound"`
	Got    float64     `json:"got"`
	Limit  float64     `json:"limit"`
}

// String describes the miss in one line.
func (m Miss) String() string {
	return fmt.Sprintf("%s, policy %s: %s is %.4g, the limit is %.4g (%s)", m.Trace, m.Policy, m.Bound.Metric, m.Got, m.Limit, m.Bound.Goal)
}

// Check compares the results of one trace with the stated outcomes. A bound
// relative to the best baseline needs the results of every baseline.
func Check(o *trace.Outcomes, results []*Result) ([]Miss, error) {
	var misses []Miss
	for _, b := range o.Bounds {
		met := false
		for _, r := range results {
			if r.Trace != o.Trace || b.Policy != "any" && (b.Policy != r.Policy || len(r.Without) > 0) {
				continue
			}
			met = true
			got, err := Metric(r, b.Metric)
			if err != nil {
				return nil, err
			}
			miss := Miss{Policy: r.Name(), Trace: r.Trace, Bound: b, Got: got}
			if b.Max != nil && got > *b.Max {
				miss.Limit = *b.Max
				misses = append(misses, miss)
			}
			if b.Min != nil && got < *b.Min {
				miss.Limit = *b.Min
				misses = append(misses, miss)
			}
			if b.MaxRatio != nil {
				best, err := bestBaseline(results, o.Trace, b.Metric)
				if err != nil {
					return nil, err
				}
				if miss.Limit = *b.MaxRatio * best; got > miss.Limit {
					misses = append(misses, miss)
				}
			}
		}
		if !met {
			return nil, errors.Errorf("no result of trace %s and policy %s for the bound on %s", o.Trace, b.Policy, b.Metric)
		}
	}
	return misses, nil
}

// bestBaseline returns the smallest figure among the baselines.
func bestBaseline(results []*Result, name, metric string) (float64, error) {
	var best float64
	seen := map[string]bool{}
	for _, r := range results {
		if r.Trace != name || r.Policy == policy.Default {
			continue
		}
		v, err := Metric(r, metric)
		if err != nil {
			return 0, err
		}
		if len(seen) == 0 || v < best {
			best = v
		}
		seen[r.Policy] = true
	}
	for _, p := range policy.Names() {
		if p != policy.Default && !seen[p] {
			return 0, errors.Errorf("trace %s was not replayed with the baseline %s", name, p)
		}
	}
	return best, nil
}

// Metric returns a figure of the result by its path in the JSON form, such as
// "slowdown_by_class.interactive.p95".
func Metric(r *Result, path string) (float64, error) {
	plain := *r
	plain.Events = nil
	text, err := json.Marshal(plain)
	if err != nil {
		return 0, errors.Wrap(err, "encode result")
	}
	var v any
	if err := json.Unmarshal(text, &v); err != nil {
		return 0, errors.Wrap(err, "decode result")
	}
	for _, part := range strings.Split(path, ".") {
		object, ok := v.(map[string]any)
		if !ok || object[part] == nil {
			return 0, errors.Errorf("the result has no figure %q", path)
		}
		v = object[part]
	}
	f, ok := v.(float64)
	if !ok {
		return 0, errors.Errorf("%q is not a figure", path)
	}
	return f, nil
}
