package main

import "errors"

type demoCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *demoCmd) Run() error { return errors.New("demo: not available yet") }
