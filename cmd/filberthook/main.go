// Command filberthook is the operators' command line.
package main

import (
	"os"

	"filberthook/internal/process/cli"
	"filberthook/platform"
)

func main() {
	os.Exit(cli.MainFor(cli.Platform{DecodeConfig: platform.DecodeConfig}, os.Args[1:], os.Stdout, os.Stderr))
}
