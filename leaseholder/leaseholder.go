package leaseholder

import (
	"context"
	"encoding/json"
	"time"

	"limpetcleat/definer"
)

const (
	// formatVersion is the version of the claim format that this program writes and reads.
	formatVersion = 1
	// leaseMargin is the share of the lease that is left unused, for a process that is suspended
	// between checking its lease and sending the call.
	leaseMargin = 0.3
	// maxLateness is how late a call without an answer may still be carried out.
	maxLateness = 13 * time.Second
)

// Object is the stored object of a duty.
type Object struct {
	// Revision is the revision of its last change; 0 if the object does not exist.
	Revision uint64
	Content  json.RawMessage
}

// Store stores one object for each duty. Errors are of this package.
type Store interface {
	// Read returns the current object, with revision 0 if there is none.
	Read(ctx context.Context, duty string) (Object, error)
	// Write replaces the object if its revision is still that of the given one, or creates it
	// if that is 0. It returns the new revision. The error is of kind Conflict if the revision
	// differs, Refused if nothing was written, else Unanswered.
	Write(ctx context.Context, duty string, object Object) (uint64, error)
}

// Claim is the stored content of a duty's object.
type Claim[Record any] struct {
	Format int `json:"format"`
	// Holder is the VM that acts, Incarnation that of its process, Attempt the number of the
	// write within the process: the three together identify one write.
	Holder      definer.VM          `json:"holder"`
	Incarnation definer.Incarnation `json:"incarnation"`
	Attempt     uint64              `json:"attempt"`
	// Token grows with each claim, even if the store has lost the last ones: it is at least the
	// time of the claim in milliseconds since 1970.
	Token uint64 `json:"token"`
	// Record is the data that the duty keeps.
	Record Record `json:"record"`
}

// Leaseholder claims one duty for one node. It must be used by a single goroutine.
type Leaseholder[Record any] struct {
	store Store
	duty  string
	self  definer.Member
	lease time.Duration
	// attempt is the number of the latest write.
	attempt uint64
	// current is the claim as last read or written, at the revision; nil if there is none.
	current  *Claim[Record]
	revision uint64
	// isLoaded is set while current and revision may still match the store.
	isLoaded bool
	// acquiredAt is when the write of this node's claim began; zero without a claim.
	acquiredAt time.Time
	// waitsUntil is until when this node leaves the duty to another node that has claimed it.
	waitsUntil time.Time
}

// New returns a Leaseholder of the duty for one process; lease is how long a claim is valid.
func New[Record any](store Store, duty string, self definer.Member, lease time.Duration) *Leaseholder[Record] {
	leaseholder := &Leaseholder[Record]{store: store, duty: duty, self: self, lease: lease}
	// The previous process of this node may have acted until now.
	leaseholder.waitsUntil = time.Now().Add(lease)
	return leaseholder
}

// Current returns the claim as this node last knew it, or nil.
func (leaseholder *Leaseholder[Record]) Current() *Claim[Record] { return leaseholder.current }

// Load reads the claim from the store, unless it is known. The error is of this package.
func (leaseholder *Leaseholder[Record]) Load(ctx context.Context) error {
	if leaseholder.isLoaded {
		return nil
	}
	object, err := leaseholder.store.Read(ctx, leaseholder.duty)
	if err != nil {
		return err
	}
	claim, err := decode[Record](object)
	if err != nil {
		return err
	}
	leaseholder.current, leaseholder.revision, leaseholder.isLoaded = claim, object.Revision, true
	return nil
}

// decode returns the claim in an object, or nil if the object does not exist.
func decode[Record any](object Object) (*Claim[Record], error) {
	if object.Revision == 0 {
		return nil, nil
	}
	claim := &Claim[Record]{}
	if err := json.Unmarshal(object.Content, claim); err != nil {
		return nil, Fail("read", Unreadable, "%w", err)
	}
	if claim.Format != formatVersion || claim.Holder == "" || claim.Token == 0 {
		return nil, Fail("read", Unreadable, "claim has format %d, holder %q and token %d; this version reads format %d", claim.Format, claim.Holder, claim.Token, formatVersion)
	}
	return claim, nil
}

