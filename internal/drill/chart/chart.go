// Package chart draws the time line of a drill as SVG. It stands apart from the rig because the plot library with its fonts adds
// 8 MB to a binary and 1 to 2 MB to the resident memory of a process that only links it.
package chart

import (
	"bytes"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"sloequay/internal/drill"
)

const width, height = 18 * vg.Centimeter, 5 * vg.Centimeter // of a panel

// colours of the lines, told apart also by those who see no red and green.
var colours = []color.Color{color.RGBA{0, 0, 0, 255}, color.RGBA{0, 114, 178, 255}, color.RGBA{230, 159, 0, 255}, color.RGBA{213, 94, 0, 255}}

// SVG draws the panels below one another.
func SVG(t drill.Timeline) ([]byte, error) {
	canvas := vgsvg.New(width, height*vg.Length(len(t.Panels)))
	page := draw.New(canvas)
	for i, panel := range t.Panels {
		p := plot.New()
		p.Title.Text, p.X.Label.Text, p.Y.Min, p.Legend.Top = panel.Title, "s", 0, true
		if n := len(panel.Lines[0].Values); n > 0 {
			p.X.Max = float64(n) * 1.15 // room for the names of the lines
		}
		for k, l := range panel.Lines {
			points := make(plotter.XYs, len(l.Values))
			for x, y := range l.Values {
				points[x].X, points[x].Y = float64(x), y
			}
			line, err := plotter.NewLine(points)
			if err != nil {
				return nil, err
			}
			line.Color = colours[k%len(colours)]
			p.Add(line)
			p.Legend.Add(l.Name, line)
		}
		top := height * vg.Length(len(t.Panels)-i)
		p.Draw(draw.Canvas{Canvas: page.Canvas, Rectangle: vg.Rectangle{Min: vg.Point{X: 0, Y: top - height}, Max: vg.Point{X: width, Y: top}}})
	}
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}
