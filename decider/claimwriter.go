package decider

import (
	"strconv"
	"time"

	"limpetcleat/claimer"
	"limpetcleat/definer"
	"limpetcleat/messenger"
)

const (
	claimWriterComponent = "claimWriter"
	claimsKind           = "claims"
	// maxGone bounds the number of VMs whose ended processes are remembered.
	maxGone = 4096
)

// claimWriter writes the claims of any member to the platform, in batches.
type claimWriter struct {
	*core
	writer *claimer.Writer
	// calls holds the bucket of each unanswered call.
	calls map[uint64]int
	// gone holds the last incarnation of each VM that is known to have ended.
	gone map[definer.VM]definer.Incarnation
	// order holds the VMs of gone, oldest first.
	order []definer.VM
	// settled counts the verdicts sent.
	settled int
}

func newClaimWriter(core *core) *claimWriter {
	claimWriter := &claimWriter{core: core, calls: make(map[uint64]int), gone: make(map[definer.VM]definer.Incarnation)}
	claimWriter.writer = claimer.New(claimWriter, claimer.WithSeed(core.seed))
	return claimWriter
}

func (claimWriter *claimWriter) priority() int { return claimsPriority }

func (claimWriter *claimWriter) handle(event Event) {
	switch event := event.(type) {
	case configurationChanged:
		claimWriter.writer.SetRetention(claimWriter.claimRetention())
	case membersChanged:
		claimWriter.recordGone(event.gone)
	case MessageReceived:
		if ask, ok := event.Message.(*messenger.ClaimAsk); ok {
			claimWriter.submit(claimer.Operation{ClaimAsk: *ask, Holder: event.From})
		}
	case PlatformAnswered:
		claimWriter.handlePlatformAnswer(event)
	case TimerFired:
		if event.Key.Component != claimWriterComponent {
			return
		}
		if bucket, err := strconv.Atoi(event.Key.ID); err == nil {
			claimWriter.writer.HandleTimer(claimWriter.now, bucket)
		}
	}
}

// submit adds a step to the next write and tells the holder of a new claim that
// it is queued.
func (claimWriter *claimWriter) submit(operation claimer.Operation) {
	before := claimWriter.settled
	claimWriter.writer.Submit(claimWriter.now, operation)
	if claimWriter.settled == before && operation.Step == messenger.TakeClaim {
		claimWriter.answer(operation, messenger.ClaimQueued, nil)
	}
}

func (claimWriter *claimWriter) handlePlatformAnswer(event PlatformAnswered) {
	bucket, ok := claimWriter.calls[event.Call]
	if !ok {
		return
	}
	delete(claimWriter.calls, event.Call)
	claimWriter.writer.HandleAnswer(claimWriter.now, bucket, claimer.Answer{
		Result:  claimer.Result(event.Result),
		Version: event.Version,
		Value:   event.Value,
	})
}

// recordGone records processes that have ended.
func (claimWriter *claimWriter) recordGone(gone []definer.Member) {
	for _, member := range gone {
		if _, ok := claimWriter.gone[member.VM]; !ok {
			claimWriter.order = append(claimWriter.order, member.VM)
		}
		claimWriter.gone[member.VM] = max(claimWriter.gone[member.VM], member.Incarnation)
	}
	for len(claimWriter.order) > maxGone {
		delete(claimWriter.gone, claimWriter.order[0])
		claimWriter.order = claimWriter.order[1:]
	}
}

// CallPlatform makes a call for a bucket; the answer goes to the claimer.
func (claimWriter *claimWriter) CallPlatform(call claimer.Call) {
	number := claimWriter.callPlatform(CallPlatform{
		Verb:    PlatformVerb(call.Verb),
		Kind:    claimsKind,
		Name:    call.Name,
		Version: call.Version,
		Value:   call.Value,
	})
	claimWriter.calls[number] = call.Bucket
}

// WakeAt sets the timer of a bucket.
func (claimWriter *claimWriter) WakeAt(bucket int, at time.Time) {
	claimWriter.emit(SetTimer{Key: TimerKey{Component: claimWriterComponent, ID: strconv.Itoa(bucket)}, At: at})
}

// Settle sends the verdict to the holder of a claim.
func (claimWriter *claimWriter) Settle(operation claimer.Operation, verdict messenger.ClaimVerdict, answer *messenger.KeptAnswer) {
	claimWriter.settled++
	claimWriter.answer(operation, verdict, answer)
}

func (claimWriter *claimWriter) answer(operation claimer.Operation, verdict messenger.ClaimVerdict, answer *messenger.KeptAnswer) {
	claimWriter.send(operation.Holder.VM, &messenger.ClaimAnswer{Step: operation.Step, Request: operation.Request, Verdict: verdict, Answer: answer})
}

// Gone reports whether a process is known to have ended.
func (claimWriter *claimWriter) Gone(member definer.Member) bool {
	last, ok := claimWriter.gone[member.VM]
	return ok && member.Incarnation <= last
}
