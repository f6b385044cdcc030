// Package settings decodes the TOML settings of the daemons. It is strict: an
// unknown key, a bad unit, a duplicate address or a missing zone is an error
// that names the key and the remedy.
package settings

import (
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// ExitCode is the exit code of a daemon with wrong settings.
const ExitCode = 2

// Problem is one wrong setting.
type Problem struct {
	Key    string // dotted key in the file
	Reason string
	Remedy string
}

func (p Problem) String() string { return fmt.Sprintf("%s: %s; %s", p.Key, p.Reason, p.Remedy) }

// Error holds every wrong setting of a file.
type Error struct {
	File     string
	Problems []Problem
}

// Error implements error, one line for each problem.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s", e.File, p))
	}
	return strings.Join(lines, "\n")
}

// Checkable is a settings structure that can check its own values.
type Checkable interface {
	// Check reports every wrong value.
	Check(c *Checker)
}

// Load reads and checks a settings file into target, a pointer.
func Load(file string, target Checkable) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return &Error{File: file, Problems: []Problem{{
			Key: "file", Reason: err.Error(), Remedy: "name a readable file with --settings"}}}
	}
	return Decode(file, data, target)
}

// Decode decodes and checks settings into target, a pointer. The file name is
// for messages only.
func Decode(file string, data []byte, target Checkable) error {
	decoder := toml.NewDecoder(strings.NewReader(string(data)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &Error{File: file, Problems: decodeProblems(err)}
	}
	var c Checker
	target.Check(&c)
	if len(c.problems) > 0 {
		return &Error{File: file, Problems: c.problems}
	}
	return nil
}

// decodeProblems returns one problem for each key that the decoder rejected.
func decodeProblems(err error) []Problem {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		problems := make([]Problem, 0, len(unknown.Errors))
		for _, e := range unknown.Errors {
			problems = append(problems, Problem{
				Key:    strings.Join(e.Key(), "."),
				Reason: "unknown key",
				Remedy: "correct its spelling or remove it",
			})
		}
		return problems
	}
	var wrong *toml.DecodeError
	if errors.As(err, &wrong) {
		row, column := wrong.Position()
		key := strings.Join(wrong.Key(), ".")
		if key == "" {
			key = "syntax"
		}
		return []Problem{{
			Key:    key,
			Reason: fmt.Sprintf("line %d column %d: %s", row, column, strings.TrimPrefix(wrong.Error(), "toml: ")),
			Remedy: "correct the value",
		}}
	}
	return []Problem{{Key: "file", Reason: err.Error(), Remedy: "correct the file"}}
}
