package portage

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
)

// fill sets each field of v to a value of its own, by order and not by name.
func fill(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Pointer:
		fill(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), n)
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() == reflect.Uint8 {
			v.SetBytes([]byte{byte(*n), byte(*n + 1)})
			return
		}
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		fill(v.Index(0), n)
		fill(v.Index(1), n)
	case reflect.String:
		v.SetString(fmt.Sprint("text", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(1000 + *n))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(100 + *n))
	default:
		panic(v.Type())
	}
}

// TestEncodingIsPinned compares the frame of every message with the bytes that
// earlier builds write and read: nodes of two builds exchange messages during a
// rollout, so that a field that moved, vanished or changed its type would break
// the calls between them.
func TestEncodingIsPinned(t *testing.T) {
	path := filepath.Join("testdata", "messages.txt")
	var got strings.Builder
	for i := messageType(0); i < 255; i++ {
		m := newMessage(i)
		if m == nil {
			continue
		}
		n := 0
		fill(reflect.ValueOf(m), &n)
		frame, err := AppendFrame(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&got, "%d %s\n", i, hex.EncodeToString(frame))
		back, err := ReadFrame(bytes.NewReader(frame))
		if err != nil || !reflect.DeepEqual(back, m) {
			t.Errorf("got %+v, %v, want %+v", back, err, m)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got.String() != string(want) {
		t.Errorf("got\n%swant\n%s", got.String(), want)
	}
}
