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

// TestPlatformNamesStayInTheAdapter holds that only the adapter and the stand-ins
// know the names that the users' platform has on the wire.
func TestPlatformNamesStayInTheAdapter(t *testing.T) {
	checkNames(t, []string{"platform", "standin"},
		"X-Deadline-Ms", "X-Token-Count", "X-Prompt-Prefix", "X-Response-Seal", "X-Expect-Runner", "X-Tenant",
		"X-Not-Executed", "X-Request-Priority", "X-Runner-Id", "traffic_split", "path_prefix", "route_type",
		"session_affinity", "stream_resume", "gap_aim_ms", "target_latency_ms", "max_attempts", "api_keys",
		"current_rev", "wait_ms", "revoke_ms", "retry_ratio", "memory_mb", "LIMPETCLEAT_SETTINGS",
	)
}

// TestConnectionsAreMadeByTheDialer holds that no part makes connections that may
// go silent unnoticed. The parts that make load for tests and demonstrations and
// the stand-ins may.
func TestConnectionsAreMadeByTheDialer(t *testing.T) {
	checkNames(t, []string{"dialer", "demonstrator", "generator", "standin"}, "net.Dialer{", "net.Dial(", "net.DialTimeout(", "http.DefaultTransport", "http.DefaultClient")
}

// checkNames checks that no file of the product has one of the names, but for
// tests and the folders left out.
func checkNames(t *testing.T, leftOut []string, names ...string) {
	t.Helper()
	assert.NilError(t, filepath.WalkDir(".", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (slices.Contains(leftOut, path) || strings.HasPrefix(path, ".git")) {
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
			assert.Check(t, !strings.Contains(string(data), name), "%s has %s", path, name)
		}
		return nil
	}))
}
