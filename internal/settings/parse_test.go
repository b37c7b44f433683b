package settings

import (
	"fmt"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// valid holds the required keys only.
const valid = `
[vm]
name = "vm-1"
domain = "bne"
[callers]
listen = "127.0.0.1:1"
[fleet]
listen = "127.0.0.1:2"
key = "0123456789abcdef0123456789abcdef"
[platform]
url = "http://127.0.0.1:3/"
[target]
user = "proxy"
password = "x"
`

// Guards against defaults that differ from the documented ones.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, faults := Parse([]byte(valid))
	is.Equal(faults, nil)
	is.Equal(s.Fleet.Advertise, "127.0.0.1:2")
	is.Equal(s.Platform.URL, "http://127.0.0.1:3")
	is.Equal(s.Limits, Limits{10_000, 16 << 20, 5 * time.Second, 30 * time.Second})
	is.Equal(s.Timings, Timings{100 * time.Millisecond, 400 * time.Millisecond, 10 * time.Second, 30 * time.Second})
	is.Equal(s.Log.Level, "info")
}

// Guards against example files that a daemon would refuse, and against values that are not read.
func TestExamplesAreValid(t *testing.T) {
	for file, domain := range map[string]string{"queensland-vm.toml": "bne", "tasmania-vm.toml": "hobart"} {
		is := is.New(t)
		s, err := Load("../../examples/" + file)
		is.NoErr(err)
		is.Equal(s.VM.Domain, domain)
		is.Equal(s.Limits.MaxConnections, 5000)
		is.True(s.Limits.StatementTimeout < DefaultStatementTimeout)
		is.True(strings.HasPrefix(s.Admin.Listen, "127.0.0.1:"))
	}
}

// Guards against a fault that is missed or reported on another line. The marks #F stand on the lines of the
// faults.
func TestEachFaultIsReportedOnItsLine(t *testing.T) {
	for _, c := range []struct{ old, new, problem string }{
		{`name = "vm-1"`, `name = "VM 1" #F`, "not a valid name"},
		{`name = "vm-1"`, `nmae = "vm-1" #F`, `unknown key "nmae"`},
		{`[platform]`, `[plattform] #F`, `unknown key "plattform"`},
		{`listen = "127.0.0.1:1"`, `listen = "localhost:1" #F`, "not IP:port"},
		{`listen = "127.0.0.1:1"`, `listen = ":1" #F`, "not IP:port"},
		{`listen = "127.0.0.1:2"`, `listen = "0.0.0.0:2" #F`, "at which address"},
		{`listen = "127.0.0.1:2"`, "listen = \"0.0.0.0:2\"\nadvertise = \"0.0.0.0:2\" #F", "not an address that can be reached"},
		{`listen = "127.0.0.1:1"`, "listen = \"127.0.0.1:1\"\ntls_cert_file = \"c\" #F", "without tls_key_file"},
		{`listen = "127.0.0.1:1"`, "listen = \"127.0.0.1:1\"\ntls_key_file = \"k\" #F", "without tls_cert_file"},
		{`listen = "127.0.0.1:2"`, "listen = \"127.0.0.1:2\"\ntls_ca_file = \"k\" #F", "without tls_cert_file"},
		{`listen = "127.0.0.1:2"`, "listen = \"127.0.0.1:2\"\nkey_file = \"k\" #F", "both key and key_file"},
		{`key = "0123456789abcdef0123456789abcdef"`, `key = "short" #F`, "only 5 bytes"},
		{`key = "0123456789abcdef0123456789abcdef"`, `key = "" #F`, `"key" is empty`},
		{`password = "x"`, `password = "" #F`, `"password" is empty`},
		{`password = "x"`, "password = \"x\"\npassword_file = \"p\" #F", "both password and password_file"},
		{"[target]\nuser = \"proxy\"\npassword = \"x\"", "[target] #F\nuser = \"proxy\"", "neither password nor password_file"},
		{"[fleet]\nlisten = \"127.0.0.1:2\"", "[fleet] #F", `no key "listen"`},
		{`url = "http://127.0.0.1:3/"`, `url = "127.0.0.1:3" #F`, "not an http or https URL"},
		{`url = "http://127.0.0.1:3/"`, `url = "ftp://127.0.0.1:3" #F`, "not an http or https URL"},
		{`url = "http://127.0.0.1:3/"`, `url = "http://platform:3" #F`, "not an IP address"},
		{`url = "http://127.0.0.1:3/"`, `url = "http://127.0.0.1:3?x=1" #F`, "a query"},
		{`url = "http://127.0.0.1:3/"`, `url = "http://me:pw@127.0.0.1:3" #F`, "has a user"},
		{`[target]`, "[limits]\nlogin_timeout = 5 #F\n[target]", "is an integer"},
		{`[target]`, "[limits]\nmax_connections = \"5\" #F\n[target]", "is a string"},
		{`[target]`, "[limits]\nstatement_timeout = \"31s\" #F\n[target]", "interrupt statements"},
		{`[target]`, "[limits]\nstatement_timeout = \"4s\"\n[timings]\ndrain_timeout = \"3s\" #F\n[target]", "interrupt statements"},
		{`[target]`, "[timings]\nsuspicion = \"199ms\" #F\n[target]", "shorter than 2 probe intervals"},
		{`[target]`, "[timings]\nprobe_interval = \"201ms\" #F\n[target]", "shorter than 2 probe intervals"},
		{`[target]`, "[log]\nlevel = \"loud\" #F\n[target]", `"loud" is not a value`},
		{`[target]`, "log = 3 #F\n[target]", `unknown key "log"`},
	} {
		t.Run(c.new, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old)) // the case replaces a part of the valid text
			text := strings.Replace(valid, c.old, c.new, 1)
			s, faults := Parse([]byte(text))
			is.True(s == nil)
			line := 1 + strings.Count(text[:strings.Index(text, "#F")], "\n")
			if strings.Contains(c.new, "plattform") {
				is.Equal(faults[0].Problem, "there is no section [platform]")
				faults = faults[1:]
			}
			if strings.Contains(c.new, "nmae") {
				is.Equal(faults[0].Problem, `[vm] has no key "name"`)
				faults = faults[1:]
			}
			is.Equal(len(faults), 1)
			is.Equal(faults[0].Line, line)
			is.True(strings.Contains(faults[0].Problem, c.problem)) // the problem is described
		})
	}
}

