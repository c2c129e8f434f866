package main

import (
	"context"
	"fmt"

	"carobbend.example/carobbend/requester"
)

type addressesCmd struct {
	callerFlags
}

// Run prints one address per line, best first, and how long they are valid.
func (c *addressesCmd) Run() error {
	return c.withRequester(func(ctx context.Context, r *requester.Requester) error {
		a, err := r.Addresses(ctx)
		if err != nil {
			return callerError(err)
		}
		for _, s := range a.Addresses {
			fmt.Println(s)
		}
		fmt.Printf("valid for %v\n", a.ValidFor)
		return nil
	})
}
