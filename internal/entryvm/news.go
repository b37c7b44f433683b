package entryvm

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
)

const (
	// watchWait is how long a watch waits for changes. Silent connections are found by keep-alive probes.
	watchWait = 20 * time.Second
	// configurationRecheck and recheck are the times between two listings by which an owner finds changes
	// that its watch has missed: a watch can fall silent without an error. Owners pass the news on, so
	// that a configuration is in force within three seconds on all VMs.
	configurationRecheck = 1200 * time.Millisecond
	recheck              = 2 * time.Second
	// retryFirst and retryMost bound the pause after a call that the store has not answered well; each
	// call is priced, also in an outage.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// newsDelay is how long another VM may lack news before it is sent them; it usually gets them
	// from the store by itself.
	newsDelay = 500 * time.Millisecond
	// reloadInterval is the time between two looks for a settings file that changed without a signal.
	reloadInterval = 5 * time.Second
)

// follow keeps a kind of objects up to date from the store.
func (d *Daemon) follow(ctx context.Context, k directory.Kind) error {
	pause := retryFirst
	for ctx.Err() == nil {
		err := d.followOnce(ctx, k)
		if ctx.Err() != nil {
			return nil
		}
		if errors.Is(err, directory.ErrHistoryGone) {
			d.log.Info("history of the store is gone; listing", "kind", k)
			pause = retryFirst
			continue
		}
		d.log.Warn("store lost", "kind", k, "error", err, "retry_in", pause)
		sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
	return nil
}

// followOnce lists a kind and watches it until a call fails.
func (d *Daemon) followOnce(ctx context.Context, k directory.Kind) error {
	l, err := d.platform.Store.List(ctx, k)
	if err != nil {
		return err
	}
	d.log.Info("store listed", "kind", k, "revision", l.Revision, "objects", len(l.Entries))
	d.directory.Replace(d.clock(), l)
	after := l.Revision
	for {
		changes, err := d.platform.Store.Watch(ctx, k, after, watchWait)
		if err != nil {
			return err
		}
		d.directory.Update(d.clock(), changes)
		after = max(after, changes.Revision)
	}
}

// recheckStore lists the operators' and servers' objects again while this VM owns a service.
func (d *Daemon) recheckStore(ctx context.Context, k directory.Kind, interval time.Duration) error {
	for ctx.Err() == nil {
		sleep(ctx, interval)
		if !d.owners.any() {
			continue
		}
		l, err := d.platform.Store.List(ctx, k)
		if err != nil {
			d.log.Warn("recheck failed", "kind", k, "error", err)
			continue
		}
		before := d.directory.View().Changed[k]
		d.directory.Replace(d.clock(), l)
		if after := d.directory.View().Changed[k]; after != before {
			d.log.Info("recheck found news", "kind", k, "revision", l.Revision)
		}
	}
	return nil
}

// register records this run of the VM in the store.
func (d *Daemon) register(ctx context.Context) error {
	pause := retryFirst
	for ctx.Err() == nil {
		e, err := d.platform.Store.PutVM(ctx, d.self)
		if err == nil {
			d.directory.Put(d.clock(), directory.Fleet, e)
			break
		}
		d.log.Warn("VM not registered", "error", err)
		sleep(ctx, pause)
		pause = min(2*pause, retryMost)
	}
	<-ctx.Done()
	return nil
}

// joinSeeds opens links to the seeds until the configuration is known, for a start without the store.
func (d *Daemon) joinSeeds(ctx context.Context) error {
	for ctx.Err() == nil && d.directory.View().Configuration == nil {
		sleep(ctx, 2*retryFirst)
		if d.clock() < claimDelay {
			continue
		}
		for _, address := range d.settings.Load().Seeds {
			if address != d.self.Address {
				d.peers.Get(address)
			}
		}
	}
	<-ctx.Done()
	return nil
}

// reloadSettings reads the settings again on a signal and looks for silent changes from time to time.
func (d *Daemon) reloadSettings(ctx context.Context) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	tick := time.NewTicker(reloadInterval)
	defer tick.Stop()
	for {
		cause := "changed file"
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			cause = "signal"
		case <-tick.C:
		}
		next, err := d.platform.Reload()
		if err != nil {
			d.log.Warn("settings not reloaded", "cause", cause, "error", err)
			continue
		}
		if cause == "signal" || !reflect.DeepEqual(next, *d.settings.Load()) {
			d.log.Info("settings reloaded", "cause", cause, "seeds", len(next.Seeds), "grace", next.Grace)
		}
		d.settings.Store(&next)
	}
}

// offerNews sends another VM what it lacks. It is given time to learn the latest news by itself.
func (d *Daemon) offerNews(l *peer.Link, known [directory.KindCount]uint64, atOnce bool) {
	for k := range directory.KindCount {
		revision, since := d.newsSince(k)
		if known[k] >= revision || !atOnce && d.clock()-since < newsDelay {
			continue
		}
		news := d.directory.Listing(k)
		if err := l.Send(peer.Message{News: &news}); err != nil {
			d.log.Debug("news not sent", "kind", k, "error", err)
			return
		}
	}
}

// newsSince returns the known revision of a kind and when it was learned.
func (d *Daemon) newsSince(k directory.Kind) (revision uint64, since time.Duration) {
	d.newsMu.Lock()
	defer d.newsMu.Unlock()
	revision = d.directory.View().Changed[k]
	if d.news[k].revision != revision {
		d.news[k] = learned{revision, d.clock()}
	}
	return revision, d.news[k].since
}

// learned says when a revision was first seen.
type learned struct {
	revision uint64
	since    time.Duration
}

func sleep(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
