package httpconn

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrRequestLine means that a request cannot be written as one: its method, target or host has bytes that end a field.
var ErrRequestLine = errors.New("httpconn: the request line cannot be written")

// writtenByHead are the headers that the head's writer writes by itself, or that apply to one connection only.
var writtenByHead = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// serializeHead returns the head of a request with a body, and the room to append the body if that is short. The target is
// the request's RequestURI as it is, if it has one: a URL would change some targets, such as those that begin with two slashes.
func serializeHead(r *http.Request, body []byte) ([]byte, error) {
	target, host := r.RequestURI, r.Host
	if target == "" {
		target = r.URL.RequestURI()
	}
	if host == "" {
		host = r.URL.Host
	}
	if !isMethod(r.Method) || !isTarget(target) || !httpguts.ValidHostHeader(host) {
		return nil, errors.Wrapf(ErrRequestLine, "method %q, target %q, host %q", r.Method, target, host)
	}
	var head bytes.Buffer
	head.Grow(1024 + min(len(body), asyncWriteMin))
	for _, field := range []string{r.Method, " ", target, " HTTP/1.1\r\nHost: ", host, "\r\n"} {
		head.WriteString(field)
	}
	if len(body) > 0 || expectsBody(r.Method) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	if err := r.Header.WriteSubset(&head, writtenByHead); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	return head.Bytes(), nil
}

// expectsBody reports whether a method is one whose requests have a body, so that they tell the length of an empty one.
func expectsBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

func isMethod(method string) bool { return httpguts.ValidHeaderFieldName(method) }

// isTarget reports whether a target has no byte that ends it or its line.
func isTarget(target string) bool {
	for i := range len(target) {
		if c := target[i]; c <= ' ' || c == 0x7f {
			return false
		}
	}
	return target != ""
}
