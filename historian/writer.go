package historian

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/sourcegraph/conc/pool"

	"limpetcleat/logger"
	"limpetcleat/registrar"
	"limpetcleat/timer"
)

const (
	// writeInterval is the interval at which due writes are made.
	writeInterval = 50 * time.Millisecond
	// writeTimeout bounds one write, maxWrites those at a time.
	writeTimeout = 500 * time.Millisecond
	maxWrites    = 8
	// firstDelay is how long a node that is not the first to read the store leaves a write to others, and
	// delaySpread over what time more such nodes spread.
	firstDelay  = 220 * time.Millisecond
	delaySpread = 130 * time.Millisecond
	// settledTime is how long a written entry is expected to take until it is read.
	settledTime = 2 * time.Second
	// firstPause and maxPause bound the pause after a round of writes that failed, which doubles.
	firstPause = 200 * time.Millisecond
	maxPause   = 4 * time.Second
)

// Role is a node's role in reading the store for all nodes.
type Role int

const (
	// Bystander is the role of a node that does not read the store.
	Bystander Role = iota
	// Reader is the role of a node that reads the store.
	Reader
	// FirstReader is the role of the first of these.
	FirstReader
)

// Store writes entries to the platform's store.
type Store interface {
	// Create creates an entry; that it exists is no error.
	Create(ctx context.Context, entry *Entry) error
	// Replace replaces the entry, and Remove removes it, if it still has the revision.
	Replace(ctx context.Context, entry *Entry) error
	Remove(ctx context.Context, entry *Entry) error
}

// operation is a kind of write.
type operation string

const (
	create  operation = "create"
	replace operation = "replace"
	remove  operation = "remove"
)

// write is one write that is due.
type write struct {
	operation operation
	entry     Entry
}

// writer holds the state of the writes that are due.
type writer struct {
	// dueSince holds since when each write has been due, by the key of its entry.
	dueSince map[string]time.Time
	// writtenAt holds when entries were last written, within settledTime as of the last write.
	writtenAt map[string]time.Time
	// delay is how long this node leaves writes to others unless it reads first.
	delay time.Duration
	// failures counts the rounds of writes in a row that failed; none is made before resumeAt.
	failures int
	resumeAt time.Time
}

func newWriter() writer {
	return writer{dueSince: make(map[string]time.Time), writtenAt: make(map[string]time.Time), delay: firstDelay}
}

// Run writes entries until the context ends.
func (historian *Historian) Run(ctx context.Context) {
	defer close(historian.done)
	ticker := time.NewTicker(writeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			historian.announceSettled(now)
			historian.writeDue(ctx, now)
		}
	}
}

// writeDue makes the writes that are due and have not been left to other nodes.
func (historian *Historian) writeDue(ctx context.Context, now time.Time) {
	role := historian.role()
	if role == Bystander {
		historian.overdue.Store(false)
		return
	}
	writes := historian.writer.ripe(now, role, historian.due(now))
	historian.overdue.Store(len(writes) > 0)
	writes = historian.writer.unsettled(now, writes)
	if len(writes) == 0 || now.Before(historian.writer.resumeAt) {
		return
	}
	failed := make([]bool, len(writes))
	writers := pool.New().WithMaxGoroutines(maxWrites)
	for index := range writes {
		writers.Go(func() { failed[index] = !historian.write(ctx, &writes[index]) })
	}
	writers.Wait()
	historian.writer.conclude(time.Now(), writes, failed)
	historian.written()
}

// write makes one write and reports whether the store answered it with success.
func (historian *Historian) write(ctx context.Context, write *write) bool {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	var err error
	switch write.operation {
	case create:
		err = historian.store.Create(ctx, &write.entry)
	case replace:
		err = historian.store.Replace(ctx, &write.entry)
	case remove:
		err = historian.store.Remove(ctx, &write.entry)
	}
	historian.log(logger.EventVersionWritten, "service", write.entry.Service, "softwareVersion", write.entry.Version,
		"operation", write.operation, "goneMs", write.entry.GoneFor.Milliseconds(), "revision", write.entry.Revision, "cause", err)
	return err == nil
}

// ripe returns those of the due writes that are not left to other nodes any more.
func (writer *writer) ripe(now time.Time, role Role, due []write) []write {
	dueSince := make(map[string]time.Time, len(due))
	var ripe []write
	for _, write := range due {
		key := write.entry.Key()
		since, waits := writer.dueSince[key]
		if !waits {
			since = now
		}
		dueSince[key] = since
		if role == FirstReader || now.Sub(since) >= writer.delay {
			ripe = append(ripe, write)
		}
	}
	writer.dueSince = dueSince
	return ripe
}

// unsettled returns those of the writes that were not made within settledTime.
func (writer *writer) unsettled(now time.Time, writes []write) []write {
	return slices.DeleteFunc(writes, func(write write) bool { return now.Sub(writer.writtenAt[write.entry.Key()]) < settledTime })
}

// conclude records the outcomes of writes.
func (writer *writer) conclude(now time.Time, writes []write, failed []bool) {
	maps.DeleteFunc(writer.writtenAt, func(_ string, at time.Time) bool { return now.Sub(at) >= settledTime })
	for index, write := range writes {
		if !failed[index] {
			writer.writtenAt[write.entry.Key()] = now
		}
	}
	if slices.Contains(failed, true) {
		writer.resumeAt = now.Add(timer.Doubled(firstPause, maxPause, writer.failures))
		writer.failures++
		return
	}
	writer.failures = 0
}

// due returns the writes that the store needs as far as this node knows; none before the entries have been
// read.
func (historian *Historian) due(now time.Time) []write {
	historian.mutex.RLock()
	defer historian.mutex.RUnlock()
	if !historian.loaded {
		return nil
	}
	return append(historian.dueListed(now), historian.dueGone(now)...)
}

// dueListed returns the writes for versions that are listed. The mutex is held.
func (historian *Historian) dueListed(now time.Time) []write {
	var writes []write
	needed := historian.needed()
	for _, service := range historian.listing.Services() {
		if !needed[service] {
			continue
		}
		for _, listed := range historian.listing.Versions(now, service) {
			entry, recorded := historian.byService[service][listed.Version]
			switch {
			case listed.Age > 0: // Not listed any more.
			case !recorded:
				created := Entry{Service: service, Version: listed.Version}
				created.Settled = historian.isFirst(now, created)
				writes = append(writes, write{create, created})
			case entry.GoneFor > 0:
				writes = append(writes, write{replace, Entry{Service: service, Version: listed.Version, Revision: entry.Revision}})
			case !entry.Settled && !entry.settledAt.After(now):
				writes = append(writes, write{replace, Entry{Service: service, Version: listed.Version, Settled: true, Revision: entry.Revision}})
			}
		}
	}
	return writes
}

// dueGone returns the writes for entries whose versions are not listed. The mutex is held.
func (historian *Historian) dueGone(now time.Time) []write {
	var writes []write
	for service, entries := range historian.byService {
		versions := historian.listing.Versions(now, service)
		for version, entry := range entries {
			goneFor := entry.goneFor(now, listedAt(now, versions, version))
			gone := Entry{Service: service, Version: version, GoneFor: goneFor, Revision: entry.Revision}
			switch {
			case goneFor >= registrar.VersionRetention && entry.GoneFor > 0:
				writes = append(writes, write{remove, gone})
			case goneFor >= registrar.VersionRetention/2 && entry.GoneFor == 0:
				writes = append(writes, write{replace, gone})
			}
		}
	}
	return writes
}
