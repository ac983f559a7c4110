package record

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes msgpack data that another writer may have written. Unlike msgpack.Unmarshal it allocates no space
// for elements that a length announces but that the data does not contain.
func Unmarshal(data []byte, v any) error {
	if err := msgpack.NewDecoder(bytes.NewReader(data)).Skip(); err != nil {
		return err
	}
	return msgpack.Unmarshal(data, v)
}
