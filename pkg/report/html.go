package report

import (
	"html/template"
	"io"
	"time"

	"cassiawall.example/cassiawall/pkg/burn"
)

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent, "objective": objectiveText,
	"rate": func(o burn.ObjectiveReport, window string) (string, error) {
		span, err := time.ParseDuration(window)
		return burnRateText(o, span), err
	},
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Burn report</title>
<style>
body { font-family: sans-serif; margin: 2em; }
table { border-collapse: collapse; }
th, td { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
th:first-child, td:first-child, .text { text-align: left; }
.page { background: #f4b6b0; }
.ticket { background: #f7e3a1; }
svg { display: block; margin: 1em 0; max-width: 100%; height: auto; }
</style>
</head>
<body>
<h1>Burn report</h1>
<p>{{.Heading}}</p>
{{range .Notes}}<p>Note: {{.}}</p>
{{end}}{{range .Plots}}{{.}}
{{end}}<table>
<tr><th>workspace</th><th class="text">objective</th><th>target</th><th>requests</th><th>bad</th><th>budget left</th><th>burn 5m</th><th>30m</th><th>1h</th><th>6h</th><th>24h</th><th class="text">alert</th></tr>
{{range $w := .Report.Workspaces}}{{range .Objectives}}<tr class="{{.Alert}}"><td>{{$w.Name}}</td><td class="text">{{objective .}}</td><td>{{.Target}}</td><td>{{.Requests}}</td><td>{{.Bad}}</td><td>{{percent .BudgetLeft}}</td><td>{{rate . "5m"}}</td><td>{{rate . "30m"}}</td><td>{{rate . "1h"}}</td><td>{{rate . "6h"}}</td><td>{{rate . "24h"}}</td><td class="text">{{.Alert}}</td></tr>
{{end}}{{end}}</table>
<h2>Top causes</h2>
<table>
<tr><th>workspace</th><th class="text">cause</th><th>count</th><th class="text">node with the most misses</th></tr>
{{range $w := .Report.Workspaces}}{{range .Causes}}<tr><td>{{$w.Name}}</td><td class="text">{{.Cause}}</td><td>{{.Count}}</td><td class="text">{{$w.WorstNode}}</td></tr>
{{end}}{{end}}</table>
</body>
</html>
`))

// HTML writes r as a self-contained page with plots.
func HTML(w io.Writer, r burn.Report) error {
	drawn, err := plots(r)
	if err != nil {
		return err
	}
	return page.Execute(w, struct {
		Report  burn.Report
		Heading string
		Notes   []string
		Plots   []template.HTML
	}{r, heading(r), limitations(r), drawn})
}
