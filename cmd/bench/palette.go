package main

import "image/color"

// palette holds the colours of the policies. Readers with red-green colour
// blindness can distinguish them.
var palette = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 86, G: 180, B: 233, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 204, G: 121, B: 167, A: 255},
	color.RGBA{R: 240, G: 228, B: 66, A: 255},
	color.RGBA{R: 60, G: 60, B: 60, A: 255},
}
