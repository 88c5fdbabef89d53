package messenger

import "limpetcleat/definer"

// ClaimStep tells what is to be done with the claim on a key.
type ClaimStep string

const (
	// TakeClaim claims a key for one request, if nobody has it.
	TakeClaim ClaimStep = "take"
	// FinishClaim notes that the request ran, with its answer if it is kept.
	FinishClaim ClaimStep = "finish"
	// AbandonClaim notes that nobody knows whether the request ran.
	AbandonClaim ClaimStep = "abandon"
	// FreeClaim gives a key back whose request provably did not run.
	FreeClaim ClaimStep = "free"
)

// KeptAnswer is a whole answer that is kept for repeats of its request.
type KeptAnswer struct {
	Status int                 `json:"status"`
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
}

// ClaimAsk asks the writer of a key's bucket to carry out one step. It may be
// sent again, to any member: a step taken twice has the effect of one.
type ClaimAsk struct {
	Step ClaimStep
	// KeyHash is that of the organisation and its key together.
	KeyHash  string
	BodyHash string
	// Request is the one that claims; its sender is the claim's holder.
	Request definer.RequestID
	// Answer is set when a finished request's answer is kept.
	Answer *KeptAnswer
}

// ClaimVerdict tells what became of a ClaimAsk.
type ClaimVerdict string

const (
	// ClaimGranted says that the key is the request's, and nobody else's.
	ClaimGranted ClaimVerdict = "granted"
	// ClaimQueued says that the writer lives and that a verdict follows.
	ClaimQueued ClaimVerdict = "queued"
	// ClaimStored says that the step is noted.
	ClaimStored ClaimVerdict = "stored"
	// ClaimInUse says that another request holds the key and is under way.
	ClaimInUse ClaimVerdict = "inUse"
	// ClaimMismatch says that the key belongs to a request of another body.
	ClaimMismatch ClaimVerdict = "mismatch"
	// ClaimReplay says that the request ran and that its answer was kept.
	ClaimReplay ClaimVerdict = "replay"
	// ClaimUnkept says that the request ran and that its answer was not kept.
	ClaimUnkept ClaimVerdict = "unkept"
	// ClaimUnknown says that nobody knows whether the request ran.
	ClaimUnknown ClaimVerdict = "unknown"
	// ClaimFull says that there is no room for another claim.
	ClaimFull ClaimVerdict = "full"
	// ClaimAway says that the platform did not answer in time.
	ClaimAway ClaimVerdict = "away"
	// ClaimExpired says that a key bound to a process is too old.
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
