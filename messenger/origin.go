package messenger

import (
	"time"

	"limpetcleat/definer"
)

// StreamOrigin states which software version of a service began a stream.
type StreamOrigin struct {
	Stream  definer.StreamIdentity
	Service definer.PoolName
	Version definer.SoftwareVersion
	// Lifetime is for how much longer the stream may be taken up.
	Lifetime time.Duration
}

// StreamOrigins reports which versions began streams, so that the receiver can state them when the
// sender has failed.
type StreamOrigins struct {
	Origins []StreamOrigin
}

func (streamOrigins *StreamOrigins) place(frame *Frame) { frame.StreamOrigins = streamOrigins }

// OriginAsk asks a node which version began a stream.
type OriginAsk struct {
	// Number identifies the ask among those of the sender's process.
	Number uint64
	// Stream is empty if the caller did not name the stream; the answer then has no origin.
	Stream definer.StreamIdentity
	// Service is the service whose versions the sender wants to know.
	Service definer.PoolName
	// ReplyTo is the address to which the answer is sent.
	ReplyTo string
}

func (originAsk *OriginAsk) place(frame *Frame) { frame.OriginAsk = originAsk }

// ServiceVersion is a software version of a service's upstreams.
type ServiceVersion struct {
	Version definer.SoftwareVersion
	// Age is how long ago an upstream of this version was listed last; 0 if one is listed.
	Age time.Duration
}

// OriginAnswer is the answer to an OriginAsk.
type OriginAnswer struct {
	Number uint64
	// Origin is nil if the sender does not know the stream.
	Origin *StreamOrigin
	// Listed is for how long the sender has listed versions without a gap.
	Listed time.Duration
	// Versions are those of the service in the ask that the sender lists, or listed recently.
	Versions []ServiceVersion
}

func (originAnswer *OriginAnswer) place(frame *Frame) { frame.OriginAnswer = originAnswer }
