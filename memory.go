package limpetcleat

import (
	"net"
	"net/http"

	"limpetcleat/forwarder"
	"limpetcleat/monitor"
	"limpetcleat/rationer"
	"limpetcleat/sizer"
	"limpetcleat/weigher"
)

const (
	// The fractions of the memory limit for what other processes send, and for their connections.
	// docs/design/received.md adds them up.
	bodyMemoryShare     = 0.2
	answerMemoryShare   = 0.1
	messageMemoryShare  = 0.05
	storeMemoryShare    = 0.05
	bufferMemoryShare   = 0.08
	callerMemoryShare   = 0.15
	incomingMemoryShare = 0.1
	// auxiliaryMemoryShare is for the heads of readiness checks and of operators' requests.
	auxiliaryMemoryShare = 0.03
	// minMessageMemory and minStoreMemory are in bytes: the largest messages of two peers, and an answer of the
	// store beside that to a watch.
	minMessageMemory = 6 << 20
	minStoreMemory   = 6 << 20
	// callerBytes is what a connection of a caller takes besides what is counted: its buffers, its goroutines,
	// the connection to an upstream that its request uses, and the smallest receive buffers of both.
	callerBytes = 32 << 10
	// incomingBytes is the same for a connection of a peer, which may be relayed to an upstream.
	incomingBytes = 36 << 10
	// idlePart and relayedPart are the numbers of connections of callers for each idle one to an upstream, and
	// of connections of peers for each relayed one.
	idlePart    = 2
	relayedPart = 2
	// maxAuxiliaryConnections is the largest number of open connections of an address for readiness checks, operators or
	// metrics.
	maxAuxiliaryConnections = 64
	// defaultMemoryLimit is taken for an unknown limit, in bytes.
	defaultMemoryLimit = 2 << 30
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
	// auxiliary has the heads of readiness checks and of operators' requests.
	auxiliary *rationer.Rationer
	// buffers has the kernel's receive buffers, which sizer sizes.
	buffers *rationer.Rationer
	sizer   *sizer.Sizer
	// callers and incoming are the largest numbers of open connections of callers and of peers.
	callers  int64
	incoming int64
}

// NewMemory returns a Memory for a process with a memory limit in bytes; 0 means unknown.
func NewMemory(limit int64) *Memory {
	if limit <= 0 {
		limit = defaultMemoryLimit
	}
	part := func(share float64) int64 { return int64(share * float64(limit)) }
	buffers := rationer.New(part(bufferMemoryShare))
	return &Memory{
		bodies:   rationer.New(part(bodyMemoryShare)),
		answers:  rationer.New(max(part(answerMemoryShare), forwarder.MaxAnswerBytes)),
		messages: rationer.New(max(part(messageMemoryShare), minMessageMemory)),
		store:    rationer.New(max(part(storeMemoryShare), minStoreMemory)),

		auxiliary: rationer.New(part(auxiliaryMemoryShare)),

		buffers:  buffers,
		sizer:    sizer.New(buffers),
		callers:  part(callerMemoryShare) / callerBytes,
		incoming: part(incomingMemoryShare) / incomingBytes,
	}
}

// Store returns what bounds the answers of the platform's store.
func (memory *Memory) Store() *rationer.Rationer { return memory.store }

// Sizer returns what sizes the receive buffers of connections.
func (memory *Memory) Sizer() *sizer.Sizer { return memory.sizer }

// Callers returns the largest number of open connections of callers.
func (memory *Memory) Callers() int { return int(memory.callers) }

// ListenAuxiliary makes a server for readiness checks, operators or metrics stay within the memory, and returns its listener.
func (memory *Memory) ListenAuxiliary(inner net.Listener, server *http.Server) net.Listener {
	bound := weigher.New(memory.auxiliary, weigher.WithMaxConnections(maxAuxiliaryConnections))
	bound.Attach(server)
	return bound.Listen(inner)
}

// Held returns what is held at present.
func (memory *Memory) Held() monitor.Held {
	return monitor.Held{
		Bodies: memory.bodies.Held(), Answers: memory.answers.Held(), Messages: memory.messages.Held(),
		Store: memory.store.Held(), Buffers: memory.buffers.Held(),
	}
}
