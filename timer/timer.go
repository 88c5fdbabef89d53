// Package timer is the one source of time-outs of a process: parts subscribe
// with a key and a time and are told when it has come.
package timer

import (
	"container/heap"
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// Service tells its subscriber of each key whose time has come.
type Service[Key comparable] struct {
	// mutex guards queue and entries; no other lock is taken under it.
	mutex sync.Mutex
	// queue is a heap by time; entries holds the same entries by key.
	queue   queue[Key]
	entries map[Key]*entry[Key]
	fire    func(Key)
	// wake tells the worker that the nearest time has changed.
	wake chan struct{}
	// done is closed once the worker has ended; the service owns it.
	done chan struct{}
}

// New returns a service that calls fire, from one goroutine, for each key
// whose time has come.
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

// Done is closed once the service has ended.
func (service *Service[Key]) Done() <-chan struct{} { return service.done }

// Set subscribes to a time; it replaces an earlier one of the same key.
func (service *Service[Key]) Set(key Key, at time.Time) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.drop(key)
	added := &entry[Key]{key: key, at: at}
	service.entries[key] = added
	heap.Push(&service.queue, added)
	if service.queue[0] == added {
		service.rouse()
	}
}

// Clear takes a subscription back; an unknown key changes nothing.
func (service *Service[Key]) Clear(key Key) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	service.drop(key)
}

func (service *Service[Key]) drop(key Key) {
	known, ok := service.entries[key]
	if !ok {
		return
	}
	heap.Remove(&service.queue, known.index)
	delete(service.entries, key)
}

func (service *Service[Key]) rouse() {
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

// due takes out and returns the keys whose time has come, nearest first.
func (service *Service[Key]) due(now time.Time) []Key {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	var keys []Key
	for len(service.queue) > 0 && !service.queue[0].at.After(now) {
		key := service.queue[0].key
		service.drop(key)
		keys = append(keys, key)
	}
	return keys
}
