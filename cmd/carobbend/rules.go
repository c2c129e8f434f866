package main

import "errors"

type rulesCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *rulesCmd) Run() error { return errors.New("rules: not available yet") }
