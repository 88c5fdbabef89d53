package commander

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/loader"
)

// checkFlags are the flags of check.
type checkFlags struct {
	settings *string
	rules    *string
	files    *bool
	output   *string
}

// checkedFile is what check found in one file.
type checkedFile struct {
	File string `json:"file"`
	Good bool   `json:"good"`
	// Holds tells what a good file holds.
	Holds  string   `json:"holds,omitempty"`
	Faults []string `json:"faults,omitempty"`
}

func (commander *Commander) checkCommand() command {
	return command{
		name:    "check",
		summary: "check a settings file, a rules file or both, without a running system",
		example: "limpetcleat check -settings entry.ini -rules rules.json",
		prepare: func(flags *flag.FlagSet) action {
			chosen := checkFlags{
				settings: flags.String("settings", "", "the settings `file`, in INI"),
				rules:    flags.String("rules", "", "the configuration `file`, in JSON"),
				files:    flags.Bool("files", false, "also check that the files named in the settings can be read here"),
				output:   outputFlag(flags),
			}
			return func(context.Context, string) error { return commander.check(chosen) }
		},
	}
}

// check reports on every file before it fails.
func (commander *Commander) check(chosen checkFlags) error {
	if *chosen.settings == "" && *chosen.rules == "" {
		return fail("check", WrongUsage, "name -settings, -rules or both")
	}
	if err := checkOutput(*chosen.output); err != nil {
		return err
	}
	var files []checkedFile
	var faults []error
	note := func(path, holds string, err error) {
		files = append(files, checkedFile{File: path, Good: err == nil, Holds: holds, Faults: lines(err)})
		faults = append(faults, err)
	}
	if *chosen.settings != "" {
		note(*chosen.settings, "", checkSettings(*chosen.settings, *chosen.files))
	}
	if *chosen.rules != "" {
		holds, err := checkRules(*chosen.rules)
		note(*chosen.rules, holds, err)
	}
	if err := commander.showChecked(files, *chosen.output); err != nil {
		return err
	}
	return errors.Join(faults...)
}

func (commander *Commander) showChecked(files []checkedFile, output string) error {
	if output == outputJSON {
		return writeJSON(commander.out, files)
	}
	for _, file := range files {
		if file.Good {
			_, _ = fmt.Fprintf(commander.out, "%s is good%s\n", file.File, file.Holds)
		}
	}
	return nil
}

// lines returns the faults that an error joins, one a line.
func lines(err error) []string {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{err.Error()}
	}
	var faults []string
	for _, fault := range joined.Unwrap() {
		faults = append(faults, lines(fault)...)
	}
	return faults
}

// checkSettings checks a settings file and, if asked to, the files it names,
// which mostly stand on the VM alone.
func checkSettings(path string, files bool) error {
	settings, err := loader.Load(path)
	if err != nil || !files {
		return err
	}
	return settings.CheckFiles()
}

// checkRules checks a configuration file and tells what it holds.
func checkRules(path string) (string, error) {
	document, err := readDocument(path)
	if err != nil {
		return "", err
	}
	if err := editor.Check(1, document); err != nil {
		return "", fail("check", Failing, "%s: %w", path, err)
	}
	return fmt.Sprintf(": %d classes, %d pools, %d organisations, %d rules", len(document.Classes),
		len(document.Pools), len(document.Organisations), len(document.Rules)), nil
}

// readDocument returns the configuration in a file. A field that is not known
// is an error, since it is most often a misspelt one.
func readDocument(path string) (definer.Document, error) {
	var document definer.Document
	file, err := os.Open(path)
	if err != nil {
		return document, fail("readDocument", Failing, "%w", err)
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return document, fail("readDocument", Failing, "%s: %w", path, err)
	}
	return document, nil
}
