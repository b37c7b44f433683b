package entryvm

import (
	"context"
	"errors"
	"math"
	"os"
	"os/signal"
	"reflect"
	"slices"
	"syscall"
	"time"

	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/sleep"
)

const (
	// watchWait is how long a watch waits for changes. Silent connections are found by keep-alive probes.
	watchWait = 20 * time.Second
	// recheck and recheckAlone are the ages at which the servers and withdrawals are listed again: a watch
	// can fall silent without an error. A withdrawal has to be in force within five seconds.
	recheck      = 2 * time.Second
	recheckAlone = 3500 * time.Millisecond
	recheckTick  = 200 * time.Millisecond
	// linkTime is added to the age of a confirmation that another VM has sent.
	linkTime = 100 * time.Millisecond
	never    = time.Duration(math.MaxInt64)
	// watchSilence is how long a VM hears no owner until it watches the store; renewals reach every VM at
	// least once a second.
	watchSilence = 1800 * time.Millisecond
	// startPatience is the time from the start until a VM that hears no owner watches the store.
	startPatience = 4 * time.Second
	// registerInterval is the time between two looks at whether the VM's record still stands.
	registerInterval = time.Second
	// meetTime lets VMs that start together register before each lists the others.
	meetTime = 600 * time.Millisecond
	// retryFirst and retryMost bound the pause after a call that the store has not answered well; each
	// call is priced, also in an outage.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// newsDelay is how long another VM may lack news before it is sent them; it usually gets them
	// from the store by itself. VMs that do not watch leave the others that time to tell.
	newsDelay     = 500 * time.Millisecond
	lateNewsDelay = 2 * time.Second
	// reloadInterval is the time between two looks for a settings file that changed without a signal.
	reloadInterval = 5 * time.Second
)

// watches reports whether this VM learns news from the store by itself. All calls are priced, so only
// some VMs watch; the others are told by owners while they hear one.
func (d *Daemon) watches() bool {
	v := d.directory.View()
	if ownsFirst(v, d.self.Name, newsServices) || slices.Contains(watchers(v), d.self.Name) {
		return true
	}
	now := d.clock()
	return now > startPatience && now-time.Duration(d.beatAt.Load()) > watchSilence
}

// follow keeps a kind of objects up to date from the store.
func (d *Daemon) follow(ctx context.Context, k directory.Kind) error {
	if k == directory.Fleet && d.settings.Load().FirstStart {
		sleep.For(ctx, meetTime)
	}
	pause := retryFirst
	listed := false
	for ctx.Err() == nil {
		if listed && !d.watches() {
			sleep.For(ctx, lookInterval)
			continue
		}
		err := d.followOnce(ctx, k, &listed)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			continue
		case errors.Is(err, directory.ErrHistoryGone):
			d.log.Info("history of the store is gone; listing", "kind", k)
			pause = retryFirst
			continue
		}
		d.log.Warn("store lost", "kind", k, "error", err, "retry_in", pause)
		sleep.For(ctx, pause)
		pause = min(2*pause, retryMost)
	}
	return nil
}

// followOnce lists a kind and watches it while this VM is to watch and no call fails. listed is set once
// the kind was listed.
func (d *Daemon) followOnce(ctx context.Context, k directory.Kind, listed *bool) error {
	started := d.clock()
	l, err := d.platform.Store.List(ctx, k)
	if err != nil {
		return err
	}
	d.log.Info("store listed", "kind", k, "revision", l.Revision, "objects", len(l.Entries))
	d.directory.Replace(d.clock(), l)
	d.confirm(k, started)
	*listed = true
	after := l.Revision
	for d.watches() {
		changes, err := d.platform.Store.Watch(ctx, k, after, watchWait)
		if err != nil {
			return err
		}
		d.directory.Update(d.clock(), changes)
		after = max(after, changes.Revision)
	}
	return nil
}

