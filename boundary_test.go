package limpetcleat_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPlatformNamesStayInTheAdapter checks that names defined by the interfaces of the users'
// platform occur only in the adapter and the stand-ins.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	checkNamesAbsent(t, []string{"platform", "standin"},
		"X-Deadline-Ms", "X-Token-Count", "X-Prompt-Prefix", "X-Response-Seal", "X-Expect-Runner", "X-Tenant",
		"X-Not-Executed", "X-Request-Priority", "X-Runner-Id", "traffic_split", "path_prefix", "route_type",
		"session_affinity", "stream_resume", "gap_aim_ms", "target_latency_ms", "max_attempts", "api_keys",
		"current_rev", "wait_ms", "revoke_ms", "retry_ratio", "memory_mb", "LIMPETCLEAT_SETTINGS",
	)
}

// TestConnectionsAreMadeByTheDialer checks that connections are made through package dialer, which
// detects peers that stop responding. The load generator, the demonstration and the stand-ins are
// exempt.
func TestConnectionsAreMadeByTheDialer(t *testing.T) {
	checkNamesAbsent(t, []string{"dialer", "demonstrator", "generator", "standin"}, "net.Dialer{", "net.Dial(", "net.DialTimeout(", "http.DefaultTransport", "http.DefaultClient")
}

// checkNamesAbsent checks that no Go file contains one of the names, except for tests and the
// excluded folders.
func checkNamesAbsent(t *testing.T, excluded []string, names ...string) {
	t.Helper()
	assert.NilError(t, filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (slices.Contains(excluded, path) || strings.HasPrefix(path, ".git")) {
			return fs.SkipDir
		}
		if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		for _, name := range names {
			assert.Check(t, !strings.Contains(string(data), name), "%s contains %s", path, name)
		}
		return nil
	}))
}
