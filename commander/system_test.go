package commander_test

import (
	"context"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"limpetcleat/commander"
	"limpetcleat/decider"
	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/reporter"
)

const (
	membershipTimeout      = 5 * time.Second
	membershipPollInterval = 20 * time.Millisecond
)

// putAnswer is the JSON output of rules put.
type putAnswer struct {
	Version         uint64
	Changed, DryRun bool
	Differences     []struct{ What, Field, Before, After string }
	InForce, Behind []string
}

func TestPutComesIntoForce(t *testing.T) {
	fixture := startFixture(t)
	same := fixture.saveChanged("same.json", func(*definer.Document) {})
	first := fixture.saveChanged("first.json", func(document *definer.Document) { document.Limits.RetryShare = 0.2 })
	second := fixture.saveChanged("second.json", func(document *definer.Document) {
		document.Limits.RetryShare = 0.3
		document.Rules[0].When = `service == "stock" && promptTokens < 9`
	})
	wrong := fixture.saveChanged("wrong.json", func(document *definer.Document) { document.Rules[0].When = "model ==" })

	got := fixture.runRules("put", "-file", first, "-dryRun")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"~ limits retryShare: 0.1 -> 0.2", "nothing was written"})
	assert.Equal(t, fixture.storedVersion(), uint64(1))

	got = fixture.runRules("put", "-file", wrong, "-dryRun")
	assert.Equal(t, got.code, commander.ExitFailed)
	containsAll(t, got.problems, []string{"model =="})

	got = fixture.runRules("put", "-file", same)
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"nothing changes: version 1 holds the same", "version 1 is in force on 2 nodes"})

	got = fixture.runRules("put", "-file", first, "-base", "1", "-summary", "more retries", "-editor", "ana")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"~ limits retryShare: 0.1 -> 0.2", "version 2 is accepted", "version 2 is in force on 2 nodes"})

	got = fixture.runRules("put", "-file", second, "-dryRun")
	containsAll(t, got.out, []string{"&& promptTokens < 9"})
	got = fixture.runRules("put", "-file", second, "-base", "1", "-editor", "boris")
	assert.Equal(t, got.code, commander.ExitConflict)
	containsAll(t, got.problems, []string{`version 2 was written by "ana" at 20`, `"more retries"`})
	assert.Equal(t, fixture.storedVersion(), uint64(2))

	var answer putAnswer
	got = fixture.runRules("put", "-file", second, "-base", "2", "-output", "json")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	decode(t, got.out, &answer)
	assert.DeepEqual(t, answer.InForce, fixture.system.Operators())
	assert.Assert(t, answer.Version == 3 && answer.Changed && !answer.DryRun && len(answer.Behind) == 0)
	assert.Assert(t, len(answer.Differences) == 2 && answer.Differences[0].Field == "retryShare")

	fixture.checkHistory()

	got = fixture.runRules("put", "-file", first, "-floor", "12")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"version 12 is in force on 2 nodes"})
}

// checkHistory checks the history and the documents of three versions; ana wrote the second.
func (fixture *fixture) checkHistory() {
	t := fixture.t
	t.Helper()
	got := fixture.runRules("history")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	lines := strings.Split(strings.TrimSpace(got.out), "\n")
	assert.Equal(t, len(lines), 4)
	assert.Assert(t, strings.HasPrefix(lines[2], "2 ") && strings.Contains(lines[2], "ana") && strings.HasSuffix(lines[2], "more retries"), lines[2])
	var edits []struct {
		Version uint64
		Editor  string
	}
	decode(t, fixture.runRules("history", "-output", "json").out, &edits)
	assert.Assert(t, len(edits) == 3 && edits[0].Version == 3 && edits[1].Editor == "ana")
	for version, share := range map[int]float64{0: 0.3, 1: 0.1, 2: 0.2, 3: 0.3} {
		var document definer.Document
		got := fixture.runRules("get", "-version", strconv.Itoa(version))
		assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
		decode(t, got.out, &document)
		assert.Assert(t, !strings.Contains(got.out, `\u00`), "conditions must not be escaped")
		assert.Equal(t, document.Limits.RetryShare, share)
	}
	assert.Equal(t, fixture.runRules("get", "-version", "9").code, commander.ExitFailed)
}

func (fixture *fixture) storedVersion() uint64 {
	fixture.t.Helper()
	version, err := editor.New(fixture.store, "test").Load(fixture.t.Context())
	assert.NilError(fixture.t, err)
	return version.Number()
}

func TestPutNamesNodesThatAreBehind(t *testing.T) {
	fixture := startFixture(t)
	const unreachable = "127.0.0.1:1"
	fixture.nodes[1] += "," + unreachable
	file := fixture.saveChanged("rules.json", func(document *definer.Document) { document.Limits.RetryShare = 0.2 })
	got := fixture.runRules("put", "-file", file, "-output", "json")
	assert.Equal(t, got.code, commander.ExitPartial)
	containsAll(t, got.problems, []string{"version 2 is accepted", unreachable})
	var answer putAnswer
	decode(t, got.out, &answer)
	assert.DeepEqual(t, answer.Behind, []string{unreachable})
	assert.DeepEqual(t, answer.InForce, fixture.system.Operators())
}

func TestRulesWithThePlatformAway(t *testing.T) {
	fixture := startFixture(t)
	fixture.stopPlatform()
	file := writeFile(t, fixture.directory, "rules.json", "{}")
	timeoutCtx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	got := runContext(timeoutCtx, append([]string{"rules", "put", "-file", file}, fixture.platform...)...)
	assert.Equal(t, got.code, commander.ExitFailed)
	assert.Equal(t, run(t, append([]string{"burn"}, fixture.nodes...)...).code, commander.ExitSuccess, "burn must work without the platform")
	assert.Equal(t, run(t, append([]string{"status"}, fixture.nodes...)...).code, commander.ExitSuccess)
}

