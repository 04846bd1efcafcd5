// Command birchwood-edge runs one node on the users' platform, as `birchwood
// edge` does. It links only what that node needs, because machines there are
// small.
package main

import (
	"os"

	"birchwood.example/birchwood/command/edgecommand"
	"birchwood.example/birchwood/command/exit"
)

func main() {
	command := edgecommand.New()
	command.SilenceUsage = true
	command.SilenceErrors = true
	os.Exit(exit.Report(os.Stderr, "birchwood-edge", command.Execute()))
}
