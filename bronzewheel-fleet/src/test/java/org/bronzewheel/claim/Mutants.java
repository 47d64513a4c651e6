package org.bronzewheel.claim;

import java.lang.reflect.RecordComponent;
import java.util.Arrays;

/** Creates rules with one of them disabled. */
final class Mutants {
    private Mutants() {}

    static ClaimRules without(String rule) {
        RecordComponent[] components = ClaimRules.class.getRecordComponents();
        Object[] values =
                Arrays.stream(components)
                        .map(component -> !component.getName().equals(rule))
                        .toArray();
        if (Arrays.stream(values).allMatch(Boolean.TRUE::equals)) {
            throw new IllegalArgumentException("no such rule: " + rule);
        }
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        try {
            return ClaimRules.class.getDeclaredConstructor(types).newInstance(values);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException(e);
        }
    }
}
