// Package program holds the state of agent programs: the order of calls, the
// history, the budget and the idempotency records. It is pure and knows
// nothing about scheduling. It imports nothing of package core, which imports
// it, so identifiers are plain strings here.
package program

import "slices"

// Queue keeps the calls of one program in order of arrival. Only the call at
// its head may run.
type Queue[T comparable] struct{ items []T }

// Push adds an item at the end.
func (q *Queue[T]) Push(v T) { q.items = append(q.items, v) }

// PushFront adds an item before all others.
func (q *Queue[T]) PushFront(v T) { q.items = slices.Insert(q.items, 0, v) }

// Head returns the first item.
func (q *Queue[T]) Head() (v T, ok bool) {
	if len(q.items) == 0 {
		return v, false
	}
	return q.items[0], true
}

// Remove takes an item out, wherever it stands.
func (q *Queue[T]) Remove(v T) {
	if i := slices.Index(q.items, v); i >= 0 {
		q.items = slices.Delete(q.items, i, i+1)
	}
	if len(q.items) == 0 {
		q.items = nil
	}
}

// Len returns the number of items.
func (q *Queue[T]) Len() int { return len(q.items) }

// Items returns the items in order. The caller may change the queue while it
// uses the result.
func (q *Queue[T]) Items() []T { return slices.Clone(q.items) }
