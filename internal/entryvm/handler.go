package entryvm

import (
	"context"
	"errors"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/limits"
	"siskinrouter/internal/peer"
	"siskinrouter/internal/statement"
)

// handler processes the messages of other VMs.
type handler struct{ d *Daemon }

// Hello implements peer.Handler.
func (h *handler) Hello() peer.Hello {
	return peer.Hello{VM: h.d.self, LastChanges: h.d.directory.View().LastChanges, Reserves: true,
		VotersNumber: h.d.directory.View().Voters.Number}
}

// Handle implements peer.Handler.
func (h *handler) Handle(l *peer.Link, m peer.Message) {
	d := h.d
	switch {
	case m.Run != nil:
		h.execute(l, m)
	case m.EndStream != nil:
		for _, b := range d.allBrokers() {
			b.RollBackStream(broker.StreamKey{Link: l.ID, Stream: m.EndStream.Stream})
		}
	case m.Renewal != nil:
		d.observeChanges(m.Renewal.LastChanges)
		d.lastRenewalAt.Store(int64(d.clock()))
		d.adoptConfirmations(m.Renewal.LastChanges, m.Renewal.ConfirmedAge)
		d.ownership.recordIsolation(l.Remote().RunID(), m.Renewal.Isolated)
		d.ownership.recordLeaving(l.Remote().RunID(), m.Renewal.Leaving)
		d.members.heard(l.Remote().Name)
		d.members.othersKnow(m.Renewal.VotersNumber)
		if m.Renewal.Voters != nil {
			d.directory.MergeVoters(d.clock(), *m.Renewal.Voters)
		}
		if len(m.Renewal.OwnerRecords) == 0 {
			d.ownership.recordRunRenewal(l.Remote().RunID())
		}
		d.directory.MergeOwnerRecords(d.clock(), m.Renewal.OwnerRecords)
		acknowledged := d.ownership.acknowledge(m.Renewal.VotersNumber, m.Renewal.OwnerRecords)
		if m.Renewal.Poll || d.ownership.voters().Votes(d.self.Name) {
			h.send(l, peer.Message{RenewalAck: &peer.RenewalAck{
				Sent: m.Renewal.Sent, Services: acknowledged, LastChanges: d.directory.View().LastChanges,
				Leaving: d.leaving.Load(), Presence: d.members.state(),
			}})
		}
		d.requestChanges(l, m.Renewal.LastChanges)
	case m.RenewalAck != nil:
		d.members.answered(l, m.RenewalAck.Presence)
		d.observeChanges(m.RenewalAck.LastChanges) // before the acknowledgment can confirm an outdated lease
		d.ownership.recordLeaving(l.Remote().RunID(), m.RenewalAck.Leaving)
		d.ownership.recordAck(l.Remote().Name, m.RenewalAck.Sent, m.RenewalAck.Services)
		d.requestChanges(l, m.RenewalAck.LastChanges)
	case m.FailureQuery != nil:
		d.observeEra(m.FailureQuery.Era)
		vote := d.ownership.vote(*m.FailureQuery)
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true,
			FailureVote: &vote})
	case m.PresenceQuery != nil:
		report := d.members.report(*m.PresenceQuery)
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, PresenceReport: &report})
	case m.Release != nil:
		d.ownership.releasePromise(*m.Release)
		if m.Release.Successor != nil {
			d.directory.MergeOwnerRecords(d.clock(), []directory.OwnerRecordEntry{*m.Release.Successor})
		}
		d.rateLimiter.inherit(*m.Release)
	case m.Changes != nil:
		h.mergeChanges(l, *m.Changes)
	case m.Hello != nil:
		d.directory.MergeVM(d.clock(), m.Hello.VM)
		d.ownership.clearRefused(m.Hello.VM)
		d.members.heard(m.Hello.VM.Name)
		d.members.othersKnow(m.Hello.VotersNumber)
		d.peers.Announced(m.Hello.VM.Address)
		d.ownership.renewUnconfirmed()
		d.requestChanges(l, m.Hello.LastChanges)
	case m.ChangesRequest != nil:
		if m.ChangesRequest.Kind < directory.KindCount {
			changes := d.directory.Changes(m.ChangesRequest.Kind, m.ChangesRequest.Since)
			h.send(l, peer.Message{Changes: &changes})
		}
	case m.TokenRequest != nil:
		granted, ok := d.rateLimiter.allocate(*m.TokenRequest)
		if !ok && m.TokenRequest.Forward {
			go h.forwardTokenRequest(l, m)
			return
		}
		h.sendTokens(l, m, granted, ok)
	case m.Promote != nil:
		go h.promote(l, m)
	case m.PromotionConfirm != nil:
		response := peer.PromotionConfirm{Attempt: m.PromotionConfirm.Attempt,
			Wanted: d.ownership.confirmPromotion(m.PromotionConfirm.Attempt)}
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, PromotionConfirm: &response})
	case m.PositionQuery != nil:
		report := d.ownership.positionReport(l.Remote().Name, *m.PositionQuery)
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, PositionReport: &report})
	case m.UsageQuery != nil, m.UsageReport != nil:
		response := d.usage.handle(m)
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, UsageReport: &response})
	}
}

