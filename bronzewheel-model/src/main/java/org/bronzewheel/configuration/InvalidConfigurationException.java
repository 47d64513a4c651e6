package org.bronzewheel.configuration;

import java.util.List;
import java.util.stream.Collectors;
import org.bronzewheel.error.BronzewheelException;
import org.bronzewheel.error.ErrorCode;

/** The refusal of a configuration document with all its violations. */
public class InvalidConfigurationException extends BronzewheelException {
    private static final long serialVersionUID = 1L;

    private final transient List<Violation> violations;

    /**
     * Creates a refusal.
     *
     * @param violations at least one reason
     */
    public InvalidConfigurationException(List<Violation> violations) {
        super(
                ErrorCode.INVALID_CONFIGURATION,
                violations.stream().map(Violation::toString).collect(Collectors.joining("\n")));
        this.violations = List.copyOf(violations);
    }

    /**
     * Returns the reasons.
     *
     * @return at least one violation, in the order of the file
     */
    public List<Violation> violations() {
        return violations;
    }
}
