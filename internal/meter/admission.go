package meter

import (
	"context"
	_ "embed"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"

	"poplarbend.example/poplar"
)

// This file holds the measurement of admission by the reports of upstreams, at many routers
// that share them: its loads and its targets.

var _ = Add("admission", Admission)

//go:embed admission.txt
var admissionLoads string

// Admission plays the loads of admission.txt and compares them with the targets there.
func Admission(ctx context.Context, out *Sheet) error {
	for _, l := range readAdmissionLoads() {
		if err := ctx.Err(); err != nil {
			return err
		}
		p := &admissionPlay{admissionLoad: l, rng: rand.New(rand.NewPCG(1, 2))}
		p.run()
		held := p.held / float64(p.ticks) / float64(l.slots)
		out.Note("admission."+l.name+".held", held, "slots")
		for _, w := range l.wants {
			l.compare(out, held, w)
		}
	}
	return nil
}

// compare writes one figure with its target.
func (l *admissionLoad) compare(out *Sheet, held float64, want []string) {
	name := "admission." + l.name + "." + strings.Join(want[:len(want)-1], ".")
	bound, _ := strconv.ParseFloat(want[len(want)-1], 64)
	switch want[0] {
	case "free":
		for _, k := range l.kinds {
			out.AtLeast("admission."+l.name+"."+k.name+".started", k.part(k.started), "share", 1)
			out.AtMost("admission."+l.name+"."+k.name+".waited", k.part(k.waits), "share", 0)
		}
	case "held":
		out.AtMost(name, held, "slots", bound)
	case "full":
		out.AtLeast(name, held, "slots", bound)
	case "waits":
		k := l.kind(want[1])
		out.AtMost(name, k.part(k.waits), "share", bound)
	case "starts":
		k := l.kind(want[1])
		out.AtLeast(name, k.part(k.started), "share", bound)
	default:
		k := l.kind(want[0])
		out.AtLeast(name, k.part(k.inTime), "share", bound)
	}
}

// part returns the number of requests as a part of those offered.
func (k *admissionKind) part(n int) float64 { return float64(n) / float64(max(k.offered, 1)) }

// admissionLoad is one load of admission.txt.
type admissionLoad struct {
	name                               string
	routers, upstreams, slots, seconds int
	kinds                              []*admissionKind
	lost, lostFrom, lostTo             float64
	seen                               int
	seenFrom, seenTo                   float64
	silent, absurd                     bool
	wants                              [][]string
}

// admissionKind is one kind of request and what became of its requests after the tenth second.
type admissionKind struct {
	name, workspace                 string
	rank                            poplar.Rank
	rate, hold, first, target       float64 // a second, then seconds
	routers                         int
	factor, from, to                float64
	due                             float64
	offered, started, inTime, waits int
}

// readAdmissionLoads returns the loads of admission.txt.
func readAdmissionLoads() []*admissionLoad {
	var list []*admissionLoad
	for line := range strings.Lines(admissionLoads) {
		f := strings.Fields(line)
		if len(f) == 0 || f[0] == "#" {
			continue
		}
		n := make([]float64, len(f))
		for i, text := range f {
			n[i], _ = strconv.ParseFloat(text, 64)
		}
		if f[0] == "load" {
			list = append(list, &admissionLoad{name: f[1], routers: int(n[2]), upstreams: int(n[3]), slots: int(n[4]), seconds: int(n[5])})
			continue
		}
		l := list[len(list)-1]
		switch f[0] {
		case "kind":
			l.kinds = append(l.kinds, &admissionKind{name: f[1], workspace: f[2], rank: poplar.Rank(n[3]), rate: n[4], hold: n[5] / 1000, first: n[6] / 1000, target: n[7] / 1000, routers: int(n[8])})
		case "rise":
			k := l.kind(f[1])
			k.factor, k.from, k.to = n[2], n[3], n[4]
		case "lost":
			l.lost, l.lostFrom, l.lostTo = n[1], n[2], n[3]
		case "seen":
			l.seen, l.seenFrom, l.seenTo = int(n[1]), n[2], n[3]
		case "silent":
			l.silent = true
		case "absurd":
			l.absurd = true
		case "want":
			l.wants = append(l.wants, f[1:])
		}
	}
	return list
}

func (l *admissionLoad) kind(name string) *admissionKind {
	return l.kinds[slices.IndexFunc(l.kinds, func(k *admissionKind) bool { return k.name == name })]
}
