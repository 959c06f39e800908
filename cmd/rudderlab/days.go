package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"regexp"

	"pewterrudder/internal/lab/days"
)

type daysCommand struct {
	Folder  string   `default:"deploy/days" help:"Folder of the days."`
	Only    string   `default:"" placeholder:"PATTERN" help:"Only days whose name matches this regular expression."`
	Drawn   int      `default:"0" placeholder:"N" help:"Play N days drawn at random from the kinds of trouble, in place of the others."`
	Seed    int      `default:"1" help:"Seed of the first drawn day; the others follow."`
	List    bool     `help:"Print the names of the days and play none."`
	Program string   `name:"fleetbench" env:"FLEETBENCH" help:"Program that plays a day of a site."`
	Sites   []string `name:"site" env:"SITES" help:"Site files; several are separated by commas."`
	Jobs    int      `default:"3" help:"Processor cores that the program may use."`
	Output  string   `default:"" placeholder:"DIR" help:"Folder for the files and reports of the days; a temporary one if left out."`
}

func (c *daysCommand) Run() error {
	only, err := regexp.Compile(c.Only)
	if err != nil {
		return misuseError{err}
	}
	all, err := c.load()
	if err != nil {
		return err
	}
	chosen := matching(all, only)
	if c.List {
		for _, day := range chosen {
			fmt.Println(day.Name)
		}
		return nil
	}
	return c.play(chosen)
}

// load returns the days of the folder, or drawn ones.
func (c *daysCommand) load() ([]days.Day, error) {
	folder := os.DirFS(c.Folder)
	if c.Drawn == 0 {
		return days.Load(folder)
	}
	var drawn []days.Day
	for i := range c.Drawn {
		day, err := days.Draw(folder, c.Seed+i)
		if err != nil {
			return nil, err
		}
		drawn = append(drawn, day)
	}
	return drawn, nil
}

func matching(all []days.Day, only *regexp.Regexp) []days.Day {
	var chosen []days.Day
	for _, day := range all {
		if only.MatchString(day.Name) {
			chosen = append(chosen, day)
		}
	}
	return chosen
}

func (c *daysCommand) play(chosen []days.Day) error {
	if c.Program == "" || len(c.Sites) == 0 {
		return misuseError{fmt.Errorf("FLEETBENCH and SITES say what plays the days, and on which sites")}
	}
	player, err := c.player()
	if err != nil {
		return err
	}
	days.WriteHeading(os.Stdout)
	var count dayCount
	for _, day := range chosen {
		for _, site := range c.Sites {
			if err := count.play(player, site, day); err != nil {
				return err
			}
		}
	}
	return count.result(player.Folder)
}

// dayCount counts how days ended.
type dayCount struct{ played, failed, notPlayed int }

// play plays one day and writes its line.
func (n *dayCount) play(player days.Player, site string, day days.Day) error {
	report, err := player.Play(context.Background(), site, day)
	var notPlayed days.NotPlayedError
	switch {
	case errors.As(err, &notPlayed):
		days.WriteNotPlayed(os.Stdout, notPlayed)
		n.notPlayed++
		return nil
	case err != nil:
		return err
	}
	days.WriteLine(os.Stdout, day, site, report)
	n.played++
	if !report.Passed() {
		n.failed++
	}
	return nil
}

// result is an error where a day failed or was not played.
func (n *dayCount) result(folder string) error {
	if n.failed == 0 && n.notPlayed == 0 {
		return nil
	}
	return brokenError(fmt.Sprintf("%d of %d days failed, %d were not played; see %s", n.failed, n.played, n.notPlayed, folder))
}

func (c *daysCommand) player() (days.Player, error) {
	folder := c.Output
	var err error
	if folder == "" {
		folder, err = os.MkdirTemp("", "days-")
	} else {
		err = os.MkdirAll(folder, 0o755)
	}
	return days.Player{Program: c.Program, Command: []string{"run"}, Jobs: c.Jobs, Folder: folder}, err
}
