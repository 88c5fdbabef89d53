package commander

import (
	"context"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"time"

	"limpetcleat/definer"
	"limpetcleat/editor"
	"limpetcleat/sectioner"
)

// putResult is the JSON output of rules put.
type putResult struct {
	Version     uint64          `json:"version"`
	Changed     bool            `json:"changed"`
	DryRun      bool            `json:"dryRun"`
	Differences []differenceRow `json:"differences"`
	// InForce lists the operators' addresses of the nodes that apply the version, and Behind those
	// of nodes that do not or that do not answer. Both are empty without -nodes.
	InForce []string `json:"inForce"`
	Behind  []string `json:"behind"`
}

// differenceRow is one difference. Field is empty if an entire object was added or removed.
type differenceRow struct {
	What   string `json:"what"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// rulesPut prints the differences, writes the change and waits until it is in force. The error is
// of kind Conflict if another operator changed the configuration concurrently, and of kind Partial
// if some node does not apply the change.
func (commander *Commander) rulesPut(ctx context.Context, options rulesOptions) error {
	if *options.file == "" {
		return fail("put", InvalidUsage, "-file is missing")
	}
	document, err := readDocument(*options.file)
	if err != nil {
		return err
	}
	store, err := options.platform.storeClient()
	if err != nil {
		return err
	}
	defer store.Close()
	configurationEditor := editor.New(store, *options.editor, editor.WithFloor(*options.floor))
	before, err := loadNewestOrEmpty(ctx, configurationEditor)
	if err != nil {
		return err
	}
	if base := *options.base; base != 0 && base != before.Number() {
		return conflictError(before.Head().Edit)
	}
	differences, err := commander.showDifferences(before, document, *options.output)
	if err != nil {
		return err
	}
	result := putResult{Version: before.Number(), DryRun: *options.dryRun, Differences: differences, InForce: []string{}, Behind: []string{}}
	if *options.dryRun {
		return commander.reportPut(result, *options.output, editor.Check(before.Number()+1, document))
	}
	after, err := configurationEditor.Edit(ctx, replacement(before, document, *options.summary))
	if err != nil {
		return putError(err)
	}
	result.Version, result.Changed = after.Number(), after.Number() != before.Number()
	commander.reportAccepted(result, *options.output)
	err = commander.awaitInForce(ctx, options, &result)
	return commander.reportPut(result, *options.output, err)
}

// loadNewestOrEmpty returns the stored version, or version 0 if none is stored.
func loadNewestOrEmpty(ctx context.Context, configurationEditor *editor.Editor) (*editor.Version, error) {
	version, err := configurationEditor.Load(ctx)
	var failure *editor.Error
	if errors.As(err, &failure) && failure.Kind() == editor.Empty {
		return version, nil
	}
	return version, err
}

// replacement returns the change that replaces the document of version before. Version 0 cannot
// serve as the base, so the change compares the documents and fails with kind Conflict if another
// operator wrote the first version.
func replacement(before *editor.Version, document definer.Document, summary string) editor.Change {
	return editor.Change{Base: before.Number(), Summary: summary, Apply: func(found definer.Document) (definer.Document, error) {
		if before.Number() == 0 && !reflect.DeepEqual(found, before.Document()) {
			return found, fail("put", Conflict, "another operator wrote the first version concurrently; read it and make the change anew")
		}
		return document, nil
	}}
}

// conflictError returns an error of kind Conflict that describes another operator's edit.
func conflictError(edit sectioner.Edit) error {
	return fail("put", Conflict, "version %d was written by %q at %s: %q; read it and make the change anew",
		edit.Version, edit.Editor, edit.EditedAt.Format(time.RFC3339), edit.Summary)
}

func putError(err error) error {
	if rival, ok := editor.RivalOf(err); ok {
		return conflictError(rival.Edit())
	}
	return err
}

func (commander *Commander) reportAccepted(result putResult, output string) {
	if output == outputText && result.Changed {
		_, _ = fmt.Fprintf(commander.out, "version %d is accepted\n", result.Version)
	}
}

// reportPut prints the result, also if waiting for an accepted change failed, and returns failure.
func (commander *Commander) reportPut(result putResult, output string, failure error) error {
	if output == outputJSON {
		return errors.Join(writeJSON(commander.out, result), failure)
	}
	if result.DryRun && failure == nil {
		_, _ = fmt.Fprintln(commander.out, "the file is good; nothing was written")
	}
	if len(result.InForce) > 0 {
		_, _ = fmt.Fprintf(commander.out, "version %d is in force on %d nodes\n", result.Version, len(result.InForce))
	}
	return failure
}

// showDifferences prints and returns the differences between the stored configuration and after.
func (commander *Commander) showDifferences(before *editor.Version, after definer.Document, output string) ([]differenceRow, error) {
	differences, err := editor.Differences(before.Document(), after)
	if err != nil {
		return nil, err
	}
	if len(differences) == 0 && output == outputText {
		_, _ = fmt.Fprintf(commander.out, "nothing changes: version %d holds the same\n", before.Number())
	}
	readable := strings.NewReplacer(`\u0026`, "&", `\u003c`, "<", `\u003e`, ">")
	rows := []differenceRow{}
	for _, difference := range differences {
		rows = append(rows, differenceRow{What: difference.What(), Field: difference.Field(), Before: readable.Replace(difference.Before()), After: readable.Replace(difference.After())})
		if output == outputText {
			_, _ = fmt.Fprintln(commander.out, readable.Replace(difference.String()))
		}
	}
	return rows, nil
}
