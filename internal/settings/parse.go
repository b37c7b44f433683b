package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strings"

	"siskinrouter/internal/tomltext"
)

// Fault is something wrong in a settings file, with its line and with what would be correct.
type Fault = tomltext.Fault

// Parse reads and validates the text of a settings file. It returns either settings or every fault found.
// It reads none of the files that the settings name; Load does.
func Parse(text []byte) (*Settings, []Fault) {
	doc, ok := tomltext.Read(text)
	if !ok {
		return nil, doc.Faults()
	}
	s := parse(doc)
	if faults := doc.Faults(); len(faults) > 0 {
		return nil, faults
	}
	return s, nil
}

func parse(doc *tomltext.Document) *Settings {
	root := doc.Root()
	limits, timings := root.Table("limits"), root.Table("timings")
	s := &Settings{
		VM:       parseVM(section(root, "vm")),
		Callers:  parseCallers(section(root, "callers")),
		Fleet:    parseFleet(section(root, "fleet")),
		Platform: parsePlatform(section(root, "platform")),
		Target:   parseTarget(section(root, "target")),
		Admin:    parseAdmin(root.Table("admin")),
		Limits:   parseLimits(limits),
		Timings:  parseTimings(timings),
		Log:      parseLog(root.Table("log")),
	}
	checkDrain(limits, timings, s)
	root.Close()
	return s
}

// checkDrain reports a drain that would interrupt a statement within its timeout.
func checkDrain(limits, timings *tomltext.Table, s *Settings) {
	statement, drain := s.Limits.StatementTimeout, s.Timings.DrainTimeout
	if drain >= statement || limits.Bad("statement_timeout") || timings.Bad("drain_timeout") {
		return
	}
	t, key := timings, "drain_timeout"
	if !t.Has(key) {
		t, key = limits, "statement_timeout"
	}
	t.Fault(key, fmt.Sprintf("use drain_timeout = %q or more, or a shorter statement_timeout", statement),
		"timings.drain_timeout (%s) is shorter than limits.statement_timeout (%s), so that a shutdown would interrupt statements", drain, statement)
}

// section returns a table that a file must have, or nil if it has none.
func section(root *tomltext.Table, key string) *tomltext.Table {
	t := root.Table(key)
	if root.Good(key) {
		return t
	}
	if !root.Has(key) {
		root.Fault(key, fmt.Sprintf("add [%s] with its keys as in docs/settings.md", key), "there is no section [%s]", key)
	}
	return nil
}

func parseVM(t *tomltext.Table) VM {
	if t == nil {
		return VM{}
	}
	defer t.Close()
	t.Require(`name = "vm-1"`, `domain = "bne"`)
	return VM{Name: t.Name("name"), Domain: t.Name("domain")}
}

func parseCallers(t *tomltext.Table) Callers {
	if t == nil {
		return Callers{}
	}
	defer t.Close()
	t.Require(`listen = "0.0.0.0:5432"`)
	c := Callers{
		Listen:      t.ListenAddress("listen"),
		TLSCertFile: t.Text("tls_cert_file"),
		TLSKeyFile:  t.Text("tls_key_file"),
	}
	checkTLS(t)
	return c
}

// checkTLS reports a certificate without a key and a key without a certificate.
func checkTLS(t *tomltext.Table) {
	const cert, key = "tls_cert_file", "tls_key_file"
	if t.Has(cert) && !t.Has(key) {
		t.Fault(cert, "add "+key+" or remove it", "%s is set without %s", cert, key)
	}
	if t.Has(key) && !t.Has(cert) {
		t.Fault(key, "add "+cert+" or remove it", "%s is set without %s", key, cert)
	}
}

func parseFleet(t *tomltext.Table) Fleet {
	if t == nil {
		return Fleet{}
	}
	defer t.Close()
	t.Require(`listen = "10.0.0.1:7400"`)
	f := Fleet{
		Listen:      t.ListenAddress("listen"),
		Advertise:   t.Address("advertise"),
		Key:         Secret(t.Text("key")),
		KeyFile:     t.Text("key_file"),
		TLSCertFile: t.Text("tls_cert_file"),
		TLSKeyFile:  t.Text("tls_key_file"),
		TLSCAFile:   t.Text("tls_ca_file"),
	}
	checkTLS(t)
	if t.Has("tls_ca_file") && !t.Has("tls_cert_file") {
		t.Fault("tls_ca_file", "add tls_cert_file and tls_key_file, or remove it", "tls_ca_file is set without tls_cert_file")
	}
	checkOneOf(t, "key", "key_file")
	if t.Good("key") && len(f.Key) < MinFleetKeyBytes {
		t.Fault("key", fmt.Sprintf("use at least %d random characters", MinFleetKeyBytes), "the fleet key has only %d bytes", len(f.Key))
	}
	for _, seed := range t.Tables("seed") {
		seed.Require(`address = "10.0.0.2:7400"`)
		f.Seeds = append(f.Seeds, seed.Address("address"))
		seed.Close()
	}
	if t.Good("listen") && !t.Has("advertise") {
		f.Advertise = f.Listen
		checkAdvertise(t, f.Listen)
	}
	return f
}

