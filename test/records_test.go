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
		ts.Fatalf("fault: %d %s", status, answer)
	}
}

// cmdCheck: check URL|FILE FIELD OP VALUE, with OP one of == != < <= > >= has
func cmdCheck(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: check URL|FILE FIELD OP VALUE")
	}
	ts.Check(compare(ts, args))
}

// cmdAwait: as check, but waits until it holds.
func cmdAwait(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 4 {
		ts.Fatalf("usage: await URL|FILE FIELD OP VALUE")
	}
	ts.Check(poll(func() error { return compare(ts, args) }))
}

func compare(ts *testscript.TestScript, args []string) error {
	v, err := field(ts, args[0], args[1])
	if err != nil {
		return err
	}
	if !holds(v, args[2], args[3]) {
		return fmt.Errorf("%s: %s is %v, not %s %s", args[0], args[1], v, args[2], args[3])
	}
	return nil
}

// field reads a field, or the sum of it over several places with commas between.
func field(ts *testscript.TestScript, from, path string) (any, error) {
	if first, rest, several := strings.Cut(from, ","); several {
		a, err := field(ts, first, path)
		if err != nil {
			return nil, err
		}
		b, err := field(ts, rest, path)
		x, _ := a.(float64)
		y, _ := b.(float64)
		return x + y, err
	}
	data, err := read(ts, from)
	if err != nil {
		return nil, err
	}
	var v any
	if err := json.Unmarshal(data, &v); err != nil {
		return nil, fmt.Errorf("%s: %w in %.200s", from, err, data)
	}
	for part := range strings.SplitSeq(path, ".") {
		v = member(v, part)
	}
	return v, nil
}

// read gets the records of a stand-in by its URL, any other URL as it is, or
// a file of the scenario.
func read(ts *testscript.TestScript, from string) ([]byte, error) {
	if !strings.HasPrefix(from, "http://") {
		return os.ReadFile(ts.MkAbs(from))
	}
	if strings.Count(from, "/") == 2 {
		from += "/standin/records"
	}
	_, data, err := send(http.MethodGet, from, "")
	return data, err
}

// member steps into a value: a field, an index, "len" for the number of members,
// or "max" for the largest number among them.
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

func holds(v any, op, want string) bool {
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
