package editor_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/sectioner"
	"limpetcleat/standin/platform"
	"limpetcleat/storer"
)

var clock = time.Date(2026, 3, 4, 10, 0, 0, 0, time.UTC) //nolint:gochecknoglobals // The time of every edit.

// fixture is a simulated platform and a client of it, whose writes of the head a
// test can delay or fail.
type fixture struct {
	t *testing.T
	*storer.Storer
	url string
	// beforeHead runs once before the next write of the head.
	beforeHead func()
	// loseAfter and loseBefore are the numbers of further writes of the head whose
	// answer is lost, after taking effect and without taking effect.
	loseAfter, loseBefore int
}

func newFixture(t *testing.T) *fixture {
	standin := platform.New()
	server := httptest.NewServer(standin.Handler())
	t.Cleanup(func() {
		assert.NilError(t, standin.Close())
		server.Close()
	})
	return &fixture{t: t, url: server.URL, Storer: storer.New([]string{strings.TrimPrefix(server.URL, "http://")}, "")}
}

func (fixture *fixture) Update(ctx context.Context, kind, name string, version uint64, value []byte) (storer.Object, error) {
	if kind == sectioner.HeadKind {
		if step := fixture.beforeHead; step != nil {
			fixture.beforeHead = nil
			step()
		}
		if fixture.loseBefore > 0 {
			fixture.loseBefore--
			return storer.Object{}, fmt.Errorf("no answer")
		}
	}
	object, err := fixture.Storer.Update(ctx, kind, name, version, value)
	if kind == sectioner.HeadKind && fixture.loseAfter > 0 {
		fixture.loseAfter--
		return storer.Object{}, fmt.Errorf("no answer")
	}
	return object, err
}

func (fixture *fixture) editor(name string) *editor.Editor {
	pause := func(ctx context.Context, _ time.Duration) error { return ctx.Err() }
	return editor.New(fixture, name, editor.WithPause(pause), editor.WithClock(func() time.Time { return clock }))
}

func (fixture *fixture) edit(name string, base uint64, document definer.Document) (*editor.Version, error) {
	return fixture.editor(name).Edit(context.Background(), editor.Replace(base, "by "+name, document))
}

func (fixture *fixture) load() *editor.Version {
	version, err := fixture.editor("reader").Load(context.Background())
	assert.NilError(fixture.t, err)
	return version
}

func (fixture *fixture) setFaults(body string) {
	response, err := http.Post(fixture.url+"/faults", "application/json", strings.NewReader(body))
	assert.NilError(fixture.t, err)
	response.Body.Close()
}

// document returns a valid configuration with one organisation for each name, so
// that tests can distinguish edits.
func document(organisations ...string) definer.Document {
	document := definer.Document{
		Classes: []definer.ClassDocument{{Name: "desk", Attainment: 0.99, LongestWaitMs: 1000}},
		Pools:   []definer.PoolDocument{{Name: "models", Kind: "engine", Upstreams: []definer.UpstreamDocument{{Name: "e1", DataCentre: "d0", Address: "127.0.0.1:1", Slots: 4}}}},
		Rules:   []definer.RuleDocument{{Name: "all", When: "true", Then: definer.ActionDocument{Class: "desk", Pool: "models"}}},
	}
	for _, name := range organisations {
		document.Organisations = append(document.Organisations, definer.OrganisationDocument{Name: name})
	}
	return document
}

func kindOf(t *testing.T, err error) editor.Kind {
	t.Helper()
	failure, ok := err.(*editor.Error) //nolint:errorlint // The editor returns its own type.
	assert.Assert(t, ok, "%v", err)
	return failure.Kind()
}

func TestEditsFollowEachOther(t *testing.T) {
	fixture := newFixture(t)
	for number := range uint64(3) {
		version, err := fixture.edit("maria", number, document("a", fmt.Sprint(number)))
		assert.NilError(t, err)
		assert.Equal(t, version.Number(), number+1)
	}
	again, err := fixture.edit("maria", 3, document("a", "2"))
	assert.NilError(t, err)
	assert.Equal(t, again.Number(), uint64(3), "an edit without changes must not create a version")
	head := fixture.load().Head()
	assert.Equal(t, head.Editor, "maria")
	assert.Equal(t, head.EditedAt, clock)
	assert.Equal(t, len(head.History), 2)
}

