package forwarder

import "limpetcleat/dialer"

// maxDials bounds the upstreams that one request may fail to connect to.
const maxDials = 4

// verdict is what one send came to.
type verdict struct {
	reason Reason
	// notSent means that no byte reached an upstream.
	notSent bool
	// notRun means that the upstream stated that it did not run the request.
	notRun bool
	// misdirected means that another upstream has the address by now.
	misdirected bool
	// presence tells what became of the upstream when the exchange broke off; else empty.
	presence dialer.Presence
}

// mayGoOn tells whether the request may be sent to another upstream.
func (passage *passage) mayGoOn(verdict verdict) bool {
	if verdict.notSent {
		passage.dials++
		return passage.dials < maxDials
	}
	if verdict.misdirected {
		return passage.result.Sends <= passage.rule.MaxAttempts
	}
	if verdict.presence == dialer.Refused && !passage.forwarder.quarantine.MayRepeat(passage.result.Identity) {
		return false
	}
	safe := verdict.notRun || passage.rule.Idempotent()
	return safe && passage.result.Sends < passage.rule.MaxAttempts && passage.stream.mayGoOn()
}
