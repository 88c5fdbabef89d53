package commander_test

import (
	"bytes"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"limpetcleat/apportioner"
	"limpetcleat/commander"
	"limpetcleat/messenger"
	"limpetcleat/operator"
	"limpetcleat/quarantiner"
)

// TestSharesCommand guards against a table from which the organisation beyond its share cannot be
// told.
func TestSharesCommand(t *testing.T) {
	shares, now := apportioner.New(), time.Now()
	shares.SetCapacity(now, "pool", 10)
	shares.Replace(now, "peer", 0, []messenger.OrganisationWork{{Service: "pool", Organisation: "large", Work: 15 * time.Second}, {Service: "pool", Work: time.Second}})
	entry := operator.NewEntry(quarantiner.New(), func(int, ...any) {})
	entry.ServeShares(shares)
	server := httptest.NewServer(entry.Handler())
	t.Cleanup(server.Close)
	var out, errOut bytes.Buffer
	code := commander.New(&out, &errOut).Run(t.Context(), []string{"shares", "-nodes", strings.TrimPrefix(server.URL, "http://")})
	assert.Equal(t, code, commander.ExitSuccess, errOut.String())
	lines := strings.Split(out.String(), "\n")
	assert.DeepEqual(t, strings.Fields(lines[1])[1:], strings.Fields("pool true 1.60 10 0 large 1 15.00 7.50 50%"))
	assert.DeepEqual(t, strings.Fields(lines[2])[1:], strings.Fields("pool true 1.60 10 0 (others) 1 1.00 1.00 0%"))
}
