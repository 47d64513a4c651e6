package org.bronzewheel.ctl;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/** Checks that a flag's value is a percentage. */
public final class PercentValidator implements IParameterValidator {
    /** Creates the validator; called by the parser of flags. */
    public PercentValidator() {}

    /** {@inheritDoc} */
    @Override
    public void validate(String name, String value) {
        if (!value.matches("\\d{1,2}|100")) {
            throw new ParameterException(name + " is '" + value + "', expected 0 to 100");
        }
    }
}
