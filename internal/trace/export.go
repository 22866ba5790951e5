package trace

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
)

// This file holds the mask on exported spans, whoever made them.

// maskExporter masks spans before it hands them on.
type maskExporter struct {
	sdktrace.SpanExporter
}

var _ sdktrace.SpanExporter = maskExporter{}

// ExportSpans implements sdktrace.SpanExporter.
func (m maskExporter) ExportSpans(ctx context.Context, spans []sdktrace.ReadOnlySpan) error {
	masked := make([]sdktrace.ReadOnlySpan, len(spans))
	for i, span := range spans {
		masked[i] = maskedSpan{span}
	}
	return m.SpanExporter.ExportSpans(ctx, masked)
}

// maskedSpan is a span whose texts are masked. Names are not: the code sets
// them to the names of steps.
type maskedSpan struct {
	sdktrace.ReadOnlySpan
}

// Status returns the status with its description masked.
func (s maskedSpan) Status() sdktrace.Status {
	status := s.ReadOnlySpan.Status()
	status.Description = Mask(status.Description)
	return status
}

// Attributes returns the attributes with their strings masked.
func (s maskedSpan) Attributes() []attribute.KeyValue { return maskAll(s.ReadOnlySpan.Attributes()) }

// Events returns the events with the strings of their attributes masked.
func (s maskedSpan) Events() []sdktrace.Event {
	events := s.ReadOnlySpan.Events()
	masked := make([]sdktrace.Event, len(events))
	for i, event := range events {
		event.Attributes = maskAll(event.Attributes)
		masked[i] = event
	}
	return masked
}

// maskAll returns attributes with their strings masked.
func maskAll(all []attribute.KeyValue) []attribute.KeyValue {
	masked := make([]attribute.KeyValue, len(all))
	for i, kv := range all {
		if kv.Value.Type() == attribute.STRING {
			kv.Value = attribute.StringValue(Mask(kv.Value.AsString()))
		}
		masked[i] = kv
	}
	return masked
}
