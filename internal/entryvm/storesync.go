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
	// watchWait is the maximum duration of one watch call. Dead connections are detected by TCP keep-alive probes.
	watchWait = 20 * time.Second
	// relistAge and ownerRelistAge are the ages of a confirmation after which the owners of the first services, and the
	// other owners, list servers and withdrawals again, because a watch can stall without an error. A withdrawal has to
	// take effect within five seconds.
	relistAge           = 2 * time.Second
	ownerRelistAge      = 3500 * time.Millisecond
	relistCheckInterval = 200 * time.Millisecond
	// linkDelay is added to the age of a confirmation received from another VM, to allow for the time on the link.
	linkDelay = 100 * time.Millisecond
	never     = time.Duration(math.MaxInt64)
	// watchAfterSilence is the time without a renewal from any owner after which a VM watches the store itself;
	// renewals reach every VM at least once a second.
	watchAfterSilence = 1800 * time.Millisecond
	// startupWatchDelay is the time after startup until a VM that receives no renewals watches the store.
	startupWatchDelay = 4 * time.Second
	// registerInterval is the time between two checks that the VM's record still exists.
	registerInterval = time.Second
	// registrationWait bounds the time that the first listing of the fleet waits for this VM's own record.
	registrationWait = 500 * time.Millisecond
	// bootstrapListDelay lets VMs that start together register before each lists the others.
	bootstrapListDelay = 600 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the delay after a failed store call; each call is billed, also during
	// an outage.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
	// changesRequestDelay is how long a VM that watches the store waits for changes from the store before it requests
	// them from another VM.
	changesRequestDelay = 500 * time.Millisecond
	// changesRequestTimeout is how long a VM waits for requested changes before it requests them again. The complete
	// state of a large fleet takes some ten milliseconds on a link of 20 Mbit/s.
	changesRequestTimeout = 400 * time.Millisecond
	// startupCheckInterval is the time between two checks during startup whether a kind has to be listed; a VM that
	// resumes its services waits that long for its servers.
	startupCheckInterval = 25 * time.Millisecond
	// reloadInterval is the time between two checks for a settings file that changed without a signal.
	reloadInterval = 5 * time.Second
)

// watchBatchDelay is the time to wait after a change, by kind, so that further changes arrive in the same watch call:
// each change ends a watch, each call is billed, and during a fleet restart every VM causes a change. Owners announce
// new owner records themselves.
var watchBatchDelay = [directory.KindCount]time.Duration{
	directory.Servers: 100 * time.Millisecond, directory.Fleet: 250 * time.Millisecond,
}

// shouldWatch reports whether this VM has to watch a kind in the store itself. Store calls are billed, so only some VMs
// watch; the others learn of changes from the renewals of owners.
func (d *Daemon) shouldWatch(k directory.Kind) bool {
	v := d.directory.View()
	if ownsFirst(v, d.self.Name, watchingServices) {
		return true
	}
	now := d.clock()
	if now < startupClaimDelay {
		// The fleet is not known yet, so each VM would consider itself one of the watchers. Without a configuration
		// there are no owners to learn changes from, and the other kinds are of no use.
		return k == directory.Configurations && v.Configuration == nil
	}
	if slices.Contains(watchers(v), d.self.Name) {
		return true
	}
	return now > startupWatchDelay && now-time.Duration(d.lastRenewalAt.Load()) > watchAfterSilence
}

