package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	cmd := newRootCmd()
	if cmd.ExecuteContext(ctx) != nil {
		os.Exit(1)
	}
}
