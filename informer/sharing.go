package informer

import (
	"context"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/router"
)

// shared is the encoded form of the configuration in force. It is safe for concurrent use.
type shared struct {
	// mutex guards the rest; no other lock is taken under it.
	mutex   sync.Mutex
	version uint64
	encoded []byte
}

// of returns the encoded form of the table's definition. The error is of kind Malformed.
func (shared *shared) of(table *router.Table) ([]byte, error) {
	shared.mutex.Lock()
	defer shared.mutex.Unlock()
	if shared.version == table.Version() {
		return shared.encoded, nil
	}
	encoded, err := encode(table.Definition())
	if err == nil {
		shared.version, shared.encoded = table.Version(), encoded
	}
	return encoded, err
}

// fetch gets the configuration of a version from a peer that has it, unless this node's own
// watch is about to bring it.
func (informer *Informer) fetch(from definer.VM, version uint64) {
	if version <= informer.version() || informer.duties.configurations.On() && !informer.configurations.Failing() {
		return
	}
	address, listed := informer.exchanger.Address(from)
	next := informer.courier.want(time.Now(), version)
	if !listed {
		next.ask = nil
	}
	informer.carryOn(address, next)
}

// carryOn does what the courier wants done.
func (informer *Informer) carryOn(address string, next step) {
	if next.look {
		informer.duties.configurations.Look()
	}
	if next.ask != nil {
		informer.sender.Send(context.Background(), address, next.ask)
	}
	if next.whole == nil {
		return
	}
	definition, err := decode(next.whole, next.version)
	if err != nil {
		informer.log(logger.EventTableRejected, "cause", err)
		informer.duties.configurations.Look()
		return
	}
	informer.holder.Apply([]router.Definition{definition}, follower.Reading{})
}

// share answers a peer that asks for a part of the configuration in force.
func (informer *Informer) share(ask *messenger.DefinitionAsk) {
	table := informer.Table()
	if table == nil || table.Version() < ask.Version {
		return
	}
	encoded, err := informer.shared.of(table)
	if err != nil {
		informer.log(logger.EventTableRejected, "cause", err)
		return
	}
	offset := ask.Offset
	if table.Version() > ask.Version || offset < 0 || offset >= len(encoded) {
		offset = 0
	}
	informer.sender.Send(context.Background(), ask.ReplyTo, &messenger.DefinitionPart{
		Version: table.Version(), Offset: offset, Size: len(encoded), Data: encoded[offset:min(offset+partBytes, len(encoded))],
	})
}
