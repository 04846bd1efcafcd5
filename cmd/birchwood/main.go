// Command birchwood runs a node, the stand-ins of the platform, or one of the
// tools for operators.
package main

import (
	"os"

	"birchwood.example/birchwood/command"
)

func main() { os.Exit(command.Execute()) }