func TestConflictNamesTheOtherEdit(t *testing.T) {
	cases := []struct {
		name string
		// during says whether the other edit is made while this one is in progress.
		during bool
		lose   int
	}{
		{"before the edit", false, 0},
		{"during the edit", true, 0},
		{"during an edit whose answers are lost", true, 2},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			_, err := fixture.edit("maria", 0, document("a"))
			assert.NilError(t, err)
			other := func() {
				_, err := fixture.edit("sean", 1, document("a", "sean"))
				assert.NilError(t, err)
			}
			if test.during {
				fixture.beforeHead = func() { other(); fixture.loseBefore = test.lose }
			} else {
				other()
			}
			_, err = fixture.edit("maria", 1, document("a", "maria"))
			assert.Equal(t, kindOf(t, err), editor.Conflict)
			rival, ok := editor.RivalOf(err)
			assert.Assert(t, ok)
			assert.Equal(t, rival.Edit().Editor, "sean")
			assert.ErrorContains(t, err, `version 2 was written by "sean" at 2026-03-04T10:00:00Z: "by sean"`)
			assert.DeepEqual(t, fixture.load().Document().Organisations, document("a", "sean").Organisations)
		})
	}
}

func TestLostAnswerIsSettledByTheEditID(t *testing.T) {
	cases := []struct {
		name                string
		after, before, more int
		want                editor.Kind
		accepted            bool
	}{
		{"once, with effect", 1, 0, 0, "", true},
		{"once, without effect", 0, 1, 0, "", true},
		{"with effect, and others edit then", 1, 0, 5, "", true},
		{"with effect, and too many edit then", 1, 0, 25, editor.Unsettled, true},
		{"until the tries are used up", 0, 100, 0, editor.Unsettled, false},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			fixture := newFixture(t)
			_, err := fixture.edit("maria", 0, document("a"))
			assert.NilError(t, err)
			fixture.loseAfter, fixture.loseBefore = test.after, test.before
			hook := &pauseHook{fixture: fixture, onFirstPause: func() {
				for number := range test.more {
					_, err := fixture.edit("sean", 0, document("a", fmt.Sprint(number)))
					assert.NilError(t, err)
				}
			}}
			pause := func(context.Context, time.Duration) error { return hook.pause() }
			version, err := editor.New(fixture, "maria", editor.WithPause(pause)).Edit(context.Background(), editor.Replace(1, "", document("a", "maria")))
			fixture.loseBefore = 0
			if test.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, version.Number(), uint64(2))
			} else {
				assert.Equal(t, kindOf(t, err), test.want)
			}
			assert.Equal(t, fixture.load().Number() >= 2, test.accepted)
		})
	}
}

// pauseHook calls onFirstPause once, at the first pause of an editor.
type pauseHook struct {
	fixture      *fixture
	onFirstPause func()
}

func (hook *pauseHook) pause() error {
	if onFirstPause := hook.onFirstPause; onFirstPause != nil {
		hook.onFirstPause = nil
		onFirstPause()
	}
	return nil
}

func TestRacingEditsLoseNothing(t *testing.T) {
	fixture := newFixture(t)
	_, err := fixture.edit("first", 0, document())
	assert.NilError(t, err)
	fixture.setFaults(`{"loseAnswers":10}`)
	var group sync.WaitGroup
	for number := range 8 {
		group.Go(func() {
			name := fmt.Sprintf("o%d", number)
			add := editor.Change{Summary: name, Apply: func(document definer.Document) (definer.Document, error) {
				document.Organisations = append(document.Organisations, definer.OrganisationDocument{Name: name})
				return document, nil
			}}
			for {
				_, err := fixture.editor(name).Edit(context.Background(), add)
				if err == nil {
					return
				}
				if kindOf(t, err) != editor.Conflict {
					t.Errorf("%s: %v", name, err)
					return
				}
			}
		})
	}
	group.Wait()
	last := fixture.load()
	assert.Equal(t, last.Number(), uint64(9))
	seen := make(map[string]int)
	for _, organisation := range last.Document().Organisations {
		seen[organisation.Name]++
	}
	assert.Equal(t, len(seen), 8)
	assert.Equal(t, len(last.Document().Organisations), 8)
}

func TestFaultsAreToldAllAtOnceAndNothingIsWritten(t *testing.T) {
	fixture := newFixture(t)
	faulty := document("a", "a")
	faulty.Classes[0].Attainment = 7
	faulty.Rules[0].When = "nothing =="
	_, err := fixture.edit("maria", 0, faulty)
	assert.Equal(t, kindOf(t, err), editor.Invalid)
	for _, fault := range []string{`organisation "a" stands twice`, "attainment is 7", `rule "all"`} {
		assert.ErrorContains(t, err, fault)
	}
	large := document()
	for index := range 10_000 {
		rule := large.Rules[0]
		rule.Name = fmt.Sprintf("rule %d %s", index, strings.Repeat("x", 80))
		large.Rules = append(large.Rules, rule)
	}
	_, err = fixture.edit("maria", 0, large)
	assert.Equal(t, kindOf(t, err), editor.Invalid)
	assert.ErrorContains(t, err, "section rules has")
	_, err = fixture.editor("reader").Load(context.Background())
	assert.Equal(t, kindOf(t, err), editor.Empty)
}

