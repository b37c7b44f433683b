package scenario

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"siskinrouter/internal/devtarget"
)

// scriptFleet is the deployment that the command fleet starts: one service with one group of three
// servers s1, s2 and s3 in the failure domains d1, d2 and d3, and VMs v1, v2 and so on in the same
// failure domains in turn.
type scriptFleet struct {
	platform string
	servers  map[string]serverAddresses
	vms      map[string]vmAddresses
	keys     map[string]string // secret by workspace
}

type serverAddresses struct{ listen, admin string }

type vmAddresses struct{ callers, fleet, admin string }

const (
	serverCount = 3
	fleetSecret = "scenario-fleet-key-0123456789abcdef"
)

// startFleetOp starts a deployment and waits until it serves. The addresses and keys are set as the
// variables PLATFORM, S1 and S1_ADMIN, V1, V1_FLEET and V1_ADMIN, KEY_W1 and ID_W1, and so on.
// Options: -vms N, -rate R, -burst B, -cut-off MODE, -slots N, -service-time D.
func startFleetOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	fs := flag.NewFlagSet("fleet", flag.ContinueOnError)
	vms := fs.Int("vms", 3, "")
	rate := fs.String("rate", "1000/s", "")
	burst := fs.Int("burst", 1000, "")
	cutOff := fs.String("cut-off", "serve", "")
	slots := fs.Int("slots", 3, "")
	serviceTime := fs.Duration("service-time", 0, "")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	path, err := binary(ts)
	if err != nil {
		return "", err
	}
	f := &scriptFleet{
		platform: freeAddress(), servers: make(map[string]serverAddresses),
		vms: make(map[string]vmAddresses), keys: make(map[string]string),
	}
	w.fleet, w.platform = f, f.platform
	ts.Setenv("PLATFORM", f.platform)
	ts.Setenv("SISKINROUTER_PLATFORM", "http://"+f.platform)
	err = w.start(path, "platform", "dev", "platform", "--listen", f.platform, "--vm-lag", "300ms", "--vm-expiry", "2500ms")
	if err != nil {
		return "", err
	}
	if err := w.startServers(path, ts, *slots, *serviceTime); err != nil {
		return "", err
	}
	text := filepath.Join(w.dir, "operators.toml")
	if err := os.WriteFile(text, []byte(f.text(*rate, *burst, *cutOff, *slots)), 0o600); err != nil {
		return "", err
	}
	if err := poll(func() error { _, err := w.run(path, "config", "apply", text); return err }); err != nil {
		return "", err
	}
	for _, name := range []string{"w1", "w2"} {
		if err := w.addKey(path, ts, name); err != nil {
			return "", err
		}
	}
	for i := range *vms {
		if err := w.startVM(path, ts, fmt.Sprintf("v%d", i+1), nil); err != nil {
			return "", err
		}
	}
	for i := range *vms {
		if err := w.awaitVM(fmt.Sprintf("v%d", i+1)); err != nil {
			return "", err
		}
	}
	return "", nil
}

func (w *world) startServers(path string, ts *testscript.TestScript, slots int, serviceTime time.Duration) error {
	f := w.fleet
	for i := range serverCount {
		name := fmt.Sprintf("s%d", i+1)
		f.servers[name] = serverAddresses{listen: freeAddress(), admin: freeAddress()}
		ts.Setenv(strings.ToUpper(name), f.servers[name].listen)
		ts.Setenv(strings.ToUpper(name)+"_ADMIN", f.servers[name].admin)
		primary := devtarget.Self
		if i > 0 {
			primary = f.servers["s1"].listen
		}
		err := w.start(path, name, "dev", "target", "--name", name, "--domain", fmt.Sprintf("d%d", i+1),
			"--listen", f.servers[name].listen, "--admin", f.servers[name].admin, "--primary", primary,
			"--slots", fmt.Sprint(slots), "--service-time", serviceTime.String())
		if err != nil {
			return err
		}
	}
	return nil
}

// text returns the operators' text.
func (f *scriptFleet) text(rate string, burst int, cutOff string, slots int) string {
	var b strings.Builder
	for i := range serverCount {
		fmt.Fprintf(&b, "[[domain]]\nname = \"d%d\"\n\n", i+1)
	}
	fmt.Fprintf(&b, "[[service]]\nname = \"ledger\"\nwhen_cut_off = %q\n\n[[service.group]]\nname = \"g1\"\nserver = [\n", cutOff)
	for i := range serverCount {
		name := fmt.Sprintf("s%d", i+1)
		fmt.Fprintf(&b, "  { name = %q, address = %q, domain = \"d%d\", slots = %d, connections = 20 },\n",
			name, f.servers[name].listen, i+1, slots)
	}
	b.WriteString("]\n\n")
	b.WriteString("[[service.route]]\nname = \"\"\naccess = \"write\"\n\n")
	b.WriteString("[[service.route]]\nname = \"lookup\"\naccess = \"read\"\n\n")
	b.WriteString("[[service.route]]\nname = \"public\"\naccess = \"read\"\nopen = true\nworkspace = \"w2\"\n\n")
	for _, name := range []string{"w1", "w2"} {
		fmt.Fprintf(&b, "[[workspace]]\nname = %q\nrate = %q\nburst = %d\ngroups = { ledger = \"g1\" }\n\n", name, rate, burst)
	}
	return b.String()
}

