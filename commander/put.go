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

// putResult is the JSON form of rules put.
type putResult struct {
	Version     uint64          `json:"version"`
	Changed     bool            `json:"changed"`
	DryRun      bool            `json:"dryRun"`
	Differences []differenceRow `json:"differences"`
	// InForce and Behind are operators' addresses of nodes; both are empty when
	// no node was named.
	InForce []string `json:"inForce"`
	Behind  []string `json:"behind"`
}

// differenceRow is one difference; field is empty if the whole came or went.
type differenceRow struct {
	What   string `json:"what"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// rulesPut shows what changes, writes it, and waits until it is in force. Its
// error is of kind Conflicting when another operator was faster, and of kind
// NotEverywhere when some node does not apply the change.
func (commander *Commander) rulesPut(ctx context.Context, chosen ruleFlags) error {
	if *chosen.file == "" {
		return fail("put", WrongUsage, "-file is missing")
	}
	document, err := readDocument(*chosen.file)
	if err != nil {
		return err
	}
	store, err := chosen.platform.store()
	if err != nil {
		return err
	}
	defer store.Close()
	editing := editor.New(store, *chosen.editor, editor.WithFloor(*chosen.floor))
	before, err := newest(ctx, editing)
	if err != nil {
		return err
	}
	if base := *chosen.base; base != 0 && base != before.Number() {
		return overtaken(before.Head().Edit)
	}
	differences, err := commander.showDifferences(before, document, *chosen.output)
	if err != nil {
		return err
	}
	result := putResult{Version: before.Number(), DryRun: *chosen.dryRun, Differences: differences, InForce: []string{}, Behind: []string{}}
	if *chosen.dryRun {
		return commander.concludePut(result, *chosen.output, editor.Check(before.Number()+1, document))
	}
	after, err := editing.Edit(ctx, replace(before, document, *chosen.summary))
	if err != nil {
		return putFailure(err)
	}
	result.Version, result.Changed = after.Number(), after.Number() != before.Number()
	commander.tellAccepted(result, *chosen.output)
	err = commander.awaitInForce(ctx, chosen, &result)
	return commander.concludePut(result, *chosen.output, err)
}

// newest returns the stored version, which is 0 when there is none.
func newest(ctx context.Context, editing *editor.Editor) (*editor.Version, error) {
	version, err := editing.Load(ctx)
	var failure *editor.Error
	if errors.As(err, &failure) && failure.Kind() == editor.Empty {
		return version, nil
	}
	return version, err
}

// replace returns the change from the version that was shown to the document.
// A version 0 cannot be named as the base, so that its emptiness is checked.
func replace(before *editor.Version, document definer.Document, summary string) editor.Change {
	return editor.Change{Base: before.Number(), Summary: summary, Apply: func(found definer.Document) (definer.Document, error) {
		if before.Number() == 0 && !reflect.DeepEqual(found, before.Document()) {
			return found, fail("put", Conflicting, "somebody else wrote the first version meanwhile; read it and make the change anew")
		}
		return document, nil
	}}
}

// overtaken tells who made the edit that the operator has not seen.
func overtaken(edit sectioner.Edit) error {
	return fail("put", Conflicting, "version %d was written by %q at %s: %q; read it and make the change anew",
		edit.Version, edit.Editor, edit.EditedAt.Format(time.RFC3339), edit.Summary)
}

func putFailure(err error) error {
	if rival, ok := editor.RivalOf(err); ok {
		return overtaken(rival.Edit())
	}
	return err
}

func (commander *Commander) tellAccepted(result putResult, output string) {
	if output == outputText && result.Changed {
		_, _ = fmt.Fprintf(commander.out, "version %d is accepted\n", result.Version)
	}
}

// concludePut writes the result, also of a put that failed half way.
func (commander *Commander) concludePut(result putResult, output string, failure error) error {
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

// showDifferences prints, and returns, what a change would change.
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
