package membudget

import "io"

// minBuffer is the first buffer in bytes for what has an unknown or a greater length.
const minBuffer = 4 << 10

// ReadAll reads up to most bytes into memory that the account reserves as it is needed. length is what is expected, or -1 if that is
// unknown. whole is set if src has ended. With ErrExhausted it returns what was read before.
func (a *Account) ReadAll(src io.Reader, length int64, most int) (data []byte, whole bool, err error) {
	expected := most
	if length > 0 {
		expected = int(min(length, int64(most)))
	}
	for len(data) < most {
		if len(data) == cap(data) {
			size := min(most, max(min(expected, max(2*cap(data), minBuffer)), cap(data)+1))
			if err := a.Reserve(int64(size - cap(data))); err != nil {
				return data, false, err
			}
			data = append(make([]byte, 0, size), data...)
		}
		n, err := src.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		a.Progress(n)
		if err == io.EOF {
			return data, true, nil
		}
		if err != nil {
			return data, false, err
		}
	}
	return data, false, nil
}