// Acquire claims the duty at now, the true time. It passes the current claim to change, nil if
// there is none; change returns the record to write, or false if there is nothing to do. The
// error is of this package; after one of kind Unanswered the write may still be carried out, and
// the next Acquire reads the store to find out.
func (leaseholder *Leaseholder[Record]) Acquire(ctx context.Context, now time.Time, change func(current *Claim[Record]) (Record, bool)) error {
	leaseholder.acquiredAt = time.Time{}
	if err := leaseholder.Load(ctx); err != nil {
		return err
	}
	if other := leaseholder.isHeldByOther(); other && time.Now().Before(leaseholder.waitsUntil) {
		leaseholder.isLoaded = false
		return Fail("take", HeldByOther, "%s holds %s", leaseholder.current.Holder, leaseholder.duty)
	}
	record, wanted := change(leaseholder.current)
	if !wanted {
		return Fail("take", Unneeded, "nothing to do under a claim")
	}
	leaseholder.attempt++
	claim := &Claim[Record]{
		Format: formatVersion, Holder: leaseholder.self.VM, Incarnation: leaseholder.self.Incarnation,
		Attempt: leaseholder.attempt, Token: uint64(now.UnixMilli()), Record: record,
	}
	if leaseholder.current != nil {
		claim.Token = max(claim.Token, leaseholder.current.Token+1)
	}
	return leaseholder.write(ctx, claim)
}

// isHeldByOther reports whether the known claim is another node's.
func (leaseholder *Leaseholder[Record]) isHeldByOther() bool {
	return leaseholder.current != nil && leaseholder.current.Holder != leaseholder.self.VM
}

// write writes a claim. Without an answer it reads the claim from the store: a claim is valid
// only if it is known to have been written.
func (leaseholder *Leaseholder[Record]) write(ctx context.Context, claim *Claim[Record]) error {
	content, err := json.Marshal(claim)
	if err != nil {
		return Fail("write", Refused, "%w", err)
	}
	began := time.Now()
	revision, err := leaseholder.store.Write(ctx, leaseholder.duty, Object{Revision: leaseholder.revision, Content: content})
	if err == nil {
		leaseholder.current, leaseholder.revision, leaseholder.acquiredAt = claim, revision, began
		return nil
	}
	if IsKind(err, Refused) {
		return err
	}
	leaseholder.isLoaded = false
	if loadErr := leaseholder.Load(ctx); loadErr != nil {
		return err
	}
	if leaseholder.isOwnWrite(claim.Attempt) {
		leaseholder.acquiredAt = began
		return nil
	}
	// The claim has been replaced or is not written yet.
	leaseholder.isLoaded = false
	return err
}

// isOwnWrite reports whether the known claim is this process's write with the given number.
func (leaseholder *Leaseholder[Record]) isOwnWrite(attempt uint64) bool {
	known := leaseholder.current
	return known != nil && known.Holder == leaseholder.self.VM && known.Incarnation == leaseholder.self.Incarnation && known.Attempt == attempt
}

// Token returns the fencing token to act with, or false if this node has no claim or its lease
// may have expired. Call it before each act.
func (leaseholder *Leaseholder[Record]) Token() (uint64, bool) {
	if leaseholder.acquiredAt.IsZero() || leaseholder.current == nil {
		return 0, false
	}
	left := time.Duration((1-leaseMargin)*float64(leaseholder.lease)) - time.Since(leaseholder.acquiredAt)
	return leaseholder.current.Token, left > 0
}

// RecordResult records the result of an act under the claim: nil or an error of this package. It
// extends the time for which this node leaves the duty to another claimant.
func (leaseholder *Leaseholder[Record]) RecordResult(err error) {
	wait := leaseholder.lease
	switch {
	case IsKind(err, Unanswered):
		wait += maxLateness
	case IsKind(err, Outdated):
		leaseholder.Forget()
	}
	if until := time.Now().Add(wait); until.After(leaseholder.waitsUntil) {
		leaseholder.waitsUntil = until
	}
}

// Forget drops the claim; the next Acquire reads the store.
func (leaseholder *Leaseholder[Record]) Forget() {
	leaseholder.isLoaded = false
	leaseholder.acquiredAt = time.Time{}
}
