package chronicler

// Position describes to other nodes what a node has, and what it asks for.
type Position struct {
	// UpTo is the revision up to which the node has all changes, 0 if it has none.
	UpTo uint64
	// Reached is the revision of the newest change after UpTo that the node has, 0 for none; others may be missing
	// between the two. Ahead is the digest of those that it has.
	Reached uint64
	Ahead   uint64
	// Live is the digest of all entries; 0 if UpTo is, if some may be missing that changed after it, or if the node
	// asks for all entries.
	Live uint64
	// Snapshot is one more than the revision up to which the node has received all entries again, 0 if it does not
	// receive them. Forgotten is the revision up to which removals need not be sent then.
	Snapshot  uint64
	Forgotten uint64
	// Review is one more than the revision after which the node asks for entries that it has already, 0 if it does
	// not.
	Review uint64
	// Disagrees is set if it asks because a peer has other entries; those with the same ones have nothing to add.
	Disagrees bool
}

// Excerpt is a range of a change log: a node that has all changes up to From has those up
// to To after applying it. It holds the last change of each entry alone, so an entry that
// changed again after To is not part of it but of a later excerpt.
type Excerpt[Entry any] struct {
	From, To uint64
	// After is the revision after which the records begin, at least From. The node has the changes between From and
	// After if their digest is Ahead.
	After uint64
	Ahead uint64
	// Forgotten is the revision up to which removals may be missing: a node that has
	// the changes up to an earlier revision only needs all entries again.
	Forgotten uint64
	// Records are sorted by revision. Those after To are followed by others between To and them if the sender's
	// reading of the store lags.
	Records []Record[Entry]
	// Known is the revision up to which the sender has all changes, More is set if it has later records than these.
	// Excerpts that start at 0 are complete only once they reach Known without more, since entries that changed
	// meanwhile are left out until then.
	Known uint64
	More  bool
	// Review is set if the receiver has these changes, and asked for them to compare its own.
	Review bool
	// Live is the digest of the sender's entries if the receiver may have some whose removal the sender has dropped.
	// A receiver with the same entries has all changes up to To. Behind is set if the receiver's entries differ:
	// Records are what it may lack.
	Live   uint64
	Behind bool
}

// review is the reading of what peers know of entries that a log has already: after its first list, which does not show
// what was written before, and after disagreements. It lasts until from has reached to.
type review struct {
	from, to uint64
	// disagrees is set after a disagreement.
	disagrees bool
}

// lasts reports whether peers are asked.
func (review review) lasts() bool { return review.from < review.to }

// disagreement counts how often peers with the same position had other entries than this log in its present state.
type disagreement struct {
	revision uint64
	live     uint64
	count    int
}

// maxDisagreements is the number of reports of peers after which their entries are asked for. Fewer may come of
// messages that overtake each other.
const maxDisagreements = 8

// Position returns the position from which other nodes should send changes.
func (chronicler *Chronicler[Entry]) Position() Position {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	position := Position{UpTo: current.revision}
	position.Reached, position.Ahead = current.ahead()
	if current.revision > 0 && current.compactedTo <= current.revision && !current.partial && !chronicler.wantsAll() {
		position.Live = current.liveDigest()
	}
	if replacement := chronicler.replacement; replacement != nil {
		position.Snapshot, position.Forgotten = replacement.revision+1, replacement.compactedTo
	}
	if chronicler.review.lasts() {
		position.Review, position.Disagrees = chronicler.review.from+1, chronicler.review.disagrees
	}
	return position
}

// Compare compares the log with the position of a peer. Of two logs with all changes up to the same revision, neither
// has an entry that the other lacks. If peers with other entries have reported their position again and again, they are
// asked for all of them, and Compare reports true, once for each state of this log.
func (chronicler *Chronicler[Entry]) Compare(position Position) bool {
	own := chronicler.Position()
	if own.Live == 0 || position.Live == 0 || own.Live == position.Live || own.Review > 0 {
		return false
	}
	if own.UpTo != position.UpTo || own.Reached != position.Reached || own.Ahead != position.Ahead {
		return false
	}
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	if state := &chronicler.disagreement; state.revision != own.UpTo || state.live != own.Live {
		*state = disagreement{revision: own.UpTo, live: own.Live}
	}
	chronicler.disagreement.count++
	if chronicler.disagreement.count != maxDisagreements {
		return false
	}
	chronicler.review = review{from: 0, to: own.UpTo, disagrees: true}
	return true
}

