// Package exchanger tells peers what this node's requests do to the upstreams
// and takes in what theirs do, so that all nodes choose from nearly the same
// picture. Nothing depends on it: a node without reports goes by its own.
package exchanger

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
	"limpetcleat/selector"
)

const (
	// interval is the time between two reports to a peer. Worth on the platform's
	// standard days falls as it grows: 0.715, 0.699, 0.663 and 0.629 at 125, 250,
	// 500 and 1,000 ms; processor time rises as it shrinks.
	interval = 250 * time.Millisecond
	// fanOut bounds the peers that one report goes to; with more peers they are
	// drawn anew each time, and reports stand for those not heard from.
	fanOut = 8
)

// Peer is another node.
type Peer struct {
	VM definer.VM
	// Address is where it takes messages.
	Address string
}

// PeerChange is one change of the list of nodes.
type PeerChange struct {
	Peer    Peer
	Removed bool
}

// Sender sends messages to peers; it never blocks.
type Sender interface {
	Send(ctx context.Context, address string, message messenger.Message)
}

// Exchanger exchanges load reports. It is safe for concurrent use.
type Exchanger struct {
	self     definer.VM
	selector *selector.Selector
	sender   Sender
	// mutex guards peers; no other lock is taken under it.
	mutex sync.Mutex
	// peers holds the other nodes by name.
	peers map[definer.VM]Peer
}

// New returns an exchanger that knows no peers yet.
func New(self definer.VM, selector *selector.Selector, sender Sender) *Exchanger {
	return &Exchanger{self: self, selector: selector, sender: sender, peers: make(map[definer.VM]Peer)}
}

// Replace takes in the whole list of nodes.
func (exchanger *Exchanger) Replace(list []Peer, _ bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	exchanger.peers = make(map[definer.VM]Peer, len(list))
	for _, peer := range list {
		exchanger.put(peer)
	}
}

// Apply takes in changes of the list.
func (exchanger *Exchanger) Apply(changes []PeerChange, _ bool) {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	for _, change := range changes {
		if change.Removed {
			delete(exchanger.peers, change.Peer.VM)
			continue
		}
		exchanger.put(change.Peer)
	}
}

// put takes in a node; mutex is held.
func (exchanger *Exchanger) put(peer Peer) {
	if peer.VM != exchanger.self {
		exchanger.peers[peer.VM] = peer
	}
}

// Receive takes in a message from a peer.
func (exchanger *Exchanger) Receive(from definer.Member, _ definer.DataCentre, message messenger.Message) {
	if report, ok := message.(*messenger.LoadReport); ok {
		exchanger.selector.Learn(time.Now(), from.VM, report, exchanger.Count())
	}
}

// Count returns how many peers are listed.
func (exchanger *Exchanger) Count() int {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	return len(exchanger.peers)
}

// Run sends reports until the context ends.
func (exchanger *Exchanger) Run(ctx context.Context) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			exchanger.tell(ctx, now)
		}
	}
}

// tell sends this node's report to some peers.
func (exchanger *Exchanger) tell(ctx context.Context, now time.Time) {
	targets := exchanger.targets()
	if len(targets) == 0 {
		return
	}
	report := exchanger.selector.Report(now)
	for _, peer := range targets {
		exchanger.sender.Send(ctx, peer.Address, report)
	}
}

// targets draws the peers that the next report goes to.
func (exchanger *Exchanger) targets() []Peer {
	exchanger.mutex.Lock()
	defer exchanger.mutex.Unlock()
	targets := make([]Peer, 0, len(exchanger.peers))
	for _, peer := range exchanger.peers {
		targets = append(targets, peer)
	}
	rand.Shuffle(len(targets), func(left, right int) { targets[left], targets[right] = targets[right], targets[left] })
	return targets[:min(len(targets), fanOut)]
}
