package main

import "errors"

type queryCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *queryCmd) Run() error { return errors.New("query: not available yet") }