// ApplyExcerpt applies an excerpt from a peer. An excerpt that begins after what is known leaves a
// gap and changes nothing.
func (chronicler *Chronicler[Entry]) ApplyExcerpt(excerpt Excerpt[Entry]) Reading[Entry] {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	switch {
	case excerpt.Review:
		return chronicler.applyReview(excerpt)
	case excerpt.Behind:
		return chronicler.applyBehind(excerpt)
	case excerpt.Live != 0:
		if !current.partial && current.liveDigest() == excerpt.Live {
			chronicler.replacement = nil
			current.revision = max(current.revision, excerpt.To)
			current.compactedTo = max(current.compactedTo, excerpt.Forgotten)
		}
		return Reading[Entry]{}
	case current.revision == 0 || excerpt.From > current.revision || excerpt.Forgotten > current.revision:
		return chronicler.receiveSnapshot(excerpt)
	case excerpt.To > excerpt.From:
		chronicler.replacement = nil
	}
	return Reading[Entry]{Records: current.addExcerpt(excerpt)}
}

// wantsAll reports whether this log needs all entries from a peer; mutex is held.
func (chronicler *Chronicler[Entry]) wantsAll() bool {
	return chronicler.allWantedAt > 0 && chronicler.allWantedAt == chronicler.current.revision
}

// applyBehind applies what a peer has that dropped removals after this log's revision; mutex is held.
func (chronicler *Chronicler[Entry]) applyBehind(excerpt Excerpt[Entry]) Reading[Entry] {
	current := chronicler.current
	if excerpt.From > current.revision {
		return Reading[Entry]{}
	}
	changed := current.add(excerpt.Records, current.revision)
	newest, _ := current.ahead()
	if newest <= excerpt.Known && (excerpt.More && len(changed) == 0 || !excerpt.More && current.liveDigest() != excerpt.Live) {
		// The peer's records do not make the entries the same, so that a removal is missing.
		chronicler.allWantedAt = current.revision
	}
	return Reading[Entry]{Records: changed}
}

// applyReview applies what a peer knows of entries that this log has; mutex is held.
func (chronicler *Chronicler[Entry]) applyReview(excerpt Excerpt[Entry]) Reading[Entry] {
	current, review := chronicler.current, &chronicler.review
	if !review.lasts() || excerpt.From > review.from {
		return Reading[Entry]{}
	}
	review.from = max(review.from, excerpt.To)
	joined := current.join(excerpt.Records)
	return Reading[Entry]{Records: append(joined, current.add(excerpt.Records, current.revision)...)}
}

// receiveSnapshot adds an excerpt to the log that is received from the beginning; mutex is
// held.
func (chronicler *Chronicler[Entry]) receiveSnapshot(excerpt Excerpt[Entry]) Reading[Entry] {
	if excerpt.From == 0 {
		chronicler.replacement = newChangeLog(chronicler.succession)
		chronicler.replacement.compactedTo = excerpt.Forgotten
		chronicler.completeAt = 0
	}
	replacement := chronicler.replacement
	if replacement == nil || excerpt.From > replacement.revision || !replacement.continuesWith(excerpt) {
		return Reading[Entry]{}
	}
	replacement.addExcerpt(excerpt)
	chronicler.completeAt = max(chronicler.completeAt, excerpt.Known)
	if replacement.revision < chronicler.completeAt || replacement.partial {
		return Reading[Entry]{}
	}
	chronicler.replacement = nil
	if replacement.revision < chronicler.current.revision {
		return Reading[Entry]{}
	}
	replacement.inherit(chronicler.current)
	chronicler.current, chronicler.review, chronicler.allWantedAt = replacement, review{}, 0
	return Reading[Entry]{Full: true, All: replacement.live()}
}

// ExcerptAfter returns the first records that a node at the position lacks, or from the beginning if removals
// since then were dropped. It returns at most limit records, but never divides those of one
// revision. It reports false if there is nothing to send.
func (chronicler *Chronicler[Entry]) ExcerptAfter(position Position, limit int) (Excerpt[Entry], bool) {
	chronicler.mutex.Lock()
	defer chronicler.mutex.Unlock()
	current := chronicler.current
	switch {
	case current.revision == 0:
		return Excerpt[Entry]{}, false
	case position.UpTo >= current.compactedTo && position.UpTo > 0:
		return current.excerptFor(position, limit)
	case position.Live == 0:
		return current.snapshotAfter(position, limit)
	case position.Live == current.liveDigest() && !current.partial:
		return Excerpt[Entry]{From: position.UpTo, To: current.revision, Forgotten: current.compactedTo, Known: current.revision, Live: position.Live}, true
	}
	excerpt := current.excerptAfter(position, limit)
	switch {
	case len(excerpt.Records) > 0:
		// The node may lack no more than these, although it may have missed removals that were dropped.
		excerpt.To, excerpt.Forgotten, excerpt.Behind, excerpt.Live = excerpt.From, 0, true, current.liveDigest()
		return excerpt, true
	case position.Reached > current.revision:
		return Excerpt[Entry]{}, false
	}
	return current.snapshotAfter(position, limit)
}

