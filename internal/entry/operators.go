package entry

import (
	"net/http"

	"github.com/chestnutarch/chestnutarch/internal/operator"
)

// operators returns the handler for the operators' API.
func (p *Process) operators() http.Handler {
	operators := make(operator.Operators, len(p.settings.Operators))
	for _, o := range p.settings.Operators {
		operators[o.SHA256] = o.ID
	}
	return operator.NewHandler(operator.Options{
		VM:            p.settings.VM,
		Operators:     operators,
		Configuration: p.config,
		Evidence:      p.evidence,
		Status:        p,
		Plan:          p,
		Drainer:       p,
		Log:           p.log,
	})
}
