package entryvm

import (
	"context"
	"slices"

	"siskinrouter/internal/broker"
	"siskinrouter/internal/directory"
	"siskinrouter/internal/peer"
)

// handler takes the messages of other VMs.
type handler struct{ d *Daemon }

// Hello implements peer.Handler.
func (h *handler) Hello() peer.Hello {
	return peer.Hello{VM: h.d.self, LastChanges: h.d.directory.View().LastChanges}
}

// Handle implements peer.Handler.
func (h *handler) Handle(l *peer.Link, m peer.Message) {
	d := h.d
	switch {
	case m.Run != nil:
		h.run(l, m)
	case m.EndStream != nil:
		for _, b := range d.owners.all() {
			b.RollBackStream(broker.StreamKey{Link: l.ID, Stream: m.EndStream.Stream})
		}
	case m.Renewal != nil:
		d.beatAt.Store(int64(d.clock()))
		d.confirmBy(m.Renewal.LastChanges, m.Renewal.ConfirmedAge)
		if len(m.Renewal.OwnerRecords) == 0 {
			d.owners.hearOwner(l.Remote().RunID())
		}
		d.directory.MergeOwnerRecords(d.clock(), m.Renewal.OwnerRecords)
		granted := d.owners.answerBeat(m.Renewal.OwnerRecords)
		if h.answers(l.Remote().Name) {
			h.send(l, peer.Message{RenewalAck: &peer.RenewalAck{
				Sent: m.Renewal.Sent, Services: granted, LastChanges: d.directory.View().LastChanges,
			}})
		}
		d.fetchNews(l, m.Renewal.LastChanges)
	case m.RenewalAck != nil:
		d.owners.grant(l.Remote().Name, m.RenewalAck.Sent, m.RenewalAck.Services)
		d.fetchNews(l, m.RenewalAck.LastChanges)
	case m.FailureQuery != nil:
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, FailureVote: &peer.FailureVote{Suspected: d.owners.lost(m.FailureQuery.OwnerRecord)}})
	case m.Release != nil:
		d.owners.release(*m.Release)
	case m.Changes != nil:
		h.news(l, *m.Changes)
	case m.Hello != nil:
		d.directory.MergeVM(d.clock(), m.Hello.VM)
		d.owners.connected(m.Hello.VM)
		d.fetchNews(l, m.Hello.LastChanges)
	case m.ChangesRequest != nil:
		if m.ChangesRequest.Kind < directory.KindCount {
			news := d.directory.Changes(m.ChangesRequest.Kind, m.ChangesRequest.Since)
			h.send(l, peer.Message{Changes: &news})
		}
	case m.TokenRequest != nil:
		answer := &peer.TokenRequest{Workspace: m.TokenRequest.Workspace, IsAllocator: d.quotas.keeps(m.TokenRequest.Workspace)}
		if answer.IsAllocator {
			answer.Count = d.quotas.Take(m.TokenRequest.Workspace, m.TokenRequest.Count)
		}
		h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, TokenRequest: answer})
	case m.Promote != nil:
		go h.promote(l, m)
	}
}

// news takes the changes of a kind from another VM. Changes that do not fit what this VM knows are replaced by
// the complete state.
func (h *handler) news(l *peer.Link, news directory.Listing) {
	d := h.d
	if news.Kind >= directory.KindCount {
		return
	}
	if d.directory.MergeListing(d.clock(), news) {
		d.log.Info("news of another VM", "from", l.Remote().Name, "kind", news.Kind, "revision", news.Revision)
		return
	}
	if news.Since > 0 && news.Revision > d.directory.View().Revisions[news.Kind] {
		d.log.Info("news do not fit; asking for the complete state", "from", l.Remote().Name, "kind", news.Kind,
			"since", news.Since, "revision", news.Revision)
		h.send(l, peer.Message{ChangesRequest: &peer.ChangesRequest{Kind: news.Kind}})
	}
}

func (h *handler) send(l *peer.Link, m peer.Message) {
	if err := l.Send(m); err != nil {
		h.d.log.Debug("message not sent", "to", l.Remote().Name, "error", err)
	}
}

// answers reports whether the owner that has sent a renewal needs the answer of this VM: its promise counts, or
// the owner looks for VMs that are gone.
func (h *handler) answers(owner string) bool {
	v := h.d.directory.View()
	duty, ok := dutyService(v)
	return slices.Contains(electors(v), h.d.self.Name) || ok && duty.Holder.Name == owner
}

// run runs a statement of another VM.
func (h *handler) run(l *peer.Link, m peer.Message) {
	reply := func(r broker.Result) { h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, Result: &r}) }
	key := broker.StreamKey{Link: l.ID, Stream: m.Run.Stream}
	if m.Run.First {
		b := h.d.owners.broker(m.Run.Service)
		if b == nil {
			reply(broker.Result{Stream: m.Run.Stream, NotOwner: true})
			return
		}
		b.Execute(key, *m.Run, reply)
		return
	}
	for _, b := range h.d.owners.all() {
		if b.Service == m.Run.Service && b.HasTransaction(key) {
			b.Execute(key, *m.Run, reply)
			return
		}
	}
	reply(broker.RolledBackResult(m.Run.Stream))
}

// promote carries out an order for the owner of another service.
func (h *handler) promote(l *peer.Link, m peer.Message) {
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	done := &peer.PromoteResult{}
	if err := h.d.owners.carryOut(ctx, m.Promote.Service, m.Promote.Server); err != nil {
		h.d.log.Warn("order not carried out", "service", m.Promote.Service, "server", m.Promote.Server, "error", err)
		done.Error = err.Error()
	}
	h.send(l, peer.Message{Seq: m.Seq, IsResponse: true, PromoteResult: done})
}

// Closed implements peer.Handler.
func (h *handler) Closed(l *peer.Link) {
	for _, b := range h.d.owners.all() {
		b.RollBackLink(l.ID)
	}
}

// ConnectionRefused implements peer.Handler.
func (h *handler) ConnectionRefused(address string) { h.d.owners.refused(address) }