// excerptFor returns what a node lacks that has missed no dropped removal, or what it asked for to compare its own.
func (changeLog *changeLog[Entry]) excerptFor(position Position, limit int) (Excerpt[Entry], bool) {
	excerpt := changeLog.excerptAfter(position, limit)
	if position.UpTo < changeLog.revision || len(excerpt.Records) > 0 {
		return excerpt, true
	}
	addsNothing := position.Disagrees && position.Live == changeLog.liveDigest()
	if position.Review == 0 || position.UpTo > changeLog.revision || addsNothing {
		return Excerpt[Entry]{}, false
	}
	excerpt = changeLog.excerptAfter(Position{UpTo: position.Review - 1}, limit)
	excerpt.Review = true
	return excerpt, true
}

// snapshotAfter returns the next records for a node that receives all entries again.
func (changeLog *changeLog[Entry]) snapshotAfter(position Position, limit int) (Excerpt[Entry], bool) {
	if position.Forgotten > changeLog.revision {
		return Excerpt[Entry]{}, false
	}
	var received uint64
	if position.Snapshot > 0 && max(position.Snapshot-1, position.Forgotten) >= changeLog.compactedTo {
		received = position.Snapshot - 1
	}
	excerpt := changeLog.excerptAfter(Position{UpTo: received}, limit)
	if excerpt.More && excerpt.To == changeLog.revision {
		// A page does not end between changes after it: the next one would begin with them again.
		excerpt.Records, excerpt.More = changeLog.after(received), false
	}
	return excerpt, true
}

// addExcerpt applies an excerpt that begins at or before the revision, and returns the changes that are new.
func (changeLog *changeLog[Entry]) addExcerpt(excerpt Excerpt[Entry]) []Record[Entry] {
	lacksEarlier := excerpt.After > excerpt.From && changeLog.between(excerpt.From, excerpt.After) != excerpt.Ahead
	if lacksEarlier || excerpt.To <= excerpt.From {
		return changeLog.add(excerpt.Records, changeLog.revision)
	}
	if excerpt.More || excerpt.To >= changeLog.revision {
		changeLog.partial = excerpt.More
	}
	return changeLog.add(excerpt.Records, excerpt.To)
}

// continuesWith reports whether the excerpt continues a log that is received from the
// beginning: its sender still has each removal that was not sent yet, and has the changes
// up to the revision below which removals need not be sent.
func (changeLog *changeLog[Entry]) continuesWith(excerpt Excerpt[Entry]) bool {
	return excerpt.Forgotten <= max(changeLog.revision, changeLog.compactedTo) && excerpt.Known >= changeLog.compactedTo
}

// excerptAfter returns an excerpt with the first records that a node at the position lacks; limit is that
// of pageEnd.
func (changeLog *changeLog[Entry]) excerptAfter(position Position, limit int) Excerpt[Entry] {
	excerpt := Excerpt[Entry]{From: position.UpTo, After: position.UpTo, To: changeLog.revision, Forgotten: changeLog.compactedTo, Known: changeLog.revision}
	if position.Reached > position.UpTo && changeLog.between(position.UpTo, position.Reached) == position.Ahead {
		excerpt.After, excerpt.Ahead = position.Reached, position.Ahead
	}
	excerpt.Records = changeLog.after(excerpt.After)
	if end := pageEnd(excerpt.Records, limit); end < len(excerpt.Records) {
		excerpt.Records, excerpt.More = excerpt.Records[:end], true
		excerpt.To = min(excerpt.Records[end-1].Revision, changeLog.revision)
	}
	return excerpt
}

// pageEnd returns the end of a page of at most limit records, or of more if it would divide
// records of one revision: all removals that a list shows have that of the list.
func pageEnd[Entry any](records []Record[Entry], limit int) int {
	end := min(limit, len(records))
	for end > 0 && end < len(records) && records[end].Revision == records[end-1].Revision {
		end++
	}
	return end
}
