// Command siskinrouter is a database proxy with session consistency.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"siskinrouter/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
