// Package headtest holds responses with malformed heads, and sound ones with odd heads. Tests
// play them to the places that read responses.
package headtest

import (
	"fmt"
	"strings"
)

// Response is a complete response as its server sends it, after which the server closes the
// connection.
type Response struct {
	Name, Text string
}

// Sound returns a response as most servers send it. header holds further lines of its head,
// each with its line end.
func Sound(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n%s", status, header, len(body), body)
}

// Unframed returns a response with neither a length nor chunks, which ends with its connection.
func Unframed(status int, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\n%s\r\n%s", status, header, body)
}

// chunked returns a body in one chunk, with the lines of a trailer.
func chunked(body, trailer string) string {
	return fmt.Sprintf("%x\r\n%s\r\n0\r\n%s\r\n", len(body), body, trailer)
}

// Malformed returns those of MalformedHeads and MalformedTrailers.
func Malformed(status int, header, body string) []Response {
	return append(MalformedHeads(status, header, body), MalformedTrailers(status, header, body)...)
}

// MalformedHeads returns responses whose head, or that of an informational response before it, does
// not follow the grammar of HTTP/1.1. Apart from that, each is a response with the status, the
// header lines and the body.
func MalformedHeads(status int, header, body string) []Response {
	rest := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
	sound := "HTTP/1.1 " + fmt.Sprint(status) + " X\r\n"
	out := malformedFraming(status, header, body)
	for _, line := range []string{
		"HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.1 001 X", "HTTP/1.1 099 X", "HTTP/1.1 -00 X", "HTTP/1.1 +00 X", "HTTP/1.1 +20 X", "HTTP/1.1 +99 X",
		"HTTP/1.1 20 X", "HTTP/1.1 2000 X", "HTTP/1.1 2x0 X", "HTTP/1.1 ", "HTTP/1.1", "", "X",
		"HTTP/1.1 101 Switching Protocols",
		"HTTP/1.1  " + fmt.Sprint(status) + " X", "HTTP/1.1\t" + fmt.Sprint(status) + " X", " HTTP/1.1 " + fmt.Sprint(status) + " X", "HTTP/1.1 " + fmt.Sprint(status) + "X", "HTTP/1.1 " + fmt.Sprint(status) + "\tX",
		"HTTP/1.1 " + fmt.Sprint(status) + " X\x00", "HTTP/1.1 " + fmt.Sprint(status) + " X\rY",
		"HTTP/0.9 " + fmt.Sprint(status) + " X", "HTTP/2.0 " + fmt.Sprint(status) + " X", "HTTP/1 " + fmt.Sprint(status) + " X", "HTTP/1.10 " + fmt.Sprint(status) + " X", "http/1.1 " + fmt.Sprint(status) + " X", "ICY " + fmt.Sprint(status) + " X",
	} {
		out = append(out, Response{fmt.Sprintf("status line %q", line), line + "\r\n" + rest})
	}
	for _, line := range MalformedFields() {
		out = append(out,
			Response{fmt.Sprintf("first field %q", line), sound + line + "\r\n" + rest},
			Response{fmt.Sprintf("last field %q", line), sound + fmt.Sprintf("%sContent-Length: %d\r\n%s\r\n\r\n%s", header, len(body), line, body)},
			Response{fmt.Sprintf("informational field %q", line), "HTTP/1.1 103 Early\r\n" + line + "\r\n\r\n" + Sound(status, header, body)},
		)
	}
	for _, informational := range []string{"HTTP/1.1 000 X\r\n\r\n", "HTTP/1.1 099 X\r\n\r\n", "HTTP/1.1 +99 X\r\n\r\n", "HTTP/1.1 101 X\r\n\r\n", "HTTP/2.0 103 X\r\n\r\n", "\r\n"} {
		out = append(out, Response{fmt.Sprintf("before the response %q", informational), informational + Sound(status, header, body)})
	}
	return append(out, Response{"folded line as the first", sound + " X: y\r\n" + rest}, Response{"empty line with a blank", sound + " \r\n" + rest})
}

// MalformedFields returns lines of a head or a trailer, without their line end, that are no
// fields.
func MalformedFields() []string {
	return []string{
		"X Y: z", "X-Y : z", "X-Y\t: z", "X\tY: z", "X\x00: z", "X\x01Y: z", "X\x7f: z", "X\rY: z", "X\r: z", "X\x80: z", "Xä: z",
		": z", "no field", "X(Y): z", "X@Y: z", `"X": z`, "X/Y: z", "X: a\x00b", "X: a\rb", "X: a\x7f", "X-Y\r\n : z",
	}
}

