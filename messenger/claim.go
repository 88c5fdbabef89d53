package messenger

import "limpetcleat/definer"

// ClaimStep is the operation that a ClaimAsk requests on an idempotency key.
type ClaimStep string

const (
	// TakeClaim claims a key for one request, if no other request holds it.
	TakeClaim ClaimStep = "take"
	// FinishClaim records that the request ran, with its answer if that is kept.
	FinishClaim ClaimStep = "finish"
	// AbandonClaim records that it is unknown whether the request ran.
	AbandonClaim ClaimStep = "abandon"
	// FreeClaim releases a key whose request certainly did not run.
	FreeClaim ClaimStep = "free"
)

// KeptAnswer is a complete answer that is stored to be replayed when its request
// is repeated.
type KeptAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// ClaimAsk asks the node that writes the bucket of a key to carry out one step.
// Steps are idempotent, so the message may be sent again, to any member.
type ClaimAsk struct {
	Step ClaimStep
	// KeyHash is the hash of the organisation and its key together.
	KeyHash  string
	BodyHash string
	// Request is the request that claims the key; the sender of the ask holds the claim.
	Request definer.RequestID
	// Answer is set when the answer of a finished request is to be kept.
	Answer *KeptAnswer
}

// ClaimVerdict is the result of a ClaimAsk.
type ClaimVerdict string

const (
	// ClaimGranted says that the request holds the key exclusively.
	ClaimGranted ClaimVerdict = "granted"
	// ClaimQueued says that the writer is alive and that the final verdict follows.
	ClaimQueued ClaimVerdict = "queued"
	// ClaimStored says that the step has been recorded.
	ClaimStored ClaimVerdict = "stored"
	// ClaimInUse says that another request holds the key and is still running.
	ClaimInUse ClaimVerdict = "inUse"
	// ClaimMismatch says that the key was used by a request with a different body.
	ClaimMismatch ClaimVerdict = "mismatch"
	// ClaimReplay says that the request ran and that its answer was kept.
	ClaimReplay ClaimVerdict = "replay"
	// ClaimUnkept says that the request ran and that its answer was not kept.
	ClaimUnkept ClaimVerdict = "unkept"
	// ClaimUnknown says that it is unknown whether the request ran.
	ClaimUnknown ClaimVerdict = "unknown"
	// ClaimFull says that there is no room for another claim.
	ClaimFull ClaimVerdict = "full"
	// ClaimAway says that the platform's store did not answer in time.
	ClaimAway ClaimVerdict = "away"
	// ClaimExpired says that the key is bound to a process and too old to be used.
	ClaimExpired ClaimVerdict = "expired"
)

// ClaimAnswer answers a ClaimAsk.
type ClaimAnswer struct {
	Step    ClaimStep
	Request definer.RequestID
	Verdict ClaimVerdict
	// Answer is set with ClaimReplay.
	Answer *KeptAnswer
}

func (claimAsk *ClaimAsk) place(frame *Frame)       { frame.ClaimAsk = claimAsk }
func (claimAnswer *ClaimAnswer) place(frame *Frame) { frame.ClaimAnswer = claimAnswer }
