package main

import (
	"context"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"filberthook/internal/bench/slopes"
)

// slopesCommand measures what one more host, watcher or instance costs.
func slopesCommand(app *kingpin.Application) command {
	cmd := app.Command("slopes", "Measures what one more host, watcher or instance costs, at several sizes in this process.")
	var sizes []int
	cmd.Flag("size", "Size to measure; repeat for more.").Default("25", "50", "100", "200").IntsVar(&sizes)
	length := cmd.Flag("length", "Time of each measurement.").Default("5s").Duration()
	parts := cmd.Flag("part", "Part to measure: hosts, watchers or instances; repeat for more.").Default("hosts", "watchers", "instances").Enums("hosts", "watchers", "instances")
	return command{clause: cmd, run: func(ctx context.Context) error {
		for _, part := range *parts {
			if err := measureSlope(ctx, part, sizes, *length); err != nil {
				return err
			}
		}
		return nil
	}}
}

func measureSlope(ctx context.Context, part string, sizes []int, length time.Duration) error {
	measure := slopes.Hosts
	switch part {
	case "watchers":
		measure = slopes.Watchers
	case "instances":
		measure = slopes.Instances
	}
	series, err := measure(ctx, sizes, length)
	if err != nil {
		return err
	}
	series.Print(os.Stdout)
	return nil
}
