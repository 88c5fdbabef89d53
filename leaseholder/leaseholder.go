package leaseholder

import (
	"context"
	"encoding/json"
	"time"

	"limpetcleat/definer"
)

const (
	// claimFormat is the version of the claims that this program writes and reads.
	claimFormat = 1
	// leaseMargin is the part of the lease that is left unused, for a process that is held
	// up between looking at its right and the call's leaving it.
	leaseMargin = 0.3
	// lateness is how late a call that got no answer may still be carried out.
	lateness = 13 * time.Second
)

// Object is what the platform's store keeps of a duty.
type Object struct {
	// Revision is that of its last change; 0 is none, as of an object that is not there.
	Revision uint64
	Content  json.RawMessage
}

// Shelf keeps one object for each duty. Errors are of this package.
type Shelf interface {
	// Read returns the object as it stands, of revision 0 if there is none.
	Read(ctx context.Context, duty string) (Object, error)
	// Write replaces the object if it still has the revision of the one given, or creates
	// it if that is 0. It returns the new revision. The error is of kind Conflict if
	// another stands there, Refused if nothing was written, else Unanswered.
	Write(ctx context.Context, duty string, object Object) (uint64, error)
}

// Claim is what is written of a duty.
type Claim[Record any] struct {
	Format int `json:"format"`
	// Holder is the VM that acts, Incarnation that of its process, Attempt the number of
	// the write within it: the three name one write.
	Holder      definer.VM          `json:"holder"`
	Incarnation definer.Incarnation `json:"incarnation"`
	Attempt     uint64              `json:"attempt"`
	// Token grows with each claim, also behind a store that lost the last ones: it is at
	// least the time of the claim in milliseconds since 1970.
	Token uint64 `json:"token"`
	// Record is what the duty keeps.
	Record Record `json:"record"`
}

// Leaseholder claims one duty for one node. One goroutine owns it.
type Leaseholder[Record any] struct {
	shelf Shelf
	duty  string
	self  definer.Member
	lease time.Duration
	// attempt is the number of the latest write.
	attempt uint64
	// known is the claim as it was last read or written, at the revision; nil is none.
	known    *Claim[Record]
	revision uint64
	// isKnown is set while these may still be what stands there.
	isKnown bool
	// grantedAt is when the write that gave this node its claim began; zero without one.
	grantedAt time.Time
	// restsUntil is until when it leaves the duty to another node that has claimed it.
	restsUntil time.Time
}

// New returns a Leaseholder of the duty for one process. A lease is how long a claim holds.
func New[Record any](shelf Shelf, duty string, self definer.Member, lease time.Duration) *Leaseholder[Record] {
	leaseholder := &Leaseholder[Record]{shelf: shelf, duty: duty, self: self, lease: lease}
	// The process before may have acted until now.
	leaseholder.restsUntil = time.Now().Add(lease)
	return leaseholder
}

// Standing returns the claim as this node last knew it, or nil.
func (leaseholder *Leaseholder[Record]) Standing() *Claim[Record] { return leaseholder.known }

// Look reads the claim, unless it is known. The error is of this package.
func (leaseholder *Leaseholder[Record]) Look(ctx context.Context) error {
	if leaseholder.isKnown {
		return nil
	}
	object, err := leaseholder.shelf.Read(ctx, leaseholder.duty)
	if err != nil {
		return err
	}
	claim, err := decode[Record](object)
	if err != nil {
		return err
	}
	leaseholder.known, leaseholder.revision, leaseholder.isKnown = claim, object.Revision, true
	return nil
}

// decode returns the claim in an object, nil if there is no object.
func decode[Record any](object Object) (*Claim[Record], error) {
	if object.Revision == 0 {
		return nil, nil
	}
	claim := &Claim[Record]{}
	if err := json.Unmarshal(object.Content, claim); err != nil {
		return nil, Fail("read", Unreadable, "%w", err)
	}
	if claim.Format != claimFormat || claim.Holder == "" || claim.Token == 0 {
		return nil, Fail("read", Unreadable, "format %d of holder %q with token %d; known is format %d", claim.Format, claim.Holder, claim.Token, claimFormat)
	}
	return claim, nil
}

