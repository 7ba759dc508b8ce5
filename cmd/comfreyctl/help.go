package main

import (
	"fmt"

	"github.com/comfreygate/comfreygate/internal/lang"
)

type helpCmd struct{}

// Run lists the statements. It needs no daemon.
func (c *helpCmd) Run(g *globals) error {
	if g.Output == "json" {
		printJSONLine(lang.Statements())
		return nil
	}
	rows := make([][]string, 0, len(lang.Statements()))
	for _, s := range lang.Statements() {
		rows = append(rows, []string{s.Example, s.Purpose})
	}
	printTable([]string{"statement", "purpose"}, rows)
	fmt.Println("The other commands and the flags are listed by: comfreyctl --help")
	return nil
}
