package main

import (
	"fmt"

	"carobbend.example/carobbend/settings"
)

type settingsCmd struct {
	Check settingsCheckCmd `cmd:"" help:"Check a settings file as a whole; opens no socket."`
}

type settingsCheckCmd struct {
	File string `arg:"" help:"Settings file (YAML)." type:"path"`
}

// Run checks the file and prints what it configures.
func (c *settingsCheckCmd) Run() error {
	s, err := settings.Load(c.File)
	if err != nil {
		return err
	}
	fmt.Printf("%s: instance %s in %s, %d indexes, %d operations, %d callers\n",
		c.File, s.Instance, s.DataCentre, len(s.Indexes), len(s.Operations), len(s.Callers))
	return nil
}
