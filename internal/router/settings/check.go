package settings

import (
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// checkValues checks each value against the validate tag of its field.
func checkValues(s *Settings) []Finding {
	var failures validator.ValidationErrors
	if !errors.As(newValidator().Struct(s), &failures) {
		return nil
	}
	faults := make([]Finding, len(failures))
	for i, failure := range failures {
		faults[i] = Finding{Key: keyOf(failure), Problem: describeFailure(failure)}
	}
	return faults
}

// newValidator returns a validator that reports fields under their TOML keys.
func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get("toml") })
	return v
}

// keyOf returns the path of the key in the file, which is the namespace of the failure without the Go type.
func keyOf(failure validator.FieldError) string {
	_, key, _ := strings.Cut(failure.Namespace(), ".")
	return key
}

// describeFailure returns a message that says what is wrong with a value.
func describeFailure(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "is missing"
	case "ip":
		return fmt.Sprintf("%q is not an IP address", failure.Value())
	case "hostname_port":
		return fmt.Sprintf("%q is not an address with a port", failure.Value())
	case "len":
		return fmt.Sprintf("%v must have %s items", failure.Value(), failure.Param())
	case "min":
		return fmt.Sprintf("%v is below %s", failure.Value(), failure.Param())
	case "max":
		return fmt.Sprintf("%v is above %s", failure.Value(), failure.Param())
	default:
		return fmt.Sprintf("%v fails the check %q", failure.Value(), failure.Tag())
	}
}
