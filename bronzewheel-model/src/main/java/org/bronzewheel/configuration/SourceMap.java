package org.bronzewheel.configuration;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.HashMap;
import java.util.Map;

/** The positions of the fields of one YAML file, by JSON pointer. */
final class SourceMap {
    private final Map<String, JsonLocation> locations;
    private final Map<String, String> values;

    private SourceMap(Map<String, JsonLocation> locations, Map<String, String> values) {
        this.locations = locations;
        this.values = values;
    }

    static SourceMap read(YAMLFactory factory, String text) throws IOException {
        Map<String, JsonLocation> locations = new HashMap<>();
        Map<String, String> values = new HashMap<>();
        try (JsonParser parser = factory.createParser(text)) {
            for (JsonToken token = parser.nextToken(); token != null; token = parser.nextToken()) {
                String pointer = parser.getParsingContext().pathAsPointer().toString();
                if (token.isScalarValue()) {
                    locations.put(pointer, parser.currentTokenLocation());
                    values.put(pointer, parser.getText());
                } else if (token.isStructStart()) {
                    locations.putIfAbsent(pointer, parser.currentTokenLocation());
                }
            }
        }
        return new SourceMap(locations, values);
    }

    Violation violation(String file, String pointer, String expected) {
        String known = pointer;
        while (!locations.containsKey(known) && !known.isEmpty()) {
            known = known.substring(0, known.lastIndexOf('/'));
        }
        JsonLocation location = locations.getOrDefault(known, JsonLocation.NA);
        String value = values.getOrDefault(pointer, "missing");
        return new Violation(
                file,
                Math.max(1, location.getLineNr()),
                Math.max(1, location.getColumnNr()),
                pointer,
                value,
                expected);
    }
}
