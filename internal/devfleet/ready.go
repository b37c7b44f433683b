package devfleet

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
)

// Ready waits until every VM serves a read and a write of every workspace.
func (f *Fleet) Ready(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for _, vm := range f.VMs() {
		if err := f.awaitVM(ctx, vm); err != nil {
			return err
		}
	}
	return nil
}

func (f *Fleet) awaitVM(ctx context.Context, vm *VM) error {
	for {
		err := f.probe(ctx, vm)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%w: VM %s: %w; servers: %s", errNotReady, vm.Name, err, f.serverStates())
		case <-time.After(readyPause):
		}
	}
}

// serverStates describes all servers.
func (f *Fleet) serverStates() string {
	var b strings.Builder
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			fmt.Fprintf(&b, "%s: %+v, %d connections; ", s.Name(), s.Status(), s.Connections())
		}
	}
	return b.String()
}

// probe writes and reads once for each workspace through one VM.
func (f *Fleet) probe(ctx context.Context, vm *VM) error {
	for _, w := range f.Deployment.Workspaces {
		if err := f.probeWorkspace(ctx, vm, w.Name); err != nil {
			return fmt.Errorf("workspace %s: %w", w.Name, err)
		}
	}
	return nil
}

func (f *Fleet) probeWorkspace(ctx context.Context, vm *VM, workspace string) error {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, f.URL(vm, workspace, ""))
	if err != nil {
		return fmt.Errorf("connect: %w", err)
	}
	defer conn.Close(context.Background())
	if _, err := conn.Exec(ctx, "PUT ready 1"); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	reader, err := pgx.Connect(ctx, f.URL(vm, workspace, RouteLookup))
	if err != nil {
		return fmt.Errorf("connect for reads: %w", err)
	}
	defer reader.Close(context.Background())
	if _, err = reader.Exec(ctx, "GET ready"); err != nil {
		return fmt.Errorf("read: %w", err)
	}
	return nil
}

// ReadyVM waits until one VM serves a read and a write of every workspace.
func (f *Fleet) ReadyVM(ctx context.Context, vm *VM) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	return f.awaitVM(ctx, vm)
}
