package commander

import (
	"os"
	"os/signal"
	"syscall"
)

// reloadNotifier receives SIGHUP, which requests a reload of the settings.
type reloadNotifier struct {
	signals chan os.Signal
}

func newReloadNotifier() *reloadNotifier {
	notifier := &reloadNotifier{signals: make(chan os.Signal, 1)}
	signal.Notify(notifier.signals, syscall.SIGHUP)
	return notifier
}

// forEach calls act for each signal and returns after stop.
func (notifier *reloadNotifier) forEach(act func()) {
	for range notifier.signals {
		act()
	}
}

func (notifier *reloadNotifier) stop() {
	signal.Stop(notifier.signals)
	close(notifier.signals)
}

// ignoreLostLogReader makes writes to the standard streams fail once nobody reads them. By default,
// SIGPIPE ends the process.
func ignoreLostLogReader() { signal.Ignore(syscall.SIGPIPE) }
