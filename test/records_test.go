package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

// cmdFault: fault URL JSON | fault URL clear
func cmdFault(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: fault URL JSON|clear")
	}
	method, body := http.MethodPost, args[1]
	if body == "clear" {
		method, body = http.MethodDelete, ""
	}
	status, answer, err := send(method, args[0]+"/standin/faults", body)
	ts.Check(err)
	if status != http.StatusNoContent {
		ts.Fatalf("fault: stand-in answered %d, want 204: %s", status, answer)
	}
}

// cmdCheck: check URL|FILE FIELD OP VALUE, with OP one of == != < <= > >= has
func cmdCheck(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: check URL|FILE FIELD OP VALUE")
	}
	ts.Check(compare(ts, args))
}

// cmdAwait: await URL|FILE FIELD OP VALUE waits until the comparison of check holds.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: await URL|FILE FIELD OP VALUE")
	}
	ts.Check(poll(func() error { return compare(ts, args) }))
}

func compare(ts *testscript.TestScript, args []string) error {
	v, err := readField(ts, args[0], args[1])
	if err != nil {
		return err
	}
	if !satisfies(v, args[2], args[3]) {
		return fmt.Errorf("%s: field %s is %v, want %s %s", args[0], args[1], v, args[2], args[3])
	}
	return nil
}

// readField returns a field of a source, or the sum of the field over several
// sources separated by commas.
func readField(ts *testscript.TestScript, sources, path string) (any, error) {
	if first, rest, several := strings.Cut(sources, ","); several {
		a, err := readField(ts, first, path)
		if err != nil {
			return nil, err
		}
		b, err := readField(ts, rest, path)
		x, _ := a.(float64)
		y, _ := b.(float64)
		return x + y, err
	}
	data, err := readSource(ts, sources)
	if err != nil {
		return nil, err
	}
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, fmt.Errorf("%s is not JSON: %w in %.200s", sources, err, data)
	}
	for part := range strings.SplitSeq(path, ".") {
		v = member(v, part)
	}
	return v, nil
}

// readSource returns the records of a stand-in if the source is the stand-in's
// URL without a path, the answer to any other URL, or a file of the scenario.
func readSource(ts *testscript.TestScript, source string) ([]byte, error) {
	if !strings.HasPrefix(source, "http://") {
		return os.ReadFile(ts.MkAbs(source))
	}
	if strings.Count(source, "/") == 2 {
		source += "/standin/records"
	}
	_, data, err := send(http.MethodGet, source, "")
	return data, err
}

// member returns a member of a value: a field by its name, an element by its
// index, the number of members by "len", or the largest number among the
// members by "max". It returns nil if there is no such member.
func member(v any, part string) any {
	switch in := v.(type) {
	case map[string]any:
		switch part {
		case "len":
			return float64(len(in))
		case "max":
			largest := 0.0
			for _, each := range in {
				n, _ := each.(float64)
				largest = max(largest, n)
			}
			return largest
		}
		return in[part]
	case []any:
		if part == "len" {
			return float64(len(in))
		}
		if i, err := strconv.Atoi(part); err == nil && i < len(in) {
			return in[i]
		}
	case nil:
		if part == "len" || part == "max" {
			return 0.0
		}
	}
	return nil
}

// satisfies reports whether a comparison holds. Without two numbers, only == and
// != can hold besides has and hasnot, which search the value's JSON for a text.
func satisfies(v any, op, want string) bool {
	if op == "has" {
		data, _ := json.Marshal(v)
		return strings.Contains(string(data), want)
	}
	if op == "hasnot" {
		data, _ := json.Marshal(v)
		return !strings.Contains(string(data), want)
	}
	number, isNumber := v.(float64)
	limit, err := strconv.ParseFloat(want, 64)
	if !isNumber || err != nil {
		same := fmt.Sprint(v) == want
		return (op == "==" && same) || (op == "!=" && !same)
	}
	switch op {
	case "==":
		return number == limit
	case "!=":
		return number != limit
	case "<":
		return number < limit
	case "<=":
		return number <= limit
	case ">":
		return number > limit
	case ">=":
		return number >= limit
	}
	return false
}

// cmdReplace: replace FILE OLD NEW
func cmdReplace(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: replace FILE OLD NEW")
	}
	text := ts.ReadFile(args[0])
	old := strings.ReplaceAll(args[1], "%n", "\n")
	if !strings.Contains(text, old) {
		ts.Fatalf("%s does not contain %q", args[0], args[1])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(strings.ReplaceAll(text, old, strings.ReplaceAll(args[2], "%n", "\n"))), 0o644))
}