// recheckStore lists a kind again when what this VM knows of it has not been confirmed for too long.
func (d *Daemon) recheckStore(ctx context.Context, k directory.Kind) error {
	pause := recheckTick
	for ctx.Err() == nil {
		sleep.For(ctx, pause)
		pause = recheckTick
		if d.clock()-d.confirmedAt(k) < d.recheckAge(k) {
			continue
		}
		started := d.clock()
		l, err := d.platform.Store.List(ctx, k)
		if err != nil {
			d.log.Warn("recheck failed", "kind", k, "error", err)
			pause = retryMost
			continue
		}
		before := d.directory.View().Changed[k]
		d.directory.Replace(d.clock(), l)
		d.confirm(k, started)
		if after := d.directory.View().Changed[k]; after != before {
			d.log.Info("recheck found news", "kind", k, "revision", l.Revision)
		}
	}
	return nil
}

// recheckAge returns how old the confirmation of a kind may become. The owners of the first services
// confirm for all VMs that hear them; the others list only if they hear none of those.
func (d *Daemon) recheckAge(k directory.Kind) time.Duration {
	bound := d.settings.Load().ConfigApply
	switch {
	case k == directory.Configurations && d.rechecks():
		return bound * 2 / 5
	case k == directory.Configurations:
		return bound * 3 / 4
	case d.rechecks():
		return recheck
	case d.owners.any():
		return recheckAlone
	}
	return never // only owners use the servers
}

// confirm records that the state of a kind that this VM knows was that of the store at a time.
func (d *Daemon) confirm(k directory.Kind, at time.Duration) {
	for {
		known := d.confirmed[k].Load()
		if int64(at) <= known || d.confirmed[k].CompareAndSwap(known, int64(at)) {
			return
		}
	}
}

func (d *Daemon) confirmedAt(k directory.Kind) time.Duration {
	return time.Duration(d.confirmed[k].Load())
}

// confirmations returns the age of each kind's confirmation, for other VMs.
func (d *Daemon) confirmations() (ages [directory.KindCount]time.Duration) {
	now := d.clock()
	for k := range ages {
		ages[k] = now - d.confirmedAt(directory.Kind(k))
	}
	return ages
}

// confirmBy takes the confirmations of a VM that knows the same state.
func (d *Daemon) confirmBy(changed [directory.KindCount]uint64, ages [directory.KindCount]time.Duration) {
	now := d.clock()
	v := d.directory.View()
	for k := range directory.KindCount {
		if v.Changed[k] == changed[k] {
			d.confirm(k, now-ages[k]-linkTime)
		}
	}
}

// rechecks reports whether this VM owns one of the first services, whose owners recheck for all.
func (d *Daemon) rechecks() bool { return ownsFirst(d.directory.View(), d.self.Name, recheckers) }

// register records this run of the VM in the store, again if another VM took it for lost.
func (d *Daemon) register(ctx context.Context) error {
	pause := retryFirst
	registered := false
	for ctx.Err() == nil {
		_, known := d.directory.View().VMs[d.self.Name]
		if registered && (known || d.leaving.Load()) {
			sleep.For(ctx, registerInterval)
			continue
		}
		e, err := d.platform.Store.PutVM(ctx, d.self)
		if err == nil {
			d.directory.Put(d.clock(), directory.Fleet, e)
			registered = true
			continue
		}
		d.log.Warn("VM not registered", "error", err)
		sleep.For(ctx, pause)
		pause = min(2*pause, retryMost)
	}
	return nil
}

// joinSeeds opens links to the seeds until the configuration is known, for a start without the store.
func (d *Daemon) joinSeeds(ctx context.Context) error {
	for ctx.Err() == nil && d.directory.View().Configuration == nil {
		sleep.For(ctx, 2*retryFirst)
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

// offerNews sends another VM what it lacks. It is given time to learn the latest news by itself, or from the
// VMs that watch the store.
func (d *Daemon) offerNews(l *peer.Link, known [directory.KindCount]uint64, atOnce bool) {
	delay := lateNewsDelay
	switch tells := ownsFirst(d.directory.View(), d.self.Name, newsServices); {
	case tells && atOnce:
		delay = 0
	case tells:
		delay = newsDelay
	}
	for k := range directory.KindCount {
		revision, since := d.newsSince(k)
		if known[k] >= revision || d.clock()-since < delay {
			continue
		}
		news := d.directory.Changes(k, known[k])
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
