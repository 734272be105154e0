package main

import (
	"context"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/daemon"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/settings"
)

// reloadSettings reloads the settings file on SIGHUP. Changes of the log level
// and of the operators' token take effect at once. An invalid file changes
// nothing. atStart are the settings that the process started with.
func reloadSettings(g *actor.Group, file string, atStart *settings.Settings, recent *daemon.RecentEvents, d drainer) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	actor.Go(g, "settings reload", func(ctx context.Context) error {
		defer signal.Stop(hup)
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-hup:
				reload(file, atStart, recent, d)
			}
		}
	})
}

func reload(file string, atStart *settings.Settings, recent *daemon.RecentEvents, d drainer) {
	next, err := settings.Load(file)
	if err != nil {
		event.Log(log.Log, event.SettingsRejected, log.Fields{"file": file, "findings": err.Error()})
		return
	}
	if e, ok := d.(*daemon.Entry); ok {
		e.SetOperatorToken(next.Entry.OperatorToken)
	}
	fields := log.Fields{"file": file}
	if keys := atStart.NeedRestart(next); len(keys) > 0 {
		fields["need_restart"] = strings.Join(keys, ", ")
	}
	recent.SetLevel(log.InfoLevel) // so that the event is logged at any new or old level
	event.Log(log.Log, event.SettingsReloaded, fields)
	recent.SetLevel(next.Daemon.LogLevel)
}
