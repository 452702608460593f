// Package operator implements the operators' HTTP API, which every
// chestnut-entry serves on a separate listener, and its typed client. Any VM can
// carry out any change; the API keeps no state between calls.
package operator
