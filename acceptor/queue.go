package acceptor

import (
	"container/list"
	"sync"
)

// queue holds connections in the order in which they were added. It is safe for concurrent use.
type queue struct {
	// element returns where a connection keeps its entry in this queue.
	element func(connection *connection) **list.Element
	// mutex guards connections and their entries; no other lock is acquired while it is held.
	mutex       sync.Mutex
	connections *list.List
}

func newQueue(element func(connection *connection) **list.Element) *queue {
	return &queue{element: element, connections: list.New()}
}

// add adds a connection unless it is in the queue.
func (queue *queue) add(connection *connection) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	if element := queue.element(connection); *element == nil {
		*element = queue.connections.PushBack(connection)
	}
}

// remove removes a connection if it is in the queue.
func (queue *queue) remove(connection *connection) {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	queue.drop(connection)
}

// drop removes a connection if it is in the queue. The mutex is held.
func (queue *queue) drop(connection *connection) {
	if element := queue.element(connection); *element != nil {
		queue.connections.Remove(*element)
		*element = nil
	}
}

// size returns the number of connections.
func (queue *queue) size() int {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	return queue.connections.Len()
}

// takeOldest removes and returns the oldest connection if the function allows it, which is given the number of
// connections and called with the mutex held; else it returns nil.
func (queue *queue) takeOldest(allows func(oldest *connection, count int) bool) *connection {
	queue.mutex.Lock()
	defer queue.mutex.Unlock()
	front := queue.connections.Front()
	if front == nil {
		return nil
	}
	oldest, ok := front.Value.(*connection)
	if !ok || !allows(oldest, queue.connections.Len()) {
		return nil
	}
	queue.drop(oldest)
	return oldest
}

// always allows takeOldest to take any connection.
func always(*connection, int) bool { return true }
