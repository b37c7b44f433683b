package proxy

// Rules names rules of the proxy that tests switch off, to show that their checks find the violation
// that each rule prevents. The zero value keeps all rules.
type Rules struct {
	Confirmation  bool // a write is acknowledged only after a majority holds it
	ReadFloor     bool // a read waits for the session's last write
	PrimaryTerm   bool // a primary that may have been superseded answers no session
	OwnLink       bool // a link belongs to one caller until its transaction ends
	OpenOutcome   bool // a request whose answer is missing is not reported as not run
	RequestIDs    bool // a request id is recorded together with the effect
	GracefulDrain bool // a shutdown lets transactions end
}
