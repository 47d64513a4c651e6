package org.bronzewheel.ctl;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Checks that a flag's value is a whole number of at least 1. */
public final class AtLeastOneValidator implements IParameterValidator {
    /** Creates the validator; called by the parser of flags. */
    public AtLeastOneValidator() {}

    /** {@inheritDoc} */
    @Override
    public void validate(String name, String value) {
        if (!value.matches("[1-9]\\d{0,6}")) {
            throw new ParameterException(
                    name + " is '" + value + "', expected a whole number from 1 to 9999999");
        }
    }
}
