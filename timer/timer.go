// Package timer schedules many timeouts on one goroutine: a caller sets a time for a key, and
// a callback receives the key when the time comes. It also has a Sleep that ends with its
// context, and the exponential backoff of retries.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Service calls a function for each key whose time has come. It is safe for concurrent use.
type Service[Key comparable] struct {
	// mutex guards queue and entries; no other lock is taken under it.
	mutex sync.Mutex
	// queue is a heap ordered by time; entries holds the same entries by key.
	queue   queue[Key]
	entries map[Key]*entry[Key]
	fire    func(Key)
	// wake signals the worker that the earliest time has changed.
	wake chan struct{}
	// done is closed by the service once the worker has ended.
	done chan struct{}
}

// New returns a service that calls fire for each key whose time has come. All calls come from
// one goroutine, so a slow fire delays the keys after it.
func New[Key comparable](fire func(Key)) *Service[Key] {
	return &Service[Key]{
		entries: make(map[Key]*entry[Key]),
		fire:    fire,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}),
	}
}

// Start runs the service until the context ends.
func (service *Service[Key]) Start(ctx context.Context) {
	var group conc.WaitGroup
	group.Go(func() { service.run(ctx) })
	go func() {
		group.Wait()
		close(service.done)
	}()
}

// Done returns a channel that is closed once the service has ended.
func (service *Service[Key]) Done() <-chan struct{} { return service.done }

// Set schedules a key for a time. It replaces the key's pending time, if any.
func (service *Service[Key]) Set(key Key, at time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.remove(key)
	added := &entry[Key]{key: key, at: at}
	service.entries[key] = added
	heap.Push(&service.queue, added)
	if service.queue[0] == added {
		service.wakeWorker()
	}
}

// Clear cancels the pending time of a key. Without one it does nothing.
func (service *Service[Key]) Clear(key Key) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.remove(key)
}

func (service *Service[Key]) remove(key Key) {
	known, ok := service.entries[key]
	if !ok {
		return
	}
	heap.Remove(&service.queue, known.index)
	delete(service.entries, key)
}

func (service *Service[Key]) wakeWorker() {
	select {
	case service.wake <- struct{}{}:
	default:
	}
}

func (service *Service[Key]) run(ctx context.Context) {
	clock := time.NewTimer(time.Hour)
	defer clock.Stop()
	for {
		clock.Reset(service.untilNext())
		select {
		case <-ctx.Done():
			return
		case <-service.wake:
		case <-clock.C:
		}
		for _, key := range service.due(time.Now()) {
			service.fire(key)
		}
	}
}

func (service *Service[Key]) untilNext() time.Duration {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if len(service.queue) == 0 {
		return time.Hour
	}
	return max(time.Until(service.queue[0].at), 0)
}

// due removes and returns the keys whose time has come, earliest first.
func (service *Service[Key]) due(now time.Time) []Key {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	var keys []Key
	for len(service.queue) > 0 && !service.queue[0].at.After(now) {
		key := service.queue[0].key
		service.remove(key)
		keys = append(keys, key)
	}
	return keys
}