// stopPlatform makes the stand-in platform reject every call.
func (fixture *fixture) stopPlatform() {
	fixture.t.Helper()
	response, err := http.Post("http://"+fixture.system.Platform()+"/faults", "application/json", strings.NewReader(`{"outage":true}`))
	assert.NilError(fixture.t, err)
	defer response.Body.Close()
	io.Copy(io.Discard, response.Body)
	assert.Equal(fixture.t, response.StatusCode/100, 2)
}

func TestExplain(t *testing.T) {
	const rules = "../examples/buttons.json"
	cases := []struct {
		name string
		args []string
		out  []string
	}{
		{"first rule", []string{"-service", "orderDesk", "-path", "/reservations/7"}, []string{`"confirm a reservation": matches; class `}},
		{"refused", []string{"-model", "other"}, []string{`"draft a restocking proposal": does not match: model == "assistant" is false`, "matches; the request is refused: no rule of the button"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			got := run(t, append([]string{"rules", "explain", "-file", rules}, test.args...)...)
			assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
			containsAll(t, got.out, test.out)
		})
	}
	file := writeFile(t, t.TempDir(), "rules.json", `{
		"classes":[{"name":"chat","totalMs":1000,"attainment":0.9,"longestWaitMs":1000}],
		"pools":[{"name":"models","kind":"engine","upstreams":[{"name":"e","dataCentre":"west","address":"127.0.0.1:1","slots":1,"models":["m"]}]}],
		"rules":[
			{"name":"long","when":"model == \"m\" && promptTokens > 100 && streamed","then":{"class":"chat","pool":"models"}},
			{"name":"closed","when":"headers[\"x-team\"] == \"red\"","then":{"refuse":"not for red"}},
			{"name":"rest","when":"true","then":{"class":"chat","pool":"models"}}]}`)
	got := run(t, "rules", "explain", "-file", file, "-model", "m", "-promptTokens", "7", "-header", "X-Team=blue")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{`"long": does not match: promptTokens > 100 is false`, `"closed": does not match: headers["x-team"] == "red" is false`, `"rest": matches; class chat, pool models`})
	var rows []struct {
		Rule  string
		Holds bool
	}
	got = run(t, "rules", "explain", "-file", file, "-header", "X-Team=red", "-output", "json")
	decode(t, got.out, &rows)
	assert.Assert(t, len(rows) == 2 && rows[1].Rule == "closed" && rows[1].Holds)
	assert.Equal(t, run(t, "rules", "explain", "-file", file, "-header", "nothing").code, commander.ExitUsage)

	file = writeFile(t, t.TempDir(), "rules.json", "{}")
	containsAll(t, run(t, "rules", "explain", "-file", file).out, []string{"no rule matches: the caller is refused with noRule"})
}

// awaitMembers returns how many members each node lists, once each lists another one. A node is
// ready for callers before it has received the address of every peer.
func (fixture *fixture) awaitMembers() []int {
	fixture.t.Helper()
	var members []int
	poll.WaitOn(fixture.t, func(poll.LogT) poll.Result {
		var statuses []struct{ Status decider.Status }
		decode(fixture.t, run(fixture.t, append([]string{"status", "-output", "json"}, fixture.nodes...)...).out, &statuses)
		assert.Assert(fixture.t, len(statuses) == 2 && statuses[1].Status.VM == "entry-2")
		members = []int{len(statuses[0].Status.Members), len(statuses[1].Status.Members)}
		if slices.Min(members) < 2 {
			return poll.Continue("the nodes list %v members", members)
		}
		return poll.Success()
	}, poll.WithTimeout(membershipTimeout), poll.WithDelay(membershipPollInterval))
	return members
}

func TestStatusBurnAndDrain(t *testing.T) {
	fixture := startFixture(t)
	got := run(t, append([]string{"status"}, fixture.nodes...)...)
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"entry-1", "entry-2", "serving"})
	assert.DeepEqual(t, fixture.awaitMembers(), []int{2, 2})

	page := filepath.Join(fixture.directory, "burn.html")
	got = run(t, append([]string{"burn", "-html", page}, fixture.nodes...)...)
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{"orderDesk", "budget left", "wasted"})
	content, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(content), "orderDesk"))
	var report reporter.Report
	decode(t, run(t, append([]string{"burn", "-output", "json"}, fixture.nodes...)...).out, &report)
	assert.Equal(t, len(report.Classes), 5)

	wrong := []string{"-nodes", fixture.nodes[1], "-token", "wrong"}
	assert.Equal(t, run(t, append([]string{"drain"}, wrong...)...).code, commander.ExitFailed)
	first := fixture.system.Operators()[0]
	got = run(t, "drain", "-nodes", first, fixture.nodes[2], fixture.nodes[3], "-wait", "20s")
	assert.Equal(t, got.code, commander.ExitSuccess, got.problems)
	containsAll(t, got.out, []string{first + " has stopped"})
	got = run(t, append([]string{"status"}, fixture.nodes...)...)
	assert.Equal(t, got.code, commander.ExitPartial)
	containsAll(t, got.out, []string{"no answer", "entry-2"})
	containsAll(t, got.problems, []string{first})
	assert.Equal(t, run(t, append([]string{"burn"}, fixture.nodes...)...).code, commander.ExitPartial)
}
