package detector_test

import (
	"testing"
	"time"

	"limpetcleat/definer"
	"limpetcleat/messenger"
)

// relayedAnswer is an answer that a helper relayed, and the member that asked for it.
type relayedAnswer struct {
	asker, helper definer.VM
	message       *messenger.HeartbeatAnswer
}

// replay delivers relayed answers again.
func (network *network) replay(answers []relayedAnswer) {
	for _, answer := range answers {
		asker := network.nodes[answer.asker]
		helper := network.nodes[answer.helper].member
		network.process(asker, asker.detector.Receive(network.now, helper, answer.message))
	}
}

// Guards against a member that is taken for alive by late answers to earlier probes, those of an earlier process of
// the asker included.
func TestAnswersToEarlierProbesProveNoLife(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		network := newNetwork(4, 2)
		const lost = definer.VM("dc0-vm1")
		var answers []relayedAnswer
		network.sent = func(from, to *node, message messenger.Message) {
			if answer, ok := message.(*messenger.HeartbeatAnswer); ok && answer.Target == lost && from.member.VM != lost {
				answers = append(answers, relayedAnswer{asker: to.member.VM, helper: from.member.VM, message: answer})
			}
		}
		network.loss = 0.3
		network.run(2 * time.Minute)
		network.sent, network.loss = nil, 0
		if len(answers) == 0 {
			t.Fatal("no probe was relayed")
		}
		if restarts {
			for index, proposal := range network.listed {
				network.start(proposal, definer.Incarnation(1_000_000+100_000*index))
			}
		}
		network.runUntil(t, 5*time.Second, network.converged)
		delete(network.nodes, lost)
		began := network.now
		for !network.converged() {
			if network.now.Sub(began) > 2500*time.Millisecond {
				t.Fatalf("%s counts as alive %v after its end (all restarted: %v)", lost, network.now.Sub(began), restarts)
			}
			network.run(50 * time.Millisecond)
			network.replay(answers)
		}
	}
}
