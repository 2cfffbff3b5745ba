package main

import (
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/fx"

	"eelgrassring.dev/internal/event"
	"eelgrassring.dev/internal/settings"
)

// notifyHangups returns a channel that gets each SIGHUP from now on. Without it, the
// signal ends the process.
func notifyHangups() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// checkSettingsOnHangup validates the settings file at each SIGHUP while the application
// runs, and logs the result. Changed settings are not applied: the platform restarts the
// process to change addresses and limits.
func checkSettingsOnHangup(l fx.Lifecycle, hangups <-chan os.Signal, path string, log *event.Log) {
	stopped := make(chan struct{})
	l.Append(fx.StartStopHook(func() {
		go func() {
			for {
				select {
				case <-stopped:
					return
				case <-hangups:
					_, err := settings.Read(path)
					log.Write(event.SettingsChecked, slog.Any("error", err))
				}
			}
		}()
	}, func() { close(stopped) }))
}
