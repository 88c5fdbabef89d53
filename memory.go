package limpetcleat

import (
	"limpetcleat/forwarder"
	"limpetcleat/monitor"
	"limpetcleat/rationer"
)

const (
	// The fractions of the memory limit for what other processes send, and for their connections.
	// docs/design/received.md adds them up.
	bodyMemoryShare    = 0.2
	answerMemoryShare  = 0.1
	messageMemoryShare = 0.05
	storeMemoryShare   = 0.05
	callerMemoryShare  = 0.15
	// minMessageMemory and minStoreMemory are in bytes: the largest messages of two peers, and an answer of the
	// store beside that to a watch.
	minMessageMemory = 6 << 20
	minStoreMemory   = 6 << 20
	// callerBytes is what a connection of a caller takes besides what is counted: its buffers, its goroutines,
	// the connection to an upstream that its request uses, and the smallest receive buffers of both.
	callerBytes = 32 << 10
	// defaultMemoryLimit is taken for an unknown limit, in bytes.
	defaultMemoryLimit = 512 << 20
)

// Memory bounds what a node holds of what other processes send, so that no sender makes it exceed its memory
// limit. It is safe for concurrent use.
type Memory struct {
	// bodies has the headers and bodies of callers' requests, answers the heads and bodies of upstreams'
	// answers, messages those of peers, and store the answers of the platform's store.
	bodies   *rationer.Rationer
	answers  *rationer.Rationer
	messages *rationer.Rationer
	store    *rationer.Rationer
	// callers is the largest number of open connections of callers.
	callers int64
}

// NewMemory returns a Memory for a process with a memory limit in bytes; 0 means unknown.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		limit = defaultMemoryLimit
	}
	part := func(share float64) int64 { return int64(share * float64(limit)) }
	return &Memory{
		bodies:   rationer.New(part(bodyMemoryShare)),
		answers:  rationer.New(max(part(answerMemoryShare), forwarder.MaxAnswerBytes)),
		messages: rationer.New(max(part(messageMemoryShare), minMessageMemory)),
		store:    rationer.New(max(part(storeMemoryShare), minStoreMemory)),
		callers:  part(callerMemoryShare) / callerBytes,
	}
}

// Store returns what bounds the answers of the platform's store.
func (memory *Memory) Store() *rationer.Rationer { return memory.store }

// Held returns what is held at present.
func (memory *Memory) Held() monitor.Held {
	return monitor.Held{
		Bodies: memory.bodies.Held(), Answers: memory.answers.Held(), Messages: memory.messages.Held(),
		Store: memory.store.Held(),
	}
}
