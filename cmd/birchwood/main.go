// Command birchwood runs a node, the platform's stand-ins, or one of the
// operators' tools.
package main

import (
	"os"

	"birchwood.example/birchwood/command"
)

func main() { os.Exit(command.Execute()) }