// mergeChanges merges changes of a kind sent by another VM. If they do not follow the known state, it requests the
// complete state.
func (h *handler) mergeChanges(l *peer.Link, changes directory.Listing) {
	d := h.d
	if changes.Kind >= directory.KindCount {
		return
	}
	if d.directory.MergeListing(d.clock(), changes) {
		d.log.Info("merged changes from another VM", "from", l.Remote().Name, "kind", changes.Kind,
			"revision", changes.Revision)
		return
	}
	if changes.Since > 0 && changes.Revision > d.directory.View().Revisions[changes.Kind] {
		d.log.Info("changes do not follow the known state; requesting the complete state", "from", l.Remote().Name,
			"kind", changes.Kind, "since", changes.Since, "revision", changes.Revision)
		h.send(l, peer.Message{ChangesRequest: &peer.ChangesRequest{Kind: changes.Kind}})
	}
}

func (h *handler) send(l *peer.Link, m peer.Message) {
	if err := l.Send(m); err != nil {
		h.d.log.Debug("message not sent", "to", l.Remote().Name, "error", err)
	}
}

// execute runs a statement on behalf of another VM.
func (h *handler) execute(l *peer.Link, m peer.Message) {
	hold, repeatable := m.Run.Held, m.Run.Repeatable()
	reply := func(r broker.Result) {
		hold.Release()
		response := peer.Message{Seq: m.Seq, IsResponse: true, Result: &r}
		if !peer.IsLarge(&response) {
			h.reply(l, response, repeatable)
			return
		}
		// A large answer waits for memory at the other VM.
		go h.reply(l, response, repeatable)
	}
	if m.Run.Refused {
		h.d.refusedRuns.Inc(1)
		reply(broker.Result{Stream: m.Run.Stream, Response: statement.Refusal(statement.Overloaded, limits.ErrShort.Error()),
			TransactionOpen: !m.Run.First})
		return
	}
	key := broker.StreamKey{Link: l.ID, Stream: m.Run.Stream}
	if m.Run.First {
		b := h.d.ownership.broker(m.Run.Service)
		if m.Run.AtReplicas {
			b = h.d.replicaReaders.broker(m.Run.Service)
		}
		if b == nil {
			reply(broker.Result{Stream: m.Run.Stream, NotOwner: true, Admitted: m.Run.Admitted})
			return
		}
		b.Execute(key, *m.Run, reply)
		return
	}
	for _, b := range h.d.allBrokers() {
		if b.Service == m.Run.Service && b.HasTransaction(key) {
			b.Execute(key, *m.Run, reply)
			return
		}
	}
	reply(broker.RolledBackResult(m.Run.Stream))
}

func (h *handler) reply(l *peer.Link, m peer.Message, repeatable bool) {
	if err := l.Reply(m, repeatable); err != nil {
		h.d.log.Debug("result not sent", "to", l.Remote().Name, "error", err)
	}
}

// sendTokens responds to a token request. ok is false if this VM is not the allocator.
func (h *handler) sendTokens(l *peer.Link, m peer.Message, granted int, ok bool) {
	h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, TokenRequest: &peer.TokenRequest{
		Workspace: m.TokenRequest.Workspace, Count: granted, IsAllocator: ok,
	}})
}

// forwardTokenRequest passes on a token request of a VM that cannot reach the allocator.
func (h *handler) forwardTokenRequest(l *peer.Link, m peer.Message) {
	granted, ok := h.d.rateLimiter.forward(*m.TokenRequest)
	h.sendTokens(l, m, granted, ok)
}

// promote executes a promotion request from the owner of another service.
func (h *handler) promote(l *peer.Link, m peer.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), executionTimeout)
	defer cancel()
	done := &peer.PromoteResult{}
	err := h.d.ownership.executePromotion(ctx, m.Promote.Service, m.Promote.Server, func(ctx context.Context) error {
		return confirmWith(l, m.Promote.Attempt)
	})
	if err != nil {
		h.d.log.Warn("promotion failed", "service", m.Promote.Service, "server", m.Promote.Server, "error", err)
		done.Error = err.Error()
		done.NotPromoted = errors.Is(err, broker.ErrNotPromoted)
	}
	h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, PromoteResult: done})
}

// Closed implements peer.Handler.
func (h *handler) Closed(l *peer.Link) {
	for _, b := range h.d.allBrokers() {
		b.RollBackLink(l.ID)
	}
}

// ConnectionRefused implements peer.Handler.
func (h *handler) ConnectionRefused(address string) {
	h.d.ownership.markRefused(address)
	h.d.members.refused(address)
}
