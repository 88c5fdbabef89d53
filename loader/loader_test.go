package loader_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"limpetcleat/loader"
)

const token = "an-operators-token-for-tests"

// validSettings is a settings file without a fault.
const validSettings = `# a comment
[node]
name = entry-1
dataCentre = skopje

[callers]
listen = 127.0.0.1:8080
bodyTimeout = 250ms
maxBodyBytes = 2MiB

[operators]
listen = 127.0.0.1:8081
token = ` + token + `

[inner]
listen = 127.0.0.1:8082
plain = true

[platform]
addresses = http://127.0.0.1:7000, https://[::1]:7001/

[peers]
seeds = entry-2@bitola@127.0.0.1:9082
`

// faults returns the faults that an error of kind Invalid joins, and fails the test for any other
// error.
func faults(t *testing.T, err error) []*loader.Fault {
	t.Helper()
	var failure *loader.Error
	assert.Assert(t, errors.As(err, &failure), "%v", err)
	assert.Equal(t, failure.Kind(), loader.Invalid)
	joined, ok := failure.Unwrap().(interface{ Unwrap() []error })
	if !ok {
		joined, ok = errors.Unwrap(failure.Unwrap()).(interface{ Unwrap() []error })
	}
	assert.Assert(t, ok)
	var found []*loader.Fault
	for _, each := range joined.Unwrap() {
		var fault *loader.Fault
		assert.Assert(t, errors.As(each, &fault))
		found = append(found, fault)
	}
	return found
}

func TestParseReadsSettings(t *testing.T) {
	settings, err := loader.Parse("entry.ini", []byte(validSettings))
	assert.NilError(t, err)
	assert.Equal(t, string(settings.Node().Name()), "entry-1")
	assert.Equal(t, settings.Callers().BodyTimeout(), 250*time.Millisecond)
	assert.Equal(t, settings.Callers().MaxBodyBytes(), 2<<20)
	assert.Equal(t, settings.Callers().IdleTimeout(), 2*time.Minute)
	assert.Equal(t, settings.Inner().Address().String(), "127.0.0.1:8082")
	assert.Assert(t, settings.Inner().Plain() && !settings.Inner().Exposed())
	assert.DeepEqual(t, settings.Platform().Addresses(), []string{"http://127.0.0.1:7000", "https://[::1]:7001"})
	assert.Assert(t, settings.Platform().Token().Empty())
	assert.Equal(t, string(settings.Peers()[0].DataCentre()), "bitola")
	assert.Equal(t, settings.Policy(), loader.ServiceLevels)
	assert.Equal(t, settings.Log().Level(), loader.Info)
	read, err := settings.Operators().Token().Read()
	assert.NilError(t, err)
	assert.Equal(t, read, token)
	assert.Assert(t, !strings.Contains(fmt.Sprintf("%+v %#v %v", settings, *settings, settings.Operators().Token()), token))
}

func TestParseNamesEveryFault(t *testing.T) {
	cases := []struct {
		name    string
		replace string
		with    string
		line    int
		setting string
		found   string
	}{
		{"unknown setting", "name = entry-1", "name = entry-1\ncolour = red", 4, "node.colour", "an unknown setting"},
		{"wrong case", "dataCentre =", "datacentre =", 4, "node.datacentre", "an unknown setting"},
		{"unknown section", "[peers]", "[pears]", 22, "pears", "an unknown section"},
		{"doubled", "bodyTimeout = 250ms", "bodyTimeout = 250ms\nbodyTimeout = 1s", 9, "callers.bodyTimeout", "a second time (first on line 8)"},
		{"doubled in a section opened twice", "[peers]", "[node]\nname = other\n[peers]", 23, "node.name", "first on line 3"},
		{"below the range", "250ms", "99ms", 8, "callers.bodyTimeout", `"99ms"`},
		{"above the range", "2MiB", "65MiB", 9, "callers.maxBodyBytes", `"65MiB"`},
		{"no unit", "250ms", "250", 8, "callers.bodyTimeout", `"250"`},
		{"nothing", "name = entry-1", "name =", 3, "node.name", "nothing"},
		{"missing", "name = entry-1", "", 0, "node.name", "no such setting"},
		{"a host name", "listen = 127.0.0.1:8080", "listen = localhost:8080", 7, "callers.listen", "localhost"},
		{"a platform by host name", "http://127.0.0.1:7000", "http://platform:7000", 20, "platform.addresses", "platform:7000"},
		{"a short token", "token = " + token, "token = secret", 13, "operators.token", "6 characters"},
		{"two tokens", "token = " + token, "token = " + token + "\ntokenFile = x", 14, "operators.tokenFile", "both"},
		{"no token", "token = " + token, "", 0, "operators.token", "neither"},
		{"certificate without key", "bodyTimeout = 250ms", "tlsCertificate = a.pem", 8, "callers.tlsCertificate", "without tlsKey"},
		{"plain beyond loopback", "127.0.0.1:8082\n", "10.0.0.1:8082\n", 17, "inner.plain", "beyond loopback"},
		{"plain beside TLS", "plain = true", "plain = true\ntlsKey = a.pem", 18, "inner.tlsKey", "beside plain"},
		{"unreachable address", "plain = true", "plain = true\nplainAnywhere = true\naddress = 0.0.0.0:1", 19, "inner.address", "0.0.0.0:1"},
		{"same address twice", "127.0.0.1:8081", "127.0.0.1:8080", 12, "operators.listen", "callers.listen"},
		{"a seed without a place", "entry-2@bitola@", "entry-2@", 23, "peers.seeds", "entry-2@127"},
		{"no setting", "[peers]", "[peers]\nseeds", 23, "peers", "no setting"},
		{"a value of several lines", "entry-1", `"""entry-1`, 3, "node.name", `"""`},
		{"no section line", "[peers]", "[peers", 22, "platform", "no section"},
		{"before any section", "# a comment", "name = x", 1, "name", "before any section"},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			text := strings.Replace(validSettings, test.replace, test.with, 1)
			assert.Assert(t, text != validSettings)
			_, err := loader.Parse("entry.ini", []byte(text))
			for _, fault := range faults(t, err) {
				if fault.Name() == test.setting && fault.Line() == test.line && strings.Contains(fault.Found(), test.found) {
					assert.Equal(t, fault.File(), "entry.ini")
					assert.Assert(t, fault.Allowed() != "")
					return
				}
			}
			t.Errorf("no fault of %s on line %d in:\n%v", test.setting, test.line, err)
		})
	}
}

