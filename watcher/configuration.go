package watcher

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"limpetcleat/decider"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// configurationWatch is the state of watching the configuration, from the time this
// node is given the watch to the time it is taken away.
type configurationWatch struct {
	*Watcher
	// listed reports whether the head has been listed, so that all changes up to
	// revision are known and watching can continue from there.
	listed   bool
	revision uint64
	// listAt is when the head is listed again.
	listAt time.Time
	// delivered is the version of the object that was delivered last.
	delivered uint64
	// contents holds, by hash, the sections of the last head that was delivered and
	// those already read of the next head.
	contents map[string][]byte
	backoff  backoff
}

// watchConfiguration delivers each new head of the configuration, with its sections,
// until the context ends.
func (watcher *Watcher) watchConfiguration(ctx context.Context) {
	watch := &configurationWatch{Watcher: watcher, contents: make(map[string][]byte)}
	for ctx.Err() == nil {
		err := watch.step(ctx)
		if ctx.Err() != nil {
			return
		}
		watcher.handleResult(ctx, &watch.backoff, "configuration", err)
	}
}

// handleResult logs the beginning and the end of an outage, and waits after a failure
// for the time that backoff gives. The argument what names the poll in the log.
func (watcher *Watcher) handleResult(ctx context.Context, backoff *backoff, what string, err error) {
	switch {
	case err == nil && backoff.failing:
		watcher.log(logger.EventPlatformBack, "poll", what)
		fallthrough
	case err == nil:
		backoff.failing, backoff.wait = false, 0
		return
	case !backoff.failing:
		backoff.failing = true
		watcher.log(logger.EventPlatformAway, "poll", what, "cause", err)
	}
	_ = watcher.pause(ctx, backoff.next(err)) // The caller checks the context.
}

// step lists the head, or waits for its next change if it has been listed. If the
// platform's history no longer covers the revision, the next step lists again. An answer to a
// watch may lack changes up to the revision that it names, which a later list shows.
func (watch *configurationWatch) step(ctx context.Context) error {
	var items storer.Items
	var err error
	left := time.Until(watch.listAt)
	lists := !watch.listed || left <= 0
	if lists {
		items, err = watch.platform.List(ctx, sectioner.HeadKind)
	} else {
		items, err = watch.platform.Watch(ctx, sectioner.HeadKind, watch.revision, min(watch.watchWait, left))
	}
	if err != nil && storer.KindOf(err) == storer.Gone {
		watch.listed = false
		watch.log(logger.EventWatchBroken, "revision", watch.revision)
		return watch.pause(ctx, jitter(firstBackoff))
	}
	if err != nil {
		return err
	}
	if err := watch.deliverLatest(ctx, items.Items); err != nil {
		return err
	}
	watch.listed, watch.revision = true, items.Revision
	switch {
	case lists:
		watch.listAt = time.Now().Add(watch.checkInterval)
	case len(items.Items) > 0:
		watch.listAt = time.Now().Add(min(settleDelay, watch.checkInterval))
	}
	return nil
}

// deliverLatest delivers the latest head among the items. A head that cannot be parsed
// is logged and skipped, since only an operator can repair it.
func (watch *configurationWatch) deliverLatest(ctx context.Context, items []storer.Object) error {
	var latest *storer.Object
	for index := range items {
		if items[index].Name == sectioner.HeadName && !items[index].Deleted {
			latest = &items[index]
		}
	}
	if latest == nil || latest.Version == watch.delivered {
		return nil
	}
	head, err := sectioner.ParseHead(latest.Value)
	if err != nil {
		watch.log(logger.EventHeadUnusable, "version", latest.Version, "cause", err)
		return nil
	}
	if err := watch.deliverHead(ctx, head); err != nil {
		return err
	}
	watch.delivered = latest.Version
	return nil
}

// deliverHead reads the sections that are not yet in contents and delivers the head
// with all of its sections.
func (watch *configurationWatch) deliverHead(ctx context.Context, head *sectioner.Head) error {
	contents := make(map[string][]byte, len(head.Sections))
	event := decider.ConfigurationFound{Head: decider.ConfigurationHead{Version: head.Version, Sections: head.Sums()}}
	for _, entry := range head.Sections {
		data, ok := watch.contents[entry.Hash]
		if !ok {
			var err error
			if data, err = watch.readSection(ctx, entry); err != nil {
				return err
			}
			watch.contents[entry.Hash] = data
		}
		contents[entry.Hash] = data
		event.Contents = append(event.Contents, messenger.Section{Hash: entry.Hash, Data: data})
	}
	watch.contents = contents
	watch.deliver(event)
	return nil
}

// readSection reads a section and checks it against its hash. A section that is missing
// or does not match is logged and returned as an error, so that the caller tries again:
// the platform's data may lag. The head is not delivered until all sections match.
func (watch *configurationWatch) readSection(ctx context.Context, entry sectioner.Entry) ([]byte, error) {
	object, err := watch.platform.Read(ctx, sectioner.SectionKind, entry.Hash)
	if err != nil && storer.KindOf(err) != storer.Missing {
		return nil, err
	}
	var data bytes.Buffer
	if err == nil {
		err = json.Compact(&data, object.Value)
	}
	if err != nil || sectioner.Hash(data.Bytes()) != entry.Hash {
		err = fail("section", Unusable, "section %s is missing or does not match its hash", entry.Name)
		watch.log(logger.EventHeadUnusable, "section", entry.Name, "cause", err)
		return nil, err
	}
	return data.Bytes(), nil
}
