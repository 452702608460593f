//go:build review

package kit

// Route is a route of the manifest.
type Route struct {
	Name, Prefix, Kind, Service string
	Attempts, TimeoutMs, AimMs  int
	Resume, Anonymous           bool
}

// Tenant is a tenant of the manifest; Rate and Burst are in tokens.
type Tenant struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// PlainTokens is what a request without token counts counts.
const PlainTokens = 200

// Manifest returns a manifest with a plain service "clerk" and a service of model replicas "engine".
func Manifest(version int, routes []Route, tenants []Tenant, models ...string) map[string]any {
	var r, t, m []any
	for _, x := range routes {
		r = append(r, map[string]any{
			"name": x.Name, "host": Host, "path-prefix": x.Prefix, "kind": x.Kind, "service": x.Service, "attempts": x.Attempts,
			"timeout-ms": x.TimeoutMs, "target-latency-ms": x.AimMs, "priority": 1, "can-resume": x.Resume, "anonymous": x.Anonymous,
		})
	}
	for _, x := range tenants {
		t = append(t, map[string]any{
			"name": x.Name, "keys": x.Keys, "unit": "tokens", "plain-tokens": PlainTokens, "rate-per-s": x.Rate, "burst": x.Burst,
		})
	}
	for _, name := range models {
		m = append(m, map[string]any{
			"name": name, "weights-mb": 50000.0, "load-time-s": 0.3, "warm-s": 0.05, "disk-s": 0.1, "adapters": 3, "adapter-mb": 10.0,
		})
	}
	services := []any{map[string]any{"name": "clerk", "max-connections": 100, "health-path": "/health"}}
	if len(models) > 0 {
		services = append(services, map[string]any{"name": "engine", "max-connections": 360, "health-path": "/health", "engine": map[string]any{
			"slots": 64, "kv-capacity-tokens": 232000, "weights-mb": 120000.0, "adapter-slots": 8, "stride": 4, "loads-per-s": 2.1, "models": m,
		}})
	}
	return map[string]any{
		"version": version, "routes": r, "tenants": t, "services": services,
		"limits": map[string]any{"header-bytes": 16384, "body-bytes": 1 << 20, "header-timeout-ms": 5000, "idle-timeout-ms": 20000},
	}
}
