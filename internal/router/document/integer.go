package document

import (
	"bytes"
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// Integer is a whole number. Its JSON form may also have a zero fraction or an exponent (15000.0, 1.5e4).
type Integer int64

// maxExactInteger is the largest number up to which float64 represents every integer exactly.
const maxExactInteger = 1 << 53

// UnmarshalJSON decodes a whole number; null leaves the value unchanged.
func (i *Integer) UnmarshalJSON(text []byte) error {
	if bytes.Equal(text, jsonNull) {
		return nil
	}
	if whole, err := strconv.ParseInt(string(text), 10, 64); err == nil {
		*i = Integer(whole)
		return nil
	}
	number, err := strconv.ParseFloat(string(text), 64)
	if err != nil {
		return errors.Errorf("%.40s is not a number", text)
	}
	if number != math.Trunc(number) || math.Abs(number) > maxExactInteger {
		return errors.Errorf("%.40s is not a whole number", text)
	}
	*i = Integer(number)
	return nil
}
