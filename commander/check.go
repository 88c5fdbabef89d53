package commander

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/loader"
)

func (commander *Commander) checkCommand() command {
	return command{
		name:    "check",
		summary: "check a settings file, a rules file or both, without a running system",
		example: "limpetcleat check -settings entry.ini -rules rules.json",
		prepare: func(flags *flag.FlagSet) action {
			settings := flags.String("settings", "", "the settings `file`, in INI")
			rules := flags.String("rules", "", "the configuration `file`, in JSON")
			files := flags.Bool("files", false, "also check that the files named in the settings can be read here")
			return func(context.Context, []string) error { return commander.check(*settings, *rules, *files) }
		},
	}
}

func (commander *Commander) check(settings, rules string, files bool) error {
	if settings == "" && rules == "" {
		return fail("check", WrongUsage, "name -settings, -rules or both")
	}
	if settings != "" {
		if err := commander.checkSettings(settings, files); err != nil {
			return err
		}
	}
	if rules != "" {
		document, err := readDocument(rules)
		if err != nil {
			return err
		}
		if err := editor.Check(1, document); err != nil {
			return err
		}
		_, _ = fmt.Fprintf(commander.out, "%s is good: %d classes, %d pools, %d organisations, %d rules\n", rules,
			len(document.Classes), len(document.Pools), len(document.Organisations), len(document.Rules))
	}
	return nil
}

// checkSettings checks a settings file and, if asked to, the files it names,
// which mostly stand on the VM alone.
func (commander *Commander) checkSettings(path string, files bool) error {
	settings, err := loader.Load(path)
	if err != nil {
		return err
	}
	if files {
		if err := settings.CheckFiles(); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(commander.out, "%s is good\n", path)
	return nil
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
