package commander

import (
	"fmt"

	"limpetcleat/definer"
	"limpetcleat/editor"
)

// showDifferences prints what a change would change.
func (commander *Commander) showDifferences(before *editor.Version, after definer.Document) error {
	differences, err := editor.Differences(before.Document(), after)
	if err != nil {
		return err
	}
	if len(differences) == 0 {
		_, _ = fmt.Fprintln(commander.out, "nothing changes")
	}
	for _, difference := range differences {
		_, _ = fmt.Fprintln(commander.out, difference)
	}
	return nil
}
