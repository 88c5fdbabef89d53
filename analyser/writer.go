package analyser

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"unicode"
)

// WriteText writes the tables with their titles as aligned columns.
func WriteText(writer io.Writer, tables []Table) error {
	for _, table := range tables {
		// A failed write is reported by Flush.
		text := tabwriter.NewWriter(writer, 0, 0, 2, ' ', 0)
		_, _ = fmt.Fprintf(text, "%s: %s\n%s\n", table.name, table.title, strings.Join(table.columns, "\t"))
		for _, row := range table.rows {
			cells := make([]string, 0, len(row))
			for _, cell := range row {
				cells = append(cells, textCell(cell))
			}
			_, _ = fmt.Fprintln(text, strings.Join(cells, "\t"))
		}
		_, _ = fmt.Fprintln(text)
		if err := text.Flush(); err != nil {
			return fail("write", Unwritable, "%w", err)
		}
	}
	return nil
}

// textCell returns a cell for people: "-" for what is empty, and names with control characters,
// which callers may send as the id of a request, quoted.
func textCell(cell any) string {
	text := plainCell(cell)
	if text == "" {
		return "-"
	}
	if strings.ContainsFunc(text, func(char rune) bool { return !unicode.IsPrint(char) }) {
		return strconv.Quote(text)
	}
	return text
}

func plainCell(cell any) string {
	switch value := cell.(type) {
	case nil:
		return ""
	case float64:
		return strconv.FormatFloat(value, 'f', -1, 64)
	default:
		return fmt.Sprint(value)
	}
}

// WriteCSV writes the tables as comma-separated values, each with a line of column names. Several
// tables are each preceded by a line with "#" and the name, and separated by empty lines.
func WriteCSV(writer io.Writer, tables []Table) error {
	for index, table := range tables {
		if len(tables) > 1 {
			separator := "\n"
			if index == 0 {
				separator = ""
			}
			if _, err := fmt.Fprintf(writer, "%s# %s\n", separator, table.name); err != nil {
				return fail("write", Unwritable, "%w", err)
			}
		}
		lines := [][]string{table.columns}
		for _, row := range table.rows {
			line := make([]string, 0, len(row))
			for _, cell := range row {
				line = append(line, plainCell(cell))
			}
			lines = append(lines, line)
		}
		if err := csv.NewWriter(writer).WriteAll(lines); err != nil {
			return fail("write", Unwritable, "%w", err)
		}
	}
	return nil
}

// WriteJSON writes the tables as one object with a list of rows for each table.
func WriteJSON(writer io.Writer, tables []Table) error {
	document := make(map[string][]map[string]any, len(tables))
	for _, table := range tables {
		rows := make([]map[string]any, 0, len(table.rows))
		for _, row := range table.rows {
			object := make(map[string]any, len(row))
			for index, cell := range row {
				object[table.columns[index]] = cell
			}
			rows = append(rows, object)
		}
		document[table.name] = rows
	}
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(document); err != nil {
		return fail("write", Unwritable, "%w", err)
	}
	return nil
}
