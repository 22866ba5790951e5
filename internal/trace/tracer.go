package trace

import (
	"context"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	oteltrace "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"poplarbend.example/poplar"
	"poplarbend.example/poplar/internal/conf"
)

// This file holds the tracer: where spans go.

// fileMode of a span file: readable by its owner only.
const fileMode = 0o600

// Tracer owns the provider of spans and its exporter. It is safe for concurrent
// use.
type Tracer struct {
	provider oteltrace.TracerProvider
	close    func(context.Context) error // invariant: not nil
}

// Open returns a tracer with the exporter that the settings choose. Without an
// exporter no span is made, but the caller's context is still passed on.
func Open(ctx context.Context, settings conf.Trace, daemon poplar.Daemon, domain poplar.Domain) (*Tracer, error) {
	switch settings.Kind {
	case conf.TraceFile:
		return openFile(settings, daemon, domain)
	case conf.TraceOTLP:
		exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(collector(settings.Target)))
		if err != nil {
			return nil, fmt.Errorf("open OTLP exporter: %w", err)
		}
		return newTracer(exporter, settings.Portion, daemon, domain, nil), nil
	default:
		return None(), nil
	}
}

// collector returns the URL of a collector. Without a path it is that of the
// OTLP/HTTP request specification, section "OTLP/HTTP Request".
func collector(target string) string {
	u, err := url.Parse(target)
	if err != nil || strings.Trim(u.Path, "/") != "" {
		return target
	}
	return u.JoinPath("v1", "traces").String()
}

// None returns a tracer that makes no spans.
func None() *Tracer {
	return &Tracer{
		provider: noop.NewTracerProvider(),
		close:    func(context.Context) error { return nil },
	}
}

// openFile returns a tracer that appends one JSON line a span to a file.
func openFile(settings conf.Trace, daemon poplar.Daemon, domain poplar.Domain) (*Tracer, error) {
	file, err := os.OpenFile(settings.Target, os.O_CREATE|os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open span file: %w", err)
	}
	exporter, err := stdouttrace.New(stdouttrace.WithWriter(file))
	if err != nil {
		file.Close()
		return nil, fmt.Errorf("open span file: %w", err)
	}
	return newTracer(exporter, settings.Portion, daemon, domain, file), nil
}

// newTracer returns a tracer that samples the given portion of the traces that
// begin here, and follows the caller's choice for the others.
func newTracer(exporter sdktrace.SpanExporter, portion float64, daemon poplar.Daemon, domain poplar.Domain, file *os.File) *Tracer {
	provider := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(maskExporter{exporter}),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(portion))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "poplarbend"),
			attribute.String("service.instance.id", string(daemon)),
			attribute.String("poplarbend.domain", string(domain)),
		)),
	)
	return &Tracer{
		provider: provider,
		close: func(ctx context.Context) error {
			err := provider.Shutdown(ctx)
			if file != nil {
				err = errors.Join(err, file.Close())
			}
			return err
		},
	}
}

// Provider returns the provider of spans.
func (t *Tracer) Provider() oteltrace.TracerProvider { return t.provider }

// Close exports the spans that are left.
func (t *Tracer) Close(ctx context.Context) error {
	if err := t.close(ctx); err != nil {
		return fmt.Errorf("close tracer: %w", err)
	}
	return nil
}
