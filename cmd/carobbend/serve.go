package main

import "errors"

type serveCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *serveCmd) Run() error { return errors.New("serve: not available yet") }
