package main

import "errors"

type addressesCmd struct{}

// Run reports that this subcommand is not available yet.
func (c *addressesCmd) Run() error { return errors.New("addresses: not available yet") }
