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

// checkOptions holds the flags of the check command.
type checkOptions struct {
	settings   *string
	rules      *string
	checkFiles *bool
	output     *string
}

// checkedFile is the result of checking one file.
type checkedFile struct {
	File  string `json:"file"`
	Valid bool   `json:"good"`
	// Contents summarises the contents of a valid rules file.
	Contents string   `json:"holds,omitempty"`
	Faults   []string `json:"faults,omitempty"`
}

func (commander *Commander) checkCommand() command {
	return command{
		name:    "check",
		summary: "check a settings file, a rules file or both, without a running system",
		example: "limpetcleat check -settings entry.ini -rules rules.json",
		prepare: func(flags *flag.FlagSet) action {
			options := checkOptions{
				settings:   flags.String("settings", "", "the settings `file`, in INI"),
				rules:      flags.String("rules", "", "the configuration `file`, in JSON"),
				checkFiles: flags.Bool("files", false, "also check that the files named in the settings are readable on this machine"),
				output:     outputFlag(flags),
			}
			return func(context.Context, string) error { return commander.check(options) }
		},
	}
}

// check checks and reports all files, then returns their joined errors.
func (commander *Commander) check(options checkOptions) error {
	if *options.settings == "" && *options.rules == "" {
		return fail("check", InvalidUsage, "name -settings, -rules or both")
	}
	if err := checkOutput(*options.output); err != nil {
		return err
	}
	var files []checkedFile
	var faults []error
	add := func(path, contents string, err error) {
		files = append(files, checkedFile{File: path, Valid: err == nil, Contents: contents, Faults: errorTexts(err)})
		faults = append(faults, err)
	}
	if *options.settings != "" {
		add(*options.settings, "", checkSettings(*options.settings, *options.checkFiles))
	}
	if *options.rules != "" {
		contents, err := checkRules(*options.rules)
		add(*options.rules, contents, err)
	}
	if err := commander.showChecked(files, *options.output); err != nil {
		return err
	}
	return errors.Join(faults...)
}

func (commander *Commander) showChecked(files []checkedFile, output string) error {
	if output == outputJSON {
		return writeJSON(commander.out, files)
	}
	for _, file := range files {
		if file.Valid {
			_, _ = fmt.Fprintf(commander.out, "%s is good%s\n", file.File, file.Contents)
		}
	}
	return nil
}

// errorTexts returns the messages of the errors joined in err, one per error.
func errorTexts(err error) []string {
	if err == nil {
		return nil
	}
	var joined interface{ Unwrap() []error }
	if !errors.As(err, &joined) {
		return []string{err.Error()}
	}
	var faults []string
	for _, fault := range joined.Unwrap() {
		faults = append(faults, errorTexts(fault)...)
	}
	return faults
}

// checkSettings checks a settings file and, if files is set, the files that it names, which
// usually exist only on the VM.
func checkSettings(path string, files bool) error {
	settings, err := loader.Load(path)
	if err != nil || !files {
		return err
	}
	return settings.CheckFiles()
}

// checkRules checks a configuration file and returns a summary of its contents.
func checkRules(path string) (string, error) {
	document, err := readDocument(path)
	if err != nil {
		return "", err
	}
	if err := editor.Check(1, document); err != nil {
		return "", fail("check", Failed, "%s: %w", path, err)
	}
	return fmt.Sprintf(": %d classes, %d pools, %d organisations, %d rules", len(document.Classes),
		len(document.Pools), len(document.Organisations), len(document.Rules)), nil
}

// readDocument reads a configuration file. An unknown field is an error, since it is usually a
// misspelt name.
func readDocument(path string) (definer.Document, error) {
	var document definer.Document
	file, err := os.Open(path)
	if err != nil {
		return document, fail("readDocument", Failed, "%w", err)
	}
	defer func() { _ = file.Close() }()
	decoder := json.NewDecoder(file)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&document); err != nil {
		return document, fail("readDocument", Failed, "%s: %w", path, err)
	}
	return document, nil
}
