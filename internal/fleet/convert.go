package fleet

import (
	"time"

	"siskinrouter/internal/fleet/fleetpb"
	"siskinrouter/internal/grant"
	"siskinrouter/internal/machine"
	"siskinrouter/internal/platform"
)

// maxWireDuration limits durations from the wire, so that their conversion cannot overflow.
const maxWireDuration = 365 * 24 * time.Hour

func convertAll[A, B any](list []A, convert func(A) B) []B {
	if len(list) == 0 {
		return nil
	}
	out := make([]B, len(list))
	for i, a := range list {
		out[i] = convert(a)
	}
	return out
}

func durationFromMilliseconds(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(maxWireDuration/time.Millisecond))) * time.Millisecond
}

// ceilMilliseconds rounds up, because a peer must not take the configuration for fresher than it
// is.
func ceilMilliseconds(d time.Duration) uint64 {
	return uint64(max(0, d+time.Millisecond-1) / time.Millisecond)
}

func vmToPB(v machine.VM) *fleetpb.VM {
	return &fleetpb.VM{
		Name: v.Name, Incarnation: v.Incarnation, Domain: v.Domain, Address: v.Address,
		State: fleetpb.VMState(v.State) + fleetpb.VMState_VM_STATE_LIVE,
	}
}

func vmFromPB(v *fleetpb.VM) machine.VM {
	state := machine.Live
	if s := v.GetState(); s > fleetpb.VMState_VM_STATE_LIVE && s <= fleetpb.VMState_VM_STATE_GONE {
		state = machine.State(s - fleetpb.VMState_VM_STATE_LIVE)
	}
	return machine.VM{
		Name: v.GetName(), Incarnation: v.GetIncarnation(), Domain: v.GetDomain(), Address: v.GetAddress(),
		State: state,
	}
}

func versionToPB(v machine.Version) *fleetpb.ObjectVersion {
	return &fleetpb.ObjectVersion{Name: v.Name, Version: v.Version}
}

func versionFromPB(v *fleetpb.ObjectVersion) machine.Version {
	return machine.Version{Name: v.GetName(), Version: v.GetVersion()}
}

func objectToPB(o platform.Object) *fleetpb.Object {
	return &fleetpb.Object{Name: o.Name, Version: o.Version, Value: o.Value}
}

func objectFromPB(o *fleetpb.Object) platform.Object {
	return platform.Object{Name: o.GetName(), Version: o.GetVersion(), Value: o.GetValue()}
}

func healthReportToPB(r machine.Report) *fleetpb.HealthReport {
	return &fleetpb.HealthReport{
		Server: r.Server, Group: r.Group, Suspected: r.Suspected, Reason: r.Reason, Term: r.Term,
	}
}

func healthReportFromPB(r *fleetpb.HealthReport) machine.Report {
	return machine.Report{
		Server: r.GetServer(), Group: r.GetGroup(), Suspected: r.GetSuspected(), Reason: r.GetReason(),
		Term: r.GetTerm(),
	}
}

func helloToPB(h machine.Hello) *fleetpb.Hello {
	return &fleetpb.Hello{
		Vm:            vmToPB(h.VM),
		Sequence:      h.Sequence,
		Digests:       h.Digests,
		Versions:      convertAll(h.Versions, versionToPB),
		Buckets:       h.Buckets,
		Wanted:        h.Wanted,
		Reports:       convertAll(h.Reports, healthReportToPB),
		Members:       convertAll(h.Members, vmToPB),
		MembersWanted: uint32(max(0, h.MembersWanted)),
		Fresh:         h.Fresh,
		FreshAgeMs:    ceilMilliseconds(h.FreshAge),
	}
}

func helloFromPB(h *fleetpb.Hello) machine.Hello {
	return machine.Hello{
		VM:            vmFromPB(h.GetVm()),
		Sequence:      h.GetSequence(),
		Digests:       h.GetDigests(),
		Versions:      convertAll(h.GetVersions(), versionFromPB),
		Buckets:       h.GetBuckets(),
		Wanted:        h.GetWanted(),
		Reports:       convertAll(h.GetReports(), healthReportFromPB),
		Members:       convertAll(h.GetMembers(), vmFromPB),
		MembersWanted: int(h.GetMembersWanted()),
		Fresh:         h.GetFresh(),
		FreshAge:      durationFromMilliseconds(h.GetFreshAgeMs()),
	}
}

func runIDToPB(v grant.RunID) *fleetpb.RunID {
	return &fleetpb.RunID{Name: v.Name, Incarnation: v.Incarnation}
}

func runIDFromPB(v *fleetpb.RunID) grant.RunID {
	return grant.RunID{Name: v.GetName(), Incarnation: v.GetIncarnation()}
}

func borrowRequestToPB(r grant.BorrowRequest) *fleetpb.BorrowRequest {
	return &fleetpb.BorrowRequest{
		From: runIDToPB(r.From), To: runIDToPB(r.To), Asks: convertAll(r.LoanRequests, loanRequestToPB), Recalls: r.Recalls,
	}
}

