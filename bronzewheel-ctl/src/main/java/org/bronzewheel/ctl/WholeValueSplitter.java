package org.bronzewheel.ctl;

import com.beust.jcommander.converters.IParameterSplitter;
import java.util.List;

/** Keeps the commas in the value of a repeated flag. */
final class WholeValueSplitter implements IParameterSplitter {
    @Override
    public List<String> split(String value) {
        return List.of(value);
    }
}
