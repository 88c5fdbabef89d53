package commander

import (
	"os"
	"os/signal"
	"syscall"
)

// reload hands out the signals that ask for the settings to be read again.
type reload struct {
	signals chan os.Signal
}

func reloadSignals() *reload {
	reload := &reload{signals: make(chan os.Signal, 1)}
	signal.Notify(reload.signals, syscall.SIGHUP)
	return reload
}

// each calls act for each signal until stop.
func (reload *reload) each(act func()) {
	for range reload.signals {
		act()
	}
}

func (reload *reload) stop() {
	signal.Stop(reload.signals)
	close(reload.signals)
}