func borrowRequestFromPB(r *fleetpb.BorrowRequest) grant.BorrowRequest {
	return grant.BorrowRequest{
		From: runIDFromPB(r.GetFrom()), To: runIDFromPB(r.GetTo()),
		LoanRequests: convertAll(r.GetAsks(), loanRequestFromPB), Recalls: r.GetRecalls(),
	}
}

func loanRequestToPB(r grant.LoanRequest) *fleetpb.BorrowRequest_Ask {
	return &fleetpb.BorrowRequest_Ask{
		Workspace: r.Workspace, Seq: r.Seq, Loan: r.Loan, Keep: int64(r.RetainedShare), MicroTokens: r.ReturnedTokens,
		Want: int64(r.RequestedShare), Have: int64(r.OtherShare), Need: int64(r.DemandShare), Short: r.TokensLow,
	}
}

func loanRequestFromPB(r *fleetpb.BorrowRequest_Ask) grant.LoanRequest {
	return grant.LoanRequest{
		Workspace: r.GetWorkspace(), Seq: r.GetSeq(), Loan: r.GetLoan(), RetainedShare: grant.Share(r.GetKeep()),
		ReturnedTokens: r.GetMicroTokens(), RequestedShare: grant.Share(r.GetWant()), OtherShare: grant.Share(r.GetHave()),
		DemandShare: grant.Share(r.GetNeed()), TokensLow: r.GetShort(),
	}
}

func borrowReplyToPB(r grant.BorrowReply) *fleetpb.BorrowResponse {
	return &fleetpb.BorrowResponse{From: runIDToPB(r.From), To: runIDToPB(r.To), Grants: convertAll(r.Grants, grantToPB)}
}

func borrowReplyFromPB(r *fleetpb.BorrowResponse) grant.BorrowReply {
	return grant.BorrowReply{
		From: runIDFromPB(r.GetFrom()), To: runIDFromPB(r.GetTo()), Grants: convertAll(r.GetGrants(), grantFromPB),
	}
}

func grantToPB(g grant.Grant) *fleetpb.BorrowResponse_Grant {
	return &fleetpb.BorrowResponse_Grant{
		Workspace: g.Workspace, Seq: g.Seq, Loan: g.Loan, Amount: int64(g.Amount), MicroTokens: g.Tokens,
		Spare: int64(g.SpareShare),
	}
}

func grantFromPB(g *fleetpb.BorrowResponse_Grant) grant.Grant {
	return grant.Grant{
		Workspace: g.GetWorkspace(), Seq: g.GetSeq(), Loan: g.GetLoan(), Amount: grant.Share(g.GetAmount()),
		Tokens: g.GetMicroTokens(), SpareShare: grant.Share(g.GetSpare()),
	}
}

func statusToPB(s Status) *fleetpb.StatusResponse {
	return &fleetpb.StatusResponse{
		Vm:       vmToPB(s.VM),
		Versions: convertAll(s.Versions, versionToPB),
		Members:  convertAll(s.Members, vmToPB),
		Groups:   convertAll(s.Groups, groupStatusToPB),
		Domains:  convertAll(s.Domains, domainStatusToPB),
		Counters: s.Counters,
	}
}

func statusFromPB(s *fleetpb.StatusResponse) Status {
	return Status{
		VM:       vmFromPB(s.GetVm()),
		Versions: convertAll(s.GetVersions(), versionFromPB),
		Members:  convertAll(s.GetMembers(), vmFromPB),
		Groups:   convertAll(s.GetGroups(), groupStatusFromPB),
		Domains:  convertAll(s.GetDomains(), domainStatusFromPB),
		Counters: s.GetCounters(),
	}
}

func groupStatusToPB(g GroupStatus) *fleetpb.GroupStatus {
	server := func(s ServerStatus) *fleetpb.ServerStatus {
		return &fleetpb.ServerStatus{Name: s.Name, Role: s.Role, Healthy: s.Healthy, Detail: s.Detail}
	}
	return &fleetpb.GroupStatus{
		Name: g.Name, Primary: g.Primary, Term: g.Term, Healthy: g.Healthy, Detail: g.Detail,
		Servers: convertAll(g.Servers, server),
	}
}

func groupStatusFromPB(g *fleetpb.GroupStatus) GroupStatus {
	server := func(s *fleetpb.ServerStatus) ServerStatus {
		return ServerStatus{Name: s.GetName(), Role: s.GetRole(), Healthy: s.GetHealthy(), Detail: s.GetDetail()}
	}
	return GroupStatus{
		Name: g.GetName(), Primary: g.GetPrimary(), Term: g.GetTerm(), Healthy: g.GetHealthy(),
		Detail: g.GetDetail(), Servers: convertAll(g.GetServers(), server),
	}
}

func domainStatusToPB(d DomainStatus) *fleetpb.DomainStatus {
	return &fleetpb.DomainStatus{Name: d.Name, State: d.State, Detail: d.Detail}
}

func domainStatusFromPB(d *fleetpb.DomainStatus) DomainStatus {
	return DomainStatus{Name: d.GetName(), State: d.GetState(), Detail: d.GetDetail()}
}
