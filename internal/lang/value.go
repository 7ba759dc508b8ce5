package lang

import (
	"strconv"

	"github.com/pkg/errors"

	"github.com/comfreygate/comfreygate/internal/config"
)

func integer(dst *int) setter {
	return func(values []string) error {
		v, err := singleValue(values)
		if err != nil {
			return err
		}
		*dst, err = strconv.Atoi(v)
		return errors.Wrap(err, "not a whole number")
	}
}

func urgency(dst *config.Urgency) setter {
	return func(values []string) error {
		v, err := singleValue(values)
		if err != nil {
			return err
		}
		u, ok := config.ParseUrgency(v)
		if !ok {
			return errors.Errorf("%q is not background, normal or critical", v)
		}
		*dst = u
		return nil
	}
}
