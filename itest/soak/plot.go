package soak

import (
	"bytes"
	"fmt"
	"time"
)

// The plot's dimensions: a column for each quarter of a second, and a line of text for
// each fault.
const (
	columnDuration = 250 * time.Millisecond
	columnWidth    = 8
	plotHeight     = 200
	lineHeight     = 11
)

// colours lists the results in the order in which they are stacked, with their colours.
var colours = []struct{ result, colour string }{
	{"answered", "#4a4"}, {"not-run", "#fb3"}, {"unknown", "#d55"}, {"broken", "#555"},
}

// plot renders an SVG with the results of the calls over time and the faults below them.
func plot(began time.Time, events []faultEvent, samples []sample) []byte {
	columns := map[int]map[string]int{}
	most, last := 1, 1
	for _, s := range samples {
		i := int(s.ended.Sub(began) / columnDuration)
		if columns[i] == nil {
			columns[i] = map[string]int{}
		}
		columns[i][s.result()]++
		columns[i]["all"]++
		most, last = max(most, columns[i]["all"]), max(last, i)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-size="9" font-family="sans-serif">`,
		columnWidth*(last+30), plotHeight+lineHeight*(len(events)+2))
	for i := range last + 1 {
		top := plotHeight
		for _, c := range colours {
			h := columns[i][c.result] * plotHeight / most
			top -= h
			fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="%d" fill="%s"/>`, i*columnWidth, top, columnWidth-1, h, c.colour)
		}
	}
	for i, e := range events {
		x := int(e.At/columnDuration) * columnWidth
		y := plotHeight + lineHeight*(i+1)
		fmt.Fprintf(&b, `<rect x="%d" y="%d" width="%d" height="7" fill="#99c"/><text x="%d" y="%d">%s</text>`,
			x, y-7, max(2, int((e.Until-e.At)/columnDuration)*columnWidth), x, y, e)
	}
	b.WriteString("</svg>\n")
	return b.Bytes()
}
