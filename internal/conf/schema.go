package conf

import "time"

// This file holds the fields of the operators' folder and their bounds.

// Bounds of the folder.
const (
	mostTokens  = 1_000_000_000_000_000
	mostWeight  = 1_000_000
	mostWorth   = 1_000_000
	mostCost    = 1_000_000_000
	mostAnswer  = 1 << 20
	mostLoads   = 600
	mostFactor  = 1_000
	mostSize    = 1 << 50 // bytes
	mostEngines = 10_000
	day         = 24 * time.Hour
)

var folderShape = record{
	"workspaces": table{named, workspaceShape},
	"budgets":    table{named, budgetShape},
	"ranks":      record{"urgent": rankShape, "normal": rankShape, "bulk": rankShape},
	"models":     table{modelNamed, modelShape},
	"services":   table{named, serviceShape},
	"upstreams":  table{pattern, upstreamShape},
	"domains":    table{named, record{"region": text(named)}},
	"policy":     policyShape,
}

var workspaceShape = record{
	"weight":  number(0.001, mostWeight),
	"ranks":   list{text(ranked)},
	"rank":    text(ranked),
	"callers": table{named, callerShape},
}

var callerShape = record{
	"hash":   text(hashed),
	"budget": text(named),
	"ranks":  list{text(ranked)},
	"rank":   text(ranked),
}

var budgetShape = record{
	"workspace": text(named),
	"tokens":    whole(0, mostTokens),
}

var rankShape = record{
	"first": span(time.Millisecond, day),
	"worth": number(0, mostWorth),
	"floor": number(0, 1),
}

var modelShape = record{
	"tokens":  whole(1, mostCost),
	"prefill": number(0, mostFactor),
	"decode":  number(0, mostFactor),
	"size":    number(0, mostSize),
	"version": text(versioned),
	"base":    text(modelNamed),
	"least":   whole(0, mostEngines),
	"most":    whole(0, mostEngines),
}

var serviceShape = record{
	"cost":    whole(1, mostCost),
	"timeout": span(time.Millisecond, day),
	"repeat":  flag(),
	"routes":  table{routed, routeShape},
}

var routeShape = record{
	"cost":    whole(1, mostCost),
	"timeout": span(time.Millisecond, day),
	"repeat":  flag(),
}

var upstreamShape = record{
	"models":   list{text(modelNamed)},
	"services": list{text(named)},
	"domains":  list{text(named)},
	"fences":   flag(),
}

var policyShape = record{
	"keep":    whole(0, mostAnswer),
	"reserve": number(0.01, 1),
	"retries": number(0, 1),
	"beat":    span(100*time.Millisecond, time.Minute),
	"loads":   whole(0, mostLoads),
	"store":   number(1, mostSize),
	"rise":    span(0, day),
	"fall":    span(0, day),
	"stay":    span(0, day),
}
