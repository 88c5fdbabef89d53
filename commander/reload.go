package commander

import (
	"os"
	"os/signal"
	"syscall"
)

// reload hands out the signals that ask for the settings to be read again.
type reloadNotifier struct {
	signals chan os.Signal
}

func newReloadNotifier() *reloadNotifier {
	notifier := &reloadNotifier{signals: make(chan os.Signal, 1)}
	signal.Notify(notifier.signals, syscall.SIGHUP)
	return notifier
}

// each calls act for each signal until stop.
func (notifier *reloadNotifier) forEach(act func()) {
	for range notifier.signals {
		act()
	}
}

func (notifier *reloadNotifier) stop() {
	signal.Stop(notifier.signals)
	close(notifier.signals)
}
