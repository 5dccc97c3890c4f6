package edge

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaspindle/yuccaspindle/pkg/ledger"
)

// Guards against a 404 that rests on a list of members which was read before the request
// came (issue 32): a read that has begun already must not serve it.
func TestMemberReadBeginsAfterRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const readTime = 50 * time.Millisecond
		m := newMemberReader(func() ([]ledger.Member, error) {
			asOf := time.Now()
			time.Sleep(readTime)
			return []ledger.Member{{Name: asOf.Format(time.RFC3339Nano)}}, nil
		})
		var wg sync.WaitGroup
		for i := range 100 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				began := time.Now()
				members, err := m.read(context.Background())
				if err != nil {
					t.Error(err)
					return
				}
				asOf, err := time.Parse(time.RFC3339Nano, members[0].Name)
				if err != nil || asOf.Before(began) {
					t.Errorf("the list is from %v before the request, %v", began.Sub(asOf), err)
				}
				if took := time.Since(began); took > memberReadInterval+2*readTime {
					t.Errorf("a read took %v", took)
				}
			})
		}
		wg.Wait()
	})
}

// Guards against a call to the store for each request that names a turn which does not
// exist.
func TestMemberReadsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reads := 0
		m := newMemberReader(func() ([]ledger.Member, error) {
			reads++
			time.Sleep(4 * time.Millisecond)
			return nil, nil
		})
		const requests = 1000 // one each ms
		var wg sync.WaitGroup
		for i := range requests {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * time.Millisecond)
				if _, err := m.read(context.Background()); err != nil {
					t.Error(err)
				}
			})
		}
		wg.Wait()
		if limit := int(requests*time.Millisecond/memberReadInterval) + 2; reads > limit {
			t.Errorf("%d reads for %d requests in 1 s, want %d at most", reads, requests, limit)
		}
	})
}