// Take claims the duty at the true time. Change is handed the claim that stands, nil for
// none, and returns the record to write, or false if nothing is to be done. The error is of
// this package; after one of kind Unanswered the write may still be carried out, and the
// next Take finds out.
func (leaseholder *Leaseholder[Record]) Take(ctx context.Context, now time.Time, change func(standing *Claim[Record]) (Record, bool)) error {
	leaseholder.grantedAt = time.Time{}
	if err := leaseholder.Look(ctx); err != nil {
		return err
	}
	if other := leaseholder.isOthers(); other && time.Now().Before(leaseholder.restsUntil) {
		leaseholder.isKnown = false
		return Fail("take", Resting, "%s holds %s", leaseholder.known.Holder, leaseholder.duty)
	}
	record, wanted := change(leaseholder.known)
	if !wanted {
		return Fail("take", Needless, "nothing to be done")
	}
	leaseholder.attempt++
	claim := &Claim[Record]{
		Format: claimFormat, Holder: leaseholder.self.VM, Incarnation: leaseholder.self.Incarnation,
		Attempt: leaseholder.attempt, Token: uint64(now.UnixMilli()), Record: record,
	}
	if leaseholder.known != nil {
		claim.Token = max(claim.Token, leaseholder.known.Token+1)
	}
	return leaseholder.write(ctx, claim)
}

// isOthers tells whether the claim that is known is another node's.
func (leaseholder *Leaseholder[Record]) isOthers() bool {
	return leaseholder.known != nil && leaseholder.known.Holder != leaseholder.self.VM
}

// write writes a claim, and reads what stands there if that gets no answer: only a claim
// that is known to have been written counts.
func (leaseholder *Leaseholder[Record]) write(ctx context.Context, claim *Claim[Record]) error {
	content, err := json.Marshal(claim)
	if err != nil {
		return Fail("write", Refused, "%w", err)
	}
	began := time.Now()
	revision, err := leaseholder.shelf.Write(ctx, leaseholder.duty, Object{Revision: leaseholder.revision, Content: content})
	if err == nil {
		leaseholder.known, leaseholder.revision, leaseholder.grantedAt = claim, revision, began
		return nil
	}
	if IsKind(err, Refused) {
		return err
	}
	leaseholder.isKnown = false
	if lookErr := leaseholder.Look(ctx); lookErr != nil {
		return err
	}
	if leaseholder.isOwn(claim.Attempt) {
		leaseholder.grantedAt = began
		return nil
	}
	// It stands there no more, or not yet.
	leaseholder.isKnown = false
	return err
}

// isOwn tells whether the claim that is known is the write of this process of the number.
func (leaseholder *Leaseholder[Record]) isOwn(attempt uint64) bool {
	known := leaseholder.known
	return known != nil && known.Holder == leaseholder.self.VM && known.Incarnation == leaseholder.self.Incarnation && known.Attempt == attempt
}

// Token returns the fencing token to act with, or false if this node has no claim or its
// lease may be over. It is asked before each act.
func (leaseholder *Leaseholder[Record]) Token() (uint64, bool) {
	if leaseholder.grantedAt.IsZero() || leaseholder.known == nil {
		return 0, false
	}
	left := time.Duration((1-leaseMargin)*float64(leaseholder.lease)) - time.Since(leaseholder.grantedAt)
	return leaseholder.known.Token, left > 0
}

// Acted takes in how an act under the claim ended: with nil, or an error of this package.
func (leaseholder *Leaseholder[Record]) Acted(err error) {
	rest := leaseholder.lease
	switch {
	case IsKind(err, Unanswered):
		rest += lateness
	case IsKind(err, Outdated):
		leaseholder.Forget()
	}
	if until := time.Now().Add(rest); until.After(leaseholder.restsUntil) {
		leaseholder.restsUntil = until
	}
}

// Forget gives the claim up; the next Take reads what stands there.
func (leaseholder *Leaseholder[Record]) Forget() {
	leaseholder.isKnown = false
	leaseholder.grantedAt = time.Time{}
}
