package report

import (
	"bytes"
	_ "embed"
	"html/template"
	"image/color"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

//go:embed burn.html.tmpl
var pageText string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": percent, "seconds": seconds, "rate": rate,
	"stamp": func(t time.Time) string { return t.Format("2006-01-02 15:04") },
}).Parse(pageText))

// figure is one plot of the page.
type figure struct {
	Title, Note string
	SVG         template.HTML
}

// WriteHTML writes one self-contained page: styles and plots are inline and
// nothing is loaded over the network.
func (b *Burn) WriteHTML(w io.Writer, title string) error {
	var figures []figure
	add := func(title, note string, p *plot.Plot, err error) error {
		if err != nil || p == nil {
			return err
		}
		svg, err := render(p)
		figures = append(figures, figure{title, note, svg})
		return err
	}
	p, err := b.plotRefused()
	if err := add("Refused callers per minute", "Distinct callers with at least one refusal in the minute.", p, err); err != nil {
		return err
	}
	p, err = b.plotBurn()
	if err := add("Burn rate", "At 1 the error budget lasts exactly for its period.", p, err); err != nil {
		return err
	}
	p, err = b.plotCallers()
	if err := add("Callers with the most refused minutes", "", p, err); err != nil {
		return err
	}
	p, err = b.plotLatency()
	if err := add("Program latency by class", "Share of the programs that ended within the time.", p, err); err != nil {
		return err
	}
	return errors.Wrap(page.Execute(w, struct {
		*Burn
		Title   string
		Figures []figure
		Top     []Row
		More    int
	}{b, title, figures, b.Callers[:min(maxCallerRows, len(b.Callers))], max(len(b.Callers)-maxCallerRows, 0)}), "write burn page")
}

var palette = []color.Color{
	color.RGBA{0x1f, 0x5f, 0xa8, 0xff}, color.RGBA{0xc8, 0x55, 0x1b, 0xff},
	color.RGBA{0x3c, 0x82, 0x4a, 0xff}, color.RGBA{0x7d, 0x4b, 0x9a, 0xff},
}

const (
	figureWidth  = 7.2 * vg.Inch
	figureHeight = 2.8 * vg.Inch
)

// headroom leaves space above the highest value.
const headroom = 1.06

// render draws a plot as an SVG element without the XML prologue, which is not
// allowed inside an HTML document.
func render(p *plot.Plot) (template.HTML, error) {
	c := vgsvg.New(figureWidth, figureHeight)
	p.Draw(draw.New(c))
	var buf bytes.Buffer
	if _, err := c.WriteTo(&buf); err != nil {
		return "", errors.Wrap(err, "draw plot")
	}
	text := buf.String()
	i := strings.Index(text, "<svg")
	if i < 0 {
		return "", errors.New("draw plot: no svg element")
	}
	return template.HTML(text[i:]), nil
}

func newPlot(x, y string) *plot.Plot {
	p := plot.New()
	p.X.Label.Text, p.Y.Label.Text = x, y
	g := plotter.NewGrid()
	g.Vertical.Color, g.Horizontal.Color = color.Gray{0xe4}, color.Gray{0xe4}
	p.Add(g)
	p.Legend.Top = true
	return p
}

// maxPoints bounds the points of a line, so that a page over a month stays
// small.
const maxPoints = 2000

// timeSeries turns one value per minute into points, keeping the highest value of
// each group of minutes.
func (b *Burn) timeSeries(value func(i int) float64) plotter.XYs {
	n := len(b.series.active)
	step := max((n+maxPoints-1)/maxPoints, 1)
	var pts plotter.XYs
	for i := 0; i < n; i += step {
		v := 0.0
		for j := i; j < min(i+step, n); j++ {
			v = max(v, value(j))
		}
		pts = append(pts, plotter.XY{X: float64((b.series.first + int64(i)) * 60), Y: v})
	}
	return pts
}

func timeAxis(p *plot.Plot, span int) {
	format := "15:04"
	if span > 24*60 {
		format = "01-02 15:04"
	}
	p.X.Tick.Marker = plot.TimeTicks{Format: format}
	p.Y.Min = 0
}

func line(p *plot.Plot, name string, pts plotter.XYs, i int) error {
	l, err := plotter.NewLine(pts)
	if err != nil {
		return errors.Wrap(err, "plot "+name)
	}
	l.Color, l.Width = palette[i%len(palette)], vg.Points(1.4)
	p.Add(l)
	p.Legend.Add(name, l)
	return nil
}

func (b *Burn) plotRefused() (*plot.Plot, error) {
	p := newPlot("time (UTC)", "callers")
	if err := line(p, "active", b.timeSeries(func(i int) float64 { return float64(b.series.active[i]) }), 0); err != nil {
		return nil, err
	}
	err := line(p, "refused", b.timeSeries(func(i int) float64 { return float64(b.series.bad[i]) }), 1)
	timeAxis(p, len(b.series.active))
	p.Y.Max = max(p.Y.Max*headroom, 1)
	return p, err
}

func (b *Burn) plotBurn() (*plot.Plot, error) {
	p := newPlot("time (UTC)", "burn rate")
	for k, w := range BurnWindows() {
		pts := b.timeSeries(func(i int) float64 { return b.series.rate(i, w.Length, b.Objective) })
		if err := line(p, w.Name, pts, k); err != nil {
			return nil, err
		}
	}
	timeAxis(p, len(b.series.active))
	p.Y.Max = max(p.Y.Max*headroom, 1)
	return p, nil
}

func (b *Burn) plotCallers() (*plot.Plot, error) {
	const bars = 15
	var values plotter.Values
	var names []string
	for _, r := range b.Callers {
		if r.RefusedMinutes > 0 && len(values) < bars {
			values = append(values, float64(r.RefusedMinutes))
			names = append(names, r.Name)
		}
	}
	if len(values) == 0 {
		return nil, nil
	}
	p := newPlot("", "refused minutes")
	c, err := plotter.NewBarChart(values, vg.Points(16))
	if err != nil {
		return nil, errors.Wrap(err, "plot callers")
	}
	c.Color, c.LineStyle.Width = palette[1], 0
	p.Add(c)
	p.NominalX(names...)
	p.Y.Min, p.Y.Max = 0, p.Y.Max*headroom
	return p, nil
}

func (b *Burn) plotLatency() (*plot.Plot, error) {
	var classes []string
	for c := range b.latencies {
		classes = append(classes, c)
	}
	if len(classes) == 0 {
		return nil, nil
	}
	slices.Sort(classes)
	p := newPlot("seconds", "share of programs")
	for k, c := range classes {
		values := b.latencies[c]
		slices.Sort(values)
		var pts plotter.XYs
		const quantiles = 200
		for i := 0; i < quantiles; i++ { // up to 99.5%, so that one outlier does not flatten the axis
			q := float64(i) / quantiles
			pts = append(pts, plotter.XY{X: Quantile(values, q) / 1000, Y: q})
		}
		if err := line(p, c, pts, k); err != nil {
			return nil, err
		}
	}
	p.X.Min, p.Y.Min, p.Y.Max = 0, 0, headroom
	p.Legend.Top = false
	return p, nil
}
