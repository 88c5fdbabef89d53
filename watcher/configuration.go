package watcher

import (
	"bytes"
	"context"
	"encoding/json"

	"limpetcleat/decider"
	"limpetcleat/logger"
	"limpetcleat/messenger"
	"limpetcleat/sectioner"
	"limpetcleat/storer"
)

// configurationWatch is one time of holding the watch on the configuration.
type configurationWatch struct {
	*Watcher
	// listed is set once the head has been read and all changes up to revision
	// are known.
	listed   bool
	revision uint64
	// contents holds the sections of the last head that was delivered, and what
	// has been read of the next, by hash.
	contents map[string][]byte
	backoff  backoff
}

// watchConfiguration delivers each head of the configuration until the context
// ends.
func (watcher *Watcher) watchConfiguration(ctx context.Context) {
	watch := &configurationWatch{Watcher: watcher, contents: make(map[string][]byte)}
	for ctx.Err() == nil {
		err := watch.step(ctx)
		if ctx.Err() != nil {
			return
		}
		watcher.settle(ctx, &watch.backoff, "configuration", err)
	}
}

// settle logs the beginning and the end of an outage and waits after a failure.
func (watcher *Watcher) settle(ctx context.Context, backoff *backoff, what string, err error) {
	switch {
	case err == nil && backoff.away:
		watcher.log(logger.EventPlatformBack, "poll", what)
		fallthrough
	case err == nil:
		backoff.away, backoff.wait = false, 0
		return
	case !backoff.away:
		backoff.away = true
		watcher.log(logger.EventPlatformAway, "poll", what, "cause", err)
	}
	_ = watcher.pause(ctx, backoff.next(err)) // The caller sees the context end.
}

// step reads the head anew or waits for its next change.
func (watch *configurationWatch) step(ctx context.Context) error {
	var items storer.Items
	var err error
	if !watch.listed {
		items, err = watch.platform.List(ctx, sectioner.HeadKind)
	} else {
		items, err = watch.platform.Watch(ctx, sectioner.HeadKind, watch.revision, watch.watchWait)
	}
	if err != nil && storer.KindOf(err) == storer.Gone {
		watch.listed = false
		watch.log(logger.EventWatchBroken, "revision", watch.revision)
		return watch.pause(ctx, jitter(firstBackoff))
	}
	if err != nil {
		return err
	}
	if err := watch.take(ctx, items.Items); err != nil {
		return err
	}
	watch.listed, watch.revision = true, items.Revision
	return nil
}

// take delivers the last head among the items. An unusable one is logged and
// passed over, since only an operator can mend it.
func (watch *configurationWatch) take(ctx context.Context, items []storer.Object) error {
	var latest *storer.Object
	for index := range items {
		if items[index].Name == sectioner.HeadName && !items[index].Deleted {
			latest = &items[index]
		}
	}
	if latest == nil {
		return nil
	}
	head, err := sectioner.ParseHead(latest.Value)
	if err != nil {
		watch.log(logger.EventHeadUnusable, "version", latest.Version, "cause", err)
		return nil
	}
	return watch.fetch(ctx, head)
}

// fetch reads the sections that the last head did not have and delivers all.
func (watch *configurationWatch) fetch(ctx context.Context, head *sectioner.Head) error {
	contents := make(map[string][]byte, len(head.Sections))
	event := decider.ConfigurationFound{Head: decider.ConfigurationHead{Version: head.Version, Sections: head.Sums()}}
	for _, entry := range head.Sections {
		data, ok := watch.contents[entry.Hash]
		if !ok {
			var err error
			if data, err = watch.section(ctx, entry); err != nil {
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

// section reads one section. One that is missing or altered is logged and tried
// again, since the platform may be behind; the core never sees it.
func (watch *configurationWatch) section(ctx context.Context, entry sectioner.Entry) ([]byte, error) {
	object, err := watch.platform.Read(ctx, sectioner.SectionKind, entry.Hash)
	if err != nil && storer.KindOf(err) != storer.Missing {
		return nil, err
	}
	var data bytes.Buffer
	if err == nil {
		err = json.Compact(&data, object.Value)
	}
	if err != nil || sectioner.Hash(data.Bytes()) != entry.Hash {
		err = fail("section", Unusable, "section %s is missing or altered", entry.Name)
		watch.log(logger.EventHeadUnusable, "section", entry.Name, "cause", err)
		return nil, err
	}
	return data.Bytes(), nil
}
