// Package chart draws the timeline of a drill as SVG. It is separate from package drill because the plot library with
// its fonts adds 8 MB to a binary, and 1 to 2 MB to the resident memory of a process that merely links it.
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

// The size of a panel.
const (
	panelWidth  = 18 * vg.Centimeter
	panelHeight = 5 * vg.Centimeter
)

// legendMargin is the factor by which the X axis extends beyond the lines, so that the legend has room.
const legendMargin = 1.15

// colors are the colors of the lines, which people with red-green color blindness can tell apart too.
var colors = []color.Color{
	color.RGBA{0, 0, 0, 255},
	color.RGBA{0, 114, 178, 255},
	color.RGBA{230, 159, 0, 255},
	color.RGBA{213, 94, 0, 255},
}

// SVG draws the timeline's panels one below the other.
func SVG(timeline drill.Timeline) ([]byte, error) {
	canvas := vgsvg.New(panelWidth, panelHeight*vg.Length(len(timeline.Panels)))
	page := draw.New(canvas)
	for i, panel := range timeline.Panels {
		panelPlot, err := plotPanel(panel)
		if err != nil {
			return nil, err
		}
		top := panelHeight * vg.Length(len(timeline.Panels)-i)
		bounds := vg.Rectangle{Min: vg.Point{X: 0, Y: top - panelHeight}, Max: vg.Point{X: panelWidth, Y: top}}
		panelPlot.Draw(draw.Canvas{Canvas: page.Canvas, Rectangle: bounds})
	}
	var out bytes.Buffer
	_, err := canvas.WriteTo(&out)
	return out.Bytes(), err
}

// plotPanel plots the lines of one panel.
func plotPanel(panel drill.Panel) (*plot.Plot, error) {
	panelPlot := plot.New()
	panelPlot.Title.Text = panel.Title
	panelPlot.X.Label.Text = "s"
	panelPlot.Y.Min = 0
	panelPlot.Legend.Top = true
	if seconds := len(panel.Lines[0].Values); seconds > 0 {
		panelPlot.X.Max = float64(seconds) * legendMargin
	}
	for i, series := range panel.Lines {
		points := make(plotter.XYs, len(series.Values))
		for second, value := range series.Values {
			points[second].X = float64(second)
			points[second].Y = value
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = colors[i%len(colors)]
		panelPlot.Add(line)
		panelPlot.Legend.Add(series.Name, line)
	}
	return panelPlot, nil
}