func TestParseTellsAllFaultsInOrder(t *testing.T) {
	text := strings.NewReplacer("250ms", "1h", "skopje", "a b", "plain = true", "plain = yes\nbroken", "[peers]", "[pears]").Replace(validSettings)
	_, err := loader.Parse("entry.ini", []byte(text))
	var lines []int
	for _, fault := range faults(t, err) {
		lines = append(lines, fault.Line())
	}
	// The three faults on line 0 are the missing TLS files of section inner, since plain is not valid.
	assert.DeepEqual(t, lines, []int{0, 0, 0, 4, 8, 17, 18, 23})
	assert.ErrorContains(t, err, `entry.ini:8: callers.bodyTimeout: found "1h"; allowed is a duration from 100ms to 10m0s`)
}

func TestParseNeverShowsTokens(t *testing.T) {
	_, err := loader.Parse("entry.ini", []byte(strings.Replace(validSettings, token, "my secret", 1)))
	assert.Assert(t, err != nil && !strings.Contains(err.Error(), "my secret"))
}

func TestLoadReadsFiles(t *testing.T) {
	directory := t.TempDir()
	secret := filepath.Join(directory, "token")
	path := filepath.Join(directory, "entry.ini")
	assert.NilError(t, os.WriteFile(path, []byte(strings.Replace(validSettings, "token = "+token, "tokenFile = "+secret, 1)), 0o600))
	settings, err := loader.Load(path)
	assert.NilError(t, err)
	assert.ErrorContains(t, settings.CheckFiles(), "token")
	assert.NilError(t, os.WriteFile(secret, []byte("short\n"), 0o600))
	assert.ErrorContains(t, settings.CheckFiles(), "found 5 characters")
	assert.NilError(t, os.WriteFile(secret, []byte(token+"\n"), 0o600))
	assert.NilError(t, settings.CheckFiles())
	read, err := settings.Operators().Token().Read()
	assert.NilError(t, err)
	assert.Equal(t, read, token)

	_, err = loader.Load(filepath.Join(directory, "missing.ini"))
	var failure *loader.Error
	assert.Assert(t, errors.As(err, &failure) && failure.Kind() == loader.Unreadable)
}

func TestDescribeTellsAll(t *testing.T) {
	seen := make(map[string]bool)
	for _, description := range loader.Describe() {
		name := description.Section() + "." + description.Name()
		assert.Assert(t, !seen[name], name)
		seen[name] = true
		assert.Assert(t, description.Meaning() != "" && description.Allowed() != "", name)
		assert.Assert(t, !description.Required() || description.Default() == "", name)
	}
}

func FuzzParse(f *testing.F) {
	f.Add(validSettings)
	f.Add("[node]\nname = %(name)s\n[node\n= \n\"a\" = `")
	f.Add("\ufeff[callers]\r\nlisten = [::]:0\rmaxBodyBytes = 9999999999MiB")
	f.Fuzz(func(t *testing.T, text string) {
		settings, err := loader.Parse("fuzz.ini", []byte(text))
		assert.Equal(t, settings == nil, err != nil)
		if err != nil {
			assert.Assert(t, len(faults(t, err)) > 0)
		}
	})
}

func TestTableIsThePage(t *testing.T) {
	golden.Assert(t, loader.Markdown(), "../../docs/SETTINGS.md")
}