// malformedFraming returns responses whose length is not clear.
func malformedFraming(status int, header, body string) []Response {
	line := "HTTP/1.1 " + fmt.Sprint(status) + " X\r\n" + header
	old := "HTTP/1.0 " + fmt.Sprint(status) + " X\r\n" + header
	length := fmt.Sprint(len(body))
	half := body[:len(body)/2]
	return []Response{
		{"length with a blank", line + "Content-Length : " + length + "\r\n\r\n" + body},
		{"length with a blank, half of the body", line + "Content-Length : " + length + "\r\n\r\n" + half},
		{"length with a sign", line + "Content-Length: +" + length + "\r\n\r\n" + body},
		{"length in words", line + "Content-Length: all\r\n\r\n" + body},
		{"length in two parts", line + "Content-Length: " + length[:1] + " " + length[1:] + "0\r\n\r\n" + body},
		{"list of lengths", line + "Content-Length: " + length + ", " + length + "\r\n\r\n" + body},
		{"empty length", line + "Content-Length:\r\n\r\n" + body},
		{"length above all", line + "Content-Length: 99999999999999999999\r\n\r\n" + body},
		{"two lengths", line + "Content-Length: " + length + "\r\nContent-Length: 1" + length + "\r\n\r\n" + body},
		{"coding with a blank", line + "Transfer-Encoding : chunked\r\n\r\n" + chunked(body, "")},
		{"coding with a folded name", line + "Transfer-Encoding\r\n : chunked\r\n\r\n" + chunked(body, "")},
		{"unknown coding", line + "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunked(body, "")},
		{"empty coding", line + "Transfer-Encoding:\r\n\r\n" + chunked(body, "")},
		{"two codings", line + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, "")},
		{"coding and length", line + "Transfer-Encoding: chunked\r\nContent-Length: " + length + "\r\n\r\n" + chunked(body, "")},
		{"coding in HTTP/1.0", old + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, "")},
	}
}

// MalformedTrailers returns responses with a sound head whose trailer is malformed.
func MalformedTrailers(status int, header, body string) []Response {
	var out []Response
	head := "HTTP/1.1 " + fmt.Sprint(status) + " X\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n"
	for _, line := range MalformedFields() {
		out = append(out, Response{fmt.Sprintf("trailer %q", line), head + chunked(body, line+"\r\n")})
	}
	return out
}

// Odd returns sound responses with the status, the header lines and the body whose head is
// allowed, but unlike that of most servers. Each ends with its length or its last chunk.
func Odd(status int, header, body string) []Response {
	length := fmt.Sprintf("Content-Length: %d\r\n", len(body))
	line := "HTTP/1.1 " + fmt.Sprint(status)
	out := []Response{
		{"folded length", line + " X\r\n" + header + fmt.Sprintf("Content-Length:\r\n\t%d\r\n\r\n", len(body)) + body},
		{"length in small letters", line + " X\r\n" + header + strings.ToLower(length) + "\r\n" + body},
		{"length in capitals", line + " X\r\n" + header + strings.ToUpper(length) + "\r\n" + body},
		{"length twice", line + " X\r\n" + length + header + length + "\r\n" + body},
		{"length with leading zeros", line + " X\r\n" + header + fmt.Sprintf("Content-Length: %08d\r\n\r\n", len(body)) + body},
		{"length between blanks", line + " X\r\n" + header + fmt.Sprintf("Content-Length: \t %d \t\r\n\r\n", len(body)) + body},
		{"chunks", line + " X\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, "")},
		{"chunks in capitals", line + " X\r\n" + header + "TRANSFER-ENCODING: Chunked\r\n\r\n" + chunked(body, "")},
		{"trailer", line + " X\r\n" + header + "Trailer: X-End\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(body, "X-End: 1\r\n")},
		{"trailer that was not announced", line + " X\r\n" + header + "Transfer-Encoding: chunked\r\n\r\n" + chunked(body, "X-End: 1\r\n")},
		{"HTTP/1.0", "HTTP/1.0 " + fmt.Sprint(status) + " X\r\n" + header + length + "\r\n" + body},
		{"HTTP/1.2", "HTTP/1.2 " + fmt.Sprint(status) + " X\r\n" + header + length + "\r\n" + body},
		{"bare line feeds", strings.ReplaceAll(line+" X\r\n"+header+length+"\r\n", "\r\n", "\n") + body},
		{"many informational responses", strings.Repeat("HTTP/1.1 102 Processing\r\nX-Early: 1\r\n\r\n", 40) + Sound(status, header, body)},
		{"request to continue", "HTTP/1.1 100 Continue\r\n\r\n" + Sound(status, header, body)},
		{"informational response without a reason", "HTTP/1.1 103\r\n\r\n" + Sound(status, header, body)},
		{"informational response of an unknown status", "HTTP/1.1 199 X\r\n\r\n" + Sound(status, header, body)},
	}
	for _, reason := range []string{"", " ", " Ärger", " \xe9t\xe9", " 404 Not Found", " a\tb", " " + strings.Repeat("long ", 400), "  two blanks", " HTTP/1.1 500"} {
		out = append(out, Response{fmt.Sprintf("reason %.20q", reason), line + reason + "\r\n" + header + length + "\r\n" + body})
	}
	for _, field := range []string{
		"X-Folded: a\r\n b\r\n\tc", "X-Folded:\r\n a", "X-Folded: a\r\n \r\n b", "X-Empty:", "X-Empty: ", "x-small: 1", "X-BIG: 1", "X-No-Blank:1", "X-Blanks: \t1\t ",
		"!#$%&'*+-.^_`|~09: 1", "X-Obs-Text: \xe9t\xe9", "X-Colon: a:b : c", "X-Quoted: \"a, b\"", "X-Tab: a\tb", "1: 2", "Content-Length-Hint: x", "Keep-Alive: timeout=5", "X-Long: " + strings.Repeat("x", 10_000),
	} {
		out = append(out, Response{fmt.Sprintf("field %.20q", field), line + " X\r\n" + header + field + "\r\n" + length + "\r\n" + body})
	}
	return out
}
