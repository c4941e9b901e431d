package telemetry

import (
	"context"
	"io"

	"github.com/gravitational/trace"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
)

// Tracing creates spans and propagates their context over HTTP headers and messages between hosts.
type Tracing struct {
	oteltrace.Tracer
	provider *sdktrace.TracerProvider
	carrier  propagation.TraceContext
}

// TraceOptions configure NewTracing. Exporter is "none", "stdout" or "otlp"; Ratio is the share of traces that are sampled.
type TraceOptions struct {
	Exporter string
	Endpoint string
	Ratio    float64
	Host     string
	Zone     string
	Out      io.Writer
}

// NewTracing starts tracing. With exporter "none", spans are created, so that context is propagated, but not
// recorded.
func NewTracing(ctx context.Context, o TraceOptions) (*Tracing, error) {
	opts := []sdktrace.TracerProviderOption{
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fireflyshiftd"),
			attribute.String("host.id", o.Host),
			attribute.String("cloud.availability_zone", o.Zone))),
	}
	var exporter sdktrace.SpanExporter
	var err error
	switch o.Exporter {
	case "stdout":
		exporter, err = stdouttrace.New(stdouttrace.WithWriter(o.Out))
	case "otlp":
		exporter, err = otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(o.Endpoint), otlptracehttp.WithInsecure())
	}
	if err != nil {
		return nil, trace.Wrap(err, "start the trace exporter; check [traces] endpoint")
	}
	if exporter == nil {
		opts = append(opts, sdktrace.WithSampler(sdktrace.NeverSample()))
	} else {
		opts = append(opts, sdktrace.WithBatcher(exporter),
			sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(o.Ratio))))
	}
	p := sdktrace.NewTracerProvider(opts...)
	return &Tracing{Tracer: p.Tracer("fireflyshift"), provider: p}, nil
}

// Close exports the remaining spans and shuts tracing down.
func (t *Tracing) Close(ctx context.Context) error { return trace.Wrap(t.provider.Shutdown(ctx)) }

// Header is a set of headers that carry trace context.
type Header = propagation.TextMapCarrier

// Inject writes the span context of ctx into h.
func (t *Tracing) Inject(ctx context.Context, h Header) { t.carrier.Inject(ctx, h) }

// Extract returns ctx with the span context read from h.
func (t *Tracing) Extract(ctx context.Context, h Header) context.Context {
	return t.carrier.Extract(ctx, h)
}

const traceparentKey = "traceparent"

// Traceparent returns the span context of ctx as a string, for messages between hosts. It is empty if the span is not
// sampled, to keep these messages small.
func (t *Tracing) Traceparent(ctx context.Context) string {
	if !oteltrace.SpanContextFromContext(ctx).IsSampled() {
		return ""
	}
	m := propagation.MapCarrier{}
	t.carrier.Inject(ctx, m)
	return m[traceparentKey]
}

// FromTraceparent is the reverse of Traceparent.
func (t *Tracing) FromTraceparent(ctx context.Context, s string) context.Context {
	return t.carrier.Extract(ctx, propagation.MapCarrier{traceparentKey: s})
}
