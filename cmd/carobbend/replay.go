package main

import (
	"fmt"
	"strings"

	"carobbend.example/carobbend/replayer"
)

type replayCmd struct {
	Files []string `arg:"" name:"file" help:"Traces (JSON lines; see the documentation of package replayer)." type:"path"`
}

// Run prints one line for each trace. A bad file ends the run with exit code 2, a difference with exit code 1 after
// all traces.
func (c *replayCmd) Run() error {
	differing := 0
	for _, file := range c.Files {
		res, err := replayer.ReplayFile(file)
		if err != nil {
			return &exitError{code: exitUsage, err: err}
		}
		if res.Match() {
			a := res.Answer
			fmt.Printf("%s: match: %s, %d of %d shards, snapshot %d, at %v, %d hedges, %d retries\n",
				file, a.Outcome, a.Covered, a.Total, a.Snapshot, res.At, res.Stats.Hedges, res.Stats.Retries)
			continue
		}
		differing++
		fmt.Printf("%s: differs: %s\n", file, strings.Join(res.Differences, "; "))
	}
	if differing > 0 {
		return fmt.Errorf("%d of %d traces differ from their stated outcome", differing, len(c.Files))
	}
	return nil
}
