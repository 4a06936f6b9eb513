package receipt

import "net/http"

// HasLength reports whether an answer tells where its body ends, by a length or in
// chunks. The body of any other one ends with the connection.
func HasLength(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}