// Guards against keys of the code that operators cannot find and documented keys that do not exist, and
// against documented limits and defaults that differ from those of the code.
func TestPageListsEveryKey(t *testing.T) {
	rows := pageRows(t, "## Settings of a VM")
	var keys []string
	for _, r := range rows {
		keys = append(keys, r.key)
		if low, high, ok := r.limits(); ok {
			for value, want := range map[string]bool{low: true, high: true, "0": false, "-" + low: false, "9" + high: false} {
				if got := accepted(r.key, value); got != want {
					t.Errorf("%s = %s is accepted: %v, want %v", r.key, value, got, want)
				}
			}
			if got, want := parsed(t, r.key+" = "+r.byDefault), parsed(t, ""); !reflect.DeepEqual(got, want) {
				t.Errorf("the default of %s is not %s", r.key, r.byDefault)
			}
		}
	}
	is := is.New(t)
	is.Equal(sorted(keys), readKeys(valid+"[[fleet.seed]]\naddress = \"127.0.0.1:4\"\n"))
}

// Guards against secrets in logs.
func TestSecretsAreNotPrinted(t *testing.T) {
	is := is.New(t)
	s := parsed(t, "")
	s.Target.Password = "hidden"
	for _, format := range []string{"%v", "%+v", "%#v", "%s", "%q"} {
		is.True(!strings.Contains(fmt.Sprintf(format, s.Target), "hidden"))
	}
}

// Guards against secrets that include the line end of their file, against paths that depend on the working
// directory, and against a daemon that starts with half of its secrets.
func TestLoadReadsSecretFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	write := func(name, text string) {
		is.NoErr(os.WriteFile(dir+"/"+name, []byte(text), 0o600))
	}
	text := strings.Replace(valid, `key = "0123456789abcdef0123456789abcdef"`, `key_file = "key"`, 1)
	text = strings.Replace(text, `password = "x"`, `password_file = "password"`, 1)
	write("vm.toml", text)
	write("key", "short")
	_, err := Load(dir + "/vm.toml")
	is.True(strings.Contains(err.Error(), "target.password_file"))
	is.True(strings.Contains(err.Error(), "fleet.key_file"))
	write("key", strings.Repeat("k", MinFleetKeyBytes)+"\n")
	write("password", "secret\r\n")
	s, err := Load(dir + "/vm.toml")
	is.NoErr(err)
	is.Equal(string(s.Target.Password), "secret")
	is.Equal(len(s.Fleet.Key), MinFleetKeyBytes)
	is.Equal(s.Fleet.KeyFile, dir+"/key")
	write("vm.toml", "[vm]\nname = 3\n")
	_, err = Load(dir + "/vm.toml")
	is.True(strings.Contains(err.Error(), dir+`/vm.toml:2: "name" is an integer`))
}

// Guards against settings texts that make Parse panic or that are neither accepted nor explained.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Fuzz(func(t *testing.T, text string) {
		if s, faults := Parse([]byte(text)); (s == nil) != (len(faults) > 0) {
			t.Errorf("settings %v with faults %v", s, faults)
		}
	})
}
