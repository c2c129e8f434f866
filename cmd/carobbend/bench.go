package main

import "errors"

type benchCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *benchCmd) Run() error { return errors.New("bench: not available yet") }
