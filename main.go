// Command sesamepitch is a rollout service for reinforcement learning.
package main

import (
	"os"

	"sesamepitch/src/command"
)

func main() {
	os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr))
}
