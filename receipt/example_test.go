package receipt_test

import (
	"bufio"
	"fmt"
	"net/http"
	"strings"

	"cuminhollow.example/receipt"
)

// Checks answers that net/http's parser accepts.
func Example() {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Oops\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 0\r\n\r\n",
	} {
		res, err := http.ReadResponse(bufio.NewReader(strings.NewReader(head)), nil)
		if err != nil {
			fmt.Println(err)
			continue
		}
		_ = res.Body.Close()
		fmt.Println(receipt.Check(res))
	}
	// Output:
	// <nil>
	// receipt: check head: status "000 Oops"
	// receipt: check head: field name "Content-Length "
}
