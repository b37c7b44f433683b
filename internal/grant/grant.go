// Package grant divides the rate and burst of a workspace among VMs so that the fleet as a whole
// admits no more than the configured amount.
//
// A share is a fraction of a workspace's rate and burst. VMs own shares according to the owners
// objects of the platform; beyond that, shares move only by loans with a limited lifetime. An
// Account keeps the share and the tokens of one workspace on one VM and enforces every rule on
// which the limit depends. A Manager holds the accounts of a VM and decides which lender to ask,
// for how much and when; none of its decisions can break the limit.
//
// The limit holds because the active shares of all VMs never add up to more than FullShare, an
// account holds no more tokens than its share of the burst, and tokens accrue only over time, at
// the share of the rate. In every window the fleet therefore admits at most burst + rate x window.
//
// Nothing in this package is safe for concurrent use.
package grant

import (
	"cmp"
	"fmt"
	"math/bits"
	"time"
)

// Share is a fraction of a workspace's rate and burst in units of 1/FullShare.
type Share int64

// FullShare is the complete rate and burst of a workspace.
const FullShare Share = 1 << 20

// MicroTokensPerToken is the cost of one request in micro-tokens. Amounts of tokens are integers so
// that a transfer neither creates nor loses a fraction.
const MicroTokensPerToken int64 = 1_000_000

const (
	// LoanLifetime is how long a borrower may use a loan, counted from before it sent the request.
	LoanLifetime = 2 * time.Second
	// LoanMargin is added to the lifetime at the lender, so that clocks whose rates differ by up to
	// 1% cannot let the borrower use a loan that the lender considers expired.
	LoanMargin = LoanLifetime / 100
)

// RunID identifies one run of a VM. A restarted VM has the same name and another incarnation.
type RunID struct {
	Name        string
	Incarnation uint64
}

// String returns NAME/INCARNATION.
func (r RunID) String() string { return fmt.Sprintf("%s/%d", r.Name, r.Incarnation) }

// Compare orders runs by name and then by incarnation.
func (r RunID) Compare(other RunID) int {
	if c := cmp.Compare(r.Name, other.Name); c != 0 {
		return c
	}
	return cmp.Compare(r.Incarnation, other.Incarnation)
}

// BorrowRequest carries the loan requests of one VM to one lender, for any number of workspaces.
type BorrowRequest struct {
	From, To     RunID
	LoanRequests []LoanRequest
	Recalls      []string // workspaces in which the sender, as lender, asks the receiver to renew its loan now
}

// BorrowReply is the response to a BorrowRequest. From is the lender.
type BorrowReply struct {
	From, To RunID
	Grants   []Grant
}

// LoanRequest states which part of a loan the borrower retains and which share it requests from the
// lender.
type LoanRequest struct {
	Workspace      string
	Seq            uint64 // increases with every loan request of the borrower's account
	Loan           uint64 // loan that RetainedShare and ReturnedTokens belong to; 0 if there is none
	RetainedShare  Share  // share still held from this lender; the rest was released before sending
	ReturnedTokens int64  // micro-tokens returned with the released share
	RequestedShare Share  // total share that the borrower wants to hold from this lender
	OtherShare     Share  // share that the borrower owns or holds from other lenders
	DemandShare    Share  // share that matches the borrower's demand
	TokensLow      bool   // the borrower's tokens will soon run out
}

// Grant is the lender's response to a LoanRequest.
type Grant struct {
	Workspace  string
	Seq        uint64 // of the loan request
	Loan       uint64
	Amount     Share // share that the borrower may hold; below RetainedShare it requests a return
	Tokens     int64 // micro-tokens transferred to the borrower
	SpareShare Share // further share that the lender could have lent
}

// mulDiv returns a*b/c rounded down, for non-negative a and b, positive c and a result that fits.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}
