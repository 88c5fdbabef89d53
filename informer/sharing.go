package informer

import (
	"context"
	"math/bits"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/follower"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/router"
)

// encodedCache holds the encoded form of the configuration in force. It is safe for
// concurrent use.
type encodedCache struct {
	// mutex guards the fields below; no other lock is taken while it is held.
	mutex   sync.Mutex
	version uint64
	encoded []byte
}

// get returns the table's definition in encoded form. The error is of kind Malformed.
func (encodedCache *encodedCache) get(table *router.Table) ([]byte, error) {
	encodedCache.mutex.Lock()
	defer encodedCache.mutex.Unlock()
	if encodedCache.version == table.Version() {
		return encodedCache.encoded, nil
	}
	encoded, err := encode(table.Definition())
	if err == nil {
		encodedCache.version, encodedCache.encoded = table.Version(), encoded
	}
	return encoded, err
}

// fetch obtains a version of the configuration that a peer confirms, unless this node has it. It is requested from
// that peer only if the peer has it too.
func (informer *Informer) fetch(from definer.VM, confirmation *messenger.Confirmation) {
	if confirmation.Version <= informer.version() {
		return
	}
	address, listed := informer.exchanger.PeerAddress(from)
	next := informer.fetcher.requestVersion(time.Now(), offer{
		version: confirmation.Version,
		held:    listed && confirmation.InForce >= confirmation.Version,
		reads:   informer.duties.configurations.On() && !informer.configurations.Failing(),
		fails:   informer.configurations.Failing(),
	})
	if next.ask != nil && bits.OnesCount(uint(next.tries)) == 1 {
		informer.log(logger.EventConfigurationAsked, "node", from, "version", confirmation.Version, "tries", next.tries, "knownMs", next.known.Milliseconds())
	}
	informer.runStep(address, next)
}

// runStep does what a fetchStep says: it reads the store, sends a request to the peer at
// the address, or applies the fetched configuration.
func (informer *Informer) runStep(address string, next fetchStep) {
	if next.readStore {
		informer.duties.configurations.RequestLookup()
	}
	if next.ask != nil {
		informer.sender.Send(context.Background(), address, next.ask)
	}
	if next.encoded == nil {
		return
	}
	definition, err := decode(next.encoded, next.version)
	if err != nil {
		informer.log(logger.EventTableRejected, "cause", err)
		informer.duties.configurations.RequestLookup()
		return
	}
	informer.holder.Apply([]router.Definition{definition}, follower.Reading{})
}

// sendPart sends a part of the configuration in force to the peer that requested it. It
// sends the first part if the version in force is newer than the requested one, or if
// the offset is out of range; it sends nothing if the version in force is older.
func (informer *Informer) sendPart(ask *messenger.DefinitionAsk) {
	table := informer.Table()
	if table == nil || table.Version() < ask.Version {
		return
	}
	encoded, err := informer.encodedCache.get(table)
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
