package tester

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"gotest.tools/v3/assert"
)

// peakResetMode makes the kernel forget the largest resident memory of a process.
const peakResetMode = "5"

// ResetPeakMemory makes PeakMemory start again.
func (child *Child) ResetPeakMemory() {
	child.T.Helper()
	assert.NilError(child.T, os.WriteFile(fmt.Sprintf("/proc/%d/clear_refs", child.ID()), []byte(peakResetMode), settingsMode))
}

// PeakMemory returns the largest resident memory in bytes that the process has had since ResetPeakMemory.
func (child *Child) PeakMemory() int64 {
	child.T.Helper()
	return child.statusBytes("VmHWM:")
}

// AnonymousMemory returns the resident memory in bytes without that of mapped files, or 0 if the process has
// ended.
func (child *Child) AnonymousMemory() int64 {
	child.T.Helper()
	return child.statusBytes("RssAnon:")
}

// statusBytes returns a field of the process's status in bytes, or 0 if the process has ended.
func (child *Child) statusBytes(field string) int64 {
	const bytesPerKB = 1 << 10
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", child.ID()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if text, found := strings.CutPrefix(line, field); found {
			kilobytes, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")), 10, 64)
			assert.NilError(child.T, err)
			return kilobytes * bytesPerKB
		}
	}
	return 0
}

// UnreadBytes returns the number of bytes that the process's sockets have received and the process has not
// read.
func (child *Child) UnreadBytes() int64 {
	sockets := child.sockets()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", child.ID()))
	if err != nil {
		return 0
	}
	total := int64(0)
	for line := range strings.Lines(string(data)) {
		const queues, inode = 4, 9
		fields := strings.Fields(line)
		if len(fields) <= inode || !sockets[fields[inode]] {
			continue
		}
		_, received, _ := strings.Cut(fields[queues], ":")
		if bytes, err := strconv.ParseInt(received, 16, 64); err == nil {
			total += bytes
		}
	}
	return total
}

// sockets returns the inodes of the process's sockets.
func (child *Child) sockets() map[string]bool {
	directory := fmt.Sprintf("/proc/%d/fd", child.ID())
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil
	}
	sockets := make(map[string]bool)
	for _, entry := range entries {
		target, err := os.Readlink(directory + "/" + entry.Name())
		if err != nil {
			continue // Closed meanwhile.
		}
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return sockets
}
