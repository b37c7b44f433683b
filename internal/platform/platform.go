// Package platform is the client of the platform's object API, which stores all state of
// siskinrouter that has to outlive a VM.
package platform

import (
	"context"
	"errors"
	"fmt"
	"regexp"
	"time"
)

// MaxValueSize is the largest value of an object, in bytes.
const MaxValueSize = 1 << 20

// Object is a named value with a version that grows by one with each update. Version 0 means
// that the object does not exist.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// VMState is the state of a VM in the platform's list.
type VMState string

// States of a VM in the platform's list. A VM that the platform has stopped is absent.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is an entry of the platform's VM list, which may be out of date.
type VM struct {
	Name        string  `json:"name"`
	Incarnation string  `json:"incarnation"` // differs for each start of a VM of the same name
	Domain      string  `json:"domain"`      // failure domain
	Address     string  `json:"address"`     // host:port of the fleet service
	State       VMState `json:"state"`
}

// Errors of a Store. Each is checked with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the object no longer has the version that the update was based on.
	ErrConflict = errors.New("object was changed by someone else")
	// ErrOverQuota means that the platform refused the call because of its rate limit.
	ErrOverQuota = errors.New("platform call quota exceeded")
	// ErrUnavailable means that the platform did not respond; a change may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrTooLarge means that the value exceeds MaxValueSize; nothing was changed.
	ErrTooLarge = errors.New("value exceeds the platform limit of 1 MB")
	// ErrOutcomeUnknown means that Update could not find out whether its change took effect.
	ErrOutcomeUnknown = errors.New("the change may have taken effect")
	// ErrStopped means that the platform has stopped this incarnation of a VM.
	ErrStopped = errors.New("the platform has stopped this incarnation of the VM")
)

// QuotaError is an ErrOverQuota with the retry delay that the platform requested.
type QuotaError struct {
	RetryAfter time.Duration // 0 if the platform did not say
}

// Error returns the text of ErrOverQuota and the retry delay.
func (e *QuotaError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrOverQuota, e.RetryAfter)
}

// Unwrap returns ErrOverQuota.
func (e *QuotaError) Unwrap() error { return ErrOverQuota }

// namePattern excludes characters and segments that URL paths treat specially.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9_-][A-Za-z0-9._-]*(/[A-Za-z0-9_-][A-Za-z0-9._-]*)*$`)

// CheckName returns an error unless name can name an object: segments of letters, digits, dots,
// dashes and underscores that do not start with a dot, separated by slashes.
func CheckName(name string) error {
	if !namePattern.MatchString(name) {
		return fmt.Errorf("invalid object name %q: want segments of letters, digits, '.', '-' and '_' separated by '/'", name)
	}
	return nil
}

// Store is the platform's object API. Support for another platform takes one new implementation.
type Store interface {
	// Get returns an object, or ErrNotFound.
	Get(ctx context.Context, name string) (Object, error)
	// List returns the objects whose names start with prefix and the store revision they reflect.
	List(ctx context.Context, prefix string) ([]Object, uint64, error)
	// Put stores value if the object still has the given version (0 creates it) and returns the
	// new version. After ErrUnavailable the change may have taken effect.
	Put(ctx context.Context, name string, version uint64, value []byte) (uint64, error)
	// Watch waits for changes with the prefix after the given store revision. It returns the changed
	// objects and the revision to continue from; the list may be empty when the wait timed out.
	Watch(ctx context.Context, prefix string, after uint64) ([]Object, uint64, error)
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
