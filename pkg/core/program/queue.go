// Package program holds the state of agent programs: the order of calls, the
// history, the budget and the idempotency records. It performs no I/O, reads no
// clock and does not schedule calls. Identifiers are plain strings here, because
// package core, which defines their types, imports this package.
package program

import "slices"

// Queue holds the calls of one program in order of arrival. Only the call at the
// head may run.
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

// Remove removes an item from any position.
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

// Items returns a copy of the items in order, so that the caller may change the
// queue while it iterates.
func (q *Queue[T]) Items() []T { return slices.Clone(q.items) }
