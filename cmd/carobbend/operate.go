package main

import "errors"

type operateCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *operateCmd) Run() error { return errors.New("operate: not available yet") }