// followStore keeps one kind of objects in sync with the store.
func (d *Daemon) followStore(ctx context.Context, k directory.Kind) error {
	if k == directory.Fleet && d.settings.Load().Bootstrap {
		sleep.For(ctx, bootstrapListDelay)
	}
	if k == directory.Fleet {
		// A run votes once it has listed the fleet with its own record.
		select {
		case <-d.registered:
		case <-time.After(registrationWait):
		case <-ctx.Done():
		}
	}
	pause := minStoreBackoff
	listed := false
	for ctx.Err() == nil {
		if listed && !d.shouldWatch(k) || !listed && !d.mustList(k) {
			sleep.For(ctx, d.followCheckInterval())
			continue
		}
		err := d.listAndWatch(ctx, k, &listed)
		switch {
		case ctx.Err() != nil:
			return nil
		case err == nil:
			continue
		case errors.Is(err, directory.ErrCompacted):
			d.log.Info("store history was compacted; listing again", "kind", k)
			pause = minStoreBackoff
			continue
		}
		d.log.Warn("store call failed", "kind", k, "error", err, "retry_in", pause)
		sleep.For(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
	return nil
}

// mustList reports whether this VM has to list a kind itself. Only owners use servers and withdrawals; other VMs
// learn them from owners before they own a service.
func (d *Daemon) mustList(k directory.Kind) bool {
	starting := d.clock() < startupClaimDelay && d.directory.View().Configuration == nil
	return k == directory.Configurations || k == directory.Fleet || starting || d.shouldWatch(k) || d.ownership.any()
}

// followCheckInterval returns the time until the next check whether a kind has to be listed or watched.
func (d *Daemon) followCheckInterval() time.Duration {
	if d.clock() < startupClaimDelay {
		return startupCheckInterval
	}
	return checkInterval
}

// listAndWatch lists a kind and watches it until a call fails or this VM should no longer watch. It sets listed after
// the listing succeeded.
func (d *Daemon) listAndWatch(ctx context.Context, k directory.Kind, listed *bool) error {
	started := d.clock()
	l, err := d.deps.Store.List(ctx, k)
	if err != nil {
		return err
	}
	d.log.Info("store listed", "kind", k, "revision", l.Revision, "objects", len(l.Entries))
	d.directory.Replace(d.clock(), l)
	d.confirm(k, started)
	if k == directory.Fleet {
		d.members.fleetListed(l)
	}
	*listed = true
	after := l.Revision
	for d.shouldWatch(k) {
		changes, err := d.deps.Store.Watch(ctx, k, after, watchWait)
		if err != nil {
			return err
		}
		d.directory.Update(d.clock(), changes)
		after = max(after, changes.Revision)
		if len(changes.Entries) > 0 {
			sleep.For(ctx, watchBatchDelay[k])
		}
	}
	return nil
}

// relistStale lists a kind again when its state has not been confirmed for too long.
func (d *Daemon) relistStale(ctx context.Context, k directory.Kind) error {
	pause := relistCheckInterval
	for ctx.Err() == nil {
		sleep.For(ctx, pause)
		pause = relistCheckInterval
		if d.clock()-d.confirmedAt(k) < d.maxConfirmationAge(k) {
			continue
		}
		started := d.clock()
		l, err := d.deps.Store.List(ctx, k)
		if err != nil {
			d.log.Warn("relisting failed", "kind", k, "error", err)
			pause = maxStoreBackoff
			continue
		}
		before := d.directory.View().LastChanges[k]
		d.directory.Replace(d.clock(), l)
		d.confirm(k, started)
		if after := d.directory.View().LastChanges[k]; after != before {
			d.log.Info("relisting found changes", "kind", k, "revision", l.Revision)
		}
	}
	return nil
}

// maxConfirmationAge returns the age after which the confirmation of a kind is stale. The owners of the first
// services confirm the state on behalf of all VMs that receive their renewals; a VM without such
// renewals relists by itself.
func (d *Daemon) maxConfirmationAge(k directory.Kind) time.Duration {
	limit := d.settings.Load().ConfigApplyLimit
	switch {
	case k == directory.Configurations && d.relists():
		return limit * 2 / 5
	case k == directory.Configurations:
		return limit * 3 / 4
	case d.relists():
		return relistAge
	case d.ownership.any():
		return ownerRelistAge
	}
	return never // only owners use the servers
}

// confirm records that the known state of a kind matched the store at the given time.
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

// confirmationAges returns the age of each kind's confirmation, to be sent to other VMs.
func (d *Daemon) confirmationAges() (ages [directory.KindCount]time.Duration) {
	now := d.clock()
	for k := range ages {
		ages[k] = now - d.confirmedAt(directory.Kind(k))
	}
	return ages
}

// observeEra applies an era of the store that another VM knows.
func (d *Daemon) observeEra(era uint64) {
	if era > d.directory.View().Era && era <= directory.MaxEra {
		d.directory.ObserveEra(d.clock(), era)
		d.deps.Store.ObserveEra(era)
	}
}

// observeChanges applies the era of the latest changes that another VM knows.
func (d *Daemon) observeChanges(lastChanges [directory.KindCount]uint64) {
	for _, revision := range lastChanges {
		d.observeEra(directory.EraOf(revision))
	}
}

// adoptConfirmations adopts the confirmations of a VM for each kind of which it knows no later state.
func (d *Daemon) adoptConfirmations(lastChanges [directory.KindCount]uint64, ages [directory.KindCount]time.Duration) {
	now := d.clock()
	v := d.directory.View()
	for k := range directory.KindCount {
		if v.Revisions[k] >= lastChanges[k] {
			d.confirm(k, now-ages[k]-linkDelay)
		}
	}
}

// relists reports whether this VM owns one of the first services, whose owners relist on behalf of all VMs.
func (d *Daemon) relists() bool { return ownsFirst(d.directory.View(), d.self.Name, relisters) }

// register records this run of the VM in the store, and again if the record was removed because other VMs considered
// it gone, or lost because the store returned from an older copy.
func (d *Daemon) register(ctx context.Context) error {
	pause := minStoreBackoff
	registered := false
	for ctx.Err() == nil {
		v := d.directory.View()
		_, known := v.VMs[d.self.Name]
		if registered && (known && !v.Unregistered(d.self.Name) || d.leaving.Load()) {
			sleep.For(ctx, registerInterval)
			continue
		}
		e, err := d.deps.Store.PutVM(ctx, d.self)
		if err == nil {
			d.directory.Put(d.clock(), directory.Fleet, e)
			if !registered {
				close(d.registered)
			}
			registered = true
			continue
		}
		d.log.Warn("VM not registered", "error", err)
		sleep.For(ctx, pause)
		pause = min(2*pause, maxStoreBackoff)
	}
	return nil
}

// dialSeeds connects to the seeds until the configuration is known, so that the VM can start without the store.
func (d *Daemon) dialSeeds(ctx context.Context) error {
	for ctx.Err() == nil && d.directory.View().Configuration == nil {
		sleep.For(ctx, 2*minStoreBackoff)
		if d.clock() < startupClaimDelay {
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

// reloadSettings reloads the settings on SIGHUP and periodically checks the settings file for changes.
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
		next, err := d.deps.Reload()
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

// pendingChanges tracks changes of a kind that other VMs know and this VM lacks.
type pendingChanges struct {
	revision    uint64        // latest revision that another VM has announced
	since       time.Duration // when this VM first learned that it lacks changes
	requestedAt time.Duration // time of the last request to another VM; 0 if there was none
}

// requestChanges requests the changes that this VM lacks from another VM. Only one VM is asked at a time: if all VMs
// pushed their changes, the traffic of one change would grow with VMs times owners.
func (d *Daemon) requestChanges(l *peer.Link, lastChanges [directory.KindCount]uint64) {
	d.observeChanges(lastChanges)
	v := d.directory.View()
	for k := range directory.KindCount {
		if lastChanges[k] <= v.Revisions[k] || !d.mayRequestChanges(k, lastChanges[k]) {
			continue
		}
		if err := l.Send(peer.Message{ChangesRequest: &peer.ChangesRequest{Kind: k, Since: v.Revisions[k]}}); err != nil {
			d.log.Debug("changes not requested", "kind", k, "error", err)
			return
		}
	}
}

// mayRequestChanges reports whether it is time to request changes of a kind. A VM that watches the store first waits
// to receive them from there.
func (d *Daemon) mayRequestChanges(k directory.Kind, revision uint64) bool {
	watches := d.shouldWatch(k)
	now := d.clock()
	d.pendingMu.Lock()
	defer d.pendingMu.Unlock()
	p := &d.pending[k]
	if p.revision <= d.directory.View().Revisions[k] {
		*p = pendingChanges{since: now}
	}
	p.revision = max(p.revision, revision)
	if watches && now-p.since < changesRequestDelay || p.requestedAt > 0 && now-p.requestedAt < changesRequestTimeout {
		return false
	}
	p.requestedAt = now
	return true
}