func (w *world) addKey(path string, ts *testscript.TestScript, workspace string) error {
	out, err := w.run(path, "key", "add", workspace)
	if err != nil {
		return err
	}
	var id, key string
	if _, err := fmt.Sscanf(out, "id %s\nkey %s\n", &id, &key); err != nil {
		return fmt.Errorf("output of key add: %q: %w", out, err)
	}
	w.fleet.keys[workspace] = key
	ts.Setenv("ID_"+strings.ToUpper(workspace), id)
	ts.Setenv("KEY_"+strings.ToUpper(workspace), key)
	return nil
}

// keyOp adds a key to a workspace and sets KEY_ and ID_ of the workspace to it: key WORKSPACE
func keyOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	return "", w.addKey(w.path, ts, args[0])
}

// startVMOp starts a VM of the fleet: startvm NAME [SEED_VM...]
func startVMOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	return "", w.startVM(w.path, ts, args[0], args[1:])
}

func (w *world) startVM(path string, ts *testscript.TestScript, name string, seeds []string) error {
	f := w.fleet
	var n int
	if _, err := fmt.Sscanf(name, "v%d", &n); err != nil {
		return fmt.Errorf("VM name %q: %w", name, err)
	}
	a, known := f.vms[name]
	if !known {
		a = vmAddresses{callers: freeAddress(), fleet: freeAddress(), admin: freeAddress()}
		f.vms[name] = a
	}
	ts.Setenv(strings.ToUpper(name), a.callers)
	ts.Setenv(strings.ToUpper(name)+"_FLEET", a.fleet)
	ts.Setenv(strings.ToUpper(name)+"_ADMIN", a.admin)
	text := fmt.Sprintf("[vm]\nname = %q\ndomain = \"d%d\"\n[callers]\nlisten = %q\n[fleet]\nlisten = %q\nkey = %q\n"+
		"[platform]\nurl = \"http://%s\"\n[target]\nuser = %q\npassword = %q\n[admin]\nlisten = %q\n"+
		"[limits]\nmax_message_bytes = 65536\nlogin_timeout = \"1s\"\n",
		name, (n-1)%serverCount+1, a.callers, a.fleet, fleetSecret, f.platform,
		devtarget.DefaultUser, devtarget.DefaultPassword, a.admin)
	for _, seed := range seeds {
		text += fmt.Sprintf("[[fleet.seed]]\naddress = %q\n", f.vms[seed].fleet)
	}
	file := filepath.Join(w.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	return w.start(path, name, "serve", "--settings", file, "--register")
}

// awaitVM waits until a VM serves a write and a read.
func (w *world) awaitVM(name string) error {
	return poll(func() error {
		conn, err := w.dial(w.fleet.url(name, "w1", ""), nil)
		if err != nil {
			return err
		}
		defer closeConn(conn)
		if _, err := query(conn, "PUT ready 1"); err != nil {
			return err
		}
		_, err = query(conn, "GET ready")
		return err
	})
}

func (f *scriptFleet) url(vm, workspace, route string) string {
	database := "ledger"
	if route != "" {
		database += "." + route
	}
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", workspace, f.keys[workspace], f.vms[vm].callers, database)
}

// adoptOp makes processes that a script started by hand known to connect and fault, with the key that "key add"
// printed: adopt KEYFILE WORKSPACE VM=CALLER_ADDRESS... SERVER=ADMIN_ADDRESS...
func adoptOp(w *world, ts *testscript.TestScript, args []string) (string, error) {
	var id, key string
	if _, err := fmt.Sscanf(ts.ReadFile(args[0]), "id %s\nkey %s\n", &id, &key); err != nil {
		return "", fmt.Errorf("output of key add: %w", err)
	}
	w.fleet = &scriptFleet{
		platform: ts.Getenv("PLATFORM"), vms: make(map[string]vmAddresses), keys: map[string]string{args[1]: key},
		servers: make(map[string]serverAddresses),
	}
	for _, a := range args[2:] {
		name, address, _ := strings.Cut(a, "=")
		if strings.HasPrefix(name, "s") {
			w.fleet.servers[name] = serverAddresses{admin: address}
			continue
		}
		w.fleet.vms[name] = vmAddresses{callers: address}
	}
	return "", nil
}
