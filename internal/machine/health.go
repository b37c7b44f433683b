package machine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// reportRepeat is the time between two calls with the same suspicion. It is below half of
	// reportTTL so that one lost message does not withdraw a suspicion.
	reportRepeat = 500 * time.Millisecond
	// reportTTL is the time for which a report counts and for which a withdrawal is repeated.
	reportTTL = 2 * time.Second
	// reportPeers is the number of best-ranked VMs that receive the reports about a group. It covers
	// all VMs of the present installations.
	reportPeers = 8
	// domainsNeeded is the number of failure domains that must agree. A VM whose own network failed
	// suspects every server and must not cause a change of the primary alone.
	domainsNeeded = 2
	// maxOwnReports bounds the reports in one message.
	maxOwnReports = 128
	// maxReportsPerServer and maxReportedServers bound the memory for reports of other VMs.
	maxReportsPerServer = 32
	maxReportedServers  = 4096
)

// Report is one VM's opinion of a server.
type Report struct {
	Server    string
	Group     string
	Suspected bool // false withdraws an earlier suspicion
	Reason    string
	Term      uint64 // term in which the server was seen as primary
}

type ownReport struct {
	report     Report
	candidates []VM // ranked VMs that receive it
	at         time.Duration
}

type heldReport struct {
	report Report
	domain string
	at     time.Duration
}

// Suspicion is the aggregated opinion of the fleet about a server.
type Suspicion struct {
	Domains   []string // failure domains with a VM that suspects the server, sorted
	Needed    int      // number of failure domains that must agree
	Confirmed bool
	Reports   []Report // one per failure domain, in the order of Domains
}

// Report records this VM's own opinion of a server and returns the calls that tell it to the VMs
// that rank first for the group. candidates are the VMs that may drive the group; nil means all live
// VMs. A repeated report without a change returns nothing.
func (m *Members) Report(now time.Duration, r Report, candidates []VM) []Action {
	old, known := m.ownReports[r.Server]
	unchanged := known && old.report.Suspected == r.Suspected && old.report.Term == r.Term
	if unchanged || (!known && !r.Suspected) || (!known && len(m.ownReports) >= maxOwnReports) {
		return nil
	}
	if candidates == nil {
		candidates = m.Live()
	}
	ranked := Rank(r.Group, candidates)
	own := ownReport{report: r, candidates: ranked[:min(reportPeers, len(ranked))], at: now}
	m.ownReports[r.Server] = own
	return m.tellReports(nil, []ownReport{own})
}

// currentReports returns the reports for a message, sorted by server.
func (m *Members) currentReports(now time.Duration) []Report {
	var list []Report
	for server, own := range m.ownReports {
		if !own.report.Suspected && now-own.at >= reportTTL {
			delete(m.ownReports, server)
			continue
		}
		list = append(list, own.report)
	}
	slices.SortFunc(list, func(a, b Report) int { return cmp.Compare(a.Server, b.Server) })
	return list
}

// tickReports repeats the calls of standing suspicions.
func (m *Members) tickReports(now time.Duration, actions []Action) []Action {
	if len(m.ownReports) == 0 || now < m.nextReports {
		return actions
	}
	m.nextReports = now + reportRepeat
	var due []ownReport
	for _, r := range m.currentReports(now) {
		own := m.ownReports[r.Server]
		if now-own.at >= reportRepeat {
			due = append(due, own)
		}
	}
	return m.tellReports(actions, due)
}

func (m *Members) tellReports(actions []Action, reports []ownReport) []Action {
	var peers []VM
	for _, own := range reports {
		for _, vm := range own.candidates {
			if vm.Name == m.self.Name || containsVM(peers, vm.Name) || len(peers) >= maxReportPeers {
				continue
			}
			peers = append(peers, vm)
			actions = append(actions, SyncWith{vm})
		}
	}
	return actions
}

// applyReports stores the reports of one VM.
func (m *Members) applyReports(now time.Duration, from VM, list []Report) {
	for i, r := range list {
		if i >= maxOwnReports {
			return
		}
		m.applyReport(now, from, r)
	}
}

func (m *Members) applyReport(now time.Duration, from VM, r Report) {
	held := m.reports[r.Server]
	if !r.Suspected {
		delete(held, from.Name)
		m.trimServer(now, r.Server)
		return
	}
	if held == nil {
		if len(m.reports) >= maxReportedServers {
			return
		}
		held = make(map[string]heldReport)
		m.reports[r.Server] = held
	}
	if _, known := held[from.Name]; !known && len(held) >= maxReportsPerServer {
		return
	}
	held[from.Name] = heldReport{report: r, domain: from.Domain, at: now}
}

// trimServer drops expired reports about a server and its entry when none are left.
func (m *Members) trimServer(now time.Duration, server string) {
	held := m.reports[server]
	for name, r := range held {
		if now-r.at >= reportTTL {
			delete(held, name)
		}
	}
	if len(held) == 0 {
		delete(m.reports, server)
	}
}

// dropReports forgets the reports of a VM whose incarnation was replaced or dropped.
func (m *Members) dropReports(name string) {
	for _, held := range m.reports {
		delete(held, name)
	}
}

// Suspicions aggregates the reports about a server that consider it primary of the given term or a
// later one. It is confirmed when VMs of two failure domains agree, or of all failure domains that
// have a live VM if there are fewer.
func (m *Members) Suspicions(now time.Duration, server string, term uint64) Suspicion {
	byDomain := make(map[string]Report)
	if own, ok := m.ownReports[server]; ok && own.report.Suspected && own.report.Term >= term {
		byDomain[m.self.Domain] = own.report
	}
	held := m.reports[server]
	for _, name := range slices.Sorted(maps.Keys(held)) {
		r := held[name]
		if now-r.at < reportTTL && r.report.Term >= term {
			byDomain[r.domain] = r.report
		}
	}
	s := Suspicion{Needed: min(domainsNeeded, max(1, m.liveDomains()))}
	s.Domains = slices.Sorted(maps.Keys(byDomain))
	for _, domain := range s.Domains {
		s.Reports = append(s.Reports, byDomain[domain])
	}
	s.Confirmed = len(s.Domains) >= s.Needed
	return s
}

// liveDomains counts the failure domains with a live VM.
func (m *Members) liveDomains() int {
	live := 0
	for _, names := range m.byZone {
		for _, name := range names {
			if m.members[name].view().State == Live {
				live++
				break
			}
		}
	}
	return live
}
