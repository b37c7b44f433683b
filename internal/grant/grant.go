// Package grant divides the rate and burst of a workspace among VMs so that the fleet as a whole
// admits no more than the configured amount.
//
// A share is a fraction of a workspace's rate and burst. Owned shares come from the owners objects
// of the platform; all other movement is by loans. An Account keeps the share and the tokens of one
// workspace on one VM and enforces every rule on which the limit depends. A Manager holds the
// accounts of a VM and decides whom to ask, for how much and when; no decision of it can break the
// limit.
//
// The limit holds because the live shares of all VMs never add up to more than Whole, an account
// holds no more tokens than its share of the burst, and tokens are only created by the passage of
// time at the share of the rate. In every window the fleet therefore admits at most
// burst + rate x window.
//
// Nothing in this package is safe for concurrent use.
package grant

import (
	"cmp"
	"fmt"
	"math/bits"
	"time"
)

// Share is a fraction of a workspace's rate and burst in units of 1/Whole.
type Share int64

// FullShare is the complete rate and burst of a workspace.
const FullShare Share = 1 << 20

// MicroTokensPerToken is the number of micro-tokens that one request costs. Amounts of tokens are integers so
// that a transfer neither creates nor loses a fraction.
const MicroTokensPerToken int64 = 1_000_000

const (
	// LoanLifetime is how long a borrower may use a loan, counted from before it asked.
	LoanLifetime = 2 * time.Second
	// LoanMargin is the additional time for which the lender considers the loan in use. It
	// covers clocks whose rates differ by up to 1%.
	LoanMargin = LoanLifetime / 100
)

// RunID identifies one run of a RunID. A restarted RunID has the same name and another incarnation.
type RunID struct {
	Name        string
	Incarnation uint64
}

// String returns NAME/INCARNATION.
func (v RunID) String() string { return fmt.Sprintf("%s/%d", v.Name, v.Incarnation) }

// Compare orders VMs by name and then by incarnation.
func (v RunID) Compare(w RunID) int {
	if c := cmp.Compare(v.Name, w.Name); c != 0 {
		return c
	}
	return cmp.Compare(v.Incarnation, w.Incarnation)
}

// BorrowRequest carries the asks of one VM to one lender, for any number of workspaces.
type BorrowRequest struct {
	From, To     RunID
	LoanRequests []LoanRequest
	Recalls      []string // workspaces in which the sender asks the receiver to renew its loan now
}

// BorrowReply answers a BorrowRequest. From is the lender.
type BorrowReply struct {
	From, To RunID
	Grants   []Grant
}

// LoanRequest states what a borrower keeps of its loan from one lender and what it would like to hold.
type LoanRequest struct {
	Workspace      string
	Seq            uint64 // grows with every ask of a borrower's account
	Loan           uint64 // loan that Keep and Tokens belong to; 0 if there is none
	RetainedShare  Share  // share still held from this lender; the rest was given up before asking
	ReturnedTokens int64  // micro-tokens given back with the share that was given up
	RequestedShare Share  // share that the borrower would like to hold from this lender
	OtherShare     Share  // share that the borrower holds from elsewhere
	DemandShare    Share  // share that matches the borrower's demand
	TokensLow      bool   // the borrower's tokens will soon be used up
}

// Grant answers an Ask.
type Grant struct {
	Workspace  string
	Seq        uint64 // of the ask
	Loan       uint64
	Amount     Share // share that the borrower may hold; below Keep it asks for a return
	Tokens     int64 // micro-tokens handed over
	SpareShare Share // share that the lender could have lent in addition
}

// mulDiv returns a*b/c rounded down, for non-negative a and b, positive c and a result that fits.
func mulDiv(a, b, c int64) int64 {
	hi, lo := bits.Mul64(uint64(a), uint64(b))
	q, _ := bits.Div64(hi, lo, uint64(c))
	return int64(q)
}
