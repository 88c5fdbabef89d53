package commander_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"limpetcleat/commander"
)

const routesText = `{"version":7,"routes":[
 {"name":"outer","host":"a.example","path_prefix":"/x/","route_type":"safe","priority":2,"service":"desk","max_attempts":2,"timeout_ms":1000,"target_latency_ms":100},
 {"name":"inner","host":"a.example","path_prefix":"/x/y/","route_type":"unsafe","priority":1,"traffic_split":[{"service":"pool","weight":90},{"service":"desk","weight":10}],"max_attempts":1}],
 "services":[{"name":"pool"},{"name":"desk"}],"tenants":[{"name":"guild","api_keys":["secret"],"priority":0}]}`

func TestRoutesExplain(t *testing.T) {
	file := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(file, []byte(routesText), 0o600))
	cases := []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"-host", "a.example", "-path", "/x/z", "-key", "secret"}, commander.ExitSuccess, `"inner" does not match: the path does not begin with "/x/y/"
"outer" matches
    services desk 100%
    repeated true, at most 2 upstreams, timeout 1s, objective 100ms
    organisation guild
    tier 0, urgency 4 at engines
`},
		{[]string{"-host", "a.example", "-path", "/x/y/z", "-key", "other"}, commander.ExitSuccess, `"inner" matches
    services pool 90%, desk 10%
    repeated false, at most 1 upstreams, timeout 0s, objective 0s
    no organisation holds the key: the caller is answered 401
`},
		{[]string{"-host", "b.example"}, commander.ExitSuccess, `"inner" does not match: its host is "a.example"
"outer" does not match: its host is "a.example"
no rule of version 7 matches: the caller is answered 404
`},
		{nil, commander.ExitUsage, ""},
	}
	for _, test := range cases {
		var out, problems bytes.Buffer
		args := append([]string{"routes", "-file", file}, test.args...)
		assert.Equal(t, commander.New(&out, &problems).Run(t.Context(), args), test.code, problems.String())
		assert.Equal(t, out.String(), test.out)
	}
}
