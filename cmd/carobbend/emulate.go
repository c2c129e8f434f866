package main

import "errors"

type emulateCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *emulateCmd) Run() error { return errors.New("emulate: not available yet") }
