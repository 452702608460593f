package telemetry

import (
	"context"
	"io"
	"net/url"

	"github.com/pkg/errors"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

var (
	// ErrTraceExporter means that the exporter is unknown.
	ErrTraceExporter = errors.New("telemetry: unknown trace exporter")
	// ErrTraceEndpoint means that the OTLP endpoint is not an http or https URL.
	ErrTraceEndpoint = errors.New("telemetry: trace endpoint is not an http or https URL")
	// ErrTraceShare means that the sampled share is not between 0 and 1.
	ErrTraceShare = errors.New("telemetry: sampled share is not between 0 and 1")
)

// The exporters of traces.
const (
	ExporterNone   = "none"
	ExporterStdout = "stdout"
	ExporterOTLP   = "otlp"
)

// TraceSettings configures the export and sampling of spans.
type TraceSettings struct {
	// Exporter is "none", "stdout" or "otlp". The default is "none".
	Exporter string `yaml:"exporter"`
	// Endpoint is the URL that OTLP over HTTP is sent to, with "otlp".
	Endpoint string `yaml:"endpoint"`
	// SampledShare is the share of new traces that are sampled, from 0 to 1. A
	// caller's own sampling decision takes precedence. The default is 1.
	SampledShare *float64 `yaml:"sampled_share"`
}

// Provision fills in the defaults.
func (s *TraceSettings) Provision() {
	if s.Exporter == "" {
		s.Exporter = ExporterNone
	}
	if s.SampledShare == nil {
		all := 1.0
		s.SampledShare = &all
	}
}

// Validate returns ErrTraceExporter, ErrTraceEndpoint or ErrTraceShare, wrapped.
func (s *TraceSettings) Validate() error {
	switch s.Exporter {
	case ExporterNone, ExporterStdout:
	case ExporterOTLP:
		u, err := url.Parse(s.Endpoint)
		if err != nil || (u.Scheme != "http" && u.Scheme != "https") {
			return errors.Wrapf(ErrTraceEndpoint, "traces.endpoint: %q", s.Endpoint)
		}
	default:
		return errors.Wrapf(ErrTraceExporter, "traces.exporter: %q", s.Exporter)
	}
	if *s.SampledShare < 0 || *s.SampledShare > 1 {
		return errors.Wrapf(ErrTraceShare, "traces.sampled_share: %v", *s.SampledShare)
	}
	return nil
}

// StartTracing installs the process's tracer provider and W3C propagation. The
// returned function exports the remaining spans and stops the exporter.
func StartTracing(ctx context.Context, s TraceSettings, process, vm string, stdout io.Writer) (func(context.Context) error, error) {
	otel.SetTextMapPropagator(propagation.NewCompositeTextMapPropagator(propagation.TraceContext{}, propagation.Baggage{}))
	if s.Exporter == ExporterNone {
		return func(context.Context) error { return nil }, nil
	}
	exporter, err := newExporter(ctx, s, stdout)
	if err != nil {
		return nil, errors.Wrap(err, "start tracing")
	}
	attributes := resource.NewSchemaless(
		attribute.String("service.name", process),
		attribute.String("service.instance.id", vm),
	)
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exporter),
		sdktrace.WithResource(attributes),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(*s.SampledShare))),
	)
	otel.SetTracerProvider(provider)
	return provider.Shutdown, nil
}

func newExporter(ctx context.Context, s TraceSettings, stdout io.Writer) (sdktrace.SpanExporter, error) {
	if s.Exporter == ExporterStdout {
		return stdouttrace.New(stdouttrace.WithWriter(stdout))
	}
	return otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.Endpoint))
}
