// Command standin plays one case of the review: it starts balancers as the deploy file says, is their clients,
// upstreams and discovery, and judges what these can see. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
)

// cases are the cases by name.
var cases = map[string]func(*run) error{}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE ROOT RECORD")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}
