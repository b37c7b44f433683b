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
	// newsDelay is how long a VM that watches the store waits for news from there before it asks another VM.
	newsDelay = 500 * time.Millisecond
	// askTimeout is how long a VM waits for the news that it asked for until it asks again. The complete state
	// of a large fleet takes some ten milliseconds on a link of 20 Mbit/s.
	askTimeout = 400 * time.Millisecond
	// needInterval is the time between two looks at whether a kind has to be listed while a VM starts: one that
	// resumes its services waits that long for its servers.
	needInterval = 25 * time.Millisecond
	// reloadInterval is the time between two looks for a settings file that changed without a signal.
	reloadInterval = 5 * time.Second
)

// watchPause is the time after news in which further ones gather, by kind: a watch ends with each change and is
// priced, and a fleet that restarts changes with each VM. Owners tell of new tenures by themselves.
var watchPause = [directory.KindCount]time.Duration{
	directory.Servers: 100 * time.Millisecond, directory.Fleet: 250 * time.Millisecond,
}

// watches reports whether this VM learns news from the store by itself. All calls are priced, so only
// some VMs watch; the others are told by owners while they hear one.
func (d *Daemon) watches() bool {
	v := d.directory.View()
	if ownsFirst(v, d.self.Name, newsServices) {
		return true
	}
	now := d.clock()
	if now < claimDelay {
		// The fleet is not known yet, so each VM would take itself for one of the watchers. Without a
		// configuration there are no owners that tell.
		return v.Configuration == nil
	}
	if slices.Contains(watchers(v), d.self.Name) {
		return true
	}
	return now > startPatience && now-time.Duration(d.beatAt.Load()) > watchSilence
}

// follow keeps a kind of objects up to date from the store.
func (d *Daemon) follow(ctx context.Context, k directory.Kind) error {
	if k == directory.Fleet && d.settings.Load().Bootstrap {
		sleep.For(ctx, meetTime)
	}
	pause := retryFirst
	listed := false
	for ctx.Err() == nil {
		if listed && !d.watches() || !listed && !d.needs(k) {
			sleep.For(ctx, d.needPause())
			continue
		}
		err := d.followOnce(ctx, k, &listed)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			continue
		case errors.Is(err, directory.ErrCompacted):
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

// needs reports whether this VM has to list a kind by itself. Servers and withdrawals are used by owners only;
// the others learn them from owners in time for the day on which they own a service.
func (d *Daemon) needs(k directory.Kind) bool {
	return k == directory.Configurations || k == directory.Fleet || d.watches() || d.owners.any()
}

// needPause returns the time until the next look at whether a kind has to be listed or watched.
func (d *Daemon) needPause() time.Duration {
	if d.clock() < claimDelay {
		return needInterval
	}
	return lookInterval
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
		if len(changes.Entries) > 0 {
			sleep.For(ctx, watchPause[k])
		}
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
		before := d.directory.View().LastChanges[k]
		d.directory.Replace(d.clock(), l)
		d.confirm(k, started)
		if after := d.directory.View().LastChanges[k]; after != before {
			d.log.Info("recheck found news", "kind", k, "revision", l.Revision)
		}
	}
	return nil
}

// recheckAge returns how old the confirmation of a kind may become. The owners of the first services
// confirm for all VMs that hear them; the others list only if they hear none of those.
func (d *Daemon) recheckAge(k directory.Kind) time.Duration {
	bound := d.settings.Load().ConfigApplyLimit
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

// confirmBy takes the confirmations of a VM that knows no later state.
func (d *Daemon) confirmBy(changed [directory.KindCount]uint64, ages [directory.KindCount]time.Duration) {
	now := d.clock()
	v := d.directory.View()
	for k := range directory.KindCount {
		if v.Revisions[k] >= changed[k] {
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
				d.peers.LinkOrDial(address)
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
			d.log.Info("settings reloaded", "cause", cause, "seeds", len(next.Seeds), "grace", next.GracePeriod)
		}
		d.settings.Store(&next)
	}
}

// wanted is the news of a kind that another VM knows and this one lacks.
type wanted struct {
	revision uint64        // the latest that another VM has named
	since    time.Duration // when this VM first heard of news beyond its own
	asked    time.Duration // when another VM was asked for them last; 0 if none was
}

// fetchNews asks another VM for what it knows and this VM lacks. One VM is asked at a time: if all that know
// news sent them, a change would cost VMs times owners.
func (d *Daemon) fetchNews(l *peer.Link, changed [directory.KindCount]uint64) {
	v := d.directory.View()
	for k := range directory.KindCount {
		if changed[k] <= v.Revisions[k] || !d.mayAsk(k, changed[k]) {
			continue
		}
		if err := l.Send(peer.Message{ChangesRequest: &peer.ChangesRequest{Kind: k, Since: v.Revisions[k]}}); err != nil {
			d.log.Debug("news not asked for", "kind", k, "error", err)
			return
		}
	}
}

// mayAsk reports whether it is time to ask for news of a kind. A VM that watches the store is given time to
// learn them from there.
func (d *Daemon) mayAsk(k directory.Kind, revision uint64) bool {
	watches := d.watches()
	now := d.clock()
	d.newsMu.Lock()
	defer d.newsMu.Unlock()
	w := &d.wanted[k]
	if w.revision <= d.directory.View().Revisions[k] {
		*w = wanted{since: now}
	}
	w.revision = max(w.revision, revision)
	if watches && now-w.since < newsDelay || w.asked > 0 && now-w.asked < askTimeout {
		return false
	}
	w.asked = now
	return true
}