// checkAdvertise reports a listen address that cannot stand in for the missing advertised address.
func checkAdvertise(t *tomltext.Table, listen string) {
	addr, err := netip.ParseAddrPort(listen)
	if err == nil && !addr.Addr().IsUnspecified() {
		return
	}
	t.Fault("listen", `add advertise = "IP:port", the address at which other VMs reach this one`,
		"listen = %q does not say at which address other VMs reach this one", listen)
}

// checkOneOf reports a secret that is missing or given twice.
func checkOneOf(t *tomltext.Table, value, file string) {
	switch {
	case t.Has(value) && t.Has(file):
		t.Fault(file, "keep one of them", "both %s and %s are set", value, file)
	case !t.Has(value) && !t.Has(file):
		t.Fault(value, fmt.Sprintf("add %s = \"PATH\" (or %s)", file, value), "%s has neither %s nor %s", t.Title(), value, file)
	}
}

func parsePlatform(t *tomltext.Table) Platform {
	if t == nil {
		return Platform{}
	}
	defer t.Close()
	t.Require(`url = "http://10.0.0.1:7000"`)
	text := t.Text("url")
	if t.Good("url") {
		checkURL(t, text)
	}
	return Platform{URL: strings.TrimRight(text, "/")}
}

// checkURL reports a base URL to which object paths cannot be appended.
func checkURL(t *tomltext.Table, text string) {
	const remedy = `write scheme, IP address and port, such as url = "http://10.0.0.1:7000"`
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		t.Fault("url", remedy, "url = %q is not an http or https URL", text)
		return
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		t.Fault("url", remedy, "url = %q has a user, a query or a fragment", text)
	}
	if _, err := netip.ParseAddr(u.Hostname()); err != nil {
		t.Fault("url", remedy, "the host of url = %q is not an IP address", text)
	}
}

func parseTarget(t *tomltext.Table) Target {
	if t == nil {
		return Target{}
	}
	defer t.Close()
	t.Require(`user = "siskinrouter"`)
	target := Target{
		User:         t.Text("user"),
		Password:     Secret(t.Text("password")),
		PasswordFile: t.Text("password_file"),
	}
	checkOneOf(t, "password", "password_file")
	return target
}

func parseAdmin(t *tomltext.Table) Admin {
	defer t.Close()
	return Admin{Listen: t.ListenAddress("listen")}
}

func parseLimits(t *tomltext.Table) Limits {
	defer t.Close()
	return Limits{
		MaxConnections:   t.Int("max_connections", DefaultMaxConnections, 1, MaxMaxConnections),
		MaxMessageBytes:  t.Int("max_message_bytes", DefaultMaxMessageBytes, MinMaxMessageBytes, MaxMaxMessageBytes),
		LoginTimeout:     t.Duration("login_timeout", DefaultLoginTimeout, MinTimeout, MaxLoginTimeout),
		StatementTimeout: t.Duration("statement_timeout", DefaultStatementTimeout, MinTimeout, MaxStatementTimeout),
	}
}

func parseTimings(t *tomltext.Table) Timings {
	defer t.Close()
	v := Timings{
		ProbeInterval: t.Duration("probe_interval", DefaultProbeInterval, MinProbeInterval, MaxProbeInterval),
		Suspicion:     t.Duration("suspicion", DefaultSuspicion, MinProbeInterval, MaxSuspicion),
		CutOffAfter:   t.Duration("cut_off_after", DefaultCutOffAfter, MinCutOffAfter, MaxCutOffAfter),
		DrainTimeout:  t.Duration("drain_timeout", DefaultDrainTimeout, MinDrainTimeout, MaxDrainTimeout),
	}
	checkSuspicion(t, v)
	return v
}

// checkSuspicion reports a suspicion time in which too few probes are sent.
func checkSuspicion(t *tomltext.Table, v Timings) {
	least := MinProbesBeforeSuspicion * v.ProbeInterval
	if v.Suspicion >= least || t.Bad("suspicion") || t.Bad("probe_interval") {
		return
	}
	key := "suspicion"
	if !t.Has(key) {
		key = "probe_interval"
	}
	t.Fault(key, fmt.Sprintf("use suspicion = %q or more, or a shorter probe_interval", least),
		"suspicion (%s) is shorter than %d probe intervals of %s", v.Suspicion, MinProbesBeforeSuspicion, v.ProbeInterval)
}

func parseLog(t *tomltext.Table) Log {
	defer t.Close()
	return Log{Level: t.Choice("level", DefaultLogLevel, "debug", "warn", "error")}
}
