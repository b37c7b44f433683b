package cli

import (
	"context"
	"flag"
	"fmt"
	"net"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"siskinrouter/internal/demo"
	"siskinrouter/internal/devplatform"
	"siskinrouter/internal/devtarget"
)

func (e *env) devCommand() *ffcli.Command {
	return e.parentCommand("dev", "Substitutes for the platform and the targets, for tests and trials.",
		e.devPlatformCommand(), e.devTargetCommand(), e.devDemoCommand())
}

func (e *env) devDemoCommand() *ffcli.Command {
	return &ffcli.Command{
		Name: "demo", ShortUsage: "siskinrouter dev demo",
		ShortHelp: "Start a fleet on loopback, run a scripted round and print what was observed.",
		FlagSet:   e.flagSet("demo"),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			return demo.Run(ctx, e.out)
		},
	}
}

func (e *env) devPlatformCommand() *ffcli.Command {
	fs := e.flagSet("platform")
	listen := fs.String("listen", "127.0.0.1:16000", "address of the object API")
	lag := fs.Duration("vm-lag", time.Second, "time until a change shows in the list of VMs")
	expiry := fs.Duration("vm-expiry", 3*time.Second, "a VM that does not renew its entry for so long counts as stopped")
	return &ffcli.Command{
		Name: "platform", ShortUsage: "siskinrouter dev platform [flags]",
		ShortHelp: "Run the substitute for the platform.", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) != 0 {
				return flag.ErrHelp
			}
			ln, err := net.Listen("tcp", *listen)
			if err != nil {
				return err
			}
			fmt.Fprintf(e.out, "platform listens on %s\n", ln.Addr())
			s := devplatform.New(devplatform.Config{VMLag: *lag, VMExpiry: *expiry, Log: e.logger("info")})
			return s.Serve(ctx, ln)
		},
	}
}

func (e *env) devTargetCommand() *ffcli.Command {
	fs := e.flagSet("target")
	var cfg devtarget.ServerConfig
	fs.StringVar(&cfg.Name, "name", "", "name of the server (required)")
	fs.StringVar(&cfg.Domain, "domain", "", "failure domain of the server")
	fs.StringVar(&cfg.Listen, "listen", "127.0.0.1:0", "address of the PostgreSQL listener")
	fs.StringVar(&cfg.AdminListen, "admin", "", "address for fault injection; empty for none")
	fs.StringVar(&cfg.User, "user", devtarget.DefaultUser, "user name of the proxy")
	fs.StringVar(&cfg.Password, "password", devtarget.DefaultPassword, "password of the proxy")
	fs.IntVar(&cfg.MaxConnections, "connections", devtarget.DefaultMaxConnections, "connections accepted")
	fs.IntVar(&cfg.Slots, "slots", devtarget.DefaultSlots, "statements that run at once")
	fs.DurationVar(&cfg.ConnectTime, "connect-time", devtarget.DefaultConnectTime, "time to accept a connection")
	fs.DurationVar(&cfg.ServiceTime, "service-time", 0, "time that a statement occupies its slot")
	fs.DurationVar(&cfg.ReplicationDelay, "replication-delay", 0, "network delay of log entries sent to this server")
	fs.DurationVar(&cfg.Lag, "lag", 0, "time between the receipt of a log entry and its visibility")
	fs.StringVar(&cfg.Primary, "primary", "", "address of the initial primary, or \"self\"; empty to start without a term")
	return &ffcli.Command{
		Name: "target", ShortUsage: "siskinrouter dev target --name NAME [flags]",
		ShortHelp: "Run the substitute for one server of a database group.", FlagSet: fs,
		Options: []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if cfg.Name == "" || len(args) != 0 {
				return flag.ErrHelp
			}
			s, err := devtarget.New(cfg)
			if err != nil {
				return err
			}
			defer s.Close()
			fmt.Fprintf(e.out, "target %s listens on %s\n", cfg.Name, s.Address())
			<-ctx.Done()
			return nil
		},
	}
}