func TestOutageIsTold(t *testing.T) {
	fixture := newFixture(t)
	fixture.setFaults(`{"outage":true}`)
	_, err := fixture.edit("maria", 0, document())
	assert.Equal(t, kindOf(t, err), editor.Unavailable)
}

func TestEarlierVersionsAndGarbage(t *testing.T) {
	fixture := newFixture(t)
	for number := range 40 {
		_, err := fixture.edit("maria", uint64(number), document("a", fmt.Sprint("only ", number%2, " ", number/4)))
		assert.NilError(t, err)
	}
	reader := fixture.editor("reader")
	newest := fixture.load()
	for number := newest.Number() - sectioner.MaxHistory; number <= newest.Number(); number++ {
		earlier, err := reader.LoadAt(context.Background(), number)
		assert.NilError(t, err)
		found := make(map[string]bool)
		for _, organisation := range earlier.Organisations {
			found[organisation.Name] = true
		}
		assert.DeepEqual(t, found, map[string]bool{"a": true, fmt.Sprint("only ", (number-1)%2, " ", (number-1)/4): true})
	}
	_, err := reader.LoadAt(context.Background(), 2)
	assert.Equal(t, kindOf(t, err), editor.Empty)
	stored, err := fixture.List(context.Background(), sectioner.SectionKind)
	assert.NilError(t, err)
	needed := make(map[string]bool)
	for number := newest.Number() - sectioner.MaxHistory; number <= newest.Number(); number++ {
		sums, err := newest.Head().SectionsAt(number)
		assert.NilError(t, err)
		for _, sum := range sums {
			needed[sum.Hash] = true
		}
	}
	assert.Equal(t, len(stored.Items), len(needed), "sections that no version in the history uses must be deleted")
}

// TestCollectorSparesASectionInUseAgain guards against deleting a section that is
// in use: one edit uses a section again after another edit has read it as garbage
// and before that edit deletes it.
func TestCollectorSparesASectionInUseAgain(t *testing.T) {
	fixture := newFixture(t)
	_, err := fixture.edit("maria", 0, document("old"))
	assert.NilError(t, err)
	for number := range sectioner.MaxHistory {
		_, err := fixture.edit("maria", 0, document(fmt.Sprint(number)))
		assert.NilError(t, err)
	}
	// The next edit lists the sections of version 1 as garbage. Another edit uses
	// them again just before they are deleted.
	hook := &deleteHook{fixture: fixture, beforeFirstDelete: func() {
		_, err := fixture.edit("sean", 0, document("old"))
		assert.NilError(t, err)
	}}
	_, err = editor.New(hook, "maria").Edit(context.Background(), editor.Replace(0, "", document("next")))
	assert.NilError(t, err)
	assert.Assert(t, hook.beforeFirstDelete == nil, "nothing was deleted")
	assert.DeepEqual(t, fixture.load().Document().Organisations, document("old").Organisations)
}

// deleteHook calls beforeFirstDelete once, before the first deletion.
type deleteHook struct {
	*fixture
	beforeFirstDelete func()
}

func (hook *deleteHook) Delete(ctx context.Context, kind, name string, version uint64) (storer.Object, error) {
	if beforeFirstDelete := hook.beforeFirstDelete; beforeFirstDelete != nil {
		hook.beforeFirstDelete = nil
		beforeFirstDelete()
	}
	return hook.fixture.Delete(ctx, kind, name, version)
}

func TestFloorRaisesTheVersion(t *testing.T) {
	fixture := newFixture(t)
	version, err := editor.New(fixture, "maria", editor.WithFloor(50)).Edit(context.Background(), editor.Replace(0, "", document()))
	assert.NilError(t, err)
	assert.Equal(t, version.Number(), uint64(50))
}

func TestDifferences(t *testing.T) {
	before := document("a", "b")
	after := document("a", "c")
	after.Rules[0].When = "streamed"
	after.Pools[0].Upstreams[0].Leaving = true
	differences, err := editor.Differences(before, after)
	assert.NilError(t, err)
	var lines []string
	for _, difference := range differences {
		lines = append(lines, difference.String())
	}
	assert.DeepEqual(t, lines, []string{
		`- organisation "b" {"keyHashes":null,"name":"b"}`,
		`+ organisation "c" {"keyHashes":null,"name":"c"}`,
		`~ pool "models" upstream "e1" leaving: none -> true`,
		`~ rule "all" when: "true" -> "streamed"`,
	})
}
