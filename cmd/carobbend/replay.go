package main

import "errors"

type replayCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *replayCmd) Run() error { return errors.New("replay: not available yet") }
