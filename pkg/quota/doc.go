// Package quota divides the request quotas of workspaces among the edges. Each edge has a
// Node. It holds tokens, each of which permits one request, and asks the coordinators of a
// workspace for more before it needs them. The coordinators of a workspace are the edges
// that rendezvous hashing chooses; each owns a bucket with an equal part of the quota.
//
// The package has no clock, I/O or goroutine. Times are durations since an origin of the
// caller's choice, on a clock that never stops, also not while the machine is suspended.
// docs/design/quotas.md derives the bounds.
package quota
