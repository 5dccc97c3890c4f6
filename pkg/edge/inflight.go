package edge

import "sync"

// maxLoggedIDs limits the ids in one log line.
const maxLoggedIDs = 20

// inFlight holds the requests that have no complete answer yet.
type inFlight struct {
	mu    sync.Mutex
	calls map[*call]struct{}
}

func newInFlight() *inFlight { return &inFlight{calls: make(map[*call]struct{})} }

func (f *inFlight) add(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls[c] = struct{}{}
}

func (f *inFlight) remove(c *call) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.calls, c)
}

// count returns the number of requests.
func (f *inFlight) count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.calls)
}

// ids returns the number of requests and the ids of the first maxLoggedIDs of them.
func (f *inFlight) ids() (int, []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []string
	for c := range f.calls {
		if len(list) == maxLoggedIDs {
			break
		}
		list = append(list, c.req.ID)
	}
	return len(f.calls), list
}
