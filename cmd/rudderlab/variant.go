package main

import (
	"os"

	"pewterrudder/internal/lab/days"
)

type variantCommand struct {
	Site    string `arg:"" help:"Site file that the variant is made from."`
	Variant string `arg:"" help:"File that says how the deployment differs."`
}

// Run prints the variant's site file.
func (c *variantCommand) Run() error {
	base, err := os.ReadFile(c.Site)
	if err != nil {
		return err
	}
	content, err := os.ReadFile(c.Variant)
	if err != nil {
		return err
	}
	variant, err := days.ReadVariant(content)
	if err != nil {
		return err
	}
	made, err := variant.Apply(base)
	if err != nil {
		return err
	}
	_, err = os.Stdout.Write(made)
	return err
}
