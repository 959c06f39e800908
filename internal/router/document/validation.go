package document

import (
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"

	"pewterrudder/internal/router/resultcode"
)

// fieldValidator applies the validate tags of the struct fields. It caches the tags of each type and is safe for
// concurrent use.
var fieldValidator = newFieldValidator()

func newFieldValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(jsonName)
	return validate
}

// jsonName returns the JSON name of a field, so that error messages use the names that the operator writes.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	return name
}

// validateFields checks each field of one part on its own.
func validateFields(list string, part any) error {
	err := fieldValidator.Struct(part)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) || len(failures) == 0 {
		return resultcode.Wrap(err, resultcode.Internal, "validating %s", list)
	}
	return fieldError(list, part, failures[0])
}

func fieldError(list string, part any, failure validator.FieldError) error {
	code := resultcode.FieldInvalid
	if failure.StructField() == "TimeoutMs" {
		code = resultcode.ZeroTimeout
	}
	return resultcode.New(code, "%s %q: field %s violates the rule %s %s",
		list, nameOf(part), failure.Field(), failure.Tag(), failure.Param())
}

func nameOf(part any) string {
	if named, ok := part.(interface{ itemName() string }); ok {
		return named.itemName()
	}
	return ""
}
