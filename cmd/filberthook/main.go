// Command filberthook is the operators' command line.
package main

import (
	"os"

	"filberthook/internal/process/cli"
)

func main() { os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr)) }
