package rawresponse

import "strconv"

// Malformed returns responses whose head or trailer is not valid HTTP/1, keyed by their defect. Each has the given body and fields;
// each field ends with a line break.
func Malformed(fields, body string) map[string]string {
	responses := map[string]string{}
	for name, start := range map[string]string{
		"status 000":             "HTTP/1.1 000 Failed\r\n",
		"status 000, then a 200": "HTTP/1.1 000 Failed\r\n\r\nHTTP/1.1 200 OK\r\n",
		"status 099":             "HTTP/1.1 099 Failed\r\n\r\nHTTP/1.1 200 OK\r\n",
		"status +20":             "HTTP/1.1 +20 Failed\r\n\r\nHTTP/1.1 200 OK\r\n",
		"status 101":             "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n",
		"status 600":             "HTTP/1.1 600 Failed\r\n",
		"status 999":             "HTTP/1.1 999 Failed\r\n",
		"version 9.9":            "HTTP/9.9 200 OK\r\n",
		"control byte in reason": "HTTP/1.1 200 O\x00K\r\n",
		"blank before colon":     "HTTP/1.1 200 OK\r\nContent-Type : a\r\n",
		"blank before name":      "HTTP/1.1 200 OK\r\nX: a\r\n Y: b\r\n",
		"blank in name":          "HTTP/1.1 200 OK\r\nX Y: a\r\n",
		"control byte in name":   "HTTP/1.1 200 OK\r\nX\x01Y: a\r\n",
		"informational":          "HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\n",
		"rejection":              "HTTP/1.1 503 Full\r\nX Y: a\r\n",
	} {
		responses[name] = start + fields + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	}
	chunked := fields + "Transfer-Encoding: chunked\r\n\r\n" + strconv.FormatInt(int64(len(body)), 16) + "\r\n" + body + "\r\n0\r\n"
	responses["blank before colon of length"] = "HTTP/1.1 200 OK\r\n" + fields + "Content-Length : " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	responses["transfer encoding of version 1.0"] = "HTTP/1.0 200 OK\r\n" + chunked + "\r\n"
	responses["blank in name in trailer"] = "HTTP/1.1 200 OK\r\n" + chunked + "X Y: a\r\n\r\n"
	responses["blank before colon in trailer"] = "HTTP/1.1 200 OK\r\n" + chunked + "X : a\r\n\r\n"
	return responses
}
