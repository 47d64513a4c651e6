package org.bronzewheel.ctl;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import java.util.regex.Pattern;

/** Checks that a flag's value is an address. */
final class AddressConverter implements IStringConverter<String> {
    private static final Pattern ADDRESS = Pattern.compile("[^:\\s]+:\\d{1,5}");

    @Override
    public String convert(String value) {
        if (!ADDRESS.matcher(value).matches()) {
            throw new ParameterException("'" + value + "' is not host:port");
        }
        return value;
    }
}
