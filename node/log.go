package main

import (
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/rs/zerolog"
)

// newLineWriter returns a writer that formats each JSON event of zerolog as one
// line of key=value pairs and writes it to out.
func newLineWriter(out io.Writer) io.Writer {
	return zerolog.ConsoleWriter{
		Out:         out,
		NoColor:     true,
		TimeFormat:  timeFormat,
		PartsOrder:  []string{zerolog.TimestampFieldName, zerolog.LevelFieldName},
		FieldsOrder: []string{"event"},
		FormatLevel: func(v any) string { return "level=" + fmt.Sprint(v) },
		FormatTimestamp: func(v any) string {
			return "time=" + fmt.Sprint(v)
		},
		FormatFieldName:     func(v any) string { return fmt.Sprint(v) + "=" },
		FormatFieldValue:    quoteValue,
		FormatErrFieldName:  func(any) string { return "error=" },
		FormatErrFieldValue: quoteValue,
	}
}

// quoteValue returns the text of a field value, quoted unless it is a single
// word or already quoted.
func quoteValue(v any) string {
	text := fmt.Sprint(v)
	if b, ok := v.([]byte); ok {
		text = string(b)
	}
	if text == "" || strings.ContainsAny(text, " \t\n\"=") && !isQuoted(text) {
		return strconv.Quote(text)
	}
	return text
}

func isQuoted(text string) bool {
	_, err := strconv.Unquote(text)
	return err == nil
}
