// Package settings holds the settings of one daemon, which are read once when it starts.
package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Settings of a daemon. Keys that a file leaves out have the default of the constant of the same name.
type Settings struct {
	VM       VM
	Callers  Callers
	Fleet    Fleet
	Platform Platform
	Target   Target
	Admin    Admin
	Limits   Limits
	Timings  Timings
	Log      Log
}

// VM says which VM the daemon runs on.
type VM struct {
	Name   string // unique in the fleet
	Domain string // failure domain, one of the operators' text
}

// Callers holds the service for callers (PostgreSQL protocol).
type Callers struct {
	Listen      string // IP:port
	TLSCertFile string // PEM; empty disables TLS
	TLSKeyFile  string // PEM
}

// Fleet holds the service for other VMs.
type Fleet struct {
	Listen      string   // IP:port
	Advertise   string   // IP:port at which other VMs reach it
	Seeds       []string // addresses of other VMs, for a start while the platform is down
	Key         Secret   // shared by all VMs; at least MinFleetKeyBytes
	KeyFile     string   // read by Load into Key
	TLSCertFile string   // PEM; empty disables TLS
	TLSKeyFile  string   // PEM
	TLSCAFile   string   // PEM; authorities of the certificates of other VMs; empty means those of the system
}

// Platform says where the platform's API is.
type Platform struct {
	URL string // without a trailing slash
}

// Target holds the credentials of the proxy at the targets.
type Target struct {
	User         string
	Password     Secret
	PasswordFile string // read by Load into Password
}

// Admin holds the service for operators' tools on the VM itself.
type Admin struct {
	Listen string // IP:port; empty disables it
}

// Limits protect the daemon from callers.
type Limits struct {
	MaxConnections   int           // of callers
	MaxMessageBytes  int           // of one protocol message of a caller
	LoginTimeout     time.Duration // from the connection to the end of authentication
	StatementTimeout time.Duration // upper limit of the timeouts of all routes
}

// Timings of the daemon's duties.
type Timings struct {
	ProbeInterval time.Duration // between two status probes of a server
	Suspicion     time.Duration // without an answer until a primary is suspected
	CutOffAfter   time.Duration // without fresh configuration until when_cut_off applies
	DrainTimeout  time.Duration // from SIGTERM until the daemon exits in any case; at least StatementTimeout
}

// Log holds the level of the log: debug, info, warn or error.
type Log struct {
	Level string
}

// Defaults of keys that a file may leave out.
const (
	DefaultMaxConnections   = 10_000
	DefaultMaxMessageBytes  = 16 << 20
	DefaultLoginTimeout     = 5 * time.Second
	DefaultStatementTimeout = 30 * time.Second

	DefaultProbeInterval = 100 * time.Millisecond
	DefaultSuspicion     = 400 * time.Millisecond
	DefaultCutOffAfter   = 10 * time.Second
	DefaultDrainTimeout  = 30 * time.Second

	DefaultLogLevel = "info"
)

// Limits of the values.
const (
	MinFleetKeyBytes = 32 // the length of the HMAC-SHA256 output, below which its strength is reduced

	MaxMaxConnections   = 1_000_000
	MinMaxMessageBytes  = 16 << 10 // room for a startup packet, which has at most 10,000 bytes
	MaxMaxMessageBytes  = 1 << 30  // limit of the PostgreSQL protocol
	MinTimeout          = 10 * time.Millisecond
	MaxLoginTimeout     = 5 * time.Minute
	MaxStatementTimeout = time.Hour

	MinProbeInterval = 10 * time.Millisecond
	MaxProbeInterval = 10 * time.Second
	MaxSuspicion     = time.Minute
	MinCutOffAfter   = time.Second
	MaxCutOffAfter   = 24 * time.Hour
	MinDrainTimeout  = time.Second
	MaxDrainTimeout  = time.Hour

	// MinProbesBeforeSuspicion is the least number of probe intervals in Suspicion. With fewer, one
	// lost packet would lead to a change of primary.
	MinProbesBeforeSuspicion = 2
)

// Secret is a text that is not shown when it is printed or logged.
type Secret string

const redacted = "(not shown)"

// String returns a fixed text.
func (Secret) String() string { return redacted }

// GoString returns a fixed text.
func (Secret) GoString() string { return redacted }

// MarshalText returns a fixed text.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// FaultsError means that a settings file is faulty.
type FaultsError struct {
	Path   string
	Faults []Fault
}

// Error returns a line "FILE:LINE: fault; remedy" for each fault.
func (e *FaultsError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = e.Path + ":" + f.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a settings file and the password and key files that it names. Relative paths in the file are
// relative to its directory. The error is a *FaultsError if the text of the file is faulty.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, faults := Parse(text)
	if len(faults) > 0 {
		return nil, &FaultsError{Path: path, Faults: faults}
	}
	s.resolvePaths(filepath.Dir(path))
	if err := s.readSecrets(); err != nil {
		return nil, err
	}
	return s, nil
}

// resolvePaths makes the paths of the settings independent of the working directory.
func (s *Settings) resolvePaths(dir string) {
	for _, p := range []*string{
		&s.Callers.TLSCertFile, &s.Callers.TLSKeyFile,
		&s.Fleet.KeyFile, &s.Fleet.TLSCertFile, &s.Fleet.TLSKeyFile, &s.Fleet.TLSCAFile,
		&s.Target.PasswordFile,
	} {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// readSecrets fills the secrets that are kept in files of their own and reports every failure.
func (s *Settings) readSecrets() error {
	var passwordErr, keyErr error
	if s.Target.PasswordFile != "" {
		s.Target.Password, passwordErr = readSecret("target.password_file", s.Target.PasswordFile)
	}
	if s.Fleet.KeyFile != "" {
		s.Fleet.Key, keyErr = readSecret("fleet.key_file", s.Fleet.KeyFile)
		if n := len(s.Fleet.Key); keyErr == nil && n < MinFleetKeyBytes {
			keyErr = fmt.Errorf("settings: fleet.key_file: %s has %d bytes, but a key needs at least %d", s.Fleet.KeyFile, n, MinFleetKeyBytes)
		}
	}
	return errors.Join(passwordErr, keyErr)
}

// readSecret returns the content of a file without the line end that editors add.
func readSecret(key, path string) (Secret, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("settings: %s: %w", key, err)
	}
	secret := strings.TrimRight(string(text), "\r\n")
	if secret == "" {
		return "", fmt.Errorf("settings: %s: %s is empty", key, path)
	}
	return Secret(secret), nil
}
