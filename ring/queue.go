package ring

import "context"

// Queue is a bounded first-in, first-out queue that is safe for concurrent use.
type Queue[T any] struct {
	items chan T
}

// New returns a queue with a capacity of n items; n below one counts as one.
func New[T any](n int) *Queue[T] {
	return &Queue[T]{items: make(chan T, max(n, 1))}
}

// Offer adds an item without waiting; it reports false if the queue is full.
func (q *Queue[T]) Offer(item T) bool {
	select {
	case q.items <- item:
		return true
	default:
		return false
	}
}

// Put adds an item, waiting while the queue is full; it returns the error of ctx if ctx ends first.
func (q *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case q.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes the oldest item, waiting while the queue is empty; it returns the error of ctx if ctx ends first.
func (q *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-q.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Poll removes the oldest item without waiting; it reports false if the queue is empty.
func (q *Queue[T]) Poll() (T, bool) {
	select {
	case item := <-q.items:
		return item, true
	default:
		var zero T
		return zero, false
	}
}

// Len returns the number of items in the queue.
func (q *Queue[T]) Len() int { return len(q.items) }
